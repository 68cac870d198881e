"""Tests of upstreams whose region gets too few requests."""

import pytest

from wagtailspread.placement import coverage
from wagtailspread.placement.tests import regions
from wagtailspread.registry import coverage as region_coverage


def create_region(requests=()):
    """Return a region of four upstreams, and its monitor.

    :param requests: times of requests that were sent.
    """
    region = regions.Region(upstreams=4)
    for sent_at in requests:
        region.now = sent_at
        region.settle(*region.submit())
    monitor = coverage.create_monitor(
        region.selector, region.allocator.floor, {'north', 'south'}
    )
    return region, monitor


def add_far_upstreams(region, count):
    """Add upstreams of the other region."""
    for number in range(count):
        record = regions.create_record(f'far{number}', 'far')
        region.selector.registry.merge(record, region.now)


def use_all(region, seconds, rate=20, size=0):
    """Send requests of a region at a rate; return the upstreams used."""
    used = set()
    for _ in range(int(seconds * rate)):
        region.now += 1 / rate
        request_id, answer = region.submit(size=size)
        used.add(answer.record.upstream)
        region.settle(request_id, answer)
    return used


@pytest.mark.parametrize(
    ('requests', 'expected'),
    [
        ((), None),
        ((9.5,), frozenset()),
        ((8.9,), frozenset(['columns'])),
        ((8.5, 8.7, 8.9), frozenset(['columns'])),
        ((6.9,), None),
    ],
)
def test_too_few_requests_for_the_upstreams_are_reported(requests, expected):
    """Guards against a region that is taken to use its upstreams."""
    _, monitor = create_region(requests)
    assert monitor.find_underused(10.0) == expected


def test_only_upstreams_of_the_region_that_can_serve_need_requests():
    """Guards against reports on upstreams that no request can reach."""
    region, monitor = create_region([9.5])
    add_far_upstreams(region, 8)
    silent = [f'silent{number}' for number in range(4)]
    for name in silent:
        region.selector.registry.merge(regions.create_record(name), region.now)
    region.selector.silent = silent
    assert monitor.find_underused(10.0) == frozenset()


@pytest.mark.parametrize('underused', [None, frozenset(['columns'])])
def test_upstreams_of_a_region_without_requests_stay_in_use(underused):
    """Guards against a third of the upstreams idle: their hosts were stopped.

    Callers had moved to hosts of another region, whose allocator kept only its
    own upstreams in use.
    """
    region, _ = create_region()
    add_far_upstreams(region, 2)
    region.selector.uncovered = region_coverage.combine_reports(
        [('r2', underused)]
    )
    for _ in range(3):
        assert len(use_all(region, 2.0)) >= 5


def test_upstreams_of_a_region_with_requests_are_left_to_it():
    """Guards against requests that cross regions for no reason."""
    region, _ = create_region()
    add_far_upstreams(region, 2)
    region.selector.uncovered = region_coverage.combine_reports(
        [('r2', frozenset(['mail']))]
    )
    assert use_all(region, 4.0) == {'u0', 'u1', 'u2', 'u3'}


def test_large_bodies_do_not_cross_regions_to_use_upstreams():
    """Guards against uploads over the link between regions."""
    region, _ = create_region()
    add_far_upstreams(region, 2)
    region.selector.uncovered = region_coverage.combine_reports([('r2', None)])
    used = use_all(region, 4.0, size=60_000)
    assert used == {'u0', 'u1', 'u2', 'u3'}


def test_other_regions_do_not_cost_a_region_its_own_floor():
    """Guards against a floor that is given up since it covers too much."""
    region, _ = create_region()
    add_far_upstreams(region, 12)
    region.selector.uncovered = region_coverage.combine_reports([('r2', None)])
    table = region.selector.risk_table
    for number in range(4):
        table.add_successes(f'u{number}', 30, 15.0, 0.0)
    table.add_failures('u3', 0.0)
    region.now = 4.0
    assert 'u3' in use_all(region, 4.0, rate=5)
