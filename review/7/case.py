"""Refused set-ups of a bad client lift the bound on what a cold switch is sent: it is pushed over."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from math import sqrt
from pathlib import Path
from random import Random
from time import monotonic, time

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from kit2 import Caller, Proxy, Stage, Switch, play, request, set_up_fields  # noqa: E402

PLACES = (0, 1, 2, 3)
EXCHANGES = (0, 2, 3)  # whose proxies call exchange 1
CALLS_PER_S = 10.0  # to each exchange, from all proxies together
HOLD_S = 10.0
CAN_DO_PER_S = CALLS_PER_S / 0.67  # a warm processor, the least busy of the site's at this load (67 to 83 %)
COLD_SHARE, COLD_S = 0.29, 15.0
FALL_MULTIPLE, WINDOW_S = 2.5, 3.0
AGAIN_SHARE, AGAIN_S = 0.6, (0.21, 2.8)  # of the calls that are cut, and when they come again
BEFORE_S, DRAINS_S, AFTER_S = 12.0, 1.0, 15.0
BAD_S = 6.0
AT_ONCE = 100
NO_EXCHANGE = 99


class Traffic:
    """Usual callers: calls to each exchange in turn, and those that are cut come again."""

    def __init__(self, stage: Stage) -> None:
        self.stage = stage
        self.random = Random(38)
        self.callers: dict[Proxy, list[Caller]] = {}
        self.turn = 0

    async def call(self, proxy: Proxy, place: int, more: str = "") -> None:
        self.turn += 1
        callers = self.callers[proxy]
        at = self.turn % len(callers)
        if callers[at].closed:
            callers[at] = await Caller(self.stage, proxy=proxy).open()
        call = self.stage.new_call()
        callers[at].invite(call, place, more=more)
        for switch in self.stage.switches:
            asyncio.get_running_loop().call_later(HOLD_S, switch.release, call)

    async def play(self, until: float) -> None:
        pairs = [
            (proxy, place) for proxy in self.stage.proxies for place in PLACES if place != proxy.exchange
        ]
        for proxy in self.stage.proxies:
            self.callers[proxy] = [await Caller(self.stage, proxy=proxy).open() for _ in range(4)]
        began, sent = monotonic(), 0
        while monotonic() < until:
            self.random.shuffle(pairs)
            for proxy, place in pairs:
                await self.call(proxy, place)
                sent += 1
                await asyncio.sleep(max(0.0, began + sent / (CALLS_PER_S * len(EXCHANGES)) - monotonic()))

    async def come_again(self, place: int) -> None:
        await asyncio.sleep(self.random.uniform(*AGAIN_S))
        await self.call(self.random.choice(self.stage.proxies), place, ";again:1")


async def bad_client(stage: Stage, proxy: Proxy, until: float) -> None:
    """Calls an exchange that doesn't exist, again as soon as it is turned away; reads what it is sent."""
    reader, writer = await asyncio.open_connection(*proxy.listen)
    fields = set_up_fields(f"dest:{NO_EXCHANGE};width:1;via:-1", 9000)
    sent = got = 0
    with contextlib.suppress(ConnectionError):
        while monotonic() < until:
            while sent - got < AT_ONCE:
                sent += 1
                writer.write(request("INVITE", 0xBAD << 40 | sent, "00000000000000b1", fields, b"nothing"))
            data = await asyncio.wait_for(reader.read(65536), 10.0)
            if not data:
                break
            got += data.count(b"SIP/2.0 ")
    stage.record.say(f"bad client at {proxy.name}: {sent} set-ups sent, {got} answers")
    writer.close()


def allowed(since_start: float) -> float:
    """The standing test's bound for the window that begins then."""
    middle = since_start + WINDOW_S / 2
    can_do = CAN_DO_PER_S * min(1.0, COLD_SHARE + (1.0 - COLD_SHARE) * middle / COLD_S)
    n = FALL_MULTIPLE * can_do * WINDOW_S
    return n + (2 * sqrt(n) + 2 if n >= 30 else 3 * sqrt(n) + 3)


async def case(stage: Stage) -> list[str]:
    old = stage.switches[1]
    traffic = Traffic(stage)
    usual = asyncio.ensure_future(traffic.play(monotonic() + BEFORE_S + DRAINS_S + AFTER_S))
    await asyncio.sleep(BEFORE_S)
    new = Switch(stage.record, old.place, "s-1-new")
    await new.start()
    stage.switches.append(new)
    started = monotonic()
    stage.feed.publish(old.row("leaving"), new.row("active", int(time() * 1000)))
    bad = []
    if stage.trouble:
        bad = [asyncio.ensure_future(bad_client(stage, each, started + BAD_S)) for each in stage.proxies]
    await asyncio.sleep(DRAINS_S)
    cut = sorted(old.standing)
    for call in cut:
        old.release(call, 41)
    stage.feed.publish(old.row("left"))
    again = traffic.random.sample(cut, int(AGAIN_SHARE * len(cut)))
    stage.record.say(f"{len(cut)} calls cut as {old.name} stops, {len(again)} of them come again")
    await asyncio.gather(*[traffic.come_again(old.place) for _ in again])
    await usual
    await asyncio.gather(*bad)
    times = sorted(at for at, _ in new.set_ups)
    worst, broken = 0.0, []
    for first in times:
        count, bound = sum(first <= at < first + WINDOW_S for at in times), allowed(first - started)
        if first - started < COLD_S:
            worst = max(worst, count / bound)
            if count > bound and not broken:
                broken.append(
                    f"{new.name}: {count} set-ups in {WINDOW_S:.0f} s from {first - started:.2f} s after its "
                    f"start, {bound:.0f} allowed"
                )
    stage.record.say(f"{len(times)} set-ups at {new.name}, the worst window {worst:.2f} of what is allowed")
    return broken


play(__file__, case, PLACES, EXCHANGES)
