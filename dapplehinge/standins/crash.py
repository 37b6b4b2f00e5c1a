"""The crash trial: a box is killed again and again, and its records are held against what others saw.

The callers and the switch are here, the box is a process. It dies by SIGKILL from outside at a time drawn
by seed, or kills itself at a named point of its store (`dying_box.py`). Each call has a caller's number
of its own, so that records, the callers' own knowledge and the switch's log can be joined without the
program's word.
"""

from __future__ import annotations

import asyncio
import json
import random
import subprocess
import sys
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from dapplehinge.calls.agenda import Agenda
from dapplehinge.iax2.codes import FORMAT_ULAW, CauseCode, Control, FrameType, Ie
from dapplehinge.iax2.engine import Engine
from dapplehinge.iax2.leg import Leg, Released, Signal
from dapplehinge.iax2.numbers import NOBODY
from dapplehinge.proxy.clock import clock
from dapplehinge.proxy.ledger import read_shelf, troubles
from dapplehinge.proxy.port import Port, open_socket
from dapplehinge.records.entry import Outcome
from dapplehinge.standins.dying_box import POINTS
from dapplehinge.standins.switch import Switch, SwitchSpec

CLASSES = ("lot-price", "bid-confirm")
GIVE_UP = 1500.0
LONGEST_HOLD = 400.0
SEGMENT = 8192  # bytes: small, so that rotation is met often


@dataclass(slots=True)
class Outcomes:
    kills: int = 0
    at_points: dict[str, int] = field(default_factory=dict)
    dialled: int = 0
    heard: dict[str, str] = field(default_factory=dict)  # caller -> stood or refused
    missing: list[str] = field(default_factory=list)
    doubled: list[str] = field(default_factory=list)
    unknown: list[str] = field(default_factory=list)  # records of calls that nobody made
    unseen: list[str] = field(default_factory=list)  # said to have stood, and the switch knows nothing of it
    by_class: dict[str, tuple[int, int]] = field(default_factory=dict)  # stood: as callers heard, as recorded
    records: int = 0
    recovered: int = 0
    damage: list[str] = field(default_factory=list)

    @property
    def broken(self) -> int:
        unequal = sum(heard != kept for heard, kept in self.by_class.values())
        lists = (self.missing, self.doubled, self.unknown, self.unseen, self.damage)
        return unequal + sum(map(len, lists))


