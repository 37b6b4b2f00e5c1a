"""What a switch says with a release: its cause, note and load report as the module's values."""

from __future__ import annotations

from math import inf

from dapplehinge import interface as api
from dapplehinge.isup.codec import Cause
from dapplehinge.platform.settings import REPORT_WORDS

NOTES = {
    "congestion": api.Cause.NO_CIRCUIT,
    "crankback": api.Cause.TURNED_BACK,
    "remote_throttled": api.Cause.TURNED_BACK_FULL,
    "throttled": api.Cause.PROCESSOR_FULL,
    "engaged": api.Cause.LINES_ENGAGED,
}
OUTCOMES: dict[int, api.Outcome] = {
    Cause.NO_CIRCUIT: api.Outcome.REJECTED,
    Cause.USER_BUSY: api.Outcome.LINE_BUSY,
    Cause.RESOURCE_UNAVAILABLE: api.Outcome.LINE_BUSY,
    Cause.RECOVERY_ON_TIMER: api.Outcome.NOT_SENT,
}
"""What a release before the answer means; with any other cause the set-up was cut."""

MAX_REPORT_FIELDS = 64
"""The settings name a few."""

Report = tuple[tuple[api.Load, float], ...]


class ReportError(Exception):
    """A load report that can't be read."""


def report_from(text: str | None) -> Report:
    """`x0:12;x1:40` as the module's values; fields of unknown names are passed over."""
    if text is not None and text.count(";") > MAX_REPORT_FIELDS:
        raise ReportError(f"over {MAX_REPORT_FIELDS} report fields")
    pairs = []
    for part in (text or "").split(";"):
        name, colon, value = part.partition(":")
        if not part.strip():
            continue
        try:
            figure = float(value)
        except ValueError:
            figure = inf
        if not colon or not -1e12 < figure < 1e12:
            raise ReportError(f"report field {part[:40]!r}")
        load = REPORT_WORDS.get(name.strip())
        if load is not None and figure >= 0:
            pairs.append((load, figure))
    return tuple(pairs)
