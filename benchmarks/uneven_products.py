"""Allocators of the product in the replays of uneven demand."""

import dataclasses
import math
import random as random_module

from collections import abc

from benchmarks import overload_loads, overload_policies, uneven_loads
from wagtailspread.core import identifiers
from wagtailspread.placement import allocators, lendings, messages
from wagtailspread.placement import selection
from wagtailspread.registry import records, spares, tables

SERVICE = identifiers.ServiceName('service')
#: Answers of each upstream before the replay.
_EARLIER_ANSWERS = 20
_HOSTS_PER_DOMAIN = 25


#: Time from the change of a report until the other region has it, in seconds:
#: the batching of the registry and the distance.
REPORT_SECONDS = 0.035
#: Time after which a replica gets reports without news, in seconds.
_POLL_SECONDS = 1.5


class Wire:
    """Carries the reports of both regions.

    :param is_cut: whether no message passes any more.
    """

    def __init__(self) -> None:
        """Start without reports."""
        self.is_cut = False
        self._reports: dict[
            identifiers.RegionName, list[tuple[float, list[spares.Report]]]
        ] = {}

    def publish(
        self,
        region: identifiers.RegionName,
        reports: list[spares.Report],
        now: float,
    ) -> None:
        """Send the reports of a region."""
        sent = self._reports.setdefault(region, [])
        at, known = sent[-1] if sent else (-math.inf, [])
        is_due = now + REPORT_SECONDS - at >= _POLL_SECONDS
        if not self.is_cut and (is_due or spares.has_news(known, reports)):
            sent.append((now + REPORT_SECONDS, reports))

    def list_remote(
        self, region: identifiers.RegionName, now: float
    ) -> list[spares.RemoteReport]:
        """Return what a region got last from the other one."""
        found: list[spares.RemoteReport] = []
        for other, sent in self._reports.items():
            arrived = [one for one in sent if one[0] <= now]
            if other != region and arrived:
                at, reports = arrived[-1]
                found.extend(
                    spares.RemoteReport(
                        identifiers.Address(other), other, report, now - at
                    )
                    for report in reports
                )
            self._reports[other] = arrived[-1:] + sent[len(arrived) :]
        return found


