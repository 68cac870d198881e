"""Which requests are refused on arrival.

Work that would miss its deadline must not start, and a request that cannot be
served in time is told so at once instead of after a wait.
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

#: While it knows no upstream, a new allocator lets requests wait this long,
#: since each upstream announces itself every second.
START_SECONDS = 1.2
#: Least time after which a refused caller is told to come again.
_RETRY_AFTER_SECONDS = 1.0

_Reason = outcomes.RefusalReason


class Admission:
    """Refuses requests by the state of the queues, budgets and estimates."""

    def __init__(
        self,
        policy: policies.AllocationPolicy,
        table: tables.UpstreamTable,
        queues: scheduling.Queues,
        shares: scheduling.Shares,
        hold_times: estimates.HoldTimes,
        crashes: quarantine.CrashTable,
    ) -> None:
        """Look at the tables of one allocator."""
        self._limits = policy.queue_limits
        self._rows = table.rows
        self._queues = queues
        self._shares = shares
        self._hold_times = hold_times
        self._crashes = crashes
        self._retries = budgets.RetryBudget(policy.retry_share)

    def change_policy(self, policy: policies.AllocationPolicy) -> None:
        """Take other limits; what already waits stays."""
        self._limits = policy.queue_limits
        self._retries.change_share(policy.retry_share)

    def check(
        self,
        request: messages.SlotRequest,
        view: selection.View,
        age: float,
        now: float,
    ) -> outcomes.RefusalReason | None:
        """Return why a request is refused, or none.

        A retry that is accepted is paid for from the retry budget.

        :param view: the upstreams as seen from its host.
        :param age: seconds since the allocator began.
        """
        if self._crashes.time_left(request.fingerprint, now) > 0:
            return _Reason.QUARANTINED
        if not self._has_upstream(request, view, age):
            return _Reason.NO_CAPACITY
        priority = request.priority
        ahead = self._queues.counts[priority]
        if ahead >= self._limits[priority]:
            return _Reason.QUEUE_FULL
        if self._estimate_seconds(priority, ahead) > request.deadline - now:
            return _Reason.DEADLINE_UNREACHABLE
        if request.attempt > 1 and not self._retries.spend(now):
            return _Reason.RETRY_BUDGET
        return None

    def note_grant(self, request: messages.SlotRequest, now: float) -> None:
        """Count a first attempt for the retry budget."""
        if request.attempt == 1:
            self._retries.add_attempt(now)

    def find_latest_start(self, request: messages.SlotRequest) -> float:
        """Return when a request is dropped from its queue, in seconds."""
        return request.deadline - self._hold_times.plan(request.priority)

    def compute_retry_after(
        self,
        request: messages.SlotRequest,
        reason: outcomes.RefusalReason,
        now: float,
    ) -> float:
        """Return the seconds after which a retry makes sense."""
        if reason is _Reason.QUARANTINED:
            return self._crashes.time_left(request.fingerprint, now)
        priority = request.priority
        wait = self._estimate_wait(priority, self._queues.counts[priority])
        return max(_RETRY_AFTER_SECONDS, wait)

    def _has_upstream(
        self,
        request: messages.SlotRequest,
        view: selection.View,
        age: float,
    ) -> bool:
        if not view.usable:
            return bool(view.parked) or age < START_SECONDS
        if len(request.excluded) >= len(self._rows):
            return not self._rows.keys() <= set(request.excluded)
        return True

    def _estimate_seconds(
        self,
        priority: priorities.Priority,
        ahead: int,
    ) -> float:
        """Return the seconds until a request that arrives now has ended.

        One that has to wait is planned with a slow service, since a queue
        that is as long as the deadline allows starts many that end late.
        """
        if not ahead:
            return self._hold_times.expect(priority)
        wait = self._estimate_wait(priority, ahead)
        return wait + self._hold_times.plan(priority)

    def _estimate_wait(
        self,
        priority: priorities.Priority,
        ahead: int,
    ) -> float:
        """Return the seconds until the work ahead in the queue is started."""
        if not ahead:
            return 0.0
        hold = self._hold_times.expect(priority)
        return ahead * hold / self._shares.estimate_slots(priority)
