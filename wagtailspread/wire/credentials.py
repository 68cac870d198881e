"""Proof of membership on the fleet's own connections.

Both sides send a nonce, then sign both nonces and their own claim with the
Ed25519 key of their member. Nonces from both sides keep a recorded proof from
being replayed, and the direction label keeps it from being reflected.
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
    """The other end of an authenticated connection."""

    member: identifiers.MemberId
    host: identifiers.HostId
    role: str


class MemberDirectory(typing.Protocol):
    """Public keys of approved members, from the configuration in force."""

    def find_key(self, member: identifiers.MemberId) -> bytes | None:
        """Return the raw Ed25519 public key, or ``None`` if not approved."""


@dataclasses.dataclass(frozen=True, slots=True)
class Credentials:
    """The own claim and the key that proves it."""

    peer: Peer
    key: ed25519.Ed25519PrivateKey

    def sign(self, direction: str, nonces: bytes) -> bytes:
        """Return the proof of the own claim for this connection."""
        return self.key.sign(_signed_text(direction, nonces, self.peer))


class FixedDirectory:
    """A directory with a fixed set of keys.

    :param keys: raw public keys by member.
    """

    def __init__(self, keys: dict[identifiers.MemberId, bytes]) -> None:
        """Keep ``keys``."""
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
    """Return the private key in a PEM file.

    :raises TypeError: if the file holds a key of another kind.
    """
    key = serialization.load_pem_private_key(pem, password=None)
    if not isinstance(key, ed25519.Ed25519PrivateKey):
        raise TypeError('not an Ed25519 key')
    return key


def dump_key(key: ed25519.Ed25519PrivateKey) -> bytes:
    """Return the private key as an unencrypted PEM file."""
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
    """Tell whether the signature proves the claim of an approved member."""
    return verify_signature(
        directory.find_key(peer.member),
        signature,
        _signed_text(direction, nonces, peer),
    )


def verify_signature(
    public_key: bytes | None,
    signature: bytes,
    text: bytes,
) -> bool:
    """Tell whether ``signature`` over ``text`` was made with this key."""
    if public_key is None:
        return False
    try:
        ed25519.Ed25519PublicKey.from_public_bytes(public_key).verify(
            signature,
            text,
        )
    except (exceptions.InvalidSignature, ValueError):
        return False
    return True


def _signed_text(direction: str, nonces: bytes, peer: Peer) -> bytes:
    claim = '\0'.join((direction, peer.member, peer.host, peer.role))
    return nonces + claim.encode()
