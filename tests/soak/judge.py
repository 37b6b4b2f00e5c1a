"""Finds broken rules in the records of a run. Bounds are those of the protocol and acceptance pages."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from math import inf, sqrt

from tests.soak.records import Attempt, AttemptEnd, CallerKind, ListChange, NodeRun, Records, SetUp

SLACK_S = 0.05  # the protocol adds it to every time limit
CROSSING_S = 0.05  # between a set-up's last byte and the close that it crosses
LATE_ANSWER_S = 0.5  # an answer up to this late earns nothing; a later one is lost
ARRIVALS_S = 0.7  # what came later than this after SIGTERM must be answered at SIGKILL
READY_WITHIN_S = 30.0
BAD_CALLER_S = 3.0

OWN_AND_COLD = 2  # switches that are not among the others

DOUBTFUL_ENDS = {AttemptEnd.RESET, AttemptEnd.GIVEN_UP, AttemptEnd.LINK_CLOSED}


@dataclass(frozen=True, slots=True)
class Violation:
    rule: str
    at: float
    text: str


def judge(records: Records) -> list[Violation]:
    found = [
        *lost_set_ups(records),
        *wrong_answers(records),
        *attempts_together(records),
        *sends_to_drained_switches(records),
        *cold_switches_pushed_over(records),
        *sends_within_the_guard(records),
        *foreign_attempts(records),
        *process_faults(records),
        *bad_callers_ignored(records),
    ]
    return sorted(found, key=lambda violation: violation.at)


def lost_set_ups(records: Records) -> list[Violation]:
    """Rule 1: each set-up that was taken has a final answer in time."""
    found = []
    by_connection: dict[int, list[SetUp]] = defaultdict(list)
    for set_up in records.set_ups:
        by_connection[set_up.connection].append(set_up)
    for set_up in records.set_ups:
        if set_up.kind is CallerKind.BAD or set_up.written_at is None:
            continue
        due = set_up.written_at + set_up.wait_s + LATE_ANSWER_S + SLACK_S
        if set_up.answers:
            if set_up.answers[0].at > due:
                found.append(Violation("lost", due, f"{set_up.id:016x} answered too late"))
            continue
        ended = set_up.connection_ended_at
        if set_up.given_up_at is not None and set_up.given_up_at <= min(due, ended or inf):
            continue
        if ended is None or ended > due:
            found.append(Violation("lost", due, f"{set_up.id:016x} never answered"))
        elif crossed_close(set_up, by_connection[set_up.connection]):
            if not set_up.resent:
                found.append(Violation("record", ended, f"{set_up.id:016x} was not sent again"))
        elif not in_flight_at_kill(set_up, records.runs):
            found.append(Violation("lost", ended, f"{set_up.id:016x} {lost_detail(set_up, records.runs)}"))
    return found


def crossed_close(set_up: SetUp, same_connection: list[SetUp]) -> bool:
    """A first sending, within 50 ms of the end of a connection on which no older set-up was open.

    The end was seen late by the stand-in's own lag at most, which its records hold.
    """
    ended, written = set_up.connection_ended_at, set_up.written_at
    if ended is None or written is None or set_up.resend_of is not None:
        return False
    open_then = [each for each in same_connection if not each.answers and each.given_up_at is None]
    return all(ended - (each.written_at or ended) - each.observer_lag_s <= CROSSING_S for each in open_then)


def in_flight_at_kill(set_up: SetUp, runs: list[NodeRun]) -> bool:
    """SIGKILL found it unanswered and it came soon after SIGTERM, which the protocol allows."""
    run = run_at(runs, set_up.written_at or 0.0)
    if run is None or not run.killed or run.sigterm_at is None:
        return False
    before_kill = (set_up.connection_ended_at or 0.0) < (run.earliest_kill_at or inf)
    return not before_kill and (set_up.written_at or 0.0) <= run.sigterm_at + ARRIVALS_S


def run_at(runs: list[NodeRun], at: float) -> NodeRun | None:
    return next((run for run in runs if run.started_at <= at <= (run.ended_at or inf)), None)


def lost_detail(set_up: SetUp, runs: list[NodeRun]) -> str:
    run = run_at(runs, set_up.written_at or 0.0)
    text = f"connection {set_up.connection} ended with no answer"
    if run is not None and run.sigterm_at is not None:
        written = (set_up.written_at or 0.0) - run.sigterm_at
        ended = (set_up.connection_ended_at or 0.0) - run.sigterm_at
        text += f"; run {run.number}: written {written:+.3f} s, ended {ended:+.3f} s after SIGTERM"
    return text + (", sent again" if set_up.resend_of is not None else "")


def wrong_answers(records: Records) -> list[Violation]:
    """Rule 1: one answer, readable; what is served was made by a switch for this call."""
    made: dict[int, set[bytes]] = defaultdict(set)
    for attempt in records.attempts:
        if attempt.end is AttemptEnd.ANSWERED:
            made[attempt.call].add(attempt.answer)
    found = []
    for set_up in records.set_ups:
        for answer in set_up.answers[1:]:
            found.append(Violation("second answer", answer.at, f"{set_up.id:016x} {answer.status}"))
        for answer in set_up.answers:
            served = 200 <= answer.status < 300
            if served and (set_up.kind is CallerKind.BAD or answer.body not in made[set_up.id]):
                text = f"{set_up.id:016x} {answer.body!r}, {attempts_text(records, set_up.id)}"
                found.append(Violation("wrong served", answer.at, text))
        if set_up.unreadable and set_up.kind is not CallerKind.BAD:
            found.append(Violation("unreadable answer", set_up.began_at, f"{set_up.id:016x}"))
    return found


def attempts_text(records: Records, call: int) -> str:
    texts = []
    for each in records.attempts:
        if each.call == call:
            ended = f"{each.ended_at:.3f}" if each.ended_at else "never"
            end = each.end.value if each.end else "open"
            texts.append(f"{each.switch} {each.arrived_at:.3f} to {ended} {end}")
    return f"attempts: {', '.join(texts) or 'none'}"


def attempts_by_call(records: Records) -> dict[int, list[Attempt]]:
    calls: dict[int, list[Attempt]] = defaultdict(list)
    for attempt in sorted(records.attempts, key=lambda each: each.arrived_at):
        calls[attempt.call].append(attempt)
    return calls


def attempts_together(records: Records) -> list[Violation]:
    """Rule 2: never two attempts of one call out at once."""
    found = []
    for call, attempts in attempts_by_call(records).items():
        for first, second in zip(attempts, attempts[1:], strict=False):
            if first.ended_at is None or first.ended_at > second.arrived_at:
                text = f"{call:016x} at {first.switch} and {second.switch}"
                found.append(Violation("two attempts", second.arrived_at, text))
    return found


def sends_to_drained_switches(records: Records) -> list[Violation]:
    """Rule 3: nothing new to a switch told as draining or gone, after the grace."""
    closed: dict[tuple[str, int], float] = {}
    reopened: dict[tuple[str, int], list[float]] = defaultdict(list)
    for change in records.changes:
        for run, told in change.told_by.items():
            if change.state == "active":
                reopened[change.switch, run].append(change.published_at)
            else:
                known = closed.get((change.switch, run), inf)
                closed[change.switch, run] = min(told, known)
    found = []
    for attempt in records.attempts:
        run = run_at(records.runs, attempt.arrived_at)
        if run is None:
            continue
        told = closed.get((attempt.switch, run.number), inf)
        back = any(told < at <= attempt.arrived_at for at in reopened[attempt.switch, run.number])
        limit = told + records.drain_grace_s + SLACK_S
        if attempt.arrived_at > limit and not back:
            late = attempt.arrived_at - told
            text = f"{attempt.call:016x} to {attempt.switch}, {late:.3f} s after it was told"
            found.append(Violation("drain", attempt.arrived_at, text))
    return found


def cold_switches_pushed_over(records: Records) -> list[Violation]:
    """Rule 4: a cold switch gets no more in a window of its cold time than it bears (standing test page).

    What it bears follows from what the other switches get in the same window on average, of those that the
    proxy may send to: what the switch of its own exchange gets comes from other proxies.
    """
    found = []
    for change in records.changes:
        if not change.cold:
            continue
        warm_at = change.published_at + records.cold.span_s
        at_switch = [each for each in records.attempts if each.switch == change.switch]
        arrivals = [each for each in at_switch if each.arrived_at < warm_at]
        for first in arrivals:
            begin = min(first.arrived_at, warm_at - records.cold.window_s)
            end = begin + records.cold.window_s
            count = sum(begin <= each.arrived_at < end for each in arrivals)
            if count > cold_limit(records, change, begin, end):
                text = f"{change.switch}: {count} set-ups in {records.cold.window_s} s"
                found.append(Violation("cold", begin, text))
                break
    return found


def cold_limit(records: Records, change: ListChange, begin: float, end: float) -> float:
    cold = records.cold
    grown = min(1.0, cold.share + (1.0 - cold.share) * max(0.0, begin - change.published_at) / cold.span_s)
    elsewhere = [each for each in records.attempts if each.switch != change.switch]
    others = sum(begin <= each.arrived_at < end for each in elsewhere)
    allowed = cold.fall_multiple * grown * others / max(1, records.switches - OWN_AND_COLD)
    return allowed + (2 * sqrt(allowed) + 2 if allowed >= 30 else 3 * sqrt(allowed) + 3)


def sends_within_the_guard(records: Records) -> list[Violation]:
    """Rule 5: nothing sent again within the guard of a time-out, reset or cancel."""
    found = []
    for call, attempts in attempts_by_call(records).items():
        for first, second in zip(attempts, attempts[1:], strict=False):
            if first.end in DOUBTFUL_ENDS and first.ended_at is not None:
                gap = second.arrived_at - first.ended_at
                if gap < records.guard_s:
                    text = f"{call:016x} sent again {gap * 1000:.0f} ms after {first.end}"
                    found.append(Violation("guard", second.arrived_at, text))
    return found


def foreign_attempts(records: Records) -> list[Violation]:
    """A set-up at a switch that no caller sent in this form."""
    return [
        Violation("foreign set-up", attempt.arrived_at, f"{attempt.call:016x} at {attempt.switch}")
        for attempt in records.attempts
        if not attempt.matches_set_up
    ]


def process_faults(records: Records) -> list[Violation]:
    found = []
    for run in records.runs:
        ended = run.ended_at or run.started_at
        unasked = run.sigterm_at is None and run.exit_code is not None
        if unasked or (not run.killed and run.exit_code not in (0, None)):
            found.append(Violation("crash", ended, f"run {run.number} ended with {run.exit_code}"))
        traces = [line for line in run.log if "Traceback" in line]
        found += [Violation("error", ended, f"run {run.number}: {line}") for line in traces]
        if run.killed:
            found.append(Violation("not stopped", ended, f"run {run.number} was there at SIGKILL"))
        if run.ready_at is None or run.ready_at - run.started_at > READY_WITHIN_S:
            found.append(Violation("not ready", run.started_at, f"run {run.number}"))
        if run.most_descriptors > records.sockets:
            text = f"run {run.number}: {run.most_descriptors} descriptors of {records.sockets}"
            found.append(Violation("limit", ended, text))
    return found


def bad_callers_ignored(records: Records) -> list[Violation]:
    return [
        Violation("bad caller ignored", bad.opened_at, f"for over {BAD_CALLER_S} s")
        for bad in records.bad_connections
        if (bad.answered_at or inf) - bad.opened_at > BAD_CALLER_S + SLACK_S
    ]
