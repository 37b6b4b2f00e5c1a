"""A bad client's flood of set-ups with `at` pushes out the releases that are owed to usual callers."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from time import monotonic

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from kit2 import SLACK_S, Caller, Stage, play, request, set_up_fields  # noqa: E402

IDLE_CLOSE_S = 4.0  # PROTOCOL: after 4 s callers close a connection that carries no call
CALLS = 3
SET_UPS = 6000
AT_ONCE = 200
BAD_S = 20.0
WATCH_S = 12.0


async def bad_client(stage: Stage) -> None:
    """Names calls that no switch knows, at full speed, and reads whatever it is sent."""
    reader, writer = await asyncio.open_connection(*stage.listen)
    fields = set_up_fields("dest:1;width:1;via:-1;at:s-none", 9000)
    got, end = 0, monotonic() + BAD_S
    sent = 0
    while got < SET_UPS and monotonic() < end:
        while sent < SET_UPS and sent - got < AT_ONCE:
            sent += 1
            writer.write(request("INVITE", 0xBAD << 40 | sent, "00000000000000b1", fields, b"nothing"))
        data = await asyncio.wait_for(reader.read(65536), BAD_S)
        if not data:
            break
        got += data.count(b"BYE sip:")
    stage.record.note(f"bad client: {sent} set-ups with `at` sent, {got} of them released")
    writer.close()


async def case(stage: Stage) -> list[str]:
    switch = stage.switches[0]
    caller = await Caller(stage).open()
    calls = [await stage.stands(caller) for _ in range(CALLS)]
    await asyncio.sleep(IDLE_CLOSE_S)
    caller.close()
    await asyncio.sleep(0.5)
    for call in calls:
        switch.release(call)
    await asyncio.sleep(0.5)
    if stage.trouble:
        await bad_client(stage)
    else:
        await asyncio.sleep(3.0)
    back = await Caller(stage).open()
    await stage.stands(back)
    came = monotonic()
    await asyncio.sleep(WATCH_S)
    broken = []
    for call in calls:
        heard = stage.front.byes.get(call)
        if not heard:
            ago = monotonic() - switch.released[call]
            broken.append(f"call {call:016x}: ended by its switch {ago:.1f} s ago, its caller was never told")
        else:
            stage.record.say(f"call {call:016x}: released {heard[0] - came:+.2f} s from the caller's return")
    stage.record.note(f"bound: 1 s and {SLACK_S} s from when a caller is there; watched for {WATCH_S} s")
    return broken


play(__file__, case)
