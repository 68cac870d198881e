"""The allocator of one service in one region.

Hosts ask it for slots, and announce the upstreams and their results to it. It
decides at each tick which waiting request gets a slot of which upstream.
"""

import random as random_module
import typing

from wagtailspread.allocation import (
    admission,
    answers,
    dispatch,
    estimates,
    judges,
    memories,
    messages,
    policies,
    quarantine,
    results,
    scheduling,
    selection,
    tables,
    upkeep,
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
#: Closed leases are remembered for this long, or as many, so that a late
#: adoption does not open them again.
_MEMORY_SECONDS = 3.0
_MEMORY_LIMIT = 4096


class Coordinator:
    """The allocator of one service in one region.

    Use :func:`create_coordinator`. Messages may arrive late, twice or not at
    all. All times are seconds on one monotonic clock.
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
        self._upkeep = upkeep.Upkeep(
            self.table,
            self.leases,
            self._selector,
            self.shares,
            self._results,
            judge,
        )
        self._answers = answers.Answers(self.leases)
        self._closed: memories.RecentTable[identifiers.LeaseId, bool] = (
            memories.RecentTable(_MEMORY_SECONDS, _MEMORY_LIMIT)
        )
        self._started: float | None = None
        self._granting_from = 0.0

    def change_policy(self, policy: policies.AllocationPolicy) -> None:
        """Take other limits without losing requests, leases or evidence.

        The floor is the judge's own.
        """
        self.policy = policy
        self.table.change_warm_up(policy.warm_up)
        self.shares.change(policy.shares)
        self._admission.change_policy(policy)
        self._crashes.change_quarantine(policy.quarantine)

    def submit(self, request: messages.SlotRequest, now: float) -> None:
        """Ask for a slot; the decision comes from a later :meth:`tick`.

        A request that is still waiting is not queued twice, and one that was
        decided gets its first decision again. A higher attempt of a waiting
        request replaces it.
        """
        self._judge.record_vote(request.host, now)
        if self._is_duplicate(request, now):
            return
        age = now - self._begin(now)
        view = self._selector.find_view(request.domain, now)
        reason = self._admission.check(request, view, age, now)
        if reason is None:
            self._accept(request, view, now)
        else:
            self._refuse(request, reason, now)

    def cancel(self, request_id: identifiers.RequestId, now: float) -> None:
        """Forget a request whose caller left.

        The host that cancels does not use a grant that arrives afterwards.
        """
        waiting = self.queues.find(request_id)
        if waiting is not None:
            self.queues.remove(waiting)
        lease = self._answers.find_lease(request_id)
        if lease is not None:
            self._close(lease.lease, now)
        self._answers.cancel(request_id, now)

    def complete(self, completion: messages.Completion, now: float) -> None:
        """Take a result as evidence, and the lease back or on.

        A host may pass a lease on to the next of its own requests while
        :attr:`Grant.pass_until` allows it.
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
        """Add an upstream, or renew its row."""
        self._begin(now)
        row = self.table.announce(announcement, now)
        if row is not None:
            self._selector.update(row, now)
            self._selector.recount(now)
            self._upkeep.hasten()

    def adopt(self, claim: messages.AdoptedLease, now: float) -> None:
        """Count a lease that an earlier owner granted."""
        self._begin(now)
        self._judge.record_vote(claim.host, now)
        is_known = claim.lease in self.leases.leases
        if is_known or self._closed.get(claim.lease):
            return
        if claim.expires <= now:
            return
        row = self.table.hold(claim.upstream, now)
        self._dispatcher.open(tables.create_adopted_lease(claim, row), now)

    def await_adoptions(self, until: float) -> None:
        """Grant nothing before this time, in seconds.

        A host that takes a service over calls it, so that the leases of the
        former owner are adopted before their slots are granted again.
        """
        self._granting_from = until

    def tick(self, now: float) -> list[messages.Decision]:
        """Return the decisions since the last tick.

        Its cost grows with the number of decisions. Ten times a second it
        looks at each upstream, too.
        """
        self._begin(now)
        for lease in self.leases.expire(now):
            self._dispatcher.settle(lease, now)
        if self._upkeep.tick(now):
            self._refuse_unusable(now)
        for late in self.queues.expire(now):
            reason = outcomes.RefusalReason.DEADLINE_UNREACHABLE
            self._refuse(late.request, reason, now)
        if len(self.queues) and now >= self._granting_from:
            self._serve_waiting(now)
        return self._answers.take()

    def take_changes(self) -> list[typing.Any]:
        """Return the judge's changes since the last call, for logs."""
        return self._upkeep.take_changes()

    def list_rows(self, now: float) -> list[tables.UpstreamRow]:
        """Return the announced upstreams, for the copies of the hosts."""
        return [row for row in self.table.rows.values() if row.is_heard(now)]

    def _begin(self, now: float) -> float:
        """Return when the first message arrived, in seconds."""
        if self._started is None:
            self._started = now
        return self._started

    def _is_duplicate(
        self,
        request: messages.SlotRequest,
        now: float,
    ) -> bool:
        """Return whether nothing new is to be decided about a request.

        A duplicate of a decided request gets the same decision again, unless
        its lease was closed meanwhile. A higher attempt replaces the request.
        """
        waiting = self.queues.find(request.request)
        if waiting is not None:
            if waiting.request.attempt >= request.attempt:
                return True
            self.queues.remove(waiting)
            return False
        if self._answers.repeat(request):
            return True
        lease = self._answers.recall(request.request)
        if lease is not None:
            self._close(lease.lease, now)
        return False

    def _pass_on(
        self,
        completion: messages.Completion,
        request_id: identifiers.RequestId,
        now: float,
    ) -> None:
        """Bind a lease to the request that its host has begun on the slot."""
        lease = self.leases.leases.get(completion.lease)
        if lease is None or lease.request == request_id:
            return
        if self._answers.has_had(request_id, lease.lease):
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
        self._admission.note_grant(request, now)
        grant = self._dispatcher.describe(lease, now)
        self._answers.note(request, grant, now)

    def _record(
        self,
        lease: tables.Lease,
        completion: messages.Completion,
        now: float,
    ) -> None:
        self._judge.record_vote(lease.host, now)
        if self._results.record(lease, completion, now):
            self._selector.update(lease.row, now)
        for fingerprint in self._crashes.take_isolated():
            reason = outcomes.RefusalReason.QUARANTINED
            found = self.queues.list_fingerprint(fingerprint)
            self._refuse_waiting(found, reason, now)

    def _accept(
        self,
        request: messages.SlotRequest,
        view: selection.View,
        now: float,
    ) -> None:
        """Grant a slot at once if nobody waits for one, else queue."""
        if now >= self._granting_from and not len(self.queues):
            grant = self._dispatcher.place(request, view, now)
            if grant is not None:
                self._grant(request, grant, now)
                return
            if not view.usable and view.parked:
                reason = outcomes.RefusalReason.NO_CAPACITY
                self._refuse(request, reason, now)
                return
        latest = self._admission.find_latest_start(request)
        self.queues.add(request, view.domain, max(latest, now), now)

    def _refuse_unusable(self, now: float) -> None:
        """Refuse what waits in failure domains that can use no upstream.

        Their hosts can then ask the other region at once.
        """
        is_young = now - self._begin(now) < admission.START_SECONDS
        for view in self._selector.views.values():
            if view.usable or (is_young and not view.parked):
                continue
            reason = outcomes.RefusalReason.NO_CAPACITY
            found = self.queues.list_domain(view.domain)
            self._refuse_waiting(found, reason, now)

    def _refuse_waiting(
        self,
        found: list[scheduling.Waiting],
        reason: outcomes.RefusalReason,
        now: float,
    ) -> None:
        for waiting in found:
            self.queues.remove(waiting)
            self._refuse(waiting.request, reason, now)

    def _serve_waiting(self, now: float) -> None:
        """Grant free slots until none is left that anyone waits for."""
        served = self._dispatcher.serve_next(now)
        while served is not None:
            self._grant(*served, now)
            served = self._dispatcher.serve_next(now)

    def _grant(
        self,
        request: messages.SlotRequest,
        grant: messages.Grant,
        now: float,
    ) -> None:
        self._admission.note_grant(request, now)
        self._answers.put(request, grant, now)

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
        self._answers.put(request, refusal, now)

    def _close(
        self,
        lease_id: identifiers.LeaseId,
        now: float,
    ) -> tables.Lease | None:
        self._closed.put(lease_id, True, now)
        lease = self.leases.remove(lease_id)
        if lease is not None:
            self._dispatcher.settle(lease, now)
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

    :param judge: decides which upstreams get work.
    :param random: breaks ties and makes lease ids.
    """
    return Coordinator(policy, judge, random)


def create_fallback_coordinator(
    policy: policies.AllocationPolicy,
    hosts: int,
    random: random_module.Random,
) -> Coordinator:
    """Return an allocator for one host that has lost its owner.

    It uses the host's share of the slots of each upstream, at least one,
    grants no retries and ejects nothing.

    :param hosts: number of hosts that share the upstreams.
    """
    return create_coordinator(
        policies.create_fallback_policy(policy, hosts),
        judges.AcceptingJudge(),
        random,
    )
