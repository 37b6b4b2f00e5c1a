"""Ids of calls whose set-up went out, so that none goes out again under the same id; without I/O."""

from __future__ import annotations

from dapplehinge.platform.shares import Shares

MAX_RECENT_IDS = 16_384
RECENT_KEPT_MS = 30_000.0
"""Longer than any caller waits for one call."""

NO_CONNECTION = 0
"""Holder of the ids whose connection has closed."""


class RecentIds:
    """Every set-up brings a new id: one that went out before is a copy, on whatever connection it comes.

    In a full table the newest id of the connection with the most gives way.
    """

    def __init__(self) -> None:
        self._sent: dict[int, float] = {}  # id -> ms, the oldest first
        self._shares: Shares[int] = Shares()

    def __len__(self) -> int:
        return len(self._sent)

    def note(self, call_id: int, connection: int, now: float) -> None:
        """Its set-up, which came on that connection, goes out now."""
        self._forget(call_id)
        self._sent[call_id] = now
        self._shares.add(connection, call_id)
        oldest = next(iter(self._sent))
        if now - self._sent[oldest] > RECENT_KEPT_MS:
            self._forget(oldest)
        elif len(self._sent) > MAX_RECENT_IDS:
            surplus = self._shares.newest_of_largest()
            assert surplus is not None
            self._forget(surplus)

    def connection_closed(self, connection: int) -> None:
        """Its ids are kept; those of all closed connections count as one connection's."""
        self._shares.move(connection, NO_CONNECTION)

    def knows(self, call_id: int, now: float) -> bool:
        """A set-up went out under this id not long ago."""
        return now - self._sent.get(call_id, -RECENT_KEPT_MS) < RECENT_KEPT_MS

    def _forget(self, call_id: int) -> None:
        if self._sent.pop(call_id, None) is not None:
            self._shares.remove(call_id)
