"""Comparison of the allocation mechanisms under load."""

import dataclasses

from collections import abc

from benchmarks import measures, mechanisms, owners, replays, workloads
from wagtailspread.core import priorities

SEED = 20261204
_REPLAY_SECONDS = 5.0
_FULL_REPLAY_SECONDS = 20.0
_MAX_RETRIES_PER_REQUEST = 0.1
_WAIT_QUANTILE = 0.99
#: Offered work in the full run, as a share of the capacity, and the share of
#: each priority in it.
_TOTAL_LOADS = (0.8, 0.95, 1.0, 1.2, 5.0)
_MIXES = ((0.4, 0.4, 0.2), (0.1, 0.1, 0.8), (0.8, 0.1, 0.1))
_MILLISECONDS = 1000
#: Shorter service time, which makes the cost of message delays visible.
_SHORT_SERVICE_SECONDS = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class ReplaySummary:
    """Results of one mechanism.

    :param served: share of the requests answered in time, for each priority.
    :param useful: work completed in time, as a share of the work that the load
        and the capacity allow.
    :param work: work completed in time for each priority, as a share of the
        capacity.
    :param retries: number of retries per request that was sent at least once.
    :param urgent_wait: 99th percentile of the time in seconds that answered
        urgent requests took in addition to their service time.
    """

    served: tuple[float, ...]
    useful: float
    work: tuple[float, ...]
    retries: float
    urgent_wait: float


def measure(is_full: bool) -> abc.Iterator[measures.Measure]:
    """Yield the measures of all scenarios.

    :param is_full: whether to replay for longer and to add shorter service
        times and more loads.
    """
    seconds = _FULL_REPLAY_SECONDS if is_full else _REPLAY_SECONDS
    for site in (workloads.ANDINO, workloads.PENANG):
        yield from _measure_site(site, seconds)
        if is_full:
            yield from _measure_site(_shorten_service(site), seconds)
            yield from _sweep_loads(site, seconds)


def summarize(
    site: workloads.Site,
    load: workloads.Load,
    jobs: abc.Sequence[workloads.Job],
    seconds: float,
) -> ReplaySummary:
    """Return the results after the warm-up.

    :param seconds: time until which requests arrived.
    """
    start = replays.WARM_UP_SECONDS
    capacity = site.capacity * (seconds - start)
    counted = [job for job in jobs if job.arrival >= start]
    completed = [
        job
        for job in jobs
        if job.is_useful() and start <= (job.completed_at or 0) < seconds
    ]
    served = []
    work = []
    for priority in priorities.Priority:
        arrived = [job for job in counted if job.priority is priority]
        useful = [job for job in arrived if job.is_useful()]
        served.append(len(useful) / max(1, len(arrived)))
        worked = [job for job in completed if job.priority is priority]
        work.append(_sum_service_seconds(worked) / capacity)
    possible = min(1.0, _sum_service_seconds(counted) / capacity)
    sent = [job for job in counted if job.attempts]
    attempts = sum(job.attempts for job in sent)
    return ReplaySummary(
        served=tuple(served),
        useful=sum(work) / possible,
        work=tuple(work),
        retries=attempts / max(1, len(sent)) - 1,
        urgent_wait=_compute_urgent_wait(counted),
    )


def replay_ours(
    site: workloads.Site,
    load: workloads.Load,
    seconds: float,
    seed: int = SEED,
    *,
    can_pass: bool = True,
) -> ReplaySummary:
    """Return the results with one allocator that owns the service.

    :param can_pass: whether a host may pass a lease on to another of its
        requests.
    """
    replay = replays.Replay(site, load, seed)
    mechanism = owners.OwnerPerService(replay, seed, can_pass=can_pass)
    return _run(replay, mechanism, seconds, seed)


def replay_naive(
    site: workloads.Site,
    load: workloads.Load,
    seconds: float,
    seed: int = SEED,
) -> ReplaySummary:
    """Return the results of independent choice by each host."""
    replay = replays.Replay(site, load, seed)
    return _run(replay, mechanisms.IndependentChoice(replay), seconds, seed)


def replay_leased(
    site: workloads.Site,
    load: workloads.Load,
    seconds: float,
    seed: int = SEED,
) -> ReplaySummary:
    """Return the results with shares of the slots leased to hosts."""
    replay = replays.Replay(site, load, seed)
    return _run(replay, mechanisms.LeasedShares(replay), seconds, seed)


