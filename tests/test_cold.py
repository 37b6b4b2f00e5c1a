"""Rule 4 by all proxies together: what they send to cold switches in any tipping window."""

import pytest

from dapplehinge import interface as api
from dapplehinge.rules import Controller
from tests.conftest import SETTINGS, Proxy, entry

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
