"""Processor time of an allocator with many queued requests.

Run with ``python -m benchmarks.queue_costs``. All slots of 260 upstreams are in
use and 5,000 requests of 75 workspaces and four kinds are queued. Each figure
is the mean of many calls in the best of some runs.
"""

import random as random_module
import sys
import time

from benchmarks import measures, overload_products
from wagtailspread.core import identifiers
from wagtailspread.placement import allocators, budgets, messages, selection
from wagtailspread.registry import tables

UPSTREAMS = 260
SLOTS = 6
WAITING = 5000
_CALLS = 100
_REPETITIONS = 3
_MICROSECONDS = 1_000_000
_SEED = 20261207
#: Time between two calls in seconds; ticks come twenty times a second at least.
_STEP_SECONDS = 0.01
_SECONDS_LEFT = 60.0
_WORKSPACES = 75
_KINDS = 4


class _Load:
    """An allocator whose slots are in use, with queued requests."""

    def __init__(self, waiting: int) -> None:
        """Fill all slots, and queue so many requests."""
        random = random_module.Random(_SEED)
        rows = [
            overload_products.create_record(number, SLOTS)
            for number in range(UPSTREAMS)
        ]
        selector = selection.create_selector(
            tables.create_table(rows), overload_products.REGIONS, random
        )
        for row in rows:
            selector.risk_table.add_successes(row.upstream, 20, 4.0, 0.0)
        budget = budgets.SharedRetryBudget(0.2, 10.0, 10.0, lambda: 1)
        self.allocator = allocators.create_allocator(selector, budget)
        self.now = 0.0
        self._numbers = iter(range(sys.maxsize))
        self.running: list[tuple[identifiers.RequestId, messages.Answer]] = []
        self.queued: list[messages.PlacementRequest] = []
        while len(self.queued) < waiting:
            self.submit()

    def submit(self) -> None:
        """Submit one more request."""
        number = next(self._numbers)
        request = messages.PlacementRequest(
            request_id=identifiers.RequestId(f'q{number}'),
            host=identifiers.HostId(f'h{number % 99}'),
            domain=overload_products.DOMAINS[number % 4],
            service=overload_products.SERVICE,
            deadline=self.now + _SECONDS_LEFT,
            objective=_SECONDS_LEFT,
            workspace=identifiers.WorkspaceName(f'w{number % _WORKSPACES}'),
            route_class=number % _KINDS,
        )
        answer = self.allocator.submit(request, self.now)
        if answer.record is not None:
            self.running.append((request.request_id, answer))
        elif answer.decision is messages.Decision.WAITING:
            self.queued.append(request)

    def poll(self) -> None:
        """Let the hosts poll, so that nothing is dropped."""
        for request in self.queued:
            self.allocator.submit(request, self.now)

    def settle(self) -> None:
        """End a request, which frees a slot."""
        request_id, answer = self.running.pop(0)
        if answer.record is not None:
            self.allocator.settle(
                request_id,
                answer.record.upstream,
                messages.Evidence.GOOD,
                0.2,
                self.now,
            )


def measure_queue() -> list[str]:
    """Return the lines with the cost of submit and tick."""
    costs = {
        'submit': min(_time_submit() for _ in range(_REPETITIONS)),
        'tick': min(_time_tick(0) for _ in range(_REPETITIONS)),
        'tick-after-end': min(_time_tick(1) for _ in range(_REPETITIONS)),
    }
    nan = float('nan')
    return [
        measures.Measure(
            f'queue-{name}',
            f'{UPSTREAMS}-upstreams-{WAITING}-waiting',
            seconds * _MICROSECONDS,
            nan,
            nan,
            'us',
        ).format_line()
        for name, seconds in costs.items()
    ]


def _time_submit() -> float:
    load = _Load(WAITING)
    start = time.process_time()
    for _ in range(_CALLS):
        load.submit()
    return (time.process_time() - start) / _CALLS


def _time_tick(ends: int) -> float:
    """Return the mean time of a tick.

    :param ends: number of requests that end before each tick.
    """
    load = _Load(WAITING)
    spent = 0.0
    for _ in range(_CALLS):
        load.now += _STEP_SECONDS
        load.poll()
        for _ in range(ends):
            load.settle()
        start = time.process_time()
        load.allocator.tick(load.now)
        spent += time.process_time() - start
    return spent / _CALLS


if __name__ == '__main__':
    sys.stdout.write('\n'.join(measure_queue()) + '\n')
