"""Ports of loopback for processes that are told theirs before they listen."""

from __future__ import annotations

import socket

_held: list[socket.socket] = []


def free_port() -> int:
    """One that nobody else is given while this process runs; whoever sets SO_REUSEADDR may listen there."""
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind(("127.0.0.1", 0))
    _held.append(holder)
    port: int = holder.getsockname()[1]
    return port
