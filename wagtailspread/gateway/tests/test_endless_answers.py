"""Tests of upstreams whose responses do not end."""

import asyncio
import contextlib
import dataclasses
import math
import tracemalloc

import logbook
import multidict
import pytest

from wagtailspread.entry import executions
from wagtailspread.gateway import buffers, exchanges
from wagtailspread.gateway.tests import raw_upstreams
from wagtailspread.gateway.tests import test_exchanges, test_servers
from wagtailspread.platform import names
from wagtailspread.routing import terms

#: Deadline of the requests, in seconds. Limits must apply well before it.
_DEADLINE_SECONDS = 6.0
#: Maximum time until bytes beyond a limit end an exchange, in seconds.
_CUT_SECONDS = 1.5
#: Maximum bytes that an upstream sends until a limit on bytes ends an exchange:
#: the largest of these limits, and the buffers of both sockets.
_MAX_CUT_BYTES = 8 * 1024 * 1024
#: Deadline of requests that a limit on bytes must end, and their limit on the
#: time of a head, in seconds. Only a machine that stands still reaches it.
_HANG_SECONDS = 60.0
#: Limits on time, which must not be what ends a flood of bytes.
_TIME_REASONS = frozenset(
    (buffers.CutReason.HEAD_TIME.value, buffers.CutReason.DEADLINE.value)
)
#: Deadline of requests under tracemalloc, in seconds.
_TRACED_SECONDS = 45.0
#: Maximum memory growth by faulty upstreams together, in bytes: the default
#: budget, and half a megabyte of buffers for each connection.
_MAX_GROWTH_BYTES = 32_000_000 + 8 * 2 * 512 * 1024
#: Start of the head of a valid response.
OWN = 'HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: s1\r\n'
_CHUNK = b'10000\r\n' + bytes(65536) + b'\r\n'


class Endless(raw_upstreams.RawUpstream):
    """Sends a start, then repeats a piece until the client closes.

    :param seconds: time between two writes.
    :param max_bytes: bytes after which it closes the connection itself.
    """

    def __init__(self, piece, start=b'', seconds=0.0, max_bytes=math.inf):
        """Start with nothing sent."""
        super().__init__(self._flood)
        self.sent = 0
        self.closed = asyncio.Event()
        self._piece = piece
        self._start = start
        self._seconds = seconds
        self._max_bytes = max_bytes

    async def _flood(self, reader, writer, head):
        await raw_upstreams.read_body(reader, head)
        writer.write(self._start)
        with contextlib.suppress(OSError):
            while not writer.is_closing() and self.sent < self._max_bytes:
                writer.write(self._piece)
                await writer.drain()
                self.sent += len(self._piece)
                await asyncio.sleep(self._seconds)
        self.closed.set()


async def exchange(exchanger, upstream, seconds=_DEADLINE_SECONDS):
    """Return the outcome of one request."""
    outgoing = exchanges.OutgoingRequest(
        'GET',
        '/a/x',
        multidict.CIMultiDict({'Attempt-Id': 'a1', 'Host': 'a.example'}),
        None,
        'a1',
        asyncio.get_running_loop().time() + seconds,
    )
    return await exchanger.send(
        test_exchanges.create_record(upstream.address),
        outgoing,
        executions.AttemptProgress(),
    )


@contextlib.asynccontextmanager
async def run_exchanger(*limits):
    """Yield an exchanger."""
    exchanger = exchanges.create_exchanger(names.HEADERS, *limits)
    try:
        yield exchanger
    finally:
        await exchanger.close()


