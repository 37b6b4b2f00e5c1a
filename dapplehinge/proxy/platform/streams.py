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


def bounded(sock: socket.socket, most_unread: int) -> IOStream:
    """A stream over a socket of TCP, connected or not."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return IOStream(
        sock, max_buffer_size=most_unread, read_chunk_size=CHUNK, max_write_buffer_size=MOST_UNSENT
    )
