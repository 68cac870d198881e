"""Digests of the keys that requests of workspaces carry.

>>> key = compute_digest('k1')
>>> read_digest(['token  k1']) == key, read_digest(['Token k1', 'Token k1'])
(True, None)
"""

import hashlib
import typing

#: Size of a digest in bytes. Keys are random, so a collision of two keys among
#: 154,000 has a probability of 4e-29.
DIGEST_BYTES = 16

#: Scheme of the ``Authorization`` header that carries a key.
SCHEME = 'Token'

KeyDigest = typing.NewType('KeyDigest', bytes)


def compute_digest(key: str) -> KeyDigest:
    """Return the digest of a key: its SHA-256, cut to :data:`DIGEST_BYTES`."""
    # The text of a header has surrogates for bytes that are not UTF-8.
    encoded = key.encode('utf-8', 'surrogateescape')
    return KeyDigest(hashlib.sha256(encoded).digest()[:DIGEST_BYTES])


def read_digest(credentials: typing.Sequence[str]) -> KeyDigest | None:
    """Return the digest of the key that a request carries, if it does.

    A request with several ``Authorization`` headers has no key: a proxy on the
    way could have checked another one of them.

    :param credentials: the values of all its ``Authorization`` headers.
    """
    if len(credentials) != 1:
        return None
    scheme, _, key = credentials[0].strip(' \t').partition(' ')
    key = key.strip(' \t')
    if scheme.lower() != SCHEME.lower() or not key:
        return None
    return compute_digest(key)
