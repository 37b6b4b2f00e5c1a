"""Accepts connections from callers in small batches, and pauses where there is no room or no descriptor."""

from __future__ import annotations

import errno
import logging
import socket
from collections.abc import Callable
from typing import Any

from tornado.ioloop import IOLoop

ACCEPT_BATCH = 32  # connections accepted at one go
ACCEPT_PAUSE_S = 0.05  # without accepting when descriptors are short
NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)

log = logging.getLogger("dapplehinge.callers")


class Listener:
    """`accept` takes a connection that was made; `has_room` tells whether one more may be, and makes room if
    it can; `make_room` frees a descriptor if it can."""

    def __init__(
        self,
        accept: Callable[[socket.socket], None],
        has_room: Callable[[], bool],
        make_room: Callable[[], bool],
    ) -> None:
        self._accept = accept
        self._has_room = has_room
        self._make_room = make_room
        self._listening: socket.socket | None = None

    def listen(self, sock: socket.socket) -> None:
        self._listening = sock
        IOLoop.current().add_handler(sock, self._accept_some, IOLoop.READ)

    def stop(self) -> None:
        """What the system has accepted already is taken first."""
        while self._accept_batch():
            pass
        sock, self._listening = self._listening, None
        if sock is not None:
            IOLoop.current().remove_handler(sock)
            sock.close()

    def _accept_some(self, listening: Any, events: int) -> None:
        self._accept_batch()

    def _accept_batch(self) -> bool:
        """True: more connections may be waiting."""
        for _ in range(ACCEPT_BATCH):
            if self._listening is None:
                return False
            if not self._has_room():
                self._pause()
                return False
            try:
                sock, _ = self._listening.accept()
            except BlockingIOError:
                return False
            except OSError as fault:
                if fault.errno in NO_DESCRIPTOR:
                    log.warning("callers.no_descriptor reason=%s", fault.strerror)
                    self._make_room()
                    self._pause()
                    return False
                continue  # it has gone again
            self._accept(sock)
        return True

    def _pause(self) -> None:
        """Leave the queue alone for a moment: what waits there is served later, and nothing spins."""
        loop, listening = IOLoop.current(), self._listening
        if listening is not None:
            loop.remove_handler(listening)
            loop.call_later(ACCEPT_PAUSE_S, self._resume, listening)

    def _resume(self, listening: socket.socket) -> None:
        if self._listening is listening:
            IOLoop.current().add_handler(listening, self._accept_some, IOLoop.READ)
