"""A load plan: JSON5, validated; and the arrivals that it makes, drawn by seed before the first call.

    {
      to: "127.0.0.1:4569", seed: 1, handsets: 200,
      classes: [{ name: "bid-confirm", share: 0.05, numbers: ["100"], target: 1200, give_up: 6000 }],
      phases: [
        { kind: "ramp", span: 5000, from: 10, to: 80 },          // open loop, calls a second
        { kind: "bell", span: 2000 },                            // every handset at once
        { kind: "closed", span: 5000, think: 500 },              // each handset calls again after thinking
      ],
      hold: { kind: "exponential", mean: 3000 },
    }

Open phases draw a Poisson process whose rate goes in a line from `from` to `to`; a call whose handset is
still busy goes to the next free one, and is counted as `no_handset` where there is none: callers do not
wait for each other.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Literal

import numpy as np
from pydantic import Field, ValidationError

from dapplehinge.config.load import problem
from dapplehinge.config.schema import Address, Digits, Name, Part, Span
from dapplehinge.config.source import ConfigError, Source


class LoadClass(Part):
    name: Name
    share: float = Field(gt=0)
    numbers: list[Digits] = Field(min_length=1)
    target: Span
    give_up: Span
    context: str = ""
    username: str = ""
    secret: str | None = None


class Phase(Part):
    kind: Literal["ramp", "bell", "closed", "pause"]
    span: Span
    begin: float = Field(default=10.0, ge=0, alias="from")  # calls a second
    to: float | None = Field(default=None, ge=0)  # absent: as `from`
    think: Span = 1000.0  # mean ms between calls of a handset in a closed phase


class Hold(Part):
    kind: Literal["exponential", "lognormal", "fixed"] = "exponential"
    mean: Span = 3000.0
    spread: float = Field(default=1.0, gt=0, le=5, description="sigma of lognormal")


class LoadPart(Part):
    to: Address
    seed: int = 1
    handsets: int = Field(default=100, ge=1, le=20_000)
    classes: list[LoadClass] = Field(min_length=1)
    phases: list[Phase] = Field(min_length=1)
    hold: Hold = Hold()


@dataclass(frozen=True, slots=True)
class Arrival:
    at: float  # ms from the start
    phase: int


def read_plan(path: Path) -> LoadPart:
    source = Source.read(path)
    try:
        return LoadPart.model_validate(source.values)
    except ValidationError as fault:
        raise ConfigError([problem(source, error) for error in fault.errors()]) from None


def generator(plan: LoadPart, use: int) -> np.random.Generator:
    """A stream of its own for each use, so that a change to one leaves the draws of the others."""
    return np.random.default_rng(np.random.SeedSequence([plan.seed, use]))


def ramp_times(span: float, begin: float, end: float, draw: np.random.Generator) -> np.ndarray:
    """Arrivals in ms of a Poisson process whose rate goes in a line from `begin` to `end` calls a second.

    Given their number, arrivals are independent draws from the rate's shape (a property of Poisson
    processes), so they are drawn at once by inverting its integral.
    """
    mean = 0.5 * (begin + end) * span / 1000.0
    count = int(draw.poisson(mean))
    uniform = np.sort(draw.random(count))
    if begin == end:
        return uniform * span
    # integral of the rate: begin x + (end - begin) x^2 / 2 over x in 0..1, as part of its whole
    slope = end - begin
    root = np.sqrt(begin**2 + slope * uniform * (begin + end))
    return np.asarray((root - begin) / slope * span)


def arrivals(plan: LoadPart) -> list[Arrival]:
    """All arrivals of the open phases and bells, in their order; closed phases make theirs as they run."""
    draw, found, start = generator(plan, 1), list[Arrival](), 0.0
    for index, phase in enumerate(plan.phases):
        if phase.kind == "ramp":
            end = phase.begin if phase.to is None else phase.to
            times = ramp_times(phase.span, phase.begin, end, draw)
            found += [Arrival(start + float(at), index) for at in times]
        elif phase.kind == "bell":
            found += [Arrival(start, index)] * plan.handsets
        start += phase.span
    return found


def hold_times(hold: Hold, count: int, draw: np.random.Generator) -> np.ndarray:
    """Holding times in ms, each with the mean that the plan names."""
    if hold.kind == "fixed":
        return np.full(count, hold.mean)
    if hold.kind == "exponential":
        return np.asarray(draw.exponential(hold.mean, count))
    return np.asarray(draw.lognormal(np.log(hold.mean) - hold.spread**2 / 2, hold.spread, count))
