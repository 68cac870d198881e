"""Grants of free slots to requests, and release of the slots of leases."""

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

#: A waiting request may be overtaken by a request that has a free upstream near
#: its host and was submitted at most this many seconds later.
NEAR_PREFERENCE_SECONDS = 0.1
#: Time in seconds for which a waiting request leaves an upstream in another
#: failure domain to requests that are near it: about the additional latency of
#: the longer path.
NEAR_WAIT_SECONDS = 0.003
#: Time in seconds from the deadline of a request to the expiry of its lease.
LEASE_MARGIN_SECONDS = 1.0
#: Minimum number of waiting requests of a priority for leases to be passed on.
MIN_PASS_BACKLOG = 8
#: Maximum share of the leases of a priority that may be passed on. The others
#: are returned after each request, so that more urgent requests soon get a
#: slot. In a flood of bulk requests at the site Andino, 99% of the urgent
#: requests wait at most 12 ms if no lease is passed on, 15 ms with this share
#: and 18 ms with 0.7.
MAX_PASS_SHARE = 0.5
#: Time for which a lease may be passed on, in mean hold times, and its maximum.
PASS_HOLD_TIMES = 6.0
MAX_PASS_SECONDS = 1.0
#: An upstream at which a request would miss its deadline is skipped only if its
#: slowness is greater than this multiple of the mean.
MIN_SKIPPED_SLOWNESS = 2.0
#: Delay in seconds after a check that found no ejected upstream due for a
#: trial.
_TRIAL_CHECK_SECONDS = 0.1
#: Time in seconds without requests of other priorities after which urgent
#: requests may be used for trials.
_QUIET_SECONDS = 1.0
_LEASE_BITS = 62
_PRIORITIES = tuple(priorities.Priority)


