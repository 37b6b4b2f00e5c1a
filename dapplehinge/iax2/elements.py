"""Information elements (RFC 5456, section 8.6): a table of their shapes, a total reader and a strict writer.

A frame's elements are a dict of element number -> value: `str` for text, `int` for numbers, `bytes` for
opaque ones and for elements this table lacks, `Address` for the apparent address, `True` for the empty ones.
An element that occurs more than once keeps its last value, but for VARIABLE, whose values are joined by
newlines.
"""

from __future__ import annotations

import ipaddress
import struct
from dataclasses import dataclass

from dapplehinge.iax2.codes import Ie


class ElementError(ValueError):
    """The bytes are no list of information elements, or a value does not fit its element."""


@dataclass(frozen=True, slots=True)
class Address:
    """APPARENT_ADDR, section 8.6.17: a socket address as the sender saw it."""

    host: str
    port: int


Value = str | int | bytes | Address
Elements = dict[int, Value]

TEXT = frozenset(
    {
        Ie.CALLED_NUMBER, Ie.CALLING_NUMBER, Ie.CALLING_ANI, Ie.CALLING_NAME, Ie.CALLED_CONTEXT, Ie.USERNAME,
        Ie.PASSWORD, Ie.LANGUAGE, Ie.DNID, Ie.CHALLENGE, Ie.MD5_RESULT, Ie.RSA_RESULT, Ie.CAUSE, Ie.RDNIS,
        Ie.CODEC_PREFS, Ie.VARIABLE,
    }
)  # fmt: skip
NUMBERS = {
    Ie.CAPABILITY: 4, Ie.FORMAT: 4, Ie.VERSION: 2, Ie.ADSICPE: 2, Ie.AUTHMETHODS: 2, Ie.REFRESH: 2,
    Ie.DPSTATUS: 2, Ie.CALLNO: 2, Ie.IAX_UNKNOWN: 1, Ie.MSGCOUNT: 2, Ie.TRANSFERID: 4, Ie.DATETIME: 4,
    Ie.FIRMWAREVER: 2, Ie.FWBLOCKDESC: 4, Ie.PROVVER: 4, Ie.CALLINGPRES: 1, Ie.CALLINGTON: 1,
    Ie.CALLINGTNS: 2, Ie.SAMPLINGRATE: 2, Ie.CAUSECODE: 1, Ie.ENCRYPTION: 2, Ie.RR_JITTER: 4, Ie.RR_LOSS: 4,
    Ie.RR_PKTS: 4, Ie.RR_DELAY: 2, Ie.RR_DROPPED: 4, Ie.RR_OOO: 4,
}  # fmt: skip
EMPTY = frozenset({Ie.AUTOANSWER, Ie.MUSICONHOLD})
# plain ints as keys: they hash faster than enum members on the way in
_TEXT = frozenset(int(ie) for ie in TEXT)
_NUMBERS = {int(ie): size for ie, size in NUMBERS.items()}
_EMPTY = frozenset(int(ie) for ie in EMPTY)
_VARIABLE, _APPARENT = int(Ie.VARIABLE), int(Ie.APPARENT_ADDR)
_AF_INET, _AF_INET6 = 0x0200, 0x0A00  # as section 8.6.17 draws them, low byte first


def read_elements(data: bytes) -> Elements:
    """All elements in `data`; any bytes give a dict or an `ElementError` that names the place."""
    found: Elements = {}
    at, end = 0, len(data)
    while at < end:
        if at + 2 > end:
            raise ElementError(f"element at byte {at} has no length")
        kind, size = data[at], data[at + 1]
        start, at = at + 2, at + 2 + size
        if at > end:
            raise ElementError(f"element 0x{kind:02x} at byte {start - 2} is cut short")
        if kind in _TEXT:
            # a byte that is not UTF-8 survives the way in and out
            text = data[start:at].decode("utf-8", "surrogateescape")
            if kind == _VARIABLE and kind in found:
                text = f"{found[kind]!s}\n{text}"
            found[kind] = text
        elif kind in _NUMBERS:
            if size != _NUMBERS[kind]:
                raise ElementError(f"element 0x{kind:02x} is {size} bytes long, not {_NUMBERS[kind]}")
            found[kind] = int.from_bytes(data[start:at], "big")
        elif kind in _EMPTY:
            if size:
                raise ElementError(f"element 0x{kind:02x} is {size} bytes long, not empty")
            found[kind] = True
        elif kind == _APPARENT:
            found[kind] = _read_address(data[start:at])
        else:
            found[kind] = data[start:at]
    return found


