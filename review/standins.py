"""Stand-ins for a case of the review: control feed, switches and callers; and the start of the program.

They follow the operators' protocol page and use the standard library alone, so that the interpreter of the
operators' build can run them. All addresses are loopback addresses, all ports are free ones. What is sent,
answered and run goes to `record.txt` beside the case.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import resource
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
LONGEST_RUN_S = 110.0

IAM, CPG, ANM, REL, RLC, CQR, UPT, UPA = 1, 6, 9, 12, 16, 43, 52, 53
CLASS, WAIT, NUMBER, NOTE, REPORT, CAUSE, DESCRIPTION = 180, 181, 184, 187, 189, 194, 195


class NotRunError(Exception):
    """The case could not be played, so that it says nothing about the rule."""


class Record:
    """Lines with the time since the start; `since` gives that time."""

    def __init__(self, folder: Path) -> None:
        self.begun = time.monotonic()
        self.file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115

    @property
    def since(self) -> float:
        return time.monotonic() - self.begun

    def __call__(self, text: str) -> None:
        self.file.write(f"{self.since:9.3f} {text}\n")
        self.file.flush()

    def say(self, text: str) -> None:
        self(text)
        print(text, flush=True)


def settings(switches: int, **changes: Any) -> dict[str, Any]:
    """What a small deployment of one proxy at exchange 0 is told."""
    return {
        "callers": {"marks_retry": True},
        "contract": {
            "ask_within": 10000.0,
            "cold": 15000.0,
            "cold_share": 0.29,
            "fall_multiple": 2.5,
            "grace_to_answer": 20.0,
            "stop_sending_within": 250.0,
            "tip_after": 3000.0,
        },
        "discovery": "pushed",
        "family": "trunks",
        "family_info": {
            "channels_needed": [1],
            "class_hold": [11000.0],
            "guard": 300.0,
            "layout": "network",
            "own_number": 0,
            "remote_load": "probe",
            "retransmit": 500.0,
        },
        "lanes": [
            {
                "name": "voice", "target": 1200.0, "deadline": 3000.0, "worth": 1.0, "late_worth": 0.25,
                "repeat": "idempotent", "group": "all", "window": 5000.0, "stream": True,
            }
        ],
        "n_instances": switches,
        "over_share_worth": 0.2,
        "policy_limits": {
            "cancel": True,
            "conn_idle": 600000.0,
            "connect_timeout": 500.0,
            "max_attempts": 6,
            "max_retry_after": 2000.0,
            "peers": False,
            "probes": True,
            "retry_after": True,
        },
        "position": 0,
        "reporting": {"names": ["idle", "circuits", "recent_ms", "max_rate"], "source": "probe"},
        "round": 5.0,
        "tenants": [{"name": "acme", "quota_rps": 50.0, "share": 1.0}],
        "zones": ["east", "west"],
    } | changes


# Switches


def binary(kind: int, call: int, parameters: dict[int, bytes] | None = None) -> bytes:
    told = (parameters or {}).items()
    body = b"".join(struct.pack(">BH", code, len(value)) + value for code, value in told)
    return struct.pack(">HBQ", 9 + len(body), kind, call) + body


class SwitchLink(asyncio.Protocol):
    def __init__(self, switch: Switch) -> None:
        self.switch = switch
        self.held = b""
        self.trying: set[int] = set()
        self.closed = False

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.switch.links.append(self)
        self.switch.accepted += 1
        self.send(self.switch.state())
        for call, cause in list(self.switch.releases.items()):  # on the next one that is opened as well
            self.send(binary(REL, call, {CAUSE: bytes([cause])}))
        self.switch.releases.clear()

    def connection_lost(self, fault: Exception | None) -> None:
        self.closed = True
        if self in self.switch.links:
            self.switch.links.remove(self)
        for call in sorted(self.trying):
            self.switch.record(f"{self.switch.id} given-up {call:016x} connection closed")
            self.switch.out.discard(call)
        self.trying.clear()

    def send(self, data: bytes) -> None:
        if not self.closed and not self.switch.silent and not self.transport.is_closing():
            self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        if self.switch.silent:
            return
        self.held += data
        while len(self.held) >= 2:
            length = struct.unpack_from(">H", self.held)[0]
            if len(self.held) < 2 + length:
                return
            message, self.held = self.held[2 : 2 + length], self.held[2 + length :]
            kind, call = struct.unpack_from(">BQ", message)
            at, parameters = 9, {}
            while at < len(message):
                code, size = struct.unpack_from(">BH", message, at)
                parameters[code] = message[at + 3 : at + 3 + size]
                at += 3 + size
            self.switch.take(self, kind, call, parameters)


class Switch:
    """One exchange's switch. A call stands until its holding time is over, or either side releases it."""

    def __init__(self, record: Record, place: int, id_: str, hold_s: float, circuits: int = 40) -> None:
        self.record, self.place, self.id, self.hold_s, self.circuits = record, place, id_, hold_s, circuits
        self.links: list[SwitchLink] = []
        self.standing: dict[int, SwitchLink] = {}
        self.over: dict[int, float] = {}  # calls that stood and are over here, and when
        self.releases: dict[int, int] = {}  # to be sent on the next connection as well
        self.out: set[int] = set()
        self.set_ups: list[tuple[float, int]] = []
        self.refused: set[int] = set()
        self.accepted = 0
        self.silent = False  # a machine that has vanished
        self.hangs = False  # takes set-ups and answers none
        self.refuse: Callable[[dict[int, bytes]], tuple[int, bytes] | None] = lambda parameters: None
        self.answer_s = 0.03
        self.zone = "west"
        self.started_ms = 0
        self.server: asyncio.Server | None = None
        self.port = 0
        self._plugs: list[socket.socket] = []

    def row(self, state: str = "active") -> dict[str, Any]:
        return {
            "id": self.id, "addr": f"127.0.0.1:{self.port}", "zone": self.zone, "kind": "std",
            "cell": self.place, "state": state, "weight": 1, "started_ms": self.started_ms,
        }

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: SwitchLink(self), "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def state(self) -> bytes:
        """A call holds its circuit from the set-up until it ends."""
        free = max(0, self.circuits - len(self.standing) - len(self.out))
        return binary(CQR, 0, {REPORT: b"x0:%d;x1:%d" % (free, self.circuits)})

    def tell_state(self) -> None:
        for link in self.links[:4]:
            link.send(self.state())

    def take(self, link: SwitchLink, kind: int, call: int, parameters: dict[int, bytes]) -> None:
        if kind == IAM:
            self.set_ups.append((self.record.since, call))
            self.record(f"{self.id} set-up {call:016x}")
            self.out.add(call)
            link.trying.add(call)
            if not self.hangs:
                self.tell_state()
                asyncio.get_running_loop().call_later(self.answer_s, self._answer, link, call, parameters)
        elif kind == REL:
            cause = parameters.get(CAUSE, b"\x10")[0]
            link.send(binary(RLC, call))
            if call in self.standing:
                self._ended(call, f"released by the proxy with cause {cause}")
            elif call in link.trying:
                link.trying.discard(call)
                self.out.discard(call)
                self.record(f"{self.id} given-up {call:016x} released by the proxy")
                self.tell_state()
        elif kind == UPT and not self.hangs:
            report = {REPORT: b"latency_ms:5;qps:100"} if parameters.get(CAUSE) == b"\x01" else {}
            link.send(binary(UPA, call, {CAUSE: b"\x01"} | report))

    def _answer(self, link: SwitchLink, call: int, parameters: dict[int, bytes]) -> None:
        if call not in link.trying or self.silent or self.hangs:
            return
        link.trying.discard(call)
        self.out.discard(call)
        refusal = self.refuse(parameters)
        if refusal is None and len(self.standing) >= self.circuits:
            refusal = 34, b"congestion"
        if refusal is not None:
            self.refused.add(call)
            self.record(f"{self.id} refused {call:016x} cause {refusal[0]}")
            link.send(binary(REL, call, {CAUSE: bytes([refusal[0]]), NOTE: refusal[1]}))
            self.tell_state()
            return
        self.standing[call] = link
        self.record(f"{self.id} answered {call:016x}")
        link.send(binary(ANM, call, {DESCRIPTION: b"%016x at %s" % (call, self.id.encode())}))
        asyncio.get_running_loop().call_later(self.hold_s, self._hold_over, call)

    def _hold_over(self, call: int) -> None:
        if call in self.standing and not self.silent:
            self.release(call, 16)

    def release(self, call: int, cause: int) -> None:
        link = self.standing[call]
        self._ended(call, f"release sent with cause {cause}")
        if link.closed:
            self.releases[call] = cause
            if not self.links:
                return
            link = self.links[0]
        link.send(binary(REL, call, {CAUSE: bytes([cause])}))
        self.releases[call] = cause

    def _ended(self, call: int, how: str) -> None:
        del self.standing[call]
        self.over[call] = self.record.since
        self.record(f"{self.id} over {call:016x} {how}")
        self.tell_state()

    # Disruptions

    def die(self) -> None:
        """The process ends: its connections are reset, its calls are cut, nothing can be sent."""
        self.record(f"{self.id} DIES with {len(self.standing)} calls standing")
        if self.server is not None:
            self.server.close()
        for call in sorted(self.standing):
            self.over[call] = self.record.since
            self.record(f"{self.id} over {call:016x} cut by the death of the process")
        self.standing.clear()
        self.releases.clear()
        for link in list(self.links):
            link.closed = True
            reset = struct.pack("ii", 1, 0)
            link.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
            link.transport.abort()
        self.links.clear()
        self.out.clear()

    async def come_back(self) -> None:
        """The process starts again under its id, at its address, with nothing."""
        self.started_ms = int(time.time() * 1000)
        for plug in self._plugs:
            plug.close()
        self._plugs.clear()
        self.silent = False
        await self.start()
        self.record(f"{self.id} STARTED again")

    def vanish(self) -> None:
        """The machine is gone: open connections stay open and quiet, new ones never come up."""
        self.silent = True
        self.record(f"{self.id} VANISHES with {len(self.standing)} calls standing")
        assert self.server is not None
        self.server.close()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", self.port))
        listener.listen(0)
        self._plugs = [listener]
        for _ in range(2):  # they fill the queue, so that further ones get no answer
            plug = socket.socket()
            plug.setblocking(False)
            plug.connect_ex(("127.0.0.1", self.port))
            self._plugs.append(plug)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for plug in self._plugs:
            plug.close()
        for link in list(self.links):
            link.transport.abort()


