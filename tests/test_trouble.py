"""Failures found on the bench, each by its symptom."""

from dapplehinge import interface as api
from tests.conftest import Proxy, entry, kinds, sent


def test_tandem_that_turned_a_call_back_rests(proxy):
    proxy.free(1, 0)
    first = sent(proxy.offer(1))[0]
    again = sent(proxy.ended(1, first, api.Outcome.REJECTED, api.Cause.TURNED_BACK))
    assert again and again[0] != first
    proxy.now += 1500
    assert first not in sent(proxy.offer(1))


def test_engaged_number_rests_and_is_tried_again(proxy):
    proxy.offer(1, number=555)
    assert kinds(proxy.ended(1, 1, api.Outcome.LINE_BUSY, api.Cause.LINES_ENGAGED)) == [api.Fail]
    assert kinds(proxy.offer(1, number=555)) == [api.Refuse]
    assert sent(proxy.offer(1, number=556)) == [1]
    proxy.stands(3, 1)
    proxy.now += 300
    assert sent(proxy.offer(1, number=555)) == [1]


def test_slow_destination_does_not_spill(proxy):
    for _ in range(3):
        proxy.offer(1)
    proxy.now += proxy.controller.limit + 1
    assert sent(proxy.offer(1)) == []


def test_many_shut_rungs_stop_spilling(proxy):
    for place in (1, 2):
        proxy.offer(place)
    proxy.wait(proxy.controller.limit + 1)
    proxy.free(3, 0)
    assert sent(proxy.offer(3)) == []


def test_full_processor_beyond_a_tandem_shuts_the_direct_rung(proxy):
    proxy.free(1, 0)
    tandem = sent(proxy.offer(1))[0]
    proxy.ended(1, tandem, api.Outcome.REJECTED, api.Cause.TURNED_BACK_FULL)
    assert sent(proxy.free(1, 9)) == [] and sent(proxy.offer(1)) == []


def test_restarted_proxy_uses_its_saved_list():
    proxy = Proxy(listed=False)
    proxy.list(*[entry(place) for place in range(3)], kind=api.ListKind.SAVED)
    assert sent(proxy.offer(1)) == [1]


def test_rung_that_keeps_failing_rests_longer(proxy):
    limit = proxy.controller.limit
    for turn in range(3):
        proxy.wait(1200)
        assert sent(proxy.offer(1)) == [1]
        proxy.ended(turn + 1, 1, api.Outcome.REJECTED, api.Cause.PROCESSOR_FULL, concluded=True)
    proxy.wait(3 * limit)
    assert sent(proxy.offer(1)) == []
    assert sent(proxy.wait(limit + 10)) == [1]  # it must see the end of the trouble
    proxy.stands(proxy.calls, 1)
    assert sent(proxy.offer(1)) == [1]


def test_tandem_that_never_gets_through_is_soon_left_alone_and_found_again():
    proxy = Proxy()
    proxy.list(*[entry(place) for place in range(3)])
    proxy.free(1, 0)
    tries = []
    for second in range(200):
        proxy.wait(1000)
        for _ in sent(proxy.offer(1)):
            tries.append(second)
            proxy.ended(proxy.calls, 2, api.Outcome.REJECTED, api.Cause.TURNED_BACK)
    assert len(tries) <= 9 and max(tries) > 100
    proxy.wait(50_000)
    assert sent(proxy.offer(1)) == [2]
    proxy.stands(proxy.calls, 2)
    proxy.wait(1000)
    assert sent(proxy.offer(1)) == [2]


def test_a_rung_that_stays_open_keeps_no_more_than_its_window(proxy):
    for _ in range(2000):
        proxy.offer()
        proxy.wait(1.0)
        proxy.stands(proxy.calls, 1)
    rung = proxy.controller.rungs[(1, 101)]
    span = 4.0 * proxy.controller.limit  # its window, MU_SPANS
    assert len(rung.stood) <= span + 1 and len(rung.young) <= proxy.controller.limit + 2
    assert len(proxy.controller.agenda) <= 4000
