"""Chooses upstreams for the requests of one host.

Each host decides alone, from the same evidence as all others. Among upstreams
of nearly the same cost it draws by lot, so that hosts that see the same do not
all choose the same upstream.
"""

import dataclasses
import math
import random as random_module
import statistics
import typing

from wagtailspread.core import identifiers
from wagtailspread.health import doubts
from wagtailspread.placement import costs
from wagtailspread.registry import tables

#: Difference in cost that makes an upstream less likely by a factor of e.
LOT_SCALE = 0.012
#: Time for which a host avoids an upstream that it cannot connect to, seconds.
BLOCKED_SECONDS = 2.0
#: Time for which the mean time of a service is used, in seconds.
USUAL_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """A request that needs an upstream.

    :param size: bytes of the body.
    :param excluded: upstreams that were tried.
    """

    service: identifiers.ServiceName
    size: int = 0
    excluded: frozenset[identifiers.UpstreamId] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class _Usual:
    seconds: float
    found_at: float


class Selector:
    """Chooses upstreams. Use :func:`create_selector`.

    :param registry: the upstreams that are known.
    :param shared: the evidence of all hosts.
    :param silent: upstreams that no replica has heard of late.
    """

    def __init__(
        self,
        registry: tables.RegistryTable,
        shared: doubts.DoubtTable,
        place: costs.Place,
        random: random_module.Random,
    ) -> None:
        """Keep the tables; they are changed from outside."""
        self.registry = registry
        self.shared = shared
        self.silent: typing.Collection[identifiers.UpstreamId] = frozenset()
        self._place = place
        self._random = random
        self._local: dict[identifiers.UpstreamId, costs.LocalView] = {}
        self._usual: dict[identifiers.ServiceName, _Usual] = {}

    def choose(self, need: Need, now: float) -> tables.RegistryRow | None:
        """Return an upstream, or ``None`` if the service has none left."""
        rows = [
            row
            for row in self.registry.list_ready(need.service)
            if row.record.upstream not in need.excluded
        ]
        if not rows:
            return None
        found = [self._find_cost(row, need, now) for row in rows]
        least = min(found)
        weights = [
            row.record.slots * math.exp((least - cost) / LOT_SCALE)
            for row, cost in zip(rows, found, strict=True)
        ]
        (chosen,) = self._random.choices(rows, weights)
        return chosen

    def start(self, upstream: identifiers.UpstreamId) -> None:
        """Count a request that begins at an upstream."""
        self._find_local(upstream).open_requests += 1

    def finish(self, upstream: identifiers.UpstreamId) -> None:
        """Count a request that ended at an upstream."""
        local = self._find_local(upstream)
        local.open_requests -= 1

    def block(self, upstream: identifiers.UpstreamId, now: float) -> None:
        """Avoid an upstream to which no connection could be opened."""
        local = self._find_local(upstream)
        local.blocked_until = now + BLOCKED_SECONDS

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
            if (mean := self.shared.find_mean(row.record.upstream)) > 0
        ]
        seconds = statistics.median(means) if means else 0.0
        self._usual[service] = _Usual(seconds, now)
        return seconds

    def _find_cost(
        self,
        row: tables.RegistryRow,
        need: Need,
        now: float,
    ) -> float:
        record = row.record
        cost = costs.find_cost(
            row,
            self._find_local(record.upstream),
            self.shared,
            self.find_usual_seconds(need.service, now),
            now,
        )
        if record.upstream in self.silent:
            cost += costs.SILENT_COST
        return cost + self._place.find_distance_cost(record.domain, need.size)

    def _find_local(
        self,
        upstream: identifiers.UpstreamId,
    ) -> costs.LocalView:
        local = self._local.get(upstream)
        if local is None:
            local = costs.LocalView()
            self._local[upstream] = local
        return local


def create_selector(
    place: costs.Place,
    random: random_module.Random | None = None,
) -> Selector:
    """Return a selector that knows no upstreams."""
    return Selector(
        tables.create_table(),
        doubts.DoubtTable(),
        place,
        random or random_module.Random(),
    )
