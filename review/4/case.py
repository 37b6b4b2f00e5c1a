"""Callers close a resting connection and come on another: are they told that their call is over?"""

from __future__ import annotations

import asyncio
from pathlib import Path

import standins as s

SWITCHES = 5
IDLE_S = 4.0  # "after 4 s they close a connection that carries no call"
HOLD_S = 10.0  # "lasting 10 to 13 s on average"
LIMIT_S = 1.0 + 0.05
ENGAGED = 2


async def case(record: s.Record, temporary: Path) -> int:
    feed, callers = s.Feed(record), s.Callers(record)
    switches = [s.Switch(record, place, f"s-{place:08x}", HOLD_S) for place in range(SWITCHES)]
    switches[ENGAGED].refuse = lambda parameters: (17, b"engaged")
    await feed.start()
    for switch in switches:
        await switch.start()
    feed.publish([switch.row() for switch in switches], whole=True)
    proxy = s.Proxy(record, temporary, feed, callers, s.settings(SWITCHES))
    try:
        await proxy.start()
        first = await callers.connect()
        calls = {callers.invite(first, place): switches[place] for place in (1, 3, 4)}
        await asyncio.sleep(IDLE_S)
        if any(callers.status(call) != 200 for call in calls):
            raise s.NotRunError("not every call stood")
        if s.TROUBLE:
            first.close()
        second = await callers.connect()
        for _ in range(int(HOLD_S - IDLE_S) + 12):  # callers go on, to numbers that are engaged
            if second.ended:
                second = await callers.connect()
            callers.invite(second, ENGAGED)
            await asyncio.sleep(1.0)
        if not proxy.alive() or any(call not in switch.over for call, switch in calls.items()):
            raise s.NotRunError("the proxy has ended, or a call has not")
        late = []
        for call, switch in calls.items():
            over, heard = switch.over[call], callers.byes.get(call)
            if heard is None or heard - over > LIMIT_S:
                late.append(call)
                when = f"after {heard - over:.3f} s" if heard is not None else "never"
                record(f"BROKEN {call:016x} released by {switch.id} at {over:.3f}, told to callers {when}")
        record.say(f"{len(calls)} calls were released by switches; {len(late)} not told to callers in time")
        return s.BROKEN if late else s.HELD
    finally:
        await proxy.stop()
        for switch in switches:
            switch.close()
