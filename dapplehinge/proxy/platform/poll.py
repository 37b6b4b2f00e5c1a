"""One HTTP/1.1 GET on a connection of its own that can be given up at any moment."""

from __future__ import annotations

import socket
from collections.abc import Awaitable

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine, ResponseStartLine
from tornado.iostream import IOStream

from dapplehinge.proxy.platform.streams import CHUNK, family_of

MAX_ANSWER_BYTES = 4 << 20
OK = 200


class PollError(Exception):
    """The answer is not whole, or not 200."""


class _Answer(HTTPMessageDelegate):
    def __init__(self) -> None:
        self.status = 0
        self.whole = False
        self.body = bytearray()

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        if isinstance(start_line, ResponseStartLine):
            self.status = start_line.code
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        self.body += chunk
        return None

    def finish(self) -> None:
        self.whole = True


class Poll:
    """`get` may be called once; `close` ends it wherever it is, and frees its descriptor."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        sock = socket.socket(family_of(address), socket.SOCK_STREAM)
        self._stream = IOStream(sock, max_buffer_size=MAX_ANSWER_BYTES, read_chunk_size=CHUNK)

    def close(self) -> None:
        self._stream.close()

    async def get(self, path: str) -> bytes:
        """The body of the answer; `PollError`, or `OSError` where the connection fails."""
        host, port = self.address
        try:
            await self._stream.connect(self.address)
            parameters = HTTP1ConnectionParameters(no_keep_alive=True, max_body_size=MAX_ANSWER_BYTES)
            connection = HTTP1Connection(self._stream, is_client=True, params=parameters)
            site = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
            headers = HTTPHeaders({"Host": site, "Connection": "close"})
            connection.write_headers(RequestStartLine("GET", path, "HTTP/1.1"), headers)
            connection.finish()
            answer = _Answer()
            await connection.read_response(answer)
        finally:
            self.close()
        if not answer.whole or answer.status != OK:
            raise PollError(f"status {answer.status}, {len(answer.body)} bytes, whole: {answer.whole}")
        return bytes(answer.body)
