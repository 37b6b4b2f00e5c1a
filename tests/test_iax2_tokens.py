"""Call tokens: whose they are, how long they last, what a new key cuts off, and that they leave no state."""

import pytest

from dapplehinge.iax2 import frames as fr
from dapplehinge.iax2.codes import CauseCode, Iax, Ie
from dapplehinge.iax2.elements import read_elements, write_elements
from dapplehinge.iax2.engine import Engine
from dapplehinge.iax2.leg import Credentials, Offered, Registered, RegistrationAnswered
from dapplehinge.iax2.registry import Registrar
from dapplehinge.iax2.tokens import LIFETIME, ROTATION, Policy, Ruling, Tokens
from tests.test_iax2_legs import A, B, Wire


def test_a_token_is_good_for_its_address_and_its_time():
    tokens = Tokens(Policy.REQUIRED)
    token = tokens.issue(A, 1000.0)
    assert tokens.good(token, A, 1000.0) and tokens.good(token, A, 1000.0 + LIFETIME)
    assert not tokens.good(token, A, 1002.0 + LIFETIME)
    assert not tokens.good(token, (A[0], A[1] + 1), 1000.0) and not tokens.good(token, B, 1000.0)
    assert not tokens.good(token, A, 0.0)  # from the future
    assert not Tokens(Policy.REQUIRED).good(token, A, 1000.0)  # of another key


@pytest.mark.parametrize("at", range(0, 24))
def test_a_token_with_one_changed_byte_is_not_good(at):
    tokens = Tokens(Policy.REQUIRED)
    raw = bytearray(bytes.fromhex(tokens.issue(A, 1000.0).decode()))
    raw[at] ^= 1
    assert not tokens.good(bytes(raw).hex().encode(), A, 1000.0)


@pytest.mark.parametrize("token", [b"", b"xyz", b"\xff\xfe", b"00" * 24, b"00" * 40])
def test_what_is_no_token_is_not_good(token):
    assert not Tokens(Policy.REQUIRED).good(token, A, 5.0)


def test_the_key_changes_and_the_one_before_still_counts():
    tokens = Tokens(Policy.REQUIRED)
    tokens.issue(A, 0.0)
    late = tokens.issue(A, ROTATION - 1.0)
    first = tokens.keys[0]
    assert tokens.good(late, A, ROTATION + 1.0) and tokens.keys[0] != first
    tokens.issue(A, 2 * ROTATION + 1.0)
    assert first not in tokens.keys and len(tokens.keys) == 2
    tokens.issue(A, 10 * ROTATION)
    assert len(tokens.keys) == 1


def test_who_is_asked_and_who_is_refused():
    asked = {policy: Tokens(policy) for policy in Policy}
    assert [asked[p].rule(None, A, 0.0) for p in Policy] == [Ruling.PASS, Ruling.PASS, Ruling.REFUSE]
    assert [asked[p].rule(b"", A, 0.0) for p in Policy] == [Ruling.PASS, Ruling.ASK, Ruling.ASK]
    stale = asked[Policy.REQUIRED].issue(A, 0.0)
    assert asked[Policy.REQUIRED].rule(stale, A, LIFETIME + 2) is Ruling.ASK


def test_a_caller_that_knows_tokens_gets_one_and_calls_with_it():
    wire = Wire(b=Engine(tokens=Tokens(Policy.REQUIRED)))
    leg = wire.ends[A].dial(B, {Ie.CALLED_NUMBER: "1", Ie.CALLTOKEN: b""}, wire.now)
    wire.run()
    (offered,) = wire.taken(B)
    assert isinstance(offered, Offered) and wire.subclasses(A).count(Iax.NEW) == 2
    assert wire.ends[B].accept(offered.leg, 4, wire.now)
    wire.run()
    assert leg.format == 4 and len(wire.ends[B].legs) == 1


def test_a_registration_by_token():
    engine = Engine(tokens=Tokens(Policy.REQUIRED), registrar=Registrar({"u": Credentials("u", "s")}))
    wire = Wire(b=engine)
    wire.ends[A].register(B, {Ie.USERNAME: "u", Ie.CALLTOKEN: b""}, wire.now, Credentials("u", "s"))
    wire.run()
    assert [type(e) for e in wire.taken(A)] == [RegistrationAnswered]
    assert [type(e) for e in wire.taken(B)] == [Registered]


def test_a_caller_without_tokens_is_refused_where_they_are_required():
    wire = Wire(b=Engine(tokens=Tokens(Policy.REQUIRED)))
    wire.ends[A].dial(B, {Ie.CALLED_NUMBER: "1"}, wire.now)
    wire.run()
    (released,) = wire.taken(A)
    assert released.cause == CauseCode.CALL_REJECTED and not wire.ends[B].legs


def test_spoofed_and_replayed_set_ups_leave_no_state():
    engine = Engine(tokens=Tokens(Policy.REQUIRED))
    stolen = engine.tokens.issue(A, 0.0)
    for n in range(1, 500):
        payload = write_elements({Ie.CALLTOKEN: stolen if n % 2 else b""})
        spoofed = (f"127.0.{n % 200}.9", 4569)
        engine.receive_datagram(fr.write(fr.Full(n, 0, n, 0, 0, 6, Iax.NEW, payload)), spoofed, 1.0)
    answers = [fr.read(data) for data, _ in engine.datagrams_to_send(1.0)]
    assert {answer.subclass for answer in answers} == {Iax.CALLTOKEN} and len(answers) == 499
    assert not engine.legs and not engine.events and not engine.opening and engine.numbers.used == 0


def test_a_far_end_that_asks_for_ever_is_not_obeyed():
    wire = Wire()
    leg = wire.ends[A].dial(B, {Ie.CALLTOKEN: b""}, wire.now)
    wire.ends[A].datagrams_to_send(wire.now)
    for n in range(5):
        payload = write_elements({Ie.CALLTOKEN: b"more"})
        asks = fr.write(fr.Full(0x7FFF, leg.number, n, 0, 1, 6, Iax.CALLTOKEN, payload))
        wire.ends[A].receive_datagram(asks, B, wire.now)
    sent = [fr.read(data) for data, _ in wire.ends[A].datagrams_to_send(wire.now)]
    assert [f.subclass for f in sent] == [Iax.NEW]
    assert read_elements(sent[0].payload)[Ie.CALLTOKEN] == b"more"
