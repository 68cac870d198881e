"""Clients outside the limits before the port for callers of a real host.

The number of clients and the bounds are in :mod:`crowds`. Nothing here depends
on times or on how many requests of the crowd are served.
"""

import itertools

import pytest

from wagtailspread.platform.tests import crowds

#: Starting the processes and waiting for one request may take long while
#: other programs use the machine, in seconds.
pytestmark = pytest.mark.timeout(240)

#: The smallest header line.
_SHORT_LINE = 'a:'
_CHUNKED = 'Transfer-Encoding: chunked'
_MEGABYTE = 1024 * 1024
#: Header lines and bytes of lines that fit into a head beside the others.
_SHORT_LINES = (crowds.HEAD_BYTES - 200) // 4
_LINE_BYTES = crowds.HEAD_BYTES - 200


async def check_crowd(folder, block, create_pieces):
    """Check the host under a crowd, and one ordinary request behind it."""
    async with crowds.run_stage(folder, block) as stage:
        address = stage.find_caller_address()
        await stage.gather_crowd(address, create_pieces)
        stage.check_process(stage.host)
        await stage.wait_for_service()
        stage.check_process(stage.host)
        stage.check_promises()


async def test_unfinished_heads_of_short_lines_stay_within_memory(tmp_path):
    """Guards against lines that take many times their size in memory."""

    def create_pieces(number):
        head = crowds.create_head(number, repeat(_SHORT_LINE, _SHORT_LINES))
        yield head[:-2]

    await check_crowd(tmp_path, 31, create_pieces)


@pytest.mark.parametrize(
    ('block', 'end'), [(32, ['Content-Length: 9']), (33, [_CHUNKED])]
)
async def test_finished_heads_of_short_lines_stay_within_memory(
    tmp_path, block, end
):
    """Guards against parsed heads that are held until their body ends."""

    def create_pieces(number):
        lines = [*repeat(_SHORT_LINE, _SHORT_LINES), *end]
        yield crowds.create_head(number, lines)

    await check_crowd(tmp_path, block, create_pieces)


async def test_complete_requests_of_short_lines_stay_within_memory(tmp_path):
    """Guards against heads that are held while their requests wait."""

    def create_pieces(number):
        lines = repeat(_SHORT_LINE, _SHORT_LINES)
        yield crowds.create_head(number, lines, 'GET')

    await check_crowd(tmp_path, 34, create_pieces)


def repeat(line, count):
    """Return a header line ``count`` times."""
    return tuple(itertools.repeat(line, count))


def create_odd_lines(number):
    """Return header lines that are legal and unusual."""
    odd_bytes = ''.join(map(chr, range(0x80, 0x100)))
    kind = number % 4
    if kind == 0:
        half = _LINE_BYTES // 2
        return [f'{"n" * half}:', f'{"!" * (half - 9)}: \t ']
    if kind == 1:
        count = _LINE_BYTES // 8
        return [f'x{item:04x}:' for item in range(count)]
    if kind == 2:
        line = f"!#$%&'*+-.^_`|~{number}:{odd_bytes}"
        return repeat(line, _LINE_BYTES // 152)
    return repeat('b: \t \t \t', _LINE_BYTES // 10)


@pytest.mark.parametrize(('block', 'end'), [(35, -2), (36, None)])
async def test_odd_header_lines_stay_within_memory(tmp_path, block, end):
    """Guards against names and values that take more memory than others.

    Heads are left unfinished, or finished with a body that does not come.
    """

    def create_pieces(number):
        lines = [*create_odd_lines(number), 'Content-Length: 9']
        yield crowds.create_head(number, lines)[:end]

    await check_crowd(tmp_path, block, create_pieces)


@pytest.mark.parametrize('content', [b'x', b'xy'])
async def test_bodies_in_tiny_pieces_stay_within_memory(tmp_path, content):
    """Guards against pieces that take many times their size in memory.

    Most bodies stop just short of their end.
    """
    chunks = crowds.create_chunk(content) * 1000

    def create_pieces(number):
        yield crowds.create_head(number, [_CHUNKED])
        yield from itertools.repeat(chunks, 400)
        yield b'0\r\n\r\n' if number % 10 == 0 else b'0\r\n'

    await check_crowd(tmp_path, 36 + len(content), create_pieces)


async def test_bodies_in_large_pieces_stay_within_memory(tmp_path):
    """Guards against whole pieces that are held for each connection.

    Most bodies stop just short of their end.
    """

    def create_pieces(number):
        yield crowds.create_head(number, [_CHUNKED])
        yield crowds.create_chunk(b'x' * _MEGABYTE)
        last = crowds.create_chunk(b'x' * (_MEGABYTE - 100))
        yield last + b'0\r\n\r\n' if number % 10 == 0 else last[:-3]

    await check_crowd(tmp_path, 39, create_pieces)


async def test_announced_bodies_over_the_limit_stay_within_memory(tmp_path):
    """Guards against the rest of a refused body that is held."""

    def create_pieces(number):
        size = 100 * crowds.BODY_BYTES
        yield crowds.create_head(number, [f'Content-Length: {size}'])
        yield from itertools.repeat(b'x' * 65_536, 400)

    await check_crowd(tmp_path, 40, create_pieces)


async def test_chunked_bodies_over_the_limit_stay_within_memory(tmp_path):
    """Guards against a body whose size shows only as it arrives."""
    chunk = crowds.create_chunk(b'x' * 65_536)

    def create_pieces(number):
        yield crowds.create_head(number, [_CHUNKED])
        yield from itertools.repeat(chunk, 400)

    await check_crowd(tmp_path, 41, create_pieces)


@pytest.mark.parametrize(('block', 'line_count'), [(42, 0), (43, 500)])
async def test_pipelined_requests_stay_within_memory(
    tmp_path, block, line_count
):
    """Guards against requests that are parsed long before they are handled."""

    def create_pieces(number):
        yield crowds.create_head(number, ['Content-Length: 0'])
        lines = repeat(_SHORT_LINE, line_count)
        yield crowds.create_head(f'{number}-next', lines, 'GET') * 200

    await check_crowd(tmp_path, block, create_pieces)
