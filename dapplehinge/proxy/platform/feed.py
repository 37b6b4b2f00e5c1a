"""The control feed, followed by long polls; what is told goes to the member list, in sequence.

One poll is open all the time. One that breaks off, stalls or outlives its wait is asked again at once, then
at growing gaps; the last list holds meanwhile. The wait is short, so that a feed which went silent without
closing is asked anew well before what it had to tell counts as told.
"""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from typing import Any

from tornado.httpclient import HTTPError
from tornado.netutil import Resolver
from tornado.simple_httpclient import SimpleAsyncHTTPClient

LONG_POLL_WAIT_S = 1.5  # seconds asked of the feed; 5 at most by its protocol
LONG_POLL_GRACE_S = 1.0  # seconds beyond the wait before a poll counts as lost
MAX_ANSWER_BYTES = 4 << 20
MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.02, 0.5

log = logging.getLogger("dapplehinge.feed")


class Feed:
    """`reached` gives the number of the last event that was taken; `told` takes what the feed answered."""

    def __init__(
        self, address: tuple[str, int], reached: Callable[[], int], told: Callable[[Any], None]
    ) -> None:
        Resolver.configure("tornado.netutil.BlockingResolver")  # addresses only; no threads
        self.address = address
        self.reached = reached
        self.told = told
        self._task: asyncio.Task[None] | None = None
        self._well = True

    def follow(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._follow())

    def move(self, address: tuple[str, int]) -> None:
        """Ask at another address from now on; the numbers go on."""
        self.stop()
        self.address = address
        self.follow()

    def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _follow(self) -> None:
        delay = 0.0
        while True:
            try:
                before = self.reached()
                self.told(await self._poll())
                delay = 0.0 if self.reached() != before else MIN_RETRY_DELAY_S
                if not self._well:
                    self._well = True
                    log.info("feed.back address=%s:%d event=%d", *self.address, self.reached())
            except (HTTPError, OSError, ValueError) as fault:
                delay = min(MAX_RETRY_DELAY_S, 2 * delay) if delay else MIN_RETRY_DELAY_S
                if self._well:
                    self._well = False
                    log.warning("feed.lost address=%s:%d reason=%s", *self.address, fault)
            except Exception:  # a proxy that no longer asks would send to switches that drain
                delay = MAX_RETRY_DELAY_S
                log.exception("feed.fault address=%s:%d", *self.address)
            await asyncio.sleep(delay)

    async def _poll(self) -> Any:
        host, port = self.address
        site = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        # a client of its own: the poll of an older address, which may stay silent, must hold up no newer one
        client = SimpleAsyncHTTPClient(force_instance=True, max_clients=1, max_body_size=MAX_ANSWER_BYTES)
        poll = client.fetch(
            f"http://{site}/v1/events?SUB={self.reached()}&wait={int(LONG_POLL_WAIT_S * 1000)}",
            connect_timeout=LONG_POLL_GRACE_S,
            request_timeout=LONG_POLL_WAIT_S + LONG_POLL_GRACE_S,
            decompress_response=False,
            follow_redirects=False,
        )
        poll.add_done_callback(_retrieve_outcome)
        answer = await asyncio.shield(poll)
        return json.loads(answer.body)


def _retrieve_outcome(poll: asyncio.Future[Any]) -> None:
    """Take note of how a poll ended that nobody waits for any more, so that it is not logged as an error."""
    if not poll.cancelled():
        poll.exception()
