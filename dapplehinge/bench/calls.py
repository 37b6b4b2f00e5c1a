"""Whole calls a second through one box, against direct calls and the socket floor in the same run."""

from __future__ import annotations

import asyncio
import json
import os
import platform
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram
from tornado.ioloop import IOLoop

from dapplehinge.bench.caller import CallerSpec, Result
from dapplehinge.proxy.clock import clock
from dapplehinge.proxy.port import open_socket
from dapplehinge.standins.switch import SwitchSpec

PAIRS = 12
"""Datagrams in and out of a whole relayed call, for the floor: NEW, ACCEPT, RINGING, ANSWER, HANGUP, ACKs."""


def socket_floor(datagrams: int = 30_000) -> float:
    """CPU microseconds of this process for one loopback datagram in and one out under the IOLoop."""

    async def measure() -> float:
        loop = IOLoop.current()
        one, two = open_socket(("127.0.0.1", 0)), open_socket(("127.0.0.1", 0))
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        left = datagrams
        where = {one: two.getsockname(), two: one.getsockname()}

        def readable(sock: socket.socket, events: int) -> None:
            nonlocal left
            data, _ = sock.recvfrom(4096)
            left -= 1
            if left <= 0:
                if not done.done():
                    done.set_result(None)
                return
            sock.sendto(data, where[sock])

        for sock in (one, two):
            sock.setblocking(False)
            loop.add_handler(sock, readable, IOLoop.READ)
        before = time.process_time()
        for _ in range(8):
            one.sendto(b"x" * 60, where[one])
        await done
        spent = time.process_time() - before
        for sock in (one, two):
            loop.remove_handler(sock)
            sock.close()
        return 1e6 * spent / datagrams

    return asyncio.run(measure())


def cpu_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


CLASSES = (("lot-price", 1.0, 2000.0), ("bid-confirm", 5.0, 1200.0))
"""Name, worth and target in ms of the classes offered; the second digit of a number is its class."""

BIDS_ONE_IN = 20


def _box(folder: Path, switches: list[tuple[str, int]], limited: bool, records: bool) -> Path:
    names = [f"hall{n}" for n in range(len(switches))]
    exchanges = {
        name: {"zone": "loop", "switch": f"{host}:{port}"}
        for name, (host, port) in zip(names, switches, strict=True)
    }
    file = folder / "box.json5"
    file.write_text(
        json.dumps(
            {
                "box": "quay",
                "listen": "127.0.0.1:0",
                "zones": {"loop": ["127.0.0.0/8"]},
                "exchanges": {"quay": {"zone": "loop", "switch": "127.0.0.1:9"}} | exchanges,
                "trunk_groups": [{"to": name, "circuits": 5000} for name in names],
                "classes": [
                    {"name": name, "target": target, "give_up": 4 * target, "worth": worth}
                    for name, worth, target in CLASSES
                ],
                "tenants": [{"name": "all", "quota": 100_000}],
                "contexts": {"open": {"class": "lot-price", "tenant": "all"}},
                "dial_plan": [
                    {"prefix": f"{n + 1}{k}", "exchange": name, "class": kind[0]}
                    for n, name in enumerate(names)
                    for k, kind in enumerate(CLASSES)
                ],
                "limits": {
                    "enabled": limited,
                    "default": {"network": "0.0.0.0/0", "set_ups": 1e5, "burst": 1e5, "calls": 30_000},
                },
                "log": {"level": "warning", "format": "json"},
                "records": {"folder": "cdr"} if records else None,
            }
        )
    )
    return file


def _percentiles(results: list[Result]) -> dict[str, float]:
    whole = HdrHistogram(1, 60_000_000, 3)
    for result in results:
        whole.add(HdrHistogram.decode(result.histogram))
    return {f"p{p:g}": whole.get_value_at_percentile(p) / 1000 for p in (50, 99)}


