"""Ed25519 keys of members."""

from cryptography import exceptions
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ed25519


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


def verify_signature(
    public_key: bytes,
    signature: bytes,
    message: bytes,
) -> bool:
    """Tell whether the signature of a message was created with this key.

    :param public_key: raw Ed25519 public key.
    """
    try:
        ed25519.Ed25519PublicKey.from_public_bytes(public_key).verify(
            signature,
            message,
        )
    except (exceptions.InvalidSignature, ValueError):
        return False
    return True
