"""Run a box until it is told to stop: the first SIGTERM or SIGINT drains it, the second ends it at once."""

from __future__ import annotations

import asyncio
import gc
import signal
import socket

import structlog
from tornado.ioloop import IOLoop

from dapplehinge.config.load import Box
from dapplehinge.proxy.logs import set_up
from dapplehinge.proxy.port import open_socket
from dapplehinge.proxy.server import Server

GC_THRESHOLDS = (50_000, 20, 100)
"""The cyclic collector walks all live legs at its default pace, and calls wait meanwhile; legs are freed by
their
counts, so it finds little. What the start left behind is frozen out of its walks."""


def run(box: Box, fd: int | None = None) -> None:
    """`fd`: an open UDP socket to serve, in place of the address in the settings. OSError: it can't
    listen.
    """
    set_up(box.log)
    sock = socket.socket(fileno=fd) if fd is not None else open_socket(box.listen)

    async def serve() -> None:
        loop = IOLoop.current()
        server = Server(box, sock)
        stopping = asyncio.Event()
        orders = 0

        def stop() -> None:
            nonlocal orders
            orders += 1
            if orders == 1:
                loop.add_callback(drain)
            else:
                structlog.get_logger().warning("box.stopped_at_once", calls=len(server.calls))
                stopping.set()

        async def drain() -> None:
            await server.drain()
            stopping.set()

        own = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            own.add_signal_handler(number, stop)
        server.start()
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        await stopping.wait()

    asyncio.run(serve())
