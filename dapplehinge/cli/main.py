"""The command line. Exit codes: 0 done, 1 the thing judged failed, 2 usage or configuration."""

from __future__ import annotations

import sys
from functools import partial
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

import click

from dapplehinge.config.load import Box, load
from dapplehinge.config.source import ConfigError

if TYPE_CHECKING:
    from rich.progress import Progress, TaskID

FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


def _version() -> str:
    try:
        return version("dapplehinge")
    except PackageNotFoundError:
        return "unknown (not installed)"


def fail(lines: list[str], code: int = 2) -> NoReturn:
    for line in lines:
        click.echo(line, err=True)
    sys.exit(code)


def _loaded(file: Path) -> Box:
    try:
        return load(file)
    except ConfigError as fault:
        fail([*fault.problems, f"{file}: {len(fault.problems)} wrong; nothing was started"])


class Lazy(click.Group):
    """Sub-commands of their own modules, loaded when they are asked for: `run` starts without them."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted([*super().list_commands(ctx), "records"])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name == "records":
            from dapplehinge.cli.records import records

            return records
        return super().get_command(ctx, cmd_name)


@click.group(cls=Lazy, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(_version(), prog_name="dapplehinge")
def main() -> None:
    """A call router for small sites: places calls over trunk groups between exchanges, speaks IAX2."""


@main.command()
@click.argument("file", type=FILE)
@click.option("--fd", type=int, hidden=True, help="serve this open socket")
def run(file: Path, fd: int | None) -> None:
    """Run the box that FILE describes, until SIGTERM drains it."""
    from dapplehinge.proxy.run import run as run_box
    from dapplehinge.proxy.store import StoreError

    box = _loaded(file)
    try:
        run_box(box, fd)
    except StoreError as fault:
        fail([f"{file}: {fault}"])
    except OSError as fault:
        fail([f"{file}: can not listen on {box.listen[0]}:{box.listen[1]}: {fault.strerror}"])


@main.command()
def platform() -> None:
    """Serve on the operators' platform, as BALANCER_CONFIG tells, until SIGTERM drains it."""
    from dapplehinge.proxy.platform.run import main as run_platform

    sys.exit(run_platform())


@main.command("check-config")
@click.argument("file", type=FILE)
def check_config(file: Path) -> None:
    """Check FILE and say all that is wrong with it at once."""
    box = _loaded(file)
    network = box.network
    click.echo(
        f"{file}: good: box {box.name}, {len(network.exchanges)} exchanges, "
        f"{len(network.groups)} trunk groups, {len(network.kinds)} classes"
    )


@main.command()
@click.argument("file", type=FILE)
def standin(file: Path) -> None:
    """Play the switches that FILE's box knows, on their addresses, until stopped."""
    from dapplehinge.standins.play import play_switches

    box = _loaded(file)
    try:
        play_switches(box)
    except OSError as fault:
        fail([f"{file}: a switch's address can not be listened on: {fault.strerror}"])


@main.command()
@click.argument("scenario")
@click.option("--json", "as_json", is_flag=True, help="print one JSON object")
@click.option("--keep", type=click.Path(file_okay=False, path_type=Path), help="folder for trace and logs")
@click.option("--seed", type=int, help="draw the troubles of worst-day by this seed; 1 if not given")
@click.option("--rounds", type=click.IntRange(1), default=1, help="days to draw, with the seeds that follow")
def trial(scenario: str, as_json: bool, keep: Path | None, seed: int | None, rounds: int) -> None:
    """Play SCENARIO, a JSON5 file or the name of one that is part of the program, and judge it.

    worst-day draws its troubles by --seed; with --rounds it stops at the first day that breaks a rule, and
    keeps that day's trace.
    """
    import shutil
    import tempfile

    from rich.console import Console
    from rich.progress import Progress

    from dapplehinge.standins import worst
    from dapplehinge.standins.scenario import known_scenarios, load_scenario, scenario_file
    from dapplehinge.standins.trial import TrialError, play

    if scenario == worst.NAME:
        _worst_days(1 if seed is None else seed, rounds, as_json, keep)
        return
    if seed is not None or rounds != 1:
        fail([f"--seed and --rounds are for {worst.NAME}; a scenario file has its seed inside"])
    path = scenario_file(scenario)
    if not path.exists():
        known = ", ".join([*known_scenarios(), worst.NAME])
        fail([f"{scenario}: no such scenario; known by name: {known}"])
    folder = keep or Path(tempfile.mkdtemp(prefix="dapplehinge-trial-"))
    try:
        with Progress(console=Console(stderr=True), transient=True) as progress:
            task = progress.add_task(f"playing {path.stem}", total=1.0)
            trace = play(load_scenario(path), folder, lambda done: progress.update(task, completed=done))
        _judged(trace, as_json)
    except ConfigError as fault:
        fail(fault.problems)
    except TrialError as fault:
        fail([str(fault)], 1)
    finally:
        if keep is None:
            shutil.rmtree(folder, ignore_errors=True)


