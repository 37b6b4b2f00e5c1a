"""The reliable exchange of one call leg (RFC 5456, section 7): sequence numbers, ACKs, retransmission.

Theory of operation. Every full frame but ACK, INVAL, TXCNT, TXACC and VNAK takes the next outbound sequence
number and is kept until the far end's inbound number, which every full frame carries, has passed it (the
implicit ACK). It is sent again at doubling gaps with the R bit set: up to `most_gap` to a far end that never
spoke, up to `known_gap` to one that did. When to give up is not decided here but by who watches the far
end's life (`membership/vigil.py`). A frame in order is taken; one that came before is acknowledged again and
dropped; one that is ahead of the next is answered with VNAK, upon which its sender repeats all from the
number named. Numbers are octets and wrap.

Times are milliseconds on the caller's clock; a leg's time-stamps count from `started`.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum, auto
from math import inf

from dapplehinge.iax2.codes import OUT_OF_SEQUENCE, FrameType, Iax
from dapplehinge.iax2.frames import Full, coded_subclass

_HALF = 128  # numbers up to half the circle ahead are new, the others old
_IAX = int(FrameType.IAX)
_ACK, _VNAK = int(Iax.ACK), int(Iax.VNAK)
_UNNUMBERED = frozenset(int(each) for each in OUT_OF_SEQUENCE)


@dataclass(frozen=True, slots=True)
class Timing:
    """How the exchange waits. The RFC leaves the first gap to the implementer and bounds it at ten
    seconds.
    """

    first_gap: float = 250.0  # ms to the first repeat, where the round trip is not known yet
    least_gap: float = 100.0
    most_gap: float = 1000.0  # calls wait for seconds: ten would be the end of one
    known_gap: float = 500.0  # most, to a far end that has spoken: its silence must be told from loss
    last_words: float = 8000.0  # ms that the end of a leg is repeated
    round_trips: float = 2.0  # the first gap in measured round trips, once there is a measure


class Arrival(Enum):
    """What `Exchange.arrived` makes of a full frame."""

    NEXT = auto()  # in order: act on it
    REPEAT = auto()  # came before: it has been acknowledged again
    AHEAD = auto()  # something before it is missing: VNAK has been sent
    ACK_ONLY = auto()  # outside the sequence: there is nothing to act on


class Sent:
    """A frame that is not acknowledged yet."""

    __slots__ = ("oseqno", "data", "first", "due", "gap", "tries", "stamp")

    def __init__(self, oseqno: int, data: bytes, now: float, gap: float, stamp: int) -> None:
        self.stamp = stamp
        self.oseqno = oseqno
        self.data = data
        self.first = now
        self.gap = gap
        self.due = now + gap
        self.tries = 0


class Exchange:
    """Sequence numbers and unacknowledged frames of one leg; what it sends is left in `out`."""

    __slots__ = (
        "source", "dest", "oseqno", "iseqno", "unacked", "started", "last_stamp", "timing", "gap", "out",
        "owed", "repeats", "vnaks",
    )  # fmt: skip

    def __init__(self, source: int, dest: int, now: float, timing: Timing) -> None:
        self.source = source
        self.dest = dest
        self.oseqno = 0
        self.iseqno = 0
        self.unacked: deque[Sent] = deque()
        self.started = now
        self.last_stamp = -1
        self.timing = timing
        self.gap = timing.first_gap
        self.out: list[bytes] = []
        self.owed: int | None = None  # time-stamp of a frame taken that nothing sent acknowledges yet
        self.repeats = 0  # frames sent again
        self.vnaks = 0  # VNAKs sent

    def stamp(self, now: float) -> int:
        """A time-stamp for a frame sent now; each is later than the last, as section 8.1.1 wants."""
        value = int(now - self.started)
        if value <= self.last_stamp:
            value = self.last_stamp + 1
        self.last_stamp = value
        return value

    def _header(self, stamp: int, oseqno: int, kind: int, coded: int) -> bytes:
        # written out for speed: every field is in range by construction
        return (
            ((0x8000 | self.source) << 80)
            | (self.dest << 64)
            | ((stamp & 0xFFFFFFFF) << 32)
            | (oseqno << 24)
            | (self.iseqno << 16)
            | (kind << 8)
            | coded
        ).to_bytes(12, "big")

    def send(self, kind: int, subclass: int, payload: bytes, now: float, stamp: int | None = None) -> None:
        """Send a frame that must arrive."""
        if stamp is None:
            stamp = self.stamp(now)
        coded = subclass if subclass < 0x80 else coded_subclass(subclass)
        data = self._header(stamp, self.oseqno, kind, coded) + payload
        self.unacked.append(Sent(self.oseqno, data, now, self.gap, stamp))
        self.oseqno = (self.oseqno + 1) & 0xFF
        self.owed = None  # the frame's inbound number acknowledges all that was taken
        self.out.append(data)

    def send_plain(self, subclass: int, stamp: int, payload: bytes = b"") -> None:
        """Send an IAX control frame outside the sequence: ACK, VNAK, INVAL."""
        self.out.append(self._header(stamp, self.oseqno, _IAX, subclass) + payload)

    def arrived(self, frame: Full, now: float) -> Arrival:
        """Settle what the frame acknowledges and where it stands in the sequence."""
        if self.unacked:
            self._acknowledged(frame.iseqno, now)
        if frame.kind == _IAX:
            if frame.subclass == _ACK:
                return Arrival.ACK_ONLY
            if frame.subclass == _VNAK:
                self.repeat_from(frame.iseqno, now)
                return Arrival.ACK_ONLY
            if frame.subclass in _UNNUMBERED:
                return Arrival.ACK_ONLY
        ahead = (frame.oseqno - self.iseqno) & 0xFF
        if ahead == 0:
            self.iseqno = (self.iseqno + 1) & 0xFF
            self.owed = frame.timestamp
            return Arrival.NEXT
        if ahead < _HALF:
            self.vnaks += 1
            self.send_plain(_VNAK, frame.timestamp)
            return Arrival.AHEAD
        self.send_plain(_ACK, frame.timestamp)
        return Arrival.REPEAT

    def settle(self) -> None:
        """Acknowledge by ACK what was taken, unless a frame sent since then did so."""
        if self.owed is not None:
            stamp, self.owed = self.owed, None
            self.send_plain(_ACK, stamp)

    def _acknowledged(self, upto: int, now: float) -> None:
        unacked = self.unacked
        if not 0 < (upto - unacked[0].oseqno) & 0xFF <= len(unacked):
            return  # acknowledges nothing that is out: old, or beyond what was sent
        while unacked and 0 < (upto - unacked[0].oseqno) & 0xFF <= _HALF:
            done = unacked.popleft()
            if done.tries == 0:  # Karn: a repeated frame's answer measures nothing
                wanted = self.timing.round_trips * (now - done.first)
                self.gap = min(self.timing.first_gap, max(self.timing.least_gap, wanted))

    def repeat_from(self, oseqno: int, now: float) -> None:
        """The far end misses what begins at this number (VNAK, section 6.9.3)."""
        for sent in self.unacked:
            if (sent.oseqno - oseqno) & 0xFF < _HALF:
                self._repeat(sent, now)

    def _repeat(self, sent: Sent, now: float) -> None:
        data = sent.data
        # set the R bit, and tell the newest inbound number and destination call number
        dest = self.dest | 0x8000
        sent.data = data[:2] + dest.to_bytes(2, "big") + data[4:9] + bytes((self.iseqno,)) + data[10:]
        self.repeats += 1
        self.out.append(sent.data)
        sent.due = now + sent.gap

    @property
    def due(self) -> float:
        """When the next repeat falls due; infinite where nothing is out."""
        return min(sent.due for sent in self.unacked) if self.unacked else inf

    def handle_timer(self, now: float) -> None:
        """Send again what is due."""
        most = self.timing.known_gap if self.dest else self.timing.most_gap
        for sent in self.unacked:
            if sent.due <= now:
                sent.tries += 1
                sent.gap = min(most, 2 * sent.gap)
                self._repeat(sent, now)
