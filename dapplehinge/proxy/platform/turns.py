"""Turns of the event loop for connections that have more to be read than one chunk."""

from __future__ import annotations

import asyncio
from collections import deque


class Turns:
    """One of all that wait is let go on in each turn of the loop, in the order in which they came.

    So connections with much to be read share one place among those with little: however many they are, a
    message on another connection waits for a chunk of one of them at most.
    """

    def __init__(self) -> None:
        self._waiting: deque[asyncio.Future[None]] = deque()

    async def wait(self) -> None:
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        self._waiting.append(turn)
        if len(self._waiting) == 1:
            loop.call_soon(self._next)
        await turn

    def _next(self) -> None:
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():  # its connection was given up
                turn.set_result(None)
                break
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._next)
