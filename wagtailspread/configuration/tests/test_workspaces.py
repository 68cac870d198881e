"""Tests of workspaces in the base file."""

import pytest

from wagtailspread.commands import renderings
from wagtailspread.configuration import (
    deltas,
    files,
    host_caps,
    key_digests,
    loaders,
)
from wagtailspread.configuration.tests import builders, test_refusals
from wagtailspread.processes import statuses
from wagtailspread.workspaces import caps

_DIGESTS = [key_digests.compute_digest(f'key{n}').hex() for n in range(4)]
_WORKSPACES = f"""[workspace acme]
keys = {_DIGESTS[0]}, {_DIGESTS[1]}
priority = urgent
rate = 12.5
burst = 40
[workspace other]
keys = {_DIGESTS[2]}
"""
_BASE = f'{test_refusals.VALID_BASE}{_WORKSPACES}'


def load(base):
    """Return the settings of a site for a base file."""
    (settings,) = loaders.load_settings({'base.ini': base}).unwrap().values()
    return settings


def test_workspaces_are_read():
    """Guards against a workspace without its keys, priority or cap."""
    acme, other = load(_BASE).workspaces
    assert (acme.name, acme.priority) == ('acme', 0)
    assert acme.digests == tuple(
        bytes.fromhex(text)[:16] for text in _DIGESTS[:2]
    )
    assert acme.cap == caps.Cap(12.5, 40.0)
    assert (other.priority, other.cap) == (None, caps.NO_CAP)
    assert load(test_refusals.VALID_BASE).workspaces == ()


# Columns: text replaced, new text, line, key, kind, part of 'expected'.
_FAULTS = [
    (_DIGESTS[0], 'secret-key', 20, 'keys', 'bad-value', 'SHA-256'),
    (_DIGESTS[0], _DIGESTS[0].upper(), 20, 'keys', 'bad-value', 'SHA-256'),
    (_DIGESTS[0], _DIGESTS[0][:62], 20, 'keys', 'bad-value', 'SHA-256'),
    (_DIGESTS[2], _DIGESTS[0], 25, 'keys', 'duplicate', '[workspace acme]'),
    (_DIGESTS[1], _DIGESTS[0], 20, 'keys', 'duplicate', 'once'),
    (f'keys = {_DIGESTS[2]}', '', 24, 'keys', 'missing-key', 'SHA-256'),
    ('urgent', 'high', 21, 'priority', 'bad-value', 'bulk'),
    ('12.5', '-1', 22, 'rate', 'bad-value', 'a number'),
    ('12.5', '5/s', 22, 'rate', 'wrong-unit', 'without a unit'),
    ('12.5', '1000001', 22, 'rate', 'out-of-range', '1000000'),
    ('burst =', 'bursts =', 23, 'bursts', 'unknown-key', 'burst (nearest'),
    ('workspace other', 'workspace acme', 24, '', 'duplicate', 'once'),
    ('[workspace other]', '[workspace]', 24, '', 'unknown-section', 'NAME'),
]


@pytest.mark.parametrize(
    ('old', 'new', 'line', 'key', 'kind', 'expected'), _FAULTS
)
def test_fault_in_a_workspace(old, new, line, key, kind, expected):
    """Guards against a fault that is accepted, or a key in a finding."""
    assert old in _WORKSPACES
    broken = _WORKSPACES.replace(old, new, 1)
    reported = test_refusals.check(f'{test_refusals.VALID_BASE}{broken}')
    assert any(
        (finding.line, finding.kind.value) == (line, kind)
        and key in finding.key
        and expected in finding.expected
        for finding in reported
    ), reported
    assert 'secret-key' not in repr(reported)


def test_an_overlay_has_no_workspaces():
    """Guards against keys that hold at one site only."""
    (finding,) = test_refusals.check(_BASE, '[workspace acme]\nrate = 1\n')
    assert finding.kind.value == 'unknown-section'


def test_a_delta_has_the_changed_workspace_only():
    """Guards against all keys on the links after the change of one."""
    changed = _BASE.replace('rate = 12.5', 'rate = 13')
    old, new = {'base.ini': _BASE}, {'base.ini': changed}
    delta = deltas.compute_delta(old, new)
    assert [section.name for section in delta.sections] == ['workspace acme']
    applied = deltas.apply_delta(old, delta)
    assert load(applied['base.ini']).workspaces[0].cap.rate == 13


def test_a_removed_workspace_is_removed_by_a_delta():
    """Guards against keys that stay in force after their removal."""
    removed = _BASE[: _BASE.index('[workspace other]')]
    old, new = {'base.ini': _BASE}, {'base.ini': removed}
    applied = deltas.apply_delta(old, deltas.compute_delta(old, new))
    assert [one.name for one in load(applied['base.ini']).workspaces] == [
        'acme'
    ]


def test_a_submission_with_a_shared_key_is_refused():
    """Guards against requests that belong to two workspaces."""
    state = builders.start('a')
    base = state.files['base.ini']
    shared = _WORKSPACES.replace(_DIGESTS[2], _DIGESTS[0])
    refused = builders.submit(state, 'a', {'base.ini': f'{base}{shared}'})
    assert builders.kinds(refused) == ['duplicate']
    accepted = builders.submit(state, 'a', {'base.ini': f'{base}{_WORKSPACES}'})
    assert accepted.status == 'accepted'


def test_settings_show_the_number_of_keys_only():
    """Guards against digests in the output of the commands."""
    parsed = files.parse_file('base.ini', _BASE)
    assert parsed.unwrap().find('workspace acme') is not None
    sites = loaders.load_settings({'base.ini': _BASE}).unwrap()
    no_cap = 'rate=unlimited burst=0'
    lines = list(renderings.format_settings(renderings.list_settings(sites)))
    assert lines[-2:] == [
        '  workspace acme: keys=2 priority=urgent rate=12.5/s burst=40',
        f'  workspace other: keys=1 priority=of the route {no_cap}',
    ]
    assert not any(digest[:16] in ''.join(lines) for digest in _DIGESTS)


def test_the_status_of_a_host_shows_names_and_numbers_only():
    """Guards against digests in a status."""
    assert statuses.describe_workspaces(load(_BASE)) == {
        'count': 2,
        'keys': 3,
        'names': ['acme', 'other'],
    }
    assert not statuses.describe_workspaces(None)['names']


def test_hosts_share_a_cap():
    """Guards against hosts that together admit more than the cap."""
    settings = load(_BASE)
    hosts = host_caps.count_hosts(settings)
    assert hosts == 4
    share = host_caps.divide_cap(settings.workspaces[0].cap, hosts, 7)
    assert share == caps.Cap(12.5 / 4, 10.0, 7)
    assert not host_caps.divide_cap(caps.NO_CAP, hosts, 7).is_limited
