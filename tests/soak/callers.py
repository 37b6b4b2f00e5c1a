"""Stand-ins for callers: usual ones, slow writers, impatient ones, crowds and bad clients."""

from __future__ import annotations

import asyncio
import contextlib
import select
from random import Random
from time import monotonic

from dapplehinge.sip import codec as sip
from tests.soak.judge import crossed_close
from tests.soak.plan import CallerMix, Deployment
from tests.soak.records import BadConnection, CallerKind, FinalAnswer, Records, SetUp
from tests.soak.switches import SetUpForm

MORE_ON_A_NEW_CONNECTION_S = 0.2  # after new connections have ended, where none is free
LITTLE_TIME_S = (0.02, 0.15)
LITTLE_TIME_SHARE = 0.05
ENGAGED_SHARE = 0.05
TRANSIT_SHARE = 0.05
PIECE_GAP_S = (0.002, 0.08)
WITHDRAWN_TOGETHER = 30
NOISE = (
    b"\x16\x03\x01\x02\x00" * 60,
    b"INVITE " + b"x" * 3000,
    b"INVITE sip:1@net SIP/2.0\r\nCSeq: 1 INVITE\r\nCall-ID: 1\r\nContent-Length: -1\r\n\r\n",
    b"INVITE sip:1@net SIP/2.0\r\nCall-",
    b"PUBLISH sip:1@net SIP/2.0\r\nCSeq: 1 PUBLISH\r\nCall-ID: 1\r\nContent-Length: 0\r\n\r\n",
    b"INVITE sip:1@net SIP/2.0\r\nCSeq: 1 INVITE\r\nCall-ID: 1\r\nContent-Length: 60000000\r\n\r\n",
    b"",
)


class CallerConnection(asyncio.Protocol):
    def __init__(self, callers: Callers) -> None:
        self.callers = callers
        callers.connections_made += 1
        self.number = callers.connections_made
        self.reader = sip.Reader()
        self.open: dict[int, SetUp] = {}
        self.answered: dict[int, SetUp] = {}
        self.ended = False
        self.writing = False  # a slow writer is amid a message
        self.queued: list[bytes] = []  # what is sent after it
        self.tests: list[asyncio.Future[int]] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.poll = select.poll()
        self.poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)

    def usable(self) -> bool:
        """Not closed by the proxy, as far as the caller looks."""
        if self.ended or self.transport.is_closing():
            return False
        return not self.callers.mix.watchful or not self.poll.poll(0)

    def send(self, data: bytes) -> None:
        if self.writing:
            self.queued.append(data)
        elif not self.transport.is_closing():
            self.transport.write(data)

    def written(self) -> None:
        """The slow writer has ended its message."""
        self.writing = False
        queued, self.queued = self.queued, []
        for data in queued:
            self.send(data)

    def data_received(self, data: bytes) -> None:
        messages, fault = self.reader.feed(data)
        for message in messages:
            self._take(message)
        if fault is not None:
            for set_up in self.open.values():
                set_up.unreadable = True
            self.transport.abort()

    def _take(self, message: sip.Message) -> None:
        if message.method == "OPTIONS" and message.status:
            if self.tests:
                self.tests.pop(0).set_result(message.status)
        elif message.method == "BYE" and not message.status:
            self.send(sip.response(200, message.echo()))
        elif message.method == "INVITE" and message.status >= 200:
            call = int(message.call_id, 16)
            set_up = self.open.pop(call, None)
            if set_up is not None:
                self.answered[call] = set_up
            else:
                set_up = self.answered.get(call)
            if set_up is not None:
                set_up.answers.append(FinalAnswer(monotonic(), message.status, message.body))
                self.send(request("ACK", call, "1"))
                self.callers.on_answer(set_up, message.status)

    def eof_received(self) -> None:
        self._end()

    def connection_lost(self, error: Exception | None) -> None:
        self._end()

    def _end(self) -> None:
        if self.ended:
            return
        self.ended = True
        self.callers.connections.discard(self)
        now = monotonic()
        for test in self.tests:
            test.set_result(0)
        unanswered = [each for each in self.open.values() if each.given_up_at is None]
        for set_up in unanswered:
            set_up.connection_ended_at = now
            set_up.observer_lag_s = self.callers.records.lag_since(set_up.written_at or now, now)
        for set_up in unanswered:
            if set_up.written_at is not None and crossed_close(set_up, unanswered):
                set_up.resent = True
                self.callers.send_again(set_up)

    def give_up(self) -> None:
        """The caller closes."""
        now = monotonic()
        for set_up in self.open.values():
            set_up.given_up_at = set_up.given_up_at or now
        self.transport.close()


