"""A box: the IAX2 front and the call core on one event loop.

A datagram's way is a straight line: port, engine, `_event`, core (with the module in it), `_carry`, engine,
port.
"""

from __future__ import annotations

import socket
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from math import isfinite
from secrets import randbelow, token_hex
from typing import Any, TypeVar

import structlog
from tornado import gen
from tornado.ioloop import IOLoop, PeriodicCallback

from dapplehinge import interface as api
from dapplehinge.calls.actions import Action, Drop, End, Final, Place, TellAnswered, TellRinging
from dapplehinge.calls.core import CallCore, Ended, Offer
from dapplehinge.calls.deadline import Ages
from dapplehinge.calls.dialplan import Destination
from dapplehinge.calls.origin import Origin, Origins, Refusal
from dapplehinge.config.load import TRANSIT_CONTEXT, Box
from dapplehinge.config.schema import SourcePart
from dapplehinge.iax2.codes import FORMAT_ULAW, CauseCode, Control, FrameType, Ie
from dapplehinge.iax2.elements import Elements, number, text
from dapplehinge.iax2.engine import Admission, Engine
from dapplehinge.iax2.leg import (
    Accepted,
    Addr,
    Authenticated,
    Leg,
    Offered,
    Registered,
    RegistrationAnswered,
    Released,
    Signal,
)
from dapplehinge.iax2.registry import Registrar, Registration
from dapplehinge.iax2.states import State
from dapplehinge.iax2.tokens import Tokens
from dapplehinge.limits.gate import Gate, Request
from dapplehinge.limits.pressure import Pressure
from dapplehinge.limits.sources import SourceRule, Sources
from dapplehinge.limits.tenants import Tenants
from dapplehinge.proxy.clock import clock
from dapplehinge.proxy.directory import Directory
from dapplehinge.proxy.port import Port
from dapplehinge.proxy.recorder import Recorder
from dapplehinge.proxy.store import Disk, Store, read_key
from dapplehinge.records.backlog import Backlog
from dapplehinge.records.entry import Outcome
from dapplehinge.records.scribe import Scribe, Story, origin_of

_CONTROL = int(FrameType.CONTROL)
PASSED_ON = (Ie.CALLING_NUMBER, Ie.CALLING_NAME, Ie.CAPABILITY, Ie.FORMAT, Ie.LANGUAGE, Ie.CALLINGPRES)
"""Elements of the caller's NEW that go on to the far end as they are."""

BUDGET, TENANT = "dapplehinge-budget", "dapplehinge-tenant"
SENT, CLOCK, DOUBTFUL = "dapplehinge-sent", "dapplehinge-clock", "dapplehinge-doubtful"
CALL_ID = "dapplehinge-call"
"""Names in VARIABLE elements that boxes tell each other: with a call in transit the ms that the tandem may
take, the tenant, the call's id, and when that was said on which clock; with its refusal the ms since a
doubtful end."""

LAST_WORDS = 1.0
"""Seconds a closing box stays for the acknowledgements of what it ended."""


def formats_of(elements: Elements) -> int:
    """Media formats that the sender of a NEW speaks; mu-law where it says nothing (section 8.6.8)."""
    return number(elements, Ie.CAPABILITY, FORMAT_ULAW) | number(elements, Ie.FORMAT)


def variables(elements: Elements) -> dict[str, str]:
    pairs = (line.partition("=") for line in text(elements, Ie.VARIABLE).split("\n"))
    return {name: value for name, sign, value in pairs if sign}


Kind = TypeVar("Kind")

MEASURE_EACH = 50.0
"""ms between two looks at how busy the box is."""


def build_gate(box: Box) -> Gate:
    limits, settings = box.limits, box.network.settings

    def rule(part: SourcePart) -> SourceRule:
        return SourceRule(part.network, part.set_ups, part.burst, part.calls, part.each_host)

    return Gate(
        Sources(tuple(rule(part) for part in limits.sources), rule(limits.default)),
        Tenants(settings.tenant_quotas, settings.proxies, limits.tenant_most),
        Pressure(limits.busy_target),
        limits.in_hand,
        settings.over_share_worth,
    )


