"""The five rules, judged from legs as the wire showed them.

Times are the tap's. A thing is known to its receiver no earlier than the tap saw it, and was sent no later
than the tap saw it, so what is found broken here was broken there. Rules are judged for each box on its
own; rule 4 for all together.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict, deque
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from dapplehinge.audit.legs import LegReader, WireLeg, Word
from dapplehinge.audit.trace import DatagramRecord, Header, MarkRecord, Record, ToldRecord
from dapplehinge.iax2.codes import CauseCode

ONE_FINAL, ONE_ATTEMPT, DRAINS, COLD, RELEASE = (
    "one_final_answer", "one_attempt_out", "drains_kept", "cold_not_pushed_over", "release_awaited",
)  # fmt: skip
RULES = (ONE_FINAL, ONE_ATTEMPT, DRAINS, COLD, RELEASE)

IN_FLIGHT = 100.0
"""ms that a caller's HANGUP may take from the tap to the box: until then the box can't know."""

RESETS = frozenset({0, 27, 38, 41, 102})
"""Causes of a far end's HANGUP that tell of a break, not of a refusal."""

REFUSALS = frozenset(
    {CauseCode.NO_CIRCUIT_AVAILABLE, CauseCode.SWITCH_CONGESTION, CauseCode.RESOURCE_UNAVAILABLE}
)
ENDS = ("REJECT", "HANGUP", "INVAL")
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


class Judge:
    def __init__(self, header: Header) -> None:
        self.header = header
        self.roles = [each.role for each in header.participants]
        self.places = [each.place for each in header.participants]
        self.reader = LegReader()
        self.stories: dict[tuple[int, str], Story] = defaultdict(Story)
        self.told: dict[tuple[int, int], list[tuple[float, int, str]]] = defaultdict(list)
        self.cold: dict[int, list[float]] = defaultdict(list)
        self.to_switch: dict[int, list[float]] = defaultdict(list)
        self.datagrams = 0
        self.end = 0.0

    def feed(self, record: Record) -> None:
        self.end = max(self.end, record.at)
        if isinstance(record, ToldRecord):
            self.told[(record.box, record.place)].append((record.at, record.switch, record.state))
        elif isinstance(record, MarkRecord):
            if record.kind == "cold_start":
                self.cold[record.place].append(record.at)
        elif isinstance(record, DatagramRecord):
            self.datagrams += 1
            found = self.reader.feed(record)
            if found is not None:
                self._opened(found)

    def _opened(self, leg: WireLeg) -> None:
        opener, far = self.roles[leg.opener], self.roles[leg.far]
        if far == "proxy":
            self.stories[(leg.far, leg.call_id)].caller = leg
        if opener == "proxy":
            self.stories[(leg.opener, leg.call_id)].attempts.append(leg)
            if far == "switch":
                self.to_switch[self.places[leg.far]].append(leg.opened)

    def judge(self) -> Judgement:
        rules = {name: Verdict() for name in RULES}
        tallies = {kind.name: Tally() for kind in self.header.classes}
        histogram = HdrHistogram(1, 60_000_000, 3)
        unanswered = attempts = by_tandem = 0
        for (box, call_id), story in self.stories.items():
            where = f"call {call_id} at {self._name(box)}"
            if story.caller is not None:
                unanswered += self._final(story, where, rules[ONE_FINAL], tallies, histogram)
            self._attempts(story, where, rules)
            attempts += len(story.attempts)
            for leg in story.attempts:
                if self.roles[leg.far] == "switch":
                    self._drained(box, leg, where, rules[DRAINS])
                else:
                    by_tandem += 1
        for place, starts in self.cold.items():
            self._cold(place, starts, rules[COLD])
        return Judgement(
            rules, tallies, unanswered, histogram, attempts, by_tandem, self.datagrams, self.reader.unreadable
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
        answers = [word for word in leg.words if not word.by_opener and word.what in (*STOOD, *ENDS)]
        final = answers[0] if answers else None
        gone = leg.first("HANGUP", "REJECT", by_opener=True)
        if final is None:
            if gone is not None and gone.at < due:
                tally.given_up += 1
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
            over = leg.first(*ENDS)
            out = over is None or over.at > following.opened or leg.first(*STOOD, by_opener=False) is not None
            rules[ONE_ATTEMPT].hold(not out, f"{where}: a set-up left while another was out")
            if over is None:
                continue
            far = leg.first(*ENDS, by_opener=False)
            doubtful: float | None = None
            if over.by_opener:
                doubtful = over.at  # a time-out or a cancel
            elif far is not None and (far.what == "INVAL" or (far.what == "HANGUP" and far.cause in RESETS)):
                doubtful = far.at
            if doubtful is not None:
                gap = following.opened - doubtful
                rules[RELEASE].hold(
                    gap >= self.header.guard, f"{where}: sent again {gap:.1f} ms after a doubtful end"
                )
        if len(story.attempts) == 1:
            rules[ONE_ATTEMPT].checked += 1

    def _drained(self, box: int, leg: WireLeg, where: str, verdict: Verdict) -> None:
        """Rule 3: was the switch told as draining or gone, and the grace over, when this left?"""
        place = self.places[leg.far]
        closed: float | None = None
        states: dict[int, str] = {}
        for at, switch, state in self.told.get((box, place), ()):
            if at > leg.opened:
                break
            states[switch] = state
            if any(each == "ready" for each in states.values()):
                closed = None
            elif closed is None:
                closed = at
        late = leg.opened - closed - self.header.grace if closed is not None else 0.0
        name = self.header.exchanges[place]
        verdict.hold(late <= 0.0, f"{where}: set-up to {name} {late:.0f} ms after the grace of its drain")

    def _cold(self, place: int, starts: list[float], verdict: Verdict) -> None:
        """Rule 4: set-ups of all boxes together in each tipping window of a cold switch."""
        header = self.header
        sent = sorted(self.to_switch[place])
        for number, start in enumerate(starts):
            until = starts[number + 1] if number + 1 < len(starts) else self.end
            until = min(until, start + header.cold_span)
            window: deque[float] = deque()
            for at in sent[bisect_right(sent, start) : bisect_right(sent, until)]:
                window.append(at)
                while window[0] < at - header.tip_after:
                    window.popleft()
                share = header.cold_share + (1.0 - header.cold_share) * (at - start) / header.cold_span
                bears = header.fall_multiple * share * header.capacities[place] * header.tip_after / 1000.0
                verdict.hold(
                    len(window) <= bears,
                    f"{header.exchanges[place]}: {len(window)} set-ups in {header.tip_after:g} ms, it bears "
                    f"{bears:.1f} at {share:.2f} of its capacity",
                )
