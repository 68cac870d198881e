"""Settings files of processes are checked with file, line and key."""

import pathlib

import pytest

from wagtailspread.processes import settings

GOOD = """\
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

FAULTS = (
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


def test_good_settings_are_read():
    read = settings.parse_settings('h1.ini', GOOD).unwrap()
    assert read.entry.drain == pytest.approx(2)
    assert read.entry.replicas == ('127.0.0.1:7001', '127.0.0.1:7002')
    assert read.replica is None


@pytest.mark.parametrize(('old', 'new', 'line', 'key', 'kind'), FAULTS)
def test_fault_is_reported_with_its_place(old, new, line, key, kind):
    """Guards against a process that starts with half-understood settings."""
    assert old in GOOD
    found = settings.parse_settings('h1.ini', GOOD.replace(old, new))
    shown = [
        (one.file, one.line, one.key, one.kind.value) for one in found.failure()
    ]
    assert ('h1.ini', line, key, kind) in shown


def test_file_without_a_role_is_refused():
    """Guards against a process that starts and does nothing."""
    text = GOOD[: GOOD.index('[entry]')]
    found = settings.parse_settings('h1.ini', text).failure()
    assert [one.kind.value for one in found] == ['missing-section']


@pytest.mark.parametrize('site', ('andino', 'penang'))
@pytest.mark.parametrize('role', ('entry', 'replica'))
def test_sample_settings_are_good(site, role):
    """Guards against documented samples that the program refuses."""
    path = pathlib.Path('samples') / site / f'{role}.ini'
    read = settings.load_settings(path).unwrap()
    assert getattr(read, role) is not None
    assert len(read.trusted_keys) == 2
