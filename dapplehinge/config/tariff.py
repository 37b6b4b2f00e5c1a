"""Tariffs in JSON5: read, checked, and turned into what `records/rating.py` reckons with."""

from __future__ import annotations

from datetime import UTC, datetime
from decimal import Decimal
from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field, ValidationError

from dapplehinge.config.load import problem
from dapplehinge.config.schema import Name, Part
from dapplehinge.config.source import ConfigError, Source
from dapplehinge.records.rating import Band, Rate, Tariff, Version

DAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
Clock = Annotated[str, Field(pattern=r"^([01][0-9]|2[0-3]):[0-5][0-9]$")]
Money = Annotated[str, Field(pattern=r"^[0-9]{1,12}(\.[0-9]{1,12})?$")]
"""A string, as JSON's numbers are not exact."""


class BandPart(Part):
    begin: Clock = Field(alias="from")
    end: Clock = Field(alias="to")
    days: list[Literal["mon", "tue", "wed", "thu", "fri", "sat", "sun"]] = list(DAYS)  # type: ignore[arg-type]


class RatePart(Part):
    kind: Name | None = Field(default=None, alias="class")
    tenant: Name | None = None
    zone: Name | None = None
    band: Name | None = None
    set_up: Money = "0"
    per_minute: Money = "0"
    increment: int = Field(default=1, ge=1, le=3600, description="seconds")
    minimum: int = Field(default=0, ge=0, le=86_400, description="seconds")


class VersionPart(Part):
    effective: datetime
    bands: dict[Name, BandPart] = {}
    rates: list[RatePart] = Field(min_length=1)


class TariffPart(Part):
    name: Name
    currency: Annotated[str, Field(pattern=r"^[A-Z]{3}$")]
    decimals: int = Field(default=4, ge=0, le=10)
    rounding: Literal["half_even", "half_up", "up"] = "half_even"
    utc_offset: int = Field(default=0, ge=-720, le=840, description="minutes east")
    zones: dict[Name, list[Name]] = {}
    versions: list[VersionPart] = Field(min_length=1)


def _minutes(text: str) -> int:
    return 60 * int(text[:2]) + int(text[3:])


def load_tariff(path: Path) -> Tariff:
    """Read and check a file; `ConfigError` holds every problem found."""
    source = Source.read(path)
    try:
        part = TariffPart.model_validate(source.values)
    except ValidationError as wrong:
        raise ConfigError([problem(source, error) for error in wrong.errors()]) from None
    problems: list[str] = []
    versions: list[Version] = []
    zones: dict[str, str] = {}
    for zone, exchanges in part.zones.items():
        for index, name in enumerate(exchanges):
            if name in zones:
                where = source.place(("zones", zone, index))
                problems.append(f"{where}: {name!r} lies in zone {zones[name]!r} already")
            zones[name] = zone
    for index, each in enumerate(part.versions):
        base = ("versions", index)
        if each.effective.tzinfo is None:
            where = source.place((*base, "effective"))
            problems.append(f"{where}: a time has its offset, such as 2026-01-01T00:00Z")
        for place, rate in enumerate(each.rates):
            for field, known in (("band", each.bands), ("zone", part.zones)):
                name = getattr(rate, field)
                if name is not None and name not in known:
                    where = source.place((*base, "rates", place, field))
                    problems.append(f"{where}: found {name!r}; allowed: {', '.join(sorted(known)) or 'none'}")
        versions.append(
            Version(
                effective=each.effective.replace(tzinfo=each.effective.tzinfo or UTC).timestamp() * 1000.0,
                label=each.effective.isoformat(),
                bands=tuple(
                    Band(name, _minutes(b.begin), _minutes(b.end), frozenset(map(DAYS.index, b.days)))
                    for name, b in each.bands.items()
                ),
                rates=tuple(
                    Rate(r.kind, r.tenant, r.zone, r.band, Decimal(r.set_up), Decimal(r.per_minute),
                         r.increment, r.minimum)
                    for r in each.rates
                ),
            )
        )  # fmt: skip
    times = [version.effective for version in versions]
    if sorted(set(times)) != sorted(times):
        problems.append(f"{source.place(('versions',))}: two versions are effective from the same time")
    if problems:
        raise ConfigError(problems)
    versions.sort(key=lambda version: version.effective)
    return Tariff(
        part.name, part.currency, part.decimals, part.rounding, part.utc_offset, zones, tuple(versions)
    )
