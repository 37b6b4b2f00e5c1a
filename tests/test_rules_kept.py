"""The five rules and the attempt limit, each as a guard that fails when taken out; odd input."""

from dataclasses import replace

import pytest

from dapplehinge import interface as api
from dapplehinge.rules import Controller
from tests.conftest import SETTINGS, Proxy, entry, kinds, sent


def test_answer_before_the_budget_ends_with_an_attempt_out(proxy):
    proxy.offer(1, budget=1000.0)
    assert kinds(proxy.wait(1000)) == [api.Cancel, api.Fail]
    assert kinds(proxy.ended(1, 1, api.Outcome.CANCELLED)) == []  # nothing more for a call that is over


def test_answer_before_the_budget_ends_while_the_release_is_awaited(proxy):
    proxy.offer(1, budget=400.0)
    proxy.wait(200)
    assert kinds(proxy.ended(1, 1, api.Outcome.TIMED_OUT)) == [api.Refuse]
    assert kinds(proxy.wait(300)) == []


def test_answer_before_the_budget_ends_while_waiting(proxy):
    for place in (1, 2, 3):
        proxy.free(place, 0)
    proxy.offer(1, budget=30.0)
    assert kinds(proxy.wait(30)) == [api.Refuse]


def test_attempt_time_out_leaves_room_for_the_answer(proxy):
    set_up = next(a for a in proxy.offer(1, budget=1000.0) if isinstance(a, api.SetUp))
    assert set_up.time_out < 1000.0


@pytest.mark.parametrize("budget", [0.0, 1.0, 9.0])
def test_tiny_budget_is_answered_at_once(proxy, budget):
    assert kinds(proxy.offer(1, budget=budget)) == [api.Refuse]


def test_one_attempt_at_a_time(proxy):
    actions = proxy.offer(1)
    assert len(sent(actions)) == 1
    assert sent(proxy.wait(50)) == []
    assert sent(proxy.free(1, 5)) == []
    assert sent(proxy.offer(2, call=1)) == []  # the same call offered again


@pytest.mark.parametrize("state", [api.SwitchState.DRAINING, api.SwitchState.GONE])
def test_nothing_to_a_draining_or_gone_switch(proxy, state):
    proxy.list(entry(1, state=state), kind=api.ListKind.CHANGES)
    assert sent(proxy.offer(1)) == []
    proxy.list(entry(2, state=state), kind=api.ListKind.CHANGES)
    proxy.free(3, 0)
    assert sent(proxy.offer(3)) == []


def test_switch_missing_from_a_whole_list_is_gone(proxy):
    proxy.list(entry(0), entry(2), entry(3))
    assert 1 not in sent(proxy.offer(1))


def test_cold_switch_gets_its_turns_and_no_burst():
    proxy = Proxy(proxies=1)
    for _ in range(40):
        proxy.wait(200)
        proxy.offer(2)
        proxy.stands(proxy.calls, 2)
    proxy.list(entry(1, started_at=proxy.now), kind=api.ListKind.CHANGES)
    sends = []
    for _ in range(60):
        proxy.wait(50)
        sends.append(sum((sent(proxy.offer(1)) for _ in range(4)), []))
    assert max(map(len, sends)) == 1  # no burst
    assert 1 <= sum(map(len, sends)) <= 6


def test_cold_switch_takes_no_tandem_traffic(proxy):
    proxy.list(entry(2, started_at=proxy.now - 10), kind=api.ListKind.CHANGES)
    proxy.free(1, 0)
    assert set(sum((sent(proxy.offer(1)) for _ in range(9)), [])) == {3}


def test_warm_switch_is_not_held_back(proxy):
    proxy.list(entry(1, started_at=proxy.now - SETTINGS.cold_span - 1), kind=api.ListKind.CHANGES)
    assert sum((sent(proxy.offer(1)) for _ in range(5)), []) == [1] * 5


