"""Tests of pipelined requests on one connection."""

import asyncio
import contextlib

from aiohttp import web

from wagtailspread.entry import heads, pipelines, sites
from wagtailspread.entry.tests import connections

_LIMITS = heads.RequestLimits(head_bytes=2048, body_bytes=100)
_WAIT_SECONDS = 2.0


class HeldHandler:
    """Answers each path when it is released, with the path as the body.

    :param started: paths in the order in which their requests were handled.
    """

    def __init__(self):
        """Create a handler that has released no path."""
        self.started = []
        self.cancelled = []
        self._released = {}

    async def __call__(self, request):
        """Wait until the path is released, then answer."""
        self.started.append(request.path)
        try:
            await self._find(request.path).wait()
        except asyncio.CancelledError:
            self.cancelled.append(request.path)
            raise
        size = int(request.headers.get('Size', 0))
        return web.Response(text=request.path + '.' * size)

    def release(self, *paths):
        """Let the requests of these paths be answered."""
        for path in paths:
            self._find(path).set()

    async def wait_until(self, condition):
        """Wait until a condition on this handler holds."""
        async with asyncio.timeout(_WAIT_SECONDS):
            while not condition(self):
                await asyncio.sleep(0.01)

    def _find(self, path):
        return self._released.setdefault(path, asyncio.Event())


@contextlib.asynccontextmanager
async def run_pipeline():
    """Yield a handler, its pipelining site and a connection to it."""
    handler = HeldHandler()
    site = sites.create_site(handler, _LIMITS, is_pipelining=True)
    address = await site.start(connections.ANY_PORT)
    try:
        async with connections.connect(address) as (reader, writer):
            yield handler, site, reader, writer
    finally:
        await site.close()


def send(writer, *paths, **options):
    """Send requests without waiting for their answers."""
    writer.write(
        b''.join(
            connections.create_head(target=path, **options) for path in paths
        )
    )


async def read_bodies(reader, count):
    """Return the bodies of the next answers."""
    return [
        (await connections.read_answer(reader)).body.decode()
        for _ in range(count)
    ]


async def test_slow_request_does_not_delay_the_handling_of_those_behind_it():
    """Guards against requests that wait for the answers before them."""
    async with run_pipeline() as (handler, _, reader, writer):
        send(writer, '/1', '/2', '/3')
        await handler.wait_until(lambda one: len(one.started) == 3)
        handler.release('/3', '/2')
        await asyncio.sleep(0.05)
        handler.release('/1')
        assert await read_bodies(reader, 3) == ['/1', '/2', '/3']


async def test_requests_sent_one_by_one_are_pipelined_too():
    """Guards against a start only when a whole batch arrives at once."""
    async with run_pipeline() as (handler, _, reader, writer):
        send(writer, '/1')
        await handler.wait_until(lambda one: one.started == ['/1'])
        send(writer, '/2')
        await handler.wait_until(lambda one: one.started == ['/1', '/2'])
        handler.release('/1', '/2')
        assert await read_bodies(reader, 2) == ['/1', '/2']


async def test_window_bounds_the_requests_handled_at_once():
    """Guards against a connection that takes all upstreams for itself."""
    paths = [f'/{number}' for number in range(30)]
    async with run_pipeline() as (handler, _, reader, writer):
        send(writer, *paths)
        await handler.wait_until(
            lambda one: len(one.started) == pipelines.WINDOW + 1
        )
        await asyncio.sleep(0.05)
        assert handler.started == paths[: pipelines.WINDOW + 1]
        handler.release(*paths)
        assert await read_bodies(reader, len(paths)) == paths
        assert handler.started == paths