def _by_class(results: list[Result]) -> dict[str, dict[str, int]]:
    found: dict[str, dict[str, int]] = {}
    for index, (name, _, _) in enumerate(CLASSES):
        kinds = [result.kinds[str(index)] for result in results if str(index) in result.kinds]
        found[name] = {
            field: sum(getattr(kind, field) for kind in kinds)
            for field in ("offered", "in_time", "stood", "refused")
        }
    return found


class Bench:
    """Stand-in switches and callers in `helpers` processes each, one box; all end with `close`."""

    def __init__(self, folder: Path, helpers: int, limited: bool = True, records: bool = False) -> None:
        self.folder = folder
        self.helpers = helpers
        self.processes: list[subprocess.Popen[bytes]] = []
        self.switches: list[tuple[str, int]] = []
        for n in range(helpers):
            sock = open_socket(("127.0.0.1", 0))
            self.switches.append(sock.getsockname())
            spec = SwitchSpec(name=f"hall{n}", capacity=50_000, most_wait=5000, ring=5, circuits=10_000)
            file = folder / f"switch{n}.json"
            file.write_bytes(msgspec.json.encode(spec))
            arguments = ["-m", "dapplehinge.standins.process", "switch", str(file), str(sock.fileno())]
            self._start(arguments, sock)
        sock = open_socket(("127.0.0.1", 0))
        self.box = sock.getsockname()
        file = _box(folder, self.switches, limited, records)
        command = ["-m", "dapplehinge.cli.main", "run", str(file), "--fd", str(sock.fileno())]
        self.box_process = self._start(command, sock)
        time.sleep(1.5)

    def _start(self, arguments: list[str], sock: socket.socket) -> subprocess.Popen[bytes]:
        process = subprocess.Popen(
            [sys.executable, *arguments], pass_fds=(sock.fileno(),), stdout=subprocess.DEVNULL
        )
        sock.close()
        self.processes.append(process)
        return process

    def step(self, rate: float, span: float, direct: bool) -> dict[str, Any]:
        """Offer `rate` calls a second for `span` ms, to the switches themselves or to the box."""
        begin = clock() + 1000.0
        callers = []
        halls = [str(m + 1) for m in range(self.helpers)]
        numbers = [f"{hall}{int(turn == 0)}0" for turn in range(BIDS_ONE_IN) for hall in halls]
        for n in range(self.helpers):
            spec = CallerSpec(
                targets=[target for _, _, target in CLASSES],
                to=self.switches if direct else [self.box],
                numbers=numbers,
                rate=rate / self.helpers,
                begin=begin + n,
                span=span,
            )
            file = self.folder / f"caller{n}.json"
            file.write_bytes(msgspec.json.encode(spec))
            callers.append(
                subprocess.Popen(
                    [sys.executable, "-m", "dapplehinge.bench.caller", str(file)], stdout=subprocess.PIPE
                )
            )
        before = cpu_seconds(self.box_process.pid)
        results: list[Result] = [msgspec.json.decode(each.communicate()[0], type=Result) for each in callers]
        spent = cpu_seconds(self.box_process.pid) - before
        stood = sum(result.stood for result in results)
        row: dict[str, Any] = {
            "rate": rate,
            "by": "direct" if direct else "box",
            "offered": sum(result.offered for result in results),
            "stood": stood,
            "failed": sum(result.failed for result in results),
            **_percentiles(results),
            "classes": _by_class(results),
        }
        if not direct and stood:
            row["cpu_us_a_call"] = round(1e6 * spent / stood, 1)
            row["core_share"] = round(spent / (span / 1000.0), 3)
        return row

    def close(self) -> None:
        for process in self.processes:
            process.terminate()
        for process in self.processes:
            process.wait()