class WireEnd:
    """The exchange of one region."""

    def __init__(self, wire: Wire, region: identifiers.RegionName) -> None:
        """Connect a region."""
        self._wire = wire
        self._region = region
        self._now = 0.0

    def publish_spares(self, reports: list[spares.Report]) -> None:
        """Send the reports of the allocator."""
        self._wire.publish(self._region, reports, self._now)

    def list_remote_spares(self, now: float) -> list[spares.RemoteReport]:
        """Return what came from the other region."""
        self._now = now
        return self._wire.list_remote(self._region, now)


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What an allocator decides on a request.

    :param upstream: to send it to, ``None`` if it is refused.
    :param retry_after: seconds after which the caller may come again.
    """

    job: overload_loads.Job
    upstream: int | None
    retry_after: float = 0.0


class Desk:
    """An allocator with polls of its hosts. Use :func:`create_desk`."""

    def __init__(
        self, scenario: uneven_loads.Scenario, allocator: allocators.Allocator
    ) -> None:
        """Start without requests."""
        self.allocator = allocator
        self.exchange: lendings.SpareExchange | None = None
        self._sizes = scenario.sizes
        self._classes = {
            kind.name: number for number, kind in enumerate(scenario.kinds, 1)
        }
        self._jobs: dict[
            identifiers.RequestId,
            tuple[overload_loads.Job, messages.PlacementRequest],
        ] = {}

    def submit(self, job: overload_loads.Job, now: float) -> list[Decision]:
        """Ask the allocator, as the host of the request does."""
        request = self._create_request(job)
        answer = self.allocator.submit(request, now)
        self._jobs[request.request_id] = (job, request)
        return self._read(request.request_id, answer)

    def settle(
        self,
        request_id: identifiers.RequestId,
        upstream: int,
        seconds: float,
        now: float,
        *,
        is_shed: bool,
    ) -> list[Decision]:
        """Report an end, after which the allocator checks its queue."""
        evidence = messages.Evidence.GOOD
        if is_shed:
            evidence = messages.Evidence.SHED
        self.allocator.settle(
            request_id, name_upstream(upstream), evidence, seconds, now
        )
        if self.allocator.count_waiting():
            return self._check(now)
        return []

    def tick(self, now: float) -> list[Decision]:
        """Poll for all requests that wait, and check the queue."""
        for _, request in list(self._jobs.values()):
            self.allocator.submit(request, now)
        if self.exchange is not None:
            self.allocator.exchange_spares(self.exchange, now)
        return self._check(now)

    def replace_out(
        self, out: abc.Container[int], incarnation: int, now: float
    ) -> None:
        """Let upstreams leave, and come back as new incarnations."""
        table = self.allocator.selector.registry
        for row in list(table.rows.values()):
            number = find_number(row.record.upstream)
            state = records.UpstreamState.READY
            if number in out:
                state = records.UpstreamState.DRAINING
            if row.record.state is not state:
                record = dataclasses.replace(
                    row.record, state=state, born_ms=incarnation
                )
                table.merge(record, now)

    def _check(self, now: float) -> list[Decision]:
        decisions = []
        for request_id in self.allocator.tick(now):
            answer = self.allocator.pop_decision(request_id)
            if answer is not None:
                decisions.extend(self._read(request_id, answer))
        return decisions

    def _read(
        self, request_id: identifiers.RequestId, answer: messages.Answer
    ) -> list[Decision]:
        if answer.decision is messages.Decision.WAITING:
            return []
        job, _ = self._jobs.pop(request_id)
        if answer.record is None:
            return [Decision(job, None, answer.retry_after)]
        return [Decision(job, find_number(answer.record.upstream))]

    def _create_request(
        self, job: overload_loads.Job
    ) -> messages.PlacementRequest:
        host = job.number % _HOSTS_PER_DOMAIN
        return messages.PlacementRequest(
            request_id=name_request(job),
            host=identifiers.HostId(f'h{job.domain}.{host}'),
            domain=uneven_loads.DOMAINS[job.domain],
            service=SERVICE,
            deadline=job.deadline,
            objective=job.kind.objective,
            size=self._sizes.get(job.kind.name, 0),
            excluded=frozenset(map(name_upstream, job.excluded)),
            is_repeat=job.attempts > 0,
            is_repeatable=job.kind.is_repeatable and job.attempts < 2,
            is_counted=job.attempts > 0,
            fingerprint=job.number + 1,
            route_class=self._classes[job.kind.name],
        )


def create_desk(
    scenario: uneven_loads.Scenario,
    seed: int,
    region: identifiers.RegionName | None = None,
) -> Desk:
    """Return an allocator whose upstreams have answered some requests.

    :param region: of an allocator that lends and borrows.
    """
    rows = [
        _create_record(number, scenario.slots)
        for number in range(scenario.upstreams)
    ]
    selector = selection.create_selector(
        tables.create_table(rows),
        uneven_loads.REGIONS,
        random_module.Random(seed),
    )
    mean = sum(kind.work * kind.rate for kind in scenario.kinds)
    mean /= sum(kind.rate for kind in scenario.kinds)
    for row in rows:
        selector.risk_table.add_successes(
            row.upstream, _EARLIER_ANSWERS, _EARLIER_ANSWERS * mean, 0.0
        )
    lending = None
    if region is not None:
        lending = lendings.create_lending(
            selector, region, uneven_loads.REGIONS
        )
    return Desk(
        scenario,
        allocators.create_allocator(
            selector, overload_policies.create_budget(), lending=lending
        ),
    )


def name_request(job: overload_loads.Job) -> identifiers.RequestId:
    """Return the id of the present attempt of a request."""
    return identifiers.RequestId(f'{job.number}.{job.refusals}.{job.attempts}')


def name_upstream(number: int) -> identifiers.UpstreamId:
    """Return the id of an upstream."""
    return identifiers.UpstreamId(f'u{number}')


def find_number(upstream: identifiers.UpstreamId) -> int:
    """Return the number of an upstream."""
    return int(upstream[1:])


def _create_record(number: int, slots: int) -> records.UpstreamRecord:
    return records.UpstreamRecord(
        upstream=name_upstream(number),
        service=SERVICE,
        address=identifiers.Address(f'10.0.0.{number}:80'),
        domain=uneven_loads.DOMAINS[number % 4],
        slots=slots,
        state=records.UpstreamState.READY,
        born_ms=1,
        sequence=1,
    )
