"""Encryption of a leg's frames with AES-128 (RFC 5456, section 10), on `cryptography`.

Both ends make the key from what they share already: the MD5 of challenge and secret. The NEW offers the
method, the AUTHREQ chooses it, and what follows the AUTHREP is sealed. The call numbers stay in the clear,
so that the leg can be found: 4 bytes of a full frame, 2 of a mini frame. The rest is put behind 16 to 31
bytes of padding, the low half of whose 16th byte tells how many beyond 16, and enciphered in CBC mode from
a block of zeros: the random padding in front takes the place of a random first block.

This keeps voice from being overheard. It does not authenticate frames, which the RFC's scheme never did.
"""

from __future__ import annotations

import secrets

from cryptography.hazmat.primitives.ciphers import Cipher, algorithms, modes

from dapplehinge.iax2.auth import md5_result
from dapplehinge.iax2.codes import FrameType, Iax

AES_128 = 0x0001
"""Bit of the ENCRYPTION element, section 8.6.34."""

BLOCK = 16
FULL_CLEAR, MINI_CLEAR = 4, 2  # bytes of call numbers in front
_ZEROS = bytes(BLOCK)
_OPEN = frozenset(int(each) for each in (Iax.NEW, Iax.AUTHREQ, Iax.AUTHREP))


class SealError(ValueError):
    """The bytes are no sealed frame of this leg."""


class LegCipher:
    def __init__(self, challenge: str, secret: str) -> None:
        key = bytes.fromhex(md5_result(challenge, secret))
        self._cipher = Cipher(algorithms.AES128(key), modes.CBC(_ZEROS))

    def seal(self, data: bytes) -> bytes:
        """A frame as it goes out; those that set the call up stay as they are, also when they are
        repeated.
        """
        if data[0] & 0x80 and data[10] == FrameType.IAX and data[11] in _OPEN:
            return data
        clear = FULL_CLEAR if data[0] & 0x80 else MINI_CLEAR
        body = data[clear:]
        padding = BLOCK + -len(body) % BLOCK
        front = bytearray(secrets.token_bytes(padding))
        front[15] = (front[15] & 0xF0) | (padding & 0x0F)
        sealing = self._cipher.encryptor()
        return data[:clear] + sealing.update(bytes(front) + body) + sealing.finalize()

    def open(self, data: bytes) -> bytes:
        """A frame as it came in; `SealError` for what this leg's key does not open to a frame."""
        clear = FULL_CLEAR if data[0] & 0x80 else MINI_CLEAR
        body = data[clear:]
        if len(body) < 2 * BLOCK or len(body) % BLOCK:
            if data[0] & 0x80 and len(data) >= 12 and data[10] == FrameType.IAX and data[11] in _OPEN:
                return data  # a repeat from before the key
            raise SealError(f"{len(data)} bytes are no sealed frame")
        opening = self._cipher.decryptor()
        plain = opening.update(body) + opening.finalize()
        return data[:clear] + plain[BLOCK + (plain[15] & 0x0F) :]
