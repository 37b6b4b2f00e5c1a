"""Looking calls up by the indexes: a few words of each index are read, and the frames that they name."""

from __future__ import annotations

import mmap
from bisect import bisect_left
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path

from dapplehinge.proxy.ledger import RATINGS
from dapplehinge.proxy.store import INDEX_SUFFIX, SUFFIX, Disk
from dapplehinge.records import index
from dapplehinge.records.entry import Correction, Entry, Record, decode, id_of
from dapplehinge.records.index import Index
from dapplehinge.records.rating import newest_ratings
from dapplehinge.records.segment import FRAME_SIZE, SEAL_SIZE, State, frame, scan
from dapplehinge.records.settle import Line, line


class Finder:
    """Indexes are opened once, and built where they are missing; the open segment is read as it is."""

    def __init__(self, folder: Path) -> None:
        self.disk = Disk(folder)
        self.sealed: list[tuple[str, Index]] = []
        self.open_by_id: dict[str, list[Record | Correction]] = {}
        self.open_by_number: dict[str, list[Record]] = {}
        self.open_by_time: list[tuple[float, int, Record]] = []
        for name in self.disk.names(SUFFIX):
            found = self._index(name)
            if found is not None:
                self.sealed.append((name, found))
            else:
                for payload in scan(self.disk.read(name)).payloads:
                    self._keep(decode(payload))
        self.open_by_time.sort()

    def _keep(self, entry: Entry) -> None:
        if isinstance(entry, Record | Correction):
            self.open_by_id.setdefault(id_of(entry), []).append(entry)
        if isinstance(entry, Record):
            for number in {entry.intent.number, entry.intent.caller}:
                self.open_by_number.setdefault(number, []).append(entry)
            self.open_by_time.append((entry.intent.at, len(self.open_by_time), entry))

    def _index(self, name: str) -> Index | None:
        path = self.disk.folder / (name.removesuffix(SUFFIX) + INDEX_SUFFIX)
        end = self.disk.end(name, SEAL_SIZE)
        if path.exists():
            with path.open("rb") as file:
                data = memoryview(mmap.mmap(file.fileno(), 0, access=mmap.ACCESS_READ))
            found = Index.open(data, end)
            if found is not None:
                return found
        whole = scan(self.disk.read(name))
        if whole.state is not State.SEALED:
            return None
        made = index.build(whole)
        self.disk.put(path.name, made)
        return Index.open(memoryview(made), end)

    def _read(self, name: str, places: Sequence[int]) -> Iterator[Record | Correction]:
        with (self.disk.folder / name).open("rb") as file:
            for place in places:
                file.seek(place)
                head = file.read(FRAME_SIZE)
                length, sequence = int.from_bytes(head[:4], "big"), int.from_bytes(head[4:12], "big")
                payload = file.read(length)
                if frame(sequence, payload) == head + payload:
                    entry = decode(payload)
                    if isinstance(entry, Record | Correction):
                        yield entry

    def _find(
        self, places: Callable[[Index], Sequence[int]], wanted: Callable[[Record | Correction], bool]
    ) -> list[Record | Correction]:
        found: list[Record | Correction] = []
        for name, each in self.sealed:
            hits = places(each)
            if hits:
                found += [entry for entry in self._read(name, hits) if wanted(entry)]
        return found

    def call(self, call: str) -> list[Record | Correction]:
        sealed = self._find(lambda each: each.by_id(call), lambda entry: id_of(entry) == call)
        return [*sealed, *self.open_by_id.get(call, [])]

    def number(self, number: str) -> list[Record | Correction]:
        """Calls to this number, or from it."""
        sealed = self._find(
            lambda each: sorted(set(each.by_number(number))),
            lambda e: isinstance(e, Record) and number in (e.intent.number, e.intent.caller),
        )
        return [*sealed, *self.open_by_number.get(number, [])]

    def between(self, low: float, high: float) -> list[Record | Correction]:
        sealed = self._find(
            lambda each: each.between(low, high),
            lambda entry: isinstance(entry, Record) and low <= entry.intent.at < high,
        )
        first, last = (bisect_left(self.open_by_time, (when, -1)) for when in (low, high))
        return [*sealed, *(record for _, _, record in self.open_by_time[first:last])]


def lines_of(folder: Path, found: Sequence[Record | Correction]) -> list[Line]:
    """These records as exported calls, each with the rating that counts."""
    rated = folder / RATINGS
    ratings = Finder(rated) if rated.is_dir() else None
    lines = []
    for record in found:
        if isinstance(record, Record):
            known = ratings.call(record.intent.id) if ratings is not None else []
            newest = newest_ratings([each for each in known if isinstance(each, Correction)])
            lines.append(line(record, newest.get(record.intent.id)))
    return lines
