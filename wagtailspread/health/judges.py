"""Health judge of one service in one region.

It records the results of requests, ejects upstreams that do significantly
worse than their peers and blocks paths that one failure domain cannot use.
Ejected upstreams are readmitted after successful trial requests; blocked paths
are opened after a time and stay on probation.

See also: :mod:`wagtailspread.health.detectors` for the detection of faults,
:mod:`wagtailspread.health.authority` for the votes.

>>> import random
>>> judge = create_judge(HealthPolicy(floor=0.5), random.Random(1))
>>> judge.is_usable('v1', 'andes-bog', 0.0)
True
"""

import dataclasses
import math
import random as random_module
import typing

from wagtailspread.core import identifiers, outcomes
from wagtailspread.health import (
    authority,
    blocking,
    comparison,
    ejection,
    evidence,
    paths,
    recovery,
    reports,
    tables,
    detectors,
)

#: Shortest time between two evaluations, in seconds.
EVALUATION_SECONDS = 0.09


@dataclasses.dataclass(frozen=True, slots=True)
class HealthPolicy:
    """Limits of one service in one region.

    :param floor: share of the slots that ejections must leave usable, from 0
        to 1.
    :param host_count: number of configured hosts of the region.
    :param tie_breaker: lowest host id of the region, if known.
    """

    floor: float = 0.5
    host_count: int = 1
    tie_breaker: identifiers.HostId | None = None


