"""What the call core asks of the fronts, in order. A front knows legs by (call, attempt), the caller's as
call.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto


class Final(Enum):
    """The final answer of a call, or how it ended after it stood."""

    REFUSED = auto()
    FAILED = auto()
    CLEARED = auto()  # it stood before and has now ended


@dataclass(frozen=True, slots=True)
class Place:
    """Send the set-up of an attempt: to the switch of `exchange`, or to its proxy as a call in transit."""

    call: int
    attempt: int
    exchange: int
    tandem: bool
    budget: float  # ms that the far end may use


@dataclass(frozen=True, slots=True)
class Drop:
    """Release the leg of an attempt."""

    call: int
    attempt: int
    cause: int


@dataclass(frozen=True, slots=True)
class TellRinging:
    """The call stands: tell its caller that it rings. The attempt's leg is the call's from now on."""

    call: int
    attempt: int


@dataclass(frozen=True, slots=True)
class TellAnswered:
    call: int
    attempt: int


@dataclass(frozen=True, slots=True)
class End:
    """End the caller's leg with this cause."""

    call: int
    cause: int
    text: str
    final: Final
    doubtful: float | None = None  # ms since a doubtful end, for the box that sent the call in transit


Action = Place | Drop | TellRinging | TellAnswered | End