@dataclass(frozen=True, slots=True)
class Caller:
    """What was found of who calls whom, once for limits and core alike."""

    origin: Origin | Refusal
    dialled: Destination | None


def told_number(told: dict[str, str], name: str) -> float | None:
    try:
        value = float(told[name])
    except (KeyError, ValueError):
        return None
    return value if isfinite(value) else None


class Legs:
    """The legs of one call: its caller's, and that of each attempt that is not over."""

    __slots__ = ("caller", "attempts", "tenant", "began", "in_hand")

    def __init__(self, caller: Leg, tenant: int, began: float) -> None:
        self.caller = caller
        self.attempts: dict[int, Leg] = {}
        self.tenant = tenant
        self.began = began
        self.in_hand = True  # it does not stand yet


def open_recorder(box: Box) -> Recorder | None:
    """The record store of the settings, recovered; `StoreError` where it can't be had."""
    part = box.records
    if part is None:
        return None
    folder = box.folder / part.folder
    folder.mkdir(parents=True, exist_ok=True)
    key = read_key(folder, box.folder / part.key_file if part.key_file else None)
    age = part.most_days * 86_400_000.0
    store = Store(Disk(folder), key, part.segment_bytes, part.most_bytes, age)
    return Recorder(store, Backlog(part.backlog_bytes), box.network.answer_margin / 2)


