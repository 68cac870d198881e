"""Contract tests of the platform's configuration format."""

import copy
import json

import pytest

from wagtailspread.platform import documents
from wagtailspread.routing import terms

_DOCUMENT = {
    'version': 7,
    'services': [
        {
            'name': 'sa',
            'healthPath': '/health',
            'maxConnections': 390,
            'protocol': 'h1',
            'tls': False,
        },
    ],
    'limits': {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 67108864,
        'headerTimeout': '3000ms',
        'idleTimeout': '15000ms',
    },
    'virtualHosts': [
        {
            'host': 'a.example',
            'pathRoutes': [
                {
                    'name': 'r1',
                    'pathPrefix': '/a/',
                    'kind': 'safe',
                    'timeout': '5000ms',
                    'sloLatency': '2000ms',
                    'priority': 0,
                    'trafficSplit': [{'service': 'sa', 'weight': 90}],
                    'maxAttempts': 2,
                },
            ],
        },
    ],
}


def encode(**changes):
    """Return the document with changed fields of its route."""
    changed = copy.deepcopy(_DOCUMENT)
    changed['virtualHosts'][0]['pathRoutes'][0].update(changes)
    return json.dumps(changed).encode()


def test_a_document_is_decoded():
    """Guards against decoding a field into the wrong attribute or unit."""
    settings = documents.read_valid(encode())
    (route,) = settings.routes
    assert settings.version == 7
    assert settings.connections == {'sa': 390}
    assert settings.limits.idle_seconds == 15
    assert route.kind is terms.RequestKind.SAFE
    assert (route.timeout, route.objective) == (5, 2)
    assert route.parts == (terms.SplitPart('sa', 90),)


@pytest.mark.parametrize(
    'changes',
    [
        {'trafficSplit': [{'service': 'sx', 'weight': 1}]},
        {'trafficSplit': [{'service': 'sa', 'weight': 0}]},
        {'trafficSplit': [{'service': 'sa', 'weight': -1}]},
        {'trafficSplit': 'sa'},
        {'trafficSplit': None, 'service': 'sx'},
        {'sloLatency': '65s'},
        {'maxAttempts': 0},
        {'maxAttempts': '2'},
        {'pathPrefix': 'a/'},
        {'kind': 'other'},
        {'timeout': 5000},
        {'timeout': '0ms'},
        {'name': None},
    ],
)
def test_an_invalid_document_is_refused(changes):
    """Guards against acknowledging a document that cannot be applied."""
    assert documents.read_valid(encode(**changes)) is None


@pytest.mark.parametrize('end', range(0, len(encode()), 37))
def test_a_truncated_document_is_refused(end):
    """Guards against applying a part of a document."""
    assert documents.read_valid(encode()[:end]) is None


@pytest.mark.parametrize(
    'body',
    [b'', b'[]', b'7', b'\xff\xfe', b'{"version":1}', b'[' * 100_000],
)
def test_a_body_that_is_no_document_is_refused(body):
    """Guards against an uncaught error for a malformed body."""
    assert documents.read_valid(body) is None


def test_unknown_fields_are_ignored():
    """Guards against refusing documents of a newer platform."""
    assert documents.read_valid(encode(novelty={'x': 1})) is not None


@pytest.mark.parametrize('priority', ['high', [], True, '1'])
def test_a_priority_that_is_no_number_is_refused(priority):
    """Guards against an uncaught error for a priority of another type."""
    assert documents.read_valid(encode(priority=priority)) is None
