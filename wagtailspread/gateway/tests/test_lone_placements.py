"""Tests of hosts that decide without an allocator."""

import asyncio
import dataclasses
import itertools

import pytest

from wagtailspread.core import identifiers
from wagtailspread.gateway.tests import test_placements
from wagtailspread.placement import messages


def create_request(placer, **changes):
    """Return a request for the only upstream, which has one slot."""
    request = test_placements.create_placement_request(placer)
    return dataclasses.replace(request, **changes)


async def place_all(placer, count):
    """Place requests at the same time and settle them; return the decisions.

    :returns: the decisions, and the largest number that was open at a time.
    """
    upstream = identifiers.UpstreamId('u1')
    highest = 0

    async def run(request):
        nonlocal highest
        placed = await placer.place(request)
        if placed.answer.record is not None:
            highest = max(highest, placer._selector.count_open(upstream))
            await asyncio.sleep(0.01)
            placer.settle(
                request.request_id, placed, messages.Evidence.GOOD, 0.01
            )
        return placed.answer.decision

    requests = [create_request(placer) for _ in itertools.repeat(None, count)]
    return await asyncio.gather(*map(run, requests)), highest


async def test_a_burst_takes_no_more_than_the_slots():
    """Guards against one connection to an upstream for each request of a burst.

    Load pattern: 40 requests at a host that decides alone, for one slot.
    """
    placer = test_placements.create_placer()
    decisions, highest = await place_all(placer, 40)
    assert highest == 1
    assert set(decisions) == {messages.Decision.GRANTED}
    assert placer._lone.count_waiting() == 0
    await placer.close()


async def test_what_cannot_end_in_time_is_refused_at_once():
    """Guards against requests that wait until their deadline for nothing."""
    placer = test_placements.create_placer()
    first = create_request(placer)
    placed = await placer.place(first)
    placer.settle(first.request_id, placed, messages.Evidence.GOOD, 1.5)
    await placer.place(create_request(placer))
    loop = asyncio.get_running_loop()
    started = loop.time()
    refused = await placer.place(create_request(placer))
    assert refused.answer.decision is messages.Decision.NO_ROOM
    assert refused.answer.retry_after == pytest.approx(1.5)
    assert loop.time() - started < 1.0
    await placer.close()


async def test_waiting_requests_go_by_priority_and_then_by_arrival():
    """Guards against requests that are overtaken by later ones."""
    placer = test_placements.create_placer()
    first = create_request(placer)
    placed = await placer.place(first)
    order = []

    async def run(name, request):
        answer = await placer.place(request)
        order.append(name)
        placer.settle(request.request_id, answer, messages.Evidence.GOOD, 0.01)

    waiting = [
        asyncio.create_task(
            run(name, create_request(placer, priority=priority))
        )
        for name, priority in (('low', 2), ('first', 1), ('second', 1))
    ]
    # Longer than the interval at which they ask the allocators again.
    await asyncio.sleep(0.4)
    placer.settle(first.request_id, placed, messages.Evidence.GOOD, 0.01)
    await asyncio.gather(*waiting)
    assert order == ['first', 'second', 'low']
    await placer.close()


async def test_a_cancelled_request_leaves_the_queue():
    """Guards against slots that are kept for callers that have gone."""
    placer = test_placements.create_placer()
    first = create_request(placer)
    placed = await placer.place(first)
    leaving = asyncio.create_task(placer.place(create_request(placer)))
    await asyncio.sleep(0.05)
    assert placer._lone.count_waiting() == 1
    leaving.cancel()
    await asyncio.gather(leaving, return_exceptions=True)
    assert placer._lone.count_waiting() == 0
    placer.settle(first.request_id, placed, messages.Evidence.GOOD, 0.01)
    placed = await placer.place(create_request(placer))
    assert placed.answer.decision is messages.Decision.GRANTED
    await placer.close()
