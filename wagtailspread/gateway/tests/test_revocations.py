"""Tests of keys that are revoked while a request is open."""

import asyncio
import contextlib

import pytest

from wagtailspread.entry.tests import connections
from wagtailspread.gateway.tests import raw_upstreams, test_admissions
from wagtailspread.gateway.tests import test_response_logs, test_servers
from wagtailspread.placement import messages
from wagtailspread.routing import terms
from wagtailspread.workspaces import revocations

_KEY = 'Authorization: Token k3'
_NOT_RUN = raw_upstreams.reply(503, headers=['Not-Executed: 1'])
#: The key of the requests is that of no workspace, or of another one.
_WITHOUT = test_admissions.WORKSPACES[:1]
_MOVED = (
    *_WITHOUT,
    test_admissions.create_workspace('w3', 'k3'),
)


def revoke(server, workspaces=_WITHOUT, **changes):
    """Apply a version without the key of the requests."""
    server.apply_settings(
        test_admissions.create_settings(
            version=2, workspaces=workspaces, **changes
        )
    )


def record_settlements(server):
    """Return a list that gets the evidence of all placed requests."""
    placer = server._runner._placer
    settle = placer.settle
    found = []

    def record(request_id, placed, evidence, *args, **names):
        found.append(evidence)
        settle(request_id, placed, evidence, *args, **names)

    placer.settle = record
    withdraw = placer.withdraw

    def record_withdrawal(placement_request, placed):
        found.append(messages.Evidence.NONE)
        withdraw(placement_request, placed)

    placer.withdraw = record_withdrawal
    return found


def change_placements(server, change):
    """Call ``change`` after each decision on a placement, before its result."""
    placer = server._runner._placer
    place = placer.place

    async def place_and_change(placement_request):
        placed = await place(placement_request)
        change()
        return placed

    placer.place = place_and_change


async def test_a_revoked_key_ends_on_a_kept_connection():
    """Guards against a key that is checked once for each connection."""
    async with test_admissions.run_fleet() as (upstream, server, address):
        async with connections.connect(address) as connection:
            head = test_admissions.create_head(_KEY)
            answer = await connections.exchange(connection, head)
            assert answer.status == 200
            revoke(server)
            answer = await connections.exchange(connection, head)
            assert answer.status == 401
        assert len(upstream.requests) == 1


@pytest.mark.parametrize('size', [5, 3_000_000])
async def test_a_revoked_key_ends_a_body_that_is_being_sent(size):
    """Guards against serving a request whose body took long."""
    head = test_admissions.create_head(
        _KEY, f'Content-Length: {size}', method='POST'
    )
    async with test_admissions.run_fleet() as (upstream, server, address):
        async with connections.connect(address) as connection:
            connection[1].write(head + b'orde')
            await asyncio.sleep(0.1)
            revoke(server)
            answer = await connections.read_answer(connection[0], 0.5)
            assert answer.status == 401
            assert answer.headers['connection'] == 'close'
            assert server.response_log.counts == {'401 key-revoked': 1}
        assert not upstream.requests


async def test_a_kept_key_reads_its_body_on():
    """Guards against interrupting the requests of all keys."""
    head = test_admissions.create_head(
        'Authorization: Token k1', 'Content-Length: 5', method='POST'
    )
    async with test_admissions.run_fleet() as (upstream, server, address):
        async with connections.connect(address) as connection:
            connection[1].write(head + b'orde')
            await asyncio.sleep(0.1)
            revoke(server)
            answer = await connections.exchange(connection, b'r')
            assert answer.status == 200
        assert len(upstream.requests) == 1


async def test_a_body_that_ends_with_another_workspace_is_its_own():
    """Guards against the cap and name of the earlier workspace."""
    head = test_admissions.create_head(_KEY, 'Content-Length: 5', method='POST')
    async with test_admissions.run_fleet() as (upstream, server, address):
        placed = test_admissions.record_placements(server)
        async with connections.connect(address) as connection:
            connection[1].write(head + b'orde')
            await asyncio.sleep(0.1)
            revoke(server, _MOVED)
            answer = await connections.exchange(connection, b'r')
            assert answer.status == 200
        (request,) = upstream.requests
        assert [one.workspace for one in placed] == ['w3']
    assert test_admissions.read_all(request, 'Tenant') == ['w3']


@pytest.mark.parametrize(
    ('field', 'status'), [(_KEY, 200), ('X-Other: 1', 401)]
)
async def test_a_body_that_ends_when_keys_are_needed(field, status):
    """Guards against keys sent on by the version without workspaces."""
    head = test_admissions.create_head(
        field, 'Content-Length: 5', method='POST'
    )
    settings = test_admissions.create_settings(workspaces=())
    async with test_admissions.run_fleet(settings) as (
        upstream,
        server,
        address,
    ):
        async with connections.connect(address) as connection:
            connection[1].write(head + b'orde')
            await asyncio.sleep(0.1)
            revoke(server, test_admissions.WORKSPACES)
            answer = await connections.exchange(connection, b'r')
            assert answer.status == status
        assert 'k3' not in ''.join(upstream.requests)
        assert len(upstream.requests) == (status == 200)


