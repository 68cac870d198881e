"""Exchanges with failing upstreams, over loopback."""

import asyncio

import pytest

from aiohttp import client

from wagtailspread.core import outcomes
from wagtailspread.entry import slots
from wagtailspread.entry.tests import fleets, sockets
from wagtailspread.testing import stand_ins

RESULTS = outcomes.ExchangeResult


async def fetch(host, path='/vitrina/a', method='GET', body=None, **headers):
    fields = {name.replace('_', '-'): headers[name] for name in headers}
    url = f'http://{host.address}{path}'
    async with client.ClientSession() as session:
        async with session.request(
            method,
            url,
            headers=fields,
            data=body,
        ) as answer:
            return answer, await answer.read()


def get_outcome(answer):
    return answer.headers[outcomes.OUTCOME_HEADER]


def list_results(host):
    return [completion.result for completion in host.coordinator.completed]


async def replace_upstream(host, address, upstream='u0'):
    row = host.coordinator.rows[upstream]
    fields = {name: getattr(row, name) for name in row.__slots__}
    fields['address'] = address
    host.coordinator.rows[upstream] = slots.Announcement(**fields)


async def start_script(host, upstreams, script):
    """Replace the first upstream by one that runs a script."""
    for upstream in upstreams:
        upstream.mode.announces = False
    await asyncio.sleep(0.02)
    scripted = await sockets.ScriptedUpstream(script).start()
    await replace_upstream(host, scripted.address)
    return scripted


@pytest.mark.parametrize(
    ('mode', 'method', 'status', 'outcome', 'ended'),
    [
        ({'reset_ratio': 1.0}, 'GET', 504, 'unknown', RESULTS.RESET),
        ({'truncate_ratio': 1.0}, 'GET', 504, 'unknown', RESULTS.TRUNCATED),
        ({'hang_ratio': 1.0}, 'GET', 504, 'unknown', RESULTS.TIMEOUT),
        ({'error_ratio': 1.0}, 'GET', 500, 'upstream', RESULTS.ERROR),
        ({'shed_ratio': 1.0}, 'GET', 503, 'not-run', RESULTS.SHED),
    ],
)
async def test_each_failure_has_its_outcome_and_evidence(
    mode,
    method,
    status,
    outcome,
    ended,
):
    """Guards against failures with a wrong outcome or wrong evidence."""
    async with fleets.start_fleet() as (hosts, upstreams):
        for name, ratio in mode.items():
            setattr(upstreams[0].mode, name, ratio)
        answer, _ = await fetch(
            hosts[0],
            method=method,
            Wagtailspread_Deadline_Ms='400',
        )
        assert (answer.status, get_outcome(answer)) == (status, outcome)
        assert set(list_results(hosts[0])) == {ended}
        assert not hosts[0].coordinator.leases


async def test_refused_connection_is_not_run_and_retried_elsewhere():
    """Guards against requests that fail because one upstream has stopped."""
    async with fleets.start_fleet(upstream_count=2) as (hosts, upstreams):
        for upstream in upstreams:
            upstream.mode.announces = False
        await upstreams[0].close()
        for _ in range(4):
            answer, _ = await fetch(hosts[0])
            assert (answer.status, get_outcome(answer)) == (200, 'upstream')
        assert RESULTS.CONNECT_FAILED in list_results(hosts[0])


async def test_503_without_shed_header_may_have_run():
    """Guards against a not-run answer for an executed request."""

    async def script(upstream, reader, writer):
        await upstream.read_head(reader)
        writer.write(b'HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n')
        await asyncio.sleep(1)

    async with fleets.start_fleet() as (hosts, upstreams):
        await start_script(hosts[0], upstreams, script)
        answer, _ = await fetch(hosts[0])
        assert (answer.status, get_outcome(answer)) == (503, 'upstream')


async def test_http_client_does_not_resend_request_on_its_own():
    """Guards against attempts that the allocator has not granted."""

    async def script(upstream, reader, writer):
        while True:
            await upstream.read_head(reader)
            if upstream.requests > 1:
                return
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')

    async with fleets.start_fleet() as (hosts, upstreams):
        scripted = await start_script(hosts[0], upstreams, script)
        await fetch(hosts[0])
        answer, _ = await fetch(hosts[0])
        assert get_outcome(answer) == 'unknown'
        assert scripted.requests == 2


