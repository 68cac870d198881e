"""Contract tests of the format of heartbeats and departures."""

import json

import pytest

from wagtailspread.platform import heartbeats, values
from wagtailspread.registry import records

_HEARTBEAT = {
    'service': 'sa',
    'address': '10.128.0.9:8080',
    'zone': 'andes-bog',
    'version': 'v1',
    'concurrency': 6,
    'state': 'ready',
    'warmupLeft': '1500ms',
    'seq': 4,
    'born': 1700000000000,
}


def decode(**changes):
    """Return the record of a heartbeat with changed fields."""
    body = json.dumps({**_HEARTBEAT, **changes}).encode()
    return heartbeats.decode('u1', body)


def test_a_heartbeat_is_decoded():
    """Guards against decoding a field into the wrong attribute or unit."""
    assert decode() == records.UpstreamRecord(
        upstream='u1',
        service='sa',
        address='10.128.0.9:8080',
        domain='andes-bog',
        slots=6,
        state=records.UpstreamState.READY,
        born_ms=1700000000000,
        sequence=4,
        warm_seconds=1.5,
    )


@pytest.mark.parametrize(
    'changes',
    [
        {'service': None},
        {'service': ''},
        {'service': 7},
        {'address': 'example:80'},
        {'address': None},
        {'zone': []},
        {'concurrency': 0},
        {'concurrency': '6'},
        {'concurrency': True},
        {'concurrency': -1},
        {'state': 'resting'},
        {'state': {}},
        {'seq': -1},
        {'seq': 1.5},
        {'warmupLeft': 5},
        {'born': 1.5},
        {'born': 'yesterday'},
    ],
)
def test_a_heartbeat_with_a_malformed_field_is_refused(changes):
    """Guards against registering an upstream with invalid data."""
    with pytest.raises(values.FormatError):
        decode(**changes)


@pytest.mark.parametrize('body', [b'', b'null', b'\x00\xff', b'{'])
def test_a_body_that_is_no_json_object_is_refused(body):
    """Guards against an uncaught error for a malformed body."""
    with pytest.raises(values.FormatError):
        heartbeats.decode('u1', body)


def test_a_departure_may_be_empty():
    """Guards against refusing a departure without a start time."""
    assert heartbeats.decode_leave(b'') is None
    assert heartbeats.decode_leave(b'{"born": 5}') == 5
