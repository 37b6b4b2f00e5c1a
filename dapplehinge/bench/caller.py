"""Callers at a steady rate as a process of their own: `python -m dapplehinge.bench.caller SPEC.json`.

Set-up time counts from when a call was due to be dialled, so a generator that falls behind shows (no
coordinated omission), to the first RINGING or ANSWER.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import msgspec
from hdrh.histogram import HdrHistogram

from dapplehinge.iax2.codes import FORMAT_ULAW, CauseCode, Control, FrameType, Ie
from dapplehinge.iax2.engine import Engine
from dapplehinge.iax2.leg import Leg, Released, Signal
from dapplehinge.proxy.clock import clock
from dapplehinge.proxy.port import Port, open_socket

_CONTROL, _ANSWER = int(FrameType.CONTROL), int(Control.ANSWER)


class CallerSpec(msgspec.Struct, kw_only=True):
    to: list[tuple[str, int]]  # dialled in turn
    numbers: list[str]  # dialled in turn
    rate: float
    begin: float
    span: float
    warm_up: float = 1000.0  # ms at the start that are not counted
    targets: list[float]  # of the classes


class KindResult(msgspec.Struct):
    """Calls of one class: the second digit of their numbers."""

    offered: int = 0
    in_time: int = 0
    stood: int = 0
    refused: int = 0


class Result(msgspec.Struct, kw_only=True):
    kinds: dict[str, KindResult]
    offered: int
    stood: int
    failed: int
    histogram: str


class Caller:
    def __init__(self, spec: CallerSpec) -> None:
        self.spec = spec
        self.engine = Engine()
        self.port = Port(open_socket(("127.0.0.1", 0)), self.engine, self.events, lambda: self.due, self.tick)
        self.due = spec.begin
        self.dialled: dict[int, tuple[float, str]] = {}
        self.kinds: dict[str, KindResult] = {}
        self.offered = self.stood = self.failed = 0
        self.histogram = HdrHistogram(1, 60_000_000, 3)
        self.port.flush()

    def tick(self, now: float) -> None:
        spec = self.spec
        while self.due <= now and self.due < spec.begin + spec.span:
            turn = self.offered
            number = spec.numbers[turn % len(spec.numbers)]
            kind = number[1]
            host, port = spec.to[turn % len(spec.to)]
            leg = self.engine.dial(
                (host, port),
                {
                    Ie.CALLED_NUMBER: number,
                    Ie.CALLING_NUMBER: "5",
                    Ie.CAPABILITY: FORMAT_ULAW,
                    Ie.FORMAT: FORMAT_ULAW,
                },
                now,
            )
            self.offered += 1
            if self.counted(self.due):
                self.kinds.setdefault(kind, KindResult()).offered += 1
            if leg is not None:
                self.dialled[leg.number] = (self.due, kind)
            else:
                self.failed += 1
            self.due += 1000.0 / spec.rate
        if self.due >= spec.begin + spec.span:
            self.due = float("inf")

    def events(self, now: float) -> None:
        for event in self.engine.next_events():
            if isinstance(event, Signal) and event.kind == _CONTROL:
                found = self.dialled.pop(event.leg.number, None)
                if found is not None:
                    due, kind = found
                    self.stood += 1
                    if self.counted(due):
                        self.histogram.record_value(max(1, int((now - due) * 1000)))
                        self.kinds[kind].stood += 1
                        self.kinds[kind].in_time += now - due <= self.spec.targets[int(kind)]
                if event.subclass == _ANSWER:
                    self._hang_up(event.leg, now)
            elif isinstance(event, Released):
                found = self.dialled.pop(event.leg.number, None)
                if found is not None:
                    self.failed += 1
                    if self.counted(found[0]) and event.cause == CauseCode.SWITCH_CONGESTION:
                        self.kinds[found[1]].refused += 1

    def counted(self, due: float) -> bool:
        return due >= self.spec.begin + self.spec.warm_up

    def _hang_up(self, leg: Leg, now: float) -> None:
        self.engine.hang_up(leg, CauseCode.NORMAL_CLEARING, "", now)


async def _play(spec: CallerSpec) -> None:
    caller = Caller(spec)
    await asyncio.sleep(max(0.0, (spec.begin + spec.span + 1500.0 - clock()) / 1000.0))
    result = Result(
        kinds=caller.kinds,
        offered=caller.offered,
        stood=caller.stood,
        failed=caller.failed + len(caller.dialled),
        histogram=caller.histogram.encode().decode(),
    )
    sys.stdout.buffer.write(msgspec.json.encode(result) + b"\n")


if __name__ == "__main__":
    asyncio.run(_play(msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=CallerSpec)))
