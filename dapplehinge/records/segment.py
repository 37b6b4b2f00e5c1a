"""Segments: a header, frames, and a seal once a segment is full.

    header   8 bytes magic and version, number (8), sequence of the first frame (8), link (32), checksum (8)
    frame    length (4), sequence (8), checksum (8) over both and the payload, payload
    seal     a frame of length 0xffffffff: count of frames (8), message-authentication code (32)

Checksums are XXH3 of 64 bits: they tell what a crash or a disk did. The seal's code is HMAC-SHA-256 with
the operator's key over the whole segment, and the next segment's header carries it as its link: they tell
what a person did. A segment that was removed, altered or put in another's place breaks the chain at that
point.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from enum import Enum, auto

import xxhash
from cryptography.hazmat.primitives import hashes, hmac
from cryptography.hazmat.primitives.constant_time import bytes_eq

MAGIC = b"DHcdr\x00\x00\x01"
NO_LINK = bytes(32)
LONGEST_ENTRY = 1 << 20

_HEADER = struct.Struct(">8sQQ32s")
_FRAME = struct.Struct(">IQ")
_SUM = struct.Struct(">Q")
_SEAL = struct.Struct(">Q32s")
_SEAL_LENGTH = 0xFFFFFFFF
HEADER_SIZE = _HEADER.size + _SUM.size
FRAME_SIZE = _FRAME.size + _SUM.size
SEAL_SIZE = FRAME_SIZE + _SEAL.size


def _sum(*parts: bytes) -> bytes:
    made = xxhash.xxh3_64()
    for part in parts:
        made.update(part)
    return made.digest()


def header(number: int, first: int, link: bytes) -> bytes:
    raw = _HEADER.pack(MAGIC, number, first, link)
    return raw + _sum(raw)


def frame(sequence: int, payload: bytes) -> bytes:
    if not 0 < len(payload) <= LONGEST_ENTRY:
        raise ValueError(f"an entry of {len(payload)} bytes does not fit, 1 to {LONGEST_ENTRY} do")
    head = _FRAME.pack(len(payload), sequence)
    return head + _sum(head, payload) + payload


class Code:
    """The message-authentication code of a segment, made as the segment grows."""

    def __init__(self, key: bytes, made: hmac.HMAC | None = None) -> None:
        self._made = made or hmac.HMAC(key, hashes.SHA256())

    def update(self, data: bytes) -> None:
        self._made.update(data)

    def copy(self) -> Code:
        return Code(b"", self._made.copy())

    def of(self, count: int) -> bytes:
        """The code of what was given so far, as a segment of `count` frames."""
        made = self._made.copy()
        made.update(count.to_bytes(8, "big"))
        return made.finalize()


def seal_by(code: bytes, sequence: int, count: int) -> bytes:
    """The seal with this code; `sequence` is that of the frame which would come next."""
    body = _SEAL.pack(count, code)
    head = _FRAME.pack(_SEAL_LENGTH, sequence)
    return head + _sum(head, body) + body


def seal(segment: bytes, sequence: int, count: int, key: bytes) -> bytes:
    """The seal of a segment's bytes so far."""
    return seal_by(_code(key, segment, count), sequence, count)


def _code(key: bytes, segment: bytes, count: int) -> bytes:
    made = Code(key)
    made.update(segment)
    return made.of(count)


class State(Enum):
    SEALED = auto()  # whole, and closed by a seal
    OPEN = auto()  # whole, not closed: the newest segment
    TORN = auto()  # ends in part of a frame: a write was cut off
    CORRUPT = auto()  # a frame in it is not what was written
    NO_HEADER = auto()  # its header is not whole, so nothing in it can be placed


@dataclass(slots=True)
class Scan:
    """What a segment's bytes show. `good` is the length of the prefix of whole frames."""

    state: State
    number: int = -1
    first: int = 0
    link: bytes = NO_LINK
    good: int = 0
    payloads: list[bytes] = field(default_factory=list)
    code: bytes = NO_LINK  # of the seal
    problem: str = ""

    @property
    def following(self) -> int:
        """The sequence of the frame after its last whole one."""
        return self.first + len(self.payloads)


def scan(data: bytes) -> Scan:
    """Read a segment; any bytes give a result, which holds every whole frame before the first bad one."""
    if len(data) < HEADER_SIZE or data[_HEADER.size : HEADER_SIZE] != _sum(data[: _HEADER.size]):
        return Scan(State.NO_HEADER, problem=f"header is not whole in {len(data)} bytes")
    magic, number, first, link = _HEADER.unpack_from(data)
    if magic != MAGIC:
        return Scan(State.NO_HEADER, problem=f"not a segment of this version: {magic!r}")
    found = Scan(State.OPEN, number, first, link, HEADER_SIZE)
    at = HEADER_SIZE
    while at < len(data):
        if at + FRAME_SIZE > len(data):
            found.state, found.problem = State.TORN, f"byte {at}: part of a frame's head"
            return found
        head = data[at : at + _FRAME.size]
        length, sequence = _FRAME.unpack(head)
        size = _SEAL.size if length == _SEAL_LENGTH else length
        if size > LONGEST_ENTRY or size == 0 or sequence != found.following:
            found.state, found.problem = State.CORRUPT, f"byte {at}: a frame's head makes no sense"
            return found
        body = data[at + FRAME_SIZE : at + FRAME_SIZE + size]
        if len(body) < size:
            found.state, found.problem = State.TORN, f"byte {at}: part of a frame"
            return found
        if data[at + _FRAME.size : at + FRAME_SIZE] != _sum(head, body):
            found.state, found.problem = State.CORRUPT, f"byte {at}: checksum does not match"
            return found
        at += FRAME_SIZE + size
        if length == _SEAL_LENGTH:
            count, found.code = _SEAL.unpack(body)
            if count != len(found.payloads) or at != len(data):
                found.state, found.problem = State.CORRUPT, f"byte {at}: the seal does not fit its segment"
            else:
                found.state, found.good = State.SEALED, at
            return found
        found.payloads.append(body)
        found.good = at
    return found


def authentic(data: bytes, found: Scan, key: bytes) -> bool:
    """Whether a sealed segment is what was sealed with this key."""
    if found.state is not State.SEALED:
        return False
    body = data[: found.good - SEAL_SIZE]
    return bytes_eq(_code(key, body, len(found.payloads)), found.code)
