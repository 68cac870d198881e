"""Tests of the permits of requests under the caps of workspaces."""

import pytest

from wagtailspread.placement import messages, permits
from wagtailspread.placement.tests import regions
from wagtailspread.workspaces import caps, fleets, loans

_OVER_CAP = messages.Decision.OVER_CAP
_CAP = caps.Cap(2.0, 4.0, 1)
_WORKSPACE = {'workspace': 'friolink', 'cap': _CAP}


def create_region(**changes):
    """Return a region whose only host has asked for 20 s."""
    region = regions.Region(**{'upstreams': 4, 'slots': 50, **changes})
    for step in range(80):
        region.now = step * 0.25
        region.allocator.record_contact('h1', region.now)
        region.allocator.tick(region.now)
    return region


def use_up(region):
    """Submit requests until the cap is used up; return the granted ones."""
    granted = []
    while True:
        request_id, answer = region.submit(**_WORKSPACE)
        if answer.decision is _OVER_CAP:
            return granted
        granted.append((request_id, answer))


def count_room(region):
    """Return how many more requests the cap allows now."""
    return len(use_up(region))


def test_a_request_above_the_cap_is_refused_with_a_time():
    """Guards against a workspace that takes more than its cap."""
    region = create_region()
    assert 4 <= len(use_up(region)) <= 4 + 0.4 * 21.4
    _, answer = region.submit(**_WORKSPACE)
    assert 0 < answer.retry_after <= 10
    region.now += 5.0
    region.allocator.record_contact('h1', region.now)
    assert count_room(region) == 10


def test_a_refusal_over_the_cap_is_no_failure_of_the_service():
    """Guards against a retry budget and a strain from requests not sent."""
    region = create_region(ratio=0.0)
    granted = len(use_up(region))
    for _ in range(50):
        region.submit(**_WORKSPACE)
    assert len(region.allocator.budget._requests['columns']) == granted
    strains = region.allocator.floor.strains
    assert not strains.is_strained('columns', region.now)


def test_requests_without_a_cap_leave_no_state():
    """Guards against costs for fleets without caps."""
    region = create_region()
    for _ in range(20):
        region.submit(workspace='friolink')
    assert not len(region.allocator.permits.quotas)


def test_polls_are_not_counted_again():
    """Guards against a queued request that uses up its cap by waiting."""
    region = create_region(upstreams=1, slots=1)
    region.submit()
    request = region.create_request(**_WORKSPACE)
    for _ in range(20):
        answer = region.allocator.submit(request, region.now)
        assert answer.decision is messages.Decision.WAITING
    states = region.allocator.permits.quotas._states
    assert (states['friolink'].waiting, states['friolink'].admitted) == (1, 1)


@pytest.mark.parametrize(
    ('evidence', 'returned'),
    [
        (messages.Evidence.SHED, 1),
        (messages.Evidence.UNREACHABLE, 1),
        (messages.Evidence.GOOD, 0),
        (messages.Evidence.BAD, 0),
        (messages.Evidence.NONE, 0),
    ],
)
def test_only_requests_that_did_not_run_return_their_permit(evidence, returned):
    """Guards against both a permit for nothing and a free request."""
    region = create_region()
    granted = use_up(region)
    region.settle(*granted[0], evidence)
    assert count_room(region) == returned


def test_a_withdrawn_request_returns_its_permit_once():
    """Guards against a host that withdraws again after a lost answer."""
    region = create_region()
    request_id, _ = use_up(region)[0]
    for _ in range(3):
        region.allocator.settle(request_id, '', 4, 0.0, region.now)
    assert count_room(region) == 1


def test_a_resend_after_a_lost_response_is_not_counted():
    """Guards against a cap that retries of the host use up."""
    region = create_region()
    use_up(region)
    _, answer = region.submit(is_repeat=True, is_permitted=True, **_WORKSPACE)
    assert answer.decision is messages.Decision.GRANTED


