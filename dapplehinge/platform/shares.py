"""Who fills a bounded table: its entries by holder, so that the one with the most gives way; without I/O.

Anyone may add to such a table, so dropping the oldest entry would let one holder push out all others. Every
verb takes constant time.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)


class Shares(Generic[Key]):
    """Keys by their holder, such as the connection that they came on. A key has one holder."""

    def __init__(self) -> None:
        self._keys: dict[Hashable, dict[Key, None]] = {}  # by holder, the newest last
        self._holder: dict[Key, Hashable] = {}
        self._by_size: dict[int, dict[Hashable, None]] = {}  # holders by how many keys they have
        self._largest = 0

    def __len__(self) -> int:
        return len(self._holder)

    def __contains__(self, key: Key) -> bool:
        return key in self._holder

    def add(self, holder: Hashable, key: Key) -> None:
        """Note a key, or that another holder has it now; it counts as the newest."""
        self.remove(key)
        keys = self._keys.setdefault(holder, {})
        keys[key] = None
        self._holder[key] = holder
        self._resize(holder, len(keys) - 1, len(keys))

    def remove(self, key: Key) -> None:
        """Let go of a key, if it is there."""
        if key not in self._holder:
            return
        holder = self._holder.pop(key)
        keys = self._keys[holder]
        del keys[key]
        self._resize(holder, len(keys) + 1, len(keys))
        if not keys:
            del self._keys[holder]

    def newest_of_largest(self) -> Key | None:
        """The newest key of the holder with the most; of several such holders the one that got there last."""
        if not self._largest:
            return None
        holder = next(reversed(self._by_size[self._largest]))
        return next(reversed(self._keys[holder]))

    def _resize(self, holder: Hashable, before: int, after: int) -> None:
        if before:
            holders = self._by_size[before]
            del holders[holder]
            if not holders:
                del self._by_size[before]
        if after:
            self._by_size.setdefault(after, {})[holder] = None
        if after > self._largest or before == self._largest and before not in self._by_size:
            self._largest = after
