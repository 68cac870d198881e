"""The allocator of one service in one region.

Hosts ask it for slots, and announce the upstreams and their results to it. It
decides at each tick which waiting request gets a slot of which upstream.
"""

import dataclasses
import random as random_module
import sys
import typing

from wagtailspread.allocation import (
    admission,
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

#: Time between two looks at all upstreams: expiry, warm-up, health.
REFRESH_SECONDS = 0.1
#: Decisions and closed leases that are remembered, to recognise duplicates.
_MEMORY_SECONDS = 3.0
_MEMORY_LIMIT = 4096
#: Changes of health that are kept until the driver takes them.
_CHANGES_LIMIT = 256


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
        self._judge = judge
        self._selector = selection.Selector(self.table, judge, random)
        self._dispatcher = dispatch.Dispatcher(
            self.leases,
            self.queues,
            self.shares,
            self._selector,
            random,
        )
        crashes = quarantine.CrashTable(policy.quarantine)
        hold_times = estimates.HoldTimes()
        self._admission = admission.Admission(
            policy,
            self.table,
            self.queues,
            self.shares,
            hold_times,
            crashes,
        )
        self._results = results.ResultRecorder(
            self.table,
            hold_times,
            crashes,
            judge,
        )
        self._memory = _Memory()
        self._decisions: dict[identifiers.RequestId, messages.Decision] = {}
        self._timers = _Timers()
        self._changes: list[typing.Any] = []

    def submit(self, request: messages.SlotRequest, now: float) -> None:
        """Ask for a slot; the decision comes from a later :meth:`tick`.

        A request that is still waiting is not queued twice, and one that was
        decided gets its first decision again. A higher attempt of a waiting
        request replaces it.
        """
        self._timers.begin(now)
        self._judge.note_vote(request.host, now)
        if self._is_duplicate(request, now):
            return
        age = now - self._timers.started
        reason = self._admission.check(request, age, now)
        if reason is None:
            self._accept(request, now)
        else:
            self._refuse(request, reason, now)

    def cancel(self, request_id: identifiers.RequestId, now: float) -> None:
        """Forget a request whose caller left.

        The host that cancels does not use a grant that arrives afterwards.
        """
        waiting = self.queues.find(request_id)
        if waiting is not None:
            self.queues.remove(waiting)
        self._decisions.pop(request_id, None)
        decided = self._memory.decisions.get(request_id)
        if decided is not None:
            self._withdraw(decided.decision, now)
        # A submission that arrives late must not hold a slot.
        forgotten = _Decided(sys.maxsize, None)
        self._memory.decisions.put(request_id, forgotten, now)

    def complete(self, completion: messages.Completion, now: float) -> None:
        """Take a lease back, with the result of the exchange as evidence."""
        lease = self._close(completion.lease, now)
        if lease is None:
            return
        self._judge.note_vote(lease.host, now)
        if self._results.record(lease, completion, now):
            self._selector.update(lease.row, now)

    def announce(
        self,
        announcement: messages.Announcement,
        now: float,
    ) -> None:
        """Add an upstream, or renew its row."""
        self._timers.begin(now)
        row = self.table.announce(announcement, now)
        if row is not None:
            self._selector.update(row, now)
            self._timers.refresh_at = now

    def adopt(self, claim: messages.AdoptedLease, now: float) -> None:
        """Count a lease that an earlier owner granted."""
        self._timers.begin(now)
        self._judge.note_vote(claim.host, now)
        is_known = claim.lease in self.leases.leases
        if is_known or self._memory.closed.get(claim.lease):
            return
        if claim.expires <= now:
            return
        lease = tables.Lease(
            lease=claim.lease,
            row=self.table.hold(claim.upstream, now),
            request=identifiers.RequestId(''),
            host=claim.host,
            domain=claim.domain,
            priority=claim.priority,
            fingerprint=claim.fingerprint,
            granted=None,
            expires=claim.expires,
        )
        self._dispatcher.open(lease, now)

    def tick(self, now: float) -> list[messages.Decision]:
        """Return the decisions since the last tick.

        Its cost grows with the number of decisions. Ten times a second it
        looks at each upstream, too.
        """
        self._timers.begin(now)
        for lease in self.leases.expire(now):
            self._dispatcher.settle(lease, now)
        if now >= self._timers.refresh_at:
            self._refresh(now)
        for waiting in self.queues.expire(now):
            reason = outcomes.RefusalReason.DEADLINE_UNREACHABLE
            self._refuse(waiting.request, reason, now)
        if len(self.queues):
            self._serve_waiting(now)
        decisions = list(self._decisions.values())
        self._decisions.clear()
        return decisions

    def take_changes(self) -> list[typing.Any]:
        """Return the judge's changes since the last call, for logs."""
        changes = self._changes
        self._changes = []
        return changes

    def list_rows(self, now: float) -> list[tables.UpstreamRow]:
        """Return the announced upstreams, for the copies of the hosts."""
        return [row for row in self.table.rows.values() if row.is_heard(now)]

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
        decided = self._memory.decisions.get(request.request)
        if decided is None:
            return False
        if decided.attempt < request.attempt:
            undelivered = self._decisions.pop(request.request, None)
            self._withdraw(undelivered, now)
            return False
        if decided.attempt == request.attempt:
            self._repeat(decided.decision)
        return True

    def _repeat(self, decision: messages.Decision | None) -> None:
        """Return a decision again, unless its lease is closed."""
        if isinstance(decision, messages.Grant):
            if decision.lease not in self.leases.leases:
                return
        if decision is not None:
            self._decisions[decision.request] = decision

    def _withdraw(
        self,
        decision: messages.Decision | None,
        now: float,
    ) -> None:
        """Close the lease of a grant that nobody will use."""
        if isinstance(decision, messages.Grant):
            self._close(decision.lease, now)

    def _accept(self, request: messages.SlotRequest, now: float) -> None:
        """Grant a slot at once if nobody waits for one, else queue."""
        view = self._selector.find_view(request.domain, now)
        if not len(self.queues):
            grant = self._dispatcher.place(request, view, now)
            if grant is not None:
                self._grant(request, grant, now)
                return
        latest = self._admission.find_latest_start(request)
        self.queues.add(request, view.domain, max(latest, now), now)

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
        self._decide(request, grant, now)

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
        self._decide(request, refusal, now)

    def _decide(
        self,
        request: messages.SlotRequest,
        decision: messages.Decision,
        now: float,
    ) -> None:
        decided = _Decided(request.attempt, decision)
        self._memory.decisions.put(request.request, decided, now)
        self._decisions[request.request] = decision

    def _close(
        self,
        lease_id: identifiers.LeaseId,
        now: float,
    ) -> tables.Lease | None:
        self._memory.closed.put(lease_id, True, now)
        lease = self.leases.remove(lease_id)
        if lease is not None:
            self._dispatcher.settle(lease, now)
        return lease

    def _settle(self, lease: tables.Lease, now: float) -> None:
        """Free the slot of a lease that is no longer open."""
        self.shares.release(lease.priority, now)
        self._selector.update(lease.row, now)

    def _refresh(self, now: float) -> None:
        """Look at all upstreams: expiry, warm-up, health and capacity."""
        self._timers.refresh_at = now + REFRESH_SECONDS
        self._refresh_rows(now)
        self._results.tick(now)
        changes = self._judge.tick(self._list_capacities(now), now)
        self._changes.extend(changes)
        del self._changes[:-_CHANGES_LIMIT]
        self._selector.refresh(now)
        total = sum(
            row.usable
            for row in self.table.rows.values()
            if row.is_active and row.is_accepted
        )
        self.shares.resize(total, now)

    def _refresh_rows(self, now: float) -> None:
        for row in list(self.table.rows.values()):
            if not self.table.expire(row, now) and self.table.update(row, now):
                self._selector.update(row, now)

    def _list_capacities(self, now: float) -> list[judges.Capacity]:
        return [
            judges.Capacity(
                row.upstream,
                row.slots,
                row.is_active and row.warm_since is None,
            )
            for row in self.table.rows.values()
            if row.is_heard(now)
        ]


@dataclasses.dataclass(slots=True)
class _Decided:
    """A decision, none if cancelled, and the attempt that it belongs to."""

    attempt: int
    decision: messages.Decision | None


class _Memory:
    """Recent decisions and closed leases, to recognise duplicates."""

    def __init__(self) -> None:
        self.decisions: memories.RecentTable[
            identifiers.RequestId,
            _Decided,
        ] = memories.RecentTable(_MEMORY_SECONDS, _MEMORY_LIMIT)
        self.closed: memories.RecentTable[identifiers.LeaseId, bool] = (
            memories.RecentTable(_MEMORY_SECONDS, _MEMORY_LIMIT)
        )


class _Timers:
    """When the coordinator does what it does not do at each tick."""

    def __init__(self) -> None:
        self.started = -1.0
        self.refresh_at = 0.0

    def begin(self, now: float) -> None:
        """Note the start."""
        if self.started < 0:
            self.started = now


def create_coordinator(
    policy: policies.AllocationPolicy,
    judge: judges.HealthJudge,
    random: random_module.Random,
) -> Coordinator:
    """Return an allocator without upstreams.

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
