"""`python -m tests.pressure.clients KIND PORT CONNECTIONS SPAN_S`: bad clients, in a process of their own.

They send as fast as they are read, read whatever they are sent, and come again when they are closed.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
from collections.abc import Callable, Iterator
from enum import Enum
from random import Random
from time import monotonic

MOST_BYTES = 16 * 1024
LINES_AT_ONCE = 50
HANGING_PLACE, SOUND_PLACE = 1, 2
STANDS = "a1"


class Kind(Enum):
    """What a bad client does; the first group on many connections, the second on one at full speed."""

    HALF = "half"  # stops half way in a set-up of 16 KiB
    SLOW = "slow"  # writes such set-ups a little at a time
    SHORT_FIELDS = "short-fields"  # stops in a head of very many short fields
    MANY_SHORT_FIELDS = "many-short-fields"  # whole set-ups whose head has as many as are allowed, and a body
    WHOLE = "whole"  # four whole set-ups of 16 KiB that stay open
    SMALL_OPEN = "small-open"  # hundreds of small set-ups that stay open
    NOT_READING = "not-reading"  # ask for much, and read nothing
    MANY_UNSOUND = "many-unsound"  # unsound set-ups on many connections at full speed
    MANY_SOUND = "many-sound"  # set-ups that make sense, the same way

    OPTIONS = "options"
    UNKNOWN_TENANTS = "unknown-tenants"
    UNKNOWN_EXCHANGES = "unknown-exchanges"
    UNKNOWN_METHODS = "unknown-methods"
    ANSWERS_TO_NOTHING = "answers-to-nothing"
    WITHDRAWN = "withdrawn"  # set-up and cancel at once
    STANDING = "standing"  # calls that stand, under ever new ids
    AT_UNKNOWN = "at-unknown"  # calls that stand at ever new switches that are not on the list
    AT_KNOWN = "at-known"  # calls that no switch knows
    RELEASES = "releases"  # of calls that are not there
    CANCELS = "cancels"
    NOISE = "noise"
    SAME_ID = "same-id"
    LARGE = "large"  # set-ups of 16 KiB
    EMPTY_LINES = "empty-lines"
    LARGE_ECHO = "large-echo"  # refused set-ups whose answers repeat 15 KiB

    @property
    def is_one_connection(self) -> bool:
        kinds = list(Kind)
        return kinds.index(self) >= kinds.index(Kind.OPTIONS)


def message(method: str, call: int, head: str = "", body: bytes = b"", number: str = STANDS) -> bytes:
    user = f"{call:016x}"[:14] + number
    return (
        f"{method} sip:{user}@net SIP/2.0\r\nVia: SIP/2.0/TCP bad\r\nCall-ID: {call:016x}\r\n"
        f"CSeq: 1 {method}\r\n{head}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def set_up(
    call: int,
    place: int = SOUND_PLACE,
    body: bytes = b"",
    number: str = STANDS,
    tenant: str = "acme",
    path: str = "",
    extra: str = "",
) -> bytes:
    head = f"P-Kind: voice\r\nP-Time-Left: 1500\r\nP-Billed: {tenant}\r\n"
    head += f"P-Path: dest:{place};width:1;via:-1{path}\r\n{extra}"
    return message("INVITE", call, head, body, number)


def filled(call: int, place: int, **fields: str) -> bytes:
    """A set-up of just under 16 KiB."""
    room = MOST_BYTES - len(set_up(call, place, **fields)) - 8
    return set_up(call, place, body=b"x" * room, **fields)


def one_of(kind: Kind, random: Random, switch: str) -> bytes:
    call = random.getrandbits(63) | 1
    match kind:
        case Kind.OPTIONS:
            return message("OPTIONS", call)
        case Kind.UNKNOWN_TENANTS:
            return set_up(call, tenant=f"t{call:x}")
        case Kind.UNKNOWN_EXCHANGES:
            return set_up(call, place=random.randrange(100, 65_536))
        case Kind.UNKNOWN_METHODS:
            return message(random.choice(("PUBLISH", "MESSAGE", "UPDATE")), call)
        case Kind.ANSWERS_TO_NOTHING:
            ids = f"Call-ID: {call:016x}\r\nCSeq: 1 BYE\r\n"
            return f"SIP/2.0 200 OK\r\nVia: x\r\n{ids}Content-Length: 0\r\n\r\n".encode()
        case Kind.WITHDRAWN:
            return set_up(call) + message("CANCEL", call)
        case Kind.STANDING:
            return set_up(call)
        case Kind.AT_UNKNOWN:
            return set_up(call, path=f";at:s-{call:x}")
        case Kind.AT_KNOWN:
            return set_up(call, path=f";at:{switch}")
        case Kind.RELEASES:
            return message("BYE", call)
        case Kind.CANCELS:
            return message("CANCEL", call)
        case Kind.NOISE:
            return b"\x16\x03\x01\x02\x00" * 40
        case Kind.SAME_ID:
            return set_up(0x7777, place=HANGING_PLACE)
        case Kind.LARGE:
            return filled(call, SOUND_PLACE)
        case Kind.EMPTY_LINES:
            return b"\r\n" * 500
        case Kind.LARGE_ECHO:
            return set_up(call, tenant="none", extra="".join(f"Via: {'v' * 1000}\r\n" for _ in range(15)))
    raise ValueError(kind)


def opening(kind: Kind, random: Random) -> Iterator[tuple[bytes, float]]:
    """What one of many connections sends: pieces, and the pause (s) after each."""
    call = random.getrandbits(63) | 1
    match kind:
        case Kind.HALF:
            yield filled(call, HANGING_PLACE)[: MOST_BYTES // 2], 60.0
        case Kind.SLOW:
            whole = filled(call, HANGING_PLACE)
            for start in range(0, len(whole), 256):
                yield whole[start : start + 256], 0.02
            yield b"", 60.0
        case Kind.SHORT_FIELDS:
            yield message("INVITE", call)[:100].rpartition(b"\r\n")[0] + b"\r\na:b" * 3000, 60.0
        case Kind.MANY_SHORT_FIELDS:
            extra = "".join(f"h{field}:{field}\r\n" for field in range(85))
            yield filled(call, HANGING_PLACE, extra=extra)[:-100], 60.0
        case Kind.WHOLE:
            for _ in range(4):
                yield filled(random.getrandbits(63) | 1, HANGING_PLACE), 0.0
            yield b"", 60.0
        case Kind.NOT_READING:
            for _ in range(3000):
                yield message("OPTIONS", call) * LINES_AT_ONCE, 0.0
            yield b"", 60.0
        case Kind.MANY_UNSOUND:
            for _ in range(100_000):
                yield b"".join(one_of(Kind.UNKNOWN_TENANTS, random, "") for _ in range(LINES_AT_ONCE)), 0.001
        case Kind.MANY_SOUND:
            for _ in range(100_000):
                yield b"".join(one_of(Kind.STANDING, random, "") for _ in range(LINES_AT_ONCE)), 0.001
        case Kind.SMALL_OPEN:
            for _ in range(200):
                yield set_up(random.getrandbits(63) | 1, HANGING_PLACE), 0.0
            yield b"", 60.0


class Clients:
    def __init__(self, kind: Kind, port: int, switch: str) -> None:
        self.kind, self.port, self.switch = kind, port, switch
        self.sent = 0
        self.connections = 0

    async def one(self, number: int, act: Callable[[asyncio.StreamWriter, Random], object]) -> None:
        random = Random(number)
        while True:
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                self.connections += 1
                reading = asyncio.ensure_future(drain(reader, self.kind is not Kind.NOT_READING))
                acting = asyncio.ensure_future(act(writer, random))  # type: ignore[arg-type]
                await asyncio.wait((reading, acting), return_when=asyncio.FIRST_COMPLETED)
                for task in (reading, acting):
                    task.cancel()
                    with contextlib.suppress(OSError, asyncio.CancelledError):
                        await task
                writer.close()
            await asyncio.sleep(0.1)

    async def flood(self, writer: asyncio.StreamWriter, random: Random) -> None:
        while True:
            writer.write(b"".join(one_of(self.kind, random, self.switch) for _ in range(LINES_AT_ONCE)))
            await writer.drain()
            self.sent += LINES_AT_ONCE
            await asyncio.sleep(0)

    async def open(self, writer: asyncio.StreamWriter, random: Random) -> None:
        for data, pause_s in opening(self.kind, random):
            if data:
                writer.write(data)
                await writer.drain()
                self.sent += 1
            if pause_s:
                await asyncio.sleep(pause_s)


async def drain(reader: asyncio.StreamReader, reads: bool) -> None:
    while not reads:
        await asyncio.sleep(60.0)
    while await reader.read(1 << 16):
        pass


async def run(kind: Kind, port: int, connections: int, span_s: float, switch: str) -> None:
    clients = Clients(kind, port, switch)
    act = clients.flood if kind.is_one_connection else clients.open
    begun = monotonic()
    tasks = [asyncio.ensure_future(clients.one(number, act)) for number in range(connections)]
    await asyncio.sleep(span_s)
    for task in tasks:
        task.cancel()
    print(f"{clients.sent} sent on {clients.connections} connections in {monotonic() - begun:.1f} s")
    sys.stdout.flush()
    os._exit(0)  # hundreds of connections, at once


if __name__ == "__main__":
    asyncio.run(run(Kind(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4]), sys.argv[5]))
