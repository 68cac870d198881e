"""Tests of the allocator of a region, with the loads that it is meant for."""

import collections

import pytest

from wagtailspread.placement import allocators
from wagtailspread.placement import messages
from wagtailspread.placement.tests import regions

_GRANTED = messages.Decision.GRANTED
_WAITING = messages.Decision.WAITING


def test_a_burst_of_all_hosts_never_exceeds_the_slots_of_an_upstream():
    """Guards against hosts that all choose the upstream that looks best.

    Load pattern: 44 hosts send at the same moment, and one upstream has just
    become the cheapest. Hosts that chose alone sent it 20 requests at once.
    """
    region = regions.Region(upstreams=9, slots=6)
    region.selector.shared.add_successes('u3', 20, 10.0, 0.0)
    granted = collections.Counter()
    waiting = 0
    for number in range(60):
        _, answer = region.submit(host=f'h{number % 44}')
        if answer.decision is _GRANTED:
            granted[answer.record.upstream] += 1
        waiting += answer.decision is _WAITING
    assert max(granted.values()) <= 6
    assert sum(granted.values()) == 54
    assert waiting == 6


def test_a_gray_upstream_loses_one_request_and_not_its_queue():
    """Guards against requests that are lost while the evidence travels.

    Load pattern: a steady flow of orders that cannot be sent again, and an
    upstream that fails all of them from one moment on.
    """
    region = regions.Region(upstreams=6, slots=6)
    for number in range(6):
        region.selector.shared.add_successes(f'u{number}', 30, 15.0, 0.0)
    open_requests = collections.deque()
    lost = 0
    for step in range(600):
        region.now = step * 0.05
        request, answer = region.submit()
        if answer.record.upstream == 'u0' and region.now > 5:
            lost += 1
            region.settle(request, answer, messages.Evidence.BAD)
        else:
            open_requests.append((request, answer))
        if len(open_requests) > 10:
            region.settle(*open_requests.popleft())
    assert lost <= 3


def test_a_hanging_upstream_is_noticed_before_its_deadline():
    """Guards against filling all slots of an upstream that never answers."""
    region = regions.Region(upstreams=2, slots=6)
    for number in range(2):
        region.selector.shared.add_successes(f'u{number}', 30, 15.0, 0.0)
    _, answer = region.submit(deadline=30.0)
    region.now = 2.5
    region.allocator.tick(region.now)
    hanging = answer.record.upstream
    for _ in range(5):
        _, answer = region.submit()
        assert answer.record.upstream != hanging


def test_lost_answers_are_noticed_before_a_request_is_late():
    """Guards against sending orders to an upstream that loses its answers.

    Load pattern: an upstream runs orders of half a second and their answers
    are lost, so that nothing but their silence shows it.
    """
    region = regions.Region(upstreams=2, slots=6)
    for number in range(2):
        region.selector.shared.add_successes(f'u{number}', 30, 15.0, 0.0)
    request, answer = region.submit()
    region.now = 1.3
    region.allocator.tick(region.now)
    silent = answer.record.upstream
    assert region.submit()[1].record.upstream != silent
    risk = region.selector.shared.find_risk(silent, region.now)
    region.settle(request, answer)
    assert region.selector.shared.find_risk(silent, region.now) < risk / 2


def test_requests_take_no_risk_while_repeated_sends_are_short():
    """Guards against a first failure that is final for lack of a repeat.

    Load pattern: most upstreams turn gray, and look-ups that tried them first
    used up the budget of repeated sends.
    """
    region = regions.Region(upstreams=2, slots=6, ratio=0.2)
    region.selector.shared.add_successes('u0', 30, 30.0, 0.0)
    region.selector.shared.add_failures('u1', 0.0)
    for _ in range(3):
        region.settle(*region.submit())
    need = region.create_need(is_repeatable=True)
    (doubtful,) = (
        one
        for one in region.allocator._rate(need, 0.0)
        if one.row.record.upstream == 'u1'
    )
    assert doubtful.cost > region.selector.shared.find_risk('u1', 0.0) * 0.9


def test_an_upstream_that_turns_slow_gets_few_requests_before_it_shows():
    """Guards against filling the slots of a slow upstream.

    Load pattern: a steady flow, and an upstream that suddenly takes five times
    as long; none of its answers has come yet.
    """
    region = regions.Region(upstreams=4, slots=6)
    for number in range(4):
        region.selector.shared.add_successes(f'u{number}', 30, 15.0, 0.0)
    open_requests = collections.deque()
    stuck = 0
    for step in range(60):
        region.now = step * 0.05
        while open_requests and open_requests[0][0] <= region.now:
            _, request, answer = open_requests.popleft()
            region.settle(request, answer)
        region.allocator.tick(region.now)
        request, answer = region.submit(deadline=region.now + 30)
        if answer.record.upstream == 'u0':
            stuck += 1
        else:
            open_requests.append((region.now + 0.5, request, answer))
    assert stuck <= 5


