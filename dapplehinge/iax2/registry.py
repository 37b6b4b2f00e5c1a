"""Registrations (RFC 5456, section 6.1), both sides, without I/O.

`Registrar` decides on what others ask of us and keeps where each account is until that expires;
`Registration` keeps one of ours alive at a registrar. The engine carries their frames.
"""

from __future__ import annotations

from dataclasses import dataclass
from heapq import heappop, heappush
from math import inf

from dapplehinge.iax2 import auth
from dapplehinge.iax2.codes import CauseCode, Ie
from dapplehinge.iax2.elements import Elements, number, text
from dapplehinge.iax2.leg import Addr, Credentials

DEFAULT_REFRESH = 60
"""Seconds, where REFRESH is absent: section 8.6.18."""

REFRESH_SHARE = 0.75
"""Part of the refresh time after which a registration is renewed: repeats must fit into the rest."""


@dataclass(frozen=True, slots=True)
class Challenge:
    """Answer with REGAUTH."""

    elements: Elements


@dataclass(frozen=True, slots=True)
class Grant:
    """Answer with REGACK; `expiry` in seconds, 0 after a release."""

    username: str
    expiry: int


@dataclass(frozen=True, slots=True)
class Deny:
    """Answer with REGREJ."""

    cause: int
    text: str


class Registrar:
    """Accounts that may register, and where they are now."""

    def __init__(self, accounts: dict[str, Credentials], longest: int = 3600, shortest: int = 10) -> None:
        self.accounts = accounts
        self.longest = longest
        self.shortest = shortest
        self.places: dict[str, tuple[Addr, float]] = {}
        self._ends: list[tuple[float, str]] = []

    def asked(
        self, elements: Elements, challenge: str, release: bool, addr: Addr, now: float
    ) -> Challenge | Grant | Deny:
        """Decide on a REGREQ or REGREL. `challenge` is the one this transaction was given; empty: none
        yet.
        """
        username = text(elements, Ie.USERNAME)
        account = self.accounts.get(username)
        answered = Ie.MD5_RESULT in elements or Ie.RSA_RESULT in elements
        if account is None and (answered or not username):
            return Deny(CauseCode.FACILITY_REJECTED, "registration refused")
        if not (answered and challenge):
            # an unknown name is challenged too, so that asking tells nobody which names exist
            methods = auth.methods_of(account.secret, account.public_pem) if account else 2
            fresh = auth.challenge()
            return Challenge({Ie.AUTHMETHODS: methods, Ie.CHALLENGE: fresh, Ie.USERNAME: username})
        assert account is not None
        if not auth.answers(elements, challenge, account.secret, account.public_pem):
            return Deny(CauseCode.FACILITY_REJECTED, "registration refused")
        if release:
            self.places.pop(username, None)
            return Grant(username, 0)
        wanted = number(elements, Ie.REFRESH, DEFAULT_REFRESH)
        expiry = max(self.shortest, min(self.longest, wanted))
        ends = now + 1000.0 * expiry
        self.places[username] = (addr, ends)
        heappush(self._ends, (ends, username))
        return Grant(username, expiry)

    def place(self, username: str, now: float) -> Addr | None:
        """Where the account is, if its registration holds."""
        found = self.places.get(username)
        return found[0] if found is not None and now < found[1] else None

    @property
    def due(self) -> float:
        return self._ends[0][0] if self._ends else inf

    def expire(self, now: float) -> list[str]:
        """Accounts whose registration ran out by now."""
        gone = []
        while self._ends and self._ends[0][0] <= now:
            ends, username = heappop(self._ends)
            if self.places.get(username, (None, inf))[1] == ends:  # not renewed since
                del self.places[username]
                gone.append(username)
        return gone


class Registration:
    """One of our registrations at a registrar: when to ask, and with what."""

    def __init__(self, addr: Addr, credentials: Credentials, refresh: int = DEFAULT_REFRESH) -> None:
        self.addr = addr
        self.credentials = credentials
        self.refresh = refresh
        self.due = 0.0  # when to ask next; infinite while an answer is awaited
        self.held_until = -inf
        self.failures = 0

    def asking(self) -> Elements:
        """The elements of the REGREQ to send now."""
        self.due = inf
        return {Ie.USERNAME: self.credentials.username, Ie.REFRESH: self.refresh}

    def granted(self, refresh: int, now: float) -> None:
        span = 1000.0 * (refresh or self.refresh)
        self.failures = 0
        self.held_until = now + span
        self.due = now + REFRESH_SHARE * span

    def failed(self, now: float) -> None:
        """Refused or unanswered: ask again at doubling gaps, a minute at most."""
        self.due = now + min(60_000.0, 1000.0 * 2.0**self.failures)
        self.failures = min(self.failures + 1, 10)
