"""Tests of failures in a complete fleet of real processes."""

import shutil
import signal

import aiohttp
import pytest_asyncio

from wagtailspread.core import outcomes
from wagtailspread.testing import demonstration, fleets

COLUMNS = '/columns/1'


@pytest_asyncio.fixture
async def running(tmp_path):
    timeout = aiohttp.ClientTimeout(total=10)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        with fleets.Fleet(tmp_path) as fleet:
            callers = demonstration.Demonstration(fleet, session)
            started, description = await callers.start_fleet()
            assert started, description
            yield callers


async def test_hosts_serve_requests_without_any_replica(running):
    """Guards against an outage of callers while no replica is reachable.

    An order must then be refused as not run, and a host that restarts without
    a saved configuration must fetch it from a peer.
    """
    fleet = running.fleet
    for replica in fleet.replicas:
        replica.send_signal(signal.SIGKILL)
        replica.wait()
    for entry in fleet.entries:
        assert demonstration.is_answered(await running.send(entry, COLUMNS))
    order = await running.send_order(fleet.entries[0], 'order-9')
    assert order.outcome == outcomes.Outcome.NOT_RUN.value
    assert await running.count_runs('order-9') == 0
    restarted = fleet.entries[1]
    restarted.send_signal(signal.SIGKILL)
    restarted.wait()
    shutil.rmtree(fleet.folder / 'entry-1')
    fleet.entries[1] = fleet.start_entry(1)

    async def is_serving_again():
        reply = await running.send(fleet.entries[1], COLUMNS)
        return demonstration.is_answered(reply)

    assert await fleets.wait_until(is_serving_again) is not None


async def test_killed_entry_host_leaves_its_order_unknown_and_unrepeated(
    running,
):
    """Guards against an order that runs twice after its host was killed."""
    fleet = running.fleet
    for upstream in fleet.upstreams:
        await running.set_mode(upstream, {'service_seconds': 2.0})
    sending = running.start_order(fleet.entries[0], 'order-7')

    async def is_running():
        return await running.count_runs('order-7') == 1

    assert await fleets.wait_until(is_running) is not None
    fleet.entries[0].send_signal(signal.SIGKILL)
    interrupted = await sending
    assert interrupted.status == 0
    for entry in fleet.entries[1:]:
        repeated = await running.send_order(entry, 'order-7')
        assert repeated.outcome in {
            outcomes.Outcome.IN_PROGRESS.value,
            outcomes.Outcome.UNKNOWN.value,
        }
    assert await running.count_runs('order-7') == 1
