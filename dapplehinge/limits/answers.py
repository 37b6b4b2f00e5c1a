"""Answers given to openings that left no state behind: which are remembered, for how long, and how many.

An opening is a caller's first message of a call (NEW, INVITE). A refusal that leaves no leg is a final answer
all the same: where it is lost, or the opening was doubled or comes late, the next copy must get it again,
though the limit that refused would now let it in. So a refusal is remembered under the opening's whole
identity until no copy can come any more.

Nothing is ever pushed out to make room. When the room is used up, the refusal is *not given*: the opening is
dropped without a word, as if the network had lost it, and what was never answered may be judged anew. So a
flood can make refusals silent, but can't make the box take back one that it gave. One host may use `part` of
the room, so that it silences itself before it silences others.

An identity is whatever the front ties a copy to its call by; it is compared whole (address, call number,
time-stamp and a 128-bit digest of the rest), so that two calls never share one.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Hashable
from typing import Generic, TypeVar

Answer = TypeVar("Answer")

KEPT = 20_000.0
"""ms for which an answer is kept: a caller's repeats end within 10 s, and one may be 10 s under way."""

MOST = 131_072
"""Answers kept at most; some 300 bytes each, so 40 MB. At 3,500 refusals a second it holds for 37 s."""

PART = 0.5
"""Part of the room that one host may use."""


class Answers(Generic[Answer]):
    """`most` 0: without a bound of its own, where the number of entries is bounded by what makes them."""

    def __init__(self, kept: float = KEPT, most: int = MOST, part: float = PART) -> None:
        self.kept = kept
        self.most = most
        self.most_of_host = max(1, int(most * part))
        self.silent = 0  # refusals that were not given, as they could not be kept
        self._known: dict[Hashable, tuple[float, Answer]] = {}
        self._order: deque[tuple[float, Hashable, str]] = deque()
        self._of_host: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._known)

    def find(self, opening: Hashable) -> Answer | None:
        """The answer that this opening was given; None where it is not known to have had one."""
        found = self._known.get(opening)
        return found[1] if found is not None else None

    def keep(self, opening: Hashable, host: str, answer: Answer, now: float) -> bool:
        """Remember an answer that is about to be given; False: no room, so it must not be given."""
        self.forget(now)
        known = opening in self._known
        if self.most and not known and (
            len(self._known) >= self.most or self._of_host[host] >= self.most_of_host
        ):
            self.silent += 1
            return False
        until = now + self.kept
        self._known[opening] = (until, answer)
        self._order.append((until, opening, host))
        self._of_host[host] += 1
        return True

    def forget(self, now: float) -> None:
        """Let go of what no copy can come for any more; the span is one for all: the oldest stand first."""
        order = self._order
        while order and order[0][0] <= now:
            until, opening, host = order.popleft()
            self._of_host[host] -= 1
            if not self._of_host[host]:
                del self._of_host[host]
            found = self._known.get(opening)
            if found is not None and found[0] <= until:  # else it was answered again since
                del self._known[opening]
