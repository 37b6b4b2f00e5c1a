"""Releases owed to callers, without sockets: where each goes, and when it goes again."""

import pytest

from dapplehinge.platform.actions import ReleaseCaller
from dapplehinge.platform.releases import (
    MAX_RELEASES,
    MAX_UNCERTAIN_COPIES,
    TOLD_KEPT_MS,
    UNTOLD_KEPT_MS,
    CallerReleases,
    Send,
    Trust,
)

OWN = 1


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


def test_on_its_own_connection_once_and_again_only_if_that_closes_soon(releases):
    releases.trusted(5, Trust.ANSWERED)
    assert releases.add(bye(), 0.0) == [Send(OWN, bye())]
    assert releases.tick(250.0) == []
    assert sent(releases.ended(OWN)) == [5]
    assert releases.tick(TOLD_KEPT_MS) == [] and not len(releases)
    assert releases.ended(5) == []


def test_a_connection_that_ended_long_after_its_releases_has_them_not_told_again(releases):
    releases.trusted(5, Trust.ANSWERED)
    releases.add(bye(), 0.0)
    releases.tick(TOLD_KEPT_MS)
    assert releases.ended(OWN) == []


def test_what_a_bad_client_may_have_taken_is_told_on_further_connections(releases):
    releases.ended(OWN)
    releases.trusted(3, Trust.OFFERED)
    releases.trusted(4, Trust.OFFERED)
    assert sent(releases.add(bye(), 0.0)) == [4]
    assert sent(releases.tick(250.0)) == [3]
    assert sent(releases.trusted(6, Trust.OFFERED)) == [6]
    assert sent(releases.trusted(6, Trust.ANSWERED)) == []
    assert sent(releases.trusted(7, Trust.ANSWERED)) == [7]
    assert releases.tick(500.0) == [] == releases.trusted(8, Trust.ANSWERED)


def test_many_connections_that_merely_offer_calls_get_a_few_copies_and_a_caller_gets_his(releases):
    releases.ended(OWN)
    releases.add(bye(), 0.0)
    copies = []
    for connection in range(2, 9):
        copies += sent(releases.trusted(connection, Trust.OFFERED)) + sent(releases.tick(250.0))
    assert len(copies) == MAX_UNCERTAIN_COPIES
    assert sent(releases.trusted(9, Trust.ANSWERED)) == [9]


def test_a_release_is_received_or_forgotten_in_the_end(releases):
    releases.ended(OWN)
    releases.add(bye(), 0.0)
    assert sent(releases.trusted(3, Trust.OFFERED)) == [3]
    releases.received(0x11)
    assert releases.trusted(4, Trust.OFFERED) == [] == releases.ended(3)
    releases.ended(4)
    releases.add(bye(0x12), 0.0)
    releases.tick(UNTOLD_KEPT_MS)
    assert not len(releases) and releases.trusted(5, Trust.ANSWERED) == []


def test_releases_that_nobody_can_be_told_do_not_fill_the_memory(releases):
    releases.ended(OWN)
    for call in range(MAX_RELEASES + 100):
        releases.add(bye(call), 0.0)
    assert len(releases) == MAX_RELEASES
    assert len(releases.trusted(3, Trust.ANSWERED)) == MAX_RELEASES


def test_nothing_is_written_to_a_connection_that_was_told_its_end(releases):
    releases.finishing(OWN)
    assert releases.add(bye(), 0.0) == [] == releases.trusted(OWN, Trust.ANSWERED)
    assert sent(releases.trusted(2, Trust.ANSWERED)) == [2]
