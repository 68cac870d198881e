"""Keys and workspaces with the programs of both roles as processes."""

import asyncio
import contextlib
import signal

import aiohttp
import pytest

from wagtailspread.entry.tests import connections
from wagtailspread.gateway.tests import raw_upstreams, test_admissions
from wagtailspread.platform.tests import test_processes

#: Texts that no log line may contain, and no request to an upstream.
KEYS = {
    'first': 'ksecret-3f9a',
    'second': 'ksecret-71cc',
    'revoked': 'ksecret-b04e',
    'added': 'ksecret-c852',
    'unknown': 'ksecret-0000',
}
#: Time until a revocation is in force, in seconds.
REVOKE_SECONDS = 5.0
#: Slots of the upstream (:meth:`test_processes.Platform.send_heartbeat`).
SLOTS = 6


def create_document(version, *names):
    """Return a configuration with the route ``/p/`` and these keys.

    The route ``/o/`` is open to requests without a key.
    """
    document = test_processes.create_document(version)
    (host,) = document['virtualHosts']
    (route,) = host['pathRoutes']
    host['pathRoutes'].append(
        {
            **route,
            'name': 'r2',
            'pathPrefix': '/o/',
            'allowAnonymous': True,
        }
    )
    document['tenants'] = [
        {'name': f'w-{name}', 'apiKeys': [KEYS[name]], 'ratePerS': 174}
        for name in names
    ]
    return document


def create_head(name, *fields, target='/p/x', **options):
    """Return the head of a request with one of the keys."""
    return test_admissions.create_head(
        f'Authorization: Token {KEYS[name]}', *fields, target=target, **options
    )


class WorkspaceFleet:
    """Three replicas, one host and one upstream."""

    def __init__(self, fleet, session, upstream):
        """Create a fleet that is not started."""
        self.fleet = fleet
        self.upstream = upstream
        self.address = fleet.find_address(5, test_processes.CALLER_PORT)
        self._platform = test_processes.Platform(fleet, session)

    async def start(self):
        """Start all processes with the first document."""
        for number in range(3):
            self.fleet.start_replica(number)
        self.fleet.start_host(5)

        async def put():
            return await self.put(7, 'first', 'second', 'revoked') == 200

        await test_processes.wait_for(put)
        status = await self._platform.send_heartbeat(
            0, 'u0', self.upstream.address
        )
        assert status == 200
        await test_processes.wait_for(lambda: self._platform.is_ready(5))

    async def put(self, version, *names, **changes):
        """Send a document with these keys and return the status."""
        document = {**create_document(version, *names), **changes}
        return await self._platform._post(1, 'config/put', document)

    async def call(self, head):
        """Return the response to a request on a connection of its own."""
        async with connections.connect(self.address) as connection:
            return await connections.exchange(connection, head, 5.0)

    def send_signal(self, number, *prefixes):
        """Send a signal to the processes with these names."""
        for name, process in self.fleet.processes.items():
            if name.startswith(prefixes):
                process.send_signal(number)


@contextlib.asynccontextmanager
async def run_fleet(folder, block, answer=None):
    """Yield a started fleet; end it, and search its output for keys."""
    answer = answer or raw_upstreams.reply()
    with test_processes.run_fleet(folder, block) as processes:
        async with contextlib.AsyncExitStack() as stack:
            session = await stack.enter_async_context(aiohttp.ClientSession())
            upstream = await stack.enter_async_context(
                raw_upstreams.RawUpstream(answer)
            )
            fleet = WorkspaceFleet(processes, session, upstream)
            await fleet.start()
            yield fleet
        statuses = await asyncio.to_thread(processes.stop)
    assert set(statuses.values()) == {0}
    assert 'ksecret' not in ''.join(upstream.requests)
    logs = [path.read_text() for path in folder.glob('*.log')]
    assert len(logs) == 4
    assert all('"event"' in log for log in logs)
    assert not any('ksecret' in log for log in logs)


def create_odd_heads():
    """Return requests with keys that are not served, and their statuses."""
    token = f'Token {KEYS["first"]}'
    twice = create_head('first', f'authorization: {token}')
    return [
        (create_head('unknown'), 401),
        (twice, 401),
        (test_admissions.create_head(f'Tenant: {token}', target='/p/'), 401),
        (create_head('first', target='/q/'), 404),
        (create_head('first', 'Content-Length: x'), 400),
        (create_head('first', 'Content-Length: 999999999'), 413),
        # Larger than the limit of a host that has just got its first document.
        (create_head('first', f'X-Long: {"x" * 300_000}'), 431),
        (
            test_admissions.create_head(
                f'Authorization : {token}', target='/p/'
            ),
            400,
        ),
        (
            test_admissions.create_head(
                f'Authorization: {token}\0\x01', target='/p/'
            ),
            400,
        ),
    ]


