"""The allocator of the product as a policy of the replays of overloads."""

import dataclasses
import random as random_module

from benchmarks import overload_loads, overload_policies
from benchmarks import overload_replays as replays
from wagtailspread.core import identifiers
from wagtailspread.gateway import attempts
from wagtailspread.placement import allocators, messages, selection
from wagtailspread.registry import records, tables

SERVICE = identifiers.ServiceName('service')
DOMAINS = tuple(identifiers.FailureDomain(f'd{number}') for number in range(4))
REGIONS = dict.fromkeys(DOMAINS, identifiers.RegionName('r1'))
#: Answers of each upstream before the replay.
_EARLIER_ANSWERS = 20


class ProductPolicy:
    """The allocator of the product, with polls and settlements of its hosts."""

    def __init__(self, scenario: overload_loads.Scenario, seed: int) -> None:
        """Start with upstreams that have answered some requests."""
        self._rows = {
            _name(number): number for number in range(scenario.upstreams)
        }
        rows = [
            create_record(number, scenario.slots)
            for number in range(scenario.upstreams)
        ]
        self._selector = selection.create_selector(
            tables.create_table(rows), REGIONS, random_module.Random(seed)
        )
        mean = sum(kind.work * kind.rate for kind in scenario.kinds)
        mean /= sum(kind.rate for kind in scenario.kinds)
        for upstream in self._rows:
            self._selector.risk_table.add_successes(
                upstream, _EARLIER_ANSWERS, _EARLIER_ANSWERS * mean, 0.0
            )
        self._allocator = allocators.create_allocator(
            self._selector, overload_policies.create_budget()
        )
        self._classes = {
            kind.name: number for number, kind in enumerate(scenario.kinds, 1)
        }
        self._jobs: dict[
            identifiers.RequestId,
            tuple[overload_loads.Job, messages.PlacementRequest],
        ] = {}
        self._ids: dict[int, identifiers.RequestId] = {}
        self._incarnation = 1

    def submit(
        self, job: overload_loads.Job, now: float
    ) -> list[replays.Decision]:
        """Ask the allocator, as the host of the request does."""
        request = self._create_request(job, now)
        answer = self._allocator.submit(request, now)
        self._jobs[request.request_id] = (job, request)
        return self._read(request.request_id, answer)

    def settle(
        self, job: overload_loads.Job, upstream: int, is_shed: bool, now: float
    ) -> list[replays.Decision]:
        """Report an end, after which the allocator checks its queue."""
        evidence = messages.Evidence.GOOD
        if is_shed:
            evidence = messages.Evidence.SHED
        self._allocator.settle(
            self._ids[job.number], _name(upstream), evidence, job.work, now
        )
        if self._allocator.count_waiting():
            return self._check(now)
        return []

    def tick(self, now: float) -> list[replays.Decision]:
        """Poll for all requests that wait, and check the queue."""
        for _, request in list(self._jobs.values()):
            self._allocator.submit(request, now)
        return self._check(now)

    def replace_out(self, out: frozenset[int], now: float) -> None:
        """Let the upstreams leave, and come back as new incarnations."""
        self._incarnation += 1
        for upstream, number in self._rows.items():
            row = self._selector.registry.rows[upstream]
            state = records.UpstreamState.READY
            if number in out:
                state = records.UpstreamState.DRAINING
            if row.record.state is not state:
                record = dataclasses.replace(
                    row.record, state=state, born_ms=self._incarnation
                )
                self._selector.registry.merge(record, now)

    def _check(self, now: float) -> list[replays.Decision]:
        decisions = []
        for request_id in self._allocator.tick(now):
            answer = self._allocator.pop_decision(request_id)
            if answer is not None:
                decisions.extend(self._read(request_id, answer))
        return decisions

    def _read(
        self, request_id: identifiers.RequestId, answer: messages.Answer
    ) -> list[replays.Decision]:
        if answer.decision is messages.Decision.WAITING:
            return []
        job, _ = self._jobs.pop(request_id)
        if answer.record is None:
            return [replays.Decision(job, None, answer.retry_after)]
        return [replays.Decision(job, self._rows[answer.record.upstream])]

    def _create_request(
        self, job: overload_loads.Job, now: float
    ) -> messages.PlacementRequest:
        request_id = identifiers.RequestId(
            f'{job.number}.{job.refusals}.{job.attempts}'
        )
        self._ids[job.number] = request_id
        return messages.PlacementRequest(
            request_id=request_id,
            host=identifiers.HostId(f'h{job.number % 99}'),
            domain=DOMAINS[job.domain],
            service=SERVICE,
            deadline=job.deadline,
            objective=_find_objective(job, now),
            priority=job.kind.rank,
            excluded=frozenset(map(_name, job.excluded)),
            is_repeat=job.attempts > 0,
            is_repeatable=job.kind.is_repeatable and job.attempts < 2,
            is_counted=job.attempts > 0,
            fingerprint=job.number + 1,
            workspace=identifiers.WorkspaceName(
                '' if job.workspace < 0 else f'w{job.workspace}'
            ),
            route_class=self._classes[job.kind.name],
        )


def _find_objective(job: overload_loads.Job, now: float) -> float:
    """Return what is left of the objective, as the host of a retry does."""
    left = job.asked_at + job.kind.objective - now
    return max(left, attempts.MIN_OBJECTIVE_SECONDS)


def create_record(number: int, slots: int) -> records.UpstreamRecord:
    """Return the record of an upstream that is ready."""
    return records.UpstreamRecord(
        upstream=_name(number),
        service=SERVICE,
        address=identifiers.Address(f'10.0.{number // 250}.{number % 250}:80'),
        domain=DOMAINS[number % 4],
        slots=slots,
        state=records.UpstreamState.READY,
        born_ms=1,
        sequence=1,
    )


def _name(number: int) -> identifiers.UpstreamId:
    return identifiers.UpstreamId(f'u{number}')