# Control feed


class Feed:
    """`slow_s`: time that each answer takes beyond what is asked."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[dict[str, Any]] = []
        self.published: list[float] = []
        self.changed = asyncio.Event()
        self.slow_s = 0.0
        self.polls = 0
        self.port = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def known(self) -> dict[str, Any]:
        return {"n": len(self.events), "events": list(self.events)}

    def publish(self, rows: list[dict[str, Any]], whole: bool = False) -> None:
        number = len(self.events) + 1
        members = {"version": number, "full": whole, "servers": rows}
        self.events.append({"n": number, "members": members})
        self.published.append(self.record.since)
        told = ", ".join(f"{row['id']} {row['state']} started {row['started_ms']}" for row in rows)
        self.record(f"feed event {number}: {told}")
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                query = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode()
                self.polls += 1
                self.record(f"feed poll {query}")
                after = int(query.partition("SUB=")[2].partition("&")[0])
                wait_s = min(5.0, int(query.partition("wait=")[2]) / 1000.0)
                asked = time.monotonic()
                if len(self.events) <= after:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), wait_s)
                await asyncio.sleep(self.slow_s)
                told = [event for event in self.events if event["n"] > after]
                body = json.dumps({"n": max(after, len(self.events)), "events": told}).encode()
                head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                writer.write(head % len(body) + body)
                await writer.drain()
                took = time.monotonic() - asked
                self.record(f"feed answered SUB={after} with {len(told)} events after {took:.3f} s")
        writer.close()


# Callers


class Caller(asyncio.Protocol):
    """One connection from callers."""

    def __init__(self, callers: Callers) -> None:
        self.callers = callers
        self.held = b""
        self.open: set[int] = set()
        self.ended = False
        callers.made += 1
        self.name = f"caller-{callers.made}"

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.held += data
        while b"\r\n\r\n" in self.held:
            head, _, rest = self.held.partition(b"\r\n\r\n")
            first, *lines = head.decode("utf-8", "replace").split("\r\n")
            fields: dict[str, str] = {}
            for line in lines:
                name, _, value = line.partition(":")
                fields[name.strip().lower()] = value.strip()
            length = int(fields.get("content-length", "0"))
            if len(rest) < length:
                return
            self.held = rest[length:]
            self.callers.take(self, first, fields, rest[:length])

    def eof_received(self) -> None:
        self._end()

    def connection_lost(self, fault: Exception | None) -> None:
        self._end()

    def _end(self) -> None:
        if not self.ended:
            self.ended = True
            self.callers.record(f"{self.name} ended with {len(self.open)} set-ups open")
            for call in sorted(self.open):
                self.callers.lost[call] = self.callers.record.since

    def send(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)

    def close(self) -> None:
        self.callers.record(f"{self.name} closed by the caller")
        self.ended = True
        self.transport.close()


class Callers:
    """All that callers saw: final answers and releases by call id, in the order in which they came."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.port = 0
        self.made = 0
        self.sent: dict[int, tuple[float, float]] = {}  # when its last byte was written, and its time in s
        self.answers: dict[int, list[tuple[float, int, bytes]]] = {}
        self.byes: dict[int, float] = {}
        self.lost: dict[int, float] = {}  # the connection ended without an answer
        self.orphans: list[tuple[float, str]] = []  # answers that name no call
        self.tests: dict[str, asyncio.Future[int]] = {}
        self.random = random.Random(1)
        self.on_bye: Callable[[int], None] = lambda call: None

    async def connect(self) -> Caller:
        loop = asyncio.get_running_loop()
        _, caller = await loop.create_connection(lambda: Caller(self), "127.0.0.1", self.port)
        self.record(f"{caller.name} connected")
        return caller

    def invite(
        self,
        caller: Caller,
        dest: int,
        left_ms: int = 2500,
        number: str = "",
        path: str = "",
        extra: str = "",
    ) -> int:
        call = self.random.getrandbits(63) | 1
        body = b"offer of %016x" % call
        number = number or f"{call:016x}"
        caller.open.add(call)
        caller.send(
            f"INVITE sip:{number}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call:016x}\r\n"
            f"CSeq: 1 INVITE\r\nP-Kind: voice\r\nP-Time-Left: {left_ms}\r\nP-Billed: acme\r\n{extra}"
            f"P-Path: dest:{dest};width:1;via:-1{path}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
        )
        self.sent[call] = (self.record.since, left_ms / 1000.0)
        self.record(f"{caller.name} INVITE {call:016x} dest {dest}{path} left {left_ms}")
        return call

    def request(self, caller: Caller, method: str, call: int, extra: str = "") -> None:
        caller.send(
            f"{method} sip:{call:016x}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call:016x}\r\n"
            f"CSeq: 1 {method}\r\n{extra}Content-Length: 0\r\n\r\n".encode()
        )

    async def test(self) -> int:
        """The front's test; its status, 0 where there is no answer."""
        with contextlib.suppress(OSError, TimeoutError):
            caller = await self.connect()
            answer = asyncio.get_running_loop().create_future()
            self.tests[caller.name] = answer
            self.request(caller, "OPTIONS", 1)
            status = await asyncio.wait_for(answer, 1.0)
            caller.close()
            return int(status)
        return 0

    def take(self, caller: Caller, first: str, fields: dict[str, str], body: bytes) -> None:
        id_ = fields.get("call-id", "")
        if not first.startswith("SIP/2.0 "):
            self.record(f"{caller.name} got {first.split(' ')[0]} {id_} {fields.get('reason', '')}")
            if first.startswith("BYE "):
                call = int(id_, 16)
                self.byes.setdefault(call, self.record.since)
                echo = f"Via: {fields.get('via', '')}\r\nCall-ID: {id_}\r\nCSeq: {fields.get('cseq', '')}\r\n"
                caller.send(f"SIP/2.0 200 OK\r\n{echo}Content-Length: 0\r\n\r\n".encode())
                self.on_bye(call)
            return
        status, method = int(first.split(" ")[1]), fields.get("cseq", "").partition(" ")[2]
        if method == "OPTIONS":
            if caller.name in self.tests:
                self.tests.pop(caller.name).set_result(status)
            return
        self.record(f"{caller.name} got {status} to {method or '?'} {id_ or 'of no call'}")
        if method == "INVITE" and status >= 200:
            call = int(id_, 16)
            caller.open.discard(call)
            self.answers.setdefault(call, []).append((self.record.since, status, body))
            self.request(caller, "ACK", call)
        elif not id_:
            self.orphans.append((self.record.since, first))

    def status(self, call: int) -> int:
        """The final answer's; 0: none so far."""
        answers = self.answers.get(call)
        return answers[0][1] if answers else 0


