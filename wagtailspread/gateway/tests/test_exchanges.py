"""Contract tests of exchanges with upstreams that misbehave."""

import asyncio

import multidict
import pytest

from wagtailspread.entry import executions
from wagtailspread.gateway import exchanges
from wagtailspread.gateway.tests import raw_upstreams
from wagtailspread.platform import names
from wagtailspread.registry import records


async def send(
    upstream,
    *,
    seconds=2.0,
    method='GET',
    body=None,
    attempt='a1',
):
    """Send one request; return the outcome and the progress."""
    headers = {'Attempt-Id': attempt} if attempt else {}
    exchanger = exchanges.create_exchanger(names.HEADERS)
    record = create_record(upstream.address)
    progress = executions.AttemptProgress()
    outgoing = exchanges.OutgoingRequest(
        method,
        '/a/x?y=%2F',
        multidict.CIMultiDict({'Host': 'a.example', **headers}),
        body,
        attempt,
        asyncio.get_running_loop().time() + seconds,
    )
    try:
        outcome = await exchanger.send(record, outgoing, progress)
    finally:
        await exchanger.close()
    return outcome, progress


def create_record(address):
    """Return the record of an upstream at this address."""
    return records.UpstreamRecord(
        upstream='u1',
        service='columns',
        address=address,
        domain='north',
        slots=1,
        state=records.UpstreamState.READY,
        born_ms=1,
        sequence=1,
    )


async def test_a_complete_response_is_forwarded_unchanged():
    """Guards against a changed path, query, status or body."""
    async with raw_upstreams.RawUpstream(raw_upstreams.reply()) as upstream:
        outcome, progress = await send(upstream)
    assert outcome.body == b'whole'
    assert outcome.headers['Response-Signature'] == 's1'
    assert progress.may_have_run
    (head,) = upstream.requests
    assert head.startswith('GET /a/x?y=%2F HTTP/1.1')
    assert raw_upstreams.read_header(head, 'Expected-Instance') == 'u1'
    assert 0 < int(raw_upstreams.read_header(head, 'Deadline-Ms')) <= 2000


@pytest.mark.parametrize(
    'answer',
    [
        raw_upstreams.reply(attempt='another'),
        raw_upstreams.reply(signature=''),
        raw_upstreams.reply(length=50),
        raw_upstreams.reply(headers=['Content-Encoding: gzip']),
        raw_upstreams.reply(length=0, reset=True),
        raw_upstreams.reset,
    ],
    ids=['other-id', 'unsigned', 'short', 'encoded', 'cut', 'reset'],
)
async def test_an_invalid_response_is_a_loss(answer):
    """Guards against forwarding an incomplete or foreign response."""
    async with raw_upstreams.RawUpstream(answer) as upstream:
        outcome, progress = await send(upstream)
    assert isinstance(outcome, exchanges.LostResponse)
    assert progress.may_have_run


@pytest.mark.parametrize(
    ('answer', 'is_reset'),
    [
        (raw_upstreams.reset, True),
        (raw_upstreams.reply(length=50), True),
        (raw_upstreams.reply(length=0, reset=True), True),
        (raw_upstreams.reply(signature=''), False),
        (raw_upstreams.reply(attempt='another'), False),
        (raw_upstreams.hang, False),
    ],
    ids=['reset', 'short', 'cut', 'unsigned', 'other-id', 'late'],
)
async def test_only_a_connection_that_ends_may_be_a_crash(answer, is_reset):
    """Guards against blocking a request for invalid or late answers."""
    async with raw_upstreams.RawUpstream(answer) as upstream:
        outcome, _progress = await send(upstream, seconds=0.5)
    assert outcome.is_reset is is_reset


@pytest.mark.parametrize(
    'status',
    [301, 304, 400, 401, 404, 408, 413, 429, 431, 500, 503, 504],
)
async def test_an_unsigned_failure_is_a_loss(status):
    """Guards against forwarding a refusal that the upstream did not send.

    A caller does not retry after 400 or 404.
    """
    answer = raw_upstreams.reply(status, signature='')
    async with raw_upstreams.RawUpstream(answer) as upstream:
        outcome, progress = await send(upstream)
    assert isinstance(outcome, exchanges.LostResponse)
    assert progress.may_have_run


@pytest.mark.parametrize('status', [301, 400, 404, 500])
async def test_a_signed_failure_is_forwarded(status):
    """Guards against replacing a failure that the upstream sent."""
    answer = raw_upstreams.reply(status)
    async with raw_upstreams.RawUpstream(answer) as upstream:
        outcome, _ = await send(upstream)
    assert outcome.status == status
    assert outcome.headers['Response-Signature'] == 's1'


