"""Tests of the log lines that explain placements."""

import contextlib

import logbook

from wagtailspread.core import clocks
from wagtailspread.placement import budgets, crashes, floors, services
from wagtailspread.placement.tests import regions
from wagtailspread.registry import tables
from wagtailspread.workspaces import caps


@contextlib.contextmanager
def record_lines():
    """Return the events of the block with their fields."""
    handler = logbook.TestHandler()
    with handler.applicationbound():
        lines = []
        yield lines
        lines.extend(
            (record.message, dict(record.extra)) for record in handler.records
        )


def test_losses_of_a_request_are_logged_with_their_number():
    """Guards against losses that no log line explains."""
    table = crashes.create_crashes()
    upstreams = tables.create_table([regions.create_record('u1', 'north', 6)])
    with record_lines() as lines:
        table.record_loss(7, upstreams.rows['u1'], 0.0)
        table.record_loss(7, None, 0.0)
        table.record_answer(7)
    assert [(event, fields['fingerprint']) for event, fields in lines] == [
        ('request lost', 7),
        ('loss not counted', 7),
        ('suspicion ended', 7),
    ]
    assert lines[0][1]['losses'] == 1


def test_the_retry_budget_tells_its_counts():
    """Guards against retries of which no log line tells the limit."""
    budget = budgets.SharedRetryBudget(0.5, 0.0, 10.0, lambda: 1)
    for _ in range(10):
        budget.add_request('columns', 0.0)
    assert not budget.describe(0.0)
    assert budget.spend('columns', 0.0)
    assert budget.describe(0.0) == {
        'columns': {'requests': 10, 'retries': 1, 'allowed': 4.5},
    }


def test_a_service_that_becomes_strained_is_logged_once():
    """Guards against a line for each check of the floor."""
    floor = floors.UsageFloor(0.7)
    for _ in range(20):
        floor.strains.record_completion('columns', False, 0.0)
    with record_lines() as lines:
        floor.strains.list_strained(0.1)
        floor.strains.list_strained(0.2)
    assert lines == [
        (
            'service strained',
            {'service': 'columns', 'completions': 20, 'failed': 20},
        ),
    ]


def test_idle_upstreams_are_logged_with_their_reason_once_in_a_while():
    """Guards against upstreams of which no log line tells why they are idle."""
    region = regions.Region(upstreams=4, slots=1)
    selector = region.selector
    floor = region.allocator.floor
    request = region.create_request()
    for _ in range(3):
        selector.risk_table.add_failures('u2', 9.0)
    selector.start('u3')
    selector.mark_overdue('u3')
    floor.record_use('columns', 'u0', 9.0)
    floor.record_use('columns', 'u1', 6.0)
    floor.record_failure('u1', 9.5)
    with record_lines() as lines:
        for now in (10.0, 11.0):
            candidates = selector.rate(request, now)
            floor.select_candidates('columns', candidates, now)
    ((event, fields),) = lines
    assert event == 'upstreams in use'
    assert fields['upstreams'] == 4
    assert fields['idle'] == 3
    assert fields['cooling_down'] == 1
    assert fields['suspect'] == 1
    assert fields['full'] == 1
    assert fields['overdue'] == 1
    assert fields['longest'] == 4.0


def test_the_caps_tell_their_counts():
    """Guards against refusals over a cap that no log line explains."""
    region = regions.Region(upstreams=2, slots=50)
    names = {'workspace': 'friolink', 'cap': caps.Cap(1.0, 1.0, 1)}
    for _ in range(20):
        region.submit(**names)
    with record_lines() as lines:
        region.allocator.permits.log_counts(region.now)
        region.allocator.permits.log_counts(region.now)
    ((event, fields),) = lines
    assert event == 'caps counted'
    assert fields['workspace'] == 'friolink'
    assert fields['admitted'] + fields['refused'] == 20
    assert fields['refused'] >= 10
    assert fields['share'] == 1.0


def test_refusals_and_limits_are_logged_by_service_and_rank():
    """Guards against refusals that an operator can't explain."""
    region = regions.Region(upstreams=1, slots=1)
    admission = region.allocator.admission
    region.submit(deadline=60.0)
    region.submit(deadline=0.1, priority=2)
    for number in range(60):
        level = 1 + number % 6
        admission.sheds.record('columns', level, level > 4, number / 50)
    service = services.create_service(
        region.allocator, clocks.SuspensionClock(), lambda _now: ()
    )
    with record_lines() as lines:
        service._log_counts(1.2)
        service._log_counts(1.2)
    assert [
        (event, fields['service'], fields.get('rank'), fields.get('limit'))
        for event, fields in lines
    ] == [
        ('open requests limited', 'columns', None, 4),
        ('requests queued', 'columns', 2, None),
        ('open requests limited', 'columns', None, 4),
    ]
    assert lines[1][1]['no-room'] == 1
