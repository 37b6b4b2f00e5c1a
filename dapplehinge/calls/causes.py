"""Cause codes (Q.850, as RFC 5456 section 8.6.21 has them) to the module's outcomes, and back.

What the module asks of an ended attempt: did it ever run (else it is sent again at once), is its switch at
fault (then the rung shuts), must the release be awaited (time-out, cut, cancel). A refusal by REJECT says
that nothing ran. A leg that was taken, by ACCEPT or without a word, and released before it stands was cut.
An end without a word is a time-out.
"""

from __future__ import annotations

from dataclasses import dataclass

from dapplehinge.iax2.codes import CauseCode as Code
from dapplehinge.interface import Cause, Outcome


@dataclass(frozen=True, slots=True)
class Verdict:
    outcome: Outcome
    cause: Cause
    concluded: bool = False  # no other route helps: the call ends with this cause


_NO_CIRCUIT = frozenset(
    {Code.NO_CIRCUIT_AVAILABLE, Code.REQUESTED_CHANNEL_UNAVAILABLE, Code.RESOURCE_UNAVAILABLE}
)
_OUT_OF_ORDER = frozenset(
    {Code.DESTINATION_OUT_OF_ORDER, Code.NETWORK_OUT_OF_ORDER, Code.TEMPORARY_FAILURE}
)


def verdict(cause: int, tandem: bool, may_have_run: bool, lost: bool, invalid: bool) -> Verdict:
    """What the end of an attempt before it stood means to the module."""
    if lost:
        return Verdict(Outcome.TIMED_OUT, Cause.NONE)
    if invalid:
        return Verdict(Outcome.CUT, Cause.NONE)
    if cause == Code.USER_BUSY:
        return Verdict(Outcome.LINE_BUSY, Cause.LINES_ENGAGED)
    if cause in _NO_CIRCUIT:
        return Verdict(Outcome.REJECTED, Cause.TURNED_BACK if tandem else Cause.NO_CIRCUIT)
    if cause == Code.SWITCH_CONGESTION:
        return Verdict(Outcome.REJECTED, Cause.TURNED_BACK_FULL if tandem else Cause.PROCESSOR_FULL)
    if cause in _OUT_OF_ORDER:
        if tandem:
            return Verdict(Outcome.REJECTED, Cause.TURNED_BACK)
        return Verdict(Outcome.CUT if may_have_run else Outcome.UNREACHABLE, Cause.NONE)
    if cause in (Code.RECOVERY_ON_TIMER_EXPIRY, Code.NONE):
        return Verdict(Outcome.CUT, Cause.NONE)
    return Verdict(Outcome.REJECTED, Cause.NONE, concluded=True)


def refusal(in_transit: bool, last: Verdict | None, engaged: bool) -> tuple[int, str]:
    """What a caller, or the proxy that sent a call in transit, is told when the module refuses."""
    if engaged:
        return Code.USER_BUSY, "engaged"
    if in_transit:
        if last is not None and last.cause is Cause.PROCESSOR_FULL:
            return Code.SWITCH_CONGESTION, "turned back: the switch beyond is full"
        return Code.NO_CIRCUIT_AVAILABLE, "turned back"
    if last is not None and last.outcome is Outcome.LINE_BUSY:
        return Code.USER_BUSY, "engaged"
    if last is not None and last.outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED):
        return Code.RECOVERY_ON_TIMER_EXPIRY, "no answer from the far end"
    if last is not None and last.cause in (Cause.NO_CIRCUIT, Cause.TURNED_BACK):
        return Code.NO_CIRCUIT_AVAILABLE, "no circuit free"
    return Code.SWITCH_CONGESTION, "refused"


def failure(last: Verdict | None) -> tuple[int, str]:
    """What a caller is told when the module fails a call."""
    if last is not None and last.outcome is Outcome.LINE_BUSY:
        return Code.USER_BUSY, "engaged"
    if last is None or last.outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED):
        return Code.RECOVERY_ON_TIMER_EXPIRY, "no answer from the far end"
    return Code.TEMPORARY_FAILURE, "failed"
