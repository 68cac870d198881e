"""Requests that crash upstreams are recognised, and others are not."""

import pytest

from wagtailspread.placement import crashes, messages
from wagtailspread.placement.tests import regions
from wagtailspread.registry import blocked, tables


def create_row(upstream):
    """Return the row of an upstream."""
    table = tables.create_table([regions.create_record(upstream)])
    return table.rows[upstream]


def lose(region, fingerprint, host='h1', evidence=messages.Evidence.BAD):
    """Send a request whose connection ends without an answer."""
    request_id, answer = region.submit(fingerprint=fingerprint, host=host)
    if answer.record is not None:
        region.allocator.settle(
            request_id,
            answer.record.upstream,
            evidence,
            0.1,
            region.now,
            is_reset=evidence is messages.Evidence.BAD,
        )
        # A crashed upstream does not take the next request.
        region.selector.registry.rows.pop(answer.record.upstream)
    region.now += 1.0
    return answer


def test_a_request_that_crashes_upstreams_is_blocked_at_each_host():
    """Guards against a request that takes one upstream after another."""
    region = regions.Region(upstreams=6)
    for number in range(crashes.MIN_LOSSES):
        answer = lose(region, 7, host=f'h{number}')
        assert answer.decision is messages.Decision.GRANTED
    refused = lose(region, 7, host='h9')
    assert refused.decision is messages.Decision.BLOCKED
    assert refused.retry_after > 200
    # Another request with the same path is served.
    assert lose(region, 8).decision is messages.Decision.GRANTED
    region.now += crashes.BLOCK_SECONDS
    assert lose(region, 7).decision is messages.Decision.GRANTED


def test_a_queued_request_is_refused_once_it_is_blocked():
    """Guards against sends of a crashing request that were queued before."""
    region = regions.Region(upstreams=1, slots=1)
    busy = region.submit()
    request_id, answer = region.submit(fingerprint=7)
    assert answer.decision is messages.Decision.WAITING
    for number in range(crashes.MIN_LOSSES):
        region.allocator.crashes.record_loss(7, create_row(f'v{number}'), 0.0)
    region.settle(*busy)
    assert region.allocator.tick(region.now) == [request_id]
    decided = region.allocator.pop_decision(request_id)
    assert decided.decision is messages.Decision.BLOCKED


def test_losses_at_several_allocators_count_together():
    """Guards against upstreams lost in each region before a block."""
    first, second = crashes.create_crashes(), crashes.create_crashes()
    for number in range(2):
        assert not first.record_loss(7, create_row(f'u{number}'), 0.0)
    second.merge(first.list_suspicions(1.0), 1.0)
    assert second.record_loss(7, create_row('v0'), 1.0)
    assert second.find_end(7, 1.0) > 1.0


def test_an_allocator_that_starts_anew_learns_of_blocked_requests():
    """Guards against a block that ends with the allocator that found it."""
    first, second = crashes.create_crashes(), crashes.create_crashes()
    for number in range(crashes.MIN_LOSSES):
        first.record_loss(7, create_row(f'u{number}'), 0.0)
    second.merge(first.list_suspicions(1.0), 1.0)
    restarted = crashes.create_crashes()
    for fingerprint, seconds in second.list_blocked(200.0).items():
        restarted.block(fingerprint, 200.0 + seconds)
    assert restarted.find_end(7, 200.0) > 200.0


def test_an_answer_ends_the_suspicion_that_others_publish():
    """Guards against a popular request that is blocked for old losses."""
    first, second = crashes.create_crashes(), crashes.create_crashes()
    for number in range(2):
        first.record_loss(7, create_row(f'u{number}'), 0.0)
    second.merge(first.list_suspicions(1.0), 1.0)
    second.record_answer(7)
    second.merge(first.list_suspicions(2.0), 2.0)
    assert not second.record_loss(7, create_row('v0'), 2.0)


def test_an_answer_ends_the_suspicion():
    """Guards against a popular request blocked for random resets."""
    region = regions.Region(upstreams=9)
    for _ in range(2):
        lose(region, 7)
    lose(region, 7, evidence=messages.Evidence.GOOD)
    for _ in range(2):
        assert lose(region, 7).decision is messages.Decision.GRANTED
    assert lose(region, 7).decision is messages.Decision.GRANTED


def test_one_upstream_in_trouble_blocks_no_request():
    """Guards against a block by a single upstream that resets at random."""
    table = crashes.create_crashes()
    for number in range(20):
        assert not table.record_loss(7, create_row('u1'), now=float(number))


def test_losses_long_ago_do_not_count():
    """Guards against a block by resets of a whole day."""
    table = crashes.create_crashes()
    for number in range(20):
        now = number * crashes.LOSS_SECONDS / 2
        assert not table.record_loss(7, create_row(f'u{number}'), now)


@pytest.mark.parametrize('evidence', [messages.Evidence.SHED])
def test_a_refusal_is_no_loss(evidence):
    """Guards against a block of a request that full upstreams reject."""
    region = regions.Region(upstreams=6)
    for _ in range(5):
        answer = lose(region, 7, evidence=evidence)
        assert answer.decision is messages.Decision.GRANTED


def test_a_peer_cannot_block_requests_without_a_fingerprint():
    """Guards against a row of a peer that refuses all such requests."""
    table = crashes.create_crashes()
    none = crashes.NO_FINGERPRINT
    table.block(none, 10.0)
    table.merge([blocked.Suspicion(none, f'u{n}', 1, 0.0) for n in range(3)], 0)
    assert table.find_end(none, 1.0) == 1.0


def test_requests_without_a_fingerprint_are_not_blocked():
    """Guards against hosts of an earlier version that send none."""
    region = regions.Region(upstreams=6)
    for _ in range(5):
        answer = lose(region, crashes.NO_FINGERPRINT)
        assert answer.decision is messages.Decision.GRANTED


def test_the_table_is_bounded():
    """Guards against memory that grows with each lost request."""
    table = crashes.create_crashes()
    rows = [create_row(f'u{number}') for number in range(crashes.MIN_LOSSES)]
    for number in range(1, 2 * crashes.MAX_REQUESTS):
        for row in rows:
            table.record_loss(number, row, now=0.0)
    assert len(table.list_blocked(0.0)) == crashes.MAX_REQUESTS
    assert len(table._ends) == crashes.MAX_REQUESTS
    assert len(table._losses) == crashes.MAX_REQUESTS


def test_a_block_ends_although_allocators_exchange_it():
    """Guards against a block that two allocators renew for each other.

    What one learns from the other comes with a delay, and must not go back.
    """
    first, second = crashes.create_crashes(), crashes.create_crashes()
    for number in range(crashes.MIN_LOSSES):
        first.record_loss(7, create_row(f'u{number}'), 0.0)
    now = 0.0
    for _ in range(1000):
        for source, target in ((first, second), (second, first)):
            published = source.list_blocked(now)
            suspicions = source.list_suspicions(now)
            now += 0.2
            target.merge(suspicions, now)
            for fingerprint, seconds in published.items():
                target.block(fingerprint, now + seconds)
    assert now > crashes.BLOCK_SECONDS + 1.0
    assert first.find_end(7, now) == second.find_end(7, now) == now
