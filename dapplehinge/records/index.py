"""An index beside a sealed segment: by call id, by number, and by time; made for segments that never change.

    magic (8), count (8), code of the segment's seal (32), checksum of the rest (8), then four tables:
    ids       fingerprint of the call id, and the frame's offset     count entries, sorted
    numbers   fingerprint of the number called, and of the caller's  two entries a call, sorted
    times     ms since the epoch, and the frame's offset             count entries, sorted

Each table is two runs of 64-bit words, keys and offsets, so that a search touches a few words of a mapped
file and nothing is decoded. Fingerprints are XXH3; a hit is proven by the frame itself, which has its own
checksum. The index can be built again from its segment at any time, and is when it is missing or not the
segment's.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections.abc import Sequence
from dataclasses import dataclass
from math import ceil

import xxhash

from dapplehinge.records.entry import Correction, Record, decode, id_of
from dapplehinge.records.segment import FRAME_SIZE, HEADER_SIZE, SEAL_SIZE, Scan

MAGIC = b"DHidx\x00\x00\x01"
HEAD = 56
WORD = 8


def fingerprint(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())


def build(found: Scan) -> bytes:
    """The index of a sealed segment's scan."""
    ids, numbers, times = [], [], []
    at = HEADER_SIZE
    for payload in found.payloads:
        entry = decode(payload)
        if isinstance(entry, Record | Correction):
            ids.append((fingerprint(id_of(entry)), at))
            if isinstance(entry, Record):
                numbers.append((fingerprint(entry.intent.number), at))
                numbers.append((fingerprint(entry.intent.caller), at))
                times.append((int(entry.intent.at), at))
            else:
                numbers += [(0, at), (0, at)]
                times.append((int(entry.at), at))
        at += FRAME_SIZE + len(payload)
    body = b""
    for table in (ids, numbers, times):
        table.sort()
        body += array("Q", (key for key, _ in table)).tobytes()
        body += array("Q", (place for _, place in table)).tobytes()
    head = MAGIC + len(ids).to_bytes(8, "little") + found.code
    return head + xxhash.xxh3_64(body).digest() + body


@dataclass(slots=True)
class Index:
    """A reader over the bytes of an index; `None` from `open` where they are not this segment's."""

    words: memoryview
    count: int

    @classmethod
    def open(cls, data: memoryview, segment_end: bytes) -> Index | None:
        if len(data) < HEAD or bytes(data[:8]) != MAGIC or len(segment_end) < SEAL_SIZE:
            return None
        count = int.from_bytes(data[8:16], "little")
        body = data[HEAD:]
        if bytes(data[16:48]) != segment_end[-32:] or len(body) != 8 * count * WORD:
            return None
        if xxhash.xxh3_64(body).digest() != bytes(data[48:HEAD]):
            return None
        return cls(body.cast("Q"), count)

    def _hits(self, start: int, length: int, low: int, high: int) -> Sequence[int]:
        """Offsets of the entries with low <= key < high in the table at `start`."""
        keys = self.words[start : start + length]
        first = bisect_left(keys, low)
        last = bisect_left(keys, high, first)
        return self.words[start + length + first : start + length + last].tolist()

    def by_id(self, call: str) -> Sequence[int]:
        key = fingerprint(call)
        return self._hits(0, self.count, key, key + 1)

    def by_number(self, number: str) -> Sequence[int]:
        key = fingerprint(number)
        return self._hits(2 * self.count, 2 * self.count, key, key + 1)

    def between(self, low: float, high: float) -> Sequence[int]:
        """Calls that came from `low` to before `high`, ms since the epoch, in their order."""
        last = ceil(min(high, 2.0**62))
        return self._hits(6 * self.count, self.count, int(max(low, 0.0)), last)
