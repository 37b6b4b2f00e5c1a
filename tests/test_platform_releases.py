"""Releases owed to callers, without sockets: where each goes, and when it goes again."""

from dataclasses import replace

import pytest

from dapplehinge.platform.actions import ReleaseCaller
from dapplehinge.platform.releases import (
    MAX_COPIES,
    MAX_RELEASES,
    TOLD_KEPT_MS,
    UNTOLD_KEPT_MS,
    CallerReleases,
    Need,
    Send,
    Trust,
)

OWN = 1
TICK_MS = 250.0


def bye(call=0x11, conn=OWN):
    return ReleaseCaller(conn, call, "aa", 16)


@pytest.fixture
def releases():
    owed = CallerReleases()
    for connection in range(1, 10):
        owed.connected(connection)
    return owed


def sent(sends):
    return [send.connection for send in sends]


def ids(sends):
    return [send.release.id for send in sends]


def test_on_its_own_connection_once_and_again_only_if_that_closes_soon(releases):
    releases.trusted(5, Trust.ANSWERED)
    assert releases.add(bye(), 0.0) == [Send(OWN, bye())]
    assert releases.tick(TICK_MS) == [] == releases.trusted(6, Trust.ANSWERED)
    assert sent(releases.ended(OWN)) == [6]
    assert sent(releases.tick(2 * TICK_MS)) == [5]
    assert releases.tick(UNTOLD_KEPT_MS) == [] and not len(releases)
    assert releases.ended(5) == []


def test_a_connection_that_ended_long_after_its_releases_has_them_not_told_again(releases):
    releases.trusted(5, Trust.ANSWERED)
    releases.add(bye(), 0.0)
    releases.tick(TOLD_KEPT_MS)
    assert releases.ended(OWN) == [] and not len(releases)


def test_what_a_bad_client_may_have_taken_is_told_on_further_connections(releases):
    releases.ended(OWN)
    releases.trusted(3, Trust.OFFERED)
    releases.trusted(4, Trust.OFFERED)
    assert sent(releases.add(bye(), 0.0)) == [4]
    assert sent(releases.tick(TICK_MS)) == [3]
    assert sent(releases.trusted(6, Trust.OFFERED)) == [6]
    assert sent(releases.trusted(6, Trust.ANSWERED)) == []
    assert sent(releases.trusted(7, Trust.ANSWERED)) == [7]
    assert releases.tick(2 * TICK_MS) == []
    assert sent(releases.trusted(8, Trust.OFFERED)) == [8]


@pytest.mark.parametrize("trust", list(Trust))
def test_receipts_on_others_connections_do_not_keep_a_release_from_its_caller(releases, trust):
    releases.ended(OWN)
    for stranger in range(2, 9):
        releases.trusted(stranger, trust)
    told = sent(releases.add(bye(), 0.0))
    for tick in range(1, 20):
        for stranger in told:
            releases.received(0x11, stranger)
        told = sent(releases.tick(tick * TICK_MS))
    assert sent(releases.trusted(9, Trust.OFFERED)) == [9]


def test_a_receipt_from_a_connection_on_which_nothing_was_told_ends_nothing(releases):
    releases.add(bye(), 0.0)
    releases.received(0x11, 5)
    releases.trusted(6, Trust.ANSWERED)
    assert sent(releases.ended(OWN)) == [6]


def test_its_own_connection_s_receipt_ends_it(releases):
    releases.trusted(5, Trust.ANSWERED)
    releases.add(bye(), 0.0)
    releases.received(0x11, OWN)
    assert not len(releases) and releases.ended(OWN) == []


def test_a_release_that_nobody_receives_is_forgotten_in_the_end(releases):
    releases.ended(OWN)
    releases.add(bye(0x12), 0.0)
    releases.tick(UNTOLD_KEPT_MS)
    assert not len(releases) and releases.trusted(5, Trust.ANSWERED) == []


def test_copies_on_connections_that_come_at_once_are_bounded_and_each_gets_its_own_in_the_end():
    releases = CallerReleases()
    releases.connected(OWN)
    releases.trusted(OWN, Trust.ANSWERED)
    releases.ended(OWN)
    releases.add(bye(), 0.0)
    others = range(2, 2 + 10 * MAX_COPIES[Need.WAITING])
    told = []
    for connection in others:
        releases.connected(connection)
        told += sent(releases.trusted(connection, Trust.OFFERED))
    assert len(told) <= 1 + MAX_COPIES[Need.WAITING]
    for tick in range(1, 12):
        more = sent(releases.tick(tick * TICK_MS))
        assert len(more) <= MAX_COPIES[Need.WAITING]
        told += more
    assert sorted(told) == list(others)