class Callers:
    """All callers of a node at `address`."""

    def __init__(
        self,
        deployment: Deployment,
        mix: CallerMix,
        random: Random,
        records: Records,
        address: tuple[str, int],
    ) -> None:
        self.deployment, self.mix, self.random, self.records = deployment, mix, random, records
        self.address = address
        self.forms: dict[int, SetUpForm] = {}
        self.messages: dict[int, bytes] = {}
        self.connections: set[CallerConnection] = set()
        self.connections_made = 0
        self._connecting = 0
        self.sending = False
        self.sigterm_at: float | None = None
        self.arrivals_s = 0.0
        self.last_call = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def expected(self, call: int) -> SetUpForm | None:
        return self.forms.get(call)

    def spawn(self, work: asyncio.Future[None] | object) -> None:
        task = asyncio.ensure_future(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # What the front lets through

    def may_connect(self) -> bool:
        return self.sigterm_at is None or monotonic() < self.sigterm_at + self.arrivals_s

    def may_replace(self) -> bool:
        """A new connection where none is free."""
        until = self.arrivals_s + MORE_ON_A_NEW_CONNECTION_S
        return self.sigterm_at is None or monotonic() < self.sigterm_at + until

    async def connect(self) -> CallerConnection | None:
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(lambda: CallerConnection(self), *self.address)
        except OSError:
            return None
        self.connections.add(connection)
        return connection

    async def test(self) -> int:
        """The status of an OPTIONS on a connection of its own; 0: none."""
        connection = await self.connect()
        if connection is None:
            return 0
        self.connections.discard(connection)
        answer = asyncio.get_running_loop().create_future()
        connection.tests.append(answer)
        connection.transport.write(request("OPTIONS", 1, "ping"))
        with contextlib.suppress(asyncio.TimeoutError):
            status = await asyncio.wait_for(answer, 1.0)
            connection.transport.close()
            return int(status)
        connection.transport.close()
        return 0

    # Load

    async def load(self) -> None:
        """Set-ups at the drawn rate, while `sending`."""
        while True:
            await asyncio.sleep(self.random.expovariate(self.mix.rate_per_s))
            if self.sending:
                self.spawn(self.place())

    async def bad_load(self) -> None:
        while self.mix.bad_per_s:
            await asyncio.sleep(self.random.expovariate(self.mix.bad_per_s))
            if self.sending and self.may_connect():
                self.spawn(self._bad())

    def free(self) -> CallerConnection | None:
        usable = [
            each
            for each in self.connections
            if not each.writing and (self.mix.shared or not each.open) and each.usable()
        ]
        return self.random.choice(usable) if usable else None

    def has_room(self) -> bool:
        """Callers hold a third of the descriptors at most (protocol, Callers to signalling proxies)."""
        return len(self.connections) + self._connecting < self.deployment.sockets // 3

    async def place(self, again: bool = False) -> None:
        connection = self.free()
        wanted = len(self.connections) < self.mix.connections
        may_open = (wanted and self.may_connect()) or (connection is None and self.may_replace())
        if may_open and self.has_room():
            self._connecting += 1
            connection = await self.connect()
            self._connecting -= 1
        if connection is not None and connection.usable():
            await self.invite(connection, again)

    async def invite(self, connection: CallerConnection, again: bool = False) -> None:
        set_up = self._draw(connection.number, again)
        connection.open[set_up.id] = set_up
        message = self.messages[set_up.id]
        if set_up.kind is CallerKind.SLOW_WRITER:
            await self._write_slowly(connection, set_up, message)
        else:
            connection.transport.write(message)
            set_up.written_at = monotonic()
        if set_up.kind is CallerKind.IMPATIENT:
            await asyncio.sleep(self.random.uniform(0.0, 0.3))
            self._withdraw(connection, set_up)

    async def _write_slowly(self, connection: CallerConnection, set_up: SetUp, message: bytes) -> None:
        connection.writing = True
        pieces = self.random.randint(2, 6)
        size = len(message) // pieces + 1
        for start in range(0, len(message), size):
            if start:
                await asyncio.sleep(self.random.uniform(*PIECE_GAP_S))
            if not connection.usable():
                connection.open.pop(set_up.id, None)  # never sent whole
                break
            connection.transport.write(message[start : start + size])
        else:
            set_up.written_at = monotonic()
        connection.written()

    def _withdraw(self, connection: CallerConnection, set_up: SetUp) -> None:
        if set_up.answers or not connection.usable():
            return
        set_up.given_up_at = monotonic()
        if self.mix.shared or self.random.random() < 0.5:
            connection.send(request("CANCEL", set_up.id, "1"))
        else:
            connection.give_up()

    def on_answer(self, set_up: SetUp, status: int) -> None:
        if status >= 300 and self.sending and self.random.random() < self.mix.retry_at_once:
            self.spawn(self.place(again=True))

    def send_again(self, crossed: SetUp) -> None:
        self.spawn(self._send_again(crossed))

    async def _send_again(self, crossed: SetUp) -> None:
        connection = await self.connect()
        if connection is None:
            crossed.resend_refused = True
            return
        copy = SetUp(
            crossed.id, crossed.kind, connection.number, crossed.wait_s, crossed.destination, monotonic()
        )
        copy.resend_of = self.records.set_ups.index(crossed)
        self.records.set_ups.append(copy)
        connection.open[copy.id] = copy
        connection.transport.write(self.messages[copy.id])
        copy.written_at = monotonic()

    async def burst(self) -> None:
        await asyncio.gather(*(self.place() for _ in range(self.mix.burst)))

    async def crowd(self) -> None:
        """Connections that say nothing, within the third of the descriptors that callers hold."""
        room = self.deployment.sockets // 3 - len(self.connections) - 2 * self.mix.connections
        for _ in range(min(self.mix.crowd, max(0, room))):
            opened_at = monotonic()
            connection = await self.connect()
            if connection is not None:
                self.connections.discard(connection)
                self.spawn(self._await_close(connection, opened_at))

    async def _await_close(self, connection: CallerConnection, opened_at: float) -> None:
        bad = BadConnection(opened_at)
        self.records.bad_connections.append(bad)
        while not connection.ended and monotonic() - opened_at < 5.0:
            await asyncio.sleep(0.02)
        bad.answered_at = monotonic() if connection.ended else None
        connection.transport.close()

    async def _bad(self) -> None:
        if self.random.random() < 0.15:
            connection = await self.connect()
            if connection is not None:
                self.connections.discard(connection)
                await self._withdraw_many(connection)
            return
        opened_at = monotonic()
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return
        bad = BadConnection(opened_at)
        self.records.bad_connections.append(bad)
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            writer.write(self.random.choice(NOISE))
            await asyncio.wait_for(reader.read(100), 5.0)
            bad.answered_at = monotonic()
        if bad.answered_at is None and reader.exception() is not None:
            bad.answered_at = monotonic()
        writer.close()

    async def _withdraw_many(self, connection: CallerConnection) -> None:
        for _ in range(WITHDRAWN_TOGETHER):
            set_up = self._draw(connection.number, False)
            connection.open[set_up.id] = set_up
            cancel = request("CANCEL", set_up.id, "1")
            connection.transport.write(self.messages[set_up.id] + cancel)
            set_up.written_at = set_up.given_up_at = monotonic()
        await asyncio.sleep(1.0)
        connection.give_up()

    def _draw(self, connection: int, again: bool) -> SetUp:
        random, deployment = self.random, self.deployment
        self.last_call += 1
        call = random.getrandbits(40) << 24 | self.last_call
        kind = CallerKind.USUAL
        draw = random.random()
        if draw < self.mix.slow_writers:
            kind = CallerKind.SLOW_WRITER
        elif draw < self.mix.slow_writers + self.mix.impatient:
            kind = CallerKind.IMPATIENT
        chosen = random.choice(deployment.classes)
        wait_s = chosen.deadline_ms / 1000.0
        if random.random() < LITTLE_TIME_SHARE:
            wait_s = random.uniform(*LITTLE_TIME_S)
        destination = random.randrange(1, max(2, deployment.switches))
        number = f"{call:016x}"[:14] + ("e1" if random.random() < ENGAGED_SHARE else "a1")
        body = b"offer of %016x" % call + b"." * random.choice((0, 0, 200, 4000))
        transit = ";transit:1" if random.random() < TRANSIT_SHARE else ""
        head = {
            "P-Kind": chosen.name,
            "P-Time-Left": f"{wait_s * 1000:.0f}",
            "P-Path": f"dest:{destination};width:1;via:-1{transit}",
        }
        if deployment.tenants:
            head["P-Billed"] = random.choice(deployment.tenants)
        if again:
            head["P-Second-Try"] = "1"
        self.forms[call] = (chosen.name, number, body)
        self.messages[call] = request("INVITE", call, number, head, body)
        set_up = SetUp(call, kind, connection, wait_s, destination, monotonic())
        self.records.set_ups.append(set_up)
        return set_up


def request(
    method: str, call: int, number: str, head: dict[str, str] | None = None, body: bytes = b""
) -> bytes:
    lines = "".join(f"{name}: {value}\r\n" for name, value in (head or {}).items())
    return (
        f"{method} sip:{number}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call:016x}\r\n"
        f"CSeq: 1 {method}\r\n{lines}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