async def test_an_unrequested_upgrade_is_a_loss():
    """Guards against forwarding a response that is not final."""
    answer = raw_upstreams.reply(101, b'', headers=['Upgrade: websocket'])
    async with raw_upstreams.RawUpstream(answer) as upstream:
        outcome, progress = await send(upstream)
    assert isinstance(outcome, exchanges.LostResponse)
    assert progress.may_have_run


async def test_a_body_without_length_ends_with_its_connection():
    """Guards against losing responses that end with the connection."""
    answer = raw_upstreams.reply(length=0)
    async with raw_upstreams.RawUpstream(answer) as upstream:
        outcome, _ = await send(upstream)
    assert outcome.body == b'whole'


@pytest.mark.parametrize(
    ('answer', 'is_other_upstream'),
    [
        (raw_upstreams.reply(503, headers=['Not-Executed: 1']), False),
        (raw_upstreams.reply(421), True),
    ],
)
async def test_a_rejected_request_has_not_run(answer, is_other_upstream):
    """Guards against giving up on a request that no upstream began."""
    async with raw_upstreams.RawUpstream(answer) as upstream:
        outcome, progress = await send(upstream)
    assert outcome == exchanges.NotExecuted(is_other_upstream)
    assert not progress.may_have_run


@pytest.mark.parametrize('attempt', ['', 'another'], ids=['none', 'another'])
@pytest.mark.parametrize('status', [200, 404, 421, 429, 500, 503])
@pytest.mark.parametrize('headers', [[], ['Not-Executed: 1']])
async def test_an_answer_without_the_id_of_its_request_is_a_loss(
    status,
    attempt,
    headers,
):
    """Guards against using a response to another request.

    Another request's not-run header would let this one run twice.
    """
    answer = raw_upstreams.reply(status, attempt=attempt, headers=headers)
    async with raw_upstreams.RawUpstream(answer) as upstream:
        outcome, progress = await send(upstream)
    assert isinstance(outcome, exchanges.LostResponse)
    assert progress.may_have_run


async def test_an_answer_with_two_ids_is_a_loss():
    """Guards against accepting a response if one of several ids matches."""
    answer = raw_upstreams.reply(
        503,
        headers=['Attempt-Id: another', 'Not-Executed: 1'],
    )
    async with raw_upstreams.RawUpstream(answer) as upstream:
        outcome, progress = await send(upstream)
    assert isinstance(outcome, exchanges.LostResponse)
    assert progress.may_have_run


async def test_a_success_that_says_not_run_is_a_loss():
    """Guards against repeating a request after a contradictory response."""
    answer = raw_upstreams.reply(headers=['Not-Executed: 1'])
    async with raw_upstreams.RawUpstream(answer) as upstream:
        outcome, progress = await send(upstream)
    assert isinstance(outcome, exchanges.LostResponse)
    assert progress.may_have_run


async def test_a_request_without_an_id_may_be_rejected():
    """Guards against requiring an id that the caller did not send."""
    answer = raw_upstreams.reply(400, headers=['Not-Executed: 1'])
    async with raw_upstreams.RawUpstream(answer) as upstream:
        outcome, progress = await send(upstream, attempt='')
    assert outcome == exchanges.NotExecuted(is_other_upstream=False)
    assert not progress.may_have_run


async def test_an_unavailable_status_alone_does_not_prove_anything():
    """Guards against treating a plain 503 as proof that nothing ran."""
    answer = raw_upstreams.reply(503)
    async with raw_upstreams.RawUpstream(answer) as upstream:
        outcome, progress = await send(upstream)
    assert outcome.status == 503
    assert progress.may_have_run


async def test_a_request_without_a_response_in_time_may_have_run():
    """Guards against treating a request that timed out as not run."""
    async with raw_upstreams.RawUpstream(raw_upstreams.hang) as upstream:
        outcome, progress = await send(upstream, seconds=0.3)
    assert outcome.is_expired
    assert progress.may_have_run


async def test_a_refused_connection_has_sent_nothing():
    """Guards against counting a failed connection as a send."""
    upstream = raw_upstreams.RawUpstream(raw_upstreams.hang)
    async with upstream:
        """Only the address is needed."""
    await asyncio.sleep(0.05)
    outcome, progress = await send(upstream)
    assert isinstance(outcome, exchanges.NoConnection)
    assert not progress.may_have_run


async def test_an_early_answer_to_a_long_upload_does_not_wait_for_it():
    """Guards against waiting until an upstream reads a rejected body."""

    class Upload:
        """A body that is never read to its end."""

        def open(self):
            """Return more than any buffer holds."""
            return bytes(32 * 1024 * 1024)

    async def answer_early(_reader, writer, _head):
        writer.write(
            b'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n'
            b'Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n',
        )
        await asyncio.sleep(5)

    async with raw_upstreams.RawUpstream(answer_early) as upstream:
        async with asyncio.timeout(2):
            outcome, _ = await send(upstream, method='POST', body=Upload())
    assert outcome == exchanges.NotExecuted(is_other_upstream=False)
