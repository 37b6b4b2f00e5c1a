"""What becomes of a call's story: it is followed while the call lives, and makes its intent and its record.

A call's id is `box-start-number`: the box's name, when this run of it started (ms since the epoch) and
the call's number there. A call in transit keeps the id that it came with, so the stores of all boxes that
carried it have it under one name.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dapplehinge.records.entry import Intent, LegEntry, Outcome, Record

LONGEST_ID = 96


def origin_of(call_id: str) -> str:
    """The box that gave this id."""
    return call_id.rsplit("-", 2)[0]


@dataclass(slots=True)
class _Leg:
    exchange: str
    tandem: bool
    placed: float
    ended: float | None = None
    cause: int = 0


@dataclass(slots=True)
class Story:
    id: str
    at: float  # ms since the epoch
    began: float  # ms on the clock that only goes forward, as all times below
    number: str
    caller: str
    kind: str
    tenant: str
    origin: str
    destination: str
    legs: dict[int, _Leg] = field(default_factory=dict)
    answered: float | None = None
    intent: Intent | None = None


class Scribe:
    def __init__(self, box: str, started: float) -> None:
        self.box = box
        self.run = f"{box}-{started:.0f}"
        self.stories: dict[int, Story] = {}

    def id_of(self, call: int, told: str = "") -> str:
        """The id that a call in transit came with, where it makes sense; else one of our own."""
        if 0 < len(told) <= LONGEST_ID and told.isprintable() and not told.isspace():
            return told
        return f"{self.run}-{call}"

    def began(self, call: int, story: Story) -> None:
        self.stories[call] = story

    def placed(self, call: int, attempt: int, exchange: str, tandem: bool, now: float) -> None:
        story = self.stories.get(call)
        if story is not None:
            story.legs[attempt] = _Leg(exchange, tandem, now - story.began)

    def attempt_ended(self, call: int, attempt: int, cause: int, now: float) -> None:
        story = self.stories.get(call)
        leg = story.legs.get(attempt) if story is not None else None
        if story is not None and leg is not None and leg.ended is None:
            leg.ended, leg.cause = now - story.began, cause

    def _legs(self, story: Story) -> tuple[LegEntry, ...]:
        return tuple(
            LegEntry(attempt, leg.exchange, leg.tandem, leg.placed, leg.ended, leg.cause)
            for attempt, leg in sorted(story.legs.items())
        )

    def final(self, call: int, outcome: Outcome) -> Intent | None:
        """The intent of a call whose final answer is about to leave; None where it has one already."""
        story = self.stories.get(call)
        if story is None or story.intent is not None:
            return None
        story.intent = Intent(
            story.id, story.at, story.number, story.caller, story.kind, story.tenant, story.origin,
            story.destination, outcome, self._legs(story),
        )  # fmt: skip
        return story.intent

    def answered(self, call: int, now: float) -> None:
        story = self.stories.get(call)
        if story is not None and story.answered is None:
            story.answered = now - story.began

    def over(self, call: int, cause: int, now: float) -> list[Intent | Record]:
        """What to write as the call is over: its record, behind its intent where it had no answer."""
        story = self.stories.get(call)
        if story is None:
            return []
        written: list[Intent | Record] = []
        if story.intent is None:  # its caller left before an answer was due: that is a call, too
            intent = self.final(call, Outcome.FAILED)
            assert intent is not None
            written.append(intent)
        del self.stories[call]
        assert story.intent is not None
        ended = now - story.began
        for leg in story.legs.values():
            if leg.ended is None:
                leg.ended, leg.cause = ended, cause
        written.append(Record(story.intent, story.answered, ended, cause, self._legs(story)))
        return written
