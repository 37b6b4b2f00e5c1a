"""The adapter: reads the bench's wire, hosts many instances of the controller, writes their actions.

It translates and nothing more; every decision is in `dapplehinge.rules`.
"""

from __future__ import annotations

import struct
import sys
from collections.abc import Callable
from typing import Any, BinaryIO, TypeVar

from dapplehinge import interface as api
from dapplehinge.platform.settings import LOADS, Facts, SettingsError, pools_of, settings_from
from dapplehinge.rules import Controller

T = TypeVar("T")

__all__ = ["Facts", "Host", "Instance", "encode", "main", "pools_of", "serve"]

HEADER = struct.Struct(">IId")
REPLY_HEADER = struct.Struct(">III")
ENTRY = struct.Struct(">dfH6sHBH")
U16 = struct.Struct(">H")
U32 = struct.Struct(">I")
BORN = struct.Struct(">IQI")
ROSTER = struct.Struct(">HI")
MEMBERS = struct.Struct(">IIHB")
SUBMIT = struct.Struct(">IIHfQBddffH")
PROBE_DONE = struct.Struct(">I6sHdB")
DEADLINE_HIT = struct.Struct(">IQ")
BEGUN = struct.Struct(">IId6sH")
ANSWER = struct.Struct(">IIH6sHdBIB")
HANGUP = struct.Struct(">II")
PEER_DATA = struct.Struct(">IHH")

MARK_REDIALLED, MARK_TRANSIT, MARK_CUT = 2, 8, 16
ALL_PEERS = 0xFFFFFFFF

STATES = {0: api.SwitchState.READY, 1: api.SwitchState.GONE, 2: api.SwitchState.DRAINING}
LIST_KINDS = {
    0: api.ListKind.CHANGES,
    1: api.ListKind.WHOLE,
    2: api.ListKind.SAVED,
    3: api.ListKind.FAILED,
}
OUTCOMES = {
    200: api.Outcome.COMPLETED,
    502: api.Outcome.LINE_BUSY,
    429: api.Outcome.REJECTED,
    408: api.Outcome.TIMED_OUT,
    521: api.Outcome.UNREACHABLE,
    520: api.Outcome.CUT,
    444: api.Outcome.CANCELLED,
    409: api.Outcome.NOT_SENT,
}
CAUSES = {
    0: api.Cause.NONE,
    1: api.Cause.NO_CIRCUIT,
    2: api.Cause.TURNED_BACK,
    18: api.Cause.TURNED_BACK_FULL,
    3: api.Cause.PROCESSOR_FULL,
    4: api.Cause.LINES_ENGAGED,
}


class WireError(Exception):
    """The input does not follow the wire."""


class Instance:
    """One controller and what its reports mean."""

    def __init__(self, number: int, seed: int, facts: Facts) -> None:
        self.number = number
        self.controller = Controller(settings_from(facts), seed)
        self.loads = [LOADS.get(name) for name in facts.items("reporting.names")]

    def report(self, values: tuple[float, ...]) -> tuple[tuple[api.Load, float], ...]:
        pairs = zip(self.loads, values, strict=False)
        return tuple((load, value) for load, value in pairs if load is not None and value >= 0)


def switch_address(switch: api.SwitchId) -> bytes:
    return switch.to_bytes(6, "big")


