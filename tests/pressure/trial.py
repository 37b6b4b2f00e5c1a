"""One trial: the proxy as a process with its limits, usual callers, and bad clients beside them."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

from tests.pressure.clients import HANGING_PLACE, SOUND_PLACE, Kind
from tests.soak.plan import CallerMix, ClassPlan, Deployment, Plan, SwitchFault
from tests.soak.records import NodeRun, SetUp
from tests.soak.run import ROOT, Play

SWITCHES = 5
CALM_S = 1.0  # of usual callers alone, before and after
LATE_AFTER_S = 0.5  # beyond a caller's time an answer is lost (standing test)
CALLERS = CallerMix(
    rate_per_s=20.0,
    connections=4,
    shared=True,
    slow_writers=0.0,
    impatient=0.0,
    retry_at_once=0.0,
    bad_per_s=0.0,
    crowd=0,
    burst=0,
    watchful=False,
)


@dataclass(frozen=True, slots=True)
class Limits:
    memory_mb: int
    sockets: int

    @property
    def bad_connections(self) -> int:
        """Callers hold a third of the descriptors; the usual ones take a few."""
        return self.sockets // 3 - 2 * CALLERS.connections


SMALLEST, CROWDED, LARGEST = Limits(32, 256), Limits(32, 1024), Limits(192, 1024)


@dataclass(frozen=True, slots=True)
class Result:
    kind: Kind
    limits: Limits
    start_mb: float
    peak_mb: float  # resident, as the kernel keeps it
    exit_code: int | None  # None: it lived
    answer_times_s: list[float]  # of usual callers, but at the switch that hangs
    unanswered: int
    served: int
    clients: str
    log: list[str]

    def faults(self) -> list[str]:
        found = []
        if self.exit_code is not None:
            found.append(f"the process ended with {self.exit_code}")
        if self.peak_mb > self.limits.memory_mb:
            found.append(f"{self.peak_mb:.1f} MB at the peak, {self.limits.memory_mb} MB allowed")
        if self.unanswered:
            found.append(f"{self.unanswered} set-ups of usual callers unanswered or late")
        return found

    def summary(self) -> str:
        times = sorted(self.answer_times_s) or [0.0]
        return (
            f"{self.kind.value}: {self.limits.memory_mb} MB, {self.limits.sockets} descriptors: "
            f"{self.start_mb:.1f} MB at the start, {self.peak_mb:.1f} at the peak; usual callers: "
            f"{len(self.answer_times_s)} answered, {self.served} served, half in "
            f"{times[len(times) // 2] * 1000:.0f} ms, all in {times[-1] * 1000:.0f} ms, "
            f"{self.unanswered} unanswered; bad clients: {self.clients}"
        )


def plan_of(limits: Limits, seed: int = 1) -> Plan:
    deployment = Deployment(
        classes=(ClassPlan("voice", 1200.0, 3000.0, 1.0),),
        zones=("east", "west"),
        tenants=("acme",),
        switches=SWITCHES,
        sockets=limits.sockets,
        busy_neighbours=0,
        max_attempts=6,
        cancel=True,
        memory_mb=limits.memory_mb,
    )
    return Plan(seed, deployment, CALLERS, (), hold_s=1.0)


class PressureTrial(Play):
    def __init__(self, kind: Kind, limits: Limits, span_s: float) -> None:
        super().__init__(plan_of(limits))
        self.kind, self.limits, self.span_s = kind, limits, span_s

    async def play(self) -> Result:
        with tempfile.TemporaryDirectory() as folder:
            self.file = Path(folder) / "config.json"
            try:
                return await self._play()
            finally:
                self._strike()

    async def _play(self) -> Result:
        await self._set_the_stage()
        if not self.kind.is_one_connection or self.kind is Kind.SAME_ID:
            self.switches[HANGING_PLACE].faults.add(SwitchFault.HANG)
        run, process = await self._start_node(0)
        try:
            await self._await_ready(run, process)
            start_mb = peak_mb(process.pid)
            self.callers.sending = True
            await asyncio.sleep(CALM_S)
            clients = await self._bad_clients()
            await asyncio.sleep(CALM_S)
            self.callers.sending = False
            await asyncio.sleep(3.0 + LATE_AFTER_S)
            peak = peak_mb(process.pid) if process.poll() is None else 0.0
            return self._result(run, start_mb, peak, process.poll(), clients)
        finally:
            process.kill()
            await asyncio.to_thread(process.wait)

    async def _bad_clients(self) -> str:
        connections = 1 if self.kind.is_one_connection else self.limits.bad_connections
        words = [self.kind.value, str(self.address[1]), str(connections), str(self.span_s)]
        words.append(self.switches[SOUND_PLACE].name)
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "tests.pressure.clients", *words, cwd=ROOT, stdout=subprocess.PIPE
        )
        out, _ = await process.communicate()
        return out.decode().strip()

    def _result(
        self, run: NodeRun, start_mb: float, peak: float, exit_code: int | None, clients: str
    ) -> Result:
        usual = self.records.set_ups
        answered = [each for each in usual if each.answers and in_time(each)]
        hanging = HANGING_PLACE if SwitchFault.HANG in self.switches[HANGING_PLACE].faults else None
        sound = [each for each in answered if each.destination != hanging]
        times = [each.answers[0].at - (each.written_at or 0.0) for each in sound]
        served = sum(each.answers[0].status == 200 for each in answered)
        return Result(
            self.kind, self.limits, start_mb, peak, exit_code, times, len(usual) - len(answered), served,
            clients, run.log,
        )  # fmt: skip


def in_time(set_up: SetUp) -> bool:
    begun = set_up.written_at or 0.0
    return set_up.answers[0].at <= begun + set_up.wait_s + LATE_AFTER_S


def peak_mb(pid: int) -> float:
    """Largest resident size so far, in MB of 10^6 bytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024 / 1e6
    raise ValueError("no VmHWM")


def run_trial(kind: Kind, limits: Limits, span_s: float) -> Result:
    return asyncio.run(PressureTrial(kind, limits, span_s).play())
