import itertools
import random
import tracemalloc

import hypothesis
import pytest
from hypothesis import strategies as st

from wagtailspread.entry import framing
from wagtailspread.testing import stream_inputs

_BODY = b'5;a=b\r\nwhole\r\n0A \r\n' + b'x' * 10 + b'\r\n0\r\nT: 1\r\n\r\n'
_NEXT = b'HTTP/1.1 200 OK\r\n\r\n'


def scan(stream, sizes, kind=framing.MessageKind.RESPONSE):
    """Return the size of the body, -1 if incomplete, ``None`` if malformed."""
    scanner = framing.ChunkScanner(kind)
    start = 0
    sizes = iter(sizes)
    while start < len(stream) and not scanner.is_complete:
        piece = stream[start : start + next(sizes, len(stream))]
        try:
            start += scanner.scan(piece)
        except framing.FramingFault:
            return None
    return start if scanner.is_complete else -1


@pytest.mark.parametrize('kind', framing.MessageKind)
def test_body_ends_behind_its_trailers(kind):
    assert scan(_BODY + _NEXT, [], kind) == len(_BODY)


@pytest.mark.parametrize(
    'body',
    [
        b'5\r\nwhol\r\n0\r\n\r\n',
        b'6\r\nwhole\r\n0\r\n\r\n',
        b'5\r\nwhole!\r\n0\r\n\r\n',
        b'4\r\nwhole\r\n0\r\n\r\n',
        b'5\r\nwhole\n0\r\n\r\n',
        b'5\r\nwhole\r0\r\n\r\n',
        b'5\r\nwhole0\r\n\r\n',
        b'5\nwhole\r\n0\r\n\r\n',
        b'+5\r\nwhole\r\n0\r\n\r\n',
        b'0x5\r\nwhole\r\n0\r\n\r\n',
        b'five\r\nwhole\r\n0\r\n\r\n',
        b'\r\nwhole\r\n0\r\n\r\n',
        b'5;a=\0\r\nwhole\r\n0\r\n\r\n',
        b'0\r\n T: 1\r\n\r\n',
        b'0\r\nT\r\n\r\n',
        b'0\r\nT: 1\r\r\n\r\n',
    ],
)
@pytest.mark.parametrize('kind', framing.MessageKind)
@pytest.mark.parametrize('size', [1, 100])
def test_malformed_body_is_refused(body, kind, size):
    """Guards against a body that recipients end at different places."""
    assert scan(body, itertools.repeat(size), kind) is None


def test_trailers_of_requests_need_line_ends():
    """Guards against a request within the trailers of another one."""
    body = b'0\r\nT: 1\n\n'
    assert scan(body, [], framing.MessageKind.RESPONSE) == len(body)
    assert scan(body + b'\r\n', [], framing.MessageKind.REQUEST) is None


