"""A switch's process dies and starts again; its group is in use from the other end: calls stand for ever."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from time import monotonic

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from kit2 import SLACK_S, Caller, Stage, play  # noqa: E402

CALLS = 4
DOWN_S = 0.5  # discovery takes 0.95 s at least to notice (notice_s)
BOUND_S = 8.0
WATCH_S = 25.0
FOREIGN = 1  # circuits that a call from the group's other end has taken before the proxy's link is up


async def case(stage: Stage) -> list[str]:
    switch = stage.switches[0]
    caller = await Caller(stage).open()
    calls = [await stage.stands(caller) for _ in range(CALLS)]
    await asyncio.sleep(3.0)
    ended = monotonic()
    if stage.trouble:
        switch.die()
        await asyncio.sleep(DOWN_S)
        await switch.start()
        switch.foreign = FOREIGN
        switch.note("its process is there again")
    else:
        for call in calls:
            switch.release(call)
    begun = monotonic()
    while monotonic() - begun < WATCH_S:  # usual traffic goes on
        if caller.closed:
            caller = await Caller(stage).open()
        call = stage.new_call()
        caller.invite(call, 1)
        asyncio.get_running_loop().call_later(2.0, switch.release, call)
        await asyncio.sleep(0.5)
    broken = []
    for call in calls:
        heard = stage.front.byes.get(call)
        if not heard:
            broken.append(f"call {call:016x}: cut {monotonic() - ended:.1f} s ago, its caller was never told")
        elif heard[0] - ended > BOUND_S + SLACK_S:
            broken.append(f"call {call:016x}: cut, released to its caller {heard[0] - ended:.1f} s later")
        else:
            stage.record.say(f"call {call:016x}: released {heard[0] - ended:.2f} s after its end")
    return broken


play(__file__, case)
