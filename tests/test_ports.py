"""A port that a process is to listen on is nobody else's meanwhile."""

import socket

from tests.ports import free_port

DRAWS = 4000


def listening(port: int) -> socket.socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", port))
    sock.listen(1)
    return sock


def test_a_port_that_is_kept_for_a_process_is_not_given_to_another_listener():
    kept = {free_port() for _ in range(100)}
    for _ in range(DRAWS):
        with listening(0) as other:
            assert other.getsockname()[1] not in kept
    for port in kept:
        listening(port).close()
