"""Tests of keys and workspaces on the request path."""

import asyncio
import contextlib
import dataclasses

import pytest

from wagtailspread.entry.tests import connections
from wagtailspread.gateway import placements
from wagtailspread.gateway.tests import raw_upstreams, test_servers
from wagtailspread.placement import messages
from wagtailspread.routing import terms
from wagtailspread.workspaces import caps, keys

CAP = caps.Cap(rate=5.0, burst=2.0, version=1)
_NOT_RUN = raw_upstreams.reply(503, headers=['Not-Executed: 1'])
_HOST = ('Host: a.example', 'Attempt-Id: a1', 'Deadline-Ms: 3000')


def create_workspace(name, *texts, **changes):
    """Return a workspace with these keys."""
    digests = tuple(map(keys.compute_digest, texts))
    return terms.Workspace(name, digests, **changes)


WORKSPACES = (
    create_workspace('w1', 'k1', 'k2', priority=3, cap=CAP),
    create_workspace('w2', 'k3'),
)


def create_settings(*, version=1, workspaces=WORKSPACES, **changes):
    """Return a configuration with one route and workspaces."""
    changes.setdefault('kind', terms.RequestKind.UNSAFE)
    return dataclasses.replace(
        test_servers.create_settings(**changes),
        version=version,
        workspaces=workspaces,
    )


@contextlib.asynccontextmanager
async def run_fleet(settings=None, **options):
    """Yield an upstream, a server before it and the server's address."""
    answer = raw_upstreams.reply()
    async with raw_upstreams.RawUpstream(answer) as upstream:
        async with test_servers.run_server(
            [upstream], settings=settings or create_settings(), **options
        ) as (server, base):
            yield upstream, server, base.removeprefix('http://')


def create_head(*fields, method='GET', target='/a/x'):
    """Return the head of a request for the upstream."""
    lines = [f'{method} {target} HTTP/1.1', *_HOST, *fields, '', '']
    return '\r\n'.join(lines).encode()


async def call(address, *fields, **options):
    """Return the response to a request over a connection of its own."""
    async with connections.connect(address) as connection:
        return await connections.exchange(
            connection, create_head(*fields, **options)
        )


def read_all(head, name):
    """Return the values of all headers of a name in a request."""
    return [
        line.partition(':')[2].strip()
        for line in head.split('\r\n')[1:]
        if line.partition(':')[0].strip().lower() == name.lower()
    ]


@pytest.mark.parametrize(
    ('field', 'workspace'),
    [
        ('Authorization: Token k1', 'w1'),
        ('authorization: token k2', 'w1'),
        ('AUTHORIZATION:TOKEN   k3', 'w2'),
    ],
)
async def test_an_upstream_gets_the_workspace_and_not_the_key(field, workspace):
    """Guards against keys that reach upstreams."""
    async with run_fleet() as (upstream, _, address):
        answer = await call(address, field)
        assert answer.status == 200
        (head,) = upstream.requests
    assert read_all(head, 'Tenant') == [workspace]
    assert 'authorization' not in head.lower()
    assert not any(key in head for key in ('k1', 'k2', 'k3'))


@pytest.mark.parametrize(
    'fields',
    [
        (),
        ('Authorization: Token k4',),
        ('Authorization: Token K1',),
        ('Authorization: Token',),
        ('Authorization: k1',),
        ('Authorization: Bearer k1',),
        ('Authorization: Token k1', 'authorization: Token k1'),
        ('Authorization: Token k1, Token k1',),
        ('Proxy-Authorization: Token k1',),
        ('Tenant: w1',),
    ],
)
async def test_a_request_without_a_known_key_is_not_served(fields):
    """Guards against work of an upstream for a caller that has no key."""
    async with run_fleet() as (upstream, server, address):
        async with connections.connect(address) as connection:
            answer = await connections.exchange(
                connection, create_head(*fields)
            )
            assert answer.status == 401
            assert answer.headers['www-authenticate'] == 'Token'
            assert 'retry-after' not in answer.headers
            # The caller may use the connection with a key.
            assert answer.headers.get('connection', '') != 'close'
            answer = await connections.exchange(
                connection, create_head('Authorization: Token k1')
            )
            assert answer.status == 200
        assert len(upstream.requests) == 1
        assert server.response_log.counts == {'401 unknown-key': 1}