def run(rates: list[float], span: float, helpers: int) -> dict[str, Any]:
    """All rates, each direct and through the box, with the floor taken before and after."""
    with tempfile.TemporaryDirectory(prefix="dapplehinge-bench-") as name:
        floors = [socket_floor()]
        bench = Bench(Path(name), helpers)
        rows = []
        try:
            for rate in rates:
                rows += [bench.step(rate, span, direct=True), bench.step(rate, span, direct=False)]
        finally:
            bench.close()
        floors.append(socket_floor())
    floor = sum(floors) / len(floors)
    for direct, through in zip(rows[::2], rows[1::2], strict=True):
        through["added_p50"] = round(through["p50"] - direct["p50"], 3)
        through["added_p99"] = round(through["p99"] - direct["p99"], 3)
        if "cpu_us_a_call" in through:
            through["floors"] = round(through["cpu_us_a_call"] / (PAIRS * floor), 1)
    return {
        "machine": f"{os.cpu_count()} cores, Python {platform.python_version()}, loopback",
        "floor_us": round(floor, 2),
        "floor_us_a_call": round(PAIRS * floor, 1),
        "rows": rows,
    }


def overload(rates: list[float], span: float, helpers: int) -> list[dict[str, Any]]:
    """Each rate through a box with limits and through one without, in one run; a row a rate and box."""
    rows = []
    for limited in (True, False):
        with tempfile.TemporaryDirectory(prefix="dapplehinge-bench-") as name:
            bench = Bench(Path(name), helpers, limited)
            try:
                for rate in rates:
                    rows.append({"limited": limited} | bench.step(rate, span, direct=False))
            finally:
                bench.close()
    return rows


def with_records(rates: list[float], span: float, helpers: int) -> list[dict[str, Any]]:
    """Each rate through a box that writes records and through one that does not, in one run."""
    rows = []
    for records in (True, False):
        with tempfile.TemporaryDirectory(prefix="dapplehinge-bench-") as name:
            bench = Bench(Path(name), helpers, limited=False, records=records)
            try:
                for rate in rates:
                    row = {"records": records} | bench.step(rate, span, direct=False)
                    rows.append(row)
            finally:
                bench.close()
            kept = sum(file.stat().st_size for file in (Path(name) / "cdr").glob("*.seg"))
            if records:
                rows[-1]["bytes_a_call"] = round(kept / max(1, sum(row["stood"] for row in rows)), 1)
    return rows


def memory(calls: int, helpers: int, rate: float = 1000.0) -> list[dict[str, Any]]:
    """Resident memory of one box after each 10,000 calls, when all have ended; MiB."""
    rows: list[dict[str, Any]] = []
    with tempfile.TemporaryDirectory(prefix="dapplehinge-bench-") as name:
        bench = Bench(Path(name), helpers, limited=False)
        try:
            stood = 0
            while stood < calls:
                row = bench.step(rate, 10_000 / rate * 1000.0, direct=False)
                stood += row["stood"]
                pages = int(Path(f"/proc/{bench.box_process.pid}/statm").read_text().split()[1])
                mib = round(pages * os.sysconf("SC_PAGE_SIZE") / 2**20, 1)
                rows.append({"calls": stood, "failed": row["failed"], "mib": mib})
        finally:
            bench.close()
    return rows


def plot_overload(rows: list[dict[str, Any]], file: Path) -> None:
    """Part of each class that stood in time against the rate offered, with and without limits."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4.2), layout="constrained")
    for limited, style in ((True, "-"), (False, "--")):
        for (name, _, _), colour, width in zip(CLASSES, ("tab:blue", "tab:red"), (4.0, 1.5), strict=True):
            points = [(row["rate"], row["classes"][name]) for row in rows if row["limited"] is limited]
            parts = [100.0 * kind["in_time"] / max(1, kind["offered"]) for _, kind in points]
            label = f"{name}, {'with' if limited else 'without'} limits"
            rates = [rate for rate, _ in points]
            axes.plot(rates, parts, style, color=colour, lw=width, marker="o", label=label)
    axes.set(xlabel="calls offered a second (loopback)", ylabel="stood in time, % of offered", ylim=(-3, 103))
    axes.grid(alpha=0.3)
    axes.legend()
    figure.savefig(file, dpi=110)
