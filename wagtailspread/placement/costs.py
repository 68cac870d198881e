"""What it costs to send a request to an upstream.

The unit is the loss of one request: a cost of 0.1 is as bad as one failure in
ten. So crossing to another failure domain is worth it exactly when it makes a
failure or a late answer that much less likely.
"""

import dataclasses

from wagtailspread.core import identifiers
from wagtailspread.health import risks
from wagtailspread.registry import tables

#: Cost of an exchange with another failure domain, for its round trips and
#: the bytes of a small request; source: prices of the users' sites.
DOMAIN_COST = 0.015
#: The same to another region.
REGION_COST = 0.06
#: Cost of each KiB of a body to another failure domain. A body of 60 KiB costs
#: 0.3: it waits for a slot beside its caller, and crosses rather than meeting
#: an upstream that is likely to be gray.
DOMAIN_COST_PER_KIB = 0.005
#: The same to another region, whose link is narrow and paid by volume.
REGION_COST_PER_KIB = 0.012
#: Cost of an upstream that no replica has heard of late.
SILENT_COST = 0.25
#: Cost of an upstream to which this host could not connect just now.
BLOCKED_COST = 0.6
#: Cost of an upstream that refused to run a request just now.
SHED_COST = 0.3
#: Cost of the last free slot; upstreams slow down when they are nearly full.
FULL_COST = 0.05
#: Cost of each multiple by which an upstream is slower than its peers.
SLOWNESS_COST = 0.06
#: Cost of an upstream that is not warmed up; it works at half its speed.
COLD_COST = 0.05
#: Part of the risk that counts for a request that may be sent again. Its
#: failure costs a repeat, and shows whether the upstream has recovered.
REPEATABLE_RISK_PART = 0.3

_KIB = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where a host is.

    :param regions: the region of each failure domain.
    """

    domain: identifiers.FailureDomain
    regions: dict[identifiers.FailureDomain, identifiers.RegionName]

    def is_same_region(self, domain: identifiers.FailureDomain) -> bool:
        """Tell whether a failure domain is in the own region."""
        own = self.regions.get(self.domain)
        return own is not None and self.regions.get(domain) == own

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
        if self.is_same_region(domain):
            return DOMAIN_COST + DOMAIN_COST_PER_KIB * size / _KIB
        return REGION_COST + REGION_COST_PER_KIB * size / _KIB


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Work at an upstream as far as it is known.

    :param open_requests: requests that were sent and not finished.
    :param blocked: whether the host could not connect to it just now.
    """

    open_requests: int = 0
    blocked: bool = False


def find_cost(
    row: tables.RegistryRow,
    load: Load,
    shared: risks.RiskTable,
    usual_seconds: float,
    now: float,
    *,
    is_repeatable: bool = False,
) -> float:
    """Return the cost of the next request at an upstream, distance aside.

    :param usual_seconds: mean time of good answers of the service, 0 if
        unknown.
    """
    upstream = row.record.upstream
    cost = shared.find_risk(upstream, now)
    if is_repeatable:
        cost *= REPEATABLE_RISK_PART
    if load.blocked:
        cost += BLOCKED_COST
    if shared.has_shed(upstream, now):
        cost += SHED_COST
    if row.warm_at > now:
        cost += COLD_COST
    used = load.open_requests / row.record.slots
    cost += FULL_COST * used * used
    mean = shared.find_mean_seconds(upstream)
    if usual_seconds > 0 and mean > usual_seconds:
        cost += SLOWNESS_COST * (mean / usual_seconds - 1)
    return cost
