"""Clients outside the limits before the other ports of real processes.

These are the control port of a replica, the readiness port of a host and the
links between processes. The number of clients and the bounds are in
:mod:`crowds`.
"""

import itertools

import pytest

from wagtailspread.gateway import readiness
from wagtailspread.platform.tests import crowds

pytestmark = pytest.mark.timeout(240)

_SHORT_LINES = 1900
_MEGABYTE = 1024 * 1024


def create_put(lines, path='/wagtailspread/config/put'):
    """Return the head of a call to the control port."""
    first = (f'POST {path} HTTP/1.1', 'Host: a')
    return '\r\n'.join((*first, *lines, '', '')).encode()


def repeat_lines(count):
    """Return the smallest header line ``count`` times."""
    return tuple(itertools.repeat('a:', count))


def create_short_heads(number):
    """Yield a head of short lines that is finished by every other client."""
    lines = (*repeat_lines(_SHORT_LINES), 'Content-Length: 9')
    head = create_put(lines)
    yield head if number % 2 else head[:-2]


def create_announced_bodies(_number):
    """Yield a body within the limit that stops just short of its end."""
    size = 4 * _MEGABYTE
    yield create_put([f'Content-Length: {size}'])
    yield from itertools.repeat(b'x' * (size // 64), 63)


def create_chunked_bodies(_number):
    """Yield a body within the limit in chunks of two bytes."""
    yield create_put(['Transfer-Encoding: chunked'])
    yield from itertools.repeat(b'2\r\nxy\r\n' * 1000, 400)


def create_call_bodies(number):
    """Yield a body that is far too large for a heartbeat."""
    path = f'/wagtailspread/instances/u{number}/heartbeat'
    yield create_put(['Transfer-Encoding: chunked'], path)
    yield from itertools.repeat(b'10000\r\n%s\r\n' % (b'x' * 65_536), 100)


def create_oversized_bodies(_number):
    """Yield a body far over the limit."""
    yield create_put([f'Content-Length: {200 * _MEGABYTE}'])
    yield from itertools.repeat(b'x' * 65_536, 400)


@pytest.mark.parametrize(
    ('block', 'create_pieces'),
    [
        (51, create_short_heads),
        (52, create_announced_bodies),
        (53, create_chunked_bodies),
        (54, create_call_bodies),
        (55, create_oversized_bodies),
    ],
)
async def test_control_port_stays_within_memory(tmp_path, block, create_pieces):
    """Guards against heads and bodies that are gathered without a bound."""
    async with crowds.run_stage(tmp_path, block) as stage:
        await stage.gather_crowd(stage.find_control_address(), create_pieces)
        stage.check_process(stage.replica)
        await stage.wait_for_control()
        stage.check_process(stage.replica)
        await stage.wait_for_service()


@pytest.mark.parametrize(
    ('block', 'create_pieces'),
    [(56, create_short_heads), (57, create_oversized_bodies)],
)
async def test_readiness_port_stays_within_memory(
    tmp_path, block, create_pieces
):
    """Guards against heads, bodies and connections without a bound."""
    async with crowds.run_stage(tmp_path, block) as stage:
        await stage.gather_crowd(stage.find_ready_address(), create_pieces)
        stage.check_process(stage.host, readiness.MAX_CONNECTIONS + 64)
        await stage.wait_for_readiness()
        await stage.wait_for_service()


def create_frames(number):
    """Yield what is no handshake, or only a part of one."""
    if number % 3 == 0:
        yield b'\0\0\1\0' + b'x' * 10
    elif number % 3 == 1:
        yield from itertools.repeat(b'\0\0\0\0' * 16_384, 16)
    else:
        yield b'\0\0\4\0'
        yield from itertools.repeat(b'x' * 65_536, 16)


async def test_links_stay_within_memory(tmp_path):
    """Guards against peers that never prove their identity."""
    async with crowds.run_stage(tmp_path, 58) as stage:
        await stage.gather_crowd(stage.find_link_address(), create_frames)
        stage.check_process(stage.replica)
        await stage.wait_for_control()
        await stage.wait_for_service()