@pytest.mark.parametrize(
    'fields',
    [
        ('Content-Length: 5',),
        ('Content-Length: 5', 'Expect: 100-continue'),
        ('Transfer-Encoding: chunked',),
        ('Content-Length: 99999999999',),
    ],
)
async def test_the_body_of_a_request_without_a_key_is_not_read(fields):
    """Guards against reading, or announcing to read, a refused body."""
    async with run_fleet() as (_, _, address):
        async with connections.connect(address) as connection:
            answer = await connections.exchange(
                connection, create_head(*fields, method='POST')
            )
            assert answer.status == 401
            assert answer.headers['connection'] == 'close'
            assert await connection[0].read() == b''


async def test_a_body_that_has_arrived_closes_the_connection_as_well():
    """Guards against a response to the body as to a request."""
    head = create_head('Content-Length: 5', method='POST')
    async with run_fleet() as (upstream, _, address):
        async with connections.connect(address) as connection:
            answer = await connections.exchange(connection, head + b'order')
            assert answer.status == 401
            assert answer.headers['connection'] == 'close'
            assert await connection[0].read() == b''
        assert not upstream.requests


@pytest.mark.parametrize(
    ('fields', 'workspaces'),
    [
        ((), []),
        (('Authorization: Token k4',), []),
        (('Authorization: Basic eDp5',), []),
        (('Authorization: Token k1', 'Authorization: Token k1'), []),
        (('Authorization: Token k3',), ['w2']),
    ],
)
async def test_an_anonymous_route_needs_no_key(fields, workspaces):
    """Guards against 401 on a route that is open to all."""
    settings = create_settings(allows_anonymous=True)
    async with run_fleet(settings) as (upstream, _, address):
        answer = await call(address, *fields, 'Tenant: w1', 'tenant: w1')
        assert answer.status == 200
        (head,) = upstream.requests
    assert read_all(head, 'Tenant') == workspaces
    assert not read_all(head, 'Authorization')


@pytest.mark.parametrize('workspaces', [(), WORKSPACES])
@pytest.mark.parametrize(
    'fields',
    [
        ('Tenant: w2',),
        ('TENANT: w2', 'tenant: w1', 'Tenant:'),
        ('Connection: Tenant', 'Tenant: w2'),
        ('Connection: keep-alive, tenant', 'tEnant: w2'),
    ],
)
async def test_a_workspace_that_a_caller_names_never_passes(fields, workspaces):
    """Guards against callers that act for another workspace."""
    settings = create_settings(workspaces=workspaces)
    async with run_fleet(settings) as (upstream, _, address):
        answer = await call(address, 'Authorization: Token k1', *fields)
        assert answer.status == 200
        (head,) = upstream.requests
    assert read_all(head, 'Tenant') == (['w1'] if workspaces else [])


async def test_without_workspaces_credentials_pass():
    """Guards against a change for configurations without workspaces."""
    settings = create_settings(workspaces=())
    async with run_fleet(settings) as (upstream, _, address):
        assert (await call(address, 'Authorization: Basic x')).status == 200
        (head,) = upstream.requests
    assert read_all(head, 'Authorization') == ['Basic x']


async def test_each_pipelined_request_needs_a_key():
    """Guards against a key that counts for all requests of a connection."""
    known = create_head('Authorization: Token k1')
    async with run_fleet() as (upstream, _, address):
        async with connections.connect(address) as (reader, writer):
            writer.write(known + create_head() + known)
            statuses = [
                (await connections.read_answer(reader)).status for _ in range(3)
            ]
        assert statuses == [200, 401, 200]
        assert len(upstream.requests) == 2


async def test_an_allocator_learns_the_workspace_of_a_request():
    """Guards against caps that count no request."""
    async with run_fleet() as (_, server, address):
        placed = record_placements(server)
        await call(address, 'Authorization: Token k2')
        await call(address, 'Authorization: Token k3')
    first, second = placed
    assert (first.workspace, first.cap, first.priority) == ('w1', CAP, 3)
    assert (second.workspace, second.priority) == ('w2', 0)
    assert not second.cap.is_limited


def record_placements(server):
    """Return a list that gets all requests to place."""
    placer = server._runner._placer
    place = placer.place
    placed = []

    async def record(placement_request):
        placed.append(placement_request)
        return await place(placement_request)

    placer.place = record
    return placed


