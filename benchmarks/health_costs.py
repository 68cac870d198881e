"""Memory of all judges in one process, and time of single calls.

Memory is that allocated by Python. Times depend on the machine and its load.
All upstreams fail most requests, which makes ticks expensive.

Run with ``python -m benchmarks.health_costs``.
"""

import random
import time
import tracemalloc
import typing

from wagtailspread.core import identifiers, outcomes
from wagtailspread.health import authority, judges, tables

#: Services, upstreams and hosts of a region at the design size.
SERVICES = 1200
UPSTREAMS = 31000
HOSTS = 1200
DOMAINS = tuple(
    identifiers.FailureDomain(f'domain-{number}') for number in range(4)
)
#: Number of timed calls that record a result, and of timed queries.
TIMED_CALLS = 50000
#: Number of timed ticks.
TIMED_TICKS = 30
#: Time between two ticks, in seconds.
TICK_INTERVAL_SECONDS = 0.1
START_SECONDS = 100.0
SLOTS = 6

_Upstreams = list[identifiers.UpstreamId]


def measure_memory() -> str:
    """Return the line with the memory of the judges of all services.

    Every upstream has results from four failure domains, and every host has
    voted in every service within the last two seconds.
    """
    hosts = _list_hosts()
    services = [_list_upstreams(number) for number in range(SERVICES)]
    count = sum(len(upstreams) for upstreams in services)
    tracemalloc.start()
    index = authority.HostIndex()
    loaded_judges = [
        _create_loaded_judge(upstreams, hosts, index) for upstreams in services
    ]
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    megabytes = used_bytes / 1e6
    return (
        f'measure health-memory-{count}-upstreams-{len(loaded_judges)}-services'
        f' ours={megabytes:.1f} unit=MB'
    )


def measure_calls(count: int) -> list[str]:
    """Return the lines with the times of calls.

    :param count: number of upstreams of the service.
    """
    hosts = _list_hosts()
    upstreams = [
        identifiers.UpstreamId(f'upstream-{number}') for number in range(count)
    ]
    judge = _create_loaded_judge(upstreams, hosts[:44], authority.HostIndex())
    now = START_SECONDS + 1
    success = outcomes.ExchangeResult.SUCCESS

    def record(number: int) -> None:
        host = hosts[number % 44]
        upstream = upstreams[number % count]
        judge.record(upstream, host, DOMAINS[number % 2], success, 0.05, now)

    def query(number: int) -> None:
        judge.is_usable(upstreams[number % count], DOMAINS[0], now)

    capacities = [tables.Capacity(name, SLOTS) for name in upstreams]

    def tick(number: int) -> None:
        judge.tick(capacities, now + TICK_INTERVAL_SECONDS * number)

    label = f'measure health-{count}-upstreams'
    return [
        f'{label}-record ours={_time_calls(record, TIMED_CALLS):.2f} unit=us',
        f'{label}-is-usable ours={_time_calls(query, TIMED_CALLS):.2f} unit=us',
        f'{label}-tick ours={_time_calls(tick, TIMED_TICKS):.0f} unit=us',
    ]


def _time_calls(call: typing.Callable[[int], None], calls: int) -> float:
    start = time.perf_counter()
    for number in range(calls):
        call(number)
    return (time.perf_counter() - start) / calls * 1e6


def _create_loaded_judge(
    upstreams: _Upstreams,
    hosts: list[identifiers.HostId],
    index: authority.HostIndex,
) -> judges.Judge:
    policy = judges.HealthPolicy(floor=0.5, host_count=len(hosts))
    judge = judges.create_judge(policy, random.Random(1), index)
    now = START_SECONDS
    for number, host in enumerate(hosts):
        judge.record_vote(host, now - number % 16 * TICK_INTERVAL_SECONDS)
    judge.tick([tables.Capacity(name, SLOTS) for name in upstreams], now)
    for number, upstream in enumerate(upstreams):
        for domain in DOMAINS:
            for outcome in outcomes.ExchangeResult:
                sender = hosts[number % len(hosts)]
                judge.record(upstream, sender, domain, outcome, 0.05, now)
    judge.tick([tables.Capacity(name, SLOTS) for name in upstreams], now + 1)
    return judge


def _list_hosts() -> list[identifiers.HostId]:
    return [identifiers.HostId(f'host-{number}') for number in range(HOSTS)]


def _list_upstreams(service: int) -> _Upstreams:
    first = UPSTREAMS * service // SERVICES
    last = UPSTREAMS * (service + 1) // SERVICES
    return [
        identifiers.UpstreamId(f'upstream-{number}')
        for number in range(first, last)
    ]


def measure_costs() -> list[str]:
    """Return the lines of all measures."""
    lines = [measure_memory()]
    for count in (9, 26, 260):
        lines.extend(measure_calls(count))
    return lines


if __name__ == '__main__':
    for line in measure_costs():
        print(line)
