"""Tests of the settings that the platform writes for a process."""

import json

import pytest

from wagtailspread.platform import settings

_FIELDS = {
    'nodeName': 'h1',
    'ip': '10.1.0.34',
    'zone': 'z1',
    'internalPorts': [7540, 7555],
    'seeds': [],
}


def decode(**fields):
    """Return the settings with changed fields."""
    return settings.decode(json.dumps({**_FIELDS, **fields}))


def test_limits_of_the_process_are_decoded():
    """Guards against ignoring limits or decoding them in the wrong unit."""
    found = decode(limits={'memoryMb': 200, 'linkMbps': 2.0, 'maxFds': 4100})
    assert found.memory_bytes == 200_000_000
    assert found.link_rate == 250_000


@pytest.mark.parametrize(
    'limits',
    [None, {}, [], {'memoryMb': 'much', 'linkMbps': None}, {'memoryMb': 0}],
)
def test_missing_or_malformed_limits_are_ignored(limits):
    """Guards against a process that does not start without limits."""
    found = decode(limits=limits)
    assert found.memory_bytes is None
    assert found.link_rate is None
