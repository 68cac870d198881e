"""Contract tests of the platform's configuration format."""

import copy
import json

import pytest

from wagtailspread.platform import documents
from wagtailspread.routing import terms
from wagtailspread.workspaces import caps, keys

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


def encode_tenants(*tenants, **changes):
    """Return the document with these workspaces."""
    fields = {**json.loads(encode(**changes)), 'tenants': tenants}
    return json.dumps(fields).encode()


def create_tenant(**changes):
    """Return a workspace with two keys as the platform describes it."""
    tenant = {
        'name': 'w1',
        'apiKeys': ['k1', 'k2'],
        'priority': 1,
        'ratePerS': 174,
        'burst': 0.5,
    }
    return {**tenant, **changes}


def test_workspaces_are_decoded():
    """Guards against a wrong cap, and against keys kept as plain text."""
    bare = {'name': 'w2', 'apiKeys': []}
    settings = documents.read_valid(encode_tenants(create_tenant(), bare))
    first, second = settings.workspaces
    assert first.name == 'w1'
    assert first.digests == (
        keys.compute_digest('k1'),
        keys.compute_digest('k2'),
    )
    assert first.priority == 1
    assert first.cap == caps.Cap(rate=174, burst=0.5, version=7)
    assert (second.priority, second.cap.is_limited) == (None, False)
    assert 'k1' not in repr(settings)


@pytest.mark.parametrize(
    ('changes', 'is_allowed'),
    [
        ({}, False),
        ({'allowAnonymous': None}, False),
        ({'allowAnonymous': False}, False),
        ({'allowAnonymous': True}, True),
    ],
)
def test_a_route_allows_anonymous_requests_if_it_says_so(changes, is_allowed):
    """Guards against requests without a key on a route that needs one."""
    (route,) = documents.read_valid(encode(**changes)).routes
    assert route.allows_anonymous == is_allowed


@pytest.mark.parametrize('tenants', [None, []])
def test_a_document_without_workspaces_is_valid(tenants):
    """Guards against refusing an empty list or a null."""
    fields = {**json.loads(encode()), 'tenants': tenants}
    settings = documents.read_valid(json.dumps(fields).encode())
    assert settings.workspaces == ()


@pytest.mark.parametrize('flag', ['true', 1, 0, []])
def test_an_anonymous_flag_of_another_type_is_refused(flag):
    """Guards against taking a text or a number as a permission."""
    assert documents.read_valid(encode(allowAnonymous=flag)) is None


@pytest.mark.parametrize(
    'changes',
    [
        {'name': None},
        {'name': ''},
        {'name': 7},
        {'name': 'a\r\nb'},
        {'name': 'a' * 256},
        {'apiKeys': None},
        {'apiKeys': 'k1'},
        {'apiKeys': [7]},
        {'apiKeys': ['k1', None]},
        {'apiKeys': ['']},
        {'apiKeys': ['\ud800']},
        {'priority': '1'},
        {'priority': True},
        {'priority': -1},
        {'priority': 0.5},
        {'priority': 40_000},
        {'ratePerS': -0.1},
        {'ratePerS': '5'},
        {'ratePerS': True},
        {'ratePerS': []},
        {'burst': -1},
        {'burst': '5'},
        {'burst': float('inf')},
    ],
)
def test_an_invalid_workspace_is_refused(changes):
    """Guards against acknowledging a document that cannot be applied."""
    tenant = create_tenant(**changes)
    assert documents.read_valid(encode_tenants(tenant)) is None


@pytest.mark.parametrize(
    'other',
    [
        {'name': 'w1', 'apiKeys': ['k3']},
        {'name': 'w2', 'apiKeys': ['k3', 'k1']},
    ],
)
def test_ambiguous_workspaces_are_refused(other):
    """Guards against requests that belong to either of two workspaces."""
    body = encode_tenants(create_tenant(), create_tenant(**other))
    assert documents.read_valid(body) is None


def test_a_workspace_may_list_a_key_twice():
    """Guards against refusing a key that is repeated in one workspace."""
    body = encode_tenants(create_tenant(apiKeys=['k1', 'k1']))
    (workspace,) = documents.read_valid(body).workspaces
    assert workspace.digests == (keys.compute_digest('k1'),)


@pytest.mark.parametrize('tenants', [{}, 'w1', 7, True, [7], [['w1']]])
def test_a_list_of_workspaces_of_another_type_is_refused(tenants):
    """Guards against serving without keys for a malformed list."""
    fields = {**json.loads(encode()), 'tenants': tenants}
    assert documents.read_valid(json.dumps(fields).encode()) is None


@pytest.mark.parametrize(
    'found', ['secret', ['secret', 7], ['secret', ''], {'secret': 1}]
)
def test_an_error_about_keys_contains_no_key(found):
    """Guards against keys in log lines about malformed documents."""
    with pytest.raises(ValueError, match='apiKeys') as caught:
        documents.decode(encode_tenants(create_tenant(apiKeys=found)))
    assert 'secret' not in str(caught.value)


@pytest.mark.parametrize('timeout_ms', range(100, 10_000, 50))
def test_an_objective_a_minute_above_the_timeout_is_invalid(timeout_ms):
    """Guards against an invalid configuration that rounding makes valid."""
    objective_ms = timeout_ms + 60_000
    for excess_ms, is_valid in ((0, False), (-1, True)):
        body = encode(
            timeout=f'{timeout_ms}ms',
            sloLatency=f'{objective_ms + excess_ms}ms',
        )
        assert (documents.read_valid(body) is not None) == is_valid
