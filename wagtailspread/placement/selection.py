"""Finds the upstream with the least cost for a request.

Among upstreams of nearly the same cost it draws by lot, so that several that
decide alone and see the same do not all choose the same upstream.
"""

import dataclasses
import math
import random as random_module
import statistics
import typing

from wagtailspread.core import identifiers
from wagtailspread.health import risks
from wagtailspread.placement import costs, messages
from wagtailspread.registry import records, tables

#: Difference in cost that makes an upstream less likely by a factor of e.
LOT_SCALE = 0.008
#: Time for which a host avoids an upstream that it cannot connect to, seconds.
BLOCKED_SECONDS = 2.0
#: Probability of being sound below which an upstream gets one request at a
#: time.
DOUBTFUL_SOUND = 0.5
#: Time for which the mean time of a service is used, in seconds.
USUAL_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that may take a request, and what that would cost.

    :param is_near: whether it is in the region of the request's host.
    :param distance: part of the cost for the way to it.
    :param sound: the probability that it is not gray.
    """

    row: tables.RegistryRow
    cost: float
    is_full: bool
    is_near: bool
    distance: float
    sound: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Usual:
    seconds: float
    found_at: float


class Selector:
    """Rates upstreams. Use :func:`create_selector`.

    :param registry: the upstreams that are known.
    :param shared: the evidence about them.
    :param silent: upstreams that no replica has heard of late.
    """

    def __init__(
        self,
        registry: tables.RegistryTable,
        regions: dict[identifiers.FailureDomain, identifiers.RegionName],
        random: random_module.Random,
    ) -> None:
        """Keep the table; it is changed from outside."""
        self.registry = registry
        self.shared = risks.RiskTable()
        self.silent: typing.Collection[identifiers.UpstreamId] = frozenset()
        self._regions = regions
        self._random = random
        self._open: dict[identifiers.UpstreamId, int] = {}
        self._blocked: dict[
            tuple[identifiers.HostId, identifiers.UpstreamId],
            float,
        ] = {}
        self._usual: dict[identifiers.ServiceName, _Usual] = {}

    def rate(self, need: messages.Need, now: float) -> list[Candidate]:
        """Return the upstreams of a service that were not tried."""
        place = costs.Place(need.domain, self._regions)
        return [
            self._rate(row, need, place, now)
            for row in self.registry.list_ready(need.service)
            if row.record.upstream not in need.excluded
        ]

    def draw(self, candidates: list[Candidate]) -> Candidate | None:
        """Return one of the cheapest, or ``None`` if there are none."""
        if not candidates:
            return None
        least = min(candidate.cost for candidate in candidates)
        weights = [
            math.exp((least - candidate.cost) / LOT_SCALE)
            for candidate in candidates
        ]
        (chosen,) = self._random.choices(candidates, weights)
        return chosen

    def start(self, upstream: identifiers.UpstreamId) -> None:
        """Count a request that begins at an upstream."""
        self._open[upstream] = self._open.get(upstream, 0) + 1

    def finish(self, upstream: identifiers.UpstreamId) -> None:
        """Count a request that ended at an upstream."""
        left = self._open.get(upstream, 0) - 1
        if left > 0:
            self._open[upstream] = left
        else:
            self._open.pop(upstream, None)

    def prune(self, now: float) -> None:
        """Drop what is known of upstreams that the registry has forgotten."""
        self.shared.retain(self.registry.rows)
        for path, until in list(self._blocked.items()):
            if until < now:
                self._blocked.pop(path)

    def take_evidence(
        self,
        host: identifiers.HostId,
        upstream: identifiers.UpstreamId,
        evidence: messages.Evidence,
        seconds: float,
        now: float,
    ) -> None:
        """Take what an exchange of a host showed of an upstream."""
        if evidence is messages.Evidence.GOOD:
            self.shared.add_successes(upstream, 1, seconds, now)
        elif evidence is messages.Evidence.BAD:
            self.shared.add_failures(upstream, now)
        elif evidence is messages.Evidence.SHED:
            self.shared.add_shed(upstream, now)
        elif evidence is messages.Evidence.UNREACHABLE:
            self.shared.add_unreachable(upstream, now)
            self._blocked[host, upstream] = now + BLOCKED_SECONDS

    def find_usual_seconds(
        self,
        service: identifiers.ServiceName,
        now: float,
    ) -> float:
        """Return the median of the mean times at a service, 0 if unknown."""
        usual = self._usual.get(service)
        if usual is not None and now - usual.found_at < USUAL_SECONDS:
            return usual.seconds
        means = [
            mean
            for row in self.registry.list_ready(service)
            if (mean := self.shared.find_mean_seconds(row.record.upstream)) > 0
        ]
        seconds = statistics.median(means) if means else 0.0
        self._usual[service] = _Usual(seconds, now)
        return seconds

    def _rate(
        self,
        row: tables.RegistryRow,
        need: messages.Need,
        place: costs.Place,
        now: float,
    ) -> Candidate:
        record = row.record
        upstream = record.upstream
        open_requests = self._open.get(upstream, 0)
        blocked_until = self._blocked.get((need.host, upstream), now)
        cost = costs.find_cost(
            row,
            costs.Load(open_requests, blocked_until > now),
            self.shared,
            self.find_usual_seconds(need.service, now),
            now,
            is_repeatable=need.is_repeatable and not need.is_repeat,
        )
        if upstream in self.silent:
            cost += costs.SILENT_COST
        distance = place.find_distance_cost(record.domain, need.size)
        sound = 1.0 - self.shared.find_gray(upstream, now)
        return Candidate(
            row,
            cost + distance,
            open_requests >= self._count_slots(record, sound),
            place.is_same_region(record.domain),
            distance,
            sound,
        )

    def _count_slots(
        self,
        record: records.UpstreamRecord,
        sound: float,
    ) -> int:
        """Return how many requests an upstream may run at a time.

        A gray upstream fails requests at once, so it always has free slots and
        would take all that waits.
        """
        return 1 if sound < DOUBTFUL_SOUND else record.slots


def create_selector(
    registry: tables.RegistryTable,
    regions: dict[identifiers.FailureDomain, identifiers.RegionName],
    random: random_module.Random | None = None,
) -> Selector:
    """Return a selector that has no evidence."""
    return Selector(registry, regions, random or random_module.Random())
