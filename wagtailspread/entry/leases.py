"""Open leases of a host and where each of them is known.

Lease ids of two owners may be equal, so requests get ids of this book. An
adopted lease has a random negative id, which no owner grants by itself.
"""

import dataclasses
import itertools
import secrets

from wagtailspread.core import identifiers
from wagtailspread.entry import slots

_ADOPTED_BITS = 62


@dataclasses.dataclass(frozen=True, slots=True)
class LeasePlace:
    """An owner that was told of a lease, and the id there."""

    host: identifiers.HostId
    lease: identifiers.LeaseId


@dataclasses.dataclass(slots=True)
class OpenLease:
    """A lease that a request of this host uses.

    :param host: the owner that granted it, ``None`` for the own share.
    :param lease: its id there.
    :param adopted: the owners that were told of it later.
    """

    service: identifiers.ServiceName
    upstream: identifiers.UpstreamId
    expires: float
    host: identifiers.HostId | None
    lease: identifiers.LeaseId
    adopted: tuple[LeasePlace, ...] = ()


class LeaseBook:
    """The open leases of this host."""

    def __init__(self) -> None:
        """Start with none."""
        self._leases: dict[identifiers.LeaseId, OpenLease] = {}
        self._ids = itertools.count(1)

    def __len__(self) -> int:
        """Return the number of open leases."""
        return len(self._leases)

    def open(
        self,
        service: identifiers.ServiceName,
        grant: slots.Grant,
        host: identifiers.HostId | None,
    ) -> slots.Grant:
        """Record a grant; return it with the id of this book."""
        own = identifiers.LeaseId(next(self._ids))
        self._leases[own] = OpenLease(
            service,
            grant.upstream,
            grant.expires,
            host,
            grant.lease,
        )
        return slots.Grant(
            grant.request,
            own,
            grant.upstream,
            grant.address,
            grant.expires,
            grant.is_trial,
        )

    def close(self, lease: identifiers.LeaseId) -> OpenLease | None:
        """Forget a lease and return where it is known."""
        return self._leases.pop(lease, None)

    def adopt(
        self,
        service: identifiers.ServiceName,
        owner: identifiers.HostId,
        host: identifiers.HostId,
        now: float,
    ) -> list[slots.LeaseClaim]:
        """Return the claims that make a service's leases known to an owner.

        :param host: this host.
        """
        claims = []
        for lease in self._leases.values():
            known = lease.host == owner or any(
                place.host == owner for place in lease.adopted
            )
            if lease.service != service or known or lease.expires <= now:
                continue
            adopted = identifiers.LeaseId(-secrets.randbits(_ADOPTED_BITS))
            lease.adopted = (*lease.adopted, LeasePlace(owner, adopted))
            claims.append(
                slots.LeaseClaim(adopted, host, lease.upstream, lease.expires),
            )
        return claims
