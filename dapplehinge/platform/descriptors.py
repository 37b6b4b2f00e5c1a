"""How the descriptors that the platform grants are shared between callers and switches; without I/O."""

from __future__ import annotations

from dataclasses import dataclass

RESERVE = 24
"""For the event loop, the listener, the control feed, the log and files opened in passing."""

CALLERS_SHARE = 1.0 / 3.0
"""Callers hold at most this share of the limit (protocol, Callers to signalling proxies)."""

CALLERS_CLOSING = 8
"""Connections that callers have closed and the loop has not seen yet."""

MAX_LINKS = 4
"""Most links to one switch, by the platform's protocol."""


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """`limit`: descriptors that the process may hold."""

    limit: int

    def links_per_switch(self, switches: int) -> int:
        """At least one, and no more than leaves callers their share."""
        owed_to_callers = int(self.limit * CALLERS_SHARE) + 1 + CALLERS_CLOSING
        room = self.limit - RESERVE - owed_to_callers
        return max(1, min(MAX_LINKS, room // max(1, switches)))

    def max_callers(self, switches: int) -> int:
        """What links and reserve leave; at least a few, so that a proxy of many switches can be reached."""
        left = self.limit - RESERVE - switches * self.links_per_switch(switches)
        return max(CALLERS_CLOSING, left)
