"""The scenario file of a trial: JSON5, made up for this repository. Spans are ms, `at` counts from the
start.
"""

from __future__ import annotations

from importlib.resources import files
from pathlib import Path
from typing import Any, Literal

from pydantic import Field, ValidationError

from dapplehinge.config.load import problem
from dapplehinge.config.schema import ClassPart, Name, Part, RulesPart, Span, TenantPart
from dapplehinge.config.source import ConfigError, Source

SWITCH_FAULTS = ("hang", "slow", "ageing", "answer_lost", "cold_restart", "cut", "circuits_lost", "vanish")
WIRE_FAULTS = ("district_cut", "lost", "late", "doubled", "reordered", "straggler")


class FaultPart(Part):
    kind: Literal[
        "hang", "slow", "ageing", "answer_lost", "cold_restart", "cut", "circuits_lost", "drain",
        "district_cut", "lost", "late", "doubled", "reordered", "straggler", "redial", "vanish", "box_killed",
    ]  # fmt: skip
    at: float = Field(ge=0)
    span: float = Field(default=0.0, ge=0)
    on: list[Name] = []  # exchanges; of district_cut zones; of redial tenants; empty: all
    factor: float = Field(default=1.0, ge=0)


class PlacePart(Part):
    zone: Name
    capacity: float = Field(default=60.0, gt=0)
    circuits: int = Field(default=40, ge=1)  # of the group to each other exchange, each end's part


class ScenarioPart(Part):
    name: Name
    span: Span
    seed: int = 1
    rate: float = Field(gt=0, description="calls a second at each exchange")
    hold: Span = 2000.0
    directory_lag: float = Field(default=500.0, ge=0)
    delay: float = Field(default=1.0, ge=0)
    zone_delay: float = Field(default=5.0, ge=0)
    most_wait: Span = 800.0
    exchanges: dict[Name, PlacePart] = Field(min_length=2, max_length=9)
    classes: list[ClassPart] = Field(min_length=1, max_length=9)
    mix: list[float] = []  # share of each class; empty: alike
    tenants: list[TenantPart] = Field(min_length=1)
    rules: RulesPart = RulesPart()
    told_rules: dict[str, float] = {}  # what the boxes are told instead, to show that the audit finds it
    limits: dict[str, Any] = {}  # of the boxes' settings
    tokens: bool = False  # callers ask for call tokens
    reuse: bool = False  # callers use call numbers again at once
    faults: list[FaultPart] = []


def scenario_file(name: str) -> Path:
    """A file by its path, or one of the package's own by its name."""
    if name.endswith(".json5") or "/" in name:
        return Path(name)
    return Path(str(files("dapplehinge.standins") / "scenarios" / f"{name}.json5"))


def known_scenarios() -> list[str]:
    folder = Path(str(files("dapplehinge.standins") / "scenarios"))
    return sorted(path.stem for path in folder.glob("*.json5"))


def load_scenario(path: Path) -> ScenarioPart:
    source = Source.read(path)
    try:
        part = ScenarioPart.model_validate(source.values)
    except ValidationError as wrong:
        raise ConfigError([problem(source, error) for error in wrong.errors()]) from None
    zones = {place.zone for place in part.exchanges.values()}
    tenants = {tenant.name for tenant in part.tenants}
    problems = []
    for index, fault in enumerate(part.faults):
        allowed = set(part.exchanges)
        if fault.kind == "district_cut":
            allowed = zones
        elif fault.kind == "redial":
            allowed = tenants
        for place, name in enumerate(fault.on):
            if name not in allowed:
                where = source.place(("faults", index, "on", place))
                problems.append(f"{where}: found {name!r}; allowed: {', '.join(sorted(allowed))}")
    if part.mix and len(part.mix) != len(part.classes):
        problems.append(f"{source.place(('mix',))}: one share a class, found {len(part.mix)}")
    if problems:
        raise ConfigError(problems)
    return part
