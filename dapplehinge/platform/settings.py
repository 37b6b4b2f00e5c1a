"""Settings of an instance, read alike for the bench's adapter and for the operators' platform.

The bench sends them as lines `path=value`, the platform as nested JSON with the same names and units
(`from_object` flattens it). The words that reports, repeats and layouts are told in are here too, so that
both ways in give the module the same. It needs the standard library only.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any, TypeVar

from dapplehinge import interface as api

T = TypeVar("T")


class SettingsError(Exception):
    """A setting is missing or makes no sense; the text names its path."""


LOADS = {
    "idle": api.Load.FREE_CIRCUITS,
    "circuits": api.Load.GROUP_SIZE,
    "outstanding": api.Load.OUTSTANDING,
    "backlog": api.Load.BACKLOG,
    "utilization": api.Load.UTILIZATION,
    "recent_ms": api.Load.WAIT,
    "max_rate": api.Load.SET_UP_RATE,
    "reduce": api.Load.HOLD_BACK,
}
REPEATS = {
    "idempotent": api.Repeat.FREELY,
    "deduplicated": api.Repeat.WITHIN_GROUP,
    "at_most_once": api.Repeat.NEVER,
}
GROUPS = {"all": api.RepeatGroup.ALL, "zone": api.RepeatGroup.ZONE, "cell": api.RepeatGroup.EXCHANGE}
LAYOUTS = {"network": api.Layout.NETWORK, "skills": api.Layout.POOLS}


REPORT_WORDS = {
    "x0": api.Load.FREE_CIRCUITS,
    "x1": api.Load.GROUP_SIZE,
    "inflight": api.Load.OUTSTANDING,
    "queue": api.Load.BACKLOG,
    "util": api.Load.UTILIZATION,
    "latency_ms": api.Load.WAIT,
    "qps": api.Load.SET_UP_RATE,
    "eps": api.Load.HOLD_BACK,
} | LOADS
"""The names that report fields have on the platform's sockets: the site files' words or the settings'."""


class Facts:
    """The settings of one instance, as path and value."""

    def __init__(self, text: str) -> None:
        self.values: dict[str, str] = {}
        for line in text.splitlines():
            if line.strip():
                path, sign, value = line.partition("=")
                if not sign:
                    raise SettingsError(f"setting without a value: {line[:60]!r}")
                if value.strip() != "null":  # absent
                    self.values[path.strip()] = value.strip()

    @classmethod
    def from_object(cls, settings: object) -> Facts:
        """From nested JSON, flattened as the bench's lines are: plain lists joined by commas, lists of
        objects as `count` and numbered items, spaces and commas inside values replaced by `_`.
        """
        facts = cls("")
        facts.values.update(flattened("", settings))
        return facts

    def text(self, path: str, default: str | None = None) -> str:
        value = self.values.get(path, default)
        if value is None:
            raise SettingsError(f"required setting missing: {path}")
        return value

    def number(self, path: str, default: str | None = None) -> float:
        text = self.text(path, default)
        try:
            return float(text)
        except ValueError:
            raise SettingsError(f"setting {path} is not a number: {text[:60]!r}") from None

    def flag(self, path: str) -> bool:
        return self.text(path, "false") == "true"

    def pick(self, path: str, known: dict[str, T], default: str) -> T:
        text = self.text(path, default)
        if text not in known:
            raise SettingsError(f"setting {path} has an unknown value: {text[:60]!r}")
        return known[text]

    def items(self, path: str) -> list[str]:
        return [part for part in self.text(path, "").split(",") if part]


def flattened(path: str, value: Any) -> Iterator[tuple[str, str]]:
    """Pairs of path and text of a JSON value; what is null is left out, as if it were absent."""
    inner = f"{path}." if path else ""
    if isinstance(value, dict):
        for name, part in value.items():
            yield from flattened(f"{inner}{name}", part)
    elif isinstance(value, list):
        if any(isinstance(part, dict | list) for part in value):
            yield f"{inner}count", str(len(value))
            for index, part in enumerate(value):
                yield from flattened(f"{inner}{index}", part)
        else:
            yield path, ",".join(plain(part) for part in value)
    elif value is not None:
        yield path, plain(value)


def plain(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return re.sub(r"[ ,]", "_", str(value))


def pools_of(facts: Facts, index: int) -> tuple[int, ...]:
    """The pools of one class: a list of its own under its index, or one part of a joined list."""
    own = facts.text(f"family_info.pools_by_class.{index}", "")
    if not own:
        joined = facts.text("family_info.pools_by_class", "")
        parts = re.findall(r"\[([^\]]*)\]", joined) or joined.split(",")
        own = parts[index] if index < len(parts) else ""
    return tuple(int(part) for part in re.findall(r"\d+", own))


def settings_from(facts: Facts) -> api.Settings:
    classes = []
    for index in range(int(facts.number("lanes.count"))):
        base = f"lanes.{index}."
        classes.append(
            api.CallClass(
                target=facts.number(base + "target"),
                worth=facts.number(base + "worth", "1"),
                late_worth=facts.number(base + "late_worth", "0"),
                repeat=facts.pick(base + "repeat", REPEATS, "idempotent"),
                repeat_group=facts.pick(base + "group", GROUPS, "all"),
                repeat_window=facts.number(base + "window", "0"),
                pools=pools_of(facts, index),
            )
        )
    quotas = range(int(facts.number("tenants.count", "0")))
    heeded = facts.flag("policy_limits.retry_after")
    return api.Settings(
        classes=tuple(classes),
        own_exchange=int(facts.number("family_info.own_number", "-1")),
        position=int(facts.number("position", "0")),
        proxies=int(facts.number("n_instances")),
        layout=facts.pick("family_info.layout", LAYOUTS, "network"),
        guard=facts.number("family_info.guard"),
        max_attempts=int(facts.number("policy_limits.max_attempts")),
        round_span=facts.number("round"),
        answer_grace=facts.number("contract.grace_to_answer"),
        cold_share=facts.number("contract.cold_share"),
        cold_span=facts.number("contract.cold"),
        fall_multiple=facts.number("contract.fall_multiple"),
        tip_after=facts.number("contract.tip_after"),
        stop_sending_within=facts.number("contract.stop_sending_within"),
        tenant_quotas=tuple(facts.number(f"tenants.{index}.quota_rps") for index in quotas),
        over_share_worth=facts.number("over_share_worth", "1"),
        must_ask_for_list=facts.text("discovery", "pushed") == "on_request",
        ask_within=facts.number("contract.ask_within", "10000"),
        may_cancel=facts.flag("policy_limits.cancel"),
        may_probe=facts.flag("policy_limits.probes"),
        may_tell_peers=facts.flag("policy_limits.peers"),
        stay_away_heeded=facts.number("policy_limits.max_retry_after", "0") if heeded else 0.0,
    )