class Server:
    def __init__(self, box: Box, sock: socket.socket, core: CallCore | None = None) -> None:
        self.box = box
        self.network = box.network
        self.log = structlog.get_logger().bind()  # bound once: the lazy proxy costs at each event
        self.origins = Origins(box.origins)
        self.core = core or CallCore(box.network, box.seed, clock())
        self.gate = build_gate(box)
        self.engine = Engine(
            registrar=Registrar(box.credentials),
            dialplan=box.network.dial_plan.status,
            tokens=Tokens(box.call_tokens),
            admit=self._admit if box.limits.enabled else None,
        )
        self.engine.numbers.first = 1 + randbelow(self.engine.numbers.largest)
        self.registrations: dict[int, Registration] = {}
        for place, seconds in box.registrations:
            own = box.own_credentials[place]
            if own is not None:
                addr = box.network.exchanges[place].switch
                self.registrations[place] = Registration(addr, own, seconds)
        self.recorder = open_recorder(box)
        self.scribe = Scribe(box.name, time.time() * 1000.0)
        self.unrecorded = 0
        self._measured = clock(), time.process_time()
        self.calls: dict[int, Legs] = {}
        self.finals: Counter[str] = Counter()
        self._last_call = 0
        self.ages = Ages()
        self.clock_name = token_hex(4)  # of this run: another run's clock may stand elsewhere
        self.port = Port(sock, self.engine, self.handle_events, lambda: self.core.next_due, self._tick)
        self.directory: Directory | None = None
        self._handlers: dict[type, Callable[[Any, float], None]] = {}
        self._on(Offered, self._offered)
        self._on(Authenticated, self._authenticated)
        self._on(Accepted, self._accepted)
        self._on(Signal, self._signal)
        self._on(Released, self._released)
        self._on(Registered, self._registered)
        self._on(RegistrationAnswered, self._registration_answered)

    def _on(self, kind: type[Kind], handler: Callable[[Kind, float], None]) -> None:
        self._handlers[kind] = handler

    # Life

    def start(self) -> None:
        if self.box.directory is not None:
            self.directory = Directory(self.box.directory, self.network, self.listed, clock)
            IOLoop.current().add_callback(self.directory.follow)
        else:
            entries = tuple(
                api.SwitchEntry(switch, place, api.SwitchState.READY, self.network.exchanges[place].zone)
                for place, switch in enumerate(self.box.switch_ids)
            )
            self.listed(api.SwitchList(api.ListKind.WHOLE, entries))
        self._measuring = PeriodicCallback(self._measure, MEASURE_EACH)
        self._measuring.start()
        host, port = self.port.sock.getsockname()[:2]
        self.log.info("box.started", box=self.box.name, listen=f"{host}:{port}")

    async def drain(self) -> None:
        """Take no new calls, let the others end by the limit, then end what is left."""
        self.core.draining = True
        self.log.info("box.draining", calls=len(self.calls), limit=self.box.drain_limit)
        end = clock() + self.box.drain_limit
        while self.calls and clock() < end:
            await gen.sleep(0.05)
        if self.calls:
            self.log.warning("box.drain_limit", calls=len(self.calls))
            self._carry(self.core.end_all(clock()))
            self.port.flush()
        for _ in range(int(LAST_WORDS / 0.05)):
            if not self.engine.legs:
                break
            await gen.sleep(0.05)
        if self.directory is not None:
            self.directory.close()
        self._measuring.stop()
        if self.recorder is not None:
            await self.recorder.close()
        self.port.close()
        self.log.info(
            "box.stopped",
            finals=dict(self.finals),
            counts=dict(self.engine.counts),
            refused_by_limit=dict(self.gate.counts),
        )

    def listed(self, change: api.SwitchList) -> None:
        for entry in change.entries:
            name = self.network.exchanges[entry.exchange].name
            self.log.info("switch.listed", exchange=name, switch=entry.switch, state=entry.state.name.lower())
        self._carry(self.core.listed(change, clock()))
        self.port.flush()

    # Registrations of this box at others

    def _register(self) -> None:
        now = clock()
        for place, registration in self.registrations.items():
            if registration.due <= now:
                elements = registration.asking()
                leg = self.engine.register(registration.addr, elements, now, registration.credentials)
                if leg is None:
                    registration.failed(now)
                else:
                    leg.owner = (-1, place)
                self.port.flush()

    def _registration_answered(self, event: RegistrationAnswered, now: float) -> None:
        if event.leg.owner is None:
            return
        place = event.leg.owner[1]
        registration, name = self.registrations[place], self.network.exchanges[place].name
        if event.accepted:
            registration.granted(event.refresh, now)
            self.log.info("registration.held", exchange=name, refresh=event.refresh)
        else:
            registration.failed(now)
            self.log.warning("registration.failed", exchange=name, cause=event.cause)

    # Limits

    def _measure(self) -> None:
        """Tell the gate how busy the loop's core was, and for how long datagrams have waited."""
        (wall, cpu), now, used = self._measured, clock(), time.process_time()
        self._measured = now, used
        self.gate.pressure.measured(1000.0 * (used - cpu) / max(1.0, now - wall), self.port.waiting(now))
        self._register()
        if self.recorder is not None:
            self.recorder.look(now)

    def _find(self, elements: Elements, addr: Addr) -> Caller:
        context, username = text(elements, Ie.CALLED_CONTEXT), text(elements, Ie.USERNAME)
        origin = self.origins.find(context, username, addr[0])
        return Caller(origin, self.network.dial_plan.find(text(elements, Ie.CALLED_NUMBER)))

    def _admit(self, elements: Elements, addr: Addr, now: float) -> Admission:
        """Asked by the engine of each NEW, before it makes a leg of it."""
        caller = self._find(elements, addr)
        origin = caller.origin
        if isinstance(origin, Refusal) or origin.account is not None:
            refused = self.gate.ask_source(addr[0], now)
        else:
            refused = self.gate.ask(self._request(addr, origin, caller.dialled), now)
        if refused is not None:
            return Admission((refused.cause, refused.text))
        return Admission(finding=caller)

    def _request(self, addr: Addr, origin: Origin, found: Destination | None) -> Request:
        kind = origin.kind if found is None or found.kind is None else found.kind
        worth = self.network.settings.classes[kind].worth
        return Request(addr[0], origin.tenant, worth, origin.in_transit)

    def _stands_or_over(self, legs: Legs) -> None:
        if legs.in_hand:
            legs.in_hand = False
            self.gate.stands()

    # From the engine

    def handle_events(self, now: float) -> None:
        while self.engine.events:
            for event in self.engine.next_events():
                handler = self._handlers.get(type(event))
                if handler is None:
                    continue
                try:
                    handler(event, now)
                except Exception:  # one call's fault must not stop the loop for all
                    self.finals["fault"] += 1
                    self.log.exception("call.fault", event_kind=type(event).__name__)

    def _tick(self, now: float) -> None:
        self._carry(self.core.tick(now))

    def _offered(self, event: Offered, now: float) -> None:
        leg = event.leg
        if not isinstance(leg.origin, Caller):
            leg.origin = self._find(leg.elements, leg.addr)
        origin = leg.origin.origin
        if isinstance(origin, Refusal):
            self.finals["barred"] += 1
            context = text(leg.elements, Ie.CALLED_CONTEXT)
            self.log.info("call.barred", reason=origin.name.lower(), host=leg.addr[0], context=context)
            self.engine.reject(leg, CauseCode.CALL_REJECTED, "not allowed from here", now)
        elif origin.account is not None:
            self.engine.challenge(leg, self.box.credentials[origin.account], now)
        else:
            self._take(leg, origin, leg.origin.dialled, now)

    def _authenticated(self, event: Authenticated, now: float) -> None:
        leg, caller = event.leg, event.leg.origin
        if isinstance(caller, Caller) and isinstance(caller.origin, Origin):
            if self.box.limits.enabled:
                refused = self.gate.ask_rest(self._request(leg.addr, caller.origin, caller.dialled), now)
                if refused is not None:
                    self.engine.reject(leg, refused.cause, refused.text, now)
                    return
            self._take(leg, caller.origin, caller.dialled, now)

    def _take(self, leg: Leg, origin: Origin, dialled: Destination | None, now: float) -> None:
        elements = leg.elements
        called = text(elements, Ie.CALLED_NUMBER)
        if not called:
            self.engine.reject(leg, CauseCode.INVALID_NUMBER_FORMAT, "no number dialled", now)
            return
        if not formats_of(elements):
            self.engine.reject(leg, CauseCode.BEARER_NOT_AVAILABLE, "no media format offered", now)
            return
        if self.recorder is not None and not self.recorder.backlog.room():
            if self.box.records is not None and self.box.records.when_full == "refuse":
                self.finals["no_room_for_records"] += 1
                self.engine.reject(leg, CauseCode.SWITCH_CONGESTION, "records can not be written", now)
                return
            self.unrecorded += 1
        self._last_call = call = (self._last_call + 1) & 0xFFFFFFFF
        budget, tenant, told_id = None, origin.tenant, ""
        if origin.in_transit:
            told = variables(elements)
            told_id = told.get(CALL_ID, "")
            budget = told_number(told, BUDGET)  # a box that says nothing is taken by its class
            tenant = int(told_number(told, TENANT) or tenant)
            if budget is not None:
                budget -= self.network.answer_margin / 4
                sent = told_number(told, SENT)
                if sent is not None:
                    budget -= self.ages.age((leg.addr, told.get(CLOCK, "")[:16]), sent, now)
        leg.owner = (call, -1)
        self._begin_story(call, leg, origin, tenant, dialled, told_id, now)
        self.calls[call] = Legs(leg, tenant, now)
        self.gate.began(leg.addr[0])
        self.log.debug("call.offered", call=call, number=called, context=origin.context)
        # its caller's patience began no later than with the NEW that was answered by a call token
        age = now - leg.proven if leg.tokened else 0.0
        offer = Offer(called, origin.kind, tenant, origin.in_transit, budget, age=age, found=dialled)
        self._carry(self.core.offered(call, offer, now))

    def _begin_story(
        self, call: int, leg: Leg, origin: Origin, tenant: int, dialled: Destination | None, told: str,
        now: float,
    ) -> None:  # fmt: skip
        network = self.network
        kind = origin.kind if dialled is None or dialled.kind is None else dialled.kind
        known = self.scribe.id_of(call, told)
        self.scribe.began(
            call,
            Story(
                id=known,
                at=time.time() * 1000.0,
                began=now,
                number=text(leg.elements, Ie.CALLED_NUMBER),
                caller=text(leg.elements, Ie.CALLING_NUMBER),
                kind=network.kinds[kind].name,
                tenant=network.tenants[tenant] if 0 <= tenant < len(network.tenants) else "",
                origin=origin_of(known) if told else self.box.name,
                destination=network.exchanges[dialled.exchange].name if dialled is not None else "",
            ),
        )

    def _accepted(self, event: Accepted, now: float) -> None:
        if event.leg.owner is None:
            return
        leg, (call, attempt) = event.leg, event.leg.owner
        legs = self.calls.get(call)
        if legs is not None and attempt >= 0 and not leg.format & formats_of(legs.caller.elements):
            # the far end chose what the caller does not speak, and nothing here converts it
            self.engine.hang_up(leg, CauseCode.INCOMPATIBLE_DESTINATION, "no common format", now)
            self._forget_leg(call, attempt)
            self._carry(self.core.ended(call, attempt, CauseCode.INCOMPATIBLE_DESTINATION, now))
            return
        self._carry(self.core.accepted(call, attempt, now))

    def _signal(self, event: Signal, now: float) -> None:
        if event.leg.owner is None:
            return
        leg, subclass = event.leg, event.subclass
        call, attempt = event.leg.owner
        if event.kind == _CONTROL and attempt >= 0:
            if subclass == Control.RINGING:
                self._carry(self.core.rings(call, attempt, now))
                return
            if subclass == Control.ANSWER:
                self._carry(self.core.answered(call, attempt, now))
                return
            if subclass in (Control.BUSY, Control.CONGESTION):
                cause = CauseCode.USER_BUSY if subclass == Control.BUSY else CauseCode.SWITCH_CONGESTION
                self.engine.hang_up(leg, CauseCode.NORMAL_CLEARING, "", now)
                self._forget_leg(call, attempt)
                self._carry(self.core.ended(call, attempt, cause, now))
                return
        other = self._other(call, attempt)
        if other is not None:
            self.engine.signal(other, event.kind, subclass, now, event.payload)

    def _released(self, event: Released, now: float) -> None:
        if event.leg.owner is None:
            return
        call, attempt = event.leg.owner
        if attempt < 0:
            self._over(call, "caller_gone", event.cause, now)
            self._carry(self.core.caller_gone(call, now))
            self.calls.pop(call, None)
            return
        self._forget_leg(call, attempt, event.cause)
        self.log.debug("attempt.ended", call=call, attempt=attempt, cause=event.cause, lost=event.lost)
        doubtful = told_number(variables(event.elements), DOUBTFUL) if event.elements else None
        how = Ended(event.lost, event.invalid, event.rejected, doubtful)
        self._carry(self.core.ended(call, attempt, event.cause, now, how))

    def _registered(self, event: Registered, now: float) -> None:
        self.log.info("account.registered", account=event.username, expiry=event.expiry)

    # To the engine

    def _carry(self, actions: list[Action]) -> None:
        pending = list(actions)
        while pending:
            action = pending.pop(0)
            now = clock()
            if isinstance(action, Place):
                pending += self._place(action, now)
            elif isinstance(action, Drop):
                leg = self._forget_leg(action.call, action.attempt, action.cause)
                if leg is not None:
                    self.log.debug(
                        "attempt.dropped", call=action.call, attempt=action.attempt, cause=action.cause
                    )
                    self.engine.hang_up(leg, action.cause, "", now)
                    self.port.flush()  # the guard counts from here: the release leaves at once
            else:
                self._answer(action)

    def _answer(self, action: TellRinging | TellAnswered | End) -> None:
        """Carry out what the caller hears, once the call's intent is durable where records are kept."""
        if self.recorder is None:
            self._say(action)
            return
        outcome = Outcome.STOOD
        if isinstance(action, End) and action.final is not Final.CLEARED:
            outcome = Outcome.REFUSED if action.final is Final.REFUSED else Outcome.FAILED
        intent = self.scribe.final(action.call, outcome)
        self.recorder.answer_after(action.call, intent, partial(self._say_late, action))

    def _say_late(self, action: TellRinging | TellAnswered | End) -> None:
        self._say(action)
        self.port.flush()

    def _say(self, action: TellRinging | TellAnswered | End) -> None:
        now = clock()
        if isinstance(action, End):
            self._end(action, now)
        else:
            control = Control.RINGING if isinstance(action, TellRinging) else Control.ANSWER
            self._tell(action.call, action.attempt, control, now)

    def _place(self, action: Place, now: float) -> list[Action]:
        call, legs = action.call, self.calls.get(action.call)
        if legs is None:
            return []
        exchange = self.network.exchanges[action.exchange]
        first = legs.caller.elements
        elements: Elements = {int(Ie.CALLED_NUMBER): text(first, Ie.CALLED_NUMBER)}
        for kind in PASSED_ON:
            if kind in first:
                elements[int(kind)] = first[kind]
        elements.setdefault(int(Ie.CAPABILITY), FORMAT_ULAW)
        addr = exchange.switch
        if action.tandem:
            if exchange.proxy is None:
                return self.core.ended(call, action.attempt, CauseCode.NO_CIRCUIT_AVAILABLE, now)
            addr = exchange.proxy
            elements[int(Ie.CALLED_CONTEXT)] = TRANSIT_CONTEXT
            elements[int(Ie.VARIABLE)] = (
                f"{BUDGET}={action.budget:.0f}\n{TENANT}={legs.tenant}\n{SENT}={now:.0f}\n{CLOCK}={self.clock_name}"
                f"\n{CALL_ID}={self.scribe.stories[call].id}"
            )
        own = self.box.own_credentials[action.exchange]
        if own is not None:
            elements[int(Ie.USERNAME)] = own.username
        leg = self.engine.dial(addr, elements, now, own)
        if leg is None:
            self.log.warning("call_numbers.none_free", call=call, attempt=action.attempt)
            return self.core.ended(call, action.attempt, CauseCode.TEMPORARY_FAILURE, now)
        leg.owner = (call, action.attempt)
        self.scribe.placed(call, action.attempt, exchange.name, action.tandem, now)
        legs.attempts[action.attempt] = leg
        self.log.debug(
            "attempt.placed", call=call, attempt=action.attempt, exchange=exchange.name, tandem=action.tandem
        )
        return []

    def _tell(self, call: int, attempt: int, control: Control, now: float) -> None:
        legs = self.calls.get(call)
        far = legs.attempts.get(attempt) if legs else None
        if legs is None or far is None:
            return
        self._stands_or_over(legs)
        caller = legs.caller
        if caller.state is State.OFFERED:
            self.engine.accept(caller, far.format or FORMAT_ULAW, now)
        self.engine.signal(caller, _CONTROL, int(control), now)
        if control is Control.ANSWER:
            self.scribe.answered(call, now)
            self.engine.bridge(caller, far)
        took = round(now - legs.began, 1)
        name = "call.rings" if control is Control.RINGING else "call.answered"
        self.log.info(name, call=call, attempt=attempt, took=took)

    def _end(self, action: End, now: float) -> None:
        legs = self.calls.get(action.call)
        if legs is None:
            return
        self._over(action.call, action.final.name.lower(), action.cause, now)
        del self.calls[action.call]
        caller = legs.caller
        for leg in legs.attempts.values():
            self.engine.hang_up(leg, CauseCode.NORMAL_CLEARING, "", now)
        if action.cause == CauseCode.USER_BUSY and caller.state is State.OFFERED:
            # a handset plays its engaged tone on BUSY; the HANGUP behind it carries the cause
            self.engine.accept(caller, number(caller.elements, Ie.FORMAT) or FORMAT_ULAW, now)
            self.engine.signal(caller, _CONTROL, int(Control.BUSY), now)
        told = f"{DOUBTFUL}={action.doubtful:.0f}" if action.doubtful is not None else ""
        self.engine.end(caller, action.cause, action.text, now, told)

    def _over(self, call: int, how: str, cause: int, now: float) -> None:
        legs = self.calls.get(call)
        if legs is None:
            return
        self.finals[how] += 1
        entries = self.scribe.over(call, int(cause), now)
        if self.recorder is not None:
            for entry in entries:
                self.recorder.add(entry)
        self._stands_or_over(legs)
        self.gate.ended(legs.caller.addr[0])
        attempt = max(legs.attempts, default=-1)
        took = round(now - legs.began, 1)
        self.log.info("call.over", call=call, attempt=attempt, how=how, cause=int(cause), took=took)

    def _forget_leg(self, call: int, attempt: int, cause: int = 0) -> Leg | None:
        self.scribe.attempt_ended(call, attempt, int(cause), clock())
        legs = self.calls.get(call)
        return legs.attempts.pop(attempt, None) if legs else None

    def _other(self, call: int, attempt: int) -> Leg | None:
        """The leg across the box from this one, once the call stands."""
        legs = self.calls.get(call)
        if legs is None:
            return None
        if attempt >= 0:
            return legs.caller
        return next(iter(legs.attempts.values()), None)