class Dispatcher:
    """Opens leases, releases slots and grants slots to waiting requests."""

    def __init__(
        self,
        leases: tables.LeaseTable,
        queues: scheduling.Queues,
        shares: scheduling.Shares,
        selector: selection.Selector,
        hold_times: estimates.HoldTimes,
        random: random_module.Random,
    ) -> None:
        """Bind the dispatcher to the tables of an allocator."""
        self._leases = leases
        self._queues = queues
        self._shares = shares
        self._selector = selector
        self._hold_times = hold_times
        self._random = random
        # Number of open leases of each priority that may be passed on.
        self._passable_counts = [0 for _ in priorities.Priority]
        self._next_trial_check_at = 0.0
        self._urgent_trials_from = 0.0

    def open(self, lease: tables.Lease, now: float) -> None:
        """Open a lease and count its slot as in use."""
        self._leases.add(lease)
        self._shares.acquire(lease.priority, now)
        self._selector.update(lease.row, now)

    def release_slot(self, lease: tables.Lease, now: float) -> None:
        """Release the slot of a lease that was closed."""
        if lease.is_passable:
            self._passable_counts[lease.priority] -= 1
        self._shares.release(lease.priority, now)
        self._selector.update(lease.row, now)

    def try_grant(
        self,
        request: messages.SlotRequest,
        view: selection.View,
        now: float,
    ) -> messages.Grant | None:
        """Return a grant, or ``None`` if no slot is free for the request."""
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
            granted_at=now,
            expires=request.deadline + LEASE_MARGIN_SECONDS,
            is_trial=trial is not None,
        )
        self.open(lease, now)
        return self.create_grant(lease, now)

    def create_grant(self, lease: tables.Lease, now: float) -> messages.Grant:
        """Create the grant of a lease, and decide whether it may be passed on.

        A slot is idle while its lease is returned and granted again. Passing
        leases on avoids this for most requests of a long queue. The permission
        expires soon, so that a more urgent priority, a drain or an ejection
        takes effect, and some leases are always returned.
        """
        pass_until = 0.0
        if not lease.is_passable and self._may_be_passed(lease):
            hold_time = self._hold_times.estimate_mean(lease.priority)
            pass_until = now + min(
                PASS_HOLD_TIMES * hold_time, MAX_PASS_SECONDS
            )
            lease.is_passable = True
            self._passable_counts[lease.priority] += 1
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
        """Return the maximum slowness of an upstream for a request.

        Slowness up to :data:`MIN_SKIPPED_SLOWNESS` is ignored, since small
        differences are mostly random.
        """
        expected = self._hold_times.estimate_mean(request.priority)
        if not expected:
            return math.inf
        return max(MIN_SKIPPED_SLOWNESS, (request.deadline - now) / expected)

    def _may_be_passed(self, lease: tables.Lease) -> bool:
        """Return whether another lease like this one may be passed on."""
        priority = lease.priority
        if self._queues.counts[priority] < MIN_PASS_BACKLOG or lease.is_trial:
            return False
        limit = MAX_PASS_SHARE * self._shares.in_use[priority]
        return self._passable_counts[priority] < limit

    def grant_next(
        self,
        now: float,
    ) -> tuple[messages.SlotRequest, messages.Grant] | None:
        """Grant one slot to a waiting request.

        Priorities that use less than their share are served first, then the
        others; the more urgent one first in both groups.
        """
        if not (self._selector.has_candidate() or self._may_have_trial(now)):
            return None
        ordered = self._order_priorities(now)
        for far_wait in (NEAR_WAIT_SECONDS, 0.0):
            for priority in ordered:
                granted = self._grant_to_priority(priority, far_wait, now)
                if granted is not None:
                    return granted
        return None

    def _order_priorities(self, now: float) -> list[priorities.Priority]:
        """Return the priorities with waiting requests in order of service."""
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

    def _grant_to_priority(
        self,
        priority: priorities.Priority,
        far_wait: float,
        now: float,
    ) -> tuple[messages.SlotRequest, messages.Grant] | None:
        """Grant a slot to the first request for which an upstream is free.

        :param far_wait: seconds that a request must have waited before it may
            get an upstream in another failure domain.
        """
        heads = self._queues.list_heads(priority)
        if len(heads) > 1:
            self._prefer_near(heads, now)
        for head in heads:
            view = self._selector.find_view(head[0].domain, now)
            is_recent = now - head[0].submitted_at < far_wait
            if is_recent and not view.has_near_candidate():
                continue
            for waiting in head:
                grant = self.try_grant(waiting.request, view, now)
                if grant is not None:
                    self._queues.remove(waiting)
                    return waiting.request, grant
        return None

    def _prefer_near(
        self,
        heads: list[list[scheduling.WaitingRequest]],
        now: float,
    ) -> None:
        """Move a request with a free upstream near its host to the front.

        A slot is idle while messages are in transit, so near slots have a
        higher throughput. Requests that are older by more than the limit keep
        their place in the order of arrival.
        """
        limit = heads[0][0].submitted_at + NEAR_PREFERENCE_SECONDS
        for position, head in enumerate(heads):
            if head[0].submitted_at > limit:
                return
            view = self._selector.find_view(head[0].domain, now)
            if view.has_near_candidate():
                heads.insert(0, heads.pop(position))
                return

    def _may_have_trial(self, now: float) -> bool:
        """Return whether to check for ejected upstreams due for a trial."""
        return (
            now >= self._next_trial_check_at and self._selector.has_unusable()
        )

    def _find_trial(
        self,
        request: messages.SlotRequest,
        view: selection.View,
        now: float,
    ) -> tables.UpstreamRow | None:
        """Return an ejected upstream for which this request is the trial."""
        if request.priority is not priorities.Priority.URGENT:
            self._urgent_trials_from = now + _QUIET_SECONDS
        elif now < self._urgent_trials_from:
            return None
        if now < self._next_trial_check_at or not view.unusable:
            return None
        row = self._selector.claim_trial(view, request.excluded, now)
        if row is None:
            self._next_trial_check_at = now + _TRIAL_CHECK_SECONDS
        return row

    def _create_lease_id(self) -> identifiers.LeaseId:
        """Return a random lease id, never 0, unique across allocators."""
        return identifiers.LeaseId(self._random.getrandbits(_LEASE_BITS) or 1)