def test_an_upstream_that_joins_gets_work():
    """Guards against new upstreams that stay idle beside known ones.

    Load pattern: a steady flow that the known upstreams carry with ease.
    """
    region = regions.Region(upstreams=10, slots=6)
    for number in range(10):
        region.selector.shared.add_successes(f'u{number}', 30, 15.0, 0.0)
    region.selector.registry.merge(
        regions.create_record('joined', slots=6), 0.0
    )
    used = set()
    for step in range(80):
        region.now = step * 0.05
        request, answer = region.submit()
        used.add(answer.record.upstream)
        region.settle(request, answer)
    assert 'joined' in used


def test_slots_of_a_host_that_starts_anew_are_free_again():
    """Guards against slots that are lost when hosts are killed."""
    region = regions.Region(upstreams=1, slots=2)
    region.submit(host='h1')
    region.submit(host='h1')
    assert region.submit(host='h2')[1].decision is _WAITING
    region.allocator.drop_host('h1')
    assert len(region.allocator.tick(region.now)) == 1


def test_slots_of_a_host_that_never_comes_back_are_free_after_the_deadline():
    """Guards against slots that are lost for good."""
    region = regions.Region(upstreams=1, slots=1)
    region.submit(deadline=5.0)
    region.now = 5.0 + allocators.SETTLE_SECONDS + 0.1
    region.allocator.tick(region.now)
    assert region.submit()[1].decision is _GRANTED


def test_a_doubtful_upstream_is_not_used_while_a_sound_one_is_nearly_free():
    """Guards against sending an order to the only free, gray upstream."""
    region = regions.Region(upstreams=2, slots=1)
    region.selector.shared.add_successes('u0', 30, 15.0, 0.0)
    for _ in range(3):
        region.selector.shared.add_failures('u1', 0.0)
    assert region.submit()[1].record.upstream == 'u0'
    need = region.create_need()
    assert region.allocator.submit(need, 0.0).decision is _WAITING
    region.now = 0.6
    region.allocator.submit(need, region.now)
    region.allocator.tick(region.now)
    decided = region.allocator.take_decision(need.request)
    assert decided.record.upstream == 'u1'


@pytest.mark.parametrize(
    ('size', 'expected'),
    [(300, 'u-south'), (60_000, 'u-north')],
)
def test_small_requests_cross_for_less_than_uploads(size, expected):
    """Guards against uploads between failure domains for a slight doubt."""
    region = regions.Region(upstreams=0)
    region.selector.registry.merge(
        regions.create_record('u-north', 'north'), 0.0
    )
    region.selector.registry.merge(
        regions.create_record('u-south', 'south'), 0.0
    )
    region.selector.shared.add_successes('u-south', 30, 15.0, 0.0)
    region.selector.shared.add_successes('u-north', 2, 1.0, 0.0)
    region.selector.shared.add_failures('u-north', 0.0)
    region.selector.shared.add_successes('u-north', 2, 1.0, 0.0)
    risk = region.selector.shared.find_risk('u-north', 0.0)
    assert 0.05 < risk < 0.13
    counted = collections.Counter()
    for _ in range(20):
        request, answer = region.submit(size=size)
        counted[answer.record.upstream] += 1
        region.allocator.settle(
            request,
            answer.record.upstream,
            messages.Evidence.NONE,
            0.0,
            0.0,
        )
    assert counted.most_common(1)[0][0] == expected


def test_repeated_sends_keep_to_the_budget():
    """Guards against repeats that feed an overload."""
    region = regions.Region(upstreams=30, slots=6, ratio=0.2)
    for _ in range(20):
        region.submit()
    decisions = [region.submit(is_repeat=True)[1].decision for _ in range(20)]
    assert decisions.count(_GRANTED) == 3
    assert decisions[-1] is messages.Decision.NO_BUDGET


def test_a_service_without_upstreams_is_refused():
    """Guards against waiting for an upstream that does not exist."""
    region = regions.Region(upstreams=1)
    _, answer = region.submit(service='unknown')
    assert answer.decision is messages.Decision.NO_UPSTREAM


def test_a_withdrawn_request_holds_no_slot():
    """Guards against slots that are lost when callers leave."""
    region = regions.Region(upstreams=1, slots=1)
    first = region.submit()
    request, _ = region.submit()
    region.allocator.settle(request, '', messages.Evidence.NONE, 0.0, 0.0)
    region.settle(*first)
    assert not region.allocator.tick(region.now)
    assert region.submit()[1].decision is _GRANTED


def test_a_decision_that_no_host_asks_for_frees_its_slot():
    """Guards against slots and memory lost to hosts that are cut off."""
    region = regions.Region(upstreams=1, slots=1)
    first = region.submit()
    region.submit(deadline=60.0)
    region.settle(*first)
    assert len(region.allocator.tick(0.0)) == 1
    region.now = allocators.ABANDONED_SECONDS + 0.1
    region.allocator.tick(region.now)
    assert region.submit()[1].decision is _GRANTED
