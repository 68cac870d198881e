"""Tests of the loans of slots between the allocators of two regions."""

import random

import logbook
import pytest

from wagtailspread.placement import lendings, pressures, queues, selection
from wagtailspread.placement import sheds, slot_loans
from wagtailspread.placement.tests import regions
from wagtailspread.registry import spares, tables

_REGIONS = {'north': 'r1', 'far': 'r2'}
_SERVICE = 'columns'


class Exchange:
    """Reports of one allocator, and what it gets from the others."""

    def __init__(self):
        """Start without reports."""
        self.published = []
        self.remote = []

    def publish_spares(self, reports):
        """Keep the reports for the test."""
        self.published = reports

    def list_remote_spares(self, _now):
        """Return the reports that the test has set."""
        return self.remote


def create_side(region, upstreams=4, slots=6):
    """Return a selector on upstreams in both regions, and its loans."""
    rows = [
        regions.create_record(f'{domain}{n}', domain, slots)
        for domain in _REGIONS
        for n in range(upstreams)
    ]
    selector = selection.create_selector(
        tables.create_table(rows), _REGIONS, random.Random(1)
    )
    return selector, lendings.create_lending(selector, region, _REGIONS)


def create_remote(load, *, region='r2', slots=24, **fields):
    """Return a report of another allocator that hears this one."""
    age = fields.pop('age', 0.0)
    fields.setdefault('heard', frozenset(['r1']))
    report = spares.Report(_SERVICE, spares.State(slots, load, 0.0), **fields)
    return spares.RemoteReport('10.0.0.9:1', region, report, age)


def offer(lending, load, seconds=6.0):
    """Offer work that needs some slots, for some time."""
    for step in range(int(seconds * 50)):
        lending.record_offer(_SERVICE, load / 50, step / 50)


def run(lending, remote, now=6.0):
    """Exchange reports once; return what the allocator published."""
    exchange = Exchange()
    exchange.remote = remote
    lending.exchange(exchange, queues.create_queues(), now)
    return exchange.published


def rate(selector, **changes):
    """Return the upstreams that a request may use, by id."""
    request = regions.Region().create_request(**changes)
    return {
        one.row.record.upstream: one
        for one in selector.rate(request, 6.0)
        if not one.is_full
    }


def test_pressures_around_a_margin_do_not_alternate():
    """Guards against a loan that begins and ends with each fluctuation."""
    lent = 0
    changes = 0
    for step in range(100):
        other = spares.State(100, 92.0 + 4.0 * (step % 2), 0.0)
        decided = pressures.decide_loan(
            spares.State(100, 78.0, 0.0), other, lent
        )
        changes += bool(decided) is not bool(lent)
        lent = decided
    assert changes <= 1


@pytest.mark.parametrize('count', [0, 1, 5, 13, 40, 200])
def test_both_regions_divide_a_loan_alike(count):
    """Guards against a slot that both regions use, or one that none uses."""
    records = [
        regions.create_record(f'u{n}', slots=1 + n % 6) for n in range(13)
    ]
    parts = slot_loans.divide(records, count)
    assert slot_loans.divide(list(reversed(records)), count) == parts
    most = sum(one.slots - 1 for one in records)
    assert sum(parts.values()) == min(count, most)
    assert all(parts[one.upstream] < one.slots for one in records)


def test_a_lender_does_not_use_what_it_lends():
    """Guards against sheds at upstreams that both regions fill."""
    selector, lending = create_side('r1')
    offer(lending, 8.0)
    (report,) = run(lending, [create_remote(26.0)])
    slots = selector.find_slots(_SERVICE, 6.0)
    home = sum(n for name, n in slots.items() if name.startswith('north'))
    assert report.lent > 0
    assert report.borrower == 'r2'
    assert home == 24 - report.lent


def test_a_borrower_uses_only_what_is_lent():
    """Guards against requests to another region that is short itself."""
    selector, lending = create_side('r1')
    offer(lending, 26.0)
    run(lending, [create_remote(16.0, borrower='r1', lent=6)])
    slots = selector.find_slots(_SERVICE, 6.0)
    away = sum(n for name, n in slots.items() if name.startswith('far'))
    assert away == 6


