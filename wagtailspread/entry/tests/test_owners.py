"""Tests of the allocators that a host owns, with a manual clock."""

import asyncio

from returns import result

from wagtailspread.core import clocks, outcomes
from wagtailspread.entry import owners, slots
from wagtailspread.entry.tests import fleets
from wagtailspread.testing import stand_ins


def create_allocator(slot_count=1):
    clock = clocks.ManualClock(100)
    allocator = owners.OwnedAllocator(
        stand_ins.SimpleCoordinator(),
        None,
        clock,
    )
    allocator.announce(
        slots.Announcement(
            fleets.SERVICE,
            'u1',
            'a:1',
            fleets.REGION,
            fleets.DOMAIN,
            slot_count,
            400,
            slots.UpstreamState.READY,
            1,
        ),
    )
    return allocator, clock


def create_request(name, clock):
    deadline = clock.now() + 5
    return slots.SlotRequest(name, 'h1', fleets.DOMAIN, 1, deadline)


async def test_leases_of_failed_hosts_are_removed():
    """Guards against memory that grows with every failed host."""
    allocator, clock = create_allocator()
    await allocator.acquire(create_request('a', clock))
    clock.advance(7)
    allocator.tick()
    assert allocator.open_leases == 0


async def test_waiting_request_immediately_gets_a_released_slot():
    """Guards against slots that stay free until the next tick."""
    allocator, clock = create_allocator()
    first = (await allocator.acquire(create_request('a', clock))).unwrap()
    waiting = asyncio.create_task(
        allocator.acquire(create_request('b', clock)),
    )
    await asyncio.sleep(0)
    assert allocator.waiting == 1
    ended = outcomes.ExchangeResult.SUCCESS
    allocator.complete(slots.Completion(first.lease, ended, 0.1))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert waiting.done()
    allocator.close()


async def test_grant_to_a_cancelled_request_is_released():
    """Guards against a slot lost when a caller disconnects after the grant."""
    allocator, clock = create_allocator()
    first = (await allocator.acquire(create_request('a', clock))).unwrap()
    waiting = asyncio.create_task(
        allocator.acquire(create_request('b', clock)),
    )
    await asyncio.sleep(0)
    ended = outcomes.ExchangeResult.SUCCESS
    allocator.complete(slots.Completion(first.lease, ended, 0.1))
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    assert allocator.open_leases == 0
    decision = await allocator.acquire(create_request('c', clock))
    assert isinstance(decision, result.Success)
    allocator.close()


async def test_a_host_cannot_cancel_the_request_of_another():
    """Guards against a host that frees slots which others use."""
    allocator, clock = create_allocator()
    await allocator.acquire(create_request('a', clock))
    waiting = asyncio.create_task(
        allocator.acquire(create_request('b', clock)),
    )
    await asyncio.sleep(0)
    for request in ('a', 'b'):
        allocator.cancel(request, 'h2')
    assert allocator.open_leases == 1
    assert allocator.waiting == 1
    for request in ('a', 'b'):
        allocator.cancel(request, 'h1')
    await asyncio.gather(waiting, return_exceptions=True)
    assert allocator.open_leases == 0
    assert not allocator._hosts
    allocator.close()
