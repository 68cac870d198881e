"""Requests that are open when a host stops get an answer."""

import asyncio
import dataclasses
import json

import pytest

from wagtailspread.gateway import hosts
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
    ip, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(head.replace(b'\n', b'\r\n') + body)
    try:
        return await reader.read()
    except ConnectionError as error:
        return repr(error).encode()
    finally:
        writer.close()


async def start_host(monkeypatch, kind):
    """Return a started host with a route, and its address."""
    monkeypatch.setattr(hosts, 'ACCEPT_SECONDS', 0.1)
    host = test_hosts.create_host()
    host._read_document = read_document(kind)
    await host.start()
    host._apply_document(1, json.dumps({}).encode())
    ip, port = host.server.site._runner.addresses[0]
    return host, f'{ip}:{port}'


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
