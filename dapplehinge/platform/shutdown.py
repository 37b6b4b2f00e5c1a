"""The stop of a proxy as a state machine with the clock in; without I/O.

Theory of operation. The platform kills a proxy at a time that follows from the longest deadline of the
deployment, and a set-up that was taken must have its final answer before its connection ends. So every span
here is derived from that deadline, and the proxy only ends what carries nothing:

    accepting  until SIGTERM
    draining   set-ups are served as before; tests by the front fail
    refusing   the longest deadline has passed: what is unanswered is given up, what comes is refused at once
    closing    idle connections are told the end, while new ones are still accepted for what crosses that
    leaving    the listener is closed; the last connections are told the end
    stopped    no connection is left, or the time is up

A proxy that nobody calls any more goes from draining to closing early.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from math import inf

MAX_DEADLINE_MS = 3000.0
"""A longer deadline counts as this for the time of SIGKILL (protocol, Figures)."""

KILL_AFTER_DEADLINE_MS = 700.0
"""From the end of the longest deadline to the earliest SIGKILL (protocol, Figures)."""

CLOSE_AFTER_REFUSE_MS = 200.0
LEAVE_AFTER_REFUSE_MS = 350.0
STOP_BEFORE_KILL_MS = 150.0
"""Enough to end the process also where it has a small share of a core."""

ARRIVALS_MS = 900.0
"""After SIGTERM the front sends new set-ups for up to 600 ms."""

QUIET_MS = 300.0
"""Without a set-up for this long, callers are taken to have gone elsewhere."""

CROSSING_MS = 150.0
"""A set-up that crosses a close comes again within 50 ms; a connection is not closed at a younger age."""


class Phase(IntEnum):
    """In the order in which they follow each other."""

    ACCEPTING = 0
    DRAINING = 1
    REFUSING = 2
    CLOSING = 3
    LEAVING = 4
    STOPPED = 5


@dataclass(frozen=True, slots=True)
class Load:
    """What the proxy carries now."""

    unanswered: int  # set-ups
    connections: int  # from callers
    last_set_up: float  # ms at which the newest one was taken


class Shutdown:
    """`longest_deadline`: ms, of all classes. The clock of all methods is in ms."""

    def __init__(self, longest_deadline: float) -> None:
        self.phase = Phase.ACCEPTING
        self._serve_for = min(longest_deadline, MAX_DEADLINE_MS)
        self._begun = inf
        self._closing_since = inf

    def begin(self, now: float) -> None:
        """SIGTERM has come; a further one changes nothing."""
        if self.phase is Phase.ACCEPTING:
            self.phase = Phase.DRAINING
            self._begun = now

    @property
    def answer_by(self) -> float:
        """When every set-up that was taken before has its final answer, and later ones are refused."""
        return self._begun + self._serve_for

    @property
    def stop_by(self) -> float:
        """When the process ends, whatever is left."""
        return self.answer_by + KILL_AFTER_DEADLINE_MS - STOP_BEFORE_KILL_MS

    def advance(self, now: float, load: Load) -> Phase:
        """The phase that holds now; never an earlier one than before."""
        due = self._due(now, load)
        if due > self.phase:
            if due >= Phase.CLOSING and self._closing_since == inf:
                self._closing_since = now
            self.phase = due
        return self.phase

    def _due(self, now: float, load: Load) -> Phase:
        if self.phase is Phase.ACCEPTING:
            return self.phase
        if now >= self.stop_by:
            return Phase.STOPPED
        if self.phase is Phase.LEAVING:
            return Phase.LEAVING if load.connections else Phase.STOPPED
        if now >= self.answer_by + LEAVE_AFTER_REFUSE_MS or self._closed_early(now, load):
            return Phase.LEAVING
        if now >= self.answer_by + CLOSE_AFTER_REFUSE_MS or self._deserted(now, load):
            return Phase.CLOSING
        return Phase.REFUSING if now >= self.answer_by else Phase.DRAINING

    def _deserted(self, now: float, load: Load) -> bool:
        """Nothing is unanswered and no set-up has come for a while."""
        quiet = now - load.last_set_up >= QUIET_MS
        return now >= self._begun + ARRIVALS_MS and quiet and not load.unanswered

    def _closed_early(self, now: float, load: Load) -> bool:
        """Closing has left no connection, and what crossed it would have come by now."""
        return not load.connections and now >= self._closing_since + CROSSING_MS
