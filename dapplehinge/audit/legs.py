"""Datagrams to legs: what each leg of a call showed on the wire, without the program's own word.

A leg is opened by the first sight of a NEW and known by the opener's address and call number, until another
NEW of another call takes that number over. Repeats are told by their sequence number.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from dapplehinge.audit.trace import DatagramRecord, Fate
from dapplehinge.iax2.codes import Control, FrameType, Iax, Ie
from dapplehinge.iax2.elements import ElementError, number, read_elements, text
from dapplehinge.iax2.frames import FrameError, Full, Mini, read
from dapplehinge.iax2.numbers import NOBODY

_IAX, _CONTROL = int(FrameType.IAX), int(FrameType.CONTROL)
_STAND = (int(Control.RINGING), int(Control.ANSWER))


@dataclass(slots=True)
class Word:
    """One thing of meaning said on a leg, counted once however often it was repeated."""

    at: float
    by_opener: bool
    what: str  # RINGING, ANSWER, REJECT, HANGUP, INVAL, ACCEPT; DISPLACED: its number opened another call
    cause: int
    delivered: float | None  # when a copy first got through; None: not yet


@dataclass(slots=True)
class WireLeg:
    opener: int
    far: int
    opener_number: int
    call_id: str  # the caller's number, which handsets make unique
    called: str
    stamp: int
    opened: float
    taken: float | None = None  # when a copy of the NEW first got through
    far_number: int = 0
    former: WireLeg | None = None  # of the call that had the opener's number before
    asked: bool = False  # its NEW was answered by a call token: only one with the token is taken
    words: list[Word] = field(default_factory=list)
    seen: dict[tuple[bool, int, str], Word] = field(default_factory=dict)
    budget: float = inf  # ms that a box gave the tandem with it
    spoke: list[float] = field(default_factory=lambda: [-inf, -inf])  # last heard: far end, opener
    last: float = 0.0  # when the newest datagram of it was seen
    early_voice: int = 0  # voice that its box sent before ANSWER, or after its own release
    voice: int = 0

    def first(self, *whats: str, by_opener: bool | None = None) -> Word | None:
        for word in self.words:
            if word.what in whats and by_opener in (None, word.by_opener):
                return word
        return None


class LegReader:
    """Feed it datagrams in the order of the tap; it returns the leg that a datagram opened, if any."""

    def __init__(self, boxes: frozenset[int]) -> None:
        self.boxes = boxes  # participants whose voice is judged; a switch may say what it likes
        self.by_opener: dict[tuple[int, int, int], WireLeg] = {}
        self.by_far: dict[tuple[int, int, int], WireLeg] = {}
        self.unreadable = 0

    def forget(self, leg: WireLeg) -> None:
        """The leg is judged: keep nothing of it, unless its number has a new owner."""
        key = (leg.opener, leg.far, leg.opener_number)
        if self.by_opener.get(key) is leg:
            del self.by_opener[key]
        back = (leg.far, leg.opener, leg.far_number)
        if self.by_far.get(back) is leg:
            del self.by_far[back]

    def _voice(self, source: int, record: DatagramRecord) -> None:
        key = (record.sender, record.receiver, source)
        leg = self.by_opener.get(key) or self.by_far.get(key)
        if leg is None:
            return
        leg.last = record.at
        by_opener = leg.opener == record.sender
        leg.spoke[by_opener] = max(leg.spoke[by_opener], record.at + record.latest)
        if record.sender not in self.boxes:
            return
        leg.voice += 1
        answer = leg.first("ANSWER")
        release = leg.first("HANGUP", "REJECT", by_opener=by_opener)
        if answer is None or answer.at > record.at or (release is not None and release.at < record.at):
            leg.early_voice += 1

    def feed(self, record: DatagramRecord) -> WireLeg | None:
        try:
            frame = read(record.data)
        except FrameError:
            self.unreadable += 1
            return None
        if isinstance(frame, Mini) or (isinstance(frame, Full) and frame.kind == FrameType.VOICE):
            if not isinstance(frame, Full) or not frame.retransmitted:  # a repeat says nothing new
                self._voice(frame.source, record)
            return None
        if not isinstance(frame, Full) or frame.kind not in (_IAX, _CONTROL):
            return None
        got = record.at + record.late if record.fate is not Fate.LOST else None
        pair = (record.sender, record.receiver)
        if frame.kind == _IAX and frame.subclass == Iax.NEW:
            return self._new(frame, record, got)
        leg = self.by_opener.get((*pair, frame.source))
        by_opener = leg is not None
        if leg is None and frame.dest:
            leg = self._from_far(frame, record)
        if leg is None:
            return None
        if frame.source == NOBODY and frame.subclass == Iax.REJECT and frame.timestamp != leg.stamp:
            return None  # an answer without state to another NEW, by the time-stamp that it echoes
        leg.last = record.at
        leg.spoke[by_opener] = max(leg.spoke[by_opener], record.at + record.latest)
        if not by_opener and frame.source not in (0, NOBODY) and frame.subclass != Iax.INVAL:
            leg.far_number = frame.source
            self.by_far[(*pair, frame.source)] = leg
        if frame.kind == _IAX and frame.subclass == Iax.CALLTOKEN and not by_opener:
            leg.asked, leg.taken = True, None
        what = self._meaning(frame)
        if what is not None:
            self._word(leg, frame, by_opener, what, record.at, got)
        return None

    def _from_far(self, frame: Full, record: DatagramRecord) -> WireLeg | None:
        """The leg that the far end's frame is for, where its opener has used the number again.

        A far number belongs to one call; the first frame of one, an ACK, echoes the time-stamp of its NEW.
        """
        bound = self.by_far.get((record.sender, record.receiver, frame.source))
        if bound is not None and frame.source != NOBODY and bound.opener_number == frame.dest:
            return bound
        leg = self.by_opener.get((record.receiver, record.sender, frame.dest))
        former = leg.former if leg is not None else None
        acks = frame.kind == _IAX and frame.subclass == Iax.ACK
        if former is not None and leg is not None and acks and frame.timestamp == former.stamp != leg.stamp:
            return former
        return leg

    def _new(self, frame: Full, record: DatagramRecord, got: float | None) -> WireLeg | None:
        key = (record.sender, record.receiver, frame.source)
        leg = self.by_opener.get(key)
        try:
            elements = read_elements(frame.payload)
        except ElementError:
            self.unreadable += 1
            return None
        call_id = text(elements, Ie.CALLING_NUMBER)
        if leg is not None and leg.call_id == call_id:
            if elements.get(Ie.CALLTOKEN):
                leg.stamp = frame.timestamp  # opened anew with the token that was asked for
            leg.last = record.at
            leg.spoke[True] = max(leg.spoke[True], record.at + record.latest)
            if leg.taken is None and (elements.get(Ie.CALLTOKEN) or not leg.asked):
                leg.taken = got
            return None  # a repeat
        before = leg
        leg = WireLeg(
            record.sender, record.receiver, frame.source, call_id, text(elements, Ie.CALLED_NUMBER),
            frame.timestamp, record.at, got, last=record.at,
        )  # fmt: skip
        leg.spoke[True] = record.at + record.latest
        if before is not None:
            leg.former, before.former = before, None
            if before.first("HANGUP", "REJECT", "INVAL") is None:
                before.words.append(Word(record.at, True, "DISPLACED", 0, got))
        for line in text(elements, Ie.VARIABLE).split("\n"):
            name, _, value = line.partition("=")
            if name == "dapplehinge-budget" and value.isdecimal():
                leg.budget = float(value)
        self.by_opener[key] = leg
        return leg

    @staticmethod
    def _meaning(frame: Full) -> str | None:
        if frame.kind == _CONTROL:
            return Control(frame.subclass).name if frame.subclass in _STAND else None
        if frame.subclass == Iax.INVAL and frame.dest == NOBODY:
            return None  # it is about an answer without state, of which the leg knows nothing
        if frame.subclass in (Iax.REJECT, Iax.HANGUP, Iax.INVAL, Iax.ACCEPT):
            return Iax(frame.subclass).name
        return None

    @staticmethod
    def _word(leg: WireLeg, frame: Full, by_opener: bool, what: str, at: float, got: float | None) -> None:
        number_ = frame.oseqno if what != "INVAL" else -1
        known = leg.seen.get((by_opener, number_, what))
        if known is None and what == "REJECT" and frame.source == NOBODY:
            # the same answer, said again without state to a late copy
            known = next((word for word in leg.words if word.what == what and not word.by_opener), None)
        if known is not None:
            if known.delivered is None:
                known.delivered = got
            return
        cause = 0
        if what in ("REJECT", "HANGUP"):
            try:
                cause = number(read_elements(frame.payload), Ie.CAUSECODE)
            except ElementError:
                cause = 0
        word = Word(at, by_opener, what, cause, got)
        leg.seen[(by_opener, number_, what)] = word
        leg.words.append(word)
