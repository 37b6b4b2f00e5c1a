"""The trace file: a header, then records, each MessagePack behind its length (4 bytes, big-endian)."""

from __future__ import annotations

from collections.abc import Iterator
from enum import IntEnum
from pathlib import Path

import msgspec


class TraceError(Exception):
    """The file is no trace; the text names the place."""


class Fate(IntEnum):
    DELIVERED = 0
    LOST = 1
    DOUBLED = 2


class Participant(msgspec.Struct):
    role: str  # proxy, switch or handset
    place: int  # its exchange


class ClassOfCall(msgspec.Struct):
    name: str
    target: float
    give_up: float


class Header(msgspec.Struct, kw_only=True):
    """What the judge must know beside the datagrams. Spans are ms."""

    participants: list[Participant]
    exchanges: list[str]
    classes: list[ClassOfCall]
    class_digit: int = 1  # which digit of a number names its class
    capacities: list[float]  # set-ups a second of each exchange's switch when warm
    guard: float = 300.0
    grace: float = 250.0
    cold_share: float = 0.3
    cold_span: float = 15_000.0
    fall_multiple: float = 2.5
    tip_after: float = 3000.0


class DatagramRecord(msgspec.Struct, tag="d", array_like=True):
    at: float
    sender: int
    receiver: int
    fate: Fate
    data: bytes
    late: float = 0.0  # ms after which its first copy was let through
    latest: float = 0.0  # and its last one


class ToldRecord(msgspec.Struct, tag="t", array_like=True):
    """A box was told of a switch by the directory."""

    at: float
    box: int
    place: int
    state: str
    switch: int


class MarkRecord(msgspec.Struct, tag="m", array_like=True):
    """Something that the scenario did: `cold_start` of the switch at a place, `end` of the offered load."""

    at: float
    kind: str
    place: int


Record = DatagramRecord | ToldRecord | MarkRecord


class TraceWriter:
    def __init__(self, path: Path, header: Header) -> None:
        self.file = path.open("wb", buffering=1 << 20)
        self.encoder = msgspec.msgpack.Encoder()
        self._put(self.encoder.encode(header))

    def _put(self, raw: bytes) -> None:
        self.file.write(len(raw).to_bytes(4, "big") + raw)

    def write(self, record: Record) -> None:
        self._put(self.encoder.encode(record))

    def close(self) -> None:
        self.file.close()


def read_trace(path: Path) -> tuple[Header, Iterator[Record]]:
    file = path.open("rb")

    def part() -> bytes | None:
        head = file.read(4)
        if not head:
            return None
        raw = file.read(int.from_bytes(head, "big")) if len(head) == 4 else b""
        if len(head) < 4 or len(raw) < int.from_bytes(head, "big"):
            raise TraceError(f"{path}: cut short at byte {file.tell()}")
        return raw

    try:
        header: Header = msgspec.msgpack.decode(part() or b"", type=Header)
    except msgspec.DecodeError as fault:
        raise TraceError(f"{path}: not a trace: {fault}") from None

    def records() -> Iterator[Record]:
        decoder: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)
        with file:
            while (raw := part()) is not None:
                try:
                    yield decoder.decode(raw)
                except msgspec.DecodeError as fault:
                    raise TraceError(f"{path}: bad record before byte {file.tell()}: {fault}") from None

    return header, records()