async def test_nothing_is_handled_behind_a_request_that_may_close():
    """Guards against work whose answer the caller never gets."""
    async with run_pipeline() as (handler, _, reader, writer):
        send(writer, '/1')
        send(writer, '/2', method='POST')
        send(writer, '/3')
        send(writer, '/4', method='GET')
        await handler.wait_until(lambda one: one.started == ['/1'])
        await asyncio.sleep(0.05)
        assert handler.started == ['/1']
        handler.release('/1', '/2', '/3', '/4')
        assert await read_bodies(reader, 4) == ['/1', '/2', '/3', '/4']


async def test_nothing_is_handled_behind_an_announced_close():
    """Guards against work behind the last answer of a connection."""
    async with run_pipeline() as (handler, _, reader, writer):
        writer.write(connections.create_head('Connection: close', target='/1'))
        await handler.wait_until(lambda one: one.started == ['/1'])
        send(writer, '/2')
        await asyncio.sleep(0.05)
        handler.release('/1')
        assert await read_bodies(reader, 1) == ['/1']
        assert await reader.read() == b''
        assert handler.started == ['/1']


async def test_nothing_is_handled_behind_a_head_that_is_refused():
    """Guards against work behind a refusal that closes the connection."""
    async with run_pipeline() as (handler, _, reader, writer):
        padding = f'Padding: {"x" * _LIMITS.head_bytes}'
        send(writer, '/1')
        writer.write(connections.create_head(padding, target='/2'))
        send(writer, '/3')
        await handler.wait_until(lambda one: one.started == ['/1'])
        handler.release('/1', '/2', '/3')
        assert await read_bodies(reader, 1) == ['/1']
        assert (await connections.read_answer(reader)).status == 431
        assert handler.started == ['/1']


async def test_stopping_site_answers_what_it_handles_and_starts_nothing():
    """Guards against handled requests that a stop leaves without an answer."""
    async with run_pipeline() as (handler, site, reader, writer):
        send(writer, '/1', '/2')
        await handler.wait_until(lambda one: len(one.started) == 2)
        site.close_after_answers()
        send(writer, '/3')
        await asyncio.sleep(0.05)
        handler.release('/1', '/2', '/3')
        assert await read_bodies(reader, 2) == ['/1', '/2']
        assert await reader.read() == b''
        assert handler.started == ['/1', '/2']


async def test_caller_that_leaves_ends_all_its_requests():
    """Guards against work for callers that are gone."""
    async with run_pipeline() as (handler, _, _reader, writer):
        send(writer, '/1', '/2', '/3')
        await handler.wait_until(lambda one: len(one.started) == 3)
        writer.close()
        await handler.wait_until(lambda one: len(one.cancelled) == 3)
        assert sorted(handler.cancelled) == ['/1', '/2', '/3']


async def test_held_answers_bound_what_is_handled_ahead(monkeypatch):
    """Guards against answers that pile up behind a slow one."""
    monkeypatch.setattr(pipelines, 'MAX_CONNECTION_BYTES', 1000)
    async with run_pipeline() as (handler, site, reader, writer):
        handler.release('/2')
        send(writer, '/1')
        writer.write(connections.create_head('Size: 1000', target='/2'))
        await handler.wait_until(lambda one: one.started == ['/1', '/2'])
        await asyncio.sleep(0.05)
        send(writer, '/3')
        await asyncio.sleep(0.05)
        assert handler.started == ['/1', '/2']
        usage = site._server.usage
        assert usage.held_bytes == 1002
        handler.release('/1', '/3')
        bodies = await read_bodies(reader, 3)
        assert [body[:2] for body in bodies] == ['/1', '/2', '/3']
        assert usage.held_bytes == 0


async def test_answers_held_for_a_caller_that_leaves_are_released():
    """Guards against a host that counts the bytes of closed connections."""
    async with run_pipeline() as (handler, site, _reader, writer):
        handler.release('/2')
        send(writer, '/1', '/2')
        await handler.wait_until(lambda one: len(one.started) == 2)
        usage = site._server.usage
        await handler.wait_until(lambda _one: usage.held_bytes == 2)
        writer.close()
        await handler.wait_until(lambda _one: usage.held_bytes == 0)
