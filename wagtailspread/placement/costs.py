"""What it costs to send a request to an upstream.

The unit is the loss of one request: a cost of 0.1 is as bad as one failure in
ten. So crossing to another failure domain is worth it exactly when it makes a
failure or a late answer that much less likely.
"""

import dataclasses

from wagtailspread.core import identifiers
from wagtailspread.health import doubts
from wagtailspread.registry import tables

#: Cost of an exchange with another failure domain, for its round trips and
#: the bytes of a small request; source: prices of the users' sites.
DOMAIN_COST = 0.01
#: The same to another region.
REGION_COST = 0.03
#: Cost of each KiB of a body to another failure domain. A body of 60 KiB costs
#: 0.12: it crosses where that prevents one failure in eight.
DOMAIN_COST_PER_KIB = 0.002
#: The same to another region, whose link is narrow and paid by volume.
REGION_COST_PER_KIB = 0.006
#: Cost of an upstream that no replica has heard of late.
SILENT_COST = 0.25
#: Cost of an upstream to which this host could not connect just now.
BLOCKED_COST = 0.6
#: Cost of an upstream that refused to run a request just now.
SHED_COST = 0.4
#: Share of the slots in use from which on a request may have to wait.
FREE_SHARE = 0.5
#: Cost of waiting behind each further slots' worth of requests.
WAITING_COST = 0.2
#: Cost of each multiple by which an upstream is slower than its peers.
SLOWNESS_COST = 0.06
#: Cost of an upstream that is not warmed up; it works at half its speed.
COLD_COST = 0.05

_KIB = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where a host is.

    :param regions: the region of each failure domain.
    """

    domain: identifiers.FailureDomain
    regions: dict[identifiers.FailureDomain, identifiers.RegionName]

    def find_distance_cost(
        self,
        domain: identifiers.FailureDomain,
        size: int,
    ) -> float:
        """Return the cost of an exchange with another failure domain.

        :param size: bytes of the request's body.
        """
        if domain == self.domain:
            return 0.0
        own = self.regions.get(self.domain)
        if own is not None and self.regions.get(domain) == own:
            return DOMAIN_COST + DOMAIN_COST_PER_KIB * size / _KIB
        return REGION_COST + REGION_COST_PER_KIB * size / _KIB


@dataclasses.dataclass(slots=True)
class LocalView:
    """What only this host knows of an upstream.

    :param open_requests: its own requests at work there.
    :param blocked_until: end of the time for which it is avoided after a
        failed connection, in seconds.
    """

    open_requests: int = 0
    blocked_until: float = 0.0


def find_cost(
    row: tables.RegistryRow,
    local: LocalView,
    shared: doubts.DoubtTable,
    usual_seconds: float,
    now: float,
) -> float:
    """Return the cost of the next request at an upstream, distance aside.

    :param usual_seconds: mean time of good answers of the service, 0 if
        unknown.
    """
    upstream = row.record.upstream
    cost = shared.find_risk(upstream, now)
    if local.blocked_until > now:
        cost += BLOCKED_COST
    if shared.has_shed(upstream, now):
        cost += SHED_COST
    if row.warm_at > now:
        cost += COLD_COST
    load = max(shared.find_load(upstream, now), local.open_requests)
    waiting = (load + 1) / row.record.slots - FREE_SHARE
    if waiting > 0:
        cost += WAITING_COST * waiting
    mean = shared.find_mean(upstream)
    if usual_seconds > 0 and mean > usual_seconds:
        cost += SLOWNESS_COST * (mean / usual_seconds - 1)
    return cost
