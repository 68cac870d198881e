"""Records of another writer that state an upstream's address or id."""

import dataclasses
import itertools

import pytest

from wagtailspread.configuration import documents
from wagtailspread.registry import feeds, records, services, tables
from wagtailspread.registry.tests import test_feeds, test_services
from wagtailspread.wire import listeners

_NAMED = frozenset(('columns', 'orders'))
_SOUND = records.UpstreamRecord(
    upstream='u1',
    service='columns',
    address='10.0.0.1:80',
    domain='north',
    slots=6,
    state=records.UpstreamState.READY,
    born_ms=1000,
    sequence=4,
)
#: A record under an id of its own, at the address of the sound upstream.
_TAKER = dataclasses.replace(
    _SOUND, upstream='agent', service='monitor', born_ms=9000, sequence=1
)
#: A record under the id of the sound upstream.
_NAMESAKE = dataclasses.replace(
    _SOUND, service='monitor', born_ms=9000, sequence=9
)
_CLAIMS = pytest.mark.parametrize(
    'claim', [_TAKER, _NAMESAKE], ids=['taker', 'namesake']
)


def create_table(*known, now=0.0):
    """Return a table with a configuration and records."""
    table = tables.create_table()
    table.replace_services(_NAMED, now)
    for record in known:
        table.merge(record, now)
    return table


def create_feed(*known, now=0.0):
    """Return the feed of a replica with a configuration and heartbeats."""
    feed = feeds.ChangeFeed(7)
    feed.replace_services(_NAMED, now)
    for record in known:
        feed.register(record, now)
    return feed


def send_heartbeats(feed, times, *, start=5):
    """Register later heartbeats of the sound upstream."""
    for sequence, now in enumerate(times, start):
        feed.register(dataclasses.replace(_SOUND, sequence=sequence), now)


def list_ready_ids(table, service='columns'):
    """Return the ids of the upstreams that accept work."""
    return sorted(row.record.upstream for row in table.list_ready(service))


@_CLAIMS
@pytest.mark.parametrize('state', records.UpstreamState)
@pytest.mark.parametrize('order', [1, -1])
def test_a_service_that_is_not_named_takes_nothing(claim, state, order):
    """Guards against review/8: sound upstreams out of use after one message."""
    claim = dataclasses.replace(claim, state=state)
    table = create_table(*(_SOUND, claim)[::order])
    assert list_ready_ids(table) == ['u1']


@_CLAIMS
@pytest.mark.parametrize('order', [1, -1])
def test_a_claim_before_the_configuration_is_undone(claim, order):
    """Guards against a replica that learned the claim first, or from a peer."""
    feed = feeds.ChangeFeed(7)
    for record in (_SOUND, claim)[::order]:
        feed.register(record, 0.0)
    feed.replace_services(_NAMED, 1.0)
    send_heartbeats(feed, [1.5])
    assert list_ready_ids(feed.table) == ['u1']


@_CLAIMS
def test_a_claim_holds_when_its_service_is_named(claim):
    """Guards against upstreams that announce themselves too early for good."""
    table = create_table(_SOUND, claim)
    table.replace_services(_NAMED | {'monitor'}, 1.0)
    assert list_ready_ids(table) == []
    assert list_ready_ids(table, 'monitor') == [claim.upstream]


def test_upstreams_of_a_service_that_is_not_named_are_known():
    """Guards against upstreams that are not used when their service comes."""
    table = create_table(_TAKER)
    assert list_ready_ids(table, 'monitor') == ['agent']


def test_an_upstream_in_use_is_displaced_by_a_start_at_its_address():
    """Guards against requests to an upstream that crashed."""
    table = create_table(_SOUND, dataclasses.replace(_TAKER, service='orders'))
    assert list_ready_ids(table) == []
    assert list_ready_ids(table, 'orders') == ['agent']


