"""Tests of the replay, and of the allocator against other mechanisms."""

import dataclasses

import pytest

from benchmarks import allocation, measures, replays, workloads
from wagtailspread.core import priorities

SECONDS = 4.0
#: Less than the target of 0.95, since the result of a short replay varies.
MIN_USEFUL_SHARE = 0.93
#: Less than 1, since single requests may fail at the start.
MIN_URGENT_SERVED_SHARE = 0.995
#: Slightly more than the limit of 0.1 retries per first attempt.
MAX_RETRIES_PER_REQUEST = 0.105
#: With up to three attempts at 50% errors and without a common limit.
MIN_NAIVE_RETRIES_PER_REQUEST = 0.5
SITE = dataclasses.replace(workloads.PENANG, name='small', hosts=20)
HALF, OVERLOAD, BULK_FLOOD, URGENT_FLOOD = workloads.LOADS
FLOODS = (OVERLOAD, BULK_FLOOD, URGENT_FLOOD)
URGENT, STANDARD, BULK = priorities.Priority


@pytest.mark.parametrize('load', FLOODS, ids=lambda load: load.name)
@pytest.mark.parametrize('seed', [1, 2])
def test_allocator_does_more_useful_work_than_independent_choice(load, seed):
    """Guards against an allocator that is no better than independent hosts."""
    ours = allocation.replay_ours(SITE, load, SECONDS, seed)
    naive = allocation.replay_naive(SITE, load, SECONDS, seed)
    assert ours.useful > naive.useful + 0.2
    assert ours.useful > MIN_USEFUL_SHARE
    assert all(
        ours.work[priority] > naive.work[priority] - 0.02
        for priority in priorities.Priority
    )


def test_bulk_flood_does_not_delay_urgent_requests():
    """Guards against urgent requests that are refused or late in a flood."""
    calm = workloads.Load('calm', (0.3, 0.2, 0.0001))
    ours = allocation.replay_ours(SITE, BULK_FLOOD, SECONDS)
    without_flood = allocation.replay_ours(SITE, calm, SECONDS)
    assert ours.served[URGENT] > MIN_URGENT_SERVED_SHARE
    assert ours.urgent_wait < without_flood.urgent_wait + SITE.service_seconds


def test_urgent_flood_does_not_starve_other_priorities():
    """Guards against priorities that starve in an urgent flood."""
    ours = allocation.replay_ours(SITE, URGENT_FLOOD, SECONDS)
    ideal = allocation.replay_ideal(SITE, URGENT_FLOOD, SECONDS)
    assert ours.work[STANDARD] > 0.9 * ideal.work[STANDARD]
    assert ours.work[BULK] > 0.85 * ideal.work[BULK]


def test_retries_are_limited_during_an_outage():
    """Guards against a retry storm when half of all attempts fail."""
    ours = allocation.replay_ours(SITE, workloads.OUTAGE, SECONDS)
    naive = allocation.replay_naive(SITE, workloads.OUTAGE, SECONDS)
    assert MAX_RETRIES_PER_REQUEST / 2 < ours.retries <= MAX_RETRIES_PER_REQUEST
    assert naive.retries > MIN_NAIVE_RETRIES_PER_REQUEST


def test_replay_is_deterministic():
    """Guards against results that cannot be reproduced from their seed."""
    first = allocation.replay_ours(SITE, OVERLOAD, SECONDS)
    assert allocation.replay_ours(SITE, OVERLOAD, SECONDS) == first


def test_ideal_uses_all_slots():
    """Guards against an ideal that wastes slots and is easy to reach."""
    ideal = allocation.replay_ideal(SITE, OVERLOAD, SECONDS)
    assert ideal.useful == pytest.approx(1.0, abs=0.03)


def test_upstream_runs_one_request_per_slot():
    """Guards against a replay with more capacity than the site."""
    scheduler = replays.EventScheduler()
    upstream = replays.Upstream(scheduler, SITE, 0)
    finish_times = []
    for number in range(2 * SITE.slots):
        job = workloads.Job(number, URGENT, 0, 0, 0.0, 0.1)
        upstream.receive(job, lambda: finish_times.append(scheduler.now))
    scheduler.run(1.0)
    assert finish_times.count(pytest.approx(0.1)) == SITE.slots
    assert finish_times.count(pytest.approx(0.2)) == SITE.slots


def test_line_contains_all_fields():
    """Guards against lines that the scripts cannot parse."""
    measure = measures.Measure('m', 's', 1, 2, 3, 'ms', leased=4)
    assert (
        measure.format_line() == 'm s ours=1 naive=2 ideal=3 unit=ms leased=4'
    )
