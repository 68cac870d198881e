"""Keeps most sound upstreams of a service in use.

Sending everything to the few upstreams that look best loses the least at that
moment. But an upstream that gets nothing shows nothing: it stays in doubt long
after it has recovered, and the rest has to carry its load. So most of the
upstreams that are likely to be sound are kept in use; one that has just failed
is left alone until it is likely to have recovered.

When many requests fail all the same, the doubts are of little worth, and most
of all upstreams are kept in use.

>>> floors = FloorKeeper(0.7)
>>> for number in range(20): floors.note_end('columns', number % 4 > 0, 0.0)
>>> floors.is_strained('columns', 0.1)
True
>>> floors.is_strained('columns', 9.0)
False
"""

import collections
import math
import typing

from wagtailspread.core import identifiers

#: Time that is looked back on, in seconds.
WINDOW_SECONDS = 2.0
#: Time within which an upstream must have got a request to count as in use, in
#: seconds; shorter than the window, since a request has yet to arrive.
USE_SECONDS = 1.4
#: Share of failed requests from which on the floor is kept; source: the floor
#: of the users' platform holds while more than a tenth is not served.
STRAINED_SHARE = 0.08
#: Least ended requests from which that share is taken.
LEAST_ENDS = 10
#: Least failed requests; single ordinary errors come at any time.
LEAST_FAILURES = 3
#: Time for which other regions are told of a strained service beyond its end,
#: in seconds; each change costs a message to every replica.
STRAINED_SECONDS = 3.0
#: Time for which an upstream that failed a request is not needed in use, in
#: seconds; source: it counts as sound again after that time.
FAILED_SECONDS = 2.0
#: Part above the floor that is kept in use, for upstreams that leave.
MARGIN = 0.02

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
        self._failed: dict[identifiers.UpstreamId, float] = {}
        self._strained_until: dict[identifiers.ServiceName, float] = {}
        self._strained_elsewhere: set[identifiers.ServiceName] = set()

    def set_remote_strained(
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
        """Return the services of which many requests failed here of late."""
        failing = [one for one in self._ends if self._has_failed(one, now)]
        until = now + STRAINED_SECONDS
        self._strained_until.update(dict.fromkeys(failing, until))
        return frozenset(
            service
            for service, end in self._strained_until.items()
            if now < end
        )

    def note_end(
        self,
        service: identifiers.ServiceName,
        is_served: bool,
        now: float,
    ) -> None:
        """Count the end of a request.

        Requests that were sent for the sake of the floor are left out: they
        fail because they go to doubtful upstreams, and would keep the service
        strained by themselves.
        """
        self._list_recent(service, now).append((now, is_served))

    def note_use(self, upstream: identifiers.UpstreamId, now: float) -> None:
        """Note that an upstream gets a request."""
        self._used[upstream] = now

    def note_failure(
        self,
        upstream: identifiers.UpstreamId,
        now: float,
    ) -> None:
        """Note that an upstream failed a request."""
        self._failed[upstream] = now

    def keep(
        self,
        upstreams: typing.Container[identifiers.UpstreamId],
    ) -> None:
        """Drop what is known of all other upstreams."""
        self._used = _keep(self._used, upstreams)
        self._failed = _keep(self._failed, upstreams)

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
        service: identifiers.ServiceName,
        sound: dict[identifiers.UpstreamId, float],
        now: float,
    ) -> set[identifiers.UpstreamId]:
        """Return the idle upstreams if too few are in use, else none.

        A service with fewer requests than upstreams cannot use most of them.

        :param sound: how likely each upstream is sound. Those that failed a
            request just now do not count, whatever is given.
        """
        if len(self._list_recent(service, now)) < len(sound):
            return set()
        weights = {
            upstream: weight
            for upstream, weight in sound.items()
            if self._failed.get(upstream, -math.inf) < now - FAILED_SECONDS
        }
        idle = {
            upstream
            for upstream in weights
            if self._used.get(upstream, -math.inf) < now - USE_SECONDS
        }
        total = sum(weights.values())
        unused = sum(weights[upstream] for upstream in idle)
        if total - unused >= (self._share + MARGIN) * total:
            return set()
        return idle

    def _has_failed(
        self,
        service: identifiers.ServiceName,
        now: float,
    ) -> bool:
        ends = self._list_recent(service, now)
        failed = sum(not is_served for _, is_served in ends)
        least = max(LEAST_FAILURES, STRAINED_SHARE * len(ends))
        return len(ends) >= LEAST_ENDS and failed >= least

    def _list_recent(
        self,
        service: identifiers.ServiceName,
        now: float,
    ) -> _Ends:
        """Return the ends within the window; drop older ones."""
        ends = self._ends.setdefault(service, collections.deque())
        while ends and ends[0][0] < now - WINDOW_SECONDS:
            ends.popleft()
        return ends


def _keep(
    known: dict[identifiers.UpstreamId, float],
    upstreams: typing.Container[identifiers.UpstreamId],
) -> dict[identifiers.UpstreamId, float]:
    return {one: at for one, at in known.items() if one in upstreams}
