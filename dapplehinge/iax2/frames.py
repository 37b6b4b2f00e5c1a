"""Frames of IAX2 (RFC 5456, section 8.1): reader and writer.

`read` is total: any bytes give a frame or one `FrameError`. `write` is strict: a field that does not fit
raises `FrameError`. Times are the RFC's time-stamps, milliseconds since the leg's first frame.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

MOST_BYTES = 4096
"""Longest datagram that is read; signalling and voice stay far below it."""

MINI_HEADER = 4
_FULL = struct.Struct(">HHIBBBB")
_MINI = struct.Struct(">HH")
_VIDEO = struct.Struct(">HHH")
_META = struct.Struct(">HBBI")
_TRUNK_PLAIN = struct.Struct(">HH")
_TRUNK_TIMED = struct.Struct(">HHH")
_META_TRUNK = 1  # the only meta command, section 8.1.3.2


class FrameError(ValueError):
    """The bytes are no frame of RFC 5456, or the frame can not be written as one."""


@dataclass(slots=True)
class Full:
    """Section 8.1.1. `payload` is raw: elements for IAX control frames, media or text for others."""

    source: int
    dest: int
    timestamp: int
    oseqno: int
    iseqno: int
    kind: int
    subclass: int
    payload: bytes = b""
    retransmitted: bool = False


@dataclass(slots=True)
class Mini:
    """Section 8.1.2: voice, with the low 16 bits of its time-stamp."""

    source: int
    timestamp: int
    payload: bytes


@dataclass(slots=True)
class MetaVideo:
    """Section 8.1.3.1: video, with the low 15 bits of its time-stamp and the marker of a picture's end."""

    source: int
    timestamp: int
    payload: bytes
    marker: bool = False


@dataclass(slots=True)
class MetaTrunk:
    """Section 8.1.3.2: several calls' voice in one datagram: (source, time-stamp or None, data) each."""

    timestamp: int
    entries: tuple[tuple[int, int | None, bytes], ...]


Frame = Full | Mini | MetaVideo | MetaTrunk


def read(data: bytes) -> Frame:
    size = len(data)
    if size < MINI_HEADER:
        raise FrameError(f"{size} bytes are no frame")
    if size > MOST_BYTES:
        raise FrameError(f"{size} bytes are over the limit of {MOST_BYTES}")
    if data[0] & 0x80:
        if size < _FULL.size:
            raise FrameError(f"a full frame of {size} bytes lacks its header")
        source, dest, stamp, oseqno, iseqno, kind, coded = _FULL.unpack_from(data)
        if coded & 0x80:
            power = coded & 0x7F
            if power > 63:
                raise FrameError(f"subclass 2^{power} is out of range")
            coded = 1 << power
        return Full(
            source & 0x7FFF, dest & 0x7FFF, stamp, oseqno, iseqno, kind, coded, data[12:], dest >= 0x8000
        )
    source, second = _MINI.unpack_from(data)
    if source:
        return Mini(source, second, data[MINI_HEADER:])
    if data[2] & 0x80:  # V bit: meta video
        if size < _VIDEO.size:
            raise FrameError("a meta video frame lacks its header")
        _, source, stamp = _VIDEO.unpack_from(data)
        return MetaVideo(source & 0x7FFF, stamp & 0x7FFF, data[_VIDEO.size :], stamp >= 0x8000)
    if data[2] != _META_TRUNK:
        raise FrameError(f"unknown meta command {data[2]}")
    if size < _META.size:
        raise FrameError("a meta trunk frame lacks its header")
    _, _, flags, stamp = _META.unpack_from(data)
    return MetaTrunk(stamp, tuple(_read_entries(data, timed=bool(flags & 1))))


def _read_entries(data: bytes, timed: bool) -> list[tuple[int, int | None, bytes]]:
    at = _META.size
    entries: list[tuple[int, int | None, bytes]] = []
    head = _TRUNK_TIMED.size if timed else _TRUNK_PLAIN.size
    while at < len(data):
        if at + head > len(data):
            raise FrameError(f"trunk entry at byte {at} lacks its header")
        stamp: int | None = None
        if timed:
            length, source, stamp = _TRUNK_TIMED.unpack_from(data, at)
        else:
            source, length = _TRUNK_PLAIN.unpack_from(data, at)
        at += head
        if at + length > len(data):
            raise FrameError(f"trunk entry at byte {at - head} is cut short")
        entries.append((source & 0x7FFF, stamp, data[at : at + length]))
        at += length
    return entries


def coded_subclass(subclass: int) -> int:
    """The subclass octet, section 8.1.1: a value below 128 as it is, else a power of two by its exponent."""
    if 0 <= subclass < 0x80:
        return subclass
    power = subclass.bit_length() - 1
    if subclass <= 0 or subclass != 1 << power or power > 63:
        raise FrameError(f"subclass {subclass} is neither below 128 nor a power of two")
    return 0x80 | power


def write(frame: Frame) -> bytes:
    try:
        if isinstance(frame, Full):
            _numbered(frame.source, "source call number")
            if not 0 <= frame.dest < 0x8000:
                raise FrameError(f"destination call number {frame.dest} is out of range")
            return (
                _FULL.pack(
                    0x8000 | frame.source,
                    frame.dest | (0x8000 if frame.retransmitted else 0),
                    frame.timestamp & 0xFFFFFFFF,
                    frame.oseqno,
                    frame.iseqno,
                    frame.kind,
                    coded_subclass(frame.subclass),
                )
                + frame.payload
            )
        if isinstance(frame, Mini):
            _numbered(frame.source, "source call number")
            return _MINI.pack(frame.source, frame.timestamp & 0xFFFF) + frame.payload
        if isinstance(frame, MetaVideo):
            _numbered(frame.source, "source call number")
            stamp = (frame.timestamp & 0x7FFF) | (0x8000 if frame.marker else 0)
            return _VIDEO.pack(0, 0x8000 | frame.source, stamp) + frame.payload
        timed = any(stamp is not None for _, stamp, _ in frame.entries)
        parts = [_META.pack(0, _META_TRUNK, 1 if timed else 0, frame.timestamp & 0xFFFFFFFF)]
        for source, entry_stamp, payload in frame.entries:
            _numbered(source, "source call number")
            if timed:
                if entry_stamp is None:
                    raise FrameError("either all entries of a trunk frame have time-stamps or none has")
                parts.append(_TRUNK_TIMED.pack(len(payload), source, entry_stamp & 0xFFFF))
            else:
                parts.append(_TRUNK_PLAIN.pack(source, len(payload)))
            parts.append(payload)
        return b"".join(parts)
    except struct.error as fault:
        raise FrameError(f"a field is out of range: {fault}") from None


def _numbered(number: int, what: str) -> None:
    if not 0 < number < 0x8000:
        raise FrameError(f"{what} {number} is out of range")


def full_stamp(short: int, near: int, bits: int = 16) -> int:
    """The whole time-stamp with these low bits that lies nearest to `near`, section 8.1.2's wrap."""
    span = 1 << bits
    guess = (near & ~(span - 1)) | short
    if guess - near > span // 2 and guess >= span:
        return guess - span
    if near - guess > span // 2:
        return guess + span
    return guess
