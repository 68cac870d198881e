"""Sums over the rows of a table of upstreams, to find tables that are equal.

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

from wagtailspread.registry import records

_DIGEST_BYTES = 8
#: Sums are taken modulo this number, so that they fit the wire type.
MODULUS = 2**63


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
