"""Start as the operators' platform starts a signalling proxy, and follow its signals.

SIGHUP: the configuration file is read again and a new `feed` is followed; a file that makes no sense leaves
the old one in force. SIGTERM: the shutdown of `platform/shutdown.py`, then exit 0. A signal that comes before
it can be followed waits. Logs go to standard error by the standard library: this front starts fast and small,
without the libraries of the box.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import socket
import sys

from dapplehinge.platform.settings import SettingsError
from dapplehinge.proxy.platform.config import Config, ConfigError, from_environment
from dapplehinge.proxy.platform.node import Node
from dapplehinge.proxy.platform.streams import family_of

BACKLOG = 512
FOLLOWED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

log = logging.getLogger("dapplehinge.run")


def open_listener(address: tuple[str, int]) -> socket.socket:
    sock = socket.create_server(address, family=family_of(address), backlog=BACKLOG)
    sock.setblocking(False)
    return sock


async def serve(config: Config, sock: socket.socket) -> None:
    node = Node(config, sock)
    stopping = asyncio.Event()
    drains: list[asyncio.Task[None]] = []

    async def drain() -> None:
        await node.drain()
        stopping.set()

    def stop() -> None:
        log.info("node.signal name=stop first=%s", not drains)
        if not drains:
            drains.append(asyncio.ensure_future(drain()))

    def reload() -> None:
        log.info("node.signal name=reload")
        try:
            fresh = from_environment(os.environ)
        except ConfigError as fault:
            log.error("config.not_taken reason=%s", fault)
            return
        if fresh.feed != node.feed.address:
            node.moved(fresh.feed)

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    loop.add_signal_handler(signal.SIGHUP, reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, FOLLOWED)
    node.start()
    gc.collect()
    gc.freeze()
    await stopping.wait()


def main() -> int:
    """Exit codes: 0 drained, 2 the platform's variables or configuration make no sense."""
    signal.pthread_sigmask(signal.SIG_BLOCK, FOLLOWED)
    logging.basicConfig(
        level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(levelname)s %(message)s"
    )
    logging.getLogger("tornado").setLevel(logging.ERROR)
    try:
        config = from_environment(os.environ)
        sock = open_listener(config.listen)
        asyncio.run(serve(config, sock))
    except (ConfigError, SettingsError, ValueError, OSError) as fault:
        log.error("node.not_started reason=%s", fault)
        return 2
    return 0

