"""Heads that are late and connections that are idle, on loopback sockets."""

import asyncio
import dataclasses
import socket

from wagtailspread.entry import heads
from wagtailspread.entry.tests import connections

LIMITS = heads.RequestLimits(seconds=0.3, keepalive_seconds=0.9)
PATIENT = dataclasses.replace(LIMITS, keepalive_seconds=60.0)
HEAD = connections.create_head()


async def read_rest(reader, seconds=2.0):
    """Return what comes until the connection ends."""
    async with asyncio.timeout(seconds):
        return await reader.read()


async def test_a_late_head_has_not_run_and_may_come_again():
    """Guards against blaming a caller for a slow link."""
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


async def test_a_head_has_its_time_from_its_first_byte():
    """Guards against a caller that pays for the idle time before a head."""
    async with connections.run_site(PATIENT) as (_, address):
        async with connections.connect(address) as (reader, writer):
            for _ in range(2):
                await asyncio.sleep(0.45)
                writer.write(HEAD[:-2])
                await asyncio.sleep(0.2)
                answer = await connections.exchange((reader, writer), b'\r\n')
                assert answer.status == 200


async def test_an_idle_connection_is_closed_without_an_answer():
    """Guards against an answer that a caller takes for its next request."""
    async with connections.run_site(LIMITS) as (_, address):
        async with connections.connect(address) as (reader, _):
            assert await read_rest(reader) == b''
        async with connections.connect(address) as connection:
            await connections.exchange(connection, HEAD)
            assert await read_rest(connection[0]) == b''


async def test_line_ends_between_requests_are_no_late_head():
    """Guards against 408 for callers that end a request with a line end."""
    async with connections.run_site(PATIENT) as (_, address):
        async with connections.connect(address) as connection:
            await connections.exchange(connection, HEAD + b'\r\n')
            await asyncio.sleep(0.8)
            answer = await connections.exchange(connection, HEAD)
    assert answer.status == 200


async def test_a_longer_idle_time_holds_on_an_open_connection():
    """Guards against closing a connection that its caller may still use."""
    async with connections.run_site(LIMITS) as (site, address):
        async with connections.connect(address) as connection:
            await connections.exchange(connection, HEAD)
            site.change_limits(PATIENT)
            await asyncio.sleep(1.5)
            answer = await connections.exchange(connection, HEAD)
    assert answer.status == 200


async def test_the_idle_time_does_not_end_a_head_that_has_begun():
    """Guards against a connection closed while its caller sends a head."""
    async with connections.run_site(LIMITS) as (_, address):
        async with connections.connect(address) as (reader, writer):
            await connections.exchange((reader, writer), HEAD)
            await asyncio.sleep(0.8)
            writer.write(HEAD[:-2])
            await asyncio.sleep(0.2)
            answer = await connections.exchange((reader, writer), b'\r\n')
    assert answer.status == 200


async def test_a_request_that_crosses_the_idle_close_is_answered():
    """Guards against closing a connection with a request in its buffer."""
    loop = asyncio.get_running_loop()
    async with connections.run_site(PATIENT) as (site, address):
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
