"""Calls that callers say stand already (a set-up with `at`), as after a restart of the proxy; without I/O.

Nothing at a switch confirms such a call, so a client may name as many as it likes. What bounds them is the
switch's group: it holds no more calls than it has circuits. Where there is no room, the connection that
named the most gives way, so that one client can't take the place of the others' calls.
"""

from __future__ import annotations

from collections import Counter

from dapplehinge.platform.table import Call, Peer

MAX_RESTORED_CALLS = 4096
"""At all switches together."""

CALLS_PER_CIRCUIT = 2
"""A call that has just ended and the one that took its circuit may both be held for a moment."""

NO_CONNECTION = 0
"""Holder of the calls whose connection has closed."""


class RestoredCalls:
    """The calls that were brought back, by the connection from callers that named them last."""

    def __init__(self) -> None:
        self._by_holder: dict[int, dict[int, Call]] = {}
        self._holder: dict[int, int] = {}  # call id -> connection

    def __len__(self) -> int:
        return len(self._holder)

    def __contains__(self, call_id: int) -> bool:
        return call_id in self._holder

    def add(self, call: Call, connection: int) -> None:
        """Take a call, or note that another connection names it now."""
        self.remove(call.id)
        self._holder[call.id] = connection
        self._by_holder.setdefault(connection, {})[call.id] = call

    def remove(self, call_id: int) -> None:
        holder = self._holder.pop(call_id, None)
        if holder is None:
            return
        calls = self._by_holder[holder]
        del calls[call_id]
        if not calls:
            del self._by_holder[holder]

    def connection_closed(self, connection: int) -> None:
        """Its calls stand on; those of all closed connections count as one connection's."""
        calls = self._by_holder.pop(connection, None)
        if calls is not None:
            self._by_holder.setdefault(NO_CONNECTION, {}).update(calls)
            self._holder.update(dict.fromkeys(calls, NO_CONNECTION))

    def surplus(self, peer: Peer) -> Call | None:
        """The call to give up where there is no room for all, looking at the ones at `peer` first."""
        if peer.circuits and len(peer.standing) > CALLS_PER_CIRCUIT * peer.circuits:
            return self._newest_of_largest(peer)
        if len(self._holder) > MAX_RESTORED_CALLS:
            largest = max(self._by_holder.values(), key=len)
            return next(reversed(largest.values()))
        return None

    def _newest_of_largest(self, peer: Peer) -> Call | None:
        at_peer = [call_id for call_id in peer.standing if call_id in self._holder]
        if not at_peer:
            return None
        holder, _ = Counter(self._holder[call_id] for call_id in at_peer).most_common(1)[0]
        calls = self._by_holder[holder]
        return next(call for call in reversed(calls.values()) if call.stands_at is peer)
