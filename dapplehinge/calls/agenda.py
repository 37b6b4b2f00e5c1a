"""Things that fall due, in the order of their times and then of their entry."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from heapq import heapify, heappop, heappush
from math import inf
from typing import Generic, TypeVar

Thing = TypeVar("Thing")


class Agenda(Generic[Thing]):
    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Thing]] = []
        self._ticket = 0

    def at(self, due: float, thing: Thing) -> None:
        self._ticket += 1
        heappush(self._heap, (due, self._ticket, thing))

    def __len__(self) -> int:
        return len(self._heap)

    @property
    def due(self) -> float:
        """When the next thing falls due; infinite where there is none."""
        return self._heap[0][0] if self._heap else inf

    def ready(self, now: float) -> Iterator[tuple[float, Thing]]:
        """What is due by now, with its time; what is entered meanwhile and due already comes too."""
        while self._heap and self._heap[0][0] <= now:
            due, _, thing = heappop(self._heap)
            yield due, thing

    def things(self) -> list[Thing]:
        return [thing for _, _, thing in self._heap]

    def keep(self, wanted: Callable[[Thing], bool]) -> None:
        self._heap = [entry for entry in self._heap if wanted(entry[2])]
        heapify(self._heap)
