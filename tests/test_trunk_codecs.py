"""The platform's codecs, SIP and binary: every cut, every joint, garbage; typed messages or one error."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dapplehinge.isup import codec as isup
from dapplehinge.sip import codec as sip

START = b"INVITE sip:1@net SIP/2.0"
INVITE = (
    b"INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 9b1f03aa5c7e2d41\r\n"
    b"CSeq: 1 INVITE\r\nP-Kind: voice\r\nP-Time-Left: 1500\r\nContent-Length: 4\r\n\r\nbody"
)
BYE = (
    b"BYE sip:1@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 9b1f03aa5c7e2d41\r\nCSeq: 2 BYE\r\n"
    b"Reason: Q.850;cause=16\r\nContent-Length: 0\r\n\r\n"
)


def read(reader, *parts):
    seen, fault = [], None
    for part in parts:
        messages, fault = reader.feed(part)
        seen += messages
        if fault:
            break
    return seen, fault


def check_spoilt(reader, sample, noise, at, length, kinds):
    """A message with noise in place of some of it, in two parts, and a good one after it."""
    spoilt = sample[:at] + noise + sample[at + length :]
    for part in (spoilt[: len(sample) // 2], spoilt[len(sample) // 2 :], sample):
        messages, fault = reader.feed(part)
        assert all(isinstance(message, kinds[0]) for message in messages)
        assert fault is None or isinstance(fault, kinds[1])


def bare(*lines, body=b""):
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


@pytest.mark.parametrize("cut", range(1, len(INVITE)))
def test_sip_cut_at_every_byte(cut):
    seen, fault = read(sip.Reader(), INVITE[:cut], INVITE[cut:])
    assert fault is None
    assert [(m.method, m.uri, m.body) for m in seen] == [("INVITE", "sip:7f3a9c21e0b4d655@net", b"body")]


def test_sip_several_in_one_read_and_byte_by_byte():
    stream = INVITE + b"\r\n" + BYE + INVITE
    for parts in ([stream], [stream[i : i + 1] for i in range(len(stream))]):
        reader = sip.Reader()
        seen, fault = read(reader, *parts)
        assert fault is None and not reader.amid
        assert [m.method for m in seen] == ["INVITE", "BYE", "INVITE"]


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (bare(b"GET / HTTP/1.1", b"Host: x"), 400),
        (bare(START, b"Call-ID: 1", b"CSeq: 1 INVITE"), 400),  # no Content-Length
        (bare(START, b"Call-ID: 1", b"CSeq: 1 INVITE", b"Content-Length: -5"), 400),
        (bare(START, b"Call-ID: 1", b"CSeq: 1 INVITE", b"Content-Length: 9e9"), 400),
        (bare(START, b"Call-ID: 1", b"CSeq: 1 INVITE", b"Content-Length: 62914560"), 413),
        (bare(START, b"Call-ID: 1", b"CSeq: 1 BYE", b"Content-Length: 0"), 400),
        (bare(START, b"CSeq: 1 INVITE", b"Content-Length: 0"), 400),  # no Call-ID
        (bare(START, b"P-Kind: a", b"P-Kind: b", b"Content-Length: 0"), 400),
        (bare(START, b"Call-ID: 1", b" folded", b"Content-Length: 0"), 400),
        (b"INVITE sip:1@net SIP/2.0\r\nX: " + b"a" * sip.MOST_BYTES, 413),
        (b"a" * 600, 400),
        (b"\x00\x01\x02\x03", 400),
    ],
)
def test_sip_what_is_no_message(data, status):
    reader = sip.Reader()
    seen, fault = read(reader, data)
    assert seen == [] and fault is not None and fault.status == status
    assert reader.feed(INVITE) == ([], None)  # nothing more comes of it


def test_sip_a_message_before_the_error_counts():
    seen, fault = read(sip.Reader(), BYE + b"\x00\x00nonsense\r\n\r\n")
    assert [m.method for m in seen] == ["BYE"] and fault is not None


def test_sip_a_head_of_very_many_short_fields_is_not_kept_as_such():
    extra = b"".join(b"h%d:%d\r\n" % (field, field) for field in range(85))
    reader = sip.Reader()
    cut = INVITE.replace(b"Content-Length", extra + b"Content-Length")[:-1]
    assert reader.feed(cut) == ([], None) and reader.held_bytes == len(cut) - 4  # less its empty line
    [message], fault = reader.feed(b"y")
    assert fault is None and not any(name.startswith("h") for name in message.fields)
    assert not reader.held_bytes


@pytest.mark.parametrize("name", [b"P-Kind", b"P-Other", b"From", b"Reason"])
def test_sip_a_field_that_comes_twice_is_an_error_though_it_is_not_kept(name):
    twice = INVITE.replace(b"Content-Length", name + b": x\r\n" + name + b": x\r\nContent-Length")
    assert sip.Reader().feed(twice)[1].status == 400


def test_sip_a_reader_that_was_closed_holds_nothing():
    reader = sip.Reader()
    reader.feed(INVITE[:-1])
    reader.close()
    assert not reader.held_bytes and not reader.amid and reader.feed(INVITE) == ([], None)


def test_sip_response_repeats_what_it_must():
    [message], _ = sip.Reader().feed(INVITE)
    answer = sip.response(503, message.echo(), b"P-Gap-Ms: 250\r\n")
    [read_back], fault = sip.Reader().feed(answer)
    assert fault is None
    assert (read_back.status, read_back.method, read_back.call_id) == (503, "INVITE", "9b1f03aa5c7e2d41")
    assert read_back.fields["via"] == "SIP/2.0/TCP peer" and read_back.fields["p-gap-ms"] == "250"


def test_sip_own_bye_can_be_read():
    [message], _ = sip.Reader().feed(sip.bye("9b1f03aa5c7e2d41", "7f", 41, "n3"))
    assert (message.method, message.fields["reason"]) == ("BYE", "Q.850;cause=41")


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=300), st.integers(0, len(INVITE)), st.integers(0, 40))
def test_sip_garbage_never_raises(noise, at, length):
    check_spoilt(sip.Reader(), INVITE, noise, at, length, (sip.Message, sip.SipError))


IAM = isup.initial_address(0x9B1F03AA5C7E2D41, "voice", "7f3a", 1500.0, b"body")
REL = isup.release(7, 34)


@pytest.mark.parametrize("cut", range(1, len(IAM)))
def test_isup_cut_at_every_byte(cut):
    seen, fault = read(isup.Reader(), IAM[:cut], IAM[cut:])
    assert fault is None
    [message] = seen
    assert (message.type, message.call) == (isup.Type.IAM, 0x9B1F03AA5C7E2D41)
    assert message.text(isup.Code.WAIT) == "1500" and message.parameters[isup.Code.DESCRIPTION] == b"body"


def test_isup_layout_is_the_published_one():
    assert bytes.fromhex("000d 0c 0000000000000007 c2 0001 22") == REL
    assert isup.release_complete(7) == bytes.fromhex("0009 10 0000000000000007")


def test_isup_several_in_one_read():
    seen, fault = read(isup.Reader(), IAM + REL + isup.release_complete(7) + isup.user_part_test(1, 1))
    assert fault is None
    assert [m.type.name for m in seen] == ["IAM", "REL", "RLC", "UPT"] and seen[1].cause == 34


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\x08" + b"\x10" * 8,  # shorter than any message
        b"\x40\x00" + b"\x10" * 9,  # longer than any message
        b"\x00\x09\x63" + b"\x00" * 8,  # type 99
        b"\x00\x0b\x10" + b"\x00" * 8 + b"\xc2\x00",  # a parameter cut short
        b"\x00\x0c\x10" + b"\x00" * 8 + b"\xc2\x00\x05",  # one that runs past the end
        b"\x00\x0e\x0c" + b"\x00" * 8 + b"\xc2\x00\x02\x10\x10",  # a cause of two bytes
        b"\x00\x11\x0c" + b"\x00" * 8 + b"\xc2\x00\x01\x10" * 2,  # a cause twice
        b"\x00\x09\x0c" + b"\x00" * 8,  # a release without a cause
        b"\x00\x09\x09" + b"\x00" * 8,  # an answer without a description
    ],
)
def test_isup_what_is_no_message(data):
    reader = isup.Reader()
    seen, fault = read(reader, REL + data)
    assert [m.type.name for m in seen] == ["REL"] and fault is not None
    assert reader.feed(REL) == ([], None)


def test_isup_a_message_that_would_be_too_long_is_not_made():
    with pytest.raises(isup.IsupError):
        isup.initial_address(1, "voice", "7f", 1.0, b"x" * isup.MOST_BYTES)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=200), st.integers(0, len(IAM)), st.integers(0, 30))
def test_isup_garbage_never_raises(noise, at, length):
    check_spoilt(isup.Reader(), IAM, noise, at, length, (isup.Message, isup.IsupError))

@pytest.mark.parametrize("name", ["criée", "voice"])
def test_a_class_of_any_name_reaches_the_switch(name):
    data = isup.initial_address(1, name, "a1", 10.0, b"")
    [message], fault = isup.Reader().feed(data)
    assert fault is None and message.parameters[isup.Code.CLASS] == name.encode()
