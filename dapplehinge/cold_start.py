"""What a switch that has just started may be sent: its turns, and the load that they are derived from.

Part of the decisions, like `rules.py`; no I/O. All clocks are in ms, all rates in set-ups a ms.

A cold switch bears a multiple of its share of what a warm one carries. What a warm one carries is learnt from
set-ups that stood at warm switches: what is merely offered, or sent and refused, proves nothing, and whoever
floods the proxy can offer as much as he likes. Set-ups that stand can be many for a while, too, so what is
learnt follows a burst no faster than chance would explain.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from math import exp, floor, sqrt

COUNTING_MS = 1000.0
"""For which set-ups are counted together."""

WINDOW_COUNTS = 5
"""Counts that make the present load; older ones are forgotten."""

LEARNING_SPAN_MS = 30_000.0
"""Over which the usual load is learnt: many times the length of a burst."""

CHANCE_ROOTS, CHANCE_CALLS = 2.0, 2.0
"""A window counts at most N + 2 roots of N + 2 set-ups, where N are usual: more is no chance."""


@dataclass(slots=True)
class _Count:
    began: float
    set_ups: int = 0  # that stood
    span: float = 0.0  # ms, by the number of warm switches


class CarriedLoad:
    """Set-ups of this proxy that one warm switch carries: the lesser of the present and the usual load."""

    def __init__(self, now: float) -> None:
        self._at = now
        self._warm = 0
        self._counts: deque[_Count] = deque(maxlen=WINDOW_COUNTS)
        self._counting = _Count(now)
        self._usual: float | None = None  # None: no window has ended yet
        self._counted = 0

    def advance(self, now: float, warm_switches: int) -> None:
        """So many switches have been warm since the last call; without any no time passes here."""
        gap, self._at, self._warm = now - self._at, now, warm_switches
        self._counting.span += gap * warm_switches
        if now - self._counting.began < COUNTING_MS:
            return
        if self._counting.span > 0.0:
            self._counts.append(self._counting)
            self._counted += 1
            if self._counted % WINDOW_COUNTS == 0:
                self._learn(now)
        self._counting = _Count(now)

    def stood(self) -> None:
        """A set-up stood at a warm switch."""
        self._counting.set_ups += 1

    @property
    def rate(self) -> float:
        """For one switch; a first second that is not over yet counts as whole."""
        counts = [*self._counts, self._counting]
        span = max(sum(each.span for each in counts), COUNTING_MS * max(1, self._warm))
        present = sum(each.set_ups for each in counts) / span
        return present if self._usual is None else min(present, self._usual)

    def _learn(self, now: float) -> None:
        set_ups = sum(each.set_ups for each in self._counts)
        span = sum(each.span for each in self._counts)
        if self._usual is None:
            self._usual = set_ups / span
            return
        expected = self._usual * span
        most = expected + CHANCE_ROOTS * sqrt(expected) + CHANCE_CALLS
        kept = exp(-(now - self._counts[0].began) / LEARNING_SPAN_MS)
        self._usual = kept * self._usual + (1.0 - kept) * min(set_ups, most) / span


@dataclass(slots=True)
class Turns:
    """One proxy's turns to send set-ups to one cold switch, one each; a turn lapses when not used."""

    count: float = 0.0
    counted_at: float = -1.0
    spent: int = -1  # the last one that was used

    def current(
        self, now: float, started: float, pace: float, phase: float, open_for: float
    ) -> tuple[int | None, float]:
        """The open turn, if any, and when the next one opens.

        `started`: of the switch; `pace`: turns a ms; `phase`: this proxy's place among all, 0 to 1;
        `open_for`: ms after which a turn lapses.
        """
        if self.counted_at < started:
            self.count, self.counted_at, self.spent = 0.0, started, -1
        self.count += (now - self.counted_at) * pace
        self.counted_at = now
        place = self.count - phase
        current = floor(place)
        is_open = self.spent < current and place >= 0.0 and place - current <= open_for * pace
        return current if is_open else None, now + (current + 1 - place) / pace
