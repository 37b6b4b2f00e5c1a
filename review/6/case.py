"""A head full of blanks stops the whole proxy for seconds: a drained switch goes on getting set-ups."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from pathlib import Path
from time import monotonic

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from kit2 import SLACK_S, Caller, Stage, play  # noqa: E402

BAD_CONNECTIONS = 4
BAD_S = 15.0
GRACE_S = 0.25
CALL_EVERY_S = 0.1
HOLD_S = 1.0
WATCH_S = 45.0
WAIT_S = 9.0  # of a caller
BLANKS = 15_900
UNREADABLE = (
    b"INVITE sip:00000000000000a1@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 00000000000000b1\r\n"
    b"CSeq: 1 INVITE\r\nSubject: " + b" " * BLANKS + b"\x01\r\nContent-Length: 0\r\n\r\n"
)
assert len(UNREADABLE) < 16 * 1024


async def bad_client(stage: Stage, number: int, until: float) -> None:
    """Sends what can't be read, reads what it is sent, and sends the same again once it is turned away."""
    while monotonic() < until:
        opened = monotonic()
        reader, writer = await asyncio.open_connection(*stage.listen)
        writer.write(UNREADABLE)
        stage.record.note(f"bad client {number}: connected, {len(UNREADABLE)} bytes sent")
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(4096):
                first = data.partition(b"\r")[0]
                stage.record.note(f"bad client {number}: {first!r} after {monotonic() - opened:.1f} s")
        stage.record.note(f"bad client {number}: closed after {monotonic() - opened:.1f} s")
        writer.close()


async def usual_traffic(stage: Stage, callers: list[Caller], until: float) -> list[Caller]:
    """A call to exchange 1 every 100 ms, ended by its switch after a second. Gives all connections used."""
    loop = asyncio.get_running_loop()
    turn, used = 0, list(callers)
    while monotonic() < until:
        caller = callers[turn % len(callers)]
        if caller.closed:
            callers[turn % len(callers)] = caller = await Caller(stage).open()
            used.append(caller)
        call = stage.new_call()
        caller.invite(call, 1)
        loop.call_later(HOLD_S, stage.switches[0].release, call)
        turn += 1
        await asyncio.sleep(CALL_EVERY_S)
    return used


async def case(stage: Stage) -> list[str]:
    switch = stage.switches[0]
    callers = [await Caller(stage).open() for _ in range(4)]
    began = monotonic()
    traffic = asyncio.ensure_future(usual_traffic(stage, callers, began + WATCH_S - 5.0))
    await asyncio.sleep(3.0)
    bad = []
    if stage.trouble:
        until = monotonic() + BAD_S
        bad = [asyncio.ensure_future(bad_client(stage, each, until)) for each in range(BAD_CONNECTIONS)]
    await asyncio.sleep(0.3)
    told = stage.feed.publish(switch.row("leaving"))
    await asyncio.sleep(began + WATCH_S - monotonic())
    used = await traffic
    await asyncio.gather(*bad)
    limit = told + GRACE_S + SLACK_S
    late = [(at, call) for at, call in switch.set_ups if at > limit]
    report(stage, used)
    return [
        f"set-up {call:016x} reached {switch.name} {at - told:.2f} s after the feed told that it leaves"
        for at, call in late
    ]


def report(stage: Stage, used: list[Caller]) -> None:
    """What else was seen; the verdict does not depend on it."""
    answers, sent = stage.front.answers, stage.front.sent
    times = sorted(at for each in answers.values() for at, _, _ in each)
    longest = max((later - one for one, later in zip(times, times[1:], strict=False)), default=0.0)
    stage.record.say(
        f"{len(sent)} set-ups sent, {len(answers)} answered, longest time without any answer {longest:.2f} s"
    )
    # not the first on its connection, written over 50 ms before the proxy closed that, its time not up
    lost = [
        call
        for caller in used
        if caller.closed_at
        for call in caller.sent[1:]
        if call not in answers and sent[call] + SLACK_S < caller.closed_at < sent[call] + WAIT_S
    ]
    stage.record.say(f"{len(lost)} set-ups lost with a connection that the proxy closed")


play(__file__, case)
