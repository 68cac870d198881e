"""Requests that are open when a host stops get an answer."""

import asyncio
import dataclasses
import json

import pytest

from wagtailspread.gateway import stops
from wagtailspread.gateway.tests import (
    raw_upstreams,
    test_exchanges,
    test_hosts,
)
from wagtailspread.routing import terms


def read_document(kind, service='columns'):
    """Return a reader of one route for requests of a kind."""
    part = terms.SplitPart(service, 1.0)
    route = terms.Route('r1', 'a.example', '/', kind, (part,), 2)
    return lambda _body: terms.RoutingSettings(1, (route,), {service: 9})


async def send(address, head, body=b''):
    """Send a request; return all that is received and how it ended."""
    return await exchange(address, head.replace(b'\n', b'\r\n') + body)


async def exchange(address, sent):
    """Send bytes; return all that is received and how it ended."""
    reader, writer = await connect(address)
    writer.write(sent)
    try:
        return await reader.read()
    except ConnectionError as error:
        return repr(error).encode()
    finally:
        writer.close()


async def start_host(monkeypatch, kind):
    """Return a started host with a route, and its address."""
    monkeypatch.setattr(stops, 'ACCEPT_SECONDS', 0.1)
    host = test_hosts.create_host()
    host._read_document = read_document(kind)
    await host.start()
    host._apply_document(1, json.dumps({}).encode())
    return host, host.server.site.address


@pytest.mark.parametrize(
    ('kind', 'status'),
    [(terms.RequestKind.UNSAFE, b'502'), (terms.RequestKind.SAFE, b'502')],
)
async def test_a_request_at_work_is_answered_before_the_end(
    monkeypatch, kind, status
):
    """Guards against a stop that closes a connection without an answer."""
    host, address = await start_host(monkeypatch, kind)
    async with raw_upstreams.RawUpstream(raw_upstreams.hang) as upstream:
        record = test_exchanges.create_record(upstream.address)
        host.selector.registry.merge(record, 0.0)
        head = b'GET /a HTTP/1.1\nHost: a.example\nAttempt-Id: a1\n\n'
        sending = asyncio.create_task(send(address, head))
        await asyncio.sleep(0.3)
        assert upstream.requests
        await host.stop()
        assert (await sending).startswith(b'HTTP/1.1 ' + status)


async def test_a_request_whose_body_is_not_read_is_refused(monkeypatch):
    """Guards against a closed connection for a body on a slow link."""
    host, address = await start_host(monkeypatch, terms.RequestKind.UPLOAD)
    head = (
        b'POST /a HTTP/1.1\nHost: a.example\nAttempt-Id: a1\n'
        b'Content-Length: 100\n\n'
    )
    sending = asyncio.create_task(send(address, head, b'part'))
    await asyncio.sleep(0.2)
    await host.stop()
    answer = await sending
    assert answer.startswith(b'HTTP/1.1 503')
    assert b'Retry-After' in answer


async def connect(address):
    """Return the streams of a new connection."""
    ip, _, port = address.rpartition(':')
    return await asyncio.open_connection(ip, int(port))


def create_head(path='/a', limit_ms=10_000):
    """Return the head of a request without a body."""
    lines = (
        f'POST {path} HTTP/1.1',
        'Host: a.example',
        'Attempt-Id: a1',
        f'Deadline-Ms: {limit_ms}',
        'Content-Length: 0',
    )
    return '\r\n'.join((*lines, '', '')).encode()


@pytest.mark.parametrize(
    ('limit_ms', 'status', 'sends'),
    [(10_000, b'503', 0), (500, b'200', 1)],
)
async def test_a_late_request_is_sent_only_if_it_ends_in_time(
    monkeypatch, limit_ms, status, sends
):
    """Guards against review/2: a late request was passed on and then cut."""
    host, address = await start_host(monkeypatch, terms.RequestKind.UNSAFE)
    async with raw_upstreams.RawUpstream(raw_upstreams.reply()) as upstream:
        record = test_exchanges.create_record(upstream.address)
        host.selector.registry.merge(record, 0.0)
        reader, writer = await connect(address)
        head = create_head(limit_ms=limit_ms)
        writer.write(head[:20])
        stopping = asyncio.create_task(host.stop())
        await asyncio.sleep(0.4)
        writer.write(head[20:])
        answer = await asyncio.wait_for(reader.read(), 1.0)
        writer.close()
        await stopping
    assert answer.startswith(b'HTTP/1.1 ' + status)
    assert b'Connection: close' in answer
    assert len(upstream.requests) == sends


