"""Blocks of single paths, within the floor of each failure domain.

A block requires no votes: it affects only the callers of this allocator, and
the upstream still gets the requests of all other domains.
"""

import typing

from wagtailspread.core import identifiers, outcomes
from wagtailspread.health import ejection, paths, reports, tables, detectors

PathReporter = typing.Callable[
    [paths.Path, reports.HealthState, reports.Reason],
    None,
]


class PathBlocking:
    """Blocks and opens paths so that each domain stays above the floor.

    :param report: called for each change of state.
    """

    def __init__(
        self,
        table: tables.CapacityTable,
        path_table: paths.PathTable,
        ejections: ejection.EjectionTable,
        report: PathReporter,
    ) -> None:
        """Create the blocking for one service."""
        self._table = table
        self._paths = path_table
        self._ejections = ejections
        self._report = report

    def record(
        self,
        row: int,
        domain: identifiers.FailureDomain,
        result: outcomes.ExchangeResult,
        now: float,
    ) -> None:
        """Record a result on a path, which counts if it is on probation.

        A failure blocks the path at once, since a path on which connections
        fail fast would otherwise attract requests until the next tick.
        """
        probation = self._paths.find_probation(row, domain)
        if probation is None or result is outcomes.ExchangeResult.ERROR:
            return
        if result is outcomes.ExchangeResult.SUCCESS:
            probation.successes += 1
            return
        reason = reports.Reason(
            reports.Cause.FAILURES,
            samples=1,
            failures=1,
            ratio=1,
            domains=(domain,),
        )
        fault = detectors.Fault(row, probation.severity, reason, domain)
        self.block(fault, domain, now)

    def block(
        self,
        fault: detectors.Fault,
        domain: identifiers.FailureDomain,
        now: float,
    ) -> None:
        """Block a path if its domain stays above the floor.

        :param now: monotonic time in seconds.
        """
        blocked = self._paths.find_blocked_rows(domain)
        unusable = {*self._ejections.rows, *blocked, fault.row}
        if self._table.count_slots(unusable) < self._table.min_slots:
            return
        path = paths.Path(fault.row, domain)
        self._paths.block(path, fault.severity, now)
        state = reports.HealthState.PATH_BLOCKED
        self._report(path, state, fault.reason)

    def tick(self, now: float) -> None:
        """Open the paths whose block has expired or that the floor requires."""
        for path in self._paths.expire(now):
            self._report_open(path, reports.Cause.BLOCK_OVER)
        for domain in self._paths.find_blocked_domains():
            self._enforce_floor(domain)

    def _enforce_floor(self, domain: identifiers.FailureDomain) -> None:
        while self._paths.find_blocked_rows(domain):
            unusable = {
                *self._ejections.rows,
                *self._paths.find_blocked_rows(domain),
            }
            if self._table.count_slots(unusable) >= self._table.min_slots:
                return
            path = self._paths.find_least_severe(domain)
            self._paths.open(path)
            self._report_open(path, reports.Cause.FLOOR)

    def _report_open(self, path: paths.Path, cause: reports.Cause) -> None:
        state = reports.HealthState.PATH_OPEN
        self._report(path, state, reports.Reason(cause))
