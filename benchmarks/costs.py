"""Processor time of a decision and memory of the control state."""

import gc
import pathlib
import random as random_module
import resource
import subprocess  # noqa: S404 - memory is measured in a fresh process
import sys
import time

from collections import abc

from benchmarks import measures
from wagtailspread.allocation import coordination
from wagtailspread.core import identifiers, outcomes, priorities

_FEW_UPSTREAMS = 26
_MANY_UPSTREAMS = 260
_SLOTS = 6
#: Measured decisions of one run, after two thirds of the slots are in use.
DECISIONS = 4000
_REPETITIONS = 5
_MICROSECONDS = 1_000_000
_MAX_DECISION_MICROSECONDS = 50.0
_MAX_COST_GROWTH = 2.0
_MAX_MEMORY_MEGABYTES = 32.0
_KIBI = 1024
_SERVICES = 1200
_UPSTREAMS = 31_000
#: Time between two decisions, in seconds: 5,000 decisions a second.
_DECISION_INTERVAL_SECONDS = 0.0002
_SEED = 20261204


def measure() -> abc.Iterator[measures.Measure]:
    """Yield the cost of a decision and the growth of memory."""
    small = time_decisions(_FEW_UPSTREAMS)
    large = time_decisions(_MANY_UPSTREAMS)
    for upstreams, seconds in (
        (_FEW_UPSTREAMS, small),
        (_MANY_UPSTREAMS, large),
    ):
        yield _create_measure(
            'decision-cost',
            f'{upstreams}-upstreams',
            seconds * _MICROSECONDS,
            _MAX_DECISION_MICROSECONDS,
            'us',
        )
    yield _create_measure(
        'decision-cost-growth',
        f'{_FEW_UPSTREAMS}-to-{_MANY_UPSTREAMS}-upstreams',
        large / small,
        _MAX_COST_GROWTH,
        'ratio',
    )
    yield _create_measure(
        'memory-growth',
        f'{_UPSTREAMS}-upstreams-{_SERVICES}-services',
        measure_memory(),
        _MAX_MEMORY_MEGABYTES,
        'MB',
    )


def time_decisions(upstreams: int) -> float:
    """Return the processor time of one decision in seconds.

    A decision consists of submit, tick and complete, with two thirds of the
    slots in use. The result is the minimum of several runs, since other work on
    the machine can only make a run slower.
    """
    return min(_time_run(upstreams) for _ in range(_REPETITIONS))


def measure_memory() -> float:
    """Return the memory in MiB that the tables add to a fresh process.

    :raises subprocess.CalledProcessError: when the process fails.
    """
    command = [sys.executable, '-m', 'benchmarks.costs']
    finished = subprocess.run(  # noqa: S603 - our own module
        command,
        cwd=pathlib.Path(__file__).parents[1],
        capture_output=True,
        text=True,
        check=True,
    )
    return float(finished.stdout)


def create_allocators(
    services: int,
    upstreams: int,
) -> list[coordination.Coordinator]:
    """Return allocators with announced upstreams, after their first tick."""
    allocators = [_create_allocator(number) for number in range(services)]
    for number in range(upstreams):
        _announce(allocators[number % services], number, 0.0)
    for allocator in allocators:
        allocator.tick(0.0)
    return allocators


def _create_allocator(number: int) -> coordination.Coordinator:
    return coordination.create_coordinator(
        coordination.AllocationPolicy(),
        coordination.AcceptingJudge(),
        random_module.Random(_SEED + number),
    )


def _announce(
    allocator: coordination.Coordinator,
    number: int,
    now: float,
) -> None:
    """Announce an upstream with unshared strings, as if decoded."""
    announcement = coordination.Announcement(
        service=identifiers.ServiceName(f'service-{number}'),
        upstream=identifiers.UpstreamId(f'upstream-{number}'),
        address=identifiers.Address(f'10.0.{number // 256}.{number % 256}:80'),
        region=identifiers.RegionName(f'region-{number % 2}'),
        domain=identifiers.FailureDomain(f'domain-{number % 2}'),
        slots=_SLOTS,
        connections=400,
        incarnation=identifiers.Incarnation(1_700_000_000_000 + number),
    )
    allocator.announce(announcement, now)


def _time_run(upstreams: int) -> float:
    started: list[float] = []
    run_decisions(upstreams, lambda: started.append(time.process_time()))
    return (time.process_time() - started[0]) / DECISIONS


def run_decisions(
    upstreams: int,
    start_measuring: abc.Callable[[], None],
) -> None:
    """Run :data:`DECISIONS` decisions with two thirds of the slots in use.

    :param start_measuring: called when the slots are in use, before the
        decisions to be measured.
    """
    allocator = _create_allocator(0)
    for number in range(upstreams):
        _announce(allocator, number, 0.0)
    open_leases: list[identifiers.LeaseId] = []
    target = upstreams * _SLOTS * 2 // 3
    now = 0.0
    gc.collect()
    for number in range(DECISIONS + target):
        if number == target:
            start_measuring()
        now += _DECISION_INTERVAL_SECONDS
        _decide(allocator, number, now, open_leases)
        if len(open_leases) > target:
            _return_lease(allocator, open_leases.pop(0), now)


def _decide(
    allocator: coordination.Coordinator,
    number: int,
    now: float,
    open_leases: list[identifiers.LeaseId],
) -> None:
    request = coordination.SlotRequest(
        request=identifiers.RequestId(f'r{number}'),
        host=identifiers.HostId(f'h{number % 44}'),
        domain=identifiers.FailureDomain(f'domain-{number % 2}'),
        priority=priorities.Priority(number % 3),
        deadline=now + 2,
    )
    allocator.submit(request, now)
    for decision in allocator.tick(now):
        if isinstance(decision, coordination.Grant):
            open_leases.append(decision.lease)


def _return_lease(
    allocator: coordination.Coordinator,
    lease: identifiers.LeaseId,
    now: float,
) -> None:
    completion = coordination.Completion(
        lease,
        outcomes.ExchangeResult.SUCCESS,
        0.05,
    )
    allocator.complete(completion, now)


def _create_measure(
    name: str,
    scenario: str,
    ours: float,
    bound: float,
    unit: str,
) -> measures.Measure:
    """Return a cost with its bound; the naive mechanism has no such cost."""
    return measures.Measure(name, scenario, ours, float('nan'), bound, unit)


def _report_memory() -> None:
    """Print the growth of the resident memory of this process in MiB."""
    gc.collect()
    before = _read_resident_kilobytes()
    allocators = create_allocators(_SERVICES, _UPSTREAMS)
    gc.collect()
    growth_kilobytes = _read_resident_kilobytes() - before
    sys.stdout.write(f'{growth_kilobytes / _KIBI:.2f}\n')
    del allocators


def _read_resident_kilobytes() -> float:
    status = pathlib.Path('/proc/self/statm')
    if status.exists():
        pages = int(status.read_text().split()[1])
        return pages * resource.getpagesize() / _KIBI
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


if __name__ == '__main__':
    _report_memory()
