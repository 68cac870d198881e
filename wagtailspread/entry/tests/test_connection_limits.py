"""The limit on the open connections of a listener."""

import asyncio
import contextlib

from aiohttp import web

from wagtailspread.entry import heads, sites
from wagtailspread.entry.tests import connections

LIMITS = heads.RequestLimits(seconds=30.0)
HEAD = connections.create_head()


@contextlib.asynccontextmanager
async def run_full_site(handler, raws):
    """Yield an address with two connections, the most that are allowed."""
    site = sites.create_site(handler, LIMITS, max_connections=2)
    address = await site.start(connections.ANY_PORT)
    try:
        async with contextlib.AsyncExitStack() as stack:
            opened = []
            for raw in raws:
                connecting = connections.connect(address)
                opened.append(await stack.enter_async_context(connecting))
                opened[-1][1].write(raw)
                await asyncio.sleep(0.1)
            yield address, opened
    finally:
        await site.close()


async def wait_for_close(connection):
    """Wait until a connection is closed without a response."""
    async with asyncio.timeout(5):
        assert await connection[0].read() == b''


async def test_connection_that_waits_is_closed_first():
    """Guards against clients that occupy all connections by doing nothing."""
    async with run_full_site(connections.describe, [HEAD[:-2], b'']) as (
        address,
        opened,
    ):
        async with connections.connect(address) as newest:
            answer = await connections.exchange(newest, HEAD)
            assert answer.status == 200
            await wait_for_close(opened[1])
            answer = await connections.exchange(opened[0], b'\r\n')
            assert answer.status == 200


async def test_connection_with_an_incomplete_request_is_closed_next():
    """Guards against clients that occupy all connections by heads."""
    raws = [HEAD[:-2], HEAD[:-2]]
    async with run_full_site(connections.describe, raws) as (address, opened):
        async with connections.connect(address) as newest:
            answer = await connections.exchange(newest, HEAD)
            assert answer.status == 200
            await wait_for_close(opened[0])


async def test_connection_with_a_running_request_stays_open():
    """Guards against cutting off requests that may have run."""
    ending = asyncio.Event()

    async def wait(_request):
        await ending.wait()
        return web.Response()

    async with run_full_site(wait, [HEAD, HEAD]) as (address, opened):
        async with connections.connect(address) as newest:
            await wait_for_close(newest)
        ending.set()
        for connection in opened:
            answer = await connections.read_answer(connection[0])
            assert answer.status == 200
