"""The memory budget of all connections of callers."""

import asyncio
import contextlib

import pytest

from aiohttp import web

from wagtailspread.entry import bodies, heads, holdings
from wagtailspread.entry.tests import connections

LIMITS = heads.RequestLimits(head_bytes=16_384)
MEGABYTE = 1024 * 1024


class Holder:
    """A connection that records that it was dropped."""

    def __init__(self):
        """Create a connection that holds nothing."""
        self.is_dropped = False

    def drop(self):
        """Record the drop."""
        self.is_dropped = True


def test_oldest_incomplete_requests_are_dropped_until_the_rest_fits():
    """Guards against a refusal of the newest, and against needless drops."""
    budget = holdings.HoldingBudget(100)
    holders = [Holder() for _ in range(4)]
    for holder in holders:
        budget.begin(holder)
        budget.resize(holder, 25)
    budget.complete(holders[0])
    budget.resize(holders[3], 50)
    dropped = [holder.is_dropped for holder in holders]
    assert dropped == [False, True, False, False]
    assert (budget.used_bytes, budget.dropped) == (100, 1)


def test_complete_requests_are_never_dropped():
    """Guards against a refusal of a request that may have run."""
    budget = holdings.HoldingBudget(100)
    holder = Holder()
    budget.begin(holder)
    budget.complete(holder)
    budget.resize(holder, 200)
    assert not holder.is_dropped
    assert not budget.fits()
    budget.release(holder)
    assert budget.used_bytes == 0


def test_single_largest_request_fits_into_the_smallest_machine():
    """Guards against a limit that a client within the limits meets."""
    total = holdings.compute_total(152_000_000)
    lines = 16_384 // 4
    head = holdings.estimate_head(16_384, lines)
    # The prefix of a body, twice while it is joined.
    assert head + 2 * MEGABYTE + 65_536 < total


async def answer_whole(request):
    """Answer when the first megabyte of the body has come."""
    end = asyncio.get_running_loop().time() + 30
    body = bodies.RequestBody(request.content, 10**8, 15, end, MEGABYTE)
    fault = await body.read_prefix()
    return web.Response(status=200 if fault is None else fault.status)


async def test_oldest_incomplete_body_is_refused_as_not_run():
    """Guards against a drop without a response that is true."""
    head = connections.create_head(f'Content-Length: {MEGABYTE}', method='POST')
    async with connections.run_site(LIMITS, answer_whole) as (site, address):
        site.budget.total_bytes = 2 * MEGABYTE
        async with contextlib.AsyncExitStack() as stack:
            opened = [
                await stack.enter_async_context(connections.connect(address))
                for _ in range(3)
            ]
            for _, writer in opened:
                writer.write(head + b'x' * (MEGABYTE - 100_000))
                await asyncio.sleep(0.2)
            first = await connections.read_answer(opened[0][0])
            assert site.budget.dropped == 1
            later = [
                await connections.exchange(connection, b'x' * 100_000)
                for connection in opened[1:]
            ]
    assert first.status == 503
    assert [answer.status for answer in later] == [200, 200]


@pytest.mark.parametrize('piece', [b'x', b'xy', b'x' * 100])
async def test_body_in_pieces_takes_little_more_than_its_bytes(piece):
    """Guards against pieces that take many times their size."""
    head = connections.create_head('Transfer-Encoding: chunked', method='POST')
    chunk = b'%x\r\n%s\r\n' % (len(piece), piece)
    async with connections.run_site(LIMITS, answer_whole) as (site, address):
        async with connections.connect(address) as (_, writer):
            writer.write(head)
            sent = 0
            while sent < 100_000:
                writer.write(chunk * 1000)
                sent += len(piece) * 1000
                await writer.drain()
            async with asyncio.timeout(30):
                while site.budget.used_bytes < sent:
                    await asyncio.sleep(0.01)
            assert site.budget.used_bytes < sent * 1.5 + 65_536
