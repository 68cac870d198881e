"""Blocks of single paths, within the floor of each failure domain.

No votes are needed: a block concerns only the callers of this allocator, and
the upstream keeps the work of all other domains.
"""

import typing

from wagtailspread.core import identifiers, outcomes
from wagtailspread.health import ejection, paths, reports, tables, verdicts

Report = typing.Callable[
    [paths.Path, reports.HealthState, reports.Reason],
    None,
]


class PathBlocking:
    """Blocks paths, tries them again and keeps the floor of each domain.

    :param report: is told of each change.
    """

    def __init__(
        self,
        table: tables.UpstreamTable,
        path_table: paths.PathTable,
        ejections: ejection.EjectionTable,
        report: Report,
    ) -> None:
        """Keep the parts."""
        self._table = table
        self._paths = path_table
        self._ejections = ejections
        self._report = report

    def record(
        self,
        row: int,
        domain: identifiers.FailureDomain,
        outcome: outcomes.ExchangeResult,
        now: float,
    ) -> None:
        """Follow a path that was blocked before.

        One more failure blocks it at once, since a path on which connections
        fail fast would otherwise attract work until the next tick.
        """
        untrusted = self._paths.find_untrusted(row, domain)
        if untrusted is None or outcome is outcomes.ExchangeResult.ERROR:
            return
        if outcome is outcomes.ExchangeResult.SUCCESS:
            untrusted.successes += 1
            return
        reason = reports.Reason(
            reports.Cause.FAILURES,
            samples=1,
            failures=1,
            ratio=1,
            domains=(domain,),
        )
        fault = verdicts.Fault(row, untrusted.badness, reason, domain)
        self.block(fault, domain, now)

    def block(
        self,
        fault: verdicts.Fault,
        domain: identifiers.FailureDomain,
        now: float,
    ) -> None:
        """Block a path if enough capacity is left to its domain."""
        blocked = self._paths.find_rows(domain)
        unusable = {*self._ejections.rows, *blocked, fault.row}
        if self._table.count_slots(unusable) < self._table.minimum:
            return
        path = paths.Path(fault.row, domain)
        self._paths.block(path, fault.badness, now)
        state = reports.HealthState.PATH_BLOCKED
        self._report(path, state, fault.reason)

    def tick(self, now: float) -> None:
        """Open the paths whose time is over or that the floor needs."""
        for path in self._paths.expire(now):
            self._report_open(path, reports.Cause.BLOCK_OVER)
        for domain in self._paths.find_domains():
            self._keep_floor(domain)

    def _keep_floor(self, domain: identifiers.FailureDomain) -> None:
        while self._paths.find_rows(domain):
            unusable = {*self._ejections.rows, *self._paths.find_rows(domain)}
            if self._table.count_slots(unusable) >= self._table.minimum:
                return
            path = self._paths.find_least_bad(domain)
            self._paths.open(path)
            self._report_open(path, reports.Cause.FLOOR)

    def _report_open(self, path: paths.Path, cause: reports.Cause) -> None:
        state = reports.HealthState.PATH_OPEN
        self._report(path, state, reports.Reason(cause))
