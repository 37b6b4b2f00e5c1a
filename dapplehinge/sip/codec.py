"""SIP messages over a stream: bytes in, typed messages or one error out; RFC 3261 sections 7 and 18.3.

Strict where a wrong guess would join or split messages: lines end in CRLF, `Content-Length` stands in every
message, no line is folded, fields that the platform reads come once. All else is let through and not kept. A
reader that has met an error gives nothing more.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, replace

MOST_BYTES = 16 * 1024
"""Longest message, head and body."""

MOST_HEADERS = 100
MAX_START_LINE_BYTES = 512
END_OF_HEAD = b"\r\n\r\n"

REQUEST_LINE = re.compile(rb"([A-Z]{1,20}) (sips?:[^\s\x00-\x20]{1,256}) SIP/2\.0\Z")
STATUS_LINE = re.compile(rb"SIP/2\.0 ([1-6]\d\d) [^\r\n\x00]{0,256}\Z")
# no two parts next to each other match the same bytes: each pattern takes time in step with its input
FIELD = re.compile(rb"([A-Za-z0-9\-.!%*_+`'~]{1,64})[ \t]*:([^\x00-\x08\x0a-\x1f\x7f]*)\Z")
LENGTH = re.compile(r"\d{1,9}\Z")
SEQUENCE = re.compile(r"(\d{1,10})[ \t]+([A-Z]{1,20})\Z")
COMPACT = {"i": "call-id", "l": "content-length", "v": "via", "f": "from", "t": "to"}  # RFC 3261 7.3.3
KEPT = frozenset(
    {
        "via", "from", "to", "call-id", "cseq", "content-length", "reason",
        "p-kind", "p-time-left", "p-billed", "p-second-try", "p-path", "p-gap-ms",
    }
)  # fmt: skip
"""Fields that the platform reads; others are checked and not kept, as a head may have very many."""

ONCE = frozenset({"call-id", "cseq", "content-length", "from", "to", "reason"})
ECHOED = ("via", "from", "to", "call-id", "cseq")  # RFC 3261 8.2.6.2

PHRASES = {
    100: "Trying",
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    413: "Request Entity Too Large",
    480: "Temporarily Unavailable",
    481: "Call/Transaction Does Not Exist",
    482: "Loop Detected",
    486: "Busy Here",
    487: "Request Terminated",
    500: "Server Internal Error",
    503: "Service Unavailable",
    504: "Server Time-out",
}


class SipError(Exception):
    """The bytes are no SIP message. `status`: what to answer before closing."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(frozen=True, slots=True)
class Message:
    """A request has a `method` and `uri`, a response a `status`; `fields` has those of `KEPT`."""

    method: str  # of a response: the one in its CSeq
    uri: str
    status: int  # 0: a request
    sequence: int
    call_id: str
    fields: dict[str, str]
    body: bytes

    def echo(self) -> bytes:
        """The head lines that a response repeats."""
        lines = []
        for name in ECHOED:
            value = self.fields.get(name)
            if value is not None:
                title = "CSeq" if name == "cseq" else "Call-ID" if name == "call-id" else name.title()
                lines += [f"{title}: {part}\r\n" for part in value.split("\n")]
        return "".join(lines).encode("utf-8", "surrogateescape")


def parse_head(head: bytes) -> tuple[Message, int]:
    """The message without its body, and the body's length; `head` ends before the empty line."""
    count = head.count(b"\r\n")
    if count > MOST_HEADERS:
        raise SipError(400, f"{count} header fields, {MOST_HEADERS} at most")
    first, *lines = head.split(b"\r\n")
    method, uri, status = "", "", 0
    if match := REQUEST_LINE.match(first):
        method, uri = match[1].decode(), match[2].decode("ascii", "replace")
    elif match := STATUS_LINE.match(first):
        status = int(match[1])
    else:
        raise SipError(400, f"no start line: {first[:40]!r}")
    fields: dict[str, str] = {}
    once: set[str] = set()
    for line in lines:
        match = FIELD.match(line)
        if match is None:
            raise SipError(400, f"no header field: {line[:40]!r}")
        name = match[1].decode().lower()
        name = COMPACT.get(name, name)
        if name in ONCE or name.startswith("p-"):
            if name in once:
                raise SipError(400, f"{name} comes twice")
            once.add(name)
        if name not in KEPT:
            continue
        value = match[2].decode("utf-8", "surrogateescape").strip(" \t")
        if name == "via" and name in fields:
            value = f"{fields[name]}\n{value}"
        fields[name] = value
    length = fields.get("content-length")
    if length is None or not LENGTH.match(length):
        raise SipError(400, f"Content-Length: {str(length)[:20]!r}")
    if int(length) + len(head) + 4 > MOST_BYTES:
        raise SipError(413, f"a message of {int(length) + len(head) + 4} bytes, {MOST_BYTES} at most")
    sequence = SEQUENCE.match(fields.get("cseq", ""))
    if sequence is None:
        raise SipError(400, "no CSeq")
    if method and sequence[2] != method:
        raise SipError(400, f"CSeq names {sequence[2]}, the request is {method}")
    call_id = fields.get("call-id", "")
    if not call_id:
        raise SipError(400, "no Call-ID")
    message = Message(sequence[2], uri, status, int(sequence[1]), call_id, fields, b"")
    return message, int(length)


