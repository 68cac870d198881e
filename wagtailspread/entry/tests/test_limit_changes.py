"""Tests of limits that change while connections are open."""

import asyncio
import contextlib
import dataclasses

from wagtailspread.entry import heads
from wagtailspread.entry.tests import connections

NARROW = heads.RequestLimits(seconds=5.0, head_bytes=1000)
WIDE = dataclasses.replace(NARROW, head_bytes=16384)
SMALL_HEAD = connections.create_head()
LARGE_HEAD = connections.create_head('A: {0}'.format('a' * 4000))


async def test_larger_limits_hold_on_a_kept_connection():
    """Guards against 431 by limits that applied when it was opened."""
    async with connections.run_site(NARROW) as (site, address):
        async with connections.connect(address) as connection:
            await connections.exchange(connection, SMALL_HEAD)
            site.change_limits(WIDE)
            answer = await connections.exchange(connection, LARGE_HEAD)
    assert answer.status == 200


async def test_larger_limits_hold_on_a_connection_without_a_request():
    """Guards against 431 on a connection opened before the change."""
    async with connections.run_site(NARROW) as (site, address):
        async with connections.connect(address) as connection:
            await asyncio.sleep(0.05)
            site.change_limits(WIDE)
            answer = await connections.exchange(connection, LARGE_HEAD)
    assert answer.status == 200


async def test_smaller_limits_refuse_no_caller_that_cannot_know_them_yet():
    """Guards against 431 for a head that was allowed until recently."""
    async with connections.run_site(WIDE) as (site, address):
        async with connections.connect(address) as kept:
            await connections.exchange(kept, SMALL_HEAD)
            for size in (1000, 900, 2000, 800):
                limits = dataclasses.replace(NARROW, head_bytes=size)
                site.change_limits(limits)
            answers = [await connections.exchange(kept, LARGE_HEAD)]
        async with connections.connect(address) as opened:
            answers.append(await connections.exchange(opened, LARGE_HEAD))
    assert [answer.status for answer in answers] == [200, 200]


async def test_smaller_limits_hold_on_a_kept_connection_later(monkeypatch):
    """Guards against connections that keep replaced limits."""
    monkeypatch.setattr(heads, 'GRACE_SECONDS', 0.1)
    async with connections.run_site(WIDE) as (site, address):
        async with connections.connect(address) as connection:
            await connections.exchange(connection, LARGE_HEAD)
            site.change_limits(NARROW)
            await asyncio.sleep(0.15)
            answer = await connections.exchange(connection, LARGE_HEAD)
    assert answer.status == 431


async def test_a_head_beyond_the_limit_is_refused_before_its_end():
    """Guards against memory used by heads beyond the limit."""
    async with connections.run_site(WIDE) as (_, address):
        async with connections.connect(address) as connection:
            endless = SMALL_HEAD[:-2] + b'A: ' + b'a' * WIDE.head_bytes
            answer = await connections.exchange(connection, endless)
    assert answer.status == 431


async def test_incomplete_heads_are_bounded_over_all_connections(monkeypatch):
    """Guards against many connections that fill the memory with heads."""
    monkeypatch.setattr(heads, 'MAX_PENDING_BYTES', 20000)
    part = LARGE_HEAD[:-2]
    async with connections.run_site(WIDE) as (_, address):
        async with contextlib.AsyncExitStack() as stack:
            opened = [
                await stack.enter_async_context(connections.connect(address))
                for _ in range(5)
            ]
            for _, writer in opened[:4]:
                writer.write(part)
                await asyncio.sleep(0.02)
            refused = await connections.exchange(opened[4], part)
            served = [
                await connections.exchange(connection, b'\r\n')
                for connection in opened[:4]
            ]
            async with connections.connect(address) as connection:
                later = await connections.exchange(connection, LARGE_HEAD)
    assert (refused.status, refused.headers['retry-after']) == (503, '1')
    assert {answer.status for answer in served} == {200}
    assert later.status == 200
