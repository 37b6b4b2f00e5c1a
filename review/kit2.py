"""Stand-ins and the frame of the second review's cases: real proxies as processes, the rest in the script.

Switches, control feed and callers follow the operators' pages PROTOCOL and DEPLOY. Every address is a
loopback address with a free port; the proxy is started by the line `run` of `deploy/balancer.toml`.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import subprocess
import sys
import tempfile
import tomllib
import traceback
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from time import monotonic, time
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from dapplehinge.isup import codec as isup  # noqa: E402
from dapplehinge.sip import codec as sip  # noqa: E402

HOST = "127.0.0.1"
LIMIT_S = 115.0
READY_S = 30.0
SLACK_S = 0.05  # PROTOCOL: every time limit 50 ms longer
ANSWER_S = 0.03  # of a switch
CIRCUITS = 120

SETTINGS: dict[str, Any] = {
    "contract": {
        "cold": 15000.0,
        "cold_share": 0.29,
        "fall_multiple": 2.5,
        "grace_to_answer": 20.0,
        "stop_sending_within": 250.0,
        "tip_after": 3000.0,
    },
    "discovery": "pushed",
    "family_info": {
        "channels_needed": [1, 1],
        "guard": 300.0,
        "layout": "network",
        "own_number": 0,
    },
    "lanes": [
        {"name": "lot-price", "target": 2000.0, "deadline": 9000.0, "worth": 1.0, "late_worth": 0.25},
        {"name": "bid-confirm", "target": 1200.0, "deadline": 6000.0, "worth": 5.0, "late_worth": 0.25},
    ],
    "n_instances": 4,
    "policy_limits": {
        "cancel": True,
        "connect_timeout": 500.0,
        "max_attempts": 6,
        "max_retry_after": 2000.0,
        "probes": True,
        "retry_after": True,
    },
    "position": 0,
    "reporting": {"names": ["idle", "circuits", "recent_ms", "max_rate"]},
    "round": 5.0,
    "tenants": [{"name": "aralsk-coop", "quota_rps": 20.0, "share": 1.0}],
    "zones": ["aralsk", "kyzylorda"],
}


class CannotRunError(Exception):
    """The case could not be played; that is no verdict."""


class Record:
    """What was sent, answered and run, by the time since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self.began = monotonic()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def note(self, text: str) -> None:
        self.file.write(f"{monotonic() - self.began:9.3f} {text}\n")

    def say(self, text: str) -> None:
        self.note(text)
        print(text)


