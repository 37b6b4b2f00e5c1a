"""`dapplehinge records`: list, show, verify, rate, export and settle what a box wrote."""

from __future__ import annotations

import sys
import time
from dataclasses import asdict
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click
import msgspec
from rich.console import Console
from rich.table import Table

from dapplehinge.config.source import ConfigError
from dapplehinge.config.tariff import load_tariff
from dapplehinge.proxy.finder import Finder, lines_of
from dapplehinge.proxy.ledger import (
    FORMATS,
    Shelf,
    export,
    rate_all,
    read_lines,
    read_shelf,
    troubles,
)
from dapplehinge.proxy.store import StoreError
from dapplehinge.records.entry import Record
from dapplehinge.records.settle import Line, differences, totals

FOLDER = click.Path(exists=True, file_okay=False, path_type=Path)
EITHER = click.Path(exists=True, path_type=Path)
KEY = click.option("--key", "key_file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
JSON = click.option("--json", "as_json", is_flag=True, help="print JSON")


def _fail(text: str, code: int = 2) -> None:
    click.echo(text, err=True)
    sys.exit(code)


def _shelf(folder: Path, key_file: Path | None) -> Shelf:
    try:
        return read_shelf(folder, key_file)
    except (StoreError, OSError) as fault:
        click.echo(str(fault), err=True)
        sys.exit(2)


def _print(found: Any) -> None:
    click.echo(msgspec.json.format(msgspec.json.encode(found)).decode())


@click.group("records")
def records() -> None:
    """Call detail records: list, show, verify, rate, export, settle."""


@records.command("list")
@click.argument("folder", type=FOLDER)
@click.option("--class", "kind", help="only this class")
@click.option("--number", help="only calls to this number, or from it")
@click.option("--outcome", help="stood, refused, failed or interrupted")
@click.option("--since", type=click.DateTime(), help="UTC")
@click.option("--until", type=click.DateTime(), help="UTC")
@KEY
@JSON
def list_(
    folder: Path,
    kind: str | None,
    number: str | None,
    outcome: str | None,
    since: datetime | None,
    until: datetime | None,
    key_file: Path | None,
    as_json: bool,
) -> None:
    """One line a call, in the order in which they ended."""
    low = since.replace(tzinfo=UTC).timestamp() * 1000 if since else 0.0
    high = until.replace(tzinfo=UTC).timestamp() * 1000 if until else float("inf")
    if number is not None or since is not None or until is not None:  # by the indexes
        finder = Finder(folder)
        wanted = finder.number(number) if number is not None else finder.between(low, high)
        lines = lines_of(folder, wanted)
    else:
        lines = list(_shelf(folder, key_file).lines.values())
    found = [
        each
        for each in lines
        if low <= each.at < high
        and kind in (None, each.kind)
        and outcome in (None, each.outcome)
        and (number is None or number in (each.number, each.caller))
    ]
    if as_json:
        for each in found:
            click.echo(msgspec.json.encode(each).decode())
        return
    table = Table()
    for column in ("call", "came (UTC)", "class", "to", "number", "outcome", "cause", "length", "amount"):
        table.add_column(column, overflow="fold")
    for each in found:
        came = datetime.fromtimestamp(each.at / 1000, UTC).strftime("%m-%d %H:%M:%S")
        table.add_row(
            each.id, came, each.kind, each.destination, each.number, each.outcome, str(each.cause),
            _length(each), f"{each.amount} {each.currency}".strip(),
        )  # fmt: skip
    Console(width=140).print(table)


def _length(each: Line) -> str:
    if each.answered is None or each.ended is None:
        return ""
    return f"{(each.ended - each.answered) / 1000:.1f} s"


@records.command()
@click.argument("folder", type=FOLDER)
@click.argument("call")
def show(folder: Path, call: str) -> None:
    """All that is known of one call, with each leg, as JSON."""
    found = [each for each in Finder(folder).call(call) if isinstance(each, Record)]
    if not found:
        _fail(f"{folder}: no record of call {call}", 1)
    (each,) = lines_of(folder, found[:1])
    _print({"record": found[0], "line": each})


@records.command()
@click.argument("folder", type=FOLDER)
@KEY
@JSON
def verify(folder: Path, key_file: Path | None, as_json: bool) -> None:
    """Check every frame, seal and link; exit 1 where something was lost, altered or moved."""
    shelf = _shelf(folder, key_file)
    wrong = troubles(shelf)
    names = [shelf.names[each.segment] if each.segment >= 0 else "" for each in wrong]
    if as_json:
        found = [
            {"what": each.what.name.lower(), "segment": name, "text": each.text}
            for each, name in zip(wrong, names, strict=True)
        ]
        _print({"records": len(shelf.records), "in_progress": shelf.open_calls, "found": found})
    else:
        for each, name in zip(wrong, names, strict=True):
            click.echo(f"{folder / name}: {each.what.name.lower()}: {each.text}")
        click.echo(
            f"{len(shelf.names)} segments, {len(shelf.records)} records, {shelf.open_calls} calls in "
            f"progress or cut off, {len(wrong)} things wrong"
        )
    if wrong:
        sys.exit(1)


@records.command("rate")
@click.argument("folder", type=FOLDER)
@click.argument("tariff", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@KEY
@JSON
def rate_command(folder: Path, tariff: Path, key_file: Path | None, as_json: bool) -> None:
    """Rate all calls by TARIFF (JSON5); what was rated before stays, and a new rating stands beside it."""
    shelf = _shelf(folder, key_file)
    try:
        written, problems = rate_all(shelf, load_tariff(tariff), time.time() * 1000.0)
    except ConfigError as fault:
        for text in fault.problems:
            click.echo(text, err=True)
        sys.exit(2)
    except (StoreError, OSError) as fault:
        _fail(str(fault))
        return
    if as_json:
        _print({"calls": len(shelf.records), "written": written, "not_rated": problems})
    else:
        for call, text in problems.items():
            click.echo(f"{call}: not rated: {text}")
        click.echo(f"{len(shelf.records)} calls, {written} ratings written, {len(problems)} not rated")
    if problems:
        sys.exit(1)


@records.command("export")
@click.argument("folder", type=FOLDER)
@click.option("--to", type=click.Path(file_okay=False, path_type=Path), required=True)
@click.option("--format", "form", type=click.Choice(FORMATS), default="csv", show_default=True)
@KEY
def export_command(folder: Path, to: Path, form: str, key_file: Path | None) -> None:
    """Write each sealed segment's calls as a file of its own; run again, it writes the same files."""
    try:
        files, waiting = export(_shelf(folder, key_file), to, form)
    except OSError as fault:
        _fail(f"{to}: {fault.strerror}")
        return
    click.echo(f"{len(files)} files in {to}; {waiting} records wait in the segment that is not full yet")


@records.command()
@click.argument("here", type=EITHER)
@click.option("--with", "there", type=EITHER, help="the other side's records or exports")
@KEY
@JSON
def settle(here: Path, there: Path | None, key_file: Path | None, as_json: bool) -> None:
    """Totals by pair of halls, class and day; with another side, what the two would settle otherwise."""
    try:
        lines = read_lines(here, key_file)
        others = read_lines(there, key_file) if there is not None else None
    except (StoreError, OSError) as fault:
        _fail(str(fault))
        return
    found = differences(lines, others) if others is not None else []
    rows: list[dict[str, Any]] = [
        dict(zip(("origin", "destination", "class", "day"), key, strict=True))
        | {"calls": t.calls, "stood": t.stood, "interrupted": t.interrupted, "seconds": t.seconds}
        | {"amounts": {name: str(amount) for name, amount in t.amounts.items()}, "unrated": t.unrated}
        for key, t in totals(lines).items()
    ]
    if as_json:
        _print({"totals": rows, "differences": [asdict(each) for each in found]})
    else:
        table = Table()
        for column in rows[0] if rows else ():
            table.add_column(column)
        for row in rows:
            amounts = " ".join(f"{amount} {name}" for name, amount in row["amounts"].items())
            table.add_row(*(str(row[c]) if c != "amounts" else amounts for c in row))
        Console(width=140).print(table)
        for each in found:
            values = f": {each.here!r} here, {each.there!r} there" if each.here or each.there else ""
            click.echo(f"{each.call}: {each.what}{values}")
        if others is not None:
            click.echo(f"{len(found)} differences")
    if found:
        sys.exit(1)
