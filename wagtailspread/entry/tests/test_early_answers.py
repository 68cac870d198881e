"""Answers that are sent before the request body ends, over loopback."""

import asyncio
import contextlib

import pytest

from aiohttp import web

from wagtailspread.entry import heads
from wagtailspread.entry.tests import connections, fleets, test_exchanges

LIMITS = heads.RequestLimits(seconds=0.3, keepalive_seconds=5.0)
#: A body that consists of request heads, which a host must never handle.
BODY = connections.create_head(target='/body') * 4000
HALF = len(BODY) // 2
LENGTH_HEAD = connections.create_head(
    f'Content-Length: {len(BODY)}',
    method='POST',
)
CHUNKED_HEAD = connections.create_head(
    'Transfer-Encoding: chunked',
    method='POST',
)
NEXT_HEAD = connections.create_head(target='/next')


def frame(body):
    """Encode a body as one chunk."""
    return b'%x\r\n%s\r\n' % (len(body), body)


#: Pairs of head with first part of the body, and rest of the body.
FRAMINGS = (
    (LENGTH_HEAD + BODY[:HALF], BODY[HALF:]),
    (CHUNKED_HEAD + frame(BODY[:HALF]), frame(BODY[HALF:]) + b'0\r\n\r\n'),
    # The answer is sent within a chunk, or within a chunk-size line.
    (CHUNKED_HEAD + frame(BODY)[:HALF], frame(BODY)[HALF:] + b'0\r\n\r\n'),
    (CHUNKED_HEAD + frame(BODY)[:2], frame(BODY)[2:] + b'0\r\n\r\n'),
)


def create_handler(paths, **options):
    """Return a handler that records paths and does not read bodies."""

    async def answer(request):
        paths.append(request.path)
        response = web.Response(status=404 if request.path == '/' else 200)
        if request.path == '/' and options.get('closes'):
            response.force_close()
        return response

    return answer


async def send_slowly(writer, rest, seconds):
    """Send bytes in ten parts over the given time in seconds."""
    size = len(rest) // 10 + 1
    for start in range(0, len(rest), size):
        writer.write(rest[start : start + size])
        await writer.drain()
        await asyncio.sleep(seconds / 10)


@pytest.mark.parametrize('seconds', [0, 2.5])
@pytest.mark.parametrize('closes', [False, True])
@pytest.mark.parametrize(('start', 'rest'), FRAMINGS)
async def test_rest_of_body_is_not_parsed_as_request(
    start, rest, closes, seconds
):
    """Guards against 400 or a reset for callers still sending a body."""
    paths = []
    handler = create_handler(paths, closes=closes)
    async with connections.run_site(LIMITS, handler) as (_, address):
        async with contextlib.AsyncExitStack() as stack:
            opened = connections.connect(address)
            reader, writer = await stack.enter_async_context(opened)
            first = await connections.exchange((reader, writer), start)
            await send_slowly(writer, rest, seconds)
            if first.headers.get('connection') == 'close':
                assert await reader.read() == b''
                opened = connections.connect(address)
                reader, writer = await stack.enter_async_context(opened)
            later = await connections.exchange((reader, writer), NEXT_HEAD)
    assert (first.status, later.status) == (404, 200)
    assert paths == ['/', '/next']


@pytest.mark.parametrize('end', [b'\r\n\r\n', b''])
async def test_caller_that_is_still_sending_receives_head_refusal(end):
    """Guards against a reset by which a caller loses the refusal."""
    head = LENGTH_HEAD[:-2] + b'A: ' + b'a' * 9000 + end
    async with connections.run_site(LIMITS) as (_, address):
        async with connections.connect(address) as (reader, writer):
            writer.write(head)
            await send_slowly(writer, b'a' * len(BODY), 2.5)
            answer = await connections.read_answer(reader)
            assert await reader.read() == b''
    assert (answer.status, answer.headers['connection']) == (431, 'close')


async def test_wait_for_caller_that_stopped_sending_is_bounded():
    """Guards against connections held open by inactive callers."""
    async with connections.run_site(LIMITS, create_handler([])) as (
        site,
        address,
    ):
        async with connections.connect(address) as connection:
            answer = await connections.exchange(connection, FRAMINGS[0][0])
            await asyncio.sleep(LIMITS.linger_seconds + 0.6)
            assert not site._server.connections
    assert answer.status == 404


async def test_late_rest_of_body_gets_no_second_answer():
    """Guards against applying the head timeout to bytes of a body."""
    async with connections.run_site(LIMITS, create_handler([])) as (_, address):
        async with connections.connect(address) as (reader, writer):
            await connections.exchange((reader, writer), LENGTH_HEAD + b'a')
            writer.write(b'b' * 100)
            async with asyncio.timeout(3):
                assert await reader.read() == b''


async def test_late_head_that_continues_is_refused_without_reset():
    """Guards against a reset instead of 408 for callers on slow links."""
    async with connections.run_site(LIMITS) as (_, address):
        async with connections.connect(address) as (reader, writer):
            writer.write(NEXT_HEAD[:-9])
            await asyncio.sleep(0.8)
            for _ in range(3):
                writer.write(NEXT_HEAD)
                await writer.drain()
                await asyncio.sleep(0.2)
            answer = await connections.read_answer(reader)
    assert answer.status == 408


async def test_streamed_answer_to_incomplete_body_closes_connection():
    """Guards against parsing the next request as the rest of a body."""

    async def answer_early(_upstream, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        size = 300000
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % size)
        writer.write(b'a' * size)
        await writer.drain()
        await asyncio.sleep(1)

    head = connections.create_head(
        f'Content-Length: {len(BODY)}',
        target='/vitrina/a',
        method='POST',
    )
    async with fleets.start_fleet() as (hosts, upstreams):
        await test_exchanges.start_script(hosts[0], upstreams, answer_early)
        async with connections.connect(hosts[0].address) as (reader, writer):
            writer.write(head + BODY[:100000])
            answer = await connections.read_answer(reader)
    assert (answer.status, answer.headers['connection']) == (200, 'close')
