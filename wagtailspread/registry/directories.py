"""Where the replicas and the substitutes of their allocators are."""

import itertools
import typing

from wagtailspread.core import identifiers
from wagtailspread.registry import feeds, places
from wagtailspread.wire import messages


class ReplicaDirectory:
    """Failure domains of the replicas. Use :func:`create_directory`."""

    def __init__(
        self,
        address: identifiers.Address,
        domain: identifiers.FailureDomain,
        regions: dict[identifiers.FailureDomain, identifiers.RegionName],
    ) -> None:
        """Start with the own replica only.

        :param regions: the region of each failure domain.
        """
        self._address = address
        self._regions = regions
        self._domains: dict[identifiers.Address, identifiers.FailureDomain] = {
            address: domain
        }

    def record(
        self, address: identifiers.Address, batch: messages.Struct
    ) -> None:
        """Record what a replica reports of its own place.

        :param batch: struct ``ChangeBatch``, cleaned.
        """
        for place in batch.replicas:
            if place.address == address:
                domain = identifiers.FailureDomain(place.domain)
                self._domains[address] = domain

    def find_replica(
        self,
        domain: identifiers.FailureDomain,
        reachable: typing.Container[identifiers.Address],
    ) -> identifiers.Address | None:
        """Return a replica in a failure domain, if one is reachable.

        :param reachable: the other replicas that are.
        """
        for address, located in sorted(self._domains.items()):
            is_reachable = address == self._address or address in reachable
            if located == domain and is_reachable:
                return address
        return None

    def find_region(
        self, address: identifiers.Address
    ) -> identifiers.RegionName | None:
        """Return the region of a replica, ``None`` if it is not known."""
        domain = self._domains.get(address)
        return None if domain is None else self._regions.get(domain)

    def list_places(
        self, others: typing.Iterable[identifiers.Address]
    ) -> list[messages.Struct]:
        """Return structs of this replica and of others."""
        return [
            messages.structs.ReplicaPlace(
                address=address,
                domain=self._domains.get(address, ''),
            )
            for address in (self._address, *others)
        ]

    def list_substitutes(
        self,
        hosts: typing.Iterable[feeds.FollowerState],
        request: messages.Struct,
        batches: typing.Iterable[messages.Struct],
    ) -> list[messages.Struct]:
        """Return the hosts with the lowest addresses, the same at all replicas.

        A replica gets such hosts of each region that follow this replica. A
        host gets those of its region that follow any replica.

        :param hosts: those that follow this replica.
        :param request: struct ``FollowChanges``.
        :param batches: newest ones of the other replicas.
        """
        candidates = [
            messages.structs.ReplicaPlace(
                address=one.address,
                domain=one.domain,
            )
            for one in hosts
        ]
        region = None
        if not request.is_replica:
            domain = identifiers.FailureDomain(request.domain)
            region = self._regions.get(domain)
        if region is not None:
            for batch in batches:
                candidates.extend(batch.substitutes)
        chosen = places.choose_substitutes(candidates, self._regions)
        if region is not None:
            return chosen.get(region, [])
        return list(itertools.chain.from_iterable(chosen.values()))


def create_directory(
    address: identifiers.Address,
    domain: identifiers.FailureDomain,
    regions: dict[identifiers.FailureDomain, identifiers.RegionName],
) -> ReplicaDirectory:
    """Return a directory that knows the own replica only."""
    return ReplicaDirectory(address, domain, regions)
