"""An engine that can drop a leg without a word, as a party does whose plug is pulled."""

from __future__ import annotations

from dapplehinge.iax2.engine import Bounds, Engine
from dapplehinge.iax2.leg import Addr, Leg
from dapplehinge.iax2.states import State


class MuteEngine(Engine):
    """Legs that vanished hear nothing and say nothing, until their number opens another call."""

    def __init__(self, bounds: Bounds | None = None) -> None:
        super().__init__(bounds=bounds)
        self.mute: set[tuple[Addr, int]] = set()  # far ends, by address and number, whose leg is gone here

    def vanish(self, leg: Leg) -> None:
        if leg.state is State.GONE:
            return
        number = leg.number
        leg.state, leg.bridge = State.GONE, None
        leg.exchange.unacked.clear()
        leg.exchange.out.clear()
        leg.exchange.owed = None
        self.legs.pop(number, None)
        key = (leg.addr, leg.exchange.dest)
        if self.by_peer.get(key) is leg:
            del self.by_peer[key]
        self.mute.add((leg.addr, leg.exchange.dest))
        self.numbers.release(number, leg.heard)
        self.counts["vanished"] += 1

    def receive_datagram(self, data: bytes, addr: Addr, now: float) -> None:
        if self.mute and len(data) >= 4:
            source = ((data[0] << 8) | data[1]) & 0x7FFF
            # a NEW of a far end that uses its number again is heard
            fresh = data[0] & 0x80 and not ((data[2] << 8) | data[3]) & 0x7FFF
            if fresh:
                self.mute.discard((addr, source))
            elif (addr, source) in self.mute:
                return
        super().receive_datagram(data, addr, now)
