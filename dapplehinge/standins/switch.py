"""A stand-in for a hall switch: an IAX2 server with a processor of one line, a queue, a cold start and
faults.

A number's last two digits say what happens: 99 is engaged, 98 rings and is never answered, all others ring
and are answered. Each set-up takes a processor's time before it rings; one whose wait would pass
`most_wait` is refused.
"""

from __future__ import annotations

import random
import socket
from collections import Counter, deque
from math import inf

import msgspec

from dapplehinge.calls.agenda import Agenda
from dapplehinge.iax2.codes import CauseCode, Control, FrameType, Ie
from dapplehinge.iax2.elements import number, text
from dapplehinge.iax2.leg import Addr, Leg, Offered, Released, Voice
from dapplehinge.iax2.states import State
from dapplehinge.proxy.port import Port
from dapplehinge.standins.mute import MuteEngine

_CONTROL = int(FrameType.CONTROL)


class Fault(msgspec.Struct, kw_only=True):
    """One trouble of one switch; times in ms, `at` on the machine's monotonic clock."""

    kind: str
    at: float
    span: float = 0.0
    factor: float = 1.0  # slow: times the usual service time; circuits_lost: part that stays; cut: part cut


class SwitchSpec(msgspec.Struct, kw_only=True):
    name: str
    capacity: float = 100.0  # set-ups a second when warm
    most_wait: float = 1000.0  # ms in the queue, above which set-ups are refused
    ring: float = 300.0  # ms from RINGING to ANSWER
    circuits: int = 1000  # calls that may stand from one sender
    cold_share: float = 0.3
    cold_span: float = 15_000.0
    fall_multiple: float = 2.5
    tip_after: float = 3000.0
    echo: bool = True
    media_format: int = 0  # chosen whatever the caller speaks; 0: as the caller prefers
    faults: list[Fault] = []
    seed: int = 1


