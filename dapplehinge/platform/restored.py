"""Calls that callers say stand already (a set-up with `at`), as after a restart of the proxy; without I/O.

Nothing at a switch confirms such a call, so a client may name as many as it likes. What bounds them is the
switch's group: it holds no more calls than it has circuits. Where there is no room, the connection that
named the most gives way, so that one client can't take the place of the others' calls.
"""

from __future__ import annotations

from dapplehinge.interface import SwitchId
from dapplehinge.platform.shares import Shares
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
        self._calls: dict[int, Call] = {}
        self._all: Shares[int] = Shares()
        self._at_switch: dict[SwitchId, Shares[int]] = {}
        self._switch: dict[int, SwitchId] = {}  # call id -> where it counts

    def __len__(self) -> int:
        return len(self._calls)

    def __contains__(self, call_id: int) -> bool:
        return call_id in self._calls

    def add(self, call: Call, peer: Peer, connection: int) -> None:
        """Take a call that stands there, or note that another connection names it now."""
        self.remove(call.id)
        self._calls[call.id] = call
        self._switch[call.id] = peer.number
        self._all.add(connection, call.id)
        self._at_switch.setdefault(peer.number, Shares()).add(connection, call.id)

    def moved(self, call: Call, peer: Peer) -> None:
        """If it is among them, it stands at another switch now."""
        connection = self._all.holder(call.id)
        if connection is not None:
            self.add(call, peer, connection)

    def remove(self, call_id: int) -> None:
        if self._calls.pop(call_id, None) is None:
            return
        self._all.remove(call_id)
        switch = self._switch.pop(call_id)
        self._at_switch[switch].remove(call_id)
        if not len(self._at_switch[switch]):
            del self._at_switch[switch]

    def connection_closed(self, connection: int) -> None:
        """Its calls stand on; those of all closed connections count as one connection's."""
        self._all.move(connection, NO_CONNECTION)
        for shares in self._at_switch.values():
            shares.move(connection, NO_CONNECTION)

    def surplus(self, peer: Peer) -> Call | None:
        """The call to give up where there is no room for all, looking at the ones at `peer` first."""
        call_id = None
        if peer.circuits and len(peer.standing) > CALLS_PER_CIRCUIT * peer.circuits:
            at_switch = self._at_switch.get(peer.number)
            call_id = at_switch.newest_of_largest() if at_switch is not None else None
        elif len(self._calls) > MAX_RESTORED_CALLS:
            call_id = self._all.newest_of_largest()
        return None if call_id is None else self._calls[call_id]
