"""Tests of the digests of keys."""

import pytest

from wagtailspread.workspaces import keys


@pytest.mark.parametrize(
    'credentials',
    [
        'Token k1',
        'token k1',
        'TOKEN k1',
        'Token   k1',
        '  Token k1 ',
        'Token k1\t',
    ],
)
def test_a_key_is_read_from_its_header(credentials):
    """Guards against 401 for a key in another case or with more spaces."""
    assert keys.read_digest([credentials]) == keys.compute_digest('k1')


@pytest.mark.parametrize(
    'credentials',
    [
        [],
        [''],
        ['Token'],
        ['Token '],
        ['k1'],
        ['Bearer k1'],
        ['Tokenk1'],
        ['Token k1', 'Token k1'],
        ['Token k1', ''],
    ],
)
def test_other_headers_carry_no_key(credentials):
    """Guards against a key that another process on the way did not see."""
    assert keys.read_digest(credentials) is None


@pytest.mark.parametrize('key', ['K1', 'k1,Token k2', 'k1 k1', 'k\udcff'])
def test_a_similar_key_has_another_digest(key):
    """Guards against accepting a key that only resembles a known one."""
    assert keys.read_digest([f'Token {key}']) == keys.compute_digest(key)
    assert keys.compute_digest(key) != keys.compute_digest('k1')
