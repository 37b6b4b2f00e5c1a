"""How much of what is offered the box can take, and which calls that is: the worthiest first.

The box tells each interval how busy its one core was, and for how long work has been waiting without a break.
Callers come in bunches, and a core that works off a bunch is busy and in no trouble: the bunch is gone within
an interval or so. Work that waits longer than `STANDING` without the queue having been empty once is a queue
that stands (the idea of CoDel, RFC 8289: judge by the least of the waits, not by the longest), and then the
part of the calls that is admitted is cut each interval until it is gone. Short of that, a core beyond
`target` over some intervals makes the part shrink by how much it was too busy; below it the part grows.

A refused call is not free: it costs `REFUSAL_PRICE` of a carried one. So the part that brings the core to its
target is worked out with that in it, and no cut is asked of the admitted calls that refusing eats up again.

What is admitted goes by rank: all calls of the ranks that fit into the part, an even share of the rank that
fits in partly, none below. An even share is dealt by carrying the fraction over, not by chance, so a rank
gets what it is due within one call.

Why not the busy share alone, as before: to keep bunches from filling the core its target had to be 0.78, and
a fifth and a half of the calls that a box could just have carried were refused (docs/measurements.md). Why
not a rate: what a call costs differs by its way and by the machine.
"""

from __future__ import annotations

from dataclasses import dataclass, field

LEAST = 0.02
"""Part admitted at the least: the box must notice that its trouble is over."""

STANDING = 60.0
"""ms of unbroken waiting from which a queue stands; a bunch of a hundred calls is worked off in that."""

STANDING_RUN = 2  # intervals in a row that end so: after a stall of the loop one does, whatever the load
STANDING_CUT = 0.7  # what is left of the part after an interval with a standing queue
REFUSAL_PRICE = 0.15
"""CPU of a refused call, in parts of a carried one's (docs/measurements.md)."""

MOST_CUT = 0.5  # the part never shrinks by more than this factor in one interval
NEWEST = 0.3  # weight of the newest interval in how busy the box counts
MOST_GROWTH = 1.05  # and never grows by more than this one: trouble that is over shows within a second
FORGET = 0.9  # weight of what was offered before this interval, in the shares of the ranks


@dataclass(slots=True)
class _Rank:
    offered: float = 0.0
    fraction: float = 1.0
    carried: float = 0.0


@dataclass(slots=True)
class Pressure:
    target: float = 0.98  # part of a core's time that the box plans to use
    part: float = 1.0  # of the calls offered, admitted
    busy: float = 0.0  # over the last intervals
    standing: int = 0  # intervals in a row that ended with a queue that stands
    ranks: dict[float, _Rank] = field(default_factory=dict)

    def measured(self, busy: float, waiting: float) -> None:
        """One interval is over.

        `busy`: the part of it that the core worked. `waiting`: for how many ms up to now work has been
        waiting without a break; 0 where nothing waits.
        """
        self.busy += NEWEST * (busy - self.busy)
        self.standing = self.standing + 1 if waiting >= STANDING else 0
        if self.standing >= STANDING_RUN:
            self.part = max(LEAST, self.part * STANDING_CUT)
        else:
            # what it would cost to carry all, and the part of that which leaves room for refusing the rest
            whole = max(1e-3, self.busy) / (REFUSAL_PRICE + (1.0 - REFUSAL_PRICE) * self.part)
            wanted = (self.target / whole - REFUSAL_PRICE) / (1.0 - REFUSAL_PRICE)
            if self.busy > self.target:
                self.part = max(LEAST, min(self.part, max(self.part * MOST_CUT, wanted)))
            elif self.part < 1.0:
                self.part = min(1.0, max(self.part, min(self.part * MOST_GROWTH, wanted)))
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
