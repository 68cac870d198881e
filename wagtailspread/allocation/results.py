"""What an allocator learns from the results of exchanges."""

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
    """Passes results on as evidence, and updates slots and estimates."""

    def __init__(
        self,
        table: tables.UpstreamTable,
        hold_times: estimates.HoldTimes,
        crashes: quarantine.CrashTable,
        judge: judges.HealthJudge,
    ) -> None:
        """Write to the tables of one allocator and to its judge."""
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
        """Take a result; return whether the slots of the upstream changed."""
        if completion.result is _Result.RESET and lease.fingerprint:
            self._hold_reset(lease, completion, now)
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
            return self._table.shed(lease, now)
        return False

    def tick(self, now: float) -> None:
        """Pass on the resets whose suspicion is over."""
        for held in self._crashes.tick(now):
            self._judge.record(
                held.upstream,
                held.host,
                held.domain,
                _Result.RESET,
                held.seconds,
                now,
            )

    def _hold_reset(
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
        if lease.granted is not None:
            row.slowness = self._hold_times.add(
                lease.priority,
                now - lease.granted,
                row.slowness,
            )
        return self._table.grow(row, now)