class SwitchLink(asyncio.Protocol):
    def __init__(self, switch: Switch) -> None:
        self.switch = switch
        self.reader = isup.Reader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.switch.links_made += 1
        self.number = self.switch.links_made
        self.switch.links.append(self)
        self.switch.note(f"connection {self.number} opened")
        self.send(self.switch.state())
        for call in self.switch.to_repeat:  # "it sends its release on the next one opened as well"
            self.switch.note(f"release of {call:016x} on connection {self.number}, the next one opened")
            self.send(isup.release(call, isup.Cause.NORMAL))
        self.switch.to_repeat.clear()

    def send(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        messages, fault = self.reader.feed(data)
        for message in messages:
            self.switch.take(self, message)
        if fault is not None:
            self.switch.note(f"can't read: {fault}")
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        if self in self.switch.links:
            self.switch.links.remove(self)
        self.switch.note(f"connection {self.number} closed")
        for call in [call for call, link in self.switch.trying.items() if link is self]:
            del self.switch.trying[call]  # given up


class Switch:
    """Every set-up stands after `answer_s`, unless its number is engaged; it stands until it is released."""

    def __init__(self, record: Record, place: int, name: str = "") -> None:
        self.record = record
        self.place = place
        self.name = name or f"s-{place}"
        self.port = 0
        self.foreign = 0  # circuits of the group that calls from its other end hold
        self.engaged: set[str] = set()
        self.answer_s = ANSWER_S
        self.links: list[SwitchLink] = []
        self.links_made = 0
        self.trying: dict[int, SwitchLink] = {}
        self.standing: dict[int, SwitchLink] = {}
        self.to_repeat: list[int] = []
        self.set_ups: list[tuple[float, int]] = []  # when, call
        self.released: dict[int, float] = {}  # by this switch
        self.server: asyncio.Server | None = None

    def note(self, text: str) -> None:
        self.record.note(f"switch {self.name}: {text}")

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    def row(self, state: str = "active", started_ms: int = 0) -> dict[str, Any]:
        return {
            "id": self.name, "addr": self.address, "zone": "aralsk", "kind": "std", "cell": self.place,
            "state": state, "weight": 1, "started_ms": started_ms,
        }  # fmt: skip

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: SwitchLink(self), HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def die(self) -> None:
        """Its process ends: connections are reset, its calls are cut."""
        assert self.server is not None
        self.server.close()
        self.note(f"its process dies, {len(self.standing)} calls stand there")
        self.trying.clear()
        self.standing.clear()
        self.to_repeat.clear()
        for link in list(self.links):
            sock = link.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            link.transport.abort()

    def state(self) -> bytes:
        free = max(0, CIRCUITS - self.foreign - len(self.trying) - len(self.standing))
        report = {isup.Code.REPORT: b"x0:%d;x1:%d" % (free, CIRCUITS)}
        return isup.encode(isup.Message(isup.Type.CQR, 0, report))

    def tell_state(self) -> None:
        for link in self.links[:4]:
            link.send(self.state())

    def take(self, link: SwitchLink, message: isup.Message) -> None:
        call = message.call
        if message.type is isup.Type.IAM:
            self.set_ups.append((monotonic(), call))
            self.note(f"set-up {call:016x} on connection {link.number}")
            self.trying[call] = link
            self.tell_state()
            number = message.text(isup.Code.NUMBER) or ""
            asyncio.get_running_loop().call_later(self.answer_s, self.answer, link, call, number)
        elif message.type is isup.Type.REL:
            self.note(f"release of {call:016x} came")
            self.trying.pop(call, None)
            self.standing.pop(call, None)
            link.send(isup.release_complete(call))
            self.tell_state()

    def answer(self, link: SwitchLink, call: int, number: str) -> None:
        if self.trying.get(call) is not link:
            return
        del self.trying[call]
        if number in self.engaged:
            self.note(f"refuses {call:016x}: engaged")
            told = {isup.Code.CAUSE: bytes([17]), isup.Code.NOTE: b"engaged"}
            link.send(isup.encode(isup.Message(isup.Type.REL, call, told)))
            self.tell_state()
            return
        self.note(f"answers {call:016x}")
        self.standing[call] = link
        told = {isup.Code.DESCRIPTION: b"%016x stands at %s" % (call, self.name.encode())}
        link.send(isup.encode(isup.Message(isup.Type.ANM, call, told)))

    def release(self, call: int, cause: int = isup.Cause.NORMAL) -> None:
        """On the connection of its set-up, otherwise on any open one, and on the next one opened as well."""
        link = self.standing.pop(call, None)
        if link is None:
            return
        self.released[call] = monotonic()
        use = link if link in self.links else next(iter(self.links), None)
        self.note(f"releases {call:016x} on connection {use.number if use else 'none: none is open'}")
        if use is not None:
            use.send(isup.release(call, cause))
        self.to_repeat.append(call)
        self.tell_state()


class Feed:
    """The control feed by long poll."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[dict[str, Any]] = []
        self.changed = asyncio.Event()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    @property
    def known(self) -> dict[str, Any]:
        return {"n": len(self.events), "events": list(self.events)}

    def publish(self, *rows: dict[str, Any]) -> float:
        number = len(self.events) + 1
        part = {"version": number, "full": number == 1, "servers": list(rows)}
        self.events.append({"n": number, "members": part})
        self.record.note(f"feed: event {number}: " + ", ".join(f"{row['id']} {row['state']}" for row in rows))
        self.changed.set()
        self.changed = asyncio.Event()
        return monotonic()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError), contextlib.closing(writer):
            query = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode()
            after = int(query.partition("SUB=")[2].partition("&")[0])
            wait = min(5.0, int(query.partition("wait=")[2]) / 1000.0)
            if len(self.events) <= after:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), wait)
            told = [event for event in self.events if event["n"] > after]
            body = json.dumps({"n": max(after, len(self.events)), "events": told}).encode()
            head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
            writer.write(head % len(body) + body)
            await writer.drain()


class Front:
    """What all usual callers have seen."""

    def __init__(self) -> None:
        self.answers: dict[int, list[tuple[float, int, bytes]]] = {}  # when, status, description
        self.sent: dict[int, float] = {}
        self.byes: dict[int, list[float]] = {}


class Caller(asyncio.Protocol):
    """One connection of a usual caller: it answers 200 to BYE, ACK to final answers."""

    count = 0

    def __init__(self, stage: Stage, name: str = "", proxy: Proxy | None = None) -> None:
        Caller.count += 1
        self.stage = stage
        self.proxy = proxy or stage.proxies[0]
        self.name = name or f"caller {Caller.count}"
        self.reader = sip.Reader()
        self.tests: asyncio.Queue[int] = asyncio.Queue()
        self.closed = False
        self.closed_at = 0.0  # by the proxy
        self.sent: list[int] = []

    async def open(self) -> Caller:
        host, port = self.proxy.listen
        await asyncio.get_running_loop().create_connection(lambda: self, host, port)
        return self

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        if not self.closed:
            self.closed_at = monotonic()
            self.stage.record.note(f"{self.name}: the proxy closed the connection")
        self.closed = True

    def close(self) -> None:
        self.closed = True
        self.stage.record.note(f"{self.name}: closes its connection")
        self.transport.close()

    def say(self, method: str, call: int, number: str, fields: str = "", body: bytes = b"") -> None:
        self.transport.write(request(method, call, number, fields, body))

    def invite(
        self,
        call: int,
        place: int = 1,
        number: str = "00000000000000a1",
        left: int = 9000,
        at: str = "",
        more: str = "",
    ) -> None:
        path = f"dest:{place};width:1;via:-1" + (f";at:{at}" if at else "") + more
        self.stage.record.note(f"{self.name}: INVITE {call:016x} {path}")
        if not at:
            self.stage.front.sent[call] = monotonic()
            self.sent.append(call)
        self.say("INVITE", call, number, set_up_fields(path, left), b"description of %016x" % call)

    def options(self) -> None:
        self.say("OPTIONS", 1, "ping")

    def data_received(self, data: bytes) -> None:
        messages, fault = self.reader.feed(data)
        for message in messages:
            self.take(message)
        if fault is not None:
            self.stage.record.note(f"{self.name}: can't read the proxy: {fault}")

    def take(self, message: sip.Message) -> None:
        now = monotonic()
        if message.status and message.method == "OPTIONS":
            self.tests.put_nowait(message.status)
            return
        call = int(message.call_id, 16)
        if message.status and message.method == "INVITE" and message.status >= 200:
            self.stage.record.note(f"{self.name}: {message.status} for {call:016x}")
            self.stage.front.answers.setdefault(call, []).append((now, message.status, message.body))
            self.say("ACK", call, "a1")
        elif message.method == "BYE" and not message.status:
            self.stage.record.note(f"{self.name}: BYE for {call:016x}")
            self.stage.front.byes.setdefault(call, []).append(now)
            self.transport.write(sip.response(200, message.echo()))


def request(method: str, call: int, number: str, fields: str = "", body: bytes = b"") -> bytes:
    sequence = 2 if method == "BYE" else 1
    return (
        f"{method} sip:{number}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call:016x}\r\n"
        f"CSeq: {sequence} {method}\r\n{fields}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def set_up_fields(path: str, left: int) -> str:
    return f"P-Kind: lot-price\r\nP-Billed: aralsk-coop\r\nP-Time-Left: {left}\r\nP-Path: {path}\r\n"


class Proxy:
    """The proxy of one exchange, a process of its own."""

    def __init__(self, exchange: int) -> None:
        self.exchange = exchange
        self.listen = (HOST, free_port())
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def name(self) -> str:
        return f"n{self.exchange}"

    @property
    def lives(self) -> bool:
        return self.process is not None and self.process.poll() is None


class Stage:
    """Switches at the exchanges `places`, a feed and the proxies of `exchanges`."""

    def __init__(
        self, folder: Path, temporary: Path, places: Sequence[int], exchanges: Sequence[int]
    ) -> None:
        self.temporary = temporary
        self.record = Record(folder)
        self.front = Front()
        self.switches = [Switch(self.record, place) for place in places]
        self.feed = Feed(self.record)
        self.proxies = [Proxy(exchange) for exchange in exchanges]
        self._calls = int(time()) << 24

    @property
    def listen(self) -> tuple[str, int]:
        return self.proxies[0].listen

    @property
    def trouble(self) -> bool:
        return os.environ.get("TROUBLE", "1") != "0"

    def new_call(self) -> int:
        self._calls += 1
        return self._calls

    async def start(self) -> None:
        for part in (*self.switches, self.feed):
            await part.start()
        self.feed.publish(*[switch.row() for switch in self.switches])
        for proxy in self.proxies:
            self.start_proxy(proxy)
        for proxy in self.proxies:
            await self.ready(proxy)

    def start_proxy(self, proxy: Proxy) -> None:
        file = self.temporary / f"{proxy.name}.json"
        listen = f"{proxy.listen[0]}:{proxy.listen[1]}"
        settings = SETTINGS | {"position": proxy.exchange}
        settings["family_info"] = SETTINGS["family_info"] | {"own_number": proxy.exchange}
        file.write_text(
            json.dumps(
                {
                    "name": proxy.name,
                    "listen": listen,
                    "seed": "8c1f30d27a5be964",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
                    "feed": self.feed.address,
                    "known": self.feed.known,
                    "settings": settings,
                }
            )
        )
        kept = {name: value for name, value in os.environ.items() if not name.startswith("BALANCER_")}
        told = {"BALANCER_NAME": proxy.name, "BALANCER_LISTEN": listen, "BALANCER_CONFIG": str(file)}
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with (self.temporary / f"{proxy.name}.log").open("ab") as log:
            proxy.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=kept | told, stdout=log, stderr=log
            )
        self.record.note(f"proxy {proxy.name}: started, process {proxy.process.pid}")

    async def ready(self, proxy: Proxy) -> None:
        """The front's test, until it passes."""
        end = monotonic() + READY_S
        while monotonic() < end:
            if not proxy.lives:
                raise CannotRunError(f"the proxy {proxy.name} has ended")
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                caller = await Caller(self, "front", proxy).open()
                caller.options()
                status = await asyncio.wait_for(caller.tests.get(), 2.0)
                caller.close()
                if status == 200 and all(switch.links for switch in self.switches):
                    self.record.note(f"proxy {proxy.name}: a test has passed")
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"the proxy {proxy.name} was not ready in time")

    def kill_proxy(self, proxy: Proxy) -> None:
        assert proxy.process is not None
        proxy.process.kill()
        proxy.process.wait()
        self.record.note(f"proxy {proxy.name}: killed")

    def stop(self) -> None:
        for proxy in self.proxies:
            if proxy.process is not None and proxy.lives:
                proxy.process.kill()
                proxy.process.wait()
            log = self.temporary / f"{proxy.name}.log"
            if log.exists():
                self.record.file.write(f"log of {proxy.name}:\n" + log.read_text(errors="replace"))
        self.record.file.close()

    async def stands(self, caller: Caller, place: int = 1) -> int:
        """Set up a call that stands."""
        call = self.new_call()
        caller.invite(call, place)
        end = monotonic() + 10.0
        while call not in self.front.answers and monotonic() < end:
            await asyncio.sleep(0.01)
        answers = self.front.answers.get(call, [])
        if not answers or answers[0][1] != 200:
            raise CannotRunError(f"call {call:016x} does not stand: {answers}")
        return call


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


def play(
    file: str,
    case: Callable[[Stage], Awaitable[list[str]]],
    places: Sequence[int] = (1, 2, 3),
    exchanges: Sequence[int] = (0,),
) -> None:
    """Play a case: it gives a line for each time that the rule was broken. Exits with 0, 1 or 2."""

    async def whole(stage: Stage) -> list[str]:
        await stage.start()
        broken = await case(stage)
        return broken + [f"the proxy {proxy.name} has ended" for proxy in stage.proxies if not proxy.lives]

    with tempfile.TemporaryDirectory() as temporary:
        stage = Stage(Path(file).resolve().parent, Path(temporary), places, exchanges)
        code = 2
        try:
            broken = asyncio.run(asyncio.wait_for(whole(stage), LIMIT_S))
            for line in broken:
                stage.record.say(f"BROKEN: {line}")
            stage.record.say(f"trouble={int(stage.trouble)}: " + ("rule broken" if broken else "rule held"))
            code = 1 if broken else 0
        except (CannotRunError, OSError, TimeoutError) as fault:
            stage.record.say(f"could not run: {fault!r}")
        except Exception:
            stage.record.say("could not run: " + traceback.format_exc())
        finally:
            stage.stop()
    sys.exit(code)