def _advance(progress: Progress, task: TaskID, done: float) -> None:
    progress.update(task, completed=done)


def _worst_days(seed: int, rounds: int, as_json: bool, keep: Path | None) -> None:
    import shutil
    import tempfile

    import msgspec
    from rich.console import Console
    from rich.progress import Progress

    from dapplehinge.audit.report import as_object, judge_file, show
    from dapplehinge.standins.trial import TrialError, play
    from dapplehinge.standins.worst import worst_day

    for drawn in range(seed, seed + rounds):
        folder = keep / f"seed-{drawn}" if keep else Path(tempfile.mkdtemp(prefix=f"dapplehinge-{drawn}-"))
        try:
            with Progress(console=Console(stderr=True), transient=True) as progress:
                task = progress.add_task(f"playing worst-day, seed {drawn}", total=1.0)
                trace = play(worst_day(drawn), folder, partial(_advance, progress, task))
        except TrialError as fault:
            fail([f"seed {drawn}: {fault}", f"its logs are kept in {folder}"], 1)
        judgement = judge_file(trace)
        if as_json:
            click.echo(msgspec.json.encode({"seed": drawn} | as_object(judgement)).decode())
        elif rounds == 1 or judgement.broken:
            show(judgement, Console())
        else:
            checks = sum(verdict.checked for verdict in judgement.rules.values())
            click.echo(f"seed {drawn}: every rule kept, {checks} checks")
        if judgement.broken:
            fail([f"seed {drawn}: {judgement.broken} broken; trace and logs are kept in {folder}"], 1)
        if keep is None:
            shutil.rmtree(folder, ignore_errors=True)


@main.command("crash")
@click.option("--kills", type=click.IntRange(1), default=20, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="print one JSON object")
@click.option("--keep", type=click.Path(file_okay=False, path_type=Path), help="folder for records and logs")
def crash_command(kills: int, seed: int, as_json: bool, keep: Path | None) -> None:
    """Kill a box again and again while calls flow, and hold its records against what others saw."""
    import shutil
    import tempfile
    from dataclasses import asdict

    import msgspec
    from rich.console import Console
    from rich.progress import Progress

    from dapplehinge.standins.crash import crash

    folder = keep or Path(tempfile.mkdtemp(prefix="dapplehinge-crash-"))
    folder.mkdir(parents=True, exist_ok=True)
    with Progress(console=Console(stderr=True), transient=True) as progress:
        task = progress.add_task("killing", total=1.0)
        found = crash(folder, kills, seed, partial(_advance, progress, task))
    if as_json:
        shown = asdict(found) | {"heard": len(found.heard), "broken": found.broken}
        click.echo(msgspec.json.format(msgspec.json.encode(shown)).decode())
    else:
        points = ", ".join(f"{name} {times}" for name, times in sorted(found.at_points.items()))
        heard = len(found.heard)
        click.echo(f"{found.kills} kills ({points}); {found.dialled} calls, {heard} heard an answer")
        click.echo(
            f"{found.records} records, {found.recovered} made on start; missing {len(found.missing)}, "
            f"doubled {len(found.doubled)}, of unknown calls {len(found.unknown)}, not seen by the switch "
            f"{len(found.unseen)}, damage {len(found.damage)}"
        )
        for name, (stood, kept) in found.by_class.items():
            click.echo(f"{name}: {stood} stood as callers and switch have it, {kept} as recorded")
    if found.broken:
        fail([f"records and logs are kept in {folder}"], 1)
    if keep is None:
        shutil.rmtree(folder, ignore_errors=True)


@main.command()
@click.argument("trace", type=FILE)
@click.option("--json", "as_json", is_flag=True, help="print one JSON object")
def audit(trace: Path, as_json: bool) -> None:
    """Judge the five rules from TRACE, the datagrams that a trial's wire saw."""
    _judged(trace, as_json)


