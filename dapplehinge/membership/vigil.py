"""Whether the party at the far end of a leg still lives: when to ask it, and when to call it dead.

A leg's party shows life by any word of its own: a frame, an acknowledgement, voice. After `quiet` ms without
one it is asked (PING, RFC 5456 section 6.7.1). It is dead when something has been out to it for `proof` ms
and not one word came back in all that time. So a death shows after at most `quiet` + `proof`, sooner where
something else was out; and a mere loss must swallow every repeat and every answer of `proof` ms to look like
one. Some twenty-five datagrams pass each way in that time, so at 30% loss each way the odds are below one in
a million (`docs/design/one-answer.md`).

Two things keep this honest on a busy box. Time in which the box itself did not run is nobody's silence: the
vigil leaves it out. And questions are paced: at most `probes` a second leave, the others wait their turn, and
whoever was not asked is never dead.

A party that talks but never acknowledges (its view of the leg is broken) is given up after `deaf` ms.

Times are ms.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum, auto
from math import inf

STALL = 250.0
"""ms by which a timer may be late before the box counts as having stood still."""

MOST_STALLS = 32
"""Stalls remembered; a box that stood still more often within one silence has other troubles."""


@dataclass(frozen=True, slots=True)
class Patience:
    quiet: float = 3000.0  # ms without a word after which a party is asked
    proof: float = 6000.0  # ms without a word, with something out to it, after which it is dead
    doubt: float = 1000.0  # ms that something else is out without a word, after which it is asked as well
    deaf: float = 20_000.0  # ms that one frame may stay unacknowledged though its receiver talks
    probes: float = 1000.0  # questions a second, over all legs


class Finding(Enum):
    WELL = auto()  # look again at the time given
    ASK = auto()  # send a question now, and look again at the time given
    DEAD = auto()


class Vigil:
    """One for all legs of a socket. All times are on the caller's clock."""

    def __init__(self, patience: Patience | None = None) -> None:
        self.patience = patience or Patience()
        self._stalls: deque[tuple[float, float]] = deque(maxlen=MOST_STALLS)  # from, until
        self._room = self.patience.probes / 10.0  # questions that may leave now
        self._filled = 0.0
        self.delayed = 0  # questions that had to wait their turn

    def timer_ran(self, due: float, now: float) -> None:
        """A timer due at `due` ran at `now`; what it was late by, beyond the usual, nobody is blamed for."""
        if self._stalls:
            due = max(due, self._stalls[-1][1])  # timers that were late together tell of one stall
        if now - due > STALL:
            self._stalls.append((due, now))

    def lived(self, since: float, now: float) -> float:
        """ms from `since` to `now` in which the box itself ran."""
        stood = sum(until - max(start, since) for start, until in self._stalls if until > since)
        return now - since - stood

    def look(self, heard: float, out_since: float, now: float) -> tuple[Finding, float]:
        """Judge a party.

        `heard`: when its last word came. `out_since`: since when the oldest thing sent to it is not
        acknowledged; infinite where nothing is out. The second value is when to look again.
        """
        patience = self.patience
        if out_since < inf:
            silent = self.lived(max(heard, out_since), now)
            if silent >= patience.proof or self.lived(out_since, now) >= patience.deaf:
                return Finding.DEAD, inf
            if silent < patience.doubt:
                return Finding.WELL, now + patience.doubt - silent
            return self._ask(now, now + min(patience.quiet, patience.proof - silent))
        silent = self.lived(heard, now)
        if silent < patience.quiet:
            return Finding.WELL, now + patience.quiet - silent
        return self._ask(now, now + patience.doubt)

    def _ask(self, now: float, again: float) -> tuple[Finding, float]:
        """A question, if one may leave now; else the leg's turn comes again within a second."""
        probes = self.patience.probes
        self._room = min(probes / 10.0, self._room + (now - self._filled) * probes / 1000.0)
        self._filled = now
        if self._room < 1.0:
            self.delayed += 1
            return Finding.WELL, now + 100.0 + (self.delayed * 37) % 900
        self._room -= 1.0
        return Finding.ASK, again
