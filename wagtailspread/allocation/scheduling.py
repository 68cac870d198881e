"""Queues of waiting requests and the order in which priorities get slots.

Each priority has a share of the slots. Its whole slots are granted while fewer
are in use; the fraction left over is granted as one more slot for that
fraction of the time. What a priority does not use goes to the most urgent one
that waits.
"""

import collections
import dataclasses
import heapq

from wagtailspread.allocation import messages
from wagtailspread.core import identifiers, priorities

#: Bound of the credit for fractions of a slot, in slot-seconds.
_CREDIT_BOUND = 1.0
#: A share such as 0.3 of 10 slots is not exactly 3 in binary.
_ROUNDING = 1e-9
#: Requests in one queue that are tried when the first ones exclude all
#: upstreams with a free slot.
_LOOK_AHEAD = 8
_OUTDATED_MINIMUM = 64


@dataclasses.dataclass(slots=True, eq=False)
class Waiting:
    """A request in a queue.

    :param submitted: when it was queued, in seconds.
    :param latest_start: when it is dropped, in seconds.
    """

    request: messages.SlotRequest
    domain: identifiers.FailureDomain
    sequence: int
    submitted: float
    latest_start: float
    is_open: bool = True


_Queue = collections.OrderedDict[identifiers.RequestId, Waiting]


class Shares:
    """Slots in use by priority, against the configured shares."""

    def __init__(self, shares: tuple[float, ...]) -> None:
        """Start with no slots.

        :param shares: of the slots, by priority.
        """
        self.in_use = [0 for _ in shares]
        self._shares = shares
        self._wholes = [0 for _ in shares]
        self._fractions = [0.0 for _ in shares]
        self._credits = [0.0 for _ in shares]
        self._updated = [0.0 for _ in shares]

    def change(self, shares: tuple[float, ...]) -> None:
        """Take other shares, from the next resize on."""
        self._shares = shares

    def resize(self, total: int, now: float) -> None:
        """Set the number of slots that all priorities share."""
        for priority in priorities.Priority:
            self._accrue(priority, now)
            guarantee = self._shares[priority] * total
            whole = int(guarantee + _ROUNDING)
            self._wholes[priority] = whole
            self._fractions[priority] = max(0.0, guarantee - whole)

    def acquire(self, priority: priorities.Priority, now: float) -> None:
        """Count one more slot in use."""
        if self.in_use[priority] == self._wholes[priority]:
            self._accrue(priority, now)
        self.in_use[priority] += 1

    def release(self, priority: priorities.Priority, now: float) -> None:
        """Count one slot less in use."""
        if self.in_use[priority] == self._wholes[priority] + 1:
            self._accrue(priority, now)
        self.in_use[priority] -= 1

    def estimate_slots(self, priority: priorities.Priority) -> float:
        """Return the slots that work of this priority currently gets."""
        guarantee = self._wholes[priority] + self._fractions[priority]
        return max(1.0, guarantee, self.in_use[priority])

    def is_entitled(self, priority: priorities.Priority, now: float) -> bool:
        """Return whether the priority has less than its share."""
        excess = self.in_use[priority] - self._wholes[priority]
        if excess:
            return excess < 0
        self._accrue(priority, now)
        return self._credits[priority] > 0

    def _accrue(self, priority: priorities.Priority, now: float) -> None:
        """Earn the fraction of a slot, and pay for one above the whole."""
        elapsed = now - self._updated[priority]
        self._updated[priority] = now
        rate = self._fractions[priority]
        if self.in_use[priority] > self._wholes[priority]:
            rate -= 1
        credit = self._credits[priority] + rate * elapsed
        bounded = min(_CREDIT_BOUND, max(-_CREDIT_BOUND, credit))
        self._credits[priority] = bounded


class Queues:
    """Waiting requests, by priority and failure domain of the caller."""

    def __init__(self) -> None:
        """Start empty."""
        self.counts = [0 for _ in priorities.Priority]
        self._waiting: dict[identifiers.RequestId, Waiting] = {}
        self._queues: list[dict[identifiers.FailureDomain, _Queue]] = [
            {} for _ in priorities.Priority
        ]
        self._ends: list[tuple[float, int, Waiting]] = []
        self._sequence = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def find(self, request: identifiers.RequestId) -> Waiting | None:
        """Return the waiting request with this id."""
        return self._waiting.get(request)

    def add(
        self,
        request: messages.SlotRequest,
        domain: identifiers.FailureDomain,
        latest_start: float,
        now: float,
    ) -> None:
        """Append a request.

        :param domain: failure domain whose view of the upstreams it uses.
        :param latest_start: when it is dropped, in seconds.
        """
        self._sequence += 1
        waiting = Waiting(request, domain, self._sequence, now, latest_start)
        self._waiting[request.request] = waiting
        queues = self._queues[request.priority]
        queue = queues.setdefault(domain, collections.OrderedDict())
        queue[request.request] = waiting
        self.counts[request.priority] += 1
        if len(self._ends) > 2 * len(self._waiting) + _OUTDATED_MINIMUM:
            self._ends = [end for end in self._ends if end[2].is_open]
            heapq.heapify(self._ends)
        heapq.heappush(self._ends, (latest_start, self._sequence, waiting))

    def remove(self, waiting: Waiting) -> None:
        """Take a request out."""
        request = waiting.request
        waiting.is_open = False
        del self._waiting[request.request]
        queues = self._queues[request.priority]
        queue = queues[waiting.domain]
        del queue[request.request]
        if not queue:
            del queues[waiting.domain]
        self.counts[request.priority] -= 1

    def expire(self, now: float) -> list[Waiting]:
        """Take out the requests that would start too late."""
        expired = []
        while self._ends and self._ends[0][0] < now:
            waiting = heapq.heappop(self._ends)[2]
            if waiting.is_open:
                self.remove(waiting)
                expired.append(waiting)
        return expired

    def list_domain(self, domain: identifiers.FailureDomain) -> list[Waiting]:
        """Return all requests of one failure domain."""
        return [
            waiting
            for queues in self._queues
            for waiting in queues.get(domain, {}).values()
        ]

    def list_fingerprint(self, fingerprint: bytes) -> list[Waiting]:
        """Return all requests with this fingerprint."""
        return [
            waiting
            for waiting in self._waiting.values()
            if waiting.request.fingerprint == fingerprint
        ]

    def list_fronts(
        self,
        priority: priorities.Priority,
    ) -> list[list[Waiting]]:
        """Return the first requests of each domain, the oldest front first."""
        fronts = [
            _take_front(queue) for queue in self._queues[priority].values()
        ]
        fronts.sort(key=_front_sequence)
        return fronts


def _front_sequence(front: list[Waiting]) -> int:
    return front[0].sequence


def _take_front(queue: _Queue) -> list[Waiting]:
    front = []
    for waiting in queue.values():
        front.append(waiting)
        if not waiting.request.excluded or len(front) == _LOOK_AHEAD:
            break
    return front
