"""The ordinary path: ladder, semaphores, p_alpha, skipping, waiting and refusal."""

from dapplehinge import interface as api
from dapplehinge.rules import Rung
from tests.conftest import Proxy, entry, kinds, sent


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
    proxy.wait(proxy.controller.limit)
    assert sent(proxy.offer(1)) == [1]
    proxy.wait(1)
    assert sent(proxy.offer(1)) == []


def test_semaphore_reopens_on_a_set_up_that_stands_in_time(proxy):
    limit = proxy.controller.limit
    proxy.offer(1)
    proxy.wait(0.9 * limit)
    proxy.offer(1)
    proxy.wait(0.2 * limit)
    assert sent(proxy.offer(1)) == []  # the first is overdue
    assert sent(proxy.stands(2, 1)) == [1]  # the second stood in time: the call that waited goes
    assert sent(proxy.offer(1)) == [1]


def test_late_result_of_an_old_set_up_does_not_undo_newer_evidence(proxy):
    proxy.offer(1)  # call 1: old and slow
    proxy.wait(100)
    proxy.offer(1)  # call 2: newer, stands at once
    proxy.wait(50)
    proxy.stands(2, 1)
    proxy.wait(proxy.controller.limit)
    proxy.ended(1, 1, api.Outcome.TIMED_OUT, concluded=True)
    assert sent(proxy.offer(1)) == [1]


def test_unused_shut_semaphore_reopens(proxy):
    proxy.offer(1)
    proxy.ended(1, 1, api.Outcome.REJECTED, api.Cause.PROCESSOR_FULL, concluded=True)
    proxy.wait(proxy.controller.limit - 1)
    assert sent(proxy.offer(1)) == []
    assert sent(proxy.wait(20)) == [1]  # the call that waited goes as soon as the rest has passed


def test_busy_line_and_lack_of_circuits_shut_nothing(proxy):
    proxy.offer(1)
    proxy.ended(1, 1, api.Outcome.LINE_BUSY, api.Cause.LINES_ENGAGED)
    assert sent(proxy.offer(1)) == [1]
    proxy.offer(2)
    proxy.ended(2, 2, api.Outcome.NOT_SENT, api.Cause.NO_CIRCUIT, concluded=True)
    proxy.free(2, 5)
    assert sent(proxy.offer(2)) == [2]


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
    rung = controller.rung(1, 101)
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
    proxy.offer(1)
    assert kinds(proxy.wait(1400)) == []
    assert kinds(proxy.wait(200)) == [api.Refuse]  # half of the budget has passed


def test_waiting_calls_are_not_looked_at_while_nothing_changes(proxy, monkeypatch):
    for place in (1, 2, 3):
        proxy.free(place, 0)
    for _ in range(5):
        proxy.offer(1)
    looks = []
    choose = proxy.controller.choose
    monkeypatch.setattr(proxy.controller, "choose", lambda call: looks.append(call) or choose(call))
    proxy.wait(1000)
    proxy.free(2, 0)
    assert looks == []
    proxy.free(1, 1)
    assert looks


def test_open_direct_rung_costs_no_look_at_another_however_many_exchanges(monkeypatch):
    for size in (4, 70):
        proxy = Proxy()
        proxy.list(*[entry(place) for place in range(size)])
        looks = []
        look = Rung.shut
        monkeypatch.setattr(Rung, "shut", lambda *a, look=look, looks=looks: looks.append(1) or look(*a))
        assert sent(proxy.offer(1)) == [1]
        monkeypatch.undo()
        assert len(looks) == 1


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


def test_tandem_behind_the_largest_group_comes_first(proxy):
    proxy.free(1, 0)
    proxy.free(2, 9, 10)
    proxy.free(3, 9, 30)
    assert sent(proxy.offer(1)) == [3]
    proxy.free(2, 9, 40)
    assert sent(proxy.offer(1)) == [2]


def test_limit_is_never_so_short_that_the_way_alone_takes_it_up(proxy):
    limit = proxy.controller.limit
    proxy.offer(1)
    proxy.wait(1.2 * limit)
    proxy.stands(1, 1)  # slow, but the shortest that was ever seen: so long is the way
    assert sent(proxy.offer(1)) == [1]
    proxy.wait(1.5 * limit)
    assert sent(proxy.offer(1)) == [1]
    proxy.wait(0.5 * limit)
    assert sent(proxy.offer(1)) == []  # far beyond what the way takes


def test_a_far_end_slow_from_the_start_shuts_all_the_same(proxy):
    limit = proxy.controller.limit
    proxy.offer(1)
    proxy.wait(6 * limit)
    proxy.stands(1, 1)
    assert sent(proxy.offer(1)) == []


def test_a_shorter_way_is_learnt_at_once(proxy):
    limit = proxy.controller.limit
    proxy.offer(1)
    proxy.wait(0.9 * limit)
    proxy.stands(1, 1)
    proxy.offer(1)
    proxy.wait(0.1 * limit)
    proxy.stands(2, 1)
    proxy.offer(1)
    proxy.wait(1.1 * limit)
    assert sent(proxy.offer(1)) == []


def test_a_call_to_the_own_exchange_is_refused_at_once(proxy):
    assert kinds(proxy.offer(0)) == [api.Refuse]


def test_a_refusal_says_when_to_come_back_where_callers_heed_it():
    for heeded, span in ((0.0, 0.0), (5000.0, 2000.0), (900.0, 900.0)):
        proxy = Proxy(stay_away_heeded=heeded)
        assert proxy.offer(0)[0] == api.Refuse(1, span)  # the class's target is 2,000 ms
        transit = proxy.offer(0, in_transit=True)
        assert transit[0] == api.Refuse(2, 0.0)  # the proxy that sent it on has other ways


def test_set_ups_with_hardly_any_time_left_do_not_shut_a_rung_for_others(proxy):
    for _ in range(20):
        assert sent(proxy.offer(1, budget=60.0)) == [1]
        proxy.wait(60.0)
    assert sent(proxy.offer(1)) == [1]