def replay_ideal(
    site: workloads.Site,
    load: workloads.Load,
    seconds: float,
    seed: int = SEED,
) -> ReplaySummary:
    """Return the results of central scheduling without message delays."""
    replay = replays.Replay(site, load, seed)
    return _run(replay, mechanisms.Ideal(replay), seconds, seed)


def _run(
    replay: replays.Replay,
    mechanism: replays.Mechanism,
    seconds: float,
    seed: int,
) -> ReplaySummary:
    jobs = workloads.create_jobs(replay.site, replay.load, seconds, seed)
    replay.run(mechanism, jobs, seconds)
    return summarize(replay.site, replay.load, jobs, seconds)


def _measure_site(
    site: workloads.Site,
    seconds: float,
) -> abc.Iterator[measures.Measure]:
    for load in workloads.LOADS:
        yield from _measure_load(site, load, seconds)
    outage = workloads.OUTAGE
    yield measures.Measure(
        name='retries-per-request',
        scenario=f'{site.name}-{outage.name}',
        ours=replay_ours(site, outage, seconds).retries,
        naive=replay_naive(site, outage, seconds).retries,
        ideal=_MAX_RETRIES_PER_REQUEST,
        unit='retries',
    )


def _measure_load(
    site: workloads.Site,
    load: workloads.Load,
    seconds: float,
) -> abc.Iterator[measures.Measure]:
    ours = replay_ours(site, load, seconds)
    naive = replay_naive(site, load, seconds)
    leased = replay_leased(site, load, seconds)
    ideal = replay_ideal(site, load, seconds)
    scenario = f'{site.name}-{load.name}'
    for priority in priorities.Priority:
        yield measures.Measure(
            name=f'work-{priority.name.lower()}',
            scenario=scenario,
            ours=ours.work[priority],
            naive=naive.work[priority],
            ideal=ideal.work[priority],
            unit='share-of-capacity',
            leased=leased.work[priority],
        )
        yield measures.Measure(
            name=f'served-{priority.name.lower()}',
            scenario=scenario,
            ours=ours.served[priority],
            naive=naive.served[priority],
            ideal=ideal.served[priority],
            unit='share-of-requests',
            leased=leased.served[priority],
        )
    yield measures.Measure(
        name='wait-urgent-p99',
        scenario=scenario,
        ours=ours.urgent_wait * _MILLISECONDS,
        naive=naive.urgent_wait * _MILLISECONDS,
        ideal=ideal.urgent_wait * _MILLISECONDS,
        unit='ms',
        leased=leased.urgent_wait * _MILLISECONDS,
    )
    yield measures.Measure(
        name='useful-work',
        scenario=scenario,
        ours=ours.useful,
        naive=naive.useful,
        ideal=ideal.useful,
        unit='share-of-possible',
        leased=leased.useful,
    )
    without_passing = replay_ours(site, load, seconds, can_pass=False)
    yield measures.Measure(
        name='useful-work-without-passing',
        scenario=scenario,
        ours=without_passing.useful,
        naive=naive.useful,
        ideal=ideal.useful,
        unit='share-of-possible',
    )


def _compute_urgent_wait(jobs: abc.Iterable[workloads.Job]) -> float:
    waits = sorted(
        job.completed_at - job.arrival - job.service_seconds
        for job in jobs
        if job.priority is priorities.Priority.URGENT and job.completed_at
    )
    return waits[int(len(waits) * _WAIT_QUANTILE)] if waits else 0.0


def _sweep_loads(
    site: workloads.Site,
    seconds: float,
) -> abc.Iterator[measures.Measure]:
    """Yield the useful work from below the capacity to far above it."""
    for mix in _MIXES:
        for total in _TOTAL_LOADS:
            urgent, standard, bulk = (total * share for share in mix)
            name = f'{total:g}-of-capacity-{mix[0]:g}-{mix[1]:g}-{mix[2]:g}'
            load = workloads.Load(name, (urgent, standard, bulk))
            yield measures.Measure(
                name='useful-work',
                scenario=f'{site.name}-{name}',
                ours=replay_ours(site, load, seconds).useful,
                naive=replay_naive(site, load, seconds).useful,
                ideal=replay_ideal(site, load, seconds).useful,
                unit='share-of-possible',
            )


def _shorten_service(site: workloads.Site) -> workloads.Site:
    milliseconds = round(_SHORT_SERVICE_SECONDS * 1000)
    return dataclasses.replace(
        site,
        name=f'{site.name}-{milliseconds}ms',
        service_seconds=_SHORT_SERVICE_SECONDS,
    )


def _sum_service_seconds(jobs: abc.Iterable[workloads.Job]) -> float:
    return sum(job.service_seconds for job in jobs)
