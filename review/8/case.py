"""A client's 481 to the release of a call that is not his keeps it from the caller that it is owed to."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from time import monotonic

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from kit2 import Caller, Stage, play, set_up_fields, sip  # noqa: E402

IDLE_CLOSE_S = 4.0  # PROTOCOL: after 4 s callers close a connection that carries no call
AWAY_S = 2.0
WATCH_S = 15.0


class BadClient(Caller):
    """Names a call that no switch knows, reads whatever it is sent, and knows none of the others' calls."""

    def take(self, message: sip.Message) -> None:
        self.stage.record.note(f"bad client: got {message.method} {message.status or ''} {message.call_id}")
        if message.method == "BYE" and not message.status:
            self.stage.record.note("bad client: 481, no such call")
            self.transport.write(sip.response(481, message.echo()))


async def case(stage: Stage) -> list[str]:
    switch = stage.switches[0]
    caller = await Caller(stage).open()
    call = await stage.stands(caller)
    await asyncio.sleep(IDLE_CLOSE_S)
    caller.close()
    if stage.trouble:
        bad = await BadClient(stage).open()
        fields = set_up_fields("dest:1;width:1;via:-1;at:s-1", 9000)
        bad.say("INVITE", 0xBAD, "00000000000000b1", fields, b"nothing")
        stage.record.note("bad client: INVITE with `at` and an id that no switch knows")
    await asyncio.sleep(0.5)
    switch.release(call)
    await asyncio.sleep(AWAY_S)
    back = await Caller(stage).open()
    await stage.stands(back)
    came = monotonic()
    end = came + WATCH_S
    while monotonic() < end and call not in stage.front.byes:
        await asyncio.sleep(0.1)
    heard = stage.front.byes.get(call)
    if heard:
        stage.record.say(f"call {call:016x}: released {heard[0] - came:+.2f} s from its caller's return")
        return []
    ago = monotonic() - switch.released[call]
    return [f"call {call:016x}: ended by its switch {ago:.1f} s ago, its caller was never told"]


play(__file__, case)
