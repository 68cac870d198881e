"""Ejections of upstreams, limited by the floor and by the hosts' votes.

An ejection is active only while the allocator has the votes of a majority.
Without a majority all ejections are suspended: the upstreams get requests, and
are ejected again if the majority is regained within a time limit. Ejections
that hosts report to a new owner are suspended at first as well.
"""

import typing

from wagtailspread.health import recovery, reports, tables, detectors

#: Time after which a suspended ejection expires, in seconds.
SUSPENDED_SECONDS = 10.0
#: Difference in severity at which an ejected upstream is readmitted so that a
#: worse one can be ejected, if the floor allows only one of the two ejections.
SWAP_MARGIN = 0.5
#: Severity of an ejection by a previous owner.
ADOPTED_SEVERITY = 1.0

UpstreamReporter = typing.Callable[
    [int, reports.HealthState, reports.Reason], None
]


class EjectionTable:
    """The ejected upstreams of one service.

    :param table: upstreams and floor.
    :param flaps: records of recent ejections.
    :param report: called for each change of state.
    """

    def __init__(
        self,
        table: tables.CapacityTable,
        flaps: recovery.FlapTable,
        report: UpstreamReporter,
    ) -> None:
        """Create a table without ejections and votes."""
        self.rows: dict[int, recovery.Ejection] = {}
        self.majority_expires_at = 0.0
        self._suspended: dict[int, recovery.Ejection] = {}
        self._table = table
        self._flaps = flaps
        self._report = report

    def is_ejected(self, row: int, now: float) -> bool:
        """Return whether an ejection of ``row`` is active."""
        return row in self.rows and now < self.majority_expires_at

    def eject(self, fault: detectors.Fault, now: float) -> bool:
        """Eject an upstream if the votes and the floor allow it.

        :param now: monotonic time in seconds.
        :returns: whether it was ejected.
        """
        row = fault.row
        if not self._may_eject(row, now):
            if not self._swap_least_severe(fault, now):
                return False
        self.rows[row] = self._flaps.create_ejection(
            row,
            fault.reason,
            fault.severity,
            now,
        )
        self._report(row, reports.HealthState.EJECTED, fault.reason)
        return True

    def readmit(self, row: int, cause: reports.Cause, now: float) -> None:
        """End an ejection, so that the upstream gets ordinary requests."""
        self.rows.pop(row)
        self._flaps.start_healthy_period(row, now)
        reason = reports.Reason(cause)
        self._report(row, reports.HealthState.HEALTHY, reason)

    def adopt(self, row: int, now: float) -> None:
        """Adopt an ejection; it becomes active with a majority of votes."""
        if row in self.rows or row in self._suspended:
            return
        reason = reports.Reason(reports.Cause.ADOPTED)
        self._suspended[row] = self._flaps.create_ejection(
            row,
            reason,
            ADOPTED_SEVERITY,
            now,
        )

    def drop_row(self, row: int) -> None:
        """Drop the ejection of ``row`` and the record of its flaps."""
        self.rows.pop(row, None)
        self._suspended.pop(row, None)
        self._flaps.drop_row(row)

    def tick(self, majority_expires_at: float, now: float) -> None:
        """Apply the present votes and capacity to the ejections.

        :param majority_expires_at: monotonic time at which the majority of the
            votes expires, in seconds.
        """
        self.majority_expires_at = majority_expires_at
        if now < majority_expires_at:
            self._resume(now)
        else:
            self._suspend(now)
        self._enforce_floor(now)

    def _may_eject(self, row: int, now: float) -> bool:
        if now >= self.majority_expires_at:
            return False
        if not self._table.ready_slots[row]:
            return True
        remaining_slots = self._table.count_slots({*self.rows, row})
        return remaining_slots >= self._table.min_slots

    def _swap_least_severe(self, fault: detectors.Fault, now: float) -> bool:
        least_severe = self._find_least_severe()
        if least_severe is None or now >= self.majority_expires_at:
            return False
        if fault.severity - self.rows[least_severe].severity < SWAP_MARGIN:
            return False
        ejected = {*self.rows, fault.row} - {least_severe}
        if self._table.count_slots(ejected) < self._table.min_slots:
            return False
        self.readmit(least_severe, reports.Cause.FLOOR, now)
        return True

    def _enforce_floor(self, now: float) -> None:
        while self.rows:
            if self._table.count_slots(self.rows) >= self._table.min_slots:
                return
            least_severe = self._find_least_severe()
            if least_severe is None:
                return
            self.readmit(least_severe, reports.Cause.FLOOR, now)

    def _find_least_severe(self) -> int | None:
        ready_rows = [row for row in self.rows if self._table.ready_slots[row]]
        if not ready_rows:
            return None
        return min(ready_rows, key=lambda row: self.rows[row].severity)

    def _suspend(self, now: float) -> None:
        for row, ejection in list(self.rows.items()):
            ejection.since = now
            self._suspended[row] = ejection
            self.readmit(row, reports.Cause.VOTES_LOST, now)

    def _resume(self, now: float) -> None:
        for row, ejection in list(self._suspended.items()):
            self._suspended.pop(row)
            is_recent = now - ejection.since < SUSPENDED_SECONDS
            if is_recent and self._may_eject(row, now):
                self.rows[row] = ejection
                state = reports.HealthState.EJECTED
                self._report(row, state, ejection.reason)
