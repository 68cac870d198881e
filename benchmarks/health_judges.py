"""The judge of this project and a naive judge, for the simulation."""

import dataclasses
import random as random_module
import typing

from wagtailspread.core import identifiers, outcomes
from wagtailspread.health import judges, reports, tables

#: Consecutive failures after which a host ejects an upstream on its own.
NAIVE_FAILURES = 5
#: Time for which a host ejects an upstream on its own, in seconds.
NAIVE_EJECTION_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """Size of one service.

    :param slots: number of requests that an upstream runs at the same time.
    :param domains: number of failure domains.
    """

    name: str
    upstreams: int
    slots: int
    hosts: int
    domains: int = 2


@dataclasses.dataclass(slots=True)
class Exchange:
    """A running request.

    :param host: number of the host that sent it.
    :param started: start time in seconds.
    :param is_trial: whether it is a trial request to an ejected upstream.
    :param is_overdue: whether it was reported to the judge as overdue.
    """

    upstream: identifiers.UpstreamId
    host: int
    started: float
    is_trial: bool
    is_overdue: bool = False


class SimulatedJudge(typing.Protocol):
    """Interface of a judge to the simulation; times are in seconds."""

    def is_usable(
        self, upstream: identifiers.UpstreamId, host: int, now: float
    ) -> bool:
        """Return whether a host may send ordinary requests to an upstream."""

    def claim_trial(self, upstream: identifiers.UpstreamId, now: float) -> bool:
        """Return whether to send one trial request to an upstream."""

    def record(
        self,
        exchange: Exchange,
        outcome: outcomes.ExchangeResult,
        now: float,
    ) -> None:
        """Record the result of a request."""

    def tick(self, running: typing.Iterable[Exchange], now: float) -> None:
        """Advance to a time.

        :param running: the requests that have not finished.
        """

    def count_ejections(self, upstream: identifiers.UpstreamId) -> int:
        """Return how often an upstream was ejected so far."""


class FleetJudge:
    """The judge of this project."""

    def __init__(self, site: Site, seed: int) -> None:
        """Start without evidence."""
        policy = judges.HealthPolicy(floor=0.5, host_count=site.hosts)
        self.judge = judges.create_judge(policy, random_module.Random(seed))
        self._site = site
        self._ejections: dict[identifiers.UpstreamId, int] = {}
        self._capacities = [
            tables.Capacity(name_upstream(number), site.slots)
            for number in range(site.upstreams)
        ]

    def is_usable(
        self, upstream: identifiers.UpstreamId, host: int, now: float
    ) -> bool:
        """Return the decision for the failure domain of the host."""
        domain = name_domain(host, self._site)
        return self.judge.is_usable(upstream, domain, now)

    def claim_trial(self, upstream: identifiers.UpstreamId, now: float) -> bool:
        """Claim the trial request of an ejected upstream, if one is due."""
        return self.judge.claim_trial(upstream, now)

    def record(
        self,
        exchange: Exchange,
        outcome: outcomes.ExchangeResult,
        now: float,
    ) -> None:
        """Record the result as evidence."""
        self.judge.record(
            exchange.upstream,
            name_host(exchange.host),
            name_domain(exchange.host, self._site),
            outcome,
            now - exchange.started,
            now,
        )

    def tick(self, running: typing.Iterable[Exchange], now: float) -> None:
        """Renew the votes, report overdue requests and advance the judge."""
        for host in range(self._site.hosts):
            self.judge.record_vote(name_host(host), now)
        for exchange in running:
            age = now - exchange.started
            if (
                not exchange.is_overdue
                and age >= self.judge.get_overdue_seconds()
            ):
                exchange.is_overdue = True
                domain = name_domain(exchange.host, self._site)
                self.judge.record_overdue(
                    exchange.upstream,
                    name_host(exchange.host),
                    domain,
                    now,
                )
        for change in self.judge.tick(self._capacities, now):
            if change.state is reports.HealthState.EJECTED:
                count = self._ejections.get(change.upstream, 0)
                self._ejections[change.upstream] = count + 1

    def count_ejections(self, upstream: identifiers.UpstreamId) -> int:
        """Return how often an upstream was ejected so far."""
        return self._ejections.get(upstream, 0)


class NaiveJudge:
    """Each host ejects on its own, after consecutive failures."""

    def __init__(self) -> None:
        """Start without failures."""
        self._failures: dict[tuple[identifiers.UpstreamId, int], int] = {}
        self._ejected_until: dict[
            tuple[identifiers.UpstreamId, int], float
        ] = {}
        self._ejections: dict[identifiers.UpstreamId, int] = {}

    def is_usable(
        self, upstream: identifiers.UpstreamId, host: int, now: float
    ) -> bool:
        """Return whether the host has not ejected the upstream."""
        return now >= self._ejected_until.get((upstream, host), 0)

    def claim_trial(self, upstream: identifiers.UpstreamId, now: float) -> bool:
        """Return false: an upstream is readmitted after a fixed time."""
        return False

    def record(
        self,
        exchange: Exchange,
        outcome: outcomes.ExchangeResult,
        now: float,
    ) -> None:
        """Count consecutive failures, and eject at the limit."""
        key = (exchange.upstream, exchange.host)
        if outcome is outcomes.ExchangeResult.SUCCESS:
            self._failures[key] = 0
            return
        self._failures[key] = self._failures.get(key, 0) + 1
        if self._failures[key] >= NAIVE_FAILURES:
            self._failures[key] = 0
            self._ejected_until[key] = now + NAIVE_EJECTION_SECONDS
            count = self._ejections.get(exchange.upstream, 0)
            self._ejections[exchange.upstream] = count + 1

    def tick(self, running: typing.Iterable[Exchange], now: float) -> None:
        """Do nothing: ejections end by time."""

    def count_ejections(self, upstream: identifiers.UpstreamId) -> int:
        """Return how often any host ejected an upstream so far."""
        return self._ejections.get(upstream, 0)


def name_upstream(number: int) -> identifiers.UpstreamId:
    """Return the id of an upstream."""
    return identifiers.UpstreamId(f'upstream-{number}')


def name_host(number: int) -> identifiers.HostId:
    """Return the id of a host."""
    return identifiers.HostId(f'host-{number}')


def name_domain(host: int, site: Site) -> identifiers.FailureDomain:
    """Return the failure domain of a host."""
    return identifiers.FailureDomain(f'domain-{host % site.domains}')
