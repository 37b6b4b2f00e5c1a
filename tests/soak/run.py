"""Plays a plan: the proxy as a process, stand-ins in this one, signals and faults at their times."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import json
import os
import resource
import signal
import subprocess
import sys
import tempfile
import threading
from collections import deque
from pathlib import Path
from random import Random
from time import monotonic, time
from typing import Any

from tests.ports import free_port
from tests.soak.callers import Callers
from tests.soak.discovery import Discovery
from tests.soak.plan import (
    Cycle,
    DiscoveryTrouble,
    Plan,
    SwitchFault,
    SwitchTrouble,
    earliest_kill_s,
)
from tests.soak.records import LAG_TICK_S, LEAST_LAG_S, Lag, NodeRun, Records
from tests.soak.switches import Switch

ROOT = Path(__file__).resolve().parent.parent.parent
GUARD_MS = 300.0
DRAIN_GRACE_MS = 250.0
READY_TEST_GAP_S = 0.02
AFTER_END_S = (0.05, 0.4)
LOG_LINES = 400
DRAIN_TIME_S = 0.8  # from draining to gone, of a switch that is replaced


class CoreClaim:
    """A core that no other run on this machine pins its node and neighbours to."""

    def __init__(self) -> None:
        cores = os.cpu_count() or 1
        for self.number in range(cores):
            self._file = open(Path(tempfile.gettempdir()) / f"soak-core-{self.number}", "w")  # noqa: SIM115
            try:
                fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
                return
            except BlockingIOError:
                self._file.close()
        raise RuntimeError(f"{cores} runs are under way already, one a core")

    def release(self) -> None:
        self._file.close()


def play(plan: Plan) -> Records:
    return asyncio.run(Play(plan).run())


class Play:
    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.random = Random(plan.seed + 1)
        deployment = plan.deployment
        self.records = Records(
            GUARD_MS / 1000.0, DRAIN_GRACE_MS / 1000.0, deployment.sockets, deployment.switches
        )
        self.address = ("127.0.0.1", free_port())
        self.callers = Callers(plan.deployment, plan.callers, self.random, self.records, self.address)
        self.discovery = Discovery(self.records.changes)
        self.switches: dict[int, Switch] = {}  # by place, the present one
        self.former: list[Switch] = []
        self.neighbours: list[subprocess.Popen[bytes]] = []
        self.background: list[asyncio.Task[None]] = []
        self.core = CoreClaim()

    async def run(self) -> Records:
        with tempfile.TemporaryDirectory() as folder:
            self.file = Path(folder) / "config.json"
            try:
                await self._set_the_stage()
                for number, cycle in enumerate(self.plan.cycles):
                    await self._live(number, cycle)
            finally:
                self._strike()
        return self.records

    async def _set_the_stage(self) -> None:
        await self.discovery.start()
        for place in range(self.plan.deployment.switches):
            self.switches[place] = await self._new_switch(place)
        self.discovery.publish([self._row(each, "active") for each in self.switches.values()], whole=True)
        for _ in range(self.plan.deployment.busy_neighbours):
            busy = subprocess.Popen([sys.executable, "-c", "while True: pass"], preexec_fn=self._pin)
            self.neighbours.append(busy)
        loads = (self.callers.load(), self.callers.bad_load(), self._watch_lag())
        self.background = [asyncio.create_task(each) for each in loads]

    def _strike(self) -> None:
        for task in self.background:
            task.cancel()
        for busy in self.neighbours:
            busy.kill()
            busy.wait()
        self.core.release()
        for switch in [*self.switches.values(), *self.former]:
            switch.close()
        self.discovery.close()

    def _pin(self) -> None:
        if self.plan.deployment.busy_neighbours:
            os.sched_setaffinity(0, {self.core.number})

    async def _watch_lag(self) -> None:
        while True:
            before = self.records.last_tick_at = monotonic()
            await asyncio.sleep(LAG_TICK_S)
            late_s = monotonic() - before - LAG_TICK_S
            if late_s > LEAST_LAG_S:
                self.records.lags.append(Lag(monotonic(), late_s))

    # One life of the node

    async def _live(self, number: int, cycle: Cycle) -> None:
        node = await self._start_node(number)
        run, process = node
        self.callers.sigterm_at, self.callers.arrivals_s = None, cycle.arrivals_s
        await self._await_ready(run, process)
        self.callers.sending = True
        stop_at = monotonic() + cycle.serve_s
        steps = [self._switch_trouble(each, stop_at) for each in cycle.troubles]
        steps += [self._discovery_trouble(each, stop_at) for each in cycle.discovery]
        steps += [self._reload(each, stop_at, process) for each in cycle.reloads_s]
        tasks = [asyncio.create_task(each) for each in steps]
        await asyncio.sleep(max(0.0, stop_at - 0.3 - monotonic()))
        self.callers.spawn(self.callers.crowd())
        await asyncio.sleep(max(0.0, stop_at - monotonic()))
        tasks += [asyncio.create_task(self._burst(each, stop_at)) for each in cycle.bursts_s]
        for each in cycle.repeated_sigterms_s:
            tasks.append(asyncio.create_task(self._signal(each, stop_at, process, signal.SIGTERM)))
        await self._stop_node(run, process)
        await asyncio.gather(*tasks)
        self.discovery.settle(run.ended_at or monotonic())
        await asyncio.sleep(self.random.uniform(*AFTER_END_S))

    async def _start_node(self, number: int) -> tuple[NodeRun, subprocess.Popen[bytes]]:
        self._configure()
        environment = {k: v for k, v in os.environ.items() if not k.startswith("BALANCER_")} | {
            "BALANCER_NAME": "n0",
            "BALANCER_LISTEN": f"{self.address[0]}:{self.address[1]}",
            "BALANCER_CONFIG": str(self.file),
        }
        sockets = self.plan.deployment.sockets

        def prepare() -> None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))
            self._pin()

        process = subprocess.Popen(
            [sys.executable, "-m", "dapplehinge", "platform"],
            cwd=ROOT,
            env=environment,
            stderr=subprocess.PIPE,
            preexec_fn=prepare,
        )
        run = NodeRun(number, monotonic())
        self.records.runs.append(run)
        self.discovery.node_started(number)
        log: deque[str] = deque(maxlen=LOG_LINES)
        threading.Thread(target=self._read_log, args=(process, log, run), daemon=True).start()
        return run, process

    @staticmethod
    def _read_log(process: subprocess.Popen[bytes], log: deque[str], run: NodeRun) -> None:
        assert process.stderr is not None
        for line in process.stderr:
            log.append(line.decode("utf-8", "replace").rstrip())
            run.log = list(log)

    async def _await_ready(self, run: NodeRun, process: subprocess.Popen[bytes]) -> None:
        while monotonic() - run.started_at < 30.0 and process.poll() is None:
            if await self.callers.test() == 200:
                run.ready_at = monotonic()
                return
            await asyncio.sleep(READY_TEST_GAP_S)

    async def _stop_node(self, run: NodeRun, process: subprocess.Popen[bytes]) -> None:
        """SIGTERM, callers on open connections until the end, SIGKILL as early as it may come."""
        if process.poll() is None:
            run.sigterm_at = self.callers.sigterm_at = monotonic()
            run.earliest_kill_at = run.sigterm_at + earliest_kill_s(self.plan.deployment)
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGTERM)
        while process.poll() is None and monotonic() < (run.earliest_kill_at or 0.0):
            run.most_descriptors = max(run.most_descriptors, descriptors_of(process.pid))
            await asyncio.sleep(0.005)
        if process.poll() is None:
            run.killed = True
            process.kill()
        run.ended_at = monotonic()
        run.exit_code = await asyncio.to_thread(process.wait)
        await asyncio.sleep(0.1)
        self.callers.sending = False
        for connection in list(self.callers.connections):
            connection.give_up()

    async def _signal(
        self, after_s: float, stop_at: float, process: subprocess.Popen[bytes], number: signal.Signals
    ) -> None:
        await asyncio.sleep(max(0.0, stop_at + after_s - monotonic()))
        if process.poll() is None:
            process.send_signal(number)

    async def _burst(self, after_s: float, stop_at: float) -> None:
        await asyncio.sleep(max(0.0, stop_at + after_s - monotonic()))
        await self.callers.burst()

    async def _reload(self, after_s: float, stop_at: float, process: subprocess.Popen[bytes]) -> None:
        await asyncio.sleep(max(0.0, stop_at + after_s - monotonic()))
        if process.poll() is None:
            await self.discovery.move()
            self._configure()
            process.send_signal(signal.SIGHUP)

    # Faults

    async def _switch_trouble(self, trouble: SwitchTrouble, stop_at: float) -> None:
        await asyncio.sleep(max(0.0, stop_at + trouble.begins_s - monotonic()))
        if trouble.fault is SwitchFault.REPLACED:
            await self._replace(trouble.switch)
            return
        switch = self.switches[trouble.switch]
        switch.faults.add(trouble.fault)
        if trouble.fault is SwitchFault.VANISHED:
            switch.vanish()
        await asyncio.sleep(max(0.0, stop_at + trouble.ends_s - monotonic()))
        switch.faults.discard(trouble.fault)
        if trouble.fault is SwitchFault.VANISHED:
            await switch.come_back()

    async def _replace(self, place: int) -> None:
        old = self.switches[place]
        if SwitchFault.VANISHED in old.faults:
            return
        self.discovery.publish([self._row(old, "leaving")])
        await asyncio.sleep(DRAIN_TIME_S)
        fresh = await self._new_switch(place)
        self.switches[place] = fresh
        self.former.append(old)
        old.die()
        self.discovery.publish([self._row(old, "left"), self._row(fresh, "active", cold=True)])

    async def _discovery_trouble(self, trouble: DiscoveryTrouble, stop_at: float) -> None:
        await asyncio.sleep(max(0.0, stop_at + trouble.begins_s - monotonic()))
        await self.discovery.begin(trouble.fault)
        await asyncio.sleep(max(0.0, stop_at + trouble.ends_s - monotonic()))
        await self.discovery.end()

    # What the node is told

    async def _new_switch(self, place: int) -> Switch:
        zones = self.plan.deployment.zones
        zone = zones[place % len(zones)] if zones else ""
        name = f"s-{self.random.getrandbits(32):08x}"
        switch = Switch(
            name, place, zone, self.plan.hold_s, self.random, self.records.attempts, self.callers.expected
        )
        await switch.start()
        return switch

    def _row(self, switch: Switch, state: str, cold: bool = False) -> dict[str, Any]:
        return {
            "id": switch.name,
            "addr": f"127.0.0.1:{switch.port}",
            "zone": switch.zone,
            "kind": "std",
            "cell": switch.place,
            "state": state,
            "weight": 1,
            "started_ms": int(time() * 1000) if cold else 0,
        }

    def _configure(self) -> None:
        deployment, cold = self.plan.deployment, self.records.cold
        data = {
            "name": "n0",
            "listen": f"{self.address[0]}:{self.address[1]}",
            "seed": f"{self.random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": deployment.memory_mb, "sockets": deployment.sockets},
            "feed": f"127.0.0.1:{self.discovery.current.port}",
            "known": self.discovery.known,
            "settings": {
                "contract": {
                    "cold": 1000.0 * cold.span_s,
                    "cold_share": cold.share,
                    "fall_multiple": cold.fall_multiple,
                    "grace_to_answer": 20.0,
                    "stop_sending_within": DRAIN_GRACE_MS,
                    "tip_after": 1000.0 * cold.window_s,
                },
                "discovery": "pushed",
                "family_info": {
                    "guard": GUARD_MS,
                    "layout": "network",
                    "own_number": 0,
                    "channels_needed": [1 for _ in deployment.classes],
                },
                "lanes": [
                    {
                        "name": each.name,
                        "target": each.target_ms,
                        "deadline": each.deadline_ms,
                        "worth": each.worth,
                        "late_worth": 0.25,
                    }
                    for each in deployment.classes
                ],
                "n_instances": 1,
                "policy_limits": {
                    "cancel": deployment.cancel,
                    "connect_timeout": 500.0,
                    "max_attempts": deployment.max_attempts,
                    "max_retry_after": 2000.0,
                    "probes": True,
                    "retry_after": True,
                },
                "position": 0,
                "round": 5.0,
                "tenants": [{"name": name, "quota_rps": 20.0, "share": 0.5} for name in deployment.tenants],
                "zones": list(deployment.zones),
            },
        }
        fresh = self.file.with_suffix(".new")
        fresh.write_text(json.dumps(data))
        fresh.replace(self.file)


def descriptors_of(pid: int) -> int:
    with contextlib.suppress(OSError):
        return len(os.listdir(f"/proc/{pid}/fd"))
    return 0