@pytest.mark.parametrize(
    'start',
    [
        b'0' * (framing.MAX_SIZE_DIGITS + 1),
        b'0\r\n' + b'T: 1\r\n' * (framing.MAX_TRAILER_BYTES // 6 + 1),
        b'0\r\nT:' + b'x' * framing.MAX_TRAILER_BYTES,
    ],
    ids=['size', 'trailers', 'trailer'],
)
@pytest.mark.parametrize('size', [13, 100_000])
def test_long_lines_are_refused(start, size):
    """Guards against framing that takes memory without an end."""
    assert scan(start, itertools.repeat(size)) is None


@pytest.mark.parametrize('extension', [b' ', b'\t ;x', b';x=1;y'])
def test_extensions_are_not_held(extension):
    """Guards against an extension that takes memory without an end."""
    scanner = framing.ChunkScanner(framing.MessageKind.RESPONSE)
    tracemalloc.start()
    try:
        scanner.scan(b'5')
        for _ in range(1000):
            scanner.scan(extension * 1000)
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert peak < 64 * 1024
    assert scanner.scan(b'\r\nwhole\r\n0\r\n\r\n') == 14


@hypothesis.given(
    st.integers(0, 2**32), st.lists(st.integers(1, 9), max_size=60)
)
def test_result_does_not_depend_on_division(seed, sizes):
    """Guards against chunks that are read differently at the end of a read."""
    stream = stream_inputs.mutate_body(random.Random(seed))
    assert scan(stream, sizes) == scan(stream, [])


@pytest.mark.parametrize('size', [1, 3, 100])
def test_head_ends_with_the_first_empty_line(size):
    """Guards against the start of a body that is taken for a field."""
    head = b'\r\n\nHTTP/1.1 200 OK\r\nA: b\n\r\n'
    scanner = framing.HeadScanner()
    start = 0
    while not scanner.is_complete:
        start += scanner.scan((head + b'\r\nbody')[start : start + size])
    assert start == len(head)


@pytest.mark.parametrize(
    'field',
    [
        b' A: b\r\n',
        b'\tA: b\r\n',
        b' \r\n',
        b'A:\r b\r\n',
        b'A: b\r\r\n',
        b'\rA: b\r\n',
        b'A: b\r\n\rB: c\r\n',
        b'A: b\0c\r\n',
        b'A: b\r\n c\0\r\n',
    ],
)
@pytest.mark.parametrize('size', [1, 100])
def test_lines_that_are_read_in_two_ways_are_refused(field, size):
    """Guards against fields that other recipients ignore or split."""
    stream = b'HTTP/1.1 200 OK\r\n' + field
    scanner = framing.HeadScanner()
    with pytest.raises(framing.FramingFault):
        for start in range(0, len(stream), size):
            scanner.scan(stream[start : start + size])


@pytest.mark.parametrize('size', [1, 100])
def test_status_line_with_a_nul_is_refused(size):
    """Guards against an interim response that a strict reading refuses.

    The parser does not check the reason of one.
    """
    stream = b'HTTP/1.1 103 \0Early\r\n\r\n'
    scanner = framing.HeadScanner()
    with pytest.raises(framing.FramingFault):
        for start in range(0, len(stream), size):
            scanner.scan(stream[start : start + size])


def test_folded_fields_and_bare_line_feeds_are_accepted():
    """Guards against the refusal of a head that a proxy may repair."""
    head = b'HTTP/1.1 200 OK\nA: b\r\n c\n\td\r\n\r\n'
    scanner = framing.HeadScanner()
    assert scanner.scan(head + b'body') == len(head)
    assert scanner.is_complete


@hypothesis.given(
    st.integers(0, 2**32), st.lists(st.integers(1, 9), max_size=60)
)
def test_head_does_not_depend_on_division(seed, sizes):
    """Guards against a head that is read differently at the end of a read."""
    stream = stream_inputs.mutate_response(random.Random(seed))[1:]
    assert scan_head(stream, sizes) == scan_head(stream, [])
    assert scan_head(stream, itertools.repeat(1)) == scan_head(stream, [])


def scan_head(stream, sizes):
    """Return the size of the head, -1 if incomplete, ``None`` if malformed."""
    scanner = framing.HeadScanner()
    start = 0
    sizes = iter(sizes)
    while start < len(stream) and not scanner.is_complete:
        piece = stream[start : start + next(sizes, len(stream))]
        try:
            start += scanner.scan(piece)
        except framing.FramingFault:
            return None
    return start if scanner.is_complete else -1


def test_head_of_another_size_than_the_parsed_one_is_refused():
    """Guards against a parser that finds the end of a head elsewhere."""
    response = framing.ResponseFraming()
    response.find_end(b'HTTP/1.1 200 OK\r\n', 0)
    with pytest.raises(framing.FramingFault):
        response.finish_head(is_interim=False, is_chunked=True)
    assert response.find_end(b'\r\n', 0) == 2
    with pytest.raises(framing.FramingFault):
        response.find_end(b'body', 0)
