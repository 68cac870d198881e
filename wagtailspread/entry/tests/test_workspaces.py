"""Requests with the keys of workspaces through an entry host."""

import asyncio
import contextlib

import aiohttp
import multidict
import pytest

from wagtailspread.core import clocks, outcomes, priorities
from wagtailspread.entry import capping, exchanges, executions
from wagtailspread.entry.tests import fleets
from wagtailspread.routing import terms
from wagtailspread.workspaces import caps, directories, keys

KEYS = {'Authorization': 'Token k1'}
FIRST = terms.Workspace('w1', (keys.compute_digest('k1'),))
SECOND = terms.Workspace('w2', (keys.compute_digest('k2'),))
ORDER = {outcomes.KEY_HEADER: 'order-1'}


def set_workspaces(host, *workspaces):
    host.routing.workspaces = directories.create_directory(workspaces, 1)


@contextlib.asynccontextmanager
async def start_host(*workspaces):
    """Yield a host with an upstream, and the heads that the upstream got."""
    async with fleets.start_fleet() as (hosts, upstreams):
        set_workspaces(hosts[0], *workspaces)
        heads = []
        run = upstreams[0]._run

        async def record(request, body):
            heads.append(request.headers)
            return await run(request, body)

        upstreams[0]._run = record
        yield hosts[0], upstreams[0], heads


async def send(host, path='/vitrina/a', method='GET', **options):
    url = f'http://{host.address}{path}'
    async with aiohttp.request(method, url, **options) as answer:
        await answer.read()
        return answer


def assert_unknown_key(answer):
    assert answer.status == 401
    assert answer.headers['WWW-Authenticate'] == 'Token'
    assert answer.headers[outcomes.OUTCOME_HEADER] == 'not-run'
    assert answer.headers[outcomes.REASON_HEADER] == 'unknown-key'


@pytest.mark.parametrize(
    'credentials',
    [
        [],
        ['Token'],
        ['Token k3'],
        ['Bearer k1'],
        ['Token k1', 'Token k1'],
    ],
)
async def test_request_without_a_known_key_is_not_sent(credentials):
    """Guards against requests that pass without the key of a workspace."""
    headers = [('Authorization', text) for text in credentials]
    async with start_host(FIRST) as (host, _, heads):
        assert_unknown_key(await send(host, headers=headers))
        assert not heads


async def test_body_is_not_read_before_the_key_is_known():
    """Guards against bodies that anybody can make a host hold."""
    head = (
        b'POST /vitrina/a HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n'
        b'Expect: 100-continue\r\n\r\n'
    )
    async with start_host(FIRST) as (host, _, heads):
        ip, _, port = host.address.rpartition(':')
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(head)
        async with asyncio.timeout(2):
            text = await reader.read()
        writer.close()
        assert text.startswith(b'HTTP/1.1 401 ')
        assert not heads


@pytest.mark.parametrize('scheme', ['Token', 'token', 'TOKEN '])
async def test_upstream_gets_the_workspace_in_place_of_the_key(scheme):
    """Guards against keys at upstreams, and names that callers choose."""
    headers = {'Authorization': f'{scheme} k1', 'workspace': 'w2'}
    async with start_host(FIRST, SECOND) as (host, _, heads):
        answer = await send(host, headers=headers)
        assert answer.status == 200
        assert 'Authorization' not in heads[0]
        assert heads[0].getall('Workspace') == ['w1']


async def test_without_workspaces_headers_pass_as_before():
    """Guards against a change for fleets without workspaces."""
    async with start_host() as (host, _, heads):
        headers = {**KEYS, 'Workspace': 'w2'}
        assert (await send(host, headers=headers)).status == 200
        assert heads[0]['Authorization'] == 'Token k1'
        assert heads[0]['Workspace'] == 'w2'


