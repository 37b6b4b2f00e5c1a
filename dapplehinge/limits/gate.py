"""The gate: all limits in their order, from the cheapest and surest to the finest.

1. the source network's call numbers and set-up rate: an attacker, or a device gone wild, stops here;
2. the tenant's outright limit;
3. calls in hand that do not stand yet: the last part of the room is kept for the worthier half of the ranks;
4. pressure: the worthiest first.

What passes is taken, and from there on the module alone decides. A call in transit was admitted by another
box and holds a circuit already: it passes 1 and 2 and ranks above its class.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from dapplehinge.limits.pressure import Pressure
from dapplehinge.limits.sources import Sources
from dapplehinge.limits.tenants import Tenants

SWITCH_CONGESTION = 42
"""Cause of Q.850 that every refusal by a limit has."""

KEPT_FOR_WORTHY = 0.2
"""Part of the room for calls in hand that only calls of at least the mean worth may use."""

TRANSIT_RANK = 1.5
"""A call in transit ranks by this much above its class: to refuse it wastes what it holds upstream."""


@dataclass(frozen=True, slots=True)
class Request:
    host: str
    tenant: int
    worth: float  # of its class
    in_transit: bool = False


@dataclass(frozen=True, slots=True)
class Refused:
    limit: str  # source, tenant, in_hand, pressure
    cause: int
    text: str  # for the caller; says when to try again where that is known


class Gate:
    def __init__(
        self, sources: Sources, tenants: Tenants, pressure: Pressure, most_in_hand: int, over_worth: float
    ) -> None:
        self.sources = sources
        self.tenants = tenants
        self.pressure = pressure
        self.most_in_hand = most_in_hand
        self.over_worth = over_worth
        self.in_hand = 0
        self.mean_worth = 0.0
        self.counts: Counter[str] = Counter()

    def ask(self, request: Request, now: float) -> Refused | None:
        """None: take the call, and tell `began`, `stands` and `ended` of it."""
        if not request.in_transit:
            refused = self.ask_source(request.host, now)
            if refused is not None:
                return refused
        return self.ask_rest(request, now)

    def ask_source(self, host: str, now: float) -> Refused | None:
        """The part that needs no knowledge of who calls: asked before a caller is challenged."""
        reason, wait = self.sources.take(host, now)
        return self._refuse("source", reason, wait) if reason else None

    def ask_rest(self, request: Request, now: float) -> Refused | None:
        """The part that counts for the caller's tenant and class: asked once it is known who calls."""
        rank = request.worth
        if request.in_transit:
            rank *= TRANSIT_RANK
        else:
            ruling = self.tenants.take(request.tenant, now)
            if ruling.refused:
                return self._refuse("tenant", "far beyond the quota", ruling.wait)
            if ruling.over:
                rank *= self.over_worth
        self.mean_worth += (rank - self.mean_worth) / 100.0 if self.mean_worth else rank
        room = self.most_in_hand
        if rank < self.mean_worth:
            room = int((1.0 - KEPT_FOR_WORTHY) * room)
        if self.in_hand >= room:
            return self._refuse("in_hand", "too many calls in hand", 1000.0)
        if not self.pressure.admits(rank):
            return self._refuse("pressure", "busy", 2000.0)
        return None

    def began(self, host: str) -> None:
        """A call was taken: it holds a call number, and does not stand yet."""
        self.in_hand += 1
        self.sources.began(host)

    def stands(self) -> None:
        """A call in hand stands, or ended before it stood."""
        self.in_hand -= 1

    def ended(self, host: str) -> None:
        self.sources.ended(host)

    def _refuse(self, limit: str, reason: str, wait: float) -> Refused:
        self.counts[limit] += 1
        seconds = max(1, round(wait / 1000.0 + 0.5))
        return Refused(limit, SWITCH_CONGESTION, f"{reason}; try again in {seconds} s")
