"""Allocator of one service in one region.

Hosts send it slot requests, announcements of upstreams and results. At each
tick it decides which waiting request gets a slot of which upstream.
"""

import random as random_module
import typing

from wagtailspread.allocation import (
    admission,
    decisions,
    dispatch,
    estimates,
    judges,
    caches,
    messages,
    policies,
    quarantine,
    results,
    scheduling,
    selection,
    tables,
    maintenance,
)
from wagtailspread.core import failures, identifiers, outcomes

SlotRequest = messages.SlotRequest
Grant = messages.Grant
Completion = messages.Completion
Announcement = messages.Announcement
AdoptedLease = messages.AdoptedLease
UpstreamState = messages.UpstreamState
Decision = messages.Decision
Capacity = judges.Capacity
HealthJudge = judges.HealthJudge
AcceptingJudge = judges.AcceptingJudge
AllocationPolicy = policies.AllocationPolicy
create_policy = policies.create_policy
#: Minimum time in seconds, and number per generation, for which closed leases
#: are retained, so that a late adoption does not open them again.
_RETENTION_SECONDS = 3.0
_MAX_GENERATION_ENTRIES = 4096


class Coordinator:
    """Allocator of one service in one region.

    Use :func:`create_coordinator`. Messages may be delayed, duplicated or
    lost. All times are seconds on one monotonic clock.
    """

    def __init__(
        self,
        policy: policies.AllocationPolicy,
        judge: judges.HealthJudge,
        random: random_module.Random,
    ) -> None:
        """Start without upstreams."""
        self.policy = policy
        self.table = tables.UpstreamTable(policy.warm_up, policy.slot_divisor)
        self.leases = tables.LeaseTable()
        self.queues = scheduling.Queues()
        self.shares = scheduling.Shares(policy.shares)
        hold_times = estimates.HoldTimes()
        self._judge = judge
        self._selector = selection.Selector(self.table, judge, random)
        self._dispatcher = dispatch.Dispatcher(
            self.leases,
            self.queues,
            self.shares,
            self._selector,
            hold_times,
            random,
        )
        self._crashes = quarantine.CrashTable(policy.quarantine)
        self._admission = admission.Admission(
            policy,
            self.table,
            self.queues,
            self.shares,
            hold_times,
            self._crashes,
        )
        self._results = results.ResultRecorder(
            self.table,
            hold_times,
            self._crashes,
            judge,
        )
        self._maintenance = maintenance.Maintenance(
            self.table,
            self.leases,
            self._selector,
            self.shares,
            self._results,
            judge,
        )
        self._decisions = decisions.DecisionTable(self.leases)
        self._closed_leases: caches.RecentCache[identifiers.LeaseId, bool] = (
            caches.RecentCache(_RETENTION_SECONDS, _MAX_GENERATION_ENTRIES)
        )
        self._started_at: float | None = None
        self._grants_from = 0.0

    def change_policy(self, policy: policies.AllocationPolicy) -> None:
        """Change the limits and preserve requests, leases and evidence.

        The floor is not changed here: it is a setting of the judge.
        """
        self.policy = policy
        self.table.change_warm_up(policy.warm_up)
        self.table.change_slot_divisor(policy.slot_divisor)
        self.shares.change_shares(policy.shares)
        self._admission.change_policy(policy)
        self._crashes.change_quarantine(policy.quarantine)

    def submit(self, request: messages.SlotRequest, now: float) -> None:
        """Request a slot; a later :meth:`tick` returns the decision.

        A duplicate of a waiting request is ignored, and for a duplicate of a
        decided request the decision is sent again. A higher attempt replaces
        a waiting request.
        """
        self._judge.record_vote(request.host, now)
        if self._is_duplicate(request, now):
            return
        allocator_age = now - self._mark_started(now)
        view = self._selector.find_view(request.domain, now)
        reason = self._admission.check(request, view, allocator_age, now)
        if reason is None:
            self._grant_or_queue(request, view, now)
        else:
            self._refuse(request, reason, now)

    def cancel(self, request_id: identifiers.RequestId, now: float) -> None:
        """Cancel a request whose caller has disconnected.

        The host must not use a grant that arrives afterwards.
        """
        waiting = self.queues.find(request_id)
        if waiting is not None:
            self.queues.remove(waiting)
        lease = self._decisions.find_lease(request_id)
        if lease is not None:
            self._close(lease.lease, now)
        self._decisions.cancel(request_id, now)

    def complete(self, completion: messages.Completion, now: float) -> None:
        """Record a result as evidence, and close or pass on its lease.

        A host may pass a lease on to its next request until
        :attr:`Grant.pass_until`.
        """
        if completion.passed_to is not None:
            self._pass_on(completion, completion.passed_to, now)
            return
        lease = self._close(completion.lease, now)
        if lease is not None:
            self._record(lease, completion, now)

    def announce(
        self,
        announcement: messages.Announcement,
        now: float,
    ) -> None:
        """Add an upstream, or update its row."""
        self._mark_started(now)
        row = self.table.announce(announcement, now)
        if row is not None:
            self._selector.update(row, now)
            self._selector.recount(now)
            self._maintenance.request_refresh()

    def adopt(self, adopted: messages.AdoptedLease, now: float) -> None:
        """Add a lease that a previous owner granted."""
        self._mark_started(now)
        self._judge.record_vote(adopted.host, now)
        is_known = adopted.lease in self.leases.leases
        if is_known or self._closed_leases.get(adopted.lease):
            return
        if adopted.expires <= now:
            return
        row = self.table.find_or_create_row(adopted.upstream, now)
        self._dispatcher.open(tables.create_adopted_lease(adopted, row), now)

    def await_adoptions(self, until: float) -> None:
        """Delay all grants until a time in seconds.

        A new owner calls this, so that leases of the previous owner are adopted
        before their slots are granted again.
        """
        self._grants_from = until

    def tick(self, now: float) -> list[messages.Decision]:
        """Return the decisions since the last tick.

        The cost is proportional to the number of decisions. Ten times a second
        all upstreams are refreshed as well.
        """
        self._mark_started(now)
        for lease in self.leases.expire(now):
            self._dispatcher.release_slot(lease, now)
        if self._maintenance.tick(now):
            self._refuse_unusable(now)
        for expired in self.queues.expire(now):
            reason = outcomes.RefusalReason.DEADLINE_UNREACHABLE
            self._refuse(expired.request, reason, now)
        if len(self.queues) and now >= self._grants_from:
            self._grant_waiting(now)
        return self._decisions.pop_outgoing()

    def pop_changes(self) -> list[typing.Any]:
        """Remove and return the changes of health, for logs."""
        return self._maintenance.pop_changes()

    def list_rows(self, now: float) -> list[tables.UpstreamRow]:
        """Return the rows that have not expired, for copies on the hosts."""
        return [
            row for row in self.table.rows.values() if row.is_announced(now)
        ]

    def _mark_started(self, now: float) -> float:
        """Return the time in seconds of the first message, set by this call."""
        if self._started_at is None:
            self._started_at = now
        return self._started_at

    def _is_duplicate(
        self,
        request: messages.SlotRequest,
        now: float,
    ) -> bool:
        """Return whether a request needs no new decision.

        For a duplicate of a decided request the decision is sent again, unless
        its lease was closed. A higher attempt replaces the request.
        """
        waiting = self.queues.find(request.request)
        if waiting is not None:
            if waiting.request.attempt >= request.attempt:
                return True
            self.queues.remove(waiting)
            return False
        if self._decisions.resend_duplicate(request):
            return True
        lease = self._decisions.withdraw(request.request)
        if lease is not None:
            self._close(lease.lease, now)
        return False

    def _pass_on(
        self,
        completion: messages.Completion,
        request_id: identifiers.RequestId,
        now: float,
    ) -> None:
        """Bind a lease to the request that its host has started on the slot."""
        lease = self.leases.leases.get(completion.lease)
        if lease is None or lease.request == request_id:
            return
        if self._decisions.was_granted(request_id, lease.lease):
            return
        self._record(lease, completion, now)
        waiting = self.queues.find(request_id)
        if waiting is None:
            self.leases.rebind(lease, request_id, b'', now, lease.expires)
            return
        self.queues.remove(waiting)
        request = waiting.request
        expires = request.deadline + dispatch.LEASE_MARGIN_SECONDS
        fingerprint = request.fingerprint
        self.leases.rebind(lease, request_id, fingerprint, now, expires)
        self._admission.record_grant(request, now)
        grant = self._dispatcher.create_grant(lease, now)
        self._decisions.record(request, grant, now)

    def _record(
        self,
        lease: tables.Lease,
        completion: messages.Completion,
        now: float,
    ) -> None:
        self._judge.record_vote(lease.host, now)
        if self._results.record(lease, completion, now):
            self._selector.update(lease.row, now)
        for fingerprint in self._crashes.pop_quarantined():
            reason = outcomes.RefusalReason.QUARANTINED
            matching = self.queues.list_fingerprint(fingerprint)
            self._refuse_waiting(matching, reason, now)

    def _grant_or_queue(
        self,
        request: messages.SlotRequest,
        view: selection.View,
        now: float,
    ) -> None:
        """Grant a slot immediately if no request waits; else queue it."""
        if now >= self._grants_from and not len(self.queues):
            grant = self._dispatcher.try_grant(request, view, now)
            if grant is not None:
                self._grant(request, grant, now)
                return
            if not view.usable_count and view.unusable:
                reason = outcomes.RefusalReason.NO_CAPACITY
                self._refuse(request, reason, now)
                return
        latest_start = self._admission.compute_latest_start(request)
        self.queues.add(request, view.domain, max(latest_start, now), now)

    def _refuse_unusable(self, now: float) -> None:
        """Refuse waiting requests of failure domains without usable upstreams.

        Their hosts can then ask the other region immediately.
        """
        is_starting = now - self._mark_started(now) < admission.STARTUP_SECONDS
        for view in self._selector.views.values():
            if view.usable_count or (is_starting and not view.unusable):
                continue
            reason = outcomes.RefusalReason.NO_CAPACITY
            matching = self.queues.list_domain(view.domain)
            self._refuse_waiting(matching, reason, now)

    def _refuse_waiting(
        self,
        matching: list[scheduling.WaitingRequest],
        reason: outcomes.RefusalReason,
        now: float,
    ) -> None:
        for waiting in matching:
            self.queues.remove(waiting)
            self._refuse(waiting.request, reason, now)

    def _grant_waiting(self, now: float) -> None:
        """Grant slots until no waiting request can be served."""
        granted = self._dispatcher.grant_next(now)
        while granted is not None:
            self._grant(*granted, now)
            granted = self._dispatcher.grant_next(now)

    def _grant(
        self,
        request: messages.SlotRequest,
        grant: messages.Grant,
        now: float,
    ) -> None:
        self._admission.record_grant(request, now)
        self._decisions.enqueue(request, grant, now)

    def _refuse(
        self,
        request: messages.SlotRequest,
        reason: outcomes.RefusalReason,
        now: float,
    ) -> None:
        refusal = failures.Refusal(
            request.request,
            reason,
            self._admission.compute_retry_after(request, reason, now),
        )
        self._decisions.enqueue(request, refusal, now)

    def _close(
        self,
        lease_id: identifiers.LeaseId,
        now: float,
    ) -> tables.Lease | None:
        self._closed_leases.put(lease_id, True, now)
        lease = self.leases.remove(lease_id)
        if lease is not None:
            self._dispatcher.release_slot(lease, now)
        return lease


