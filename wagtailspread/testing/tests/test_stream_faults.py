"""Streams with which the fuzz targets found a fault of a host."""

import pytest

from wagtailspread.testing import request_targets, response_targets
from wagtailspread.testing import stream_inputs

_CHUNKED = (
    b'POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'1\r\nx\r\n0\r\nAuthorization: Token t\r\n\r\n'
)
_NEXT = b'GET /b HTTP/1.1\r\nHost: a\r\n\r\n'
_HEAD = (
    b'HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: s1\r\n'
    b'Transfer-Encoding: '
)


@pytest.mark.parametrize(
    'stream',
    [
        _CHUNKED + _NEXT,
        b'GET /aHTTP/1.1\r\nHost: a\r\n\r\n' + _NEXT,
        b'GET /a  HTTP/1.1\r\nHost: a\r\n\r\n' + _NEXT,
        b'\r' + _NEXT,
        b'GET /a HTTP/1.0\r\nConnection: close\r\nConnection: keep-alive\r\n'
        b'\r\n' + _NEXT,
        b'POST /a HTTP/1.0\r\nConnection: keep-alive\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n' + _NEXT,
    ],
    ids=[
        'trailers',
        'no-version',
        'two-spaces',
        'lone-cr',
        'close-and-keep',
        'old-chunked',
    ],
)
def test_requests_are_read_as_a_strict_reading_does(stream):
    """Guards against requests that a proxy before the host reads differently.

    Trailers of a chunked body became fields of the next request.
    """
    request_targets.run_requests(stream)


@pytest.mark.parametrize('end', [stream_inputs.CLOSED, stream_inputs.OPEN])
def test_a_body_with_an_unknown_coding_is_not_passed_on(end):
    """Guards against a body that reaches the client still encoded."""
    stream = _HEAD + b'odd\r\n\r\n5\r\nwhole\r\n0\r\n\r\n'
    assert not response_targets.run_response(end + stream)


def test_a_reason_with_control_characters_is_not_passed_on():
    """Guards against a status line that clients read in different ways."""
    stream = (
        b'HTTP/1.1 200 O\0K\r\nAttempt-Id: a1\r\nResponse-Signature: s1\r\n'
        b'Content-Length: 5\r\n\r\nwhole'
    )
    assert not response_targets.run_response(stream_inputs.CLOSED + stream)


@pytest.mark.parametrize(
    'field',
    [b' Response-Signature: s1\r\n', b'Response-Signature:\r s1\r\n'],
    ids=['leading-space', 'lone-cr'],
)
def test_a_head_that_is_read_in_two_ways_is_not_passed_on(field):
    """Guards against fields that other recipients ignore or split."""
    stream = (
        b'HTTP/1.1 200 OK\r\n' + field + b'Attempt-Id: a1\r\n'
        b'Content-Length: 5\r\n\r\nwhole'
    )
    assert not response_targets.run_response(stream_inputs.CLOSED + stream)


def test_an_interim_reason_with_a_nul_is_not_passed_on():
    """Guards against a stream that is malformed before its final response."""
    stream = (
        b'HTTP/1.1 103 \0Early\r\n\r\nHTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n'
        b'Response-Signature: s1\r\n\r\nok'
    )
    assert not response_targets.run_response(stream_inputs.CLOSED + stream)


def test_a_chunk_that_is_too_short_is_not_passed_on():
    """Guards against a shifted body if a line feed ends a chunk."""
    stream = _HEAD + b'chunked\r\n\r\n5\r\nwhol\r\n0\r\n\r\n'
    assert not response_targets.run_response(stream_inputs.CLOSED + stream)
