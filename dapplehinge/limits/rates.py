"""Rates by key: the generic cell rate algorithm (ITU-T I.371), one float a key.

A key's theoretical arrival time runs ahead of the clock by what it has used beyond its rate. Full keys are
those whose time runs ahead by more than the burst allows. A key that fell behind the clock is as good as
unknown, so a table that is full sheds those first: what it forgets changes no later answer.
"""

from __future__ import annotations


class Rates:
    """`most_keys` bounds memory; a flood of new keys beyond it is refused rather than let through
    uncounted.
    """

    def __init__(self, most_keys: int = 10_000) -> None:
        self.most_keys = most_keys
        self.ahead: dict[object, float] = {}
        self._swept = -1e18

    def take(self, key: object, per_second: float, burst: float, now: float) -> float:
        """Use one unit of the key's rate: 0 where it may, else the ms after which it may."""
        gap = 1000.0 / per_second
        at = self.ahead.get(key)
        if at is None:
            if len(self.ahead) >= self.most_keys and not self._sweep(now):
                return gap
            at = now
        at = max(at, now)
        wait = at - now - (burst - 1.0) * gap
        if wait > 1e-9:
            return wait
        self.ahead[key] = at + gap
        return 0.0

    def over(self, key: object, per_second: float, burst: float, now: float) -> float:
        """Use one unit whether or not it may; how many units the key is beyond its burst, 0 where it is not.

        The debt is bounded by twice the burst, so a key is forgiven soon after it keeps its rate again.
        """
        gap = 1000.0 / per_second
        at = max(self.ahead.get(key, now), now) + gap
        most = now + 2.0 * max(1.0, burst) * gap
        if key in self.ahead or len(self.ahead) < self.most_keys or self._sweep(now):
            self.ahead[key] = min(at, most)
        return max(0.0, (at - now) / gap - burst)

    def _sweep(self, now: float) -> bool:
        """Drop keys that are not ahead; at most ten times a second. Whether there is room now."""
        if now - self._swept >= 100.0:
            self._swept = now
            self.ahead = {key: at for key, at in self.ahead.items() if at > now}
        return len(self.ahead) < self.most_keys
