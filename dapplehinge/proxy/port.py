"""One UDP socket on the IOLoop with the engine of its legs: the thin shell around `iax2.engine`.

Datagrams are read in bounded batches, so that timers and other sockets get their turn under load. The clock
is read anew for each datagram. A datagram that the socket can't take now is dropped and counted: what must
arrive is repeated by the exchange.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from math import inf

from tornado.ioloop import IOLoop

from dapplehinge.iax2.engine import Engine
from dapplehinge.iax2.frames import MOST_BYTES
from dapplehinge.iax2.leg import Addr
from dapplehinge.proxy.clock import clock

BATCH = 64
"""Datagrams read at one go: some ten milliseconds of work at the most."""

RECEIVE_BUFFER = 4 << 20
"""Bytes asked of the kernel, which may grant less: a burst waits there while a batch is worked off."""


def open_socket(addr: Addr) -> socket.socket:
    family = socket.AF_INET6 if ":" in addr[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_DGRAM)
    try:
        sock.bind(addr)
    except OSError:
        sock.close()
        raise
    return sock


class Port:
    """`handle_events` is called with the clock after whatever may have left events in the engine."""

    def __init__(
        self,
        sock: socket.socket,
        engine: Engine,
        handle_events: Callable[[float], None],
        own_due: Callable[[], float] = lambda: inf,
        own_timer: Callable[[float], None] = lambda now: None,
    ) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        self.sock = sock
        self.engine = engine
        self.handle_events = handle_events
        self.own_due = own_due
        self.own_timer = own_timer
        self.loop = IOLoop.current()
        self.unsent = 0
        self._emptied = inf  # when the socket was last known to hold nothing
        self._left = False  # the last batch ended before the socket was empty
        self._armed = inf
        self._handle: object | None = None
        self.loop.add_handler(sock, self._readable, IOLoop.READ)

    def _readable(self, fd: object, events: int) -> None:
        engine, receive, handle = self.engine, self.sock.recvfrom, self.handle_events
        if self._emptied == inf:
            self._emptied = clock()  # what came before the loop ran did not wait for it
        for _ in range(BATCH):
            try:
                data, addr = receive(MOST_BYTES + 1)
            except BlockingIOError:
                self._emptied, self._left = clock(), False
                break
            except OSError:
                continue  # an ICMP error of an earlier datagram; the exchange's timers judge the far end
            now = clock()
            engine.receive_datagram(data, addr[:2], now)
            if engine.events:
                handle(now)
        else:
            self._left = True
        self.flush()

    def waiting(self, now: float) -> float:
        """For how many ms datagrams have been waiting in the socket without a break; 0: none wait."""
        return now - self._emptied if self._left else 0.0

    def flush(self) -> None:
        """Send what the engine holds ready, and set the timer anew."""
        now = clock()
        send = self.sock.sendto
        for data, addr in self.engine.datagrams_to_send(now):
            try:
                send(data, addr)
            except OSError:
                self.unsent += 1
        self._arm(now)

    def _arm(self, now: float) -> None:
        due = min(self.engine.get_timer(), self.own_due())
        if due < self._armed:
            if self._handle is not None:
                self.loop.remove_timeout(self._handle)
            self._armed = due
            self._handle = self.loop.call_later(max(0.0, (due - now) / 1000.0), self._due)

    def _due(self) -> None:
        self._armed, self._handle = inf, None
        now = clock()
        self.own_timer(now)
        self.engine.handle_timer(now)
        self.handle_events(now)
        self.flush()

    def close(self) -> None:
        if self._handle is not None:
            self.loop.remove_timeout(self._handle)
            self._handle = None
        self.loop.remove_handler(self.sock)
        self.sock.close()
