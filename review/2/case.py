"""A bad client names calls that no switch knows: does the proxy stay inside its memory limit?"""

from __future__ import annotations

import asyncio
import contextlib
import random
from pathlib import Path

import standins as s

SWITCHES = 5
MEMORY_MB = 192  # "The limits on scored days are at most 192 MB"
BAD_S = 95.0
TOGETHER = 100


def set_ups(draw: random.Random, switch: str) -> bytes:
    """Set-ups that carry `at`, under ids that no switch knows."""
    messages = []
    for _ in range(TOGETHER):
        number, call = draw.getrandbits(64), draw.getrandbits(64)
        messages.append(
            f"INVITE sip:{number:016x}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call:016x}\r\n"
            f"CSeq: 1 INVITE\r\nP-Kind: voice\r\nP-Time-Left: 1500\r\nP-Billed: acme\r\n"
            f"P-Path: dest:1;width:1;via:-1;at:{switch}\r\nContent-Length: 0\r\n\r\n"
        )
    return "".join(messages).encode()


async def bad_client(record: s.Record, port: int, switch: str) -> None:
    """Sends at full speed, and reads whatever it is sent."""
    draw, sent = random.Random(2), 0
    record("bad client comes")
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            reading = asyncio.ensure_future(reader.read(1 << 30))
            try:
                while not reading.done():
                    writer.write(set_ups(draw, switch))
                    await asyncio.wait_for(writer.drain(), 10.0)
                    sent += TOGETHER
                    if sent % 50_000 == 0:
                        record(f"bad client has sent {sent} set-ups")
                    await asyncio.sleep(0)
            except TimeoutError:
                record("bad client is no longer read")
            finally:
                reading.cancel()
                writer.close()
        await asyncio.sleep(0.2)


async def case(record: s.Record, temporary: Path) -> int:
    feed, callers = s.Feed(record), s.Callers(record)
    switches = [s.Switch(record, place, f"s-{place:08x}", 2.0) for place in range(SWITCHES)]
    await feed.start()
    for switch in switches:
        await switch.start()
    feed.publish([switch.row() for switch in switches], whole=True)
    proxy = s.Proxy(record, temporary, feed, callers, s.settings(SWITCHES), memory_mb=MEMORY_MB)
    bad = None
    try:
        await proxy.start()
        caller = await callers.connect()
        first = most = proxy.memory()
        if s.TROUBLE:
            bad = asyncio.ensure_future(bad_client(record, proxy.port, switches[1].id))
        begun, calls = record.since, 0
        while record.since < begun + BAD_S and most <= MEMORY_MB:
            if caller.ended:
                caller = await callers.connect()
            callers.invite(caller, 1 + calls % 4)
            calls += 1
            await asyncio.sleep(0.2)
            if not proxy.alive():
                raise s.NotRunError("the proxy has ended")
            most = max(most, proxy.memory())
            if calls % 5 == 0:
                record(f"proxy holds {proxy.memory():.1f} MB")
        over = most > MEMORY_MB
        if over:
            record(f"BROKEN the proxy holds {most:.1f} MB, over {MEMORY_MB} MB it is killed")
        took = f"in {record.since - begun:.0f} s, {calls} set-ups of usual callers"
        record.say(f"{first:.1f} MB at the start, {most:.1f} MB at the most, {MEMORY_MB} allowed; {took}")
        return s.BROKEN if over else s.HELD
    finally:
        if bad is not None:
            bad.cancel()
        await proxy.stop()
        for switch in switches:
            switch.close()
