"""The record store on disk: segments in a folder, one writer. What it does is decided in `records/`.

`Disk` is all that touches files, so that a test can put a failing one in its place. The folder is locked
while a store is open: two boxes that write to one store would each undo the other.
"""

from __future__ import annotations

import errno
import fcntl
import os
import secrets
from collections.abc import Sequence
from pathlib import Path

import structlog

from dapplehinge.records import checkpoint
from dapplehinge.records.checkpoint import Checkpoint, Unresolved
from dapplehinge.records.entry import Record, encode
from dapplehinge.records.journal import Append, Begin, Journal, Kept, let_go
from dapplehinge.records.recovery import Finding, Plan, Step, plan
from dapplehinge.records.segment import HEADER_SIZE, SEAL_SIZE

SUFFIX, ASIDE, INDEX_SUFFIX, OPEN_SUFFIX = ".seg", ".aside", ".idx", ".open"
EXPORTED = "exported"  # holds the number of the last segment that was exported whole


class StoreError(Exception):
    """The store can't be opened; the text names the place."""


class Disk:
    """The few calls on files that a store needs; each raises `OSError`."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder

    def names(self, suffix: str) -> list[str]:
        return sorted(each.name for each in self.folder.iterdir() if each.suffix == suffix)

    def read(self, name: str) -> bytes:
        return (self.folder / name).read_bytes()

    def end(self, name: str, length: int) -> bytes:
        with (self.folder / name).open("rb") as file:
            file.seek(max(0, os.fstat(file.fileno()).st_size - length))
            return file.read(length)

    def put(self, name: str, data: bytes) -> None:
        """Write a file whole or not at all; it is not synced, as nothing depends on it."""
        part = self.folder / (name + ".part")
        part.write_bytes(data)
        os.rename(part, self.folder / name)

    def begin(self, name: str, data: bytes) -> None:
        file = os.open(self.folder / name, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o640)
        try:
            self._write(file, data)
        finally:
            os.close(file)
        self.sync_folder()

    def append(self, name: str, data: bytes) -> None:
        file = os.open(self.folder / name, os.O_WRONLY | os.O_APPEND)
        try:
            self._write(file, data)
        finally:
            os.close(file)

    @staticmethod
    def _write(file: int, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[os.write(file, view) :]

    def sync(self, name: str) -> None:
        file = os.open(self.folder / name, os.O_RDONLY)
        try:
            os.fdatasync(file)
        finally:
            os.close(file)

    def sync_folder(self) -> None:
        file = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(file)
        finally:
            os.close(file)

    def cut(self, name: str, length: int) -> None:
        file = os.open(self.folder / name, os.O_WRONLY)
        try:
            os.ftruncate(file, length)
            os.fsync(file)
        finally:
            os.close(file)

    def remove(self, name: str) -> None:
        (self.folder / name).unlink(missing_ok=True)
        self.sync_folder()

    def rename(self, name: str, to: str) -> None:
        os.rename(self.folder / name, self.folder / to)
        self.sync_folder()


def segment_name(number: int) -> str:
    return f"{number:012d}{SUFFIX}"


def read_key(folder: Path, file: Path | None) -> bytes:
    """The key of the seals: the operator's file, or one made beside the store on first use."""
    path = file or folder / "key"
    if file is None and not path.exists():
        fresh = folder / "key.new"
        fresh.touch(mode=0o600)
        fresh.write_bytes(secrets.token_bytes(32))
        fresh.rename(path)
    try:
        key = path.read_bytes()
    except OSError as fault:
        raise StoreError(f"{path}: the key of the records can not be read: {fault.strerror}") from None
    if len(key) < 16:
        raise StoreError(f"{path}: a key has at least 16 bytes, found {len(key)}")
    return key


def look(disk: Disk, key: bytes, whole: bool = True) -> tuple[Plan, list[str], list[bytes]]:
    """Read segments and decide on them; nothing is changed. Not `whole`: those after the last checkpoint."""
    names, since = disk.names(SUFFIX), None
    if not whole:
        known = set(disk.names(OPEN_SUFFIX))
        for place in reversed(range(len(names))):
            name = names[place].removesuffix(SUFFIX)
            if name + OPEN_SUFFIX in known:
                end = disk.end(names[place], SEAL_SIZE)
                since = checkpoint.read(disk.read(name + OPEN_SUFFIX), int(name), end)
                if since is not None:
                    names = names[place + 1 :]
                    break
    files = [disk.read(name) for name in names]
    return plan(files, key, since), names, files


