"""The network between boxes, switches and handsets: relays datagrams, taps them into a trace, and misbehaves.

Each pair that may talk has two sockets, one that each end takes for the other. What arrives on one leaves
by the other, after a delay, or not at all. All that arrives is traced as it arrives, with what became of
it. The wire also plays the directory, on a TCP port a box, and traces what each box was told, and when.
"""

from __future__ import annotations

import random
import socket
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import msgspec
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from dapplehinge.audit.trace import DatagramRecord, Fate, Header, MarkRecord, ToldRecord, TraceWriter
from dapplehinge.proxy.clock import clock
from dapplehinge.proxy.port import RECEIVE_BUFFER
from dapplehinge.standins.scenario import FaultPart

Addr = tuple[str, int]

MOST_LATE = 10_000.0
"""ms by which a straggler may be late."""


@dataclass(slots=True)
class End:
    """One participant: its place in the trace, its own address and its zone."""

    index: int
    addr: Addr
    zone: str


@dataclass(slots=True)
class Side:
    """The socket that `here` takes for `there`."""

    sock: socket.socket
    here: End
    there: End
    other: Side | None = None


def loopback_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    sock.setblocking(False)
    return sock


class Wire:
    def __init__(
        self, trace: Path, header: Header, faults: list[FaultPart], delays: tuple[float, float], seed: int
    ) -> None:
        self.trace = TraceWriter(trace, header)
        self.faults = faults
        self.delay, self.zone_delay = delays
        self.random = random.Random(seed)
        self.begin = clock()
        self.sides: list[Side] = []
        self.loop = IOLoop.current()

    def link(self, first: End, second: End) -> tuple[Addr, Addr]:
        """Join two ends; the addresses by which the first reaches the second, and the second the first."""
        one = Side(loopback_socket(), first, second)
        two = Side(loopback_socket(), second, first)
        one.other, two.other = two, one
        for side in (one, two):
            self.sides.append(side)
            self.loop.add_handler(side.sock, partial(self._readable, side), IOLoop.READ)
        return one.sock.getsockname(), two.sock.getsockname()

    def _readable(self, side: Side, fd: object, events: int) -> None:
        for _ in range(64):
            try:
                data, addr = side.sock.recvfrom(8192)
            except BlockingIOError:
                return
            except OSError:
                continue
            if addr != side.here.addr:
                continue
            now = clock()
            fate, delays = self._fate(side, now)
            late, latest = min(delays, default=0.0), max(delays, default=0.0)
            here, there = side.here.index, side.there.index
            self.trace.write(DatagramRecord(now, here, there, fate, data, late, latest))
            for delay in delays:
                if delay < 0.5:
                    self._deliver(side, data)
                else:
                    self.loop.call_later(delay / 1000.0, self._deliver, side, data)

    def _deliver(self, side: Side, data: bytes) -> None:
        other = side.other
        if other is None or other.sock.fileno() < 0:
            return
        with suppress(OSError):  # a receiver that is gone loses its datagrams, as on any network
            other.sock.sendto(data, side.there.addr)

    def _fate(self, side: Side, now: float) -> tuple[Fate, list[float]]:
        crossing = side.here.zone != side.there.zone
        delay = self.delay + (self.zone_delay if crossing else 0.0)
        fate, copies, stray = Fate.DELIVERED, 1, 0.0
        since = now - self.begin
        for fault in self.faults:
            if not fault.at <= since < fault.at + fault.span:
                continue
            if fault.kind == "district_cut":
                if crossing and (side.here.zone in fault.on or side.there.zone in fault.on):
                    return Fate.LOST, []
            elif self.random.random() >= fault.factor:
                continue
            elif fault.kind == "lost":
                return Fate.LOST, []
            elif fault.kind == "doubled":
                fate, copies = Fate.DOUBLED, 2
            elif fault.kind == "reordered":
                delay += 8.0
            elif fault.kind == "late":
                delay += 60.0
            elif fault.kind == "straggler":  # up to ten seconds late: itself, or a second copy
                stray = delay + self.random.uniform(0.0, MOST_LATE)
        delays = [delay + 3.0 * copy for copy in range(copies)]
        if stray and self.random.random() < 0.5:
            return Fate.DELIVERED, [stray]
        return (Fate.DOUBLED, [*delays, stray]) if stray else (fate, delays)

    def mark(self, kind: str, place: int, at: float | None = None) -> None:
        self.trace.write(MarkRecord(clock() if at is None else at, kind, place))

    def close(self) -> None:
        for side in self.sides:
            self.loop.remove_handler(side.sock)
            side.sock.close()
        self.trace.close()


class DirectoryStandIn(TCPServer):
    """The directory as one box sees it."""

    def __init__(
        self, wire: Wire, box: int, entries: dict[int, dict[str, object]], places: list[str]
    ) -> None:
        super().__init__()
        self.wire = wire
        self.box = box
        self.entries = entries  # shared by all boxes: switch -> entry
        self.places = places
        self.streams: list[IOStream] = []
        sockets = bind_sockets(0, "127.0.0.1", family=socket.AF_INET)
        self.add_sockets(sockets)
        self.addr: Addr = sockets[0].getsockname()[:2]

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        self.streams.append(stream)
        await self._send(stream, "whole", list(self.entries.values()))

    async def _send(self, stream: IOStream, kind: str, entries: list[dict[str, object]]) -> None:
        now = clock()
        told = []
        for entry in entries:
            line = {name: value for name, value in entry.items() if name != "began"}
            if isinstance(entry["began"], float):
                line["age"] = now - entry["began"]
            told.append(line)
        try:
            await stream.write(msgspec.json.encode({"kind": kind, "entries": told}) + b"\n")
        except StreamClosedError:
            with suppress(ValueError):
                self.streams.remove(stream)
            return
        for entry in entries:
            place, switch = self.places.index(str(entry["exchange"])), int(str(entry["switch"]))
            self.wire.trace.write(ToldRecord(now, self.box, place, str(entry["state"]), switch))

    def push(self, entries: list[dict[str, object]]) -> None:
        for stream in list(self.streams):
            self.wire.loop.add_callback(self._send, stream, "changes", entries)
