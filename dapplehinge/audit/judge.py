"""The five rules, judged from legs as the wire showed them.

Times are the tap's. A thing is known to its receiver no earlier than the tap saw it, and was sent no later
than the tap saw it, so what is found broken here was broken there. Rules are judged for each box on its
own; rule 4 for all together; rules 2 and 5 once more for the call from end to end, over the legs to switches
that all its boxes opened. A box that was killed can say nothing more: its legs count as over from then
on, and its calls are owed no answer. Beside the five rules: no leg is left when its call is over, and voice
leaves a box only between ANSWER and release. A call is judged once it is settled and then forgotten: memory
is bounded by live calls.
"""

from __future__ import annotations

from collections import defaultdict, deque
from dataclasses import dataclass, field
from math import inf

from hdrh.histogram import HdrHistogram

from dapplehinge.audit.legs import LegReader, WireLeg, Word
from dapplehinge.audit.trace import DatagramRecord, Header, MarkRecord, Record, ToldRecord
from dapplehinge.iax2.codes import CauseCode

ONE_FINAL, ONE_ATTEMPT, DRAINS, COLD, RELEASE, NO_LEG, VOICE, ONE_WHOLE, RELEASE_WHOLE, TANDEM, NOTICED = (
    "one_final_answer", "one_attempt_out", "drains_kept", "cold_not_pushed_over", "release_awaited",
    "no_leg_left", "voice_in_call", "one_attempt_end_to_end", "release_awaited_end_to_end",
    "tandem_in_its_time", "death_noticed",
)  # fmt: skip
RULES = (
    ONE_FINAL, ONE_ATTEMPT, DRAINS, COLD, RELEASE, NO_LEG, VOICE, ONE_WHOLE, RELEASE_WHOLE, TANDEM, NOTICED,
)  # fmt: skip

SETTLED = 15_000.0
"""ms without a datagram after which a call that is over is judged and forgotten: longer than all repeats."""

SWEEP_EACH = 1000.0
"""ms of the trace between two looks for settled calls."""

NOTICE = 11_000.0
"""ms after a party's last word by which its box has ended the leg; the aim is ten seconds from its death."""

IN_FLIGHT = 100.0
"""ms that a caller's HANGUP may take from the tap to the box: until then the box can't know."""

RESETS = frozenset({0, 27, 38, 41, 102})
"""Causes of a far end's HANGUP that tell of a break, not of a refusal."""

REFUSALS = frozenset(
    {CauseCode.NO_CIRCUIT_AVAILABLE, CauseCode.SWITCH_CONGESTION, CauseCode.RESOURCE_UNAVAILABLE}
)
START_UP = 1500.0
"""ms that a box needs from its start to its first word."""

ENDS = ("REJECT", "HANGUP", "INVAL", "DISPLACED")
STOOD = ("RINGING", "ANSWER")
MOST_EXAMPLES = 20


@dataclass(slots=True)
class Verdict:
    checked: int = 0
    broken: int = 0
    examples: list[str] = field(default_factory=list)

    def hold(self, kept: bool, example: str) -> None:
        self.checked += 1
        if not kept:
            self.broken += 1
            if len(self.examples) < MOST_EXAMPLES:
                self.examples.append(example)


@dataclass(slots=True)
class Tally:
    offered: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    given_up: int = 0  # the caller hung up before an answer was due
    open: int = 0  # the trace ends before its answer was due


@dataclass(slots=True)
class Judgement:
    rules: dict[str, Verdict]
    classes: dict[str, Tally]
    unanswered: int
    set_up: HdrHistogram
    attempts: int
    by_tandem: int
    datagrams: int
    unreadable: int

    @property
    def broken(self) -> int:
        return sum(verdict.broken for verdict in self.rules.values())


@dataclass(slots=True)
class Story:
    """One call at one box: the leg it came by, and the attempts that the box made."""

    caller: WireLeg | None = None
    attempts: list[WireLeg] = field(default_factory=list)

    def legs(self) -> list[WireLeg]:
        return [self.caller, *self.attempts] if self.caller is not None else self.attempts

    def over(self) -> float | None:
        """When the call ended: its caller's leg did, or the attempt that stood."""
        ends = [self.caller.first(*ENDS)] if self.caller is not None else []
        ends += [leg.first(*ENDS) for leg in self.attempts if leg.first(*STOOD) is not None]
        return min((end.at for end in ends if end is not None), default=None)


