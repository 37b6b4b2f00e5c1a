"""What a sealed segment leaves open: the intents whose calls were not over when it was sealed.

A start would have to read every segment that there is, to know which intents have their records. Beside
each sealed segment a checkpoint holds those that had none, so that a start reads the segments after the
newest whole checkpoint alone: as much as was written since, however much there is. A checkpoint is a mere
shortcut. It carries the code of its segment's seal and a checksum; one that is missing, torn or another
segment's is passed over, and the start reads further back.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
import xxhash

from dapplehinge.records.entry import Intent, Record, decode
from dapplehinge.records.segment import SEAL_SIZE

MAGIC = b"DHopn\x00\x00\x01"


class _Content(msgspec.Struct, array_like=True):
    number: int
    following: int  # sequence of the first frame of the next segment
    code: bytes
    intents: list[Intent]


@dataclass(slots=True)
class Checkpoint:
    number: int
    following: int
    code: bytes
    intents: dict[str, Intent] = field(default_factory=dict)


def write(found: Checkpoint) -> bytes:
    content = _Content(found.number, found.following, found.code, list(found.intents.values()))
    raw = MAGIC + msgspec.msgpack.encode(content)
    return raw + xxhash.xxh3_64(raw).digest()


def read(raw: bytes, number: int, segment_end: bytes) -> Checkpoint | None:
    """The checkpoint, where it is whole and its segment's; `segment_end`: that segment's seal."""
    body, sum_ = raw[:-8], raw[-8:]
    if not body.startswith(MAGIC) or xxhash.xxh3_64(body).digest() != sum_:
        return None
    try:
        content: _Content = msgspec.msgpack.decode(body[len(MAGIC) :], type=_Content)
    except msgspec.DecodeError:
        return None
    if content.number != number or len(segment_end) < SEAL_SIZE or content.code != segment_end[-32:]:
        return None
    intents = {intent.id: intent for intent in content.intents}
    return Checkpoint(number, content.following, content.code, intents)


class Unresolved:
    """Follows what is written: the intents without a record, as of the last entry."""

    def __init__(self, intents: dict[str, Intent] | None = None) -> None:
        self.intents = dict(intents or {})

    def wrote(self, payload: bytes) -> None:
        entry = decode(payload)
        if isinstance(entry, Intent):
            self.intents[entry.id] = entry
        elif isinstance(entry, Record):
            self.intents.pop(entry.intent.id, None)
