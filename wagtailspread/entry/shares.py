"""Slots that a host allocates by itself while no owner answers.

The host uses at most its share of the slots of each upstream, but at least one
slot, and only upstreams with unexpired rows. It ejects no upstreams and grants
no retries.
"""

import asyncio
import collections
import heapq
import itertools
import typing

from returns import result

from wagtailspread.core import clocks, failures, identifiers, outcomes
from wagtailspread.entry import rows, slots

#: Largest number of requests that wait for a slot of the local share.
MAX_WAITING_REQUESTS = 64
#: Time from the deadline of a request to the expiry of its lease, in seconds.
LEASE_MARGIN_SECONDS = 1.0

Decision = result.Result[slots.Grant, failures.Refusal]


class LocalShare:
    """This host's share of the slots of one service.

    :param count_hosts: returns the number of hosts that share the slots.
    """

    def __init__(
        self,
        table: rows.RowTable,
        domain: identifiers.FailureDomain,
        count_hosts: typing.Callable[[], int],
        clock: clocks.Clock,
    ) -> None:
        """Start with no leases."""
        self._table = table
        self._domain = domain
        self._count_hosts = count_hosts
        self._clock = clock
        self._used: collections.Counter[identifiers.UpstreamId] = (
            collections.Counter()
        )
        self._waiting: list[
            tuple[int, int, slots.SlotRequest, asyncio.Future[slots.Grant]]
        ] = []
        self._order = itertools.count()
        self._ids = itertools.count(1)

    async def acquire(self, request: slots.SlotRequest) -> Decision:
        """Return a slot of the local share, waiting for one if necessary."""
        if request.attempt > 1:
            return _refuse(request, outcomes.RefusalReason.RETRY_BUDGET)
        grant = self._grant(request)
        if grant is not None:
            return result.Success(grant)
        if not self._list_usable(request):
            return _refuse(request, outcomes.RefusalReason.NO_CAPACITY)
        if len(self._waiting) >= MAX_WAITING_REQUESTS:
            self._remove_finished()
        if len(self._waiting) >= MAX_WAITING_REQUESTS:
            return _refuse(request, outcomes.RefusalReason.QUEUE_FULL)
        return await self._wait(request)

    def complete(self, upstream: identifiers.UpstreamId) -> None:
        """Release a slot and grant it to the most urgent waiting request."""
        self._used[upstream] -= 1
        if self._used[upstream] <= 0:
            self._used.pop(upstream)
        while self._waiting:
            _, _, request, answer = self._waiting[0]
            if answer.done():
                heapq.heappop(self._waiting)
                continue
            grant = self._grant(request)
            if grant is None:
                return
            heapq.heappop(self._waiting)
            answer.set_result(grant)

    async def _wait(self, request: slots.SlotRequest) -> Decision:
        answer: asyncio.Future[slots.Grant] = (
            asyncio.get_running_loop().create_future()
        )
        entry = (int(request.priority), next(self._order), request, answer)
        heapq.heappush(self._waiting, entry)
        is_received = False
        try:
            async with asyncio.timeout_at(request.deadline):
                grant = await answer
                is_received = True
        except TimeoutError:
            reason = outcomes.RefusalReason.DEADLINE_UNREACHABLE
            return _refuse(request, reason)
        finally:
            if not is_received and answer.done() and not answer.cancelled():
                self.complete(answer.result().upstream)
        return result.Success(grant)

    def _remove_finished(self) -> None:
        self._waiting = [
            entry for entry in self._waiting if not entry[3].done()
        ]
        heapq.heapify(self._waiting)

    def _grant(self, request: slots.SlotRequest) -> slots.Grant | None:
        count = max(1, self._count_hosts())
        free = [
            row
            for row in self._list_usable(request)
            if self._used[row.upstream] < max(1, row.slots // count)
        ]
        if not free:
            return None
        row = min(free, key=self._compute_preference)
        self._used[row.upstream] += 1
        return slots.Grant(
            request.request,
            identifiers.LeaseId(-next(self._ids)),
            row.upstream,
            row.address,
            request.deadline + LEASE_MARGIN_SECONDS,
        )

    def _compute_preference(
        self, row: slots.Announcement
    ) -> tuple[bool, float]:
        load = self._used[row.upstream] / max(1, row.slots)
        return row.domain != self._domain, load

    def _list_usable(
        self,
        request: slots.SlotRequest,
    ) -> list[slots.Announcement]:
        return [
            row
            for row in self._table.list_rows(self._clock.now())
            if row.state is slots.UpstreamState.READY
            and row.upstream not in request.excluded
        ]


def _refuse(
    request: slots.SlotRequest,
    reason: outcomes.RefusalReason,
) -> Decision:
    return result.Failure(failures.Refusal(request.request, reason))
