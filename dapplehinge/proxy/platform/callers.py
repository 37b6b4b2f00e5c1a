"""SIP connections from callers, and the bounds that keep bad ones from costing the others.

What may be done here without the module: bytes, connections, buffers and times are bounded, and what can't
be read is refused. A connection that says nothing, or half a message, is closed after `IDLE_TIMEOUT_MS`; one
that sends nonsense is read ever more slowly; one that does not read is closed. When there are as many as the
descriptors allow, one that carries nothing makes room, silent ones first.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import re
import select
import socket
from collections.abc import Callable
from enum import Enum, auto
from itertools import islice

from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from dapplehinge.isup.codec import Cause
from dapplehinge.platform import actions as act
from dapplehinge.platform.memory import MemoryBudget
from dapplehinge.platform.offers import ID, OfferError, OfferReader, call_id_of
from dapplehinge.platform.releases import CallerReleases, Send, Trust
from dapplehinge.platform.service import Admission, Service
from dapplehinge.platform.shutdown import CROSSING_MS
from dapplehinge.platform.telemetry import CallerClose, Shed
from dapplehinge.proxy.platform.listener import Listener
from dapplehinge.proxy.platform.streams import bounded, free_error
from dapplehinge.proxy.platform.turns import Turns
from dapplehinge.sip import codec as sip

DEFAULT_MEMORY_BYTES = 192_000_000
MAX_UNREAD_BYTES = 64 * 1024
MAX_LOOKS = 64  # connections looked at for room at one go
CLOSE_GRACE_MS = 100.0  # that a caller gets to close his end
CHUNK_BYTES = 2 * 1024  # read at one go: taken in a few ms, so that hundreds get their turns in time
MAX_LAST_READS = 4  # at one go, so that others get their turn
FRESH_MS = 35.0  # a set-up that came this shortly before the end crosses it, for which 50 ms are allowed
IDLE_TIMEOUT_MS = 2000.0
ENDED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
FIRST_READ_PAUSE_S, MAX_READ_PAUSE_S = 0.02, 1.0  # without reading after nonsense, doubling

CAUSE = re.compile(r"[0-9]{1,3}\Z")

log = logging.getLogger("dapplehinge.callers")


class Came(Enum):
    """What a chunk that was read brought."""

    NONSENSE = auto()  # something that makes no sense
    PART = auto()  # of a message
    MESSAGES = auto()


class Caller:
    __slots__ = (
        "number",
        "stream",
        "reader",
        "opened",
        "heard",
        "since",
        "finishing",
        "pause",
        "pending",
        "drained",
        "unreadable",
        "held_bytes",
        "why",
    )

    def __init__(self, number: int, stream: IOStream, now: float) -> None:
        self.number = number
        self.stream = stream
        self.reader = sip.Reader()
        self.opened = now
        self.heard = False  # a whole message came
        self.since = now  # when the message that is not whole yet began
        self.finishing = False  # our end is closed; the caller is to close his
        self.pause = 0.0
        self.pending: asyncio.Future[bytes] | None = None  # the read that its task waits for
        self.drained = False  # no read is pending, and the stream holds nothing
        self.unreadable = False
        self.why = CallerClose.BY_CALLER  # it is closed, once it is
        self.held_bytes = 0  # of the message that is not whole

    @property
    def settled(self) -> bool:
        """All that the stream has read was taken, so that its socket may be looked at."""
        return self.drained or (self.pending is not None and not self.pending.done())


class Callers:
    def __init__(
        self,
        service: Service,
        offers: OfferReader,
        own: str,
        clock: Callable[[], float],
        pump: Callable[[], None],
        most: Callable[[], int],
        memory: MemoryBudget | None = None,
    ) -> None:
        self.service = service
        self.offers = offers
        self.own = own
        self.clock = clock
        self.pump = pump
        self.most = most
        self.memory = memory or MemoryBudget(DEFAULT_MEMORY_BYTES)
        service.max_open_bytes = self.memory.open_set_ups
        self.partial_bytes = 0  # of messages that are not whole, all connections together
        self.ready: Callable[[], bool] = lambda: True
        self.last_set_up = 0.0  # ms at which the newest one was taken
        self._closing = asyncio.Event()  # connections end as soon as they carry nothing
        self.conns: dict[int, Caller] = {}
        self.partial: dict[int, Caller] = {}  # nothing whole came yet, or a message is not whole
        self.releases = CallerReleases()
        self._turns = Turns()
        self._numbers = 0
        self._listener = Listener(self._accept, self._has_room, self._make_room)

    # Connections

    def listen(self, sock: socket.socket) -> None:
        self._listener.listen(sock)

    def stop_listening(self) -> None:
        """What the system has accepted already is taken first."""
        self._listener.stop()

    def _has_room(self) -> bool:
        return len(self.conns) < self.most() or self._make_room()

    def _accept(self, sock: socket.socket) -> None:
        self._numbers += 1
        stream = bounded(sock, MAX_UNREAD_BYTES, self.memory.unsent(self.most()), CHUNK_BYTES)
        caller = Caller(self._numbers, stream, self.clock())
        self.conns[caller.number] = self.partial[caller.number] = caller
        self.releases.connected(caller.number)
        asyncio.ensure_future(self._serve(caller))

    def _make_room(self) -> bool:
        """Close one that carries no set-up: silent before used, half a message last, each by its age."""
        silent = (each for each in self.partial.values() if not each.reader.amid)
        used = (each for each in self.conns.values() if not each.reader.amid)
        amid = (each for each in self.partial.values() if each.reader.amid)
        for pool in (silent, used, amid):
            for caller in islice(pool, MAX_LOOKS):
                if self._may_close(caller):
                    self._close(caller, CallerClose.MAKES_ROOM)
                    return True
        return False

    def _may_close(self, caller: Caller) -> bool:
        """It carries no set-up, and none can be on its way that would be cut off.

        A connection that was just made brings its first set-up in a moment; what is unread may be one.
        """
        if caller.stream.closed():
            return True
        new = self.clock() - caller.opened < CROSSING_MS
        return not new and self._idle(caller) and nothing_unread(caller.stream)

    def _idle(self, caller: Caller) -> bool:
        """No set-up is open on it, no answer is on its way, and nothing that was read waits for its task."""
        carries = caller.number in self.service.conns or caller.stream.writing()
        return not carries and caller.settled

    def _close(self, caller: Caller, why: CallerClose) -> None:
        caller.stream.close()
        if self.conns.pop(caller.number, None) is None:
            return
        self._count_partial(caller, 0)
        caller.reader.close()
        self.service.metrics.caller_closes[why] += 1
        self.partial.pop(caller.number, None)
        self.service.caller_lost(caller.number, self.clock())
        self._send_releases(self.releases.ended(caller.number))
        self.pump()

    def sweep(self, now: float) -> None:
        """Close what was silent for too long; to be called a few times a second."""
        for caller in list(self.partial.values()):
            if now - caller.since >= IDLE_TIMEOUT_MS and caller.number not in self.service.conns:
                if caller.reader.amid:
                    self._write(caller, sip.response(408, b""))
                self._close(caller, CallerClose.SILENT)
        for caller in list(self.conns.values()):
            if caller.finishing and now - caller.since >= CLOSE_GRACE_MS:
                self._close(caller, caller.why)
        self._send_releases(self.releases.tick(now))

    async def _serve(self, caller: Caller) -> None:
        try:
            while True:
                caller.drained = False
                caller.pending = asyncio.ensure_future(caller.stream.read_bytes(CHUNK_BYTES, partial=True))
                data = await caller.pending
                caller.pending = None  # it holds the data, too
                if caller.number not in self.conns:
                    return  # closed, with something left to read
                if caller.finishing:
                    await self._turns.wait()
                    continue
                came, size = self._on_data(caller, data), len(data)
                del data  # it is held no longer than it takes to read it
                if caller.number not in self.conns:
                    return  # it was turned away
                if self._closing.is_set():
                    caller.drained = size < CHUNK_BYTES
                    self._finish(caller)
                elif came is Came.NONSENSE:
                    await self._pause(caller)
                elif size == CHUNK_BYTES and came is Came.PART:
                    await asyncio.sleep(0)
                elif size == CHUNK_BYTES:
                    await self._turns.wait()
        except (StreamClosedError, OSError):
            pass
        except Exception:
            caller.why = CallerClose.FAULT
            log.exception("callers.fault connection=%d", caller.number)
        caller.pending = None  # its error refers to this connection, which would keep both from being freed
        free_error(caller.stream)
        self._close(caller, caller.why)

    def _on_data(self, caller: Caller, data: bytes) -> Came:
        """Take the messages that are whole now."""
        messages, fault = caller.reader.feed(data)
        now = self.clock()
        sense = True
        for message in messages:
            sense &= self._take(caller, message, now)
        if fault is not None:
            caller.unreadable = True
            self._turn_away(caller, CallerClose.UNREADABLE, fault.status)
            return Came.NONSENSE
        if messages:
            caller.heard = True
            caller.since = now
            self.conns[caller.number] = self.conns.pop(caller.number)  # used last
        if caller.reader.amid:
            if caller.number not in self.partial:
                caller.since = now
                self.partial[caller.number] = caller
        elif caller.heard:
            self.partial.pop(caller.number, None)
        self._count_partial(caller, caller.reader.held_bytes)
        self.pump()
        self._bound_partial_messages()
        if not sense:
            return Came.NONSENSE
        return Came.MESSAGES if messages else Came.PART

    def _count_partial(self, caller: Caller, held: int) -> None:
        self.partial_bytes += held - caller.held_bytes
        caller.held_bytes = held

    def _bound_partial_messages(self) -> None:
        """Close the connection with the largest message that is not whole, as often as it takes."""
        while self.partial_bytes > self.memory.partial_messages:
            largest = max(self.partial.values(), key=lambda each: each.held_bytes)
            self._turn_away(largest, CallerClose.MEMORY, 503)

    def _turn_away(self, caller: Caller, why: CallerClose, status: int) -> None:
        """Answer what is open on a connection, refuse the message that came, and end it.

        The end is told first: closing with something unread would reset it, and what was written on it last
        would be lost.
        """
        self.service.answer_connection(caller.number, self.clock())
        self.pump()
        self._write(caller, sip.response(status, b""))
        if caller.stream.closed() or caller.stream.writing():
            self._close(caller, why)
            return
        caller.why = why
        caller.reader.close()
        self._count_partial(caller, 0)
        self.partial.pop(caller.number, None)
        self._tell_end(caller)

    async def _pause(self, caller: Caller) -> None:
        """Read nothing for a while; what the stream takes in meanwhile can't be seen."""
        caller.pause = min(MAX_READ_PAUSE_S, max(FIRST_READ_PAUSE_S, 2 * caller.pause))
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(self._closing.wait(), caller.pause)

    def _write(self, caller: Caller, data: bytes) -> bool:
        try:
            caller.stream.write(data)
        except StreamBufferFullError:
            self.service.metrics.caller_closes[CallerClose.NOT_READING] += 1
            caller.stream.close()
            return False
        except StreamClosedError:
            return False
        free_error(caller.stream)
        return True

    def finish_idle(self) -> bool:
        """End what carries no set-up now, and the rest as soon as it is answered; True if nothing is left."""
        self._closing.set()
        now = self.clock()
        for caller in list(self.conns.values()):
            if caller.finishing:
                if now - caller.since >= CLOSE_GRACE_MS:
                    self._close(caller, caller.why)
            elif caller.stream.closed():
                self._close(caller, CallerClose.BY_CALLER)
            else:
                self._finish(caller)
        return not self.conns

    def _finish(self, caller: Caller) -> None:
        """End a connection that carries no set-up, after what has come on it is taken.

        The end is told first (FIN), so that what was answered is still read: closing with something unread
        would reset the connection. What came since the last read crosses the end.
        """
        new = self.clock() - caller.opened < CROSSING_MS
        if new or not self._take_unread(caller) or caller.reader.amid or not self._idle(caller):
            return
        caller.why = CallerClose.SHUTDOWN
        self._tell_end(caller)

    def _tell_end(self, caller: Caller) -> None:
        caller.finishing, caller.since = True, self.clock()
        self.releases.finishing(caller.number)
        with contextlib.suppress(OSError):
            caller.stream.socket.shutdown(socket.SHUT_WR)

    def close_all(self) -> None:
        """End every connection, once what has come on it is answered."""
        for caller in list(self.conns.values()):
            if not caller.finishing:
                self._take_unread(caller)
            self._close(caller, CallerClose.SHUTDOWN)

    def _take_unread(self, caller: Caller) -> bool:
        """Take what the loop has had no time to read; False: that is not possible now.

        True means that nothing was unread within the last `FRESH_MS` ms. With callers who answer each refusal
        by another set-up there may never be a moment with nothing unread.
        """
        if not caller.settled:
            return False  # its task goes first
        try:
            for _ in range(MAX_LAST_READS):
                if caller.stream.closed() or caller.unreadable:
                    return False
                asked = self.clock()
                data = caller.stream.socket.recv(CHUNK_BYTES)
                if not data:
                    return False  # its task sees the end, too
                self._on_data(caller, data)
                if len(data) < CHUNK_BYTES and self.clock() - asked < FRESH_MS:
                    return True
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    # Messages

    def _take(self, caller: Caller, message: sip.Message, now: float) -> bool:
        """False: it made no sense."""
        if message.status:
            if message.method == "BYE" and message.status // 100 == 2 and ID.match(message.call_id):
                self.releases.received(int(message.call_id, 16), caller.number)
            return True
        match message.method:
            case "INVITE":
                return self._invite(caller, message, now)
            case "ACK":
                return True
            case "OPTIONS":
                self._write(caller, sip.response(200 if self.ready() else 503, message.echo()))
                return True
            case "CANCEL" | "BYE":
                return self._end(caller, message, now)
        self._write(caller, sip.response(405, message.echo()))
        return False

    def _invite(self, caller: Caller, message: sip.Message, now: float) -> bool:
        echo = message.echo()
        try:
            offer = self.offers.read(message)
        except OfferError:
            self._write(caller, sip.response(400, echo))
            return False
        if not offer.standing_at and has_ended(caller.stream):
            self.service.metrics.shed[Shed.CALLER_LEFT] += 1
            return True
        admission = self.service.offered(caller.number, offer, echo, now)
        if admission is Admission.ID_IN_USE:
            self._write(caller, sip.response(482, echo))
        if admission is not Admission.TAKEN:
            return False
        self.last_set_up = now
        self._send_releases(self.releases.trusted(caller.number, Trust.OFFERED))
        return True

    def _end(self, caller: Caller, message: sip.Message, now: float) -> bool:
        try:
            id_ = call_id_of(message)
        except OfferError:
            self._write(caller, sip.response(400, message.echo()))
            return False
        if message.method == "CANCEL":
            known = self.service.given_up(caller.number, id_, now)
        else:
            known = self.service.caller_released(caller.number, id_, released_with(message), now)
        self._write(caller, sip.response(200 if known else 481, message.echo()))
        return True

    # Actions

    def respond(self, action: act.Respond) -> None:
        caller = self.conns.get(action.conn)
        if caller is not None:
            gap = b"P-Gap-Ms: %d\r\n" % action.gap if action.gap >= 1 else b""
            self._write(caller, sip.response(action.status, action.echo, gap, action.body))
            if action.status == 200:
                self._send_releases(self.releases.trusted(caller.number, Trust.ANSWERED))

    def release(self, action: act.ReleaseCaller) -> None:
        self._send_releases(self.releases.add(action, self.clock()))

    def _send_releases(self, sends: list[Send]) -> None:
        """A connection that can't be written to is closed in a moment; its releases are sent again then."""
        for send in sends:
            caller = self.conns.get(send.connection)
            if caller is not None and not caller.stream.closed():
                release = send.release
                bye = sip.bye(f"{release.id:016x}", release.number, release.cause, self.own)
                self._write(caller, bye)


def has_ended(stream: IOStream) -> bool:
    """The caller has closed, though something that he sent may not have been read yet."""
    if stream.closed():
        return True
    look = select.poll()
    look.register(stream.socket, select.POLLRDHUP)
    return any(events & ENDED_EVENTS for _, events in look.poll(0))


def nothing_unread(stream: IOStream) -> bool:
    """No byte waits in the socket; a closed stream has none any more, though its reader may not know yet."""
    if stream.closed():
        return True
    try:
        return not stream.socket.recv(1, socket.MSG_PEEK)
    except OSError:
        return True  # nothing is there, or the connection has gone


def released_with(message: sip.Message) -> int:
    """The Q.850 cause of a BYE; normal clearing where none is told (RFC 3326)."""
    _, sign, value = message.fields.get("reason", "").partition("cause=")
    value = value.partition(";")[0].strip()
    return int(value) if sign and CAUSE.match(value) and int(value) < 128 else int(Cause.NORMAL)
