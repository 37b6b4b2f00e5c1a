"""The ordinary path: ladder, semaphores, p_alpha, skipping, waiting and refusal."""

from dapplehinge import interface as api
from tests.conftest import Proxy, kinds, sent


def test_direct_route_first(proxy):
    assert sent(proxy.offer(1)) == [1]


def test_no_circuit_on_the_direct_group_climbs_to_a_tandem(proxy):
    proxy.free(1, 0)
    assert sent(proxy.offer(1))[0] in (2, 3)


def test_spilled_call_leaves_the_reserved_circuits(proxy):
    for place, free in ((1, 0), (2, 2), (3, 2)):
        proxy.free(place, free, 20)
    assert sent(proxy.offer(1)) == []


def test_advised_tandem_comes_first(proxy):
    proxy.free(1, 0)
    assert sent(proxy.offer(1, advised=3)) == [3]
    assert sent(proxy.offer(1, advised=2)) == [2]


def test_semaphore_shuts_when_the_limit_has_passed_without_an_answer(proxy):
    proxy.offer(1)
    rung = proxy.controller.direct_rung(1)
    limit = proxy.controller.limit
    assert not rung.shut(proxy.now + limit, limit)
    assert rung.shut(proxy.now + limit + 1, limit)


def test_semaphore_reopens_on_a_set_up_that_stands_in_time(proxy):
    proxy.offer(1)
    proxy.tick(proxy.controller.limit + 1)
    rung = proxy.controller.direct_rung(1)
    assert rung.shut(proxy.now, proxy.controller.limit)
    proxy.controller.now = proxy.now
    proxy.controller.send(*call_in_hand(proxy, 1))
    proxy.now += 20
    proxy.stands(proxy.calls, 1)
    assert not rung.shut(proxy.now, proxy.controller.limit)


def call_in_hand(proxy, destination):
    """A fresh call that the ladder has not placed, and the switch of its destination."""
    offer = api.CallOffered(900 + proxy.calls, 0, destination, 3000.0)
    proxy.calls = offer.call
    call = type(next(iter(proxy.controller.calls.values())))(offer, proxy.now, proxy.now + 2990)
    proxy.controller.calls[offer.call] = call
    return call, 100 + destination


def test_late_result_of_an_old_set_up_does_not_undo_newer_evidence(proxy):
    proxy.offer(1)  # call 1: old and slow
    proxy.now += 100
    proxy.offer(1)  # call 2: newer, stands at once
    proxy.now += 50
    proxy.stands(2, 1)
    proxy.now += proxy.controller.limit
    proxy.ended(1, 1, api.Outcome.TIMED_OUT)
    assert not proxy.controller.direct_rung(1).shut(proxy.now, proxy.controller.limit)


def test_unused_shut_semaphore_reopens(proxy):
    proxy.offer(1)
    proxy.ended(1, 1, api.Outcome.REJECTED, api.Cause.PROCESSOR_FULL)
    limit = proxy.controller.limit
    rung = proxy.controller.direct_rung(1)
    assert rung.shut(proxy.now + limit - 1, limit)
    assert not rung.shut(proxy.now + limit + 1, limit)


def test_busy_line_and_lack_of_circuits_shut_nothing(proxy):
    proxy.offer(1)
    proxy.ended(1, 1, api.Outcome.LINE_BUSY, api.Cause.LINES_ENGAGED)
    proxy.offer(2)
    proxy.ended(2, 2, api.Outcome.NOT_SENT, api.Cause.NO_CIRCUIT)
    for place in (1, 2):
        assert not proxy.controller.direct_rung(place).shut(proxy.now, proxy.controller.limit)


def test_rate_is_calls_over_time_and_guards_a_zero_span(proxy):
    for _ in range(5):
        proxy.offer(1)
    assert proxy.controller.call_rate(1) == 0.0  # all in one round
    proxy.now += 100
    proxy.offer(1)
    assert proxy.controller.call_rate(1) == 5 / 100


def test_spill_share_follows_the_paper_and_stays_within_bounds(proxy):
    controller = proxy.controller
    proxy.offer(1)
    rung = controller.direct_rung(1)
    rung.stood.extend([proxy.now] * 2)
    mu = rung.service_rate(proxy.now, 4 * controller.limit)
    low, high = controller.spill_share(rung, 4 * mu, 1.0), controller.spill_share(rung, 4 * mu, 0.5)
    assert 0.2 < low < 0.25 and 0.4 < high < 0.5
    assert controller.spill_share(rung, mu / 10, 1.0) == 1.0
    assert controller.spill_share(rung, mu, 0.0) == 1.0  # a product of zero divides nothing


def test_call_waits_at_home_for_a_circuit_and_is_sent_when_one_frees(proxy):
    for place in (1, 2, 3):
        proxy.free(place, 0)
    assert kinds(proxy.offer(1)) == []
    proxy.now += 200
    assert sent(proxy.free(1, 1)) == [1]


def test_waiting_call_is_refused_when_its_patience_ends(proxy):
    for place in (1, 2, 3):
        proxy.free(place, 0)
    actions = proxy.offer(1)
    look = [a for a in actions if isinstance(a, api.SetTimer) and a.tag == 0]
    assert look
    proxy.now += 1500  # half of the budget
    assert kinds(proxy.feed(api.TimerDue(0))) == [api.Refuse]


def test_worthiest_waiting_call_gets_the_circuit():
    proxy = Proxy()
    for place in (1, 2, 3):
        proxy.free(place, 0)
    proxy.offer(1)
    proxy.offer(1, call_class=1)
    actions = proxy.free(1, 1)
    assert [a.call for a in actions if isinstance(a, api.SetUp)] == [2]


def test_call_in_transit_goes_on_or_is_turned_back(proxy):
    assert sent(proxy.offer(1, in_transit=True)) == [1]
    proxy.free(1, 2, 20)  # only reserved circuits are left
    assert kinds(proxy.offer(1, in_transit=True)) == [api.Refuse]


def test_pools_are_alternatives_of_each_other():
    pooled = (api.CallClass(target=2000.0, worth=1.0, late_worth=0.0, pools=(1, 2)),)
    proxy = Proxy(layout=api.Layout.POOLS, own_exchange=-1, classes=pooled)
    assert sent(proxy.offer(1)) == [1]
    proxy.free(1, 0)
    assert sent(proxy.offer(1)) == [2]


def test_redialled_call_takes_no_tandem(proxy):
    for _ in range(10):
        proxy.offer(2)
    proxy.free(1, 0)
    assert sent(proxy.offer(1, redialled=True)) == []
    assert sent(proxy.offer(1)) != []


def test_tenant_over_its_quota_is_worth_less():
    proxy = Proxy(tenant_quotas=(10.0, 10.0), over_share_worth=0.1)
    for turn in range(200):
        proxy.now += 10
        proxy.offer(1, tenant=0 if turn % 5 else 1)
    offers = [api.CallOffered(9000 + t, 0, 1, 3000.0, tenant=t) for t in (0, 1)]
    assert proxy.controller.worth(offers[0]) < 0.8 < proxy.controller.worth(offers[1])


def test_same_events_and_seed_give_the_same_actions():
    def play(seed):
        proxy, seen = Proxy(seed), []
        for turn in range(60):
            proxy.now += 90
            seen += proxy.offer(1 + turn % 3)
        return seen

    assert play(3) == play(3)
