"""Builders for tests: settings, lists and offers, and a controller driven event by event."""

from __future__ import annotations

from dataclasses import replace

import pytest

from dapplehinge import interface as api
from dapplehinge.rules import Controller

pytest_plugins = ["tests.known_red"]

SETTINGS = api.Settings(
    classes=(
        api.CallClass(target=2000.0, worth=1.0, late_worth=0.25),
        api.CallClass(target=2000.0, worth=5.0, late_worth=0.25),
    ),
    own_exchange=0,
    position=0,
    proxies=4,
    layout=api.Layout.NETWORK,
    guard=300.0,
    max_attempts=4,
    round_span=5.0,
    answer_grace=20.0,
    cold_share=0.3,
    cold_span=15_000.0,
    fall_multiple=3.0,
    tip_after=1500.0,
    stop_sending_within=1000.0,
    may_cancel=True,
)

FREE, SIZE = api.Load.FREE_CIRCUITS, api.Load.GROUP_SIZE


def entry(place: int, **changes: object) -> api.SwitchEntry:
    return replace(api.SwitchEntry(100 + place, place, api.SwitchState.READY), **changes)


class Proxy:
    """A controller with four exchanges on its list; exchange n is switch 100 + n."""

    def __init__(self, seed: int = 7, listed: bool = True, **changes: object) -> None:
        self.controller = Controller(replace(SETTINGS, **changes), seed)
        self.now = 10_000.0
        self.calls = 0
        self.timers: list[tuple[float, int]] = []
        self.controller.start(self.now)
        if listed:
            self.list(*[entry(place) for place in range(4)])

    def feed(self, event: api.Event) -> list[api.Action]:
        actions = self.controller.handle(self.now, event)
        self.timers += [(self.now + a.span, a.tag) for a in actions if isinstance(a, api.SetTimer)]
        return actions

    def wait(self, span: float) -> list[api.Action]:
        """Let time pass, and fire the timers that fall due on the way."""
        end, seen = self.now + span, []
        while self.timers and min(self.timers)[0] <= end:
            timer = min(self.timers)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            seen += self.feed(api.TimerDue(timer[1]))
        self.now = end
        return seen

    def list(self, *entries: api.SwitchEntry, kind: api.ListKind = api.ListKind.WHOLE) -> list[api.Action]:
        return self.feed(api.SwitchList(kind, entries))

    def offer(self, destination: int = 1, budget: float = 3000.0, **changes: object) -> list[api.Action]:
        self.calls += 1
        return self.feed(
            replace(api.CallOffered(self.calls, 0, destination, budget), **changes)
        )

    def free(self, place: int, free: int, size: int = 20) -> list[api.Action]:
        report = ((FREE, float(free)), (SIZE, float(size)))
        return self.feed(api.SwitchReport(100 + place, False, True, 0.0, report))

    def stands(self, call: int, place: int, attempt: int = 0) -> list[api.Action]:
        return self.feed(api.CallStands(call, attempt, 100 + place, 0.0))

    def ended(
        self,
        call: int,
        place: int,
        outcome: api.Outcome,
        cause: api.Cause = api.Cause.NONE,
        attempt: int = 0,
        concluded: bool = False,
    ) -> list[api.Action]:
        return self.feed(
            api.AttemptEnded(call, attempt, 100 + place, outcome, cause, 0.0, concluded)
        )


def sent(actions: list[api.Action]) -> list[int]:
    """Exchanges that set-ups went to."""
    return [a.switch - 100 for a in actions if isinstance(a, api.SetUp)]


def kinds(actions: list[api.Action]) -> list[type]:
    return [type(a) for a in actions if not isinstance(a, api.SetTimer)]


@pytest.fixture
def proxy() -> Proxy:
    return Proxy()
