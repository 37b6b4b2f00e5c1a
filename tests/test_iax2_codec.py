"""Codec: vectors written by hand from RFC 5456's figures, round trips and garbage by properties."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dapplehinge.iax2 import elements as el
from dapplehinge.iax2 import frames as fr
from dapplehinge.iax2.codes import FrameType, Iax, Ie

settings.register_profile("ci", database=None, derandomize=True, deadline=None, max_examples=150)
settings.load_profile("ci")

NEW = bytes.fromhex(
    "8001 0000 00000003 00 00 06 01"  # full, source 1, dest 0, time-stamp 3, numbers 0 0, IAX, NEW
    "0b 02 0002  01 03 313030  08 04 0000000c  09 04 00000004".replace(" ", "")
)


def test_new_by_hand():
    frame = fr.read(NEW)
    assert frame == fr.Full(1, 0, 3, 0, 0, FrameType.IAX, Iax.NEW, NEW[12:])
    assert el.read_elements(frame.payload) == {
        Ie.VERSION: 2, Ie.CALLED_NUMBER: "100", Ie.CAPABILITY: 12, Ie.FORMAT: 4,
    }  # fmt: skip
    assert fr.write(frame) == NEW


@pytest.mark.parametrize(
    ("raw", "frame"),
    [
        ("8005 4007 000003e8 0203 06 05", fr.Full(5, 0x4007, 1000, 2, 3, 6, 5)),
        ("8005 8007 000003e8 0203 02 89", fr.Full(5, 7, 1000, 2, 3, 2, 512, b"", True)),  # voice, 2^9
        ("0005 ffff aabb", fr.Mini(5, 0xFFFF, b"\xaa\xbb")),
        ("0000 8005 8010 aa", fr.MetaVideo(5, 0x10, b"\xaa", True)),
        ("0000 0100 00000064 0005 0002 aabb", fr.MetaTrunk(100, ((5, None, b"\xaa\xbb"),))),
        ("0000 0101 00000064 0002 0005 0010 aabb", fr.MetaTrunk(100, ((5, 16, b"\xaa\xbb"),))),
    ],
)
def test_frames_by_hand(raw, frame):
    data = bytes.fromhex(raw.replace(" ", ""))
    assert fr.read(data) == frame
    assert fr.write(frame) == data


def test_apparent_address_by_hand():
    raw = bytes.fromhex("1210 0200 11d9 7f000001 0000000000000000".replace(" ", ""))
    found = el.read_elements(raw)
    assert found == {Ie.APPARENT_ADDR: el.Address("127.0.0.1", 4569)}
    assert el.write_elements(found) == raw
    six = {int(Ie.APPARENT_ADDR): el.Address("::1", 4569)}
    assert el.read_elements(el.write_elements(six)) == six


@given(st.binary(max_size=80))
def test_any_bytes_give_a_frame_or_one_named_error(data):
    try:
        frame = fr.read(data)
    except fr.FrameError:
        return
    if isinstance(frame, fr.Full):
        try:
            el.read_elements(frame.payload)
        except el.ElementError:
            return


numbers = st.integers(1, 0x7FFF)
octets = st.integers(0, 255)
subclasses = st.one_of(st.integers(0, 127), st.integers(7, 63).map(lambda power: 1 << power))


@given(
    st.builds(
        fr.Full, numbers, st.integers(0, 0x7FFF), st.integers(0, 2**32 - 1), octets, octets, octets,
        subclasses, st.binary(max_size=40), st.booleans(),
    )
)  # fmt: skip
def test_full_frames_round_trip(frame):
    assert fr.read(fr.write(frame)) == frame


@given(st.integers(0, 2**32 - 1), st.booleans(), st.lists(st.tuples(numbers, st.integers(0, 65535),
       st.binary(max_size=20)), max_size=5))  # fmt: skip
def test_trunk_frames_round_trip(stamp, timed, entries):
    frame = fr.MetaTrunk(stamp, tuple((n, t if timed else None, data) for n, t, data in entries))
    assert fr.read(fr.write(frame)) == frame


def values():
    text = st.text(max_size=40).filter(lambda s: "\n" not in s and len(s.encode()) < 255)
    pairs = [st.tuples(st.just(int(ie)), text) for ie in el.TEXT]
    pairs += [
        st.tuples(st.just(int(ie)), st.integers(0, (1 << 8 * size) - 1)) for ie, size in el.NUMBERS.items()
    ]
    pairs += [st.tuples(st.just(int(ie)), st.just(True)) for ie in el.EMPTY]
    pairs += [st.tuples(st.integers(0x40, 0xFF), st.binary(max_size=30))]
    return st.lists(st.one_of(pairs), max_size=8).map(dict)


@given(values())
def test_elements_round_trip(found):
    assert el.read_elements(el.write_elements(found)) == found


@pytest.mark.parametrize(
    "found",
    [{Ie.FORMAT: 1 << 32}, {Ie.CAUSE: 7}, {Ie.CAUSE: "x" * 256}, {Ie.AUTOANSWER: 1}, {Ie.CALLTOKEN: "x"},
     {Ie.APPARENT_ADDR: el.Address("quay", 1)}, {300: b""}],
)  # fmt: skip
def test_elements_that_do_not_fit_are_not_written(found):
    with pytest.raises(el.ElementError):
        el.write_elements(found)


@pytest.mark.parametrize(
    "frame",
    [fr.Full(0, 1, 0, 0, 0, 6, 1), fr.Full(1, 0x8000, 0, 0, 0, 6, 1), fr.Full(1, 0, 0, 256, 0, 6, 1),
     fr.Full(1, 0, 0, 0, 0, 6, 129), fr.Mini(0x8000, 0, b""),
     fr.MetaTrunk(0, ((1, None, b""), (2, 3, b"")))],
)  # fmt: skip
def test_frames_that_do_not_fit_are_not_written(frame):
    with pytest.raises(fr.FrameError):
        fr.write(frame)


@given(st.integers(0, 2**31), st.integers(-30_000, 30_000))
def test_short_time_stamps_survive_the_wrap(near, moved):
    stamp = max(0, near + moved)
    assert fr.full_stamp(stamp & 0xFFFF, near) == stamp