async def test_late_answer_on_idle_connection_is_discarded():
    """Guards against an answer that is matched to another request."""

    async def script(upstream, reader, writer):
        while True:
            head = await upstream.read_head(reader)
            name = head.split(b'X-Name: ')[1].split(b'\r\n')[0]
            answer = b''.join(
                (b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n', name)
            )
            writer.write(answer)
            await asyncio.sleep(0.05)
            writer.write(answer)

    async with fleets.start_fleet() as (hosts, upstreams):
        await start_script(hosts[0], upstreams, script)
        for name in ('one', 'two', 'six'):
            _, body = await fetch(hosts[0], X_Name=name)
            assert body.decode() == name
            await asyncio.sleep(0.15)


async def test_truncated_long_answer_resets_caller_connection():
    """Guards against a truncated body that appears complete."""
    async with fleets.start_fleet() as (hosts, upstreams):
        upstreams[0].mode.truncate_ratio = 1.0
        with pytest.raises(client.ClientError):
            await fetch(hosts[0], X_Answer_Bytes='300000')
        assert list_results(hosts[0]) == [RESULTS.TRUNCATED]


async def test_truncated_chunked_answer_resets_http_1_0_caller():
    """Guards against a regular close, which would mark the end of the body."""

    async def script(upstream, reader, writer):
        await upstream.read_head(reader)
        writer.write(b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n')
        writer.write(b'20000\r\n')
        writer.write(b'a' * 0x20000)
        writer.write(b'\r\n20000\r\nbb')
        await writer.drain()

    async with fleets.start_fleet() as (hosts, upstreams):
        await start_script(hosts[0], upstreams, script)
        with pytest.raises(OSError):
            await sockets.send_raw(
                hosts[0].address,
                b'GET /vitrina HTTP/1.0\r\nHost: a\r\n\r\n',
            )


async def test_disconnected_caller_cancels_its_exchange():
    """Guards against slots held for disconnected callers."""
    async with fleets.start_fleet() as (hosts, upstreams):
        upstreams[0].mode.hang_ratio = 1.0
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(fetch(hosts[0]), 0.2)
        await asyncio.sleep(0.2)
        assert list_results(hosts[0]) == [RESULTS.CANCELLED]
        assert upstreams[0].running == 0


async def test_forwarded_deadline_is_reduced_by_elapsed_time():
    """Guards against upstreams that work past the caller's deadline."""
    async with fleets.start_fleet() as (hosts, _):
        _, body = await fetch(hosts[0], Wagtailspread_Deadline_Ms='700')
        deadline = int(body.split(b'"deadline": "')[1].split(b'"')[0])
        assert 0 < deadline < 700


async def test_head_and_empty_answers_keep_their_headers():
    """Guards against a body or a length that the upstream did not send."""
    async with fleets.start_fleet() as (hosts, _):
        answer, body = await fetch(hosts[0], method='HEAD')
        assert (answer.status, body) == (200, b'')
        assert int(answer.headers['Content-Length']) > 0


async def test_long_upload_is_streamed_completely():
    """Guards against uploads that are truncated or buffered completely."""
    async with fleets.start_fleet() as (hosts, upstreams):
        _, body = await fetch(hosts[0], method='POST', body=b'a' * 900_000)
        assert b'"received": 900000' in body
        assert upstreams[0].counts['runs'] == 1


async def test_upload_to_slow_upstream_is_throttled():
    """Guards against unbounded buffering of bodies."""

    async def script(upstream, reader, writer):
        await upstream.read_head(reader)
        await asyncio.sleep(2)

    async with fleets.start_fleet(max_body=1 << 30) as (hosts, upstreams):
        await start_script(hosts[0], upstreams, script)
        ip, _, port = hosts[0].address.rpartition(':')
        _, writer = await asyncio.open_connection(ip, int(port))
        writer.write(b'POST /vitrina HTTP/1.1\r\nHost: a\r\n')
        writer.write(b'Content-Length: 500000000\r\n\r\n')
        sent = 0
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.7):
                while sent < 500_000_000:
                    writer.write(bytes(1 << 20))
                    await writer.drain()
                    sent += 1 << 20
        assert sent < 30_000_000
        writer.close()


async def test_upstream_cannot_set_headers_of_the_fleet():
    """Guards against an upstream that reports its request as not run."""

    async def script(upstream, reader, writer):
        await upstream.read_head(reader)
        writer.write(b'HTTP/1.1 200 OK\r\nWagtailspread-Outcome: not-run\r\n')
        writer.write(b'Wagtailspread-Reason: draining\r\n')
        writer.write(b'Content-Length: 0\r\n\r\n')
        await asyncio.sleep(1)

    async with fleets.start_fleet() as (hosts, upstreams):
        await start_script(hosts[0], upstreams, script)
        answer, _ = await fetch(hosts[0])
        assert get_outcome(answer) == 'upstream'
        assert outcomes.REASON_HEADER not in answer.headers


async def test_every_finished_request_is_recorded_once():
    """Guards against requests missing from logs and metrics."""
    async with fleets.start_fleet(upstream_count=2) as (hosts, upstreams):
        for upstream in upstreams:
            upstream.mode.reset_ratio = 1.0
        await fetch(hosts[0], Wagtailspread_Deadline_Ms='900')
        (record,) = hosts[0].records
        assert (record.outcome, record.attempts) == ('unknown', 2)


async def test_silent_connections_are_not_evidence_against_upstream():
    """Guards against ejections because of silent connections."""
    async with fleets.start_fleet() as (hosts, upstreams):
        await asyncio.gather(*(fetch(hosts[0]) for _ in range(4)))
        hosts[0].coordinator.completed.clear()
        upstreams[0].freeze()
        answers = await asyncio.gather(*(fetch(hosts[0]) for _ in range(4)))
        assert {answer.status for answer, _ in answers} == {200}
        seen = set(list_results(hosts[0]))
        assert RESULTS.SILENT in seen
        assert seen <= {RESULTS.SILENT, RESULTS.SUCCESS}


async def test_shed_answer_after_repetition_was_sent_is_unknown():
    """Guards against a not-run answer while a repetition may be executed."""

    async def script(upstream, reader, writer):
        number = upstream.connections
        await upstream.read_head(reader)
        if number > 1:
            await asyncio.sleep(2)
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
        await upstream.read_head(reader)
        await asyncio.sleep(0.5)
        writer.write(b'HTTP/1.1 503 No\r\nWagtailspread-Shed: 1\r\n')
        writer.write(b'Content-Length: 0\r\n\r\n')
        await asyncio.sleep(1)

    async with fleets.start_fleet() as (hosts, upstreams):
        scripted = await start_script(hosts[0], upstreams, script)
        await fetch(hosts[0])
        answer, _ = await fetch(hosts[0], Wagtailspread_Deadline_Ms='1500')
        assert scripted.connections == 2
        assert get_outcome(answer) == 'unknown'


async def test_random_hangs_are_evidence_against_upstream():
    """Guards against mistaking a gray failure for silent connections."""
    async with fleets.start_fleet() as (hosts, upstreams):
        await asyncio.gather(*(fetch(hosts[0]) for _ in range(6)))
        upstreams[0].mode.hang_ratio = 0.5
        for _ in range(3):
            calls = (
                fetch(hosts[0], Wagtailspread_Deadline_Ms='600')
                for _ in range(6)
            )
            await asyncio.gather(*calls)
        seen = list_results(hosts[0])
        assert seen.count(RESULTS.TIMEOUT) > 2 * seen.count(RESULTS.SILENT)


class RecordingTracer(stand_ins.NoOpTracer):
    """Tracer that records the names of its spans."""

    def __init__(self):
        self.names = []

    def start_span(self, name, parent_header):
        self.names.append(name)
        return super().start_span(name, parent_header)


async def test_sampled_request_has_span_for_each_step():
    """Guards against traces without the duration of each step."""
    async with fleets.start_fleet() as (hosts, _):
        tracer = RecordingTracer()
        hosts[0].forwarder._runner._tracer = tracer
        trace = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331'
        for flag, names in (('00', []), ('01', ['allocate', 'exchange'])):
            answer, _ = await fetch(
                hosts[0],
                traceparent=f'{trace}-{flag}',
            )
            assert answer.status == 200
            assert tracer.names == names
