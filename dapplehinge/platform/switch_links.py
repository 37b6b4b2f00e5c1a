"""Connections to switches: when one is made, which may be used, which are taken for silent; without I/O.

Links are held to every switch on the list from the start, since the states of the groups come over them. A
link that was lost is made again at once, then at doubling gaps. An open link proves nothing: one on which a
set-up went out and nothing came is suspect, and so are all links of a switch that has said nothing for some
time. Where no link is left that can be used a new one is tried; as soon as something comes on any, the
suspect ones are dropped.
"""

from __future__ import annotations

from math import inf
from typing import Protocol

from dapplehinge import interface as api
from dapplehinge.platform import actions as act
from dapplehinge.platform.descriptors import MAX_LINKS
from dapplehinge.platform.table import Link, Peer
from dapplehinge.platform.telemetry import LinkClose, Metrics

FIRST_RECONNECT_DELAY_MS, MAX_RECONNECT_DELAY_MS = 100.0, 1000.0
"""Before a link that failed is opened again; doubled each time in a row."""

MAX_DOUBLINGS = 8

DEAD_AFTER_MS = 1000.0
"""Of connections refused without a break after which no process is at the switch's address."""

QUIET_AFTER_MS = 1500.0
"""Without a word from a switch after which a new connection is tried: that brings the group's state."""

SILENT_AFTER_MS = 6500.0
"""Without any sign of a switch after which its calls are over. The protocol gives 8 s from the end of a
call whose release could not be sent, and it may have ended as the silence began."""

UNCONFIRMED_KEPT_MS = 8000.0
"""For which a release that was written and not confirmed may be written again; confirming is free."""


class LinkOwner(Protocol):
    """The call table, as far as the links need it."""

    now: float  # ms
    metrics: Metrics

    def carry_out(self, action: act.Action) -> None:
        """Ask it of the sockets."""

    def open_link_at(self, when: float, switch: api.SwitchId) -> None:
        """Call `SwitchLinks.open_if_needed` then."""

    def set_ups_cut(self, ids: list[int]) -> None:
        """The link that these were out on is gone."""


