"""The call core: one box's calls from offer to release, without I/O.

Theory of operation. A front offers a call; the dial plan finds its destination and class; the one
`Controller` decides. Its `SetUp` passes the interlock, seizes a circuit in the ledger and becomes `Place`;
what the front then tells of the leg goes back to the module as events. A call is in one of

    SETTING_UP   the module has it: it waits, or its one attempt is out
    STANDS       the far end rings (RINGING) or answered (ANSWER): the module has let go of it, voice may flow
    over         no longer in the table

"Stands" is the first RINGING or ANSWER of the attempt. ACCEPT and PROCEEDING say only that a processor took
the set-up; what follows RINGING is human time and is no measure of a processor.

Each verb runs overdue timers first, so a late event can't outlive a deadline that passed before it. Every
verb returns the actions to carry out, in order. `next_due` says when `tick` is wanted. Times are ms.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum, auto
from math import inf

from dapplehinge import interface as api
from dapplehinge.calls import causes
from dapplehinge.calls.actions import Action, Drop, End, Final, Place, TellAnswered, TellRinging
from dapplehinge.calls.agenda import Agenda
from dapplehinge.calls.dialplan import Destination
from dapplehinge.calls.interlock import Interlock, Ruling
from dapplehinge.calls.network import Network
from dapplehinge.calls.trunks import Ledger
from dapplehinge.iax2.codes import CauseCode
from dapplehinge.rules import Controller

ENGAGED_KNOWN = 4000.0
"""ms for which a number that was found engaged explains a refusal; the module rests it no longer."""

NORMAL = int(CauseCode.NORMAL_CLEARING)


class Stage(Enum):
    SETTING_UP = auto()
    STANDS = auto()


class _Due(Enum):
    MODULE = auto()  # a timer of the module's
    ATTEMPT = auto()  # an attempt's time-out
    HELD = auto()  # a set-up that the interlock holds back
    TRUNKS = auto()  # a group that is held down gets a circuit back


@dataclass(frozen=True, slots=True)
class Offer:
    """A call as a front offers it."""

    number: str
    kind: int  # class of call of its origin
    tenant: int = 0
    in_transit: bool = False
    budget: float | None = None  # ms left, where the proxy that sent it in transit says; None: by its class
    redialled: bool = False
    age: float = 0.0  # ms that the box has known of the call, from before it was taken
    found: Destination | None = None  # by the dial plan, where the front asked it already


@dataclass(frozen=True, slots=True)
class Ended:
    """How the leg of an attempt ended, beside its cause."""

    lost: bool = False  # the far end fell silent
    invalid: bool = False  # the far end knows the leg no more
    rejected: bool = True  # refused before it was taken; False: taken, then released
    doubtful: float | None = None  # ms since a doubtful end beyond a tandem, as it says


@dataclass(slots=True)
class Call:
    number: str
    destination: int
    in_transit: bool
    arrived: float
    stage: Stage = Stage.SETTING_UP
    attempts: int = 0
    out: int = -1  # the attempt that is out; -1: none
    to: int = -1  # the exchange it went to, direct or as tandem
    switch: int = 0
    placed: float = 0.0
    until: float = inf  # when the far end's time for the attempt is over
    deadline: float = inf  # when the time of the call as a whole is over
    accepted: bool = False
    answered: bool = False
    doubtful_end: float = -inf
    held: api.SetUp | None = None
    last: causes.Verdict | None = None


class CallCore:
    def __init__(self, network: Network, seed: int, now: float) -> None:
        self.network = network
        settings = network.settings
        self.controller = Controller(settings, seed)
        self.calls: dict[int, Call] = {}
        self.ledger = Ledger({group.to: group.circuits for group in network.groups})
        self.interlock = Interlock(settings.guard, settings.stop_sending_within, network.guard_margin)
        self.place_of: dict[int, int] = {}  # switch -> exchange
        self.switch_at: dict[int, int] = {}  # exchange -> the switch listed last as ready there
        self.told_free: dict[int, int] = {}  # exchange -> free circuits as the module counts them
        self.engaged: dict[str, float] = {}
        self.draining = False
        self.out: list[Action] = []
        self.now = now
        self._agenda: Agenda[tuple[_Due, int, int]] = Agenda()
        # calls that ring -> until when they may: the limit is one for all, so they stand in its order; an
        # entry each in the agenda would outlive most calls by minutes
        self._ringing: dict[int, float] = {}
        self._trunks_due = inf
        self._events: deque[api.Event] = deque()
        self._busy = False
        self._carry(self.controller.start(now))

    # Verbs

    def listed(self, change: api.SwitchList, now: float) -> list[Action]:
        """The directory told of switches."""
        self._begin(now)
        if change.kind in (api.ListKind.WHOLE, api.ListKind.SAVED):
            named = {entry.switch for entry in change.entries}
            for switch in self.place_of:
                if switch not in named:
                    self.interlock.told(switch, False, now)
        for entry in change.entries:
            self.place_of[entry.switch] = entry.exchange
            ready = entry.state is api.SwitchState.READY
            self.interlock.told(entry.switch, ready, now)
            if ready:
                self.switch_at[entry.exchange] = entry.switch
            elif entry.state is api.SwitchState.GONE and self.switch_at.get(entry.exchange) != entry.switch:
                del self.place_of[entry.switch]
        self._tell(change)
        self.told_free.clear()  # an entry that is new starts without knowledge of its group
        for to in self.switch_at:
            self._report(to)
        return self._done()

    def offered(self, call: int, offer: Offer, now: float) -> list[Action]:
        self._begin(now)
        found = offer.found or self.network.dial_plan.find(offer.number)
        if found is None:
            return self._turned_away(call, CauseCode.UNALLOCATED_NUMBER, "no such number", Final.FAILED)
        if found.exchange == self.network.settings.own_exchange:
            return self._turned_away(
                call, CauseCode.NO_ROUTE_TO_DESTINATION, "no trunk leads to the own exchange", Final.FAILED
            )
        if self.draining:
            return self._turned_away(call, CauseCode.SWITCH_CONGESTION, "closing down", Final.REFUSED)
        if offer.budget is not None and offer.budget <= 0.0:
            # its sender has gone on, or is about to
            return self._turned_away(
                call, CauseCode.NO_CIRCUIT_AVAILABLE, "turned back: it came too late", Final.REFUSED
            )
        kind = found.kind if found.kind is not None else offer.kind
        budget = self.network.kinds[kind].give_up - self.network.answer_margin - offer.age
        if offer.budget is not None:
            budget = min(budget, offer.budget)
        budget = max(1.0, budget)
        self.calls[call] = Call(
            offer.number, found.exchange, offer.in_transit, now, deadline=self.now + budget
        )
        self._tell(
            api.CallOffered(
                call=call,
                call_class=kind,
                destination=found.exchange,
                budget=budget,
                in_transit=offer.in_transit,
                redialled=offer.redialled,
                tenant=offer.tenant,
                number=int(offer.number) if offer.number.isdecimal() and len(offer.number) < 19 else 0,
            )
        )
        return self._done()

    def accepted(self, call: int, attempt: int, now: float) -> list[Action]:
        """The far end took the set-up (ACCEPT); it does not stand yet."""
        self._begin(now)
        entry = self._out(call, attempt)
        if entry is not None:
            entry.accepted = True
        return self._done()

    def rings(self, call: int, attempt: int, now: float) -> list[Action]:
        self._begin(now)
        entry = self._out(call, attempt)
        if entry is not None and entry.stage is Stage.SETTING_UP:
            self._stands(call, entry)
            self.out.append(TellRinging(call, attempt))
            self._ringing[call] = self.now + self.network.ring_limit
        return self._done()

    def answered(self, call: int, attempt: int, now: float) -> list[Action]:
        self._begin(now)
        entry = self._out(call, attempt)
        if entry is not None and not entry.answered:
            if entry.stage is Stage.SETTING_UP:
                self._stands(call, entry)
            entry.answered = True
            self._ringing.pop(call, None)
            self.out.append(TellAnswered(call, attempt))
        return self._done()

    def ended(
        self, call: int, attempt: int, cause: int, now: float, how: Ended | None = None
    ) -> list[Action]:
        """The leg of an attempt ended by the far end, or by its silence."""
        self._begin(now)
        entry = self._out(call, attempt)
        if entry is None:
            return self._done()
        if entry.stage is Stage.STANDS:
            self._forget(call, entry)
            self.out.append(End(call, cause or NORMAL, "ended by the far end", Final.CLEARED))
            return self._done()
        tandem = entry.to != entry.destination
        how = how or Ended()
        may_have_run = entry.accepted or not how.rejected
        verdict = causes.verdict(cause, tandem, may_have_run, how.lost, how.invalid)
        if verdict.outcome is api.Outcome.LINE_BUSY:
            self._found_engaged(entry.number)
        if tandem and how.doubtful is not None:
            entry.doubtful_end = max(entry.doubtful_end, now - max(0.0, how.doubtful))
        self._attempt_over(call, entry, verdict)
        if tandem and how.lost:
            # it may live and have the call out still: until its time is over nobody can say
            entry.doubtful_end = max(entry.doubtful_end, entry.until)
        if verdict.concluded and call in self.calls:
            del self.calls[call]
            self.out.append(End(call, cause, "refused by the far end", Final.FAILED))
        return self._done()

    def caller_gone(self, call: int, now: float) -> list[Action]:
        """The caller hung up, or its leg was lost: nothing more is sent for the call but releases."""
        self._begin(now)
        entry = self.calls.get(call)
        if entry is not None:
            if entry.out >= 0:
                self.out.append(Drop(call, entry.out, NORMAL))
            setting_up = entry.stage is Stage.SETTING_UP
            self._forget(call, entry)
            if setting_up:
                self._tell(api.CallerGone(call))
        return self._done()

    def end_all(self, now: float) -> list[Action]:
        """The drain's limit is reached: end what is left, each call with one answer."""
        self._begin(now)
        for call in list(self.calls):
            entry = self.calls[call]
            if entry.out >= 0:
                self.out.append(Drop(call, entry.out, NORMAL))
            stood = entry.stage is Stage.STANDS
            self._forget(call, entry)
            if not stood:
                self._tell(api.CallerGone(call))
            final = Final.CLEARED if stood else Final.FAILED
            self.out.append(End(call, CauseCode.TEMPORARY_FAILURE, "closing down", final))
        return self._done()

    def tick(self, now: float) -> list[Action]:
        self._begin(now)
        return self._done()

    @property
    def next_due(self) -> float:
        ringing = next(iter(self._ringing.values()), inf)
        return min(self._agenda.due, ringing)

    # What the verbs share

    def _begin(self, now: float) -> None:
        self.now = max(self.now, now)
        for _, (what, first, second) in self._agenda.ready(self.now):
            self._overdue(what, first, second)
        while self._ringing and next(iter(self._ringing.values())) <= self.now:
            self._rang_too_long()

    def _done(self) -> list[Action]:
        out, self.out = self.out, []
        return out

    def _turned_away(self, call: int, cause: CauseCode, text: str, final: Final) -> list[Action]:
        self.out.append(End(call, cause, text, final))
        return self._done()

    def _overdue(self, what: _Due, first: int, second: int) -> None:
        if what is _Due.MODULE:
            self._tell(api.TimerDue(first))
            return
        if what is _Due.TRUNKS:
            self._trunks_due = inf
            for to in self.ledger.groups:
                self._report(to)
            self._recover()
            return
        entry = self.calls.get(first)
        if entry is None:
            return
        if what is _Due.HELD:
            held, entry.held = entry.held, None
            if held is not None:
                self._set_up(held)
        elif entry.out == second:
            if what is _Due.ATTEMPT and entry.stage is Stage.SETTING_UP:
                self.out.append(Drop(first, second, CauseCode.RECOVERY_ON_TIMER_EXPIRY))
                self._attempt_over(first, entry, causes.Verdict(api.Outcome.TIMED_OUT, api.Cause.NONE))

    def _found_engaged(self, number: str) -> None:
        """Keep that for a refusal's explanation, and let go of those that explain nothing any more."""
        engaged = self.engaged
        engaged.pop(number, None)
        engaged[number] = self.now
        while self.now - engaged[next(iter(engaged))] > ENGAGED_KNOWN:
            del engaged[next(iter(engaged))]

    def _rang_too_long(self) -> None:
        call = next(iter(self._ringing))
        entry = self.calls[call]
        self.out.append(Drop(call, entry.out, CauseCode.NO_ANSWER))
        self._forget(call, entry)
        self.out.append(End(call, CauseCode.NO_ANSWER, "no answer", Final.CLEARED))

    def _at(self, due: float, what: _Due, first: int, second: int = 0) -> None:
        self._agenda.at(due, (what, first, second))

    def _out(self, call: int, attempt: int) -> Call | None:
        """The call whose attempt that is out is this one; late words of others are nobody's."""
        entry = self.calls.get(call)
        return entry if entry is not None and entry.out == attempt else None

    def _tell(self, event: api.Event) -> None:
        """Tell the module; what it answers may give rise to further events, told in their order."""
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._carry(self.controller.handle(self.now, self._events.popleft()))
        finally:
            self._busy = False

    def _carry(self, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.SetTimer):
                self._at(self.now + action.span, _Due.MODULE, action.tag)
            elif isinstance(action, api.SetUp):
                self._set_up(action)
            elif isinstance(action, api.Refuse | api.Fail):
                self._refused(action)
            elif isinstance(action, api.Cancel):
                entry = self._out(action.call, action.attempt)
                if entry is not None:
                    self.out.append(Drop(action.call, action.attempt, CauseCode.RECOVERY_ON_TIMER_EXPIRY))
                    self._release(action.call, entry)
                    entry.last = causes.Verdict(api.Outcome.CANCELLED, api.Cause.NONE)

    def _refused(self, action: api.Refuse | api.Fail) -> None:
        entry = self.calls.pop(action.call, None)
        if entry is None:
            return
        since = self.now - entry.doubtful_end
        doubtful = since if entry.in_transit and since < self.interlock.guard else None
        if isinstance(action, api.Fail):
            cause, text = causes.failure(entry.last)
            self.out.append(End(action.call, cause, text, Final.FAILED, doubtful))
        else:
            known = self.now - self.engaged.get(entry.number, -inf) <= ENGAGED_KNOWN
            cause, text = causes.refusal(entry.in_transit, entry.last, known and not entry.attempts)
            self.out.append(End(action.call, cause, text, Final.REFUSED, doubtful))

    def _set_up(self, action: api.SetUp) -> None:
        call = action.call
        entry = self.calls.get(call)
        if entry is None:
            return
        answer = self.interlock.ask(action.switch, entry.out >= 0, entry.doubtful_end, self.now)
        if answer.ruling is Ruling.HOLD:
            entry.held = action
            self._at(answer.not_before, _Due.HELD, call)
            return
        attempt, entry.attempts = entry.attempts, entry.attempts + 1
        to = self.place_of.get(action.switch, -1)
        # the module counts the circuit as taken from here on
        self.told_free[to] = self.told_free.get(to, 0) - 1
        if answer.ruling is Ruling.BAR or not self.ledger.seize(to, call, self.now):
            barred = answer.ruling is Ruling.BAR
            cause = api.Cause.NONE if barred else api.Cause.NO_CIRCUIT
            entry.last = causes.Verdict(api.Outcome.NOT_SENT, cause)
            self.told_free[to] = -1  # it takes the group for full now, which the ledger may know better
            self._tell(
                api.AttemptEnded(call, attempt, action.switch, api.Outcome.NOT_SENT, cause, 0.0, False)
            )
            self._report(to)
            return
        entry.out, entry.to, entry.switch = attempt, to, action.switch
        entry.placed, entry.accepted = self.now, False
        # a set-up that was held back has lost of its time; no attempt outlives its call
        time_out = max(1.0, min(action.time_out, entry.deadline - self.now))
        entry.until = self.now + time_out
        self._at(entry.until, _Due.ATTEMPT, call, attempt)
        self.out.append(Place(call, attempt, to, to != entry.destination, time_out))

    def _stands(self, call: int, entry: Call) -> None:
        entry.stage = Stage.STANDS
        self.engaged.pop(entry.number, None)
        self._tell(api.CallStands(call, entry.out, entry.switch, self.now - entry.placed))

    def _attempt_over(self, call: int, entry: Call, verdict: causes.Verdict) -> None:
        attempt, switch, took = entry.out, entry.switch, self.now - entry.placed
        entry.last = verdict
        if verdict.outcome in (api.Outcome.TIMED_OUT, api.Outcome.CUT, api.Outcome.CANCELLED):
            entry.doubtful_end = self.now
        self._release(call, entry, missing=verdict.cause is api.Cause.NO_CIRCUIT)
        self._tell(
            api.AttemptEnded(
                call, attempt, switch, verdict.outcome, verdict.cause, took, verdict.concluded
            )
        )

    def _release(self, call: int, entry: Call, missing: bool = False) -> None:
        """Give back the circuit of the attempt that was out; `missing`: the far end found none for it."""
        if entry.out >= 0:
            entry.out = -1
            self.ledger.release(entry.to, call)
            if missing:
                self.ledger.refused_by_far_end(entry.to, self.now)
                self._recover()
            self._report(entry.to)

    def _forget(self, call: int, entry: Call) -> None:
        self._release(call, entry)
        self._ringing.pop(call, None)
        self.calls.pop(call, None)

    def _report(self, to: int) -> None:
        """Tell the module the free circuits of a group where it counts otherwise."""
        free = self.ledger.free(to, self.now)
        switch = self.switch_at.get(to)
        if switch is None or self.told_free.get(to) == free:
            return
        self.told_free[to] = free
        group = self.ledger.groups.get(to)
        report = (
            (api.Load.GROUP_SIZE, float(group.circuits if group else 0)),
            (api.Load.FREE_CIRCUITS, float(free)),
        )
        self._tell(api.SwitchReport(switch, False, True, 0.0, report))

    def _recover(self) -> None:
        due = self.ledger.next_recovery(self.now)
        if due is not None and due < self._trunks_due:
            self._trunks_due = due
            self._at(due, _Due.TRUNKS, 0)
