"""The soak's judge against records that break each rule once, and against records that are allowed."""

import pytest

from tests.soak.judge import judge
from tests.soak.records import (
    Attempt,
    AttemptEnd,
    BadConnection,
    CallerKind,
    ColdContract,
    FinalAnswer,
    ListChange,
    NodeRun,
    Records,
    SetUp,
)

SIGTERM_AT = 10.0
EARLIEST_KILL_AT = 13.7


def records(*set_ups, attempts=(), changes=(), bad=(), **run):
    node = NodeRun(0, 0.0, 0.5, SIGTERM_AT, EARLIEST_KILL_AT, 12.0, exit_code=0)
    for name, value in run.items():
        setattr(node, name, value)
    return Records(
        guard_s=0.3,
        drain_grace_s=0.25,
        sockets=256,
        switches=3,
        set_ups=list(set_ups),
        attempts=list(attempts),
        changes=list(changes),
        runs=[node],
        bad_connections=list(bad),
    )


def set_up(written=5.0, answers=((5.2, 503),), ended=None, **changes):
    made = SetUp(0x11, CallerKind.USUAL, 1, 3.0, 1, written, written)
    made.answers = [FinalAnswer(at, status, b"answer" if status == 200 else b"") for at, status in answers]
    made.connection_ended_at = ended
    for name, value in changes.items():
        setattr(made, name, value)
    return made


def attempt(arrived=5.0, ended=5.1, end=AttemptEnd.ANSWERED, switch="s-1", **changes):
    answer = b"answer" if end is AttemptEnd.ANSWERED else b""
    made = Attempt(0x11, switch, 1, arrived, True, ended, end, answer)
    for name, value in changes.items():
        setattr(made, name, value)
    return made


def at_a_cold_switch(count, elsewhere, begin=5.0):
    """Set-ups within a second, soon after its start, and in the same second at the one other switch."""
    cold = [attempt(begin + n / count, begin + 0.1 + n / count, call=n) for n in range(count)]
    starts = [begin + n / elsewhere for n in range(elsewhere)]
    return cold + [attempt(at, at + 0.1, switch="s-2", call=1000 + n) for n, at in enumerate(starts)]


STARTED = ListChange(2, "s-1", 1, "active", 4.9, cold=True)
WARM_S = STARTED.published_at + ColdContract().span_s


def drained(told=4.0):
    return ListChange(2, "s-1", 1, "leaving", told, told_by={0: told})


BROKEN = {
    "never answered": ("lost", records(set_up(answers=()))),
    "answered too late": ("lost", records(set_up(answers=((8.6, 503),)))),
    "ended unanswered": ("lost", records(set_up(answers=(), ended=6.0))),
    "ended as the process ended": ("lost", records(set_up(9.9, (), 12.0))),
    "unanswered at SIGKILL, came late": (
        "lost, not stopped",
        records(set_up(10.8, (), 13.8), killed=True, ended_at=13.8, exit_code=-9),
    ),
    "crossed a close on its second sending": ("lost", records(set_up(answers=(), ended=5.02, resend_of=0))),
    "crossed a close beside an older set-up": (
        "lost, lost",
        records(
            set_up(5.98, (), 6.0, resent=True),
            set_up(5.0, (), 6.0, id=0x12),
        ),
    ),
    "crossed a close by more than the lag of the stand-in": (
        "lost",
        records(set_up(answers=(), ended=5.09, resent=True, observer_lag_s=0.03)),
    ),
    "a second answer": ("second answer", records(set_up(answers=((5.2, 503), (5.3, 503))))),
    "served without a switch": ("wrong served", records(set_up(answers=((5.2, 200),)))),
    "an answer that can't be read": ("unreadable answer", records(set_up(unreadable=True))),
    "two attempts at once": (
        "two attempts",
        records(set_up(), attempts=[attempt(ended=6.0), attempt(5.5, 6.1, switch="s-2")]),
    ),
    "sent to a draining switch": ("drain", records(set_up(), attempts=[attempt()], changes=[drained()])),
    "a cold switch pushed over": ("cold", records(attempts=at_a_cold_switch(37, 20), changes=[STARTED])),
    "a cold switch pushed over just before it is warm": (
        "cold",
        records(attempts=at_a_cold_switch(54, 20, WARM_S - 1.0), changes=[STARTED]),
    ),
    "sent again within the guard": (
        "guard",
        records(set_up(), attempts=[attempt(end=AttemptEnd.RESET), attempt(5.35, 5.4)]),
    ),
    "a set-up that nobody sent": ("foreign set-up", records(attempts=[attempt(matches_set_up=False)])),
    "a crash before SIGTERM": ("crash", records(sigterm_at=None, exit_code=1)),
    "a bad exit code": ("crash", records(exit_code=1)),
    "still there at SIGKILL": ("not stopped", records(killed=True, exit_code=-9)),
    "never ready": ("not ready", records(ready_at=None)),
    "too many descriptors": ("limit", records(most_descriptors=257)),
    "a trace in the log": ("error", records(log=["Traceback (most recent call last):"])),
    "a bad caller without a word": ("bad caller ignored", records(bad=[BadConnection(1.0)])),
}

ALLOWED = {
    "answered": records(set_up()),
    "served": records(set_up(answers=((5.2, 200),)), attempts=[attempt()]),
    "given up by its caller": records(set_up(answers=(), ended=6.0, given_up_at=5.5)),
    "crossed a close and was sent again": records(set_up(answers=(), ended=5.04, resent=True)),
    "crossed a close that was seen late": records(
        set_up(answers=(), ended=5.09, resent=True, observer_lag_s=0.06)
    ),
    "not whole as the connection ended": records(set_up(None, (), 5.0, began_at=4.9)),
    "unanswered at SIGKILL, came as SIGTERM did": records(
        set_up(10.6, (), 13.8), killed=True, ended_at=13.8, exit_code=-9
    ),
    "sent again after the guard": records(
        set_up(), attempts=[attempt(end=AttemptEnd.RESET), attempt(5.4, 5.5)]
    ),
    "sent within the grace of a drain": records(
        set_up(), attempts=[attempt(4.2, 4.3)], changes=[drained()]
    ),
    "what a cold switch bears": records(attempts=at_a_cold_switch(36, 20), changes=[STARTED]),
    "what it bears just before it is warm": records(
        attempts=at_a_cold_switch(53, 20, WARM_S - 1.0), changes=[STARTED]
    ),
    "many at a switch that is warm by then": records(
        attempts=[*at_a_cold_switch(3, 2, WARM_S - 1.0), *at_a_cold_switch(90, 2, WARM_S)], changes=[STARTED]
    ),
    "a bad caller that was closed": records(bad=[BadConnection(1.0, 3.5)]),
}


@pytest.mark.parametrize("case", BROKEN)
def test_a_broken_rule_is_found(case):
    rules, doctored = BROKEN[case]
    assert [violation.rule for violation in judge(doctored)] == rules.split(", ")


@pytest.mark.parametrize("case", ALLOWED)
def test_what_the_rules_allow_is_not_reported(case):
    allowed = [violation for violation in judge(ALLOWED[case]) if violation.rule != "not stopped"]
    assert not allowed
