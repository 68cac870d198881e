"""Tests of the request path from a caller to upstreams and back."""

import asyncio
import contextlib
import dataclasses
import random

import aiohttp
import pytest

from wagtailspread.entry.tests import connections
from wagtailspread.gateway import attempts, exchanges, placements, servers
from wagtailspread.gateway.tests import raw_upstreams
from wagtailspread.placement import budgets, costs, selection
from wagtailspread.platform import names
from wagtailspread.registry import records
from wagtailspread.registry import tables as registries
from wagtailspread.routing import tables, terms

_REGIONS = {'north': 'r1'}
_HEADERS = {'Host': 'a.example', 'Attempt-Id': 'a1', 'Deadline-Ms': '3000'}
_NOT_RUN = raw_upstreams.reply(503, headers=['Not-Executed: 1'])


class LoopClock:
    """Clock of the event loop."""

    def now(self):
        """Return the event loop's seconds."""
        return asyncio.get_running_loop().time()


def create_route(kind, **changes):
    """Return a route of this kind."""
    part = terms.SplitPart('columns', 1.0)
    route = terms.Route('r1', 'a.example', '/a/', kind, (part,), 2)
    return dataclasses.replace(route, **changes)


def create_settings(kind, *, limits=None, **changes):
    """Return a configuration with one route of this kind."""
    route = create_route(kind, **changes)
    used = limits or terms.CallerLimits()
    return terms.RoutingSettings(1, (route,), {'columns': 390}, used)


def apply_at_once(server, settings):
    """Apply a configuration without a transition from the previous one."""
    server.apply_settings(settings)
    server.site._window._replaced.clear()


def create_record(number, address):
    """Return the record of an upstream at this address."""
    return records.UpstreamRecord(
        upstream=f'u{number}',
        service='columns',
        address=address,
        domain='north',
        slots=6,
        state=records.UpstreamState.READY,
        born_ms=number + 1,
        sequence=1,
    )


@contextlib.asynccontextmanager
async def run_server(
    upstreams,
    kind=terms.RequestKind.UNSAFE,
    *,
    is_current=True,
    is_behind=None,
    settings=None,
    **changes,
):
    """Yield a server in front of these upstreams, and its URL."""
    selector = selection.create_selector(
        registries.create_table(
            create_record(number, upstream.address)
            for number, upstream in enumerate(upstreams)
        ),
        _REGIONS,
        random.Random(1),
    )
    placer = placements.create_placer(
        'h1',
        costs.Location('north', _REGIONS),
        None,
        selector,
        budgets.SharedRetryBudget(10.0, 0.0, 10.0, lambda: 1),
        LoopClock(),
    )
    exchanger = exchanges.create_exchanger(names.HEADERS)
    server = servers.create_server(
        attempts.AttemptRunner('h1', 'north', placer, exchanger),
        names.HEADERS,
        tables.SplitCounter(random.Random(1)),
        lambda: is_current,
        is_behind=is_behind,
    )
    apply_at_once(server, settings or create_settings(kind, **changes))
    address = await server.site.start('127.0.0.1:0')
    try:
        yield server, f'http://{address}'
    finally:
        await server.site.close()
        await exchanger.close()


async def call(base, path='/a/x', method='POST', **options):
    """Return the status, headers and body of one response."""
    options.setdefault('headers', _HEADERS)
    async with aiohttp.ClientSession() as session:
        async with session.request(method, base + path, **options) as answer:
            return answer.status, answer.headers, await answer.read()


def count_requests(*upstreams):
    """Return the number of requests that reached upstreams."""
    return sum(len(upstream.requests) for upstream in upstreams)


@contextlib.asynccontextmanager
async def run_upstreams(*answers):
    """Yield one upstream for each answer."""
    async with contextlib.AsyncExitStack() as stack:
        yield [
            await stack.enter_async_context(raw_upstreams.RawUpstream(answer))
            for answer in answers
        ]


@pytest.mark.parametrize(
    'answer', [raw_upstreams.reset, raw_upstreams.reply(length=50)]
)
async def test_an_order_that_may_have_run_is_not_sent_again(answer):
    """Guards against a second run, and a false "not run" response."""
    async with run_upstreams(answer, answer) as upstreams:
        async with run_server(upstreams) as (_, base):
            status, headers, _ = await call(base, data=b'order')
    assert status == 502
    assert 'Response-Signature' not in headers
    assert count_requests(*upstreams) == 1


@pytest.mark.parametrize('status', [408, 421, 429, 503])
async def test_a_not_run_status_without_proof_is_replaced(status):
    """Guards against telling a caller that an order that ran did not run."""
    answer = raw_upstreams.reply(status)
    if status == 421:
        answer = raw_upstreams.reset
    async with run_upstreams(answer) as upstreams:
        async with run_server(upstreams) as (_, base):
            answered, headers, _ = await call(base, data=b'order')
    assert answered == 502
    assert 'Response-Signature' not in headers


