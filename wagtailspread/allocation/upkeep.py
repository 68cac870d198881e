"""Regular look at all upstreams: expiry, warm-up, health and capacity."""

import typing

from wagtailspread.allocation import (
    judges,
    results,
    scheduling,
    selection,
    tables,
)

#: Time between two looks.
REFRESH_SECONDS = 0.1
#: Changes of health that are kept until the driver takes them.
_CHANGES_LIMIT = 256


class Upkeep:
    """Does what need not be done at each decision."""

    def __init__(
        self,
        table: tables.UpstreamTable,
        leases: tables.LeaseTable,
        selector: selection.Selector,
        shares: scheduling.Shares,
        recorder: results.ResultRecorder,
        judge: judges.HealthJudge,
    ) -> None:
        """Work on the tables of one allocator."""
        self._table = table
        self._leases = leases
        self._selector = selector
        self._shares = shares
        self._recorder = recorder
        self._judge = judge
        self._due = 0.0
        self._changes: list[typing.Any] = []

    def hasten(self) -> None:
        """Let the next look be at the next tick."""
        self._due = 0.0

    def tick(self, now: float) -> bool:
        """Look at all upstreams if it is time to; return whether it was."""
        if now < self._due:
            return False
        self._due = now + REFRESH_SECONDS
        self._refresh_rows(now)
        self._recorder.tick(now)
        self._record_overdue(now)
        changes = self._judge.tick(self._list_capacities(now), now)
        self._changes.extend(changes)
        del self._changes[:-_CHANGES_LIMIT]
        self._selector.refresh(now)
        total = sum(
            row.usable
            for row in self._table.rows.values()
            if row.is_active and row.is_accepted
        )
        self._shares.resize(total, now)
        return True

    def take_changes(self) -> list[typing.Any]:
        """Return the judge's changes since the last call."""
        changes = self._changes
        self._changes = []
        return changes

    def _record_overdue(self, now: float) -> None:
        """Tell the judge of requests that hang before they time out."""
        begun = now - self._judge.hang_seconds()
        for lease in self._leases.take_overdue(begun):
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
                row.is_active and row.warm_since is None,
            )
            for row in self._table.rows.values()
            if row.is_heard(now)
        ]