def test_a_resend_after_a_shed_request_is_counted():
    """Guards against requests that run without a permit.

    Load pattern: all upstreams of a service shed a part of their work, so each
    permit is returned and the request is sent again.
    """
    region = create_region()
    for _ in range(30):
        request_id, answer = region.submit(**_WORKSPACE)
        if answer.decision is _OVER_CAP:
            break
        region.settle(request_id, answer, messages.Evidence.SHED)
        region.submit(is_repeat=True, is_counted=True, **_WORKSPACE)
    assert answer.decision is _OVER_CAP


def test_a_request_that_another_allocator_did_not_answer_is_counted():
    """Guards against requests that no allocator counts after a loss."""
    region = create_region()
    for _ in range(30):
        _, answer = region.submit(is_counted=True, **_WORKSPACE)
    assert answer.decision is _OVER_CAP


def test_refused_and_abandoned_requests_return_their_permits():
    """Guards against a cap that requests use up which were never sent."""
    region = create_region(upstreams=1, slots=1)
    region.submit(deadline=region.now + 60)
    for _ in range(3):
        _, answer = region.submit(deadline=region.now + 60, **_WORKSPACE)
        assert answer.decision is messages.Decision.WAITING
    _, answer = region.submit(deadline=region.now + 0.01, **_WORKSPACE)
    assert answer.decision is messages.Decision.NO_ROOM
    states = region.allocator.permits.quotas._states
    assert states['friolink'].waiting == 3
    region.now += 1.5
    region.allocator.record_contact('h1', region.now)
    region.allocator.tick(region.now)
    assert states['friolink'].waiting == 0
    assert states['friolink'].admitted == 0


def test_a_granted_request_that_no_host_fetches_returns_its_permit():
    """Guards against permits of callers that have disconnected."""
    region = create_region(upstreams=1, slots=1)
    first, answer = region.submit()
    region.submit(**_WORKSPACE)
    region.settle(first, answer)
    region.allocator.tick(region.now)
    states = region.allocator.permits.quotas._states
    assert (states['friolink'].waiting, states['friolink'].admitted) == (0, 1)
    region.now += 1.5
    region.allocator.tick(region.now)
    assert states['friolink'].admitted == 0


def test_a_restarted_host_returns_the_permits_of_its_queue():
    """Guards against places in the bucket that are never freed."""
    region = create_region(upstreams=1, slots=1)
    region.submit()
    region.submit(**_WORKSPACE)
    region.allocator.drop_host('h1', region.now)
    states = region.allocator.permits.quotas._states
    assert (states['friolink'].waiting, states['friolink'].admitted) == (0, 0)


def test_a_host_that_decides_alone_has_its_part_only():
    """Guards against a whole cap at each host without an allocator."""
    fleet = fleets.create_size()
    fleet.raise_to(10, 0.0)
    numbers = iter(range(1000))
    lone = permits.create_lone_permits(caps.Limits(), fleet, float)
    region = create_region()
    admitted = 0
    for step in range(100):
        request = region.create_request(
            request_id=f'l{next(numbers)}',
            workspace='friolink',
            cap=caps.Cap(10.0, 10.0, 1),
        )
        admitted += lone.take(request, 100 + step * 0.1) is None
    assert 8 <= admitted <= 12


class FakeExchange:
    """Records what is published, and returns what tests set."""

    def __init__(self):
        """Start without messages."""
        self.asks = []
        self.granted = []
        self.remote_asks = []
        self.remote_loans = []

    def publish_loans(self, asks, granted):
        """Record the asks and loans."""
        self.asks = asks
        self.granted = granted

    def pop_remote_asks(self):
        """Return the asks that tests have set."""
        remote, self.remote_asks = self.remote_asks, []
        return remote

    def pop_remote_loans(self):
        """Return the loans that tests have set."""
        remote, self.remote_loans = self.remote_loans, []
        return remote