@pytest.mark.parametrize('service', ['columns', 'orders'])
def test_heartbeats_show_that_a_displaced_upstream_runs(service):
    """Guards against a claim for the address of a sound upstream."""
    claim = dataclasses.replace(_TAKER, service=service)
    feed = create_feed(_SOUND, claim)
    send_heartbeats(feed, [1.4])
    assert 'u1' not in list_ready_ids(feed.table)
    position = feed.position
    send_heartbeats(feed, [2.9], start=6)
    assert 'u1' in list_ready_ids(feed.table)
    batch = feed.collect(test_feeds.create_request(feed, position), 3.0)
    assert batch.upheld == ['u1']
    assert [row.upstream for row in batch.rows] == ['u1']


@pytest.mark.parametrize(
    'times', [[5.0], [5.0, 5.1, 5.2, 5.3], [5.0, 10.0]], ids=str
)
def test_delayed_heartbeats_do_not_bring_an_upstream_back(times):
    """Guards against requests to an upstream that crashed.

    A partition delayed its heartbeats, which arrive at once or one by one.
    """
    feed = create_feed(_SOUND, dataclasses.replace(_TAKER, service='orders'))
    send_heartbeats(feed, times)
    assert list_ready_ids(feed.table) == []


def test_copies_of_a_heartbeat_do_not_bring_an_upstream_back():
    """Guards against a message that is delivered again and again."""
    feed = create_feed(_SOUND, dataclasses.replace(_TAKER, service='orders'))
    for now in range(1, 20):
        feed.register(_SOUND, float(now))
    assert list_ready_ids(feed.table) == []


def test_an_upstream_that_falls_silent_is_displaced_again():
    """Guards against requests to an upstream that crashed after a claim."""
    feed = create_feed(_SOUND, dataclasses.replace(_TAKER, service='orders'))
    send_heartbeats(feed, [1.4, 2.9])
    assert feed.table.list_upheld(7.0) == ['u1']
    assert feed.table.list_upheld(8.0) == []
    assert list_ready_ids(feed.table) == []


def test_an_upstream_in_the_future_does_not_hold_its_address():
    """Guards against an address that no later upstream can take."""
    future = dataclasses.replace(_TAKER, service='columns', born_ms=10**15)
    feed = create_feed(future, _SOUND)
    assert list_ready_ids(feed.table) == ['agent']
    send_heartbeats(feed, [1.5, 3.0])
    assert list_ready_ids(feed.table) == ['agent', 'u1']


def test_claims_of_several_writers_end_with_the_heartbeats():
    """Guards against an address that several claim in turn."""
    feed = create_feed(_SOUND)
    for number in range(8):
        claim = dataclasses.replace(
            _TAKER,
            upstream=f'agent-{number % 3}',
            service='orders',
            born_ms=9000 + number,
        )
        feed.register(claim, 1.5 * number)
        send_heartbeats(feed, [1.5 * number + 1], start=5 + number)
    assert list_ready_ids(feed.table) == ['u1']


def test_a_change_of_an_upheld_upstream_does_not_displace_it():
    """Guards against a pause with each change of a sound upstream."""
    feed = create_feed(_SOUND, dataclasses.replace(_TAKER, service='orders'))
    send_heartbeats(feed, [1.4, 2.9])
    feed.register(dataclasses.replace(_SOUND, slots=7, sequence=9), 4.4)
    assert list_ready_ids(feed.table) == ['u1']


def test_followers_apply_what_a_replica_reports():
    """Guards against hosts that leave a sound upstream out of use."""
    table = create_table(_SOUND, dataclasses.replace(_TAKER, service='orders'))
    table.replace_upheld({'u1'})
    assert list_ready_ids(table) == ['u1']
    table.replace_upheld(frozenset())
    assert list_ready_ids(table) == []


def test_a_peer_counts_relayed_heartbeats():
    """Guards against a displaced upstream at all replicas but one."""
    first = create_feed(_SOUND, dataclasses.replace(_TAKER, service='orders'))
    second = create_feed(_SOUND, dataclasses.replace(_TAKER, service='orders'))
    position = first.position
    for sequence, now in enumerate((1.4, 2.9), 5):
        send_heartbeats(first, [now], start=sequence)
        request = test_feeds.create_request(first, position, is_replica=True)
        batch = first.collect(request, now)
        position = batch.position
        second.merge_batch(batch, now)
    assert list_ready_ids(second.table) == ['u1']