@pytest.mark.parametrize(
    'fields', [{'age': 2.5}, {'heard': frozenset()}], ids=['old', 'one-way']
)
def test_a_failed_exchange_has_no_effect(fields):
    """Guards against decisions on what another region told long ago.

    A region that does not hear this one does not know what it may use.
    """
    selector, lending = create_side('r1')
    offer(lending, 26.0)
    run(lending, [create_remote(16.0, borrower='r1', lent=6, **fields)])
    assert not selector.loans.by_upstream


def test_a_loan_ends_with_the_exchange():
    """Guards against slots that stay unused after a link has failed."""
    selector, lending = create_side('r1')
    offer(lending, 8.0)
    run(lending, [create_remote(26.0)])
    run(lending, [], now=6.2)
    assert selector.loans.by_upstream
    run(lending, [], now=6.2 + lendings.RECALL_SECONDS)
    assert not selector.loans.by_upstream


def test_a_new_allocator_lends_nothing():
    """Guards against one that takes its region for idle after its start."""
    _, lending = create_side('r1')
    offer(lending, 20.0, seconds=0.2)
    (report,) = run(lending, [create_remote(26.0)], now=0.2)
    assert not report.lent


def test_an_allocator_without_requests_reports_nothing():
    """Guards against a standby that lends the slots of its region."""
    _, lending = create_side('r1')
    assert not run(lending, [create_remote(26.0)])


def test_calm_regions_exchange_nothing():
    """Guards against messages and limits where capacity is not short."""
    selector, lending = create_side('r1')
    offer(lending, 8.0)
    assert not run(lending, [])
    assert not selector.loans.by_upstream


def test_allocators_of_one_region_divide_what_they_borrow():
    """Guards against two allocators that each use the whole loan."""
    selector, lending = create_side('r1')
    offer(lending, 14.0)
    mate = create_remote(14.0, region='r1')
    run(lending, [mate, create_remote(16.0, borrower='r1', lent=6)])
    slots = selector.find_slots(_SERVICE, 6.0)
    away = sum(n for name, n in slots.items() if name.startswith('far'))
    assert away in {2, 3}


def test_bad_upstreams_at_home_lift_the_limit():
    """Guards against requests that wait for upstreams that fail."""
    selector, lending = create_side('r1')
    offer(lending, 26.0)
    run(lending, [create_remote(20.0)])
    assert not any(name.startswith('far') for name in rate(selector))
    for number in range(4):
        for _ in range(5):
            selector.risk_table.add_failures(f'north{number}', 6.0)
    assert any(name.startswith('far') for name in rate(selector))


def test_uploads_use_less_than_half_of_the_link():
    """Guards against uploads that fill the link between two regions."""
    selector, lending = create_side('r1')
    offer(lending, 26.0)
    run(lending, [create_remote(10.0, borrower='r1', lent=20)])
    size = 60 * 1024
    sent = 0
    for step in range(1000):
        now = 6.0 + step / 1000
        request = regions.Region().create_request(size=size)
        if any(not one.is_full for one in _list_away(selector, request, now)):
            selector.loans.record_crossing(size, now)
            sent += size
    assert 0 < sent < slot_loans.LINK_BYTES_PER_SECOND / 2


def _list_away(selector, request, now):
    candidates = selector.rate(request, now)
    return [one for one in candidates if not one.is_same_region]


def test_sheds_that_another_region_causes_set_no_limit():
    """Guards against a limit that leaves most slots unused.

    In a replay, sheds at lent upstreams with one request from here set a limit
    of one request for each upstream of the service.
    """
    limits = sheds.create_limits()
    for number in range(60):
        at = number / 50
        limits.record(_SERVICE, 1 + number % 6, False, at)
        limits.record(_SERVICE, 0, True, at)
    assert not limits.find(_SERVICE, 1.2)


def test_a_loan_is_logged_once():
    """Guards against a loan that operators do not see, or see too often."""
    _, lending = create_side('r1')
    offer(lending, 8.0)
    handler = logbook.TestHandler()
    with handler.applicationbound():
        for step in range(3):
            run(lending, [create_remote(26.0)], now=6.0 + step / 5)
        lending.log_counts()
    lines = [record.message for record in handler.records]
    assert lines == ['slots lent', 'spare slots counted']