@pytest.mark.parametrize('priority', [None, *priorities.Priority])
async def test_priority_of_the_workspace_replaces_that_of_the_route(priority):
    """Guards against requests that queue with the priority of the route."""
    workspace = terms.Workspace('w1', FIRST.digests, priority)
    async with start_host(workspace) as (host, _, _heads):
        submitted = []
        submit = host.coordinator.submit

        def record(request, now):
            submitted.append(request.priority)
            submit(request, now)

        host.coordinator.submit = record
        assert (await send(host, headers=KEYS)).status == 200
        if priority is None:
            priority = fleets.ROUTES[0].priority
        assert submitted == [priority]
        assert [record.priority for record in host.records] == [priority]


@pytest.mark.parametrize(
    ('path', 'method'), [('/vitrina/a', 'GET'), ('/contratos/1', 'POST')]
)
@pytest.mark.parametrize(
    ('admitting', 'active', 'status', 'reason'),
    [
        ((FIRST, SECOND), (SECOND,), 401, 'unknown-key'),
        (
            (FIRST,),
            (terms.Workspace('w2', FIRST.digests),),
            503,
            'workspace-changed',
        ),
        ((), (SECOND,), 401, 'unknown-key'),
        ((), (FIRST,), 503, 'workspace-changed'),
    ],
)
async def test_key_is_checked_again_before_the_request_is_sent(
    path, method, admitting, active, status, reason
):
    """Guards against a key that is taken away while its request is queued."""
    async with start_host(*admitting) as (host, _, heads):
        submit = host.coordinator.submit

        def change(request, now):
            set_workspaces(host, *active)
            submit(request, now)

        host.coordinator.submit = change
        headers = {**KEYS, **ORDER}
        answer = await send(host, path, method, headers=headers)
        assert answer.status == status
        assert answer.headers[outcomes.OUTCOME_HEADER] == 'not-run'
        assert answer.headers[outcomes.REASON_HEADER] == reason
        assert ('Retry-After' in answer.headers) == (status == 503)
        assert not heads
        assert not host.coordinator.leases
        ended = [one.result for one in host.coordinator.completed]
        assert ended == [outcomes.ExchangeResult.CANCELLED]


async def test_refused_order_may_be_sent_again_once_its_key_is_known():
    """Guards against a claim that a request leaves which has not run."""
    async with start_host(FIRST) as (host, _, heads):
        submit = host.coordinator.submit

        def change(request, now):
            set_workspaces(host, SECOND)
            submit(request, now)

        host.coordinator.submit = change
        options = {'headers': {**KEYS, **ORDER}}
        assert_unknown_key(await send(host, '/contratos/1', 'POST', **options))
        host.coordinator.submit = submit
        set_workspaces(host, FIRST)
        answer = await send(host, '/contratos/1', 'POST', **options)
        assert answer.status == 200
        assert len(heads) == 1


async def test_stored_answer_of_one_workspace_is_not_sent_to_another():
    """Guards against an answer that another workspace reads by its key."""
    async with start_host(FIRST, SECOND) as (host, _, heads):
        answers = [
            await send(
                host,
                '/contratos/1',
                'POST',
                headers={'Authorization': f'Token {key}', **ORDER},
            )
            for key in ('k1', 'k1', 'k2')
        ]
        assert [answer.status for answer in answers] == [200, 200, 409]
        assert len(heads) == 1


async def test_retry_is_not_sent_after_the_key_was_taken_away():
    """Guards against a second attempt with a key that is not known."""
    async with fleets.start_fleet(upstream_count=2) as (hosts, upstreams):
        host = hosts[0]
        set_workspaces(host, FIRST)
        for upstream in upstreams:
            upstream.mode.shed_ratio = 1.0
        submit = host.coordinator.submit

        def change(request, now):
            if request.attempt > 1:
                set_workspaces(host, SECOND)
            submit(request, now)

        host.coordinator.submit = change
        assert_unknown_key(await send(host, headers=KEYS))
        assert sum(one.counts['requests'] for one in upstreams) == 1