class CrashTrial:
    def __init__(self, folder: Path, kills: int, seed: int, rate: float = 60.0) -> None:
        self.folder, self.kills, self.rate = folder, kills, rate
        self.random = random.Random(seed)
        self.found = Outcomes()
        self.process: subprocess.Popen[bytes] | None = None
        self.answered = 0

    async def play(self, progress: Callable[[float], None] = lambda done: None) -> Outcomes:
        switch_sock, self.box_sock = open_socket(("127.0.0.1", 0)), open_socket(("127.0.0.1", 0))
        self.switch = Switch(SwitchSpec(name="hall", capacity=2000, ring=10), switch_sock, clock())
        self.box = self.box_sock.getsockname()
        self.file = self._settings(switch_sock.getsockname())
        self.engine = Engine()
        self.agenda: Agenda[tuple[str, Leg | None]] = Agenda()
        caller_sock = open_socket(("127.0.0.1", 0))
        self.port = Port(caller_sock, self.engine, self._events, lambda: self.agenda.due, self._tick)
        self.names: dict[int, str] = {}
        self.agenda.at(clock(), ("call", None))
        self.port.flush()
        try:
            while self.found.kills < self.kills:
                await self._live_and_die()
                progress(self.found.kills / self.kills)
            self._start()
            await asyncio.sleep(2.0)
            self.rate = 0.0  # no more calls
            await asyncio.sleep((GIVE_UP + LONGEST_HOLD) / 1000.0)
            assert self.process is not None
            self.process.terminate()
            while self.process.poll() is None:
                await asyncio.sleep(0.05)
        finally:
            if self.process is not None and self.process.poll() is None:
                self.process.kill()
                self.process.wait()
            self.port.close()
            self.switch.port.close()
        self._compare()
        return self.found

    def _settings(self, switch: tuple[str, int]) -> Path:
        file = self.folder / "box.json5"
        file.write_text(
            json.dumps(
                {
                    "box": "quay",
                    "zones": {"loop": ["127.0.0.0/8"]},
                    "exchanges": {
                        "quay": {"zone": "loop", "switch": "127.0.0.1:9"},
                        "hall": {"zone": "loop", "switch": f"{switch[0]}:{switch[1]}"},
                    },
                    "trunk_groups": [{"to": "hall", "circuits": 200}],
                    "classes": [{"name": name, "target": 1000, "give_up": GIVE_UP} for name in CLASSES],
                    "contexts": {"open": {"class": CLASSES[0]}},
                    "dial_plan": [
                        {"prefix": f"1{n}", "exchange": "hall", "class": name}
                        for n, name in enumerate(CLASSES)
                    ],
                    "rules": {"answer_margin": 800},
                    "records": {"folder": "cdr", "segment_bytes": SEGMENT},
                    "log": {"level": "warning", "format": "json"},
                }
            )
        )
        return file

    def _start(self, point: tuple[str, int, float] | None = None) -> None:
        with suppress(BlockingIOError):  # what came while nobody was there is lost, as with a socket's end
            self.box_sock.setblocking(False)
            while True:
                self.box_sock.recv(65536)
        module = ["dapplehinge.cli.main"]
        if point is not None:
            module = ["dapplehinge.standins.dying_box", *map(str, point)]
        number = self.box_sock.fileno()
        with (self.folder / "box.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *module, "run", str(self.file), "--fd", str(number)],
                pass_fds=(number,),
                stdout=log,
                stderr=log,
            )

    async def _live_and_die(self) -> None:
        draw = self.random
        point = None
        if draw.random() < 0.6:
            operation = draw.choice(POINTS)
            count = draw.randint(1, 60) if operation in ("append", "sync") else draw.randint(1, 2)
            point = (operation, count, draw.choice((0.0, 0.3, 0.7, 1.0)))
        self._start(point)
        assert self.process is not None
        begun, until = self.answered, clock() + 4000.0
        while self.answered == begun and self.process.poll() is None and clock() < until:
            await asyncio.sleep(0.02)
        last = clock() + draw.uniform(0.0, 1200.0)
        while self.process.poll() is None and clock() < last:
            await asyncio.sleep(0.01)
        died = self.process.poll()
        if died is not None and died != -9:
            raise RuntimeError(f"the box ended with {died}: see {self.folder / 'box.log'}")
        where = point[0] if died is not None and point is not None else "from outside"
        self.found.at_points[where] = self.found.at_points.get(where, 0) + 1
        self.process.kill()
        self.process.wait()
        self.found.kills += 1

    # Callers

    def _tick(self, now: float) -> None:
        for due, (what, leg) in self.agenda.ready(now):
            if what == "call":
                if self.rate:
                    self._dial(now)
                    self.agenda.at(max(due + 1000.0 / self.rate, now - 100.0), ("call", None))
            elif leg is not None and leg.alive and (what == "hang_up" or leg.number in self.names):
                self.names.pop(leg.number, None)
                self.engine.hang_up(leg, CauseCode.NORMAL_CLEARING, "", now)

    def _dial(self, now: float) -> None:
        self.found.dialled += 1
        caller = f"7{self.found.dialled:08d}"
        number = f"1{self.random.randrange(2)}{self.random.randrange(98):02d}"
        leg = self.engine.dial(
            self.box,
            {
                int(Ie.CALLED_NUMBER): number,
                int(Ie.CALLING_NUMBER): caller,
                int(Ie.CAPABILITY): FORMAT_ULAW,
                int(Ie.FORMAT): FORMAT_ULAW,
                int(Ie.CALLTOKEN): b"",
            },
            now,
        )
        if leg is not None:
            self.names[leg.number] = caller
            self.agenda.at(now + GIVE_UP, ("give_up", leg))

    def _events(self, now: float) -> None:
        for event in self.engine.next_events():
            if isinstance(event, Signal) and event.kind == FrameType.CONTROL:
                caller = self.names.pop(event.leg.number, None)
                if caller is not None:
                    self.found.heard[caller] = "stood"
                    self.answered += 1
                if event.subclass == Control.ANSWER:
                    hold = self.random.uniform(0.0, LONGEST_HOLD)
                    self.agenda.at(now + hold, ("hang_up", event.leg))
            elif isinstance(event, Released):
                caller = self.names.pop(event.leg.number, None)
                # an answer without a leg is the limits': such a call was never taken
                if caller is not None and event.rejected and event.leg.exchange.dest not in (0, NOBODY):
                    self.found.heard[caller] = "refused"

    # What came of it

    def _compare(self) -> None:
        found = self.found
        shelf = read_shelf(self.folder / "cdr")
        kept = Counter(record.intent.caller for record in shelf.records.values())
        stood = {Outcome.STOOD, Outcome.INTERRUPTED}
        said = {r.intent.caller: r.intent for r in shelf.records.values() if r.intent.outcome in stood}
        found.records = len(shelf.records)
        found.recovered = sum(record.recovered for record in shelf.records.values())
        found.missing = sorted(caller for caller in found.heard if caller not in kept)
        found.doubled = sorted(caller for caller, times in kept.items() if times > 1)
        made = {f"7{n:08d}" for n in range(1, found.dialled + 1)}
        found.unknown = sorted(set(kept) - made)
        found.unseen = sorted(caller for caller in said if caller not in self.switch.rang)
        heard = {caller for caller, how in found.heard.items() if how == "stood"}
        for index, name in enumerate(CLASSES):
            numbers = [self.switch.rang[c] for c in heard if c in self.switch.rang]
            as_heard = sum(number[1] == str(index) for number in numbers)
            as_kept = sum(i.kind == name for c, i in said.items() if c in heard)
            found.by_class[name] = (as_heard, as_kept)
        found.damage = [f"{each.what.name.lower()}: {each.text}" for each in troubles(shelf)]


def crash(folder: Path, kills: int, seed: int, progress: Callable[[float], None]) -> Outcomes:
    return asyncio.run(CrashTrial(folder, kills, seed).play(progress))

