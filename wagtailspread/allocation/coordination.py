"""The allocator of one service in one region.

Hosts ask it for slots, and announce the upstreams and their results to it. It
decides at each tick which waiting request gets a slot of which upstream.
"""

import random as random_module
import typing

from wagtailspread.allocation import (
    budgets,
    estimates,
    judges,
    memories,
    messages,
    policies,
    quarantine,
    scheduling,
    selection,
    tables,
)
from wagtailspread.core import failures, identifiers, outcomes, priorities

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

#: A waiting request may be overtaken by one that has a free upstream near its
#: host and was submitted at most this much later.
NEAR_PREFERENCE_SECONDS = 0.1
#: A lease ends this long after the deadline of its request.
LEASE_MARGIN_SECONDS = 1.0
#: Time between two looks at all upstreams: expiry, warm-up, health.
REFRESH_SECONDS = 0.1
#: While it knows no upstream, a new allocator lets requests wait this long,
#: since each upstream announces itself every second.
START_SECONDS = 1.2
_LEASE_BITS = 62
#: Decisions and closed leases that are remembered, to recognise duplicates.
_MEMORY_SECONDS = 3.0
_MEMORY_LIMIT = 4096
#: Urgent requests are used for trials only if nothing else ran for this long.
_QUIET_SECONDS = 1.0


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
        self.hold_times = estimates.HoldTimes()
        self._judge = judge
        self._random = random
        self._selector = selection.Selector(self.table, judge, random)
        self._retries = budgets.RetryBudget(policy.retry_share)
        self._crashes = quarantine.CrashTable(policy.quarantine)
        self._memory = _Memory()
        self._decisions: list[messages.Decision] = []
        self._timers = _Timers()

    def submit(self, request: messages.SlotRequest, now: float) -> None:
        """Ask for a slot; the decision comes from a later :meth:`tick`.

        A request that is still waiting is not queued twice, and one that was
        decided gets its first decision again. A higher attempt of a waiting
        request replaces it.
        """
        self._timers.begin(now)
        self._judge.note_vote(request.host, now)
        waiting = self.queues.find(request.request)
        if waiting is not None:
            if waiting.request.attempt >= request.attempt:
                return
            self.queues.remove(waiting)
        elif self._repeat_decision(request):
            return
        reason = self._check(request, now)
        if reason is None:
            self._enqueue(request, now)
        else:
            self._refuse(request, reason, now)

    def cancel(self, request_id: identifiers.RequestId, now: float) -> None:
        """Forget a request whose caller left.

        The host that cancels does not use a grant that arrives afterwards.
        """
        waiting = self.queues.find(request_id)
        if waiting is not None:
            self.queues.remove(waiting)
            return
        decided = self._memory.decisions.get(request_id)
        if decided is None or not isinstance(decided.decision, messages.Grant):
            return
        lease = self._close(decided.decision.lease, now)
        if lease is not None:
            self._judge.note_vote(lease.host, now)

    def complete(self, completion: messages.Completion, now: float) -> None:
        """Take a lease back, with the result of the exchange as evidence."""
        lease = self._close(completion.lease, now)
        if lease is None:
            return
        self._judge.note_vote(lease.host, now)
        self._take_evidence(lease, completion, now)
        self._learn(lease, completion, now)

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
        self._open(lease, now)

    def tick(self, now: float) -> list[messages.Decision]:
        """Return the decisions since the last tick.

        Its cost grows with the number of decisions. Ten times a second it
        looks at each upstream, too.
        """
        self._timers.begin(now)
        for lease in self.leases.expire(now):
            self._settle(lease, now)
        if now >= self._timers.refresh_at:
            self._refresh(now)
        for waiting in self.queues.expire(now):
            reason = outcomes.RefusalReason.DEADLINE_UNREACHABLE
            self._refuse(waiting.request, reason, now)
        is_served = bool(len(self.queues))
        while is_served:
            is_served = self._grant_next(now)
        decisions = self._decisions
        self._decisions = []
        return decisions

    def list_rows(self, now: float) -> list[tables.UpstreamRow]:
        """Return the announced upstreams, for the copies of the hosts."""
        return [row for row in self.table.rows.values() if row.is_heard(now)]

    def _check(
        self,
        request: messages.SlotRequest,
        now: float,
    ) -> outcomes.RefusalReason | None:
        """Return why a request is refused on arrival, or none."""
        if self._crashes.time_left(request.fingerprint, now) > 0:
            return outcomes.RefusalReason.QUARANTINED
        if not self._has_upstream(request, now):
            return outcomes.RefusalReason.NO_CAPACITY
        priority = request.priority
        count = self.queues.counts[priority]
        if count >= self.policy.queue_limits[priority]:
            return outcomes.RefusalReason.QUEUE_FULL
        if self._estimate_end(priority, now) > request.deadline:
            return outcomes.RefusalReason.DEADLINE_UNREACHABLE
        if request.attempt > 1 and not self._retries.spend(now):
            return outcomes.RefusalReason.RETRY_BUDGET
        return None

    def _has_upstream(self, request: messages.SlotRequest, now: float) -> bool:
        rows = self.table.rows
        if not rows:
            return now - self._timers.started < START_SECONDS
        if len(request.excluded) >= len(rows):
            return not rows.keys() <= set(request.excluded)
        return True

    def _estimate_end(
        self,
        priority: priorities.Priority,
        now: float,
    ) -> float:
        """Return when a request that arrives now would end, in seconds."""
        if self.queues.counts[priority]:
            wait = self._estimate_wait(priority)
            return now + wait + self.hold_times.plan(priority)
        return now + self.hold_times.expect(priority)

    def _estimate_wait(self, priority: priorities.Priority) -> float:
        """Return the seconds until the work ahead in the queue is started."""
        ahead = self.queues.counts[priority]
        if not ahead:
            return 0.0
        hold = self.hold_times.expect(priority)
        return ahead * hold / self.shares.estimate_slots(priority)

    def _enqueue(self, request: messages.SlotRequest, now: float) -> None:
        view = self._selector.find_view(request.domain, now)
        latest = request.deadline - self.hold_times.plan(request.priority)
        self.queues.add(request, view.domain, max(latest, now), now)

    def _refuse(
        self,
        request: messages.SlotRequest,
        reason: outcomes.RefusalReason,
        now: float,
    ) -> None:
        refusal = failures.Refusal(
            request.request,
            reason,
            self._compute_retry_after(request, reason, now),
        )
        self._decide(request, refusal, now)

    def _compute_retry_after(
        self,
        request: messages.SlotRequest,
        reason: outcomes.RefusalReason,
        now: float,
    ) -> float:
        if reason is outcomes.RefusalReason.QUARANTINED:
            return self._crashes.time_left(request.fingerprint, now)
        return max(1.0, self._estimate_wait(request.priority))

    def _decide(
        self,
        request: messages.SlotRequest,
        decision: messages.Decision,
        now: float,
    ) -> None:
        decided = _Decided(request.attempt, decision)
        self._memory.decisions.put(request.request, decided, now)
        self._decisions.append(decision)

    def _repeat_decision(self, request: messages.SlotRequest) -> bool:
        """Answer a duplicate; return whether the request is one."""
        decided = self._memory.decisions.get(request.request)
        if decided is None or decided.attempt < request.attempt:
            return False
        decision = decided.decision
        is_stale = decided.attempt > request.attempt
        if isinstance(decision, messages.Grant):
            is_stale = is_stale or decision.lease not in self.leases.leases
        if not is_stale:
            self._decisions.append(decision)
        return True

    def _grant_next(self, now: float) -> bool:
        """Grant one slot to the priority whose turn it is."""
        waiting = [
            priority
            for priority in priorities.Priority
            if self.queues.counts[priority]
        ]
        waiting.sort(key=lambda one: not self.shares.is_entitled(one, now))
        return any(self._serve(priority, now) for priority in waiting)

    def _serve(self, priority: priorities.Priority, now: float) -> bool:
        """Grant a slot to the first request that an upstream is free for."""
        fronts = self.queues.list_fronts(priority)
        if len(fronts) > 1:
            self._prefer_near(fronts, now)
        for front in fronts:
            view = self._selector.find_view(front[0].domain, now)
            for waiting in front:
                if self._place(waiting, view, now):
                    return True
                if not view.has_candidate():
                    break
        return False

    def _prefer_near(
        self,
        fronts: list[list[scheduling.Waiting]],
        now: float,
    ) -> None:
        """Move a request with a free upstream near its host to the front.

        The slot stands idle while messages travel, so a near one gets more
        done. The order of arrival prevails for requests that are much older.
        """
        limit = fronts[0][0].submitted + NEAR_PREFERENCE_SECONDS
        for position, front in enumerate(fronts):
            if front[0].submitted > limit:
                return
            view = self._selector.find_view(front[0].domain, now)
            if view.has_near_candidate():
                fronts.insert(0, fronts.pop(position))
                return

    def _place(
        self,
        waiting: scheduling.Waiting,
        view: selection.View,
        now: float,
    ) -> bool:
        request = waiting.request
        trial = self._find_trial(request, view, now)
        row = trial or self._selector.choose(view, request.excluded, now)
        if row is None:
            return False
        self.queues.remove(waiting)
        lease = tables.Lease(
            lease=self._create_lease_id(),
            row=row,
            request=request.request,
            host=request.host,
            domain=request.domain,
            priority=request.priority,
            fingerprint=request.fingerprint,
            granted=now,
            expires=request.deadline + LEASE_MARGIN_SECONDS,
        )
        self._open(lease, now)
        if request.attempt == 1:
            self._retries.add_attempt(now)
        grant = messages.Grant(
            request=request.request,
            lease=lease.lease,
            upstream=row.upstream,
            address=row.address,
            expires=lease.expires,
            is_trial=trial is not None,
        )
        self._decide(request, grant, now)
        return True

    def _find_trial(
        self,
        request: messages.SlotRequest,
        view: selection.View,
        now: float,
    ) -> tables.UpstreamRow | None:
        """Return an ejected upstream that this request may try."""
        timers = self._timers
        if request.priority is not priorities.Priority.URGENT:
            timers.calm_at = now + _QUIET_SECONDS
        elif now < timers.calm_at:
            return None
        if not view.parked or now < timers.trial_at:
            return None
        row = self._selector.claim_trial(view, request.excluded, now)
        if row is None:
            timers.trial_at = now + REFRESH_SECONDS
        return row

    def _create_lease_id(self) -> identifiers.LeaseId:
        """Return an id that no other allocator uses; never 0."""
        return identifiers.LeaseId(self._random.getrandbits(_LEASE_BITS) or 1)

    def _open(self, lease: tables.Lease, now: float) -> None:
        self.leases.add(lease)
        self.shares.acquire(lease.priority, now)
        self._selector.update(lease.row, now)

    def _close(
        self,
        lease_id: identifiers.LeaseId,
        now: float,
    ) -> tables.Lease | None:
        self._memory.closed.put(lease_id, True, now)
        lease = self.leases.remove(lease_id)
        if lease is not None:
            self._settle(lease, now)
        return lease

    def _settle(self, lease: tables.Lease, now: float) -> None:
        """Free the slot of a lease that is no longer open."""
        self.shares.release(lease.priority, now)
        self._selector.update(lease.row, now)

    def _take_evidence(
        self,
        lease: tables.Lease,
        completion: messages.Completion,
        now: float,
    ) -> None:
        is_reset = completion.result is outcomes.ExchangeResult.RESET
        if is_reset and lease.fingerprint:
            held = quarantine.ResetEvidence(
                lease.row.upstream,
                lease.host,
                lease.domain,
                completion.seconds,
            )
            self._crashes.record_reset(lease.fingerprint, held, now)
            return
        if completion.result is outcomes.ExchangeResult.SUCCESS:
            self._crashes.record_success(lease.fingerprint)
        self._judge.record(
            lease.row.upstream,
            lease.host,
            lease.domain,
            completion.result,
            completion.seconds,
            now,
        )

    def _learn(
        self,
        lease: tables.Lease,
        completion: messages.Completion,
        now: float,
    ) -> None:
        """Update the estimates and the slots after a result."""
        row = lease.row
        if completion.result is outcomes.ExchangeResult.SHED:
            if self.table.shed(lease, now):
                self._selector.update(row, now)
        if completion.result is not outcomes.ExchangeResult.SUCCESS:
            return
        if self.table.grow(row, now):
            self._selector.update(row, now)
        if lease.granted is not None:
            held = now - lease.granted
            self.hold_times.add(lease.priority, held)
            row.slowness = self.hold_times.compare(
                lease.priority,
                held,
                row.slowness,
            )

    def _refresh(self, now: float) -> None:
        """Look at all upstreams: expiry, warm-up, health and capacity."""
        self._timers.refresh_at = now + REFRESH_SECONDS
        self._refresh_rows(now)
        for held in self._crashes.tick(now):
            self._judge.record(
                held.upstream,
                held.host,
                held.domain,
                outcomes.ExchangeResult.RESET,
                held.seconds,
                now,
            )
        self._judge.tick(self._list_capacities(now), now)
        self._selector.refresh(now)
        self.shares.total = sum(
            row.usable
            for row in self.table.rows.values()
            if row.is_active and row.is_accepted
        )

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


class _Decided(typing.NamedTuple):
    """A decision, and the attempt that it belongs to."""

    attempt: int
    decision: messages.Decision


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
        self.trial_at = 0.0
        self.calm_at = 0.0

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
