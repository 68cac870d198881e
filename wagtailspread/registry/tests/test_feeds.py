"""Tests of the changes that a replica passes on."""

import asyncio
import dataclasses

from wagtailspread.registry import feeds, records
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


def note(feed, host, position, now, *, is_replica=False):
    """Note what a follower has seen."""
    feed.update_follower(
        host,
        feeds.FollowerState(f'{host}:1', 'north', is_replica, position, now),
    )


def test_a_follower_gets_each_change_once():
    """Guards against full tables in each answer."""
    feed = feeds.ChangeFeed(7)
    feed.register(_READY, 0.0)
    first = feed.collect(create_request(feed, 0), 0.0)
    assert [row.upstream for row in first.rows] == ['u1']
    second = feed.collect(create_request(feed, first.position), 0.0)
    assert second.rows == []


def test_a_follower_of_an_earlier_start_gets_everything():
    """Guards against a gap after a replica has restarted."""
    feed = feeds.ChangeFeed(7)
    feed.register(_READY, 0.0)
    request = create_request(feed, 1_000_000, epoch=6)
    assert len(feed.collect(request, 0.0).rows) == 1


def test_what_another_replica_heard_is_passed_on():
    """Guards against a departure that stays with the replica it was told."""
    there = feeds.ChangeFeed(1)
    there.register(_READY, 0.0)
    there.register(
        dataclasses.replace(_READY, state=records.UpstreamState.GONE),
        0.0,
    )
    here = feeds.ChangeFeed(2)
    request = create_request(there, 0, is_replica=True)
    here.merge_batch(there.collect(request, 0.0), 5.0)
    passed_on = here.collect(create_request(here, 0), 5.0)
    assert [row.state for row in passed_on.rows] == [2]


def test_signs_of_life_reach_other_replicas_without_rows():
    """Guards against upstreams that seem silent at the replicas they skip."""
    there = feeds.ChangeFeed(1)
    there.register(_READY, 0.0)
    here = feeds.ChangeFeed(2)
    first = there.collect(create_request(there, 0, is_replica=True), 0.0)
    here.merge_batch(first, 0.0)
    there.register(dataclasses.replace(_READY, sequence=9), 6.0)
    request = create_request(there, first.position, is_replica=True)
    batch = there.collect(request, 6.0)
    assert batch.rows == []
    here.merge_batch(batch, 6.0)
    assert here.table.list_silent(6.0) == []


def test_a_departure_has_spread_when_every_live_follower_has_seen_it():
    """Guards against confirming a departure that a host does not know."""
    feed = feeds.ChangeFeed(1)
    feed.register(_READY, 0.0)
    position = feed.position
    note(feed, 'h1', position - 1, 0.0)
    note(feed, 'r2', position, 0.0, is_replica=True)
    assert not feed.is_propagated(position, 1, 0.0)
    note(feed, 'h1', position, 0.1)
    assert feed.is_propagated(position, 1, 0.1)
    assert not feed.is_propagated(position, 2, 0.1)


def test_a_follower_that_failed_does_not_hold_up_a_departure():
    """Guards against departures that are never confirmed after a crash."""
    feed = feeds.ChangeFeed(1)
    note(feed, 'h1', 0, 0.0)
    feed.register(_READY, 5.0)
    note(feed, 'r2', feed.position, 5.0, is_replica=True)
    assert feed.is_propagated(feed.position, 1, 5.0)


async def test_a_waiting_follower_is_woken_by_a_change():
    """Guards against changes that wait for the end of a long poll."""
    feed = feeds.ChangeFeed(1)
    waiting = asyncio.create_task(feed.wait(0, 30.0))
    await asyncio.sleep(0)
    feed.register(_READY, 0.0)
    async with asyncio.timeout(1):
        await waiting


async def test_replicas_get_what_came_from_another_one_a_little_later():
    """Guards against answers between regions that say nothing new.

    Load pattern: upstreams start one after the other. Each replica passed each
    of them on at once to all others, which knew it already.
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


async def test_replicas_get_what_was_told_here_at_once():
    """Guards against a departure that other regions learn too late."""
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


def test_many_changes_come_in_answers_of_bounded_size():
    """Guards against answers that a slow link does not carry in time."""
    feed = feeds.ChangeFeed(7)
    expected = [f'u{number}' for number in range(2 * feeds.MAX_ROWS + 1)]
    rows = [
        dataclasses.replace(_READY, upstream=name, address=f'10.0.0.1:{place}')
        for place, name in enumerate(expected)
    ]
    learnt = [records.to_row(row) for row in rows]
    batch = messages.structs.ChangeBatch(rows=learnt, heard=[])
    feed.merge_batch(batch, 0.0)
    told = []
    position = 0
    for _ in range(3):
        batch = feed.collect(create_request(feed, position), 0.0)
        assert len(batch.rows) <= feeds.MAX_ROWS
        told.extend(row.upstream for row in batch.rows)
        position = batch.position
    assert told == expected
    assert position == feed.position
    assert not feed.collect(create_request(feed, position), 0.0).rows
