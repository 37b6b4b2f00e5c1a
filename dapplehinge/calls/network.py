"""What a box is told of its network, as plain values: numbers are places in these tuples."""

from __future__ import annotations

from dataclasses import dataclass, field

from dapplehinge.calls.dialplan import DialPlan
from dapplehinge.interface import Settings

Addr = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Exchange:
    name: str
    zone: int
    switch: Addr  # where its switch takes set-ups (the direct route)
    proxy: Addr | None  # where its proxy takes calls in transit; None: it is nobody's tandem


@dataclass(frozen=True, slots=True)
class TrunkGroup:
    """The circuits from the own exchange to one other that this end may seize."""

    to: int
    circuits: int


@dataclass(frozen=True, slots=True)
class KindOfCall:
    name: str
    give_up: float  # ms after which its callers hang up


@dataclass(frozen=True, slots=True)
class Network:
    settings: Settings
    exchanges: tuple[Exchange, ...]
    groups: tuple[TrunkGroup, ...]
    kinds: tuple[KindOfCall, ...]
    tenants: tuple[str, ...]
    dial_plan: DialPlan
    answer_margin: float = 200.0  # ms before the caller gives up by which the final answer is out
    ring_limit: float = 180_000.0  # ms a call may ring
    guard_margin: float = 25.0  # ms added to the guard, for what passes between a decision and the socket
    by_name: dict[str, int] = field(default_factory=dict)
