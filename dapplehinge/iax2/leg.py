"""One call leg: its identity, its state, its media, and the events that it gives its owner."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from dapplehinge.iax2.codes import FrameType, Iax
from dapplehinge.iax2.crypt import LegCipher
from dapplehinge.iax2.elements import Elements
from dapplehinge.iax2.frames import full_stamp
from dapplehinge.iax2.reliable import Exchange
from dapplehinge.iax2.states import ALIVE, State

Addr = tuple[str, int]

Opening = tuple[Addr, int, int, bytes]
"""What ties a copy of a NEW to its call: address, source call number, time-stamp (RFC 5456 section 8.1.1),
and a digest of its elements. A copy differs from its original in nothing but the R bit."""


@dataclass(frozen=True, slots=True)
class Credentials:
    """What an account is checked by, or what a leg answers a challenge with."""

    username: str = ""
    secret: str | None = None
    public_pem: bytes | None = None
    private_pem: bytes | None = None
    encryption: str = "off"  # off, offered or required, of call legs


class Leg:
    """One leg of a call as the engine keeps it. Owners read it and leave their own word in `owner`."""

    __slots__ = (
        "number", "addr", "outgoing", "state", "exchange", "elements", "opening", "proven",
        "credentials", "challenge", "cipher", "owner", "origin", "format", "bridge", "voice_in", "voice_out",
        "queued", "patience", "heard", "look_due", "registering", "last_word",
    )  # fmt: skip

    def __init__(self, addr: Addr, outgoing: bool, exchange: Exchange, elements: Elements) -> None:
        self.number = exchange.source
        self.addr = addr
        self.outgoing = outgoing
        self.state = State.WAITING if outgoing else State.OFFERED
        self.exchange = exchange
        self.elements = elements  # those of the NEW that opened it
        self.opening: Opening | None = None  # tells a copy of its NEW from a new call under the same number
        self.proven = inf  # when the call token of its caller was issued; infinite: it has shown none
        self.credentials: Credentials | None = None
        self.challenge = ""
        self.cipher: LegCipher | None = None  # once both ends have the key
        self.owner: tuple[int, int] | None = None  # the owner's name for it
        self.origin: object = None  # who an owner took the caller for, while it is challenged
        self.format = 0  # media format agreed in ACCEPT
        self.bridge: Leg | None = None  # the leg that its voice goes to
        self.voice_in = 0  # last whole time-stamp of voice received
        self.voice_out = -1  # high part of the last voice time-stamp sent; -1: none yet
        self.queued = inf  # when its entry in the engine's timer falls due
        self.patience = inf  # until when a challenge may stay unanswered
        self.heard = exchange.started  # when the far end last showed life
        self.look_due = inf  # when to look at its life again
        self.registering = False  # a registration, not a call
        self.last_word: tuple[Iax, bytes] | None = None  # the REJECT that ended it

    @property
    def tokened(self) -> bool:
        """Whether its caller has shown by a call token that it is where it says."""
        return self.proven < inf

    @property
    def alive(self) -> bool:
        return self.state in ALIVE

    def next_due(self) -> float:
        return min(self.exchange.due, self.patience, self.look_due)

    def voice_stamp(self, short: int) -> int:
        """The whole time-stamp of a mini frame's low 16 bits, section 8.1.2."""
        self.voice_in = full_stamp(short, self.voice_in)
        return self.voice_in

    def voice(self, payload: bytes, stamp: int, now: float) -> None:
        """Send voice with this time-stamp on the leg's own clock: mini, or full as section 8.1.2 wants.

        The first voice frame is full, as is each after the low 16 bits have wrapped; full ones are reliable.
        """
        exchange = self.exchange
        stamp = max(0, stamp)
        if stamp >> 16 != self.voice_out:
            self.voice_out = stamp >> 16
            exchange.last_stamp = max(exchange.last_stamp, stamp)
            exchange.send(int(FrameType.VOICE), self.format, payload, now, stamp)
        else:
            exchange.out.append(((self.number << 16) | (stamp & 0xFFFF)).to_bytes(4, "big") + payload)

    def relay_voice(self, payload: bytes, stamp: int, now: float) -> bool:
        """Pass voice received here on to the bridged leg, on that leg's clock; False where none is up."""
        other = self.bridge
        if other is None or other.state is not State.UP or self.state is not State.UP:
            return False
        other.voice(payload, stamp + int(self.exchange.started - other.exchange.started), now)
        return True


@dataclass(slots=True)
class Offered:
    """A NEW came in; the owner accepts, challenges or rejects it."""

    leg: Leg


@dataclass(slots=True)
class Authenticated:
    """The caller answered its challenge."""

    leg: Leg


@dataclass(slots=True)
class Accepted:
    """The far end agreed to the call (ACCEPT); `leg.format` holds the media format."""

    leg: Leg


@dataclass(slots=True)
class Signal:
    """A frame of meaning on a live leg: control, DTMF, text, quelch."""

    leg: Leg
    kind: int
    subclass: int
    payload: bytes


@dataclass(slots=True)
class Voice:
    """Voice on a leg without bridge. `stamp` is whole, ms on the far end's clock."""

    leg: Leg
    stamp: int
    payload: bytes


@dataclass(slots=True)
class Released:
    """The leg ended by the far end: HANGUP or REJECT with its cause, INVAL, or silence (`lost`)."""

    leg: Leg
    cause: int
    text: str
    rejected: bool = False
    invalid: bool = False
    lost: bool = False
    elements: Elements = field(default_factory=dict)  # of the HANGUP or REJECT


@dataclass(slots=True)
class Registered:
    """An account registered at this address for `expiry` seconds; 0: it released its registration."""

    username: str
    addr: Addr
    expiry: int


@dataclass(slots=True)
class RegistrationAnswered:
    """What became of a registration of ours: REGACK with the refresh in seconds, or REGREJ."""

    leg: Leg
    accepted: bool
    refresh: int
    cause: int


Event = (
    Offered | Authenticated | Accepted | Signal | Voice | Released | Registered | RegistrationAnswered
)
