"""A stand-in for the callers of one exchange: seeded arrivals, give-up, holding times, redials."""

from __future__ import annotations

import socket
from collections import Counter

import msgspec
import numpy as np

from dapplehinge.calls.agenda import Agenda
from dapplehinge.iax2.codes import FORMAT_ULAW, CauseCode, Control, FrameType, Ie
from dapplehinge.iax2.elements import Elements
from dapplehinge.iax2.engine import Bounds
from dapplehinge.iax2.leg import Addr, Leg, Released, Signal
from dapplehinge.iax2.states import State
from dapplehinge.proxy.port import Port
from dapplehinge.standins.mute import MuteEngine


class Redial(msgspec.Struct, kw_only=True):
    tenant: str
    at: float
    span: float
    times: int = 3
    gap: float = 50.0


class Vanish(msgspec.Struct, kw_only=True):
    """Within this time a part of the parties goes without a word, up to `within` ms after the call began."""

    at: float
    span: float
    part: float
    within: float = 1500.0


class HandsetSpec(msgspec.Struct, kw_only=True):
    place: int  # serial numbers of its calls begin with it
    proxy: tuple[str, int]
    begin: float
    until: float
    rate: float
    hold: float
    prefixes: list[str]  # of the exchanges it calls
    give_up: list[float]  # by class
    mix: list[float]
    tenants: list[str]
    tenant_shares: list[float]
    redials: list[Redial] = []
    vanish: list[Vanish] = []
    tokens: bool = False  # its NEWs ask for call tokens
    reuse: bool = False  # call numbers are used again at once, out of a few dozen
    voice_frames: int = 3
    seed: int = 1


class Handset:
    def __init__(self, spec: HandsetSpec, sock: socket.socket) -> None:
        self.spec = spec
        self.random = np.random.default_rng(np.random.SeedSequence([spec.seed, spec.place]))
        self.engine = MuteEngine(bounds=Bounds(quarantine=0.0 if spec.reuse else Bounds().quarantine))
        if spec.reuse:
            self.engine.numbers.largest = 400
        self.agenda: Agenda[tuple[str, Leg | None]] = Agenda()
        self.port = Port(sock, self.engine, self.handle_events, lambda: self.agenda.due, self.tick)
        self.serial = 0
        self.counts: Counter[str] = Counter()
        self.tries: dict[int, tuple[str, str, int, int]] = {}  # leg -> number, tenant, class, tries so far
        self.agenda.at(spec.begin, ("call", None))
        self.port.flush()

    def tick(self, now: float) -> None:
        for due, (what, leg) in self.agenda.ready(now):
            if what == "call":
                self._next_call(now)
                gap = float(self.random.exponential(1000.0 / self.spec.rate))
                if due + gap < self.spec.until:
                    self.agenda.at(due + gap, ("call", None))
            elif leg is None or not leg.alive:
                continue
            elif what == "give_up" and leg.state is not State.UP:
                self.counts["gave_up"] += 1
                self.engine.hang_up(leg, CauseCode.NORMAL_CLEARING, "", now)
                self.tries.pop(leg.number, None)
            elif what == "hang_up":
                self.engine.hang_up(leg, CauseCode.NORMAL_CLEARING, "", now)
                self.tries.pop(leg.number, None)
            elif what == "vanish":
                self.engine.vanish(leg)
                self.tries.pop(leg.number, None)
            elif what == "voice":
                self.engine.voice(leg, b"\x7f" * 160, now)

    def _next_call(self, now: float) -> None:
        spec, draw = self.spec, self.random
        kind = int(draw.choice(len(spec.mix), p=spec.mix))
        prefix = spec.prefixes[int(draw.integers(len(spec.prefixes)))]
        number = f"{prefix}{kind}{int(draw.integers(98)):02d}"
        tenant = str(draw.choice(spec.tenants, p=spec.tenant_shares))
        self._dial(number, tenant, kind, 0, now)

    def _dial(self, number: str, tenant: str, kind: int, tries: int, now: float) -> None:
        self.serial += 1
        elements: Elements = {
            int(Ie.CALLED_NUMBER): number,
            int(Ie.CALLING_NUMBER): f"{self.spec.place:02d}{self.serial:07d}",
            int(Ie.CALLED_CONTEXT): tenant,
            int(Ie.CAPABILITY): FORMAT_ULAW,
            int(Ie.FORMAT): FORMAT_ULAW,
        }
        if self.spec.tokens:
            elements[int(Ie.CALLTOKEN)] = b""
        addr: Addr = (self.spec.proxy[0], self.spec.proxy[1])
        leg = self.engine.dial(addr, elements, now)
        if leg is None:
            return
        self.counts["calls"] += 1
        self.tries[leg.number] = (number, tenant, kind, tries)
        self.agenda.at(now + self.spec.give_up[kind], ("give_up", leg))
        for each in self.spec.vanish:
            if each.at <= now < each.at + each.span and self.random.random() < each.part:
                self.agenda.at(now + float(self.random.uniform(0.0, each.within)), ("vanish", leg))
                break

    def handle_events(self, now: float) -> None:
        for event in self.engine.next_events():
            if isinstance(event, Signal):
                answered = event.kind == FrameType.CONTROL and event.subclass == Control.ANSWER
                if answered and event.leg.state is State.UP:
                    hold = float(self.random.exponential(self.spec.hold))
                    self.agenda.at(now + hold, ("hang_up", event.leg))
                    for frame in range(self.spec.voice_frames):
                        self.agenda.at(now + 20.0 * frame, ("voice", event.leg))
            elif isinstance(event, Released):
                found = self.tries.pop(event.leg.number, None)
                if found is not None:
                    self._redial(*found, now)

    def _redial(self, number: str, tenant: str, kind: int, tries: int, now: float) -> None:
        for storm in self.spec.redials:
            if storm.tenant == tenant and storm.at <= now < storm.at + storm.span and tries < storm.times:
                self.counts["redials"] += 1
                self._dial(number, tenant, kind, tries + 1, now)
                return
