"""The directory of switches, followed over TCP: one JSON object a line.

    {"kind": "whole", "entries": [{"switch": 7, "exchange": "hall", "state": "ready", "age": 1200}]}

`kind` is `whole` or `changes`; `state` is `ready`, `draining` or `gone`; `age` says for how many ms the
switch has run, and is left out for one that has run for long. A link that breaks is opened again at
doubling gaps, and the last list holds meanwhile: a box that lost its directory goes on by what it knows.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Literal

import msgspec
import structlog
from tornado import gen
from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError
from tornado.tcpclient import TCPClient

from dapplehinge import interface as api
from dapplehinge.calls.network import Addr, Network

LONGEST_LINE = 1 << 20
FIRST_GAP, MOST_GAP = 0.2, 5.0  # seconds


class Entry(msgspec.Struct):
    switch: int
    exchange: str
    state: Literal["ready", "draining", "gone"]
    age: float | None = None


class Line(msgspec.Struct):
    kind: Literal["whole", "changes"]
    entries: list[Entry]


STATES = {
    "ready": api.SwitchState.READY,
    "draining": api.SwitchState.DRAINING,
    "gone": api.SwitchState.GONE,
}
KINDS = {"whole": api.ListKind.WHOLE, "changes": api.ListKind.CHANGES}


def translate(line: bytes, network: Network, now: float) -> api.SwitchList:
    """A line as the module's event; `msgspec.DecodeError` where it is none. Unknown exchanges are left
    out.
    """
    told: Line = msgspec.json.decode(line, type=Line)
    entries = tuple(
        api.SwitchEntry(
            switch=each.switch,
            exchange=network.by_name[each.exchange],
            state=STATES[each.state],
            zone=network.exchanges[network.by_name[each.exchange]].zone,
            started_at=max(1e-3, now - each.age) if each.age is not None else 0.0,
        )
        for each in told.entries
        if each.exchange in network.by_name
    )
    return api.SwitchList(KINDS[told.kind], entries)


class Directory:
    def __init__(
        self,
        addr: Addr,
        network: Network,
        listed: Callable[[api.SwitchList], None],
        clock: Callable[[], float],
    ) -> None:
        self.addr = addr
        self.network = network
        self.listed = listed
        self.clock = clock
        self.log = structlog.get_logger()
        self.stream: IOStream | None = None
        self.closing = False

    async def follow(self) -> None:
        gap = FIRST_GAP
        while not self.closing:
            try:
                self.stream = await TCPClient().connect(*self.addr, max_buffer_size=LONGEST_LINE)
                self.log.info("directory.linked", addr=f"{self.addr[0]}:{self.addr[1]}")
                while True:
                    line = await self.stream.read_until(b"\n", max_bytes=LONGEST_LINE)
                    gap = FIRST_GAP
                    self._line(line)
            except UnsatisfiableReadError:
                self.log.warning("directory.line_too_long")
            except (StreamClosedError, OSError) as fault:
                if not self.closing:
                    self.log.warning("directory.lost", reason=str(fault))
            if not self.closing:
                await gen.sleep(gap)
                gap = min(MOST_GAP, 2 * gap)

    def _line(self, line: bytes) -> None:
        try:
            change = translate(line, self.network, self.clock())
        except msgspec.DecodeError as fault:
            self.log.warning("directory.bad_line", reason=str(fault))
            return
        self.listed(change)

    def close(self) -> None:
        self.closing = True
        if self.stream is not None:
            self.stream.close()
