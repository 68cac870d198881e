"""Keeps most upstreams of a service in use while its requests fail.

Sending everything to the few upstreams that look best is right while that
works. When many requests fail all the same, the doubts are of little worth,
and upstreams that could serve must not be left idle for them.

>>> floors = FloorKeeper(0.7)
>>> for number in range(20): floors.note_end('columns', number % 4 > 0, 0.0)
>>> floors.is_strained('columns', 0.1)
True
>>> floors.is_strained('columns', 9.0)
False
"""

import collections

from wagtailspread.core import identifiers

#: Time that is looked back on, in seconds.
WINDOW_SECONDS = 2.0
#: Time within which an upstream must have got a request to count as in use, in
#: seconds; shorter than the window, since a request has yet to arrive.
USE_SECONDS = 1.4
#: Share of failed requests from which on the floor is kept.
STRAINED_SHARE = 0.06
#: Least ended requests from which that share is taken.
LEAST_ENDS = 10
#: Part above the floor that is kept in use, for upstreams that leave.
MARGIN = 0.05

_Ends = collections.deque[tuple[float, bool]]


class FloorKeeper:
    """Knows which services are strained and which upstreams are idle.

    :param share: of the upstreams that must be in use.
    """

    def __init__(self, share: float) -> None:
        """Start without services."""
        self._share = share
        self._ends: dict[identifiers.ServiceName, _Ends] = {}
        self._used: dict[identifiers.UpstreamId, float] = {}
        self._strained_elsewhere: set[identifiers.ServiceName] = set()

    def note_strained(
        self,
        services: set[identifiers.ServiceName],
    ) -> None:
        """Take the services that are strained at other allocators.

        The floor counts all upstreams of a service, so a region in which
        nothing fails has to keep its part as well.
        """
        self._strained_elsewhere = services

    def list_strained(
        self,
        now: float,
    ) -> frozenset[identifiers.ServiceName]:
        """Return the services of which many requests failed here."""
        return frozenset(
            service for service in self._ends if self._has_failed(service, now)
        )

    def note_end(
        self,
        service: identifiers.ServiceName,
        is_served: bool,
        now: float,
    ) -> None:
        """Count the end of a request."""
        ends = self._ends.setdefault(service, collections.deque())
        ends.append((now, is_served))

    def note_use(self, upstream: identifiers.UpstreamId, now: float) -> None:
        """Note that an upstream gets a request."""
        self._used[upstream] = now

    def is_strained(
        self,
        service: identifiers.ServiceName,
        now: float,
    ) -> bool:
        """Tell whether many requests of a service failed of late."""
        if service in self._strained_elsewhere:
            return True
        return self._has_failed(service, now)

    def find_idle(
        self,
        upstreams: list[identifiers.UpstreamId],
        now: float,
    ) -> set[identifiers.UpstreamId]:
        """Return the idle upstreams if too few are in use, else none."""
        idle = {
            upstream
            for upstream in upstreams
            if self._used.get(upstream, -WINDOW_SECONDS) < now - USE_SECONDS
        }
        in_use = len(upstreams) - len(idle)
        if in_use >= (self._share + MARGIN) * len(upstreams):
            return set()
        return idle

    def _has_failed(
        self,
        service: identifiers.ServiceName,
        now: float,
    ) -> bool:
        ends = self._ends.get(service)
        if ends is None:
            return False
        while ends and ends[0][0] < now - WINDOW_SECONDS:
            ends.popleft()
        if len(ends) < LEAST_ENDS:
            return False
        failed = sum(not is_served for _, is_served in ends)
        return failed > STRAINED_SHARE * len(ends)
