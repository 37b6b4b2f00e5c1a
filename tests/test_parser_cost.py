"""What a parser costs in the length of its input: all of them run on the one event loop."""

import json
from collections.abc import Callable, Iterator
from contextlib import suppress
from math import inf
from time import process_time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dapplehinge.iax2 import elements, frames
from dapplehinge.isup import codec as isup
from dapplehinge.platform.members import Members
from dapplehinge.platform.offers import OfferError, OfferReader
from dapplehinge.platform.reports import ReportError, report_from
from dapplehinge.platform.settings import Facts
from dapplehinge.proxy.platform.callers import released_with
from dapplehinge.sip import codec as sip
from tests.platform_kit import SETTINGS, event, invite, row, said, told

BYTES = 16 * 1024
FEW_MS = 10.0
TRIES = 3  # the process may be held up in one of them
FEW_MS_A_READ = 0.005  # of one byte: each is a turn of the loop of its own

OFFERS = OfferReader(Facts.from_object(SETTINGS))
START = said().partition(b"Content-Length")[0]
ISUP_HEAD = b"\x3f\xfe\x09" + bytes(8)


def read_sip(data: bytes) -> None:
    messages, _ = sip.Reader().feed(data)
    for message in messages:
        message.echo()
        released_with(message)
        with suppress(OfferError):
            OFFERS.read(message)


def read_isup(data: bytes) -> None:
    messages, _ = isup.Reader().feed(data)
    for message in messages:
        if isup.Code.REPORT in message.parameters:
            with suppress(ReportError, isup.IsupError):
                report_from(message.text(isup.Code.REPORT))


def read_feed(data: bytes) -> None:
    with suppress(ValueError, RecursionError):
        Members(["east"], 0.0).take(json.loads(data))


def read_iax2(data: bytes) -> None:
    with suppress(frames.FrameError, elements.ElementError):
        frame = frames.read(data)
        if isinstance(frame, frames.Full):
            elements.read_elements(frame.payload)


def cost_ms(read: Callable[[bytes], None], data: bytes) -> float:
    """Processor time, the least of some tries."""
    least = inf
    for _ in range(TRIES):
        began = process_time()
        read(data)
        least = min(least, (process_time() - began) * 1000.0)
        if least <= FEW_MS:
            break
    return least


SIP_STARTS = [
    b"", b"INVITE ", b"INVITE sip:", b"SIP/2.0 200 ", START, START + b"Subject:", START + b"Subject",
    START + b"Via: ", START.replace(b"CSeq: 1 ", b"CSeq: 1"), START.partition(b"P-Path: ")[0] + b"P-Path: ",
    START.partition(b"P-Time-Left: ")[0] + b"P-Time-Left: ", START + b"Content-Length: ",
    START + b"Reason: Q.850;cause=", START + b"Content-Length: 9000\r\n\r\n",
]  # fmt: skip
SIP_ENDS = [b"", b"\x01", b"\r\n", b"\x01\r\n\r\n", b"\r\n\r\n", b"\r\nContent-Length: 0\r\n\r\n"]
UNITS = [
    b" ", b"\t", b" \t", b"\r\n", b"\r", b"\n", b":", b";", b"a", b"a;", b"a:1;", b"1", b"-", b"=",
    b"\x00", b"\xff",
]  # fmt: skip


