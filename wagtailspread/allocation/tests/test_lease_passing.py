"""Tests of leases that a host passes on to its next request."""

import pytest

from wagtailspread.allocation import coordination, dispatch
from wagtailspread.allocation.tests import builders
from wagtailspread.core import outcomes

HOLD_SECONDS = 0.1


def make_busy_coordinator(waiting, slots=4, priority=builders.STANDARD):
    """Return an allocator without free slots, and the current grants.

    Hold times have been measured, and ``waiting`` requests are queued.
    """
    coordinator = builders.make_coordinator()
    builders.announce_all(coordinator, 1, slots=slots)
    first = builders.list_grants(builders.submit_all(coordinator, slots))
    for _ in range(waiting + slots):
        request = builders.make_request(priority=priority, deadline=9.0)
        coordinator.submit(request, 0.0)
    builders.complete_all(coordinator, first, HOLD_SECONDS)
    return coordinator, builders.list_grants(coordinator.tick(HOLD_SECONDS))


def pass_on(coordinator, grant, request, now):
    """Complete a granted request and start another one on its slot."""
    completion = coordination.Completion(
        grant.lease,
        builders.SUCCESS,
        HOLD_SECONDS,
        request,
    )
    coordinator.complete(completion, now)


def find_waiting(coordinator):
    """Return the id of a waiting request."""
    return next(iter(coordinator.queues._waiting))


@pytest.mark.parametrize(('waiting', 'expected'), [(3, 0), (40, 2)])
def test_only_a_long_queue_lets_some_leases_be_passed_on(waiting, expected):
    """Guards against more urgent requests that wait for returned slots."""
    _, grants = make_busy_coordinator(waiting)
    allowed = [grant for grant in grants if grant.pass_until]
    assert len(allowed) == expected
    assert len(allowed) <= 1 + dispatch.MAX_PASS_SHARE * len(grants)


def test_returned_leases_permit_others_to_be_passed_on():
    """Guards against a count of passable leases that never decreases."""
    coordinator, grants = make_busy_coordinator(40)
    builders.complete_all(coordinator, grants, 0.2)
    again = builders.list_grants(coordinator.tick(0.2))
    assert len([grant for grant in again if grant.pass_until]) == 2


def test_time_to_pass_on_is_bounded():
    """Guards against new requests on an upstream that drained 3 s ago."""
    coordinator, grants = make_busy_coordinator(40)
    pass_limits = [grant.pass_until for grant in grants if grant.pass_until]
    assert max(pass_limits) <= HOLD_SECONDS + dispatch.MAX_PASS_SECONDS
    assert min(pass_limits) > HOLD_SECONDS


def test_passed_lease_stays_open_for_the_next_request():
    """Guards against a slot that is released during a request."""
    coordinator, grants = make_busy_coordinator(40)
    name = find_waiting(coordinator)
    pass_on(coordinator, grants[0], name, 0.2)
    assert not builders.list_grants(coordinator.tick(0.2))
    assert coordinator.table.rows['u0'].in_use == 4
    assert coordinator.queues.find(name) is None
    assert coordinator.leases.leases[grants[0].lease].request == name


def test_duplicate_pass_is_ignored():
    """Guards against a late duplicate that rebinds a lease."""
    coordinator, grants = make_busy_coordinator(40)
    first = find_waiting(coordinator)
    pass_on(coordinator, grants[0], first, 0.2)
    second = find_waiting(coordinator)
    pass_on(coordinator, grants[0], second, 0.3)
    pass_on(coordinator, grants[0], first, 0.4)
    assert coordinator.leases.leases[grants[0].lease].request == second


def test_late_cancellation_does_not_affect_the_next_request():
    """Guards against a slot released by cancelling its former request."""
    coordinator, grants = make_busy_coordinator(40)
    pass_on(coordinator, grants[0], find_waiting(coordinator), 0.2)
    coordinator.cancel(grants[0].request, 0.3)
    assert coordinator.table.rows['u0'].in_use == 4


def test_grant_that_crosses_a_pass_can_be_returned():
    """Guards against a leaked slot.

    The allocator grants a slot to a request that its host has just started on
    another one.
    """
    coordinator, grants = make_busy_coordinator(40)
    pass_on(coordinator, grants[0], grants[1].request, 0.2)
    cancelled = outcomes.ExchangeResult.CANCELLED
    builders.complete_all(coordinator, grants[1:2], 0.2, cancelled)
    assert coordinator.table.rows['u0'].in_use == 3
    builders.complete_all(coordinator, grants[:1], 0.3)
    assert coordinator.table.rows['u0'].in_use == 2


def test_passed_lease_expires_after_the_deadline_of_its_new_request():
    """Guards against a passed lease that expires too early or never."""
    coordinator, grants = make_busy_coordinator(0)
    later = builders.make_request(deadline=15.0)
    coordinator.submit(later, 0.1)
    pass_on(coordinator, grants[0], later.request, 0.2)
    for second in range(1, 16):
        coordinator.tick(float(second))
    assert set(coordinator.leases.leases) == {grants[0].lease}
    coordinator.tick(16.1)
    assert grants[0].lease not in coordinator.leases.leases
