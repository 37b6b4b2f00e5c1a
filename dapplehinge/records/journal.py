"""Which bytes go into which segment, and which segments give way: decisions only, carried out from above.

A batch of entries becomes steps: `Begin` a segment with its header, `Append` frames, and a seal where the
segment is full. All steps of a batch are synced together, and only then does anything in it count. A
batch that failed, wherever it stopped, is taken back whole: the file is shortened to what was durable
before, segments that the batch began are removed, and `restore` sets the journal to that point. It is
never gone on with, as pages that a failed sync left behind may look written and not be (a second sync
would then report success).

When the disk is full, what can be had again gives way first: the indexes, then sealed segments that were
exported, oldest first. Records that nobody has exported are never removed to make room; the box then
stops taking calls or goes on without records, as its settings say.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from dapplehinge.records.recovery import Plan
from dapplehinge.records.segment import HEADER_SIZE, Code, frame, header, seal_by


@dataclass(frozen=True, slots=True)
class Begin:
    number: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Append:
    number: int
    data: bytes
    sealed_after: int = 0  # entries of the batch up to the seal that the data ends with; 0: it has none
    code: bytes = b""  # of that seal
    following: int = 0  # sequence of the frame after it


Step = Begin | Append


@dataclass(slots=True)
class Mark:
    """A point to go back to: the open segment and its durable length; number -1: none is open."""

    number: int
    size: int
    first: int
    count: int
    sequence: int
    following: int
    link: bytes
    code: Code


class Journal:
    def __init__(self, plan: Plan, open_segment: bytes, key: bytes, most_segment: int = 8 << 20) -> None:
        """`open_segment`: what is kept of the segment that `plan.go_on` names; empty where it names none."""
        self.key = key
        self.most_segment = most_segment
        code = Code(key)
        code.update(open_segment)
        going_on = plan.go_on >= 0
        first = int.from_bytes(open_segment[16:24], "big") if going_on else plan.next_sequence
        self.at = Mark(
            number=plan.next_number - 1 if going_on else -1,
            size=len(open_segment),
            first=first,
            count=plan.next_sequence - first,
            sequence=plan.next_sequence,
            following=plan.next_number,
            link=plan.link,
            code=code,
        )

    def mark(self) -> Mark:
        at = self.at
        return Mark(
            at.number, at.size, at.first, at.count, at.sequence, at.following, at.link, at.code.copy()
        )

    def restore(self, mark: Mark) -> None:
        self.at = mark

    def steps(self, payloads: Sequence[bytes]) -> list[Step]:
        """What to write for these entries, in order."""
        made: list[Step] = []
        at, waiting = self.at, b""
        for place, payload in enumerate(payloads, 1):
            if at.number < 0:
                made.append(self._begin())
            data = frame(at.sequence, payload)
            at.sequence += 1
            at.count += 1
            at.size += len(data)
            waiting += data
            at.code.update(data)
            if at.size >= self.most_segment:
                number = at.number
                data = waiting + self._seal()
                made.append(Append(number, data, place, at.link, at.sequence))
                waiting = b""
        if waiting:
            made.append(Append(at.number, waiting))
        return made

    def _begin(self) -> Begin:
        at = self.at
        data = header(at.following, at.sequence, at.link)
        at.number, at.size, at.first, at.count = at.following, len(data), at.sequence, 0
        at.following += 1
        at.code = Code(self.key)
        at.code.update(data)
        return Begin(at.number, data)

    def _seal(self) -> bytes:
        at = self.at
        code = at.code.of(at.count)
        made = seal_by(code, at.sequence, at.count)
        at.number, at.link = -1, code
        return made

    def close(self) -> list[Step]:
        """Seal the open segment before its time, so that it can be exported; nothing where it is empty."""
        at = self.at
        if at.number < 0 or at.size <= HEADER_SIZE:
            return []
        number = at.number
        return [Append(number, self._seal())]


@dataclass(frozen=True, slots=True)
class Kept:
    """A sealed segment as retention sees it."""

    number: int
    size: int
    newest: float  # ms since the epoch of its newest entry
    exported: bool


def let_go(
    segments: Sequence[Kept], now: float, most_age: float, most_bytes: int, need: int = 0
) -> list[int]:
    """Numbers of the segments that retention removes, oldest first.

    By age (ms) and by size all go, exported or not: that is what the settings ask for. For `need` more
    bytes on a full disk only exported ones go.
    """
    gone = [each.number for each in segments if now - each.newest > most_age]
    left = [each for each in segments if each.number not in gone]
    total = sum(each.size for each in left)
    freed = sum(each.size for each in segments if each.number in gone)
    for each in left:
        if total > most_bytes or (freed < need and each.exported):
            gone.append(each.number)
            total -= each.size
            freed += each.size
    return sorted(gone)
