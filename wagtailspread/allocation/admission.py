"""Admission control for slot requests.

A request that would miss its deadline must not start. It is refused on arrival
instead of after a wait.
"""

from wagtailspread.allocation import (
    budgets,
    estimates,
    messages,
    policies,
    quarantine,
    scheduling,
    selection,
    tables,
)
from wagtailspread.core import outcomes, priorities

#: Time in seconds for which a new allocator without upstreams queues requests,
#: since each upstream announces itself every second.
STARTUP_SECONDS = 1.2
#: Minimum delay in seconds before a refused caller should retry.
_RETRY_AFTER_SECONDS = 1.0

_Reason = outcomes.RefusalReason


class Admission:
    """Decides by queues, budgets and estimates which requests to refuse."""

    def __init__(
        self,
        policy: policies.AllocationPolicy,
        table: tables.UpstreamTable,
        queues: scheduling.Queues,
        shares: scheduling.Shares,
        hold_times: estimates.HoldTimes,
        crashes: quarantine.CrashTable,
    ) -> None:
        """Bind the admission control to the tables of an allocator."""
        self._limits = policy.queue_limits
        self._rows = table.rows
        self._queues = queues
        self._shares = shares
        self._hold_times = hold_times
        self._crashes = crashes
        self._retry_budget = budgets.RetryBudget(policy.retry_share)

    def change_policy(self, policy: policies.AllocationPolicy) -> None:
        """Change the limits; requests that already wait remain queued."""
        self._limits = policy.queue_limits
        self._retry_budget.change_share(policy.retry_share)

    def check(
        self,
        request: messages.SlotRequest,
        view: selection.View,
        allocator_age: float,
        now: float,
    ) -> outcomes.RefusalReason | None:
        """Return the reason for which a request is refused, or ``None``.

        An admitted retry is charged to the retry budget.

        :param view: view of the upstreams from the failure domain of its host.
        :param allocator_age: seconds since the allocator received its first
            message.
        """
        if self._crashes.get_remaining_time(request.fingerprint, now) > 0:
            return _Reason.QUARANTINED
        if not self._has_upstream(request, view, allocator_age):
            return _Reason.NO_CAPACITY
        priority = request.priority
        queued = self._queues.counts[priority]
        if queued >= self._limits[priority]:
            return _Reason.QUEUE_FULL
        if self._estimate_completion(priority, queued) > request.deadline - now:
            return _Reason.DEADLINE_UNREACHABLE
        if request.attempt > 1 and not self._retry_budget.spend(now):
            return _Reason.RETRY_BUDGET
        return None

    def record_grant(self, request: messages.SlotRequest, now: float) -> None:
        """Count a granted first attempt in the retry budget."""
        if request.attempt == 1:
            self._retry_budget.add_attempt(now)

    def compute_latest_start(self, request: messages.SlotRequest) -> float:
        """Return the time in seconds at which a queued request is dropped."""
        return request.deadline - self._hold_times.estimate_upper_bound(
            request.priority
        )

    def compute_retry_after(
        self,
        request: messages.SlotRequest,
        reason: outcomes.RefusalReason,
        now: float,
    ) -> float:
        """Return the delay in seconds after which a retry may succeed."""
        if reason is _Reason.QUARANTINED:
            return self._crashes.get_remaining_time(request.fingerprint, now)
        priority = request.priority
        wait = self._estimate_wait(priority, self._queues.counts[priority])
        return max(_RETRY_AFTER_SECONDS, wait)

    def _has_upstream(
        self,
        request: messages.SlotRequest,
        view: selection.View,
        allocator_age: float,
    ) -> bool:
        if not view.usable_count:
            return bool(view.unusable) or allocator_age < STARTUP_SECONDS
        if len(request.excluded) >= len(self._rows):
            return not self._rows.keys() <= set(request.excluded)
        return True

    def _estimate_completion(
        self,
        priority: priorities.Priority,
        queued: int,
    ) -> float:
        """Return the seconds until a request that arrives now completes.

        For a request that has to wait, the upper bound of the hold time is
        used: with the mean, many requests at the end of a long queue would
        start and then miss their deadline.
        """
        if not queued:
            return self._hold_times.estimate_mean(priority)
        wait = self._estimate_wait(priority, queued)
        return wait + self._hold_times.estimate_upper_bound(priority)

    def _estimate_wait(
        self,
        priority: priorities.Priority,
        queued: int,
    ) -> float:
        """Return the seconds until all queued requests have started."""
        if not queued:
            return 0.0
        hold_time = self._hold_times.estimate_mean(priority)
        return queued * hold_time / self._shares.estimate_slots(priority)
