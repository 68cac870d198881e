"""Tests of who gets a free slot, and of bounded memory."""

import pytest

from wagtailspread.allocation import dispatch, memories
from wagtailspread.allocation.tests import builders, test_faults


def make_full_coordinator():
    """Return an allocator with one slot in each of two domains, both used.

    A request from the first domain waits longer than one from the second.
    """
    coordinator = builders.make_coordinator()
    for number, domain in enumerate(('d0', 'd1')):
        announcement = builders.make_announcement(number, 1, domain)
        coordinator.announce(announcement, 0.0)
    grants = builders.list_grants(builders.submit_all(coordinator, 2))
    return coordinator, {grant.upstream: grant for grant in grants}


@pytest.mark.parametrize(
    ('lead', 'expected'),
    [
        (dispatch.NEAR_PREFERENCE_SECONDS / 2, 'near'),
        (dispatch.NEAR_PREFERENCE_SECONDS * 2, 'far'),
    ],
)
def test_request_near_the_free_upstream_goes_first_for_a_while(
    lead,
    expected,
):
    """Guards against idle slots on long ways, and against starvation."""
    coordinator, grants = make_full_coordinator()
    far = builders.make_request('far', domain='d0', deadline=9.0)
    near = builders.make_request('near', domain='d1', deadline=9.0)
    coordinator.submit(far, 0.0)
    coordinator.submit(near, lead)
    builders.complete_all(coordinator, [grants['u1']], 0.5)
    decisions = builders.list_grants(coordinator.tick(0.5))
    assert [grant.request for grant in decisions] == [f'r{expected}']


@pytest.mark.parametrize(
    ('age', 'has_other', 'expected'),
    [
        (dispatch.NEAR_WAIT_SECONDS / 2, True, 'bulk'),
        (dispatch.NEAR_WAIT_SECONDS * 2, True, 'urgent'),
        (dispatch.NEAR_WAIT_SECONDS / 2, False, 'urgent'),
    ],
)
def test_fresh_request_leaves_a_far_slot_to_others(age, has_other, expected):
    """Guards against long ways, and against a slot left idle for them."""
    coordinator, grants = make_full_coordinator()
    if has_other:
        bulk = builders.make_request('bulk', builders.BULK, domain='d1')
        coordinator.submit(bulk, 0.0)
    urgent = builders.make_request('urgent', builders.URGENT, domain='d0')
    coordinator.submit(urgent, 0.5 - age)
    builders.complete_all(coordinator, [grants['u1']], 0.5)
    decisions = builders.list_grants(coordinator.tick(0.5))
    assert [grant.request for grant in decisions] == [f'r{expected}']


def test_views_do_not_grow_with_decisions():
    """Guards against outdated entries that are never dropped."""
    coordinator = builders.make_coordinator()
    for step in range(3000):
        now = step / 100
        builders.announce_all(coordinator, 3, now)
        decisions = builders.submit_all(coordinator, 1, now, deadline=now + 1)
        grants = builders.list_grants(decisions)
        builders.complete_all(coordinator, grants, now)
    for view in coordinator._selector.views.values():
        assert view.count_entries() < 200


def test_views_do_not_grow_with_lost_upstreams():
    """Guards against ejected upstreams that are never forgotten."""
    numbers = range(300)
    judge = test_faults.RecordingJudge(ejected=[f'u{one}' for one in numbers])
    coordinator = builders.make_coordinator(judge)
    builders.submit_all(coordinator, 1)
    for number in numbers:
        now = float(number)
        coordinator.announce(builders.make_announcement(number), now)
        coordinator.tick(now)
    for view in coordinator._selector.views.values():
        assert 0 < len(view.parked) < 5
    assert len(coordinator.table.rows) < 5


def test_failure_domains_share_a_view_beyond_a_limit():
    """Guards against memory that grows with made-up failure domains."""
    coordinator = builders.make_coordinator(queue_limits=(500, 500, 500))
    builders.announce_all(coordinator, 1, slots=200)
    granted = 0
    for number in range(100):
        decisions = builders.submit_all(coordinator, 1, domain=f'x{number}')
        granted += len(builders.list_grants(decisions))
    assert granted == 100
    assert len(coordinator._selector.views) <= 17


def test_recent_table_is_bounded():
    """Guards against memory that grows with the rate of requests."""
    recent = memories.RecentTable(seconds=3.0, limit=10)
    for number in range(100):
        recent.put(number, number, 0.0)
    assert len(recent) <= 20
    assert recent.get(99) == 99


def test_recent_table_keeps_entries_for_its_time():
    """Guards against duplicates that are taken for new requests."""
    recent = memories.RecentTable(seconds=3.0, limit=10)
    for step in range(40):
        recent.put(step, True, step / 2)
        assert recent.get(max(0, step - 6))