async def test_silent_exchange_is_not_repeated_without_its_key():
    """Guards against a repetition that is sent with a key taken away."""
    async with start_host(FIRST) as (host, upstream, heads):
        exchanger = exchanges.Exchanger(host.pools, clocks.SystemClock())
        progress = executions.AttemptProgress()
        is_admitted = True
        outgoing = exchanges.OutgoingRequest(
            'GET',
            '/vitrina/a',
            multidict.CIMultiDict(),
            None,
            clocks.SystemClock().now() + 5,
            may_repeat=True,
            is_admitted=lambda: is_admitted,
        )
        repeat = exchanger._create_repeat(
            host.pools.find(upstream.address), outgoing, progress
        )
        is_admitted = False
        assert await repeat() is None
        assert progress.repetition is None
        assert not heads
        is_admitted = True
        reply = await repeat()
        reply.close()
        assert reply.status == 200
        assert len(heads) == 1


def start_caps(host, hosts):
    """Let a host have its share for 1000 s, and stop the clock of its caps."""
    clock = clocks.ManualClock()
    host.forwarder._caps = capping.create_caps(lambda: hosts, clock)
    clock.advance(1000.0)
    return clock


async def test_requests_over_the_share_of_the_host_get_429():
    """Guards against hosts that together admit more than the cap."""
    cap = caps.Cap(rate=8.0, burst=40.0)
    workspace = terms.Workspace('w1', FIRST.digests, cap=cap)
    async with start_host(workspace, SECOND) as (host, _, heads):
        clock = start_caps(host, 4)
        answers = [await send(host, headers=KEYS) for _ in range(40)]
        refused = [answer for answer in answers if answer.status == 429]
        for answer in refused:
            assert answer.headers[outcomes.OUTCOME_HEADER] == 'not-run'
            assert answer.headers[outcomes.REASON_HEADER] == 'over-cap'
            assert int(answer.headers['Retry-After']) >= 1
        assert len(heads) + len(refused) == len(answers)
        allowance = caps.Limits().compute_allowance(cap)
        assert cap.burst / 4 <= len(heads) <= (cap.burst + allowance) / 4
        other = {'Authorization': 'Token k2'}
        assert (await send(host, headers=other)).status == 200
        clock.advance(1.0)
        assert (await send(host, headers=KEYS)).status == 200


async def test_body_is_not_read_over_the_cap():
    """Guards against bodies of refused requests that a host holds."""
    cap = caps.Cap(rate=0.001)
    workspace = terms.Workspace('w1', FIRST.digests, cap=cap)
    head = (
        b'POST /vitrina/a HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n'
        b'Authorization: Token k1\r\nExpect: 100-continue\r\n\r\n'
    )
    async with start_host(workspace) as (host, _, heads):
        clock = clocks.ManualClock()
        host.forwarder._caps = capping.create_caps(lambda: 4, clock)
        while (await send(host, headers=KEYS)).status != 429:
            assert heads
        heads.clear()
        ip, _, port = host.address.rpartition(':')
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(head)
        async with asyncio.timeout(2):
            text = await reader.read()
        writer.close()
        assert text.startswith(b'HTTP/1.1 429 ')
        assert not heads


async def test_request_that_has_not_run_does_not_count_toward_the_cap():
    """Guards against a cap that is used up by refused requests."""
    cap = caps.Cap(rate=1.0, burst=2.0)
    workspace = terms.Workspace('w1', FIRST.digests, cap=cap)
    async with start_host(workspace) as (host, upstream, _):
        start_caps(host, 1)
        upstream.mode.shed_ratio = 1.0
        for _ in range(20):
            assert (await send(host, headers=KEYS)).status == 503
        upstream.mode.shed_ratio = 0.0
        assert (await send(host, headers=KEYS)).status == 200