def test_displaced_upstreams_are_removed():
    """Guards against a table that grows with each reused address."""
    taker = dataclasses.replace(_TAKER, service='orders')
    table = create_table(_SOUND, taker)
    table.remove_expired_tombstones(100.0)
    assert set(table.rows) == {'u1', 'agent'}
    table.remove_expired_tombstones(200.0)
    assert set(table.rows) == {'agent'}


@pytest.mark.parametrize('order', [1, -1])
def test_displaced_upstreams_do_not_return_when_the_other_one_left(order):
    """Guards against a crashed upstream in use behind an expired tombstone."""
    taker = dataclasses.replace(_TAKER, service='orders')
    table = create_table(*(_SOUND, taker)[::order])
    table.merge(
        dataclasses.replace(taker, state=records.UpstreamState.GONE), 1.0
    )
    assert list_ready_ids(table) == []
    table.remove_expired_tombstones(200.0)
    assert not table.rows


def test_deferred_records_are_bounded():
    """Guards against memory that another writer fills."""
    table = create_table()
    for number in range(tables.MAX_DEFERRED + 100):
        place = {'upstream': f'u{number}', 'address': f'10.0.0.1:{number + 1}'}
        for record in (_SOUND, _NAMESAKE):
            table.merge(dataclasses.replace(record, **place), 0.0)
    assert len(table._deferred) == tables.MAX_DEFERRED


@pytest.mark.parametrize('has_services', [True, False])
def test_upstreams_of_services_that_are_not_named_are_bounded(has_services):
    """Guards against ids that another writer invents without end."""
    table = create_table(_SOUND) if has_services else tables.create_table()
    for number in range(tables.MAX_UNNAMED + 100):
        place = {'upstream': f'a{number}', 'address': f'10.0.1.1:{number + 1}'}
        table.merge(dataclasses.replace(_TAKER, **place), 0.0)
    table.replace_services(_NAMED, 1.0)
    table.merge(_SOUND, 2.0)
    assert len(table.list_ready('monitor')) == tables.MAX_UNNAMED
    assert list_ready_ids(table) == ['u1']
    assert len(table._upstreams_by_address) == tables.MAX_UNNAMED + 1


def test_rows_of_a_service_are_sent_again_when_it_is_named():
    """Guards against a host that has dropped the upstreams of a new service."""
    feed = create_feed(_TAKER)
    position = feed.position
    feed.replace_services(_NAMED | {'monitor'}, 1.0)
    batch = feed.collect(test_feeds.create_request(feed, position), 1.0)
    assert [row.upstream for row in batch.rows] == ['agent']


@pytest.mark.parametrize(
    'order', list(itertools.permutations(range(4))), ids=str
)
def test_tables_agree_in_any_order(order):
    """Guards against replicas that differ in the upstreams that they know."""
    taker = dataclasses.replace(_TAKER, service='orders')
    events = (_SOUND, _NAMESAKE, taker, None)
    table = tables.create_table()
    for number in order:
        if events[number] is None:
            table.replace_services(_NAMED, 0.0)
        else:
            table.merge(events[number], 0.0)
    table.merge(dataclasses.replace(_SOUND, sequence=5), 1.0)
    assert list_ready_ids(table) == []
    assert list_ready_ids(table, 'orders') == ['agent']
    assert table.digest == create_table(_SOUND, taker).digest


class ConfiguredGroup(test_services.FakeReplicaGroup):
    """A group with a configuration document."""

    def read_document(self):
        """Return a document that names the services."""
        document = documents.VersionedDocument()
        document.put(7, ' '.join(_NAMED).encode())
        return document


async def test_a_departure_in_a_service_that_is_not_named_is_not_confirmed():
    """Guards against a confirmed departure of an upstream that stays in use."""
    service = services.create_service(
        'r1:1',
        'north',
        {'north': 'r1'},
        test_services.SteadyClock(),
        lambda body: frozenset(body.decode().split()),
    )
    service.attach(listeners.create_listener(None, None), ConfiguredGroup())
    service._update_services()
    service.register(_SOUND)
    foreign = dataclasses.replace(
        _NAMESAKE, state=records.UpstreamState.DRAINING
    )
    assert not await service.register_departure(foreign)
    assert list_ready_ids(service.feed.table) == ['u1']