def test_received_releases_go_on_to_others_a_few_at_a_time_and_all_in_turn(releases):
    releases.ended(OWN)
    releases.trusted(3, Trust.ANSWERED)
    for call in range(50):
        releases.add(bye(call), 0.0)
        releases.received(call, 3)
    assert ids(releases.trusted(4, Trust.ANSWERED)) == list(range(MAX_COPIES[Need.DEFERRED]))
    told = []
    for tick in range(1, 8):
        more = releases.tick(tick * TICK_MS)
        assert len(more) <= MAX_COPIES[Need.DEFERRED]
        told += ids(more)
    assert sorted(told) == list(range(MAX_COPIES[Need.DEFERRED], 50))


def test_releases_that_nobody_can_be_told_do_not_fill_the_memory(releases):
    releases.ended(OWN)
    for call in range(MAX_RELEASES + 100):
        releases.add(bye(call), 0.0)
    assert len(releases) == MAX_RELEASES
    told = ids(releases.trusted(3, Trust.ANSWERED))
    assert len(told) == MAX_COPIES[Need.UNTOLD]
    for tick in range(3):
        told += ids(releases.tick(tick * TICK_MS))
    assert len(told) == len(set(told)) == MAX_RELEASES  # within a second


@pytest.mark.parametrize("confirmed", [False, True])
@pytest.mark.parametrize("stays", [False, True])
def test_one_client_s_many_releases_do_not_push_out_those_of_others(releases, confirmed, stays):
    releases.ended(OWN)
    owed = [bye(call) for call in range(3)]
    for release in owed:
        releases.add(release, 0.0)
    flood = range(0x1000, 0x1000 + MAX_RELEASES + 2000)
    for call in flood:
        releases.add(replace(bye(call, 2), confirmed=confirmed), 1.0)
    if not stays:
        releases.ended(2)
    for call in flood:
        releases.add(replace(bye(call + 0x10000, 3), confirmed=confirmed), 2.0)
    assert {0, 1, 2} <= set(ids(releases.trusted(4, Trust.OFFERED)))


def test_one_client_s_invented_calls_are_not_told_before_what_is_owed_to_others(releases):
    for call in range(0x1000, 0x1400):
        releases.add(replace(bye(call, 2), confirmed=False), 0.0)
    releases.ended(2)
    releases.ended(OWN)
    releases.add(bye(), 0.0)
    told = ids(releases.trusted(3, Trust.ANSWERED))
    assert told[0] == 0x11 and len(told) <= 1 + MAX_COPIES[Need.DEFERRED]


def test_one_client_s_invented_calls_do_not_delay_a_release_that_he_has_received(releases):
    for call in range(0x1000, 0x1000 + MAX_RELEASES // 2):
        releases.add(replace(bye(call, 2), confirmed=False), 0.0)
    releases.ended(2)
    releases.ended(OWN)
    releases.trusted(3, Trust.ANSWERED)
    assert sent(releases.add(bye(), 0.0)) == [3]
    releases.received(0x11, 3)
    assert 0x11 in ids(releases.trusted(4, Trust.ANSWERED))


def test_nothing_is_written_to_a_connection_that_was_told_its_end(releases):
    releases.finishing(OWN)
    assert releases.add(bye(), 0.0) == [] == releases.trusted(OWN, Trust.ANSWERED)
    assert sent(releases.trusted(2, Trust.ANSWERED)) == [2]


@pytest.mark.parametrize("confirmed", [False, True])
def test_a_client_who_names_a_call_that_he_was_told_of_does_not_take_over_its_release(releases, confirmed):
    releases.ended(OWN)
    releases.trusted(3, Trust.OFFERED)
    assert sent(releases.add(bye(), 0.0)) == [3]
    assert sent(releases.add(replace(bye(conn=3), confirmed=confirmed), 1.0)) == [3]
    releases.received(0x11, 3)
    assert sent(releases.trusted(4, Trust.OFFERED)) == [4]


def test_a_release_by_the_switch_takes_the_place_of_one_that_only_a_client_vouches_for(releases):
    releases.add(replace(bye(conn=3), confirmed=False), 0.0)
    assert sent(releases.add(bye(), 1.0)) == [OWN]
    assert sent(releases.trusted(4, Trust.OFFERED)) == []
