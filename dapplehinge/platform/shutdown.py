"""The stop of a proxy as a state machine with the clock in; without I/O.

Theory of operation. The platform kills a proxy at a time that follows from the longest deadline of the
deployment, and a set-up that was taken must have its final answer before its connection ends. So every span
here is derived from that deadline, and the proxy only ends what carries nothing:

    accepting  until SIGTERM
    draining   set-ups are served as before, tests by the front fail
    finishing  the longest deadline has passed: what is unanswered is given up, what comes is refused; a
               connection is told the end as soon as it carries nothing, and new ones are accepted for what
               crosses such an end
    closing    the listener is closed; the last connections are told the end
    stopped    no connection is left, or the time is up

A proxy that nobody calls any more goes on to finishing early, and serves on until the same time. One whose
event loop is late, as its share of a core is small, begins everything but the end earlier.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from math import inf

MAX_DEADLINE_MS = 3000.0
"""A longer deadline counts as this for the time of SIGKILL (protocol, Figures)."""

KILL_AFTER_DEADLINE_MS = 700.0
"""From the end of the longest deadline to the earliest SIGKILL (protocol, Figures)."""

ARRIVALS_MS = 900.0
"""After SIGTERM the front makes new connections and sends set-ups on them for up to 600 ms."""

QUIET_MS = 300.0
"""Without a set-up for this long, callers are taken to have gone elsewhere."""

LAG_TIMES = 4.0
"""How many times the event loop's lag all begins earlier: to answer and to close takes some turns of it."""

MAX_EARLIER_SHARE = 0.5
"""Of the time for which a stopping proxy serves."""

CLOSE_AFTER_REFUSE_MS = 250.0
STOP_BEFORE_KILL_MS = 200.0
"""Enough to end the process also where it has a small share of a core."""

CROSSING_MS = 150.0
"""A set-up that crosses a close comes again within 50 ms; a connection is not closed at a younger age."""


class Phase(IntEnum):
    """In the order in which they follow each other."""

    ACCEPTING = 0
    DRAINING = 1
    FINISHING = 2
    CLOSING = 3
    STOPPED = 4


@dataclass(frozen=True, slots=True)
class Load:
    """What the proxy carries now."""

    unanswered: int  # set-ups
    connections: int  # from callers
    last_set_up: float  # ms at which the newest one was taken
    loop_lag: float = 0.0  # ms by which the event loop was late


class Shutdown:
    """`longest_deadline`: ms, of all classes. The clock of all methods is in ms."""

    def __init__(self, longest_deadline: float) -> None:
        self.phase = Phase.ACCEPTING
        self._serve_for = min(longest_deadline, MAX_DEADLINE_MS)
        self._earlier = 0.0
        self._begun = inf
        self._connected_at = inf  # when a connection was seen last

    def begin(self, now: float) -> None:
        """SIGTERM has come; a further one changes nothing."""
        if self.phase is Phase.ACCEPTING:
            self.phase = Phase.DRAINING
            self._begun = self._connected_at = now

    @property
    def answer_by(self) -> float:
        """When every set-up that was taken before has its final answer, and later ones are refused."""
        return self._begun + self._serve_for - self._earlier

    @property
    def stop_by(self) -> float:
        """When the process ends, whatever is left."""
        return self._begun + self._serve_for + KILL_AFTER_DEADLINE_MS - STOP_BEFORE_KILL_MS

    def advance(self, now: float, load: Load) -> Phase:
        """The phase that holds now, never an earlier one than before."""
        if load.connections:
            self._connected_at = now
        if self.phase is Phase.DRAINING:
            earlier = min(LAG_TIMES * load.loop_lag, MAX_EARLIER_SHARE * self._serve_for)
            self._earlier = max(self._earlier, earlier)
        self.phase = max(self.phase, self._due(now, load))
        return self.phase

    def _due(self, now: float, load: Load) -> Phase:
        if self.phase is Phase.ACCEPTING:
            return self.phase
        deserted = now >= self._connected_at + CROSSING_MS  # what crossed the last end would have come by now
        if now >= self.stop_by or (self.phase is Phase.CLOSING and not load.connections):
            return Phase.STOPPED
        if now >= self.answer_by + CLOSE_AFTER_REFUSE_MS or (self.phase is Phase.FINISHING and deserted):
            return Phase.CLOSING
        if now >= self.answer_by or self._quiet(now, load):
            return Phase.FINISHING
        return Phase.DRAINING

    def _quiet(self, now: float, load: Load) -> bool:
        arrived = now >= self._begun + ARRIVALS_MS
        return arrived and not load.unanswered and now - load.last_set_up >= QUIET_MS