async def test_an_order_that_no_upstream_ran_goes_to_another():
    """Guards against failing an order that another upstream can run."""
    async with run_upstreams(_NOT_RUN, _NOT_RUN) as upstreams:
        upstreams[0].answers.append(raw_upstreams.reply())
        upstreams[1].answers.append(raw_upstreams.reply())
        async with run_server(upstreams) as (_, base):
            status, headers, _ = await call(base, data=b'order')
            assert count_requests(*upstreams) == 2
            assert {len(one.requests) for one in upstreams} == {1}
    assert status == 503
    assert float(headers['Retry-After']) > 0


async def test_an_order_is_sent_to_no_more_upstreams_than_allowed():
    """Guards against exceeding the attempts of a route."""
    async with run_upstreams(
        _NOT_RUN, _NOT_RUN, _NOT_RUN, _NOT_RUN
    ) as upstreams:
        async with run_server(upstreams, max_attempts=3) as (_, base):
            status, _, _ = await call(base, data=b'order')
    assert status == 503
    assert count_requests(*upstreams) == 3


async def test_a_lookup_is_sent_again_after_a_failure():
    """Guards against lookups that fail because of one faulty upstream."""
    bad = raw_upstreams.RawUpstream(raw_upstreams.reset)
    good = raw_upstreams.RawUpstream(raw_upstreams.reply())
    kind = terms.RequestKind.SAFE
    async with bad, good, run_server([bad, good], kind) as (_, base):
        for _ in range(4):
            status, _, body = await call(base, method='GET')
            assert (status, body) == (200, b'whole')


async def test_a_failure_of_an_upstream_is_forwarded():
    """Guards against replacing a failure that an upstream sent."""
    answer = raw_upstreams.reply(500, b'sorry')
    async with run_upstreams(answer) as upstreams:
        async with run_server(upstreams) as (_, base):
            status, headers, body = await call(base, data=b'order')
    assert (status, body) == (500, b'sorry')
    assert headers['Response-Signature'] == 's1'


@pytest.mark.parametrize('status', [302, 400, 404])
async def test_an_unsigned_refusal_does_not_reach_a_caller(status):
    """Guards against refusing an order by an unsigned response."""
    answer = raw_upstreams.reply(status, signature='')
    async with run_upstreams(answer, answer) as upstreams:
        async with run_server(upstreams) as (_, base):
            answered, _, _ = await call(
                base, data=b'order', allow_redirects=False
            )
    assert answered == 502
    assert count_requests(*upstreams) == 1


async def test_a_lookup_is_sent_again_after_an_unsigned_refusal():
    """Guards against lookups that fail because of an unsigned response."""
    bad = raw_upstreams.RawUpstream(raw_upstreams.reply(404, signature=''))
    good = raw_upstreams.RawUpstream(raw_upstreams.reply())
    kind = terms.RequestKind.SAFE
    async with bad, good, run_server([bad, good], kind) as (_, base):
        for _ in range(4):
            status, _, body = await call(base, method='GET')
            assert (status, body) == (200, b'whole')


async def test_a_request_ends_at_the_timeout_of_its_route():
    """Guards against keeping a caller waiting longer than allowed."""
    async with run_upstreams(raw_upstreams.hang) as upstreams:
        async with run_server(upstreams, timeout=0.3) as (_, base):
            async with asyncio.timeout(0.8):
                status, _, _ = await call(base, data=b'order')
    assert status == 504


async def test_a_host_without_a_configuration_asks_callers_to_retry():
    """Guards against 404 for routes that a new host does not know yet."""
    async with run_server([]) as (server, base):
        server.routes = None
        status, headers, _ = await call(base)
        assert status == 503
        assert 'Retry-After' in headers


async def test_unknown_routes_and_large_bodies_are_refused():
    """Guards against forwarding a request that no route allows."""
    async with run_server([]) as (server, base):
        assert (await call(base, '/b/x'))[0] == 404
        other = {**_HEADERS, 'Host': 'b.example'}
        assert (await call(base, headers=other))[0] == 404
        small = terms.CallerLimits(body_bytes=10)
        settings = dataclasses.replace(server.routes.settings, limits=small)
        apply_at_once(server, settings)
        assert (await call(base, data=b'x' * 11))[0] == 413


async def test_without_upstreams_a_request_is_refused_at_once():
    """Guards against delaying a request that cannot be served."""
    async with run_server([]) as (_, base):
        async with asyncio.timeout(0.5):
            status, headers, _ = await call(base, data=b'order')
    assert status == 503
    assert float(headers['Retry-After']) > 0


