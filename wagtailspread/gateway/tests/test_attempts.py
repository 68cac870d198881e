"""Tests of the attempts to send one request."""

import asyncio
import dataclasses
import itertools

import pytest

from wagtailspread.gateway import attempts, exchanges, placements
from wagtailspread.placement.tests import regions
from wagtailspread.routing import terms
from wagtailspread.workspaces import caps


class LocalPlacer:
    """Asks an allocator of the same process."""

    def __init__(self, region):
        """Create a placer without placed requests."""
        self.region = region
        self.requests = []
        self._numbers = itertools.count()

    def create_id(self):
        """Return a new id of a placement request."""
        return f'p{next(self._numbers)}'

    async def place(self, request):
        """Return the decision of the allocator."""
        self.requests.append(request)
        answer = self.region.allocator.submit(request, self.region.now)
        return placements.Placement(answer, '10.0.0.1:1')

    def settle(self, *_args, **_names):
        """Ignore the result."""

    def withdraw(self, request, _placement):
        """Withdraw the request at the allocator."""
        self.region.allocator.settle(
            request.request_id, '', 4, 0.0, self.region.now
        )


class FailingExchanger:
    """Ends all attempts with the same outcome."""

    def __init__(self, outcome, *, is_connected=False):
        """Create an exchanger without exchanges.

        :param is_connected: whether the upstream may have run the request.
        """
        self.outcome = outcome
        self.is_connected = is_connected
        self.sends = 0

    async def send(self, _record, _outgoing, progress, _received):
        """Count an exchange."""
        self.sends += 1
        progress.is_connected = self.is_connected
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


@pytest.mark.parametrize('is_connected', [False, True])
async def test_a_resend_has_a_permit_only_if_the_request_may_have_run(
    is_connected,
):
    """Guards against a cap that counts a request twice or not at all."""
    region = regions.Region(upstreams=4)
    region.now = asyncio.get_running_loop().time()
    placer = LocalPlacer(region)
    runner = attempts.AttemptRunner(
        'h1',
        'north',
        placer,
        FailingExchanger(
            exchanges.LostResponse('reset'), is_connected=is_connected
        ),
    )
    await runner.run(create_routed_request())
    flags = [request.is_permitted for request in placer.requests]
    assert flags == [False, is_connected, is_connected]


async def test_a_request_that_is_not_sent_returns_its_permit():
    """Guards against counting a request once for each configuration."""
    region = regions.Region(upstreams=4)
    region.now = asyncio.get_running_loop().time()
    region.allocator.record_contact('h1', region.now)
    placer = LocalPlacer(region)
    runner = attempts.AttemptRunner(
        'h1',
        'north',
        placer,
        FailingExchanger(exchanges.LostResponse('reset')),
        is_obsolete=lambda: True,
    )
    routed = dataclasses.replace(
        create_routed_request(),
        workspace=terms.Workspace('friolink', (), cap=caps.Cap(100.0, 50.0, 1)),
    )
    for _ in range(30):
        outcome = await runner.run(routed)
        assert outcome.refusal is attempts.Refusal.NOT_CURRENT
    states = region.allocator.permits.quotas._states
    assert states['friolink'].admitted == 0


async def test_a_retry_keeps_the_objective_of_its_first_arrival(monkeypatch):
    """Guards against a late retry that waits like a request in time."""
    region = regions.Region(upstreams=4)
    placer = LocalPlacer(region)
    runner = attempts.AttemptRunner(
        'h1',
        'north',
        placer,
        FailingExchanger(exchanges.LostResponse('reset')),
    )
    routed = create_routed_request()
    times = itertools.count(asyncio.get_running_loop().time(), 0.1)
    monkeypatch.setattr(attempts, '_now', lambda: next(times))
    await runner.run(routed)
    first, second, third = (one.objective for one in placer.requests)
    assert first == attempts.DEFAULT_OBJECTIVE_SECONDS
    assert second <= first - 0.1
    assert third <= second - 0.1
    assert third >= attempts.MIN_OBJECTIVE_SECONDS
