"""Computes the cost of sending a request to an upstream.

The unit is the loss of one request: a cost of 0.1 equals a failure probability
of 10%. Crossing to another failure domain pays off exactly when it lowers the
probability of a failed or late answer by more than its cost.
"""

import dataclasses
import typing

from wagtailspread.core import identifiers
from wagtailspread.health import risks
from wagtailspread.registry import tables

#: Cost of an exchange with another failure domain: round trips and the bytes of
#: a small request. Derived from the prices that the operators of the
#: deployments pay for traffic.
DOMAIN_COST = 0.015
#: Cost of an exchange with another region.
REGION_COST = 0.06
#: Cost per KiB of a body sent to another failure domain. A body of 60 KiB costs
#: 0.3: it waits for a slot in its own failure domain, but crosses to avoid an
#: upstream that is probably gray.
DOMAIN_COST_PER_KIB = 0.005
#: Cost per KiB to another region; its link is narrow and billed by volume.
REGION_COST_PER_KIB = 0.012
#: Cost of an upstream without a recent heartbeat at any replica.
SILENT_COST = 0.25
#: Cost of an upstream to which this host recently failed to connect.
UNREACHABLE_COST = 0.6
#: Cost of an upstream that recently shed a request.
SHED_COST = 0.3
#: Cost at full load; upstreams slow down when nearly all slots are in use.
FULL_COST = 0.05
#: Cost per multiple of the typical duration above the first.
SLOWNESS_COST = 0.06
#: Cost of an upstream that is warming up; it runs at half its speed.
COLD_COST = 0.05
#: Share of the failure risk that counts for a repeatable request. Its failure
#: costs only a retry, and the request probes whether the upstream recovered.
REPEATABLE_RISK_SHARE = 0.3

_KIB = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Location:
    """Failure domain of a host and the regions of all failure domains.

    :param regions: the region of each failure domain.
    """

    domain: identifiers.FailureDomain
    regions: dict[identifiers.FailureDomain, identifiers.RegionName]

    def is_same_region(self, domain: identifiers.FailureDomain) -> bool:
        """Return whether a failure domain is in the same region."""
        own = self.regions.get(self.domain)
        return own is not None and self.regions.get(domain) == own

    def find_distance_cost(
        self,
        domain: identifiers.FailureDomain,
        size: int,
    ) -> float:
        """Return the cost of an exchange with a failure domain.

        :param size: size of the request body in bytes.
        """
        if domain == self.domain:
            return 0.0
        if self.is_same_region(domain):
            return DOMAIN_COST + DOMAIN_COST_PER_KIB * size / _KIB
        return REGION_COST + REGION_COST_PER_KIB * size / _KIB


class Load(typing.NamedTuple):
    """Known load and reachability of an upstream, as seen by one host.

    :param open_requests: requests sent and not yet finished.
    :param is_unreachable: whether the host recently failed to connect to it.
    """

    open_requests: int = 0
    is_unreachable: bool = False


def find_cost(
    row: tables.RegistryRow,
    load: Load,
    estimate: risks.RiskEstimate,
    typical_seconds: float,
    now: float,
    *,
    is_repeatable: bool = False,
) -> float:
    """Return the cost of one more request, without the distance cost.

    :param estimate: what is known of the health of the upstream.
    :param typical_seconds: typical duration of good answers of the service, 0
        if unknown.
    """
    cost = estimate.failure
    if is_repeatable:
        cost *= REPEATABLE_RISK_SHARE
    if load.is_unreachable:
        cost += UNREACHABLE_COST
    if estimate.has_shed:
        cost += SHED_COST
    if row.warm_at > now:
        cost += COLD_COST
    used = load.open_requests / row.record.slots
    cost += FULL_COST * used * used
    mean = estimate.mean_seconds
    if typical_seconds > 0 and mean > typical_seconds:
        cost += SLOWNESS_COST * (mean / typical_seconds - 1)
    return cost
