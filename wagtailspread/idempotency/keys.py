"""Scope and state of an idempotency key."""

import enum
import hashlib
import typing

#: Bytes of a scope digest: no two scopes of a store share one in practice.
SCOPE_BYTES = 20

#: Digest of (service, caller, key).
Scope = typing.NewType('Scope', bytes)


class KeyState(enum.IntEnum):
    """State of a claim on an idempotency key."""

    #: An attempt was granted and may be running.
    RUNNING = 0
    #: The answer is stored.
    FINISHED = 1
    #: An attempt may have run; its answer is lost.
    UNKNOWN = 2
    #: No attempt ran so far.
    RELEASED = 3


class ClaimState(enum.Enum):
    """Answer to a claim, as it travels in ``ClaimAnswer.state``."""

    GRANTED = 'granted'
    RUNNING = 'running'
    FINISHED = 'finished'
    UNKNOWN = 'unknown'
    #: The store holds as many keys or bytes as it may.
    FULL = 'full'
    #: The key was used with another request.
    MISMATCH = 'mismatch'
    #: The attempt was released before; it must not run.
    RELEASED = 'released'


def digest_scope(
    service: str | bytes,
    caller: str | bytes,
    key: str | bytes,
) -> Scope:
    """Return the digest that stands for a key in the store.

    Each part is preceded by its length, so that no two scopes have the same
    text. A decoded string that is not UTF-8 is left as bytes by thrift.

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
