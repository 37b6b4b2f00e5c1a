"""Releases by switches of calls that are not known (yet); without I/O.

After a restart of the proxy callers bring back the calls that stand, while their switches go on releasing
them: a release may come first.
"""

from __future__ import annotations

from dataclasses import dataclass

from dapplehinge.interface import SwitchId
from dapplehinge.platform.shares import Shares

MAX_UNCLAIMED_RELEASES = 4096

RELEASE_KEPT_MS = 60_000.0
"""Callers come back when the proxy is ready, for which the platform gives it 30 s, or seconds later."""


@dataclass(frozen=True, slots=True)
class UnclaimedRelease:
    switch: SwitchId
    cause: int
    at: float  # ms


class UnclaimedReleases:
    """By call id, the oldest first. In a full table the newest of the switch with the most gives way."""

    def __init__(self) -> None:
        self._releases: dict[int, UnclaimedRelease] = {}
        self._shares: Shares[int] = Shares()

    def __len__(self) -> int:
        return len(self._releases)

    def keep(self, call_id: int, release: UnclaimedRelease) -> None:
        self._forget(call_id)
        self._releases[call_id] = release
        self._shares.add(release.switch, call_id)
        oldest = next(iter(self._releases))
        if release.at - self._releases[oldest].at > RELEASE_KEPT_MS:
            self._forget(oldest)
        elif len(self._releases) > MAX_UNCLAIMED_RELEASES:
            surplus = self._shares.newest_of_largest()
            assert surplus is not None
            self._forget(surplus)

    def claim(self, call_id: int, switch: SwitchId, now: float) -> UnclaimedRelease | None:
        """The release of a call that is brought back as standing at that switch; it is forgotten here."""
        release = self._releases.get(call_id)
        if release is None or release.switch != switch or now - release.at > RELEASE_KEPT_MS:
            return None
        self._forget(call_id)
        return release

    def _forget(self, call_id: int) -> None:
        if self._releases.pop(call_id, None) is not None:
            self._shares.remove(call_id)
