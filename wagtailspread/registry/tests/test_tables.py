"""Tests of the table of upstreams."""

import dataclasses

import pytest

from wagtailspread.registry import digests, records, tables

_READY = records.UpstreamRecord(
    upstream='u1',
    service='columns',
    address='10.0.0.1:80',
    domain='north',
    slots=6,
    state=records.UpstreamState.READY,
    born_ms=1000,
    sequence=4,
)
_DRAINING = dataclasses.replace(
    _READY,
    state=records.UpstreamState.DRAINING,
    sequence=5,
)
_GONE = dataclasses.replace(
    _READY,
    state=records.UpstreamState.GONE,
    sequence=0,
)


def list_ready_ids(table, service='columns'):
    """Return the ids of the upstreams that accept work."""
    return [row.record.upstream for row in table.list_ready(service)]


@pytest.mark.parametrize('ending', [_DRAINING, _GONE])
@pytest.mark.parametrize('sequence', [1, 4, 9])
def test_a_delayed_heartbeat_does_not_make_an_upstream_ready(ending, sequence):
    """Guards against work for an upstream whose departure was confirmed."""
    table = tables.create_table([_READY, ending])
    late = dataclasses.replace(_READY, sequence=sequence)
    assert not table.merge(late, 1.0)
    assert list_ready_ids(table) == []


def test_an_upstream_restarted_under_its_id_is_ready():
    """Guards against a tombstone that applies to a later incarnation."""
    table = tables.create_table([_READY, _GONE])
    assert table.merge(
        dataclasses.replace(_READY, born_ms=2000, sequence=1),
        1.0,
    )
    assert list_ready_ids(table) == ['u1']


@pytest.mark.parametrize('order', [(0, 1), (1, 0)])
def test_the_later_start_keeps_a_reused_address(order):
    """Guards against a late heartbeat of a crashed upstream."""
    later = dataclasses.replace(
        _READY,
        upstream='u2',
        service='orders',
        born_ms=2000,
        sequence=1,
    )
    both = (_READY, later)
    table = tables.create_table([both[place] for place in order])
    assert list_ready_ids(table) == []
    assert list_ready_ids(table, 'orders') == ['u2']


def test_heartbeats_without_new_data_are_no_change():
    """Guards against control traffic for every heartbeat."""
    table = tables.create_table([_READY])
    position = table.position
    assert not table.merge(dataclasses.replace(_READY, sequence=5), 1.0)
    assert table.list_changed(position) == []
    assert table.rows['u1'].heartbeat_at == 1.0


def test_an_upstream_without_heartbeats_is_silent_but_ready():
    """Guards against removal of upstreams that only replicas cannot reach."""
    table = tables.create_table([_READY], now=0.0)
    assert table.list_silent(4.0) == []
    assert table.list_silent(5.0) == ['u1']
    assert list_ready_ids(table) == ['u1']


def test_tombstones_are_removed_after_their_retention():
    """Guards against a table that grows with every deployment."""
    table = tables.create_table([_READY, _GONE])
    table.remove_expired_tombstones(100.0)
    assert 'u1' in table.rows
    table.remove_expired_tombstones(200.0)
    assert 'u1' not in table.rows


def test_a_day_of_churn_leaves_no_state():
    """Guards against memory that grows with each upstream that ever was.

    Load pattern: 100,000 upstreams come and go in a day, most at an address
    that no other one gets, and some change their address.
    """
    table = tables.create_table()
    for number in range(100_000):
        now = number * 0.864
        came = dataclasses.replace(
            _READY, upstream=f'u{number}', address=f'10.0.0.1:{number}'
        )
        moved = dataclasses.replace(
            came, address=f'10.0.0.2:{number % 50}', sequence=5
        )
        table.merge(came, now)
        last = came if number % 10 else moved
        table.merge(last, now)
        gone = dataclasses.replace(
            last, state=records.UpstreamState.GONE, sequence=0
        )
        table.merge(gone, now)
        if not number % 100:
            table.remove_expired_tombstones(now)
    kept = tables.TOMBSTONE_RETENTION_SECONDS / 0.864 + 100
    assert len(table.rows) <= kept
    assert len(table._upstreams_by_address) <= kept


def test_an_address_is_kept_for_the_upstream_that_took_it():
    """Guards against an old message that ends the upstream at an address."""
    table = tables.create_table([_READY, _GONE])
    taker = dataclasses.replace(_READY, upstream='u2', born_ms=9000)
    table.merge(taker, 50.0)
    table.remove_expired_tombstones(200.0)
    table.merge(dataclasses.replace(_READY, sequence=9), 200.0)
    assert list_ready_ids(table) == ['u2']


def test_records_are_unchanged_by_encoding_and_decoding():
    """Guards against a field that is lost between processes."""
    warm = dataclasses.replace(_READY, warm_seconds=2.5)
    assert records.from_row(records.to_row(warm)) == warm


def test_tables_with_equal_rows_have_equal_digests():
    """Guards against rows that are sent to a host that has them, or are not."""
    moved = dataclasses.replace(_READY, address='10.0.0.9:80', sequence=5)
    first = tables.create_table([_READY, moved])
    second = tables.create_table([moved])
    assert first.digest == second.digest
    assert first.digest != tables.create_table([_READY]).digest
    heartbeat = dataclasses.replace(moved, sequence=9, warm_seconds=3.0)
    second.merge(heartbeat, 1.0)
    assert first.digest == second.digest
    second.merge(dataclasses.replace(_GONE, sequence=9), 1.0)
    assert first.digest != second.digest
    second.remove_expired_tombstones(500.0)
    assert second.digest == tables.create_table().digest


@pytest.mark.parametrize(
    'changed',
    [
        {'service': 'mail'},
        {'address': '10.0.0.9:80'},
        {'domain': 'south'},
        {'slots': 7},
        {'state': records.UpstreamState.DRAINING},
        {'born_ms': 77},
    ],
)
def test_the_digest_covers_each_field_that_matters(changed):
    """Guards against a host that never learns a change of a field."""
    other = dataclasses.replace(_READY, **changed)
    found = {tables.create_table([one]).digest for one in (_READY, other)}
    assert len(found) == 2


def test_bucket_digests_show_where_tables_differ():
    """Guards against a change that the digest of its part does not show."""
    first = tables.create_table([_READY])
    second = tables.create_table([_READY])
    assert first.buckets.list_different(second.buckets.pack()) == []
    other = dataclasses.replace(_READY, slots=7, sequence=9)
    second.merge(other, 0.0)
    bucket = digests.find_bucket(_READY.upstream)
    assert first.buckets.list_different(second.buckets.pack()) == [bucket]
    first.merge(other, 0.0)
    assert first.buckets.list_different(second.buckets.pack()) == []


@pytest.mark.parametrize('packed', [None, b'', bytes(7)])
def test_without_valid_bucket_digests_all_parts_differ(packed):
    """Guards against rows that a follower of another version never gets."""
    different = tables.create_table([_READY]).buckets.list_different(packed)
    assert len(different) == digests.BUCKETS
