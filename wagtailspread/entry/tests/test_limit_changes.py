"""Tests of limits that change while connections are open."""

import asyncio
import contextlib
import dataclasses

from wagtailspread.entry import heads
from wagtailspread.entry.tests import connections

SMALL_LIMITS = heads.RequestLimits(seconds=5.0, head_bytes=1000)
LARGE_LIMITS = dataclasses.replace(SMALL_LIMITS, head_bytes=16384)
SMALL_HEAD = connections.create_head()
LARGE_HEAD = connections.create_head('A: {0}'.format('a' * 4000))


async def test_larger_limits_apply_to_used_connection():
    """Guards against 431 because of limits replaced since its opening."""
    async with connections.run_site(SMALL_LIMITS) as (site, address):
        async with connections.connect(address) as connection:
            await connections.exchange(connection, SMALL_HEAD)
            site.change_limits(LARGE_LIMITS)
            answer = await connections.exchange(connection, LARGE_HEAD)
    assert answer.status == 200


async def test_larger_limits_apply_to_connection_without_request():
    """Guards against 431 on a connection opened before the change."""
    async with connections.run_site(SMALL_LIMITS) as (site, address):
        async with connections.connect(address) as connection:
            await asyncio.sleep(0.05)
            site.change_limits(LARGE_LIMITS)
            answer = await connections.exchange(connection, LARGE_HEAD)
    assert answer.status == 200


async def test_replaced_limits_are_accepted_during_grace_period():
    """Guards against 431 for a head that was allowed until recently."""
    async with connections.run_site(LARGE_LIMITS) as (site, address):
        async with connections.connect(address) as connection:
            await connections.exchange(connection, SMALL_HEAD)
            for size in (1000, 900, 2000, 800):
                limits = dataclasses.replace(SMALL_LIMITS, head_bytes=size)
                site.change_limits(limits)
            answers = [await connections.exchange(connection, LARGE_HEAD)]
        async with connections.connect(address) as opened:
            answers.append(await connections.exchange(opened, LARGE_HEAD))
    assert [answer.status for answer in answers] == [200, 200]


async def test_smaller_limits_apply_to_open_connection_after_grace_period(
    monkeypatch,
):
    """Guards against connections to which replaced limits still apply."""
    monkeypatch.setattr(heads, 'GRACE_SECONDS', 0.1)
    async with connections.run_site(LARGE_LIMITS) as (site, address):
        async with connections.connect(address) as connection:
            await connections.exchange(connection, LARGE_HEAD)
            site.change_limits(SMALL_LIMITS)
            await asyncio.sleep(0.15)
            answer = await connections.exchange(connection, LARGE_HEAD)
    assert answer.status == 431


async def test_head_beyond_limit_is_refused_before_its_end():
    """Guards against memory used by heads beyond the limit."""
    async with connections.run_site(LARGE_LIMITS) as (_, address):
        async with connections.connect(address) as connection:
            endless = SMALL_HEAD[:-2] + b'A: ' + b'a' * LARGE_LIMITS.head_bytes
            answer = await connections.exchange(connection, endless)
    assert answer.status == 431


async def test_incomplete_heads_are_bounded_over_all_connections():
    """Guards against many connections that fill the memory with heads.

    The heads that are incomplete for the longest time are given up.
    """
    part = LARGE_HEAD[:-2]
    async with connections.run_site(LARGE_LIMITS) as (site, address):
        site.budget.total_bytes = 4 * len(part) + 1000
        async with contextlib.AsyncExitStack() as stack:
            opened = [
                await stack.enter_async_context(connections.connect(address))
                for _ in range(5)
            ]
            for _, writer in opened[:4]:
                writer.write(part)
                await asyncio.sleep(0.02)
            opened[4][1].write(part)
            refused = await connections.read_answer(opened[0][0])
            assert site.budget.dropped == 1
            site.budget.total_bytes = 100_000
            served = [
                await connections.exchange(connection, b'\r\n')
                for connection in opened[1:]
            ]
            async with connections.connect(address) as connection:
                later = await connections.exchange(connection, LARGE_HEAD)
        assert (refused.status, refused.headers['retry-after']) == (503, '1')
        assert refused.headers['wagtailspread-outcome'] == 'not-run'
        assert {answer.status for answer in served} == {200}
        assert later.status == 200
        await wait_for_release(site)


async def wait_for_release(site):
    """Wait until closed connections hold nothing."""
    async with asyncio.timeout(5):
        while site.budget.used_bytes:
            await asyncio.sleep(0.01)