@pytest.mark.parametrize("outcome", [api.Outcome.TIMED_OUT, api.Outcome.CUT, api.Outcome.CANCELLED])
def test_release_is_awaited(proxy, outcome):
    proxy.offer(1)
    proxy.wait(100)
    assert sent(proxy.ended(1, 1, outcome)) == []
    assert sent(proxy.wait(SETTINGS.guard - 5)) == [] and sent(proxy.free(1, 9)) == []
    assert len(sent(proxy.wait(SETTINGS.cold_span))) == 1


def test_attempt_limit(proxy):
    proxy.offer(1, budget=60_000.0)
    attempts = 1
    for _ in range(20):
        proxy.wait(1000)
        actions = proxy.ended(1, 1, api.Outcome.REJECTED, api.Cause.PROCESSOR_FULL, attempt=attempts - 1)
        if not sent(actions):
            actions = proxy.wait(1000)
        attempts += len(sent(actions))
        if api.Refuse in kinds(actions):
            break
    assert 1 <= attempts <= SETTINGS.max_attempts
    assert 1 not in proxy.controller.calls


def never_repeated(**changes):
    kind = api.CallClass(target=2000.0, worth=1.0, late_worth=0.0, repeat=api.Repeat.NEVER, **changes)
    return Proxy(classes=(kind,))


def test_call_that_may_have_run_is_not_repeated_nor_refused():
    proxy = never_repeated()
    proxy.offer(1)
    proxy.ended(1, 1, api.Outcome.TIMED_OUT)
    assert kinds(proxy.wait(5000)) == [api.Fail]


def test_call_that_surely_never_ran_may_be_refused():
    proxy = never_repeated()
    proxy.offer(1, in_transit=True)
    actions = proxy.ended(1, 1, api.Outcome.REJECTED, api.Cause.PROCESSOR_FULL)
    assert kinds(actions) == [api.Refuse]


def test_deduplicated_call_stays_within_its_group_and_window():
    kind = api.CallClass(2000.0, 1.0, 0.0, api.Repeat.WITHIN_GROUP, api.RepeatGroup.ZONE, 1000.0)
    controller = Controller(SETTINGS, 1)
    controller.settings = SETTINGS.__class__(
        **{**{f: getattr(SETTINGS, f) for f in SETTINGS.__slots__}, "classes": (kind,)}
    )
    controller.handle(0.0, api.SwitchList(api.ListKind.WHOLE, (entry(1, zone=1), entry(2, zone=2))))
    controller.handle(0.0, api.CallOffered(1, 0, 1, 9000.0))
    call = controller.calls[1]
    call.may_have_run = (entry(1, zone=1), 0.0)
    assert controller.repeat_allowed(call, entry(3, zone=1))
    assert not controller.repeat_allowed(call, entry(2, zone=2))
    controller.now = 1000.0
    assert not controller.repeat_allowed(call, entry(3, zone=1))


# Odd input


def test_events_about_things_that_are_over_are_ignored(proxy):
    assert proxy.ended(77, 1, api.Outcome.TIMED_OUT) == []
    assert proxy.stands(77, 1) == []
    assert proxy.feed(api.CallerGone(77)) == []
    assert proxy.feed(api.TimerDue(123456)) == []
    assert proxy.feed(api.SwitchReport(999, False, True, 0.0, ())) == []
    assert proxy.feed(api.PeerMessage(2, b"?")) == []


def test_caller_gone_ends_the_call(proxy):
    proxy.offer(1)
    proxy.feed(api.CallerGone(1))
    assert proxy.ended(1, 1, api.Outcome.TIMED_OUT, concluded=True) == []
    assert not proxy.controller.calls


def test_list_with_repeated_and_unknown_switches(proxy):
    proxy.list(entry(1), entry(1), entry(9, state=api.SwitchState.GONE), kind=api.ListKind.CHANGES)
    assert sent(proxy.offer(1)) == [1]


def test_destination_not_on_the_list_is_refused(proxy):
    assert kinds(proxy.offer(8)) == [api.Refuse]


def test_call_to_the_own_exchange_is_not_sent(proxy):
    assert sent(proxy.offer(0)) == []


def test_empty_list_refuses():
    assert kinds(Proxy(listed=False).offer(1)) == [api.Refuse]