@pytest.mark.parametrize(
    ('fields', 'status'),
    [
        (('Content-Length: 5', 'Transfer-Encoding: chunked'), 400),
        (('Content-Length: 99999999999',), 401),
        (('Content-Length: 99999999999', 'Authorization: Token k1'), 413),
    ],
)
async def test_checks_come_in_the_stated_order(fields, status):
    """Guards against telling callers without a key about limits."""
    async with run_fleet() as (_, _, address):
        answer = await call(address, *fields, method='POST')
        assert answer.status == status


async def test_an_unknown_route_is_checked_before_the_key():
    """Guards against 401 for a route that does not exist."""
    async with run_fleet() as (_, _, address):
        answer = await call(address, target='/b/x')
        assert answer.status == 404


async def test_a_host_that_may_lag_rejects_no_key():
    """Guards against 401 for a key that a newer version has added.

    Callers do not retry after a 401.
    """
    async with run_fleet(is_current=False) as (upstream, server, address):
        answer = await call(address, 'Authorization: Token k4')
        assert answer.status == 503
        assert float(answer.headers['retry-after']) > 0
        assert 'www-authenticate' not in answer.headers
        assert not upstream.requests
        assert server.response_log.counts == {'503 not-current': 1}


@pytest.mark.parametrize('target', ['/a/x', '/c/x'])
async def test_a_host_that_lags_waits_for_newer_routes(target):
    """Guards against refusing what a version on its way to the host allows."""
    added = create_workspace('w3', 'k4')
    newer = create_settings(version=2, workspaces=(*WORKSPACES, added))
    (route,) = newer.routes
    other = dataclasses.replace(route, name='r2', prefix='/c/')
    newer = dataclasses.replace(newer, routes=(route, other))
    lagging = [True]
    async with run_fleet(is_current=False, is_behind=lambda: lagging[0]) as (
        upstream,
        server,
        address,
    ):
        calling = asyncio.create_task(
            call(address, 'Authorization: Token k4', target=target)
        )
        await asyncio.sleep(0.2)
        assert not calling.done()
        server.apply_settings(newer)
        lagging[0] = False
        answer = await calling
        assert answer.status == 200
        (head,) = upstream.requests
    assert read_all(head, 'Tenant') == ['w3']


async def test_a_host_waits_a_short_time_for_newer_routes():
    """Guards against callers that wait while versions follow each other.

    The call itself fails after 2 s.
    """
    async with run_fleet(is_current=False, is_behind=lambda: True) as (
        _,
        server,
        address,
    ):
        calling = asyncio.create_task(call(address))
        for version in range(2, 40):
            server.apply_settings(create_settings(version=version))
            await asyncio.sleep(0.1)
            if calling.done():
                break
        assert (await calling).status == 503


@pytest.mark.parametrize(
    ('seconds', 'expected'), [(2.5, '2.50'), (0.0, '1.00')]
)
async def test_a_request_above_a_cap_has_not_run(seconds, expected):
    """Guards against a cap that looks like a failure of the fleet."""
    refusal = messages.Answer(messages.Decision.OVER_CAP, None, seconds)

    async def refuse(_request):
        return placements.Placement(refusal, '10.0.0.1:1')

    async with run_fleet() as (upstream, server, address):
        server._runner._placer.place = refuse
        answer = await call(address, 'Authorization: Token k1')
        assert answer.status == 429
        assert answer.headers['retry-after'] == expected
        assert not upstream.requests
        assert server.response_log.counts == {'429 over-cap': 1}


@pytest.mark.parametrize(
    ('first', 'status'), [(_NOT_RUN, 429), (raw_upstreams.reset, 502)]
)
async def test_a_cap_is_no_proof_that_an_earlier_attempt_has_not_run(
    first, status
):
    """Guards against 429 for a request that may have run."""
    settings = create_settings(kind=terms.RequestKind.SAFE)
    refusal = messages.Answer(messages.Decision.OVER_CAP, None, 2.5)
    async with run_fleet(settings) as (upstream, server, address):
        upstream.answers = [first]
        placer = server._runner._placer
        place = placer.place

        async def refuse_second(placement_request):
            if placement_request.is_repeat:
                return placements.Placement(refusal, None)
            return await place(placement_request)

        placer.place = refuse_second
        answer = await call(address, 'Authorization: Token k1')
        assert answer.status == status
        assert len(upstream.requests) == 1
