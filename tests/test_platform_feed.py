"""The control feed on real sockets: addresses that change while older ones are silent."""

import asyncio
import json
import logging

import pytest

from dapplehinge.proxy.platform import feed as feed_module
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


@pytest.fixture
def short_wait(monkeypatch):
    """A poll is late after 100 ms."""
    monkeypatch.setattr(feed_module, "LONG_POLL_WAIT_S", 0.05)
    monkeypatch.setattr(feed_module, "LONG_POLL_GRACE_S", 0.05)


class SlowAddress(AnsweringAddress):
    """Answers each poll 300 ms after it came."""

    polls = open_polls = most_open = 0

    async def answer(self, reader, writer):
        self.polls += 1
        self.open_polls += 1
        self.most_open = max(self.most_open, self.open_polls)
        await asyncio.sleep(0.3)
        self.open_polls -= 1
        await super().answer(reader, writer)


class StuckAddress(SlowAddress):
    """Never answers; a poll ends when the proxy closes it."""

    async def answer(self, reader, writer):
        self.polls += 1
        self.open_polls += 1
        self.most_open = max(self.most_open, self.open_polls)
        await reader.read()
        self.open_polls -= 1


def test_a_feed_that_answers_each_poll_after_its_time_is_heard(short_wait):
    async def scenario():
        slow, heard, enough = SlowAddress(), [], asyncio.Event()

        def told(answer):
            heard.append(answer["n"])
            if len(heard) == 5:
                enough.set()

        feed = Feed(await slow.start(), lambda: len(heard), told)
        feed.follow()
        await enough.wait()
        feed.stop()
        assert slow.most_open <= 5  # one more as each is late, and none piles up
        slow.server.close()

    asyncio.run(asyncio.wait_for(scenario(), PATIENCE))


def test_polls_that_are_never_answered_do_not_take_ever_more_descriptors(short_wait):
    async def scenario():
        stuck, slow, heard = StuckAddress(), SlowAddress(), asyncio.Event()
        feed = Feed(await stuck.start(), lambda: 0, lambda answer: heard.set())
        feed.follow()
        while stuck.polls < 2 * feed_module.MAX_POLLS:
            await asyncio.sleep(0.02)
        assert stuck.most_open <= feed_module.MAX_POLLS + 1  # one whose end is on its way
        feed.move(await slow.start())
        await heard.wait()
        while stuck.open_polls:
            await asyncio.sleep(0.02)
        feed.stop()
        for each in (stuck, slow):
            each.server.close()

    asyncio.run(asyncio.wait_for(scenario(), PATIENCE))