class Switch:
    def __init__(self, spec: SwitchSpec, sock: socket.socket, now: float) -> None:
        self.spec = spec
        self.random = random.Random(spec.seed)
        self.engine = MuteEngine()
        self.agenda: Agenda[tuple[str, Leg | None]] = Agenda()
        self.port = Port(sock, self.engine, self.handle_events, lambda: self.agenda.due, self.tick)
        self.counts: Counter[str] = Counter()
        self.free_at = now  # when the processor has worked off its queue
        self.started = -inf  # cold start; -inf: long ago
        self.fallen = False
        self.recent: deque[float] = deque()
        self.standing: dict[int, Leg] = {}
        self.rang: dict[str, str] = {}  # caller -> number called, of all calls that stood here
        self.by_sender: Counter[Addr] = Counter()
        for fault in spec.faults:
            if fault.kind in ("cold_restart", "cut", "circuits_lost"):
                self.agenda.at(fault.at, (fault.kind, None))

    def _fault(self, kind: str, now: float) -> Fault | None:
        for fault in self.spec.faults:
            if fault.kind == kind and fault.at <= now < fault.at + fault.span:
                return fault
        return None

    def share(self, now: float) -> float:
        """Part of its capacity that it has, as it warms."""
        grown = (now - self.started) / self.spec.cold_span
        return min(1.0, self.spec.cold_share + (1.0 - self.spec.cold_share) * grown)

    def handle_events(self, now: float) -> None:
        for event in self.engine.next_events():
            if isinstance(event, Offered):
                self._set_up(event.leg, now)
            elif isinstance(event, Released):
                self._let_go(event.leg)
            elif isinstance(event, Voice) and self.spec.echo:
                self.engine.voice(event.leg, event.payload, now)

    def _set_up(self, leg: Leg, now: float) -> None:
        self.counts["set_ups"] += 1
        if self._fault("hang", now) or self._dead(now) or self.fallen:
            return  # it takes the set-up, and its processor never comes to it
        share = self.share(now)
        if share < 1.0:
            recent, spec = self.recent, self.spec
            recent.append(now)
            while recent[0] < now - spec.tip_after:
                recent.popleft()
            bears = spec.fall_multiple * share * spec.capacity * spec.tip_after / 1000.0
            if len(recent) > bears:
                self.fallen = True
                self.counts["fallen"] += 1
                return
        slow = self._fault("slow", now)
        ageing = self._fault("ageing", now)
        factor = slow.factor if slow else 1.0
        if ageing:  # ever slower, and dead at the end of its span
            factor *= 1.0 + ageing.factor * (now - ageing.at) / ageing.span
        if max(0.0, self.free_at - now) > self.spec.most_wait:
            self.counts["full"] += 1
            self.engine.reject(leg, CauseCode.SWITCH_CONGESTION, "processor full", now)
            return
        self.free_at = max(now, self.free_at) + 1000.0 / self.spec.capacity / share * factor
        self.agenda.at(self.free_at, ("ring", leg))
        vanish = self._fault("vanish", now)
        if vanish and self.random.random() < vanish.factor:
            self.agenda.at(now + self.random.uniform(0.0, 1500.0), ("vanish", leg))

    def _dead(self, now: float) -> bool:
        return any(f.kind == "ageing" and f.at + f.span <= now < f.at + 2 * f.span for f in self.spec.faults)

    def tick(self, now: float) -> None:
        for _, (what, leg) in self.agenda.ready(now):
            if leg is not None:
                if leg.alive and what == "vanish":
                    self._let_go(leg)
                    self.engine.vanish(leg)
                elif leg.alive:
                    self._step(what, leg, now)
            elif what == "cold_restart":
                self._restart(now)
            elif what == "cut":
                self._cut(self._part("cut", now), now)
            elif what == "circuits_lost":
                self._lose_circuits(now)

    def _step(self, what: str, leg: Leg, now: float) -> None:
        if self._fault("hang", now) or self._dead(now) or self.fallen:
            return
        if what == "ring":
            called = text(leg.elements, Ie.CALLED_NUMBER)
            if self._room(leg.addr, now) <= 0:
                self.counts["no_circuit"] += 1
                self.engine.reject(leg, CauseCode.NO_CIRCUIT_AVAILABLE, "no circuit", now)
                return
            self.engine.accept(leg, self.spec.media_format or number(leg.elements, Ie.FORMAT), now)
            if called.endswith("99"):
                self.counts["engaged"] += 1
                self.engine.signal(leg, _CONTROL, int(Control.BUSY), now)
                self.engine.hang_up(leg, CauseCode.USER_BUSY, "engaged", now)
                return
            self.standing[leg.number] = leg
            self.rang[text(leg.elements, Ie.CALLING_NUMBER)] = called
            self.by_sender[leg.addr] += 1
            if self._fault("answer_lost", now):
                self.counts["answers_lost"] += 1
                return  # the call is set up here, and its sender never hears of it
            self.engine.signal(leg, _CONTROL, int(Control.RINGING), now)
            if not called.endswith("98"):
                self.agenda.at(now + self.spec.ring, ("answer", leg))
        elif what == "answer" and leg.state is State.LINKED:
            self.counts["answered"] += 1
            self.engine.signal(leg, _CONTROL, int(Control.ANSWER), now)

    def _room(self, sender: Addr, now: float) -> int:
        lost = self._fault("circuits_lost", now)
        circuits = int(self.spec.circuits * lost.factor) if lost else self.spec.circuits
        return circuits - self.by_sender[sender]

    def _let_go(self, leg: Leg) -> None:
        if self.standing.pop(leg.number, None) is not None:
            self.by_sender[leg.addr] -= 1

    def _part(self, kind: str, now: float) -> float:
        started = [f for f in self.spec.faults if f.kind == kind and f.at <= now]
        return started[-1].factor if started else 0.0

    def _cut(self, part: float, now: float) -> None:
        for leg in list(self.standing.values()):
            if self.random.random() < part:
                self._hang_up(leg, now)
        for what, waiting in self.agenda.things():
            if what == "ring" and waiting is not None and waiting.alive and self.random.random() < part:
                self._hang_up(waiting, now)

    def _lose_circuits(self, now: float) -> None:
        for leg in list(self.standing.values()):
            if self._room(leg.addr, now) < 0:
                self._hang_up(leg, now)

    def _hang_up(self, leg: Leg, now: float) -> None:
        self.counts["cut"] += 1
        self._let_go(leg)
        self.engine.hang_up(leg, CauseCode.TEMPORARY_FAILURE, "cut", now)

    def _restart(self, now: float) -> None:
        """Start cold with nothing kept: what arrives for calls of before gets INVAL."""
        self.counts["restarts"] += 1
        self.started, self.fallen, self.free_at = now, False, now
        self.recent.clear()
        self.standing.clear()
        self.by_sender.clear()
        self.agenda.keep(lambda entry: entry[1] is None)
        counts = self.engine.counts
        self.engine = self.port.engine = MuteEngine()
        self.engine.counts = counts
        # numbers of the life before must not meet those of the new one
        self.engine.numbers.first = self.random.randrange(1, 20_000)
