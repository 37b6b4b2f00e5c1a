"""Call numbers of one socket (RFC 5456, section 8.1.1): allocation, and quarantine after release.

A number that was just released is not given out again until late frames of its last owner have died out.
Oldest released goes first, so the wait is as long as the load allows and never shorter than `quarantine`.
A program that starts again takes up at another place (`first`): far ends may hold legs of its life before.
"""

from __future__ import annotations

from collections import deque

NOBODY = 0x7FFF
"""Source number of answers that no leg gives, such as PONG to POKE; never allocated."""

LARGEST = NOBODY - 1


class CallNumbers:
    def __init__(self, quarantine: float = 5000.0, largest: int = LARGEST, first: int = 1) -> None:
        if not 1 <= largest <= LARGEST:
            raise ValueError(f"largest: {largest} is not within 1 to {LARGEST}")
        self.quarantine = quarantine
        self.largest = largest
        self.first = first
        self._fresh = 0  # numbers given out for the first time
        self._resting: deque[tuple[float, int]] = deque()
        self._free: deque[int] = deque()
        self.used = 0

    def allocate(self, now: float) -> int | None:
        """A number, or None where all are taken or in quarantine."""
        if self._free:
            number = self._free.popleft()
        elif self._fresh < self.largest:
            number = (self.first - 1 + self._fresh) % self.largest + 1
            self._fresh += 1
        elif self._resting and self._resting[0][0] <= now:
            number = self._resting.popleft()[1]
        else:
            return None
        self.used += 1
        return number

    def release(self, number: int, now: float) -> None:
        self.used -= 1
        self._resting.append((now + self.quarantine, number))

    def give_back(self, number: int) -> None:
        """Return a number that never reached the wire: it needs no quarantine."""
        self.used -= 1
        self._free.append(number)
