"""Who a call comes from, by its address and what it says of itself; what that entitles it to."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

import netaddr


class Refusal(Enum):
    NO_SUCH_CONTEXT = auto()
    UNKNOWN_ACCOUNT = auto()
    NOT_FROM_HERE = auto()


@dataclass(frozen=True, slots=True)
class Origin:
    """A context: where its callers come from, whom they count for, what their calls are."""

    context: str
    tenant: int
    kind: int
    in_transit: bool = False
    account: str | None = None  # None: open
    networks: netaddr.IPSet | None = None  # None: from anywhere


class Origins:
    """Contexts by name; an account leads to its own context. The first open one serves calls that name
    none.
    """

    def __init__(self, origins: tuple[Origin, ...]) -> None:
        self.by_context: dict[str, list[Origin]] = {}
        self.by_account: dict[str, Origin] = {}
        self.open_default: Origin | None = None
        for each in origins:
            self.by_context.setdefault(each.context, []).append(each)
            if each.account is not None:
                self.by_account[each.account] = each
            elif self.open_default is None and not each.in_transit:
                self.open_default = each
        self._seen: dict[tuple[str, str], bool] = {}

    def find(self, context: str, username: str, host: str) -> Origin | Refusal:
        if username:
            origin = self.by_account.get(username)
            if origin is None:
                return Refusal.UNKNOWN_ACCOUNT
            if context and context != origin.context:
                return Refusal.NO_SUCH_CONTEXT
            return origin if self._from_here(origin, host) else Refusal.NOT_FROM_HERE
        if not context:
            if self.open_default is None:
                return Refusal.UNKNOWN_ACCOUNT
            candidates = [self.open_default]
        else:
            candidates = [each for each in self.by_context.get(context, []) if each.account is None]
            if not candidates:
                return Refusal.NO_SUCH_CONTEXT
        for origin in candidates:
            if self._from_here(origin, host):
                return origin
        return Refusal.NOT_FROM_HERE

    def _from_here(self, origin: Origin, host: str) -> bool:
        if origin.networks is None:
            return True
        key = (origin.account or origin.context, host)
        found = self._seen.get(key)
        if found is None:
            if len(self._seen) > 4096:  # an address set is asked once a host, and the answers are bounded
                self._seen.clear()
            try:
                found = netaddr.IPAddress(host) in origin.networks
            except netaddr.AddrFormatError:
                found = False
            self._seen[key] = found
        return found
