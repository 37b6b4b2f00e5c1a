"""The call table between callers, the one `Controller` and switches; without I/O.

Theory of operation. Verbs with a clock (ms) come in, `actions` go out in order, `next_due` says when `due`
is to be called. A call is *trying* from its INVITE to its final answer, then *standing* until it is released
from either side. A trying call has one attempt at most; that is *wanted* while a link to its switch is being
made, and *out* once it was given to a link. Every decision on load and health is the controller's: what
becomes of each attempt is told to it, what it asks is carried out. Links are held to every switch on the
list from the start, since the states of the groups come over them.

A call that stands belongs to no connection. It is over when its switch or its caller releases it, when its
switch has left the list, or when no link to the switch is left and connections are refused without a break:
then no process is there that could release it. A switch that drains may refuse connections and carry on.

A switch's id and address outlive its process. A call stands at the process that its link led to: it is over,
too, when the list tells that another process started after that link came up, or when a later link brings the
state of an empty group.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Set
from enum import Enum, IntEnum, auto
from math import inf

from dapplehinge import interface as api
from dapplehinge.calls.agenda import Agenda
from dapplehinge.calls.interlock import Interlock, Ruling
from dapplehinge.isup.codec import Cause
from dapplehinge.platform import actions as act
from dapplehinge.platform.members import Change, Member
from dapplehinge.platform.memory import OPEN_SET_UP_BYTES
from dapplehinge.platform.offers import Offer, dialled
from dapplehinge.platform.recent import RecentIds
from dapplehinge.platform.reports import NOTES, OUTCOMES, Report
from dapplehinge.platform.restored import RestoredCalls
from dapplehinge.platform.settings import Facts, settings_from
from dapplehinge.platform.shares import Shares
from dapplehinge.platform.switch_links import SwitchLinks
from dapplehinge.platform.switch_releases import SwitchRelease
from dapplehinge.platform.table import Attempt, Call, Peer
from dapplehinge.platform.telemetry import History, LinkClose, Metrics, Shed, Step
from dapplehinge.platform.unclaimed import UnclaimedRelease, UnclaimedReleases
from dapplehinge.rules import Controller

GUARD_MARGIN_MS = 50.0
"""What the platform's protocol adds to its time limits: the guard is kept with as much to spare."""

HEALTH_CHECK_INTERVAL_MS = 500.0
"""Between two looks at which switches are quiet."""

EMPTY_GROUP_MS = 1000.0
"""After which calls that stood before a link came up are over if the group was told on it as empty: the
releases of those that ended meanwhile come first."""

LATE_LOOK_MS = 20.0
"""After which a look at a link counts as late: the loop was busy, and something may wait to be read."""

MIN_PRUNED_TIMERS = 2000
"""Below this many timers those of ended attempts stay until they fall due."""

DOUBTFUL = (api.Outcome.TIMED_OUT, api.Outcome.CUT, api.Outcome.CANCELLED)


class _Due(Enum):
    """What falls due; with the numbers that go with it."""

    MODULE = auto()  # tag
    ATTEMPT = auto()  # call, attempt
    HELD = auto()  # call, attempt
    OPEN = auto()  # switch
    UNHEARD = auto()  # link, ms at which a set-up went out on it
    EMPTY_GROUP = auto()  # switch, link that brought its state
    WATCH = auto()
    TEST = auto()  # its id


class Admission(IntEnum):
    """What became of a set-up as it was offered; false where it was not taken."""

    ID_IN_USE = 0  # or it went out before
    TAKEN = 1
    SHED = 2  # a bound was reached; its caller is told that it is over