def test_loans_pass_between_two_allocators():
    """Guards against asks and loans that are not exchanged."""
    borrower, lender = create_region(), create_region()
    for region in (borrower, lender):
        region.allocator.permits._shares.fleet.raise_to(2, region.now)
    use_up(borrower)
    for region in (borrower, lender):
        region.now += 0.3
        region.allocator.record_contact('h1', region.now)
    exchange, other = FakeExchange(), FakeExchange()
    borrower.allocator.permits.exchange(exchange, borrower.now)
    other.remote_asks = [('r1:1', ask) for ask in exchange.asks]
    lender.allocator.permits.exchange(other, lender.now)
    (loan,) = other.granted
    assert loan.borrower == 'r1:1'
    assert 0.4 <= loan.fraction <= 0.5
    exchange.remote_loans = [('r2:1', loan)]
    borrower.allocator.permits.exchange(exchange, borrower.now)
    book = borrower.allocator.permits.quotas.book
    assert book.compute_balance(loan.key, borrower.now) == loan.fraction


def test_few_rows_are_published():
    """Guards against messages that grow with the number of workspaces."""
    region = create_region()
    region.allocator.permits._shares.fleet.raise_to(2, region.now)
    for number in range(200):
        for _ in range(30):
            region.submit(workspace=f'w{number}', cap=_CAP)
    exchange = FakeExchange()
    region.allocator.permits.exchange(exchange, region.now)
    assert len(exchange.asks) == loans.MAX_ROWS


def test_loans_of_an_allocator_without_requests_are_dropped():
    """Guards against state and work that grow with the time of the loans.

    Load pattern: all demand is in one region, so the lender in the other one
    has no workspace of its own.
    """
    region = create_region()
    exchange = FakeExchange()
    for step in range(80):
        region.now += 0.25
        region.allocator.record_contact('h1', region.now)
        exchange.remote_asks = [('r1:1', loans.Ask(7, step, 0.1))]
        region.allocator.permits.exchange(exchange, region.now)
        region.allocator.tick(region.now)
    assert len(exchange.granted) == 1
    assert len(region.allocator.permits.quotas.book._lent[7]) <= 10


def test_a_restarted_host_returns_the_permits_of_grants_it_did_not_fetch():
    """Guards against permits of requests that were never sent."""
    region = create_region(upstreams=1, slots=1)
    first, answer = region.submit(host='h2')
    region.submit(**_WORKSPACE)
    region.settle(first, answer)
    region.allocator.tick(region.now)
    states = region.allocator.permits.quotas._states
    assert states['friolink'].admitted == 1
    region.allocator.drop_host('h1', region.now)
    region.now += 1.5
    region.allocator.tick(region.now)
    assert states['friolink'].admitted == 0


def test_a_grant_that_no_host_fetches_before_its_deadline_is_returned():
    """Guards against a lost permit after the allocator stood still."""
    region = create_region(upstreams=1, slots=1)
    first, answer = region.submit()
    region.submit(**_WORKSPACE)
    region.settle(first, answer)
    region.allocator.tick(region.now)
    states = region.allocator.permits.quotas._states
    assert states['friolink'].admitted == 1
    region.now += 7.0
    region.allocator.tick(region.now)
    assert states['friolink'].admitted == 0


def test_a_request_without_a_connection_keeps_its_place():
    """Guards against a refusal within the cap.

    The host asks again at once, so the returned permit arrives later.
    """
    region = create_region()
    request_id, answer = use_up(region)[0]
    upstream = answer.record.upstream
    _, again = region.submit(
        is_counted=True, excluded=frozenset((upstream,)), **_WORKSPACE
    )
    assert again.decision is messages.Decision.GRANTED
    region.settle(request_id, answer, messages.Evidence.UNREACHABLE)
    assert count_room(region) == 0


def test_the_first_request_after_a_pause_is_within_the_cap():
    """Guards against an idle allocator that has counted no host.

    Load pattern: one host sends a request now and then, right after a tick.
    """
    region = create_region()
    for step in range(40):
        region.now += 3.0 + 0.013 * step
        region.allocator.tick(region.now)
        region.now += 0.01
        _, answer = region.submit(workspace='w', cap=caps.Cap(174.0, 0.0, 1))
        assert answer.decision is not _OVER_CAP
