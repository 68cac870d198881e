"""Processing of the results of exchanges."""

from wagtailspread.allocation import (
    estimates,
    judges,
    messages,
    quarantine,
    tables,
)
from wagtailspread.core import outcomes

_Result = outcomes.ExchangeResult


class ResultRecorder:
    """Forwards results as evidence, and updates slots and estimates."""

    def __init__(
        self,
        table: tables.UpstreamTable,
        hold_times: estimates.HoldTimes,
        crashes: quarantine.CrashTable,
        judge: judges.HealthJudge,
    ) -> None:
        """Bind the recorder to the tables and the judge of an allocator."""
        self._table = table
        self._hold_times = hold_times
        self._crashes = crashes
        self._judge = judge

    def record(
        self,
        lease: tables.Lease,
        completion: messages.Completion,
        now: float,
    ) -> bool:
        """Process a result; return whether the usable slots changed."""
        if completion.result is _Result.RESET and lease.fingerprint:
            self._defer_reset(lease, completion, now)
            return False
        self._judge.record(
            lease.row.upstream,
            lease.host,
            lease.domain,
            completion.result,
            completion.seconds,
            now,
        )
        if completion.result is _Result.SUCCESS:
            return self._record_success(lease, now)
        if completion.result is _Result.SHED:
            return self._table.halve_slots(lease, now)
        return False

    def tick(self, now: float) -> None:
        """Forward the resets that are no longer deferred to the judge."""
        for evidence in self._crashes.tick(now):
            self._judge.record(
                evidence.upstream,
                evidence.host,
                evidence.domain,
                _Result.RESET,
                evidence.seconds,
                now,
            )

    def _defer_reset(
        self,
        lease: tables.Lease,
        completion: messages.Completion,
        now: float,
    ) -> None:
        evidence = quarantine.ResetEvidence(
            lease.row.upstream,
            lease.host,
            lease.domain,
            completion.seconds,
        )
        self._crashes.record_reset(lease.fingerprint, evidence, now)

    def _record_success(self, lease: tables.Lease, now: float) -> bool:
        self._crashes.record_success(lease.fingerprint)
        row = lease.row
        if lease.granted_at is not None:
            row.slowness = self._hold_times.add(
                lease.priority,
                now - lease.granted_at,
                row.slowness,
            )
        return self._table.restore_slot(row, now)
