"""How much of the memory limit callers may make the process hold; without I/O.

The bytes of a message are not those that it takes as objects, and what is freed is not at once the system's
again, so callers get less than half of what the process itself leaves.
"""

from __future__ import annotations

from dataclasses import dataclass

PROCESS_BYTES = 27_000_000
"""Taken by the interpreter and the program before the first caller."""

CALLERS_SHARE = 0.4
"""Of what the process leaves."""

MIN_CALLERS_BYTES, MAX_CALLERS_BYTES = 1_000_000, 24_000_000

OPEN_SHARE = 2.0 / 3.0
"""Of the callers' bytes: for set-ups that have no answer yet; the rest for messages that are not whole."""

OPEN_SET_UP_BYTES = 2_500
"""Taken by the objects of a set-up without an answer, beside its description and the lines to repeat."""

MIN_UNSENT_BYTES, MAX_UNSENT_BYTES = 32 * 1024, 256 * 1024
"""Bounds of what may wait for one caller who does not read; an answer has up to 16 KiB."""


@dataclass(frozen=True, slots=True)
class MemoryBudget:
    """`limit`: bytes, above which the platform ends the process."""

    limit: int

    @property
    def _callers(self) -> int:
        left = int(CALLERS_SHARE * (self.limit - PROCESS_BYTES))
        return min(MAX_CALLERS_BYTES, max(MIN_CALLERS_BYTES, left))

    @property
    def open_set_ups(self) -> int:
        """Bytes of set-ups without an answer, all callers together."""
        return int(OPEN_SHARE * self._callers)

    @property
    def partial_messages(self) -> int:
        """Bytes of messages that are not whole, all callers together."""
        return self._callers - self.open_set_ups

    def unsent(self, connections: int) -> int:
        """Bytes that may wait for one of so many callers' connections."""
        share = self._callers // max(1, connections)
        return min(MAX_UNSENT_BYTES, max(MIN_UNSENT_BYTES, share))
