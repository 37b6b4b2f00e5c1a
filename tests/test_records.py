"""Records: cuts and corruption at every byte, the chain, the backlog, and each decision of recovery."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dapplehinge.records.backlog import Backlog
from dapplehinge.records.entry import Correction, Intent, LegEntry, Outcome, Record, decode, encode
from dapplehinge.records.recovery import Finding, Step, plan
from dapplehinge.records.segment import (
    HEADER_SIZE,
    NO_LINK,
    State,
    authentic,
    frame,
    header,
    scan,
    seal,
)

KEY = b"k" * 32
LEGS = (LegEntry(0, "hall", False, 1.0, 300.0, 41), LegEntry(1, "annex", True, 650.0, None, 0))


def intent(n, at=1000.0, outcome=Outcome.STOOD):
    return Intent(f"quay-1-{n}", at + n, "100", "55", "bid-confirm", "fishers", "quay", "hall", outcome, LEGS)


def record(n, **more):
    return Record(intent(n), 20.0, 3000.0, 16, LEGS, **more)


def segment(*entries, number=0, first=0, link=NO_LINK, sealed=False):
    data = header(number, first, link)
    for place, entry in enumerate(entries):
        data += frame(first + place, encode(entry))
    return data + seal(data, first + len(entries), len(entries), KEY) if sealed else data


def whats(made):
    return {found.what for found in made.found}


def test_entries_round_trip():
    for entry in (intent(1), record(2), Correction("quay-1-2", 5.0, "rated", {"amount": "0.12"})):
        assert decode(encode(entry)) == entry


def test_a_write_cut_at_every_byte_leaves_a_prefix_of_whole_entries():
    entries = [intent(1), record(1), intent(2), record(2)]
    data = segment(*entries)
    ends = [HEADER_SIZE]
    for entry in entries:
        ends.append(ends[-1] + len(frame(0, encode(entry))))
    for cut in range(len(data) + 1):
        found = scan(data[:cut])
        whole = sum(end <= cut for end in ends) - 1
        if cut < HEADER_SIZE:
            assert found.state is State.NO_HEADER
            continue
        assert [decode(p) for p in found.payloads] == entries[:whole] and found.good == ends[whole]
        assert found.state is (State.OPEN if cut in ends else State.TORN)
        made = plan([data[:cut]], KEY)
        kept = data[: made.steps[0][1]]
        again = plan([kept], KEY)  # recovery that is cut off and begun anew finds the same
        assert again.records == made.records and Finding.TORN_TAIL not in whats(again)


@pytest.mark.parametrize("sealed", [False, True])
def test_a_flipped_bit_at_every_byte_is_found_and_the_prefix_holds(sealed):
    entries = [intent(1), record(1), intent(2)]
    data = segment(*entries, sealed=sealed)
    for at in range(len(data)):
        spoilt = bytearray(data)
        spoilt[at] ^= 0x10
        found = scan(bytes(spoilt))
        assert found.state in (State.NO_HEADER, State.CORRUPT, State.TORN)
        decoded = [decode(p) for p in found.payloads]
        assert decoded == entries[: len(decoded)]
        assert whats(plan([bytes(spoilt), segment(number=1, first=3)], KEY)) & {
            Finding.CORRUPT, Finding.TORN_TAIL,
        }  # fmt: skip


@given(st.binary(max_size=300))
def test_any_bytes_are_scanned_and_planned(data):
    scan(data)
    made = plan([data, header(0, 0, NO_LINK) + data], KEY)
    assert len(made.steps) == 2


def test_a_seal_shows_what_was_altered_removed_or_moved():
    one = segment(intent(1), record(1), sealed=True)
    code = scan(one).code
    two = segment(intent(2), record(2), number=1, first=2, link=code, sealed=True)
    three = segment(intent(3), number=2, first=4, link=scan(two).code)
    assert not whats(plan([one, two, three], KEY)) - {Finding.INTERRUPTED}
    assert Finding.MISSING_SEGMENT in whats(plan([one, three], KEY))
    assert Finding.NOT_AUTHENTIC in whats(plan([one, two], b"x" * 32))
    forged = segment(intent(9), record(9), number=1, first=2, sealed=True)
    assert Finding.BROKEN_LINK in whats(plan([one, forged, three], KEY))
    assert authentic(one, scan(one), KEY) and not authentic(one, scan(one), b"y" * 32)


def test_an_intent_without_a_record_gets_one_and_only_one():
    data = segment(intent(1), record(1), intent(2), intent(3, outcome=Outcome.REFUSED))
    made = plan([data], KEY)
    assert [r.intent.id for r in made.to_write] == ["quay-1-2", "quay-1-3"]
    assert [r.intent.outcome for r in made.to_write] == [Outcome.INTERRUPTED, Outcome.REFUSED]
    assert all(r.recovered and r.legs == LEGS for r in made.to_write)
    after = data
    for n, entry in enumerate(made.to_write):
        after += frame(made.next_sequence + n, encode(entry))
    again = plan([after], KEY)
    assert not again.to_write and again.records == made.records and not again.found


def test_recovery_that_dies_between_its_own_writes_doubles_nothing():
    data = segment(intent(1), intent(2), intent(3))
    first = plan([data], KEY)
    died = data + frame(first.next_sequence, encode(first.to_write[0]))
    for cut in range(len(data), len(died) + 1):
        second = plan([died[:cut]], KEY)
        kept = died[: second.steps[0][1]]
        for n, entry in enumerate(second.to_write):
            kept += frame(second.next_sequence + n, encode(entry))
        last = plan([kept], KEY)
        assert sorted(last.records) == ["quay-1-1", "quay-1-2", "quay-1-3"]
        assert not last.to_write and Finding.TWO_RECORDS not in whats(last)


def test_of_two_records_the_first_counts_and_the_other_is_named():
    other = Record(intent(1), 20.0, 9999.0, 16, LEGS)
    made = plan([segment(intent(1), record(1), other)], KEY)
    assert made.records["quay-1-1"].ended == 3000.0 and whats(made) == {Finding.TWO_RECORDS}


def test_rotation_that_was_cut_off_leaves_a_segment_to_remove():
    one = segment(intent(1), record(1), sealed=True)
    for length in range(HEADER_SIZE):
        made = plan([one, header(1, 2, scan(one).code)[:length]], KEY)
        assert made.steps[1] == (Step.REMOVE, 0) and whats(made) == {Finding.EMPTY_SEGMENT}
        assert (made.next_number, made.next_sequence, made.link) == (1, 2, scan(one).code)
    whole = plan([one, header(1, 2, scan(one).code)], KEY)
    assert whole.go_on == 1 and not whole.found


def test_damage_with_whole_frames_behind_it_is_set_aside_not_cut():
    data = bytearray(segment(intent(1), record(1), intent(2), record(2)))
    data[HEADER_SIZE + len(frame(0, encode(intent(1)))) + 40] ^= 1
    made = plan([bytes(data)], KEY)
    assert made.steps[0][0] is Step.SET_ASIDE and made.go_on == -1
    torn = bytearray(segment(intent(1), record(1)))
    torn[-1] ^= 1
    made = plan([bytes(torn)], KEY)
    assert made.steps[0][0] is Step.CUT and made.go_on == 0 and len(made.to_write) == 1


def test_a_clock_that_went_back_is_named_and_changes_nothing():
    made = plan([segment(intent(5), record(5), intent(1), record(1))], KEY)
    assert whats(made) == {Finding.CLOCK_WENT_BACK} and len(made.records) == 2


def test_a_record_without_its_intent_still_counts():
    made = plan([segment(record(1))], KEY)
    assert list(made.records) == ["quay-1-1"] and whats(made) == {Finding.RECORD_WITHOUT_INTENT}


def test_the_backlog_commits_in_groups_and_keeps_order_when_a_write_fails():
    backlog = Backlog()
    tickets = [backlog.add(bytes([n])) for n in range(3)]
    assert backlog.take() == [b"\0", b"\1", b"\2"] and backlog.take() == []
    late = backlog.add(b"\3")
    backlog.done(written=False)
    assert backlog.durable == 0 and backlog.take() == [b"\0", b"\1", b"\2", b"\3"]
    backlog.done(written=True)
    assert backlog.durable == late > tickets[-1] and backlog.size == 0 and backlog.take() == []


def test_storage_that_is_too_slow_closes_the_room_for_new_calls_first():
    backlog = Backlog(most_bytes=1000)
    while backlog.room():
        backlog.add(b"x" * 10)
    assert backlog.size == 750
    backlog.add(b"x" * 100)  # of a call that was taken: it is queued whatever the room
    backlog.take()
    backlog.done(written=True)
    assert backlog.room()
