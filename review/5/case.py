"""The control feed is slow: does the proxy stop sending to a switch that drains?"""

from __future__ import annotations

import asyncio
from pathlib import Path

import standins as s

SWITCHES = 5
SLOW_S = 3.0  # an answer of the feed comes so much later than on a good day
GRACE_S = 0.25 + 0.05  # `contract.stop_sending_within`, and 50 ms
TOLD_AT_THE_LATEST_S = 7.0  # as the pages count it for a feed that is silent
AFTER_S = 25.0


async def case(record: s.Record, temporary: Path) -> int:
    feed, callers = s.Feed(record), s.Callers(record)
    switches = [s.Switch(record, place, f"s-{place:08x}", 4.0) for place in range(SWITCHES)]
    await feed.start()
    for switch in switches:
        await switch.start()
    feed.publish([switch.row() for switch in switches], whole=True)
    proxy = s.Proxy(record, temporary, feed, callers, s.settings(SWITCHES))
    try:
        await proxy.start()
        caller = await callers.connect()
        if s.TROUBLE:
            feed.slow_s = SLOW_S
            record(f"the feed answers {SLOW_S} s late from now on")
        draining, calls = switches[1], []
        begun, published = record.since, 0.0
        while not published or record.since < published + AFTER_S:
            calls.append(callers.invite(caller, 1 + len(calls) % 4))
            await asyncio.sleep(0.1)
            if not published and record.since > begun + 2.0:
                feed.publish([draining.row("leaving")])
                published = record.since
        await asyncio.sleep(1.0)
        if not proxy.alive():
            raise s.NotRunError("the proxy has ended")
        if not any(at < published for at, _ in draining.set_ups):
            raise s.NotRunError("nothing was sent to the switch before it drained")
        limit = published + (TOLD_AT_THE_LATEST_S if s.TROUBLE else 0.0) + GRACE_S
        late = [(at, call) for at, call in draining.set_ups if at > limit]
        for at, call in late:
            record(f"BROKEN {call:016x} sent to {draining.id} {at - published:.3f} s after its drain")
        last = max((at for at, _ in draining.set_ups), default=0.0) - published
        allowed = limit - published
        record.say(f"{len(late)} set-ups to it after the limit of {allowed:.2f} s, the last at {last:.2f} s")
        return s.BROKEN if late else s.HELD
    finally:
        await proxy.stop()
        for switch in switches:
            switch.close()
