"""All legs of one IAX2 socket (RFC 5456), without I/O.

`receive_datagram`, `datagrams_to_send`, `get_timer`, `handle_timer` and `next_events` are its five verbs
towards the event loop; the others carry out what an owner decides. Nothing that arrives raises: what can't
be read or has no meaning is counted in `counts` and answered as the RFC says. Memory is bounded by
`Bounds`.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b
from heapq import heappop, heappush
from math import inf

from dapplehinge.iax2 import auth
from dapplehinge.iax2.codes import (
    FORMAT_ULAW,
    PROTOCOL_VERSION,
    CauseCode,
    FrameType,
    Iax,
    Ie,
)
from dapplehinge.iax2.crypt import AES_128, LegCipher, SealError
from dapplehinge.iax2.elements import ElementError, Elements, number, read_elements, text, write_elements
from dapplehinge.iax2.frames import MINI_HEADER, FrameError, Full, Mini, read
from dapplehinge.iax2.leg import (
    Accepted,
    Addr,
    Authenticated,
    Credentials,
    Event,
    Leg,
    Offered,
    Opening,
    Registered,
    RegistrationAnswered,
    Released,
    Signal,
    Voice,
)
from dapplehinge.iax2.numbers import NOBODY, CallNumbers
from dapplehinge.iax2.registry import Challenge, Deny, Grant, Registrar
from dapplehinge.iax2.reliable import Arrival, Exchange, Timing
from dapplehinge.iax2.states import LIVE, OPENING, RECEIVED, SENT, State
from dapplehinge.iax2.tokens import Policy, Ruling, Tokens
from dapplehinge.limits.answers import Answers
from dapplehinge.membership.vigil import Finding, Patience, Vigil

_IAX, _CONTROL, _VOICE = int(FrameType.IAX), int(FrameType.CONTROL), int(FrameType.VOICE)
_PASSED_ON = frozenset(
    int(kind)
    for kind in (FrameType.DTMF, FrameType.TEXT, FrameType.IMAGE, FrameType.HTML, FrameType.COMFORT_NOISE)
)
_NAMED = frozenset(int(each) for each in Iax)
_NO_ANSWER = frozenset(int(each) for each in (Iax.ACK, Iax.INVAL, Iax.VNAK, Iax.TXCNT, Iax.TXACC))
_ENDS = frozenset(int(each) for each in (Iax.HANGUP, Iax.REJECT, Iax.REGREJ, Iax.REGACK))
_UNSUPPORTED = frozenset(
    int(each)
    for each in (Iax.DIAL, Iax.TXREQ, Iax.TXREADY, Iax.TXREL, Iax.TXREJ, Iax.MWI, Iax.TRANSFER, Iax.CALLTOKEN)
)
_RELEASING = frozenset(int(each) for each in (Iax.HANGUP, Iax.REJECT))
_OVER = (Iax.INVAL, b"")
"""What a late copy of the NEW hears of a call that is over, unless that call was rejected."""
_REGISTRATION = frozenset(int(each) for each in (Iax.REGREQ, Iax.REGREL))


@dataclass(frozen=True, slots=True)
class Bounds:
    """What one socket keeps at most. A NEW beyond a bound is rejected without state (cause 42)."""

    legs: int = 20_000
    opening_per_host: int = 2_000  # legs of one host that are not accepted yet
    challenge: float = 10_000.0  # ms that a challenge may stay unanswered
    quarantine: float = 5000.0  # ms that a call number rests


@lru_cache(maxsize=512)
def _cause_elements(cause: int, reason: str) -> bytes:
    return write_elements({Ie.CAUSE: reason[:200], Ie.CAUSECODE: int(cause) & 0xFF})


@lru_cache(maxsize=64)
def _format_elements(media_format: int) -> bytes:
    return write_elements({Ie.FORMAT: media_format})


@dataclass(frozen=True, slots=True)
class Admission:
    """What an owner says of a NEW before a leg is made of it."""

    refused: tuple[int, str] | None = None  # cause and text of its REJECT
    finding: object = None  # goes with the leg, as `origin`


def opening_of(frame: Full, addr: Addr) -> Opening:
    return addr, frame.source, frame.timestamp, blake2b(frame.payload, digest_size=16).digest()


FIRST_STAMPS = 997
"""ms over which the first time-stamps of outgoing legs are spread: a call number used again at once still
opens with another NEW, and an answer without state tells by its time-stamp which of them it is for."""


class Engine:
    def __init__(
        self,
        timing: Timing | None = None,
        bounds: Bounds | None = None,
        registrar: Registrar | None = None,
        dialplan: Callable[[str], int] | None = None,
        admit: Callable[[Elements, Addr, float], Admission] | None = None,
        tokens: Tokens | None = None,
        patience: Patience | None = None,
        answers: Answers[tuple[Iax, bytes]] | None = None,
    ) -> None:
        self.timing = timing or Timing()
        self.bounds = bounds or Bounds()
        self.registrar = registrar
        self.dialplan = dialplan  # number -> DPSTATUS bits, section 8.6.20
        self.admit = admit  # asked of each NEW before a leg is made
        self.tokens = tokens or Tokens(Policy.OFF)
        self.numbers = CallNumbers(self.bounds.quarantine)
        self.legs: dict[int, Leg] = {}
        self.by_peer: dict[tuple[Addr, int], Leg] = {}
        self.opening: Counter[str] = Counter()
        self.ended: dict[int, tuple[Leg, float]] = {}  # legs whose number is in quarantine
        self.ended_by_peer: dict[tuple[Addr, int], Leg] = {}
        self._ended_order: deque[tuple[float, int]] = deque()
        self.counts: Counter[str] = Counter()
        self.sealed = 0  # live legs whose frames are enciphered; 0: none need be looked up before it is read
        self.out: list[tuple[bytes, Addr]] = []
        self.events: list[Event] = []
        self._touched: dict[int, Leg] = {}
        self._timer: list[tuple[float, int, Leg]] = []
        self._ticket = 0
        self._dialled = 0
        self.vigil = Vigil(patience)
        # what openings were told that left no leg, bounded by itself; and that of legs now over, bounded by
        # the call numbers
        self.refused = Answers[tuple[Iax, bytes]]() if answers is None else answers
        self.over = Answers[tuple[Iax, bytes]](most=0)

    # What the event loop calls

    def receive_datagram(self, data: bytes, addr: Addr, now: float) -> None:
        if self.sealed:
            opened = self._opened_seal(data, addr)
            if opened is None:
                self.counts["unsealed"] += 1
                return
            data = opened
        if len(data) > MINI_HEADER and data[0] < 0x80 and (data[0] or data[1]):
            self._voice(data, addr, now)
            return
        try:
            frame = read(data)
        except FrameError:
            self.counts["garbage"] += 1
            return
        if isinstance(frame, Full):
            self._full(frame, addr, now)
        elif isinstance(frame, Mini):
            self.counts["empty_voice"] += 1
        else:
            self.counts["meta"] += 1
            for source, stamp, payload in getattr(frame, "entries", ()):
                short = frame.timestamp if stamp is None else stamp
                head = ((source << 16) | (short & 0xFFFF)).to_bytes(4, "big")
                self._voice(head + payload, addr, now)

    def datagrams_to_send(self, now: float) -> list[tuple[bytes, Addr]]:
        """What is to leave the socket now, in order; it is handed over once."""
        if self._touched:
            touched, self._touched = self._touched, {}
            for leg in touched.values():
                exchange = leg.exchange
                exchange.settle()
                if exchange.out:
                    addr = leg.addr
                    cipher = leg.cipher
                    for data in exchange.out:
                        self.out.append((cipher.seal(data) if cipher else data, addr))
                    exchange.out.clear()
                if leg.state is State.ENDING and not exchange.unacked:
                    self._gone(leg, now)
                elif leg.state is not State.GONE:
                    self._schedule(leg)
        out, self.out = self.out, []
        return out

    def next_events(self) -> list[Event]:
        events, self.events = self.events, []
        return events

    def get_timer(self) -> float:
        """When `handle_timer` is due; infinite where nothing waits."""
        due = self._timer[0][0] if self._timer else inf
        return min(due, self.registrar.due) if self.registrar else due

    def handle_timer(self, now: float) -> None:
        while self._timer and self._timer[0][0] <= now:
            due, _, leg = heappop(self._timer)
            if due != leg.queued or leg.state is State.GONE:
                continue
            leg.queued = inf
            self._touched[leg.number] = leg
            self.vigil.timer_ran(due, now)
            leg.exchange.handle_timer(now)
            if leg.patience <= now:
                leg.patience = inf
                self.counts["challenge_unanswered"] += 1
                self.reject(leg, CauseCode.CALL_REJECTED, "no answer to the challenge", now)
            elif leg.look_due <= now:
                self._look(leg, now)
        if self.registrar is not None:
            for username in self.registrar.expire(now):
                self.events.append(Registered(username, ("", 0), 0))
        self._forget_ended(now)
        self.refused.forget(now)

    def _look(self, leg: Leg, now: float) -> None:
        """Is somebody still at the far end? What ends a leg is repeated for its time, and then let be."""
        unacked = leg.exchange.unacked
        if leg.state is State.ENDING:
            leg.look_due = inf
            self._lost(leg, now)
            return
        found, leg.look_due = self.vigil.look(leg.heard, unacked[0].first if unacked else inf, now)
        if found is Finding.DEAD:
            self.counts["lost"] += 1
            self._lost(leg, now)
        elif found is Finding.ASK and leg.exchange.dest and not leg.registering:
            # a question out in the clear when the key comes would be repeated sealed, to who has no key yet
            if leg.state not in OPENING or int(Ie.ENCRYPTION) not in leg.elements:
                leg.exchange.send(_IAX, Iax.PING, b"", now)

    # What owners call

    def dial(
        self, addr: Addr, elements: Elements, now: float, credentials: Credentials | None = None
    ) -> Leg | None:
        """Open a leg by NEW (section 6.2.2); None where no call number is free."""
        if credentials is not None and credentials.encryption != "off":
            elements = elements | {int(Ie.ENCRYPTION): AES_128}
        leg = self._open(addr, elements, now, credentials)
        if leg is not None:
            first: Elements = {Ie.VERSION: PROTOCOL_VERSION}
            leg.exchange.send(_IAX, Iax.NEW, write_elements(first | elements), now)
        return leg

    def register(self, addr: Addr, elements: Elements, now: float, credentials: Credentials) -> Leg | None:
        """Ask for a registration by REGREQ (section 6.1.2)."""
        leg = self._open(addr, elements, now, credentials)
        if leg is not None:
            leg.registering = True
            leg.exchange.send(_IAX, Iax.REGREQ, write_elements(elements), now)
        return leg

    def _open(
        self, addr: Addr, elements: Elements, now: float, credentials: Credentials | None
    ) -> Leg | None:
        number_ = self._allocate(now)
        if number_ is None:
            return None
        self._dialled = (self._dialled + 7) % FIRST_STAMPS
        leg = Leg(addr, True, Exchange(number_, 0, now - self._dialled, self.timing), elements)
        leg.heard = now
        leg.look_due = now + self.vigil.patience.quiet
        leg.credentials = credentials
        self.legs[number_] = leg
        self._touched[number_] = leg
        return leg

    def challenge(self, leg: Leg, credentials: Credentials, now: float) -> None:
        """Ask the caller who it is (AUTHREQ, section 6.2.4)."""
        leg.credentials = credentials
        if credentials.encryption == "required" and not self._encrypts(leg, credentials):
            self.reject(leg, CauseCode.FACILITY_REJECTED, "encryption is needed", now)
            return
        leg.challenge = auth.challenge()
        methods = auth.methods_of(credentials.secret, credentials.public_pem)
        elements: Elements = {
            Ie.AUTHMETHODS: methods,
            Ie.CHALLENGE: leg.challenge,
            Ie.USERNAME: credentials.username,
        }
        if self._encrypts(leg, credentials):
            elements[int(Ie.ENCRYPTION)] = AES_128
        if self._send(leg, _IAX, Iax.AUTHREQ, write_elements(elements), now):
            leg.patience = now + self.bounds.challenge

    @staticmethod
    def _encrypts(leg: Leg, credentials: Credentials) -> bool:
        """Whether the caller of this leg asked for encryption that its account has (section 10)."""
        offered = number(leg.elements, Ie.ENCRYPTION) & AES_128
        return bool(offered) and credentials.encryption != "off" and credentials.secret is not None

    def _seal(self, leg: Leg, challenge: str, secret: str) -> None:
        leg.cipher = LegCipher(challenge, secret)
        self.sealed += 1

    def _opened_seal(self, data: bytes, addr: Addr) -> bytes | None:
        """The frame in clear, where its leg is enciphered; None for what does not open."""
        if len(data) < MINI_HEADER:
            return data
        source = ((data[0] << 8) | data[1]) & 0x7FFF
        leg = None
        if data[0] & 0x80:
            leg = self.legs.get(((data[2] << 8) | data[3]) & 0x7FFF)
            if leg is not None and (leg.addr != addr or leg.exchange.dest not in (0, source)):
                leg = None
        elif source:
            leg = self.by_peer.get((addr, source))
        if leg is None or leg.cipher is None:
            return data
        try:
            return leg.cipher.open(data)
        except SealError:
            return None

    def accept(self, leg: Leg, media_format: int, now: float) -> bool:
        leg.format = media_format
        return self._send(leg, _IAX, Iax.ACCEPT, _format_elements(media_format), now)

    def signal(self, leg: Leg, kind: int, subclass: int, now: float, payload: bytes = b"") -> bool:
        """Send a frame of meaning; False where the state table does not allow it."""
        return self._send(leg, kind, subclass, payload, now)

    def reject(self, leg: Leg, cause: int, reason: str, now: float, told: str = "") -> bool:
        return self._end(leg, Iax.REJECT, cause, reason, now, told)

    def hang_up(self, leg: Leg, cause: int, reason: str, now: float) -> bool:
        return self._end(leg, Iax.HANGUP, cause, reason, now)

    def end(self, leg: Leg, cause: int, reason: str, now: float, told: str = "") -> bool:
        """End a leg in the way its state asks for: REJECT for a call not accepted yet, else HANGUP.

        `told`: a VARIABLE element that a REJECT has with it.
        """
        if leg.state is State.OFFERED or leg.state is State.CHALLENGED:
            return self.reject(leg, cause, reason, now, told)
        return self.hang_up(leg, cause, reason, now)

    def bridge(self, first: Leg, second: Leg) -> None:
        """Relay voice between two legs from now on."""
        first.bridge, second.bridge = second, first

    def voice(self, leg: Leg, payload: bytes, now: float) -> None:
        if leg.state is State.UP:
            leg.voice(payload, int(now - leg.exchange.started), now)
            self._touched[leg.number] = leg

    # Frames

    def _voice(self, data: bytes, addr: Addr, now: float) -> None:
        leg = self.by_peer.get((addr, (data[0] << 8) | data[1]))
        if leg is None or leg.state not in LIVE:
            self.counts["stray_voice"] += 1
            return
        leg.heard = now
        stamp = leg.voice_stamp((data[2] << 8) | data[3])
        self._voice_in(leg, stamp, data[MINI_HEADER:], now)

    def _voice_in(self, leg: Leg, stamp: int, payload: bytes, now: float) -> None:
        other = leg.bridge
        if other is None:
            self.events.append(Voice(leg, stamp, payload))
        elif leg.relay_voice(payload, stamp, now):
            self._touched[other.number] = other
        else:
            self.counts["early_voice"] += 1

    def _full(self, frame: Full, addr: Addr, now: float) -> None:
        leg = self._leg_of(frame, addr)
        if leg is None:
            self._without_leg(frame, addr, now)
            return
        exchange = leg.exchange
        if not frame.dest and frame.kind == _IAX and frame.subclass == Iax.NEW:
            if opening_of(frame, addr) != leg.opening:
                self._opened(frame, addr, now)
                return
        elif frame.source == NOBODY and frame.subclass == Iax.REJECT and not exchange.dest:
            first = exchange.unacked[0].stamp if exchange.unacked else -1
            if frame.timestamp != first:
                self.counts["stray"] += 1  # an answer without state to a call that had this number before
                return
        leg.heard = now
        self._touched[leg.number] = leg
        if frame.kind == _IAX and frame.subclass == Iax.INVAL:
            self.counts["inval_received"] += 1
            self._release(leg, Released(leg, CauseCode.INVALID_CALL_REFERENCE, "INVAL", invalid=True), now)
            return
        if frame.kind == _IAX and frame.subclass == Iax.CALLTOKEN and leg.outgoing and not exchange.dest:
            self._token_given(leg, frame, now)
            return
        arrival = exchange.arrived(frame, now)
        if arrival is Arrival.NEXT:
            if exchange.dest == 0:
                exchange.dest = frame.source
                self.by_peer[(addr, frame.source)] = leg
            self._act(leg, frame, now)
        elif arrival is Arrival.REPEAT:
            self.counts["repeated"] += 1
        elif arrival is Arrival.AHEAD:
            self.counts["ahead"] += 1
        elif exchange.dest == 0 and frame.source and frame.iseqno == exchange.oseqno:
            exchange.dest = frame.source  # the ACK of our NEW tells the far end's number
            self.by_peer[(addr, frame.source)] = leg

    def _leg_of(self, frame: Full, addr: Addr) -> Leg | None:
        """The leg a frame belongs to: by both numbers and the address; a stranger's frame has none."""
        if frame.dest:
            leg = self.legs.get(frame.dest)
            if leg is None or leg.addr != addr or leg.exchange.dest not in (0, frame.source):
                return None
            return leg
        return self.by_peer.get((addr, frame.source))

    def _without_leg(self, frame: Full, addr: Addr, now: float) -> None:
        kind, subclass = frame.kind, frame.subclass
        if kind == _IAX and frame.dest == 0:
            if subclass == Iax.POKE:
                self._answer_plain(frame, addr, Iax.PONG, b"")
                return
            if subclass == Iax.NEW or (subclass in _REGISTRATION and self.registrar is not None):
                self._opened(frame, addr, now)
                return
        if frame.dest == NOBODY or (kind == _IAX and subclass in _NO_ANSWER):
            self.counts["stray"] += 1
            return
        ended = self.ended.get(frame.dest)
        old = ended[0] if ended else self.ended_by_peer.get((addr, frame.source)) if not frame.dest else None
        if old is not None and old.addr == addr and old.exchange.dest in (0, frame.source):
            self.counts["after_end"] += 1
            if kind == _IAX and subclass in _ENDS:
                # the ACK of the call's end was lost: say again that it is over
                self._answer_plain(frame, addr, Iax.ACK, b"")
                return
        self.counts["no_such_call"] += 1
        if kind == _IAX and subclass in _RELEASING and not frame.dest:
            self._answer_plain(frame, addr, Iax.ACK, b"")  # nothing to release, but its sender must know
            return
        self._answer_plain(frame, addr, Iax.INVAL, b"")

    def _answer_plain(self, frame: Full, addr: Addr, subclass: Iax, payload: bytes) -> None:
        """An answer that leaves no state behind; it echoes the time-stamp and takes the frame's numbers."""
        answer = Exchange(frame.dest or NOBODY, frame.source, 0.0, self.timing)
        answer.oseqno, answer.iseqno = frame.iseqno, (frame.oseqno + 1) & 0xFF
        answer.send_plain(int(subclass), frame.timestamp, payload)
        self.out.append((answer.out[0], addr))

    def _opened(self, frame: Full, addr: Addr, now: float) -> None:
        if not frame.source or frame.oseqno:
            self.counts["garbage"] += 1
            return
        opening, displaced = opening_of(frame, addr), self.by_peer.get((addr, frame.source))
        told = self.refused.find(opening) or self.over.find(opening)
        if told is not None:
            self.counts["late_new"] += 1  # it has had its answer, and gets no other
            if displaced is None:  # else its caller has gone on, and would take the answer for its new call's
                self._answer_plain(frame, addr, *told)
            return
        try:
            elements = read_elements(frame.payload)
        except ElementError as fault:
            self.counts["bad_elements"] += 1
            reason: Elements = {Ie.CAUSE: str(fault)[:100], Ie.CAUSECODE: int(CauseCode.PROTOCOL_ERROR)}
            self._answer_plain(frame, addr, Iax.REJECT, write_elements(reason))
            return
        token = elements.pop(int(Ie.CALLTOKEN), None)
        if not self._token_good(frame, token, addr, now):
            return
        proven, finding = self.tokens.issued(token), None
        if displaced is not None:
            if displaced.tokened and proven is None:
                self.counts["unproven"] += 1  # anybody could have sent this to end the call that stands there
                return
            # a call number is one call's: who opens another with it has no more part in the call before
            self.counts["displaced"] += 1
            cause = CauseCode.INVALID_CALL_REFERENCE
            told_why = "its number opened another call"
            self._release(displaced, Released(displaced, cause, told_why, invalid=True), now)
        if self.admit is not None and frame.subclass == Iax.NEW:
            admission = self.admit(elements, addr, now)
            if admission.refused is not None:
                self.counts["not_admitted"] += 1
                self._refuse(frame, addr, opening, admission.refused, now)
                return
            finding = admission.finding
        host = addr[0]
        full = len(self.legs) >= self.bounds.legs or self.opening[host] >= self.bounds.opening_per_host
        number_ = None if full else self._allocate(now)
        if number_ is None:
            self.counts["flood"] += 1
            self._refuse(frame, addr, opening, (int(CauseCode.SWITCH_CONGESTION), "congestion"), now)
            return
        leg = Leg(addr, False, Exchange(number_, frame.source, now, self.timing), elements)
        leg.opening, leg.origin = opening, finding
        if proven is not None:
            leg.proven = proven
        leg.look_due = now + self.vigil.patience.quiet
        self.legs[number_] = leg
        self.by_peer[(addr, frame.source)] = leg
        self.opening[host] += 1
        self._touched[number_] = leg
        leg.exchange.arrived(frame, now)
        if frame.subclass != Iax.NEW:
            leg.registering = True
            self._registration_asked(leg, frame.subclass, elements, now)
        elif number(elements, Ie.VERSION, PROTOCOL_VERSION) != PROTOCOL_VERSION:
            self.reject(leg, CauseCode.PROTOCOL_ERROR, "version 2 is spoken here", now)
        else:
            self.events.append(Offered(leg))

    def _refuse(self, frame: Full, addr: Addr, opening: Opening, why: tuple[int, str], now: float) -> None:
        """Refuse an opening without a leg; where that can't be remembered it goes unanswered, as if lost."""
        refused = Iax.REJECT, _cause_elements(*why)
        if self.refused.keep(opening, addr[0], refused, now):
            self._answer_plain(frame, addr, *refused)
        else:
            self.counts["unremembered"] += 1

    def _token_good(self, frame: Full, token: object, addr: Addr, now: float) -> bool:
        """Whether the sender is where it says; if not, it has been answered, and no state was made."""
        ruling = self.tokens.rule(token, addr, now)
        if ruling is Ruling.PASS:
            return True
        if ruling is Ruling.ASK:
            self.counts["token_asked"] += 1
            issued: Elements = {Ie.CALLTOKEN: self.tokens.issue(addr, now)}
            self._answer_plain(frame, addr, Iax.CALLTOKEN, write_elements(issued))
        else:
            self.counts["token_missing"] += 1
            refused = _cause_elements(int(CauseCode.CALL_REJECTED), "a call token is needed")
            answer = Iax.REJECT if frame.subclass == Iax.NEW else Iax.REGREJ
            self._answer_plain(frame, addr, answer, refused)
        return False

    def _token_given(self, leg: Leg, frame: Full, now: float) -> None:
        """Open our leg anew with the token that the far end asks for; once, else it could go on for ever."""
        try:
            token = read_elements(frame.payload).get(Ie.CALLTOKEN)
        except ElementError:
            token = None
        exchange = leg.exchange
        if not isinstance(token, bytes) or not token or leg.elements.get(Ie.CALLTOKEN) != b"":
            self.counts["unexpected"] += 1
            return
        leg.elements = leg.elements | {int(Ie.CALLTOKEN): token}
        exchange.unacked.clear()
        exchange.oseqno = exchange.iseqno = 0
        exchange.owed = None
        first: Elements = {} if leg.registering else {Ie.VERSION: PROTOCOL_VERSION}
        subclass = Iax.REGREQ if leg.registering else Iax.NEW
        exchange.send(_IAX, int(subclass), write_elements(first | leg.elements), now)

    def _act(self, leg: Leg, frame: Full, now: float) -> None:
        kind, subclass = frame.kind, frame.subclass
        if leg.state is State.ENDING or leg.state is State.GONE:
            if kind == _IAX and subclass in _ENDS and leg.state is State.ENDING:
                leg.exchange.unacked.clear()  # both ends hang up at once: each has said all
            return
        if kind == _VOICE:
            if leg.state in LIVE:
                leg.voice_in = frame.timestamp
                self._voice_in(leg, frame.timestamp, frame.payload, now)
            return
        if kind in _PASSED_ON:
            if leg.state in LIVE:
                self.events.append(Signal(leg, kind, subclass, frame.payload))
            return
        if kind == _CONTROL:
            after = RECEIVED.get((leg.state, kind, subclass))
            if after is None:
                self.counts["unexpected"] += 1
                return
            self._move(leg, after, now)
            self.events.append(Signal(leg, kind, subclass, frame.payload))
            return
        if kind != _IAX:
            self.counts["other_media"] += 1  # video and null frames have no meaning here
            return
        if leg.registering:
            self._registration_frame(leg, frame, now)
            return
        if subclass == Iax.PING or subclass == Iax.LAGRQ:
            answer = Iax.PONG if subclass == Iax.PING else Iax.LAGRP
            leg.exchange.send(_IAX, int(answer), b"", now, frame.timestamp)
        elif subclass not in _NAMED or subclass in _UNSUPPORTED:
            self.counts["unsupported"] += 1
            body: Elements = {Ie.IAX_UNKNOWN: subclass & 0xFF}
            leg.exchange.send(_IAX, int(Iax.UNSUPPORT), write_elements(body), now)
        elif subclass == Iax.DPREQ:
            self._dialplan_asked(leg, frame, now)
        elif (after := RECEIVED.get((leg.state, kind, subclass))) is not None:
            try:
                elements = read_elements(frame.payload)
            except ElementError as fault:
                self.counts["bad_elements"] += 1
                if subclass not in _RELEASING:
                    self.end(leg, CauseCode.PROTOCOL_ERROR, str(fault)[:100], now)
                    self.events.append(Released(leg, CauseCode.PROTOCOL_ERROR, str(fault)))
                    return
                elements = {}
            self._known(leg, subclass, elements, after, frame.payload, now)
        elif subclass not in (Iax.PONG, Iax.LAGRP, Iax.UNSUPPORT, Iax.DPREP):
            self.counts["unexpected"] += 1

    def _known(
        self, leg: Leg, subclass: int, elements: Elements, after: State, payload: bytes, now: float
    ) -> None:
        if subclass in _RELEASING:
            rejected = subclass == Iax.REJECT
            cause = number(elements, Ie.CAUSECODE, 0 if rejected else CauseCode.NORMAL_CLEARING)
            words = text(elements, Ie.CAUSE)
            self._release(leg, Released(leg, cause, words, rejected, elements=elements), now)
        elif subclass == Iax.ACCEPT:
            leg.format = number(elements, Ie.FORMAT, FORMAT_ULAW)
            self._move(leg, after, now)
            self.events.append(Accepted(leg))
        elif subclass == Iax.AUTHREQ:
            own = leg.credentials
            answer = auth.answer(elements, own.secret, own.private_pem) if own else None
            sealed = number(elements, Ie.ENCRYPTION) & AES_128
            if own is not None and own.encryption == "required" and not sealed:
                answer = None
            if answer is None:
                self.hang_up(leg, CauseCode.CALL_REJECTED, "no answer to the challenge", now)
                self.events.append(Released(leg, CauseCode.CALL_REJECTED, "challenged", rejected=True))
            else:
                leg.exchange.send(_IAX, int(Iax.AUTHREP), write_elements(answer), now)
                if sealed and own is not None and own.secret is not None:
                    self._seal(leg, text(elements, Ie.CHALLENGE), own.secret)
        elif subclass == Iax.AUTHREP:
            leg.patience = inf
            known = leg.credentials or Credentials()
            if auth.answers(elements, leg.challenge, known.secret, known.public_pem):
                if self._encrypts(leg, known) and known.secret is not None:
                    self._seal(leg, leg.challenge, known.secret)
                self._move(leg, after, now)
                self.events.append(Authenticated(leg))
            else:
                self.counts["auth_failed"] += 1
                self.reject(leg, CauseCode.CALL_REJECTED, "authentication failed", now)
        else:
            self._move(leg, after, now)
            self.events.append(Signal(leg, _IAX, subclass, payload))

    def _dialplan_asked(self, leg: Leg, frame: Full, now: float) -> None:
        """Section 6.8.1: whether a number exists, may exist with more digits, or does not."""
        try:
            called = text(read_elements(frame.payload), Ie.CALLED_NUMBER)
        except ElementError:
            self.counts["bad_elements"] += 1
            return
        status = self.dialplan(called) if self.dialplan else 0x4
        answer: Elements = {Ie.CALLED_NUMBER: called, Ie.DPSTATUS: status, Ie.REFRESH: 600}
        leg.exchange.send(_IAX, int(Iax.DPREP), write_elements(answer), now)

    # Registrations

    def _registration_asked(self, leg: Leg, subclass: int, elements: Elements, now: float) -> None:
        assert self.registrar is not None
        release = subclass == Iax.REGREL
        decided = self.registrar.asked(elements, leg.challenge, release, leg.addr, now)
        if isinstance(decided, Challenge):
            if leg.challenge:
                decided = Deny(CauseCode.FACILITY_REJECTED, "registration refused")
            else:
                leg.challenge = text(decided.elements, Ie.CHALLENGE)
                leg.patience = now + self.bounds.challenge
                leg.exchange.send(_IAX, int(Iax.REGAUTH), write_elements(decided.elements), now)
                return
        leg.patience = inf
        if isinstance(decided, Grant):
            granted: Elements = {Ie.USERNAME: decided.username, Ie.REFRESH: decided.expiry}
            leg.exchange.send(_IAX, int(Iax.REGACK), write_elements(granted), now)
            self.events.append(Registered(decided.username, leg.addr, decided.expiry))
        else:
            self.counts["registration_refused"] += 1
            refused: Elements = {Ie.CAUSE: decided.text, Ie.CAUSECODE: decided.cause}
            leg.exchange.send(_IAX, int(Iax.REGREJ), write_elements(refused), now)
        self._move(leg, State.ENDING, now)

    def _registration_frame(self, leg: Leg, frame: Full, now: float) -> None:
        try:
            elements = read_elements(frame.payload)
        except ElementError:
            self.counts["bad_elements"] += 1
            elements = {}
        subclass = frame.subclass
        if not leg.outgoing:
            if subclass in _REGISTRATION:
                self._registration_asked(leg, subclass, elements, now)
            return
        if subclass == Iax.REGAUTH:
            own = leg.credentials or Credentials()
            answer = auth.answer(elements, own.secret, own.private_pem)
            if answer is not None:
                leg.exchange.send(_IAX, int(Iax.REGREQ), write_elements(leg.elements | answer), now)
                return
            subclass = int(Iax.REGREJ)
        if subclass == Iax.REGACK or subclass == Iax.REGREJ:
            accepted = subclass == Iax.REGACK
            refresh = number(elements, Ie.REFRESH, 0)
            self.events.append(
                RegistrationAnswered(leg, accepted, refresh, number(elements, Ie.CAUSECODE, 0))
            )
            self._gone(leg, now)

    # States

    def _send(self, leg: Leg, kind: int, subclass: int, payload: bytes, now: float) -> bool:
        if kind in _PASSED_ON:
            if leg.state not in LIVE:
                return False
            after = leg.state
        else:
            found = SENT.get((leg.state, kind, subclass))
            if found is None:
                return False
            after = found
        leg.exchange.send(kind, subclass, payload, now)
        self._touched[leg.number] = leg
        self._move(leg, after, now)
        return True

    def _end(self, leg: Leg, subclass: Iax, cause: int, reason: str, now: float, told: str = "") -> bool:
        exchange = leg.exchange
        if leg.state is State.WAITING:
            # a far end that has not seen the NEW must not be offered a call that is over
            exchange.unacked.clear()
        words = _cause_elements(cause, reason)
        if told:
            words += write_elements({Ie.VARIABLE: told})
        ends = self._send(leg, _IAX, subclass, words, now)
        if ends and subclass is Iax.REJECT:
            leg.last_word = (subclass, words)
        return ends

    def _move(self, leg: Leg, after: State, now: float) -> None:
        before = leg.state
        if before is after:
            return
        if before in OPENING and after not in OPENING and not leg.outgoing:
            self._no_longer_opening(leg)
        leg.state = after
        if after is State.ENDING:
            leg.patience = inf
            leg.look_due = now + self.timing.last_words
            self._part(leg)

    def _no_longer_opening(self, leg: Leg) -> None:
        host = leg.addr[0]
        self.opening[host] -= 1
        if self.opening[host] <= 0:
            del self.opening[host]

    def _part(self, leg: Leg) -> None:
        if leg.bridge is not None:
            leg.bridge.bridge = None
            leg.bridge = None

    def _release(self, leg: Leg, event: Released, now: float) -> None:
        told = leg.state is not State.ENDING and not leg.registering
        if leg.registering and leg.outgoing:
            self.events.append(RegistrationAnswered(leg, False, 0, event.cause))
        self._gone(leg, now)
        if told:
            self.events.append(event)

    def _lost(self, leg: Leg, now: float) -> None:
        if leg.alive and not leg.registering:
            # the far end may hear us though we don't hear it: what it holds for the call is let go
            body: Elements = {Ie.CAUSECODE: int(CauseCode.RECOVERY_ON_TIMER_EXPIRY)}
            leg.exchange.unacked.clear()
            leg.exchange.send(_IAX, int(Iax.HANGUP), write_elements(body), now)
        self._release(leg, Released(leg, CauseCode.RECOVERY_ON_TIMER_EXPIRY, "no answer", lost=True), now)

    def _gone(self, leg: Leg, now: float) -> None:
        """The leg is over; its number and what is needed to say so again stay through the quarantine."""
        if leg.state is State.GONE:
            return
        if leg.state in OPENING and not leg.outgoing:
            self._no_longer_opening(leg)
        self._part(leg)
        exchange = leg.exchange
        exchange.unacked.clear()
        exchange.settle()
        cipher = leg.cipher
        self.out += [(cipher.seal(data) if cipher else data, leg.addr) for data in exchange.out]
        exchange.out.clear()
        if cipher is not None:
            self.sealed -= 1
        leg.state = State.GONE
        leg.look_due = leg.patience = inf
        if leg.opening is not None and not leg.registering:
            self.over.keep(leg.opening, leg.addr[0], leg.last_word or _OVER, now)
        self.legs.pop(leg.number, None)
        key = (leg.addr, exchange.dest)
        if self.by_peer.get(key) is leg:
            del self.by_peer[key]
        until = now + self.bounds.quarantine
        self.ended[leg.number] = (leg, until)
        if exchange.dest:
            self.ended_by_peer[key] = leg
        self._ended_order.append((until, leg.number))
        self.numbers.release(leg.number, now)

    def _forget_ended(self, now: float) -> None:
        order = self._ended_order
        while order and order[0][0] <= now:
            _, number_ = order.popleft()
            found = self.ended.pop(number_, None)
            if found is not None:
                leg = found[0]
                key = (leg.addr, leg.exchange.dest)
                if self.ended_by_peer.get(key) is leg:
                    del self.ended_by_peer[key]

    def _allocate(self, now: float) -> int | None:
        self._forget_ended(now)
        return self.numbers.allocate(now)

    def _schedule(self, leg: Leg) -> None:
        due = leg.next_due()
        if due < leg.queued:
            leg.queued = due
            self._ticket += 1
            heappush(self._timer, (due, self._ticket, leg))
