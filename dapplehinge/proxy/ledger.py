"""Reading a record store beside the box that writes it: records, ratings, and exports.

Ratings are kept in a store of their own in the folder (`ratings`), so that a box need not stop for them.
"""

from __future__ import annotations

import csv
import io
import os
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from dapplehinge.proxy.store import EXPORTED, SUFFIX, Disk, Store, StoreError, look, read_key
from dapplehinge.records.entry import Record, decode, encode
from dapplehinge.records.rating import Tariff, newest_ratings, to_write
from dapplehinge.records.recovery import Finding, Found
from dapplehinge.records.segment import State, scan
from dapplehinge.records.settle import Line, line

RATINGS = "ratings"
FORMATS = ("csv", "jsonl")


@dataclass(slots=True)
class Shelf:
    """What a store holds, in the order of writing."""

    folder: Path
    key: bytes
    records: dict[str, Record]
    lines: dict[str, Line] = field(default_factory=dict)
    found: list[Found] = field(default_factory=list)
    names: list[str] = field(default_factory=list)
    open_calls: int = 0  # intents whose call is not over, or whose box died and was not started again


def read_shelf(folder: Path, key_file: Path | None = None) -> Shelf:
    if not folder.is_dir():
        raise StoreError(f"{folder}: no such folder")
    if not Disk(folder).names(SUFFIX):
        raise StoreError(f"{folder}: holds no records")
    key = read_key(folder, key_file)
    made, names, _ = look(Disk(folder), key)
    waiting = {record.intent.id for record in made.to_write}
    records = {call: record for call, record in made.records.items() if call not in waiting}
    corrections = []
    if (folder / RATINGS).is_dir():
        rated, _, _ = look(Disk(folder / RATINGS), key)
        corrections = rated.corrections
    ratings = newest_ratings(corrections)
    shelf = Shelf(folder, key, records, found=made.found, names=names, open_calls=len(waiting))
    shelf.lines = {call: line(record, ratings.get(call)) for call, record in records.items()}
    return shelf


def troubles(shelf: Shelf) -> list[Found]:
    """What of the findings a person must look at: calls in progress and the end being written are none."""
    usual = {Finding.INTERRUPTED, Finding.CLOCK_WENT_BACK, Finding.EMPTY_SEGMENT}
    last = len(shelf.names) - 1
    return [
        each
        for each in shelf.found
        if each.what not in usual and not (each.what is Finding.TORN_TAIL and each.segment == last)
    ]


def rate_all(shelf: Shelf, tariff: Tariff, now: float) -> tuple[int, dict[str, str]]:
    """Write the ratings that are missing or differ; how many, and why some calls have none."""
    store = Store(Disk(shelf.folder / RATINGS), shelf.key)
    try:
        known, _, _ = look(Disk(shelf.folder / RATINGS), shelf.key)
        made, problems = to_write(shelf.records, known.corrections, tariff, now)
        if made and not store.commit([encode(each) for each in made]):
            raise StoreError(f"{shelf.folder / RATINGS}: the ratings can not be written")
    finally:
        store.close()
    return len(made), problems


def export(shelf: Shelf, to: Path, form: str) -> tuple[list[Path], int]:
    """One file for each sealed segment, under its number; how many records wait in the open one.

    A file is written whole under another name and renamed, and the cursor moves after it: cut off anywhere
    and run again, the same files stand there with the same bytes.
    """
    to.mkdir(parents=True, exist_ok=True)
    disk, files, waiting = Disk(shelf.folder), [], 0
    for name in shelf.names:
        found = scan(disk.read(name))
        calls = []
        for payload in found.payloads:
            entry = decode(payload)
            if isinstance(entry, Record):
                calls.append(entry.intent.id)
        if found.state is not State.SEALED:
            waiting += len(calls)
            continue
        file = to / f"{name.removesuffix(SUFFIX)}.{form}"
        _put(file, render([shelf.lines[call] for call in calls if call in shelf.lines], form))
        _put(shelf.folder / EXPORTED, str(found.number))
        files.append(file)
    return files, waiting


def _put(file: Path, content: str) -> None:
    part = file.with_name(file.name + ".part")
    with part.open("w", newline="") as out:
        out.write(content)
        out.flush()
        os.fsync(out.fileno())
    part.rename(file)


def render(lines: list[Line], form: str) -> str:
    if form == "jsonl":
        return "".join(msgspec.json.encode(each).decode() + "\n" for each in lines)
    out = io.StringIO()
    writer = csv.writer(out)
    writer.writerow(Line.__struct_fields__)
    for each in lines:
        values = (getattr(each, name) for name in Line.__struct_fields__)
        writer.writerow("" if value is None else value for value in values)
    return out.getvalue()


def read_lines(path: Path, key_file: Path | None = None) -> list[Line]:
    """The calls of a store's folder, of one exported file, or of a folder of them."""
    if path.is_dir() and Disk(path).names(SUFFIX):
        return list(read_shelf(path, key_file).lines.values())
    files = [path]
    if path.is_dir():
        files = sorted(each for each in path.iterdir() if each.suffix in (".csv", ".jsonl"))
    if not files:
        raise StoreError(f"{path}: holds neither records nor exports of them")
    return [each for file in files for each in _read_file(file)]


def _read_file(file: Path) -> list[Line]:
    found: list[Line] = []
    text = file.read_text()
    rows: list[tuple[int, object]] = []
    if file.suffix == ".jsonl":
        rows = [(n, raw) for n, raw in enumerate(text.splitlines(), 1) if raw.strip()]
    else:
        rows = [(n, row) for n, row in enumerate(csv.DictReader(io.StringIO(text)), 2)]
    for number, raw in rows:
        try:
            if isinstance(raw, str):
                found.append(msgspec.json.decode(raw, type=Line))
            else:
                assert isinstance(raw, dict)
                row = {k: (None if v == "" and k in ("answered", "ended") else v) for k, v in raw.items()}
                row["recovered"] = row.get("recovered") == "True"
                found.append(msgspec.convert(row, Line, strict=False))
        except (ValueError, msgspec.DecodeError) as fault:
            raise StoreError(f"{file}, line {number}: no exported call: {fault}") from None
    return found
