"""A stand-in as a process of its own: `python -m dapplehinge.standins.process KIND SPEC.json FD`."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
from pathlib import Path

import msgspec

from dapplehinge.proxy.clock import clock


async def _until_told() -> None:
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    await stopping.wait()


async def _switch(spec: bytes, sock: socket.socket) -> None:
    from dapplehinge.standins.switch import Switch, SwitchSpec

    switch = Switch(msgspec.json.decode(spec, type=SwitchSpec), sock, clock())
    switch.port.flush()
    await _until_told()
    print(switch.spec.name, dict(switch.counts), dict(switch.engine.counts))


async def _handset(spec: bytes, sock: socket.socket) -> None:
    from dapplehinge.standins.handset import Handset, HandsetSpec

    handset = Handset(msgspec.json.decode(spec, type=HandsetSpec), sock)
    await _until_told()
    print("handset", handset.spec.place, dict(handset.counts), dict(handset.engine.counts))


def main() -> None:
    kind, spec, fd = sys.argv[1:4]
    sock = socket.socket(fileno=int(fd))
    raw = Path(spec).read_bytes()
    asyncio.run(_switch(raw, sock) if kind == "switch" else _handset(raw, sock))


if __name__ == "__main__":
    main()
