"""Refusals by the connection layer, over loopback."""

import dataclasses
import json

import pytest

from wagtailspread.entry import heads
from wagtailspread.entry.tests import connections

LIMITS = heads.RequestLimits(seconds=0.3, head_bytes=1000)
WIDE = heads.RequestLimits(seconds=0.3, head_bytes=16384)
LARGE_FIELD = connections.create_head(f'A: {"a" * 4000}')


async def fail(_request):
    """Raise an unexpected error."""
    raise ValueError('simulated failure of the handler')


@pytest.mark.parametrize(
    ('raw', 'status', 'reason'),
    [
        (b'GET / HTTP/1.1\r\nA b: 1\r\n\r\n', 400, 'malformed'),
        (LARGE_FIELD, 431, 'head-too-large'),
        (b'GET / HTTP/1.1\r\n', 408, 'head-overdue'),
    ],
)
async def test_each_connection_refusal_is_logged_once(raw, status, reason):
    """Guards against refusals that leave no log line."""
    with connections.record_refusals() as records:
        async with connections.run_site(LIMITS) as (site, address):
            async with connections.connect(address) as connection:
                first = connections.create_head()
                await connections.exchange(connection, first)
                site.change_limits(dataclasses.replace(LIMITS, seconds=0.2))
                answer = await connections.exchange(connection, raw)
    (record,) = records
    assert record['status'] == answer.status == status
    assert (record['reason'], record['connection_requests']) == (reason, 1)
    assert 0 <= record['connection_seconds'] < 2
    assert record['connection_limits']['seconds'] == 0.3
    assert record['limits_in_force']['seconds'] == 0.2


async def test_failed_handler_is_logged_with_its_connection():
    """Guards against server errors that leave no log line."""
    with connections.record_refusals() as records:
        async with connections.run_site(LIMITS, fail) as (_, address):
            async with connections.connect(address) as connection:
                head = connections.create_head()
                answer = await connections.exchange(connection, head)
    (record,) = records
    assert record['status'] == answer.status == 500
    assert record['reason'] == 'server-error'
    assert record['connection_requests'] == 0


async def test_many_short_fields_within_byte_limit_are_accepted():
    """Guards against an implicit limit on the number of fields."""
    fields = [f'X-{number:03}: {"v" * 15}' for number in range(150)]
    head = connections.create_head(*fields)
    assert len(head) < 4096
    limits = heads.RequestLimits(head_bytes=4096)
    async with connections.run_site(limits) as (_, address):
        async with connections.connect(address) as connection:
            answer = await connections.exchange(connection, head)
    assert answer.status == 200
    assert json.loads(answer.body)['fields'] == 151


@pytest.mark.parametrize(('excess', 'status'), [(0, 200), (1, 431)])
async def test_limit_applies_to_request_line_and_fields_together(
    excess, status
):
    """Guards against a limit that is applied to each field separately."""
    target = '/' + 'p' * 300
    fields = ['A:' + 'a' * 300, 'B:' + 'b' * 300]
    head = connections.create_head(*fields, target=target)
    limits = heads.RequestLimits(head_bytes=len(head) - 1 - excess)
    async with connections.run_site(limits) as (_, address):
        async with connections.connect(address) as connection:
            answer = await connections.exchange(connection, head)
    assert answer.status == status
