"""A judgement as a table for people and as an object for machines."""

from __future__ import annotations

from dataclasses import asdict
from pathlib import Path
from typing import Any

from rich.console import Console
from rich.table import Table

from dapplehinge.audit.judge import Judge, Judgement
from dapplehinge.audit.trace import read_trace


def judge_file(path: Path) -> Judgement:
    """`TraceError` or `OSError` where the file is no whole trace."""
    header, records = read_trace(path)
    judge = Judge(header)
    for record in records:
        judge.feed(record)
    return judge.judge()


def as_object(judgement: Judgement) -> dict[str, Any]:
    set_up = judgement.set_up
    return {
        "calls": {name: asdict(tally) for name, tally in judgement.classes.items()},
        "rules": {
            name: {"checked": v.checked, "broken": v.broken, "examples": v.examples}
            for name, v in judgement.rules.items()
        },
        "unanswered": judgement.unanswered,
        "set_up_ms": {
            "count": set_up.get_total_count(),
            "p50": set_up.get_value_at_percentile(50) / 1000,
            "p99": set_up.get_value_at_percentile(99) / 1000,
        },
        "attempts": judgement.attempts,
        "by_tandem": judgement.by_tandem,
        "datagrams": judgement.datagrams,
        "unreadable": judgement.unreadable,
    }


def show(judgement: Judgement, console: Console) -> None:
    calls = Table(title="calls by class, as the wire showed them")
    columns = ("offered", "in_time", "late", "refused", "failed", "given_up", "open")
    calls.add_column("class")
    for column in columns:
        calls.add_column(column.replace("_", " "), justify="right")
    for name, tally in judgement.classes.items():
        calls.add_row(name, *(str(getattr(tally, column)) for column in columns))
    console.print(calls)
    rules = Table(title="rules")
    rules.add_column("rule")
    rules.add_column("checked", justify="right")
    rules.add_column("broken", justify="right")
    for name, verdict in judgement.rules.items():
        style = "red" if verdict.broken else ""
        rules.add_row(name.replace("_", " "), str(verdict.checked), str(verdict.broken), style=style)
    console.print(rules)
    found = as_object(judgement)
    console.print(
        f"set-up time p50 {found['set_up_ms']['p50']:.1f} ms, p99 {found['set_up_ms']['p99']:.1f} ms; "
        f"{judgement.attempts} attempts, {judgement.by_tandem} by tandem; {judgement.datagrams} datagrams; "
        f"unanswered {judgement.unanswered}"
    )
    for verdict in judgement.rules.values():
        for example in verdict.examples[:5]:
            console.print(f"  broken: {example}", style="red")