@settings(derandomize=True, database=None, deadline=None, max_examples=400)
@given(
    st.sampled_from(SIP_STARTS),
    st.one_of(st.sampled_from(UNITS), st.binary(min_size=1, max_size=40)),
    st.sampled_from(SIP_ENDS),
)
def test_no_message_of_a_caller_holds_up_the_loop(start, unit, end):
    size = BYTES - len(start) - len(end)
    assert cost_ms(read_sip, start + (unit * (size // len(unit) + 1))[:size] + end) <= FEW_MS


@pytest.mark.parametrize("start", SIP_STARTS, ids=range(len(SIP_STARTS)))
@pytest.mark.parametrize("end", SIP_ENDS, ids=range(len(SIP_ENDS)))
def test_no_nearly_fitting_message_of_a_caller_holds_up_the_loop(start, end):
    for unit in UNITS:
        size = BYTES - len(start) - len(end)
        assert cost_ms(read_sip, start + (unit * size)[:size] + end) <= FEW_MS, unit


REPORT_START = ISUP_HEAD.replace(b"\x09", b"\x2b") + bytes([isup.Code.REPORT]) + b"\x3f\xf0"
ISUP_STARTS = {
    "nothing": b"",
    "head": ISUP_HEAD,
    "report": REPORT_START,
    "figure": REPORT_START + b"x0:",
    "fraction": REPORT_START + b"x0:0.",
    "releases": isup.release(1, 16) * 400,
}
ISUP_UNITS = [
    *UNITS, b"x0:1;", b"0", b"9", b"\x00\x00\x00", bytes([isup.Code.CAUSE, 0, 1, 16]),
    isup.release_complete(1), isup.release(1, 16),
]  # fmt: skip


@pytest.mark.parametrize("start", ISUP_STARTS.values(), ids=list(ISUP_STARTS))
def test_no_message_of_a_switch_holds_up_the_loop(start):
    for unit in ISUP_UNITS:
        size = BYTES - len(start)
        assert cost_ms(read_isup, start + (unit * size)[:size]) <= FEW_MS, unit


FEED_START = json.dumps(told(event(1, row(1), full=True))).encode()
FEED_UNITS = [*UNITS, b"[", b"{", b'{"a":', b"0", b"9", b"[],", b'"', b"\\", b"\\u0000", b"{},"]

FEED_PLACES = [b'"s-1"', b'"active"', b'"127.0.0.2:2905"', b'"started_ms": 0', b'"weight": 1', b'"n": 1']


def feed_answers() -> Iterator[bytes]:
    for unit in FEED_UNITS:
        filler = unit * (BYTES // len(unit))
        yield filler
        for place in FEED_PLACES:
            name = place.partition(b":")[0]
            yield FEED_START.replace(place, b'"' + filler + b'"')
            yield FEED_START.replace(place, name + b": " + filler)
    yield json.dumps(told(event(1, *[row(n) for n in range(100)], full=True))).encode()
    yield b'{"n":1,"events":[' + b"{}," * (BYTES // 3) + b"{}]}"
    yield b'{"n":1,"events":[{"n":1,"members":{"full":true,"servers":[' + b"{}," * (BYTES // 3) + b"{}]}}]}"


def test_no_answer_of_the_feed_holds_up_the_loop():
    for data in feed_answers():
        assert cost_ms(read_feed, data) <= FEW_MS, data[:60]


@pytest.mark.parametrize(
    "start", [b"", b"\x80\x01\0\0\0\0\0\x03\0\0\x06\x01", b"\0\0\x01\0"], ids=["none", "full", "trunk"]
)
def test_no_datagram_of_an_iax2_caller_holds_up_the_loop(start):
    for unit in [*UNITS, b"\x01\x00", b"\x03\x01a", b"\x00\x05\x00\x00", b"\xff\xff"]:
        assert cost_ms(read_iax2, start + unit * (BYTES // len(unit))) <= FEW_MS, unit


@pytest.mark.parametrize(
    ("reader", "data"),
    [
        (sip.Reader, START + b"Subject: " + b"x" * BYTES),
        (sip.Reader, START + b"Content-Length: 15000\r\n\r\n" + b"x" * BYTES),
        (sip.Reader, b"\r\n" * (BYTES // 2)),
        (isup.Reader, ISUP_HEAD + bytes([isup.Code.DESCRIPTION]) + b"\x3f\x00" + b"x" * BYTES),
    ],
    ids=["head", "body", "empty lines", "switch"],
)
def test_a_message_that_comes_byte_by_byte_is_not_read_anew_with_each(reader, data):
    def read(data: bytes) -> None:
        reading = reader()
        for at in range(len(data)):
            reading.feed(data[at : at + 1])

    assert cost_ms(read, data[:BYTES]) <= BYTES * FEW_MS_A_READ


@pytest.mark.parametrize("cause", ["1" * 5000, "\u0661", "1000", "-1", "128"], ids=range(5))
def test_a_release_with_a_cause_that_makes_no_sense_is_read_as_a_normal_one(cause):
    [message], fault = sip.Reader().feed(
        said().replace(b"Content-Length", f"Reason: Q.850;cause={cause}\r\nContent-Length".encode())
    )
    assert fault is None and released_with(message) == isup.Cause.NORMAL


def test_many_parts_of_a_path_and_fields_of_a_report_are_refused():
    with pytest.raises(OfferError, match="parts"):
        OFFERS.read(invite(path="dest:1" + ";" * 1000))
    with pytest.raises(ReportError, match="fields"):
        report_from("x0:1;" * 1000)


def test_a_figure_of_the_feed_that_no_float_holds_is_an_error_of_its_event():
    changes, fault = Members(["east"], 0.0).take(told(event(1, row(1, weight=10**400), full=True)))
    assert not changes and fault is not None
