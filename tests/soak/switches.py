"""Stand-ins for switches: they take set-ups, let calls stand, and fail in the ways of `SwitchFault`."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from random import Random
from time import monotonic

from dapplehinge.isup import codec as isup
from tests.soak.plan import SwitchFault
from tests.soak.records import Attempt, AttemptEnd

LATENCY_S = (0.006, 0.05)
SLOW_LATENCY_S = (0.3, 2.0)
FAULT_SHARE = 0.5  # of the set-ups that a fault of single answers touches
PIECE_GAP_S = 0.01
EARLY_CLOSE_S = 0.2

SetUpForm = tuple[str, str, bytes]  # class, number, description
"""What of a set-up passes on unchanged."""


class SwitchLink(asyncio.Protocol):
    """One connection from the proxy."""

    def __init__(self, switch: Switch) -> None:
        self.switch = switch
        self.reader = isup.Reader()
        self.trying: dict[int, Attempt] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.switch.links.append(self)
        if SwitchFault.CLOSES in self.switch.faults:
            asyncio.get_running_loop().call_later(EARLY_CLOSE_S, transport.close)
        if not self.switch.quiet:
            self.send(self.switch.group_state())
            for call in list(self.switch.unheard_releases):
                self.send(isup.release(call, isup.Cause.NORMAL))
            self.switch.unheard_releases.clear()

    def data_received(self, data: bytes) -> None:
        if SwitchFault.VANISHED in self.switch.faults:
            return
        messages, fault = self.reader.feed(data)
        for message in messages:
            self.switch.take(self, message)
        if fault is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        now = monotonic()
        if self in self.switch.links:
            self.switch.links.remove(self)
        for attempt in list(self.trying.values()):
            self.end(attempt, now, AttemptEnd.LINK_CLOSED)

    def end(self, attempt: Attempt, now: float, end: AttemptEnd) -> None:
        self.trying.pop(attempt.call, None)
        if attempt.ended_at is None:
            attempt.ended_at, attempt.end = now, end

    def send(self, data: bytes) -> None:
        if self.transport.is_closing():
            return
        if SwitchFault.PIECES not in self.switch.faults and not self.switch.writing_pieces:
            self.transport.write(data)
            return
        self.switch.pieces.append((self, data))
        self.switch.write_pieces()


class Switch:
    """`expected`: the form of each set-up that callers sent, by its id."""

    def __init__(
        self,
        name: str,
        place: int,
        zone: str,
        hold_s: float,
        random: Random,
        attempts: list[Attempt],
        expected: Callable[[int], SetUpForm | None],
    ) -> None:
        self.name, self.place, self.zone = name, place, zone
        self.hold_s = hold_s
        self.random = random
        self.attempts = attempts
        self.expected = expected
        self.circuits = random.randint(20, 60)
        self.faults: set[SwitchFault] = set()
        self.links: list[SwitchLink] = []
        self.standing: dict[int, SwitchLink] = {}
        self.unheard_releases: list[int] = []
        self.pieces: list[tuple[SwitchLink, bytes]] = []
        self.writing_pieces = False
        self._plugs: list[socket.socket] = []
        self.port = 0

    @property
    def quiet(self) -> bool:
        return bool(self.faults & {SwitchFault.HANG, SwitchFault.VANISHED})

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: SwitchLink(self), "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def die(self) -> None:
        """The process has ended: its connections are reset, its calls are cut."""
        self.server.close()
        self.standing.clear()
        for link in list(self.links):
            for attempt in list(link.trying.values()):
                link.end(attempt, monotonic(), AttemptEnd.RESET)
            link.transport.abort()

    def vanish(self) -> None:
        """New connections never come up: the backlog of one is full."""
        self.server.close()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", self.port))
        listener.listen(0)
        self._plugs = [listener]
        for _ in range(2):
            plug = socket.socket()
            plug.setblocking(False)
            plug.connect_ex(("127.0.0.1", self.port))
            self._plugs.append(plug)

    async def come_back(self) -> None:
        """From having vanished: a machine that was cut off, its old connections reset."""
        for plug in self._plugs:
            plug.close()
        self._plugs.clear()
        for link in list(self.links):
            for attempt in list(link.trying.values()):
                link.end(attempt, monotonic(), AttemptEnd.RESET)
            link.transport.abort()
        await self.start()

    def close(self) -> None:
        self.server.close()
        for plug in self._plugs:
            plug.close()
        for link in list(self.links):
            link.transport.abort()

    def group_state(self) -> bytes:
        free = 0 if SwitchFault.FULL in self.faults else max(0, self.circuits - len(self.standing))
        report = {isup.Code.REPORT: b"x0:%d;x1:%d" % (free, self.circuits)}
        return isup.encode(isup.Message(isup.Type.CQR, 0, report))

    def write_pieces(self) -> None:
        if self.writing_pieces or not self.pieces:
            return
        self.writing_pieces = True
        link, data = self.pieces.pop(0)
        cut = self.random.randint(1, max(1, len(data) - 1))
        link.transport.write(data[:cut])
        asyncio.get_running_loop().call_later(PIECE_GAP_S, self._write_rest, link, data[cut:])

    def _write_rest(self, link: SwitchLink, rest: bytes) -> None:
        link.transport.write(rest)
        self.writing_pieces = False
        self.write_pieces()

    # What the proxy says

    def take(self, link: SwitchLink, message: isup.Message) -> None:
        now = monotonic()
        match message.type:
            case isup.Type.IAM:
                self._set_up(link, message, now)
            case isup.Type.REL:
                self.standing.pop(message.call, None)
                attempt = link.trying.get(message.call)
                if attempt is not None:
                    link.end(attempt, now, AttemptEnd.GIVEN_UP)

    def _set_up(self, link: SwitchLink, message: isup.Message, now: float) -> None:
        form = (
            message.text(isup.Code.CLASS) or "",
            message.text(isup.Code.NUMBER) or "",
            message.parameters[isup.Code.DESCRIPTION],
        )
        attempt = Attempt(message.call, self.name, self.place, now, self.expected(message.call) == form)
        self.attempts.append(attempt)
        link.trying[message.call] = attempt
        if self.quiet:
            return
        if SwitchFault.RESETS in self.faults and self.random.random() < FAULT_SHARE:
            for each in list(link.trying.values()):
                link.end(each, now, AttemptEnd.RESET)
            link.transport.abort()
            return
        span = SLOW_LATENCY_S if SwitchFault.SLOW in self.faults else LATENCY_S
        delay = self.random.uniform(*span)
        asyncio.get_running_loop().call_later(delay, self._reply, link, attempt)

    def _reply(self, link: SwitchLink, attempt: Attempt) -> None:
        if attempt.ended_at is not None or link.transport.is_closing() or self.quiet:
            return
        touched = self.random.random() < FAULT_SHARE
        if SwitchFault.FULL in self.faults or len(self.standing) >= self.circuits:
            self._refuse(link, attempt, isup.Cause.NO_CIRCUIT, b"congestion", AttemptEnd.REFUSED)
        elif SwitchFault.ERRORS in self.faults and touched:
            self._refuse(link, attempt, isup.Cause.RESOURCE_UNAVAILABLE, b"", AttemptEnd.FAILED)
        elif SwitchFault.ANSWERS_LOST in self.faults and touched:
            return
        elif SwitchFault.SPOILT in self.faults and touched:
            for each in list(link.trying.values()):
                link.end(each, monotonic(), AttemptEnd.RESET)
            link.transport.write(b"\xff\xff\x09 an answer that can't be read")
        else:
            self._answer(link, attempt)

    def _refuse(
        self, link: SwitchLink, attempt: Attempt, cause: int, note: bytes, end: AttemptEnd
    ) -> None:
        link.end(attempt, monotonic(), end)
        told = {isup.Code.CAUSE: bytes([cause]), isup.Code.NOTE: note}
        link.send(isup.encode(isup.Message(isup.Type.REL, attempt.call, told)))

    def _answer(self, link: SwitchLink, attempt: Attempt) -> None:
        attempt.answer = b"%016x at %s" % (attempt.call, self.name.encode())
        link.end(attempt, monotonic(), AttemptEnd.ANSWERED)
        self.standing[attempt.call] = link
        told = isup.encode(
            isup.Message(isup.Type.ANM, attempt.call, {isup.Code.DESCRIPTION: attempt.answer})
        )
        link.send(self.group_state())
        link.send(told)
        if SwitchFault.SECOND_ANSWERS in self.faults:
            asyncio.get_running_loop().call_later(0.004, link.send, told)
        asyncio.get_running_loop().call_later(self.hold_s, self._release, attempt.call)

    def _release(self, call: int) -> None:
        link = self.standing.pop(call, None)
        if link is None or self.quiet:
            return
        if link.transport.is_closing():
            if not self.links:
                self.unheard_releases.append(call)
                return
            link = self.links[0]
        link.send(isup.release(call, isup.Cause.NORMAL))
        link.send(self.group_state())
