"""Releases to a switch that may have to be written to another link; bounded, without I/O."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from dapplehinge.platform.shares import Shares


@dataclass(frozen=True, slots=True)
class SwitchRelease:
    """`holder`: connection from callers on which its call came; 0: not known."""

    id: int
    cause: int
    holder: int
    at: float  # ms


class SwitchReleases:
    """By call id, the oldest first. In a full table the newest of the holder with the most gives way."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._releases: dict[int, SwitchRelease] = {}
        self._shares: Shares[int] = Shares()

    def __len__(self) -> int:
        return len(self._releases)

    def __iter__(self) -> Iterator[SwitchRelease]:
        return iter(list(self._releases.values()))

    def add(self, release: SwitchRelease) -> None:
        self.remove(release.id)
        self._releases[release.id] = release
        self._shares.add(release.holder, release.id)
        if len(self._releases) > self._most:
            surplus = self._shares.newest_of_largest()
            assert surplus is not None
            self.remove(surplus)

    def remove(self, call_id: int) -> None:
        if self._releases.pop(call_id, None) is not None:
            self._shares.remove(call_id)

    def take_all(self) -> list[SwitchRelease]:
        """Empty it."""
        taken = list(self._releases.values())
        self._releases.clear()
        self._shares = Shares()
        return taken
