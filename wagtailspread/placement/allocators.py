"""Decides for all hosts of a region which upstream runs which request.

It knows every open request of the region, so no upstream gets more than its
slots, and what one host finds out about an upstream counts for all at once.
A request waits here for a slot rather than at an upstream: until it is sent it
can still go anywhere, and an upstream that turns gray fails no queue.

The allocator is soft state. Hosts turn to another one when it fails, which
starts with no open requests; upstreams that are sent too much say so.
"""

import dataclasses
import itertools

from wagtailspread.core import identifiers
from wagtailspread.placement import budgets, floors, leases, messages
from wagtailspread.placement import selection

#: Waiting that one step of priority is worth, in seconds. Urgent work goes
#: first, but a flood of it does not keep the rest waiting for ever.
PRIORITY_SECONDS = 1.0
#: Cost above the cheapest upstream for which a request does not wait.
PATIENCE_COST = 0.05
#: Cost above it that a request accepts for each objective that it has waited.
#: After an objective its answer is late, whatever the upstream.
WAITED_COST = 2.5
#: Weight of the way to an upstream beyond its cost while a request waits: a
#: large body waits for a slot in its failure domain for a quarter of the
#: objective.
DISTANCE_PATIENCE = 1.3
#: Multiple of the usual time that a request must have left to wait in turn.
HASTY_FACTOR = 3.0
#: Time after the deadline at which an open request is taken to be over, in
#: seconds. It is not settled if its host has failed.
SETTLE_SECONDS = 1.0
#: Multiple of the usual time after which a request without an end counts as
#: failed. Two in a hundred good answers take longer, about as many as a sound
#: upstream fails, so both say the same of it.
OVERDUE_FACTOR = 2.5
#: The least time of that kind, in seconds: a lost packet is sent again in it.
OVERDUE_SECONDS = 0.6
#: Time of a request if nothing is known, in seconds.
DEFAULT_SECONDS = 0.5
#: Time of silence after which a waiting request is dropped, in seconds; hosts
#: ask again several times a second.
ABANDONED_SECONDS = 1.0
#: Share of the sound upstreams of a service that stay in use.
DEFAULT_FLOOR_SHARE = 0.7
#: Least and most time to tell a refused caller to stay away, in seconds.
LEAST_RETRY_AFTER = 0.2
MOST_RETRY_AFTER = 3.0


