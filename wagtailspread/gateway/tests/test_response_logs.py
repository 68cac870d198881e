"""Tests of the log lines and counts of unsuccessful responses."""

import asyncio
import contextlib
import dataclasses

import aiohttp
import logbook
import pytest

from aiohttp import streams, web

from wagtailspread.gateway import attempts, response_logs
from wagtailspread.gateway.tests import raw_upstreams, test_servers
from wagtailspread.routing import terms

_ANSWERED = 'request answered: '
_NOT_RUN = raw_upstreams.reply(503, headers=['Not-Executed: 1'])
_HEAD = 'POST /a/x?secret=1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a1\r\n'


@contextlib.contextmanager
def record_lines():
    """Yield a list of the fields of the log lines about responses."""
    lines = []

    class Recorder(logbook.TestHandler):
        def emit(self, record):
            if record.message.startswith(_ANSWERED):
                named = record.message.removeprefix(_ANSWERED)
                assert record.extra['reason'] == named
                assert record.level == logbook.INFO
                lines.append(dict(record.extra))

    with Recorder().applicationbound():
        yield lines


def change(server, *, version=7, **limits):
    """Apply a version with these limits at once."""
    settings = dataclasses.replace(
        server.routes.settings,
        version=version,
        limits=terms.CallerLimits(**limits),
    )
    test_servers.apply_at_once(server, settings)


def check(lines, server, status, reason):
    """Return the only log line, which must describe this response."""
    (line,) = lines
    assert (line['status'], line['reason']) == (status, reason)
    assert line['configuration_version'] == 7
    assert 0 <= line['configuration_seconds'] < 5
    assert (line['attempt'], line['request_host']) == ('a1', 'a.example')
    assert server.response_log.counts == {f'{status} {reason}': 1}
    return line


async def send_raw(base, text):
    """Send bytes and return the status of the response."""
    host, _, port = base.removeprefix('http://').rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(text.encode())
    status = int((await reader.readline()).split()[1])
    writer.close()
    return status


async def test_a_request_without_a_route_is_logged():
    """Guards against a logged 404 without its configuration version."""
    with record_lines() as lines:
        async with test_servers.run_server([]) as (server, base):
            change(server)
            path = f'/b/{"x" * 200}?secret=1'
            status, _, _ = await test_servers.call(base, path)
    assert status == 404
    line = check(lines, server, 404, 'no-route')
    assert (
        line['path'] == f'/b/{"x" * 200}'[: response_logs.MAX_PATH_CHARACTERS]
    )
    assert not line['is_sent']


async def test_a_refusal_by_a_host_without_routes_is_logged():
    """Guards against unlogged refusals of a host that has no routes yet."""
    with record_lines() as lines:
        async with test_servers.run_server([]) as (server, base):
            server.routes = None
            status, _, _ = await test_servers.call(base)
    assert status == 503
    (line,) = lines
    assert (line['status'], line['reason']) == (503, 'no-routes')
    assert line['configuration_version'] is None
    assert server.response_log.counts == {'503 no-routes': 1}


async def test_invalid_framing_is_logged():
    """Guards against logging a 400 for invalid framing with another reason."""
    text = f'{_HEAD}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n'
    with record_lines() as lines:
        async with test_servers.run_server([]) as (server, base):
            change(server)
            assert await send_raw(base, text) == 400
    line = check(lines, server, 400, 'bad-framing')
    assert (line['path'], line['fault']) == (
        '/a/x',
        "Transfer-Encoding: expected chunked, got 'gzip, chunked'",
    )


async def test_a_broken_body_is_logged(monkeypatch):
    """Guards against logging a 400 for a broken body with another reason.

    The compiled parser of aiohttp does not report a malformed chunk to the
    reader of the body, so the test raises the error itself.
    """

    async def fail(*_):
        raise web.RequestPayloadError

    monkeypatch.setattr(streams.StreamReader, 'read', fail)
    text = f'{_HEAD}Content-Length: 5\r\n\r\n'
    with record_lines() as lines:
        async with test_servers.run_server([]) as (server, base):
            change(server)
            assert await send_raw(base, text) == 400
    line = check(lines, server, 400, 'body-broken')
    assert (line['route'], line['fault']) == ('r1', 'malformed body')


@pytest.mark.parametrize('is_announced', [True, False])
async def test_a_body_that_is_too_large_is_logged(is_announced):
    """Guards against a logged 413 without the version of the limits."""

    async def send_unannounced():
        yield b'x' * 11

    body = b'x' * 11 if is_announced else send_unannounced()
    with record_lines() as lines:
        async with test_servers.run_server([]) as (server, base):
            change(server, body_bytes=10)
            status, _, _ = await test_servers.call(base, data=body)
    assert status == 413
    line = check(lines, server, 413, 'body-too-large')
    assert (line['route'], line['limits_version']) == ('r1', 7)


async def test_a_slow_body_is_logged():
    """Guards against an unlogged 408."""

    async def send_slowly():
        yield b'start'
        await asyncio.sleep(5)

    with record_lines() as lines:
        async with test_servers.run_server([], timeout=0.3) as (server, base):
            change(server)
            status, _, _ = await test_servers.call(base, data=send_slowly())
    assert status == 408
    line = check(lines, server, 408, 'body-slow')
    assert (line['route'], line['is_sent']) == ('r1', False)


