"""Estimates of the time until a queued request is served.

>>> clamp_retry_after(0.05), clamp_retry_after(1.0), clamp_retry_after(60.0)
(0.2, 1.0, 3.0)
"""

import dataclasses
import math

from wagtailspread.core import identifiers
from wagtailspread.placement import selection

#: Assumed duration of a request before any measurement, in seconds.
DEFAULT_REQUEST_SECONDS = 0.5
#: Bounds of the retry-after time of a refused request, in seconds.
MIN_RETRY_AFTER_SECONDS = 0.2
MAX_RETRY_AFTER_SECONDS = 3.0
#: Time for which the usable slots of a service are cached, in seconds.
SLOTS_CACHE_SECONDS = 0.2
#: Time constant of the measured throughput, and the time for which a queue must
#: have lasted before it counts, in seconds.
THROUGHPUT_SECONDS = 1.0
MIN_BACKLOG_SECONDS = 0.5
#: Factor of the measured throughput that is expected at most, so that an
#: estimate that was too low recovers.
THROUGHPUT_MARGIN = 1.25
#: Share of the slots in use from which capacity is short.
SHORT_SHARE = 0.5
#: Least throughput as a share of the slots.
MIN_THROUGHPUT_SHARE = 0.1
#: Part of the capacity that a rank counts on, however much higher ranks use.
MIN_LEFT_SHARE = 0.05


def find_typical_seconds(
    selector: selection.Selector,
    service: identifiers.ServiceName,
    now: float,
) -> float:
    """Return the typical duration of a request of a service in seconds."""
    typical = selector.find_typical_seconds(service, now)
    return typical or DEFAULT_REQUEST_SECONDS


def clamp_retry_after(wait: float) -> float:
    """Return the time after which a caller may retry, in seconds.

    :param wait: estimated time until a slot is free.
    """
    return min(max(wait, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)


@dataclasses.dataclass(slots=True)
class _Slots:
    """Usable slots of each upstream of a service.

    :param position: of the registry for which they hold.
    """

    by_upstream: dict[identifiers.UpstreamId, int]
    position: int
    computed_at: float


@dataclasses.dataclass(slots=True)
class _Throughput:
    """Work that was granted lately; older grants count less.

    :param work: seconds of expected work.
    """

    work: float = 0.0
    counted_at: float = 0.0

    def add(self, work: float, now: float) -> None:
        """Count work that was granted."""
        elapsed = max(now - self.counted_at, 0.0)
        self.work *= math.exp(-elapsed / THROUGHPUT_SECONDS)
        self.work += work
        self.counted_at = now


class CapacityTable:
    """Slots and throughput by service. Use :func:`create_capacities`."""

    def __init__(self, selector: selection.Selector) -> None:
        """Create a table without measurements."""
        self._selector = selector
        self._slots: dict[identifiers.ServiceName, _Slots] = {}
        self._throughputs: dict[
            identifiers.ServiceName, dict[int, _Throughput]
        ] = {}

    def record_grant(
        self,
        service: identifiers.ServiceName,
        rank: int,
        work: float,
        now: float,
    ) -> None:
        """Count the expected work of a request that was granted."""
        by_rank = self._throughputs.setdefault(service, {})
        throughput = by_rank.get(rank)
        if throughput is None:
            throughput = _Throughput(counted_at=now)
            by_rank[rank] = throughput
        throughput.add(work, now)

    def find_granted(
        self,
        service: identifiers.ServiceName,
        now: float,
        above: float = math.inf,
    ) -> float:
        """Return the work granted lately, in seconds for each second.

        :param above: the rank; only requests of higher ranks count.
        """
        granted = 0.0
        for rank, throughput in self._throughputs.get(service, {}).items():
            if rank < above:
                throughput.add(0.0, now)
                granted += throughput.work / THROUGHPUT_SECONDS
        return granted

    def find(
        self,
        service: identifiers.ServiceName,
        backlog_seconds: float,
        now: float,
    ) -> float:
        """Return the seconds of work that the service does in a second.

        :param backlog_seconds: time for which requests have been queued.
            Meanwhile the throughput shows which slots this allocator can use;
            other allocators use some of them.
        """
        slots = float(self.count_slots(service, now))
        if backlog_seconds >= MIN_BACKLOG_SECONDS:
            measured = self.find_granted(service, now)
            limit = max(
                THROUGHPUT_MARGIN * measured, MIN_THROUGHPUT_SHARE * slots
            )
            slots = min(slots, limit)
        return max(slots, 1.0)

    def reduce(
        self,
        capacity: float,
        service: identifiers.ServiceName,
        rank: int,
        now: float,
    ) -> float:
        """Return the part of a capacity that higher ranks leave to a rank.

        Those of their requests that will come go first as well, at about the
        rate of those that were granted lately.
        """
        higher = self.find_granted(service, now, rank)
        return max(capacity - higher, MIN_LEFT_SHARE * capacity)

    def count_slots(self, service: identifiers.ServiceName, now: float) -> int:
        """Return the number of usable slots of a service."""
        return sum(self._find_slots(service, now).values())

    def has_upstream(
        self, service: identifiers.ServiceName, now: float
    ) -> bool:
        """Tell whether a service has an upstream that is ready."""
        return bool(self._find_slots(service, now))

    def has_free(self, service: identifiers.ServiceName, now: float) -> bool:
        """Tell whether an upstream can take a further request."""
        count_open = self._selector.count_open
        slots = self._find_slots(service, now)
        return any(
            count_open(upstream) < usable for upstream, usable in slots.items()
        )

    def count_free(self, service: identifiers.ServiceName, now: float) -> int:
        """Return the number of free slots of a service."""
        count_open = self._selector.count_open
        slots = self._find_slots(service, now)
        return sum(
            max(usable - count_open(upstream), 0)
            for upstream, usable in slots.items()
        )

    def is_short(self, service: identifiers.ServiceName, now: float) -> bool:
        """Tell whether most slots are in use, so that capacity is short."""
        slots = self._find_slots(service, now)
        used = sum(map(self._selector.count_open, slots))
        return used >= SHORT_SHARE * sum(slots.values())

    def _find_slots(
        self, service: identifiers.ServiceName, now: float
    ) -> dict[identifiers.UpstreamId, int]:
        known = self._slots.get(service)
        position = self._selector.registry.position
        if (
            known is None
            or known.position != position
            or now - known.computed_at >= SLOTS_CACHE_SECONDS
        ):
            by_upstream = self._selector.find_slots(service, now)
            known = _Slots(by_upstream, position, now)
            self._slots[service] = known
        return known.by_upstream


def create_capacities(selector: selection.Selector) -> CapacityTable:
    """Return a table without measurements."""
    return CapacityTable(selector)
