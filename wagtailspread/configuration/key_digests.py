"""Digests of the keys of workspaces.

A configuration holds digests only, so that nobody who reads it learns a key.

>>> compute_digest('key1').hex()[:16]
'8174099687a26621'
>>> digest = compute_digest('key1')
>>> parse_digest(digest.hex()) == shorten(digest)
True
>>> parse_digest('key1') is None
True
"""

import hashlib
import re

from wagtailspread.workspaces import keys

#: Maximum length of a key, in characters.
MAX_KEY_LENGTH = 255

_DIGEST = re.compile('[0-9a-f]{64}')
#: Visible ASCII characters, as a header field can carry them.
_KEY = re.compile('[!-~]+')


def is_key(text: str) -> bool:
    """Tell whether a text can be the key of a workspace.

    >>> is_key('a+b/c='), is_key('two words'), is_key('')
    (True, False, False)
    """
    return len(text) <= MAX_KEY_LENGTH and _KEY.fullmatch(text) is not None


def compute_digest(key: str) -> bytes:
    """Return the SHA-256 digest of a key."""
    return hashlib.sha256(key.encode()).digest()


def shorten(digest: bytes) -> keys.KeyDigest:
    """Return the part of a digest that is kept and compared."""
    return keys.KeyDigest(digest[: keys.DIGEST_BYTES])


def parse_digest(text: str) -> keys.KeyDigest | None:
    """Return the part of a digest in hex that is kept.

    :returns: the part, or ``None`` if the text is no digest.
    """
    if _DIGEST.fullmatch(text) is None:
        return None
    return shorten(bytes.fromhex(text))
