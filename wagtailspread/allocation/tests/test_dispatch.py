"""Tests of the choice of a request for a free slot, and of memory bounds."""

import pytest

from wagtailspread.allocation import dispatch, caches
from wagtailspread.allocation.tests import builders, test_faults


def make_full_coordinator():
    """Return an allocator with one used slot in each of two domains.

    The grants of the slots are returned by upstream.
    """
    coordinator = builders.make_coordinator()
    for number, domain in enumerate(('d0', 'd1')):
        announcement = builders.make_announcement(number, 1, domain)
        coordinator.announce(announcement, 0.0)
    grants = builders.list_grants(builders.submit_all(coordinator, 2))
    return coordinator, {grant.upstream: grant for grant in grants}


@pytest.mark.parametrize(
    ('delay', 'expected'),
    [
        (dispatch.NEAR_PREFERENCE_SECONDS / 2, 'near'),
        (dispatch.NEAR_PREFERENCE_SECONDS * 2, 'far'),
    ],
)
def test_near_request_overtakes_a_far_one_within_the_limit(
    delay,
    expected,
):
    """Guards against slots idle during transit, and against starvation."""
    coordinator, grants = make_full_coordinator()
    far = builders.make_request('far', domain='d0', deadline=9.0)
    near = builders.make_request('near', domain='d1', deadline=9.0)
    coordinator.submit(far, 0.0)
    coordinator.submit(near, delay)
    builders.complete_all(coordinator, [grants['u1']], 0.5)
    decisions = builders.list_grants(coordinator.tick(0.5))
    assert [grant.request for grant in decisions] == [f'r{expected}']


@pytest.mark.parametrize(
    ('age', 'has_near_request', 'expected'),
    [
        (dispatch.NEAR_WAIT_SECONDS / 2, True, 'bulk'),
        (dispatch.NEAR_WAIT_SECONDS * 2, True, 'urgent'),
        (dispatch.NEAR_WAIT_SECONDS / 2, False, 'urgent'),
    ],
)
def test_recent_request_leaves_a_far_slot_to_near_requests(
    age, has_near_request, expected
):
    """Guards against needless remote grants, and against an idle slot."""
    coordinator, grants = make_full_coordinator()
    if has_near_request:
        bulk = builders.make_request('bulk', builders.BULK, domain='d1')
        coordinator.submit(bulk, 0.0)
    urgent = builders.make_request('urgent', builders.URGENT, domain='d0')
    coordinator.submit(urgent, 0.5 - age)
    builders.complete_all(coordinator, [grants['u1']], 0.5)
    decisions = builders.list_grants(coordinator.tick(0.5))
    assert [grant.request for grant in decisions] == [f'r{expected}']


def test_views_do_not_grow_with_decisions():
    """Guards against outdated heap entries that are never removed."""
    coordinator = builders.make_coordinator()
    for step in range(3000):
        now = step / 100
        builders.announce_all(coordinator, 3, now)
        decisions = builders.submit_all(coordinator, 1, now, deadline=now + 1)
        grants = builders.list_grants(decisions)
        builders.complete_all(coordinator, grants, now)
    for view in coordinator._selector.views.values():
        assert view.count_entries() < 200


def test_views_do_not_grow_with_expired_upstreams():
    """Guards against ejected upstreams that are never removed."""
    numbers = range(300)
    judge = test_faults.RecordingJudge(
        ejected=[f'u{number}' for number in numbers]
    )
    coordinator = builders.make_coordinator(judge)
    builders.submit_all(coordinator, 1)
    for number in numbers:
        now = float(number)
        coordinator.announce(builders.make_announcement(number), now)
        coordinator.tick(now)
    for view in coordinator._selector.views.values():
        assert 0 < len(view.unusable) < 5
    assert len(coordinator.table.rows) < 5


def test_failure_domains_share_a_view_beyond_a_limit():
    """Guards against memory growth with invented failure domains."""
    coordinator = builders.make_coordinator(queue_limits=(500, 500, 500))
    builders.announce_all(coordinator, 1, slots=200)
    granted = 0
    for number in range(100):
        decisions = builders.submit_all(coordinator, 1, domain=f'x{number}')
        granted += len(builders.list_grants(decisions))
    assert granted == 100
    assert len(coordinator._selector.views) <= 17


def test_recent_cache_is_bounded():
    """Guards against memory growth with the rate of requests."""
    recent = caches.RecentCache(seconds=3.0, limit=10)
    for number in range(100):
        recent.put(number, number, 0.0)
    assert len(recent) <= 20
    assert recent.get(99) == 99


def test_recent_cache_retains_entries_for_the_retention_time():
    """Guards against duplicates that are treated as new requests."""
    recent = caches.RecentCache(seconds=3.0, limit=10)
    for step in range(40):
        recent.put(step, True, step / 2)
        assert recent.get(max(0, step - 6))
