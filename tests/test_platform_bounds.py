"""What clients, switches or the feed may fill is bounded, and a bound costs the one that filled it."""

from dapplehinge import interface as api
from dapplehinge.platform import actions as act
from dapplehinge.platform.memory import MemoryBudget
from dapplehinge.platform.recent import MAX_RECENT_IDS, RecentIds
from dapplehinge.platform.reports import report_from
from dapplehinge.platform.restored import CALLS_PER_CIRCUIT, MAX_RESTORED_CALLS
from dapplehinge.platform.service import Admission, held_bytes
from dapplehinge.platform.table import MAX_KEPT_RELEASES, MAX_UNCONFIRMED_RELEASES
from dapplehinge.platform.telemetry import Shed
from dapplehinge.platform.unclaimed import (
    MAX_UNCLAIMED_RELEASES,
    UnclaimedRelease,
    UnclaimedReleases,
)
from dapplehinge.rules import MAX_ENGAGED_NUMBERS, MIN_PRUNED_LOOKS, MIN_WAITING_PLACES
from tests.conftest import Proxy
from tests.platform_kit import Rig, invite, of

SOUND, BAD = 1, 2  # connections
CIRCUITS = 20


def bring_back(rig, call, conn, place=1):
    offer = rig.offers.read(invite(call, path=f"dest:1;width:1;via:-1;at:s-{place}", time_left=""))
    admission = rig.service.offered(conn, offer, b"", rig.now)
    return admission, rig.taken()


