"""Every fault in a file is reported with its location and expected value."""

import hypothesis
import pytest

from hypothesis import strategies as st
from returns import pipeline

from wagtailspread.configuration import checks, files, findings, loaders
from wagtailspread.configuration.tests import builders

VALID_BASE = """[fleet]
name = columnas
[member a]
public_key = KEY
[region r]
domains = d1, d2
hosts = 4
link = 30Mbit/s
[service vitrina]
floor = 60%
deadline = 2s
share_urgent = 60%
share_standard = 30%
share_bulk = 10%
[route columns]
service = vitrina
path = /columns
methods = GET HEAD
""".replace('KEY', builders.write_member('a').split()[-1])


def check(base, overlay=''):
    """Return the findings on a base file and an overlay of member a."""
    parsed = files.parse_file('base.ini', base)
    if not overlay:
        checked = parsed.bind(checks.check_files)
    else:
        other = files.parse_file('overlay-a.ini', overlay).unwrap()
        checked = checks.check_files(parsed.unwrap(), (other,))
    return checked.failure()


def test_valid_file_is_accepted():
    """Guards the cases below against findings in the unchanged file."""
    parsed = files.parse_file('base.ini', VALID_BASE).unwrap()
    assert list(checks.check_files(parsed).unwrap()) == ['a']


# Columns: text replaced, new text, line, key, kind, part of 'expected'.
FAULTS = [
    ('[fleet]', '[flet]', 1, '[flet]', 'unknown-section', 'fleet (nearest'),
    ('[fleet]', '[fleet x]', 1, '[fleet x]', 'unknown-section', '[fleet]'),
    ('[fleet]\nname = columnas\n', '', 0, '[fleet]', 'missing-section', ''),
    ('name = columnas', 'nam = columnas', 2, 'nam', 'unknown-key', 'name (n'),
    ('name = columnas', '', 1, 'name', 'missing-key', 'the name'),
    ('floor =', 'flor =', 10, 'flor', 'unknown-key', 'floor (nearest name)'),
    ('floor = 60%', 'floor = 0.6', 10, 'floor', 'wrong-unit', 'in %'),
    ('floor = 60%', 'floor = 60s', 10, 'floor', 'wrong-unit', 'in %'),
    ('floor = 60%', 'floor = 101%', 10, 'floor', 'impossible-limit', '100%'),
    ('floor = 60%', 'floor = -1%', 10, 'floor', 'bad-value', 'a share'),
    ('floor = 60%', 'floor = 60% # x', 10, 'floor', 'bad-value', 'a share'),
    ('bulk = 10%', 'bulk = 11%', 14, 'share_bulk', 'impossible-limit', '100%'),
    ('= 2s', '= 2', 11, 'deadline', 'wrong-unit', 'ms, s'),
    ('= 2s', '= 5ms', 11, 'deadline', 'out-of-range', '10ms to 1h'),
    ('= 2s', '= 61min', 11, 'deadline', 'out-of-range', '10ms to 1h'),
    ('= 2s', '=', 11, 'deadline', 'bad-value', 'a duration'),
    (
        '= 2s',
        '= 2min\nkey_lifetime = 1min',
        12,
        'key_lifetime',
        'impossible-limit',
        'above the deadline',
    ),
    ('hosts = 4', 'hosts = 4.5', 7, 'hosts', 'bad-value', 'whole'),
    ('hosts = 4', 'hosts = 0', 7, 'hosts', 'out-of-range', 'from 1'),
    ('hosts = 4\n', '', 5, 'hosts', 'missing-key', 'whole'),
    ('30Mbit/s', '30MB/s', 8, 'link', 'wrong-unit', 'Mbit/s'),
    ('d1, d2', 'd1, d1', 6, 'domains', 'duplicate', 'once'),
    ('floor', '[region r]\nfloor', 10, '[region r]', 'duplicate', 'once'),
    ('floor = 60%', 'floor = 60%\nfloor = 60%', 11, 'floor', 'duplicate', ''),
    ('floor = 60%', 'floor', 10, '', 'malformed', 'key = value'),
    ('[service vitrina]', '[service Vi!]', 9, '[service Vi!]', 'malformed', ''),
    ('floor', '\x00floor', 10, '', 'malformed', 'printable'),
    ('[fleet]', 'x = 1\n[fleet]', 1, '', 'malformed', '[section]'),
    ('public_key = ', 'public_key = !', 4, 'public_key', 'bad-value', '32'),
    ('public_key = ', 'public_key = QQ==', 4, 'public_key', 'bad-value', '32'),
    ('service = v', 'service = w', 16, 'service', 'unknown-name', 'vitrina (n'),
    ('/columns', 'columns', 17, 'path', 'bad-value', 'absolute'),
    ('/columns', '/a/../b', 17, 'path', 'bad-value', 'dot segments'),
    ('/columns', '/-/ready', 17, 'path', 'overlapping-routes', 'outside /-/'),
    ('GET HEAD', 'GET FETCH', 18, 'methods', 'bad-value', 'PATCH'),
    ('GET HEAD', 'POST', 15, 'idempotent', 'missing-key', 'yes or no'),
    ('GET HEAD', 'GET\nidempotent = 1', 19, 'idempotent', 'bad-value', 'yes'),
    ('GET HEAD', 'GET\npriority = high', 19, 'priority', 'bad-value', 'bulk'),
    (
        '[route columns]',
        '[service extra]\n[route columns]',
        15,
        '[service extra]',
        'service-without-route',
        '[route NAME]',
    ),
    (
        '[route columns]',
        '[route b]\nservice = vitrina\npath = /columns/\n[route columns]',
        20,
        'path',
        'overlapping-routes',
        '[route b]',
    ),
    (
        '[region r]',
        f'{builders.write_member("b", key_name="a")}[region r]',
        6,
        'public_key',
        'duplicate',
        '[member a]',
    ),
]