class Store:
    """One writer. `open` recovers; `commit` makes a batch durable or leaves no trace of it."""

    def __init__(
        self, disk: Disk, key: bytes, most_segment: int = 8 << 20, most_bytes: int = 1 << 30,
        most_age: float = 400 * 86_400_000.0,
    ) -> None:  # fmt: skip
        self.disk = disk
        self.key = key
        self.most_segment = most_segment
        self.most_bytes, self.most_age = most_bytes, most_age
        self.log = structlog.get_logger()
        self.undo: int | None = None  # the durable length to go back to, of the segment that was open
        self.undo_number = -1
        self._lock = -1
        self.recovered: list[Record] = []
        try:
            self.journal = self._open()
        except BaseException:
            self.close()
            raise

    def _open(self) -> Journal:
        folder = self.disk.folder
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._lock = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, 0o640)
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            made, names, files = look(self.disk, self.key, whole=False)
            for name, (step, length) in zip(names, made.steps, strict=True):
                if step is Step.CUT:
                    self.disk.cut(name, length)
                elif step is Step.REMOVE:
                    self.disk.remove(name)
                elif step is Step.SET_ASIDE:
                    self.disk.rename(name, name + ASIDE)
        except BlockingIOError:
            raise StoreError(f"{folder}: another box writes its records there") from None
        except OSError as fault:
            raise StoreError(f"{folder}: the records can not be opened: {fault.strerror}") from None
        if made.to_write:
            calls = [record.intent.id for record in made.to_write]
            self.log.warning("records.cut_off", calls=len(calls), first=calls[0], last=calls[-1])
        for found in made.found:
            if found.what is Finding.INTERRUPTED:
                continue
            where = names[found.segment] if found.segment >= 0 else ""
            self.log.warning("records.found", what=found.what.name.lower(), segment=where, text=found.text)
        open_data = b""
        if made.go_on >= 0:
            open_data = files[made.go_on][: made.steps[made.go_on][1]]
        self.unresolved = Unresolved(made.unresolved)
        journal = Journal(made, open_data, self.key, self.most_segment)
        self.journal = journal
        self.recovered = made.to_write
        if made.to_write and not self.commit([encode(record) for record in made.to_write]):
            raise StoreError(f"{folder}: records of calls that a crash cut off can not be written")
        return self.journal

    def commit(self, payloads: Sequence[bytes]) -> bool:
        """Write and sync these entries: all of them are durable then, or none of them is there."""
        try:
            self._undo()
        except OSError as fault:
            self.log.error("records.stuck", reason=fault.strerror)
            return False
        mark = self.journal.mark()
        touched: set[str] = set()
        steps: list[Begin | Append] = []
        try:
            steps = self.journal.steps(payloads)
            for step in steps:
                name = segment_name(step.number)
                if isinstance(step, Begin):
                    self.disk.begin(name, step.data)
                else:
                    self.disk.append(name, step.data)
                touched.add(name)
            for name in sorted(touched):
                self.disk.sync(name)
        except OSError as fault:
            self.log.error("records.write_failed", reason=fault.strerror, entries=len(payloads))
            self.journal.restore(mark)
            self.undo, self.undo_number = mark.size, mark.number
            if fault.errno in (errno.ENOSPC, errno.EDQUOT):
                self._make_room(sum(map(len, payloads)))
            return False
        self._checkpoints(steps, payloads)
        return True

    def _checkpoints(self, steps: Sequence[Begin | Append], payloads: Sequence[bytes]) -> None:
        """Leave beside each segment that was sealed what it left open."""
        done = 0
        for step in steps:
            if isinstance(step, Append) and step.sealed_after:
                for payload in payloads[done : step.sealed_after]:
                    self.unresolved.wrote(payload)
                done = step.sealed_after
                found = Checkpoint(step.number, step.following, step.code, self.unresolved.intents)
                name = f"{step.number:012d}{OPEN_SUFFIX}"
                try:
                    self.disk.put(name, checkpoint.write(found))
                except OSError as fault:  # a start reads further back, that is all
                    self.log.warning("records.no_checkpoint", reason=fault.strerror)
        for payload in payloads[done:]:
            self.unresolved.wrote(payload)

    def _undo(self) -> None:
        """Take back what a failed batch left: nothing of it was told as durable."""
        if self.undo is None:
            return
        following = self.journal.at.following
        for name in self.disk.names(SUFFIX):
            number = int(name.removesuffix(SUFFIX))
            if number >= following:
                self.disk.remove(name)
            elif number == self.undo_number:
                self.disk.cut(name, max(HEADER_SIZE, self.undo))
        self.undo = None

    def _make_room(self, need: int) -> None:
        """The stated order of giving way on a full disk: indexes, then exported segments, oldest first."""
        try:
            for name in self.disk.names(INDEX_SUFFIX):
                self.disk.remove(name)
            self._retain(0.0, need + self.most_segment)
        except OSError as fault:
            self.log.error("records.no_room", reason=fault.strerror)

    def exported(self) -> int:
        """Number of the last segment that was exported whole; -1: none."""
        try:
            return int(self.disk.read(EXPORTED))
        except (OSError, ValueError):
            return -1

    def retain(self, now: float) -> None:
        """Let segments go by age and size; `now` in ms since the epoch. Not while calls wait for a write."""
        try:
            self._retain(now, 0)
        except OSError as fault:
            self.log.error("records.not_removed", reason=fault.strerror)

    def _retain(self, now: float, need: int) -> None:
        done, open_number = self.exported(), self.journal.at.number
        kept = []
        for name in self.disk.names(SUFFIX):
            number, path = int(name.removesuffix(SUFFIX)), self.disk.folder / name
            if number != open_number:
                found = path.stat()
                kept.append(Kept(number, found.st_size, found.st_mtime * 1000.0, number <= done))
        age = self.most_age if now else float("inf")
        for number in let_go(kept, now, age, self.most_bytes, need):
            self.log.warning("records.let_go", segment=segment_name(number))
            self.disk.remove(segment_name(number))
            self.disk.remove(f"{number:012d}{OPEN_SUFFIX}")

    def seal(self) -> bool:
        """Close the open segment before it is full."""
        mark = self.journal.mark()
        try:
            self._undo()
            for step in self.journal.close():
                self.disk.append(segment_name(step.number), step.data)
                self.disk.sync(segment_name(step.number))
        except OSError as fault:
            self.log.error("records.not_sealed", reason=fault.strerror)
            self.journal.restore(mark)
            self.undo, self.undo_number = mark.size, mark.number
            return False
        return True

    def close(self) -> None:
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1
