"""Tests that a non-idempotent request is executed at most once per key."""

import asyncio

import pytest

from wagtailspread.entry.tests import fleets, test_exchanges


async def order(host, key='k1', **headers):
    return await test_exchanges.fetch(
        host,
        '/contratos/1',
        'POST',
        b'licence',
        Idempotency_Key=key,
        Wagtailspread_Caller='diario',
        **headers,
    )


def find_state(host, key='k1'):
    return host.keys.claims[fleets.SERVICE, 'diario', key].state


async def test_resend_gets_the_first_answer_byte_for_byte():
    """Guards against a second execution and a changed answer."""
    async with fleets.start_fleet() as (hosts, upstreams):
        first, first_body = await order(hosts[0])
        second, second_body = await order(hosts[0])
        assert first_body == second_body
        assert first.raw_headers == second.raw_headers
        assert upstreams[0].runs['diario/k1'] == 1


async def test_resend_while_running_is_in_progress():
    """Guards against two concurrent executions."""
    async with fleets.start_fleet() as (hosts, upstreams):
        upstreams[0].mode.service_seconds = 0.3
        running = asyncio.create_task(order(hosts[0]))
        await asyncio.sleep(0.1)
        answer, _ = await order(hosts[0])
        assert (answer.status, test_exchanges.get_outcome(answer)) == (
            409,
            'in-progress',
        )
        await running
        assert upstreams[0].runs['diario/k1'] == 1


@pytest.mark.parametrize(
    'mode',
    ['reset_ratio', 'truncate_ratio', 'hang_ratio'],
)
async def test_possibly_run_order_is_unknown_and_never_sent_again(mode):
    """Guards against an order that is invoiced twice."""
    async with fleets.start_fleet(upstream_count=2) as (hosts, upstreams):
        for upstream in upstreams:
            setattr(upstream.mode, mode, 1.0)
        answer, _ = await order(hosts[0], Wagtailspread_Deadline_Ms='400')
        assert test_exchanges.get_outcome(answer) == 'unknown'
        assert find_state(hosts[0]) == 'unknown'
        for upstream in upstreams:
            setattr(upstream.mode, mode, 0.0)
        resend, _ = await order(hosts[0])
        assert test_exchanges.get_outcome(resend) == 'unknown'
        assert sum(upstream.runs['diario/k1'] for upstream in upstreams) == 1


async def test_order_that_sent_nothing_is_released_and_may_run_later():
    """Guards against keys that block an order that was not executed."""
    async with fleets.start_fleet() as (hosts, upstreams):
        upstreams[0].mode.shed_ratio = 1.0
        answer, _ = await order(hosts[0])
        assert test_exchanges.get_outcome(answer) == 'not-run'
        assert find_state(hosts[0]) == 'released'
        upstreams[0].mode.shed_ratio = 0.0
        answer, _ = await order(hosts[0])
        assert answer.status == 200


async def test_unreachable_store_refuses_the_order_as_not_run():
    """Guards against an execution without a claim."""
    async with fleets.start_fleet() as (hosts, upstreams):
        hosts[0].keys.is_reachable = False
        answer, _ = await order(hosts[0])
        assert answer.headers['Wagtailspread-Reason'] == 'key-store-unreachable'
        assert test_exchanges.get_outcome(answer) == 'not-run'
        assert not upstreams[0].counts['requests']


async def test_key_of_another_request_is_a_conflict():
    """Guards against an answer that belongs to another request."""
    async with fleets.start_fleet() as (hosts, _):
        await order(hosts[0])
        answer, _ = await test_exchanges.fetch(
            hosts[0],
            '/contratos/2',
            'POST',
            b'other',
            Idempotency_Key='k1',
            Wagtailspread_Caller='diario',
        )
        assert answer.status == 409
        assert test_exchanges.get_outcome(answer) == 'not-run'


async def test_order_continues_when_its_caller_disconnects():
    """Guards against an unknown outcome where an answer could be stored."""
    async with fleets.start_fleet() as (hosts, upstreams):
        upstreams[0].mode.service_seconds = 0.2
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(order(hosts[0]), 0.1)
        await asyncio.sleep(0.3)
        answer, _ = await order(hosts[0])
        assert (answer.status, upstreams[0].runs['diario/k1']) == (200, 1)
