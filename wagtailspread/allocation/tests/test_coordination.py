"""Tests of grants, leases and refusals."""

import dataclasses

import pytest

from wagtailspread.allocation import coordination
from wagtailspread.allocation.tests import builders
from wagtailspread.core import outcomes

REASON = outcomes.RefusalReason


def test_no_upstream_gets_more_leases_than_slots():
    """Guards against more leases than slots when many requests wait."""
    coordinator = builders.make_coordinator()
    builders.announce_all(coordinator, 3, slots=4)
    grants = builders.list_grants(builders.submit_all(coordinator, 50))
    used = [grant.upstream for grant in grants]
    assert [used.count(name) for name in ('u0', 'u1', 'u2')] == [4, 4, 4]


def test_upstream_in_the_callers_failure_domain_is_preferred():
    """Guards against needless traffic between failure domains."""
    coordinator = builders.make_coordinator()
    coordinator.announce(builders.make_announcement(0, domain='d1'), 0.0)
    coordinator.announce(builders.make_announcement(1, domain='d0'), 0.0)
    grants = builders.list_grants(builders.submit_all(coordinator, 7))
    used = [grant.upstream for grant in grants]
    assert used[:6].count('u1') == 6
    assert used[6] == 'u0'


def test_least_loaded_upstream_is_preferred():
    """Guards against load measured by leases instead of share of slots."""
    coordinator = builders.make_coordinator()
    coordinator.announce(builders.make_announcement(0, slots=2), 0.0)
    coordinator.announce(builders.make_announcement(1, slots=8), 0.0)
    grants = builders.list_grants(builders.submit_all(coordinator, 5))
    used = [grant.upstream for grant in grants]
    assert used.count('u1') == 4


def test_row_expires_after_the_last_announcement():
    """Guards against grants for an upstream without announcements."""
    coordinator = builders.make_coordinator()
    builders.announce_all(coordinator, 1)
    early = builders.submit_all(coordinator, 1, now=2.4, deadline=9.0)
    late = builders.submit_all(coordinator, 1, now=2.6, deadline=9.0)
    assert builders.list_grants(early)
    assert not builders.list_grants(late)


def test_drain_takes_effect_immediately():
    """Guards against new grants for a draining upstream.

    An older announcement that arrives later must not end the drain.
    """
    coordinator = builders.make_coordinator()
    builders.announce_all(coordinator, 1)
    draining = coordination.UpstreamState.DRAINING
    coordinator.announce(builders.make_announcement(0, state=draining), 0.1)
    coordinator.announce(builders.make_announcement(0, age=0.5), 0.2)
    assert not builders.list_grants(
        builders.submit_all(coordinator, 1, now=0.3),
    )


def test_unreturned_lease_expires():
    """Guards against slots that a failed host never returns."""
    coordinator = builders.make_coordinator()
    builders.announce_all(coordinator, 1, slots=1)
    builders.submit_all(coordinator, 1, deadline=0.5)
    builders.announce_all(coordinator, 1, slots=1, now=1.4)
    waiting = builders.submit_all(coordinator, 1, now=1.4, deadline=3.0)
    assert not waiting
    assert builders.list_grants(coordinator.tick(1.6))


@pytest.mark.parametrize(
    ('limits', 'request_fields', 'reason'),
    [
        ({'queue_limits': (9, 0, 9)}, {}, REASON.QUEUE_FULL),
        ({}, {'deadline': -0.1}, REASON.DEADLINE_UNREACHABLE),
        ({}, {'attempt': 2}, REASON.RETRY_BUDGET),
        ({}, {'excluded': ('u0', 'u1')}, REASON.NO_CAPACITY),
    ],
)
def test_request_is_refused_on_arrival(limits, request_fields, reason):
    """Guards against requests that wait although they cannot be served."""
    coordinator = builders.make_coordinator(**limits)
    builders.announce_all(coordinator, 2)
    decisions = builders.submit_all(coordinator, 1, **request_fields)
    assert builders.list_reasons(decisions) == [reason]


def test_duplicate_submission_holds_one_slot():
    """Guards against two leases for one request that was sent twice."""
    coordinator = builders.make_coordinator()
    builders.announce_all(coordinator, 1)
    request = builders.make_request()
    coordinator.submit(request, 0.0)
    coordinator.submit(request, 0.0)
    first = coordinator.tick(0.0)
    coordinator.submit(request, 0.1)
    assert coordinator.tick(0.1) == first
    assert len(first) == len(coordinator.leases.leases) == 1


def test_unknown_and_repeated_completions_change_nothing():
    """Guards against slots that are released twice."""
    coordinator = builders.make_coordinator()
    builders.announce_all(coordinator, 1)
    grants = builders.list_grants(builders.submit_all(coordinator, 2))
    builders.complete_all(coordinator, grants[:1], 0.1)
    builders.complete_all(coordinator, grants[:1], 0.1)
    unknown = dataclasses.replace(grants[1], lease=12345)
    builders.complete_all(coordinator, [unknown], 0.1)
    assert coordinator.table.rows['u0'].in_use == 1


def test_submission_after_its_cancellation_holds_no_slot():
    """Guards against a leaked slot when two messages are reordered."""
    coordinator = builders.make_coordinator()
    builders.announce_all(coordinator, 1)
    request = builders.make_request()
    coordinator.cancel(request.request, 0.0)
    coordinator.submit(request, 0.1)
    assert not coordinator.tick(0.1)
    assert not coordinator.leases.leases


@pytest.mark.parametrize('is_granted', [True, False])
def test_cancelled_request_holds_no_slot(is_granted):
    """Guards against slots and queue entries of disconnected callers."""
    coordinator = builders.make_coordinator()
    builders.announce_all(coordinator, 1)
    request = builders.make_request()
    coordinator.submit(request, 0.0)
    if is_granted:
        coordinator.tick(0.0)
    coordinator.cancel(request.request, 0.0)
    assert not coordinator.tick(0.0)
    assert not coordinator.leases.leases
    assert not len(coordinator.queues)


def test_a_changed_number_of_hosts_divides_the_slots_anew():
    """Guards against slots that are divided by the hosts of the start."""
    coordinator = builders.make_coordinator()
    builders.announce_all(coordinator, 1)
    policy = dataclasses.replace(coordinator.policy, slot_divisor=3)
    coordinator.change_policy(policy)
    coordinator.announce(builders.make_announcement(), 0.1)
    decisions = builders.submit_all(coordinator, 6, now=0.2)
    assert len(decisions) == 2
