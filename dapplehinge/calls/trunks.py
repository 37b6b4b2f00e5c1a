"""The ledger of busy circuits on the own trunk groups.

A group's circuits are shared between its two ends in fixed parts (docs/design/program.md says why), so what
this end may seize it alone counts, and two ends never seize the same circuit. Circuits are held by call, so
that giving one back twice, or one never held, changes nothing and is counted in `odd`.

A far end that refuses for want of a circuit while the ledger has one knows better: circuits are gone. The
group is then held at what it carries, and one circuit more is believed in after each `RECOVERY_GAP`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

RECOVERY_GAP = 500.0
"""ms after which one more circuit is tried: a lost group comes back in seconds, a try costs one refusal."""


@dataclass(slots=True)
class Group:
    to: int
    circuits: int
    holders: dict[int, float] = field(default_factory=dict)  # call -> since when it holds a circuit
    ceiling: int | None = None  # what the far end last showed to be there; None: all
    ceiling_at: float = 0.0

    def usable(self, now: float) -> int:
        if self.ceiling is None:
            return self.circuits
        usable = self.ceiling + int((now - self.ceiling_at) / RECOVERY_GAP)
        if usable >= self.circuits:
            self.ceiling = None
            return self.circuits
        return usable

    def free(self, now: float) -> int:
        return max(0, self.usable(now) - len(self.holders))


class Ledger:
    def __init__(self, sizes: dict[int, int]) -> None:
        self.groups = {to: Group(to, circuits) for to, circuits in sizes.items()}
        self.odd = 0

    def free(self, to: int, now: float) -> int:
        group = self.groups.get(to)
        return group.free(now) if group else 0

    def seize(self, to: int, call: int, now: float) -> bool:
        group = self.groups.get(to)
        if group is None or call in group.holders or group.free(now) < 1:
            return False
        group.holders[call] = now
        return True

    def release(self, to: int, call: int) -> None:
        group = self.groups.get(to)
        if group is None or group.holders.pop(call, None) is None:
            self.odd += 1

    def refused_by_far_end(self, to: int, now: float) -> None:
        """The far end found no circuit for a set-up whose own one has been given back already."""
        group = self.groups.get(to)
        if group is not None:
            group.ceiling, group.ceiling_at = len(group.holders), now

    def next_recovery(self, now: float) -> float | None:
        """When some group next gets a circuit back, if any is held down."""
        dues = [
            group.ceiling_at + RECOVERY_GAP * (1 + int((now - group.ceiling_at) / RECOVERY_GAP))
            for group in self.groups.values()
            if group.ceiling is not None
        ]
        return min(dues) if dues else None
