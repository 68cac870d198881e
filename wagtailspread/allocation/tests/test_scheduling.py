"""Tests of shares under overload, and of admission by the deadline."""

import operator

import pytest

from wagtailspread.allocation import budgets, coordination, scheduling
from wagtailspread.allocation.tests import builders
from wagtailspread.core import outcomes, priorities

STEP_SECONDS = 0.005
HOLD_SECONDS = 0.05
REASON = outcomes.RefusalReason


def fill_queues(coordinator, waiting, now):
    """Submit requests until the given number of each priority waits."""
    for priority in priorities.Priority:
        missing = waiting[priority] - coordinator.queues.counts[priority]
        for _ in range(missing):
            request = builders.make_request(
                priority=priority,
                deadline=now + 1e6,
            )
            coordinator.submit(request, now)


def run_flood(coordinator, waiting, seconds):
    """Return the share of the slot time that each priority used.

    :param waiting: number of waiting requests of each priority, maintained
        throughout.
    """
    used = [0 for _ in priorities.Priority]
    open_grants = []
    for step in range(round(seconds / STEP_SECONDS)):
        now = step * STEP_SECONDS
        if step % 100 == 0:
            builders.announce_all(coordinator, 3, now, slots=3)
        while open_grants and open_grants[0][0] <= now:
            builders.complete_all(coordinator, [open_grants.pop(0)[1]], now)
        fill_queues(coordinator, waiting, now)
        grants = builders.list_grants(coordinator.tick(now))
        open_grants.extend((now + HOLD_SECONDS, grant) for grant in grants)
        used = list(map(operator.add, used, coordinator.shares.in_use))
    return [slot_time / sum(used) for slot_time in used]


@pytest.mark.parametrize(
    ('shares', 'waiting', 'expected'),
    [
        # All priorities have requests: each gets its share, including
        # fractions of slots.
        ((0.6, 0.3, 0.1), (20, 20, 20), (0.6, 0.3, 0.1)),
        ((0.5, 0.25, 0.25), (20, 20, 20), (0.5, 0.25, 0.25)),
        # A flood of urgent requests does not reduce the shares of others.
        ((0.6, 0.3, 0.1), (90, 10, 10), (0.6, 0.3, 0.1)),
        # Unused and unassigned shares go to the most urgent priority.
        ((0.6, 0.3, 0.1), (20, 0, 20), (0.9, 0.0, 0.1)),
        ((0.6, 0.3, 0.1), (0, 20, 20), (0.0, 0.9, 0.1)),
        ((0.2, 0.2, 0.2), (20, 20, 20), (0.6, 0.2, 0.2)),
        ((0.6, 0.3, 0.1), (0, 0, 20), (0.0, 0.0, 1.0)),
    ],
)
def test_priorities_get_their_shares(shares, waiting, expected):
    """Guards against floods that use the shares of other priorities."""
    coordinator = builders.make_coordinator(shares=shares)
    measured = run_flood(coordinator, waiting, seconds=12.0)
    assert measured == pytest.approx(expected, abs=0.02)


def test_urgent_request_gets_the_next_free_slot_in_a_bulk_flood():
    """Guards against urgent requests that queue behind bulk requests."""
    coordinator = builders.make_coordinator()
    builders.announce_all(coordinator, 1)
    first = builders.list_grants(
        builders.submit_all(coordinator, 500, priority=builders.BULK),
    )
    request = builders.make_request(priority=builders.URGENT)
    coordinator.submit(request, 0.1)
    builders.complete_all(coordinator, first[:1], 0.2)
    grants = builders.list_grants(coordinator.tick(0.2))
    assert [grant.request for grant in grants] == [request.request]


def test_credit_of_an_idle_priority_is_bounded():
    """Guards against a burst after a long time without requests."""
    shares = scheduling.Shares((0.5, 0.25, 0.25))
    shares.resize(3, 0.0)
    shares.acquire(builders.BULK, 10_000.0)
    shares.release(builders.BULK, 10_008.0)
    assert not shares.is_entitled(builders.BULK, 10_008.1)


def make_loaded_coordinator(waiting, limit=1000):
    """Return an allocator with a queue and 2 used slots, held 0.1 s each."""
    coordinator = builders.make_coordinator(queue_limits=(limit, limit, limit))
    builders.announce_all(coordinator, 1, slots=2)
    for step in range(8):
        now = step / 10
        grants = builders.list_grants(
            builders.submit_all(coordinator, 2, now, deadline=now + 1),
        )
        if step < 7:
            builders.complete_all(coordinator, grants, now + 0.1)
    builders.submit_all(coordinator, waiting, 0.7, deadline=99.0)
    return coordinator


