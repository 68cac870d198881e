"""Selects a low-cost upstream for a request.

Among upstreams of nearly equal cost the choice is random, so that several
hosts that decide independently on the same data do not all choose the same
upstream.
"""

import dataclasses
import math
import random as random_module
import typing

from wagtailspread.core import identifiers
from wagtailspread.health import risks
from wagtailspread.placement import costs, holds, messages, slot_counts
from wagtailspread.placement import slot_loans
from wagtailspread.registry import coverage, records, tables

#: Cost difference that lowers the probability of a choice by a factor of e.
COST_SCALE = 0.008
#: Time for which an upstream counts as unreachable for a host after a failed
#: connection, in seconds.
UNREACHABLE_SECONDS = 2.0
#: Additional weight of the distance cost while a request waits: a large body
#: waits up to a quarter of the objective for a slot in its own failure domain.
DISTANCE_WEIGHT = 1.3
#: Time for which the typical duration of a service is cached, in seconds.
TYPICAL_CACHE_SECONDS = 0.5


class Candidate(typing.NamedTuple):
    """An upstream that could serve a request, with its cost.

    :param is_same_region: whether it is in the region of the request's host.
    :param distance: cost due to distance, which ``cost`` includes.
    :param is_full: whether all its slots are in use.
    :param sound_probability: the probability that it is not gray.
    :param is_silent: whether it has no recent heartbeat at any replica.
    :param is_unreachable: whether the host recently failed to connect to it.
    :param overdue: number of its open requests that should have ended.
    :param is_uncovered: whether it is in another region, which gets too few
        requests to keep it in use.
    """

    row: tables.RegistryRow
    cost: float
    is_full: bool
    is_same_region: bool
    distance: float
    sound_probability: float
    is_silent: bool = False
    is_unreachable: bool = False
    overdue: int = 0
    is_uncovered: bool = False

    @property
    def waiting_cost(self) -> float:
        """Return the cost that is compared with the cost of waiting."""
        return self.cost + DISTANCE_WEIGHT * self.distance


class _Place(typing.NamedTuple):
    """Where the upstreams of a failure domain are, seen from a host.

    :param distance: cost of an exchange with them.
    :param is_uncovered: whether their region gets too few requests.
    """

    is_same_region: bool
    distance: float
    is_uncovered: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _TypicalDuration:
    seconds: float
    computed_at: float


