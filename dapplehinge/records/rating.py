"""What a call costs: exact decimal money from tariffs with versions, by class, tenant, zone and time band.

The version that holds is the newest whose `effective` is not after the call's beginning. In it the first
rate that fits counts, so special ones stand before general ones. A call is charged from its answer to its
end, in whole increments and at least the minimum; the sum is rounded once, at the end, by the tariff's
own mode. A call that was not answered costs nothing; one whose end is not known (its box died) costs the
set-up only, as to guess a length would charge for it.

A rating is a correction beside the record, which stays as it is. The newest correction counts. Rating
again by the same version writes nothing.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from decimal import ROUND_HALF_EVEN, ROUND_HALF_UP, ROUND_UP, Decimal
from math import ceil

from dapplehinge.records.entry import Correction, Outcome, Record

ROUNDING = {"half_even": ROUND_HALF_EVEN, "half_up": ROUND_HALF_UP, "up": ROUND_UP}
RATED = "rated"  # the reason of a correction that is a rating


@dataclass(frozen=True, slots=True)
class Band:
    """Part of the week: minutes of the day from `begin` to before `end` (over midnight where end is less)."""

    name: str
    begin: int
    end: int
    days: frozenset[int]  # 0 is Monday: the day on which the band begins

    def holds(self, at: datetime) -> bool:
        minute = at.hour * 60 + at.minute
        if self.begin < self.end:
            return at.weekday() in self.days and self.begin <= minute < self.end
        if minute >= self.begin:
            return at.weekday() in self.days
        return minute < self.end and (at.weekday() - 1) % 7 in self.days


@dataclass(frozen=True, slots=True)
class Rate:
    """None fits any."""

    kind: str | None
    tenant: str | None
    zone: str | None
    band: str | None
    set_up: Decimal
    per_minute: Decimal
    increment: int  # seconds
    minimum: int  # seconds


@dataclass(frozen=True, slots=True)
class Version:
    effective: float  # ms since the epoch
    label: str
    bands: tuple[Band, ...]
    rates: tuple[Rate, ...]


@dataclass(frozen=True, slots=True)
class Tariff:
    name: str
    currency: str
    decimals: int
    rounding: str
    utc_offset: int  # minutes east of UTC that the bands are meant in
    zones: dict[str, str]  # exchange -> zone
    versions: tuple[Version, ...]  # oldest first

    def at(self, when: float) -> Version | None:
        held = [version for version in self.versions if version.effective <= when]
        return held[-1] if held else None


class NotRatedError(ValueError):
    """No version or rate of the tariff fits the call; the text says which it lacks."""


def rate(record: Record, tariff: Tariff) -> dict[str, str]:
    """The fields of a rating correction for this record."""
    intent = record.intent
    version = tariff.at(intent.at)
    if version is None:
        raise NotRatedError(f"no version of {tariff.name} was effective when the call came")
    local = datetime.fromtimestamp(intent.at / 1000.0, UTC) + timedelta(minutes=tariff.utc_offset)
    bands = {band.name for band in version.bands if band.holds(local)}
    zone = tariff.zones.get(intent.destination, "")
    for each in version.rates:
        fits = (
            each.kind in (None, intent.kind)
            and each.tenant in (None, intent.tenant)
            and each.zone in (None, zone)
            and (each.band is None or each.band in bands)
        )
        if fits:
            seconds, amount = _charge(record, each)
            quantum = Decimal(1).scaleb(-tariff.decimals)
            return {
                "tariff": tariff.name,
                "version": version.label,
                "band": each.band or "",
                "zone": zone,
                "seconds": str(seconds),
                "amount": str(amount.quantize(quantum, ROUNDING[tariff.rounding])),
                "currency": tariff.currency,
            }
    raise NotRatedError(
        f"no rate of {tariff.name}, version {version.label}, fits class {intent.kind!r}, tenant "
        f"{intent.tenant!r}, zone {zone!r}"
    )


def _charge(record: Record, each: Rate) -> tuple[int, Decimal]:
    if record.answered is None:
        interrupted = record.intent.outcome is Outcome.INTERRUPTED
        return 0, each.set_up if interrupted else Decimal(0)
    if record.ended is None:
        return 0, each.set_up
    lasted = ceil(max(0.0, record.ended - record.answered) / 1000.0)
    seconds = ceil(max(lasted, each.minimum) / each.increment) * each.increment
    return seconds, each.set_up + each.per_minute * Decimal(seconds) / Decimal(60)


def newest_ratings(corrections: list[Correction]) -> dict[str, Correction]:
    """The rating that counts for each call: the newest written."""
    return {each.id: each for each in corrections if each.reason == RATED}


def to_write(
    records: dict[str, Record], corrections: list[Correction], tariff: Tariff, now: float
) -> tuple[list[Correction], dict[str, str]]:
    """Ratings that are not there yet, or differ from the one that counts; and why some calls have none."""
    known = newest_ratings(corrections)
    made, problems = [], {}
    for call, record in records.items():
        try:
            fields = rate(record, tariff)
        except NotRatedError as fault:
            problems[call] = str(fault)
            continue
        before = known.get(call)
        if before is None or before.fields != fields:
            made.append(Correction(call, now, RATED, fields))
    return made, problems