async def test_a_refusal_of_a_stop_does_not_wait_for_the_body(monkeypatch):
    """Guards against a caller that is kept waiting for a known refusal."""
    host, address = await start_host(monkeypatch, terms.RequestKind.UPLOAD)
    reader, writer = await connect(address)
    head = create_head().replace(b'Length: 0', b'Length: 100')
    writer.write(head[:20])
    stopping = asyncio.create_task(host.stop())
    await asyncio.sleep(0.4)
    writer.write(head[20:])
    answer = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 0.5)
    writer.close()
    await stopping
    assert answer.startswith(b'HTTP/1.1 503')
    assert b'Retry-After: 0.00' in answer


async def test_a_request_that_waits_for_an_upstream_is_not_sent_late(
    monkeypatch,
):
    """Guards against a request that is placed at the end of a stop."""
    host, address = await start_host(monkeypatch, terms.RequestKind.UNSAFE)
    place = host._placer.place

    async def place_late(placement_request):
        await asyncio.sleep(0.5)
        return await place(placement_request)

    monkeypatch.setattr(host._placer, 'place', place_late)
    async with raw_upstreams.RawUpstream(raw_upstreams.hang) as upstream:
        record = test_exchanges.create_record(upstream.address)
        host.selector.registry.merge(record, 0.0)
        sending = asyncio.create_task(exchange(address, create_head()))
        await asyncio.sleep(0.1)
        await host.stop()
        answer = await sending
    assert answer.startswith(b'HTTP/1.1 503')
    assert not upstream.requests
    assert not host.selector._open


async def test_a_kept_connection_is_closed_beside_open_requests(monkeypatch):
    """Guards against requests that come late over kept connections."""
    host, address = await start_host(monkeypatch, terms.RequestKind.UNSAFE)
    async with raw_upstreams.RawUpstream(
        raw_upstreams.reply(), raw_upstreams.hang
    ) as upstream:
        record = test_exchanges.create_record(upstream.address)
        host.selector.registry.merge(record, 0.0)
        reader, writer = await connect(address)
        writer.write(create_head())
        assert await reader.readuntil(b'whole')
        sending = asyncio.create_task(exchange(address, create_head()))
        await asyncio.sleep(0.3)
        stopping = asyncio.create_task(host.stop())
        assert not await asyncio.wait_for(reader.read(), 0.5)
        assert not sending.done()
        writer.close()
        await stopping
        assert (await sending).startswith(b'HTTP/1.1 502')


@pytest.mark.parametrize('seconds', [0.5, 2.0, 6.0, 10.0])
def test_a_stop_fits_into_its_time(seconds):
    """Guards against a short stop that accepts until it is killed."""
    schedule = stops.create_schedule(0.0, seconds)
    assert 0 < schedule.accept_until <= seconds / 2
    assert schedule.answer_at >= seconds * 5 / 6
    assert schedule.answer_at < schedule.close_at < seconds


@pytest.mark.parametrize('arrives', [True, False])
async def test_a_request_by_an_obsolete_route_is_not_sent(monkeypatch, arrives):
    """Guards against a service that a newer version took off its route."""
    host, address = await start_host(monkeypatch, terms.RequestKind.UNSAFE)
    async with (
        raw_upstreams.RawUpstream(raw_upstreams.reply()) as old,
        raw_upstreams.RawUpstream(raw_upstreams.reply()) as new,
    ):
        record = test_exchanges.create_record(old.address)
        host.selector.registry.merge(record, 0.0)
        other = dataclasses.replace(
            record, upstream='u2', service='letters', address=new.address
        )
        host.selector.registry.merge(other, 0.0)
        head = (
            b'POST /a HTTP/1.1\nHost: a.example\nAttempt-Id: a1\n'
            b'Content-Length: 0\nConnection: close\n\n'
        )
        assert (await send(address, head)).startswith(b'HTTP/1.1 200')
        # A replica reports a newer version after seconds without an answer.
        host.follower.lag.record_answer(9, 0.0)
        sending = asyncio.create_task(send(address, head))
        await asyncio.sleep(0.2)
        if arrives:
            host._read_document = read_document(
                terms.RequestKind.UNSAFE, 'letters'
            )
            host._apply_document(9, b'{}')
        status = b'200' if arrives else b'503'
        assert (await sending).startswith(b'HTTP/1.1 ' + status)
        assert len(old.requests) == 1
        assert len(new.requests) == int(arrives)
    await host.stop()
