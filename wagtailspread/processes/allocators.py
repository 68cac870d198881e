"""Builds the allocators that a host owns, from the configuration in force."""

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
#: Changes of health that the status page shows for one service.
KEPT_CHANGES = 50
#: Time in which hosts tell a new owner of their open leases, in seconds. Their
#: slots would otherwise be granted twice.
ADOPTION_SECONDS = 0.25


class ReportingJudge(judges.Judge):
    """A judge whose changes are logged, counted and kept for the status."""

    def __init__(
        self,
        policy: judges.HealthPolicy,
        index: authority.HostIndex,
        service: identifiers.ServiceName,
        host_metrics: metrics.Metrics,
    ) -> None:
        """Start without upstreams."""
        super().__init__(policy, random.Random(), index)
        self.changes: collections.deque[reports.HealthChange] = (
            collections.deque(maxlen=KEPT_CHANGES)
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
        """Take the result of one exchange as evidence, and count it."""
        self._metrics.count('exchanges', self._service, outcome.name.lower())
        super().record(upstream, host, domain, outcome, seconds, now)

    def tick(
        self,
        capacities: typing.Iterable[tables.CapacityRow],
        now: float,
    ) -> list[reports.HealthChange]:
        """Eject and readmit upstreams; report the changes."""
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
    """The decision parts of one service that this host allocates."""

    coordinator: coordination.Coordinator
    judge: ReportingJudge


class AllocatorFactory:
    """Creates allocators and keeps their limits as configured."""

    def __init__(
        self,
        copy: copies.ConfigurationCopy,
        region: identifiers.RegionName,
        agent: agents.Agent,
        host_metrics: metrics.Metrics,
        clock: clocks.Clock,
    ) -> None:
        """Start without allocators."""
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
        """Return a coordinator and its register of votes."""
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
        """Bring the limits of all allocators up to date.

        It runs at each change of the configuration, and regularly, since the
        number of hosts that can vote follows the membership.
        """
        for service, owned in self.owned.items():
            policy = self._create_policy(service)
            if policy != owned.coordinator.policy:
                owned.coordinator.change_policy(policy)
            owned.judge.change_policy(self._create_health_policy(policy))

    def count_hosts(self) -> int:
        """Return the number of hosts of the region that can vote.

        More hosts than configured may be alive; a majority of fewer hosts
        than there are could exist twice.
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
        limits = self._copy.find_service(service)
        if limits is None:
            return policies.AllocationPolicy()
        return policies.create_policy(limits)