def test_call_wider_than_any_group_is_refused_in_time(proxy):
    for place in (1, 2, 3):
        proxy.free(place, 20, 20)
    assert sent(proxy.offer(1, width=50)) == []
    assert kinds(proxy.wait(2500)) == [api.Refuse]


def test_failed_subscription_is_asked_for_again():
    proxy = Proxy(must_ask_for_list=True)
    assert proxy.controller.start(0.0) == [api.Subscribe()]
    actions = proxy.list(kind=api.ListKind.FAILED)
    assert isinstance(actions[0], api.SetTimer)
    assert sent(proxy.offer(1)) == [1]  # the old list stands
    assert proxy.feed(api.TimerDue(actions[0].tag)) == [api.Subscribe()]


def test_no_tandem_towards_a_switch_that_may_not_be_sent_to(proxy):
    proxy.list(entry(1, state=api.SwitchState.DRAINING), kind=api.ListKind.CHANGES)
    assert sent(proxy.offer(1)) == []
    proxy.list(entry(2, started_at=proxy.now - 10), kind=api.ListKind.CHANGES)
    proxy.free(2, 0)
    assert len(sum((sent(proxy.offer(2)) for _ in range(6)), [])) <= 1  # set-ups by tandem reach it too


def test_timer_that_comes_a_hair_early_loses_no_call(proxy):
    (timer,) = [a for a in proxy.offer(1, budget=1000.0) if isinstance(a, api.SetTimer)]
    proxy.timers.clear()
    proxy.now += timer.span - 0.0004  # the clock of the wire counts in microseconds
    proxy.feed(api.TimerDue(timer.tag))
    assert kinds(proxy.wait(5)) == [api.Cancel, api.Fail]


def test_nearly_all_cold_draining_or_gone_within_one_batch_and_a_birth_in_it():
    proxy = Proxy(listed=False)
    proxy.list(*[entry(place) for place in range(9)], kind=api.ListKind.SAVED)
    cold = [entry(place, started_at=proxy.now) for place in (1, 2, 3)]
    draining = [entry(place, state=api.SwitchState.DRAINING) for place in (4, 5)]
    gone = [entry(place, state=api.SwitchState.GONE) for place in (6, 7)]
    proxy.list(*cold, *draining, *gone, kind=api.ListKind.CHANGES)
    places, refused = [], 0
    for place in (1, 2, 3, 4, 5, 6, 7, 8) * 4:
        actions = proxy.offer(place)
        if place == 8:
            proxy.stands(proxy.calls, 8)
        actions += proxy.wait(50)
        places += sent(actions)
        refused += kinds(actions).count(api.Refuse)
    assert set(places) <= {1, 2, 3, 8} and places.count(8) == 4
    assert all(places.count(place) <= 1 for place in (1, 2, 3))
    refused += kinds(proxy.wait(3000)).count(api.Refuse)
    assert refused >= 16  # all that could not be sent is answered


def test_switches_that_left_take_their_rungs_with_them(proxy):
    for turn in range(50):
        proxy.list(entry(0), entry(1), replace(entry(2), switch=1000 + turn))
        proxy.free(1, 0)
        proxy.offer(2)
        proxy.ended(proxy.calls, 900 + turn, api.Outcome.TIMED_OUT, concluded=True)
    proxy.wait(10_000)
    controller = proxy.controller
    assert not controller.calls and not controller.waiting and not controller.agenda
    assert len(controller.rungs) <= 4 and len(controller.switches) == 3


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("classes", ()), ("guard", -1.0), ("guard", float("nan")), ("max_attempts", 0), ("round_span", 0.0),
        ("proxies", 0), ("cold_share", 1.5), ("tenant_quotas", (1.0, -2.0)), ("position", -1),
    ],
)  # fmt: skip
def test_settings_that_make_no_sense_name_the_field(field, value):
    with pytest.raises(ValueError, match=field):
        replace(SETTINGS, **{field: value})


def test_an_event_of_unknown_type_is_a_type_error(proxy):
    with pytest.raises(TypeError, match="str"):
        proxy.feed("an event")
