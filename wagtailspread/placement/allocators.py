"""Assigns the requests of all hosts of a region to upstreams.

The allocator tracks every open request of the region. No upstream is assigned
more requests than it has slots, and a failure that one host observes applies
to all hosts at once. Requests queue here, where they can still go to any
upstream, so an upstream that turns gray has no queue to fail.
The allocator holds soft state only: if it fails, hosts switch to another one,
which has no open requests, and an overloaded upstream sheds requests meanwhile.
"""

import dataclasses
import math

from wagtailspread.core import identifiers
from wagtailspread.placement import admissions, backlogs, budgets
from wagtailspread.placement import commitments, crashes, floors, leases
from wagtailspread.placement import lendings, messages, open_bytes
from wagtailspread.placement import open_requests, permits, queues, selection

#: Time in the queue per priority level after which a request goes first.
PRIORITY_STEP_SECONDS = commitments.PRIORITY_STEP_SECONDS
#: Cost in excess of the cheapest upstream that a request accepts at once.
MAX_EXTRA_COST = 0.05
#: Further excess cost that a request accepts per objective spent waiting.
#: After one objective the answer is late on any upstream.
EXTRA_COST_PER_OBJECTIVE = 2.5
#: Time without a poll after which a request is dropped, in seconds.
ABANDON_SECONDS = backlogs.ABANDON_SECONDS
#: Time for which a request that its host has withdrawn is not granted, in
#: seconds. Messages on different connections may arrive in any order.
WITHDRAWN_SECONDS = 10.0
#: Minimum interval between two checks for overdue requests, in seconds. A tick
#: follows each settlement while requests are queued.
OVERDUE_CHECK_SECONDS = 0.04
#: Minimum share of the sound upstreams of a service that stays in use.
DEFAULT_FLOOR_SHARE = 0.7