# The program


class Proxy:
    """One signalling proxy, started by the line `run` of the deploy file."""

    def __init__(self, record: Record, folder: Path, feed: Feed, callers: Callers, told: dict[str, Any],
                 sockets: int = 512, memory_mb: int = 192) -> None:
        self.record, self.feed, self.callers, self.told = record, feed, callers, told
        self.sockets, self.memory_mb = sockets, memory_mb
        self.file = folder / "config.json"
        self.log = open(folder / "proxy.log", "ab")  # noqa: SIM115
        self.log_path = folder / "proxy.log"
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.port = callers.port = probe.getsockname()[1]
        self.process: subprocess.Popen[bytes] | None = None

    async def start(self) -> None:
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "feed": f"127.0.0.1:{self.feed.port}",
            "known": self.feed.known,
            "settings": self.told,
        }
        self.file.write_text(json.dumps(config))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {k: v for k, v in os.environ.items() if not k.startswith("BALANCER_")} | {
            "BALANCER_NAME": "n0",
            "BALANCER_LISTEN": f"127.0.0.1:{self.port}",
            "BALANCER_CONFIG": str(self.file),
        }
        sockets = self.sockets
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets)),
        )
        self.record(f"proxy started, {len(self.feed.events)} events known")
        for _ in range(600):
            if self.process.poll() is not None:
                raise NotRunError(f"the proxy ended with {self.process.returncode} at its start")
            if await self.callers.test() == 200:
                self.record("proxy passed its test")
                return
            await asyncio.sleep(0.05)
        raise NotRunError("the proxy passed no test within 30 s")

    def told_of_faults(self) -> list[str]:
        """Lines of its log that name a fault of the program."""
        lines = self.log_path.read_text("utf-8", "replace").splitlines()
        return [line for line in lines if ".fault" in line or "_failed" in line or "Traceback" in line]

    def descriptors(self) -> int:
        assert self.process is not None
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def memory(self) -> float:
        """Resident, in MB."""
        assert self.process is not None
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    def alive(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.record(f"proxy gets signal {number}")
        self.process.send_signal(number)

    async def stop(self) -> None:
        """SIGTERM, and SIGKILL where that does not end it."""
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.terminate()
            for _ in range(100):
                if self.process.poll() is not None:
                    break
                await asyncio.sleep(0.05)
            else:
                self.process.kill()
        self.process.wait()
        self.log.close()
        self.record(f"proxy ended with {self.process.returncode}")


Case = Callable[[Record, Path], Awaitable[int]]


def play(case: Case, folder: Path) -> int:
    """Play the case; 0: the rule held, 1: it was broken, 2: the case could not run."""
    record = Record(folder)
    record(f"trouble {'on' if TROUBLE else 'off'}, python {sys.version.split()[0]}")

    async def whole() -> int:
        with tempfile.TemporaryDirectory() as temporary:
            return await asyncio.wait_for(case(record, Path(temporary)), LONGEST_RUN_S)

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    code = NOT_RUN
    try:
        code = asyncio.run(whole())
    except NotRunError as fault:
        record.say(f"not run: {fault}")
    except TimeoutError:
        record.say(f"not run: over {LONGEST_RUN_S:.0f} s")
    except Exception as fault:
        record.say(f"not run: {fault!r}")
    record.say(f"exit {code}: {('the rule held', 'THE RULE WAS BROKEN', 'not run')[code]}")
    return code
