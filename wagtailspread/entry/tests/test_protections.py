"""Refusals by the connection layer, on loopback sockets."""

import dataclasses

import pytest

from wagtailspread.entry import protections
from wagtailspread.entry.tests import connections

LIMITS = protections.HeadLimits(seconds=0.3, field_bytes=1000)
WIDE = protections.HeadLimits(seconds=0.3, field_bytes=16384)
LARGE_FIELD = connections.create_head(f'A: {"a" * 4000}')


async def fail(_request):
    """Raise an error that the server does not expect."""
    raise ValueError('fault')


@pytest.mark.parametrize(
    ('raw', 'status', 'reason'),
    [
        (b'GET / HTTP/1.1\r\nA b: 1\r\n\r\n', 400, 'malformed'),
        (LARGE_FIELD, 431, 'head-too-large'),
        (b'GET / HTTP/1.1\r\n', None, 'head-overdue'),
    ],
)
async def test_each_refusal_of_a_connection_is_logged_once(raw, status, reason):
    """Guards against refusals of which an operator never learns."""
    with connections.record_refusals() as records:
        async with connections.run_site(LIMITS) as (site, address):
            async with connections.connect(address) as connection:
                first = connections.create_head()
                await connections.exchange(connection, first)
                site.change_limits(dataclasses.replace(LIMITS, seconds=0.2))
                answer = await connections.exchange(connection, raw)
    (record,) = records
    assert record['status'] == answer.status == status or status is None
    assert (record['reason'], record['requests_before']) == (reason, 1)
    assert 0 <= record['age_seconds'] < 2
    assert record['connection_limits']['seconds'] == 0.3
    assert record['limits_in_force']['seconds'] == 0.2


async def test_a_failed_handler_is_logged_with_its_connection():
    """Guards against server errors that no log line explains."""
    with connections.record_refusals() as records:
        async with connections.run_site(LIMITS, fail) as (_, address):
            async with connections.connect(address) as connection:
                head = connections.create_head()
                answer = await connections.exchange(connection, head)
    (record,) = records
    assert record['status'] == answer.status == 500
    assert record['reason'] == 'server-error'
    assert record['requests_before'] == 0
