"""What a segment holds: an intent before the final answer leaves the box, and a record once the call is over.

Times are milliseconds since the epoch (UTC), spans milliseconds on a clock that only goes forward, so a
wall clock that is set back spoils no duration. An id is the box's name, its start and the call's number
there, so it is never given twice, and goes with the call over all its legs and boxes.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec


class Outcome(StrEnum):
    STOOD = "stood"
    REFUSED = "refused"
    FAILED = "failed"
    INTERRUPTED = "interrupted"  # the box died while the call was in hand; its end is not known


class LegEntry(msgspec.Struct, frozen=True, array_like=True):
    """One attempt: where it went, when, for how long it was out, and how it ended."""

    attempt: int
    exchange: str
    tandem: bool
    placed: float  # ms after the call came
    ended: float | None  # likewise; None: it was the call's leg to the end, or its end is not known
    cause: int


class Intent(msgspec.Struct, frozen=True, tag="i"):
    """Durable before the final answer leaves: the call will have this record, whatever happens next."""

    id: str
    at: float
    number: str
    caller: str
    kind: str
    tenant: str
    origin: str  # the exchange that the call came from
    destination: str
    outcome: Outcome
    legs: tuple[LegEntry, ...] = ()


class Record(msgspec.Struct, frozen=True, tag="r"):
    """The one record of a call, written when it is over."""

    intent: Intent
    answered: float | None  # ms after the call came; None: it never was
    ended: float | None  # likewise; None: not known
    cause: int
    legs: tuple[LegEntry, ...]
    recovered: bool = False  # made on start from an intent without a record


class Correction(msgspec.Struct, frozen=True, tag="c"):
    """A later word on a record, such as a new rating; the record stays as it is."""

    id: str
    at: float
    reason: str
    fields: dict[str, str]


Entry = Intent | Record | Correction

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Entry] = msgspec.msgpack.Decoder(Entry)


def encode(entry: Entry) -> bytes:
    return _encoder.encode(entry)


def decode(raw: bytes) -> Entry:
    """`msgspec.DecodeError` (a `ValueError`) where the bytes are no entry."""
    return _decoder.decode(raw)


def id_of(entry: Entry) -> str:
    return entry.intent.id if isinstance(entry, Record) else entry.id
