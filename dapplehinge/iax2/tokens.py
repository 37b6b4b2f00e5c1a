"""Call tokens against spoofed addresses: CALLTOKEN frames and elements, as the field has used them since
2009.

They are outside RFC 5456. A caller that knows them sends an empty CALLTOKEN element in its NEW; the answer
is a CALLTOKEN frame with a token, sent without any state, and the caller repeats its NEW with it. Who gives
a false address never sees the token. A token is its time and a keyed hash (HMAC-SHA-256 of `cryptography`)
over time, host and port. Keys change each `ROTATION`; the one before still counts, so a change cuts nobody
off.
"""

from __future__ import annotations

import secrets
import struct
from collections.abc import Callable
from enum import Enum, auto

from cryptography.hazmat.primitives import hashes, hmac
from cryptography.hazmat.primitives.constant_time import bytes_eq

from dapplehinge.iax2.leg import Addr

LIFETIME = 10_000.0
"""ms a token is good for: a few repeats of a NEW."""

ROTATION = 60_000.0
"""ms a key is used for new tokens; above LIFETIME, so that two keys cover all good tokens."""

_STAMP = struct.Struct(">Q")
_MAC = 16  # bytes kept of the hash: nobody guesses 128 bits within a token's life


class Policy(Enum):
    OFF = auto()  # tokens are neither asked for nor looked at
    OFFERED = auto()  # asked of callers that know them, the others pass
    REQUIRED = auto()  # callers that don't know them are refused


class Ruling(Enum):
    PASS = auto()
    ASK = auto()  # answer with a token
    REFUSE = auto()


class Tokens:
    """`fresh_key` makes keys; tests give their own."""

    def __init__(
        self, policy: Policy, fresh_key: Callable[[], bytes] = lambda: secrets.token_bytes(32)
    ) -> None:
        self.policy = policy
        self.fresh_key = fresh_key
        self.keys = [fresh_key()]  # newest first, two at most
        self.changed: float | None = None

    def _rotate(self, now: float) -> None:
        if self.changed is None:
            self.changed = now
        elif now - self.changed >= ROTATION:
            old = self.keys[0]
            # after a long silence the old key's tokens are all out of date
            self.keys = [self.fresh_key(), old] if now - self.changed < 2 * ROTATION else [self.fresh_key()]
            self.changed = now

    def _mac(self, key: bytes, stamp: bytes, addr: Addr) -> hmac.HMAC:
        made = hmac.HMAC(key, hashes.SHA256())
        made.update(stamp + f"{addr[0]}|{addr[1]}".encode())
        return made

    def issue(self, addr: Addr, now: float) -> bytes:
        """A token for this address: hexadecimal, as some callers take it for text."""
        self._rotate(now)
        stamp = _STAMP.pack(max(0, int(now)))
        return (stamp + self._mac(self.keys[0], stamp, addr).finalize()[:_MAC]).hex().encode()

    def good(self, token: bytes, addr: Addr, now: float) -> bool:
        self._rotate(now)
        try:
            raw = bytes.fromhex(token.decode("ascii"))
        except (UnicodeDecodeError, ValueError):
            return False
        if len(raw) != _STAMP.size + _MAC:
            return False
        stamp, given = raw[: _STAMP.size], raw[_STAMP.size :]
        age = now - _STAMP.unpack(stamp)[0]
        if not -1.0 <= age <= LIFETIME:
            return False
        return any(self._matches(key, stamp, addr, given) for key in self.keys)

    def _matches(self, key: bytes, stamp: bytes, addr: Addr, given: bytes) -> bool:
        return bytes_eq(self._mac(key, stamp, addr).finalize()[:_MAC], given)

    @staticmethod
    def issued(element: object) -> float | None:
        """When a token that was found good had been issued; None for what is none."""
        if not isinstance(element, bytes) or len(element) != 2 * (_STAMP.size + _MAC):
            return None
        return float(_STAMP.unpack(bytes.fromhex(element[: 2 * _STAMP.size].decode()))[0])

    def rule(self, element: object, addr: Addr, now: float) -> Ruling:
        """What to do with a NEW or REGREQ: `element` is its CALLTOKEN value, None where it has none."""
        if self.policy is Policy.OFF:
            return Ruling.PASS
        if not isinstance(element, bytes):
            return Ruling.PASS if self.policy is Policy.OFFERED else Ruling.REFUSE
        if element and self.good(element, addr, now):
            return Ruling.PASS
        return Ruling.ASK  # none yet, or one that is stale, stolen or made up
