"""One run of the soak from its seed: played, judged and summed up in text."""

from __future__ import annotations

from dataclasses import dataclass
from time import monotonic

from tests.soak.judge import Violation, judge
from tests.soak.plan import Plan
from tests.soak.records import Records
from tests.soak.run import play

MOST_SHOWN = 12


@dataclass(frozen=True, slots=True)
class Trial:
    plan: Plan
    records: Records
    violations: list[Violation]
    took_s: float

    def summary(self) -> str:
        plan, records, deployment = self.plan, self.records, self.plan.deployment
        answered = sum(bool(each.answers) for each in records.set_ups)
        crossed = sum(each.resent for each in records.set_ups)
        served = sum(any(a.status == 200 for a in each.answers) for each in records.set_ups)
        return (
            f"seed {plan.seed}: {self.took_s:.0f} s, {len(records.runs)} shutdowns, {len(records.set_ups)} "
            f"set-ups, {answered} answered ({served} served), {crossed} crossed a close, "
            f"{len(self.violations)} broken; {deployment.switches} switches, "
            f"{deployment.sockets} descriptors, "
            f"{max(each.deadline_ms for each in deployment.classes):.0f} ms, "
            f"{deployment.busy_neighbours} busy neighbours, "
            f"stand-ins' lag {records.worst_lag_s * 1000:.0f} ms; {', '.join(plan.faults)}"
        )

    def details(self, with_log: bool) -> str:
        begun = self.records.runs[0].started_at if self.records.runs else 0.0
        shown = self.violations[:MOST_SHOWN]
        lines = [f"  {each.at - begun:8.3f} {each.rule}: {each.text}" for each in shown]
        if len(self.violations) > MOST_SHOWN:
            lines.append(f"  and {len(self.violations) - MOST_SHOWN} more")
        if with_log and self.violations:
            lines += [f"  run {run.number} | {line}" for run in self.records.runs for line in run.log]
        return "\n".join(lines)


def run_trial(plan: Plan) -> Trial:
    begun = monotonic()
    records = play(plan)
    return Trial(plan, records, judge(records), monotonic() - begun)
