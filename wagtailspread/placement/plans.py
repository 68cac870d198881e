"""Finds the queued requests that can't all end within their objectives.

Reference: J. M. Moore, An n Job, One Machine Sequencing Algorithm for
Minimizing the Number of Late Jobs, 1968.
"""

import heapq
import itertools

from wagtailspread.core import identifiers
from wagtailspread.placement import leases

#: Value of a response after the objective, as a part of one within it.
LATE_VALUE = 0.3


class Plan:
    """Which requests of a queue can end within their objectives.

    Whenever one would start too late, the one with the most work for its value
    is dropped among those of its rank and workspace that come before it.

    Use :func:`create_plan`.

    :param dropped: requests that will be late.
    """

    def __init__(self, now: float, capacity: float) -> None:
        """Start at the head of a queue."""
        self.dropped: list[leases.WaitingRequest] = []
        self._now = now
        self._capacity = capacity
        self._ahead = 0.0
        self._places = itertools.count()
        self._rivals: dict[
            tuple[int, identifiers.WorkspaceName],
            list[tuple[float, int, leases.WaitingRequest]],
        ] = {}

    def add(self, entry: leases.WaitingRequest) -> None:
        """Plan the next request of the queue."""
        start = self._now + self._ahead / self._capacity
        self._ahead += entry.work
        if entry.is_late or entry.is_preferred:
            return
        request = entry.request
        rivals = self._rivals.setdefault(
            (request.priority, request.workspace), []
        )
        burden = _find_burden(entry)
        heapq.heappush(rivals, (-burden, -next(self._places), entry))
        if start > max(entry.due, entry.queued_at):
            _, _, worst = heapq.heappop(rivals)
            self._ahead -= worst.work
            self.dropped.append(worst)


def _find_burden(entry: leases.WaitingRequest) -> float:
    """Return the work of a request for the value that it loses if it is late.

    One that has no time left beyond its objective loses all of it.
    """
    latest = entry.request.deadline - entry.work
    loss = 1.0 if latest <= entry.due else 1.0 - LATE_VALUE
    return entry.work / loss


def create_plan(now: float, capacity: float) -> Plan:
    """Return a plan without requests.

    :param capacity: seconds of work that are done in a second.
    """
    return Plan(now, capacity)
