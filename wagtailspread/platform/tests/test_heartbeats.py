"""Contract tests of what upstreams say of themselves."""

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
    """Return the record of a heartbeat with changes."""
    body = json.dumps({**_HEARTBEAT, **changes}).encode()
    return heartbeats.decode('u1', body)


def test_a_heartbeat_is_decoded():
    """Guards against a field that is read as something else."""
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
def test_a_heartbeat_of_another_writer_is_refused(changes):
    """Guards against an upstream that nobody meant to register."""
    with pytest.raises(values.FormatError):
        decode(**changes)


@pytest.mark.parametrize('body', [b'', b'null', b'\x00\xff', b'{'])
def test_bytes_that_are_no_heartbeat_are_refused(body):
    """Guards against a crash of the process that reads them."""
    with pytest.raises(values.FormatError):
        heartbeats.decode('u1', body)


def test_a_word_of_leave_may_be_empty():
    """Guards against refusing the departure of an upstream."""
    assert heartbeats.decode_leave(b'') is None
    assert heartbeats.decode_leave(b'{"born": 5}') == 5