class Selector:
    """Computes the cost of upstreams. Use :func:`create_selector`.

    :param registry: the known upstreams.
    :param risk_table: the evidence on their health.
    :param silent: upstreams without a recent heartbeat at any replica.
    :param holds: times for which hosts send nothing to an upstream.
    :param uncovered: regions whose upstreams get too few requests there.
    :param limits: of the open requests at each upstream of a service that sheds
        what is beyond.
    :param loans: limits of upstreams that regions lend to each other.
    """

    def __init__(
        self,
        registry: tables.RegistryTable,
        regions: dict[identifiers.FailureDomain, identifiers.RegionName],
        random: random_module.Random,
    ) -> None:
        """Create a selector on a table that other code updates."""
        self.registry = registry
        self.risk_table = risks.RiskTable()
        self.silent: typing.Collection[identifiers.UpstreamId] = frozenset()
        self.holds = holds.create_holds()
        self.uncovered = coverage.combine_reports(())
        self.limits: dict[identifiers.ServiceName, int] = {}
        self.loans = slot_loans.create_limits()
        self._regions = regions
        self._random = random
        self._open: dict[identifiers.UpstreamId, int] = {}
        self._overdue: dict[identifiers.UpstreamId, int] = {}
        self._unreachable_until: dict[
            tuple[identifiers.HostId, identifiers.UpstreamId],
            float,
        ] = {}
        self._typical_durations: dict[
            identifiers.ServiceName, _TypicalDuration
        ] = {}

    def rate(
        self, request: messages.PlacementRequest, now: float
    ) -> list[Candidate]:
        """Return the upstreams of the service as candidates with their cost.

        Excluded upstreams and those that hold back the host are left out.
        """
        location = costs.Location(request.domain, self._regions)
        rows = [
            row
            for row in self.registry.list_ready(request.service)
            if row.record.upstream not in request.excluded
        ]
        if len(self.holds):
            rows = [
                row
                for row in rows
                if self._find_hold_end(request.host, row, now) <= now
            ]
        typical = self.find_typical_seconds(request.service, now)
        domains = {row.record.domain for row in rows}
        places = {
            domain: self._find_place(domain, location, request)
            for domain in domains
        }
        candidates = [
            self._rate_upstream(
                row, request, places[row.record.domain], typical, now
            )
            for row in rows
        ]
        full = self.loans.list_full(candidates, request, self._open, now)
        for number in full:
            candidates[number] = candidates[number]._replace(is_full=True)
        return candidates

    def find_hold_end(
        self, request: messages.PlacementRequest, now: float
    ) -> float | None:
        """Return when the first upstream takes requests of the host again.

        :returns: ``None`` if no upstream that is not excluded is ready.
        """
        return min(
            (
                self._find_hold_end(request.host, row, now)
                for row in self.registry.list_ready(request.service)
                if row.record.upstream not in request.excluded
            ),
            default=None,
        )

    def record_notice(
        self,
        host: identifiers.HostId,
        record: records.UpstreamRecord,
        notice: messages.UpstreamNotice,
        now: float,
    ) -> bool:
        """Record what an incarnation of an upstream asked of a host.

        :param record: names the upstream and its incarnation.
        :returns: whether the upstream is known to leave since this notice.
        """
        if notice.hold_seconds > 0:
            until = now + notice.hold_seconds
            self.holds.add(host, record.upstream, record.born_ms, until)
        row = self.registry.rows.get(record.upstream)
        if not notice.is_leaving or row is None or not row.is_ready:
            return False
        if row.record.born_ms != record.born_ms:
            return False
        draining = records.UpstreamState.DRAINING
        leaving = dataclasses.replace(row.record, state=draining)
        return self.registry.merge(leaving, now)

    def draw(self, candidates: list[Candidate]) -> Candidate | None:
        """Return a random low-cost candidate, ``None`` if there are none."""
        if not candidates:
            return None
        lowest_cost = min(candidate.cost for candidate in candidates)
        weights = [
            math.exp((lowest_cost - candidate.cost) / COST_SCALE)
            for candidate in candidates
        ]
        (chosen,) = self._random.choices(candidates, weights)
        return chosen

    def start(self, upstream: identifiers.UpstreamId) -> None:
        """Increment the open requests of an upstream."""
        slot_counts.increment(self._open, upstream)

    def mark_overdue(self, upstream: identifiers.UpstreamId) -> None:
        """Record that an open request of an upstream should have ended."""
        slot_counts.increment(self._overdue, upstream)

    def finish(
        self, upstream: identifiers.UpstreamId, *, is_overdue: bool = False
    ) -> None:
        """Decrement the open requests of an upstream.

        :param is_overdue: whether the request was marked as overdue.
        """
        slot_counts.decrement(self._open, upstream)
        if is_overdue:
            slot_counts.decrement(self._overdue, upstream)

    def count_open(self, upstream: identifiers.UpstreamId) -> int:
        """Return the number of open requests of an upstream."""
        return self._open.get(upstream, 0)

    def count_regions(self) -> int:
        """Return the number of regions."""
        return len(set(self._regions.values()))

    def find_slots(
        self,
        service: identifiers.ServiceName,
        now: float,
        *,
        has_loans: bool = True,
    ) -> dict[identifiers.UpstreamId, int]:
        """Return how many requests each upstream may run at a time.

        :param has_loans: whether loans between regions count.
        """
        slots = {}
        for row in self.registry.list_ready(service):
            upstream = row.record.upstream
            gray = self.risk_table.find_gray_probability(upstream, now)
            slots[upstream] = slot_counts.count_usable(
                self._limit_slots(row.record),
                self._overdue.get(upstream, 0),
                1.0 - gray,
            )
            if has_loans:
                lent = self.loans.find(row.record)
                slots[upstream] = min(slots[upstream], lent)
        return slots

    def prune(self, now: float) -> None:
        """Drop the state of upstreams that the registry has removed."""
        self.risk_table.retain(self.registry.rows)
        self.holds.prune(self.registry.rows, now)
        for path, until in list(self._unreachable_until.items()):
            if until < now:
                self._unreachable_until.pop(path)

    def record_evidence(
        self,
        host: identifiers.HostId,
        upstream: identifiers.UpstreamId,
        evidence: messages.Evidence,
        seconds: float,
        now: float,
    ) -> None:
        """Record the evidence of one exchange.

        :param seconds: duration of the exchange.
        """
        if evidence is messages.Evidence.GOOD:
            self.risk_table.add_successes(upstream, 1, seconds, now)
        elif evidence is messages.Evidence.BAD:
            self.risk_table.add_failures(upstream, now)
        elif evidence is messages.Evidence.SHED:
            self.risk_table.add_shed(upstream, now)
        elif evidence is messages.Evidence.UNREACHABLE:
            self.risk_table.add_unreachable(upstream, now)
            self._unreachable_until[host, upstream] = now + UNREACHABLE_SECONDS

    def find_typical_seconds(
        self,
        service: identifiers.ServiceName,
        now: float,
    ) -> float:
        """Return the typical request duration of a service in seconds.

        It is the median of the mean durations of its upstreams, 0 if unknown.
        """
        typical = self._typical_durations.get(service)
        if (
            typical is not None
            and now - typical.computed_at < TYPICAL_CACHE_SECONDS
        ):
            return typical.seconds
        means = [
            mean
            for row in self.registry.list_ready(service)
            if (mean := self.risk_table.find_mean_seconds(row.record.upstream))
            > 0
        ]
        means.sort()
        middle = len(means) // 2
        seconds = (means[middle] + means[~middle]) / 2 if means else 0.0
        self._typical_durations[service] = _TypicalDuration(seconds, now)
        return seconds

    def _find_place(
        self,
        domain: identifiers.FailureDomain,
        location: costs.Location,
        request: messages.PlacementRequest,
    ) -> _Place:
        is_same_region = location.is_same_region(domain)
        is_uncovered = False
        if len(self.uncovered) and not is_same_region:
            region = self._regions.get(domain)
            is_uncovered = region is not None and self.uncovered.is_uncovered(
                region, request.service
            )
        return _Place(
            is_same_region,
            location.find_distance_cost(domain, request.size),
            is_uncovered,
        )

    def _limit_slots(self, record: records.UpstreamRecord) -> int:
        """Return the slots of an upstream, or fewer if it sheds beyond."""
        limit = self.limits.get(record.service, record.slots)
        return min(limit, record.slots)

    def _find_hold_end(
        self,
        host: identifiers.HostId,
        row: tables.RegistryRow,
        now: float,
    ) -> float:
        record = row.record
        return self.holds.find_end(host, record.upstream, record.born_ms, now)

    def _rate_upstream(
        self,
        row: tables.RegistryRow,
        request: messages.PlacementRequest,
        place: _Place,
        typical_seconds: float,
        now: float,
    ) -> Candidate:
        record = row.record
        upstream = record.upstream
        open_requests = self._open.get(upstream, 0)
        overdue = self._overdue.get(upstream, 0)
        unreachable_until = self._unreachable_until.get(
            (request.host, upstream), now
        )
        is_unreachable = unreachable_until > now
        estimate = self.risk_table.estimate(upstream, now)
        cost = costs.find_cost(
            row,
            costs.Load(open_requests, is_unreachable),
            estimate,
            typical_seconds,
            now,
            is_repeatable=request.is_repeatable and not request.is_repeat,
        )
        is_silent = upstream in self.silent
        if is_silent:
            cost += costs.SILENT_COST
        sound_probability = 1.0 - estimate.gray
        return Candidate(
            row,
            cost + place.distance,
            slot_counts.is_full(
                self._limit_slots(record),
                open_requests,
                overdue,
                sound_probability,
            ),
            place.is_same_region,
            place.distance,
            sound_probability,
            is_silent,
            is_unreachable,
            overdue,
            place.is_uncovered,
        )


def create_selector(
    registry: tables.RegistryTable,
    regions: dict[identifiers.FailureDomain, identifiers.RegionName],
    random: random_module.Random | None = None,
) -> Selector:
    """Return a selector without evidence."""
    return Selector(registry, regions, random or random_module.Random())
