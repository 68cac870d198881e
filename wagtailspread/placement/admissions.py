"""Decides what waits, in which order, and what is refused.

Requests that can end within their objective come before those that are late on
any upstream, since these have less value; a higher rank comes before both.
Within that, the request whose objective leaves the least time comes first,
moved by the share that its workspace has had (:mod:`fairness`). A request is
admitted on arrival if it starts in time behind those ahead of it and all behind
it still do (:mod:`commitments`). Those with more work than others must have
more time left (:mod:`margins`). What is not admitted is refused at once, and
what is admitted is kept unless capacity is lost.

No group is starved by that order: requests of one that is served too seldom go
first, and so do those of a lower rank that have waited for some time.
"""

import typing

from wagtailspread.core import identifiers
from wagtailspread.placement import commitments, estimates, leases, margins
from wagtailspread.placement import messages, queues, retry_shares, returns
from wagtailspread.placement import selection, shares, sheds, tallies, works

#: Requests of lower ranks that go first, for each grant.
PROMOTED_SHARE = 0.25
MAX_PROMOTION_CREDIT = 8.0
#: Multiple of the typical duration that must remain before the deadline for a
#: request to queue normally; requests with less time are served first.
SHORT_DEADLINE_FACTOR = 3.0
#: Multiple of the expected work that is left for a request to end within its
#: objective. About one request in 20 takes longer.
OBJECTIVE_WORK_FACTOR = 1.5
#: Multiple of the estimated wait that a late request must have left: requests
#: that come later and can end within their objectives go first. With 3, the
#: value of the replay ``workspace-burst`` was 0.702, with 4 0.714.
LATE_WAIT_FACTOR = 4.0
#: Interval between two checks of a whole queue, in seconds, and what each
#: queued request adds. Checking 5,000 requests takes about 8 ms.
SWEEP_SECONDS = 0.2
SWEEP_SECONDS_PER_REQUEST = 0.00005

_REFUSALS = {
    messages.Decision.NO_ROOM: tallies.Event.NO_ROOM,
    messages.Decision.NO_BUDGET: tallies.Event.NO_BUDGET,
    messages.Decision.NO_UPSTREAM: tallies.Event.NO_UPSTREAM,
}

#: Tiers of one rank: little time left, in time, late.
_SHORT, _IN_TIME, _LATE, _TIERS = range(4)
#: The tier before all ranks, which are numbers of 16 bits and may be negative.
_FIRST_TIER = -(1 << 20)


