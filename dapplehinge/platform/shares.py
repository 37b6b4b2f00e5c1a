"""Who fills a bounded table: its entries by holder, so that the one with the most gives way; without I/O.

Anyone may add to such a table, so dropping the oldest entry would let one holder push out all others. The
largest share is found by a heap whose outdated entries are passed over, so that a flood costs little.
"""

from __future__ import annotations

from collections.abc import Hashable
from heapq import heapify, heappop, heappush
from itertools import count
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)

MIN_PRUNED_SHARES = 256
"""Below this many entries of the heap outdated ones stay."""


class Shares(Generic[Key]):
    """Keys with a weight, by their holder, such as the connection that they came on. A key has one holder."""

    def __init__(self) -> None:
        self._keys: dict[int, dict[Key, int]] = {}  # holder -> key -> weight, the newest last
        self._holder: dict[Key, int] = {}
        self._share: dict[int, tuple[int, int]] = {}  # holder -> its weight, negative, and when it changed
        self._heap: list[tuple[int, int, int]] = []  # the same with the holder, some outdated
        self._changes = count()
        self.total = 0  # weight of all

    def __len__(self) -> int:
        return len(self._holder)

    def __contains__(self, key: Key) -> bool:
        return key in self._holder

    def holder(self, key: Key) -> int | None:
        return self._holder.get(key)

    def add(self, holder: int, key: Key, weight: int = 1) -> None:
        """Note a key, or that another holder has it now; it counts as the newest."""
        self.remove(key)
        self._keys.setdefault(holder, {})[key] = weight
        self._holder[key] = holder
        self._weigh(holder, weight)

    def remove(self, key: Key) -> None:
        """Let go of a key, if it is there."""
        holder = self._holder.pop(key, None)
        if holder is not None:
            self._weigh(holder, -self._keys[holder].pop(key))

    def move(self, holder: int, to: int) -> None:
        """All that one holder has counts as another's newest."""
        keys = self._keys.pop(holder, None)
        if keys is None:
            return
        weight, _ = self._share.pop(holder)
        self._keys.setdefault(to, {}).update(keys)
        self._holder.update(dict.fromkeys(keys, to))
        self.total += weight  # which is negative: it is added again below
        self._weigh(to, -weight)

    def newest_of_largest(self) -> Key | None:
        """The newest key of the holder with the most; of several such holders the one that changed last."""
        keys = self._keys_of_largest()
        return next(reversed(keys)) if keys else None

    def oldest_of_largest(self) -> Key | None:
        """The oldest key of the same holder."""
        keys = self._keys_of_largest()
        return next(iter(keys)) if keys else None

    def _keys_of_largest(self) -> dict[Key, int] | None:
        while self._heap:
            weight, changed, holder = self._heap[0]
            if self._share.get(holder) == (weight, changed):
                return self._keys[holder]
            heappop(self._heap)
        return None

    def _weigh(self, holder: int, change: int) -> None:
        self.total += change
        weight, _ = self._share.get(holder, (0, 0))
        if not self._keys[holder]:
            del self._keys[holder], self._share[holder]
            return
        self._share[holder] = weight - change, -next(self._changes)
        heappush(self._heap, (*self._share[holder], holder))
        if len(self._heap) > max(MIN_PRUNED_SHARES, 2 * len(self._share)):
            self._heap = [(*share, each) for each, share in self._share.items()]
            heapify(self._heap)
