"""Proof of membership on connections between processes of the fleet.

Each side sends a nonce, then signs both nonces, a direction label and its own
identity with the Ed25519 key of its member. The nonces of both sides prevent
the replay of a recorded proof, and the direction label prevents its
reflection.
"""

import dataclasses
import os
import typing

from cryptography import exceptions
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ed25519

from wagtailspread.core import identifiers

NONCE_BYTES = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Identity of one end of an authenticated connection."""

    member: identifiers.MemberId
    host: identifiers.HostId
    role: str


class MemberDirectory(typing.Protocol):
    """Public keys of the approved members in the active configuration."""

    def find_key(self, member: identifiers.MemberId) -> bytes | None:
        """Return the raw Ed25519 public key, or ``None`` if not approved."""


@dataclasses.dataclass(frozen=True, slots=True)
class Credentials:
    """Identity of the local process and the private key that proves it."""

    peer: Peer
    key: ed25519.Ed25519PrivateKey

    def sign(self, direction: str, nonces: bytes) -> bytes:
        """Return the proof of the local identity for one connection."""
        return self.key.sign(_create_message(direction, nonces, self.peer))


class FixedDirectory:
    """A directory with a fixed set of keys.

    :param keys: raw public keys by member.
    """

    def __init__(self, keys: dict[identifiers.MemberId, bytes]) -> None:
        """Store the keys."""
        self._keys = keys

    def find_key(self, member: identifiers.MemberId) -> bytes | None:
        """Return the raw Ed25519 public key, or ``None`` if not approved."""
        return self._keys.get(member)


def create_nonce() -> bytes:
    """Return fresh random bytes."""
    return os.urandom(NONCE_BYTES)


def create_key() -> ed25519.Ed25519PrivateKey:
    """Return a new member key."""
    return ed25519.Ed25519PrivateKey.generate()


def load_key(pem: bytes) -> ed25519.Ed25519PrivateKey:
    """Return the private key in the text of a PEM file.

    :raises TypeError: if the key is encrypted or not an Ed25519 key.
    :raises ValueError: if the text is not a private key in PEM format.
    """
    key = serialization.load_pem_private_key(pem, password=None)
    if not isinstance(key, ed25519.Ed25519PrivateKey):
        raise TypeError(
            f'private key: expected Ed25519, got {type(key).__name__}',
        )
    return key


def dump_key(key: ed25519.Ed25519PrivateKey) -> bytes:
    """Return the private key as the text of an unencrypted PEM file."""
    return key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )


def public_bytes(key: ed25519.Ed25519PrivateKey) -> bytes:
    """Return the raw public key, 32 bytes."""
    return key.public_key().public_bytes_raw()


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
    public_key: bytes | None,
    signature: bytes,
    message: bytes,
) -> bool:
    """Tell whether the signature of a message was created with this key.

    :param public_key: raw Ed25519 public key; without one, no signature is
        valid.
    """
    if public_key is None:
        return False
    try:
        ed25519.Ed25519PublicKey.from_public_bytes(public_key).verify(
            signature,
            message,
        )
    except (exceptions.InvalidSignature, ValueError):
        return False
    return True


def _create_message(direction: str, nonces: bytes, peer: Peer) -> bytes:
    identity = '\0'.join((direction, peer.member, peer.host, peer.role))
    return nonces + identity.encode()
