"""Comparison of the allocation mechanisms under load."""

import dataclasses

from collections import abc

from benchmarks import measures, mechanisms, owners, replays, workloads
from wagtailspread.core import priorities

SEED = 20261204
_SECONDS = 5.0
_FULL_SECONDS = 20.0
_RETRY_BOUND = 0.1
_QUANTILE = 0.99
#: Offered work of the full run, and its division among the priorities.
_TOTALS = (0.8, 0.95, 1.0, 1.2, 5.0)
_MIXES = ((0.4, 0.4, 0.2), (0.1, 0.1, 0.8), (0.8, 0.1, 0.1))
_MILLISECONDS = 1000
#: A shorter service time, to show what the message delays cost.
_SHORT_SECONDS = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """What one mechanism reached.

    :param served: share of the requests answered in time, by priority.
    :param useful: work done in time, as a share of what the load and the
        capacity allow.
    :param work: work done in time by priority, as a share of the capacity.
    :param retries: for each request that was sent at least once.
    :param urgent_wait: 99th percentile of the time that urgent requests which
        were answered took beyond their service time, in seconds.
    """

    served: tuple[float, ...]
    useful: float
    work: tuple[float, ...]
    retries: float
    urgent_wait: float


def measure(is_full: bool) -> abc.Iterator[measures.Measure]:
    """Yield the figures of all scenarios.

    :param is_full: replay longer, and shorter service times, too.
    """
    seconds = _FULL_SECONDS if is_full else _SECONDS
    for site in (workloads.ANDINO, workloads.PENANG):
        yield from _measure_site(site, seconds)
        if is_full:
            yield from _measure_site(_shorten(site), seconds)
            yield from _sweep_loads(site, seconds)


def compute_figures(
    site: workloads.Site,
    load: workloads.Load,
    jobs: abc.Sequence[workloads.Job],
    seconds: float,
) -> Figures:
    """Return the figures of the time after the warm-up."""
    begin = replays.WARM_UP_SECONDS
    capacity = site.capacity * (seconds - begin)
    counted = [job for job in jobs if job.arrival >= begin]
    ended = [
        job
        for job in jobs
        if job.is_useful() and begin <= (job.ended or 0) < seconds
    ]
    served = []
    work = []
    for priority in priorities.Priority:
        ours = [job for job in counted if job.priority is priority]
        useful = [job for job in ours if job.is_useful()]
        served.append(len(useful) / max(1, len(ours)))
        done = [job for job in ended if job.priority is priority]
        work.append(_sum_service(done) / capacity)
    possible = min(1.0, _sum_service(counted) / capacity)
    sent = [job for job in counted if job.attempts]
    attempts = sum(job.attempts for job in sent)
    return Figures(
        served=tuple(served),
        useful=sum(work) / possible,
        work=tuple(work),
        retries=attempts / max(1, len(sent)) - 1,
        urgent_wait=_find_urgent_wait(counted),
    )


def replay_ours(
    site: workloads.Site,
    load: workloads.Load,
    seconds: float,
    seed: int = SEED,
    *,
    can_pass: bool = True,
) -> Figures:
    """Return the figures with an owner for each service.

    :param can_pass: whether hosts pass leases on to their own requests.
    """
    replay = replays.Replay(site, load, seed)
    mechanism = owners.OwnerPerService(replay, seed, can_pass=can_pass)
    return _run(replay, mechanism, seconds, seed)


def replay_naive(
    site: workloads.Site,
    load: workloads.Load,
    seconds: float,
    seed: int = SEED,
) -> Figures:
    """Return the figures with independent choice."""
    replay = replays.Replay(site, load, seed)
    return _run(replay, mechanisms.IndependentChoice(replay), seconds, seed)


def replay_leased(
    site: workloads.Site,
    load: workloads.Load,
    seconds: float,
    seed: int = SEED,
) -> Figures:
    """Return the figures with leased shares."""
    replay = replays.Replay(site, load, seed)
    return _run(replay, mechanisms.LeasedShares(replay), seconds, seed)


def replay_ideal(
    site: workloads.Site,
    load: workloads.Load,
    seconds: float,
    seed: int = SEED,
) -> Figures:
    """Return the figures with complete knowledge."""
    replay = replays.Replay(site, load, seed)
    return _run(replay, mechanisms.Ideal(replay), seconds, seed)


def _run(
    replay: replays.Replay,
    mechanism: replays.Mechanism,
    seconds: float,
    seed: int,
) -> Figures:
    jobs = workloads.create_jobs(replay.site, replay.load, seconds, seed)
    replay.run(mechanism, jobs, seconds)
    return compute_figures(replay.site, replay.load, jobs, seconds)


def _measure_site(
    site: workloads.Site,
    seconds: float,
) -> abc.Iterator[measures.Measure]:
    for offered in workloads.LOADS:
        yield from _measure_load(site, offered, seconds)
    load = workloads.OUTAGE
    yield measures.Measure(
        name='retries-per-request',
        scenario=f'{site.name}-{load.name}',
        ours=replay_ours(site, load, seconds).retries,
        naive=replay_naive(site, load, seconds).retries,
        ideal=_RETRY_BOUND,
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
    unpassed = replay_ours(site, load, seconds, can_pass=False)
    yield measures.Measure(
        name='useful-work-without-passing',
        scenario=scenario,
        ours=unpassed.useful,
        naive=naive.useful,
        ideal=ideal.useful,
        unit='share-of-possible',
    )


def _find_urgent_wait(jobs: abc.Iterable[workloads.Job]) -> float:
    waits = sorted(
        job.ended - job.arrival - job.service
        for job in jobs
        if job.priority is priorities.Priority.URGENT and job.ended
    )
    return waits[int(len(waits) * _QUANTILE)] if waits else 0.0


def _sweep_loads(
    site: workloads.Site,
    seconds: float,
) -> abc.Iterator[measures.Measure]:
    """Yield the useful work from below the capacity to far above it."""
    for mix in _MIXES:
        for total in _TOTALS:
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


def _shorten(site: workloads.Site) -> workloads.Site:
    milliseconds = round(_SHORT_SECONDS * 1000)
    return dataclasses.replace(
        site,
        name=f'{site.name}-{milliseconds}ms',
        service_seconds=_SHORT_SECONDS,
    )


def _sum_service(jobs: abc.Iterable[workloads.Job]) -> float:
    return sum(job.service for job in jobs)