async def test_a_queued_request_ends_when_its_key_is_revoked():
    """Guards against a revoked key that keeps its place in a queue."""
    is_withdrawn = False

    async def wait(_request):
        nonlocal is_withdrawn
        try:
            await asyncio.sleep(30)
        except asyncio.CancelledError:
            is_withdrawn = True
            raise

    async with test_admissions.run_fleet() as (upstream, server, address):
        server._runner._placer.place = wait
        calling = asyncio.create_task(test_admissions.call(address, _KEY))
        await asyncio.sleep(0.1)
        revoke(server)
        async with asyncio.timeout(0.5):
            answer = await calling
        assert answer.status == 401
        assert is_withdrawn
        assert not upstream.requests
        assert server.response_log.counts == {'401 key-revoked': 1}


async def test_versions_that_follow_at_once_are_applied():
    """Guards against an error while a request is being interrupted.

    The host would keep an old version.
    """
    watch = revocations.RevocationWatch()

    async def wait():
        with contextlib.suppress(revocations.KeyRevoked):
            async with watch.interrupt(lambda: True):
                await asyncio.sleep(30)

    waiting = asyncio.create_task(wait())
    await asyncio.sleep(0)
    watch.apply()
    # The timeout expires in the next iteration, the task ends after it.
    await asyncio.sleep(0)
    watch.apply()
    async with asyncio.timeout(0.5):
        await waiting


async def test_an_inner_timeout_is_no_revocation():
    """Guards against 401 for a request whose own time has passed."""
    watch = revocations.RevocationWatch()
    with pytest.raises(TimeoutError):
        async with watch.interrupt(bool):
            async with asyncio.timeout(0.01):
                await asyncio.sleep(30)
    watch.apply()


async def test_a_granted_request_is_not_sent_with_a_revoked_key():
    """Guards against sending what was granted before the revocation."""
    async with test_admissions.run_fleet() as (upstream, server, address):
        settled = record_settlements(server)
        change_placements(server, lambda: revoke(server))
        answer = await test_admissions.call(address, _KEY)
        assert answer.status == 401
        assert not upstream.requests
        # The slot and the permit are free again.
        assert settled == [messages.Evidence.NONE]


async def test_a_granted_request_of_a_key_that_moved_is_placed_again():
    """Guards against 401 for a key that is still known."""
    async with test_admissions.run_fleet() as (upstream, server, address):
        settled = record_settlements(server)
        change_placements(server, lambda: revoke(server, _MOVED))
        answer = await test_admissions.call(address, _KEY)
        assert answer.status == 200
        (request,) = upstream.requests
        assert settled == [messages.Evidence.NONE, messages.Evidence.GOOD]
    assert test_admissions.read_all(request, 'Tenant') == ['w3']


async def test_a_revoked_key_on_an_anonymous_route_has_no_workspace():
    """Guards against 401 on a route that is open to all."""
    settings = test_admissions.create_settings(allows_anonymous=True)
    async with test_admissions.run_fleet(settings) as (
        upstream,
        server,
        address,
    ):
        change_placements(server, lambda: revoke(server, allows_anonymous=True))
        assert (await test_admissions.call(address, _KEY)).status == 200
        (request,) = upstream.requests
    assert not test_admissions.read_all(request, 'Tenant')
    assert 'k3' not in request


@contextlib.asynccontextmanager
async def run_revoking(kind, answer, **options):
    """Yield two upstreams, a server and its address.

    The upstream that is asked first answers after the key was revoked.
    """

    async def answer_late(*args):
        revoke(found[0], kind=kind)
        await answer(*args)

    found = []
    async with test_servers.run_upstreams(
        answer_late, answer_late
    ) as upstreams:
        settings = test_admissions.create_settings(kind=kind)
        async with test_servers.run_server(
            upstreams, settings=settings, **options
        ) as (server, base):
            found.append(server)
            yield upstreams, base.removeprefix('http://')


@pytest.mark.parametrize(
    ('kind', 'answer', 'status'),
    [
        (terms.RequestKind.UNSAFE, _NOT_RUN, 401),
        (terms.RequestKind.SAFE, _NOT_RUN, 401),
        (terms.RequestKind.SAFE, raw_upstreams.reset, 502),
    ],
)
async def test_a_revoked_key_is_not_sent_to_a_second_upstream(
    kind, answer, status
):
    """Guards against a second attempt, and a 401 for a request that ran."""
    with test_response_logs.record_lines() as lines:
        async with run_revoking(kind, answer) as (upstreams, address):
            found = await test_admissions.call(address, _KEY)
            assert found.status == status
            assert test_servers.count_requests(*upstreams) == 1
    assert [line['is_sent'] for line in lines] == [True]


async def test_a_host_that_may_lag_revokes_with_503():
    """Guards against 401 for a key that a newer version may have again."""
    async with test_admissions.run_fleet(is_current=False) as (
        upstream,
        server,
        address,
    ):
        change_placements(server, lambda: revoke(server))
        answer = await test_admissions.call(address, _KEY)
        assert answer.status == 503
        assert float(answer.headers['retry-after']) > 0
        assert not upstream.requests


async def test_keys_that_may_be_revoked_are_refused():
    """Guards against a host that is cut off and accepts revoked keys."""
    settings = test_admissions.create_settings(allows_anonymous=True)
    async with test_admissions.run_fleet(settings) as (
        upstream,
        server,
        address,
    ):
        server._runner._has_old_keys = lambda: True
        answer = await test_admissions.call(address, _KEY)
        assert answer.status == 503
        assert not upstream.requests
        assert (await test_admissions.call(address)).status == 200
