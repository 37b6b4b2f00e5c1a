"""An unexpected fault in one part costs that part only: timers, connections, feed and shutdown go on."""

import asyncio
import contextlib
import json
import socket
import time
from pathlib import Path

from dapplehinge.platform import actions as act
from dapplehinge.proxy.platform.callers import Callers
from dapplehinge.proxy.platform.config import from_file
from dapplehinge.proxy.platform.feed import Feed
from dapplehinge.proxy.platform.node import Node
from tests.platform_kit import SETTINGS, Rig, said
from tests.ports import free_port
from tests.test_platform_feed import AnsweringAddress
from tests.test_platform_live import PATIENCE


def fail(*_):
    raise KeyError("a fault of the program")


def make_node(folder: Path) -> Node:
    file = folder / "config.json"
    listen = f"127.0.0.1:{free_port()}"
    data = {"listen": listen, "feed": f"127.0.0.1:{free_port()}", "settings": SETTINGS}
    file.write_text(json.dumps(data | {"limits": {"sockets": 256}}))
    sock = socket.create_server(("127.0.0.1", 0))
    sock.setblocking(False)
    return Node(from_file(file, {}), sock)


async def until(condition):
    deadline = time.monotonic() + PATIENCE
    while not condition():
        assert time.monotonic() < deadline
        await asyncio.sleep(0.005)


def test_an_action_that_fails_does_not_swallow_those_after_it(tmp_path):
    async def scenario():
        node, done = make_node(tmp_path), []
        node.links.write = fail
        node.callers.respond = done.append
        answer = act.Respond(1, b"", 503)
        node.service.actions = [act.SendRelease(1, 1, 16), answer]
        node.pump()
        assert done == [answer]
        node.sock.close()

    asyncio.run(scenario())


def test_a_timer_that_fails_does_not_stop_later_ones(tmp_path, monkeypatch):
    async def scenario():
        node, dues = make_node(tmp_path), []
        node.start()
        serve = node.service.due

        def due(now):
            dues.append(now)
            if len(dues) == 1:
                fail()
            serve(now)

        monkeypatch.setattr(node.service, "due", due)
        await until(lambda: len(dues) >= 3)
        node.callers.stop_listening()
        node.feed.stop()

    asyncio.run(scenario())


def test_a_shutdown_ends_though_a_step_of_it_fails(tmp_path, monkeypatch):
    async def scenario():
        node = make_node(tmp_path)
        node.start()
        monkeypatch.setattr(node.callers, "finish_idle", fail)
        _, writer = await asyncio.open_connection(*node.sock.getsockname())
        await asyncio.wait_for(node.drain(), PATIENCE)
        assert not node.callers.conns
        writer.close()

    asyncio.run(scenario())


def test_a_connection_on_which_the_program_fails_is_closed():
    async def scenario():
        rig = Rig()
        callers = Callers(rig.service, rig.offers, "n3", lambda: rig.now, lambda: None, lambda: 3)
        sock = socket.create_server(("127.0.0.1", 0))
        sock.setblocking(False)
        callers.listen(sock)
        callers.offers.read = fail
        reader, writer = await asyncio.open_connection(*sock.getsockname())
        writer.write(said(0x11))
        with contextlib.suppress(ConnectionError):
            assert await asyncio.wait_for(reader.read(), 2.0) == b""
        assert not callers.conns
        callers.stop_listening()

    asyncio.run(scenario())


def test_the_feed_is_asked_again_though_taking_an_answer_failed():
    async def scenario():
        address, taken = AnsweringAddress(), asyncio.Queue()

        def take(answer):
            taken.put_nowait(answer)
            fail()

        feed = Feed(await address.start(), lambda: 0, take)
        feed.follow()
        for _ in range(3):
            await asyncio.wait_for(taken.get(), PATIENCE)
        feed.stop()
        address.server.close()

    asyncio.run(scenario())
