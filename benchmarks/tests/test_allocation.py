"""Differential tests of the allocator against independent choice."""

import dataclasses

import pytest

from benchmarks import allocation, measures, replays, workloads
from wagtailspread.core import priorities

SECONDS = 4.0
#: Below the bound of 0.95, since a short replay varies.
LEAST_USEFUL = 0.93
#: All but single requests at the start.
NEARLY_ALL = 0.995
RETRY_BOUND = 0.105
#: Retries of hosts on their own: three attempts at 50% errors, unbounded.
STORM = 0.5
SITE = dataclasses.replace(workloads.PENANG, name='small', hosts=20)
HALF, OVERLOAD, BULK_FLOOD, URGENT_FLOOD = workloads.LOADS
FLOODS = (OVERLOAD, BULK_FLOOD, URGENT_FLOOD)
URGENT, STANDARD, BULK = priorities.Priority


@pytest.mark.parametrize('load', FLOODS, ids=lambda load: load.name)
@pytest.mark.parametrize('seed', [1, 2])
def test_owner_does_more_useful_work_than_independent_choice(load, seed):
    """Guards against an allocator that is no better than none."""
    ours = allocation.replay_ours(SITE, load, SECONDS, seed)
    naive = allocation.replay_naive(SITE, load, SECONDS, seed)
    assert ours.useful > naive.useful + 0.2
    assert ours.useful > LEAST_USEFUL
    assert all(
        ours.work[priority] > naive.work[priority] - 0.02
        for priority in priorities.Priority
    )


def test_bulk_flood_costs_urgent_work_nothing():
    """Guards against urgent work that is refused or late in a bulk flood."""
    calm = workloads.Load('calm', (0.3, 0.2, 0.0001))
    ours = allocation.replay_ours(SITE, BULK_FLOOD, SECONDS)
    alone = allocation.replay_ours(SITE, calm, SECONDS)
    assert ours.served[URGENT] > NEARLY_ALL
    assert ours.urgent_wait < alone.urgent_wait + SITE.service_seconds


def test_urgent_flood_leaves_the_others_their_shares():
    """Guards against priorities that starve in an urgent flood."""
    ours = allocation.replay_ours(SITE, URGENT_FLOOD, SECONDS)
    ideal = allocation.replay_ideal(SITE, URGENT_FLOOD, SECONDS)
    assert ours.work[STANDARD] > 0.9 * ideal.work[STANDARD]
    assert ours.work[BULK] > 0.85 * ideal.work[BULK]


def test_retries_stay_bounded_while_all_upstreams_fail():
    """Guards against a retry storm across all hosts."""
    ours = allocation.replay_ours(SITE, workloads.OUTAGE, SECONDS)
    naive = allocation.replay_naive(SITE, workloads.OUTAGE, SECONDS)
    assert RETRY_BOUND / 2 < ours.retries <= RETRY_BOUND
    assert naive.retries > STORM


def test_replay_is_deterministic():
    """Guards against figures that cannot be reproduced from their seed."""
    first = allocation.replay_ours(SITE, OVERLOAD, SECONDS)
    assert allocation.replay_ours(SITE, OVERLOAD, SECONDS) == first


def test_ideal_uses_all_slots():
    """Guards against a lenient bound."""
    ideal = allocation.replay_ideal(SITE, OVERLOAD, SECONDS)
    assert ideal.useful == pytest.approx(1.0, abs=0.03)


def test_upstream_runs_no_more_than_its_slots():
    """Guards against a replay with more capacity than the site."""
    scheduler = replays.EventScheduler()
    upstream = replays.Upstream(scheduler, SITE, 0)
    ended = []
    for number in range(2 * SITE.slots):
        job = workloads.Job(number, URGENT, 0, 0, 0.0, 0.1)
        upstream.receive(job, lambda: ended.append(scheduler.now))
    scheduler.run(1.0)
    assert ended.count(pytest.approx(0.1)) == SITE.slots
    assert ended.count(pytest.approx(0.2)) == SITE.slots


def test_line_has_the_agreed_fields():
    """Guards against lines that others cannot read."""
    measure = measures.Measure('m', 's', 1, 2, 3, 'ms', leased=4)
    assert (
        measure.format_line() == 'm s ours=1 naive=2 ideal=3 unit=ms leased=4'
    )
