"""Answers by which an upstream asks a host to send no more."""

import asyncio
import datetime

from email import utils

import pytest

from wagtailspread.entry import executions
from wagtailspread.gateway import exchanges, notices
from wagtailspread.gateway.tests import raw_upstreams, test_exchanges
from wagtailspread.gateway.tests import test_placements as scenes
from wagtailspread.placement import messages
from wagtailspread.platform import names


async def receive(answer, attempt='a1'):
    """Return the notice of an exchange with an upstream."""
    received = exchanges.ReceivedNotice()
    exchanger = exchanges.create_exchanger(names.HEADERS)
    async with raw_upstreams.RawUpstream(answer) as upstream:
        outgoing = exchanges.OutgoingRequest(
            'GET',
            '/a',
            test_exchanges.multidict.CIMultiDict(
                {'Host': 'a.example', 'Attempt-Id': attempt}
            ),
            None,
            attempt,
            asyncio.get_running_loop().time() + 2.0,
        )
        await exchanger.send(
            test_exchanges.create_record(upstream.address),
            outgoing,
            executions.AttemptProgress(),
            received,
        )
    await exchanger.close()
    return received.notice


@pytest.mark.parametrize(
    ('texts', 'seconds'),
    [
        (['2'], 2.0),
        (['1.25'], 1.25),
        (['0'], 0.0),
        (['-4'], 0.0),
        (['nan'], 0.0),
        (['inf'], notices.MAX_HOLD_SECONDS),
        (['9' * 400], notices.MAX_HOLD_SECONDS),
        (['soon'], 0.0),
        (['Wed, 99 Xyz 2026'], 0.0),
        (['1', '3', 'x'], 3.0),
        ([], 0.0),
    ],
    ids=str,
)
async def test_retry_after_of_a_refusal_is_read(texts, seconds):
    """Guards against an odd value that ends an exchange or is ignored."""
    headers = ['Not-Executed: 1', *(f'Retry-After: {one}' for one in texts)]
    notice = await receive(raw_upstreams.reply(503, headers=headers))
    assert notice == messages.UpstreamNotice(False, seconds)


async def test_retry_after_may_be_a_date():
    """Guards against ignoring a form that the standard allows."""
    at = datetime.datetime.now(datetime.UTC) + datetime.timedelta(seconds=30)
    headers = [f'Retry-After: {utils.format_datetime(at, usegmt=True)}']
    notice = await receive(raw_upstreams.reply(503, headers=headers))
    assert 25 < notice.hold_seconds <= 30


@pytest.mark.parametrize('status', [200, 404, 500, 503])
async def test_any_answer_may_say_that_its_upstream_leaves(status):
    """Guards against work for an upstream that leaves."""
    headers = ['Server-Leaving: 1', 'Retry-After: 5']
    notice = await receive(raw_upstreams.reply(status, headers=headers))
    assert notice.is_leaving
    assert notice.hold_seconds == (5.0 if status == 503 else 0.0)


async def test_an_answer_of_another_exchange_asks_for_nothing():
    """Guards against a late answer that empties an upstream."""
    headers = ['Server-Leaving: 1', 'Retry-After: 5']
    answer = raw_upstreams.reply(503, headers=headers, attempt='another')
    assert await receive(answer) == messages.NO_NOTICE


@pytest.mark.parametrize(
    'notice',
    [messages.UpstreamNotice(True), messages.UpstreamNotice(False, 5.0)],
)
async def test_a_host_keeps_to_a_notice_that_its_allocator_has_lost(notice):
    """Guards against a new allocator that grants what an upstream forbade."""
    listener, address, allocator = await scenes.start_allocator()
    placer = scenes.create_placer(address)
    request = scenes.create_placement_request(placer)
    placed = await placer.place(request)
    assert placed.answer.record is not None
    placer.settle(
        request.request_id, placed, messages.Evidence.GOOD, 0.1, notice
    )
    await asyncio.sleep(0.1)
    selector = allocator.selector
    end = selector.find_hold_end(request, 0.0)
    is_known = end is None if notice.is_leaving else end > 0.0
    assert is_known
    # A new allocator knows nothing.
    fresh = scenes.create_selector()
    selector.registry, selector.holds = fresh.registry, fresh.holds
    again = await placer.place(scenes.create_placement_request(placer))
    assert again.answer.record is None
    await placer.close()
    await listener.close()
