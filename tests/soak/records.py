"""What callers, switches and discovery saw; times are seconds of the monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

LAG_TICK_S = 0.01  # at which the stand-ins look how late their event loop is
LEAST_LAG_S = 0.005  # recorded


class CallerKind(Enum):
    USUAL = "usual"
    SLOW_WRITER = "slow writer"
    IMPATIENT = "impatient"
    BAD = "bad"


class AttemptEnd(Enum):
    """How an attempt ended at its switch."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    RESET = "reset"  # cause 41, or the switch broke the connection
    GIVEN_UP = "given up"  # released by the proxy
    LINK_CLOSED = "link closed"  # by the proxy


@dataclass(slots=True)
class FinalAnswer:
    at: float
    status: int
    body: bytes


@dataclass(slots=True)
class SetUp:
    """One INVITE, or the copy of one that crossed the close of its connection."""

    id: int
    kind: CallerKind
    connection: int
    wait_s: float
    destination: int
    began_at: float
    written_at: float | None = None  # last byte
    answers: list[FinalAnswer] = field(default_factory=list)
    given_up_at: float | None = None  # CANCEL, or the caller closed the connection
    connection_ended_at: float | None = None
    observer_lag_s: float = 0.0  # by which the stand-in saw the end late, by its own event loop
    resent: bool = False  # sent once more, as `resend_of` of another record
    resend_refused: bool = False  # the new connection was not accepted
    resend_of: int | None = None  # index of the record it repeats
    unreadable: bool = False  # bytes that are no message came on its connection before its answer


@dataclass(slots=True)
class Attempt:
    """A set-up as it reached a switch."""

    call: int
    switch: str
    place: int
    arrived_at: float
    matches_set_up: bool = True
    ended_at: float | None = None
    end: AttemptEnd | None = None
    answer: bytes = b""


@dataclass(slots=True)
class ListChange:
    """One change of a switch's state; `told_by` is when each run of the node counts as told."""

    event: int
    switch: str
    place: int
    state: str
    published_at: float
    cold: bool = False  # it has just started
    told_by: dict[int, float] = field(default_factory=dict)


@dataclass(slots=True)
class NodeRun:
    """One life of the proxy process."""

    number: int
    started_at: float
    ready_at: float | None = None
    sigterm_at: float | None = None
    earliest_kill_at: float | None = None
    ended_at: float | None = None
    killed: bool = False
    exit_code: int | None = None
    most_descriptors: int = 0
    log: list[str] = field(default_factory=list)


@dataclass(slots=True)
class BadConnection:
    opened_at: float
    answered_at: float | None = None  # a refusal, an error or a close


@dataclass(frozen=True, slots=True)
class Lag:
    at: float
    late_s: float


@dataclass(frozen=True, slots=True)
class ColdContract:
    """What a switch that has just started bears, by the settings that the proxy is given."""

    span_s: float = 8.0  # for how long it is cold
    share: float = 0.4  # of what it bears when warm, at its start
    fall_multiple: float = 2.5  # of what other switches get, when warm
    window_s: float = 3.0  # in which too much makes it fall


@dataclass(slots=True)
class Records:
    guard_s: float
    drain_grace_s: float
    sockets: int
    switches: int
    cold: ColdContract = field(default_factory=ColdContract)
    set_ups: list[SetUp] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    changes: list[ListChange] = field(default_factory=list)
    runs: list[NodeRun] = field(default_factory=list)
    bad_connections: list[BadConnection] = field(default_factory=list)
    lags: list[Lag] = field(default_factory=list)  # of the stand-ins' own event loop
    last_tick_at: float = 0.0

    @property
    def worst_lag_s(self) -> float:
        return max((lag.late_s for lag in self.lags), default=0.0)

    def lag_since(self, begin: float, now: float) -> float:
        """The most that the stand-ins were late by since a time, the lateness of this moment included."""
        late_now = max(0.0, now - self.last_tick_at - LAG_TICK_S) if self.last_tick_at else 0.0
        return max([late_now, *(lag.late_s for lag in self.lags if lag.at >= begin)])