@pytest.mark.parametrize(
    ('waiting', 'seconds', 'reasons'),
    [
        (0, 0.05, [REASON.DEADLINE_UNREACHABLE]),
        (0, 0.2, []),
        (10, 0.3, [REASON.DEADLINE_UNREACHABLE]),
        (10, 1.2, []),
        (40, 1.2, [REASON.DEADLINE_UNREACHABLE]),
    ],
)
def test_request_that_cannot_meet_its_deadline_is_refused_on_arrival(
    waiting,
    seconds,
    reasons,
):
    """Guards against requests that wait and then miss their deadline."""
    coordinator = make_loaded_coordinator(waiting)
    decisions = builders.submit_all(
        coordinator,
        1,
        0.7,
        deadline=0.7 + seconds,
    )
    assert builders.list_reasons(decisions) == reasons


def test_admission_uses_the_upper_bound_of_the_hold_time():
    """Guards against a queue whose last requests miss their deadline."""
    coordinator = builders.make_coordinator()
    builders.announce_all(coordinator, 1, slots=1)
    for step in range(40):
        now = step / 20
        builders.announce_all(coordinator, 1, now, slots=1)
        grants = builders.list_grants(
            builders.submit_all(coordinator, 1, now, deadline=now + 1),
        )
        hold_time = 0.01 if step % 4 else 0.04
        builders.complete_all(coordinator, grants, now + hold_time)
    decisions = builders.submit_all(coordinator, 3, 2.0, deadline=2.06)
    assert builders.list_reasons(decisions) == [REASON.DEADLINE_UNREACHABLE]


def test_waiting_request_is_dropped_when_it_cannot_meet_its_deadline():
    """Guards against a start of requests that would miss their deadline."""
    coordinator = make_loaded_coordinator(0)
    builders.submit_all(coordinator, 1, 0.7, deadline=1.2)
    dropped = coordinator.tick(1.19)
    assert builders.list_reasons(dropped) == [REASON.DEADLINE_UNREACHABLE]


@pytest.mark.parametrize('excluded', [(), ('u0',)])
def test_request_that_excludes_the_free_upstream_does_not_block_others(
    excluded,
):
    """Guards against head-of-line blocking by a retry."""
    coordinator = builders.make_coordinator(retry_share=1.0)
    builders.announce_all(coordinator, 2, slots=1)
    first = builders.list_grants(builders.submit_all(coordinator, 2))
    retry = builders.make_request(attempt=2, excluded=excluded)
    coordinator.submit(retry, 0.0)
    other = builders.make_request()
    coordinator.submit(other, 0.0)
    freed = [grant for grant in first if grant.upstream == 'u0']
    builders.complete_all(coordinator, freed, 0.1)
    grants = builders.list_grants(coordinator.tick(0.1))
    expected = other if excluded else retry
    assert [grant.request for grant in grants] == [expected.request]


def test_retries_stay_within_their_share_of_first_attempts():
    """Guards against retry storms while all upstreams fail."""
    coordinator = builders.make_coordinator(retry_share=0.1)
    granted = 0
    for step in range(1500):
        now = step / 100
        builders.announce_all(coordinator, 1, now)
        for attempt in (1, 2):
            request = builders.make_request(attempt=attempt, deadline=now + 1)
            coordinator.submit(request, now)
        grants = builders.list_grants(coordinator.tick(now))
        builders.complete_all(coordinator, grants, now + 0.001)
        granted += len(grants)
    assert 1500 * 1.08 <= granted <= 1500 * 1.1


def test_first_attempts_count_only_within_the_retry_window():
    """Guards against a retry storm permitted by an earlier busy period."""
    budget = budgets.RetryBudget(0.1)
    for _ in range(100):
        budget.add_attempt(0.0)
    later = budgets.RETRY_WINDOW_SECONDS + 1
    assert budget.spend(1.0)
    assert not budget.spend(later)


def test_no_upstream_is_refused_only_after_the_first_announcements():
    """Guards against refusals while a new allocator knows no upstream yet."""
    coordinator = builders.make_coordinator()
    assert not builders.submit_all(coordinator, 1, 0.0, deadline=3.0)
    builders.announce_all(coordinator, 1, 0.9)
    assert builders.list_grants(coordinator.tick(0.9))
    empty = builders.make_coordinator()
    empty.tick(0.0)
    refused = builders.submit_all(empty, 1, 2.0, deadline=5.0)
    assert builders.list_reasons(refused) == [REASON.NO_CAPACITY]
    assert isinstance(empty, coordination.Coordinator)
