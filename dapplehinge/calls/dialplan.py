"""Digits to destination, by the longest prefix: a trie of one dict a digit."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Destination:
    prefix: str
    exchange: int
    kind: int | None  # class of call; None: the origin's


@dataclass(slots=True)
class _Node:
    beyond: dict[str, _Node] = field(default_factory=dict)
    here: Destination | None = None


# DPSTATUS bits, RFC 5456 section 8.6.20
EXISTS, CAN_EXIST, NON_EXISTENT = 0x1, 0x2, 0x4


class DialPlan:
    """Longest prefix wins. `shortest` and `longest` bound the digits of a whole number."""

    def __init__(self, destinations: tuple[Destination, ...], shortest: int = 1, longest: int = 32) -> None:
        self.shortest = shortest
        self.longest = longest
        self.root = _Node()
        for each in destinations:
            node = self.root
            for digit in each.prefix:
                node = node.beyond.setdefault(digit, _Node())
            if node.here is not None:
                raise ValueError(f"prefix {each.prefix!r} stands twice in the dial plan")
            node.here = each

    def find(self, number: str) -> Destination | None:
        """The destination of a whole number, or None where it is no number of this plan."""
        if not self.shortest <= len(number) <= self.longest:
            return None
        node, found = self.root, self.root.here
        for digit in number:
            following = node.beyond.get(digit)
            if following is None:
                break
            node = following
            if node.here is not None:
                found = node.here
        return found

    def status(self, number: str) -> int:
        """DPSTATUS bits for digits dialled so far (DPREP, RFC 5456 section 6.8.2)."""
        if self.find(number) is not None:
            return EXISTS
        if len(number) < self.longest:
            node: _Node | None = self.root
            for digit in number:
                node = node.beyond.get(digit) if node else None
                if node is not None and node.here is not None:
                    return CAN_EXIST  # a known prefix that lacks digits
            if node is not None and (node.beyond or node.here):
                return CAN_EXIST
        return NON_EXISTENT
