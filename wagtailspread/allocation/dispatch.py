"""Grants of free slots to waiting requests, and the slots that leases hold."""

import math
import random as random_module

from wagtailspread.allocation import (
    estimates,
    messages,
    scheduling,
    selection,
    tables,
)
from wagtailspread.core import identifiers, priorities

#: A waiting request may be overtaken by one that has a free upstream near its
#: host and was submitted at most this much later.
NEAR_PREFERENCE_SECONDS = 0.1
#: A waiting request gets an upstream in another failure domain only after this
#: time, while others wait that are near it: about what the longer way costs.
NEAR_WAIT_SECONDS = 0.003
#: A lease ends this long after the deadline of its request.
LEASE_MARGIN_SECONDS = 1.0
#: Waiting requests of a priority from which on its leases may be passed on.
PASS_BACKLOG = 8
#: Leases of a priority that may be passed on, as a share of its leases. The
#: others come back after each request, so that more urgent work gets a slot
#: soon. In a flood of bulk work at Andino, 99% of the urgent requests wait at
#: most 12 ms without passing on, 15 ms with this share and 18 ms with 0.7.
PASS_SHARE = 0.5
#: Time in which a lease may be passed on, in mean hold times, and its bound.
PASS_HOLDS = 6.0
PASS_LIMIT_SECONDS = 1.0
#: An upstream is passed over for a request that it would make late only if
#: its hold times are this many times the mean.
SLOWNESS_MINIMUM = 2.0
#: Time between two questions whether an ejected upstream is due for a trial.
_TRIAL_SECONDS = 0.1
#: Urgent requests are used for trials only if nothing else ran for this long.
_QUIET_SECONDS = 1.0
_LEASE_BITS = 62
_PRIORITIES = tuple(priorities.Priority)