class Admission:
    """Orders queued requests and estimates their waits.

    Use :func:`create_admission`.
    """

    def __init__(
        self, selector: selection.Selector, queue_table: queues.QueueTable
    ) -> None:
        """Create a decision without evidence."""
        self.capacities = estimates.create_capacities(selector)
        self.shares = shares.create_shares()
        self.works = works.create_works()
        self.returns = returns.create_returns()
        self._return_times = returns.create_times()
        self.sheds = sheds.create_limits()
        self._selector = selector
        self._queues = queue_table
        self.tally = tallies.create_tally()
        self._margins = margins.create_margins()
        self._credits: dict[identifiers.ServiceName, float] = {}

    def create_entry(
        self, request: messages.PlacementRequest, now: float
    ) -> leases.WaitingRequest:
        """Return a request with its place in the queue."""
        work = self.find_work(request, now)
        entry = leases.WaitingRequest(
            request, (0, now, 0), now, now, work, due=now, asked_at=now
        )
        clock = self._queues.find(request.service).fair_clock
        entry.tag = clock.peek(request.workspace)
        known = None
        if not request.is_repeat:
            known = self.returns.claim(request.fingerprint, now)
        if known is not None:
            entry.is_returning = True
            self._count(entry, tallies.Event.RETURNED)
            entry.asked_at = known.asked_at
            entry.tag = min(entry.tag, known.tag)
        slack = request.objective - OBJECTIVE_WORK_FACTOR * work
        entry.latest = commitments.find_latest(entry)
        entry.due = min(now + max(slack, 0.0), entry.latest)
        entry.order = self._create_order(entry, self._queues.create_number())
        return entry

    def admit(self, entry: leases.WaitingRequest, now: float) -> bool:
        """Tell whether a request may wait, and determine its place.

        One that can't end within its objective is late from the beginning.
        """
        request = entry.request
        margin = self._find_margin(entry, now)
        if self._starts_by(entry, entry.due, margin, now) or self._has_slot(
            entry, now
        ):
            return True
        self._find_late_place(entry)
        if self._starts_by(entry, entry.latest, LATE_WAIT_FACTOR, now):
            self._count(entry, tallies.Event.LATE)
            return True
        if not self._is_starved(request, now):
            return False
        self._prefer(entry)
        return self._starts_by(entry, entry.latest, 1.0, now)

    def queue(self, entry: leases.WaitingRequest, now: float) -> None:
        """Add a request that was admitted to its queue."""
        request = entry.request
        clock = self._queues.find(request.service).fair_clock
        clock.start(request.workspace, entry.work)
        self._queues.add(entry, now)
        self._count(entry, tallies.Event.QUEUED)

    def withdraw(self, entry: leases.WaitingRequest) -> None:
        """Record that a request has left its queue without a decision."""
        request = entry.request
        clock = self._queues.find(request.service).fair_clock
        clock.withdraw(request.workspace, entry.work)

    def estimate_wait(self, entry: leases.WaitingRequest, now: float) -> float:
        """Return the estimated wait for a slot, in seconds."""
        queue = self._queues.find(entry.request.service)
        ahead = queue.estimate_ahead(entry.order) + entry.work
        capacity = self._find_capacity(entry.request.service, now)
        if not entry.is_preferred:
            request = entry.request
            capacity = self.capacities.reduce(
                capacity, request.service, request.priority, now
            )
        return ahead / capacity

    def find_work(
        self, request: messages.PlacementRequest, now: float
    ) -> float:
        """Return the expected work of a request in seconds."""
        typical = estimates.find_typical_seconds(
            self._selector, request.service, now
        )
        return self.works.find(request.service, request.route_class, typical)

    def is_too_late(self, entry: leases.WaitingRequest, now: float) -> bool:
        """Tell whether a request would end after its deadline on any slot."""
        return entry.request.deadline - now < entry.work

    def record_grant(self, entry: leases.WaitingRequest, now: float) -> None:
        """Record that a request gets an upstream."""
        request = entry.request
        service = request.service
        self.capacities.record_grant(service, request.priority, entry.work, now)
        self._queues.find(service).fair_clock.serve(entry.tag)
        if not request.is_repeat:
            self.shares.record_request(request, True, now)
        known = self._credits.get(service, 0.0)
        self._credits[service] = min(
            known + PROMOTED_SHARE, MAX_PROMOTION_CREDIT
        )

    def find_budget_share(
        self, request: messages.PlacementRequest, now: float
    ) -> float:
        """Return the share of the retry budget that a request may use."""
        return retry_shares.find_share(
            request, self.shares, self.returns, self.sheds, now
        )

    def record_refusal(
        self,
        entry: leases.WaitingRequest,
        decision: messages.Decision,
        now: float,
    ) -> float:
        """Record that a request is refused.

        :returns: seconds after which its caller may come again.
        """
        request = entry.request
        retry_after = self._plan_return(entry, now)
        if not request.is_repeat:
            self.shares.record_request(request, False, now)
        self.returns.add(
            request.fingerprint,
            returns.create_return(entry.asked_at, entry.tag, now + retry_after),
        )
        service = request.service
        rank = request.priority
        self.tally.count(service, rank, _REFUSALS[decision])
        if now > entry.queued_at:
            self.tally.count(service, rank, tallies.Event.DROPPED)
            self.tally.add_held(service, rank, now - entry.queued_at)
            self.withdraw(entry)
        return retry_after

    def record_end(
        self,
        lease: leases.Lease,
        evidence: messages.Evidence,
        seconds: float,
        now: float,
    ) -> None:
        """Learn the work of a request, and what upstreams accept."""
        request = lease.request
        service = request.service
        if evidence is messages.Evidence.GOOD:
            self.works.record(service, request.route_class, seconds)
        if evidence in {messages.Evidence.GOOD, messages.Evidence.SHED}:
            is_shed = evidence is messages.Evidence.SHED
            self.sheds.record(service, lease.open_requests, is_shed, now)

    def is_sweep_due(self, queue: queues.ServiceQueue, now: float) -> bool:
        """Tell whether it is time to check a queue as a whole."""
        interval = SWEEP_SECONDS + SWEEP_SECONDS_PER_REQUEST * len(queue)
        return now - queue.swept_at >= interval

    def sweep(
        self, service: identifiers.ServiceName, now: float
    ) -> list[leases.WaitingRequest]:
        """Check a queue as a whole; return the requests to refuse."""
        queue = self._queues.find(service)
        queue.swept_at = now
        self._promote(queue, now)
        capacity = self._find_capacity(service, now)
        for endangered in commitments.list_endangered(queue, capacity, now):
            self._move(endangered, self._prefer, now)
        refused = [
            entry
            for entry in (*queue.held.values(), *queue.list_ordered())
            if self.is_too_late(entry, now)
        ]
        slots = self.capacities.count_slots(service, now)
        if slots < queue.slots:
            refused.extend(
                entry
                for entry in commitments.list_lost(queue, capacity, now)
                if not self.is_too_late(entry, now)
            )
        queue.slots = slots
        return refused

    def prune(self, now: float) -> None:
        """Drop the state of what has not been seen for some time."""
        self.shares.prune(now)
        self.returns.prune(now)
        self._margins.prune(now)
        self._queues.prune()

    def _plan_return(self, entry: leases.WaitingRequest, now: float) -> float:
        """Return the seconds until there is room for a refused request."""
        service = entry.request.service
        room_at = now + self.estimate_wait(entry, now)
        seconds = entry.work / self._find_capacity(service, now)
        return self._return_times.plan(service, room_at, seconds, now)

    def _create_order(
        self, entry: leases.WaitingRequest, number: int
    ) -> leases.QueueOrder:
        """Return the sort key of a request in the queue.

        Requests whose timeout leaves no time to wait go first. Behind others,
        every request of such a route is refused while the service is full.
        """
        request = entry.request
        left = request.deadline - entry.queued_at
        entry.is_short = left <= SHORT_DEADLINE_FACTOR * entry.work
        tier = _SHORT if entry.is_short else _IN_TIME
        waited = entry.queued_at - entry.asked_at
        due = entry.due - waited + self._find_lag(entry)
        return (request.priority * _TIERS + tier, due, number)

    def _find_lag(self, entry: leases.WaitingRequest) -> float:
        """Return the seconds that a request waits for its fair turn.

        They are those beyond the wait in the order of arrival, so negative for
        a workspace that sends little. With one workspace they are 0.
        """
        queue = self._queues.find(entry.request.service)
        clock = queue.fair_clock
        if not len(queue):
            return 0.0
        fair = max(entry.tag - clock.now, 0.0) * max(clock.active, 1)
        capacity = self._find_capacity(entry.request.service, entry.queued_at)
        return (fair - queue.work) / capacity

    def _find_late_place(self, entry: leases.WaitingRequest) -> None:
        """Put a request behind those that can end within their objective."""
        request = entry.request
        entry.is_late = True
        waited = entry.queued_at - entry.asked_at
        latest = request.deadline - entry.work - waited
        tier = request.priority * _TIERS + _LATE
        entry.order = (tier, latest, entry.order[2])

    def _prefer(self, entry: leases.WaitingRequest) -> None:
        entry.is_preferred = True
        self._count(entry, tallies.Event.PREFERRED)
        entry.order = (_FIRST_TIER, entry.latest, entry.order[2])

    def _find_margin(self, entry: leases.WaitingRequest, now: float) -> float:
        """Return the multiple of its wait that a request must have left."""
        request = entry.request
        margin = self._margins.find(
            request.service, request.priority, entry.work, now
        )
        if request.workspace and self._find_lag(entry) > 0:
            margin *= margins.UNFAIR_MARGIN
        return margin

    def _has_slot(self, entry: leases.WaitingRequest, now: float) -> bool:
        """Tell whether slots are free for a request and all queued ones."""
        if self.is_too_late(entry, now):
            return False
        service = entry.request.service
        queued = len(self._queues.find(service))
        return self.capacities.count_free(service, now) > queued

    def _starts_by(
        self,
        entry: leases.WaitingRequest,
        limit: float,
        margin: float,
        now: float,
    ) -> bool:
        """Tell whether a request starts in time, and all that come after it.

        :param margin: multiple of the estimated wait that must be left.
        """
        queue = self._queues.find(entry.request.service)
        capacity = self._find_capacity(entry.request.service, now)
        wait = margin * self.estimate_wait(entry, now)
        if now + wait + entry.work >= entry.request.deadline:
            return False
        return now + wait <= max(
            limit, now + entry.work / capacity
        ) and commitments.keeps_admitted(queue, entry, capacity, now)

    def _is_starved(
        self, request: messages.PlacementRequest, now: float
    ) -> bool:
        groups = shares.list_groups(request)
        return self.shares.is_starved(request.service, groups, now)

    def _promote(self, queue: queues.ServiceQueue, now: float) -> None:
        """Let requests of lower ranks go first that have waited for long."""
        for entry in queue.list_ordered():
            if not commitments.has_waited(entry, now):
                continue
            service = entry.request.service
            if self._credits.get(service, 0.0) < 1:
                break
            self._credits[service] -= 1
            self._move(entry, self._prefer, now)

    def _move(
        self,
        entry: leases.WaitingRequest,
        place: typing.Callable[[leases.WaitingRequest], None],
        now: float,
    ) -> None:
        """Put a queued request at another place.

        :param place: sets its new order.
        """
        before = entry.order
        place(entry)
        order = entry.order
        entry.order = before
        self._queues.move(entry, order, now)

    def _count(
        self, entry: leases.WaitingRequest, event: tallies.Event
    ) -> None:
        request = entry.request
        self.tally.count(request.service, request.priority, event)

    def _find_capacity(
        self, service: identifiers.ServiceName, now: float
    ) -> float:
        queue = self._queues.find(service)
        backlog_seconds = max(now - queue.backlogged_since, 0.0)
        return self.capacities.find(service, backlog_seconds, now)


def create_admission(
    selector: selection.Selector, queue_table: queues.QueueTable
) -> Admission:
    """Return a decision without evidence on a table of queues."""
    return Admission(selector, queue_table)
