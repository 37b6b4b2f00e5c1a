"""The decisions of dapplehinge: which route a call takes, when it waits, when it is refused.

Types, events and actions are in `interface.py`; read that file first. What a cold switch may be sent is
derived in `cold_start.py`. A `Controller` is one signalling
proxy's: events and the clock go in, actions come out. It does no I/O and shares nothing.

Ordinary path (Gallay and Hongler's smart tasks, see docs/design.md): the ladder of a destination is the
direct route, then the tandems in a fixed order. A call takes the first rung whose delay semaphore is open,
and a shut one with probability p = mu / (lambda * product of (1 - p) of the shut rungs before) - epsilon.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from math import ceil, inf, sqrt
from random import Random
from typing import Any

from dapplehinge.cold_start import CarriedLoad, Turns
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
    PeerMessage,
    Refuse,
    Repeat,
    RepeatGroup,
    SetTimer,
    Settings,
    SetUp,
    ShutdownStarted,
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
PATH_TIMES = 1.6  # C is at least the way's own delay this many times: what the net takes is no queue
PATH_MOST = 4.0  # but at most this many C: a far end that is slow from the start must show
PATH_FORGET = 1.001  # growth of that delay with each call that stands: a way that lengthens is learnt
MU_SPANS = 4.0  # window of the service rate mu, in C: holds a few set-ups
RESERVE_ROOTS = 0.6  # trunk reservation in roots of the group size: two legs displace two direct calls
WAIT_SHARE = 0.6  # how long a call may wait at home for a route, as a share of its class target
CIRCUIT_WAIT_SHARE = 0.85  # the same where only a circuit lacks: once one frees the call stands fast
TURN_BACK_REST = 3000.0  # ms a tandem rests for one destination after turning a call back
TURN_BACK_DOUBLINGS = 4  # how often it may double while nothing gets through: the group beyond may be missing
ENGAGED_REST = 250.0  # ms a number rests after all its lines were engaged; doubles each time in a row
ENGAGED_REST_MOST = 4000.0  # ms: longest rest, well below the length of a call that frees a line
LITTLE_WORTH = 0.5  # share of the mean worth: below it a call gets no last circuit and no tandem
MOST_DOUBLINGS = 2  # a shut rung's rest grows to 4 C, well within the target: it must see the end of trouble
MIN_WAITING_PLACES = 64  # for calls that wait for a route to one destination; more if its group is larger
MAX_ENGAGED_NUMBERS = 4096  # remembered; callers may dial ever new ones
MIN_PRUNED_LOOKS = 1000  # entries of the agenda below which those of ended calls stay until they are due
WORTH_CALLS = 50  # calls over which the mean worth is learnt: some seconds of one proxy's traffic
MOST_FAVOUR = 2.0  # most that a call's worth may raise its spill share: p must still bound the feed
TENANT_FORGET = 0.01  # weight of the newest call in the tenants' shares: about a hundred calls count
TENANT_KNOWN = 0.2  # seen weight from which those shares are believed: some twenty calls
TANDEM_TRIES = 2  # tandem attempts of one call: each costs two processors work, also when it is turned back
COLD_USE = 1.0  # part of a cold switch's tolerable load that all proxies together plan to use
TURN_OPEN = 0.25  # how long a turn to send to a cold switch stays open, in tipping windows
MIN_WINDOW_TURNS = 1.0  # of all proxies in a tipping window: at a cold switch while no other one is known
NEAR_SPANS = 4.0  # how recent evidence of a direct rung must be, in C, to count when judging the near end
ASK_AGAIN = 0.1  # a failed subscription is asked for again after this share of the asking limit
DRAW_SHARE = 0.3  # a waiting call draws against p again after this share of C, while p is above 0
LIST_TAG = 1  # tag of the timer that asks for the list again; the calls' timers count up from it
DEADLINE_ROUNDS = 2.0  # rounds kept free before the end of a call's budget


@dataclass(slots=True)
class Rung:
    """One route to one destination, with its delay semaphore and the evidence for it."""

    out: dict[int, float] = field(default_factory=dict)  # call -> when its set-up was sent
    young: deque[tuple[float, int]] = field(default_factory=deque)  # not seen past C yet, oldest first
    good_sent: float = -1.0  # newest sending time of a set-up that stood within C
    bad_sent: float = -1.0  # newest sending time of one that did not, or was turned away
    last_use: float = -1.0
    failed: int = 0  # set-ups in a row that ended badly
    stood: deque[float] = field(default_factory=deque)
    turned_back: int = 0  # calls that the tandem turned back, while none got through yet; then -1
    rests_until: float = -1.0  # how long it is left alone for a turn-back
    path: float = 0.0  # the way's own delay: the shortest a set-up took that stood; 0: not known yet

    def shut(self, now: float, limit: float) -> bool:
        """Evidence counts by when a set-up was sent: the late end of an old one undoes nothing newer.

        A set-up still out shuts the rung as soon as C has passed; looking at use equals a timer.
        """
        allowed = self.allowed(limit)
        while self.young and now - self.young[0][0] > allowed:  # each is judged once, however many are out
            sent, call = self.young.popleft()
            if self.out.get(call) == sent:
                self.went_bad(sent)
        return self.bad_sent > self.good_sent and now <= self.opens(limit)

    def allowed(self, limit: float) -> float:
        """C as it holds here: never so short that the way alone takes it up.

        Guards against far ends that look slow since the net between is: there C alone would shut for good.
        """
        return max(limit, min(PATH_TIMES * self.path, PATH_MOST * limit))

    def opens(self, limit: float) -> float:
        """When a shut rung with nothing out opens by rest alone.

        Guards against a far end that takes or turns away all it gets: each further try in a row is made
        after twice the rest. It may hurt when such an end recovers at once: the rest is bounded.
        """
        if self.out:
            return inf  # the end of what is out will tell
        return self.last_use + limit * float(1 << min(MOST_DOUBLINGS, max(0, self.failed - 1)))

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
    kept_back: int = 0  # circuits that trunk reservation keeps for direct calls
    turns: Turns = field(default_factory=Turns)  # while it is cold

    def has_room(self, width: int, reserved: bool) -> bool:
        return self.free is None or self.free >= width + (self.kept_back if reserved else 0)


@dataclass(slots=True)
class Call:
    offer: CallOffered
    arrived: float
    due: float  # its final answer is given by then, some rounds before its budget ends
    worth: float = 0.0
    attempts: int = 0
    tandem_tries: int = 0
    out_to: SwitchId | None = None  # where its one attempt is
    rung: Rung | None = None  # and the rung it took
    sent: float = 0.0
    not_before: float = 0.0  # release awaited until then
    next_look: float = inf  # the earliest look at it that is entered, while it waits
    avoid: set[SwitchId] = field(default_factory=set)  # tandems that turned this call back
    may_have_run: tuple[SwitchEntry, float] | None = None  # first attempt that may have run


class Controller:
    """One signalling proxy's decisions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.switches: dict[SwitchId, Switch] = {}
        self.target: dict[int, SwitchId] = {}  # exchange -> the switch that serves it
        self.ladders: dict[tuple[int, int], list[SwitchId]] = {}  # tandems of a destination, in their order
        self.rungs: dict[tuple[int, SwitchId], Rung] = {}
        self.calls: dict[int, Call] = {}
        self.waiting: dict[int, dict[int, Call]] = {}  # destination -> calls that wait for a route to it
        self.arrivals: dict[int, deque[float]] = {}
        self.tenant_calls = [0.0] * len(settings.tenant_quotas)
        self.all_quotas = sum(settings.tenant_quotas)
        self.engaged: dict[int, tuple[float, float]] = {}  # number -> rest, and when it ends
        self.mean_worth = 0.0
        self.carried = CarriedLoad(0.0)
        self.warm = 0  # switches at other exchanges that are ready and not cold
        self.warm_until = inf  # when the next cold one counts among them
        self.agenda: list[tuple[float, int]] = []  # heap of when to look at which call again
        self.prune_above = MIN_PRUNED_LOOKS
        self.timer_at = inf  # when the newest timer falls due; older ones are ignored
        self.timer_tag = LIST_TAG
        self.opens = inf  # when time alone may change the answer that choose() gave
        self.pressed: tuple[float, bool] = (-1.0, False)  # the near end, as it was judged then
        self.limit = DELAY_SHARE * min((c.target for c in settings.classes), default=2000.0)
        self.slack = DEADLINE_ROUNDS * settings.round_span
        self.answer_by = inf  # when a shutdown ends all calls
        self.out: list[Action] = []
        self.now = 0.0
        self.handlers: dict[type, Callable[[Any], None]] = {
            SwitchReport: self.reported,
            CallOffered: self.offered,
            CallStands: self.stands,
            AttemptEnded: self.ended,
            TimerDue: self.timer,
            CallerGone: lambda event: self.forget(event.call),
            SwitchList: self.listed,
            ShutdownStarted: self.shutting_down,
            PeerMessage: lambda event: None,  # proxies tell each other nothing yet
        }

    # Events

    def start(self, now: float) -> list[Action]:
        """What a proxy does as it comes up."""
        self.now, self.out, self.carried = now, [], CarriedLoad(now)
        if self.settings.must_ask_for_list:
            self.out.append(Subscribe())
        return self.out

    def handle(self, now: float, event: Event) -> list[Action]:
        handler = self.handlers.get(type(event))
        if handler is None:
            raise TypeError(f"not an event of dapplehinge.interface: {type(event).__name__}")
        self.now, self.out = now, []
        handler(event)
        self.set_timer()
        return self.out

    def offered(self, offer: CallOffered) -> None:
        if offer.call in self.calls:
            return
        call = Call(offer, self.now, min(self.now + offer.budget - self.slack, self.answer_by))
        self.calls[offer.call] = call
        call.worth = self.worth(offer)
        if self.number_rests(offer.number):
            self.refuse(call)
            return
        if not offer.in_transit:
            self.note_arrival(offer.destination)  # it comes to the ladder and may draw against p
        self.look_again(call, call.due)
        self.advance(call)

    def note_arrival(self, destination: int) -> None:
        past = self.arrivals.get(destination)
        if past is None:
            if destination not in self.target:
                return  # no route: its rate is never asked for, and callers may name any
            past = self.arrivals[destination] = deque(maxlen=RATE_CALLS + 1)
        past.append(self.now)

    def stands(self, event: CallStands) -> None:
        call = self.calls.get(event.call)
        if call is None or call.rung is None or call.out_to != event.switch:
            return
        rung, took = call.rung, self.now - call.sent
        rung.path = min(took, PATH_FORGET * rung.path) if rung.path else took
        if took <= rung.allowed(self.limit):
            rung.good_sent = max(rung.good_sent, call.sent)
            rung.stood.append(self.now)
            rung.service_rate(self.now, MU_SPANS * self.limit)  # lets go of what its window has passed
            rung.failed = 0
        else:
            rung.went_bad(call.sent)
        rung.turned_back = -1
        known = self.switches.get(event.switch)
        if known is not None and not self.is_cold(known.entry):
            self.carried.advance(self.now, self.warm_switches())
            self.carried.stood()
        self.engaged.pop(call.offer.number, None)
        self.forget(event.call)
        self.wake(call.offer.destination)

    def number_rests(self, number: int) -> bool:
        """Guards against many callers dialling one number whose lines are all engaged.

        Each such try costs every processor on the way and can't stand. One try is sent after each rest. It
        holds against any number that keeps failing so; it may hurt where lines free faster than the rest.
        """
        _, until = self.engaged.get(number, (0.0, 0.0))
        return self.now < until

    def number_tried(self, number: int) -> None:
        """Its one try is out: the next one comes after another rest."""
        rest, _ = self.engaged.get(number, (0.0, 0.0))
        if rest:
            self.engaged[number] = (rest, self.now + rest)

    def rest_number(self, number: int) -> None:
        before, _ = self.engaged.pop(number, (ENGAGED_REST / 2, 0.0))
        rest = min(ENGAGED_REST_MOST, 2 * before)
        self.engaged[number] = (rest, self.now + rest)
        if len(self.engaged) > MAX_ENGAGED_NUMBERS:
            del self.engaged[next(iter(self.engaged))]  # the one that was found engaged longest ago

    def ended(self, event: AttemptEnded) -> None:
        call = self.calls.get(event.call)
        if call is None or call.rung is None:
            return
        destination, switch, sent, rung = call.offer.destination, event.switch, call.sent, call.rung
        outcome = event.outcome
        refused = event.cause in (Cause.TURNED_BACK, Cause.TURNED_BACK_FULL, Cause.PROCESSOR_FULL)
        if outcome in (Outcome.TIMED_OUT, Outcome.UNREACHABLE, Outcome.CUT) or (
            outcome is Outcome.REJECTED and refused
        ):
            rung.went_bad(sent)
            rung.failed += 1
        if event.cause is Cause.TURNED_BACK_FULL:  # the destination is at fault, not the tandem
            direct = self.rung(destination, self.target.get(destination, 0))
            direct.went_bad(sent)
            direct.last_use = self.now
        if event.cause is Cause.TURNED_BACK:
            # guards against calls sent again and again over a tandem whose group beyond is full or missing:
            # it is believed for longer than a late answer, as a circuit frees more slowly than a queue drains
            doublings = min(TURN_BACK_DOUBLINGS, max(0, rung.turned_back))
            rung.rests_until = self.now + TURN_BACK_REST * 2**doublings
            if rung.turned_back >= 0:  # nothing got through yet, so the group beyond may be missing
                rung.turned_back += 1
        self.detach(call)
        if event.concluded:
            self.forget(event.call)
            self.wake(destination)
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
                self.rest_number(number)
            self.end_failed(call)
        else:
            if outcome is not Outcome.NOT_SENT:
                call.avoid.add(switch)
            self.advance(call)
        self.wake(destination)

    def reported(self, event: SwitchReport) -> None:
        switch = self.switches.get(event.switch)
        if switch is None:
            return
        before = switch.free
        for load, value in event.report:
            if load is Load.FREE_CIRCUITS:
                switch.free = int(value)
            elif load is Load.GROUP_SIZE and value != switch.size:
                switch.size = int(value)
                self.ladders.clear()
                switch.kept_back = ceil(RESERVE_ROOTS * sqrt(switch.size))
        if switch.free is not None and self.waiting and (before is None or switch.free > before):
            self.wake(switch.entry.exchange)
            if (before is None or before <= switch.kept_back) and switch.free > switch.kept_back:
                for destination in list(self.waiting):  # it has become a tandem with room
                    self.wake(destination)

    def timer(self, event: TimerDue) -> None:
        if event.tag == LIST_TAG:
            self.out.append(Subscribe())
            return
        if event.tag == self.timer_tag:  # by its tag: a clock that rounds may bring it a hair early
            self.timer_at = inf
        while self.agenda and self.agenda[0][0] <= self.now:
            call = self.calls.get(heappop(self.agenda)[1])
            if call is None:
                continue
            call.next_look = inf
            if call.rung is None:
                self.advance(call)
            elif self.now >= call.due:
                if self.settings.may_cancel:
                    self.out.append(Cancel(call.offer.call, call.attempts - 1))
                call.rung.went_bad(call.sent)
                self.end_failed(call)

    def shutting_down(self, event: ShutdownStarted) -> None:
        """Each call ends by `answer_by` as it ends at its own deadline; what is offered later is refused."""
        self.answer_by = event.answer_by
        for call in self.calls.values():
            if call.due > self.answer_by:
                call.due = self.answer_by
                self.look_again(call, call.due)

    def listed(self, event: SwitchList) -> None:
        if event.kind is ListKind.FAILED:
            # guards against a deaf proxy: asked for again, but not at once, as discovery may be full
            self.out.append(SetTimer(ASK_AGAIN * self.settings.ask_within, LIST_TAG))
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
                self.switches[entry.switch].entry = entry
            else:
                self.switches[entry.switch] = Switch(entry)
        self.carried.advance(self.now, self.warm_switches())
        self.warm_until = -inf  # counted anew when it is asked for
        # of several switches at one exchange, one that is ready and started last serves it
        best: dict[int, SwitchEntry] = {}
        for switch in self.switches.values():
            entry = switch.entry
            other = best.get(entry.exchange)
            key = (entry.state is SwitchState.READY, entry.started_at)
            if other is None or key > (other.state is SwitchState.READY, other.started_at):
                best[entry.exchange] = entry
        self.target = {place: entry.switch for place, entry in sorted(best.items())}
        self.ladders.clear()
        # what is known of switches that left goes with them
        self.rungs = {key: rung for key, rung in self.rungs.items() if key[1] in self.switches}
        for destination in list(self.waiting):
            self.wake(destination)

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
                self.look_again_waiting(call, call.not_before)
            return
        switch_id = self.choose(call)
        if switch_id is not None:
            self.stop_waiting(call)
            self.send(call, switch_id)
        elif (
            offer.in_transit
            or offer.destination == self.settings.own_exchange  # no wait brings a route to it
            or self.now >= (patience := self.wait_until(call))
        ):
            self.refuse(call)
        elif self.take_waiting_place(call):
            self.look_again_waiting(call, min(patience, self.opens + self.settings.round_span))
        else:
            self.refuse(call)

    def take_waiting_place(self, call: Call) -> bool:
        """False: as many wait for a route to its destination already, and none is worth less.

        Guards against more calls than can ever get a circuit while they wait: each of them is looked at
        whenever one frees. It may hurt where calls end so fast that a circuit serves several waiting ones.
        """
        queue = self.waiting.setdefault(call.offer.destination, {})
        switch = self.switches.get(self.target.get(call.offer.destination, 0))
        places = max(MIN_WAITING_PLACES, switch.size if switch else 0)
        if call.offer.call not in queue and len(queue) >= places:
            least = min(queue.values(), key=lambda c: (c.worth, -c.arrived, -c.offer.call))
            if call.worth <= least.worth:
                return False
            self.refuse(least)
        self.waiting.setdefault(call.offer.destination, {})[call.offer.call] = call
        return True

    def wait_until(self, call: Call) -> float:
        """Until when a call waits at home: longer for a circuit than for a processor, which may stay slow."""
        offer, direct = call.offer, self.target.get(call.offer.destination)
        if direct is None:
            return self.now
        room = self.switches[direct].has_room(offer.width, False)
        share = WAIT_SHARE if room else CIRCUIT_WAIT_SHARE
        return call.arrived + min(share * self.settings.classes[offer.call_class].target, offer.budget / 2)

    def wake(self, destination: int) -> None:
        """Give the calls that wait for a destination another try, the worthiest first, then the oldest."""
        queue = self.waiting.get(destination)
        if not queue:
            return
        for call in sorted(queue.values(), key=lambda c: (-c.worth, c.arrived, c.offer.call)):
            if call.rung is None and call.offer.call in self.calls:
                self.advance(call)

    def choose(self, call: Call) -> SwitchId | None:
        """The rung that the call takes now, if any; `opens` is when time alone may change the answer."""
        offer, now, self.opens = call.offer, self.now, inf
        direct = self.target.get(offer.destination)
        if direct is None or offer.destination == self.settings.own_exchange:
            return None
        switch = self.switches[direct]
        blocked = not self.may_send(switch, call)
        if blocked:
            if self.is_cold(switch.entry):
                self.opens = self.turn(switch)[1]
            if self.settings.layout is Layout.NETWORK:
                return None  # a tandem would only carry the call to the same draining or cold switch
        little = call.worth < LITTLE_WORTH * self.mean_worth
        climbed = 1.0  # product of (1 - p) of the shut rungs passed
        rate = -1.0
        favour = min(MOST_FAVOUR, call.worth / self.mean_worth) if self.mean_worth else 1.0
        rung = self.rung(offer.destination, direct)
        # trunk reservation: spilled, transit and low-worth calls leave the last circuits
        if not blocked and switch.has_room(offer.width, offer.in_transit or little):
            if not rung.shut(now, self.limit):
                return direct
            if offer.in_transit:
                return None
            self.opens = rung.opens(self.limit)
            rate = self.call_rate(offer.destination)
            share = self.spill_share(rung, rate, climbed)
            if share > 0.0:
                self.opens = min(self.opens, now + DRAW_SHARE * self.limit)
            if self.random.random() < share * favour:
                return direct
            climbed *= 1.0 - share
        if offer.in_transit or little or not self.may_spill(call, rung):
            return None
        for switch_id in self.tandems(offer):
            switch = self.switches[switch_id]
            if switch_id in call.avoid or not switch.has_room(offer.width, True):
                continue
            rung = self.rung(offer.destination, switch_id)
            if now < rung.rests_until:
                self.opens = min(self.opens, rung.rests_until)
                continue
            if not self.may_send(switch, call) or not self.open_tandem(switch):
                continue
            if not rung.shut(now, self.limit):
                return switch_id
            if rate < 0:
                rate = self.call_rate(offer.destination)
            share = self.spill_share(rung, rate, climbed)
            if self.random.random() < share * favour:
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

    def tandems(self, offer: CallOffered) -> list[SwitchId]:
        pools = self.settings.layout is Layout.POOLS
        key = (offer.destination, offer.call_class if pools else 0)
        ladder = self.ladders.get(key)
        if ladder is None:
            if pools:
                places = [p for p in self.settings.classes[offer.call_class].pools if p != offer.destination]
            else:
                own = self.settings.own_exchange
                places = [place for place in self.target if place not in (own, offer.destination)]
                if places:  # each pair starts its fixed order elsewhere, so that spilled calls spread
                    turn = (own + offer.destination) % len(places)
                    places = places[turn:] + places[:turn]
                # a large group leads to a large exchange, likelier to have a group to the destination
                places.sort(key=lambda place: -self.switches[self.target[place]].size)
            ladder = self.ladders[key] = [self.target[place] for place in places if place in self.target]
        advised = self.target.get(offer.advised)
        if advised in ladder and advised != ladder[0]:
            return [advised] + ladder  # met a second time in its old place, where nothing has changed
        return ladder

    def may_spill(self, call: Call, direct: Rung) -> bool:
        """Admission beside the ladder: an alternative route helps only where circuits lack."""
        if self.settings.layout is Layout.POOLS:
            return True
        if call.tandem_tries >= TANDEM_TRIES:
            return False
        if direct.shut(self.now, self.limit):
            self.opens = min(self.opens, direct.opens(self.limit))
            return False
        if self.near_pressed():
            self.opens = self.now + self.limit
            return False
        return True

    def open_tandem(self, tandem: Switch) -> bool:
        if self.settings.layout is Layout.POOLS:
            return True
        if self.is_cold(tandem.entry):
            return False  # what it bears is left to the calls that have no other way
        own = self.rungs.get((tandem.entry.exchange, tandem.entry.switch))
        if own is None or not own.shut(self.now, self.limit):
            return True
        self.opens = min(self.opens, own.opens(self.limit))
        return False

    def near_pressed(self) -> bool:
        """Direct rungs to many destinations shut together: the trouble is near, so nothing spills."""
        if self.pressed[0] != self.now:
            used = shut = 0
            for place, switch_id in self.target.items():
                rung = self.rungs.get((place, switch_id))
                if rung and (rung.out or self.now - rung.last_use < NEAR_SPANS * self.limit):
                    used += 1
                    shut += rung.shut(self.now, self.limit)
            self.pressed = (self.now, shut >= 2 and 2 * shut >= used)
        return self.pressed[1]

    # Worth

    def worth(self, offer: CallOffered) -> float:
        """Expected worth of a call; a tenant beyond its share of the quotas counts as partly over."""
        kind = self.settings.classes[offer.call_class]
        worth = kind.worth
        if offer.redialled and not offer.cut_before:  # its first try began long ago: likely past its target
            worth *= kind.late_worth
        quotas = self.settings.tenant_quotas
        if offer.tenant < len(quotas) and self.all_quotas > 0:
            total = sum(self.tenant_calls)
            if total > TENANT_KNOWN:
                fair = quotas[offer.tenant] / self.all_quotas
                seen = max(1e-9, self.tenant_calls[offer.tenant] / total)
                over = max(0.0, 1.0 - fair / seen)
                worth *= 1.0 - over * (1.0 - self.settings.over_share_worth)
        return worth

    def note_first_attempt(self, call: Call) -> None:
        """Learn the mean worth and the tenants' shares from calls that go somewhere.

        Guards against set-ups that are refused, which anyone can offer in any number: they moved what the
        others' calls count for. It may hurt where one class or tenant is refused nearly always.
        """
        offer = call.offer
        if offer.in_transit:
            return
        gain = call.worth - self.mean_worth
        self.mean_worth += gain / WORTH_CALLS if self.mean_worth else gain
        if offer.tenant < len(self.tenant_calls):
            self.tenant_calls = [(1.0 - TENANT_FORGET) * seen for seen in self.tenant_calls]
            self.tenant_calls[offer.tenant] += TENANT_FORGET

    # Rules

    def may_send(self, switch: Switch, call: Call) -> bool:
        """What the rules allow: no draining switch, no cold one beyond its budget, no unsafe repeat."""
        entry = switch.entry
        if entry.state is not SwitchState.READY or not self.repeat_allowed(call, entry):
            return False
        if not self.is_cold(entry):
            return True
        return self.turn(switch)[0] is not None

    def is_cold(self, entry: SwitchEntry) -> bool:
        return entry.started_at > 0 and self.now - entry.started_at < self.settings.cold_span

    def turn(self, switch: Switch) -> tuple[int | None, float]:
        """The open turn to send a cold switch one set-up, if any, and when the next one opens.

        Guards against all proxies together pushing a cold processor over, however many they are. What it
        bears in a tipping window is shared out as turns, one set-up each, which lapse when not used: no
        window is touched by more turns than it bears, as the proxies take them in the order of their
        positions. It holds for many cold at once too, and may hurt where calls are so few that turns lapse.
        """
        s, now = self.settings, self.now
        started = switch.entry.started_at
        self.carried.advance(now, self.warm_switches())
        grown = min(1.0, s.cold_share + (1.0 - s.cold_share) * (now - started) / s.cold_span)
        open_for = TURN_OPEN * s.tip_after
        bears = COLD_USE * s.fall_multiple * grown * self.carried.rate  # for one proxy
        bears = max(bears, MIN_WINDOW_TURNS / (s.tip_after * max(1, s.proxies)))
        pace = bears * s.tip_after / (s.tip_after + open_for)
        return switch.turns.current(now, started, pace, s.position / max(1, s.proxies), open_for)

    def warm_switches(self) -> int:
        """Switches that this proxy may send to and that are not cold."""
        if self.now >= self.warm_until:
            own = self.settings.own_exchange
            entries = [each.entry for each in self.switches.values()]
            ready = [e for e in entries if e.state is SwitchState.READY and e.exchange != own]
            cold = [entry for entry in ready if self.is_cold(entry)]
            self.warm = len(ready) - len(cold)
            self.warm_until = min((e.started_at + self.settings.cold_span for e in cold), default=inf)
        return self.warm

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
        if not call.attempts:
            self.note_first_attempt(call)
        self.number_tried(offer.number)
        call.out_to, call.sent = switch_id, self.now
        call.rung = rung = self.rung(offer.destination, switch_id)
        call.attempts += 1
        rung.out[offer.call] = self.now
        rung.young.append((self.now, offer.call))
        rung.last_use = self.now
        if switch.free is not None:
            switch.free -= offer.width
        reached = [switch]
        if switch.entry.exchange != offer.destination:
            call.tandem_tries += 1
            if self.settings.layout is Layout.NETWORK and (target := self.target.get(offer.destination)):
                reached.append(self.switches[target])  # a set-up by tandem reaches it too
        for each in reached:
            if self.is_cold(each.entry) and (turn := self.turn(each)[0]) is not None:
                each.turns.spent = turn
        self.out.append(SetUp(offer.call, switch_id, max(1.0, call.due - self.now)))

    def detach(self, call: Call) -> None:
        if call.rung is not None:
            if call.rung.out.pop(call.offer.call, None) is not None:
                call.rung.last_use = self.now
            call.rung = call.out_to = None

    def refuse(self, call: Call) -> None:
        kind = self.settings.classes[call.offer.call_class]
        if call.may_have_run is not None and not (
            kind.repeat is Repeat.FREELY
            or (kind.repeat is Repeat.WITHIN_GROUP and kind.repeat_group is RepeatGroup.ALL)
        ):
            self.end_failed(call)  # a refusal would say that it never ran
            return
        self.forget(call.offer.call)
        self.out.append(Refuse(call.offer.call, self.stay_away(call)))

    def stay_away(self, call: Call) -> float:
        """How long its caller is asked to keep away: the target, since sooner the same is in the way.

        Guards against redials that come at once and take up the processor that has no time for calls. It
        may hurt where the way is free in a moment: such a call is late then.
        """
        target = self.settings.classes[call.offer.call_class].target
        return 0.0 if call.offer.in_transit else min(target, self.settings.stay_away_heeded)

    def end_failed(self, call: Call) -> None:
        self.forget(call.offer.call)
        self.out.append(Fail(call.offer.call))

    def forget(self, call_id: int) -> None:
        call = self.calls.pop(call_id, None)
        if call is not None:
            self.detach(call)
            self.stop_waiting(call)

    def stop_waiting(self, call: Call) -> None:
        queue = self.waiting.get(call.offer.destination)
        if queue and queue.pop(call.offer.call, None) and not queue:
            del self.waiting[call.offer.destination]

    # Small helpers

    def rung(self, destination: int, switch_id: SwitchId) -> Rung:
        key = (destination, switch_id)
        found = self.rungs.get(key)
        if found is None:
            found = self.rungs[key] = Rung()
        return found

    def look_again(self, call: Call, when: float) -> None:
        heappush(self.agenda, (when, call.offer.call))
        if len(self.agenda) > self.prune_above:
            self.agenda = [entry for entry in self.agenda if entry[1] in self.calls]
            heapify(self.agenda)
            self.prune_above = max(MIN_PRUNED_LOOKS, 2 * len(self.agenda))

    def look_again_waiting(self, call: Call, when: float) -> None:
        """The same for a call without an attempt out: the earliest look brings the next one."""
        if when < call.next_look:
            call.next_look = when
            self.look_again(call, when)

    def set_timer(self) -> None:
        """One timer for the earliest look at a call that is still here; a new one only if that is earlier."""
        while self.agenda and self.agenda[0][1] not in self.calls:
            heappop(self.agenda)
        if self.agenda and self.agenda[0][0] < self.timer_at:
            self.timer_at = max(self.now, self.agenda[0][0])
            self.timer_tag += 1
            self.out.append(SetTimer(self.timer_at - self.now, self.timer_tag))
