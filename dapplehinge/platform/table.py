"""The entries of the call table: calls with their one attempt, switches with their connections."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from dapplehinge import interface as api
from dapplehinge.platform.offers import Offer
from dapplehinge.platform.switch_releases import SwitchReleases
from dapplehinge.platform.telemetry import History

MAX_UNCONFIRMED_RELEASES = 256
"""Releases written to a link that are written to the next one if it closes before they are confirmed."""

MAX_KEPT_RELEASES = 4096
"""Releases kept for a switch to which no link is up."""


@dataclass(slots=True)
class Attempt:
    number: int
    peer: Peer
    asked: float
    due: float
    link: int = 0  # that it was given to; 0: none yet


@dataclass(slots=True)
class Call:
    id: int
    number: int  # the module's name of it
    conn: int
    offer: Offer | None  # while it is trying
    echo: bytes
    dialled: str
    history: History | None = None  # while it is trying
    attempts: int = 0
    out: Attempt | None = None
    doubtful_end: float = -inf
    last: api.Outcome | None = None
    engaged: bool = False
    stands_at: Peer | None = None
    link: int = 0  # that its set-up went out on; 0: another proxy's
    linked_at: float = -inf  # ms at which that came up


@dataclass(slots=True)
class Link:
    """A connection to a switch that is up."""

    since: float
    heard: float  # when something came on it last
    suspect: bool = False  # it says nothing though it should
    out: set[int] = field(default_factory=set)  # ids of the calls out on it
    releases: SwitchReleases = field(  # unconfirmed
        default_factory=lambda: SwitchReleases(MAX_UNCONFIRMED_RELEASES)
    )
    without_circuit: frozenset[int] = frozenset()  # ids of calls that stood as it told of an empty group


@dataclass(slots=True)
class Peer:
    """A switch: its links, and what waits for one.

    Its id stays the same when its process starts again: which process a link leads to follows from when
    the link came up.
    """

    number: api.SwitchId
    id: str
    address: tuple[str, int]
    replaced: bool = False  # the list has told another switch at its address
    draining: bool = False  # it may refuse new connections, and what stands there goes on
    links: dict[int, Link] = field(default_factory=dict)
    last_heard: float = 0.0  # on any link, also those that have gone
    opening: int = 0  # link that is being made
    again: bool = False  # one more is to be made after it
    failures: int = 0
    refused_since: float = inf
    wanting: dict[int, Call] = field(default_factory=dict)
    standing: set[int] = field(default_factory=set)
    started_at: float = 0.0  # ms, of its process, as the list told last; 0: before all else
    circuits: int = 0  # of the group to it, as it told last; 0: not told yet
    releases: SwitchReleases = field(default_factory=lambda: SwitchReleases(MAX_KEPT_RELEASES))
