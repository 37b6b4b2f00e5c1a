"""The stop of a proxy on a scripted clock, and what the module does when it is told."""

import pytest

from dapplehinge import interface as api
from dapplehinge.platform import actions as act
from dapplehinge.platform.shutdown import ARRIVALS_MS, CROSSING_MS, QUIET_MS, Load, Phase, Shutdown
from tests.platform_kit import Rig, of

BEGUN = 50_000.0
BUSY = Load(unanswered=3, connections=5, last_set_up=1e9)
IDLE_CONNECTION = Load(unanswered=0, connections=1, last_set_up=BEGUN)
NOTHING = Load(unanswered=0, connections=0, last_set_up=BEGUN)


def stopping(deadline=1200.0):
    shutdown = Shutdown(deadline)
    shutdown.begin(BEGUN)
    return shutdown


@pytest.mark.parametrize("deadline", [200.0, 1000.0, 1200.0, 2200.0, 3000.0, 3500.0, 9000.0])
def test_a_busy_proxy_answers_all_before_it_closes_and_ends_before_the_earliest_kill(deadline):
    shutdown = stopping(deadline)
    earliest_kill = BEGUN + min(deadline, 3000.0) + 700.0
    seen = {}
    now = BEGUN
    while now < earliest_kill and shutdown.phase is not Phase.STOPPED:
        seen.setdefault(shutdown.advance(now, BUSY), now)
        now += 5.0
    assert list(seen) == [*list(Phase)[1:]]
    assert seen[Phase.STOPPED] <= earliest_kill - 100.0
    assert shutdown.answer_by == BEGUN + min(deadline, 3000.0)  # what was taken before has its whole time
    assert shutdown.answer_by <= seen[Phase.FINISHING] < seen[Phase.CLOSING] < seen[Phase.STOPPED]


def test_a_deserted_proxy_ends_early():
    shutdown = stopping(9000.0)
    assert shutdown.advance(BEGUN + ARRIVALS_MS - 1, IDLE_CONNECTION) is Phase.DRAINING
    assert shutdown.advance(BEGUN + ARRIVALS_MS, IDLE_CONNECTION) is Phase.FINISHING
    assert shutdown.advance(BEGUN + ARRIVALS_MS + CROSSING_MS - 1, NOTHING) is Phase.FINISHING
    assert shutdown.advance(BEGUN + ARRIVALS_MS + CROSSING_MS, NOTHING) is Phase.CLOSING
    assert shutdown.advance(BEGUN + ARRIVALS_MS + CROSSING_MS + 5, NOTHING) is Phase.STOPPED


@pytest.mark.parametrize(
    "load",
    [
        Load(unanswered=1, connections=1, last_set_up=BEGUN),
        Load(unanswered=0, connections=1, last_set_up=BEGUN + ARRIVALS_MS - QUIET_MS + 1),
    ],
)
def test_a_proxy_that_is_called_or_owes_an_answer_does_not_end_early(load):
    assert stopping(9000.0).advance(BEGUN + ARRIVALS_MS, load) is Phase.DRAINING


def test_connections_that_come_while_it_finishes_are_awaited():
    shutdown = stopping(9000.0)
    for at in range(int(ARRIVALS_MS), 2900, 100):
        load = IDLE_CONNECTION if at // 100 % 2 else NOTHING
        assert shutdown.advance(BEGUN + at, load) is Phase.FINISHING


def test_a_late_event_loop_answers_earlier_and_ends_no_later():
    prompt, late = stopping(), stopping()
    late.advance(BEGUN + 100, Load(unanswered=3, connections=5, last_set_up=BEGUN, loop_lag=60.0))
    assert late.answer_by <= prompt.answer_by - 2 * 60.0 and late.stop_by == prompt.stop_by
    late.advance(BEGUN + 200, Load(unanswered=3, connections=5, last_set_up=BEGUN, loop_lag=1e6))
    assert late.answer_by > BEGUN + 100  # a part of the time is always kept


def test_a_second_sigterm_changes_no_time():
    shutdown = stopping()
    before = shutdown.answer_by, shutdown.stop_by
    shutdown.begin(BEGUN + 500)
    assert (shutdown.answer_by, shutdown.stop_by) == before


def test_no_time_passes_before_sigterm():
    assert Shutdown(1200.0).advance(1e12, BUSY) is Phase.ACCEPTING


def test_the_module_ends_waiting_and_sent_calls_by_the_time_it_is_told():
    rig = Rig()
    rig.offer(0x11, time_left="8000")  # is sent and hangs
    for place in range(4):
        full = ((api.Load.FREE_CIRCUITS, 0.0), (api.Load.GROUP_SIZE, 20.0))
        rig.service.reported(rig.link(place), full, rig.now)
    rig.taken()
    rig.offer(0x12, time_left="8000", path="dest:2;width:1;via:-1")  # waits for a circuit
    answer_by = rig.now + 1000.0
    rig.service.shut_down(answer_by, rig.now)
    seen = rig.taken() + rig.wait(1000.0)
    assert sorted(each.status for each in of(seen, act.Respond)) == [503, 504]
    assert of(seen, act.SendRelease) == [act.SendRelease(rig.link(1), 0x11, 16)]
    assert not rig.service.in_flight


def test_what_is_offered_after_that_time_is_refused_at_once():
    rig = Rig()
    rig.service.shut_down(rig.now + 1000.0, rig.now)
    assert of(rig.offer(0x11, time_left="8000"), act.SendSetUp)
    rig.wait(1000.0)
    late = rig.offer(0x12, time_left="8000")
    assert [each.status for each in of(late, act.Respond)] == [503] and not of(late, act.SendSetUp)


def test_a_set_up_whose_end_the_module_missed_is_answered_once():
    rig = Rig()
    rig.offer(0x11, time_left="8000")
    rig.service.answer_unanswered(rig.now)
    seen = rig.taken()
    assert [each.status for each in of(seen, act.Respond)] == [504]
    assert of(seen, act.SendRelease) == [act.SendRelease(rig.link(1), 0x11, 16)]
    assert not of(rig.answered(), act.Respond) and not of(rig.wait(10_000), act.Respond)
