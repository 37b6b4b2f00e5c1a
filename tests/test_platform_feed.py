"""The control feed on real sockets: addresses that change while older ones are silent."""

import asyncio
import json
import logging

from dapplehinge.proxy.platform.feed import Feed
from tests.test_platform_live import PATIENCE


class SilentAddress:
    """Takes polls and says nothing."""

    def __init__(self):
        self.asked = asyncio.Event()
        self.ended = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        self.asked.set()
        await self.answer(reader, writer)
        writer.close()

    async def answer(self, reader, writer):
        await reader.read()
        self.ended = True


class AnsweringAddress(SilentAddress):
    async def answer(self, reader, writer):
        body = json.dumps({"n": 7, "events": []}).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        await writer.drain()


def test_new_configurations_in_quick_succession_are_not_queued_behind_silent_polls(caplog):
    async def scenario():
        silent = [SilentAddress() for _ in range(6)]
        answering = AnsweringAddress()
        heard = asyncio.Event()
        feed = Feed(await silent[0].start(), lambda: 0, lambda answer: heard.set())
        feed.follow()
        await silent[0].asked.wait()
        for each in silent[1:]:
            feed.move(await each.start())
            await each.asked.wait()
        feed.move(await answering.start())
        await heard.wait()
        assert not any(each.ended for each in silent)
        feed.stop()
        for each in (*silent, answering):
            each.server.close()
        while not all(each.ended for each in silent):  # by their time-out
            await asyncio.sleep(0.05)

    with caplog.at_level(logging.ERROR):
        asyncio.run(asyncio.wait_for(scenario(), PATIENCE))
    assert "cancelled" not in caplog.text and "never retrieved" not in caplog.text
