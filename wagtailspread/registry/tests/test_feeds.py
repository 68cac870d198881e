"""Tests of the change feed of a replica."""

import asyncio
import dataclasses

from wagtailspread.registry import feeds, positions, records
from wagtailspread.wire import messages

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


def create_request(feed, position, *, is_replica=False, epoch=None):
    """Return the request of a follower."""
    return messages.structs.FollowChanges(
        host='h1',
        domain='north',
        is_replica=is_replica,
        epoch=feed.epoch if epoch is None else epoch,
        position=position,
        document_version=-1,
        wait_ms=10,
        address='10.0.0.1:1',
    )


def record_follower(feed, host, position, now, *, is_replica=False):
    """Record the progress of a follower."""
    feed.update_follower(
        host,
        feeds.FollowerState(f'{host}:1', 'north', is_replica, position, now),
    )


def test_a_follower_gets_each_change_once():
    """Guards against answers that repeat the whole table."""
    feed = feeds.ChangeFeed(7)
    feed.register(_READY, 0.0)
    first = feed.collect(create_request(feed, 0), 0.0)
    assert [row.upstream for row in first.rows] == ['u1']
    second = feed.collect(create_request(feed, first.position), 0.0)
    assert second.rows == []


def test_a_follower_of_an_earlier_start_gets_everything():
    """Guards against missing rows after a restart of a replica."""
    feed = feeds.ChangeFeed(7)
    feed.register(_READY, 0.0)
    request = create_request(feed, 1_000_000, epoch=6)
    assert len(feed.collect(request, 0.0).rows) == 1


def test_changes_of_another_replica_are_relayed():
    """Guards against a departure known only where it was registered."""
    remote = feeds.ChangeFeed(1)
    remote.register(_READY, 0.0)
    remote.register(
        dataclasses.replace(_READY, state=records.UpstreamState.GONE),
        0.0,
    )
    local = feeds.ChangeFeed(2)
    request = create_request(remote, 0, is_replica=True)
    local.merge_batch(remote.collect(request, 0.0), 5.0)
    relayed = local.collect(create_request(local, 0), 5.0)
    assert [row.state for row in relayed.rows] == [2]


def test_heartbeats_reach_other_replicas_without_rows():
    """Guards against upstreams that count as silent at other replicas."""
    remote = feeds.ChangeFeed(1)
    remote.register(_READY, 0.0)
    local = feeds.ChangeFeed(2)
    first = remote.collect(create_request(remote, 0, is_replica=True), 0.0)
    local.merge_batch(first, 0.0)
    remote.register(dataclasses.replace(_READY, sequence=9), 6.0)
    request = create_request(remote, first.position, is_replica=True)
    batch = remote.collect(request, 6.0)
    assert batch.rows == []
    local.merge_batch(batch, 6.0)
    assert local.table.list_silent(6.0) == []


def test_a_departure_is_propagated_when_every_live_follower_has_seen_it():
    """Guards against confirming a departure that a host does not know."""
    feed = feeds.ChangeFeed(1)
    feed.register(_READY, 0.0)
    position = feed.position
    record_follower(feed, 'h1', position - 1, 0.0)
    record_follower(feed, 'r2', position, 0.0, is_replica=True)
    assert not feed.is_propagated(position, 0.0)
    record_follower(feed, 'h1', position, 0.1)
    assert feed.is_propagated(position, 0.1)
    assert feed.list_replicas_at(position, 0.1) == ['r2:1']
    assert not feed.list_replicas_at(position + 1, 0.1)


def test_a_failed_follower_does_not_delay_a_departure():
    """Guards against departures that are never confirmed after a crash."""
    feed = feeds.ChangeFeed(1)
    record_follower(feed, 'h1', 0, 0.0)
    feed.register(_READY, 5.0)
    record_follower(feed, 'r2', feed.position, 5.0, is_replica=True)
    assert feed.is_propagated(feed.position, 5.0)
    assert feed.list_replicas_at(feed.position, 5.0) == ['r2:1']


async def test_a_waiting_follower_is_woken_by_a_change():
    """Guards against changes delayed until the end of a long poll."""
    feed = feeds.ChangeFeed(1)
    waiting = asyncio.create_task(feed.wait(0, 30.0))
    await asyncio.sleep(0)
    feed.register(_READY, 0.0)
    async with asyncio.timeout(1):
        await waiting


async def test_relayed_changes_are_delayed_for_replicas():
    """Guards against answers between regions without new changes.

    Load pattern: upstreams start one after the other. Without the delay, each
    replica relays each start at once to all others, which know it already.
    """
    feed = feeds.ChangeFeed(1)
    other = feeds.ChangeFeed(2)
    other.register(_READY, 0.0)
    host = asyncio.create_task(feed.wait(0, 30.0))
    replica = asyncio.create_task(feed.wait(0, 30.0, is_replica=True))
    await asyncio.sleep(0)
    request = create_request(other, 0, is_replica=True)
    feed.merge_batch(other.collect(request, 0.0), 0.0)
    async with asyncio.timeout(1):
        await host
        assert not replica.done()
        await replica


async def test_locally_registered_changes_are_sent_to_replicas_at_once():
    """Guards against a departure that reaches other regions too late."""
    feed = feeds.ChangeFeed(1)
    other = feeds.ChangeFeed(2)
    other.register(dataclasses.replace(_READY, upstream='u2'), 0.0)
    replica = asyncio.create_task(feed.wait(0, 30.0, is_replica=True))
    await asyncio.sleep(0)
    request = create_request(other, 0, is_replica=True)
    feed.merge_batch(other.collect(request, 0.0), 0.0)
    await asyncio.sleep(0)
    feed.register(_READY, 0.0)
    async with asyncio.timeout(feeds.RELAY_DELAY_SECONDS / 2):
        await replica


async def test_what_only_replicas_get_wakes_no_host():
    """Guards against an answer to each host for what it does not get."""
    feed = feeds.ChangeFeed(1)
    host = asyncio.create_task(feed.wait(0, 30.0))
    replica = asyncio.create_task(feed.wait(0, 30.0, is_replica=True))
    await asyncio.sleep(0)
    feed.wake_replicas()
    async with asyncio.timeout(feeds.RELAY_DELAY_SECONDS / 2):
        await replica
    assert not host.done()
    host.cancel()


def test_many_changes_are_split_into_answers_of_limited_size():
    """Guards against answers that a slow link does not transfer in time."""
    feed = feeds.ChangeFeed(7)
    expected = [f'u{number}' for number in range(2 * positions.MAX_ROWS + 1)]
    rows = [
        dataclasses.replace(_READY, upstream=name, address=f'10.0.0.1:{place}')
        for place, name in enumerate(expected, start=1)
    ]
    encoded_rows = [records.to_row(row) for row in rows]
    batch = messages.structs.ChangeBatch(rows=encoded_rows, heard=[])
    feed.merge_batch(batch, 0.0)
    received = []
    position = 0
    for _ in range(3):
        batch = feed.collect(create_request(feed, position), 0.0)
        assert len(batch.rows) <= positions.MAX_ROWS
        received.extend(row.upstream for row in batch.rows)
        position = batch.position
    assert received == expected
    assert position == feed.position
    assert not feed.collect(create_request(feed, position), 0.0).rows
