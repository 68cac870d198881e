"""Assignment of allocators to hosts.

Each pair of a service and a region has one owner: the host that runs its
allocator. By rendezvous hashing every host computes the same order of the live
hosts, and the loss of one host reassigns only the pairs that it owned.

References: D. Thaler and C. Ravishankar, "Using name-based mappings to
increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import hashlib

from collections import abc

from wagtailspread.core import identifiers

_DIGEST_BYTES = 8


def compute_weight(
    service: identifiers.ServiceName,
    region: identifiers.RegionName,
    host: identifiers.HostId,
) -> int:
    """Return the weight of a host; the host of highest weight owns the pair.

    The weight is the same in every process, unlike ``hash()``.
    """
    # Names cannot contain NUL, so different triples have different keys.
    key = '\0'.join((service, region, host)).encode()
    digest = hashlib.blake2b(key, digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, 'big')


def order_hosts(
    service: identifiers.ServiceName,
    region: identifiers.RegionName,
    hosts: abc.Iterable[identifiers.HostId],
) -> list[identifiers.HostId]:
    """Return the hosts by descending weight: the owner, then its successors.

    >>> order_hosts('vitrina', 'centro', ['h1', 'h2', 'h3'])
    ['h1', 'h3', 'h2']

    :param hosts: live entry hosts of the region.
    """
    return sorted(
        hosts,
        key=lambda host: (compute_weight(service, region, host), host),
        reverse=True,
    )


def find_owner(
    service: identifiers.ServiceName,
    region: identifiers.RegionName,
    hosts: abc.Iterable[identifiers.HostId],
) -> identifiers.HostId | None:
    """Return the owner of a pair, or ``None`` without live hosts."""
    ordered = order_hosts(service, region, hosts)
    return ordered[0] if ordered else None
