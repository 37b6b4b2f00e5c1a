"""The state machine of a call leg (RFC 5456, section 6.2) as one table, for both sides.

Theory of operation. A leg is made by the NEW that opens it. The side that sends NEW goes

    WAITING --ACCEPT--> LINKED --ANSWER--> UP

and answers an AUTHREQ on the way. The side that receives NEW goes

    OFFERED --(AUTHREQ)--> CHALLENGED --AUTHREP--> OFFERED --(ACCEPT)--> LINKED --(ANSWER)--> UP

with what it sends in brackets. HANGUP, sent or received, ends any state; REJECT ends those before LINKED. A
side that has sent its HANGUP or REJECT is ENDING until that is acknowledged, and GONE then; it acts on
nothing more. What is not in the table has no meaning in that state: it is acknowledged, counted and
dropped.
"""

from __future__ import annotations

from enum import IntEnum

from dapplehinge.iax2.codes import Control, FrameType, Iax


class State(IntEnum):
    WAITING = 0
    OFFERED = 1
    CHALLENGED = 2
    LINKED = 3
    UP = 4
    ENDING = 5
    GONE = 6


_I, _C = int(FrameType.IAX), int(FrameType.CONTROL)

OPENING = frozenset({State.WAITING, State.OFFERED, State.CHALLENGED})
LIVE = frozenset({State.LINKED, State.UP})
ALIVE = OPENING | LIVE

Table = dict[tuple[State, int, int], State]

_EITHER: Table = {
    (State.LINKED, _C, Control.ANSWER): State.UP,
    (State.LINKED, _C, Control.RINGING): State.LINKED,
    (State.LINKED, _C, Control.PROCEEDING): State.LINKED,
    (State.LINKED, _C, Control.PROGRESS): State.LINKED,
    (State.LINKED, _C, Control.BUSY): State.LINKED,
    (State.LINKED, _C, Control.CONGESTION): State.LINKED,
}
for _state in LIVE:
    for _mid in (Control.HOLD, Control.UNHOLD, Control.FLASH_HOOK, Control.OPTION, Control.KEY_RADIO,
                 Control.UNKEY_RADIO):  # fmt: skip
        _EITHER[(_state, _C, _mid)] = _state
    for _iax in (Iax.QUELCH, Iax.UNQUELCH):
        _EITHER[(_state, _I, _iax)] = _state

RECEIVED: Table = _EITHER | {
    (State.WAITING, _I, Iax.AUTHREQ): State.WAITING,
    (State.WAITING, _I, Iax.ACCEPT): State.LINKED,
    (State.WAITING, _I, Iax.REJECT): State.GONE,
    (State.CHALLENGED, _I, Iax.AUTHREP): State.OFFERED,
    (State.OFFERED, _I, Iax.REJECT): State.GONE,
    (State.CHALLENGED, _I, Iax.REJECT): State.GONE,
    (State.LINKED, _I, Iax.REJECT): State.GONE,  # outside the RFC, but sent by some after ACCEPT
    (State.UP, _C, Control.BUSY): State.UP,
    (State.UP, _C, Control.CONGESTION): State.UP,
    (State.LINKED, _C, Control.HANGUP): State.LINKED,
    (State.UP, _C, Control.HANGUP): State.UP,
}
"""(state, frame type, subclass) of a received frame -> the state after it."""

SENT: Table = _EITHER | {
    (State.OFFERED, _I, Iax.AUTHREQ): State.CHALLENGED,
    (State.OFFERED, _I, Iax.ACCEPT): State.LINKED,
    (State.OFFERED, _I, Iax.REJECT): State.ENDING,
    (State.CHALLENGED, _I, Iax.REJECT): State.ENDING,
    (State.WAITING, _I, Iax.AUTHREP): State.WAITING,
    (State.LINKED, _I, Iax.DPREQ): State.LINKED,
    (State.UP, _I, Iax.DPREQ): State.UP,
}
"""(state, frame type, subclass) of a frame to send -> the state after it; what is missing may not be sent."""

for _state in ALIVE:
    RECEIVED[(_state, _I, Iax.HANGUP)] = State.GONE
    SENT[(_state, _I, Iax.HANGUP)] = State.ENDING
