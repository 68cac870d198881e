"""Sums over the rows of a table of upstreams, to find rows that are equal.

There is one sum over all rows, and one for each of :data:`BUCKETS` parts of the
table. If the sums of a part differ, all of its rows are sent.

The sum does not depend on the order of the rows, and it is updated with each
change. Fields that differ between equal tables, the number of the last
heartbeat and the warm-up time that remains, do not count.

>>> import dataclasses
>>> from wagtailspread.registry import records
>>> ready = records.UpstreamRecord(
...     'u1', 'vitrina', '10.0.0.1:80', 'bog', 6,
...     records.UpstreamState.READY, born_ms=1, sequence=4)
>>> later = dataclasses.replace(ready, sequence=5, warm_seconds=1.0)
>>> compute_digest(ready) == compute_digest(later)
True
>>> later = dataclasses.replace(ready, state=records.UpstreamState.DRAINING)
>>> compute_digest(ready) == compute_digest(later)
False
"""

import hashlib
import itertools
import struct
import zlib

from wagtailspread.core import identifiers
from wagtailspread.registry import records

_DIGEST_BYTES = 8
#: Sums are taken modulo this number, so that they fit the wire type.
MODULUS = 2**63
#: Number of parts of a table. With 480 upstreams, of which 20 have changed,
#: some 70 rows are sent in place of 480, and the sums take 512 bytes.
BUCKETS = 128
_BUCKET_MODULUS = 2**32
_PACKING = struct.Struct(f'>{BUCKETS}I')


class BucketDigests:
    """Sums over the rows of each part of a table. Starts without rows."""

    def __init__(self) -> None:
        """Start with the sums of an empty table."""
        self._sums = list(itertools.repeat(0, BUCKETS))

    def add(self, upstream: identifiers.UpstreamId, amount: int) -> None:
        """Add the digest of a row to its part; a negative amount removes it."""
        bucket = find_bucket(upstream)
        self._sums[bucket] = (self._sums[bucket] + amount) % _BUCKET_MODULUS

    def pack(self) -> bytes:
        """Return the sums as they are sent."""
        return _PACKING.pack(*self._sums)

    def list_different(self, packed: bytes | None) -> list[int]:
        """Return the parts whose sums differ from those of another table.

        :param packed: its sums. Without valid ones, all parts may differ.
        """
        if packed is None or len(packed) != _PACKING.size:
            return list(range(BUCKETS))
        others = _PACKING.unpack(packed)
        return [
            bucket
            for bucket, (own, other) in enumerate(
                zip(self._sums, others, strict=True)
            )
            if own != other
        ]


def find_bucket(upstream: identifiers.UpstreamId) -> int:
    """Return the part of a table that an upstream belongs to."""
    return zlib.crc32(upstream.encode(errors='surrogatepass')) % BUCKETS


def compute_digest(record: records.UpstreamRecord) -> int:
    """Return what one row adds to the sum."""
    text = '\n'.join(
        (
            record.upstream,
            record.service,
            record.address,
            record.domain,
            f'{record.slots} {record.state:d} {record.born_ms}',
        )
    )
    # A record of an upstream may have any text, see records.find_fault.
    encoded = text.encode(errors='surrogatepass')
    digest = hashlib.blake2b(encoded, digest_size=_DIGEST_BYTES)
    return int.from_bytes(digest.digest()) % MODULUS
