"""Order of the live hosts that own the allocator of each service."""

import dataclasses

from wagtailspread.allocation import ownership
from wagtailspread.core import clocks, identifiers
from wagtailspread.entry import interfaces
from wagtailspread.membership import agents
from wagtailspread.processes import copies

#: Time for which an order is cached, in seconds. Hashing all hosts for each
#: request would cost more than the rest of the decision.
CACHE_SECONDS = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class _Order:
    endpoints: tuple[interfaces.OwnerEndpoint, ...]
    expires_at: float


class GossipedOwnership:
    """Rendezvous hashing order of the hosts that are alive by gossip."""

    def __init__(
        self,
        agent: agents.Agent,
        copy: copies.ConfigurationCopy,
        clock: clocks.Clock,
    ) -> None:
        """Create an ownership with an empty cache."""
        self._copy = copy
        self._agent = agent
        self._clock = clock
        self._orders: dict[
            tuple[identifiers.ServiceName, identifiers.RegionName],
            _Order,
        ] = {}

    def rank_owners(
        self,
        service: identifiers.ServiceName,
        region: identifiers.RegionName,
    ) -> tuple[interfaces.OwnerEndpoint, ...]:
        """Return the live hosts of a region, the owner first."""
        now = self._clock.now()
        order = self._orders.get((service, region))
        if order is None or now >= order.expires_at:
            endpoints = self._compute(service, region)
            order = _Order(endpoints, now + CACHE_SECONDS)
            self._orders[service, region] = order
        return order.endpoints

    def count_hosts(self, region: identifiers.RegionName) -> int:
        """Return the number of hosts among which a region's slots are split."""
        settings = self._copy.settings
        configured = settings.regions.get(region) if settings else None
        alive = len(self._agent.find_alive(region))
        return max(alive, configured.hosts if configured else 1)

    def _compute(
        self,
        service: identifiers.ServiceName,
        region: identifiers.RegionName,
    ) -> tuple[interfaces.OwnerEndpoint, ...]:
        rows = {row.host: row for row in self._agent.find_alive(region)}
        ordered = ownership.order_hosts(service, region, rows)
        return tuple(
            interfaces.OwnerEndpoint(host, rows[host].address)
            for host in ordered
        )