class Judge:
    """Feed it a trace's records in their order, then ask for the judgement."""

    def __init__(self, header: Header) -> None:
        self.header = header
        self.roles = [each.role for each in header.participants]
        self.places = [each.place for each in header.participants]
        boxes = frozenset(n for n, role in enumerate(self.roles) if role == "proxy")
        self.reader = LegReader(boxes)
        self.stories: dict[tuple[int, str], Story] = defaultdict(Story)
        self.told: dict[tuple[int, int], dict[int, str]] = defaultdict(dict)  # (box, place): switch -> state
        self.closed: dict[tuple[int, int], float] = {}  # since when no switch there is told as ready
        self.cold: dict[int, float] = {}  # place -> its last cold start
        self.window: dict[int, deque[float]] = defaultdict(deque)  # place -> newest set-ups since then
        self.end = 0.0
        self._swept = 0.0
        self.wholes: dict[str, list[WireLeg]] = defaultdict(list)  # call -> its legs to switches, by any box
        self.transits: dict[str, list[WireLeg]] = defaultdict(list)  # call -> its legs between boxes
        self.away: dict[int, list[tuple[float, float]]] = defaultdict(list)  # box -> from its death on
        self.rules = {name: Verdict() for name in RULES}
        self.tallies = {kind.name: Tally() for kind in header.classes}
        self.histogram = HdrHistogram(1, 60_000_000, 3)
        self.unanswered = self.attempts = self.by_tandem = self.datagrams = 0

    def feed(self, record: Record) -> None:
        self.end = max(self.end, record.at)
        if isinstance(record, ToldRecord):
            self._told(record)
        elif isinstance(record, MarkRecord):
            if record.kind == "cold_start":
                self.cold[record.place] = record.at
                self.window[record.place].clear()
            elif record.kind == "box_killed":
                self.away[record.place].append((record.at, inf))
            elif record.kind == "box_started":
                killed, _ = self.away[record.place].pop()
                self.away[record.place].append((killed, record.at + START_UP))
        elif isinstance(record, DatagramRecord):
            self.datagrams += 1
            opened = self.reader.feed(record)
            if opened is not None:
                self._opened(opened)
            if self.end - self._swept >= SWEEP_EACH:
                self._sweep()

    def _told(self, record: ToldRecord) -> None:
        key = (record.box, record.place)
        states = self.told[key]
        if record.state == "gone":
            states.pop(record.switch, None)
        else:
            states[record.switch] = record.state
        if "ready" in states.values():
            self.closed.pop(key, None)
        else:
            self.closed.setdefault(key, record.at)

    def _opened(self, leg: WireLeg) -> None:
        opener, far = self.roles[leg.opener], self.roles[leg.far]
        if far == "proxy":
            self.stories[(leg.far, leg.call_id)].caller = leg
        if opener == "proxy":
            self.stories[(leg.opener, leg.call_id)].attempts.append(leg)
            self.attempts += 1
            if far == "switch":
                self.wholes[leg.call_id].append(leg)
                self._drained(leg, f"call {leg.call_id} at {self._name(leg.opener)}")
                self._cold(leg)
            else:
                self.by_tandem += 1
                self.transits[leg.call_id].append(leg)

    def _sweep(self) -> None:
        self._swept = self.end
        before = self.end - SETTLED
        over = [
            key
            for key, story in self.stories.items()
            if all(leg.last < before and leg.first(*ENDS) is not None for leg in story.legs())
        ]
        for key in over:
            self._settle(key, self.stories.pop(key))
        # a call's boxes may still try it while one leg of it stands: all must be silent
        waits = {call for _, call in self.stories}
        for call in [call for call in self.wholes if call not in waits]:
            self._whole(call, self.wholes.pop(call))
        for call in [call for call in self.transits if call not in waits]:
            del self.transits[call]  # the tandem sent nothing on

    def _settle(self, key: tuple[int, str], story: Story) -> None:
        where = f"call {key[1]} at {self._name(key[0])}"
        if story.caller is not None:
            self.unanswered += self._final(story, where, self.rules[ONE_FINAL], self.tallies, self.histogram)
        self._attempts(story, where, self.rules)
        over = story.over()
        for leg in story.legs():
            self._leg_over(leg, over, where)
            if leg.opener == key[0] or self.roles[leg.opener] == "handset":
                self.reader.forget(leg)

    def _leg_over(self, leg: WireLeg, over: float | None, where: str) -> None:
        """No leg outlives its call by more than the repeats of its end, and no voice leaves the box
        beside it.
        """
        if self._away(leg, self.end):
            return
        if leg.taken is not None and over is not None and self.end - over > SETTLED / 3:
            self.rules[NO_LEG].hold(leg.first(*ENDS) is not None, f"{where}: a leg was never ended")
        box_opened = self.roles[leg.opener] == "proxy"
        if leg.taken is not None and box_opened != (self.roles[leg.far] == "proxy"):
            # the party is the end that is no box; whoever was never heard at all is nobody's leg yet
            ended, spoke = leg.first(*ENDS), leg.spoke[not box_opened]
            until = ended.at if ended is not None else self.end
            if spoke > -inf:
                silent = until - spoke
                self.rules[NOTICED].hold(silent <= NOTICE, f"{where}: a party silent for {silent:.0f} ms")
        if leg.voice:
            self.rules[VOICE].hold(
                leg.early_voice == 0, f"{where}: {leg.early_voice} voice frames outside the call"
            )

    def judge(self) -> Judgement:
        """What the trace shows; calls that are not settled yet are judged as they stand."""
        for key in list(self.stories):
            self._settle(key, self.stories.pop(key))
        for call in list(self.wholes):
            self._whole(call, self.wholes.pop(call))
        return Judgement(
            self.rules,
            self.tallies,
            self.unanswered,
            self.histogram,
            self.attempts,
            self.by_tandem,
            self.datagrams,
            self.reader.unreadable,
        )

    def _name(self, participant: int) -> str:
        return f"{self.roles[participant]} {self.header.exchanges[self.places[participant]]}"

    def _final(
        self, story: Story, where: str, verdict: Verdict, tallies: dict[str, Tally], histogram: HdrHistogram
    ) -> int:
        """Rule 1 for one call; 1 where it was left unanswered."""
        leg = story.caller
        assert leg is not None
        digit = leg.called[self.header.class_digit : self.header.class_digit + 1]
        index = int(digit) if digit.isdecimal() and int(digit) < len(self.header.classes) else 0
        kind = self.header.classes[index]
        tally = tallies[kind.name] if self.roles[leg.opener] == "handset" else Tally()
        tally.offered += 1
        if leg.taken is None:
            tally.given_up += 1  # it never reached the box
            return 0
        due = leg.taken + kind.give_up
        if any(start <= due and leg.opened <= until for start, until in self.away[leg.far]):
            tally.open += 1
            return 0
        answers = [word for word in leg.words if not word.by_opener and word.what in (*STOOD, *ENDS)]
        final = answers[0] if answers else None
        gone = leg.first(*ENDS, by_opener=True)
        if final is None:
            if gone is not None and gone.at < due:
                tally.given_up += 1
                if gone.at < leg.taken:
                    return 0  # it came late, when its caller had gone on: the box could not know
                quiet = self._quiet(story, gone.at + IN_FLIGHT)
                verdict.hold(quiet, f"{where}: set-up after the caller left")
                return 0
            if gone is None and self.end < due:
                tally.open += 1
                return 0
            tally.failed += 1
            verdict.hold(False, f"{where}: no final answer by {kind.give_up:g} ms")
            return 1
        self._count(final, leg, kind.target, tally, histogram)
        problem = ""
        stood = final.what in STOOD
        rest = answers[1:]
        if final.at > due and not (gone is not None and gone.at < due):
            problem = f"answered {final.at - due:.0f} ms after its caller gave up"
        elif stood and any(word.what == "REJECT" for word in rest):
            problem = "rejected after it stood"
        elif not stood and any(word.what in (*STOOD, "REJECT", "HANGUP") for word in rest):
            problem = f"{final.what}, then {rest[0].what}: two final answers"
        elif not self._quiet(story, final.at):
            problem = "set-up after the final answer"
        verdict.hold(not problem, f"{where}: {problem}")
        return 0

    @staticmethod
    def _quiet(story: Story, since: float) -> bool:
        return all(leg.opened <= since for leg in story.attempts)

    @staticmethod
    def _count(final: Word, leg: WireLeg, target: float, tally: Tally, histogram: HdrHistogram) -> None:
        if final.what in STOOD:
            took = final.at - leg.opened
            histogram.record_value(max(1, int(took * 1000)))
            if took <= target:
                tally.in_time += 1
            else:
                tally.late += 1
        elif final.cause in REFUSALS:
            tally.refused += 1
        else:
            tally.failed += 1

    def _attempts(self, story: Story, where: str, rules: dict[str, Verdict]) -> None:
        """Rules 2 and 5 for one call's attempts, in their order."""
        for leg, following in zip(story.attempts, story.attempts[1:], strict=False):
            self._in_turn(leg, following, where, rules[ONE_ATTEMPT], rules[RELEASE])
        if len(story.attempts) == 1:
            rules[ONE_ATTEMPT].checked += 1

    def _in_turn(
        self, leg: WireLeg, following: WireLeg, where: str, attempts: Verdict, releases: Verdict
    ) -> None:
        """Was the first leg over when the second was opened, and long enough where its end was doubtful?"""
        over = leg.first(*ENDS)
        ends = [over.at] if over is not None else []
        ends += [start for start, _ in self.away[leg.opener] if start >= leg.opened]
        attempts.hold(
            bool(ends) and min(ends) <= following.opened, f"{where}: a set-up left while another was out"
        )
        if over is None:
            return
        # the end that the opener went by: what the far end said later crossed it on the wire
        resets = over.what == "INVAL" or (over.what == "HANGUP" and over.cause in RESETS)
        if (over.by_opener and over.what != "DISPLACED") or resets:
            gap = following.opened - over.at
            releases.hold(gap >= self.header.guard, f"{where}: sent again {gap:.1f} ms after a doubtful end")

    def _whole(self, call: str, legs: list[WireLeg]) -> None:
        """Rules 2 and 5 for a call from end to end: its legs to switches, whichever box opened them."""
        legs.sort(key=lambda leg: leg.opened)
        for transit in self.transits.pop(call, []):
            due = transit.opened + transit.budget
            for leg in legs:
                if leg.opener != transit.far or leg.opened < transit.opened or self._away(transit, due):
                    continue
                over = leg.first(*ENDS, *STOOD)
                kept = leg.opened <= due and (self.end if over is None else over.at) <= due + IN_FLIGHT
                late = max(leg.opened, self.end if over is None else over.at) - due
                where = f"call {call} at {self._name(leg.opener)}"
                self.rules[TANDEM].hold(kept, f"{where}: in transit, {late:.0f} ms past its time")
        if len(legs) == 1:
            self.rules[ONE_WHOLE].checked += 1
        for index, leg in enumerate(legs):
            for following in legs[index + 1 :]:
                where = f"call {call}, {self._name(leg.opener)}, then {self._name(following.opener)}"
                self._in_turn(leg, following, where, self.rules[ONE_WHOLE], self.rules[RELEASE_WHOLE])

    def _away(self, leg: WireLeg, until: float) -> bool:
        """Whether a box at either end of the leg was killed in its time."""
        return any(
            leg.opened <= back and start <= until
            for box in (leg.opener, leg.far)
            if self.roles[box] == "proxy"
            for start, back in self.away[box]
        )

    def _drained(self, leg: WireLeg, where: str) -> None:
        """Rule 3: was the switch told as draining or gone, and the grace over, when this left?"""
        place = self.places[leg.far]
        closed = self.closed.get((leg.opener, place))
        late = leg.opened - closed - self.header.grace if closed is not None else 0.0
        name = self.header.exchanges[place]
        self.rules[DRAINS].hold(
            late <= 0.0, f"{where}: set-up to {name} {late:.0f} ms after the grace of its drain"
        )

    def _cold(self, leg: WireLeg) -> None:
        """Rule 4: set-ups of all boxes together in each tipping window of a cold switch."""
        header, place, at = self.header, self.places[leg.far], leg.opened
        start = self.cold.get(place)
        if start is None or not start <= at < start + header.cold_span:
            return
        window = self.window[place]
        window.append(at)
        while window[0] < at - header.tip_after:
            window.popleft()
        share = header.cold_share + (1.0 - header.cold_share) * (at - start) / header.cold_span
        bears = header.fall_multiple * share * header.capacities[place] * header.tip_after / 1000.0
        self.rules[COLD].hold(
            len(window) <= bears,
            f"{header.exchanges[place]}: {len(window)} set-ups in {header.tip_after:g} ms, it bears "
            f"{bears:.1f} at {share:.2f} of its capacity",
        )
