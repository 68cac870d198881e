"""Finds the services that get too few requests to keep their upstreams in use.

A region whose callers or hosts are gone can't keep its upstreams in use, so the
allocators of the other regions are told. They know nothing of the results there
and may use gray upstreams, so they are told only if there are far too few
requests, and not by chance.
"""

import collections
import math
import typing

from wagtailspread.core import identifiers
from wagtailspread.placement import floors, selection
from wagtailspread.registry import coverage

#: Time in which each upstream needs a request at least, in seconds.
SECONDS_FOR_EACH = 4.0
#: Length of the window in which requests are counted, in seconds. It is shorter
#: than the time in which the floor must be reached, so that the others hear of
#: it before.
WINDOW_SECONDS = 1.0
#: Time without any request after which an allocator reports that it gets none,
#: in seconds.
ABSENCE_SECONDS = 3.0
#: Interval between counts of the upstreams, in seconds.
COUNT_SECONDS = 1.0


class CoverageMonitor:
    """Counts the requests of one allocator. Use :func:`create_monitor`."""

    def __init__(
        self,
        selector: selection.Selector,
        floor: floors.UsageFloor,
        domains: typing.Container[identifiers.FailureDomain],
    ) -> None:
        """Start without counts.

        :param domains: the failure domains of the allocator's region.
        """
        self._selector = selector
        self._floor = floor
        self._domains = domains
        self._upstreams: collections.Counter[identifiers.ServiceName] = (
            collections.Counter()
        )
        self._counted_at = -math.inf

    def find_underused(self, now: float) -> coverage.Underused:
        """Return the services of the region with too few requests.

        :returns: ``None`` if the allocator has got no requests recently.
        """
        if self._floor.last_request_at < now - ABSENCE_SECONDS:
            return None
        if now - self._counted_at >= COUNT_SECONDS:
            self._counted_at = now
            self._upstreams = self._count_upstreams()
        rate = WINDOW_SECONDS / SECONDS_FOR_EACH
        return frozenset(
            service
            for service, upstreams in self._upstreams.items()
            if self._floor.count_requests(service, now - WINDOW_SECONDS)
            < upstreams * rate
        )

    def _count_upstreams(self) -> collections.Counter[identifiers.ServiceName]:
        """Return the number of upstreams that can serve, by service."""
        silent = frozenset(self._selector.silent)
        return collections.Counter(
            row.record.service
            for upstream, row in self._selector.registry.rows.items()
            if row.is_ready
            and row.record.domain in self._domains
            and upstream not in silent
        )


def create_monitor(
    selector: selection.Selector,
    floor: floors.UsageFloor,
    domains: typing.Container[identifiers.FailureDomain],
) -> CoverageMonitor:
    """Return a monitor that has counted nothing.

    :param domains: the failure domains of the allocator's region.
    """
    return CoverageMonitor(selector, floor, domains)
