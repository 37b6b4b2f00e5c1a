"""Decisions on start: what to make of the segments that a crash, a disk or a person left.

Each is one answer to one question; `docs/design/records.md` weighs them.

- A torn or corrupt tail of the newest segment is cut off: what is there was never told as durable. - A
corrupt frame with whole ones known to follow, or in a sealed segment, is no crash of ours: the segment is
set aside whole and named, never cut, and what is whole before the damage still counts. - A segment whose
header is not whole is removed if it is the newest and holds nothing else: rotation was cut off. - An intent
without a record gets one, INTERRUPTED or with its own outcome, marked as recovered. It is written once: the
next start finds it. - Two records for one call: the first counts. The other is named, and never deleted. -
A number missing between segments, a link that does not fit, or a seal that is not authentic is named. -
Times that go back are left as they are: durations come from the other clock, and sequence gives the order.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto

import msgspec

from dapplehinge.records.checkpoint import Checkpoint
from dapplehinge.records.entry import Correction, Entry, Intent, Outcome, Record, decode, id_of
from dapplehinge.records.segment import HEADER_SIZE, NO_LINK, Scan, State, authentic, frame, scan


class Step(Enum):
    KEEP = auto()
    CUT = auto()  # shorten the file to `length`
    REMOVE = auto()
    SET_ASIDE = auto()  # leave it, under another name, for a person to look at


class Finding(Enum):
    TORN_TAIL = auto()
    CORRUPT = auto()
    EMPTY_SEGMENT = auto()
    MISSING_SEGMENT = auto()
    BROKEN_LINK = auto()
    NOT_AUTHENTIC = auto()
    UNREADABLE_ENTRY = auto()
    TWO_RECORDS = auto()
    RECORD_WITHOUT_INTENT = auto()
    CLOCK_WENT_BACK = auto()
    INTERRUPTED = auto()


@dataclass(frozen=True, slots=True)
class Found:
    what: Finding
    segment: int  # its place in the list that was given
    text: str


@dataclass(slots=True)
class Plan:
    """What to do with each file, what to write first, and where to go on."""

    steps: list[tuple[Step, int]] = field(default_factory=list)  # for each file, with the length for CUT
    found: list[Found] = field(default_factory=list)
    to_write: list[Record] = field(default_factory=list)  # for intents without one
    records: dict[str, Record] = field(default_factory=dict)
    corrections: list[Correction] = field(default_factory=list)
    unresolved: dict[str, Intent] = field(default_factory=dict)  # without a record when the files end
    next_sequence: int = 0
    next_number: int = 0
    link: bytes = NO_LINK
    go_on: int = -1  # the open segment to append to; -1: begin a new one


def interrupted(intent: Intent) -> Record:
    """The record of a call whose box died: refused and failed ones were over with their answer."""
    over = intent.outcome in (Outcome.REFUSED, Outcome.FAILED)
    last = intent.legs[-1].cause if intent.legs else 0
    if over:
        return Record(intent, None, 0.0, last, intent.legs, recovered=True)
    changed = msgspec.structs.replace(intent, outcome=Outcome.INTERRUPTED)
    return Record(changed, None, None, 0, intent.legs, recovered=True)


def plan(files: list[bytes], key: bytes, since: Checkpoint | None = None) -> Plan:
    """Decide on segments in the order of their names. It writes nothing: the same files give the same plan.

    `since`: what the segments before the first of these files left open; None: there are none before.
    """
    made = Plan()
    intents: dict[str, Intent] = {}
    before: Scan | None = None
    if since is not None:
        intents.update(since.intents)
        before = Scan(State.SEALED, since.number, code=since.code)
        made.next_number, made.next_sequence, made.link = since.number + 1, since.following, since.code
    newest_time = -1.0
    for place, data in enumerate(files):
        found = scan(data)
        last = place == len(files) - 1
        made.steps.append(_step(found, data, last, place, made))
        if found.state is State.NO_HEADER:
            continue
        _chain(before, found, data, key, place, made)
        before = found
        for payload in found.payloads:
            try:
                entry = decode(payload)
            except ValueError as fault:
                made.found.append(Found(Finding.UNREADABLE_ENTRY, place, str(fault)))
                continue
            newest_time = _take(entry, intents, newest_time, place, made)
        made.next_number = max(made.next_number, found.number + 1)
        made.next_sequence = max(made.next_sequence, found.following)
        step = made.steps[-1][0]
        open_end = last and found.state in (State.OPEN, State.TORN, State.CORRUPT)
        if open_end and step in (Step.KEEP, Step.CUT):
            made.go_on = place
        made.link = found.code if found.state is State.SEALED else NO_LINK
    made.unresolved = {call: intent for call, intent in intents.items() if call not in made.records}
    for call, intent in intents.items():
        if call not in made.records:
            record = interrupted(intent)
            made.to_write.append(record)
            made.records[call] = record
            made.found.append(Found(Finding.INTERRUPTED, -1, f"call {call}: the box died before its record"))
    return made


def _step(found: Scan, data: bytes, last: bool, place: int, made: Plan) -> tuple[Step, int]:
    if found.state in (State.SEALED, State.OPEN):
        return Step.KEEP, len(data)
    if found.state is State.NO_HEADER:
        if last and len(data) <= HEADER_SIZE:
            made.found.append(Found(Finding.EMPTY_SEGMENT, place, "rotation was cut off"))
            return Step.REMOVE, 0
        made.found.append(Found(Finding.CORRUPT, place, found.problem))
        return Step.SET_ASIDE, 0
    if last and (found.state is State.TORN or not _whole_after(found, data)):
        made.found.append(Found(Finding.TORN_TAIL, place, found.problem))
        return Step.CUT, found.good
    made.found.append(Found(Finding.CORRUPT, place, found.problem))
    return Step.SET_ASIDE, found.good


def _whole_after(found: Scan, data: bytes) -> bool:
    """Whether a whole later frame stands after the damage: then it is no torn tail.

    A frame carries its sequence, so one that follows is found by its next few numbers and proven by its
    checksum.
    """
    for ahead in range(1, 9):
        mark = (found.following + ahead).to_bytes(8, "big")
        at = data.find(mark, found.good)
        while at >= 4:
            length = int.from_bytes(data[at - 4 : at], "big")
            end = at + 16 + length
            if 0 < length <= len(data) and end <= len(data) and _frame_at(data[at - 4 : end]):
                return True
            at = data.find(mark, at + 1)
    return False


def _frame_at(raw: bytes) -> bool:
    return frame(int.from_bytes(raw[4:12], "big"), raw[20:]) == raw


def _chain(before: Scan | None, found: Scan, data: bytes, key: bytes, place: int, made: Plan) -> None:
    if before is not None:
        if found.number != before.number + 1:
            missing = f"{before.number + 1} to {found.number - 1}"
            made.found.append(Found(Finding.MISSING_SEGMENT, place, f"segments {missing} are not there"))
        elif before.state is State.SEALED and found.link != before.code:
            made.found.append(Found(Finding.BROKEN_LINK, place, "it does not follow the segment before it"))
    if found.state is State.SEALED and not authentic(data, found, key):
        made.found.append(Found(Finding.NOT_AUTHENTIC, place, "it is not what was sealed with this key"))


def _take(entry: Entry, intents: dict[str, Intent], newest: float, place: int, made: Plan) -> float:
    call = id_of(entry)
    if isinstance(entry, Correction):
        made.corrections.append(entry)
        return newest
    if isinstance(entry, Record):
        if call in made.records:
            made.found.append(Found(Finding.TWO_RECORDS, place, f"call {call}: the first one counts"))
            return newest
        if call not in intents:
            made.found.append(Found(Finding.RECORD_WITHOUT_INTENT, place, f"call {call}"))
        made.records[call] = entry
        return newest
    intents.setdefault(call, entry)
    if entry.at < newest:
        back = newest - entry.at
        made.found.append(Found(Finding.CLOCK_WENT_BACK, place, f"call {call}: by {back:.0f} ms"))
    return max(newest, entry.at)
