"""Sealed legs: what is in the clear, that nothing else is, and that loss and repeats change nothing."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dapplehinge.iax2 import frames as fr
from dapplehinge.iax2.codes import Control, FrameType, Iax, Ie
from dapplehinge.iax2.crypt import LegCipher, SealError
from dapplehinge.iax2.leg import Authenticated, Credentials, Offered, Released, Signal, Voice
from dapplehinge.iax2.states import State
from tests.test_iax2_legs import RING, A, B, Wire

ANN = Credentials("ann", "s", encryption="required")


@given(st.binary(min_size=12, max_size=200).filter(lambda d: d[0] & 0x80 and (d[10], d[11]) != (6, 1)))
def test_a_sealed_frame_opens_to_itself_and_shows_its_numbers_alone(data):
    cipher = LegCipher("c", "s")
    sealed = cipher.seal(data)
    if data[10] == 6 and data[11] in (8, 9):
        assert sealed == data
        return
    assert sealed[:4] == data[:4] and cipher.open(sealed) == data
    assert cipher.seal(data) != sealed  # the padding is random


@given(st.binary(min_size=4, max_size=180).filter(lambda d: not d[0] & 0x80))
def test_mini_frames_too(data):
    cipher = LegCipher("c", "s")
    sealed = cipher.seal(data)
    assert sealed[:2] == data[:2] and cipher.open(sealed) == data and (len(sealed) - 2) % 16 == 0


@given(st.binary(min_size=4, max_size=120))
def test_any_bytes_open_to_bytes_or_one_named_error(data):
    try:
        LegCipher("c", "s").open(data)
    except SealError:
        return


def sealed_call(lose=lambda sender, data: False):
    wire = Wire(lose)
    leg = wire.ends[A].dial(B, {Ie.USERNAME: "ann", Ie.CALLED_NUMBER: "1"}, wire.now, ANN)
    wire.run(3000)
    (offered,) = wire.taken(B)
    assert isinstance(offered, Offered)
    wire.ends[B].challenge(offered.leg, ANN, wire.now)
    wire.run(3000)
    assert [type(e) for e in wire.taken(B)] == [Authenticated]
    b = wire.ends[B]
    b.accept(offered.leg, 4, wire.now)
    b.signal(offered.leg, *RING, wire.now)
    b.signal(offered.leg, FrameType.CONTROL, Control.ANSWER, wire.now)
    wire.run(3000)
    return wire, leg, offered.leg


def test_a_whole_call_is_sealed_after_its_challenge():
    wire, ours, theirs = sealed_call()
    assert ours.state is State.UP and theirs.state is State.UP
    start = len(wire.seen)
    wire.ends[A].signal(ours, FrameType.TEXT, 0, wire.now, b"the winning bid is 4200")
    for _ in range(3):
        wire.ends[A].voice(ours, b"v" * 160, wire.now)
        wire.run(20)
    assert [type(e) for e in wire.taken(B)] == [Signal, Voice, Voice, Voice]
    wire.ends[A].hang_up(ours, 16, "", wire.now)
    wire.run(1000)
    assert [type(e) for e in wire.taken(B)] == [Released]
    for _, data in wire.seen[start:]:
        assert b"winning" not in data and b"vvvv" not in data
    assert wire.ends[A].sealed == wire.ends[B].sealed == 0 and not wire.ends[A].legs


@pytest.mark.parametrize("nth", range(1, 8))
@pytest.mark.parametrize("sender", [A, B])
def test_any_one_datagram_of_a_sealed_call_may_be_lost(sender, nth):
    counted = {A: 0, B: 0}

    def lose(addr, data):
        counted[addr] += 1
        return addr == sender and counted[addr] == nth

    wire, ours, theirs = sealed_call(lose)
    assert ours.state is State.UP and theirs.state is State.UP


def test_a_clear_frame_on_a_sealed_leg_does_nothing():
    wire, ours, theirs = sealed_call()
    hang = fr.Full(ours.number, theirs.number, 9999, theirs.exchange.iseqno, 0, FrameType.IAX, Iax.HANGUP)
    wire.ends[B].receive_datagram(fr.write(hang), A, wire.now)
    wire.run(10)
    assert theirs.state is State.UP and wire.ends[B].counts["unsealed"] == 1


@pytest.mark.parametrize(("caller", "account"), [("off", "required"), ("required", "off")])
def test_who_needs_encryption_does_not_go_on_without(caller, account):
    wire = Wire()
    wire.ends[A].dial(B, {Ie.USERNAME: "ann"}, wire.now, Credentials("ann", "s", encryption=caller))
    wire.run()
    (offered,) = wire.taken(B)
    wire.ends[B].challenge(offered.leg, Credentials("ann", "s", encryption=account), wire.now)
    wire.run(1000)
    assert any(isinstance(e, Released) for e in wire.taken(A)) and not wire.ends[A].legs
    assert not any(isinstance(e, Authenticated) for e in wire.taken(B))