class Dispatcher:
    """Opens and settles leases, and chooses who gets the next slot."""

    def __init__(
        self,
        leases: tables.LeaseTable,
        queues: scheduling.Queues,
        shares: scheduling.Shares,
        selector: selection.Selector,
        hold_times: estimates.HoldTimes,
        random: random_module.Random,
    ) -> None:
        """Work on the tables of one allocator."""
        self._leases = leases
        self._queues = queues
        self._shares = shares
        self._selector = selector
        self._hold_times = hold_times
        self._random = random
        # Leases by priority that may be passed on.
        self._passing = [0 for _ in priorities.Priority]
        self._trial_at = 0.0
        self._calm_at = 0.0

    def open(self, lease: tables.Lease, now: float) -> None:
        """Take the slot of a new lease."""
        self._leases.add(lease)
        self._shares.acquire(lease.priority, now)
        self._selector.update(lease.row, now)

    def settle(self, lease: tables.Lease, now: float) -> None:
        """Free the slot of a lease that is no longer open."""
        if lease.is_passing:
            self._passing[lease.priority] -= 1
        self._shares.release(lease.priority, now)
        self._selector.update(lease.row, now)

    def place(
        self,
        request: messages.SlotRequest,
        view: selection.View,
        now: float,
    ) -> messages.Grant | None:
        """Grant a request a slot, or none if none is free for it."""
        trial = self._find_trial(request, view, now)
        row = trial or self._selector.choose(
            view,
            request.excluded,
            self._find_slowness_limit(request, now),
            now,
        )
        if row is None:
            return None
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
            is_trial=trial is not None,
        )
        self.open(lease, now)
        return self.describe(lease, now)

    def describe(self, lease: tables.Lease, now: float) -> messages.Grant:
        """Return the grant of a lease, and whether it may be passed on.

        A slot stands idle while its lease travels to the allocator and back.
        While a queue is long, that time is saved for most requests. The time
        is short, so that a more urgent priority, a drain or an ejection takes
        effect soon, and some slots come back at any time.
        """
        pass_until = 0.0
        if not lease.is_passing and self._may_pass(lease):
            hold = self._hold_times.expect(lease.priority)
            pass_until = now + min(PASS_HOLDS * hold, PASS_LIMIT_SECONDS)
            lease.is_passing = True
            self._passing[lease.priority] += 1
        return messages.Grant(
            request=lease.request,
            lease=lease.lease,
            upstream=lease.row.upstream,
            address=lease.row.address,
            expires=lease.expires,
            is_trial=lease.is_trial,
            pass_until=pass_until,
        )

    def _find_slowness_limit(
        self,
        request: messages.SlotRequest,
        now: float,
    ) -> float:
        """Return how slow an upstream may be for a request.

        Small differences are ignored, since they are mostly chance.
        """
        expected = self._hold_times.expect(request.priority)
        if not expected:
            return math.inf
        return max(SLOWNESS_MINIMUM, (request.deadline - now) / expected)

    def _may_pass(self, lease: tables.Lease) -> bool:
        """Return whether the host of a lease may pass it on."""
        priority = lease.priority
        if self._queues.counts[priority] < PASS_BACKLOG or lease.is_trial:
            return False
        limit = PASS_SHARE * self._shares.in_use[priority]
        return self._passing[priority] < limit

    def serve_next(
        self,
        now: float,
    ) -> tuple[messages.SlotRequest, messages.Grant] | None:
        """Grant one slot to the priority whose turn it is.

        Priorities with less than their share come first, then the others;
        the more urgent one first in both cases.
        """
        if not (self._selector.has_candidate() or self._may_try(now)):
            return None
        turns = self._list_turns(now)
        for far_age in (NEAR_WAIT_SECONDS, 0.0):
            for priority in turns:
                served = self._serve(priority, far_age, now)
                if served is not None:
                    return served
        return None

    def _list_turns(self, now: float) -> list[priorities.Priority]:
        """Return the priorities with waiting requests, the next one first."""
        entitled = []
        others = []
        for priority in _PRIORITIES:
            if not self._queues.counts[priority]:
                continue
            if self._shares.is_entitled(priority, now):
                entitled.append(priority)
            else:
                others.append(priority)
        return entitled + others

    def _serve(
        self,
        priority: priorities.Priority,
        far_age: float,
        now: float,
    ) -> tuple[messages.SlotRequest, messages.Grant] | None:
        """Grant a slot to the first request that an upstream is free for.

        :param far_age: seconds that a request has waited before it gets an
            upstream in another failure domain.
        """
        fronts = self._queues.list_fronts(priority)
        if len(fronts) > 1:
            self._prefer_near(fronts, now)
        for front in fronts:
            view = self._selector.find_view(front[0].domain, now)
            is_fresh = now - front[0].submitted < far_age
            if is_fresh and not view.has_near_candidate():
                continue
            for waiting in front:
                grant = self.place(waiting.request, view, now)
                if grant is not None:
                    self._queues.remove(waiting)
                    return waiting.request, grant
        return None

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

    def _may_try(self, now: float) -> bool:
        """Return whether an ejected upstream may be due for a trial."""
        return now >= self._trial_at and self._selector.has_parked()

    def _find_trial(
        self,
        request: messages.SlotRequest,
        view: selection.View,
        now: float,
    ) -> tables.UpstreamRow | None:
        """Return an ejected upstream that this request may try."""
        if request.priority is not priorities.Priority.URGENT:
            self._calm_at = now + _QUIET_SECONDS
        elif now < self._calm_at:
            return None
        if now < self._trial_at or not view.parked:
            return None
        row = self._selector.claim_trial(view, request.excluded, now)
        if row is None:
            self._trial_at = now + _TRIAL_SECONDS
        return row

    def _create_lease_id(self) -> identifiers.LeaseId:
        """Return an id that no other allocator uses; never 0."""
        return identifiers.LeaseId(self._random.getrandbits(_LEASE_BITS) or 1)
