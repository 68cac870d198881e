"""The largest request within the published limits."""

import itertools

import pytest

from wagtailspread.entry import holdings
from wagtailspread.entry.tests import connections
from wagtailspread.gateway.tests import raw_upstreams, test_servers
from wagtailspread.routing import terms

_HEAD_BYTES = 16_384
_BODY_BYTES = 67_108_864
_PIECE = b'x' * 65_536
#: Memory of the smallest machine, in bytes.
_MEMORY_BYTES = 152_000_000


def create_head(size):
    """Return the largest head with the shortest lines."""
    lines = (
        'POST /a/x HTTP/1.1',
        'Host: a.example',
        'Attempt-Id: a1',
        'Deadline-Ms: 50000',
        f'Content-Length: {size}',
    )
    start = '\r\n'.join((*lines, '')).encode()
    count = (_HEAD_BYTES - len(start) - 2) // 4
    return start + b''.join(itertools.repeat(b'a:\r\n', count)) + b'\r\n'


@pytest.mark.parametrize('size', [0, _BODY_BYTES])
async def test_largest_request_is_served_by_the_smallest_host(size):
    """Guards against a limit that a client within the published ones meets."""
    limits = terms.CallerLimits(
        header_bytes=_HEAD_BYTES, body_bytes=_BODY_BYTES
    )
    settings = test_servers.create_settings(
        terms.RequestKind.UNSAFE, limits=limits
    )
    answers = [raw_upstreams.reply()]
    async with test_servers.run_upstreams(*answers) as upstreams:
        async with test_servers.run_server(upstreams, settings=settings) as (
            server,
            base,
        ):
            total = holdings.compute_total(_MEMORY_BYTES)
            server.site.budget.total_bytes = total
            address = base.partition('//')[2]
            async with connections.connect(address) as (reader, writer):
                writer.write(create_head(size))
                for _ in range(size // len(_PIECE)):
                    writer.write(_PIECE)
                    await writer.drain()
                answer = await connections.read_answer(reader, 50.0)
            assert server.site.budget.dropped == 0
    assert (answer.status, answer.body) == (200, b'whole')