class Allocator:
    """Places the requests of a region. Use :func:`create_allocator`."""

    def __init__(
        self,
        selector: selection.Selector,
        budget: budgets.SharedRetryBudget,
        floor: floors.FloorKeeper,
    ) -> None:
        """Start without open requests."""
        self.selector = selector
        self._budget = budget
        self.floor = floor
        self._numbers = itertools.count()
        self._leases: dict[identifiers.RequestId, leases.Lease] = {}
        self._waiting: dict[identifiers.RequestId, leases.Waiting] = {}
        self._decided: dict[identifiers.RequestId, leases.Decided] = {}

    def submit(self, need: messages.Need, now: float) -> messages.Answer:
        """Place a request, or tell that it waits or why it is refused.

        A host asks again with the same need while its request waits.
        """
        waiting = self._waiting.get(need.request)
        if waiting is not None:
            waiting.asked_at = now
            return messages.Answer(messages.Decision.WAITING)
        decided = self.take_decision(need.request)
        if decided is not None:
            return decided
        if need.is_repeat:
            if not self._budget.spend(need.service, now):
                return self._refuse(need, messages.Decision.NO_BUDGET, now)
        else:
            self._budget.add_request(need.service, now)
        return self._place_first(need, now)

    def settle(
        self,
        request: identifiers.RequestId,
        upstream: identifiers.UpstreamId,
        evidence: messages.Evidence,
        seconds: float,
        now: float,
    ) -> None:
        """End an open request and take what it showed of its upstream."""
        lease = self._leases.pop(request, None)
        self._waiting.pop(request, None)
        self._decided.pop(request, None)
        host = identifiers.HostId('')
        if lease is not None:
            host = lease.need.host
            self.selector.finish(lease.upstream)
            self._note_end(lease, evidence, now)
            if lease.is_overdue and evidence is messages.Evidence.BAD:
                return
            if lease.is_overdue and evidence is messages.Evidence.GOOD:
                self.selector.shared.withdraw_failure(upstream, now)
        self.selector.take_evidence(host, upstream, evidence, seconds, now)

    def drop_host(self, host: identifiers.HostId) -> None:
        """Forget the requests of a host that has started anew."""
        for request, lease in list(self._leases.items()):
            if lease.need.host == host:
                self._leases.pop(request)
                self.selector.finish(lease.upstream)
        for request, waiting in list(self._waiting.items()):
            if waiting.need.host == host:
                self._waiting.pop(request)

    def tick(self, now: float) -> list[identifiers.RequestId]:
        """Grant free slots to what waits; return what was decided."""
        self._end_overdue(now)
        self._drop_unheard(now)
        decided: list[identifiers.RequestId] = []
        ordered = sorted(self._waiting.values(), key=lambda one: one.order)
        blocked: set[identifiers.ServiceName] = set()
        for waiting in ordered:
            need = waiting.need
            if now - waiting.asked_at > ABANDONED_SECONDS:
                self._waiting.pop(need.request)
                continue
            is_behind = need.service in blocked
            answer = self._decide_waiting(waiting, now, is_behind=is_behind)
            if answer is None:
                blocked.add(need.service)
            else:
                self._waiting.pop(need.request)
                self._decided[need.request] = leases.Decided(answer, now)
                decided.append(need.request)
        return decided

    def take_decision(
        self,
        request: identifiers.RequestId,
    ) -> messages.Answer | None:
        """Return the decision on a request that waited."""
        decided = self._decided.pop(request, None)
        return None if decided is None else decided.answer

    def count_waiting(self) -> int:
        """Return the number of requests that wait."""
        return len(self._waiting)

    def _place_first(
        self,
        need: messages.Need,
        now: float,
    ) -> messages.Answer:
        order = self._find_order(need, now)
        ahead = self._count_ahead(need, order)
        answer = None
        if not ahead:
            answer = self._try(need, now, now)
        if answer is not None:
            return answer
        if not self._can_wait(need, ahead, now):
            return self._refuse(need, messages.Decision.NO_ROOM, now)
        self._waiting[need.request] = leases.Waiting(need, order, now, now)
        return messages.Answer(messages.Decision.WAITING)

    def _decide_waiting(
        self,
        waiting: leases.Waiting,
        now: float,
        *,
        is_behind: bool,
    ) -> messages.Answer | None:
        """Return the decision on a request that waits, if there is one.

        :param is_behind: whether an earlier one of its service goes on waiting.
        """
        need = waiting.need
        answer = None
        if not is_behind:
            answer = self._try(need, waiting.since, now)
        is_hopeless = need.deadline - now < self._find_seconds(need, now)
        if answer is None and is_hopeless:
            answer = self._refuse(need, messages.Decision.NO_ROOM, now)
        return answer

    def _find_order(self, need: messages.Need, now: float) -> leases.Order:
        """Return the place of a request among those that wait.

        One of a route with a timeout that leaves no time to wait goes first.
        Behind others with more time every request of such a route would be
        refused while the service is full.
        """
        seconds = self._find_seconds(need, now)
        can_wait = need.deadline - now > HASTY_FACTOR * seconds
        due = now + PRIORITY_SECONDS * need.priority
        return (can_wait, due, next(self._numbers))

    def _count_ahead(self, need: messages.Need, order: leases.Order) -> int:
        """Return how many others of the same service get a slot before."""
        return sum(
            waiting.need.service == need.service and waiting.order < order
            for waiting in self._waiting.values()
        )

    def _try(
        self,
        need: messages.Need,
        since: float,
        now: float,
    ) -> messages.Answer | None:
        """Return a grant or a refusal, or ``None`` if the request waits."""
        candidates = self._rate(need, now)
        if not candidates:
            return self._refuse(need, messages.Decision.NO_UPSTREAM, now)
        free = [one for one in candidates if not one.is_full]
        waited = (now - since) / need.objective
        limit = PATIENCE_COST + WAITED_COST * waited
        limit += min(_find_reluctance(one) for one in candidates)
        free = [one for one in free if _find_reluctance(one) <= limit]
        unused = self._find_unused(need, candidates, now)
        chosen = self.selector.draw(unused or free)
        if chosen is None:
            return None
        record = chosen.row.record
        self.floor.note_use(record.upstream, now)
        self._leases[need.request] = leases.Lease(
            need,
            record.upstream,
            now,
            is_for_floor=bool(unused),
        )
        self.selector.start(record.upstream)
        return messages.Answer(messages.Decision.GRANTED, record)

    def _rate(
        self,
        need: messages.Need,
        now: float,
    ) -> list[selection.Candidate]:
        """Return the upstreams that may take a request.

        One that could be repeated avoids risks like any other while the budget
        of repeated sends is short: its failure would be final.
        """
        if need.is_repeatable and not self._budget.is_ample(need.service, now):
            need = dataclasses.replace(need, is_repeatable=False)
        return self.selector.rate(need, now)

    def _find_unused(
        self,
        need: messages.Need,
        candidates: list[selection.Candidate],
        now: float,
    ) -> list[selection.Candidate]:
        """Return idle upstreams that have to be used for the floor.

        They come first while too few of the upstreams in the region that are
        likely to be sound are in use; all count while the service is strained.
        Large bodies do not leave their failure domain for it: the requests
        that start beside an idle upstream are enough.
        """
        is_strained = self.floor.is_strained(need.service, now)
        near = [one for one in candidates if one.is_near]
        sound = {
            one.row.record.upstream: 1.0 if is_strained else one.sound
            for one in near
        }
        idle = self.floor.find_idle(need.service, sound, now)
        return [
            one
            for one in near
            if one.row.record.upstream in idle
            and not one.is_full
            and one.distance < PATIENCE_COST
        ]

    def _note_end(
        self,
        lease: leases.Lease,
        evidence: messages.Evidence,
        now: float,
    ) -> None:
        if evidence is messages.Evidence.BAD:
            self.floor.note_failure(lease.upstream, now)
        if evidence is messages.Evidence.NONE or lease.is_for_floor:
            return
        is_served = evidence is messages.Evidence.GOOD
        if lease.need.is_repeatable and not is_served:
            # Its repeat decides whether it is served.
            return
        self.floor.note_end(lease.need.service, is_served, now)

    def _can_wait(
        self,
        need: messages.Need,
        ahead: int,
        now: float,
    ) -> bool:
        """Tell whether a slot is likely to become free in time.

        :param ahead: requests of the service that get one before it.
        """
        seconds = self._find_seconds(need, now)
        wait = self._find_wait(need, ahead, seconds)
        return now + wait + seconds < need.deadline

    def _find_wait(
        self,
        need: messages.Need,
        ahead: int,
        seconds: float,
    ) -> float:
        """Return the time until a request gets a slot, as estimated.

        :param ahead: requests of the service that get one before it.
        """
        rows = self.selector.registry.list_ready(need.service)
        slots = sum(row.record.slots for row in rows)
        return (ahead + 1) * seconds / max(slots, 1)

    def _find_seconds(self, need: messages.Need, now: float) -> float:
        usual = self.selector.find_usual_seconds(need.service, now)
        return usual or DEFAULT_SECONDS

    def _refuse(
        self,
        need: messages.Need,
        decision: messages.Decision,
        now: float,
    ) -> messages.Answer:
        """Refuse a request, with the time after which there may be room."""
        self.floor.note_end(need.service, False, now)
        order = self._find_order(need, now)
        ahead = self._count_ahead(need, order)
        wait = self._find_wait(need, ahead, self._find_seconds(need, now))
        retry_after = min(max(wait, LEAST_RETRY_AFTER), MOST_RETRY_AFTER)
        return messages.Answer(decision, None, retry_after)

    def _drop_unheard(self, now: float) -> None:
        """Drop decisions that no host has asked for; free their slots."""
        for request, decided in list(self._decided.items()):
            if now - decided.decided_at <= ABANDONED_SECONDS:
                continue
            self._decided.pop(request)
            lease = self._leases.pop(request, None)
            if lease is not None:
                self.selector.finish(lease.upstream)

    def _end_overdue(self, now: float) -> None:
        """Count late requests as failed, and end those of failed hosts."""
        for request, lease in list(self._leases.items()):
            if now > lease.need.deadline + SETTLE_SECONDS:
                self._leases.pop(request)
                self.selector.finish(lease.upstream)
                continue
            usual = self._find_seconds(lease.need, now)
            limit = max(OVERDUE_SECONDS, OVERDUE_FACTOR * usual)
            if not lease.is_overdue and now - lease.granted_at > limit:
                lease.is_overdue = True
                self.selector.take_evidence(
                    lease.need.host,
                    lease.upstream,
                    messages.Evidence.BAD,
                    0.0,
                    now,
                )


def _find_reluctance(candidate: selection.Candidate) -> float:
    """Return the cost of an upstream to a request that may wait instead."""
    return candidate.cost + DISTANCE_PATIENCE * candidate.distance


def create_allocator(
    selector: selection.Selector,
    budget: budgets.SharedRetryBudget,
    floor_share: float = DEFAULT_FLOOR_SHARE,
) -> Allocator:
    """Return an allocator without open requests.

    :param floor_share: of the upstreams that stay in use while requests fail.
    """
    floor = floors.FloorKeeper(floor_share)
    return Allocator(selector, budget, floor)