async def test_upstream_work_ends_when_the_caller_disconnects():
    """Guards against upstream work for callers that have disconnected."""
    ended = asyncio.Event()

    async def notice_end(reader, _writer, head):
        await raw_upstreams.read_body(reader, head)
        assert await reader.read() == b''
        ended.set()

    async with run_upstreams(notice_end) as upstreams:
        async with run_server(upstreams) as (_, base):
            calling = asyncio.create_task(call(base, data=b'order'))
            await asyncio.sleep(0.2)
            calling.cancel()
            async with asyncio.timeout(0.5):
                await ended.wait()


async def test_a_body_that_comes_too_slowly_has_not_run():
    """Guards against blaming a caller for a slow link."""

    async def send_slowly():
        yield b'start'
        await asyncio.sleep(5)

    async with run_server([], timeout=0.3) as (_, base):
        async with asyncio.timeout(2):
            status, _, _ = await call(base, data=send_slowly())
    assert status == 408


async def test_idle_connections_stay_open_as_long_as_configured():
    """Guards against closing a connection that a caller may still use."""
    async with run_server([]) as (server, base):
        limits = terms.CallerLimits(idle_seconds=60.0)
        settings = dataclasses.replace(server.routes.settings, limits=limits)
        apply_at_once(server, settings)
        async with aiohttp.ClientSession() as session:
            async with session.get(base + '/b/') as answer:
                assert answer.status == 404
            (connection,) = server.site._server.connections
            now = asyncio.get_running_loop().time()
            connection.enforce_timeouts(now)
            connection.enforce_timeouts(now + 60)
            async with session.get(base + '/b/') as answer:
                assert answer.status == 404
            assert server.site._server.connections == [connection]
            now = asyncio.get_running_loop().time()
            connection.enforce_timeouts(now)
            connection.enforce_timeouts(now + 65)
            await asyncio.sleep(0.05)
            assert not server.site._server.connections


async def test_a_head_has_the_configured_time_limit():
    """Guards against applying the idle timeout to a slow head."""
    async with run_server([]) as (server, base):
        address = base.removeprefix('http://')
        async with connections.connect(address) as (reader, writer):
            writer.write(b'GET /a/x HTTP/1.1\r\n')
            await asyncio.sleep(0.05)
            (connection,) = server.site._server.connections
            now = asyncio.get_running_loop().time()
            connection.enforce_timeouts(
                now + terms.CallerLimits().header_seconds
            )
            await asyncio.sleep(0.05)
            assert not reader._buffer
            connection.enforce_timeouts(now + terms.CallerLimits().idle_seconds)
            answer = await connections.read_answer(reader)
    assert answer.status == 408


async def test_no_head_is_too_large_before_the_configuration_is_known():
    """Guards against a 431 before any limit is configured."""
    large = {**_HEADERS, **{f'X-{count}': 'x' * 4000 for count in range(10)}}
    server = servers.create_server(None, names.HEADERS, None, bool)
    address = await server.site.start('127.0.0.1:0')
    status, headers, _ = await call(f'http://{address}', headers=large)
    await server.site.close()
    assert status == 503
    assert 'Retry-After' in headers


@pytest.mark.parametrize('is_current', [True, False])
@pytest.mark.parametrize(
    ('path', 'body', 'status'),
    [('/b/x', b'', 404), ('/a/x', bytes(2000), 413)],
    ids=['route', 'body'],
)
async def test_a_host_that_may_be_behind_forbids_nothing(
    is_current, path, body, status
):
    """Guards against a refusal by an outdated version.

    Callers do not retry after 404 or 413; a newer version may allow a request.
    """
    limits = terms.CallerLimits(body_bytes=1000)
    settings = create_settings(terms.RequestKind.UNSAFE, limits=limits)
    async with run_server([], settings=settings, is_current=is_current) as (
        _,
        base,
    ):
        answered, headers, _ = await call(base, path, data=body)
    if is_current:
        assert answered == status
        return
    assert answered == 503
    assert float(headers['Retry-After']) > 0


async def test_a_smaller_limit_refuses_no_body_at_once():
    """Guards against 413 right after the limit for a body was lowered."""
    async with run_server([]) as (server, base):
        limits = terms.CallerLimits(body_bytes=1000)
        settings = dataclasses.replace(server.routes.settings, limits=limits)
        server.apply_settings(settings)
        status, _, _ = await call(base, data=bytes(2000))
    assert status == 503


@pytest.mark.parametrize('is_current', [True, False])
async def test_a_host_that_may_be_behind_refuses_no_head(is_current):
    """Guards against a 431 by limits that a newer version may have replaced."""
    limits = terms.CallerLimits(header_bytes=1000)
    settings = create_settings(terms.RequestKind.UNSAFE, limits=limits)
    own = {**_HEADERS, 'X-Note': 'a' * 2000}
    async with run_server([], settings=settings, is_current=is_current) as (
        server,
        base,
    ):
        server.site._window._replaced.clear()
        status, _, _ = await call(base, headers=own)
    assert status == (431 if is_current else 503)
