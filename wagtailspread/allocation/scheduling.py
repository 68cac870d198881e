"""Queues of waiting requests, and shares of the slots by priority.

Each priority has a share of the slots. It may use the integral part of the
share at any time, and one more slot for the fraction of the time that equals
the fractional part. Slots that a priority does not use go to the most urgent
priority with waiting requests.
"""

import collections
import dataclasses
import heapq

from wagtailspread.allocation import messages
from wagtailspread.core import identifiers, priorities

#: Limit of the credit for fractions of a slot, in slot-seconds.
_MAX_CREDIT_SLOT_SECONDS = 1.0
#: Tolerance in slots: 0.3 of 10 slots is not exactly 3 in binary.
_ROUNDING_TOLERANCE = 1e-9
#: Maximum number of requests at the head of a queue that are considered, since
#: the first ones may exclude all upstreams with a free slot.
_MAX_HEAD_REQUESTS = 8
#: Entries that the heap may contain beside two for each waiting request, before
#: those of removed requests are deleted.
_MAX_EXTRA_ENTRIES = 64


@dataclasses.dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request in a queue.

    :param domain: failure domain of the view that the request uses.
    :param sequence: position in the order of arrival.
    :param submitted_at: time in seconds at which it was queued.
    :param latest_start: time in seconds at which it is dropped.
    :param is_queued: whether it was neither granted, refused nor cancelled.
    """

    request: messages.SlotRequest
    domain: identifiers.FailureDomain
    sequence: int
    submitted_at: float
    latest_start: float
    is_queued: bool = True


_DomainQueue = collections.OrderedDict[identifiers.RequestId, WaitingRequest]


class Shares:
    """Slots in use and configured share of each priority."""

    def __init__(self, shares: tuple[float, ...]) -> None:
        """Start without slots.

        :param shares: share of the slots for each priority.
        """
        self.in_use = [0 for _ in shares]
        self._shares = shares
        self._whole_slots = [0 for _ in shares]
        self._slot_fractions = [0.0 for _ in shares]
        self._credits = [0.0 for _ in shares]
        self._updated_at = [0.0 for _ in shares]

    def change_shares(self, shares: tuple[float, ...]) -> None:
        """Change the shares; the next :meth:`resize` applies them."""
        self._shares = shares

    def resize(self, total: int, now: float) -> None:
        """Set the total number of slots of all priorities."""
        for priority in priorities.Priority:
            self._accrue(priority, now)
            guarantee = self._shares[priority] * total
            whole_slots = int(guarantee + _ROUNDING_TOLERANCE)
            self._whole_slots[priority] = whole_slots
            self._slot_fractions[priority] = max(0.0, guarantee - whole_slots)

    def acquire(self, priority: priorities.Priority, now: float) -> None:
        """Add a slot in use."""
        if self.in_use[priority] == self._whole_slots[priority]:
            self._accrue(priority, now)
        self.in_use[priority] += 1

    def release(self, priority: priorities.Priority, now: float) -> None:
        """Subtract a slot in use."""
        if self.in_use[priority] == self._whole_slots[priority] + 1:
            self._accrue(priority, now)
        self.in_use[priority] -= 1

    def estimate_slots(self, priority: priorities.Priority) -> float:
        """Return the number of slots available to a priority, at least 1."""
        guarantee = self._whole_slots[priority] + self._slot_fractions[priority]
        return max(1.0, guarantee, self.in_use[priority])

    def is_entitled(self, priority: priorities.Priority, now: float) -> bool:
        """Return whether the priority uses less than its share."""
        excess = self.in_use[priority] - self._whole_slots[priority]
        if excess:
            return excess < 0
        self._accrue(priority, now)
        return self._credits[priority] > 0

    def _accrue(self, priority: priorities.Priority, now: float) -> None:
        """Add credit for the fraction, and charge a slot above the integer."""
        elapsed = now - self._updated_at[priority]
        self._updated_at[priority] = now
        rate = self._slot_fractions[priority]
        if self.in_use[priority] > self._whole_slots[priority]:
            rate -= 1
        credit = self._credits[priority] + rate * elapsed
        bounded = min(
            _MAX_CREDIT_SLOT_SECONDS, max(-_MAX_CREDIT_SLOT_SECONDS, credit)
        )
        self._credits[priority] = bounded


class Queues:
    """Waiting requests, by priority and failure domain of the caller."""

    def __init__(self) -> None:
        """Create empty queues."""
        self.counts = [0 for _ in priorities.Priority]
        self._waiting: dict[identifiers.RequestId, WaitingRequest] = {}
        self._queues: list[dict[identifiers.FailureDomain, _DomainQueue]] = [
            {} for _ in priorities.Priority
        ]
        self._expiries: list[tuple[float, int, WaitingRequest]] = []
        self._sequence = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def find(self, request: identifiers.RequestId) -> WaitingRequest | None:
        """Return the waiting request with this id."""
        return self._waiting.get(request)

    def add(
        self,
        request: messages.SlotRequest,
        domain: identifiers.FailureDomain,
        latest_start: float,
        now: float,
    ) -> None:
        """Append a request to the queue of its priority and failure domain.

        :param domain: failure domain of the view that the request uses.
        :param latest_start: time in seconds at which it is dropped.
        """
        self._sequence += 1
        waiting = WaitingRequest(
            request, domain, self._sequence, now, latest_start
        )
        self._waiting[request.request] = waiting
        queues = self._queues[request.priority]
        queue = queues.setdefault(domain, collections.OrderedDict())
        queue[request.request] = waiting
        self.counts[request.priority] += 1
        if len(self._expiries) > 2 * len(self._waiting) + _MAX_EXTRA_ENTRIES:
            self._expiries = [
                entry for entry in self._expiries if entry[2].is_queued
            ]
            heapq.heapify(self._expiries)
        heapq.heappush(self._expiries, (latest_start, self._sequence, waiting))

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a request from its queue."""
        request = waiting.request
        waiting.is_queued = False
        del self._waiting[request.request]
        queues = self._queues[request.priority]
        queue = queues[waiting.domain]
        del queue[request.request]
        if not queue:
            del queues[waiting.domain]
        self.counts[request.priority] -= 1

    def expire(self, now: float) -> list[WaitingRequest]:
        """Remove and return the requests that would start too late."""
        expired = []
        while self._expiries and self._expiries[0][0] < now:
            waiting = heapq.heappop(self._expiries)[2]
            if waiting.is_queued:
                self.remove(waiting)
                expired.append(waiting)
        return expired

    def list_domain(
        self, domain: identifiers.FailureDomain
    ) -> list[WaitingRequest]:
        """Return all waiting requests of one failure domain."""
        return [
            waiting
            for queues in self._queues
            for waiting in queues.get(domain, {}).values()
        ]

    def list_fingerprint(self, fingerprint: bytes) -> list[WaitingRequest]:
        """Return all waiting requests with this fingerprint."""
        return [
            waiting
            for waiting in self._waiting.values()
            if waiting.request.fingerprint == fingerprint
        ]

    def list_heads(
        self,
        priority: priorities.Priority,
    ) -> list[list[WaitingRequest]]:
        """Return the head of each queue, the oldest one first."""
        heads = [_list_head(queue) for queue in self._queues[priority].values()]
        heads.sort(key=_get_head_sequence)
        return heads


def _get_head_sequence(head: list[WaitingRequest]) -> int:
    return head[0].sequence


def _list_head(queue: _DomainQueue) -> list[WaitingRequest]:
    """Return the requests up to the first that excludes no upstream."""
    head = []
    for waiting in queue.values():
        head.append(waiting)
        if not waiting.request.excluded or len(head) == _MAX_HEAD_REQUESTS:
            break
    return head
