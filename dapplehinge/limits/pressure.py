"""How much of what is offered the box can take, and which calls that is: the worthiest first.

The box tells each interval how busy its one core was and whether datagrams were left waiting. Above
`target`, taken over some intervals, the part of calls that is admitted shrinks by how much the box was too
busy; below it the part grows by steps. Datagrams left waiting interval after interval count as too busy
whatever the core says: then it is not the box's alone. One interval of either tells nothing, as callers
come in bunches.

What is admitted goes by rank: all calls of the ranks that fit into the part, an even share of the rank that
fits in partly, none below. An even share is dealt by carrying the fraction over, not by chance, so a rank
gets what it is due within one call.

Why not the queue's length alone: the box's work for a refused call is small but not nothing, and a queue
shows only when it is late. Why not a rate: what a call costs differs by its way and by the machine.
"""

from __future__ import annotations

from dataclasses import dataclass, field

LEAST = 0.02
"""Part admitted at the least: the box must notice that its trouble is over."""

MOST_CUT = 0.5  # the part never shrinks by more than this factor in one interval
NEWEST = 0.3  # weight of the newest interval in how busy the box counts
WAITING_RUN = 3  # intervals in a row that leave work waiting, and tell of a queue rather than of a bunch
MOST_GROWTH = 1.05  # and never grows by more than this one: trouble that is over shows within a second
FORGET = 0.9  # weight of what was offered before this interval, in the shares of the ranks


@dataclass(slots=True)
class _Rank:
    offered: float = 0.0
    fraction: float = 1.0
    carried: float = 0.0


@dataclass(slots=True)
class Pressure:
    target: float = 0.78  # part of a core's time that the box plans to use
    part: float = 1.0  # of the calls offered, admitted
    busy: float = 0.0  # over the last intervals
    waiting_run: int = 0
    ranks: dict[float, _Rank] = field(default_factory=dict)

    def measured(self, busy: float, waiting: bool) -> None:
        """One interval is over: `busy` is the part of it that the core worked, `waiting` that work was
        left.
        """
        self.busy += NEWEST * (busy - self.busy)
        self.waiting_run = self.waiting_run + 1 if waiting else 0
        seen = self.busy
        if self.waiting_run >= WAITING_RUN:
            seen = max(seen, 1.1 * self.target)
        if seen > self.target:
            self.part = max(LEAST, self.part * max(MOST_CUT, self.target / seen))
        elif self.part < 1.0:
            self.part = min(1.0, self.part * min(MOST_GROWTH, self.target / max(seen, 1e-3)))
        self._deal()

    def _deal(self) -> None:
        total = sum(rank.offered for rank in self.ranks.values())
        room = self.part * total
        for worth in sorted(self.ranks, reverse=True):
            rank = self.ranks[worth]
            if self.part >= 1.0 or rank.offered <= room:
                rank.fraction = 1.0
            else:
                rank.fraction = max(0.0, room / rank.offered) if rank.offered > 0 else 0.0
            room = max(0.0, room - rank.offered)
            rank.offered *= FORGET
        if len(self.ranks) > 64:  # ranks are worths of classes; more can only be remains
            self.ranks = {worth: rank for worth, rank in self.ranks.items() if rank.offered > 0.01}

    def admits(self, worth: float) -> bool:
        rank = self.ranks.get(worth)
        if rank is None:
            rank = self.ranks[worth] = _Rank()
            if self.part < 1.0:
                self._place(worth, rank)
        rank.offered += 1.0
        if rank.fraction >= 1.0:
            return True
        rank.carried += rank.fraction
        if rank.carried >= 1.0:
            rank.carried -= 1.0
            return True
        return False

    def _place(self, worth: float, rank: _Rank) -> None:
        """A rank first seen under pressure: in for this interval, unless a worthier one is not whole."""
        above = [other.fraction for known, other in self.ranks.items() if known > worth]
        below = [known for known in self.ranks if known < worth]
        rank.fraction = 1.0 if below and min(above, default=1.0) >= 1.0 else 0.0
