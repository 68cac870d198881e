"""Rows that cannot be sent or read cost only themselves."""

import dataclasses

import pytest

from wagtailspread.registry import feeds, positions, records
from wagtailspread.wire import messages

_SOUND = records.UpstreamRecord(
    upstream='sound',
    service='columns',
    address='10.0.0.1:80',
    domain='north',
    slots=6,
    state=records.UpstreamState.READY,
    born_ms=1000,
    sequence=4,
)


def follow(feed):
    """Return the batch that a new replica receives."""
    request = messages.structs.FollowChanges(
        is_replica=True, epoch=positions.NO_EPOCH, position=0
    )
    return messages.decode(
        messages.structs.ChangeBatch,
        messages.encode(feed.collect(request, 0.0)),
    )


@pytest.mark.parametrize(
    'changes',
    [
        {'born_ms': 2**70},
        {'sequence': 2**63},
        {'slots': 2**40},
        {'warm_seconds': float('inf')},
        {'warm_seconds': 1e10},
        {'service': '\ud800'},
        {'address': '10.0.0.2:99999'},
    ],
    ids=str,
)
def test_a_record_out_of_range_is_left_out_of_answers(changes):
    """Guards against an answer that fails for each follower."""
    feed = feeds.ChangeFeed(1)
    feed.register(_SOUND, 0.0)
    odd = dataclasses.replace(_SOUND, upstream='odd', address='10.0.0.2:80')
    feed.register(dataclasses.replace(odd, **changes), 0.0)
    assert [row.upstream for row in follow(feed).rows] == ['sound']


@pytest.mark.parametrize(
    'changes',
    [
        {'state': 9},
        {'state': None},
        {'warm_ms': None},
        {'born_ms': None},
        {'upstream': None},
        {'slots': 0},
        {'address': '10.0.0.2:0'},
    ],
    ids=str,
)
def test_a_malformed_row_costs_only_itself(changes):
    """Guards against a follower that ends because of one row."""
    row = records.to_row(dataclasses.replace(_SOUND, upstream='odd'))
    for name, found in changes.items():
        setattr(row, name, found)
    batch = messages.structs.ChangeBatch(
        rows=[row, records.to_row(_SOUND)], heard=None
    )
    feed = feeds.ChangeFeed(1)
    feed.merge_batch(batch, 0.0)
    assert list(feed.table.rows) == ['sound']


def test_a_text_that_is_not_utf8_costs_only_its_row():
    """Guards against bytes where a text is expected."""
    odd = records.to_row(dataclasses.replace(_SOUND, upstream='oddity'))
    batch = messages.structs.ChangeBatch(rows=[odd, records.to_row(_SOUND)])
    payload = messages.encode(batch).replace(
        b'oddity', b'\xff\xfe\xfd\xfc\xfb\xfa'
    )
    received = messages.decode(messages.structs.ChangeBatch, payload)
    assert records.from_rows(received.rows) == [_SOUND]
