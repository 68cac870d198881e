"""Proof of membership on connections between processes of the fleet.

Each side sends a nonce, then signs both nonces, a direction label and its own
identity with the key of its member. The nonces of both sides prevent the replay
of a recorded proof, and the direction label prevents its reflection.

Members have Ed25519 keys, see :mod:`wagtailspread.wire.signing`. The processes
of a fleet that is one member may share a secret instead; they then do not load
the library for keys.

>>> secret = SharedSecret(b'layout')
>>> verify_signature(secret, secret.sign(b'message'), b'message')
True
>>> verify_signature(secret, secret.sign(b'message'), b'another')
False

References: RFC 2104 on keyed hashes.
"""

import dataclasses
import hashlib
import hmac
import importlib
import os
import typing

from wagtailspread.core import identifiers

NONCE_BYTES = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Identity of one end of an authenticated connection."""

    member: identifiers.MemberId
    host: identifiers.HostId
    role: str


class SigningKey(typing.Protocol):
    """Private key of a member."""

    def sign(self, data: bytes, /) -> bytes:
        """Return the signature of a message."""


@dataclasses.dataclass(frozen=True, slots=True)
class SharedSecret:
    """Secret that all processes of a fleet hold; signs and verifies."""

    secret: bytes

    def sign(self, data: bytes, /) -> bytes:
        """Return the keyed hash of a message."""
        return hmac.digest(self.secret, data, hashlib.sha256)


#: A raw Ed25519 public key, or a shared secret.
VerificationKey = bytes | SharedSecret


class MemberDirectory(typing.Protocol):
    """Public keys of the approved members in the active configuration."""

    def find_key(self, member: identifiers.MemberId) -> VerificationKey | None:
        """Return the key of a member, or ``None`` if not approved."""


@dataclasses.dataclass(frozen=True, slots=True)
class Credentials:
    """Identity of the local process and the private key that proves it."""

    peer: Peer
    key: SigningKey

    def sign(self, direction: str, nonces: bytes) -> bytes:
        """Return the proof of the local identity for one connection."""
        return self.key.sign(_create_message(direction, nonces, self.peer))


class FixedDirectory:
    """A directory with a fixed set of keys.

    :param keys: keys by member.
    """

    def __init__(
        self, keys: dict[identifiers.MemberId, VerificationKey]
    ) -> None:
        """Store the keys."""
        self._keys = keys

    def find_key(self, member: identifiers.MemberId) -> VerificationKey | None:
        """Return the key of a member, or ``None`` if not approved."""
        return self._keys.get(member)


def create_nonce() -> bytes:
    """Return fresh random bytes."""
    return os.urandom(NONCE_BYTES)


def verify_proof(
    directory: MemberDirectory,
    peer: Peer,
    direction: str,
    nonces: bytes,
    signature: bytes,
) -> bool:
    """Tell whether the signature proves the identity of an approved member."""
    return verify_signature(
        directory.find_key(peer.member),
        signature,
        _create_message(direction, nonces, peer),
    )


def verify_signature(
    key: VerificationKey | None,
    signature: bytes,
    message: bytes,
) -> bool:
    """Tell whether the signature of a message was created with this key.

    :param key: without one, no signature is valid.
    """
    if key is None:
        return False
    if isinstance(key, SharedSecret):
        return hmac.compare_digest(key.sign(message), signature)
    signing = importlib.import_module('wagtailspread.wire.signing')
    return bool(signing.verify_signature(key, signature, message))


def _create_message(direction: str, nonces: bytes, peer: Peer) -> bytes:
    identity = '\0'.join((direction, peer.member, peer.host, peer.role))
    return nonces + identity.encode()