async def test_order_whose_caller_left_counts_toward_the_cap():
    """Guards against callers that pass the cap by leaving at once."""
    cap = caps.Cap(rate=1.0, burst=2.0)
    workspace = terms.Workspace('w1', FIRST.digests, cap=cap)
    async with start_host(workspace) as (host, _, heads):
        start_caps(host, 1)
        waiting = []
        submit = host.coordinator.submit
        host.coordinator.submit = lambda *order: waiting.append(order)
        for number in range(20):
            headers = {**KEYS, outcomes.KEY_HEADER: f'order-{number}'}
            with contextlib.suppress(TimeoutError):
                timeout = aiohttp.ClientTimeout(total=0.02)
                await send(
                    host,
                    '/contratos/1',
                    'POST',
                    headers=headers,
                    timeout=timeout,
                )
        host.coordinator.submit = submit
        for order in waiting:
            submit(*order)
        allowance = caps.Limits().compute_allowance(cap)
        assert cap.burst <= len(waiting) <= cap.burst + allowance
        assert (await send(host, headers=KEYS)).status == 429
        async with asyncio.timeout(5):
            while len(heads) < len(waiting):
                await fleets.wait_briefly()


class Guard:
    """Guard of a host that learns of workspaces, or that lags."""

    def __init__(self, host, *newer, is_confirmed=True):
        self.refused = []
        self._host = host
        self._newer = newer
        self._is_confirmed = is_confirmed

    async def confirm(self):
        set_workspaces(self._host, FIRST, *self._newer)
        return self._is_confirmed

    def record_refused_key(self, status):
        self.refused.append(status)


@pytest.mark.parametrize(
    ('newer', 'is_confirmed', 'status'),
    [((SECOND,), True, 200), ((), True, 401), ((), False, 503)],
    ids=['newer', 'unknown', 'lagging'],
)
async def test_an_unknown_key_is_refused_only_by_a_current_host(
    newer, is_confirmed, status
):
    """Guards against 401 for a key that a newer version has."""
    async with start_host(FIRST) as (host, _, heads):
        guard = Guard(host, *newer, is_confirmed=is_confirmed)
        host.server._key_guard = guard
        answer = await send(host, headers={'Authorization': 'Token k2'})
    assert answer.status == status
    assert guard.refused == ([] if status == 200 else [status])
    assert len(heads) == (1 if status == 200 else 0)
    assert ('Retry-After' in answer.headers) == (status == 503)


def take_key_away(host):
    set_workspaces(host, SECOND)
    host.forwarder.revoke_keys()


@pytest.mark.parametrize(
    ('path', 'method'), [('/vitrina/a', 'GET'), ('/contratos/1', 'POST')]
)
async def test_a_request_in_a_queue_ends_when_its_key_is_taken_away(
    path, method
):
    """Guards against requests that wait for a slot without a known key."""
    async with start_host(FIRST) as (host, _, heads):
        is_queued = asyncio.Event()
        host.coordinator.submit = lambda request, now: is_queued.set()
        headers = {**KEYS, **ORDER, outcomes.DEADLINE_HEADER: '60000'}
        sending = asyncio.create_task(send(host, path, method, headers=headers))
        await is_queued.wait()
        take_key_away(host)
        async with asyncio.timeout(20):
            assert_unknown_key(await sending)
        assert not heads


async def test_a_body_ends_when_the_key_of_its_request_is_taken_away():
    """Guards against bodies that are read on without a known key."""
    async with start_host(FIRST) as (host, _, heads):
        is_sent = asyncio.Event()

        async def send_slowly():
            yield b'part'
            is_sent.set()
            await asyncio.Event().wait()

        options = {'headers': {**KEYS, **ORDER}, 'data': send_slowly()}
        sending = asyncio.create_task(
            send(host, '/contratos/1', 'POST', **options)
        )
        await is_sent.wait()
        # The host has begun to read the body when it holds the request.
        while not host.forwarder._runner.watch._open:
            await asyncio.sleep(0.01)
        take_key_away(host)
        async with asyncio.timeout(3):
            assert_unknown_key(await sending)
        assert not heads
