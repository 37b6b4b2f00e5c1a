"""A switch's id and address outlive its process: what led to the old one is not taken for the next."""

import pytest

from dapplehinge import interface as api
from dapplehinge.isup.codec import Cause
from dapplehinge.platform import actions as act
from dapplehinge.platform.reports import report_from
from dapplehinge.platform.service import EMPTY_GROUP_MS
from tests.platform_kit import Rig, invite, of, row

FULL, EMPTY, IN_USE = "x0:0;x1:20", "x0:20;x1:20", "x0:19;x1:20"


@pytest.fixture
def rig():
    """One call stands at s-1, whose connections were then reset."""
    rig = Rig()
    rig.offer(0x11)
    rig.answered(0x11)
    rig.wait(500)
    return rig


def relink(rig, place=1):
    peer = rig.peer(place)
    for link in list(peer.links):
        rig.service.link_lost(link, rig.now)
    rig.taken()
    rig.wait(200)
    rig.service.link_up(peer.opening, rig.now)
    rig.taken()
    return rig.link(place)


def state(rig, link, text):
    rig.service.heard(link, rig.now)
    rig.service.reported(link, report_from(text), rig.now)
    return rig.taken()


def released(seen):
    return [(a.id, a.cause) for a in of(seen, act.ReleaseCaller)]


def test_calls_cut_by_a_restart_under_the_same_id_are_released_when_the_list_tells_it(rig):
    died = rig.now
    relink(rig)
    rig.offer(0x12)
    rig.answered(0x12)  # at the new process
    seen = rig.list(row(1, started_ms=died + 50))
    assert released(seen) == [(0x11, Cause.TEMPORARY_FAILURE)]
    assert set(rig.service.calls) == {0x12} and not of(seen, act.CloseLink)
    assert not released(rig.list(row(1, started_ms=died + 50)))  # told again


def test_calls_cut_by_a_restart_are_released_though_the_list_never_tells_it(rig):
    link = relink(rig)
    state(rig, link, EMPTY)
    assert not released(rig.wait(EMPTY_GROUP_MS - 10))
    assert released(rig.wait(20)) == [(0x11, Cause.TEMPORARY_FAILURE)]


def test_calls_that_ended_while_no_link_was_up_keep_the_cause_of_their_release(rig):
    link = relink(rig)
    state(rig, link, EMPTY)
    assert released(rig.released(0x11, cause=16)) == [(0x11, 16)]
    assert not released(rig.wait(2 * EMPTY_GROUP_MS))


@pytest.mark.parametrize("told", [IN_USE, FULL, "x0:20", "latency_ms:3"])
def test_a_reset_connection_alone_ends_no_call(rig, told):
    state(rig, relink(rig), told)
    assert not released(rig.wait(2 * EMPTY_GROUP_MS)) and 0x11 in rig.service.calls


def test_a_call_set_up_meanwhile_is_not_taken_for_one_of_the_process_before(rig):
    link = relink(rig)
    state(rig, link, EMPTY)
    rig.offer(0x12)
    rig.answered(0x12)
    state(rig, link, IN_USE)
    assert released(rig.wait(EMPTY_GROUP_MS)) == [(0x11, Cause.TEMPORARY_FAILURE)]
    assert 0x12 in rig.service.calls


def test_a_state_told_before_a_set_up_reached_the_switch_does_not_end_its_call(rig):
    rig.wait(2000)
    second = rig.peer(1).opening
    rig.service.link_up(second, rig.now)
    rig.service.heard(rig.link(1), rig.now)
    rig.offer(0x12)
    rig.answered(0x12)  # on the first link
    state(rig, second, EMPTY)
    assert not released(rig.wait(2 * EMPTY_GROUP_MS)) and {0x11, 0x12} <= set(rig.service.calls)


def test_links_to_a_machine_that_vanished_are_not_used_once_its_successor_is_told(rig):
    old = rig.link(1)
    rig.offer(0x12)  # out on a link that stays open and silent
    seen = rig.list(row(1, started_ms=rig.now))
    assert act.CloseLink(old) in seen and released(seen) == [(0x11, Cause.TEMPORARY_FAILURE)]
    call = rig.service.calls[0x12]
    assert call.out is None and call.last is api.Outcome.CUT
    told, sent = rig.now, []
    rig.service.link_up(rig.peer(1).opening, rig.now)
    while not sent:
        sent = of(rig.taken() + rig.wait(10), act.SendSetUp)
    assert rig.now - told >= 350  # the guard


def test_another_address_under_an_id_is_another_process(rig):
    old = rig.link(1)
    seen = rig.list(row(1, addr="127.0.0.9:2905"))
    assert act.CloseLink(old) in seen and released(seen) == [(0x11, Cause.TEMPORARY_FAILURE)]
    [opened] = of(seen, act.OpenLink)
    assert opened.address == ("127.0.0.9", 2905)


def test_calls_brought_back_are_cut_by_a_start_after_the_proxy_s_own_only(rig):
    rig.service.offered(1, rig.offers.read(invite(0x21, path="at:s-2")), b"", rig.now)
    assert not released(rig.list(row(2, started_ms=rig.service.began - 100)))
    assert released(rig.list(row(2, started_ms=rig.now + 100))) == [(0x21, Cause.TEMPORARY_FAILURE)]


def successor(rig, started):
    """A new switch, told before its predecessor has left the list, at whose address it is."""
    return rig.list(row(1, id_="s-new", addr="127.0.0.2:2905", started_ms=started))


def test_calls_that_a_new_switch_took_at_the_address_of_one_that_died_stay_as_it_is_told(rig):
    died = rig.now
    link = relink(rig)
    rig.offer(0x12)
    rig.answered(0x12)  # by the successor
    seen = successor(rig, died + 50)
    assert released(seen) == [(0x11, Cause.TEMPORARY_FAILURE)] and act.CloseLink(link) not in seen
    assert not released(rig.list({"id": "s-1", "state": "left"}))
    new = rig.service.by_id["s-new"]
    assert set(rig.service.calls) == new.standing == {0x12} and link in new.links
    rig.service.released(link, 0x12, 16, "", (), rig.now)
    assert released(rig.taken()) == [(0x12, 16)]


def test_set_ups_for_a_switch_that_died_do_not_go_to_the_new_one_at_its_address(rig):
    old = rig.peer(1)
    rig.offer(0x12)  # out at the one that dies
    successor(rig, rig.now + 50)
    assert rig.service.calls[0x12].last is api.Outcome.CUT
    assert not old.links and not old.opening
    for action in of(rig.wait(3000), act.OpenLink):
        assert action.switch != old.number
    assert not old.links and not old.opening


def test_calls_at_a_switch_that_leaves_while_it_can_be_reached_are_ended_there_too(rig):
    link = rig.link(1)
    seen = rig.list({"id": "s-1", "state": "left"})
    release, close = act.SendRelease(link, 0x11, Cause.TEMPORARY_FAILURE), act.CloseLink(link)
    assert released(seen) == [(0x11, Cause.TEMPORARY_FAILURE)] and seen.index(release) < seen.index(close)


@pytest.mark.parametrize("order", [1, -1])
def test_of_two_switches_told_at_one_address_the_one_that_started_last_is_there(order):
    rig = Rig(linked=False)
    old = row(5, "leaving", addr="127.0.0.9:1", started_ms=100)
    new = row(5, id_="s-new", addr="127.0.0.9:1", started_ms=rig.now)
    rig.list(*[old, new][::order])
    assert rig.peer(5).replaced and not rig.service.by_id["s-new"].replaced
    assert not rig.peer(5).opening and rig.service.by_id["s-new"].opening
