"""Stand-in for the control feed: numbered changes by long poll over HTTP, with faults."""

from __future__ import annotations

import asyncio
import contextlib
import json
from dataclasses import dataclass, field
from time import monotonic
from typing import Any

from tests.soak.plan import DiscoveryFault
from tests.soak.records import ListChange

SLOW_ANSWER_S = 0.8
MOVED_CLOSE_S = 1.5  # after a move the old address closes its open connections

TOLD_AFTER_FAILURE_S = 6.0
TOLD_AFTER_BREAK_S = 2.0
TOLD_AFTER_WAIT_S = 2.0
TOLD_AFTER_SILENCE_S = 7.0
TOLD_AFTER_RELOAD_S = 4.0


@dataclass(slots=True)
class Spell:
    """A span in which discovery could not be reached."""

    begins: float
    ends: float


class Discovery:
    """All addresses of discovery: one is in force, older ones tell nothing any more."""

    def __init__(self, changes: list[ListChange]) -> None:
        self.changes = changes
        self.events: list[dict[str, Any]] = []
        self.fault: DiscoveryFault | None = None
        self.changed = asyncio.Event()
        self.spells: list[Spell] = []
        self.reloads: list[float] = []
        self.run = 0  # number of the node's present run
        self.addresses: list[Address] = []

    async def start(self) -> None:
        address = Address(self)
        await address.start(0)
        self.addresses.append(address)

    @property
    def current(self) -> Address:
        return self.addresses[-1]

    @property
    def known(self) -> dict[str, Any]:
        return {"n": len(self.events), "events": list(self.events)}

    async def move(self) -> None:
        """A new address comes into force; called just before the node's SIGHUP."""
        old = self.current
        await self.start()
        if self.fault is DiscoveryFault.DOWN:
            self.current.server.close()
        old.retire()
        self.reloads.append(monotonic())

    def publish(self, rows: list[dict[str, Any]], whole: bool = False) -> None:
        number = len(self.events) + 1
        members = {"version": number, "full": whole, "servers": rows}
        self.events.append({"n": number, "members": members})
        for row in rows:
            cold = row["started_ms"] > 0
            self.changes.append(
                ListChange(number, row["id"], row["cell"], row["state"], monotonic(), cold)
            )
        self.changed.set()
        self.changed = asyncio.Event()

    def node_started(self, run: int) -> None:
        """What the configuration holds is told with the start."""
        self.run = run
        now = monotonic()
        for change in self.changes:
            change.told_by[run] = now

    async def begin(self, fault: DiscoveryFault) -> None:
        self.fault = fault
        self.spells.append(Spell(monotonic(), float("inf")))
        if fault is DiscoveryFault.DOWN:
            self.current.server.close()

    async def end(self) -> None:
        if self.fault is DiscoveryFault.DOWN:
            await self.current.start(self.current.port)
        self.fault = None
        self.spells[-1].ends = monotonic()

    def told(self, number: int, at: float) -> None:
        """Events up to this number count as told at the latest at a time."""
        for change in self.changes:
            if change.event <= number:
                change.told_by[self.run] = min(at, change.told_by.get(self.run, float("inf")))

    def settle(self, run_ended: float) -> None:
        """Bounds on what was never delivered, at the end of the node's run."""
        for change in self.changes:
            reachable = change.published_at
            for spell in self.spells:
                if spell.begins - TOLD_AFTER_FAILURE_S < reachable < spell.ends:
                    reachable = spell.ends
            bound = reachable + TOLD_AFTER_FAILURE_S
            if bound < run_ended:
                self.told_in(change, bound)
            for reload in self.reloads:
                bound = reload + TOLD_AFTER_RELOAD_S
                healthy = all(spell.ends < reload or spell.begins > bound for spell in self.spells)
                if healthy and change.published_at <= reload and bound < run_ended:
                    self.told_in(change, bound)

    def told_in(self, change: ListChange, bound: float) -> None:
        change.told_by[self.run] = min(bound, change.told_by.get(self.run, float("inf")))

    def close(self) -> None:
        for address in self.addresses:
            address.server.close()


@dataclass(slots=True)
class Address:
    discovery: Discovery
    retired: bool = False
    port: int = 0
    server: asyncio.Server = field(init=False)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self, port: int) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    def retire(self) -> None:
        self.retired = True
        self.server.close()
        asyncio.get_running_loop().call_later(MOVED_CLOSE_S, self._close_all)

    def _close_all(self) -> None:
        for writer in list(self.writers):
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                await self._answer_one(reader, writer)
        self.writers.discard(writer)
        writer.close()

    async def _answer_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        query = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode()
        asked_at = monotonic()
        after = int(query.partition("SUB=")[2].partition("&")[0])
        wait_s = int(query.partition("wait=")[2]) / 1000.0
        discovery = self.discovery
        if len(discovery.events) <= after:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(discovery.changed.wait(), wait_s)
        last = len(discovery.events)
        if self.retired or discovery.fault in (DiscoveryFault.SILENT, DiscoveryFault.DOWN):
            if discovery.fault is DiscoveryFault.SILENT and last > after and not self.retired:
                begun = discovery.spells[-1].begins
                after_silence = max(begun, asked_at) + TOLD_AFTER_SILENCE_S
                discovery.told(last, min(asked_at + wait_s + TOLD_AFTER_WAIT_S, after_silence))
            await reader.read()  # until the node gives the poll up
            raise ConnectionError
        if discovery.fault is DiscoveryFault.SLOW:
            await asyncio.sleep(SLOW_ANSWER_S)
        told = [event for event in discovery.events if event["n"] > after]
        body = json.dumps({"n": max(after, last), "events": told}).encode()
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
        if discovery.fault is DiscoveryFault.CUT:
            writer.write(head + body[: len(body) // 2])
            if last > after:
                discovery.told(last, monotonic() + TOLD_AFTER_BREAK_S)
            raise ConnectionError
        writer.write(head + body)
        discovery.told(last, monotonic())
        await writer.drain()
