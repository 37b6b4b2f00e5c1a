"""Group commit: entries wait for one write and one sync together, and the wait is bounded.

The box hands over entries and is told when they are durable; the file is driven from above, by `take` and
`done`. Storage that is slower than the calls makes the backlog grow; at its bound `room` says no, and the
box then refuses calls or goes on without records, as its settings choose. Intents have the last part of the
room to themselves: each belongs to a call that was taken already.
"""

from __future__ import annotations

from dataclasses import dataclass, field

KEPT_FOR_TAKEN = 0.25
"""Part of the bound that new calls may not use: the records of those in hand must find room."""


@dataclass(slots=True)
class Backlog:
    most_bytes: int = 8 << 20
    waiting: list[tuple[int, bytes]] = field(default_factory=list)  # ticket, payload
    writing: list[tuple[int, bytes]] = field(default_factory=list)
    size: int = 0
    ticket: int = 0
    durable: int = 0  # all tickets up to this one are on disk
    failed: int = 0  # writes that failed, and were put back

    def add(self, payload: bytes) -> int:
        """Queue an entry; its ticket is durable once `durable` has reached it."""
        self.ticket += 1
        self.waiting.append((self.ticket, payload))
        self.size += len(payload)
        return self.ticket

    def room(self) -> bool:
        """Whether a new call may be taken."""
        return self.size < (1.0 - KEPT_FOR_TAKEN) * self.most_bytes

    def take(self) -> list[bytes]:
        """What to write next, in one go; empty while a write is out or nothing waits."""
        if self.writing or not self.waiting:
            return []
        self.writing, self.waiting = self.waiting, []
        return [payload for _, payload in self.writing]

    def done(self, written: bool) -> None:
        """The write that was taken is synced, or failed: then all of it waits again, in its old order."""
        if written:
            if self.writing:
                self.durable = self.writing[-1][0]
            self.size -= sum(len(payload) for _, payload in self.writing)
        else:
            self.failed += 1
            self.waiting = self.writing + self.waiting
        self.writing = []