def test_calls_that_no_switch_knows_named_by_a_bad_client_do_not_fill_the_memory():
    rig = Rig()
    rig.service.reported(rig.link(1), report_from(f"x0:{CIRCUITS};x1:{CIRCUITS}"), rig.now)
    sound = range(0x100, 0x100 + CIRCUITS // 2)
    for call in sound:
        assert bring_back(rig, call, SOUND)[0] is Admission.TAKEN
    shed = []
    for call in range(0x10000, 0x10000 + 5000):
        shed += of(bring_back(rig, call, BAD)[1], act.ReleaseCaller)
    kept = CALLS_PER_CIRCUIT * CIRCUITS
    assert len(rig.service.calls) == len(rig.peer(1).standing) == len(rig.service.restored) == kept
    assert all(call in rig.service.calls for call in sound)
    assert len(shed) == rig.service.metrics.shed[Shed.RESTORED_CALL] == 5000 - kept + len(sound)
    assert {action.conn for action in shed} == {BAD}


def test_a_bad_client_that_came_first_does_not_take_the_place_of_calls_brought_back_by_others():
    rig = Rig()
    rig.service.reported(rig.link(1), report_from(f"x0:{CIRCUITS};x1:{CIRCUITS}"), rig.now)
    for call in range(0x10000, 0x10000 + 200):
        bring_back(rig, call, BAD + call % 7)  # several connections
    for conn in range(BAD, BAD + 7):
        rig.service.caller_lost(conn, rig.now)
    for call in range(0x100, 0x100 + CIRCUITS // 2):
        admission, seen = bring_back(rig, call, SOUND)
        assert admission is Admission.TAKEN
        [ended] = of(seen, act.ReleaseCaller)  # told on both sides, in case it was a call
        assert [a.id for a in of(seen, act.SendRelease)] == [ended.id] and ended.id >= 0x10000
    assert len(rig.service.restored) == CALLS_PER_CIRCUIT * CIRCUITS


def test_calls_named_at_switches_that_have_told_no_group_are_bounded_together():
    rig = Rig()
    for call in range(0x10000, 0x10000 + MAX_RESTORED_CALLS + 500):
        bring_back(rig, call, BAD, place=call % 4)
    assert len(rig.service.calls) == len(rig.service.restored) == MAX_RESTORED_CALLS
    for call in list(rig.service.calls):
        assert rig.service.caller_released(BAD, call, 16, rig.now)
    assert not rig.service.calls and not len(rig.service.restored)


def test_calls_to_ever_new_exchanges_that_nobody_serves_leave_nothing_behind():
    proxy = Proxy()
    for destination in range(1000, 3000):
        proxy.offer(destination)
        proxy.wait(1)
    assert set(proxy.controller.arrivals) <= set(range(4)) and not proxy.controller.calls


def test_ever_new_numbers_that_are_engaged_are_not_remembered_without_end():
    proxy = Proxy()
    for number in range(1, 2 * MAX_ENGAGED_NUMBERS):
        proxy.offer(1, number=number)
        proxy.ended(proxy.calls, 1, api.Outcome.LINE_BUSY, api.Cause.LINES_ENGAGED)
        proxy.wait(1)
    engaged = proxy.controller.engaged
    assert len(engaged) == MAX_ENGAGED_NUMBERS and number in engaged and 1 not in engaged


def test_set_ups_that_are_withdrawn_at_once_leave_no_timers_behind():
    rig = Rig()
    for call in range(0x100, 0x100 + 8000):
        rig.offer(call, time_left="9000")
        rig.service.given_up(1, call, rig.now)
        rig.taken()
        rig.wait(0.5)
    assert len(rig.service._agenda.things()) < 3000 and len(rig.service.controller.agenda) < 3000


def without_circuits():
    proxy = Proxy()
    for place in range(4):
        proxy.free(place, 0)
    return proxy


def test_set_ups_at_full_speed_to_a_full_group_do_not_wait_in_ever_longer_queues():
    proxy = without_circuits()
    refused = []
    for _ in range(2000):
        refused += proxy.offer(1)
        proxy.now += 0.2
    controller = proxy.controller
    assert len(controller.waiting[1]) == len(controller.calls) == MIN_WAITING_PLACES
    assert sum(isinstance(action, api.Refuse) for action in refused) == 2000 - MIN_WAITING_PLACES
    for free in [1, 0] * 200:  # each wakes all that wait
        proxy.free(2, free)
        proxy.free(1, 0)
        proxy.now += 0.2
    assert len(controller.agenda) <= MIN_PRUNED_LOOKS
    answers = proxy.wait(3000)
    assert not controller.calls and not controller.waiting and answers


def test_a_worthier_call_takes_the_place_of_one_that_waits():
    proxy = without_circuits()
    for _ in range(2 * MIN_WAITING_PLACES):
        proxy.offer(1)
    [refusal] = [a for a in proxy.offer(1, call_class=1) if isinstance(a, api.Refuse)]
    assert refusal.call == MIN_WAITING_PLACES  # the newest of those that waited
    assert proxy.calls in proxy.controller.waiting[1]


def test_set_ups_held_open_by_bad_clients_do_not_fill_the_memory():
    rig = Rig()
    rig.offer(0x100, conn=BAD)
    [first] = rig.service.in_flight.values()
    rig.service.max_open_bytes = 10 * held_bytes(first)
    answers = []
    for call in range(0x101, 0x101 + 50):
        answers += of(rig.offer(call, conn=BAD), act.Respond)
    assert len(rig.service.in_flight) == 10 and rig.service.metrics.shed[Shed.OPEN_SET_UP] == 41
    assert len(answers) == 41 and {answer.status for answer in answers} == {504}  # each was out
    assert sorted(rig.service.calls) == list(range(0x101 + 40, 0x101 + 50))  # the oldest gave way
    for call in list(rig.service.calls):
        rig.answered(call)
    assert not rig.service.open_bytes.total and not rig.service.in_flight and len(rig.peer(1).standing) == 10


def test_one_set_up_larger_than_all_that_may_be_held_is_answered():
    rig = Rig()
    rig.service.max_open_bytes = 1
    [answer] = of(rig.offer(0x100), act.Respond)
    assert answer.status == 504 and not rig.service.calls and not rig.service.open_bytes.total


def test_callers_get_part_of_what_the_process_leaves_of_its_memory():
    budgets = [MemoryBudget(megabytes * 1_000_000) for megabytes in (16, 32, 64, 192, 2048)]
    held = [each.open_set_ups + each.partial_messages for each in budgets]
    assert held == sorted(held) and held[1] <= 0.5 * (32_000_000 - 27_000_000)
    for budget in budgets:
        assert 16 * 1024 < budget.unsent(1000) <= budget.unsent(10)


# One client fills a table: his own entries give way


def test_a_flood_of_open_set_ups_does_not_end_those_that_others_wait_for():
    rig = Rig()
    rig.offer(0x100, conn=1)
    [first] = rig.service.in_flight.values()
    rig.service.max_open_bytes = 10 * held_bytes(first)
    for call in range(0x101, 0x101 + 50):
        rig.offer(call, conn=BAD)
    assert 0x100 in rig.service.calls and len(rig.service.in_flight) == 10


def test_a_flood_of_set_ups_does_not_make_an_id_forgotten_that_went_out_before():
    recent = RecentIds()
    recent.note(0x11, 1, 0.0)
    for call in range(0x1000, 0x1000 + 2 * MAX_RECENT_IDS):
        recent.note(call, BAD, 1.0)
    assert recent.knows(0x11, 2.0) and len(recent) == MAX_RECENT_IDS


def test_a_flood_over_ever_new_connections_does_not_make_an_id_forgotten():
    recent = RecentIds()
    recent.note(0x11, 1, 0.0)
    for call in range(0x1000, 0x1000 + 2 * MAX_RECENT_IDS):
        recent.note(call, call, 1.0)
        recent.connection_closed(call)
    assert recent.knows(0x11, 2.0) and len(recent) == MAX_RECENT_IDS


def test_a_flood_of_calls_ended_by_one_client_does_not_push_out_releases_kept_for_a_switch():
    rig = Rig()
    rig.offer(0x11, conn=1)
    rig.answered(0x11)
    rig.service.link_lost(rig.link(1), rig.now)
    rig.service.caller_released(1, 0x11, 16, rig.now)
    for call in range(0x1000, 0x1000 + MAX_KEPT_RELEASES + 100):
        rig.offer(call, conn=BAD, path="at:s-1")
        rig.service.caller_released(BAD, call, 16, rig.now)
    assert len(rig.peer(1).releases) == MAX_KEPT_RELEASES
    assert 0x11 in [release.id for release in rig.peer(1).releases]


def test_a_flood_of_given_up_set_ups_does_not_push_out_unconfirmed_releases():
    rig = Rig()
    rig.offer(0x11, conn=1)
    rig.service.given_up(1, 0x11, rig.now)
    for call in range(0x1000, 0x1000 + 2 * MAX_UNCONFIRMED_RELEASES):
        rig.offer(call, conn=BAD)
        rig.service.given_up(BAD, call, rig.now)
    unconfirmed = [release.id for release in rig.peer(1).links[rig.link(1)].releases]
    assert 0x11 in unconfirmed and len(unconfirmed) == MAX_UNCONFIRMED_RELEASES


def test_releases_that_cross_given_up_set_ups_do_not_push_out_those_of_calls_not_known_yet():
    rig = Rig()
    rig.released(0x11)
    for call in range(0x1000, 0x1000 + MAX_UNCLAIMED_RELEASES + 100):
        rig.offer(call, conn=BAD)
        rig.service.given_up(BAD, call, rig.now)
        rig.released(call)
    assert [bye.id for bye in of(rig.offer(0x11, path="at:s-1"), act.ReleaseCaller)] == [0x11]


def test_one_switch_s_releases_of_unknown_calls_do_not_push_out_another_s():
    unclaimed = UnclaimedReleases()
    unclaimed.keep(0x11, UnclaimedRelease(1, 16, 0.0))
    for call in range(0x1000, 0x1000 + 2 * MAX_UNCLAIMED_RELEASES):
        unclaimed.keep(call, UnclaimedRelease(2, 16, 1.0))
    assert len(unclaimed) == MAX_UNCLAIMED_RELEASES and unclaimed.claim(0x11, 1, 2.0)


def test_restored_calls_that_a_successor_has_taken_over_give_way_there():
    rig = Rig()
    for call in range(0x100, 0x100 + CIRCUITS):
        bring_back(rig, call, BAD)
    restored, former, successor = rig.service.restored, rig.peer(1), rig.peer(2)
    successor.circuits = 1
    successor.standing |= former.standing
    for call in sorted(former.standing):
        restored.moved(rig.service.calls[call], successor)
    assert restored.surplus(successor) is rig.service.calls[0x100 + CIRCUITS - 1]
