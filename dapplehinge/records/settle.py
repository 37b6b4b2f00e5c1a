"""Totals that two halls can compare, and the calls that one side lacks.

A total is of one pair of halls (who offered, who was called), one class and one day (UTC, by the call's
beginning). Two sides are compared call by call, by id: totals that agree by chance would hide two errors
that cancel out.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import UTC, datetime
from decimal import Decimal

import msgspec

from dapplehinge.records.entry import Correction, Outcome, Record

TIME_TOLERANCE = 2000.0
"""ms by which two halls' lengths of one call may differ: each counts from its own sight of the answer."""


class Line(msgspec.Struct, frozen=True):
    """One call as it is exported; the order of the fields is that of the columns."""

    id: str
    day: str
    at: float  # ms since the epoch
    origin: str
    destination: str
    kind: str
    tenant: str
    caller: str
    number: str
    outcome: str
    cause: int
    answered: float | None  # ms after `at`
    ended: float | None
    legs: str  # exchange:placed-ended:cause for each, by spaces; a tandem in brackets
    recovered: bool
    seconds: int = 0
    amount: str = ""
    currency: str = ""
    tariff: str = ""


def line(record: Record, rating: Correction | None) -> Line:
    intent = record.intent
    fields = rating.fields if rating is not None else {}
    legs = []
    for leg in record.legs:
        name = f"({leg.exchange})" if leg.tandem else leg.exchange
        ended = "" if leg.ended is None else f"{leg.ended:.0f}"
        legs.append(f"{name}:{leg.placed:.0f}-{ended}:{leg.cause}")
    return Line(
        id=intent.id,
        day=datetime.fromtimestamp(intent.at / 1000.0, UTC).date().isoformat(),
        at=intent.at,
        origin=intent.origin,
        destination=intent.destination,
        kind=intent.kind,
        tenant=intent.tenant,
        caller=intent.caller,
        number=intent.number,
        outcome=intent.outcome.value,
        cause=record.cause,
        answered=record.answered,
        ended=record.ended,
        legs=" ".join(legs),
        recovered=record.recovered,
        seconds=int(fields.get("seconds", "0")),
        amount=fields.get("amount", ""),
        currency=fields.get("currency", ""),
        tariff=f"{fields['tariff']} {fields['version']}" if fields else "",
    )


@dataclass(slots=True)
class Total:
    calls: int = 0
    stood: int = 0
    interrupted: int = 0
    seconds: int = 0
    amounts: dict[str, Decimal] = field(default_factory=dict)  # currency -> sum
    unrated: int = 0

    def add(self, each: Line) -> None:
        self.calls += 1
        self.stood += each.outcome == Outcome.STOOD
        self.interrupted += each.outcome == Outcome.INTERRUPTED
        self.seconds += each.seconds
        if each.amount:
            self.amounts[each.currency] = self.amounts.get(each.currency, Decimal(0)) + Decimal(each.amount)
        else:
            self.unrated += 1


Key = tuple[str, str, str, str]
"""Origin, destination, class, day."""


def totals(lines: Iterable[Line]) -> dict[Key, Total]:
    found: dict[Key, Total] = {}
    for each in lines:
        key = (each.origin, each.destination, each.kind, each.day)
        found.setdefault(key, Total()).add(each)
    return dict(sorted(found.items()))


@dataclass(frozen=True, slots=True)
class Difference:
    call: str
    what: str  # missing_there, missing_here, or the name of a field
    here: str = ""
    there: str = ""


def differences(here: Iterable[Line], there: Iterable[Line]) -> list[Difference]:
    """What two sides would settle otherwise, by call id; empty where they agree."""
    ours, theirs = {each.id: each for each in here}, {each.id: each for each in there}
    found = [Difference(call, "missing_there") for call in ours if call not in theirs]
    found += [Difference(call, "missing_here") for call in theirs if call not in ours]
    for call, own in ours.items():
        other = theirs.get(call)
        if other is None:
            continue
        for name in ("destination", "kind", "outcome", "amount", "currency"):
            first, second = str(getattr(own, name)), str(getattr(other, name))
            if first != second:
                found.append(Difference(call, name, first, second))
        lengths = [_length(own), _length(other)]
        if None not in lengths and abs((lengths[0] or 0.0) - (lengths[1] or 0.0)) > TIME_TOLERANCE:
            found.append(Difference(call, "length", f"{lengths[0]:.0f}", f"{lengths[1]:.0f}"))
    return sorted(found, key=lambda each: (each.call, each.what))


def _length(each: Line) -> float | None:
    if each.answered is None or each.ended is None:
        return None
    return each.ended - each.answered
