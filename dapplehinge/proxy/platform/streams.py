"""TCP connections as both sides of the proxy use them: bounded streams without Nagle's delay."""

from __future__ import annotations

import socket

from tornado.iostream import IOStream

CHUNK = 16 * 1024
"""Bytes read at one go; others get their turn after them."""

MOST_UNSENT = 256 * 1024
"""Bytes that wait for a far end that does not read; with more the connection is closed."""


def family_of(address: tuple[str, int]) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


def bounded(
    sock: socket.socket, most_unread: int, most_unsent: int = MOST_UNSENT, chunk: int = CHUNK
) -> IOStream:
    """A stream over a socket of TCP, connected or not; one that passes a bound is closed."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return IOStream(
        sock, max_buffer_size=most_unread, read_chunk_size=chunk, max_write_buffer_size=most_unsent
    )


def free_error(stream: IOStream) -> None:
    """Let what the error of a closed stream refers to be freed: the stream, and all that called it."""
    if stream.error is not None:
        stream.error.__traceback__ = None
