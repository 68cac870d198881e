"""Tests of pipelined requests from a caller to upstreams and back."""

import asyncio

from wagtailspread.entry.tests import connections
from wagtailspread.gateway.tests import raw_upstreams, test_servers
from wagtailspread.routing import terms


async def test_pipelined_look_ups_run_side_by_side_and_in_order():
    """Guards against look-ups that wait for the answers before them."""
    sent = asyncio.Event()

    async def answer_first(reader, writer, head):
        await asyncio.wait_for(sent.wait(), 2.0)
        await raw_upstreams.reply(body=b'first')(reader, writer, head)

    async def answer_second(reader, writer, head):
        sent.set()
        await raw_upstreams.reply(body=b'second')(reader, writer, head)

    upstream = raw_upstreams.RawUpstream(answer_first, answer_second)
    async with (
        upstream,
        test_servers.run_server([upstream], terms.RequestKind.SAFE) as (
            _,
            base,
        ),
    ):
        address = base.removeprefix('http://')
        async with connections.connect(address) as (reader, writer):
            for attempt in ('a1', 'a2'):
                fields = (f'Attempt-Id: {attempt}', 'Deadline-Ms: 3000')
                head = connections.create_head(*fields, target='/a/x')
                writer.write(head.replace(b'Host: a', b'Host: a.example'))
            first = await connections.read_answer(reader)
            second = await connections.read_answer(reader)
    assert (first.status, first.body) == (200, b'first')
    assert (second.status, second.body) == (200, b'second')
    assert first.headers['attempt-id'] == 'a1'
    assert second.headers['attempt-id'] == 'a2'
