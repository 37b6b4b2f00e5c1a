"""Handsets that play a plan on one socket. Set-up time counts from when a call was due, not from when the
tool
came to dial it, so a tool or a box that falls behind shows (no coordinated omission)."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from dapplehinge.calls.agenda import Agenda
from dapplehinge.config.load import split
from dapplehinge.iax2.codes import FORMAT_ULAW, CauseCode, Control, FrameType, Ie
from dapplehinge.iax2.elements import Elements
from dapplehinge.iax2.engine import Bounds, Engine
from dapplehinge.iax2.leg import Credentials, Leg, Released, Signal
from dapplehinge.iax2.states import State
from dapplehinge.load.plan import LoadPart, arrivals, generator, hold_times
from dapplehinge.proxy.clock import clock
from dapplehinge.proxy.port import Port, open_socket

_CONTROL = int(FrameType.CONTROL)
DRAWN_AT_ONCE = 4096
LAST = 1000.0
"""ms after the last call for ACKs and late answers."""


@dataclass(slots=True)
class ClassCount:
    offered: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    gave_up: int = 0
    no_handset: int = 0
    causes: dict[int, int] = field(default_factory=dict)
    histogram: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 60_000_000, 3))


@dataclass(slots=True)
class _Try:
    due: float
    kind: int
    phase: int
    stood: bool = False


class Load:
    def __init__(self, plan: LoadPart) -> None:
        self.plan = plan
        self.addr = split(plan.to)
        host = "127.0.0.1" if ":" not in self.addr[0] else "::1"
        self.engine = Engine(bounds=Bounds(legs=40_000))
        self._agenda: Agenda[tuple[str, Leg | None, int]] = Agenda()
        agenda = self._agenda
        self.port = Port(open_socket((host, 0)), self.engine, self._events, lambda: agenda.due, self._tick)
        self.draw = generator(plan, 2)
        shares = [kind.share for kind in plan.classes]
        self.shares = [share / sum(shares) for share in shares]
        self.counts = [ClassCount() for _ in plan.classes]
        self.by_second: list[list[int]] = []  # offered and stood in time of each second
        self.tries: dict[int, _Try] = {}
        self.free = plan.handsets
        self.begin = clock() + 100.0
        self._drawn: deque[tuple[int, float]] = deque()
        self._serial = 0
        for arrival in arrivals(plan):
            self._at(self.begin + arrival.at, "call", None, arrival.phase)
        start = 0.0
        self.closed: dict[int, float] = {}  # closed phase -> its end
        for index, phase in enumerate(plan.phases):
            if phase.kind == "closed":
                self.closed[index] = self.begin + start + phase.span
                for gap in self.draw.exponential(phase.think, plan.handsets):
                    self._at(self.begin + start + float(gap), "call", None, index)
            start += phase.span
        self.end = self.begin + start
        self.port.flush()

    def _at(self, when: float, what: str, leg: Leg | None, phase: int) -> None:
        self._agenda.at(when, (what, leg, phase))

    def _next_draw(self) -> tuple[int, float]:
        """Class and holding time of the next call, drawn in blocks."""
        if not self._drawn:
            kinds = self.draw.choice(len(self.shares), DRAWN_AT_ONCE, p=self.shares)
            holds = hold_times(self.plan.hold, DRAWN_AT_ONCE, self.draw)
            self._drawn.extend(zip(kinds.tolist(), holds.tolist(), strict=True))
        return self._drawn.popleft()

    def _tick(self, now: float) -> None:
        for due, (what, leg, phase) in self._agenda.ready(now):
            if what == "call":
                self._dial(due, phase, now)
            elif leg is not None and leg.alive:
                tried = self.tries.get(leg.number)
                if what == "give_up" and tried is not None and not tried.stood:
                    self.counts[tried.kind].gave_up += 1
                    self._over(leg, now)
                    self.engine.hang_up(leg, CauseCode.NORMAL_CLEARING, "", now)
                elif what == "hang_up":
                    self._over(leg, now)
                    self.engine.hang_up(leg, CauseCode.NORMAL_CLEARING, "", now)

    def _dial(self, due: float, phase: int, now: float) -> None:
        if phase in self.closed and due >= self.closed[phase]:
            return
        kind, hold = self._next_draw()
        part, count = self.plan.classes[kind], self.counts[kind]
        count.offered += 1
        second = int((due - self.begin) / 1000.0)
        while len(self.by_second) <= second:
            self.by_second.append([0, 0])
        self.by_second[second][0] += 1
        if self.free <= 0:
            count.no_handset += 1
            return
        self._serial += 1
        elements: Elements = {
            int(Ie.CALLED_NUMBER): part.numbers[count.offered % len(part.numbers)],
            int(Ie.CALLING_NUMBER): f"{self.plan.seed % 100:02d}{self._serial:07d}",
            int(Ie.CAPABILITY): FORMAT_ULAW,
            int(Ie.FORMAT): FORMAT_ULAW,
            int(Ie.CALLTOKEN): b"",
        }
        if part.context:
            elements[int(Ie.CALLED_CONTEXT)] = part.context
        own = Credentials(part.username, part.secret) if part.username else None
        if part.username:
            elements[int(Ie.USERNAME)] = part.username
        leg = self.engine.dial(self.addr, elements, now, own)
        if leg is None:
            count.no_handset += 1
            return
        self.free -= 1
        self.tries[leg.number] = _Try(due, kind, phase)
        self._at(due + part.give_up, "give_up", leg, phase)
        leg.owner = (int(hold), phase)

    def _over(self, leg: Leg, now: float) -> _Try | None:
        tried = self.tries.pop(leg.number, None)
        if tried is not None:
            self.free += 1
            if tried.phase in self.closed:
                think = float(self.draw.exponential(self.plan.phases[tried.phase].think))
                self._at(now + think, "call", None, tried.phase)
        return tried

    def _events(self, now: float) -> None:
        for event in self.engine.next_events():
            if isinstance(event, Signal) and event.kind == _CONTROL:
                self._heard(event.leg, event.subclass, now)
            elif isinstance(event, Released):
                tried = self._over(event.leg, now)
                if tried is not None and not tried.stood:
                    count = self.counts[tried.kind]
                    refused = event.cause in (34, 42, 47)
                    count.refused += refused
                    count.failed += not refused
                    count.causes[event.cause] = count.causes.get(event.cause, 0) + 1

    def _heard(self, leg: Leg, subclass: int, now: float) -> None:
        tried = self.tries.get(leg.number)
        if tried is None or subclass not in (Control.RINGING, Control.ANSWER):
            return
        if not tried.stood:
            tried.stood = True
            took, count = now - tried.due, self.counts[tried.kind]
            count.histogram.record_value(max(1, int(1000 * took)))
            if took <= self.plan.classes[tried.kind].target:
                count.in_time += 1
                self.by_second[int((tried.due - self.begin) / 1000.0)][1] += 1
            else:
                count.late += 1
        if subclass == Control.ANSWER and leg.owner is not None and leg.state is State.UP:
            self._at(now + leg.owner[0], "hang_up", leg, tried.phase)

    async def play(self, progress: Callable[[float, str], None]) -> None:
        last = self.end + max(kind.give_up for kind in self.plan.classes)
        while clock() < last and (clock() < self.end or self.tries):
            await asyncio.sleep(0.2)
            part = (clock() - self.begin) / (self.end - self.begin)
            stood = sum(count.in_time + count.late for count in self.counts)
            offered = sum(count.offered for count in self.counts)
            progress(max(0.0, min(1.0, part)), f"{offered} offered, {stood} stood")
        for number in list(self.tries):
            leg = self.engine.legs.get(number)
            if leg is not None:
                self._over(leg, clock())
                self.engine.hang_up(leg, CauseCode.NORMAL_CLEARING, "", clock())
        self.port.flush()
        await asyncio.sleep(LAST / 1000.0)
        self.port.close()


def run_load(plan: LoadPart, progress: Callable[[float, str], None]) -> Load:
    async def main() -> Load:
        load = Load(plan)
        await load.play(progress)
        return load

    return asyncio.run(main())
