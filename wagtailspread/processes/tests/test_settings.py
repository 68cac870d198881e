"""Tests that settings files are read, and errors located in them."""

import pathlib

import pytest

from wagtailspread.processes import settings

VALID = """\
[process]
member = andino
host = h1
region = centro-andes
domain = andes-bog
key_file = andino.pem

[entry]
caller_address = 127.0.0.1:8080
control_address = 127.0.0.1:7000
replicas = 127.0.0.1:7001 127.0.0.1:7002
drain = 2s
"""

ERRORS = (
    ('region = centro-andes\n', '', 1, 'region', 'missing-key'),
    ('host = h1', 'hots = h1', 3, 'hots', 'unknown-key'),
    ('drain = 2s', 'drain = 2', 12, 'drain', 'wrong-unit'),
    ('drain = 2s', 'drain = 2h', 12, 'drain', 'out-of-range'),
    ('[entry]', '[entri]', 8, '[entri]', 'unknown-section'),
    ('127.0.0.1:8080', 'localhost', 9, 'caller_address', 'bad-value'),
    ('127.0.0.1:7002', '127.0.0.1:x', 11, 'replicas', 'bad-value'),
    ('host = h1', 'host = h1\nlog_level = LOUD', 4, 'log_level', 'bad-value'),
    (
        '[entry]',
        '[trust andino]\npublic_key = AAAA\n[entry]',
        9,
        'public_key',
        'bad-value',
    ),
)


def test_valid_settings_are_read():
    """Guards against values that are read without their unit or list."""
    read = settings.parse_settings('h1.ini', VALID).unwrap()
    assert read.entry.drain == pytest.approx(2)
    assert read.entry.replicas == ('127.0.0.1:7001', '127.0.0.1:7002')
    assert read.replica is None


@pytest.mark.parametrize(('old', 'new', 'line', 'key', 'kind'), ERRORS)
def test_error_is_reported_with_file_line_and_key(old, new, line, key, kind):
    """Guards against a process that starts with settings it cannot read."""
    assert old in VALID
    parsed = settings.parse_settings('h1.ini', VALID.replace(old, new))
    found = [
        (finding.file, finding.line, finding.key, finding.kind.value)
        for finding in parsed.failure()
    ]
    assert ('h1.ini', line, key, kind) in found


def test_settings_without_a_role_are_refused():
    """Guards against a process that starts without any role to run."""
    text = VALID[: VALID.index('[entry]')]
    found = settings.parse_settings('h1.ini', text).failure()
    assert [finding.kind.value for finding in found] == ['missing-section']


@pytest.mark.parametrize('site', ('andino', 'penang'))
@pytest.mark.parametrize('role', ('entry', 'replica'))
def test_sample_settings_are_valid(site, role):
    """Guards against sample files that the program refuses."""
    path = pathlib.Path('samples') / site / f'{role}.ini'
    read = settings.load_settings(path).unwrap()
    assert getattr(read, role) is not None
    assert len(read.trusted_keys) == 2