class SwitchLinks:
    """All links to all switches; those of one switch are in its `Peer`."""

    def __init__(self, owner: LinkOwner, connect_within_ms: float) -> None:
        self.most_per_switch = MAX_LINKS
        self._owner = owner
        self._connect_within = connect_within_ms
        self._peers: dict[int, Peer] = {}  # by link, up or being made
        self._made = 0

    def peer(self, link: int) -> Peer | None:
        """The switch that a link leads to, up or being made."""
        return self._peers.get(link)

    def taken_over(self, link: int, peer: Peer) -> None:
        """A link leads to another switch than it was made for."""
        self._peers[link] = peer

    @staticmethod
    def usable(peer: Peer) -> int:
        """The link for what goes out now; 0 where none is up that can be trusted."""
        trusted = [number for number, link in peer.links.items() if not link.suspect]
        return min(trusted, key=lambda number: len(peer.links[number].out), default=0)

    # Made and lost

    def open(self, peer: Peer) -> None:
        if peer.replaced:
            return  # another switch is at its address
        self._made += 1
        peer.opening = self._made
        self._peers[peer.opening] = peer
        self._owner.carry_out(act.OpenLink(peer.number, peer.opening, peer.address, self._connect_within))

    def open_if_needed(self, peer: Peer) -> None:
        """The time for another try has come."""
        if not peer.opening and len(peer.links) < self.most_per_switch:
            self.open(peer)

    def up(self, link: int) -> Peer | None:
        """A link was made. None: it is no longer wanted, and is closed."""
        peer = self._peers.get(link)
        if peer is None or peer.opening != link:
            self._owner.carry_out(act.CloseLink(link))
            return None
        peer.opening = 0
        peer.links[link] = Link(self._owner.now, self._owner.now)
        peer.refused_since = inf
        if peer.again:
            peer.again = False
            self._open_later(peer)
        return peer

    def failed(self, link: int, refused: bool) -> Peer | None:
        """A link that was being made did not come up. None: it is not known."""
        peer = self._peers.pop(link, None)
        if peer is None or peer.opening != link:
            return None
        now = self._owner.now
        peer.opening = 0
        self._owner.metrics.link_closes[LinkClose.REFUSED if refused else LinkClose.NOT_UP] += 1
        self._open_later(peer)
        peer.refused_since = min(peer.refused_since, now) if refused else inf
        if refused and peer.links:
            peer.last_heard = now  # it is there: what is dead resets its connections
        return peer

    def dead(self, peer: Peer) -> bool:
        """No process is at its address, as connections are refused; a switch that drains may refuse them."""
        refused_for = self._owner.now - peer.refused_since
        return not peer.links and not peer.draining and refused_for >= DEAD_AFTER_MS

    def lost(self, link: int) -> None:
        """A link that was up has closed, or can't be read any more."""
        peer = self._peers.get(link)
        if peer is None:
            return
        now = self._owner.now
        if now - peer.links[link].since >= MAX_RECONNECT_DELAY_MS:
            peer.last_heard, peer.failures = now, 0
        self._forget(peer, link)
        self._make_up(peer)

    def drop(self, peer: Peer, link: int, why: LinkClose) -> None:
        """Close a link, or give up making it."""
        self._forget(peer, link)
        self._owner.metrics.link_closes[why] += 1
        self._owner.carry_out(act.CloseLink(link))

    def _forget(self, peer: Peer, link: int) -> None:
        del self._peers[link]
        gone = peer.links.pop(link, None)
        if gone is None:
            peer.opening = 0
            return
        self._owner.set_ups_cut(sorted(gone.out))
        recent = self._owner.now - UNCONFIRMED_KEPT_MS
        for release in gone.releases:
            if release.at >= recent:
                peer.releases.add(release)

    def _make_up(self, peer: Peer) -> None:
        """A link has gone: make another, also where some are left.

        A switch sends a release on the link of its set-up and on the next one that is made, so what was on
        its way on the one that has gone comes on a new one only.
        """
        if peer.opening:
            peer.again = True
        elif peer.failures == 0:
            peer.failures = 1
            self.open(peer)
        else:
            self._open_later(peer)

    def _open_later(self, peer: Peer) -> None:
        doublings = min(peer.failures, MAX_DOUBLINGS)
        delay = min(MAX_RECONNECT_DELAY_MS, FIRST_RECONNECT_DELAY_MS * 2.0**doublings)
        peer.failures += 1
        self._owner.open_link_at(self._owner.now + delay, peer.number)

    # Up and silent

    def heard(self, link: int) -> None:
        """Something that can be read came on a link."""
        peer = self._peers.get(link)
        if peer is None:
            return
        here = peer.links[link]
        here.heard = peer.last_heard = self._owner.now
        here.suspect = False
        for number in [number for number, other in peer.links.items() if other.suspect]:
            # another link works: what is out on a silent one is cut, its releases come on the next
            self.drop(peer, number, LinkClose.SILENT)
            if not peer.opening:
                self.open(peer)

    def unheard(self, link: int, sent: int) -> None:
        """A set-up went out on a link some time ago; at the least the group's state should have changed.

        Guards against connections that stay open and are of no further use: a message that stopped short, a
        far end that has forgotten it. A new connection tells which of link and switch is silent.
        """
        peer = self._peers.get(link)
        if peer is not None and peer.links[link].heard <= sent:
            peer.links[link].suspect = True
            self.try_another(peer)

    def try_another(self, peer: Peer) -> None:
        """Where no link is trusted, a new connection tells whether the switch or its links are silent.

        At the most links that a switch may have, the new one takes the place of the oldest: else nothing
        would ever be asked again.
        """
        if peer.opening or self.usable(peer):
            return
        if len(peer.links) >= self.most_per_switch:
            oldest = min(peer.links, key=lambda number: (bool(peer.links[number].out), number))
            self.drop(peer, oldest, LinkClose.SILENT)
        self.open(peer)

    def check(self, peer: Peer) -> bool:
        """Look whether a switch is quiet, a few times a second. True: for so long that its calls are over."""
        now = self._owner.now
        if now - peer.last_heard < QUIET_AFTER_MS:
            return False
        for link in peer.links.values():
            link.suspect = link.suspect or now - link.heard >= QUIET_AFTER_MS
        if peer.links:
            self.try_another(peer)
        return now - peer.last_heard >= SILENT_AFTER_MS
