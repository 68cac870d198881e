"""Entries of another writer: odd values, nesting and ranges."""

import json

import pytest

from hypothesis import given
from hypothesis import strategies as st

from wagtailspread.platform import documents, heartbeats, settings, values
from wagtailspread.testing import fuzz_targets

_HEARTBEAT = {
    'service': 'sa',
    'address': '10.128.0.9:8080',
    'zone': 'andes-bog',
    'concurrency': 6,
    'state': 'ready',
    'warmupLeft': '1500ms',
    'seq': 4,
    'born': 1700000000000,
}
_ROUTE = {
    'name': 'r1',
    'pathPrefix': '/a/',
    'kind': 'safe',
    'priority': 1,
    'maxAttempts': 2,
    'service': 'sa',
    'timeout': '2s',
}
_JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(st.characters(codec=None, exclude_categories=())),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


def encode(fields, **changes):
    """Return a JSON body with changed fields."""
    return json.dumps({**fields, **changes}).encode()


@pytest.mark.parametrize(
    'changes',
    [
        {'seq': 2**70},
        {'born': 2**70},
        {'born': 2**63},
        {'warmupLeft': '1' * 400 + 's'},
        {'warmupLeft': '9999999999s'},
        {'address': '10.0.0.1:99999'},
        {'address': '10.0.0.1:0'},
        {'address': '999.0.0.1:80'},
        {'address': '0.0.0.0:80'},
        {'address': '224.0.0.1:80'},
        {'address': '١٠.0.0.1:80'},
        {'service': '\ud800'},
        {'service': 'x' * 256},
        {'zone': 'a\nb'},
        {'concurrency': 10**400},
    ],
    ids=str,
)
def test_a_heartbeat_out_of_range_is_refused(changes):
    """Guards against a row that no process can encode or connect to."""
    body = json.dumps({**_HEARTBEAT, **changes}).encode()
    with pytest.raises(values.FormatError):
        heartbeats.decode('u1', body)


@pytest.mark.parametrize('upstream', ['', 'x' * 256, 'a\r\nb', '\ud800'])
def test_a_heartbeat_of_an_odd_id_is_refused(upstream):
    """Guards against an id that cannot be sent in a header."""
    with pytest.raises(values.FormatError):
        heartbeats.decode(upstream, encode(_HEARTBEAT))


@pytest.mark.parametrize('depth', [100, 900, 100_000])
@pytest.mark.parametrize(
    'decode',
    [
        lambda body: heartbeats.decode('u1', body),
        heartbeats.decode_leave,
        documents.decode,
        settings.decode,
    ],
)
def test_deep_nesting_is_refused_at_any_stack_depth(decode, depth):
    """Guards against a body that one process accepts and another refuses."""
    nested = '[' * depth + ']' * depth
    body = encode(_HEARTBEAT)[:-1] + f',"more":{nested}}}'.encode()
    with pytest.raises(values.FormatError):
        decode(body)


@pytest.mark.parametrize(
    'changes',
    [
        {'priority': 10**400},
        {'priority': 40_000},
        {'maxAttempts': 2**40},
        {'timeout': '1' * 400 + 's'},
        {'pathPrefix': '/\ud800/'},
        {'trafficSplit': [{'service': 'sa', 'weight': 10**400}]},
        {'trafficSplit': [{'service': 'sa', 'weight': 1e300}]},
    ],
    ids=str,
)
def test_a_route_out_of_range_makes_a_configuration_invalid(changes):
    """Guards against a route whose requests cannot be placed."""
    assert documents.read_valid(create_document(**changes)) is None


def test_a_version_that_no_replica_can_store_is_invalid():
    """Guards against a put that fails at the leader instead of here."""
    body = create_document().replace(b'"version": 7', b'"version": %d' % 2**70)
    assert documents.read_valid(create_document()) is not None
    assert documents.read_valid(body) is None


def create_document(**changes):
    """Return a configuration with one route, with changed fields."""
    hosts = [{'host': 'a.example', 'pathRoutes': [{**_ROUTE, **changes}]}]
    services = [{'name': 'sa', 'maxConnections': 330}]
    document = {'version': 7, 'services': services, 'virtualHosts': hosts}
    return json.dumps(document).encode()


@pytest.mark.parametrize(
    'changes',
    [
        {'internalPorts': ['abc']},
        {'internalPorts': [99999]},
        {'internalPorts': {}},
        {'zones': ['north']},
        {'zones': {'north': 5}},
        {'bounds': 'drain=2s'},
        {'seeds': 'a'},
        {'faultTolerance': [2]},
        {'faultTolerance': {'machines': 'two'}},
        {'dataDir': 5},
        {'nodeName': '\ud800'},
    ],
    ids=str,
)
def test_settings_of_a_wrong_type_are_refused(changes):
    """Guards against errors that name no field."""
    fields = {'nodeName': 'h', 'ip': '10.0.0.1', 'zone': 'z', 'seeds': []}
    fields['internalPorts'] = [7540]
    assert settings.decode(encode(fields)).link_port == 7540
    with pytest.raises(values.FormatError):
        settings.decode(encode(fields, **changes))


def test_settings_that_are_no_text_are_refused():
    """Guards against an error of the decoder of texts."""
    with pytest.raises(values.FormatError):
        settings.decode(b'\xff\xfe{}')


@given(body=st.binary() | _JSON.map(lambda found: json.dumps(found).encode()))
def test_any_body_is_refused_or_accepted(body):
    """Guards against input that ends a task with another error."""
    for run in (
        fuzz_targets.run_heartbeat,
        fuzz_targets.run_document,
        fuzz_targets.run_settings,
        fuzz_targets.run_announcement,
    ):
        run(body)


@given(
    field=st.sampled_from(sorted(_HEARTBEAT)),
    found=_JSON,
)
def test_an_odd_field_costs_only_its_own_entry(field, found):
    """Guards against an entry that stops the registry of a fleet."""
    fuzz_targets.run_heartbeat(
        json.dumps({**_HEARTBEAT, field: found}).encode()
    )
