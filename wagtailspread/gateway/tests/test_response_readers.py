"""Tests of reading one response."""

import asyncio

from wagtailspread.gateway import buffers, response_readers
from wagtailspread.gateway.tests import raw_upstreams
from wagtailspread.gateway.tests import test_endless_answers as endless


async def test_bytes_after_the_end_of_an_exchange_are_not_counted():
    """Guards against a budget that is charged for bytes after the end."""
    limits = buffers.create_limits()
    budgets = response_readers.create_budgets(limits)
    reader = response_readers.ResponseReader(limits, budgets, 0.0)
    assert reader.count_head(b'HTTP')
    assert budgets.total.used_bytes == 4
    reader.close()
    assert not reader.count_head(b'/1.1')
    assert not reader.count_body(4)
    reader.update_head_timer(b'/1.1')
    assert reader.timer is None
    assert budgets.total.used_bytes == 0


async def test_a_declared_length_that_the_link_cannot_carry_is_cut_at_once():
    """Guards against a body that occupies a slow link until the deadline."""
    limits = buffers.create_limits(200_000_000, 250_000)
    start = f'{endless.OWN}Content-Length: 12000000\r\n\r\n'.encode()
    upstream = endless.Endless(bytes(4096), start, seconds=0.01)
    async with upstream, endless.run_exchanger(limits) as exchanger:
        async with asyncio.timeout(1):
            outcome = await endless.exchange(exchanger, upstream, seconds=3.0)
            await upstream.closed.wait()
    assert outcome.reason == 'declared length cannot arrive in time'
    assert outcome.is_expired


async def test_a_declared_length_that_the_link_can_carry_is_read():
    """Guards against cutting a response that may arrive in time."""
    limits = buffers.create_limits(200_000_000, 250_000)
    upstream = raw_upstreams.RawUpstream(raw_upstreams.reply(body=b'x' * 10**6))
    async with upstream, endless.run_exchanger(limits) as exchanger:
        outcome = await endless.exchange(exchanger, upstream, seconds=3.0)
    assert outcome.body == b'x' * 10**6