def write_elements(elements: Elements) -> bytes:
    """The bytes of `elements`, in their order; `ElementError` names the element whose value does not fit."""
    parts = []
    for kind, value in elements.items():
        if not 0 <= kind <= 255:
            raise ElementError(f"element {kind} is no byte")
        if kind == _VARIABLE and isinstance(value, str):
            parts += [_framed(kind, part.encode("utf-8", "surrogateescape")) for part in value.split("\n")]
            continue
        if kind in _TEXT:
            if not isinstance(value, str):
                raise ElementError(f"element 0x{kind:02x} takes text, not {type(value).__name__}")
            raw = value.encode("utf-8", "surrogateescape")
        elif kind in _NUMBERS:
            size = _NUMBERS[kind]
            if not isinstance(value, int) or not 0 <= value < 1 << 8 * size:
                raise ElementError(f"element 0x{kind:02x} takes a number of {size} bytes, not {value!r}")
            raw = value.to_bytes(size, "big")
        elif kind in _EMPTY:
            if value is not True:
                raise ElementError(f"element 0x{kind:02x} takes True alone, not {value!r}")
            raw = b""
        elif kind == _APPARENT:
            if not isinstance(value, Address):
                raise ElementError(f"element 0x{kind:02x} takes an Address, not {type(value).__name__}")
            raw = _write_address(value)
        else:
            if not isinstance(value, bytes):
                raise ElementError(f"element 0x{kind:02x} takes bytes, not {type(value).__name__}")
            raw = value
        parts.append(_framed(kind, raw))
    return b"".join(parts)


def _framed(kind: int, raw: bytes) -> bytes:
    if len(raw) > 255:
        raise ElementError(f"element 0x{kind:02x} is {len(raw)} bytes long, the most is 255")
    return bytes((kind, len(raw))) + raw


def _read_address(raw: bytes) -> Address:
    if len(raw) == 16 and raw[:2] == _AF_INET.to_bytes(2, "big"):
        return Address(str(ipaddress.IPv4Address(raw[4:8])), int.from_bytes(raw[2:4], "big"))
    if len(raw) == 28 and raw[:2] == _AF_INET6.to_bytes(2, "big"):
        return Address(str(ipaddress.IPv6Address(raw[8:24])), int.from_bytes(raw[2:4], "big"))
    raise ElementError("APPARENT_ADDR holds neither an IPv4 nor an IPv6 socket address")


def _write_address(value: Address) -> bytes:
    try:
        host = ipaddress.ip_address(value.host)
    except ValueError:
        raise ElementError(f"APPARENT_ADDR: {value.host!r} is no IP address") from None
    if not 0 <= value.port <= 0xFFFF:
        raise ElementError(f"APPARENT_ADDR: {value.port} is no port")
    if isinstance(host, ipaddress.IPv4Address):
        return struct.pack(">HH", _AF_INET, value.port) + host.packed + bytes(8)
    return struct.pack(">HHI", _AF_INET6, value.port, 0) + host.packed + bytes(4)


def text(elements: Elements, kind: Ie, default: str = "") -> str:
    value = elements.get(kind)
    return value if isinstance(value, str) else default


def number(elements: Elements, kind: Ie, default: int = 0) -> int:
    value = elements.get(kind)
    return value if isinstance(value, int) else default
