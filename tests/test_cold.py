"""Rule 4 by all proxies together: what they send to cold switches in any tipping window."""

from math import sqrt

import pytest

from dapplehinge import interface as api
from dapplehinge.cold_start import CarriedLoad
from dapplehinge.rules import ENGAGED_REST, Controller
from tests.conftest import SETTINGS, Proxy, entry, kinds, sent

PROXIES, RATE = 70, 10.0  # and calls a second that each of them offers in ordinary times


def press(cold: range, monkeypatch, budget: bool = True) -> dict[int, list[float]]:
    """All proxies learn their usual rate, then press on cold switches; when set-ups went to each, in ms."""
    if not budget:
        monkeypatch.setattr(Controller, "is_cold", lambda self, entry: False)
    proxies = [Proxy(listed=False, own_exchange=n, position=n, proxies=PROXIES) for n in range(PROXIES)]
    places = range(PROXIES)
    sends: dict[int, list[float]] = {place: [] for place in cold}
    gap, began, began_cold = 1000.0 / RATE, 10_000.0, 16_000.0

    def note(proxy: Proxy, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.SetUp):
                place = action.switch - 100
                if place in sends and proxy.now >= began_cold:
                    sends[place].append(proxy.now)
                # answered at once, so that only the budget holds anything back
                proxy.feed(api.CallStands(action.call, 0, action.switch, 0.0))

    for proxy in proxies:
        proxy.list(*[entry(place) for place in places])
    for step in range(int((began_cold - began) / gap)):
        for n, proxy in enumerate(proxies):
            note(proxy, proxy.wait(gap))
            others = [place for place in places if place != n]
            note(proxy, proxy.offer(others[(step + n) % len(others)]))
    for proxy in proxies:
        proxy.list(*[entry(place, started_at=began_cold) for place in cold], kind=api.ListKind.CHANGES)
    for step in range(80):
        for n, proxy in enumerate(proxies):
            note(proxy, proxy.wait(gap))
            place = cold[(step + n) % len(cold)]
            if place != n:
                note(proxy, proxy.offer(place))
                if n % 2:
                    note(proxy, proxy.offer(place, in_transit=True))
    return {place: sorted(times) for place, times in sends.items()}


def worst_use(times: list[float]) -> float:
    """The fullest tipping window's share of what the switch bears in it; a warm one takes RATE at least."""
    began, span, worst = 16_000.0, SETTINGS.tip_after, 0.0
    for first, time in enumerate(times):
        inside = sum(1 for later in times[first:] if later < time + span)
        age = min(1.0, (time + span - began) / SETTINGS.cold_span)
        share = SETTINGS.cold_share + (1 - SETTINGS.cold_share) * age
        worst = max(worst, inside / (SETTINGS.fall_multiple * share * RATE * span / 1000.0))
    return worst


