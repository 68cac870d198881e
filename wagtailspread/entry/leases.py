"""Open leases of a host and the owners that know of each.

Two owners may grant leases with equal ids, so leases are indexed by request; a
request has one lease at a time. A lease adopted by another owner has a random
negative id there, which no owner grants by itself.
"""

import dataclasses
import secrets

from wagtailspread.core import identifiers
from wagtailspread.entry import slots

_ADOPTED_ID_BITS = 62


@dataclasses.dataclass(frozen=True, slots=True)
class Adoption:
    """Another owner to which a lease was reported, and the lease id there."""

    host: identifiers.HostId
    lease: identifiers.LeaseId


@dataclasses.dataclass(slots=True)
class OpenLease:
    """A lease that a request of this host uses.

    :param host: the owner that granted it, ``None`` if the host granted it from
        its local share.
    :param adoptions: later owners to which the lease was reported.
    """

    service: identifiers.ServiceName
    grant: slots.Grant
    host: identifiers.HostId | None
    adoptions: tuple[Adoption, ...] = ()


class LeaseTable:
    """The open leases of this host."""

    def __init__(self) -> None:
        """Start with no open leases."""
        self._leases: dict[identifiers.RequestId, OpenLease] = {}

    def __len__(self) -> int:
        """Return the number of open leases."""
        return len(self._leases)

    def open(
        self,
        service: identifiers.ServiceName,
        grant: slots.Grant,
        host: identifiers.HostId | None,
    ) -> None:
        """Record a grant of an owner, or of the local share."""
        self._leases[grant.request] = OpenLease(service, grant, host)

    def close(self, request: identifiers.RequestId) -> OpenLease | None:
        """Remove the lease of a request and return it, ``None`` if unknown."""
        return self._leases.pop(request, None)

    def adopt(
        self,
        service: identifiers.ServiceName,
        owner: identifiers.HostId,
        host: identifiers.HostId,
        now: float,
    ) -> list[slots.LeaseClaim]:
        """Return claims for the leases that an owner does not know yet.

        The leases are recorded as adopted by that owner.

        :param host: this host.
        """
        claims = []
        for lease in self._leases.values():
            is_known = lease.host == owner or any(
                adoption.host == owner for adoption in lease.adoptions
            )
            grant = lease.grant
            if lease.service != service or is_known or grant.expires <= now:
                continue
            adopted = identifiers.LeaseId(-secrets.randbits(_ADOPTED_ID_BITS))
            lease.adoptions = (*lease.adoptions, Adoption(owner, adopted))
            claims.append(
                slots.LeaseClaim(adopted, host, grant.upstream, grant.expires),
            )
        return claims
