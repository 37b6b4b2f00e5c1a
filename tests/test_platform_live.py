"""The whole program as a process on loopback, against small stand-ins of switches, feed and callers."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from types import SimpleNamespace

import pytest

from dapplehinge.isup import codec as isup
from dapplehinge.proxy.platform.links import Links
from dapplehinge.sip import codec as sip
from tests.platform_kit import SETTINGS, event, row
from tests.ports import free_port

ROOT = Path(__file__).resolve().parent.parent
PATIENCE = 30.0
"""Seconds after which a test gives up; no verdict depends on how fast a step is."""


class Switch:
    """Answers by the number called: ...a1 stands, ...f1 is turned back, ...e1 engaged, ...00 says nothing."""

    def __init__(self) -> None:
        self.seen: asyncio.Queue[isup.Message] = asyncio.Queue()
        self.writers: list[asyncio.StreamWriter] = []
        self.spoil: bytes = b""

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addr = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def serve(self, reader, writer) -> None:
        self.writers.append(writer)
        state = {isup.Code.REPORT: b"x0:20;x1:20"}
        writer.write(isup.encode(isup.Message(isup.Type.CQR, 0, state)))
        codec = isup.Reader()
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(4096):
                messages, fault = codec.feed(data)
                assert fault is None, fault
                for message in messages:
                    self.take(message, writer)
                    self.seen.put_nowait(message)

    def take(self, message, writer) -> None:
        if message.type is not isup.Type.IAM:
            return
        number = message.text(isup.Code.NUMBER)
        state = {isup.Code.REPORT: b"x0:19;x1:20"}  # a set-up takes a circuit
        writer.write(isup.encode(isup.Message(isup.Type.CQR, 0, state)))
        if number.endswith("a1"):
            told = {isup.Code.DESCRIPTION: b"answer of %x\r\n\x00" % message.call}
            spoil, self.spoil = self.spoil, b""
            writer.write(spoil or isup.encode(isup.Message(isup.Type.ANM, message.call, told)))
        elif number.endswith(("f1", "e1")):
            cause, note = (34, b"crankback") if number.endswith("f1") else (17, b"engaged")
            told = {isup.Code.CAUSE: bytes([cause]), isup.Code.NOTE: note}
            writer.write(isup.encode(isup.Message(isup.Type.REL, message.call, told)))

    async def next(self, kind: isup.Type) -> isup.Message:
        while True:
            message = await asyncio.wait_for(self.seen.get(), PATIENCE)
            if message.type is kind:
                return message


class Feed:
    def __init__(self) -> None:
        self.events: list[dict] = []
        self.asked: asyncio.Queue[int] = asyncio.Queue()
        self.fault = ""  # "cut": break off inside an event, "mute": say nothing and stay open; once
        self.changed = asyncio.Event()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addr = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def serve(self, reader, writer) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            line = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode()
            after = int(line.partition("SUB=")[2].partition("&")[0])
            self.asked.put_nowait(after)
            wait = int(line.partition("wait=")[2]) / 1000
            if not any(each["n"] > after for each in self.events):
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), wait)
            told = [each for each in self.events if each["n"] > after]
            body = json.dumps({"n": max([after, *[e["n"] for e in told]]), "events": told}).encode()
            fault, self.fault = self.fault, ""
            if fault == "mute":
                await reader.read()  # until the proxy gives it up
                return
            kept = len(body) // 2 if fault == "cut" else len(body)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body[:kept])
            await writer.drain()
        writer.close()

    def tell(self, *rows: dict) -> None:
        self.events.append(event(len(self.events) + 1, *rows, full=not self.events))
        self.changed.set()
        self.changed = asyncio.Event()


class Caller:
    def __init__(self, addr: tuple[str, int]) -> None:
        self.addr = addr
        self.codec = sip.Reader()
        self.ready: list[sip.Message] = []

    async def open(self) -> Caller:
        self.reader, self.writer = await asyncio.open_connection(*self.addr)
        return self

    def say(self, method: str, call: int, number: str = "a1", body: bytes = b"offer", **fields: str) -> None:
        lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in fields.items())
        self.writer.write(
            f"{method} sip:{number}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call:016x}\r\n"
            f"CSeq: 1 {method}\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body
        )

    def invite(self, call: int, number: str, path: str = "dest:1;width:1;via:-1", left: int = 8000) -> None:
        self.say("INVITE", call, number, P_Kind="voice", P_Billed="acme", P_Time_Left=str(left), P_Path=path)

    async def hear(self, method: str = "INVITE") -> sip.Message:
        """The next message with this method in its CSeq."""
        while True:
            while not self.ready:
                data = await asyncio.wait_for(self.reader.read(4096), PATIENCE)
                assert data, "the connection was closed"
                self.ready, fault = self.codec.feed(data)
                assert fault is None
            message = self.ready.pop(0)
            if message.method == method:
                return message

    async def closed(self) -> bytes:
        """What still comes until the proxy closes."""
        with contextlib.suppress(ConnectionError):
            return await asyncio.wait_for(self.reader.read(), PATIENCE)
        return b""


class Stage:
    """Three switches, a feed and a proxy."""

    async def __aenter__(self) -> Stage:
        self.switches = [Switch() for _ in range(3)]
        self.feeds = [Feed(), Feed()]
        for part in (*self.switches, *self.feeds):
            await part.start()
        rows = [row(place, addr=switch.addr) for place, switch in enumerate(self.switches)]
        self.feeds[0].tell(*rows)
        self.feeds[1].tell(*rows)
        self.addr = ("127.0.0.1", free_port())
        self.configure(self.feeds[0])
        await self.start()
        return self

    async def start(self, until_ready: bool = True) -> None:
        env = {k: v for k, v in os.environ.items() if not k.startswith("BALANCER_")} | {
            "BALANCER_NAME": "n3",
            "BALANCER_LISTEN": ":".join(map(str, self.addr)),
            "BALANCER_CONFIG": str(self.file),
        }
        if hasattr(self, "process"):
            self.process.stderr.close()
        self.process = subprocess.Popen(
            [sys.executable, "-m", "dapplehinge", "platform"], cwd=ROOT, env=env, stderr=subprocess.PIPE
        )
        if not until_ready:
            return
        for _ in range(600):
            with contextlib.suppress(OSError):
                caller = await self.caller()
                caller.say("OPTIONS", 1, "ping", b"")
                if (await caller.hear("OPTIONS")).status == 200:
                    break
            await asyncio.sleep(0.05)
        for switch in self.switches:
            while not switch.writers:
                await asyncio.sleep(0.01)

    def configure(self, feed: Feed) -> None:
        known = {"n": 1, "events": self.feeds[0].events[:1]}
        settings = SETTINGS | {"tenants": [{"name": "acme", "quota_rps": 20.0, "share": 1.0}]}
        data = {
            "name": "n3",
            "listen": ":".join(map(str, self.addr)),
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 256},
            "feed": feed.addr,
            "known": known,
            "settings": settings,
        }
        self.file.write_text(json.dumps(data))

    def __init__(self, folder: Path) -> None:
        self.file = folder / "config.json"

    async def caller(self) -> Caller:
        return await Caller(self.addr).open()

    async def exit(self) -> int:
        return await asyncio.wait_for(asyncio.to_thread(self.process.wait), PATIENCE)

    async def __aexit__(self, *_: object) -> None:
        self.process.kill()
        self.process.wait()
        self.process.stderr.close()
        for part in (*self.switches, *self.feeds):
            part.server.close()


def play(scenario, folder: Path) -> None:
    async def run() -> None:
        async with Stage(folder) as stage:
            await scenario(stage)

    asyncio.run(run())


def test_calls_stand_end_and_are_refused(tmp_path):
    async def scenario(stage: Stage) -> None:
        direct, caller = stage.switches[1], await stage.caller()
        caller.invite(0x11, "a1")
        iam = await direct.next(isup.Type.IAM)
        assert (iam.call, iam.text(isup.Code.CLASS), iam.text(isup.Code.NUMBER)) == (0x11, "voice", "a1")
        assert iam.parameters[isup.Code.DESCRIPTION] == b"offer"
        answer = await caller.hear()
        assert (answer.status, answer.call_id, answer.body) == (200, f"{0x11:016x}", b"answer of 11\r\n\x00")
        caller.say("ACK", 0x11, body=b"")
        direct.writers[0].write(isup.release(0x11, 16))  # released by the switch
        bye = await caller.hear("BYE")
        assert (bye.status, bye.fields["reason"]) == (0, "Q.850;cause=16")

        caller.invite(0x12, "a1")
        assert (await caller.hear()).status == 200
        other = await stage.caller()  # released by the caller, on another connection
        other.say("BYE", 0x12, body=b"", Reason="Q.850;cause=16")
        assert (await other.hear("BYE")).status == 200
        assert (await direct.next(isup.Type.REL)).call == 0x12
        other.say("BYE", 0x12, body=b"")
        assert (await other.hear("BYE")).status == 481

        caller.invite(0x13, "e1")
        assert (await caller.hear()).status == 486
        caller.invite(0x14, "f1", path="dest:1;width:1;via:2;transit:1")
        assert (await caller.hear()).status == 503
        caller.invite(0x15, "00", left=300)
        refusal = await caller.hear()
        assert (refusal.status, refusal.fields["p-gap-ms"]) == (503, "2000")
        assert (await direct.next(isup.Type.REL)).call == 0x15

        caller.invite(0x16, "00")
        while (await direct.next(isup.Type.IAM)).call != 0x16:
            pass
        caller.say("CANCEL", 0x16, body=b"")
        assert (await caller.hear()).status == 487
        assert (await direct.next(isup.Type.REL)).call == 0x16

        caller.invite(0x17, "a1", path="dest:1;width:1;via:-1;at:s-2")  # it stands there already
        stage.switches[2].writers[0].write(isup.release(0x17, 16))
        assert (await caller.hear("BYE")).call_id == f"{0x17:016x}"

    play(scenario, tmp_path)


def test_an_answer_that_can_t_be_read_is_in_doubt_and_the_call_goes_on(tmp_path):
    async def scenario(stage: Stage) -> None:
        direct, caller = stage.switches[1], await stage.caller()
        direct.spoil = b"\xff\xff\x09 an answer of 65,535 bytes"
        caller.invite(0x11, "a1")
        answer = await caller.hear()
        assert answer.status == 200 and answer.body == b"answer of 11\r\n\x00"  # sent again after the guard

    play(scenario, tmp_path)


def test_bad_callers_get_a_refusal_or_a_close_and_others_are_served(tmp_path):
    async def scenario(stage: Stage) -> None:
        caller = await stage.caller()
        caller.invite(0x11, "00")
        await stage.switches[1].next(isup.Type.IAM)
        bad = await stage.caller()
        for wrong in ({"path": "dest:99999"}, {"left": -1}, {"left": 10**8}):
            bad.invite(0x20, "a1", **wrong)
            assert (await bad.hear()).status == 400
        bad.invite(0x11, "a1")  # the id of an open call
        assert (await bad.hear()).status == 482
        bad.say("CANCEL", 0x11, body=b"")
        assert (await bad.hear("CANCEL")).status == 481
        bad.say("PUBLISH", 0x21)
        assert (await bad.hear("PUBLISH")).status == 405
        head = b"INVITE sip:1@net SIP/2.0\r\nCSeq: 1 INVITE\r\nCall-ID: 1\r\nContent-Length: "
        for noise in (b"\x16\x03\x01\x02\x00" * 50, b"INVITE " + b"x" * 3000, head + b"-1\r\n\r\n"):
            each = await stage.caller()
            each.writer.write(noise)
            assert (await each.closed()).startswith(b"SIP/2.0 400")
        silent = [await stage.caller() for _ in range(300)]  # more than there are descriptors
        half = await stage.caller()
        half.writer.write(b"INVITE sip:1@net SIP/2.0\r\nCall-")
        assert (await half.closed()).startswith(b"SIP/2.0 408")
        for each in silent:
            assert await each.closed() == b""
        caller.invite(0x12, "a1", path="dest:2;width:1;via:-1")
        answer = await caller.hear()
        assert answer.status == 200 and answer.call_id == f"{0x12:016x}"
        assert stage.process.poll() is None

    play(scenario, tmp_path)


def test_a_new_configuration_moves_the_feed_and_a_broken_one_does_not(tmp_path):
    async def scenario(stage: Stage) -> None:
        first, second = stage.feeds
        assert await asyncio.wait_for(first.asked.get(), PATIENCE) == 1
        stage.file.write_text("{ no JSON")
        stage.process.send_signal(signal.SIGHUP)
        first.tell(row(2, "left"))
        while await asyncio.wait_for(first.asked.get(), PATIENCE) != 2:
            pass
        stage.configure(second)
        stage.process.send_signal(signal.SIGHUP)
        assert await asyncio.wait_for(second.asked.get(), PATIENCE) == 2
        second.events += [event(2), event(3, row(1, "left"))]
        second.changed.set()
        while await asyncio.wait_for(second.asked.get(), PATIENCE) != 3:
            pass
        caller = await stage.caller()
        caller.invite(0x11, "a1")  # nobody is left there
        assert (await caller.hear()).status == 503

    play(scenario, tmp_path)


@pytest.mark.parametrize("fault", ["cut", "mute"])
def test_a_feed_that_breaks_off_or_goes_silent_is_asked_again(tmp_path, fault):
    async def scenario(stage: Stage) -> None:
        [feed, _] = stage.feeds
        assert await asyncio.wait_for(feed.asked.get(), PATIENCE) == 1
        feed.fault = fault
        feed.tell(row(1, "left"))
        while await asyncio.wait_for(feed.asked.get(), PATIENCE) != 2:
            pass
        caller = await stage.caller()
        caller.invite(0x11, "a1")
        assert (await caller.hear()).status == 503

    play(scenario, tmp_path)


def test_a_call_goes_by_tandem_where_the_direct_group_is_full(tmp_path):
    async def scenario(stage: Stage) -> None:
        direct, tandem = stage.switches[1], stage.switches[2]
        full = {isup.Code.REPORT: b"x0:0;x1:20"}
        caller = await stage.caller()
        caller.invite(0x10, "a1")
        await direct.next(isup.Type.IAM)
        assert (await caller.hear()).status == 200
        direct.writers[0].write(isup.encode(isup.Message(isup.Type.CQR, 0, full)))
        direct.writers[0].write(isup.release(0x10, 16))
        assert (await caller.hear("BYE")).status == 0  # so the state before it was read, too
        caller.invite(0x11, "a1")
        assert (await tandem.next(isup.Type.IAM)).call == 0x11
        assert (await caller.hear()).body == b"answer of 11\r\n\x00"

    play(scenario, tmp_path)


def test_a_restart_takes_up_the_calls_that_are_brought_back(tmp_path):
    async def scenario(stage: Stage) -> None:
        caller = await stage.caller()
        caller.invite(0x11, "a1")
        assert (await caller.hear()).status == 200
        stage.process.kill()
        await caller.closed()
        await stage.exit()
        for switch in stage.switches:
            switch.writers.clear()
        await stage.start()
        caller = await stage.caller()
        caller.invite(0x11, "a1", path="dest:1;width:1;via:-1;at:s-1")
        stage.switches[1].writers[0].write(isup.release(0x11, 16))
        assert (await caller.hear("BYE")).call_id == f"{0x11:016x}"

    play(scenario, tmp_path)


def test_a_drain_answers_what_was_taken_and_exits_with_0(tmp_path):
    async def scenario(stage: Stage) -> None:
        caller = await stage.caller()
        caller.invite(0x11, "00", left=1500)
        await stage.switches[1].next(isup.Type.IAM)
        stage.process.send_signal(signal.SIGTERM)
        caller.invite(0x12, "a1")  # taken while it drains
        late = await stage.caller()
        late.invite(0x13, "a1")
        answers = [await caller.hear(), await caller.hear()]
        assert [(a.call_id[-2:], a.status) for a in answers] == [("12", 200), ("11", 503)]
        assert (await late.hear()).status == 200
        assert await stage.exit() == 0

    play(scenario, tmp_path)


def test_a_set_up_is_answered_though_sigterm_comes_as_the_listener_opens(tmp_path):
    async def scenario(stage: Stage) -> None:
        for _ in range(4):
            stage.process.kill()
            await stage.exit()
            await stage.start(until_ready=False)
            while True:
                with contextlib.suppress(OSError):
                    caller = await stage.caller()
                    break
            caller.invite(0x11, "a1")
            stage.process.send_signal(signal.SIGTERM)
            assert (await caller.hear()).status in (200, 503)
            assert await stage.exit() == 0

    play(scenario, tmp_path)


def test_every_call_gets_one_final_answer_while_signals_come(tmp_path):
    async def scenario(stage: Stage) -> None:
        caller = await stage.caller()
        answers: list[tuple[str, int]] = []

        async def listen() -> None:
            while data := await asyncio.wait_for(caller.reader.read(4096), PATIENCE):
                messages, fault = caller.codec.feed(data)
                assert fault is None
                answers.extend((m.call_id, m.status) for m in messages if m.method == "INVITE")

        listening = asyncio.create_task(listen())
        for call in range(1, 161):
            if call == 40:
                stage.configure(stage.feeds[1])
                stage.process.send_signal(signal.SIGHUP)
            if call == 120:
                stage.process.send_signal(signal.SIGTERM)
            number, path = ("a1", "f1", "e1", "00")[call % 4], f"dest:{1 + call % 2};width:1;via:-1"
            caller.invite(call, number, path, 1500)
            if call < 120:
                await asyncio.sleep(0.005)
        await listening  # the proxy ends the connection when nothing is open on it
        caller.writer.close()
        assert sorted(name for name, _ in answers) == [f"{call:016x}" for call in range(1, 161)]
        assert {status for _, status in answers} <= {200, 486, 500, 503, 504}
        assert await stage.exit() == 0

    play(scenario, tmp_path)


def test_hundreds_withdrawn_at_once_end_at_the_switch_and_cost_others_nothing(tmp_path):
    async def scenario(stage: Stage) -> None:
        bad, direct = await stage.caller(), stage.switches[1]
        for call in range(300):
            bad.invite(0x1000 + call, "00")
            bad.say("CANCEL", 0x1000 + call, body=b"")
        for _ in range(300):
            assert (await bad.hear()).status == 487
        caller = await stage.caller()
        caller.invite(0x11, "a1", path="dest:2;width:1;via:-1")
        assert (await caller.hear()).status == 200
        caller.invite(0x12, "a1")
        open_calls: set[int] = set()
        while (message := await asyncio.wait_for(direct.seen.get(), PATIENCE)).call != 0x12:
            if message.type is isup.Type.IAM:
                assert message.call not in open_calls
                open_calls.add(message.call)
            elif message.type is isup.Type.REL:
                open_calls.remove(message.call)
        assert open_calls == set()

    play(scenario, tmp_path)


def test_a_switch_gets_an_id_once_though_its_caller_leaves_and_comes_again_with_it(tmp_path):
    async def scenario(stage: Stage) -> None:
        direct, first = stage.switches[1], await stage.caller()
        first.invite(0x11, "00")
        assert (await direct.next(isup.Type.IAM)).call == 0x11
        first.writer.close()
        assert (await direct.next(isup.Type.REL)).call == 0x11
        again = await stage.caller()
        again.invite(0x11, "00")
        assert (await again.hear()).status == 482
        again.invite(0x12, "00")
        assert (await direct.next(isup.Type.IAM)).call == 0x12

    play(scenario, tmp_path)


@pytest.mark.parametrize(
    ("change", "place"),
    [
        (None, "BALANCER_CONFIG"),
        ("missing", "can not be read"),
        ({"feed": "nowhere"}, "feed"),
        ({"seed": "xyz"}, "seed"),
        ({"limits": {"sockets": 3}}, "limits.sockets"),
        ({"limits": {"memory_mb": "much"}}, "limits.memory_mb"),
        ({"settings": {}}, "lanes.count"),
        ({"settings": None}, "settings"),
        ({"listen": "127.0.0.1"}, "listen"),
    ],
)
def test_what_makes_no_sense_at_the_start_is_named(tmp_path, change, place):
    file = tmp_path / "config.json"
    env = {k: v for k, v in os.environ.items() if not k.startswith("BALANCER_")}
    if change is not None:
        env["BALANCER_CONFIG"] = str(file)
    if isinstance(change, dict):
        data = {"listen": "127.0.0.1:1", "feed": "127.0.0.1:2", "settings": SETTINGS} | change
        file.write_text(json.dumps(data))
    done = subprocess.run(
        [sys.executable, "-m", "dapplehinge", "platform"], cwd=ROOT, env=env, capture_output=True, text=True
    )
    assert done.returncode == 2 and place in done.stderr and "Traceback" not in done.stderr


def test_a_link_let_go_of_before_it_is_made_ends_quietly():
    async def scenario() -> None:
        failed: list[int] = []
        service = SimpleNamespace(link_failed=lambda link, *_: failed.append(link))
        links = Links(service, lambda: 0.0, lambda: None)
        links.open(1, ("127.0.0.1", 9), 500.0)
        links.close(1)
        [task] = asyncio.all_tasks() - {asyncio.current_task()}
        await task
        assert not failed

    asyncio.run(scenario())