async def expect_cut(upstream, exchanger, seconds):
    """Return the outcome of a request that must be cut within this time."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    outcome = await exchange(exchanger, upstream)
    assert isinstance(outcome, exchanges.LostResponse), outcome
    assert loop.time() - started < seconds
    assert not outcome.is_expired
    async with asyncio.timeout(1):
        await upstream.closed.wait()
    return outcome


async def expect_cut_by_bytes(piece, start):
    """Return the outcome of a request that a limit on bytes must cut.

    Limits on time are far away, so that the speed of the machine does not
    decide. Without a limit on bytes the upstream reaches its maximum.
    """
    upstream = Endless(piece, start, max_bytes=_MAX_CUT_BYTES)
    limits = dataclasses.replace(
        buffers.create_limits(), head_seconds=_HANG_SECONDS
    )
    async with upstream, run_exchanger(limits) as exchanger:
        outcome = await exchange(exchanger, upstream, _HANG_SECONDS)
        assert isinstance(outcome, exchanges.LostResponse), outcome
        assert outcome.reason not in _TIME_REASONS
        assert not outcome.is_expired
        async with asyncio.timeout(_HANG_SECONDS):
            await upstream.closed.wait()
    assert upstream.sent < _MAX_CUT_BYTES
    return outcome


@pytest.mark.parametrize(
    ('piece', 'start'),
    [
        (b'\r\n' * 4096, b''),
        (b'x' * 8192, b'HTTP/1.1 200 '),
        (b'x' * 8192, f'{OWN}X-Long: '.encode()),
        (b'X-Many: 1\r\n' * 100, OWN.encode()),
        (b'HTTP/1.1 100 Continue\r\n\r\n' * 100, b''),
        (b'HTTP/1.1 103 Early\r\nX-Some: 1\r\n\r\n' * 100, b''),
        (
            bytes(8192),
            b'HTTP/1.1 100 Continue\r\nContent-Length: 9999999\r\n\r\n',
        ),
        (b'\x00\xff noise' * 1000, b''),
    ],
    ids=[
        'line-ends',
        'status-line',
        'field',
        'fields',
        'continue',
        'early-hints',
        'interim-body',
        'noise',
    ],
)
async def test_a_head_without_end_is_cut(piece, start):
    """Guards against reading a head until the deadline of the request."""
    await expect_cut_by_bytes(piece, start)


async def test_a_head_that_trickles_is_cut():
    """Guards against waiting for the end of a head until the deadline."""
    upstream = Endless(b'X', OWN.encode(), seconds=0.05)
    async with upstream, run_exchanger() as exchanger:
        await expect_cut(upstream, exchanger, seconds=3)


@pytest.mark.parametrize(
    'framing',
    ['Transfer-Encoding: chunked\r\n\r\n', '\r\n'],
    ids=['chunked', 'until-close'],
)
async def test_bodies_without_end_leave_memory_to_others(framing):
    """Guards against exhausted memory that cuts healthy responses."""
    piece = _CHUNK if 'chunked' in framing else bytes(65536)
    start = (OWN + framing).encode()
    healthy = raw_upstreams.RawUpstream(raw_upstreams.reply(body=b'x' * 2000))
    served = 0
    async with contextlib.AsyncExitStack() as stack:
        exchanger = await stack.enter_async_context(run_exchanger())
        await stack.enter_async_context(healthy)
        faulty = [
            await stack.enter_async_context(Endless(piece, start))
            for _ in range(8)
        ]
        tracemalloc.start()
        stack.callback(tracemalloc.stop)
        cuts = [
            asyncio.create_task(exchange(exchanger, one, 3.0)) for one in faulty
        ]
        while not all(cut.done() for cut in cuts):
            outcome = await exchange(exchanger, healthy, 3.0)
            assert isinstance(outcome, exchanges.UpstreamResponse)
            served += 1
        peak = tracemalloc.get_traced_memory()[1]
        assert peak < _MAX_GROWTH_BYTES
        assert served
        for cut, upstream in zip(cuts, faulty, strict=True):
            outcome = await cut
            assert isinstance(outcome, exchanges.LostResponse)
            assert not outcome.is_expired
            async with asyncio.timeout(1):
                await upstream.closed.wait()


async def test_a_declared_length_beyond_the_bound_is_cut_at_once():
    """Guards against reading a body that is too large to be forwarded."""
    start = f'{OWN}Content-Length: 60000000\r\n\r\n'.encode()
    outcome = await expect_cut_by_bytes(bytes(65536), start)
    assert outcome.reason == buffers.CutReason.DECLARED_SIZE.value


@pytest.mark.parametrize(
    'head',
    [
        'HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n',
        'HTTP/1.1 200 OK\r\nAttempt-Id: a2\r\nResponse-Signature: s1\r\n',
        'HTTP/1.1 404 No\r\n',
    ],
    ids=['unsigned', 'other-id', 'bare'],
)
async def test_a_body_after_an_invalid_head_is_not_read(head):
    """Guards against reading a body although its head is invalid."""
    start = f'{head}Transfer-Encoding: chunked\r\n\r\n'.encode()
    await expect_cut_by_bytes(_CHUNK, start)


_FRAMINGS = pytest.mark.parametrize(
    'piece',
    [b'1\r\nx\r\n' * 10000, b'1' + b';x=1' * 16000],
    ids=['small-chunks', 'chunk-extension'],
)


@_FRAMINGS
async def test_framing_without_end_is_cut(piece):
    """Guards against counting only the content of a body."""
    start = f'{OWN}Transfer-Encoding: chunked\r\n\r\n'.encode()
    outcome = await expect_cut_by_bytes(piece, start)
    assert outcome.reason == buffers.CutReason.FRAMING.value


@_FRAMINGS
async def test_framing_without_end_takes_little_memory(piece):
    """Guards against parser objects that exceed the counted bytes."""
    start = f'{OWN}Transfer-Encoding: chunked\r\n\r\n'.encode()
    async with Endless(piece, start) as upstream, run_exchanger() as exchanger:
        tracemalloc.start()
        try:
            outcome = await exchange(exchanger, upstream, _TRACED_SECONDS)
            peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        assert peak < 16 * 1024 * 1024
        assert outcome.reason == buffers.CutReason.FRAMING.value


@pytest.mark.parametrize('size', [3_000_000, 12_000_000])
async def test_a_large_response_within_the_limits_is_forwarded(size):
    """Guards against a limit that valid responses reach."""
    body = bytes(range(250)) * (size // 250)
    answer = raw_upstreams.reply(body=body)
    if size < 4_000_000:
        answer = raw_upstreams.reply(body=body, length=0)
    upstream = raw_upstreams.RawUpstream(answer)
    async with upstream, run_exchanger() as exchanger:
        outcome = await exchange(exchanger, upstream)
    assert outcome.body == body


async def test_the_length_in_a_response_to_head_is_not_limited():
    """Guards against rejecting the response to HEAD on a large resource."""
    head = f'{OWN}Content-Length: 60000000\r\n\r\n'.encode()

    async def answer(_reader, writer, _head):
        writer.write(head)
        await asyncio.sleep(1)

    async with raw_upstreams.RawUpstream(answer) as upstream:
        outcome, _ = await test_exchanges.send(upstream, method='HEAD')
    assert outcome.status == 200
    assert outcome.body == b''


async def test_time_from_an_interim_response_to_a_head_is_not_limited():
    """Guards against cutting an upstream that is slow after 100 Continue."""

    async def answer(_reader, writer, _head):
        writer.write(b'HTTP/1.1 100 Continue\r\n\r\n')
        await asyncio.sleep(0.5)
        writer.write(f'{OWN}Content-Length: 2\r\n\r\nok'.encode())

    limits = dataclasses.replace(buffers.create_limits(), head_seconds=0.2)
    upstream = raw_upstreams.RawUpstream(answer)
    async with upstream, run_exchanger(limits) as exchanger:
        outcome = await exchange(exchanger, upstream)
    assert outcome.body == b'ok'


async def test_a_head_after_an_interim_answer_has_its_own_time():
    """Guards against an interim response that disables the head timer."""
    start = b'HTTP/1.1 100 Continue\r\n\r\n' + OWN.encode()
    upstream = Endless(b'X', start, seconds=0.02)
    limits = dataclasses.replace(buffers.create_limits(), head_seconds=0.2)
    async with upstream, run_exchanger(limits) as exchanger:
        await expect_cut(upstream, exchanger, seconds=1)


async def test_responses_without_a_length_share_part_of_the_link():
    """Guards against endless responses that fill a slow link.

    The buffered bytes stand for the time that they take on the link.
    """
    limits = buffers.create_limits(200_000_000, 250_000)
    start = f'{OWN}\r\n'.encode()
    loop = asyncio.get_running_loop()
    async with contextlib.AsyncExitStack() as stack:
        exchanger = await stack.enter_async_context(run_exchanger(limits))
        faulty = [
            await stack.enter_async_context(
                Endless(bytes(8192), start, seconds=0.005),
            )
            for _ in range(4)
        ]
        started = loop.time()
        cuts = [asyncio.create_task(exchange(exchanger, one)) for one in faulty]
        peak_bytes = 0
        while not all(cut.done() for cut in cuts):
            peak_bytes = max(peak_bytes, exchanger.budgets.unsized.used_bytes)
            await asyncio.sleep(0.001)
        assert loop.time() - started < 4
        assert 500_000 < peak_bytes <= limits.unsized_total_bytes
        assert (
            exchanger.budgets.unsized.used_bytes
            == exchanger.budgets.total.used_bytes
            == 0
        )
        reasons = {(await cut).reason for cut in cuts}
    assert buffers.CutReason.LINK.value in reasons


async def test_the_largest_response_is_cut_when_memory_is_used_up():
    """Guards against cutting a valid response instead of an endless one."""
    limits = buffers.ResponseLimits(400_000, 300_000, 400_000, 300_000)
    release = asyncio.Event()

    async def answer_late(_reader, writer, _head):
        writer.write(f'{OWN}Content-Length: 150000\r\n\r\n'.encode())
        writer.write(b'x' * 149_999)
        await release.wait()
        writer.write(b'x')
        await writer.drain()

    endless = Endless(bytes(4096), f'{OWN}\r\n'.encode(), seconds=0.001)
    healthy = raw_upstreams.RawUpstream(answer_late)
    async with healthy, endless, run_exchanger(limits) as exchanger:
        waiting = asyncio.create_task(exchange(exchanger, healthy))
        while exchanger.budgets.total.used_bytes < 150_000:
            await asyncio.sleep(0.01)
        outcome = await exchange(exchanger, endless)
        assert outcome.reason == buffers.CutReason.MEMORY.value
        release.set()
        outcome = await waiting
    assert outcome.body == b'x' * 150_000


async def test_a_cut_is_logged_with_its_reason_bytes_and_seconds():
    """Guards against cut responses without a log line."""
    endless = Endless(bytes(65536), f'{OWN}\r\n'.encode())
    handler = logbook.TestHandler()
    async with endless, run_exchanger() as exchanger:
        with handler.applicationbound():
            await exchange(exchanger, endless)
    (line,) = [one for one in handler.records if one.message == 'answer cut']
    assert line.extra['upstream'] == 'u1'
    assert line.extra['attempt'] == 'a1'
    assert line.extra['reason'] == buffers.CutReason.UNSIZED.value
    assert 0 < line.extra['bytes'] <= buffers.create_limits().unsized_bytes
    assert line.extra['seconds'] < _CUT_SECONDS


@pytest.mark.parametrize(
    ('framing', 'is_expired'),
    [('Content-Length: 9000000\r\n', True), ('', False)],
    ids=['declared', 'undeclared'],
)
async def test_a_body_cut_at_the_deadline_is_a_loss(framing, is_expired):
    """Guards against endless responses that give no evidence.

    A response with a declared length would have ended, so it is only late.
    """
    start = f'{OWN}{framing}\r\n'.encode()
    endless = Endless(b'x' * 100, start, seconds=0.02)
    async with endless, run_exchanger() as exchanger:
        outcome = await exchange(exchanger, endless, seconds=0.3)
        async with asyncio.timeout(1):
            await endless.closed.wait()
    assert outcome.reason == buffers.CutReason.DEADLINE.value
    assert outcome.is_expired is is_expired


async def test_lookups_are_served_beside_upstreams_without_end():
    """Guards against lookups that fail because of one faulty upstream."""
    endless = Endless(bytes(65536), f'{OWN}\r\n'.encode())
    healthy = raw_upstreams.RawUpstream(raw_upstreams.reply())
    kind = terms.RequestKind.SAFE
    async with (
        endless,
        healthy,
        test_servers.run_server([endless, healthy], kind) as (_, base),
    ):
        for _ in range(4):
            found = await test_servers.call(base, method='GET')
            assert (found[0], found[2]) == (200, b'whole')
    assert endless.requests
