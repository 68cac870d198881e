"""Ejections within the floor and under the votes of the region's hosts.

An ejection is in force only while the allocator holds the votes of a
majority. When they are lost, the ejections are suspended: the upstreams get
work, and are ejected again if the votes return soon. The ejections that hosts
report to a new owner start out suspended as well.
"""

import typing

from wagtailspread.health import recovery, reports, tables, verdicts

#: Time for which an ejection without votes is remembered, in seconds.
SUSPENDED_SECONDS = 10.0
#: Difference in badness for which one ejected upstream makes room for
#: another when the floor allows only one of them.
SWAP_MARGIN = 0.5
#: Badness of an ejection that an earlier owner made.
ADOPTED_BADNESS = 1.0

Report = typing.Callable[[int, reports.HealthState, reports.Reason], None]


class EjectionTable:
    """The ejected upstreams of one service.

    :param table: the upstreams and the floor.
    :param flaps: how often each was ejected lately.
    :param report: is told of each change.
    """

    def __init__(
        self,
        table: tables.UpstreamTable,
        flaps: recovery.FlapTable,
        report: Report,
    ) -> None:
        """Start without ejections and without votes."""
        self.rows: dict[int, recovery.Ejection] = {}
        self.votes_until = 0.0
        self._suspended: dict[int, recovery.Ejection] = {}
        self._table = table
        self._flaps = flaps
        self._report = report

    def is_ejected(self, row: int, now: float) -> bool:
        """Tell whether an ejection of ``row`` is in force."""
        return row in self.rows and now < self.votes_until

    def eject(self, fault: verdicts.Fault, now: float) -> bool:
        """Eject an upstream if votes and floor allow it."""
        row = fault.row
        if not self._may_eject(row, now):
            if not self._make_room(fault, now):
                return False
        self.rows[row] = self._flaps.begin(
            row,
            fault.reason,
            fault.badness,
            now,
        )
        self._report(row, reports.HealthState.EJECTED, fault.reason)
        return True

    def readmit(self, row: int, cause: reports.Cause, now: float) -> None:
        """Give an upstream work again."""
        self.rows.pop(row)
        self._flaps.finish(row, now)
        reason = reports.Reason(cause)
        self._report(row, reports.HealthState.HEALTHY, reason)

    def adopt(self, row: int, now: float) -> None:
        """Take over an ejection, which is in force once votes are held."""
        if row in self.rows or row in self._suspended:
            return
        reason = reports.Reason(reports.Cause.ADOPTED)
        self._suspended[row] = self._flaps.begin(
            row,
            reason,
            ADOPTED_BADNESS,
            now,
        )

    def forget(self, row: int) -> None:
        """Drop what is known of ``row``."""
        self.rows.pop(row, None)
        self._suspended.pop(row, None)
        self._flaps.forget(row)

    def tick(self, votes_until: float, now: float) -> None:
        """Follow the votes and the capacity.

        :param votes_until: when the majority of the votes ends, in seconds.
        """
        self.votes_until = votes_until
        if now < votes_until:
            self._resume(now)
        else:
            self._suspend(now)
        self._keep_floor(now)

    def _may_eject(self, row: int, now: float) -> bool:
        if now >= self.votes_until:
            return False
        if not self._table.ready_slots[row]:
            return True
        left = self._table.count_slots({*self.rows, row})
        return left >= self._table.minimum

    def _make_room(self, fault: verdicts.Fault, now: float) -> bool:
        least = self._find_least_bad()
        if least is None or now >= self.votes_until:
            return False
        if fault.badness - self.rows[least].badness < SWAP_MARGIN:
            return False
        ejected = {*self.rows, fault.row} - {least}
        if self._table.count_slots(ejected) < self._table.minimum:
            return False
        self.readmit(least, reports.Cause.FLOOR, now)
        return True

    def _keep_floor(self, now: float) -> None:
        while self.rows:
            if self._table.count_slots(self.rows) >= self._table.minimum:
                return
            least = self._find_least_bad()
            if least is None:
                return
            self.readmit(least, reports.Cause.FLOOR, now)

    def _find_least_bad(self) -> int | None:
        useful = [row for row in self.rows if self._table.ready_slots[row]]
        if not useful:
            return None
        return min(useful, key=lambda row: self.rows[row].badness)

    def _suspend(self, now: float) -> None:
        for row, ejected in list(self.rows.items()):
            ejected.since = now
            self._suspended[row] = ejected
            self.readmit(row, reports.Cause.VOTES_LOST, now)

    def _resume(self, now: float) -> None:
        for row, ejected in list(self._suspended.items()):
            self._suspended.pop(row)
            is_recent = now - ejected.since < SUSPENDED_SECONDS
            if is_recent and self._may_eject(row, now):
                self.rows[row] = ejected
                state = reports.HealthState.EJECTED
                self._report(row, state, ejected.reason)