class Reader:
    """Takes bytes as they come, gives whole messages; holds 16 KiB at most beyond what it was just given."""

    def __init__(self) -> None:
        self._held = bytearray()
        self._searched = 0  # bytes of it in which the end of the head does not begin
        self._start_checked = False  # the first line is whole, and a start line
        self._head: tuple[Message, int] | None = None
        self._head_bytes = 0
        self._broken = False

    @property
    def held_bytes(self) -> int:
        """Of the message that is not whole."""
        return len(self._held) + (self._head_bytes if self._head else 0)

    @property
    def amid(self) -> bool:
        """A message has begun and is not whole."""
        return self._head is not None or bool(self._held)

    def feed(self, data: bytes) -> tuple[list[Message], SipError | None]:
        """The messages that are whole now, and the error that ends the stream, if any."""
        if self._broken:
            return [], None
        self._held += data
        messages: list[Message] = []
        try:
            while (message := self._next_message()) is not None:
                messages.append(message)
        except SipError as fault:
            self.close()
            return messages, fault
        if not self._held:
            self._held = bytearray()  # frees what a long message took
        return messages, None

    def close(self) -> None:
        """Let go of what is held; nothing more is given."""
        self._held, self._head, self._broken = bytearray(), None, True

    def _next_message(self) -> Message | None:
        """Take one off what is held, if it is whole."""
        if self._head is None and not self._take_head():
            return None
        assert self._head is not None
        message, length = self._head
        if len(self._held) < length:
            return None
        if length:
            message = replace(message, body=bytes(self._held[:length]))
            del self._held[:length]
        self._head = None
        return message

    def _take_head(self) -> bool:
        """False: it is not whole. What was searched and checked before is not looked at again."""
        held = self._held
        if held[:1] in (b"\r", b"\n"):  # RFC 3261 7.5: empty lines before a message are ignored
            held = self._held = held.lstrip(b"\r\n")
            self._searched = 0
        if not held:
            return False
        end = held.find(END_OF_HEAD, self._searched, MOST_BYTES)
        if end < 0:
            if len(held) >= MOST_BYTES:
                raise SipError(413, f"a head of over {MOST_BYTES} bytes")
            self._check_start()
            self._searched = max(0, len(held) - len(END_OF_HEAD) + 1)
            return False
        self._head = parse_head(bytes(held[:end]))
        self._head_bytes = end
        del held[: end + len(END_OF_HEAD)]
        self._searched, self._start_checked = 0, False
        return True

    def _check_start(self) -> None:
        """Tell noise at once: a first line that is whole, or too long, must be a start line."""
        if self._start_checked:
            return
        end = self._held.find(b"\r\n", 0, MAX_START_LINE_BYTES + 2)
        first = bytes(self._held[: end if end >= 0 else MAX_START_LINE_BYTES + 1])
        if end >= 0 and not (REQUEST_LINE.match(first) or STATUS_LINE.match(first)):
            raise SipError(400, f"no start line: {first[:40]!r}")
        if end < 0 and (len(first) > MAX_START_LINE_BYTES or b"\n" in first or not first[:1].isalpha()):
            raise SipError(400, f"no start line: {first[:40]!r}")
        self._start_checked = end >= 0


def response(status: int, echo: bytes, fields: bytes = b"", body: bytes = b"") -> bytes:
    """`echo`: what `Message.echo` gave; `fields`: whole lines."""
    start = b"SIP/2.0 %d %s\r\n" % (status, PHRASES.get(status, "Other").encode())
    return b"".join((start, echo, fields, b"Content-Length: %d\r\n\r\n" % len(body), body))


def bye(call_id: str, number: str, cause: int, own: str) -> bytes:
    """The release of a call that stands; `own` names the sender in Via (RFC 3326 for Reason)."""
    return (
        f"BYE sip:{number}@net SIP/2.0\r\nVia: SIP/2.0/TCP {own}\r\nCall-ID: {call_id}\r\nCSeq: 2 BYE\r\n"
        f"Reason: Q.850;cause={cause}\r\nContent-Length: 0\r\n\r\n"
    ).encode()
