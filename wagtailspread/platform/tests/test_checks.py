"""Tests of the check of a configuration document."""

import json

from click import testing

from wagtailspread.platform import checks


def create_document(**changes):
    """Return a document with one route."""
    route = {
        'name': 'r1',
        'pathPrefix': '/a/',
        'kind': 'safe',
        'timeout': '5000ms',
        'service': 'columns',
        'maxAttempts': 2,
    }
    return {
        'version': 7,
        'services': [{'name': 'columns', 'maxConnections': 9}],
        'tenants': [{'name': 'w1', 'apiKeys': ['secret-key-1']}],
        'virtualHosts': [{'host': 'a.example', 'pathRoutes': [route]}],
        **changes,
    }


def run(folder, new, old=None):
    """Return the exit status and the output of the check."""
    arguments = [write(folder, 'new.json', new)]
    if old is not None:
        arguments += ['--against', write(folder, 'old.json', old)]
    ended = testing.CliRunner().invoke(checks.check, arguments)
    return ended.exit_code, ended.output


def write(folder, name, document):
    """Write a document and return the path of its file."""
    path = folder / name
    path.write_text(json.dumps(document), 'utf-8')
    return str(path)


def test_good_document_is_accepted(tmp_path):
    """Guards against a check that refuses what replicas accept."""
    status, output = run(tmp_path, create_document())
    assert (status, output) == (0, 'good: 0 warnings, 0 differences\n')


def test_refused_document_is_told_with_its_reason(tmp_path):
    """Guards against a mistake that shows only when it is sent."""
    status, output = run(tmp_path, create_document(services=[]))
    assert status == checks.EXIT_REFUSED
    assert 'new.json: refused: r1: unknown-service' in output


def test_difference_from_the_document_in_force_is_told(tmp_path):
    """Guards against an older version and a shown key."""
    tenants = [{'name': 'w1', 'apiKeys': ['secret-key-1', 'secret-key-2']}]
    status, output = run(
        tmp_path, create_document(tenants=tenants), create_document()
    )
    assert status == 0
    assert 'workspace w1: keys: 1 (' in output
    assert 'version 7 is not higher than 7' in output
    assert 'secret' not in output
