"""Tests of upstreams that send bytes without end to an entry host."""

import asyncio
import contextlib
import tracemalloc

import multidict
import pytest

from wagtailspread.core import clocks, outcomes
from wagtailspread.entry import connections, exchanges, executions, protocols
from wagtailspread.gateway.tests import raw_upstreams, test_endless_answers

#: Deadline of the requests, in seconds. Limits must apply well before it.
_DEADLINE_SECONDS = 6.0
#: Maximum time until bytes beyond a bound end an exchange, in seconds.
_CUT_SECONDS = 1.5
_HEAD = 'HTTP/1.1 200 OK\r\n'
_WHOLE = f'{_HEAD}Content-Length: 5\r\n\r\nwhole'.encode()


async def exchange(pools, upstream):
    """Return the outcome of one request."""
    clock = clocks.SystemClock()
    outgoing = exchanges.OutgoingRequest(
        'GET',
        '/vitrina/a',
        multidict.CIMultiDict({'Host': 'h'}),
        None,
        clock.now() + _DEADLINE_SECONDS,
    )
    exchanger = exchanges.Exchanger(pools, clock)
    return await exchanger.send(
        upstream.address, outgoing, executions.AttemptProgress()
    )


@contextlib.asynccontextmanager
async def open_pools():
    """Yield a table without connections."""
    pools = connections.PoolTable(9)
    try:
        yield pools
    finally:
        await pools.close()


@pytest.mark.parametrize(
    ('piece', 'start'),
    [
        (b'\r\n' * 4096, b''),
        (b'HTTP/1.1 100 Continue\r\n\r\n' * 100, b''),
        (b'HTTP/1.1 103 Early\r\nX-Some: 1\r\n\r\n' * 100, b''),
        (b'X-Many: 1\r\n' * 100, _HEAD.encode()),
    ],
    ids=['line-ends', 'continue', 'early-hints', 'fields'],
)
async def test_a_head_without_end_is_cut(piece, start):
    """Guards against parsing until the deadline of the request."""
    upstream = test_endless_answers.Endless(piece, start)
    async with upstream, open_pools() as pools:
        async with asyncio.timeout(_CUT_SECONDS):
            outcome = await exchange(pools, upstream)
            await upstream.closed.wait()
    assert outcome.failure().result is outcomes.ExchangeResult.RESET


async def test_framing_without_end_is_cut():
    """Guards against an extension of a chunk that never ends."""
    start = f'{_HEAD}Transfer-Encoding: chunked\r\n\r\n5;a='.encode()
    upstream = test_endless_answers.Endless(b'x' * 8192, start)
    async with upstream, open_pools() as pools:
        async with asyncio.timeout(_CUT_SECONDS):
            outcome = await exchange(pools, upstream)
    assert outcome.failure().result is outcomes.ExchangeResult.RESET


@pytest.mark.parametrize(
    'piece',
    [_WHOLE * 50, b'HTTP/1.1 100 Continue\r\n\r\n' * 100],
    ids=['answers', 'continue'],
)
async def test_a_kept_connection_holds_no_bytes(piece):
    """Guards against memory that runs out by bytes after a whole answer.

    A connection without an exchange kept every answer that arrived on it.
    """

    async def flood(reader, writer, head):
        await raw_upstreams.read_body(reader, head)
        writer.write(_WHOLE)
        await writer.drain()
        await asyncio.sleep(0.2)
        with contextlib.suppress(OSError):
            while not writer.is_closing():
                writer.write(piece)
                await writer.drain()

    async with (
        raw_upstreams.RawUpstream(flood) as upstream,
        open_pools() as pools,
    ):
        outcome = await exchange(pools, upstream)
        assert outcome.unwrap().body == b'whole'
        outcome.unwrap().close()
        tracemalloc.start()
        try:
            await asyncio.sleep(1.0)
            peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
    assert peak < 2 * protocols.FRAMING_BYTES


async def test_a_large_body_that_comes_with_its_head_is_no_part_of_it():
    """Guards against a bound on heads that cuts large answers."""
    body = bytes(4 * protocols.MAX_HEAD_BYTES)
    reply = raw_upstreams.reply(body=body)
    async with raw_upstreams.RawUpstream(reply) as upstream:
        async with open_pools() as pools:
            answered = (await exchange(pools, upstream)).unwrap()
            assert await answered.response.read() == body
            answered.close()
