"""The list of switches by the control feed: numbered events in, the module's list events out.

An id is one switch for ever; inside the program it is an opaque number that is never used again. An
address may serve several ids in turn.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from dapplehinge import interface as api

MAX_FIGURE = 1e15
"""Weights, and Unix times in ms."""

STATES = {
    "active": api.SwitchState.READY,
    "leaving": api.SwitchState.DRAINING,
    "left": api.SwitchState.GONE,
}


class FeedError(Exception):
    """What the feed told does not follow its form; nothing of it was taken."""


@dataclass(frozen=True, slots=True)
class Member:
    number: api.SwitchId
    id: str
    address: tuple[str, int]
    entry: api.SwitchEntry


@dataclass(frozen=True, slots=True)
class Change:
    """One event of the list: for the module, and the members that it named, in order."""

    told: api.SwitchList
    members: tuple[Member, ...]


def address_of(text: object) -> tuple[str, int]:
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not (host and colon and port.isdecimal() and len(port) <= 5 and 0 < int(port) < 65536):
        raise FeedError(f"no address: {text!r}")
    return host.strip("[]"), int(port)


class Members:
    """`unix_offset`: the module's clock minus Unix time, in ms, so that starts are mapped once."""

    def __init__(self, zones: list[str], unix_offset: float) -> None:
        self.zones = {name: index for index, name in enumerate(zones)}
        self.unix_offset = unix_offset
        self.known: dict[str, Member] = {}
        self.event = 0  # number of the last event that was taken
        self.numbers = 0

    def take(self, told: Any) -> tuple[list[Change], FeedError | None]:
        """An answer of the feed, `{"n": LAST, "events": [...]}`: its changes, and what ended the reading.

        Events come in sequence and copies are passed over. One that can't be read stops the taking before
        it; the list stands as it was told up to there.
        """
        changes: list[Change] = []
        try:
            if not isinstance(told, dict) or not isinstance(told.get("events"), list):
                raise FeedError("no list of events")
            for event in told["events"]:
                number = event.get("n") if isinstance(event, dict) else None
                if not isinstance(number, int) or isinstance(number, bool):
                    raise FeedError("an event without its number")
                if number <= self.event:
                    continue
                change = self._change(event["members"]) if "members" in event else None
                self.event = number
                if change is not None:
                    changes.append(change)
        except FeedError as fault:
            return changes, fault
        return changes, None

    def _change(self, part: Any) -> Change:
        if not isinstance(part, dict) or not isinstance(part.get("servers"), list):
            raise FeedError("members without a list of servers")
        whole = part.get("full") is True
        named = [self._read(row) for row in part["servers"]]
        members: list[Member] = []
        if whole:
            ids = {row[0] for row in named}
            for id_ in [id_ for id_ in self.known if id_ not in ids]:
                gone = self.known.pop(id_)
                entry = gone.entry
                left = api.SwitchEntry(entry.switch, entry.exchange, api.SwitchState.GONE, entry.zone)
                members.append(Member(gone.number, id_, gone.address, left))
        entries = []
        for id_, address, exchange, state, zone, started, weight in named:
            known = self.known.get(id_)
            if known is None and state is api.SwitchState.GONE:
                continue
            if known is None:
                self.numbers += 1
            number = known.number if known else self.numbers
            entry = api.SwitchEntry(number, exchange, state, zone, started, weight)
            member = Member(number, id_, address, entry)
            if state is api.SwitchState.GONE:
                del self.known[id_]
            else:
                self.known[id_] = member
            members.append(member)
            if not (whole and state is api.SwitchState.GONE):
                entries.append(entry)
        kind = api.ListKind.WHOLE if whole else api.ListKind.CHANGES
        return Change(api.SwitchList(kind, tuple(entries)), tuple(members))

    def _read(
        self, row: Any
    ) -> tuple[str, tuple[str, int], int, api.SwitchState, int, float, float]:
        if not isinstance(row, dict):
            raise FeedError("a server that is no object")
        id_, state, cell = row.get("id"), STATES.get(str(row.get("state"))), row.get("cell")
        if not isinstance(id_, str) or not id_ or state is None:
            raise FeedError(f"a server without id or state: {str(row)[:80]}")
        known = self.known.get(id_)
        if state is api.SwitchState.GONE and (known is None or cell is None or "addr" not in row):
            # all that matters of one that has gone is which it was
            address, place = (known.address, known.entry.exchange) if known else (("", 0), 0)
            return id_, address, place, state, known.entry.zone if known else 0, 0.0, 1.0
        if not isinstance(cell, int) or isinstance(cell, bool) or cell < 0:
            raise FeedError(f"server {id_}: cell {cell!r}")
        started, weight = row.get("started_ms") or 0, row.get("weight", 1)
        for value in (started, weight):
            if not isinstance(value, int | float) or not 0 <= value <= MAX_FIGURE:
                raise FeedError(f"server {id_}: {str(value)[:40]} is no figure")
        since = max(1e-3, started + self.unix_offset) if started else 0.0
        zone = self.zones.get(str(row.get("zone")), 0)
        return id_, address_of(row.get("addr")), cell, state, zone, since, float(weight)
