"""Draws a run from its seed: the deployment's figures, the faults and the shutdowns."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum
from random import Random


class SwitchFault(Enum):
    HANG = "hang"  # takes set-ups and answers nothing
    SLOW = "slow"
    FULL = "full"  # refuses for lack of circuits
    ERRORS = "errors"
    RESETS = "resets"  # breaks the connection under a set-up
    CLOSES = "closes"  # closes new connections early
    ANSWERS_LOST = "answers lost"
    SPOILT = "spoilt"  # answers that can't be read
    SECOND_ANSWERS = "second answers"
    PIECES = "pieces"  # messages in pieces
    VANISHED = "vanished"  # connections stay open and quiet, new ones never come up
    REPLACED = "replaced"  # drained, gone, and a new one started


class DiscoveryFault(Enum):
    SILENT = "silent"  # polls stay open and get nothing
    DOWN = "down"  # refuses connections
    CUT = "cut"  # breaks off within an answer
    SLOW = "slow"


@dataclass(frozen=True, slots=True)
class ClassPlan:
    name: str
    target_ms: float
    deadline_ms: float
    worth: float


@dataclass(frozen=True, slots=True)
class Deployment:
    classes: tuple[ClassPlan, ...]
    zones: tuple[str, ...]
    tenants: tuple[str, ...]
    switches: int
    sockets: int
    busy_neighbours: int  # processes on the node's core
    max_attempts: int
    cancel: bool
    memory_mb: int = 192


@dataclass(frozen=True, slots=True)
class SwitchTrouble:
    """`switch`: index on the first list. Times count from the SIGTERM of the cycle."""

    switch: int
    fault: SwitchFault
    begins_s: float
    ends_s: float


@dataclass(frozen=True, slots=True)
class DiscoveryTrouble:
    fault: DiscoveryFault
    begins_s: float
    ends_s: float


@dataclass(frozen=True, slots=True)
class Cycle:
    """One life of the node: served for a while, then stopped."""

    serve_s: float
    arrivals_s: float  # for how long after SIGTERM new connections keep coming
    reloads_s: tuple[float, ...]  # SIGHUPs, counted from SIGTERM
    repeated_sigterms_s: tuple[float, ...]
    bursts_s: tuple[float, ...]  # counted from SIGTERM
    troubles: tuple[SwitchTrouble, ...]
    discovery: tuple[DiscoveryTrouble, ...]


@dataclass(frozen=True, slots=True)
class CallerMix:
    rate_per_s: float
    connections: int
    shared: bool  # several set-ups on one connection at once
    slow_writers: float  # shares of the set-ups
    impatient: float
    retry_at_once: float
    bad_per_s: float
    crowd: int  # silent connections opened together
    burst: int  # set-ups sent together
    watchful: bool  # callers ask the system for the close of a connection before they send on it


@dataclass(frozen=True, slots=True)
class Plan:
    seed: int
    deployment: Deployment
    callers: CallerMix
    cycles: tuple[Cycle, ...]
    hold_s: float
    faults: tuple[str, ...] = field(default=())


def earliest_kill_s(deployment: Deployment) -> float:
    """After SIGTERM, by the acceptance page."""
    longest = max(each.deadline_ms for each in deployment.classes) / 1000.0
    return min(longest, 3.0) + 0.7


def draw(seed: int, cycles: int = 3) -> Plan:
    random = Random(seed)
    deployment = draw_deployment(random)
    lives = tuple(draw_cycle(random, deployment) for _ in range(cycles))
    callers = CallerMix(
        rate_per_s=random.choice((20.0, 60.0, 160.0)) / (1 + 0.25 * deployment.busy_neighbours),
        connections=random.choice((2, 6, 16, 32)),
        shared=random.random() < 0.5,
        slow_writers=random.choice((0.0, 0.05, 0.2)),
        impatient=random.choice((0.0, 0.05, 0.2)),
        retry_at_once=random.choice((0.0, 0.3, 0.8)),
        bad_per_s=random.choice((0.0, 0.0, 2.0, 8.0)),
        crowd=random.choice((0, 0, 20, 80)),
        burst=random.choice((5, 10, 30)),
        watchful=random.random() < 0.5,
    )
    faults = {trouble.fault.value for life in lives for trouble in life.troubles}
    faults |= {f"discovery {trouble.fault.value}" for life in lives for trouble in life.discovery}
    return Plan(seed, deployment, callers, lives, random.choice((0.3, 2.0, 8.0)), tuple(sorted(faults)))


def draw_deployment(random: Random) -> Deployment:
    classes = []
    for index in range(random.randint(1, 4)):
        deadline = random.choice((1000.0, 1200.0, 2200.0, 3500.0, 5000.0, 8000.0))
        target = deadline * random.uniform(0.2, 0.6)
        classes.append(ClassPlan(f"class-{index}", target, deadline, random.choice((1.0, 2.0, 5.0))))
    return Deployment(
        classes=tuple(classes),
        zones=("east", "west", "north")[: random.choice((0, 2, 3))],
        tenants=("acme", "borealis")[: random.choice((0, 1, 2))],
        switches=random.choice((2, 3, 6, 6, 6, 12, 30, 58)),
        sockets=random.choice((256, 512, 1024)),
        busy_neighbours=random.choice((0, 0, 0, 1, 3, 9)),
        max_attempts=random.randint(2, 6),
        cancel=random.random() < 0.8,
    )


def draw_cycle(random: Random, deployment: Deployment) -> Cycle:
    stop_s = earliest_kill_s(deployment)
    troubles = []
    for switch in range(deployment.switches):
        if random.random() < 0.45:
            begins = random.uniform(-1.5, 0.8 * stop_s)
            ends = random.choice((stop_s + 1.0, begins + random.uniform(0.3, 2.0)))
            troubles.append(SwitchTrouble(switch, random.choice(list(SwitchFault)), begins, ends))
    discovery = []
    if random.random() < 0.6:
        begins = random.uniform(-2.0, 1.0)
        ends = begins + random.uniform(0.3, 3.0)
        discovery.append(DiscoveryTrouble(random.choice(list(DiscoveryFault)), begins, ends))
    reloads = sorted(random.uniform(-1.0, 1.0) for _ in range(random.choice((0, 0, 1, 2, 6))))
    return Cycle(
        serve_s=random.uniform(1.6, 3.0),
        arrivals_s=random.uniform(0.2, 0.4),
        reloads_s=tuple(reloads),
        repeated_sigterms_s=tuple(random.uniform(0.05, 1.0) for _ in range(random.choice((0, 0, 1, 2)))),
        bursts_s=tuple(sorted(random.uniform(0.0, stop_s) for _ in range(random.choice((0, 1, 3, 8))))),
        troubles=tuple(troubles),
        discovery=tuple(discovery),
    )


def many_switches(seed: int, cycles: int = 1) -> Plan:
    """As many switches as the pages name with the fewest descriptors, and callers who use their third."""
    plan = draw(seed, cycles)
    deployment = replace(plan.deployment, switches=58, sockets=256, busy_neighbours=0)
    crowded = replace(plan.callers, rate_per_s=100.0, connections=32, crowd=40, burst=30, shared=False)
    return replace(plan, deployment=deployment, callers=crowded)


def dense_shutdown(seed: int, deadline_ms: float, hanging: int, cycles: int = 1) -> Plan:
    """The operators' dense trial: six switches, some of which hang through the whole of each shutdown."""
    random = Random(seed)
    deployment = Deployment(
        classes=(ClassPlan("class-0", 0.4 * deadline_ms, deadline_ms, 1.0),),
        zones=("east", "west"),
        tenants=("acme",),
        switches=6,
        sockets=512,
        busy_neighbours=0,
        max_attempts=6,
        cancel=True,
    )
    stop_s = earliest_kill_s(deployment)
    lives = []
    for _ in range(cycles):
        switches = random.sample(range(1, 6), hanging)
        troubles = tuple(SwitchTrouble(each, SwitchFault.HANG, -0.3, stop_s + 1.0) for each in switches)
        lives.append(Cycle(1.6, 0.3, (), (), (0.0,), troubles, ()))
    callers = CallerMix(80.0, 16, False, 0.0, 0.0, 0.3, 0.0, 0, 5, True)
    return Plan(seed, deployment, callers, tuple(lives), 1.0, ("hang",))
