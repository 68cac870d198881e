"""Slots of other regions, within a byte budget of the link between them.

A request is sent to another region only when the local region refuses it for
lack of capacity. The link has little bandwidth and is charged by volume: the
less urgent a request is, the more of the budget must be available for it to
use the link.
"""

import dataclasses
import typing

from returns import result

from wagtailspread.core import clocks, failures, identifiers, outcomes
from wagtailspread.core import priorities
from wagtailspread.entry import interfaces, slots

#: Size of a full burst, as the time that the rate takes to refill it, in
#: seconds.
BURST_SECONDS = 2.0
#: Assumed size of a request and its answer until one is measured, in bytes.
INITIAL_ESTIMATE_BYTES = 8192.0
#: Weight of the latest request in the moving average of the size.
_ESTIMATE_WEIGHT = 0.1
#: Share of the burst that must remain available, by priority.
_RESERVES = {
    priorities.Priority.URGENT: 0.0,
    priorities.Priority.STANDARD: 1 / 3,
    priorities.Priority.BULK: 2 / 3,
}
_CAPACITY_REASONS = frozenset(
    (
        outcomes.RefusalReason.NO_CAPACITY,
        outcomes.RefusalReason.QUEUE_FULL,
        outcomes.RefusalReason.DEADLINE_UNREACHABLE,
    )
)

Decision = result.Result[slots.Grant, failures.Refusal]


class LinkBudget:
    """Token bucket of the bytes that this host may transfer over a link.

    >>> budget = LinkBudget(1000.0)
    >>> budget.consume(priorities.Priority.BULK, 500.0, 0.0)
    True
    >>> budget.consume(priorities.Priority.BULK, 500.0, 0.0)
    False
    >>> budget.consume(priorities.Priority.URGENT, 500.0, 0.0)
    True

    :param rate: bytes per second, both directions together.
    """

    def __init__(self, rate: float) -> None:
        """Start with a full burst."""
        self._rate = rate
        self._burst = rate * BURST_SECONDS
        self._available_bytes = self._burst
        self._refilled_at = 0.0

    def change_rate(self, rate: float) -> None:
        """Set a new rate in bytes per second; 0 allows no bytes."""
        self._rate = rate
        self._burst = rate * BURST_SECONDS
        self._available_bytes = min(self._available_bytes, self._burst)

    def consume(
        self,
        priority: priorities.Priority,
        size: float,
        now: float,
    ) -> bool:
        """Consume bytes if the priority permits it; return whether it does.

        :param size: expected bytes, both directions together.
        """
        refilled = (now - self._refilled_at) * self._rate
        self._available_bytes = min(
            self._burst, self._available_bytes + refilled
        )
        self._refilled_at = now
        if self._available_bytes - size < _RESERVES[priority] * self._burst:
            return False
        self._available_bytes -= size
        return True

    def adjust(self, size: float) -> None:
        """Consume ``size`` more bytes, or return bytes if it is negative."""
        self._available_bytes -= size


@dataclasses.dataclass(slots=True)
class _SpilledLease:
    """A lease granted by another region.

    :param expected: number of bytes consumed from the budget.
    """

    source: interfaces.SlotSource
    expected: float
    priority: priorities.Priority


#: Counts bytes transferred between regions, by priority.
ByteCounter = typing.Callable[[priorities.Priority, int], None]


class SpillSource:
    """Slots of the local region or, for lack of them, of others.

    :param local: source of the slots of the local region.
    :param remotes: sources of the slots of other regions, tried in order.
    :param count_bytes: receives the bytes transferred between regions, both
        directions together.
    """

    def __init__(
        self,
        local: interfaces.SlotSource,
        remotes: typing.Sequence[interfaces.SlotSource],
        budget: LinkBudget,
        clock: clocks.Clock,
        count_bytes: ByteCounter | None = None,
    ) -> None:
        """Start without leases of other regions."""
        self._count_bytes = count_bytes
        self._local = local
        self._remotes = remotes
        self._budget = budget
        self._clock = clock
        self._estimates: dict[identifiers.ServiceName, float] = {}
        self._spilled: dict[identifiers.RequestId, _SpilledLease] = {}

    async def acquire(
        self,
        service: identifiers.ServiceName,
        request: slots.SlotRequest,
    ) -> Decision:
        """Return a slot of the local region or, for lack of one, of another."""
        decision = await self._local.acquire(service, request)
        if isinstance(decision, result.Success):
            return decision
        if decision.failure().reason not in _CAPACITY_REASONS:
            return decision
        if not self._remotes or request.deadline <= self._clock.now():
            return decision
        return await self._spill(service, request, decision)

    def complete(
        self,
        service: identifiers.ServiceName,
        grant: slots.Grant,
        ended: outcomes.ExchangeResult,
        seconds: float,
        transferred: int = 0,
    ) -> None:
        """Release a lease in the region that granted it."""
        spilled = self._spilled.pop(grant.request, None)
        if spilled is None:
            self._local.complete(service, grant, ended, seconds, transferred)
            return
        if self._count_bytes is not None:
            self._count_bytes(spilled.priority, transferred)
        self._budget.adjust(transferred - spilled.expected)
        estimate = self._estimates.get(service, INITIAL_ESTIMATE_BYTES)
        difference = transferred - estimate
        self._estimates[service] = estimate + _ESTIMATE_WEIGHT * difference
        spilled.source.complete(service, grant, ended, seconds, transferred)

    async def _spill(
        self,
        service: identifiers.ServiceName,
        request: slots.SlotRequest,
        refused: Decision,
    ) -> Decision:
        expected = self._estimates.get(service, INITIAL_ESTIMATE_BYTES)
        now = self._clock.now()
        if not self._budget.consume(request.priority, expected, now):
            return result.Failure(
                failures.Refusal(
                    request.request,
                    outcomes.RefusalReason.LINK_BUDGET,
                    refused.failure().retry_after,
                ),
            )
        granted: slots.Grant | None = None
        try:
            granted = await self._acquire_remote(service, request, expected)
        finally:
            if granted is None:
                self._budget.adjust(-expected)
        return refused if granted is None else result.Success(granted)

    async def _acquire_remote(
        self,
        service: identifiers.ServiceName,
        request: slots.SlotRequest,
        expected: float,
    ) -> slots.Grant | None:
        for source in self._remotes:
            decision = await source.acquire(service, request)
            if isinstance(decision, result.Success):
                self._spilled[request.request] = _SpilledLease(
                    source,
                    expected,
                    request.priority,
                )
                return decision.unwrap()
        return None