async def test_no_key_reaches_an_upstream_or_a_log_line(tmp_path):
    """Guards against keys that others than the fleet learn.

    Also guards against a workspace that a caller names itself.
    """
    async with run_fleet(tmp_path, 61) as fleet:
        own = ('Tenant: w-second', 'tenant: w-second', 'Connection: tenant')
        for name in ('first', 'second'):
            for target in ('/p/x', '/o/x'):
                head = create_head(name, *own, target=target)
                assert (await fleet.call(head)).status == 200
                found = fleet.upstream.requests[-1]
                tenants = test_admissions.read_all(found, 'Tenant')
                assert tenants == [f'w-{name}']
        head = create_head('unknown', *own, target='/o/x')
        assert (await fleet.call(head)).status == 200
        assert not test_admissions.read_all(
            fleet.upstream.requests[-1], 'Tenant'
        )
        served = len(fleet.upstream.requests)
        for head, status in create_odd_heads():
            assert (await fleet.call(head)).status == status
        assert len(fleet.upstream.requests) == served
        # Invalid documents are refused without their keys in a log line.
        first = {'name': 'w1', 'apiKeys': [KEYS['first']]}
        for tenants in (
            [first, {**first, 'name': 'w2'}],
            [{**first, 'apiKeys': KEYS['first']}],
            [{**first, 'apiKeys': {KEYS['first']: 1}}],
            [{**first, 'burst': KEYS['first']}],
            KEYS['first'],
        ):
            assert await fleet.put(8, tenants=tenants) == 400
        # An upstream that fails leaves lines about its attempts.
        fleet.upstream.answers = [raw_upstreams.reset]
        assert (await fleet.call(create_head('first'))).status == 502


async def test_a_revoked_key_ends_everywhere(tmp_path):
    """Guards against a revocation that spares open connections and requests."""
    async with run_fleet(tmp_path, 62) as fleet:
        head = create_head('revoked')
        body = create_head('revoked', 'Content-Length: 5', method='POST')
        async with contextlib.AsyncExitStack() as stack:
            kept = await stack.enter_async_context(
                connections.connect(fleet.address)
            )
            sending = await stack.enter_async_context(
                connections.connect(fleet.address)
            )
            assert (await connections.exchange(kept, head)).status == 200
            assert (await connections.exchange(kept, head)).status == 200
            sending[1].write(body + b'orde')
            assert await fleet.put(8, 'first') == 200
            async with asyncio.timeout(REVOKE_SECONDS):
                answer = await connections.read_answer(
                    sending[0], REVOKE_SECONDS
                )
                assert answer.status == 401
                assert answer.headers['connection'] == 'close'
                while (await connections.exchange(kept, head)).status == 200:
                    await asyncio.sleep(0.1)
            answer = await connections.exchange(kept, head)
            assert answer.status == 401
            assert answer.headers['www-authenticate'] == 'Token'
            answer = await connections.exchange(kept, create_head('first'))
            assert answer.status == 200


async def test_a_revoked_key_ends_in_a_queue(tmp_path):
    """Guards against sending a queued request after its key was revoked."""
    is_open = asyncio.Event()

    async def answer_late(*args):
        await is_open.wait()
        await raw_upstreams.reply()(*args)

    async with run_fleet(tmp_path, 63, answer_late) as fleet:
        running = [
            asyncio.create_task(fleet.call(create_head('first')))
            for _ in range(SLOTS)
        ]
        async with asyncio.timeout(2.0):
            while len(fleet.upstream.requests) < SLOTS:
                await asyncio.sleep(0.02)
        waiting = asyncio.create_task(fleet.call(create_head('revoked')))
        await asyncio.sleep(0.3)
        assert not waiting.done()
        assert await fleet.put(8, 'first') == 200
        assert (await waiting).status == 401
        is_open.set()
        answers = await asyncio.gather(*running)
        assert {answer.status for answer in answers} == {200}
        assert len(fleet.upstream.requests) == SLOTS


@pytest.mark.parametrize('stopped', ['host', 'replica'])
async def test_a_host_that_lags_refuses_no_new_key(tmp_path, stopped):
    """Guards against 401 for a key that the fleet has confirmed.

    The host, or each replica, stands still for a while. A caller may get 503,
    which it may repeat.
    """
    block = 64 if stopped == 'host' else 65
    async with run_fleet(tmp_path, block) as fleet:
        head = create_head('added')
        if stopped == 'host':
            fleet.send_signal(signal.SIGSTOP, stopped)
            assert await fleet.put(8, 'first', 'added') == 200
        else:
            assert (await fleet.call(head)).status == 401
            fleet.send_signal(signal.SIGSTOP, stopped)
        await asyncio.sleep(2.0)
        calls = [asyncio.create_task(fleet.call(head)) for _ in range(8)]
        await asyncio.sleep(0.2)
        fleet.send_signal(signal.SIGCONT, 'host')
        statuses = {answer.status for answer in await asyncio.gather(*calls)}
        assert statuses <= ({200, 503} if stopped == 'host' else {503})
        assert (await fleet.call(create_head('first'))).status == 200
        fleet.send_signal(signal.SIGCONT, 'replica')
        # Replicas that stood still may have to elect a leader first.
        allowed = {200} if stopped == 'host' else {200, 503}

        async def is_confirmed():
            status = await fleet.put(9, 'first', 'added')
            assert status in allowed
            return status == 200

        await test_processes.wait_for(is_confirmed, 5.0)

        async def is_served():
            answer = await fleet.call(head)
            assert answer.status in {200, 503}
            return answer.status == 200

        if stopped == 'host':
            await test_processes.wait_for(is_served, 5.0)
