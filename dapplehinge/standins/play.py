"""Play all switches that a box knows, in one process, for trying a box by hand."""

from __future__ import annotations

import asyncio
import signal

from dapplehinge.config.load import Box
from dapplehinge.proxy.clock import clock
from dapplehinge.proxy.logs import set_up
from dapplehinge.proxy.port import open_socket
from dapplehinge.standins.switch import Switch, SwitchSpec


def play_switches(box: Box) -> None:
    set_up(box.log)
    own = box.network.settings.own_exchange
    places = [each for index, each in enumerate(box.network.exchanges) if index != own]
    socks = [open_socket(each.switch) for each in places]

    async def serve() -> None:
        for each, sock in zip(places, socks, strict=True):
            Switch(SwitchSpec(name=each.name), sock, clock())
            print(f"switch {each.name} on {each.switch[0]}:{each.switch[1]}", flush=True)
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopping.set)
        await stopping.wait()

    asyncio.run(serve())
