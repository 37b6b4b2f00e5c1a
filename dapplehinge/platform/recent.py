"""Ids of calls whose set-up went out, so that none goes out again under the same id; without I/O."""

from __future__ import annotations

MAX_RECENT_IDS = 16_384
RECENT_KEPT_MS = 30_000.0
"""Longer than any caller waits for one call."""


class RecentIds:
    """Every set-up brings a new id: one that went out before is a copy, on whatever connection it comes."""

    def __init__(self) -> None:
        self._sent: dict[int, float] = {}  # id -> ms, the oldest first

    def __len__(self) -> int:
        return len(self._sent)

    def note(self, call_id: int, now: float) -> None:
        """Its set-up goes out now."""
        self._sent.pop(call_id, None)
        self._sent[call_id] = now
        oldest = next(iter(self._sent))
        if len(self._sent) > MAX_RECENT_IDS or now - self._sent[oldest] > RECENT_KEPT_MS:
            del self._sent[oldest]

    def knows(self, call_id: int, now: float) -> bool:
        """A set-up went out under this id not long ago."""
        return now - self._sent.get(call_id, -RECENT_KEPT_MS) < RECENT_KEPT_MS
