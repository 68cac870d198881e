"""Choice of upstreams by a host that decides without an allocator.

Such a host sends an upstream at most as many requests at a time as it has
slots. The others wait for a slot, by priority and then in the order of their
arrival. Without this limit, a burst of requests takes as many connections, and
an upstream that holds more than it can run may run out of memory.
"""

import asyncio
import contextlib
import heapq
import itertools
import typing

from wagtailspread.core import clocks, identifiers
from wagtailspread.placement import budgets, messages, permits, selection

#: Time after which a waiting request asks the allocators again, in seconds.
RECHECK_SECONDS = 0.25
#: Least time between the start of an attempt and the deadline, in seconds.
MIN_ATTEMPT_SECONDS = 0.02


class _Waiter(typing.NamedTuple):
    """A request that waits for a slot; sorted by priority and arrival."""

    priority: int
    number: int
    woken: asyncio.Event


class LonePlacer:
    """Places the requests of a host that decides alone.

    Use :func:`create_lone_placer`.

    :param permits: parts of the caps that the host may use.
    """

    def __init__(
        self,
        selector: selection.Selector,
        budget: budgets.SharedRetryBudget,
        lone_permits: permits.LonePermits,
        clock: clocks.Clock,
    ) -> None:
        """Create a placer without requests that wait."""
        self.permits = lone_permits
        self._selector = selector
        self._budget = budget
        self._clock = clock
        self._numbers = itertools.count()
        self._waiters: dict[identifiers.ServiceName, list[_Waiter]] = {}

    def create_number(self) -> int:
        """Return the position of a request in the order of arrival."""
        return next(self._numbers)

    def count_waiting(self) -> int:
        """Return the number of requests that wait for a slot."""
        return sum(len(waiters) for waiters in self._waiters.values())

    async def place(
        self, request: messages.PlacementRequest, number: int
    ) -> messages.Answer:
        """Choose an upstream, or wait for a slot for a limited time.

        :param number: position of the request in the order of arrival.
        :returns: ``WAITING`` if no slot became free in this time.
        """
        if self._waiters.get(request.service):
            answer = self._check_wait(request)
        else:
            answer = self.choose(request)
        if answer.decision is not messages.Decision.WAITING:
            return answer
        await self._wait(request, number)
        answer = self.choose(request)
        if answer.decision is messages.Decision.GRANTED:
            # Several slots may have become free since this request was woken.
            self.wake(request.service)
        return answer

    def choose(self, request: messages.PlacementRequest) -> messages.Answer:
        """Choose an upstream with a free slot, without waiting.

        :returns: ``WAITING`` if there is none now, but may be in time.
        """
        now = self._clock.now()
        candidates = self._selector.rate(request, now)
        free = [one for one in candidates if not one.is_full]
        if candidates and not free:
            return self._check_wait(request)
        refusal = self._admit(request, now)
        if refusal is not None:
            return refusal
        chosen = self._selector.draw(free)
        if chosen is None:
            self.permits.give_back(request, now)
            end = self._selector.find_hold_end(request, now)
            if end is None:
                return messages.Answer(messages.Decision.NO_UPSTREAM)
            return messages.Answer(messages.Decision.NO_ROOM, None, end - now)
        record = chosen.row.record
        self._selector.start(record.upstream)
        return messages.Answer(messages.Decision.GRANTED, record)

    def wake(self, service: identifiers.ServiceName) -> None:
        """Let the first waiting request use a slot that became free."""
        waiters = self._waiters.get(service)
        if waiters:
            waiters[0].woken.set()

    def _admit(
        self, request: messages.PlacementRequest, now: float
    ) -> messages.Answer | None:
        """Count a request for its cap and the budget, or return a refusal."""
        refusal = self.permits.take(request, now)
        if refusal is not None:
            return refusal
        if request.is_repeat:
            if not self._budget.spend(request.service, now):
                self.permits.give_back(request, now)
                return messages.Answer(messages.Decision.NO_BUDGET)
        elif not request.is_counted:
            self._budget.add_request(request.service, now)
        return None

    def _check_wait(
        self, request: messages.PlacementRequest
    ) -> messages.Answer:
        """Refuse a request that would get its slot too late."""
        now = self._clock.now()
        slots = sum(self._selector.find_slots(request.service, now).values())
        ahead = sum(
            one.priority <= request.priority
            for one in self._waiters.get(request.service, ())
        )
        typical = self._selector.find_typical_seconds(request.service, now)
        wait = typical * (1 + ahead) / max(1, slots)
        least = max(typical, MIN_ATTEMPT_SECONDS)
        if now + wait + least >= request.deadline:
            return messages.Answer(messages.Decision.NO_ROOM, None, wait)
        return messages.Answer(messages.Decision.WAITING)

    async def _wait(
        self, request: messages.PlacementRequest, number: int
    ) -> None:
        waiters = self._waiters.setdefault(request.service, [])
        waiter = _Waiter(request.priority, number, asyncio.Event())
        heapq.heappush(waiters, waiter)
        left = request.deadline - self._clock.now() - MIN_ATTEMPT_SECONDS
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(RECHECK_SECONDS, left)):
                    await waiter.woken.wait()
        finally:
            self._remove(request.service, waiter)

    def _remove(
        self, service: identifiers.ServiceName, waiter: _Waiter
    ) -> None:
        waiters = self._waiters[service]
        waiters.remove(waiter)
        heapq.heapify(waiters)
        if not waiters:
            self._waiters.pop(service)


def create_lone_placer(
    selector: selection.Selector,
    budget: budgets.SharedRetryBudget,
    lone_permits: permits.LonePermits,
    clock: clocks.Clock,
) -> LonePlacer:
    """Return a placer without requests."""
    return LonePlacer(selector, budget, lone_permits, clock)
