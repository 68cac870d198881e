"""Slots of other regions, within a budget of bytes on the link.

A request goes to another region only when its own refuses it for lack of
capacity. The link is narrow and paid by volume: the less urgent a request, the
more of the budget must be left for it to use the link.
"""

import dataclasses
import typing

from returns import result

from wagtailspread.core import clocks, failures, identifiers, outcomes
from wagtailspread.core import priorities
from wagtailspread.entry import interfaces, slots

#: Time whose bytes may be sent at once, in seconds.
BURST_SECONDS = 2.0
#: Bytes assumed of a request until some were measured.
FIRST_ESTIMATE_BYTES = 8192.0
#: Weight of the newest request in the estimate.
_ESTIMATE_WEIGHT = 0.1
#: Share of the burst that must be left, by priority.
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
    """Bytes that this host may send and receive over a link.

    >>> budget = LinkBudget(1000.0)
    >>> budget.take(priorities.Priority.BULK, 500.0, 0.0)
    True
    >>> budget.take(priorities.Priority.BULK, 500.0, 0.0)
    False
    >>> budget.take(priorities.Priority.URGENT, 500.0, 0.0)
    True

    :param rate: bytes per second, both ways together.
    """

    def __init__(self, rate: float) -> None:
        """Start with a full burst."""
        self._rate = rate
        self._burst = rate * BURST_SECONDS
        self._available_bytes = self._burst
        self._filled_at = 0.0

    def change_rate(self, rate: float) -> None:
        """Take another rate in bytes per second; 0 allows nothing."""
        self._rate = rate
        self._burst = rate * BURST_SECONDS
        self._available_bytes = min(self._available_bytes, self._burst)

    def take(
        self,
        priority: priorities.Priority,
        size: float,
        now: float,
    ) -> bool:
        """Take bytes if the priority may; tell whether it did.

        :param size: expected bytes, both ways.
        """
        gained = (now - self._filled_at) * self._rate
        self._available_bytes = min(self._burst, self._available_bytes + gained)
        self._filled_at = now
        if self._available_bytes - size < _RESERVES[priority] * self._burst:
            return False
        self._available_bytes -= size
        return True

    def adjust(self, size: float) -> None:
        """Take further bytes that were used, or give back a negative size."""
        self._available_bytes -= size


@dataclasses.dataclass(slots=True)
class _Spilled:
    """A lease of another region."""

    source: interfaces.SlotSource
    expected: float
    priority: priorities.Priority


#: Counts bytes between regions by priority.
ByteCounter = typing.Callable[[priorities.Priority, int], None]


class SpillSource:
    """Slots of the own region, else of others.

    :param home: gives the slots of the own region.
    :param others: give the slots of the other regions, in order.
    :param note_bytes: is told of the bytes between regions, both ways.
    """

    def __init__(
        self,
        home: interfaces.SlotSource,
        others: typing.Sequence[interfaces.SlotSource],
        budget: LinkBudget,
        clock: clocks.Clock,
        note_bytes: ByteCounter | None = None,
    ) -> None:
        """Start with no leases of other regions."""
        self._note_bytes = note_bytes
        self._home = home
        self._others = others
        self._budget = budget
        self._clock = clock
        self._estimates: dict[identifiers.ServiceName, float] = {}
        self._spilled: dict[identifiers.RequestId, _Spilled] = {}

    async def acquire(
        self,
        service: identifiers.ServiceName,
        request: slots.SlotRequest,
    ) -> Decision:
        """Return a slot of the own region or, for lack of it, of another."""
        decision = await self._home.acquire(service, request)
        if isinstance(decision, result.Success):
            return decision
        if decision.failure().reason not in _CAPACITY_REASONS:
            return decision
        if not self._others or request.deadline <= self._clock.now():
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
        """Return a lease to the region that granted it."""
        spilled = self._spilled.pop(grant.request, None)
        if spilled is None:
            self._home.complete(service, grant, ended, seconds, transferred)
            return
        if self._note_bytes is not None:
            self._note_bytes(spilled.priority, transferred)
        self._budget.adjust(transferred - spilled.expected)
        known = self._estimates.get(service, FIRST_ESTIMATE_BYTES)
        difference = transferred - known
        self._estimates[service] = known + _ESTIMATE_WEIGHT * difference
        spilled.source.complete(service, grant, ended, seconds, transferred)

    async def _spill(
        self,
        service: identifiers.ServiceName,
        request: slots.SlotRequest,
        refused: Decision,
    ) -> Decision:
        expected = self._estimates.get(service, FIRST_ESTIMATE_BYTES)
        now = self._clock.now()
        if not self._budget.take(request.priority, expected, now):
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
        for source in self._others:
            decision = await source.acquire(service, request)
            if isinstance(decision, result.Success):
                self._spilled[request.request] = _Spilled(
                    source,
                    expected,
                    request.priority,
                )
                return decision.unwrap()
        return None
