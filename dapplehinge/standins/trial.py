"""Play a scenario: boxes, switches and handsets as processes of their own, the wire and the directory
here.
"""

from __future__ import annotations

import asyncio
import json
import socket
import subprocess
import sys
import tempfile
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec
from tornado import gen

from dapplehinge.audit.trace import ClassOfCall, Header, Participant
from dapplehinge.proxy.clock import clock
from dapplehinge.standins.handset import HandsetSpec, Redial, Vanish
from dapplehinge.standins.scenario import SWITCH_FAULTS, WIRE_FAULTS, ScenarioPart
from dapplehinge.standins.switch import Fault, SwitchSpec
from dapplehinge.standins.wire import DirectoryStandIn, End, Wire, loopback_socket

START_UP = 1500.0
"""ms for all processes to come up before the first call."""


NOTICED = 12_000.0
"""ms after which the death of a party has been noticed on all sides."""

BOX_AWAY = 1500.0
"""ms after which a box that was killed is started again."""


class TrialError(Exception):
    """A process of the trial failed; the text holds its last words."""


class Trial:
    def __init__(
        self, scenario: ScenarioPart, folder: Path, box: tuple[str, ...] = ("-m", "dapplehinge.cli.main")
    ) -> None:
        self.scenario = scenario
        self.folder = folder
        self.box = box  # what Python runs as a box
        self.names = list(scenario.exchanges)
        self.processes: list[tuple[str, subprocess.Popen[bytes], Path]] = []
        self.box_socks: list[socket.socket] = []
        count = len(self.names)
        participants = [Participant(role, n) for role in ("proxy", "switch", "handset") for n in range(count)]
        rules = scenario.rules
        self.header = Header(
            participants=participants,
            exchanges=self.names,
            classes=[ClassOfCall(c.name, c.target, c.give_up) for c in scenario.classes],
            capacities=[place.capacity for place in scenario.exchanges.values()],
            guard=rules.guard,
            grace=rules.stop_sending_within,
            cold_share=rules.cold_share,
            cold_span=rules.cold_span,
            fall_multiple=rules.fall_multiple,
            tip_after=rules.tip_after,
        )

    async def play(self, progress: Callable[[float], None] = lambda done: None) -> Path:
        """Play to the end; the trace's path. `TrialError` where a process died."""
        scenario, count = self.scenario, len(self.names)
        trace = self.folder / "trace.bin"
        wire = Wire(
            trace,
            self.header,
            [fault for fault in scenario.faults if fault.kind in WIRE_FAULTS],
            (scenario.delay, scenario.zone_delay),
            scenario.seed,
        )
        zones = [place.zone for place in scenario.exchanges.values()]
        socks = [loopback_socket() for _ in range(3 * count)]
        ends = [End(n, sock.getsockname(), zones[n % count]) for n, sock in enumerate(socks)]
        begin = clock() + START_UP
        wire.begin = begin
        entries: dict[int, dict[str, object]] = {
            1 + n: {"switch": 1 + n, "exchange": name, "state": "ready", "began": None}
            for n, name in enumerate(self.names)
        }
        directories = [DirectoryStandIn(wire, n, entries, self.names) for n in range(count)]
        switch_at: dict[tuple[int, int], tuple[str, int]] = {}
        proxy_at: dict[tuple[int, int], tuple[str, int]] = {}
        for n in range(count):
            for m in range(count):
                if n != m:
                    switch_at[(n, m)], _ = wire.link(ends[n], ends[count + m])
                if n < m:
                    proxy_at[(n, m)], proxy_at[(m, n)] = wire.link(ends[n], ends[m])
        try:
            for n, name in enumerate(self.names):
                box_file = self.folder / f"box-{name}.json5"
                box = self._box(n, switch_at, proxy_at, directories[n].addr)
                box_file.write_text(json.dumps(box, indent=1))
                self.box_socks.append(socks[n])
                self._start_box(n)
                self._stand_in("switch", name, self._switch(n, begin), socks[count + n].fileno())
                to_proxy, _ = wire.link(ends[2 * count + n], ends[n])
                spec = self._handset(n, begin, to_proxy)
                self._stand_in("handset", name, spec, socks[2 * count + n].fileno())
            self._plan(wire, directories, entries, begin)
            longest = max(kind.give_up for kind in scenario.classes)
            quits = any(fault.kind in ("vanish", "box_killed") for fault in scenario.faults)
            end = begin + scenario.span + longest + (NOTICED if quits else 1000.0)
            while clock() < end:
                await gen.sleep(0.25)
                self._check()
                progress(min(1.0, max(0.0, (clock() - begin) / (end - begin))))
        finally:
            self._stop()
            for directory in directories:
                directory.stop()
            wire.close()
        return trace

    def _start_box(self, n: int) -> None:
        name, sock = self.names[n], self.box_socks[n]
        box_file = self.folder / f"box-{name}.json5"
        command = [*self.box, "run", str(box_file), "--fd", str(sock.fileno())]
        self._start(f"box-{name}", command, sock.fileno())

    def _kill_box(self, wire: Wire, n: int) -> None:
        """End a box without a word, and start it again a while later with nothing kept."""
        for index, (name, process, _) in enumerate(self.processes):
            if name == f"box-{self.names[n]}":
                process.kill()
                process.wait()
                del self.processes[index]
                wire.mark("box_killed", n)
                wire.loop.call_later(BOX_AWAY / 1000.0, self._back, wire, n)
                return

    def _back(self, wire: Wire, n: int) -> None:
        sock = self.box_socks[n]
        with suppress(BlockingIOError):  # what came while nobody was there is lost, as with a socket's end
            while True:
                sock.recv(65536)
        self._start_box(n)
        wire.mark("box_started", n)

    def _start(self, name: str, command: list[str], fd: int) -> None:
        output = self.folder / f"{name}.log"
        process = subprocess.Popen(
            [sys.executable, *command], pass_fds=(fd,), stdout=output.open("wb"), stderr=subprocess.STDOUT
        )
        self.processes.append((name, process, output))

    def _stand_in(self, kind: str, name: str, spec: msgspec.Struct, fd: int) -> None:
        file = self.folder / f"{kind}-{name}.json"
        file.write_bytes(msgspec.json.encode(spec))
        command = ["-m", "dapplehinge.standins.process", kind, str(file), str(fd)]
        self._start(f"{kind}-{name}", command, fd)

    def _check(self) -> None:
        for name, process, output in self.processes:
            if process.poll() is not None:
                words = output.read_text(errors="replace")[-2000:]
                raise TrialError(f"{name} ended with {process.returncode}:\n{words}")

    def _stop(self) -> None:
        for _, process, _ in reversed(self.processes):
            process.terminate()
        for _, process, _ in self.processes:
            try:
                process.wait(timeout=5.0)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def _box(
        self,
        n: int,
        switch_at: dict[tuple[int, int], tuple[str, int]],
        proxy_at: dict[tuple[int, int], tuple[str, int]],
        directory: tuple[str, int],
    ) -> dict[str, Any]:
        scenario, names = self.scenario, self.names

        def written(addr: tuple[str, int]) -> str:
            return f"{addr[0]}:{addr[1]}"

        zones = sorted({place.zone for place in scenario.exchanges.values()})
        exchanges: dict[str, Any] = {}
        for m, name in enumerate(names):
            switch = switch_at[(n, m)] if m != n else ("127.0.0.1", 9)
            exchanges[name] = {"zone": scenario.exchanges[name].zone, "switch": written(switch)}
            if m != n:
                exchanges[name]["proxy"] = written(proxy_at[(n, m)])
        classes = [kind.model_dump() for kind in scenario.classes]
        return {
            "box": names[n],
            "listen": "127.0.0.1:0",
            "zones": {zone: ["127.0.0.0/8"] for zone in zones},
            "exchanges": exchanges,
            "trunk_groups": [
                {"to": name, "circuits": scenario.exchanges[name].circuits}
                for m, name in enumerate(names)
                if m != n
            ],
            "classes": classes,
            "tenants": [tenant.model_dump() for tenant in scenario.tenants],
            "contexts": {
                tenant.name: {"class": scenario.classes[0].name, "tenant": tenant.name}
                for tenant in scenario.tenants
            },
            "transit_from": zones,
            "dial_plan": [
                {"prefix": f"{m + 1}{k}", "exchange": name, "class": kind.name}
                for m, name in enumerate(names)
                for k, kind in enumerate(scenario.classes)
            ],
            "number_length": {"least": 4, "most": 4},
            "rules": scenario.rules.model_dump() | scenario.told_rules,
            "directory": written(directory),
            "limits": scenario.limits,
            "log": {"format": "json", "level": "warning"},
            "seed": scenario.seed + n,
        }

    def _switch(self, n: int, begin: float) -> SwitchSpec:
        scenario, name = self.scenario, self.names[n]
        place, rules = scenario.exchanges[name], scenario.rules
        faults = [
            Fault(kind=f.kind, at=begin + f.at, span=f.span, factor=f.factor)
            for f in scenario.faults
            if f.kind in SWITCH_FAULTS and (not f.on or name in f.on)
        ]
        return SwitchSpec(
            name=name,
            capacity=place.capacity,
            most_wait=scenario.most_wait,
            circuits=place.circuits,
            cold_share=rules.cold_share,
            cold_span=rules.cold_span,
            fall_multiple=rules.fall_multiple,
            tip_after=rules.tip_after,
            faults=faults,
            seed=scenario.seed + n,
        )

    def _handset(self, n: int, begin: float, proxy: tuple[str, int]) -> HandsetSpec:
        scenario = self.scenario
        mix = scenario.mix or [1.0] * len(scenario.classes)
        quotas = [tenant.quota for tenant in scenario.tenants]
        storms = []
        for fault in scenario.faults:
            if fault.kind == "redial":
                for tenant in fault.on or [each.name for each in scenario.tenants]:
                    times = max(1, int(fault.factor))
                    storms.append(Redial(tenant=tenant, at=begin + fault.at, span=fault.span, times=times))
        return HandsetSpec(
            place=n,
            proxy=proxy,
            begin=begin,
            until=begin + scenario.span,
            rate=scenario.rate,
            hold=scenario.hold,
            prefixes=[str(m + 1) for m in range(len(self.names)) if m != n],
            give_up=[kind.give_up for kind in scenario.classes],
            mix=[share / sum(mix) for share in mix],
            tenants=[tenant.name for tenant in scenario.tenants],
            tenant_shares=[quota / sum(quotas) for quota in quotas],
            redials=storms,
            vanish=[
                Vanish(at=begin + f.at, span=f.span, part=f.factor)
                for f in scenario.faults
                if f.kind == "vanish" and (not f.on or self.names[n] in f.on)
            ],
            reuse=scenario.reuse,
            tokens=scenario.tokens,
            seed=scenario.seed,
        )

    def _plan(
        self,
        wire: Wire,
        directories: list[DirectoryStandIn],
        entries: dict[int, dict[str, object]],
        begin: float,
    ) -> None:
        """Set out what the directory will tell, late as directories are, and what is marked in the trace."""
        serial = len(self.names)
        lag = self.scenario.directory_lag

        def later(at: float, what: Callable[..., None], *given: object) -> None:
            wire.loop.call_later(max(0.0, (begin + at - clock()) / 1000.0), what, *given)

        def tell(*told: dict[str, object]) -> None:
            for entry in told:
                switch = int(str(entry["switch"]))
                if entry["state"] == "gone":
                    entries.pop(switch, None)
                else:
                    entries[switch] = entry
            for directory in directories:
                directory.push(list(told))

        current = {name: 1 + n for n, name in enumerate(self.names)}
        began: dict[str, float | None] = {name: None for name in self.names}
        for fault in sorted(self.scenario.faults, key=lambda fault: fault.at):
            for name in fault.on or self.names:
                if fault.kind == "cold_restart":
                    later(fault.at, wire.mark, "cold_start", self.names.index(name), begin + fault.at)
                    serial += 1
                    old, current[name], began[name] = current[name], serial, begin + fault.at
                    fresh = {"switch": serial, "exchange": name, "state": "ready", "began": began[name]}
                    gone = {"switch": old, "exchange": name, "state": "gone", "began": None}
                    later(fault.at + lag, tell, fresh, gone)
                elif fault.kind == "box_killed":
                    later(fault.at, self._kill_box, wire, self.names.index(name))
                elif fault.kind == "drain":
                    base = {"switch": current[name], "exchange": name, "began": began[name]}
                    later(fault.at + lag, tell, base | {"state": "draining"})
                    later(fault.at + fault.span + lag, tell, base | {"state": "ready"})


def play(
    scenario: ScenarioPart, folder: Path | None, progress: Callable[[float], None] = lambda done: None
) -> Path:
    """Play a scenario; the trace stands in `folder`, by default a new temporary one."""
    where = folder or Path(tempfile.mkdtemp(prefix="dapplehinge-trial-"))
    where.mkdir(parents=True, exist_ok=True)
    trial = Trial(scenario, where)
    return asyncio.run(trial.play(progress))
