"""Creates the allocators that a host owns, from the active configuration."""

import collections
import dataclasses
import random
import typing

from wagtailspread.allocation import coordination, policies
from wagtailspread.configuration import schemas
from wagtailspread.core import clocks, identifiers, outcomes
from wagtailspread.health import authority, judges, reports, tables
from wagtailspread.membership import agents
from wagtailspread.observability import logs, metrics
from wagtailspread.processes import copies

_LOGGER = logs.get_logger('health')
#: Maximum number of health changes that the status page shows for a service.
MAX_STORED_CHANGES = 50
#: Time in which hosts report their open leases to a new owner, in seconds. The
#: new owner would otherwise grant the slots of these leases again.
ADOPTION_SECONDS = 0.25


class ReportingJudge(judges.Judge):
    """A judge that logs and counts health changes and stores the latest."""

    def __init__(
        self,
        policy: judges.HealthPolicy,
        index: authority.HostIndex,
        service: identifiers.ServiceName,
        host_metrics: metrics.Metrics,
    ) -> None:
        """Create a judge without upstreams."""
        super().__init__(policy, random.Random(), index)
        self.changes: collections.deque[reports.HealthChange] = (
            collections.deque(maxlen=MAX_STORED_CHANGES)
        )
        self._service = service
        self._metrics = host_metrics

    def record(
        self,
        upstream: identifiers.UpstreamId,
        host: identifiers.HostId,
        domain: identifiers.FailureDomain,
        outcome: outcomes.ExchangeResult,
        seconds: float,
        now: float,
    ) -> None:
        """Record the result of one exchange as evidence and in the metrics.

        :param seconds: duration of the exchange.
        """
        self._metrics.count('exchanges', self._service, outcome.name.lower())
        super().record(upstream, host, domain, outcome, seconds, now)

    def tick(
        self,
        capacities: typing.Iterable[tables.CapacityRow],
        now: float,
    ) -> list[reports.HealthChange]:
        """Eject and readmit upstreams; return the changes and log them."""
        changes = super().tick(capacities, now)
        for change in changes:
            self._publish(change)
        return changes

    def _publish(self, change: reports.HealthChange) -> None:
        self.changes.append(change)
        if change.state is reports.HealthState.EJECTED:
            cause = change.reason.cause.value
            self._metrics.count('ejections', self._service, cause)
        _LOGGER.notice(
            f'upstream {change.state.value}',
            extra={
                'service': self._service,
                'upstream': change.upstream,
                'evidence': change.describe(),
            },
        )


@dataclasses.dataclass(frozen=True, slots=True)
class OwnedService:
    """Components of the allocator of one service that this host owns."""

    coordinator: coordination.Coordinator
    judge: ReportingJudge


class AllocatorFactory:
    """Creates allocators and applies the configured limits to them."""

    def __init__(
        self,
        copy: copies.ConfigurationCopy,
        region: identifiers.RegionName,
        agent: agents.Agent,
        host_metrics: metrics.Metrics,
        clock: clocks.Clock,
    ) -> None:
        """Create a factory that has created no allocator yet."""
        self._clock = clock
        self.owned: dict[identifiers.ServiceName, OwnedService] = {}
        self._copy = copy
        self._region = region
        self._agent = agent
        self._metrics = host_metrics
        self._index = authority.HostIndex()

    def create(
        self,
        service: identifiers.ServiceName,
    ) -> tuple[coordination.Coordinator, ReportingJudge]:
        """Return the coordinator of a service, and its judge with the votes.

        The coordinator grants nothing for :data:`ADOPTION_SECONDS`.
        """
        policy = self._create_policy(service)
        judge = ReportingJudge(
            self._create_health_policy(policy),
            self._index,
            service,
            self._metrics,
        )
        coordinator = coordination.create_coordinator(
            policy,
            judge,
            random.Random(),
        )
        coordinator.await_adoptions(self._clock.now() + ADOPTION_SECONDS)
        self.owned[service] = OwnedService(coordinator, judge)
        return coordinator, judge

    def refresh(self) -> None:
        """Apply the current limits to all allocators.

        This runs at each change of the configuration, and periodically because
        the number of hosts that can vote depends on the membership.
        """
        for service, owned in self.owned.items():
            policy = self._create_policy(service)
            if policy != owned.coordinator.policy:
                owned.coordinator.change_policy(policy)
            owned.judge.change_policy(self._create_health_policy(policy))

    def count_hosts(self) -> int:
        """Return the number of hosts of the region that can vote.

        More hosts than configured may be alive. If only the configured hosts
        were counted, two disjoint groups could each hold a majority.
        """
        region = self._find_region()
        alive = len(self._agent.find_alive(self._region))
        return max(alive, region.hosts if region else 1)

    def _create_health_policy(
        self,
        policy: policies.AllocationPolicy,
    ) -> judges.HealthPolicy:
        region = self._find_region()
        return judges.HealthPolicy(
            policy.floor,
            self.count_hosts(),
            (region.tie_breaker or None) if region else None,
        )

    def _find_region(self) -> schemas.RegionSettings | None:
        settings = self._copy.settings
        return settings.regions.get(self._region) if settings else None

    def _create_policy(
        self,
        service: identifiers.ServiceName,
    ) -> policies.AllocationPolicy:
        service_settings = self._copy.find_service(service)
        if service_settings is None:
            return policies.AllocationPolicy()
        return policies.create_policy(service_settings)
