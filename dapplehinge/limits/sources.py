"""Limits by source network: the longest prefix that holds a host says what its network may use.

A rule counts all hosts of its network together, or each host on its own (`each_host`). A host that no rule
holds comes under the default, on its own.
"""

from __future__ import annotations

import ipaddress
from collections import Counter
from dataclasses import dataclass

import pytricia

from dapplehinge.limits.rates import Rates


@dataclass(frozen=True, slots=True)
class SourceRule:
    network: str
    per_second: float  # set-ups
    burst: float
    calls: int  # call numbers held at once
    each_host: bool = True


class Sources:
    def __init__(self, rules: tuple[SourceRule, ...], default: SourceRule) -> None:
        self.default = default
        self.four = pytricia.PyTricia(32)
        self.six = pytricia.PyTricia(128)
        for rule in rules:
            tree = self.six if ":" in rule.network else self.four
            tree[rule.network] = rule
        self.rates = Rates()
        self.held: Counter[object] = Counter()
        self._known: dict[str, tuple[SourceRule, object]] = {}

    def rule(self, host: str) -> tuple[SourceRule, object]:
        """The host's rule, and the key that its use is counted under."""
        found = self._known.get(host)
        if found is None:
            if len(self._known) >= 10_000:
                self._known.clear()  # answers of the tries, kept for speed alone
            tree = self.six if ":" in host else self.four
            try:
                rule = tree.get(str(ipaddress.ip_address(host))) or self.default
            except ValueError:
                rule = self.default
            found = (rule, host if rule.each_host else rule.network)
            self._known[host] = found
        return found

    def take(self, host: str, now: float) -> tuple[str, float]:
        """Use one set-up: an empty reason where it may, else why not and the ms to wait."""
        rule, key = self.rule(host)
        if self.held[key] >= rule.calls:
            return "too many calls at once from this network", 1000.0
        wait = self.rates.take(key, rule.per_second, rule.burst, now)
        if wait:
            return "too many set-ups a second from this network", wait
        return "", 0.0

    def began(self, host: str) -> None:
        self.held[self.rule(host)[1]] += 1

    def ended(self, host: str) -> None:
        key = self.rule(host)[1]
        self.held[key] -= 1
        if self.held[key] <= 0:
            del self.held[key]
