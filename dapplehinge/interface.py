"""The interface of the decision module: its settings, events and actions.

Times and spans are milliseconds on one clock that only goes forward. A switch is named by an opaque number
that its lists gave it (`SwitchId`), a place in the network by the exchange number that calls carry.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from math import isfinite

SwitchId = int
"""Opaque identity of one running switch; a machine that replaces it has another."""

EVERY_PEER = -1
"""As the receiver of a peer message: all peers."""


class Layout(Enum):
    """What the switches on the list are."""

    NETWORK = auto()  # exchanges joined by trunk groups
    POOLS = auto()  # pools of agents that all proxies share


class Repeat(Enum):
    """Whether a call may be sent again after an attempt that may have run."""

    FREELY = auto()
    WITHIN_GROUP = auto()  # only to switches that discard repeats together, and only for a while
    NEVER = auto()


class RepeatGroup(Enum):
    """Which switches discard each other's repeats."""

    ALL = auto()
    ZONE = auto()
    EXCHANGE = auto()


class SwitchState(Enum):
    READY = auto()
    DRAINING = auto()
    GONE = auto()


class ListKind(Enum):
    CHANGES = auto()
    WHOLE = auto()
    SAVED = auto()  # whole, but as it was before a restart
    FAILED = auto()  # no entries: the request or the subscription failed


class Outcome(Enum):
    """How an attempt ended."""

    COMPLETED = auto()  # the call stood and came to its end
    LINE_BUSY = auto()  # the number is engaged, or a signalling fault
    REJECTED = auto()  # turned away: it never ran
    TIMED_OUT = auto()
    UNREACHABLE = auto()  # no connection: it never ran
    CUT = auto()
    CANCELLED = auto()
    NOT_SENT = auto()  # it never left the own exchange


class Cause(Enum):
    """What an ended attempt says of its reason."""

    NONE = auto()
    NO_CIRCUIT = auto()
    TURNED_BACK = auto()  # by the tandem
    TURNED_BACK_FULL = auto()  # by the tandem, as the processor beyond was full
    PROCESSOR_FULL = auto()
    LINES_ENGAGED = auto()


class Load(Enum):
    """Meanings of the values that load reports carry."""

    FREE_CIRCUITS = auto()
    GROUP_SIZE = auto()
    OUTSTANDING = auto()
    BACKLOG = auto()
    UTILIZATION = auto()
    WAIT = auto()
    SET_UP_RATE = auto()
    HOLD_BACK = auto()


@dataclass(frozen=True, slots=True)
class CallClass:
    target: float  # stands within this time: full worth
    worth: float
    late_worth: float  # share of the worth for standing later
    repeat: Repeat = Repeat.FREELY
    repeat_group: RepeatGroup = RepeatGroup.ALL
    repeat_window: float = 0.0
    pools: tuple[int, ...] = ()  # pools that may serve it, where the layout has pools


@dataclass(frozen=True, slots=True)
class Settings:
    classes: tuple[CallClass, ...]
    own_exchange: int
    position: int
    proxies: int
    layout: Layout
    guard: float  # wait before a call in doubt is sent again
    max_attempts: int
    round_span: float  # events and answers move in steps of this
    answer_grace: float
    cold_share: float
    cold_span: float
    fall_multiple: float
    tip_after: float
    stop_sending_within: float
    tenant_quotas: tuple[float, ...] = ()  # calls a second over all proxies
    over_share_worth: float = 1.0
    must_ask_for_list: bool = False
    ask_within: float = 10_000.0
    may_cancel: bool = False
    may_probe: bool = False
    may_tell_peers: bool = False
    stay_away_heeded: float = 0.0  # longest stay-away that callers follow; 0: none

    def __post_init__(self) -> None:
        """Raise a `ValueError` that names the first field which makes no sense."""
        if not self.classes:
            raise ValueError("classes: at least one class of call is needed")
        for index, kind in enumerate(self.classes):
            _check(f"classes[{index}].target", kind.target, above=0.0)
            _check(f"classes[{index}].worth", kind.worth)
            _check(f"classes[{index}].late_worth", kind.late_worth)
            _check(f"classes[{index}].repeat_window", kind.repeat_window)
        for name in ("position", "guard", "answer_grace", "cold_span", "fall_multiple", "tip_after"):
            _check(name, getattr(self, name))
        for name in ("stop_sending_within", "over_share_worth", "ask_within", "stay_away_heeded"):
            _check(name, getattr(self, name))
        _check("proxies", self.proxies, least=1.0)
        _check("max_attempts", self.max_attempts, least=1.0)
        _check("round_span", self.round_span, above=0.0)
        _check("cold_share", self.cold_share, most=1.0)
        for index, quota in enumerate(self.tenant_quotas):
            _check(f"tenant_quotas[{index}]", quota)


