"""A switch leaves the list with a set-up of an at-most-once class open: the set-up goes out a second time."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from time import time

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from kit2 import SETTINGS, Caller, Stage, Switch, play  # noqa: E402

SLOW_S = 1.2  # in which the old switch would answer
CALLS = 6
CALL_EVERY_S = 0.01
USUAL_CALLS, USUAL_EVERY_S = 30, 0.05  # before, to the other exchanges
DRAINS_S = 0.6
WATCH_S = 10.0

SETTINGS["lanes"][0]["repeat"] = "at_most_once"  # WIRE, 8: lanes[].repeat


async def case(stage: Stage) -> list[str]:
    old = stage.switches[0]
    new = Switch(stage.record, old.place, "s-1-new")
    await new.start()
    stage.switches.append(new)
    caller = await Caller(stage).open()
    for turn in range(USUAL_CALLS):
        call = stage.new_call()
        caller.invite(call, 2 + turn % 2)
        asyncio.get_running_loop().call_later(2.0, stage.switches[1 + turn % 2].release, call)
        await asyncio.sleep(USUAL_EVERY_S)
    old.answer_s = SLOW_S
    calls = []
    for _ in range(CALLS):
        calls.append(stage.new_call())
        caller.invite(calls[-1], old.place)
        await asyncio.sleep(CALL_EVERY_S)
    await asyncio.sleep(0.2)
    if stage.trouble:
        stage.feed.publish(old.row("leaving"), new.row("active", int(time() * 1000)))
        await asyncio.sleep(DRAINS_S)
        old.note(f"{len(old.trying)} set-ups are open as it leaves the list")
        stage.feed.publish(old.row("left"))
    await asyncio.sleep(WATCH_S)
    broken = []
    for call in calls:
        ran = [switch.name for switch in stage.switches for _, each in switch.set_ups if each == call]
        answers = [status for _, status, _ in stage.front.answers.get(call, [])]
        stage.record.say(f"call {call:016x}: set-ups reached {ran}, answered {answers}")
        if len(ran) > 1:
            broken.append(f"call {call:016x}: sent again to {ran[1]}, after {ran[0]} may have run it")
        elif old.name in ran and set(answers) & {480, 503}:
            broken.append(f"call {call:016x}: refused as never run, after {ran[0]} may have run it")
    return broken


play(__file__, case)