@pytest.mark.parametrize(
    'answer, status, reason, is_sent',
    [
        (None, 503, 'no-upstream', False),
        (_NOT_RUN, 503, 'no-upstream', True),
        (raw_upstreams.reset, 502, 'answer-lost', True),
        (raw_upstreams.hang, 504, 'no-time', True),
        (raw_upstreams.reply(429), 502, 'upstream-promise', True),
    ],
)
async def test_a_request_that_no_upstream_answered_is_logged(
    answer,
    status,
    reason,
    is_sent,
):
    """Guards against log lines without the cause or the configuration."""
    scripts = [] if answer is None else [answer]
    with record_lines() as lines:
        async with contextlib.AsyncExitStack() as stack:
            upstreams = await stack.enter_async_context(
                test_servers.run_upstreams(*scripts)
            )
            server, base = await stack.enter_async_context(
                test_servers.run_server(upstreams, timeout=0.5)
            )
            change(server)
            answered, _, _ = await test_servers.call(base, data=b'order')
    assert answered == status
    line = check(lines, server, status, reason)
    assert (line['route'], line['is_sent']) == ('r1', is_sent)
    assert line['upstream'] == (None if answer is None else 'u0')


async def test_a_refusal_by_a_full_service_is_logged():
    """Guards against confusing a full service with one without upstreams."""
    scripts = (_NOT_RUN, _NOT_RUN, _NOT_RUN)
    with record_lines() as lines:
        async with test_servers.run_upstreams(*scripts) as upstreams:
            async with test_servers.run_server(upstreams) as (server, base):
                change(server)
                status, _, _ = await test_servers.call(base, data=b'order')
    assert status == 503
    assert check(lines, server, 503, 'no-room')['is_not_run']


@pytest.mark.parametrize('status', [302, 404, 400])
@pytest.mark.parametrize('signature', ['s1', ''])
async def test_a_refusal_of_an_upstream_is_logged(status, signature):
    """Guards against logging an upstream's refusal as one of the host.

    A refusal without a signature may come from another process.
    """
    answer = raw_upstreams.reply(status, signature=signature)
    with record_lines() as lines:
        async with test_servers.run_upstreams(answer) as upstreams:
            async with test_servers.run_server(upstreams) as (server, base):
                change(server)
                answered, _, body = await test_servers.call(
                    base,
                    data=b'order',
                    allow_redirects=False,
                )
    if signature:
        assert (answered, body) == (status, b'whole')
        line = check(lines, server, status, 'upstream')
        assert line['upstream_status'] == status
    else:
        assert (answered, body) == (502, b'')
        line = check(lines, server, 502, 'answer-lost')
    assert (line['upstream'], line['is_sent']) == ('u0', True)


async def test_a_success_is_not_logged():
    """Guards against a log line for each successful request."""
    with record_lines() as lines:
        async with test_servers.run_upstreams(
            raw_upstreams.reply()
        ) as upstreams:
            async with test_servers.run_server(upstreams) as (server, base):
                status, _, _ = await test_servers.call(base, data=b'order')
    assert (status, lines, server.response_log.counts) == (200, [], {})


async def test_a_failure_of_an_upstream_is_counted():
    """Guards against counts that omit forwarded server errors."""
    with record_lines() as lines:
        async with test_servers.run_upstreams(
            raw_upstreams.reply(500)
        ) as upstreams:
            async with test_servers.run_server(upstreams) as (server, base):
                await test_servers.call(base, data=b'order')
    assert not lines
    assert server.response_log.counts == {'500 upstream': 1}


async def test_the_log_line_describes_the_connection():
    """Guards against log lines that do not show the age of the connection."""
    with record_lines() as lines:
        async with test_servers.run_server([]) as (server, base):
            async with aiohttp.ClientSession() as session:
                for version in (7, 8):
                    change(server, version=version)
                    async with session.get(f'{base}/b/') as answer:
                        assert answer.status == 404
                    await asyncio.sleep(0.05)
    first, second = lines
    assert first['connection_requests'] == 0
    assert second['connection_requests'] == 1
    assert second['connection_seconds'] >= 0.05
    assert second['configuration_version'] == 8


def test_each_refusal_has_a_reason():
    """Guards against a refusal that has no reason to log."""
    for refusal in attempts.Refusal:
        assert response_logs.Reason(refusal.value).name == refusal.name


def test_counts_are_logged_only_when_they_changed():
    """Guards against repeated lines with equal counts, and lost counts."""
    log = response_logs.create_log()
    with logbook.TestHandler() as handler:
        log.write_counts()
        log.record(404, response_logs.Reason.NO_ROUTE, {})
        log.record(404, response_logs.Reason.NO_ROUTE, {})
        log.write_counts()
        log.write_counts()
        log.count(500, response_logs.Reason.UPSTREAM)
        log.write_counts()
    written = [
        record.extra['counts']
        for record in handler.records
        if record.message == 'answers counted'
    ]
    assert written == [
        {'404 no-route': 2},
        {'404 no-route': 2, '500 upstream': 1},
    ]


async def test_counts_are_logged_periodically(monkeypatch):
    """Guards against counts that are logged only when a host stops."""
    monkeypatch.setattr(response_logs, 'COUNT_SECONDS', 0.01)
    log = response_logs.create_log()
    log.count(404, response_logs.Reason.NO_ROUTE)
    with logbook.TestHandler() as handler:
        running = asyncio.create_task(log.run())
        await asyncio.sleep(0.1)
        running.cancel()
    events = [record.message for record in handler.records]
    assert events == ['answers counted']
