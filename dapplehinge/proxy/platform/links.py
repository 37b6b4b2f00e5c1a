"""Connections to switches: made when the service asks, read into typed messages.

One that says what can't be read is closed. The service decides which links there are; here they are made
and bounded.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from dapplehinge.isup.codec import Code, IsupError, Message, Reader, Type
from dapplehinge.platform.reports import ReportError, report_from
from dapplehinge.platform.service import Service
from dapplehinge.platform.telemetry import LinkClose
from dapplehinge.proxy.platform.streams import CHUNK, bounded, family_of, free_error

MOST_UNREAD = 256 * 1024

log = logging.getLogger("dapplehinge.links")


class Links:
    """`pump` is called after whatever may have left actions in the service."""

    def __init__(self, service: Service, clock: Callable[[], float], pump: Callable[[], None]) -> None:
        self.service = service
        self.clock = clock
        self.pump = pump
        self.loop = IOLoop.current()
        self.streams: dict[int, IOStream] = {}
        self._unreadable = 0

    def open(self, link: int, address: tuple[str, int], within: float) -> None:
        """`within`: ms."""
        try:
            sock = socket.socket(family_of(address), socket.SOCK_STREAM)
        except OSError as fault:
            log.error("link.no_socket reason=%s", fault.strerror)
            self.loop.call_later(0.05, self._failed, link, False)
            return
        stream = self.streams[link] = bounded(sock, MOST_UNREAD)
        asyncio.ensure_future(self._serve(link, stream, address, within))

    def close(self, link: int) -> None:
        stream = self.streams.pop(link, None)
        if stream is not None:
            stream.close()

    def write(self, link: int, data: bytes) -> None:
        stream = self.streams.get(link)
        if stream is None:
            return
        try:
            stream.write(data)
            free_error(stream)
        except StreamBufferFullError:
            log.warning("link.not_read link=%d", link)
            self.service.metrics.link_closes[LinkClose.NOT_READING] += 1
            stream.close()
        except StreamClosedError:
            pass  # its reader tells the service

    def _failed(self, link: int, refused: bool) -> None:
        self.service.link_failed(link, refused, self.clock())
        self.pump()

    async def _serve(self, link: int, stream: IOStream, address: tuple[str, int], within: float) -> None:
        if stream.closed():
            return  # the service let go of it in the same turn
        limit = self.loop.call_later(within / 1000.0, stream.close)
        try:
            await stream.connect(address)
        except (StreamClosedError, OSError) as fault:
            real = getattr(fault, "real_error", None) or fault
            self.streams.pop(link, None)
            self._failed(link, isinstance(real, ConnectionRefusedError))
            return
        finally:
            self.loop.remove_timeout(limit)
        self.service.link_up(link, self.clock())
        self.pump()
        reader = Reader()
        try:
            while True:
                data = await stream.read_bytes(CHUNK, partial=True)
                messages, fault_ = reader.feed(data)
                now = self.clock()
                if messages:
                    self.service.heard(link, now)
                for message in messages:
                    self._take(link, message, now)
                if fault_ is not None:
                    raise fault_
                self.pump()
                if len(data) == CHUNK:
                    await asyncio.sleep(0)  # others get their turn
        except (IsupError, ReportError) as fault:
            self._unreadable += 1
            self.service.metrics.link_closes[LinkClose.UNREADABLE] += 1
            if self._unreadable & (self._unreadable - 1) == 0:  # the first, second, fourth, ...
                log.warning("link.unreadable count=%d reason=%s", self._unreadable, fault)
        except (StreamClosedError, OSError):
            if link in self.streams:
                self.service.metrics.link_closes[LinkClose.BY_SWITCH] += 1
        except Exception:
            log.exception("link.fault link=%d", link)
        self.streams.pop(link, None)
        stream.close()
        free_error(stream)
        self.service.link_lost(link, self.clock())
        self.pump()

    def _take(self, link: int, message: Message, now: float) -> None:
        service = self.service
        match message.type:
            case Type.ANM:
                service.answered(link, message.call, message.parameters[Code.DESCRIPTION], now)
            case Type.REL:
                report = report_from(message.text(Code.REPORT))
                note = message.text(Code.NOTE) or ""
                service.released(link, message.call, message.cause or 0, note, report, now)
            case Type.CQR:
                service.reported(link, report_from(message.text(Code.REPORT)), now)
            case Type.UPA:
                report = report_from(message.text(Code.REPORT))
                service.tested(link, message.call, message.cause == 1, report, now)
            case Type.RLC:
                service.release_confirmed(link, message.call)
            case _:
                pass  # progress means nothing here
