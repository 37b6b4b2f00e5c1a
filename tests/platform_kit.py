"""Builders for the platform's tests: settings as JSON, lists, offers, and a service on a scripted clock."""

from __future__ import annotations

from typing import Any

from dapplehinge.platform import actions as act
from dapplehinge.platform.members import Members
from dapplehinge.platform.offers import OfferReader
from dapplehinge.platform.service import Service
from dapplehinge.platform.settings import Facts
from dapplehinge.sip.codec import Message, Reader

SETTINGS: dict[str, Any] = {
    "contract": {
        "cold": 15000.0,
        "cold_share": 0.3,
        "fall_multiple": 3.0,
        "grace_to_answer": 20.0,
        "stop_sending_within": 250.0,
        "tip_after": 1500.0,
    },
    "discovery": "pushed",
    "family_info": {"guard": 300.0, "layout": "network", "own_number": 0, "channels_needed": [1, 1]},
    "lanes": [
        {"name": "voice", "target": 2000.0, "deadline": 9000.0, "worth": 1.0, "late_worth": 0.25},
        {"name": "bid confirm", "target": 1200.0, "deadline": 6000.0, "worth": 5.0, "late_worth": 0.25},
    ],
    "n_instances": 4,
    "policy_limits": {
        "cancel": True,
        "connect_timeout": 500.0,
        "max_attempts": 4,
        "max_retry_after": 2000.0,
        "probes": True,
        "retry_after": True,
    },
    "position": 0,
    "reporting": {"names": ["idle", "circuits", "recent_ms", "max_rate"]},
    "round": 5.0,
    "tenants": [{"name": "acme", "quota_rps": 20.0, "share": 1.0}],
    "zones": ["east", "west"],
    "extra": None,
}


def row(place: int, state: str = "active", id_: str = "", **changes: Any) -> dict[str, Any]:
    return {
        "id": id_ or f"s-{place}",
        "addr": f"127.0.0.{place + 1}:2905",
        "zone": "west",
        "kind": "std",
        "cell": place,
        "state": state,
        "weight": 1,
        "started_ms": 0,
    } | changes


def event(number: int, *rows: dict[str, Any], full: bool = False) -> dict[str, Any]:
    return {"n": number, "members": {"version": number, "full": full, "servers": list(rows)}}


def told(*events: dict[str, Any]) -> dict[str, Any]:
    return {"n": events[-1]["n"], "events": list(events)}


def said(
    call: int = 0x11, path: str = "dest:1;width:1;via:-1", number: str = "00000000000000aa", **fields: str
) -> bytes:
    """An INVITE. `fields`: P- headers by name with `_`, such as `time_left`; an empty one is left out."""
    head = {"Kind": "voice", "Billed": "acme", "Time-Left": "3000", "Path": path}
    head |= {name.replace("_", "-").title(): value for name, value in fields.items()}
    lines = "".join(f"P-{name}: {value}\r\n" for name, value in head.items() if value)
    return (
        f"INVITE sip:{number}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call:016x}\r\n"
        f"CSeq: 1 INVITE\r\n{lines}Content-Length: 4\r\n\r\nbody"
    ).encode()


def invite(*args: Any, **fields: str) -> Message:
    """The same, read."""
    [message], fault = Reader().feed(said(*args, **fields))
    assert fault is None
    return message


class Rig:
    """A service with four switches; exchange n has the id s-n; switch numbers are found by `peer`."""

    def __init__(self, linked: bool = True) -> None:
        facts = Facts.from_object(SETTINGS)
        self.now = 10_000.0
        self.service = Service(facts, 7)
        self.offers = OfferReader(facts)
        self.members = Members(facts.items("zones"), 0.0)
        self.service.start(self.now)
        self.events = 0
        self.first = self.list(*[row(place) for place in range(4)], full=True)
        if linked:
            for action in self.first:
                if isinstance(action, act.OpenLink):
                    self.service.link_up(action.link, self.now)
            self.taken()

    def taken(self) -> list[act.Action]:
        actions, self.service.actions = self.service.actions, []
        return actions

    def list(self, *rows: dict[str, Any], full: bool = False) -> list[act.Action]:
        self.events += 1
        changes, fault = self.members.take(told(event(self.events, *rows, full=full)))
        assert fault is None
        for change in changes:
            self.service.told(change, self.now)
        return self.taken()

    def peer(self, place: int) -> Any:
        return self.service.by_id[f"s-{place}"]

    def link(self, place: int) -> int:
        return next(iter(self.peer(place).links))

    def fail_links(self, seen: list[act.Action], refused: bool) -> list[act.Action]:
        """No link that is to be made comes up."""
        for action in of(seen, act.OpenLink):
            self.service.link_failed(action.link, refused, self.now)
        return self.taken()

    def wait(self, span: float) -> list[act.Action]:
        """Let time pass, the timer running when it is due."""
        end, seen = self.now + span, []
        while self.service.next_due <= end:
            self.now = max(self.now, self.service.next_due)
            self.service.due(self.now)
            seen += self.taken()
        self.now = end
        return seen

    def offer(self, call: int = 0x11, conn: int = 1, **changes: str) -> list[act.Action]:
        offer = self.offers.read(invite(call, **changes))
        assert self.service.offered(conn, offer, b"echo", self.now)
        return self.taken()

    def answered(self, call: int = 0x11, place: int = 1, text: bytes = b"there") -> list[act.Action]:
        self.now += 1
        self.service.heard(self.link(place), self.now)
        self.service.answered(self.link(place), call, text, self.now)
        return self.taken()

    def released(self, call: int = 0x11, place: int = 1, cause: int = 16, note: str = "") -> list[act.Action]:
        self.service.heard(self.link(place), self.now)
        self.service.released(self.link(place), call, cause, note, (), self.now)
        return self.taken()


def of(actions: list[act.Action], kind: type) -> list[Any]:
    return [action for action in actions if isinstance(action, kind)]
