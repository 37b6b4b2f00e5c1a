"""The last check before a set-up leaves the box, on the real clock.

The module keeps the rules by the clock it is given, which stands still during one event. Between that and
the socket real time passes, and events come late when the loop is busy. The interlock looks again at the
moment of sending: no second attempt (rule 2), no switch told as draining or gone longer than the grace
(rule 3), no send within the guard after a time-out, reset or cancel (rule 5). It only holds back, it never
picks a route; in ordinary days it has nothing to do, and `held` and `barred` count when it had.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from math import inf

MOST_CLOSED = 4096
"""Closed switches remembered; a box that restarts under a new name each time must not grow this for ever."""


class Ruling(Enum):
    SEND = auto()
    HOLD = auto()  # not before the time given
    BAR = auto()  # not at all


@dataclass(frozen=True, slots=True)
class Answer:
    ruling: Ruling
    not_before: float = 0.0


_SEND = Answer(Ruling.SEND)


class Interlock:
    def __init__(self, guard: float, grace: float, margin: float) -> None:
        self.guard = guard + margin
        self.grace = grace
        self.closed: dict[int, float] = {}  # switch -> when it was told as draining or gone
        self.held = 0
        self.barred = 0

    def told(self, switch: int, ready: bool, now: float) -> None:
        if ready:
            self.closed.pop(switch, None)
        else:
            self.closed.setdefault(switch, now)
            if len(self.closed) > MOST_CLOSED:
                del self.closed[next(iter(self.closed))]

    def ask(self, switch: int, attempt_out: bool, doubtful_end: float, now: float) -> Answer:
        """May a set-up to `switch` leave now? `doubtful_end`: last time-out, reset or cancel; -inf: none."""
        if attempt_out or now >= self.closed.get(switch, inf) + self.grace:
            self.barred += 1
            return Answer(Ruling.BAR)
        if now < doubtful_end + self.guard:
            self.held += 1
            return Answer(Ruling.HOLD, doubtful_end + self.guard)
        return _SEND
