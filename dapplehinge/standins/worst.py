"""`worst-day`: a scenario whose troubles are drawn by seed, so that nothing can be tuned to one list of them.

Small groups, limits that turn away, up to three parts in ten of all datagrams lost, others late, doubled,
reordered or ten seconds late; callers and far ends that vanish in each state, boxes killed without a word,
call numbers used again at once; drains, cold restarts, cuts and district cuts on top of each other.
"""

from __future__ import annotations

import random

from dapplehinge.config.schema import ClassPart, RulesPart, TenantPart
from dapplehinge.standins.scenario import FaultPart, PlacePart, ScenarioPart

NAME = "worst-day"
SPAN = 20_000.0
NAMES = ("north", "south", "east", "west", "isle")
ZONES = ("shore", "inland", "islands")


def worst_day(seed: int, length: float = SPAN) -> ScenarioPart:
    """The day drawn by `seed`; `length` in ms, in whose first four fifths all troubles begin."""
    draw = random.Random(seed)
    names = NAMES[: draw.randint(3, 5)]
    rate = draw.uniform(10.0, 18.0)
    exchanges = {
        name: PlacePart(
            zone=ZONES[n % 3] if n < 3 else draw.choice(ZONES),
            capacity=draw.uniform(30.0, 60.0),
            circuits=draw.randint(3, 12),
        )
        for n, name in enumerate(names)
    }

    def some() -> list[str]:
        return draw.sample(names, draw.randint(1, len(names) - 1))

    faults: list[FaultPart] = []

    def add(kind: str, low: float, high: float, on: list[str] | None = None, **more: float) -> None:
        at = draw.uniform(0.0, length * 0.8)
        span = draw.uniform(low, high)
        part = {"kind": kind, "at": at, "span": span, "on": on or [], **more}
        faults.append(FaultPart.model_validate(part))

    faults += [
        FaultPart(kind="doubled", at=0, span=length, factor=draw.uniform(0.02, 0.1)),
        FaultPart(kind="reordered", at=0, span=length, factor=draw.uniform(0.02, 0.1)),
        FaultPart(kind="straggler", at=0, span=length, factor=draw.uniform(0.01, 0.05)),
        FaultPart(kind="vanish", at=0, span=length, factor=draw.uniform(0.02, 0.08)),
        FaultPart(kind="redial", at=0, span=length, on=["river"], factor=20),
    ]
    for _ in range(2):
        add("lost", 3000, 8000, factor=draw.uniform(0.1, 0.3))
        add("late", 3000, 8000, factor=draw.uniform(0.1, 0.3))
        add("cut", 0, 1, some(), factor=draw.uniform(0.3, 1.0))
        add("cold_restart", 0, 1, some())
    add("hang", 1000, 4000, some()[:1])
    add("slow", 2000, 6000, some(), factor=draw.uniform(1.5, 4.0))
    add("circuits_lost", 2000, 6000, some(), factor=draw.uniform(0.2, 0.7))
    add("answer_lost", 500, 2000, some()[:1])
    add("drain", 2000, 5000, some()[:1])
    add("district_cut", 1000, 3000, [draw.choice(ZONES[: min(3, len(names))])])
    # a box that was killed has forgotten whom it refused: only a call token tells a late copy from a new call
    tokens = draw.random() < 0.6
    if tokens:
        add("box_killed", 0, 1, some()[:1])
    return ScenarioPart(
        name=NAME,
        span=length,
        seed=seed,
        rate=rate,
        hold=draw.uniform(800.0, 2500.0),
        directory_lag=draw.uniform(100.0, 600.0),
        zone_delay=draw.choice((5.0, 12.0, 25.0)),
        exchanges=exchanges,
        classes=[
            ClassPart(name="lot-price", target=2000, give_up=4000, worth=1),
            ClassPart(name="bid-confirm", target=1200, give_up=3000, worth=5),
            ClassPart(name="catch-update", target=2000, give_up=4000, worth=2),
        ],
        mix=[0.7, 0.1, 0.2],
        tenants=[TenantPart(name="coast", quota=40), TenantPart(name="river", quota=draw.uniform(4.0, 12.0))],
        rules=RulesPart(answer_margin=400, cold_span=8000, tip_after=2000),
        limits={
            "tenant_most": 2,
            "default": {"network": "0.0.0.0/0", "set_ups": rate * draw.uniform(1.2, 2.5), "burst": 20},
        },
        tokens=tokens,
        reuse=draw.random() < 0.5,
        faults=sorted(faults, key=lambda fault: fault.at),
    )
