"""What the service asks of the sockets, in order."""

from __future__ import annotations

from dataclasses import dataclass

from dapplehinge.interface import SwitchId


@dataclass(frozen=True, slots=True)
class Respond:
    """The final answer to an INVITE; `echo` is what its reader gave for that."""

    conn: int
    echo: bytes
    status: int
    gap: float = 0.0  # ms to keep away; 0: not said
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class ReleaseCaller:
    """BYE for a call that stood and is over; on its own connection or, if that is gone, on any."""

    conn: int
    id: int
    number: str
    cause: int
    confirmed: bool = True  # a switch has answered or released it; else only a caller says that it stood


@dataclass(frozen=True, slots=True)
class OpenLink:
    switch: SwitchId
    link: int
    address: tuple[str, int]
    within: float  # ms; not made by then: silent


@dataclass(frozen=True, slots=True)
class CloseLink:
    link: int


@dataclass(frozen=True, slots=True)
class SendSetUp:
    link: int
    id: int
    kind: str
    number: str
    wait: float  # ms
    description: bytes


@dataclass(frozen=True, slots=True)
class SendRelease:
    link: int
    id: int
    cause: int


@dataclass(frozen=True, slots=True)
class SendComplete:
    link: int
    id: int


@dataclass(frozen=True, slots=True)
class SendTest:
    link: int
    id: int


@dataclass(frozen=True, slots=True)
class Log:
    event: str
    text: str


Action = (
    Respond
    | ReleaseCaller
    | OpenLink
    | CloseLink
    | SendSetUp
    | SendRelease
    | SendComplete
    | SendTest
    | Log
)
