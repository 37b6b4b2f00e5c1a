"""Releases owed to callers: on which connection each is told, and again where that may not have been heard.

Theory of operation. A call that stands belongs to no connection, so its release may go on any connection
from callers; but what connects need not be a caller, and what calls need not be the caller of that call. Only
the connection that the call was set up on is known to be its caller's: a release told there is told, and a
200 to it that comes there is its receipt. Where that connection has gone, the release is told on one on which
a call was answered, else on one that offered a call, and a moment later on each other one, and on those that
come while it is kept. A 200 from those proves nothing, as anyone may say so: it puts the release behind the
others and does not end it. What was told for long is put behind as well, and copies are bounded, since
callers need not send a 200.

A release of a call of which nothing but its caller's word is known (`confirmed` is false) is told on the
connection that named it, and comes last in everything else. In a full table what is told gives way before
what waits, and among those the newest of the connection that fills it.

Without I/O: each verb returns what is to be written now.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from itertools import islice

from dapplehinge.platform.actions import ReleaseCaller
from dapplehinge.platform.shares import Shares

MAX_RELEASES = 4096

TOLD_KEPT_MS = 8000.0
"""For which a release that was told on its own connection may be told again."""

UNTOLD_KEPT_MS = 60_000.0
"""For which one is told on the connections that come."""


class Trust(IntEnum):
    """That a connection is a caller's, by what came on it; whose caller's it does not tell."""

    OFFERED = 1  # set-ups that make sense
    ANSWERED = 2  # a call stood that was set up on it


class Need(IntEnum):
    """How much a release needs its place in the table."""

    UNCONFIRMED = 0
    TOLD = 1  # on its own connection
    DEFERRED = 2  # somebody received it who need not be its caller, or it was told for long
    WAITING = 3
    UNTOLD = 4


MAX_COPIES = {Need.UNTOLD: 1024, Need.WAITING: 64, Need.DEFERRED: 8, Need.UNCONFIRMED: 8}
"""Told between two ticks; those that were told nowhere so that a full table is told within a second."""


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
    certain: bool = False  # told on its own connection
    deferred: bool = False
    tried: int = 0  # place among the callers' connections up to which it was told

    @property
    def need(self) -> Need:
        if not self.release.confirmed:
            return Need.UNCONFIRMED
        if self.certain:
            return Need.TOLD
        if not self.told_on:
            return Need.UNTOLD
        return Need.DEFERRED if self.deferred else Need.WAITING


class _CallerConnections:
    """Connections that callers have used, in the order in which they were first used so."""

    def __init__(self) -> None:
        self._places: list[int] = []  # rising
        self._at: dict[int, int] = {}  # place -> connection
        self._place: dict[int, int] = {}  # connection -> place
        self._answered: dict[int, None] = {}  # the one used last comes last
        self._used = 0

    def __iter__(self) -> Iterator[int]:
        return iter(self._place)

    def use(self, connection: int, trust: Trust) -> bool:
        """True: it was not among them."""
        if trust is Trust.ANSWERED or connection in self._answered:
            self._answered.pop(connection, None)
            self._answered[connection] = None
        if connection in self._place:
            return False
        self._used += 1
        self._places.append(self._used)
        self._at[self._used] = connection
        self._place[connection] = self._used
        return True

    def remove(self, connection: int) -> None:
        self._answered.pop(connection, None)
        place = self._place.pop(connection, None)
        if place is not None:
            del self._at[place]
            del self._places[bisect_left(self._places, place)]

    def likeliest(self) -> int | None:
        """The one on which a call was answered last, else the newest."""
        if self._answered:
            return next(reversed(self._answered))
        return self._at[self._places[-1]] if self._places else None

    def next_after(self, place: int) -> tuple[int, int] | None:
        """Place and connection of the next one."""
        index = bisect_right(self._places, place)
        if index == len(self._places):
            return None
        return self._places[index], self._at[self._places[index]]


class CallerReleases:
    """All clocks are in ms. Connections are numbers that are not used again."""

    def __init__(self) -> None:
        self._open: set[int] = set()
        self._callers = _CallerConnections()
        self._owed: dict[int, _Owed] = {}  # by call id, the oldest first
        self._told: dict[int, set[int]] = {}  # connection -> ids of the releases told on it
        self._shares: dict[Need, Shares[int]] = {need: Shares() for need in Need}
        # by call id, to be told on further connections of callers; what was told last comes last
        self._queues: dict[Need, dict[int, _Owed]] = {need: {} for need in MAX_COPIES}
        self._copies_left = dict(MAX_COPIES)

    def __len__(self) -> int:
        return len(self._owed)

    # Connections

    @property
    def caller_connections(self) -> list[int]:
        """Those that callers have used, whoever they are."""
        return list(self._callers)

    def connected(self, connection: int) -> None:
        self._open.add(connection)

    def trusted(self, connection: int, trust: Trust) -> list[Send]:
        """A connection was used as callers do."""
        if connection not in self._open or not self._callers.use(connection, trust):
            return []
        copies: list[_Owed] = []
        for need, queue in self._queues.items():
            copies += islice(queue.values(), self._copies_left[need])
        return [send for owed in copies for send in self._copy(owed, connection)]

    def finishing(self, connection: int) -> None:
        """A connection was told its end: what was written on it is read, and nothing more can be written."""
        self._open.discard(connection)
        self._callers.remove(connection)

    def ended(self, connection: int) -> list[Send]:
        """A connection is closed; what was told on it may not have been read."""
        self.finishing(connection)
        sends = []
        for call_id in sorted(self._told.pop(connection, ())):
            owed = self._owed[call_id]
            owed.told_on.discard(connection)
            if connection == owed.release.conn:
                owed.certain = False
            self._place(owed)
            if not owed.certain:
                sends += self._tell_likeliest(owed)
        return sends

    # Releases

    def add(self, release: ReleaseCaller, now: float) -> list[Send]:
        known = self._owed.get(release.id)
        if known is not None and known.release.confirmed and known.release.conn != release.conn:
            # whoever has heard of it may name it as a call of his own: its caller is owed it all the same
            return [Send(release.conn, release)] if release.conn in self._open else []
        self._drop(release.id)
        owed = self._owed[release.id] = _Owed(release, now)
        if release.conn in self._open:
            owed.certain = True
            sends = [self._tell(owed, release.conn)]
        else:
            self._place(owed)
            sends = self._tell_likeliest(owed)
        self._bound()
        return sends

    def received(self, call_id: int, connection: int) -> None:
        """200 to a release came on a connection."""
        owed = self._owed.get(call_id)
        if owed is None or connection not in owed.told_on:
            return
        if connection == owed.release.conn:
            self._drop(call_id)
        else:
            self._defer(owed)

    def tick(self, now: float) -> list[Send]:
        """Forget what is old, tell what waits on further connections; to be called a few times a second."""
        for call_id, owed in list(self._owed.items()):
            if now - owed.since >= (TOLD_KEPT_MS if owed.certain else UNTOLD_KEPT_MS):
                self._drop(call_id)
            elif now - owed.since >= TOLD_KEPT_MS and owed.told_on:
                self._defer(owed)
        self._copies_left = dict(MAX_COPIES)
        # what was told nowhere comes after what waits, so that its next copies wait for the next tick
        order = (Need.WAITING, Need.UNTOLD, Need.DEFERRED, Need.UNCONFIRMED)
        return [send for need in order for send in self._tell_queue(need)]

    def _tell_queue(self, need: Need) -> list[Send]:
        """Each on its next connection, again and again while there is one."""
        sends: list[Send] = []
        queue = self._queues[need]
        more = list(queue.values())
        while more and self._copies_left[need] > 0:
            told = []
            for owed in more:
                if self._copies_left[need] <= 0:
                    break
                if copy := self._tell_next(owed):
                    sends += copy
                    told.append(owed)
            more = [owed for owed in told if owed.need is need]
        return sends

    # One release

    def _tell_likeliest(self, owed: _Owed) -> list[Send]:
        connection = self._callers.likeliest()
        if connection is None or owed.need is not Need.UNTOLD or not self._copies_left[Need.UNTOLD]:
            return []
        return self._copy(owed, connection)

    def _tell_next(self, owed: _Owed) -> list[Send]:
        """On the next connection of a caller on which it was not told."""
        while (found := self._callers.next_after(owed.tried)) is not None:
            owed.tried, connection = found
            if copy := self._copy(owed, connection):
                return copy
        return []

    def _copy(self, owed: _Owed, connection: int) -> list[Send]:
        if connection in owed.told_on:
            return []
        self._copies_left[owed.need] -= 1
        return [self._tell(owed, connection)]

    def _tell(self, owed: _Owed, connection: int) -> Send:
        owed.told_on.add(connection)
        self._told.setdefault(connection, set()).add(owed.release.id)
        self._place(owed)
        return Send(connection, owed.release)

    def _place(self, owed: _Owed) -> None:
        """Put it where its state belongs."""
        call_id = owed.release.id
        self._unplace(call_id)
        self._shares[owed.need].add(owed.release.conn, call_id)
        if not owed.certain:
            self._queues[owed.need][call_id] = owed

    def _defer(self, owed: _Owed) -> None:
        if not owed.deferred:
            owed.deferred = True
            self._place(owed)

    def _unplace(self, call_id: int) -> None:
        for shares in self._shares.values():
            shares.remove(call_id)
        for queue in self._queues.values():
            queue.pop(call_id, None)

    def _drop(self, call_id: int) -> None:
        owed = self._owed.pop(call_id, None)
        if owed is None:
            return
        self._unplace(call_id)
        for connection in owed.told_on:
            told = self._told[connection]
            told.discard(call_id)
            if not told:
                del self._told[connection]

    def _bound(self) -> None:
        """What needs its place least gives way, and there the newest of the connection that has the most."""
        while len(self._owed) > MAX_RELEASES:
            needless = next(self._shares[need] for need in Need if len(self._shares[need]))
            call_id = needless.newest_of_largest()
            assert call_id is not None
            self._drop(call_id)
