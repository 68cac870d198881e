"""Scope and state of an idempotency key."""

import enum
import hashlib
import typing

#: Length of a scope digest in bytes; long enough to rule out collisions in
#: practice.
SCOPE_BYTES = 20

#: Digest of (service, caller, key).
Scope = typing.NewType('Scope', bytes)


class KeyState(enum.IntEnum):
    """State of a claim on an idempotency key."""

    #: An attempt was granted and may be running.
    RUNNING = 0
    #: The answer is stored.
    FINISHED = 1
    #: An attempt may have run; its answer is not available.
    UNKNOWN = 2
    #: No attempt has run so far.
    RELEASED = 3


class ClaimState(enum.Enum):
    """Answer to a claim, encoded in ``ClaimAnswer.state``."""

    GRANTED = 'granted'
    RUNNING = 'running'
    FINISHED = 'finished'
    UNKNOWN = 'unknown'
    #: The store has reached its limit of keys or bytes.
    FULL = 'full'
    #: The key was used with a different request.
    MISMATCH = 'mismatch'
    #: The attempt was released earlier; it must not run.
    RELEASED = 'released'


def digest_scope(
    service: str | bytes,
    caller: str | bytes,
    key: str | bytes,
) -> Scope:
    """Return the digest that identifies a key in the store.

    Each part is prefixed with its length, so different scopes never have the
    same input. Thrift returns a string that is not valid UTF-8 as bytes.

    >>> first = digest_scope('contratos', 'ab', 'c')
    >>> first == digest_scope('contratos', 'a', 'bc')
    False
    """
    digest = hashlib.blake2b(digest_size=SCOPE_BYTES)
    for part in (service, caller, key):
        encoded = part if isinstance(part, bytes) else part.encode()
        digest.update(len(encoded).to_bytes(8, 'big'))
        digest.update(encoded)
    return Scope(digest.digest())
