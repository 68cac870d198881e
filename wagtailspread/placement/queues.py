"""Queued requests, with one sorted structure for each service.

The position of a request and the work ahead of it come from a binary search, so
the cost of a request hardly depends on the length of the queue.
"""

import bisect
import itertools
import math
import typing

from wagtailspread.core import identifiers
from wagtailspread.placement import fairness, leases

#: Sizes of bodies are told apart up to a factor of four, from 4 KiB on.
_SMALL_BODY_BITS = 12
_MAX_SIZE_CLASS = 8
#: Time for which a shape that no upstream took is not tried, in seconds, unless
#: its first request is the first of the queue.
RETRY_SECONDS = 0.05


class ServiceQueue:
    """The queue of one service. Use :func:`create_queues`.

    :param fair_clock: start tags of its workspaces.
    :param swept_at: when it was last checked as a whole, in seconds.
    :param backlogged_since: when it was last empty, in seconds.
    :param held: requests of hosts that all upstreams hold back, by number.
    :param repeats: number of requests that were sent before.
    :param slots: usable ones when it was last checked as a whole.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self.fair_clock = fairness.create_clock()
        self.swept_at = -math.inf
        self.backlogged_since = math.inf
        self.held: dict[int, leases.WaitingRequest] = {}
        self.repeats = 0
        self.slots = 0
        self._orders: list[leases.QueueOrder] = []
        self._works: list[float] = []
        self._entries: list[leases.WaitingRequest] = []
        self._shapes: dict[leases.Shape, list[leases.QueueOrder]] = {}
        self._tried_at: dict[leases.Shape, float] = {}
        self._work = 0.0

    def __len__(self) -> int:
        """Return the number of requests, without those that are held."""
        return len(self._orders)

    @property
    def work(self) -> float:
        """Expected work of all requests in seconds, without those held."""
        return self._work

    def list_ordered(self) -> list[leases.WaitingRequest]:
        """Return the requests, the first one first."""
        return self._entries.copy()

    def list_behind(
        self, order: leases.QueueOrder
    ) -> list[leases.WaitingRequest]:
        """Return the requests that come after a place, the first one first."""
        position = bisect.bisect_left(self._orders, order)
        return self._entries[position:]

    def add(self, entry: leases.WaitingRequest, now: float) -> None:
        """Add a request at the place of its order."""
        number = entry.order[2]
        self.repeats += entry.request.is_repeat
        if entry.is_held:
            self.held[number] = entry
            return
        if not self._orders:
            self.backlogged_since = now
        position = bisect.bisect_left(self._orders, entry.order)
        self._orders.insert(position, entry.order)
        self._works.insert(position, entry.work)
        self._entries.insert(position, entry)
        shape = find_shape(entry)
        bisect.insort(self._shapes.setdefault(shape, []), entry.order)
        self._work += entry.work
        self.fair_clock.add_waiting(entry.request.workspace)

    def remove(self, entry: leases.WaitingRequest) -> None:
        """Remove a request."""
        number = entry.order[2]
        self.repeats -= entry.request.is_repeat
        if self.held.pop(number, None) is not None:
            return
        position = self._locate(entry.order)
        self._orders.pop(position)
        self._entries.pop(position)
        self._works.pop(position)
        shape = find_shape(entry)
        _remove(self._shapes[shape], entry.order)
        if not self._shapes[shape]:
            self._shapes.pop(shape)
            self._tried_at.pop(shape, None)
        self._work -= entry.work
        self.fair_clock.remove_waiting(entry.request.workspace)
        if not self._orders:
            self._work = 0.0
            self.backlogged_since = math.inf
            self.fair_clock.reset()

    def estimate_ahead(self, order: leases.QueueOrder) -> float:
        """Return the expected work of the requests that come first."""
        position = bisect.bisect_left(self._orders, order)
        if 2 * position < len(self._works):
            return sum(self._works[:position])
        return max(self._work - sum(self._works[position:]), 0.0)

    def has_ahead(
        self, entry: leases.WaitingRequest, *, is_short: bool
    ) -> bool:
        """Tell whether other requests take the same upstreams first.

        :param is_short: whether capacity is short. Then those of another shape
            that no upstream took do not count, so that no slot stays unused.
        """
        shape = find_shape(entry)
        for other, orders in self._shapes.items():
            is_tried = other != shape and other in self._tried_at
            if orders[0] < entry.order and not (is_short and is_tried):
                return True
        return False

    def pick(self, now: float) -> leases.WaitingRequest | None:
        """Return the first request that an upstream may take."""
        if not self._orders:
            return None
        orders = [
            members[0]
            for shape, members in self._shapes.items()
            if self._tried_at.get(shape, -math.inf) + RETRY_SECONDS <= now
        ]
        first = min(orders, default=None)
        return None if first is None else self._entries[self._locate(first)]

    def record_try(self, entry: leases.WaitingRequest, now: float) -> None:
        """Record that no upstream took a request of this shape."""
        self._tried_at[find_shape(entry)] = now

    def allow_first(self) -> None:
        """Let the first request of the queue be tried again at once."""
        if self._orders:
            self._tried_at.pop(find_shape(self._entries[0]), None)

    def _locate(self, order: leases.QueueOrder) -> int:
        """Return the position of a request.

        :raises LookupError: if it is not in the queue.
        """
        position = bisect.bisect_left(self._orders, order)
        if self._orders[position : position + 1] != [order]:
            raise LookupError(f'no request at {order}')
        return position


class QueueTable:
    """All queued requests. Use :func:`create_queues`."""

    def __init__(self) -> None:
        """Create a table without requests."""
        self._entries: dict[identifiers.RequestId, leases.WaitingRequest] = {}
        self._queues: dict[identifiers.ServiceName, ServiceQueue] = {}
        self._numbers = itertools.count()

    def __len__(self) -> int:
        """Return the number of requests, held ones included."""
        return len(self._entries)

    def create_number(self) -> int:
        """Return the next sequence number."""
        return next(self._numbers)

    def get(
        self, request_id: identifiers.RequestId
    ) -> leases.WaitingRequest | None:
        """Return a request, if it is queued."""
        return self._entries.get(request_id)

    def values(  # noqa: WPS110
        self,
    ) -> typing.Collection[leases.WaitingRequest]:
        """Return all requests in the order in which they came."""
        return self._entries.values()

    def list_queues(
        self,
    ) -> list[tuple[identifiers.ServiceName, ServiceQueue]]:
        """Return the queues that are not empty."""
        return [
            (service, queue)
            for service, queue in self._queues.items()
            if len(queue) or queue.held
        ]

    def find(self, service: identifiers.ServiceName) -> ServiceQueue:
        """Return the queue of a service."""
        queue = self._queues.get(service)
        if queue is None:
            queue = ServiceQueue()
            self._queues[service] = queue
        return queue

    def add(self, entry: leases.WaitingRequest, now: float) -> None:
        """Queue a request, or put it at another place."""
        self._entries[entry.request.request_id] = entry
        self.find(entry.request.service).add(entry, now)

    def pop(
        self, request_id: identifiers.RequestId
    ) -> leases.WaitingRequest | None:
        """Remove a request and return it, if it is queued."""
        entry = self._entries.pop(request_id, None)
        if entry is not None:
            self.find(entry.request.service).remove(entry)
        return entry

    def move(
        self,
        entry: leases.WaitingRequest,
        order: leases.QueueOrder,
        now: float,
        *,
        is_held: bool = False,
    ) -> None:
        """Put a queued request at another place."""
        queue = self.find(entry.request.service)
        queue.remove(entry)
        entry.order = order
        entry.is_held = is_held
        queue.add(entry, now)

    def prune(self) -> None:
        """Drop empty queues."""
        self._queues = dict(self.list_queues())


def find_shape(entry: leases.WaitingRequest) -> leases.Shape:
    """Return what decides which upstreams can take a request."""
    request = entry.request
    bits = max(request.size, 0).bit_length() - _SMALL_BODY_BITS
    size_class = min(max(bits, 0) // 2, _MAX_SIZE_CLASS)
    return (request.domain, size_class, request.excluded)


def _remove(orders: list[leases.QueueOrder], order: leases.QueueOrder) -> None:
    index = bisect.bisect_left(orders, order)
    if index < len(orders) and orders[index] == order:
        orders.pop(index)


def create_queues() -> QueueTable:
    """Return a table without requests."""
    return QueueTable()