class Host:
    """All instances of this process, and the numbered lists that they share by the wire's rules."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.rosters: dict[int, tuple[api.SwitchEntry, ...]] = {}
        self.now = 0.0
        self.body = b""
        self.at = 0
        self.readers: dict[int, Callable[[], list[bytes]]] = {
            0: self.hangup,
            1: self.kill,
            2: self.begun,
            3: self.members,
            4: self.submit,
            5: self.deadline_hit,
            6: self.peer_data,
            7: self.answer,
            8: self.probe_done,
            9: self.roster,
            10: self.born,
        }

    def batch(self, now: float, body: bytes) -> list[bytes]:
        self.now, self.body, self.at = now, body, 0
        records: list[bytes] = []
        while self.at < len(body):
            code = body[self.at]
            self.at += 1
            reader = self.readers.get(code)
            if reader is None:
                raise WireError(f"unknown event code {code}")
            records += reader()
        return records

    def take(self, layout: struct.Struct) -> tuple[Any, ...]:
        try:
            fields = layout.unpack_from(self.body, self.at)
        except struct.error:
            raise WireError("an event is cut short") from None
        self.at += layout.size
        return fields

    def take_bytes(self, count: int) -> bytes:
        end = self.at + count
        if end > len(self.body):
            raise WireError("a length runs past the end of the frame")
        part = self.body[self.at : end]
        self.at = end
        return part

    def take_values(self, count: int) -> tuple[float, ...]:
        return struct.unpack(f">{count}f", self.take_bytes(4 * count))

    def instance(self, number: int) -> Instance:
        try:
            return self.instances[number]
        except KeyError:
            raise WireError(f"event for an instance that is not alive: {number}") from None

    @staticmethod
    def known(table: dict[int, T], value: int, what: str) -> T:
        if value not in table:
            raise WireError(f"unknown {what}: {value}")
        return table[value]

    def tell(self, instance: Instance, event: api.Event) -> list[bytes]:
        try:
            actions = instance.controller.handle(self.now, event)
        except Exception as fault:  # a crash of the decisions ends the run with its cause
            place = fault.__traceback__
            while place is not None and place.tb_next is not None:
                place = place.tb_next
            line = place.tb_lineno if place is not None else 0
            text = f"{type(fault).__name__}: {fault} (line {line}, on {type(event).__name__})"
            return [written(b"\x05", instance.number, text)]
        return [encode(instance.number, action) for action in actions]

    def born(self) -> list[bytes]:
        number, seed, length = self.take(BORN)
        facts = Facts(self.take_bytes(length).decode("utf-8", "replace"))
        instance = self.instances[number] = Instance(number, seed, facts)
        return [encode(number, action) for action in instance.controller.start(self.now)]

    def kill(self) -> list[bytes]:
        (number,) = self.take(U32)
        self.instances.pop(number, None)
        return []

    def roster(self) -> list[bytes]:
        sheet, count = self.take(ROSTER)
        entries = []
        for started, size, zone, address, place, state, _ in ENTRY.iter_unpack(
            self.take_bytes(count * ENTRY.size)
        ):
            entries.append(
                api.SwitchEntry(
                    switch=int.from_bytes(address, "big"),
                    exchange=place,
                    state=self.known(STATES, state, "switch state"),
                    zone=zone,
                    started_at=started,
                    relative_size=size,
                )
            )
        self.rosters[sheet] = tuple(entries)
        return []

    def members(self) -> list[bytes]:
        number, _, sheet, mode = self.take(MEMBERS)
        kind = self.known(LIST_KINDS, mode, "list mode")
        entries: tuple[api.SwitchEntry, ...] = ()
        if kind is not api.ListKind.FAILED:
            entries = self.known(self.rosters, sheet, "roster")
        return self.tell(self.instance(number), api.SwitchList(kind, entries))

    def submit(self) -> list[bytes]:
        number, call, category, advised, dialled, marks, budget, _, dest, width, party = self.take(SUBMIT)
        transit = bool(marks & MARK_TRANSIT)
        event = api.CallOffered(
            call=call,
            call_class=category,
            destination=int(dest),
            budget=budget,
            width=int(width),
            in_transit=transit,
            redialled=bool(marks & MARK_REDIALLED),
            cut_before=bool(marks & MARK_CUT),
            tenant=party,
            number=dialled,
            advised=-1 if transit else int(advised),
        )
        return self.tell(self.instance(number), event)

    def begun(self) -> list[bytes]:
        number, call, took, address, attempt = self.take(BEGUN)
        switch = int.from_bytes(address, "big")
        return self.tell(self.instance(number), api.CallStands(call, attempt, switch, took))

    def answer(self) -> list[bytes]:
        number, call, attempt, address, code, took, over, cause, count = self.take(ANSWER)
        values = self.take_values(count)
        instance = self.instance(number)
        wait = 0.0
        if cause not in CAUSES and cause & 15 == 3:  # a full processor that states its wait
            wait, cause = float(cause >> 4), 3
        event = api.AttemptEnded(
            call=call,
            attempt=attempt,
            switch=int.from_bytes(address, "big"),
            outcome=self.known(OUTCOMES, code, "outcome"),
            cause=CAUSES.get(cause, api.Cause.NONE),
            took=took,
            concluded=bool(over),
            report=instance.report(values),
            stated_wait=wait,
        )
        return self.tell(instance, event)

    def probe_done(self) -> list[bytes]:
        number, address, code, took, count = self.take(PROBE_DONE)
        values = self.take_values(count)
        instance = self.instance(number)
        event = api.SwitchReport(
            switch=int.from_bytes(address, "big"),
            probed=not (code == 200 and took == 0.0),
            reached=code == 200,
            took=took,
            report=instance.report(values),
        )
        return self.tell(instance, event)

    def deadline_hit(self) -> list[bytes]:
        number, tag = self.take(DEADLINE_HIT)
        return self.tell(self.instance(number), api.TimerDue(tag))

    def hangup(self) -> list[bytes]:
        number, call = self.take(HANGUP)
        return self.tell(self.instance(number), api.CallerGone(call))

    def peer_data(self) -> list[bytes]:
        number, sender, length = self.take(PEER_DATA)
        content = self.take_bytes(length)
        return self.tell(self.instance(number), api.PeerMessage(sender, content))


def written(code: bytes, number: int, text: str) -> bytes:
    data = text.encode("utf-8", "replace")[:0xFFFF]
    return code + struct.pack(">IH", number, len(data)) + data


def encode(number: int, action: api.Action) -> bytes:
    match action:
        case api.SetTimer(span, tag):
            return struct.pack(">BIdQ", 9, number, span, tag)
        case api.SetUp(call, switch, time_out):
            return struct.pack(">BII6sd", 6, number, call, switch_address(switch), time_out)
        case api.Refuse(call, stay_away):
            return struct.pack(">BIId", 10, number, call, stay_away)
        case api.Fail(call):
            return struct.pack(">BII", 3, number, call)
        case api.Cancel(call, attempt):
            return struct.pack(">BIIH", 7, number, call, attempt)
        case api.Probe(switch):
            return struct.pack(">BI6s", 1, number, switch_address(switch))
        case api.Subscribe(active):
            return struct.pack(">BIB", 11, number, active)
        case api.FetchList():
            return struct.pack(">BI", 2, number)
        case api.CloseIdle(switch):
            return struct.pack(">BI6s", 0, number, switch_address(switch))
        case api.TellPeer(receiver, content):
            to = ALL_PEERS if receiver == api.EVERY_PEER else receiver
            return struct.pack(">BIIH", 8, number, to, len(content)) + content
        case api.Note(text):
            return written(b"\x04", number, text)


def read_fully(stream: BinaryIO, count: int) -> bytes:
    data = b""
    while len(data) < count:
        part = stream.read(count - len(data))
        if not part:
            break
        data += part
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    host = Host()
    while True:
        head = read_fully(source, HEADER.size)
        if not head:
            return
        if len(head) < HEADER.size:
            raise WireError("the input ends inside a header")
        number, length, now = HEADER.unpack(head)
        body = read_fully(source, length)
        if len(body) < length:
            raise WireError("the input ends inside a frame")
        records = host.batch(now, body)
        reply = b"".join(records)
        sink.write(REPLY_HEADER.pack(number, len(reply), len(records)) + reply)
        sink.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (WireError, SettingsError) as fault:
        print(f"dapplehinge: {fault}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