def create_coordinator(
    policy: policies.AllocationPolicy,
    judge: judges.HealthJudge,
    random: random_module.Random,
) -> Coordinator:
    """Return an allocator without upstreams.

    >>> from wagtailspread.core import priorities
    >>> coordinator = create_coordinator(
    ...     AllocationPolicy(), AcceptingJudge(), random_module.Random(1)
    ... )
    >>> coordinator.submit(
    ...     SlotRequest('r1', 'h1', 'd1', priorities.Priority.BULK, 0.0),
    ...     now=1.0,
    ... )
    >>> [decision.reason.name for decision in coordinator.tick(now=1.0)]
    ['DEADLINE_UNREACHABLE']

    See also :func:`create_policy` and :mod:`wagtailspread.allocation.ownership`
    for the host that runs it.

    :param judge: decides which upstreams are usable.
    :param random: source of tie-breaks and lease ids.
    """
    return Coordinator(policy, judge, random)


def create_fallback_coordinator(
    policy: policies.AllocationPolicy,
    hosts: int,
    random: random_module.Random,
) -> Coordinator:
    """Return an allocator for one host that cannot reach the owner.

    It uses an equal share of the slots of each upstream, at least one slot,
    grants no retries and ejects no upstream.

    :param hosts: number of hosts that share the upstreams.
    """
    return create_coordinator(
        policies.create_fallback_policy(policy, hosts),
        judges.AcceptingJudge(),
        random,
    )
