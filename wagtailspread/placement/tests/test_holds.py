"""Replays of upstreams that leave, or that ask for time."""

import dataclasses

from wagtailspread.placement import holds, messages
from wagtailspread.placement.tests import regions
from wagtailspread.registry import records

_HOLD = messages.UpstreamNotice(hold_seconds=3.0)
_LEAVE = messages.UpstreamNotice(is_leaving=True)


def record_notice(region, upstream, notice, host='h1'):
    """Record what an upstream asked of a host."""
    record = region.selector.registry.rows[upstream].record
    return region.selector.record_notice(host, record, notice, region.now)


def list_used(region, count, **changes):
    """Return the upstreams of this many requests, one after the other."""
    used = set()
    for _ in range(count):
        request_id, answer = region.submit(**changes)
        assert answer.record is not None
        used.add(answer.record.upstream)
        region.settle(request_id, answer)
        region.now += 0.02
    return used


def test_a_host_sends_nothing_to_an_upstream_that_asked_for_time():
    """Guards against requests during the time, also for floor and trials."""
    region = regions.Region(upstreams=4)
    record_notice(region, 'u0', _HOLD)
    assert list_used(region, 100) == {'u1', 'u2', 'u3'}
    region.now += 3.0
    assert 'u0' in list_used(region, 200)


def test_other_hosts_are_not_held_back():
    """Guards against one refusal that empties an upstream for the fleet."""
    region = regions.Region(upstreams=2)
    record_notice(region, 'u0', _HOLD)
    assert 'u0' in list_used(region, 100, host='h2')


def test_a_strained_floor_does_not_use_a_held_upstream():
    """Guards against the floor that overrides what an upstream asked."""
    region = regions.Region(upstreams=4)
    record_notice(region, 'u0', _HOLD)
    for _ in range(60):
        request_id, answer = region.submit()
        assert answer.record.upstream != 'u0'
        region.settle(request_id, answer, messages.Evidence.BAD)
        region.now += 0.02


def test_requests_wait_for_the_earliest_return_in_time():
    """Guards against refusing what can still be served."""
    region = regions.Region(upstreams=2)
    for upstream in ('u0', 'u1'):
        record_notice(region, upstream, messages.UpstreamNotice(False, 1.0))
    request = region.create_request()
    request_id = request.request_id
    for now in (0.0, 0.6):
        region.now = now
        answer = region.allocator.submit(request, region.now)
        assert answer.decision is messages.Decision.WAITING
        assert not region.allocator.tick(region.now)
    region.now = 1.1
    assert region.allocator.tick(region.now) == [request_id]
    decided = region.allocator.pop_decision(request_id)
    assert decided.decision is messages.Decision.GRANTED


def test_requests_that_cannot_wait_learn_the_earliest_return():
    """Guards against a Retry-After that leads to another refusal."""
    region = regions.Region(upstreams=2)
    record_notice(region, 'u0', messages.UpstreamNotice(False, 20.0))
    record_notice(region, 'u1', messages.UpstreamNotice(False, 8.0))
    _, answer = region.submit(deadline=5.0)
    assert answer.decision is messages.Decision.NO_ROOM
    assert answer.retry_after == 8.0


def test_requests_of_other_hosts_do_not_queue_behind_a_held_one():
    """Guards against one held host that stops the service for all."""
    region = regions.Region(upstreams=1)
    record_notice(region, 'u0', _HOLD)
    _, held = region.submit()
    assert held.decision is messages.Decision.WAITING
    _, other = region.submit(host='h2')
    assert other.decision is messages.Decision.GRANTED


def test_a_leaving_upstream_gets_nothing_from_any_host():
    """Guards against new work at an upstream that said that it leaves."""
    region = regions.Region(upstreams=3)
    assert record_notice(region, 'u0', _LEAVE)
    assert not record_notice(region, 'u0', _LEAVE)
    for host in ('h1', 'h2'):
        assert list_used(region, 60, host=host) == {'u1', 'u2'}


def test_a_late_heartbeat_does_not_end_a_departure():
    """Guards against work that returns before a new incarnation."""
    region = regions.Region(upstreams=2)
    record_notice(region, 'u0', _LEAVE)
    registry = region.selector.registry
    known = registry.rows['u0'].record
    beat = dataclasses.replace(
        known,
        state=records.UpstreamState.READY,
        sequence=known.sequence + 9,
    )
    assert not registry.merge(beat, 1.0)
    born = dataclasses.replace(beat, born_ms=known.born_ms + 1, sequence=0)
    assert registry.merge(born, 1.0)
    assert 'u0' in list_used(region, 100)


def test_a_notice_of_an_earlier_incarnation_changes_nothing():
    """Guards against a new incarnation that gets no work."""
    region = regions.Region(upstreams=2)
    registry = region.selector.registry
    earlier = registry.rows['u0'].record
    later = dataclasses.replace(earlier, born_ms=earlier.born_ms + 1)
    registry.merge(later, 0.0)
    for notice in (_LEAVE, _HOLD):
        assert not region.selector.record_notice('h1', earlier, notice, 0.0)
    assert 'u0' in list_used(region, 100)


def test_holds_are_bounded_and_end_with_their_upstreams():
    """Guards against a table that grows with every refusal."""
    table = holds.create_holds()
    for number in range(holds.MAX_HOLDS + 10):
        table.add('h1', f'u{number}', 1, until=100.0)
    assert len(table) == holds.MAX_HOLDS
    table.add('h1', 'kept', 1, until=100.0)
    table.add('h1', 'ended', 1, until=1.0)
    table.prune({'kept', 'ended'}, now=2.0)
    assert len(table) == 1