class Allocator:
    """Places the requests of a region. Use :func:`create_allocator`."""

    def __init__(
        self,
        selector: selection.Selector,
        budget: budgets.SharedRetryBudget,
        floor: floors.UsageFloor,
        crash_table: crashes.CrashTable,
        quota: permits.QuotaSettings,
    ) -> None:
        """Create an allocator without open requests."""
        self.selector = selector
        self.budget = budget
        self.floor = floor
        self.crashes = crash_table
        self.byte_limiter = open_bytes.create_limiter(selector.count_regions())
        self._open = open_requests.create_open_requests(
            selector, self.byte_limiter.sums
        )
        self.permits = permits.create_permits(quota, self._open.contacts)
        self._waiting = queues.create_queues()
        self.admission = admissions.create_admission(selector, self._waiting)
        self._backlog = backlogs.create_backlog(
            self._waiting, self.admission, self
        )
        self.lending: lendings.Lending | None = None
        self._checked_at = -math.inf
        self._decided: dict[identifiers.RequestId, leases.StoredDecision] = {}
        self._withdrawn: dict[identifiers.RequestId, float] = {}

    def submit(
        self, request: messages.PlacementRequest, now: float
    ) -> messages.Answer:
        """Grant an upstream, queue the request or refuse it.

        A host polls with the same request while it is queued, and asks again if
        an answer is late: it then gets the upstream that was granted.

        :param now: seconds on the allocator's clock.
        """
        self._open.record_contact(request.host, now)
        self.permits.record_presence(request, now)
        if request.request_id in self._withdrawn:
            return messages.Answer(messages.Decision.NO_ROOM)
        waiting = self._waiting.get(request.request_id)
        if waiting is not None:
            waiting.polled_at = now
            return messages.Answer(messages.Decision.WAITING)
        decided = self._find_decision(request.request_id)
        if decided is not None:
            return decided
        refusal = self._refuse_blocked(request, now)
        refusal = refusal or self.permits.take(request, now)
        if refusal is not None:
            return refusal
        if request.is_repeat:
            queued = self._waiting.find(request.service).repeats
            share = self.admission.find_budget_share(request, now)
            if not self.budget.allows(request.service, queued, now, share):
                entry = self.admission.create_entry(request, now)
                return self.refuse(entry, messages.Decision.NO_BUDGET, now)
        elif not request.is_counted:
            self.budget.add_request(request.service, now)
        return self._place_new(request, now)

    def settle(
        self,
        request_id: identifiers.RequestId,
        upstream: identifiers.UpstreamId,
        evidence: messages.Evidence,
        seconds: float,
        now: float,
        *,
        is_reset: bool = False,
    ) -> None:
        """Close an open request and record the evidence on its upstream.

        :param upstream: empty if the host withdraws the request, which it has
            not sent.
        :param seconds: duration of the exchange.
        :param now: seconds on the allocator's clock.
        :param is_reset: whether its connection ended without an answer.
        """
        # A withdrawn request has not run, like one that was shed.
        ended = evidence if upstream else messages.Evidence.SHED
        self._record_bytes(upstream, evidence, now, is_reset=is_reset)
        lease = self._close(request_id, ended, now)
        if not upstream:
            self._withdrawn[request_id] = now
            if lease is not None:
                self._open.withdraw_failure(lease, now)
            return
        host = identifiers.HostId('')
        if lease is not None:
            host = lease.request.host
            self.admission.record_end(lease, evidence, seconds, now)
            self._record_completion(lease, evidence, now)
            self._record_crash(lease, evidence, now, is_reset=is_reset)
            if lease.is_failed and evidence is messages.Evidence.BAD:
                return
            if evidence is messages.Evidence.GOOD:
                self._open.withdraw_failure(lease, now)
        self.selector.record_evidence(host, upstream, evidence, seconds, now)

    def record_contact(self, host: identifiers.HostId, now: float) -> None:
        """Record that a host has reported all ends that it knew of.

        Its requests that should have ended count as failed.
        """
        self._open.record_contact(host, now)

    def drop_host(self, host: identifiers.HostId, now: float) -> None:
        """Drop the requests of a host that has restarted."""
        for lease in self._open.drop_host(host, now):
            decided = self.pop_decision(lease.request.request_id)
            if decided is not None:
                # The host has not fetched the grant, so it sent nothing.
                self.permits.give_back(lease.request, now)
        for waiting in list(self._waiting.values()):
            if waiting.request.host == host:
                self.abandon(waiting, now)

    def _close(
        self,
        request_id: identifiers.RequestId,
        evidence: messages.Evidence,
        now: float,
    ) -> leases.Lease | None:
        """Remove a request; return its lease, if it was granted."""
        lease = self._open.close(request_id, now)
        if lease is None:
            self.permits.settle_released(request_id, evidence, now)
        else:
            self.permits.settle(lease.request, evidence, now)
        waiting = self._waiting.get(request_id)
        if waiting is not None:
            self.abandon(waiting, now)
        self._decided.pop(request_id, None)
        return lease

    def abandon(self, entry: leases.WaitingRequest, now: float) -> None:
        """Drop a queued request that its host does not ask for any more."""
        self._waiting.pop(entry.request.request_id)
        self.admission.withdraw(entry)
        self.permits.give_back(entry.request, now)

    def tick(self, now: float) -> list[identifiers.RequestId]:
        """Process the queue; return the ids of the decided requests."""
        if now - self._checked_at >= OVERDUE_CHECK_SECONDS:
            self._checked_at = now
            # First, since those that are closed keep their permits.
            self._drop_unclaimed(now)
            self._open.process_overdue(now)
            self.selector.limits = self.admission.sheds.describe(now)
        self.permits.tick(now)
        decided = []
        for entry, answer in self._backlog.process(now):
            request_id = entry.request.request_id
            self._decided[request_id] = leases.StoredDecision(answer, now)
            decided.append(request_id)
        return decided

    def exchange_spares(
        self, exchange: lendings.SpareExchange, now: float
    ) -> None:
        """Lend slots to other regions, and borrow theirs."""
        if self.lending is not None:
            self.lending.exchange(exchange, self._waiting, now)

    def prune(self, now: float) -> None:
        """Drop the state of upstreams and hosts that are gone."""
        self.selector.prune(now)
        self.floor.retain(self.selector.registry.rows)
        self._open.prune(now)
        self.byte_limiter.sums.prune(now)
        self.admission.prune(now)

    def pop_decision(
        self, request_id: identifiers.RequestId
    ) -> messages.Answer | None:
        """Remove and return the stored decision on a queued request."""
        decided = self._decided.pop(request_id, None)
        return None if decided is None else decided.answer

    def _find_decision(
        self, request_id: identifiers.RequestId
    ) -> messages.Answer | None:
        """Return the decision on a request whose host asks again."""
        decided = self.pop_decision(request_id)
        if decided is not None:
            return decided
        granted = self._open.find_upstream(request_id)
        if granted is None:
            return None
        return messages.Answer(messages.Decision.GRANTED, granted)

    def count_waiting(self) -> int:
        """Return the number of queued requests."""
        return len(self._waiting)

    def _place_new(
        self, request: messages.PlacementRequest, now: float
    ) -> messages.Answer:
        entry = self.admission.create_entry(request, now)
        queue = self._waiting.find(request.service)
        if self.lending is not None and not request.is_repeat:
            self.lending.record_offer(request.service, entry.work, now)
        answer = None
        if not len(queue) or not queue.has_ahead(
            entry,
            is_short=self.admission.capacities.is_short(request.service, now),
        ):
            answer = self._try_grant(entry, now)
        elif self._has_no_candidate(request, now):
            answer = self._decide_held(entry, now)
        if answer is not None:
            return answer
        entry.is_held = self.is_held(request, now)
        if not self.admission.admit(entry, now):
            return self.refuse(entry, messages.Decision.NO_ROOM, now)
        self.admission.queue(entry, now)
        self.permits.record_queued(request, now)
        return messages.Answer(messages.Decision.WAITING)

    def decide_waiting(
        self, entry: leases.WaitingRequest, now: float
    ) -> messages.Answer | None:
        """Return the decision on a queued request, if there is one."""
        answer = self._refuse_blocked(entry.request, now)
        if answer is not None:
            self.permits.give_back(entry.request, now)
        elif self.admission.is_too_late(entry, now):
            answer = self.refuse(entry, messages.Decision.NO_ROOM, now)
        elif not self.permits.may_send(entry.request, now):
            return None
        return answer or self._try_grant(entry, now)

    def _refuse_blocked(
        self, request: messages.PlacementRequest, now: float
    ) -> messages.Answer | None:
        """Return the refusal of a request that crashes upstreams."""
        end = self.crashes.find_end(request.fingerprint, now)
        if end <= now:
            return None
        return messages.Answer(messages.Decision.BLOCKED, None, end - now)

    def _try_grant(
        self, entry: leases.WaitingRequest, now: float
    ) -> messages.Answer | None:
        """Return a grant or a refusal, or ``None`` to queue the request."""
        request = entry.request
        candidates = self._rate_upstreams(request, now)
        if not candidates:
            return self._decide_held(entry, now)
        waited = (now - entry.queued_at) / request.objective
        limit = MAX_EXTRA_COST + EXTRA_COST_PER_OBJECTIVE * waited
        limit += min(candidate.waiting_cost for candidate in candidates)
        free = [
            candidate
            for candidate in candidates
            if not candidate.is_full and candidate.waiting_cost <= limit
        ]
        may_retry = request.is_repeatable and self.budget.allows_trial(
            request.service, now
        )
        idle_candidates = self.floor.select_candidates(
            request.service, candidates, now, is_repeatable=may_retry
        )
        chosen = self.selector.draw(
            self.byte_limiter.prefer(request, idle_candidates or free)
        )
        if chosen is None:
            return None
        if request.is_repeat and not self.budget.spend(request.service, now):
            return self.refuse(entry, messages.Decision.NO_BUDGET, now)
        record = chosen.row.record
        if not chosen.is_same_region:
            self.selector.loans.record_crossing(request.size, now)
        is_trial = bool(idle_candidates) and floors.is_trial(chosen)
        self.floor.record_use(
            request.service,
            record.upstream,
            now,
            is_trial=is_trial and not may_retry,
        )
        self._open.add(
            leases.Lease(
                request,
                record.upstream,
                now,
                is_trial=is_trial,
                open_requests=self._count_with_next(chosen),
            )
        )
        self.permits.record_sent(request, now)
        self.admission.record_grant(entry, now)
        return messages.Answer(messages.Decision.GRANTED, record)

    def _count_with_next(self, chosen: selection.Candidate) -> int:
        """Return the open requests of an upstream with the next one.

        :returns: 0 if its own region sends it an unknown number as well.
        """
        record = chosen.row.record
        is_shared = self.selector.loans.is_shared(record.service)
        if is_shared and not chosen.is_same_region:
            return 0
        return self.selector.count_open(record.upstream) + 1

    def _has_no_candidate(
        self, request: messages.PlacementRequest, now: float
    ) -> bool:
        """Tell whether a request can't use any upstream, also a free one."""
        if not request.excluded and not len(self.selector.holds):
            return False
        end = self.selector.find_hold_end(request, now)
        return end is None or end > now

    def is_held(self, request: messages.PlacementRequest, now: float) -> bool:
        """Tell whether no upstream may get a request now.

        All upstreams hold back its host, or hold too many bytes for it, or the
        cap of its workspace is used up for the moment.
        """
        if not self.permits.may_send(request, now):
            return True
        registry = self.selector.registry
        if not self.byte_limiter.has_room(request, registry, now):
            return True
        if not len(self.selector.holds):
            return False
        end = self.selector.find_hold_end(request, now)
        return end is not None and end > now

    def _decide_held(
        self, entry: leases.WaitingRequest, now: float
    ) -> messages.Answer | None:
        """Decide on a request that no upstream takes from its host now.

        It is queued if an upstream takes requests again in time.
        """
        request = entry.request
        end = self.selector.find_hold_end(request, now)
        if end is None:
            return self.refuse(entry, messages.Decision.NO_UPSTREAM, now)
        if end + entry.work < request.deadline:
            return None
        refusal = self.refuse(entry, messages.Decision.NO_ROOM, now)
        return dataclasses.replace(refusal, retry_after=end - now)

    def _rate_upstreams(
        self, request: messages.PlacementRequest, now: float
    ) -> list[selection.Candidate]:
        """Return the candidate upstreams of a request.

        While the retry budget is low, a repeatable request avoids risk like
        any other, since a failure could not be retried.
        """
        if request.is_repeatable and not self.budget.is_ample(
            request.service, now
        ):
            request = dataclasses.replace(request, is_repeatable=False)
        candidates = self.selector.rate(request, now)
        return self.byte_limiter.mark_full(request, candidates, now)

    def _record_completion(
        self, lease: leases.Lease, evidence: messages.Evidence, now: float
    ) -> None:
        if evidence is messages.Evidence.BAD:
            self.floor.record_failure(lease.upstream, now)
        elif evidence is messages.Evidence.GOOD:
            self.floor.record_success(lease.upstream)
        if evidence is messages.Evidence.NONE or lease.is_trial:
            return
        is_served = evidence is messages.Evidence.GOOD
        if lease.request.is_repeatable and not is_served:
            # The retry determines whether the request is served.
            return
        self.floor.strains.record_completion(
            lease.request.service, is_served, now
        )

    def _record_bytes(
        self,
        upstream: identifiers.UpstreamId,
        evidence: messages.Evidence,
        now: float,
        *,
        is_reset: bool,
    ) -> None:
        """Record an end with the bytes that the upstream held."""
        row = self.selector.registry.rows.get(upstream)
        if row is not None:
            self.byte_limiter.record_end(
                row.record.service,
                (upstream, row.record.born_ms),
                evidence,
                now,
                is_reset=is_reset,
            )

    def _record_crash(
        self,
        lease: leases.Lease,
        evidence: messages.Evidence,
        now: float,
        *,
        is_reset: bool,
    ) -> None:
        """Record whether a request may have crashed its upstream."""
        fingerprint = lease.request.fingerprint
        if evidence is messages.Evidence.GOOD:
            self.crashes.record_answer(fingerprint)
        elif is_reset:
            row = self.selector.registry.rows.get(lease.upstream)
            self.crashes.record_loss(fingerprint, row, now)

    def refuse(
        self,
        entry: leases.WaitingRequest,
        decision: messages.Decision,
        now: float,
    ) -> messages.Answer:
        """Return a refusal with the estimated time until a slot is free."""
        self.permits.give_back(entry.request, now)
        service = entry.request.service
        self.floor.strains.record_completion(service, False, now)
        retry_after = self.admission.record_refusal(entry, decision, now)
        return messages.Answer(decision, None, retry_after)

    def _drop_unclaimed(self, now: float) -> None:
        """Drop decisions that no host has polled; free their slots."""
        for request_id, decided in list(self._decided.items()):
            if now - decided.decided_at <= ABANDON_SECONDS:
                continue
            self._decided.pop(request_id)
            lease = self._open.close(request_id, now)
            if lease is not None:
                self.permits.give_back(lease.request, now)
        for request_id, withdrawn_at in list(self._withdrawn.items()):
            if now - withdrawn_at <= WITHDRAWN_SECONDS:
                break
            self._withdrawn.pop(request_id)


def create_allocator(
    selector: selection.Selector,
    budget: budgets.SharedRetryBudget,
    floor_share: float = DEFAULT_FLOOR_SHARE,
    crash_table: crashes.CrashTable | None = None,
    quota: permits.QuotaSettings | None = None,
    lending: lendings.Lending | None = None,
) -> Allocator:
    """Return an allocator that has no open requests.

    :param crash_table: requests known to crash upstreams, none by default.
    :param quota: by default, the only allocator of its fleet.
    :param lending: loans of slots between regions, none by default.
    """
    floor = floors.UsageFloor(floor_share)
    table = crash_table or crashes.create_crashes()
    allocator = Allocator(
        selector, budget, floor, table, quota or permits.QuotaSettings()
    )
    allocator.lending = lending
    return allocator
