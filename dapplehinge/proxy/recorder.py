"""The box's hand at the record store: entries go to a thread that writes, and answers wait for theirs.

The event loop never waits for a disk. It hands over entries and goes on; while one batch is being synced
the next one gathers (group commit). An answer that must not leave before its intent is durable is held
here, in its call's order. It is not held for ever: rule 1 goes before a record, so after `patience` ms
the answer leaves, and that is counted in `unwaited`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from functools import partial

from tornado.ioloop import IOLoop

from dapplehinge.proxy.clock import clock
from dapplehinge.proxy.store import Store
from dapplehinge.records.backlog import Backlog
from dapplehinge.records.entry import Entry, encode

RETRY_GAP = 0.25
"""Seconds after a write that failed before it is tried again."""


class Recorder:
    def __init__(self, store: Store, backlog: Backlog, patience: float) -> None:
        self.store = store
        self.backlog = backlog
        self.patience = patience
        self.unwaited = 0
        self._loop = IOLoop.current()
        self._thread = ThreadPoolExecutor(1, "records")
        self._writing = False
        self._held: deque[tuple[int, float, int]] = deque()  # ticket, since, call; in the order of both
        self._answers: dict[int, list[Callable[[], None]]] = {}  # call -> what waits for its intent
        self._retry: object | None = None

    def add(self, entry: Entry) -> int:
        """Hand over an entry; its ticket."""
        ticket = self.backlog.add(encode(entry))
        self._pump()
        return ticket

    def answer_after(self, call: int, intent: Entry | None, answer: Callable[[], None]) -> None:
        """Give an answer once the call's intent is durable, behind what the call still waits to say."""
        if intent is not None:
            self._answers[call] = [answer]
            self._held.append((self.add(intent), clock(), call))
        elif call in self._answers:
            self._answers[call].append(answer)
        else:
            answer()

    def _pump(self) -> None:
        if self._writing or self._retry is not None:
            return
        payloads = self.backlog.take()
        if payloads:
            self._writing = True
            done = self._thread.submit(self.store.commit, payloads)
            done.add_done_callback(partial(self._loop.add_callback, self._written))

    def _written(self, done: Future[bool]) -> None:
        self._writing = False
        good = done.exception() is None and done.result()
        self.backlog.done(good)
        if good:
            self._let_go(lambda ticket, since: ticket <= self.backlog.durable)
            self._pump()
        else:
            self._retry = self._loop.call_later(RETRY_GAP, self._again)

    def _again(self) -> None:
        self._retry = None
        self._pump()

    def look(self, now: float) -> None:
        """Let answers leave that have waited for too long; asked every so often."""
        before = len(self._held)
        self._let_go(lambda ticket, since: now - since >= self.patience)
        self.unwaited += before - len(self._held)

    def _let_go(self, due: Callable[[int, float], bool]) -> None:
        held = self._held
        while held and due(held[0][0], held[0][1]):
            _, _, call = held.popleft()
            for answer in self._answers.pop(call, []):
                answer()

    async def close(self) -> None:
        """Write what waits, for as long as that goes well."""
        while self.backlog.waiting or self._writing:
            if self._retry is not None:
                break
            await self._loop.run_in_executor(self._thread, int)
        self._thread.shutdown(wait=True)
        self.store.close()
