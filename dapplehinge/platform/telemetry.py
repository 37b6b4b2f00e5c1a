"""Counters of the platform front, and the history of each set-up that has no final answer yet.

Nothing here decides anything. The sockets log `Metrics.summary` at intervals, and the histories of set-ups
that a shutdown finds unanswered, so that an end can be traced to its cause from the log alone.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

MAX_TRANSITIONS = 40
"""Kept of one set-up, the newest ones; a set-up has few attempts, each with a handful of transitions."""


class Step(Enum):
    """What happens to a set-up between its INVITE and its final answer."""

    OFFERED = "offered"
    ROUTED = "routed"  # the module asked for an attempt; detail: switch
    NO_LINK = "no-link"  # waits for a connection to the switch
    HELD = "held"  # waits for the guard
    SENT = "sent"  # detail: switch and link
    ENDED = "ended"  # the attempt; detail: outcome and cause


class CallerClose(Enum):
    """Why a connection from a caller was closed."""

    BY_CALLER = "by-caller"
    SILENT = "silent"
    UNREADABLE = "unreadable"
    FAULT = "fault"  # of the program
    MAKES_ROOM = "makes-room"
    NOT_READING = "not-reading"
    MEMORY = "memory"  # the largest message that was not whole: all together held too many bytes
    SHUTDOWN = "shutdown"


class LinkClose(Enum):
    """Why a connection to a switch was closed, or did not come up."""

    REFUSED = "refused"
    NOT_UP = "not-up"  # within the connect time-out
    BY_SWITCH = "by-switch"
    UNREADABLE = "unreadable"
    NOT_READING = "not-reading"
    SILENT = "silent"  # another link to the switch works
    SWITCH_GONE = "switch-gone"
    PROCESS_REPLACED = "process-replaced"  # the list told a later start, or another address


class Shed(Enum):
    """What was not taken or given up though it could be read."""

    CALLER_LEFT = "caller-left"  # a set-up that was read after its caller had closed
    OPEN_SET_UP = "open-set-up"  # the oldest without an answer: all together hold too many bytes
    RESTORED_CALL = "restored-call"  # more calls were named at a switch than it can hold


@dataclass(frozen=True, slots=True)
class Transition:
    at: float  # ms
    step: Step
    detail: str


class History:
    """The transitions of one set-up, oldest first."""

    __slots__ = ("_transitions",)

    def __init__(self, now: float) -> None:
        self._transitions = [Transition(now, Step.OFFERED, "")]

    def add(self, now: float, step: Step, detail: str = "") -> None:
        if len(self._transitions) >= MAX_TRANSITIONS:
            del self._transitions[1]
        self._transitions.append(Transition(now, step, detail))

    @property
    def began(self) -> float:
        """ms at which the set-up was taken."""
        return self._transitions[0].at

    def __str__(self) -> str:
        """`+0ms offered, +1ms sent s-1/3`: times count from the offer."""
        began = self.began
        parts = (f"+{each.at - began:.0f}ms {each.step.value} {each.detail}" for each in self._transitions)
        return ", ".join(part.rstrip() for part in parts)


@dataclass(slots=True)
class Metrics:
    """Counts since the start of the process."""

    offered: int = 0
    given_up: int = 0
    responses: Counter[int] = field(default_factory=Counter)  # final answers to INVITE, by status
    attempts: int = 0
    attempt_ends: Counter[str] = field(default_factory=Counter)  # by outcome
    caller_closes: Counter[CallerClose] = field(default_factory=Counter)
    link_closes: Counter[LinkClose] = field(default_factory=Counter)
    shed: Counter[Shed] = field(default_factory=Counter)

    def summary(self) -> str:
        """All counters that are not 0, as `name=value` words."""
        words = [f"offered={self.offered}", f"given-up={self.given_up}"]
        words += [f"answered.{status}={count}" for status, count in sorted(self.responses.items())]
        words.append(f"attempts={self.attempts}")
        words += [f"attempt.{outcome}={count}" for outcome, count in sorted(self.attempt_ends.items())]
        words += [f"caller-close.{why.value}={count}" for why, count in self.caller_closes.items()]
        words += [f"link-close.{why.value}={count}" for why, count in self.link_closes.items()]
        words += [f"shed.{what.value}={count}" for what, count in self.shed.items()]
        return " ".join(words)
