"""The decisions of dapplehinge: which route a call takes, when it waits, when it is refused.

Types, events and actions are in `interface.py`; read that file first. A `Controller` is one signalling
proxy's: events and the clock go in, actions come out. It does no I/O and shares nothing.

Ordinary path (Gallay and Hongler's smart tasks, see docs/design.md): the ladder of a destination is the
direct route, then the tandems in a fixed order. A call takes the first rung whose delay semaphore is open,
and a shut one with probability p = mu / (lambda * product of (1 - p) of the shut rungs before) - epsilon.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import ceil, sqrt
from random import Random

from dapplehinge.interface import (
    Action,
    AttemptEnded,
    CallerGone,
    CallOffered,
    CallStands,
    Cancel,
    Cause,
    Event,
    Fail,
    Layout,
    ListKind,
    Load,
    Outcome,
    Refuse,
    Repeat,
    RepeatGroup,
    SetTimer,
    Settings,
    SetUp,
    Subscribe,
    SwitchEntry,
    SwitchId,
    SwitchList,
    SwitchReport,
    SwitchState,
    TimerDue,
)

# Tuned values. A share has no unit.
DELAY_SHARE = 0.14  # C as a share of the tightest class target: a queue must show long before that
RATE_CALLS = 8  # calls (K): span of the rate estimate; small, as the paper prefers, to react quickly
EPSILON_SHARE = 0.1  # epsilon as a share of the first term, so it always lies below it
MU_SPANS = 4.0  # window of the service rate mu, in C: holds a few set-ups
RESERVE_ROOTS = 0.6  # trunk reservation in roots of the group size: two legs displace two direct calls
WAIT_SHARE = 0.6  # how long a call may wait at home for a route, as a share of its class target
CIRCUIT_WAIT_SHARE = 0.85  # the same where only a circuit lacks: once one frees the call stands fast
WAIT_STEP = 50.0  # ms between looks at waiting calls: well below any target, and cheap
TURN_BACK_REST = 3000.0  # ms a tandem rests for one destination after turning a call back
ENGAGED_REST = 250.0  # ms a number rests after all its lines were engaged; doubles each time in a row
ENGAGED_REST_MOST = 4000.0  # ms: longest rest, well below the length of a call that frees a line
LITTLE_WORTH = 0.5  # share of the mean worth: below it a call gets no last circuit and no tandem
MOST_DOUBLINGS = 2  # a shut rung's rest grows to 4 C, well within the target: it must see the end of trouble
WORTH_CALLS = 50  # calls over which the mean worth is learnt: some seconds of one proxy's traffic
MOST_FAVOUR = 2.0  # most that a call's worth may raise its spill share: p must still bound the feed
TENANT_FORGET = 0.01  # weight of the newest call in the tenants' shares: about a hundred calls count
TENANT_KNOWN = 0.2  # seen weight from which those shares are believed: some twenty calls
RATE_SPAN = 5000.0  # ms over which the own sending rate is learnt
TANDEM_TRIES = 2  # tandem attempts of one call: each costs two processors work, also when it is turned back
SENDS_KEPT = 200  # set-ups remembered per switch, more than any cold budget lets through
COLD_USE = 1.0  # part of a cold switch's tolerable load that all proxies together plan to use
NEAR_SPANS = 4.0  # how recent evidence of a direct rung must be, in C, to count when judging the near end
ASK_AGAIN = 0.1  # a failed subscription is asked for again after this share of the asking limit
DEADLINE_ROUNDS = 2.0  # rounds kept free before the end of a call's budget


@dataclass(slots=True)
class Rung:
    """One route to one destination, with its delay semaphore and the evidence for it."""

    out: dict[int, float] = field(default_factory=dict)  # call -> when its set-up was sent
    good_sent: float = -1.0  # newest sending time of a set-up that stood within C
    bad_sent: float = -1.0  # newest sending time of one that did not, or was turned away
    last_use: float = -1.0
    failed: int = 0  # set-ups in a row that ended badly
    stood: deque[float] = field(default_factory=deque)

    turned_back: float = -1.0  # when a tandem last turned a call back for want of a circuit beyond

    def shut(self, now: float, limit: float) -> bool:
        """Evidence counts by when a set-up was sent: the late end of an old one undoes nothing newer.

        A set-up still out shuts the rung as soon as C has passed; looking at use equals a timer.
        """
        for sent in self.out.values():
            if now - sent > limit and sent > self.bad_sent:
                self.bad_sent = sent
        if self.bad_sent <= self.good_sent:
            return False
        # guards against a far end that takes or turns away all it gets: each further try in a row is made
        # after twice the rest. It may hurt when such an end recovers at once: the rest is bounded.
        doublings = min(MOST_DOUBLINGS, max(0, self.failed - 1))
        return bool(self.out) or now - self.last_use <= limit * 2**doublings

    def went_bad(self, sent: float) -> None:
        self.bad_sent = max(self.bad_sent, sent)

    def service_rate(self, now: float, span: float) -> float:
        while self.stood and self.stood[0] < now - span:
            self.stood.popleft()
        return len(self.stood) / span


@dataclass(slots=True)
class Switch:
    entry: SwitchEntry
    free: int | None = None  # free circuits of the group to it; None: not told yet
    size: int = 0
    sends: deque[float] = field(default_factory=deque)  # set-ups sent while it is cold

    def reserve(self) -> int:
        return ceil(RESERVE_ROOTS * sqrt(self.size))

    def has_room(self, width: int, kept_back: int) -> bool:
        return self.free is None or self.free >= width + kept_back


@dataclass(slots=True)
class Call:
    offer: CallOffered
    arrived: float
    due: float  # its final answer is given by then, some rounds before its budget ends
    attempts: int = 0
    tandem_tries: int = 0
    out_to: SwitchId | None = None  # where its one attempt is
    sent: float = 0.0
    not_before: float = 0.0  # release awaited until then
    avoid: set[SwitchId] = field(default_factory=set)  # tandems that turned this call back
    may_have_run: tuple[SwitchEntry, float] | None = None  # first attempt that may have run


class Controller:
    """One signalling proxy's decisions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.switches: dict[SwitchId, Switch] = {}
        self.at_exchange: dict[int, list[SwitchId]] = {}
        self.rungs: dict[tuple[int, SwitchId], Rung] = {}
        self.calls: dict[int, Call] = {}
        self.waiting: dict[int, Call] = {}
        self.arrivals: dict[int, deque[float]] = {}
        self.tenant_calls = [0.0] * len(settings.tenant_quotas)
        self.engaged: dict[int, tuple[float, float]] = {}  # number -> rest, and when it ends
        self.mean_worth = 0.0
        self.send_rate = 0.0  # set-ups a second this proxy sends, by exponential forgetting
        self.last_send = 0.0
        self.tags = 0
        self.timers: dict[int, int] = {}  # tag -> call; tags 0 and 1 stand apart
        self.look_pending = False
        self.limit = DELAY_SHARE * min((c.target for c in settings.classes), default=2000.0)
        self.slack = DEADLINE_ROUNDS * settings.round_span
        self.out: list[Action] = []
        self.now = 0.0

    # Events

    def start(self, now: float) -> list[Action]:
        """What a proxy does as it comes up."""
        self.now, self.out = now, []
        if self.settings.must_ask_for_list:
            self.out.append(Subscribe())
        return self.out

    def handle(self, now: float, event: Event) -> list[Action]:
        self.now, self.out = now, []
        match event:
            case CallOffered():
                self.offered(event)
            case AttemptEnded():
                self.ended(event)
            case CallStands():
                self.stands(event)
            case SwitchReport():
                self.reported(event)
            case TimerDue():
                self.timer(event.tag)
            case CallerGone():
                self.forget(event.call)
            case SwitchList():
                self.listed(event)
        return self.out

    def offered(self, offer: CallOffered) -> None:
        if offer.call in self.calls:
            return
        call = Call(offer, self.now, self.now + offer.budget - self.slack)
        self.calls[offer.call] = call
        if not offer.in_transit:
            past = self.arrivals.setdefault(offer.destination, deque(maxlen=RATE_CALLS + 1))
            past.append(self.now)
            worth = self.worth(offer, count=True)
            self.mean_worth += (worth - self.mean_worth) / WORTH_CALLS if self.mean_worth else worth
        self.set_timer(max(0.0, offer.budget - self.slack), offer.call)
        if self.number_rests(offer):
            self.refuse(call)
        else:
            self.advance(call)

    def stands(self, event: CallStands) -> None:
        call = self.calls.get(event.call)
        if call is None or call.out_to != event.switch:
            return
        rung = self.rung(call.offer.destination, event.switch)
        if self.now - call.sent <= self.limit:
            rung.good_sent = max(rung.good_sent, call.sent)
            rung.stood.append(self.now)
            rung.failed = 0
        else:
            rung.went_bad(call.sent)
        self.engaged.pop(call.offer.number, None)
        self.forget(event.call)

    def number_rests(self, offer: CallOffered) -> bool:
        """Guards against many callers dialling one number whose lines are all engaged.

        Each such try costs every processor on the way and can't stand. One try passes after each rest. It
        holds against any number that keeps failing so; it may hurt where lines free faster than the rest.
        """
        rest, until = self.engaged.get(offer.number, (0.0, 0.0))
        if self.now < until:
            return True
        if rest:
            self.engaged[offer.number] = (rest, self.now + rest)
        return False

    def ended(self, event: AttemptEnded) -> None:
        call = self.calls.get(event.call)
        if call is None or call.out_to is None:
            return
        destination, switch, sent = call.offer.destination, event.switch, call.sent
        rung = self.rung(destination, switch)
        outcome = event.outcome
        refused = event.cause in (Cause.TURNED_BACK, Cause.TURNED_BACK_FULL, Cause.PROCESSOR_FULL)
        if outcome in (Outcome.TIMED_OUT, Outcome.UNREACHABLE, Outcome.CUT) or (
            outcome is Outcome.REJECTED and refused
        ):
            rung.went_bad(sent)
            rung.failed += 1
        if event.cause is Cause.TURNED_BACK_FULL:  # the destination is at fault, not the tandem
            direct = self.direct_rung(destination)
            direct.went_bad(sent)
            direct.last_use = self.now
        if event.cause is Cause.TURNED_BACK:
            rung.turned_back = self.now
        self.detach(call)
        if event.concluded:
            self.forget(event.call)
            return
        if outcome in (Outcome.TIMED_OUT, Outcome.CUT, Outcome.CANCELLED):
            call.not_before = self.now + self.settings.guard
        if outcome not in (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT) and not call.may_have_run:
            known = self.switches.get(switch)
            if known:
                call.may_have_run = (known.entry, sent)
        if outcome is Outcome.NOT_SENT and event.cause is Cause.NO_CIRCUIT and switch in self.switches:
            self.switches[switch].free = 0
        if call.offer.in_transit:
            self.refuse(call)
        elif outcome is Outcome.LINE_BUSY and event.cause is Cause.LINES_ENGAGED:
            number = call.offer.number
            if number:
                rest = min(ENGAGED_REST_MOST, 2 * self.engaged.get(number, (ENGAGED_REST / 2, 0.0))[0])
                self.engaged[number] = (rest, self.now + rest)
            self.end_failed(call)
        else:
            if outcome is not Outcome.NOT_SENT:
                call.avoid.add(switch)
            self.advance(call)

    def reported(self, event: SwitchReport) -> None:
        switch = self.switches.get(event.switch)
        if switch is None:
            return
        before = switch.free
        for load, value in event.report:
            if load is Load.FREE_CIRCUITS:
                switch.free = int(value)
            elif load is Load.GROUP_SIZE:
                switch.size = int(value)
        if switch.free is not None and (before is None or switch.free > before):
            self.look_at_waiting()

    def timer(self, tag: int) -> None:
        if tag == 0:
            self.look_pending = False
            self.look_at_waiting()
        elif tag == 1:
            self.out.append(Subscribe())
        else:
            call = self.calls.get(self.timers.pop(tag, -1))
            if call is None:
                return
            if self.now >= call.due:
                if call.out_to is not None:
                    if self.settings.may_cancel:
                        self.out.append(Cancel(call.offer.call, call.attempts - 1))
                    rung = self.rung(call.offer.destination, call.out_to)
                    rung.went_bad(call.sent)
                    self.detach(call)
                    self.end_failed(call)
                else:
                    self.refuse(call)
            elif call.out_to is None:
                self.advance(call)

    def listed(self, event: SwitchList) -> None:
        if event.kind is ListKind.FAILED:
            # guards against a deaf proxy: asked for again, but not at once, as discovery may be full
            self.out.append(SetTimer(ASK_AGAIN * self.settings.ask_within, 1))
            return
        if event.kind is not ListKind.CHANGES:
            named = {entry.switch for entry in event.entries}
            for switch_id in list(self.switches):
                if switch_id not in named:
                    del self.switches[switch_id]
        for entry in event.entries:
            if entry.state is SwitchState.GONE:
                self.switches.pop(entry.switch, None)
            elif entry.switch in self.switches:
                known = self.switches[entry.switch]
                if entry.started_at > known.entry.started_at:
                    known.sends.clear()
                known.entry = entry
            else:
                self.switches[entry.switch] = Switch(entry)
        self.at_exchange = {}
        for switch_id, switch in self.switches.items():
            self.at_exchange.setdefault(switch.entry.exchange, []).append(switch_id)
        self.look_at_waiting()

    # The ladder

    def advance(self, call: Call) -> None:
        """Bring a call that has no attempt out one step further: send it, let it wait, or end it."""
        offer = call.offer
        if call.attempts >= self.settings.max_attempts or self.now >= call.due:
            self.refuse(call)
            return
        if self.now < call.not_before:  # the release is awaited
            if call.not_before >= call.due:
                self.refuse(call)
            else:
                self.set_timer(call.not_before - self.now, call.offer.call)
            return
        switch_id = self.choose(call)
        if switch_id is not None:
            self.waiting.pop(call.offer.call, None)
            self.send(call, switch_id)
        elif offer.in_transit or self.now >= self.wait_until(call) or not self.target_of(offer.destination):
            self.refuse(call)
        else:
            self.waiting[call.offer.call] = call
            if not self.look_pending:
                self.look_pending = True
                self.out.append(SetTimer(WAIT_STEP, 0))

    def wait_until(self, call: Call) -> float:
        """Until when a call waits at home: longer for a circuit than for a processor, which may stay slow."""
        offer, direct = call.offer, self.target_of(call.offer.destination)
        room = direct is None or self.switches[direct].has_room(offer.width, 0)
        share = WAIT_SHARE if room else CIRCUIT_WAIT_SHARE
        return call.arrived + min(share * self.settings.classes[offer.call_class].target, offer.budget / 2)

    def choose(self, call: Call) -> SwitchId | None:
        offer, now = call.offer, self.now
        direct = self.target_of(offer.destination)
        if direct is None or offer.destination == self.settings.own_exchange:
            return None
        worth = self.worth(offer)
        little = worth < LITTLE_WORTH * self.mean_worth
        ladder = [direct]
        if not offer.in_transit:
            ladder += self.tandems(offer, direct)
        climbed = 1.0  # product of (1 - p) of the shut rungs passed
        rate = self.call_rate(offer.destination)
        pressed = self.near_pressed()
        for switch_id in ladder:
            switch = self.switches[switch_id]
            spilled = switch_id != direct
            if not self.may_send(switch, call):
                if not spilled and self.settings.layout is Layout.NETWORK:
                    return None  # a tandem would only carry the call to the same draining or cold switch
                continue
            kept_back = 0
            if spilled or offer.in_transit or little:
                # trunk reservation: spilled, transit and low-worth calls leave the last circuits
                kept_back = switch.reserve()
            if switch_id in call.avoid and spilled:
                continue
            if not switch.has_room(offer.width, kept_back):
                continue
            if spilled and (little or not self.may_spill(call, direct, switch_id, pressed)):
                continue
            rung = self.rung(offer.destination, switch_id)
            if not rung.shut(now, self.limit):
                return switch_id
            if offer.in_transit:
                return None
            share = self.spill_share(rung, rate, climbed)
            favour = worth / self.mean_worth if self.mean_worth else 1.0
            if self.random.random() < share * min(MOST_FAVOUR, favour):
                return switch_id
            climbed *= 1.0 - share
            if climbed <= 0.0:
                return None
        return None

    def spill_share(self, rung: Rung, rate: float, climbed: float) -> float:
        served = rung.service_rate(self.now, MU_SPANS * self.limit)
        if served <= 0.0:
            return 0.0  # nothing stands there: it reopens by rest alone, also while the rate is unknown
        if rate * climbed <= 0.0:
            return 1.0
        first = served / (rate * climbed)
        return min(1.0, max(0.0, first - EPSILON_SHARE * first))

    def call_rate(self, destination: int) -> float:
        """Calls per ms to a destination over the last K; the paper prints the inverse, a mean gap."""
        past = self.arrivals.get(destination)
        if not past or len(past) < 2 or self.now <= past[0]:
            return 0.0
        return (len(past) - 1) / (self.now - past[0])

    def tandems(self, offer: CallOffered, direct: SwitchId) -> list[SwitchId]:
        if self.settings.layout is Layout.POOLS:
            places = [p for p in self.settings.classes[offer.call_class].pools if p != offer.destination]
        else:
            own = self.settings.own_exchange
            places = sorted(p for p in self.at_exchange if p not in (own, offer.destination))
            if places:  # each pair starts its fixed order elsewhere, so that spilled calls spread
                turn = (own + offer.destination) % len(places)
                places = places[turn:] + places[:turn]
            if offer.advised in places:
                places.remove(offer.advised)
                places.insert(0, offer.advised)
        found = [self.target_of(place) for place in places]
        return [switch_id for switch_id in found if switch_id is not None]

    def may_spill(self, call: Call, direct: SwitchId, tandem: SwitchId, pressed: bool) -> bool:
        """Admission beside the ladder: an alternative route helps only where circuits lack."""
        if self.settings.layout is Layout.POOLS:
            return True
        if pressed or call.tandem_tries >= TANDEM_TRIES:
            return False
        place = self.switches[tandem].entry.exchange
        if self.rung(place, tandem).shut(self.now, self.limit):
            return False
        # guards against calls sent again and again over a tandem whose group beyond is full: its turn-back is
        # believed for longer than a late answer, as a circuit frees more slowly than a queue drains
        turned_back = self.rung(call.offer.destination, tandem).turned_back
        if turned_back >= 0 and self.now - turned_back < TURN_BACK_REST:
            return False
        return not self.rung(call.offer.destination, direct).shut(self.now, self.limit)

    def near_pressed(self) -> bool:
        """Direct rungs to many destinations shut together: the trouble is near, so nothing spills."""
        used = shut = 0
        for place, ids in self.at_exchange.items():
            for switch_id in ids:
                rung = self.rungs.get((place, switch_id))
                if rung and (rung.out or self.now - rung.last_use < NEAR_SPANS * self.limit):
                    used += 1
                    shut += rung.shut(self.now, self.limit)
        return shut >= 2 and 2 * shut >= used

    # Worth

    def worth(self, offer: CallOffered, count: bool = False) -> float:
        """Expected worth of a call; a tenant beyond its share of the quotas counts as partly over."""
        kind = self.settings.classes[offer.call_class]
        worth = kind.worth
        if offer.redialled and not offer.cut_before:  # its first try began long ago: likely past its target
            worth *= kind.late_worth
        quotas = self.settings.tenant_quotas
        if offer.tenant < len(quotas) and sum(quotas) > 0:
            if count:
                self.tenant_calls = [(1.0 - TENANT_FORGET) * seen for seen in self.tenant_calls]
                self.tenant_calls[offer.tenant] += TENANT_FORGET
            total = sum(self.tenant_calls)
            if total > TENANT_KNOWN:
                fair = quotas[offer.tenant] / sum(quotas)
                seen = max(1e-9, self.tenant_calls[offer.tenant] / total)
                over = max(0.0, 1.0 - fair / seen)
                worth *= 1.0 - over * (1.0 - self.settings.over_share_worth)
        return worth

    # Rules

    def may_send(self, switch: Switch, call: Call) -> bool:
        """What the rules allow: no draining switch, no cold one beyond its budget, no unsafe repeat."""
        entry = switch.entry
        if entry.state is not SwitchState.READY or not self.repeat_allowed(call, entry):
            return False
        if entry.started_at <= 0 or self.now - entry.started_at >= self.settings.cold_span:
            return True
        # cold: each proxy's part of what all may send over any tipping window, and no burst beyond it
        span = self.settings.tip_after
        while switch.sends and switch.sends[0] < self.now - span:
            switch.sends.popleft()
        usual = self.send_rate * span / 1000.0 / max(1, len(self.switches) - 1)
        budget = COLD_USE * self.settings.fall_multiple * self.settings.cold_share * usual
        return len(switch.sends) < max(1, int(budget))

    def repeat_allowed(self, call: Call, entry: SwitchEntry) -> bool:
        kind = self.settings.classes[call.offer.call_class]
        if call.may_have_run is None or kind.repeat is Repeat.FREELY:
            return True
        if kind.repeat is Repeat.NEVER:
            return False
        first, sent = call.may_have_run
        same = (
            kind.repeat_group is RepeatGroup.ALL
            or (kind.repeat_group is RepeatGroup.ZONE and first.zone == entry.zone)
            or (kind.repeat_group is RepeatGroup.EXCHANGE and first.exchange == entry.exchange)
        )
        return same and self.now - sent < kind.repeat_window

    def send(self, call: Call, switch_id: SwitchId) -> None:
        offer, switch = call.offer, self.switches[switch_id]
        rung = self.rung(offer.destination, switch_id)
        call.out_to, call.sent = switch_id, self.now
        call.attempts += 1
        rung.out[offer.call] = self.now
        rung.last_use = self.now
        if switch.free is not None:
            switch.free -= offer.width
        reached = {switch_id: switch}
        if switch.entry.exchange != offer.destination:
            call.tandem_tries += 1
            if self.settings.layout is Layout.NETWORK and (target := self.target_of(offer.destination)):
                reached[target] = self.switches[target]  # a set-up by tandem reaches it too
        for each in reached.values():
            each.sends.append(self.now)
            if len(each.sends) > SENDS_KEPT:
                each.sends.popleft()
        gap = min(RATE_SPAN, max(1.0, self.now - self.last_send))
        self.last_send = self.now
        self.send_rate += (1000.0 / gap - self.send_rate) * min(1.0, gap / RATE_SPAN)
        self.out.append(SetUp(offer.call, switch_id, max(1.0, call.due - self.now)))

    def detach(self, call: Call) -> None:
        if call.out_to is not None:
            rung = self.rung(call.offer.destination, call.out_to)
            if rung.out.pop(call.offer.call, None) is not None:
                rung.last_use = self.now
            call.out_to = None

    def refuse(self, call: Call) -> None:
        kind = self.settings.classes[call.offer.call_class]
        if call.may_have_run is not None and not (
            kind.repeat is Repeat.FREELY
            or (kind.repeat is Repeat.WITHIN_GROUP and kind.repeat_group is RepeatGroup.ALL)
        ):
            self.end_failed(call)  # a refusal would say that it never ran
            return
        self.forget(call.offer.call)
        self.out.append(Refuse(call.offer.call))

    def end_failed(self, call: Call) -> None:
        self.forget(call.offer.call)
        self.out.append(Fail(call.offer.call))

    def forget(self, call_id: int) -> None:
        call = self.calls.pop(call_id, None)
        if call is not None:
            self.detach(call)
            self.waiting.pop(call_id, None)

    # Small helpers

    def rung(self, destination: int, switch_id: SwitchId) -> Rung:
        key = (destination, switch_id)
        found = self.rungs.get(key)
        if found is None:
            found = self.rungs[key] = Rung()
        return found

    def direct_rung(self, destination: int) -> Rung:
        return self.rung(destination, self.target_of(destination) or 0)

    def target_of(self, exchange: int) -> SwitchId | None:
        """The switch that serves an exchange: of several, one that is ready and started last."""
        best: Switch | None = None
        for switch_id in self.at_exchange.get(exchange, ()):
            switch = self.switches[switch_id]
            key = (switch.entry.state is SwitchState.READY, switch.entry.started_at)
            if best is None or key > (best.entry.state is SwitchState.READY, best.entry.started_at):
                best = switch
        return best.entry.switch if best else None

    def set_timer(self, span: float, call_id: int) -> None:
        self.tags += 1
        self.timers[self.tags + 1] = call_id
        self.out.append(SetTimer(span, self.tags + 1))

    def look_at_waiting(self) -> None:
        """Give each waiting call another try, the worthiest first, then the oldest."""
        if not self.waiting:
            return
        order = sorted(self.waiting.values(), key=lambda c: (-self.worth(c.offer), c.arrived, c.offer.call))
        for call in order:
            self.advance(call)
