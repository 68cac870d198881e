"""Late heads and idle connections, over loopback."""

import asyncio
import dataclasses
import socket

from wagtailspread.entry import heads
from wagtailspread.entry.tests import connections

LIMITS = heads.RequestLimits(seconds=0.3, keepalive_seconds=0.9)
LONG_KEEPALIVE = dataclasses.replace(LIMITS, keepalive_seconds=60.0)
HEAD = connections.create_head()


async def read_rest(reader, seconds=2.0):
    """Read until the connection ends, within a timeout in seconds."""
    async with asyncio.timeout(seconds):
        return await reader.read()


async def test_late_head_is_refused_as_not_run_with_retry_after():
    """Guards against a final refusal for callers on slow links."""
    async with connections.run_site(LIMITS) as (_, address):
        async with connections.connect(address) as connection:
            answer = await connections.exchange(connection, HEAD[:-2])
            rest = await read_rest(connection[0])
    assert answer.status == 408
    assert answer.headers['connection'] == 'close'
    assert answer.headers['wagtailspread-outcome'] == 'not-run'
    assert answer.headers['wagtailspread-reason'] == 'request-timeout'
    assert float(answer.headers['retry-after']) > 0
    assert not rest


async def test_head_timeout_starts_at_first_byte():
    """Guards against counting idle time towards the head timeout."""
    async with connections.run_site(LONG_KEEPALIVE) as (_, address):
        async with connections.connect(address) as (reader, writer):
            for _ in range(2):
                await asyncio.sleep(0.45)
                writer.write(HEAD[:-2])
                await asyncio.sleep(0.2)
                answer = await connections.exchange((reader, writer), b'\r\n')
                assert answer.status == 200


async def test_idle_connection_is_closed_without_answer():
    """Guards against an answer that a caller matches to its next request."""
    async with connections.run_site(LIMITS) as (_, address):
        async with connections.connect(address) as (reader, _):
            assert await read_rest(reader) == b''
        async with connections.connect(address) as connection:
            await connections.exchange(connection, HEAD)
            assert await read_rest(connection[0]) == b''


async def test_line_ends_between_requests_do_not_start_head():
    """Guards against 408 for callers that send a line end after a request."""
    async with connections.run_site(LONG_KEEPALIVE) as (_, address):
        async with connections.connect(address) as connection:
            await connections.exchange(connection, HEAD + b'\r\n')
            await asyncio.sleep(0.8)
            answer = await connections.exchange(connection, HEAD)
    assert answer.status == 200


async def test_longer_idle_limit_applies_to_open_connection():
    """Guards against closing a connection within the new idle limit."""
    async with connections.run_site(LIMITS) as (site, address):
        async with connections.connect(address) as connection:
            await connections.exchange(connection, HEAD)
            site.change_limits(LONG_KEEPALIVE)
            await asyncio.sleep(1.5)
            answer = await connections.exchange(connection, HEAD)
    assert answer.status == 200


async def test_idle_limit_does_not_apply_to_incomplete_head():
    """Guards against closing a connection while its caller sends a head."""
    async with connections.run_site(LIMITS) as (_, address):
        async with connections.connect(address) as (reader, writer):
            await connections.exchange((reader, writer), HEAD)
            await asyncio.sleep(0.8)
            writer.write(HEAD[:-2])
            await asyncio.sleep(0.2)
            answer = await connections.exchange((reader, writer), b'\r\n')
    assert answer.status == 200


async def test_request_that_arrives_at_idle_close_is_answered():
    """Guards against closing a connection whose socket has a request."""
    loop = asyncio.get_running_loop()
    async with connections.run_site(LONG_KEEPALIVE) as (site, address):
        ip, _, port = address.rpartition(':')
        with socket.create_connection((ip, int(port))) as connected:
            await asyncio.sleep(0.1)
            (protocol,) = site._server.connections
            protocol.enforce_timeouts(loop.time())
            connected.sendall(HEAD)
            protocol.enforce_timeouts(loop.time() + 100)
            connected.setblocking(False)
            answer = await asyncio.wait_for(loop.sock_recv(connected, 999), 2)
    assert answer.startswith(b'HTTP/1.1 200 ')