class Judge:
    """Health judge of one service; create it with :func:`create_judge`.

    See also: :class:`wagtailspread.allocation.judges.HealthJudge`, the
    interface that an allocator requires.
    """

    def __init__(
        self,
        policy: HealthPolicy,
        random: random_module.Random,
        index: authority.HostIndex | None,
    ) -> None:
        """Create a judge without upstreams and votes."""
        host_index = index or authority.HostIndex()
        self.authority = authority.create_authority(
            policy.host_count,
            policy.tie_breaker,
            host_index,
        )
        self._table = tables.CapacityTable(policy.floor)
        self._evidence = evidence.EvidenceTable(host_index)
        self._paths = paths.PathTable()
        self._detector = detectors.FaultDetector(self._evidence, self._paths)
        self._flaps = recovery.FlapTable(random)
        self._ejections = ejection.EjectionTable(
            self._table,
            self._flaps,
            self._report_upstream,
        )
        self._blocking = blocking.PathBlocking(
            self._table,
            self._paths,
            self._ejections,
            self._report_path,
        )
        self._overdue_age_seconds = math.inf
        self._has_overdue = False
        self._evaluated_at = float('-inf')
        self._changes: list[reports.HealthChange] = []

    def change_policy(self, policy: HealthPolicy) -> None:
        """Replace floor, host count and tie-breaker; retain the evidence."""
        self._table.change_floor(policy.floor)
        self.authority.change_host_count(policy.host_count)
        self.authority.change_tie_breaker(policy.tie_breaker)

    def record(
        self,
        upstream: identifiers.UpstreamId,
        host: identifiers.HostId,
        domain: identifiers.FailureDomain,
        result: outcomes.ExchangeResult,
        seconds: float,
        now: float,
    ) -> None:
        """Record the result of one exchange.

        :param host: the host that made the exchange.
        :param domain: the failure domain of that host.
        :param seconds: duration of the exchange at the upstream.
        :param now: monotonic time in seconds.
        """
        row = self._table.ensure(upstream, now)
        if row in self._ejections.rows:
            self._record_trial(row, result, seconds, now)
        elif not evidence.is_neutral(result):
            if self._was_counted_overdue(result, seconds):
                return
            self._evidence.ensure_row(row)
            self._evidence.record(row, host, domain, result, seconds, now)
            self._blocking.record(row, domain, result, now)

    def get_overdue_seconds(self) -> float:
        """Return the age at which an open request is overdue.

        :returns: seconds, far above the response times of the service;
            infinity while these are not known.
        """
        return self._overdue_age_seconds

    def record_overdue(
        self,
        upstream: identifiers.UpstreamId,
        host: identifiers.HostId,
        domain: identifiers.FailureDomain,
        now: float,
    ) -> None:
        """Count an open request that has become overdue.

        Call it once for each request whose age has reached
        :meth:`get_overdue_seconds`. The request counts as a timeout before
        its deadline, and a later timeout of it is not counted again.
        """
        timeout = outcomes.ExchangeResult.TIMEOUT
        self._has_overdue = True
        self.record(upstream, host, domain, timeout, 0, now)

    def is_usable(
        self,
        upstream: identifiers.UpstreamId,
        domain: identifiers.FailureDomain,
        now: float,
    ) -> bool:
        """Return whether an upstream may get ordinary requests.

        :param domain: failure domain of the host that would send them.
        """
        row = self._table.find(upstream)
        if row is None:
            return True
        if self._ejections.is_ejected(row, now):
            return False
        return not self._paths.is_blocked(row, domain)

    def claim_trial(
        self,
        upstream: identifiers.UpstreamId,
        now: float,
    ) -> bool:
        """Claim the trial request of an ejected upstream, if one is due.

        :returns: whether the trial was claimed; the next one is due later.
        """
        row = self._table.find(upstream)
        if row is None or not self._ejections.is_ejected(row, now):
            return False
        return recovery.claim_trial(self._ejections.rows[row], now)

    def record_vote(self, host: identifiers.HostId, now: float) -> None:
        """Renew the vote of a host.

        :param now: see :meth:`authority.Authority.record_vote`.
        """
        self.authority.record_vote(host, now)

    def record_hint(self, upstream: identifiers.UpstreamId, now: float) -> None:
        """Record a weak sign of health, such as a successful probe.

        It only makes the next trial due at once, at most once per interval.
        """
        row = self._table.find(upstream)
        if row is not None and row in self._ejections.rows:
            recovery.advance_trial(self._ejections.rows[row], now)

    def adopt(
        self,
        ejected: typing.Iterable[identifiers.UpstreamId],
        now: float,
    ) -> None:
        """Adopt ejections of a previous owner that hosts report.

        They come into force in the next tick with a majority of the votes, as
        far as the floor allows.
        """
        for upstream in ejected:
            self._ejections.adopt(self._table.ensure(upstream, now), now)

    def find_ejected(self) -> list[identifiers.UpstreamId]:
        """Return the ejected upstreams; the owner sends them to the hosts."""
        names = [self._table.names[row] for row in self._ejections.rows]
        return [name for name in names if name is not None]

    def tick(
        self,
        capacities: typing.Iterable[tables.CapacityRow],
        now: float,
    ) -> list[reports.HealthChange]:
        """Evaluate the evidence and return the changes of health.

        :param capacities: all announced upstreams.
        :param now: monotonic time in seconds.
        """
        for row in self._table.update(capacities, now):
            self._drop_row(row)
        self._evidence.decay(now)
        self._ejections.tick(self.authority.find_majority_expiry(now), now)
        if now - self._evaluated_at >= EVALUATION_SECONDS:
            self._evaluated_at = now
            self._evaluate(now)
        self._blocking.tick(now)
        changes = self._changes
        self._changes = []
        return changes

    def _evaluate(self, now: float) -> None:
        for fault in self._detector.find_faults(now):
            if fault.domain is not None:
                self._blocking.block(fault, fault.domain, now)
            elif self._ejections.eject(fault, now):
                self._paths.drop_row(fault.row)
        self._overdue_age_seconds = comparison.compute_overdue_seconds(
            self._detector.times
        )
        self._flaps.expire(now)

    def _record_trial(
        self,
        row: int,
        result: outcomes.ExchangeResult,
        seconds: float,
        now: float,
    ) -> None:
        ejected = self._ejections.rows[row]
        if ejected.claimed_at is None or now - seconds < ejected.claimed_at:
            return
        if evidence.is_neutral(result):
            recovery.reschedule(ejected, now)
        elif result is not outcomes.ExchangeResult.SUCCESS:
            self._flaps.record_failure(ejected, now)
        elif self._flaps.record_success(row, ejected, seconds, now):
            if recovery.is_still_slow(ejected, self._detector.times):
                self._flaps.record_failure(ejected, now)
            else:
                self._ejections.readmit(row, reports.Cause.TRIALS, now)

    def _was_counted_overdue(
        self,
        result: outcomes.ExchangeResult,
        seconds: float,
    ) -> bool:
        is_timeout = result is outcomes.ExchangeResult.TIMEOUT
        is_late = seconds >= self._overdue_age_seconds
        return is_timeout and is_late and self._has_overdue

    def _report_upstream(
        self,
        row: int,
        state: reports.HealthState,
        reason: reports.Reason,
    ) -> None:
        # Results from before a change of state are no evidence for the new one.
        self._clear(row)
        self._report(row, state, reason)

    def _report_path(
        self,
        path: paths.Path,
        state: reports.HealthState,
        reason: reports.Reason,
    ) -> None:
        if state is reports.HealthState.PATH_BLOCKED:
            self._evidence.clear_domain(path.row, path.domain)
        self._report(path.row, state, reason, path.domain)

    def _report(
        self,
        row: int,
        state: reports.HealthState,
        reason: reports.Reason,
        domain: identifiers.FailureDomain | None = None,
    ) -> None:
        name = self._table.names[row]
        if name is not None:
            change = reports.HealthChange(name, state, reason, domain)
            self._changes.append(change)

    def _clear(self, row: int) -> None:
        self._evidence.ensure_row(row)
        self._evidence.clear(row)

    def _drop_row(self, row: int) -> None:
        self._ejections.drop_row(row)
        self._paths.drop_row(row)
        self._clear(row)


def create_judge(
    policy: HealthPolicy,
    random: random_module.Random,
    index: authority.HostIndex | None = None,
) -> Judge:
    """Return a judge without upstreams.

    :param random: source of the jitter of trial intervals.
    :param index: positions of hosts, shared by the judges of a process to
        save memory.
    """
    return Judge(policy, random, index)
