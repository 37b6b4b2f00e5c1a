"""How old a call in transit is when it comes in, so that a tandem's attempt ends before its sender goes on.

The box that sends a call in transit says how long the tandem may take, and when it said so on a clock of its
own. A datagram may be seconds under way, or be the third repeat of one that was lost; counted from its
arrival the time would run too long. Clocks of boxes are not in step, but what one's clock is behind another's
is as good as constant, and the least difference that was ever seen is that plus the fastest way over. So the
age of a message is its difference less the least difference of the last minute or two: exact but for the
fastest way.

Options were a round trip before each call in transit (a call token proves an age, and costs 10 to 50 ms of
each such call, and more on a network that loses), and clocks set by a protocol of their own. What this can't
know is the age of the first message of a box that has just started: that counts as new.

A box that starts again has another clock, and says so by another name.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass

SPAN = 60_000.0
"""ms after which the older half of what is known of a clock is let go: clocks drift, ways change."""

MOST_CLOCKS = 1024
"""Clocks known; a stranger's claims must not grow this for ever."""


@dataclass(slots=True)
class _Clock:
    least: float
    before: float  # least of the span before
    since: float


class Ages:
    def __init__(self) -> None:
        self._clocks: dict[Hashable, _Clock] = {}

    def age(self, clock: Hashable, said: float, now: float) -> float:
        """ms that what was said at `said` on that clock has been under way, beyond the fastest way over."""
        ahead = now - said
        known = self._clocks.get(clock)
        if known is None:
            if len(self._clocks) >= MOST_CLOCKS:
                del self._clocks[next(iter(self._clocks))]
            known = self._clocks[clock] = _Clock(ahead, ahead, now)
        elif now - known.since >= SPAN:
            known.before, known.least, known.since = known.least, ahead, now
        known.least = min(known.least, ahead)
        return ahead - min(known.least, known.before)
