"""Bytes of the requests that are open at each upstream."""

import pytest

from wagtailspread.placement import messages, open_bytes
from wagtailspread.placement.tests import regions

MEGABYTE = 1_000_000
_GRANTED = messages.Decision.GRANTED


def record_ends(bounds, held, count=20):
    """Record good ends of requests at upstreams that hold some bytes."""
    for number in range(count):
        bounds.record_end('columns', held, number / 10)


def record_losses(bounds, held, count=2, now=2.0):
    """Record the losses of several upstreams."""
    for number in range(count):
        bounds.record_loss('columns', (f'u{number}', 1), held, now)


def learn(region, held):
    """Let an allocator learn a bound of 0.8 of these bytes."""
    record_ends(region.allocator.byte_limiter.bounds, 1000)
    record_losses(region.allocator.byte_limiter.bounds, held)
    region.now = 2.0


def test_large_requests_go_where_the_fewest_bytes_are_open():
    """Guards against uploads that meet at one upstream by chance."""
    region = regions.Region(upstreams=4, slots=6)
    granted = [region.submit(size=MEGABYTE)[1] for _ in range(4)]
    assert len({answer.record.upstream for answer in granted}) == 4


def test_ended_requests_do_not_count_as_open():
    """Guards against a sum that only rises."""
    region = regions.Region(upstreams=1, slots=6)
    submitted = [region.submit(size=MEGABYTE) for _ in range(3)]
    region.settle(*submitted[0])
    request_id, _ = submitted[1]
    region.allocator.settle(
        request_id, '', messages.Evidence.NONE, 0.0, region.now
    )
    assert region.allocator.byte_limiter.sums.count('u0') == MEGABYTE


def test_open_bytes_stay_within_the_part_of_the_bound_of_a_region():
    """Guards against upstreams that crash again, and idle ones without work.

    There are two regions, so each upstream takes 4 MB of this allocator.
    """
    region = regions.Region(upstreams=2, slots=6)
    learn(region, 10 * MEGABYTE)
    large = [region.submit(size=5 * MEGABYTE)[1] for _ in range(3)]
    assert [one.decision for one in large].count(_GRANTED) == 2
    _, small = region.submit()
    assert small.decision is _GRANTED


@pytest.mark.parametrize(
    ('ends', 'losses', 'is_set'),
    [
        ((1000, 1000), (8 * MEGABYTE,) * 2, True),
        ((1000, 1000), (8 * MEGABYTE,), False),
        ((1000, 1000), (8 * MEGABYTE, 2000, 3000), False),
        ((1000, 9 * MEGABYTE), (8 * MEGABYTE,) * 2, False),
        ((1000, 1000), (900_000,) * 2, False),
    ],
)
def test_bound_needs_losses_that_only_open_bytes_explain(ends, losses, is_set):
    """Guards against a bound after upstreams that were lost for other reasons.

    These are a single loss, losses with few bytes, many bytes without a loss,
    and losses with fewer bytes than a large request has.
    """
    bounds = open_bytes.create_bounds()
    for held in ends:
        record_ends(bounds, held)
    for number, held in enumerate(losses):
        bounds.record_loss('columns', (f'u{number}', 1), held, 2.0)
    assert (bounds.find('columns', 2.0) is not None) == is_set


def test_resets_of_one_incarnation_count_as_one_loss():
    """Guards against a bound after a single upstream was killed."""
    bounds = open_bytes.create_bounds()
    record_ends(bounds, 1000)
    for _ in range(6):
        bounds.record_loss('columns', ('u1', 1), 8 * MEGABYTE, 2.0)
    assert bounds.find('columns', 2.0) is None


def test_bound_falls_with_a_further_loss_and_rises_to_its_end():
    """Guards against a bound that is too high, or never ends."""
    bounds = open_bytes.create_bounds()
    record_ends(bounds, 1000)
    record_losses(bounds, 10 * MEGABYTE)
    assert bounds.find('columns', 61.0) == 8 * MEGABYTE
    bounds.record_loss('columns', ('u9', 1), 5 * MEGABYTE, 61.0)
    assert bounds.find('columns', 120.0) == 4 * MEGABYTE
    assert 4 * MEGABYTE < bounds.find('columns', 125.0) < 5 * MEGABYTE
    assert bounds.find('columns', 700.0) is None


def test_requests_that_are_reset_one_after_another_show_what_was_held():
    """Guards against a loss that counts with the bytes that are left."""
    region = regions.Region(upstreams=1, slots=6)
    submitted = [region.submit(size=2 * MEGABYTE) for _ in range(4)]
    for request_id, _ in submitted[:3]:
        region.allocator.settle(
            request_id, 'u0', messages.Evidence.NONE, 0.1, region.now
        )
    assert region.allocator.byte_limiter.sums.find_peak('u0', 0.5) == (
        8 * MEGABYTE
    )


def test_lost_upstreams_bound_the_open_bytes_of_others():
    """Guards against losses that the allocator does not learn from."""
    region = regions.Region(upstreams=8, slots=6)
    for _ in range(20):
        region.settle(*region.submit())
    for _ in range(2):
        request_id, answer = region.submit(size=8 * MEGABYTE)
        region.allocator.settle(
            request_id,
            answer.record.upstream,
            messages.Evidence.BAD,
            0.1,
            region.now,
            is_reset=True,
        )
    bounds = region.allocator.byte_limiter.bounds
    assert bounds.find('columns', region.now) == 6.4 * MEGABYTE