@main.command()
@click.option("--rate", "rates", multiple=True, type=float, default=(100.0, 520.0, 1000.0), show_default=True)
@click.option("--span", type=float, default=5000.0, show_default=True, help="ms that each rate is offered")
@click.option("--helpers", type=click.IntRange(1, 8), default=3, show_default=True)
@click.option("--memory", type=int, help="resident memory of a box over this many calls, and nothing else")
@click.option("--deaths", type=int, help="time from a party's death to its leg's end, this often a state")
@click.option("--flood", type=int, help="memory and time that this many refused set-ups cost")
@click.option("--recovery", multiple=True, type=int, help="write and open a store of this many records")
@click.option("--lookup", type=int, help="look-ups in this many records, against a scan and SQLite")
@click.option("--records", "with_records", is_flag=True, help="compare a box that writes call records")
@click.option("--limits", "with_limits", is_flag=True, help="compare a box with limits and one without")
@click.option("--plot", type=click.Path(dir_okay=False, path_type=Path), help="PNG of the comparison")
@click.option("--json", "as_json", is_flag=True, help="print one JSON object")
def bench(
    rates: tuple[float, ...],
    span: float,
    helpers: int,
    memory: int | None,
    deaths: int | None,
    flood: int | None,
    recovery: tuple[int, ...],
    lookup: int | None,
    with_records: bool,
    with_limits: bool,
    plot: Path | None,
    as_json: bool,
) -> None:
    """Whole calls a second through one box, beside direct calls and the socket floor in the same run."""
    import msgspec
    from rich.console import Console
    from rich.table import Table

    from dapplehinge.bench.calls import memory as measure_memory
    from dapplehinge.bench.calls import overload, plot_overload
    from dapplehinge.bench.calls import run as run_bench

    if memory is not None:
        taken = measure_memory(memory, helpers)
        click.echo(msgspec.json.format(msgspec.json.encode({"rows": taken})).decode())
        return
    if deaths is not None:
        from dapplehinge.bench import deaths as dying

        noticed = dying.measure(deaths)
        if plot is not None:
            dying.plot(noticed, plot)
        click.echo(msgspec.json.format(msgspec.json.encode({"rows": noticed})).decode())
        return
    if flood is not None:
        from dapplehinge.bench.flood import flood as measure_flood

        click.echo(msgspec.json.format(msgspec.json.encode({"rows": measure_flood(flood)})).decode())
        return
    if recovery:
        from dapplehinge.bench.recovery import recovery as measure_recovery

        opened = measure_recovery(sorted(recovery))
        click.echo(msgspec.json.format(msgspec.json.encode({"rows": opened})).decode())
        return
    if lookup is not None:
        from dapplehinge.bench.lookup import lookup as measure_lookup

        click.echo(msgspec.json.format(msgspec.json.encode(measure_lookup(lookup))).decode())
        return
    if with_records:
        from dapplehinge.bench.calls import with_records as compare_records

        rows = compare_records(list(rates), span, helpers)
        click.echo(msgspec.json.format(msgspec.json.encode({"rows": rows})).decode())
        return
    if with_limits:
        rows = overload(list(rates), span, helpers)
        if plot is not None:
            plot_overload(rows, plot)
        click.echo(msgspec.json.format(msgspec.json.encode({"rows": rows})).decode())
        return

    found = run_bench(list(rates), span, helpers)
    if as_json:
        click.echo(msgspec.json.format(msgspec.json.encode(found)).decode())
        return
    console = Console(width=120)
    console.print(f"{found['machine']}; floor {found['floor_us']} us a datagram in and out")
    table = Table()
    columns = ["rate", "by", "stood", "failed", "p50", "p99"]
    columns += ("added_p50", "added_p99", "cpu_us_a_call", "floors")
    for column in columns:
        table.add_column(column.replace("_", " "), justify="right")
    for row in found["rows"]:
        table.add_row(*(str(row.get(column, "")) for column in columns))
    console.print(table)


@main.command("load")
@click.argument("file", type=FILE)
@click.option("--json", "as_json", is_flag=True, help="print one JSON object")
@click.option("--plot", type=click.Path(dir_okay=False, path_type=Path), help="PNG of the run")
def load_command(file: Path, as_json: bool, plot: Path | None) -> None:
    """Play the load plan in FILE: handsets that call a box, in open and closed loop, ramps and bells."""
    import msgspec
    from rich.console import Console
    from rich.progress import Progress
    from rich.table import Table

    from dapplehinge.load.plan import read_plan
    from dapplehinge.load.report import FIELDS, as_object
    from dapplehinge.load.report import plot as draw
    from dapplehinge.load.run import run_load

    try:
        plan = read_plan(file)
    except ConfigError as fault:
        fail(fault.problems)
    with Progress(console=Console(stderr=True), transient=True) as progress:
        task = progress.add_task("calling", total=1.0)
        load_ = run_load(
            plan, lambda done, words: progress.update(task, completed=done, description=words)
        )
    found = as_object(load_)
    if plot is not None:
        try:
            draw(load_, plot)
        except ImportError:
            fail(["--plot needs matplotlib: install dapplehinge[experiments]"])
    if as_json:
        click.echo(msgspec.json.format(msgspec.json.encode(found)).decode())
        return
    table = Table()
    for column in ("class", *FIELDS, "p50 ms", "p99 ms"):
        table.add_column(column.replace("_", " "), justify="right")
    for name, row in found["classes"].items():
        times = row["set_up_ms"]
        table.add_row(name, *(str(row[f]) for f in FIELDS), str(times["p50"]), str(times["p99"]))
    Console(width=120).print(table)


def _judged(trace: Path, as_json: bool) -> None:
    import msgspec
    from rich.console import Console

    from dapplehinge.audit.report import as_object, judge_file, show
    from dapplehinge.audit.trace import TraceError

    try:
        judgement = judge_file(trace)
    except TraceError as fault:
        fail([str(fault)])
    if as_json:
        click.echo(msgspec.json.format(msgspec.json.encode(as_object(judgement))).decode())
    else:
        show(judgement, Console())
    if judgement.broken:
        sys.exit(1)


if __name__ == "__main__":
    main()
