"""Challenges and their answers (RFC 5456, sections 8.6.14 to 8.6.16): MD5 and RSA, on `cryptography`.

MD5 and SHA-1 are what the RFC prescribes; they keep out the careless, not a determined reader of the wire.
"""

from __future__ import annotations

import base64
import binascii
import hmac
import secrets

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import padding, rsa

from dapplehinge.iax2.codes import AuthMethod, Ie
from dapplehinge.iax2.elements import Elements, number, text

MOST_KEY_BITS = 1520
"""An element holds 255 bytes, and the answer is base64."""


class BadKey(ValueError):  # noqa: N818
    """The key is no RSA key in PEM."""


def challenge() -> str:
    """A fresh challenge; `secrets` makes it, as a guessable one could be answered ahead."""
    return secrets.token_hex(8)


def md5_result(challenge_text: str, secret: str) -> str:
    """Lower-case hexadecimal MD5 of challenge and secret joined, section 8.6.15."""
    digest = hashes.Hash(hashes.MD5())
    digest.update(challenge_text.encode() + secret.encode())
    return digest.finalize().hex()


def rsa_result(challenge_text: str, private_pem: bytes) -> str:
    """Base64 of the RSA signature (PKCS#1 v1.5) over the challenge's SHA-1, section 8.6.16."""
    try:
        key = serialization.load_pem_private_key(private_pem, password=None)
    except (ValueError, TypeError) as fault:
        raise BadKey(f"no private key in PEM: {fault}") from None
    if not isinstance(key, rsa.RSAPrivateKey):
        raise BadKey("the private key is not an RSA key")
    if key.key_size > MOST_KEY_BITS:
        raise BadKey(f"the answer of an RSA key over {MOST_KEY_BITS} bits does not fit: {key.key_size}")
    signature = key.sign(challenge_text.encode(), padding.PKCS1v15(), hashes.SHA1())
    return base64.b64encode(signature).decode()


def rsa_verifies(challenge_text: str, result: str, public_pem: bytes) -> bool:
    """Whether `result` answers the challenge; a malformed one answers it not."""
    try:
        key = serialization.load_pem_public_key(public_pem)
    except (ValueError, TypeError) as fault:
        raise BadKey(f"no public key in PEM: {fault}") from None
    if not isinstance(key, rsa.RSAPublicKey):
        raise BadKey("the public key is not an RSA key")
    try:
        signature = base64.b64decode(result, validate=True)
        key.verify(signature, challenge_text.encode(), padding.PKCS1v15(), hashes.SHA1())
    except (InvalidSignature, binascii.Error, ValueError):
        return False
    return True


def methods_of(secret: str | None, public_pem: bytes | None) -> int:
    return (AuthMethod.MD5 if secret is not None else 0) | (AuthMethod.RSA if public_pem is not None else 0)


def answers(elements: Elements, challenge_text: str, secret: str | None, public_pem: bytes | None) -> bool:
    """Whether an AUTHREP's or REGREQ's elements answer the challenge by a method this account has."""
    given = text(elements, Ie.MD5_RESULT)
    if given and secret is not None:
        return hmac.compare_digest(given.encode(), md5_result(challenge_text, secret).encode())
    given = text(elements, Ie.RSA_RESULT)
    if given and public_pem is not None:
        return rsa_verifies(challenge_text, given, public_pem)
    return False


def answer(elements: Elements, secret: str | None, private_pem: bytes | None) -> Elements | None:
    """The elements that answer an AUTHREQ or REGAUTH, or None where no offered method can be used."""
    offered = number(elements, Ie.AUTHMETHODS)
    challenged = text(elements, Ie.CHALLENGE)
    if offered & AuthMethod.RSA and private_pem is not None:
        return {Ie.RSA_RESULT: rsa_result(challenged, private_pem)}
    if offered & AuthMethod.MD5 and secret is not None:
        return {Ie.MD5_RESULT: md5_result(challenged, secret)}
    return None
