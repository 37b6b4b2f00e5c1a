"""Releases owed to callers: on which connection each is told, and again where that may not have been heard.

Theory of operation. A call that stands belongs to no connection, so its release may go on any connection
from callers; but what connects need not be a caller. A release goes on the call's own connection, else on one
on which a call was answered: then it counts as told. Where neither is there it goes on a connection that
offered a call, and, while nobody says that he received it, on further ones, a few in all. Where no connection
is there it waits for one. A connection that ends soon after may not have been read to its end: what was told
on it last is told again.

Without I/O: each verb returns what is to be written now.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

from dapplehinge.platform.actions import ReleaseCaller

MAX_RELEASES = 4096
"""Kept; the oldest goes first."""

TOLD_KEPT_MS = 8000.0
"""For which a release that was told may be told again."""

UNTOLD_KEPT_MS = 60_000.0
"""For which a release waits for a connection on which it counts as told."""

MAX_UNCERTAIN_COPIES = 4
"""Connections that only offered calls on which one release is sent."""


class Trust(IntEnum):
    """That a connection is a caller's, by what came on it."""

    OFFERED = 1  # set-ups that make sense; anyone may send those
    ANSWERED = 2  # a call stood that was set up on it


@dataclass(frozen=True, slots=True)
class Send:
    """Write a release on a connection."""

    connection: int
    release: ReleaseCaller


@dataclass(slots=True)
class _Owed:
    release: ReleaseCaller
    since: float  # ms
    told_on: set[int] = field(default_factory=set)
    certain: bool = False  # told on its own connection or on one that was answered


class CallerReleases:
    """All clocks are in ms. Connections are numbers that are not used again."""

    def __init__(self) -> None:
        self._open: set[int] = set()
        # connections by what came on them; the one used last comes last
        self._by_trust: dict[Trust, dict[int, None]] = {trust: {} for trust in Trust}
        self._owed: dict[int, _Owed] = {}  # by call id, the oldest first

    def __len__(self) -> int:
        return len(self._owed)

    # Connections

    def connected(self, connection: int) -> None:
        self._open.add(connection)

    def trusted(self, connection: int, trust: Trust) -> list[Send]:
        """A connection was used as callers do."""
        if connection not in self._open:
            return []
        before = self.trust(connection)
        if before is not None:
            del self._by_trust[before][connection]
        now = trust if before is None else max(before, trust)
        self._by_trust[now][connection] = None
        if now is before:
            return []
        waiting = [owed for owed in self._owed.values() if not owed.certain]
        return [self._tell(owed, connection) for owed in waiting if self._may_tell(owed, connection, now)]

    def trust(self, connection: int) -> Trust | None:
        return next((trust for trust in Trust if connection in self._by_trust[trust]), None)

    def finishing(self, connection: int) -> None:
        """A connection was told its end: what was written on it is read, and nothing more can be written."""
        self._open.discard(connection)
        for connections in self._by_trust.values():
            connections.pop(connection, None)

    def ended(self, connection: int) -> list[Send]:
        """A connection is closed; what was told on it may not have been read."""
        self.finishing(connection)
        sends = []
        for owed in self._owed.values():
            if connection in owed.told_on:
                owed.told_on.discard(connection)
                owed.certain = False
                sends += self._tell_next(owed)
        return sends

    # Releases

    def add(self, release: ReleaseCaller, now: float) -> list[Send]:
        owed = self._owed[release.id] = _Owed(release, now)
        if len(self._owed) > MAX_RELEASES:
            del self._owed[next(iter(self._owed))]
        return self._tell_next(owed)

    def received(self, call_id: int) -> None:
        """A caller said so."""
        self._owed.pop(call_id, None)

    def tick(self, now: float) -> list[Send]:
        """Forget what is old, and tell again what nobody received; to be called a few times a second."""
        sends = []
        for call_id, owed in list(self._owed.items()):
            if now - owed.since >= (TOLD_KEPT_MS if owed.certain else UNTOLD_KEPT_MS):
                del self._owed[call_id]
            elif not owed.certain:
                sends += self._tell_next(owed)
        return sends

    def _tell_next(self, owed: _Owed) -> list[Send]:
        own = owed.release.conn
        if own in self._open and own not in owed.told_on:
            return [self._tell(owed, own)]
        for trust in sorted(Trust, reverse=True):
            for connection in reversed(self._by_trust[trust]):
                if self._may_tell(owed, connection, trust):
                    return [self._tell(owed, connection)]
                if connection not in owed.told_on:
                    break  # no more of this kind
        return []

    @staticmethod
    def _may_tell(owed: _Owed, connection: int, trust: Trust) -> bool:
        more = trust is Trust.ANSWERED or len(owed.told_on) < MAX_UNCERTAIN_COPIES
        return more and connection not in owed.told_on

    def _tell(self, owed: _Owed, connection: int) -> Send:
        owed.told_on.add(connection)
        owed.certain = connection == owed.release.conn or self.trust(connection) is Trust.ANSWERED
        return Send(connection, owed.release)
