"""Periodic refresh of all upstreams: expiry, warm-up, health, capacity."""

import typing

from wagtailspread.allocation import (
    judges,
    results,
    scheduling,
    selection,
    tables,
)

#: Interval of the refresh in seconds.
REFRESH_SECONDS = 0.1
#: Maximum number of changes of health that are retained until they are removed
#: by :meth:`Maintenance.pop_changes`; older ones are dropped.
_MAX_CHANGES = 256


class Maintenance:
    """Does the work that is not needed for each decision."""

    def __init__(
        self,
        table: tables.UpstreamTable,
        leases: tables.LeaseTable,
        selector: selection.Selector,
        shares: scheduling.Shares,
        recorder: results.ResultRecorder,
        judge: judges.HealthJudge,
    ) -> None:
        """Bind the maintenance to the tables and the judge of an allocator."""
        self._table = table
        self._leases = leases
        self._selector = selector
        self._shares = shares
        self._recorder = recorder
        self._judge = judge
        self._next_refresh_at = 0.0
        self._changes: list[typing.Any] = []

    def request_refresh(self) -> None:
        """Schedule a refresh for the next tick."""
        self._next_refresh_at = 0.0

    def tick(self, now: float) -> bool:
        """Refresh all upstreams if it is due; return whether it was."""
        if now < self._next_refresh_at:
            return False
        self._next_refresh_at = now + REFRESH_SECONDS
        self._refresh_rows(now)
        self._recorder.tick(now)
        self._record_overdue(now)
        changes = self._judge.tick(self._list_capacities(now), now)
        self._changes.extend(changes)
        del self._changes[:-_MAX_CHANGES]
        self._selector.refresh(now)
        total = sum(
            row.usable
            for row in self._table.rows.values()
            if row.is_active and row.is_accepted
        )
        self._shares.resize(total, now)
        return True

    def pop_changes(self) -> list[typing.Any]:
        """Remove and return the changes of health since the last call."""
        changes = self._changes
        self._changes = []
        return changes

    def _record_overdue(self, now: float) -> None:
        """Report overdue requests to the judge before they time out."""
        cutoff = now - self._judge.get_overdue_seconds()
        for lease in self._leases.mark_overdue(cutoff):
            self._judge.record_overdue(
                lease.row.upstream,
                lease.host,
                lease.domain,
                now,
            )

    def _refresh_rows(self, now: float) -> None:
        for row in list(self._table.rows.values()):
            if self._table.expire(row, now):
                continue
            if self._table.update(row, now):
                self._selector.update(row, now)

    def _list_capacities(self, now: float) -> list[judges.Capacity]:
        return [
            judges.Capacity(
                row.upstream,
                row.slots,
                row.is_active and row.warm_up_started_at is None,
            )
            for row in self._table.rows.values()
            if row.is_announced(now)
        ]
