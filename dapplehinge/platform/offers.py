"""Set-ups as callers send them: the fields of an INVITE, checked against the settings.

What does not fit is refused here and never reaches a switch: names that the settings don't have, figures
that are none or out of range. That is reading, not deciding.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from dapplehinge.platform.settings import Facts
from dapplehinge.sip.codec import Message

ID = re.compile(r"[0-9a-fA-F]{16}\Z")
URI = re.compile(r"sip:([0-9A-Za-z]{0,32})@[0-9A-Za-z.\-]{1,64}(?::\d{1,5})?\Z")
DECIMAL = re.compile(r"\d{1,9}(\.\d{1,6})?\Z")
INTEGER = re.compile(r"-?\d{1,9}\Z")
SWITCH = re.compile(r"[\x21-\x7e]{1,64}\Z")
MOST_EXCHANGE = 0xFFFF
MAX_PATH_PARTS = 32
"""Of P-Path; the protocol has six."""


class OfferError(Exception):
    """A set-up that makes no sense; the text names the field."""


def call_id_of(message: Message) -> int:
    """The 64 bits that identify a call; `OfferError` where the Call-ID is not 16 hex digits."""
    if not ID.match(message.call_id):
        raise OfferError(f"Call-ID {message.call_id[:40]!r}: 16 hex digits are needed")
    return int(message.call_id, 16)


@dataclass(frozen=True, slots=True)
class Offer:
    id: int
    kind: str  # class, as the settings name it
    call_class: int
    tenant: int
    number: str  # dialled, as text
    budget: float  # ms
    destination: int
    width: int
    via: int
    in_transit: bool
    again: bool
    redialled: bool
    standing_at: str  # id of the switch where it stands already; "": a new set-up
    description: bytes


class OfferReader:
    def __init__(self, facts: Facts) -> None:
        lanes = range(int(facts.number("lanes.count")))
        names = [facts.text(f"lanes.{lane}.name", str(lane)) for lane in lanes]
        self.classes = {name: lane for lane, name in enumerate(names)}
        self.longest = [facts.number(f"lanes.{lane}.deadline", "1e9") for lane in lanes]
        tenants = range(int(facts.number("tenants.count", "0")))
        self.tenants = {facts.text(f"tenants.{each}.name", str(each)): each for each in tenants}
        widths = [int(float(part)) for part in facts.items("family_info.channels_needed")]
        self.widest = max(widths, default=MOST_EXCHANGE)

    def read(self, message: Message) -> Offer:
        """The set-up of an INVITE; `OfferError` names what is wrong with it."""
        fields = message.fields
        id_ = call_id_of(message)
        uri = URI.match(message.uri)
        if uri is None:
            raise OfferError(f"request URI {message.uri[:40]!r}")
        kind = fields.get("p-kind", "")
        lane = self.classes.get(kind)
        if lane is None:
            raise OfferError(f"P-Kind {kind[:40]!r}: no such class")
        tenant = 0
        if self.tenants:
            found = self.tenants.get(fields.get("p-billed", ""))
            if found is None:
                raise OfferError(f"P-Billed {fields.get('p-billed', '')[:40]!r}: no such tenant")
            tenant = found
        path = self._path(fields.get("p-path", ""))
        at = path.get("at", "")
        if at and not SWITCH.match(at):
            raise OfferError(f"P-Path at {at[:40]!r}")
        if "dest" not in path and not at:
            raise OfferError("P-Path without dest")
        destination = self._whole(path, "dest", "0", 0, MOST_EXCHANGE)
        left = fields.get("p-time-left", "0" if at else "")
        if not DECIMAL.match(left) or not at and not 0 < float(left) <= self.longest[lane]:
            raise OfferError(f"P-Time-Left {left[:40]!r}: up to {self.longest[lane]:g} ms are possible")
        again = fields.get("p-second-try", "0")
        if again not in ("0", "1"):
            raise OfferError(f"P-Second-Try {again[:40]!r}")
        return Offer(
            id=id_,
            kind=kind,
            call_class=lane,
            tenant=tenant,
            number=uri[1],
            budget=float(left),
            destination=destination,
            width=self._whole(path, "width", "1", 1, self.widest),
            via=self._whole(path, "via", "-1", -1, MOST_EXCHANGE),
            in_transit=self._flag(path, "transit"),
            again=self._flag(path, "again"),
            redialled=again == "1",
            standing_at=at,
            description=message.body,
        )

    @staticmethod
    def _path(text: str) -> dict[str, str]:
        if text.count(";") >= MAX_PATH_PARTS:
            raise OfferError(f"P-Path has over {MAX_PATH_PARTS} parts")
        path: dict[str, str] = {}
        for part in text.split(";"):
            name, _, value = part.strip().partition(":")
            if name in path:
                raise OfferError(f"P-Path names {name[:20]} twice")
            if name:
                path[name] = value
        return path

    @staticmethod
    def _whole(path: dict[str, str], name: str, default: str, least: int, most: int) -> int:
        text = path.get(name, default)
        if text.endswith(".0"):
            text = text[:-2]
        if not INTEGER.match(text) or not least <= int(text) <= most:
            raise OfferError(f"P-Path {name} {text[:40]!r}: {least} to {most} are possible")
        return int(text)

    @staticmethod
    def _flag(path: dict[str, str], name: str) -> bool:
        text = path.get(name, "0")
        if text not in ("0", "1"):
            raise OfferError(f"P-Path {name} {text[:40]!r}: 0 or 1")
        return text == "1"


def dialled(number: str) -> int:
    """The number called as the module compares it; 0: none."""
    try:
        return int(number, 16) & (1 << 64) - 1
    except ValueError:
        return 0