class Service:
    def __init__(self, facts: Facts, seed: int) -> None:
        settings = settings_from(facts)
        self.controller = Controller(settings, seed)
        self.connect_within = facts.number("policy_limits.connect_timeout", "500")
        self.links = SwitchLinks(self, self.connect_within)
        self.answers_within = self.connect_within / 2.0
        self.interlock = Interlock(settings.guard, 0.0, GUARD_MARGIN_MS)
        self.calls: dict[int, Call] = {}  # by id, trying and standing
        self.in_flight: dict[int, Call] = {}  # by the module's number
        self.open_bytes: Shares[int] = Shares()  # held for the calls in flight: by their connection
        self.max_open_bytes: float = inf
        self.conns: dict[int, set[int]] = {}  # connection -> ids of the calls trying on it
        self.peers: dict[api.SwitchId, Peer] = {}
        self.by_id: dict[str, Peer] = {}
        self.tests: dict[int, tuple[Peer, float]] = {}
        self.actions: list[act.Action] = []
        self.metrics = Metrics()
        self.restored = RestoredCalls()
        self.recent = RecentIds()
        self.unclaimed = UnclaimedReleases()
        self.answer_by = inf  # ms at which a shutdown ends all calls
        self.now = self.began = 0.0
        self._calls_made = 0
        self._tests_made = 0
        self._events: deque[api.Event] = deque()
        self._agenda: Agenda[tuple[_Due, int, int]] = Agenda()
        self._prune_above = MIN_PRUNED_TIMERS

    # Clock

    @property
    def next_due(self) -> float:
        return self._agenda.due

    def _at(self, when: float, what: _Due, first: int = 0, second: int = 0) -> None:
        self._agenda.at(when, (what, first, second))
        if len(self._agenda) > self._prune_above:
            self._agenda.keep(self._still_wanted)
            self._prune_above = max(MIN_PRUNED_TIMERS, 2 * len(self._agenda))

    def _still_wanted(self, timer: tuple[_Due, int, int]) -> bool:
        """False: the attempt that it is about has ended."""
        what, first, second = timer
        return what not in (_Due.ATTEMPT, _Due.HELD) or self._out(first, second) is not None

    def start(self, now: float) -> None:
        self.now = self.began = now
        for action in self.controller.start(now):
            self._carry_out(action)
        self._at(now + HEALTH_CHECK_INTERVAL_MS, _Due.WATCH)

    def due(self, now: float) -> None:
        self.now = now
        for when, (what, first, second) in self._agenda.ready(now):
            match what:
                case _Due.MODULE:
                    self._events.append(api.TimerDue(first))
                case _Due.ATTEMPT:
                    if call := self._out(first, second):
                        self._end_attempt(call, api.Outcome.TIMED_OUT)
                case _Due.HELD:
                    if call := self._out(first, second):
                        self._send(call)
                case _Due.OPEN:
                    peer = self.peers.get(first)
                    if peer is not None:
                        self.links.open_if_needed(peer)
                case _Due.UNHEARD if now - when > LATE_LOOK_MS:  # what came meanwhile is read first
                    self._at(now + LATE_LOOK_MS, what, first, second)
                case _Due.UNHEARD:
                    self.links.unheard(first, second)
                case _Due.EMPTY_GROUP:
                    self._end_calls_without_circuit(first, second)
                case _Due.WATCH:
                    self._watch()
                case _Due.TEST:
                    self._test_ended(first, False, ())
            self._run()

    # Shutdown

    def shut_down(self, answer_by: float, now: float) -> None:
        """The module ends each call by `answer_by`, and refuses what is offered later."""
        self.now, self.answer_by = now, answer_by
        self._events.append(api.ShutdownStarted(answer_by))
        self._run()

    def answer_unanswered(self, now: float) -> None:
        """Give the final answer to each set-up that still lacks one: refused if nothing was ever sent."""
        self.now = now
        for call in list(self.in_flight.values()):
            self._end_unanswered(call)
        self._run()

    def answer_connection(self, conn: int, now: float) -> None:
        """The same for the set-ups that are open on a connection which will be closed."""
        self.now = now
        for id_ in sorted(self.conns.get(conn, ())):
            self._end_unanswered(self.calls[id_])
        self._run()

    def _end_unanswered(self, call: Call) -> None:
        self._gone(call)
        self._respond(call, 504 if call.attempts else 503)

    def _record(self, call: Call, step: Step, detail: str = "") -> None:
        if call.history is not None:
            call.history.add(self.now, step, detail)

    def unanswered(self) -> list[str]:
        """One line for each set-up without a final answer: id, age, time left, history."""
        lines = []
        for call in self.in_flight.values():
            if call.offer is not None and call.history is not None:
                age = self.now - call.history.began
                left = call.offer.budget - age
                lines.append(f"id={call.id:016x} age_ms={age:.0f} left_ms={left:.0f} history={call.history}")
        return lines

    def _out(self, number: int, attempt: int) -> Call | None:
        """The trying call whose attempt that is out is this one."""
        call = self.in_flight.get(number)
        return call if call is not None and call.out is not None and call.out.number == attempt else None

    def _run(self) -> None:
        while self._events:
            for action in self.controller.handle(self.now, self._events.popleft()):
                self._carry_out(action)

    # The list

    def told(self, change: Change, now: float) -> None:
        self.now = now
        self._events.append(change.told)  # first, so that what ends by it does not go there again
        # who comes before who goes: a new switch may have the address of one that has gone
        for member in sorted(change.members, key=lambda each: each.entry.state is api.SwitchState.GONE):
            state = member.entry.state
            self.interlock.told(member.number, state is api.SwitchState.READY, now)
            peer = self.peers.get(member.number)
            if peer is None and state is not api.SwitchState.GONE:
                peer = Peer(member.number, member.id, member.address, last_heard=now)
                peer.started_at = member.entry.started_at
                peer.draining = state is api.SwitchState.DRAINING
                self._take_over(peer)
                self.peers[member.number] = peer
                self.by_id[member.id] = peer
                self.links.open(peer)
            elif peer is not None:
                self._changed(peer, member)
        self._run()

    def _changed(self, peer: Peer, member: Member) -> None:
        if member.entry.state is not api.SwitchState.GONE:
            self._note_process(peer, member)
        peer.draining = member.entry.state is api.SwitchState.DRAINING
        if member.entry.state is api.SwitchState.READY:
            return
        for call in list(peer.wanting.values()):  # a connect is pending: nothing may leave afterwards
            self._end_attempt(call, api.Outcome.UNREACHABLE)
        if member.entry.state is api.SwitchState.GONE:
            del self.peers[peer.number]
            if self.by_id.get(peer.id) is peer:
                del self.by_id[peer.id]
            for id_ in sorted(peer.standing):  # in case that a process is there all the same
                call = self.calls[id_]
                if call.link in peer.links:
                    self._send_release(peer, call.link, id_, Cause.TEMPORARY_FAILURE, call.conn)
            for link in [*peer.links, *([peer.opening] if peer.opening else [])]:
                self.links.drop(peer, link, LinkClose.SWITCH_GONE)
            self._cut_standing(peer)
            peer.releases.take_all()

    def _take_over(self, successor: Peer) -> None:
        """A new switch at the address of another: what came up after its start leads to it."""
        for former in self.peers.values():
            if former.address != successor.address or former.replaced:
                continue
            if started_before(successor, former):  # one list may name both, in any order
                successor.replaced = True
                continue
            former.replaced = True
            started = successor.started_at or self.now
            for number, link in list(former.links.items()):
                if link.since >= started and not link.out:
                    successor.links[number] = former.links.pop(number)
                    self.links.taken_over(number, successor)
            for id_ in sorted(former.standing):
                call = self.calls[id_]
                if call.linked_at >= started:
                    former.standing.discard(id_)
                    successor.standing.add(id_)
                    call.stands_at = successor
                    self.restored.moved(call, successor)
            for call in list(former.wanting.values()):
                self._end_attempt(call, api.Outcome.UNREACHABLE)
            self._end_process(former, self.now)

    def _note_process(self, peer: Peer, member: Member) -> None:
        """Where the list tells another process under the id, what led to the one before is over."""
        started = member.entry.started_at
        if member.address != peer.address:
            self._end_process(peer, self.now)
        elif started > peer.started_at:
            self._end_process(peer, started)
        else:
            return
        peer.address, peer.replaced = member.address, False
        peer.started_at = max(peer.started_at, started)
        if not peer.links and not peer.opening:
            self.links.open(peer)

    def _end_process(self, peer: Peer, ended: float) -> None:
        """Links that came up before `ended` lead nowhere, and the calls that were set up on them are cut."""
        earlier = [number for number, link in peer.links.items() if link.since < ended]
        if peer.opening and ended >= self.now:
            earlier.append(peer.opening)
        for link in earlier:
            self.links.drop(peer, link, LinkClose.PROCESS_REPLACED)
        self._cut_standing(peer, {id_ for id_ in peer.standing if self.calls[id_].linked_at < ended})
        peer.refused_since, peer.failures = inf, 0

    # Links

    def link_up(self, link: int, now: float) -> None:
        self.now = now
        peer = self.links.up(link)
        if peer is None:
            return
        self._send_kept_releases(peer, link)
        for call in list(peer.wanting.values()):
            self._send(call)
        self._run()

    def link_failed(self, link: int, refused: bool, now: float) -> None:
        """A link that was being made did not come up. `refused`: at once, so that nothing listens there."""
        self.now = now
        peer = self.links.failed(link, refused)
        if peer is None:
            return
        if self.links.dead(peer):
            self._cut_standing(peer)
        for call in list(peer.wanting.values()):
            self._end_attempt(call, api.Outcome.UNREACHABLE)
        self._run()

    def link_lost(self, link: int, now: float) -> None:
        """A link that was up has closed or said what can't be read: what was out on it is in doubt."""
        self.now = now
        self.links.lost(link)
        self._run()

    def heard(self, link: int, now: float) -> None:
        """Something that can be read came on a link."""
        self.now = now
        self.links.heard(link)
        self._run()

    def carry_out(self, action: act.Action) -> None:
        """For the links."""
        self.actions.append(action)

    def open_link_at(self, when: float, switch: api.SwitchId) -> None:
        """For the links."""
        self._at(when, _Due.OPEN, switch)

    def set_ups_cut(self, ids: list[int]) -> None:
        """For the links: what was out on one that has gone is in doubt."""
        for id_ in ids:
            self._end_attempt(self.calls[id_], api.Outcome.CUT)

    def _watch(self) -> None:
        self._at(self.now + HEALTH_CHECK_INTERVAL_MS, _Due.WATCH)
        for peer in list(self.peers.values()):
            if self.links.check(peer) and peer.standing:
                for id_ in sorted(peer.standing):
                    self._keep_release(peer, id_, Cause.TEMPORARY_FAILURE, self.calls[id_].conn)
                self._cut_standing(peer)

    # Releases to switches

    def _release(self, peer: Peer, link: int, call: Call, cause: int) -> None:
        """To the link of its set-up, else any, else the next one that is made."""
        use = link if link in peer.links else self.links.usable(peer) or max(peer.links, default=0)
        if use:
            self._send_release(peer, use, call.id, cause, call.conn)
        else:
            self._keep_release(peer, call.id, cause, call.conn)

    def _keep_release(self, peer: Peer, id_: int, cause: int, holder: int) -> None:
        peer.releases.add(SwitchRelease(id_, cause, holder, self.now))

    def _send_release(self, peer: Peer, link: int, id_: int, cause: int, holder: int = 0) -> None:
        peer.links[link].releases.add(SwitchRelease(id_, cause, holder, self.now))
        self.actions.append(act.SendRelease(link, id_, cause))

    def _send_kept_releases(self, peer: Peer, link: int) -> None:
        """What could not be written, or not be seen to arrive; but not what would end a later attempt."""
        for release in peer.releases.take_all():
            call = self.calls.get(release.id)
            if call is None or not self._is_at(call, peer):
                self._send_release(peer, link, release.id, release.cause, release.holder)

    @staticmethod
    def _is_at(call: Call, peer: Peer) -> bool:
        """It stands there, or its set-up has gone out there."""
        attempt = call.out
        out = attempt is not None and attempt.link != 0 and attempt.peer is peer
        return out or call.stands_at is peer

    def release_confirmed(self, link: int, id_: int) -> None:
        peer = self.links.peer(link)
        if peer is not None:
            peer.links[link].releases.remove(id_)

    # What switches say

    def answered(self, link: int, id_: int, description: bytes, now: float) -> None:
        self.now = now
        peer, call = self.links.peer(link), self.calls.get(id_)
        if peer is None:
            return
        if call is None or call.offer is None or call.out is None or call.out.link != link:
            if call is None or call.stands_at is not peer:  # it stands there and nobody wants it
                self._send_release(peer, link, id_, Cause.NORMAL)
            return
        attempt = call.out
        self._detach(call)
        self._leave_flight(call)
        call.offer, call.stands_at = None, peer
        call.link, call.linked_at = link, peer.links[link].since
        peer.standing.add(id_)
        self._respond(call, 200, 0.0, description)
        call.echo = b""
        self._events.append(
            api.CallStands(call.number, attempt.number, peer.number, now - attempt.asked)
        )
        self._run()

    def released(self, link: int, id_: int, cause: int, note: str, report: Report, now: float) -> None:
        self.now = now
        peer, call = self.links.peer(link), self.calls.get(id_)
        if peer is None:
            return
        self.actions.append(act.SendComplete(link, id_))
        self._note_group(peer, report)
        if call is None:
            if not self.recent.knows(id_, now):  # its caller has heard its end, and brings nothing back
                self.unclaimed.keep(id_, UnclaimedRelease(peer.number, cause, now))
            return
        if call.stands_at is peer:
            over = api.Outcome.COMPLETED if cause == Cause.NORMAL else api.Outcome.CUT
            self._over(call, cause, over, report, by_switch=True)
        elif call.out is not None and call.out.link == link:
            outcome = OUTCOMES.get(cause, api.Outcome.CUT)
            self._end_attempt(call, outcome, NOTES.get(note, api.Cause.NONE), report, told=True)
        self._run()

    def reported(self, link: int, report: Report, now: float) -> None:
        self.now = now
        peer = self.links.peer(link)
        if peer is not None:
            self._note_group(peer, report)
            if 0 < peer.circuits <= dict(report).get(api.Load.FREE_CIRCUITS, 0.0):
                self._group_empty(peer, link)
            self._events.append(api.SwitchReport(peer.number, False, True, 0.0, report))
            self._run()

    @staticmethod
    def _note_group(peer: Peer, report: Report) -> None:
        figures = dict(report)
        peer.circuits = int(figures.get(api.Load.GROUP_SIZE, peer.circuits))

    def tested(self, link: int, id_: int, passed: bool, report: Report, now: float) -> None:
        self.now = now
        self._test_ended(id_, passed, report)
        self._run()

    def _test_ended(self, id_: int, passed: bool, report: Report) -> None:
        peer, sent = self.tests.pop(id_, (None, 0.0))
        if peer is not None:
            self._events.append(api.SwitchReport(peer.number, True, passed, self.now - sent, report))

    # What callers say

    def offered(self, conn: int, offer: Offer, echo: bytes, now: float) -> Admission:
        """A set-up, or with `standing_at` a call that stands already."""
        self.now = now
        known = self.calls.get(offer.id)
        if offer.standing_at:
            admission = self._stands_already(conn, offer, known)
            self._run()
            return admission
        if known is not None or self.recent.knows(offer.id, now):
            return Admission.ID_IN_USE
        self._calls_made += 1
        call = Call(offer.id, self._calls_made, conn, offer, echo, offer.number, History(self.now))
        self.metrics.offered += 1
        self.calls[offer.id] = self.in_flight[call.number] = call
        self.open_bytes.add(conn, call.number, held_bytes(call))
        self.conns.setdefault(conn, set()).add(offer.id)
        self._events.append(
            api.CallOffered(
                call=call.number,
                call_class=offer.call_class,
                destination=offer.destination,
                budget=offer.budget,
                width=offer.width,
                in_transit=offer.in_transit,
                redialled=offer.redialled,
                cut_before=offer.again,
                tenant=offer.tenant,
                number=dialled(offer.number),
                advised=-1 if offer.in_transit else offer.via,
            )
        )
        self._run()
        self._bound_open_set_ups()
        return Admission.TAKEN

    def _bound_open_set_ups(self) -> None:
        """Of the connection that holds the most the one that has waited longest gives way.

        Most answers come long before the end of their time, and other connections' are not its to push out.
        """
        while self.open_bytes.total > self.max_open_bytes:
            number = self.open_bytes.oldest_of_largest()
            assert number is not None
            self.metrics.shed[Shed.OPEN_SET_UP] += 1
            self._end_unanswered(self.in_flight[number])
            self._run()

    def _stands_already(self, conn: int, offer: Offer, known: Call | None) -> Admission:
        peer = self.by_id.get(offer.standing_at)
        if known is not None:
            if peer is not None and known.stands_at is peer and known.id in self.restored:
                known.conn = conn  # of a call that was set up here its own connection is known
                self.restored.add(known, peer, conn)
            return Admission.TAKEN
        if peer is None or self.recent.knows(offer.id, self.now):  # its switch has left, or it is over here
            self.actions.append(
                act.ReleaseCaller(conn, offer.id, offer.number, Cause.TEMPORARY_FAILURE, confirmed=False)
            )
            return Admission.TAKEN
        release = self.unclaimed.claim(offer.id, peer.number, self.now)
        if release is not None:
            self.actions.append(act.ReleaseCaller(conn, offer.id, offer.number, release.cause))
            return Admission.TAKEN
        return self._restore(conn, offer, peer)

    def _restore(self, conn: int, offer: Offer, peer: Peer) -> Admission:
        self._calls_made += 1
        call = Call(offer.id, self._calls_made, conn, None, b"", offer.number, stands_at=peer)
        call.linked_at = self.began  # it was set up before, by the process that ran here then
        self.calls[offer.id] = call
        peer.standing.add(offer.id)
        self.restored.add(call, peer, conn)
        surplus = self.restored.surplus(peer)
        if surplus is None:
            return Admission.TAKEN
        self.metrics.shed[Shed.RESTORED_CALL] += 1
        self._end_on_both_sides(surplus)
        return Admission.SHED if surplus is call else Admission.TAKEN

    def _end_on_both_sides(self, call: Call) -> None:
        """The proxy itself ends a call that stands."""
        if call.stands_at is not None:
            self._release(call.stands_at, 0, call, Cause.TEMPORARY_FAILURE)
        self._over(call, Cause.TEMPORARY_FAILURE, api.Outcome.CUT, ())

    def given_up(self, conn: int, id_: int, now: float) -> bool:
        """CANCEL. False: no such call is trying on this connection. One that stands by now is released."""
        self.now = now
        call = self.calls.get(id_)
        if call is None or call.conn != conn:
            return False
        if call.offer is None:
            self._over(call, Cause.NORMAL, api.Outcome.CANCELLED, (), by_caller=True)
            self.actions.append(act.ReleaseCaller(conn, id_, call.dialled, Cause.NORMAL))
        else:
            self._gone(call)
            self._respond(call, 487)  # RFC 3261 9.2
        self._run()
        return True

    def caller_released(self, conn: int, id_: int, cause: int, now: float) -> bool:
        """BYE, on any connection. False: no such call stands."""
        self.now = now
        call = self.calls.get(id_)
        if call is None or call.offer is not None:
            return False
        self._over(call, cause, api.Outcome.CANCELLED, (), by_caller=True)
        self._run()
        return True

    def caller_lost(self, conn: int, now: float) -> None:
        """A caller's connection closed: what was trying on it is given up, what stands goes on."""
        self.now = now
        self.restored.connection_closed(conn)
        self.recent.connection_closed(conn)
        for id_ in self.conns.pop(conn, set()):
            call = self.calls.get(id_)
            if call is not None and call.offer is not None:
                self._gone(call)
        self._run()

    # Ends

    def _gone(self, call: Call) -> None:
        self.metrics.given_up += 1
        self._forget(call)
        self._events.append(api.CallerGone(call.number))

    def _forget(self, call: Call) -> None:
        """A trying call has ended: what is out for it is given up."""
        attempt = call.out
        self._detach(call)
        if attempt is not None and attempt.link in attempt.peer.links:
            self._release(attempt.peer, attempt.link, call, Cause.NORMAL)
        self.calls.pop(call.id, None)
        self._leave_flight(call)

    def _leave_flight(self, call: Call) -> None:
        if self.in_flight.pop(call.number, None) is not None:
            self.open_bytes.remove(call.number)
        ids = self.conns.get(call.conn)
        if ids is not None:
            ids.discard(call.id)
            if not ids:
                del self.conns[call.conn]

    def _over(
        self,
        call: Call,
        cause: int,
        outcome: api.Outcome,
        report: Report,
        by_caller: bool = False,
        by_switch: bool = False,
    ) -> None:
        """A standing call has ended."""
        peer = call.stands_at
        del self.calls[call.id]
        self.restored.remove(call.id)
        if peer is None:
            return
        peer.standing.discard(call.id)
        if by_caller:
            self._release(peer, 0, call, cause)
        else:
            confirmed = call.attempts > 0 or by_switch
            self.actions.append(act.ReleaseCaller(call.conn, call.id, call.dialled, cause, confirmed))
        if call.attempts:
            self._events.append(
                api.AttemptEnded(
                    call.number, call.attempts - 1, peer.number, outcome, api.Cause.NONE, 0.0, True, report
                )
            )

    def _group_empty(self, peer: Peer, link: int) -> None:
        """A call that stands holds a circuit: those of earlier links are over, if no release of theirs comes.

        Calls on links that are up may have been set up since the state was told; of calls that were brought
        back it is not known whether they are counted there.
        """
        here = peer.links[link]
        if here.without_circuit:
            return  # told before; such calls only become fewer
        calls = (self.calls[id_] for id_ in peer.standing if id_ not in self.restored)
        here.without_circuit = frozenset(call.id for call in calls if call.link not in peer.links)
        if here.without_circuit:
            self._at(self.now + EMPTY_GROUP_MS, _Due.EMPTY_GROUP, peer.number, link)

    def _end_calls_without_circuit(self, switch: api.SwitchId, link: int) -> None:
        peer = self.peers.get(switch)
        if peer is not None and link in peer.links:
            self._cut_standing(peer, peer.links[link].without_circuit)

    def _cut_standing(self, peer: Peer, ids: Set[int] | None = None) -> None:
        """End the calls that stand there, or those of `ids` among them."""
        for id_ in sorted(peer.standing if ids is None else peer.standing & ids):
            self._over(self.calls[id_], Cause.TEMPORARY_FAILURE, api.Outcome.CUT, ())

    def _detach(self, call: Call) -> None:
        attempt = call.out
        if attempt is not None:
            call.out = None
            attempt.peer.wanting.pop(call.id, None)
            if attempt.link in attempt.peer.links:
                attempt.peer.links[attempt.link].out.discard(call.id)

    def _end_attempt(
        self,
        call: Call,
        outcome: api.Outcome,
        cause: api.Cause = api.Cause.NONE,
        report: Report = (),
        told: bool = False,
    ) -> None:
        """`told`: the switch said so; else what was sent is given up there."""
        attempt = call.out
        if attempt is None:
            return
        self._detach(call)
        if not told and attempt.link in attempt.peer.links:  # a link that closed gave it up by that
            self._release(attempt.peer, attempt.link, call, Cause.NORMAL)
        if outcome in DOUBTFUL:
            call.doubtful_end = self.now
        self._record(call, Step.ENDED, f"{attempt.peer.id} {outcome.name} {cause.name}")
        self.metrics.attempt_ends[outcome.name] += 1
        call.last = outcome
        call.engaged = cause is api.Cause.LINES_ENGAGED
        if call.offer is not None:
            self._events.append(
                api.AttemptEnded(
                    call=call.number,
                    attempt=attempt.number,
                    switch=attempt.peer.number,
                    outcome=outcome,
                    cause=cause,
                    took=self.now - attempt.asked,
                    concluded=False,
                    report=report,
                )
            )

    # What the module asks

    def _carry_out(self, action: api.Action) -> None:
        match action:
            case api.SetUp(number, switch, time_out):
                self._set_up(number, switch, time_out)
            case api.Refuse(number, stay_away):
                self._answer(number, 503, stay_away)
            case api.Fail(number):
                call = self.in_flight.get(number)
                if call is not None:
                    timed_out = call.last in (api.Outcome.TIMED_OUT, api.Outcome.CANCELLED)
                    self._answer(number, 486 if call.engaged else 504 if timed_out else 500, 0.0)
            case api.Cancel(number, attempt):
                if call := self._out(number, attempt):
                    self._end_attempt(call, api.Outcome.CANCELLED)
            case api.SetTimer(span, tag):
                self._at(self.now + span, _Due.MODULE, tag)
            case api.Probe(switch):
                self._probe(switch)
            case api.CloseIdle(switch):
                peer = self.peers.get(switch)
                for link in [each for each, its in peer.links.items() if not its.out] if peer else []:
                    self.actions.append(act.CloseLink(link))
            case api.Note(text):
                self.actions.append(act.Log("module.note", text))
            case api.Subscribe() | api.FetchList():
                pass  # the control feed is followed always, and leaves nothing out
            case api.TellPeer():
                pass  # the platform has no way between proxies

    def _set_up(self, number: int, switch: api.SwitchId, time_out: float) -> None:
        call = self.in_flight.get(number)
        if call is None:
            return
        peer, attempt = self.peers.get(switch), call.attempts
        call.attempts += 1
        self.metrics.attempts += 1
        self._record(call, Step.ROUTED, peer.id if peer else "unknown")
        if peer is None or call.out is not None:
            self._events.append(
                api.AttemptEnded(
                    number, attempt, switch, api.Outcome.UNREACHABLE, api.Cause.NONE, 0.0, False
                )
            )
            return
        call.out = Attempt(attempt, peer, self.now, self.now + time_out)
        self._at(call.out.due, _Due.ATTEMPT, number, attempt)
        self._send(call)

    def _send(self, call: Call) -> None:
        """Give the set-up to a link if one is up and nothing speaks against it now; else wait for that."""
        attempt, offer = call.out, call.offer
        if attempt is None or offer is None or attempt.link:
            return
        peer = attempt.peer
        answer = self.interlock.ask(peer.number, False, call.doubtful_end, self.now)
        if answer.ruling is Ruling.BAR or peer.replaced:
            self._end_attempt(call, api.Outcome.UNREACHABLE)
            return
        if answer.ruling is Ruling.HOLD:
            self._record(call, Step.HELD)
            self._at(answer.not_before, _Due.HELD, call.number, attempt.number)
            return
        link = self.links.usable(peer)
        if not link:
            self._record(call, Step.NO_LINK)
            peer.wanting[call.id] = call
            self.links.try_another(peer)
            return
        peer.wanting.pop(call.id, None)
        attempt.link = link
        self.recent.note(call.id, call.conn, self.now)
        peer.links[link].out.add(call.id)
        self._record(call, Step.SENT, f"{peer.id}/{link}")
        wait = attempt.due - self.now
        self._at(self.now + self.answers_within, _Due.UNHEARD, link, int(self.now))
        self.actions.append(
            act.SendSetUp(link, call.id, offer.kind, offer.number, wait, offer.description)
        )

    def _answer(self, number: int, status: int, gap: float) -> None:
        call = self.in_flight.get(number)
        if call is not None:
            self._forget(call)
            self._respond(call, status, gap)

    def _respond(self, call: Call, status: int, gap: float = 0.0, body: bytes = b"") -> None:
        self.metrics.responses[status] += 1
        call.history = None
        self.actions.append(act.Respond(call.conn, call.echo, status, gap, body))

    def _probe(self, switch: api.SwitchId) -> None:
        peer = self.peers.get(switch)
        link = self.links.usable(peer) if peer else 0
        if peer is None or not link:
            self._events.append(api.SwitchReport(switch, True, False, 0.0))
            return
        self._tests_made += 1
        self.tests[self._tests_made] = (peer, self.now)
        self._at(self.now + self.connect_within, _Due.TEST, self._tests_made)
        self.actions.append(act.SendTest(link, self._tests_made))


def started_before(one: Peer, other: Peer) -> bool:
    """By the list; of two that it does not tell apart the one that drains."""
    if one.started_at != other.started_at:
        return one.started_at < other.started_at
    return one.draining and not other.draining


def held_bytes(call: Call) -> int:
    """Bytes held for a call while it has no answer."""
    description = call.offer.description if call.offer is not None else b""
    return OPEN_SET_UP_BYTES + len(description) + len(call.echo)
