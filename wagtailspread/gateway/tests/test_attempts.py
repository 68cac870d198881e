"""Tests of the attempts to send one request."""

import asyncio
import itertools

from wagtailspread.gateway import attempts, exchanges, placements
from wagtailspread.placement.tests import regions
from wagtailspread.routing import terms


class LocalPlacer:
    """Asks an allocator of the same process."""

    def __init__(self, region):
        """Create a placer without placed requests."""
        self.region = region
        self._numbers = itertools.count()

    def create_id(self):
        """Return a new id of a placement request."""
        return f'p{next(self._numbers)}'

    async def place(self, request):
        """Return the decision of the allocator."""
        answer = self.region.allocator.submit(request, self.region.now)
        return placements.Placement(answer, '10.0.0.1:1')

    def settle(self, *_args, **_names):
        """Ignore the result."""


class FailingExchanger:
    """Ends all attempts with the same outcome."""

    def __init__(self, outcome):
        """Create an exchanger without exchanges."""
        self.outcome = outcome
        self.sends = 0

    async def send(self, *_args):
        """Count an exchange."""
        self.sends += 1
        return self.outcome


def create_routed_request():
    """Return a request that may be sent to three upstreams."""
    route = terms.Route(
        name='r1',
        host='a.example',
        prefix='/',
        kind=terms.RequestKind.SAFE,
        parts=(terms.SplitPart('columns', 1),),
        max_attempts=3,
    )
    deadline = asyncio.get_running_loop().time() + 5
    outgoing = exchanges.OutgoingRequest('GET', '/', {}, None, 'a1', deadline)
    return attempts.RoutedRequest(route, 'columns', outgoing, 0)


async def test_a_request_without_a_connection_counts_once_for_the_budget():
    """Guards against a retry budget that grows with failed connections."""
    region = regions.Region(upstreams=4)
    region.now = asyncio.get_running_loop().time()
    exchanger = FailingExchanger(exchanges.NoConnection())
    runner = attempts.AttemptRunner(
        'h1', 'north', LocalPlacer(region), exchanger
    )
    result = await runner.run(create_routed_request())
    assert result.refusal is attempts.Refusal.NO_UPSTREAM
    assert exchanger.sends == 4
    assert len(region.allocator.budget._requests['columns']) == 1


async def test_a_request_that_changes_its_route_counts_once_for_its_service():
    """Guards against a retry budget that grows with each configuration.

    Load pattern: a newer version is in force when a request is placed, and its
    new route leads to the same service.
    """
    region = regions.Region(upstreams=4)
    region.now = asyncio.get_running_loop().time()
    is_obsolete = [True]
    runner = attempts.AttemptRunner(
        'h1',
        'north',
        LocalPlacer(region),
        FailingExchanger(exchanges.LostResponse('reset')),
        is_obsolete=lambda: is_obsolete[0],
    )
    first = await runner.run(create_routed_request())
    assert first.refusal is attempts.Refusal.NOT_CURRENT
    is_obsolete[0] = False
    await runner.run(create_routed_request(), first)
    assert len(region.allocator.budget._requests['columns']) == 1
