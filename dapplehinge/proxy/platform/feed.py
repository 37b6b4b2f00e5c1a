"""The control feed, followed by long polls; what is told goes to the member list, in sequence.

A poll is out all the time. Where one is not answered in time another is made beside it: a feed that went
silent without closing is asked anew well before what it had to tell counts as told, and one that answers
late is heard all the same. A poll is given up only when a later one was answered, or there are too many. One
that breaks off is made again at once, then at growing gaps; the last list holds meanwhile.
"""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from enum import Enum, auto
from math import inf
from typing import Any

from dapplehinge.proxy.platform.poll import Poll, PollError

LONG_POLL_WAIT_S = 1.5  # asked of the feed; 5 at most by its protocol
LONG_POLL_GRACE_S = 1.0  # beyond the wait before a poll counts as late
MAX_POLLS = 8  # in flight: an answer may come that many times the wait and the grace late
MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.02, 0.5

log = logging.getLogger("dapplehinge.feed")


class _Outcome(Enum):
    """What became of the polls in flight."""

    NEWS = auto()  # answered, with events
    NO_NEWS = auto()
    LATE = auto()  # the newest one has no answer yet
    FAILED = auto()


class Feed:
    """`reached` gives the number of the last event that was taken; `told` takes what the feed answered."""

    def __init__(
        self, address: tuple[str, int], reached: Callable[[], int], told: Callable[[Any], None]
    ) -> None:
        self.address = address
        self.reached = reached
        self.told = told
        self._task: asyncio.Task[None] | None = None
        self._polls: dict[asyncio.Task[_Outcome], Poll] = {}  # in flight, the oldest first
        self._next_poll_at = -inf  # s of the loop's clock: the newest one is late then
        self._well = True

    def follow(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._follow())

    def move(self, address: tuple[str, int]) -> None:
        """Ask at another address from now on; the numbers go on."""
        self._stop_asking()
        self.address = address
        self.follow()

    def stop(self) -> None:
        self._stop_asking()
        for task in list(self._polls):
            self._give_up(task)

    def _stop_asking(self) -> None:
        if self._task is not None:
            self._task.cancel()
            self._task = None
        self._next_poll_at = -inf

    async def _follow(self) -> None:
        delay = 0.0
        while True:
            try:
                outcome = await self._next_outcome()
            except OSError as fault:  # no descriptor for a poll
                outcome = _Outcome.FAILED
                self._note_lost(self.address, fault)
            except Exception:  # a proxy that no longer asks would send to switches that drain
                outcome = _Outcome.FAILED
                log.exception("feed.fault address=%s:%d", *self.address)
            match outcome:
                case _Outcome.NEWS | _Outcome.LATE:
                    delay = 0.0
                case _Outcome.NO_NEWS:
                    delay = MIN_RETRY_DELAY_S
                case _Outcome.FAILED:
                    delay = min(MAX_RETRY_DELAY_S, 2 * delay) if delay else MIN_RETRY_DELAY_S
            await asyncio.sleep(delay)

    async def _next_outcome(self) -> _Outcome:
        """Wait for the first of the polls in flight to end; make one where there is none, or all are late."""
        clock = asyncio.get_running_loop().time
        if not self._polls or clock() >= self._next_poll_at:
            self._start_poll()
            self._next_poll_at = clock() + LONG_POLL_WAIT_S + LONG_POLL_GRACE_S
        left = max(0.0, self._next_poll_at - clock())
        done, _ = await asyncio.wait(self._polls, timeout=left, return_when=asyncio.FIRST_COMPLETED)
        if not done:
            self._note_lost(self.address, "no answer in time")
            return _Outcome.LATE
        outcomes = [task.result() for task in self._polls if task in done]
        self._forget(done)
        answered = [each for each in outcomes if each is not _Outcome.FAILED]
        return answered[-1] if answered else _Outcome.FAILED

    def _start_poll(self) -> None:
        if len(self._polls) >= MAX_POLLS:
            self._give_up(next(iter(self._polls)))
        poll = Poll(self.address)
        self._polls[asyncio.get_running_loop().create_task(self._ask(poll))] = poll

    def _forget(self, done: set[asyncio.Task[_Outcome]]) -> None:
        """Take out the polls that have ended; one that was answered makes the older ones superfluous."""
        in_order = list(self._polls)
        answered = [task for task in in_order if task in done and task.result() is not _Outcome.FAILED]
        newest = in_order.index(answered[-1]) if answered else -1
        for index, task in enumerate(in_order):
            if task in done:
                del self._polls[task]
            elif index < newest:
                self._give_up(task)

    def _give_up(self, task: asyncio.Task[_Outcome]) -> None:
        self._polls.pop(task).close()
        task.cancel()

    async def _ask(self, poll: Poll) -> _Outcome:
        before = self.reached()
        path = f"/v1/events?SUB={before}&wait={int(LONG_POLL_WAIT_S * 1000)}"
        try:
            answer = json.loads(await poll.get(path))
            before = self.reached()  # another poll may have told meanwhile
            self.told(answer)
        except (PollError, OSError, ValueError) as fault:
            self._note_lost(poll.address, fault)
            return _Outcome.FAILED
        except Exception:
            log.exception("feed.fault address=%s:%d", *self.address)
            return _Outcome.FAILED
        if not self._well:
            self._well = True
            log.info("feed.back address=%s:%d event=%d", *self.address, self.reached())
        return _Outcome.NEWS if self.reached() != before else _Outcome.NO_NEWS

    def _note_lost(self, address: tuple[str, int], reason: object) -> None:
        if self._well and address == self.address:
            self._well = False
            log.warning("feed.lost address=%s:%d reason=%s", *self.address, reason)
