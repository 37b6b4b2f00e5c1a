"""Tenants against their quotas.

A quota is in calls a second over all boxes; this box's part of it is the quota over the number of boxes. A
tenant within its part ranks by its calls' worth. Beyond it, its calls rank by the over-share worth, so they
are the first to go when the box is pressed, and go through when it is not. Beyond `most` times its part
they are refused outright: nobody's quota is meant so, and each costs the box work.
"""

from __future__ import annotations

from dataclasses import dataclass

from dapplehinge.limits.rates import Rates

BURST_SECONDS = 2.0
"""Seconds of its part that a tenant may use at once: a bell that rings is no abuse."""


@dataclass(frozen=True, slots=True)
class TenantRuling:
    over: bool
    refused: bool
    wait: float = 0.0  # ms


class Tenants:
    def __init__(self, quotas: tuple[float, ...], boxes: int, most: float) -> None:
        self.parts = [quota / max(1, boxes) for quota in quotas]
        self.most = most
        self.usual = Rates()
        self.outright = Rates()

    def take(self, tenant: int, now: float) -> TenantRuling:
        if not 0 <= tenant < len(self.parts):
            return TenantRuling(False, False)
        part = self.parts[tenant]
        burst = max(2.0, BURST_SECONDS * part)
        wait = self.outright.take(tenant, self.most * part, self.most * burst, now)
        if wait:
            return TenantRuling(True, True, wait)
        return TenantRuling(self.usual.over(tenant, part, burst, now) > 0.0, False)
