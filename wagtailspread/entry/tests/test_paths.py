"""Requests through entry hosts to fake upstreams, over loopback."""

import aiohttp

from wagtailspread.core import outcomes
from wagtailspread.entry.tests import fleets
from wagtailspread.testing import load_generators


async def test_request_is_answered_by_upstream_and_lease_is_returned():
    """Guards against a lease that is never returned."""
    async with fleets.start_fleet() as (hosts, _):
        url = f'http://{hosts[0].address}/vitrina/a'
        async with aiohttp.request('GET', url) as answer:
            assert answer.status == 200
            assert answer.headers[outcomes.OUTCOME_HEADER] == 'upstream'
        assert not hosts[0].coordinator.leases


async def test_every_answer_through_any_host_belongs_to_its_request():
    """Guards against answers that are sent to the wrong caller."""
    async with fleets.start_fleet(2, 3) as (hosts, upstreams):
        generator = load_generators.create_generator(
            [host.address for host in hosts],
            [load_generators.Stream('reads', '/vitrina/a', 200.0)],
        )
        await generator.run(1.0)
        report = generator.reports['reads']
        assert report.counts['upstream'] == report.started
        assert max(upstream.peak_running for upstream in upstreams) <= 6