@pytest.mark.parametrize("cold", [range(1), range(PROXIES // 3)], ids=["one", "a third"])
def test_all_proxies_together_stay_below_what_tips_a_cold_switch(cold, monkeypatch):
    for times in press(cold, monkeypatch).values():
        assert times and worst_use(times) <= 1.0


def test_without_the_budget_the_same_calls_tip_it(monkeypatch):
    assert worst_use(press(range(1), monkeypatch, budget=False)[0]) > 2.0


# What a client who floods the proxies may not move

NETWORK, USUAL_GAP_MS = 4, 100.0  # proxies, and between two usual calls at one of them
FLOOD_PER_STEP, FLOOD_MS = 20, 6000.0
AGAIN_PER_STEP, AGAIN_MS = 5, 2800.0  # calls that were cut as the switch stopped, for as long as they come
COLD, WARM, UNKNOWN = 1, 2, 99
BEGAN_COLD = 30_000.0


class Fleet:
    """Proxies whose calls stand at once and are over at once."""

    def __init__(self) -> None:
        self.proxies = [Proxy(listed=False, own_exchange=n, position=n) for n in range(NETWORK)]
        self.at_cold: list[float] = []
        for proxy in self.proxies:
            proxy.list(*[entry(place) for place in range(NETWORK)])

    def offer(self, proxy: Proxy, place: int) -> None:
        self.note(proxy, proxy.offer(place))

    def note(self, proxy: Proxy, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.SetUp):
                if action.switch == 100 + COLD and proxy.now >= BEGAN_COLD:
                    self.at_cold.append(proxy.now)
                self.note(proxy, proxy.feed(api.CallStands(action.call, 0, action.switch, 0.0)))

    def play(self, flooded: tuple[int, ...], flood_began: float) -> list[float]:
        """Usual calls to all, and a flood; when set-ups went to the switch that starts cold, ms."""
        step = 0
        while (now := self.proxies[0].now) < BEGAN_COLD + SETTINGS.cold_span:
            step += 1
            for n, proxy in enumerate(self.proxies):
                self.note(proxy, proxy.wait(USUAL_GAP_MS))
                if now < BEGAN_COLD <= proxy.now:
                    proxy.list(entry(COLD, started_at=BEGAN_COLD), kind=api.ListKind.CHANGES)
                others = [place for place in range(NETWORK) if place != n]
                self.offer(proxy, others[step % len(others)])
                if BEGAN_COLD <= now < BEGAN_COLD + AGAIN_MS and n != COLD:
                    for _ in range(AGAIN_PER_STEP):
                        self.offer(proxy, COLD)
                if flood_began <= now < flood_began + FLOOD_MS:
                    for each in range(FLOOD_PER_STEP):
                        self.offer(proxy, flooded[each % len(flooded)])
        return sorted(self.at_cold)


def can_do(begin: float) -> float:
    """Set-ups in the window that begins then that a cold switch bears, where a warm one bears the usual."""
    usual_per_ms = 1.0 / USUAL_GAP_MS  # at each switch: of three proxies a third of their calls
    middle = begin + SETTINGS.tip_after / 2
    share = SETTINGS.cold_share + (1.0 - SETTINGS.cold_share) * (middle - BEGAN_COLD) / SETTINGS.cold_span
    mean = SETTINGS.fall_multiple * min(1.0, share) * usual_per_ms * SETTINGS.tip_after
    return mean + (2 * sqrt(mean) + 2 if mean >= 30 else 3 * sqrt(mean) + 3)


@pytest.mark.parametrize(
    "flooded",
    [(UNKNOWN,), (COLD,), (WARM,), (0, 2, 3), (UNKNOWN, COLD, WARM)],
    ids=["no exchange", "the cold one", "a warm one", "all warm ones", "any"],
)
@pytest.mark.parametrize("flood_began", [BEGAN_COLD, BEGAN_COLD - FLOOD_MS, BEGAN_COLD - 2 * FLOOD_MS])
def test_a_flood_of_set_ups_does_not_raise_the_pace_at_a_cold_switch(flooded, flood_began):
    times = Fleet().play(flooded, flood_began)
    assert times
    for first, time in enumerate(times):
        inside = sum(1 for later in times[first:] if later < time + SETTINGS.tip_after)
        assert inside <= can_do(time), f"from {time - BEGAN_COLD:.0f} ms after its start"


@pytest.mark.parametrize("destination", [UNKNOWN, 0])
def test_refused_set_ups_do_not_move_what_others_calls_are_worth(destination):
    proxy = Proxy(tenant_quotas=(20.0, 20.0))
    for _ in range(40):
        proxy.stands(*offered_to(proxy, 1, tenant=0))
        proxy.stands(*offered_to(proxy, 2, tenant=1))
    before = proxy.controller.mean_worth, list(proxy.controller.tenant_calls)
    for _ in range(500):
        assert api.Refuse in kinds(proxy.offer(destination, call_class=1, tenant=0))
    assert (proxy.controller.mean_worth, proxy.controller.tenant_calls) == before


def offered_to(proxy: Proxy, place: int, **changes: object) -> tuple[int, int]:
    assert sent(proxy.offer(place, **changes)) == [place]
    return proxy.calls, place


def test_refused_set_ups_to_an_engaged_number_do_not_use_up_its_one_try(proxy):
    proxy.offer(1, number=0xA1)
    proxy.ended(proxy.calls, 1, api.Outcome.LINE_BUSY, api.Cause.LINES_ENGAGED)
    proxy.wait(ENGAGED_REST)
    proxy.offer(UNKNOWN, number=0xA1)
    assert sent(proxy.offer(1, number=0xA1)) == [1]
    assert sent(proxy.offer(1, number=0xA1)) == []


def test_calls_refused_for_an_engaged_number_do_not_raise_the_call_rate(proxy):
    proxy.offer(1, number=0xA1)
    proxy.ended(proxy.calls, 1, api.Outcome.LINE_BUSY, api.Cause.LINES_ENGAGED)
    before = list(proxy.controller.arrivals[1])
    for _ in range(20):
        proxy.offer(1, number=0xA1)
    assert list(proxy.controller.arrivals[1]) == before


def test_a_proxy_that_knows_no_warm_switch_sends_a_cold_one_hardly_anything():
    proxy = Proxy(listed=False)
    proxy.list(*[entry(place, started_at=10_000.0) for place in range(4)])
    seen = []
    for _ in range(100):
        seen += sent(proxy.wait(50.0)) + sent(proxy.offer(1))
    windows = 5000.0 / SETTINGS.tip_after
    assert 0 < len(seen) <= 1 + windows / SETTINGS.proxies


def test_a_flood_amid_which_a_proxy_starts_is_forgotten_soon_after_its_end():
    load = CarriedLoad(0.0)
    for now in range(6000):
        load.advance(float(now), 1)
        load.stood()
    for now in range(6000, 6000 + 6000, 100):
        load.advance(float(now), 1)
        load.stood()
    assert load.rate == pytest.approx(0.01, rel=0.05)


def test_a_proxy_that_has_just_started_does_not_take_its_first_calls_for_its_usual_load():
    load = CarriedLoad(0.0)
    for now in (5.0, 6.0):
        load.advance(now, 10)
        load.stood()
    assert load.rate <= 2 / (1000.0 * 10)
