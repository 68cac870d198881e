"""Tests of the exchange of spare capacity between replicas."""

import pytest

from wagtailspread.registry import feeds, spares
from wagtailspread.wire import messages


def create_report(load=48.5):
    """Return a report with all its fields."""
    state = spares.State(60, load, 2.25)
    return spares.Report('columns', state, 'r2', 7, frozenset(['r2']))


_REPORT = create_report()


def create_exchange(region='r1'):
    """Return the exchange of a replica whose peers are in one region."""
    return spares.create_exchange(feeds.ChangeFeed(1), lambda _address: region)


def send(*reports):
    """Return the batch that a replica receives."""
    exchange = create_exchange()
    exchange.publish_spares(list(reports))
    batch = messages.structs.ChangeBatch()
    exchange.add_rows(batch, is_replica=True)
    return messages.decode(messages.structs.ChangeBatch, messages.encode(batch))


def receive(batch, exchange=None):
    """Return the reports that a replica knows after a batch."""
    exchange = exchange or create_exchange()
    exchange.receive('r2:1', batch, 1.0)
    return [one.report for one in exchange.list_remote_spares(1.0)]


def test_a_report_arrives_unchanged():
    """Guards against a field that is lost on the wire."""
    assert receive(send(_REPORT)) == [_REPORT]


@pytest.mark.parametrize(
    'changes',
    [
        {'slots': None},
        {'load_thousandths': -1},
        {'queued_ms': None},
        {'lent': -3},
        {'service_name': ''},
        {'service_name': None},
        {'borrower': 'x' * 256},
        {'heard': ['x' * 256]},
    ],
    ids=str,
)
def test_a_malformed_row_costs_only_itself(changes):
    """Guards against a peer of another version that stops the exchange."""
    batch = send(_REPORT)
    (odd,) = send(_REPORT).spares
    for name, field in changes.items():
        setattr(odd, name, field)
    batch.spares.append(odd)
    assert receive(batch) == [_REPORT]


def test_a_batch_without_rows_ends_what_was_told():
    """Guards against limits that outlast the shortage."""
    exchange = create_exchange()
    receive(send(_REPORT), exchange)
    assert not receive(messages.structs.ChangeBatch(), exchange)


def test_reports_expire_when_the_link_fails():
    """Guards against decisions on the state of a region that was lost."""
    exchange = create_exchange()
    receive(send(_REPORT), exchange)
    assert exchange.list_remote_spares(2.9)
    assert not exchange.list_remote_spares(3.1)


def test_a_replica_of_an_unknown_region_is_left_out():
    """Guards against a loan to a region that has no upstreams."""
    assert not receive(send(_REPORT), create_exchange(region=None))


def test_hosts_get_no_reports():
    """Guards against bytes to each host that it does not use."""
    exchange = create_exchange()
    exchange.publish_spares([_REPORT])
    batch = messages.structs.ChangeBatch()
    exchange.add_rows(batch, is_replica=False)
    assert batch.spares is None


def test_small_changes_wait_for_the_next_poll():
    """Guards against a message to each replica for each exchange."""
    assert not spares.has_news([_REPORT], [create_report(50.0)])
    assert spares.has_news([_REPORT], [create_report(54.0)])
    assert spares.has_news([_REPORT], [])
