"""Tests of what makes two requests the same."""

import types

import pytest

from wagtailspread.gateway import fingerprints


def create_request(**changes):
    """Return a request and its body."""
    fields = {
        'remote': '10.0.0.1',
        'method': 'POST',
        'raw_path': '/a?b=1',
        'headers': {'Host': 'a.example', 'Attempt-Id': 'a1'},
        'content_length': 4,
        **changes,
    }
    return types.SimpleNamespace(**fields)


def compute(content=b'body', **changes):
    """Return the fingerprint of a request."""
    body = types.SimpleNamespace(prefix=content)
    return fingerprints.compute(create_request(**changes), body)


def test_a_request_that_comes_again_has_the_same_fingerprint():
    """Guards against a request that is not recognised by its new id."""
    again = {'Host': 'a.example', 'Attempt-Id': 'a2', 'Deadline-Ms': '9'}
    assert compute() == compute(headers=again)


def test_a_request_from_another_address_has_the_same_fingerprint():
    """Guards against a crashing request that returns over other paths.

    A caller may use several addresses, and balancers use their own.
    """
    assert compute() == compute(remote='10.0.0.2')


@pytest.mark.parametrize(
    'changes',
    [
        {'headers': {'Host': 'a.example', 'Authorization': 'Basic Yg=='}},
        {'method': 'GET'},
        {'raw_path': '/a?b=2'},
        {'headers': {'Host': 'b.example'}},
        {'content_length': 5},
        {'content': b'ydob'},
    ],
)
def test_a_request_that_looks_alike_has_another_one(changes):
    """Guards against blocking a proper request with the crashing one."""
    assert compute() != compute(**changes)