def _check(
    name: str, value: float, least: float = 0.0, above: float | None = None, most: float = 1e15
) -> None:
    if not isfinite(value) or value < least or value > most or (above is not None and value <= above):
        bound = f"above {above:g}" if above is not None else f"at least {least:g}"
        limit = f" and at most {most:g}" if most < 1e15 else ""
        raise ValueError(f"{name}: {value!r} makes no sense, it must be a finite number {bound}{limit}")


@dataclass(frozen=True, slots=True)
class SwitchEntry:
    switch: SwitchId
    exchange: int
    state: SwitchState
    zone: int = 0
    started_at: float = 0.0  # 0: long ago
    relative_size: float = 1.0


@dataclass(frozen=True, slots=True)
class SwitchList:
    kind: ListKind
    entries: tuple[SwitchEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class CallOffered:
    call: int
    call_class: int
    destination: int
    budget: float  # until the caller gives this try up
    width: int = 1
    in_transit: bool = False
    redialled: bool = False
    cut_before: bool = False
    tenant: int = 0
    number: int = 0  # the number dialled; 0: not told
    advised: int = -1  # tandem with most room at a centre's last look; -1: none


@dataclass(frozen=True, slots=True)
class CallStands:
    call: int
    attempt: int
    switch: SwitchId
    took: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    call: int
    attempt: int
    switch: SwitchId
    outcome: Outcome
    cause: Cause
    took: float
    concluded: bool  # the call is over, by this outcome or before
    report: tuple[tuple[Load, float], ...] = ()
    stated_wait: float = 0.0


@dataclass(frozen=True, slots=True)
class CallerGone:
    call: int


@dataclass(frozen=True, slots=True)
class TimerDue:
    tag: int


@dataclass(frozen=True, slots=True)
class SwitchReport:
    """Free circuits that changed (unasked), or what a probe brought."""

    switch: SwitchId
    probed: bool
    reached: bool
    took: float
    report: tuple[tuple[Load, float], ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessage:
    sender: int
    content: bytes


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """The proxy is to end: each call has its final answer by `answer_by`, ms on the clock of the events."""

    answer_by: float


Event = (
    SwitchList
    | CallOffered
    | CallStands
    | AttemptEnded
    | CallerGone
    | TimerDue
    | SwitchReport
    | PeerMessage
    | ShutdownStarted
)


@dataclass(frozen=True, slots=True)
class SetUp:
    """Start the call's next attempt: the direct route if the switch is its destination, else by tandem."""

    call: int
    switch: SwitchId
    time_out: float


@dataclass(frozen=True, slots=True)
class Refuse:
    call: int
    stay_away: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    call: int


@dataclass(frozen=True, slots=True)
class Cancel:
    call: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    span: float
    tag: int


@dataclass(frozen=True, slots=True)
class Probe:
    switch: SwitchId


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask for the list's changes from now on, or end that."""

    active: bool = True


@dataclass(frozen=True, slots=True)
class FetchList:
    """Ask for the whole list once."""


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Shut the idle connections to a switch."""

    switch: SwitchId


@dataclass(frozen=True, slots=True)
class TellPeer:
    receiver: int
    content: bytes


@dataclass(frozen=True, slots=True)
class Note:
    text: str


Action = (
    SetUp | Refuse | Fail | Cancel | SetTimer | Probe | Subscribe | FetchList | CloseIdle | TellPeer | Note
)