@pytest.mark.parametrize(
    ('old', 'new', 'line', 'key', 'kind', 'expected'),
    FAULTS,
)
def test_fault_in_base_file(old, new, line, key, kind, expected):
    """Guards against a fault that is accepted or has a wrong location."""
    assert old in VALID_BASE
    reported = check(VALID_BASE.replace(old, new, 1))
    locations = {
        (finding.file, finding.line, finding.key, finding.kind.value)
        for finding in reported
    }
    assert ('base.ini', line, key, kind) in locations
    assert any(
        expected in finding.expected
        for finding in reported
        if finding.key == key
    )


@pytest.mark.parametrize(
    ('overlay', 'line', 'key', 'kind', 'expected'),
    [
        ('[route x]\n', 1, '[route x]', 'unknown-section', 'a section'),
        ('[member b]\n', 1, '[member b]', 'unknown-section', 'a section'),
        (
            '[service vitrina]\nfloor = 1%\n',
            2,
            'floor',
            'not-overridable',
            'share_urgent',
        ),
        (
            '[service vitrina]\n\nshare_bulk = 50%\n',
            3,
            'share_bulk',
            'impossible-limit',
            '100%',
        ),
        (
            '[service vitrin]\n',
            1,
            '[service vitrin]',
            'unknown-name',
            'vitrina (nearest name)',
        ),
        ('[leave]\nwhen = now\n', 2, 'when', 'unknown-key', 'no key'),
    ],
)
def test_fault_in_overlay(overlay, line, key, kind, expected):
    """Guards against a fault that is accepted or has a wrong location."""
    (finding,) = check(VALID_BASE, overlay)
    location = (finding.file, finding.line, finding.key, finding.kind.value)
    assert location == ('overlay-a.ini', line, key, kind)
    assert expected in finding.expected


def test_overlay_of_an_unknown_member():
    """Guards against limits for a site that is not a member."""
    base = files.parse_file('base.ini', VALID_BASE).unwrap()
    other = files.parse_file('overlay-z.ini', '[service vitrina]\n').unwrap()
    (finding,) = checks.check_files(base, (other,)).failure()
    assert finding.kind is findings.FindingKind.UNKNOWN_FILE


def test_all_faults_are_reported_at_once():
    """Guards against a check that stops at the first fault."""
    broken = (
        VALID_BASE.replace('2s', '2').replace('= 4', '= x').replace('GET', 'G')
    )
    assert [finding.key for finding in check(broken)] == [
        'hosts',
        'deadline',
        'methods',
    ]


def test_reused_sections_report_their_new_lines():
    """Guards against outdated line numbers after a section has moved."""
    before = files.parse_file('base.ini', VALID_BASE).unwrap()
    moved = files.parse_file('base.ini', f'# one\n# two\n{VALID_BASE}', before)
    after = moved.unwrap()
    section = after.find('service vitrina')
    assert section.body is before.find('service vitrina').body
    assert section.line_of('floor') == 12


PIECES = st.sampled_from(
    [
        *VALID_BASE.splitlines(),
        '[',
        ']',
        '[]',
        ' x',
        '=',
        ':',
        '[a]b=1',
        '#',
        '\t',
    ],
)
LINES = st.lists(PIECES | st.text(max_size=8), max_size=25)


@hypothesis.given(LINES.map('\n'.join), LINES.map('\n'.join))
def test_any_text_is_accepted_or_refused(base, overlay):
    """Guards against a text that crashes every replica with an exception."""
    texts = {'base.ini': base, 'overlay-a.ini': overlay, 'members.ini': overlay}
    for finding in loaders.load_settings(texts).swap().value_or(()):
        assert finding.describe()
    parsed = files.parse_file('base.ini', base)
    headers = files.split_text(files.normalise_text(base))
    if pipeline.is_successful(parsed):
        parsed_headers = list(parsed.unwrap().by_header)
        assert parsed_headers == [header for header in headers if header]
        assert parsed.unwrap().parts == headers


def test_broken_members_file():
    """Guards against an exception at an edited members file."""
    texts = {'base.ini': VALID_BASE, 'members.ini': '[member a]\nkey = x\n'}
    (finding,) = loaders.load_settings(texts).failure()
    assert finding.file == 'members.ini'
