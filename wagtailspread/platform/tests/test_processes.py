"""The programs of both roles as processes on loopback addresses."""

import asyncio
import contextlib
import json
import os
import shutil
import subprocess  # noqa: S404 - the programs are our own
import sys

import aiohttp
import pytest

from wagtailspread.gateway.tests import raw_upstreams
from wagtailspread.observability.tests import test_writers
from wagtailspread.testing import ports

ZONES = {'z1': 'r1', 'z2': 'r1', 'z3': 'r2'}
CONTROL_PORT = 18544
LINK_PORT = 17540
CALLER_PORT = 18548
READY_PORT = 18542
#: Longest wait for programs to listen, in seconds. Three of them that share one
#: busy processor took over 15 s.
_START_SECONDS = 120.0
_HEADERS = {'Host': 'a.example', 'Attempt-Id': 'a1', 'Deadline-Ms': '4000'}


def create_document(version):
    """Return a configuration with one route."""
    route = {
        'name': 'r1',
        'pathPrefix': '/p/',
        'kind': 'unsafe',
        'timeout': '5000ms',
        'sloLatency': '2000ms',
        'priority': 0,
        'service': 'sa',
        'maxAttempts': 2,
    }
    return {
        'version': version,
        'services': [{'name': 'sa', 'maxConnections': 390}],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 67108864,
            'headerTimeout': '3000ms',
            'idleTimeout': '15000ms',
        },
        'virtualHosts': [{'host': 'a.example', 'pathRoutes': [route]}],
    }


class Fleet:
    """Processes with settings in the platform's format.

    :param block: third byte of the addresses, different in each test.
    """

    def __init__(self, folder, block):
        """Create a fleet without processes."""
        self.folder = folder
        self.block = block
        self.processes = {}
        self.seeds = [f'{self.find_ip(n)}:{CONTROL_PORT}' for n in range(3)]

    def find_ip(self, number):
        """Return the address of a machine."""
        return f'127.{ports.reserve_network()}.{self.block}.{number + 1}'

    def start_replica(self, number, *, is_first=True):
        """Start a replica."""
        ip = self.find_ip(number)
        self._start(
            f'replica{number}',
            number,
            listen={'control': f'{ip}:{CONTROL_PORT}'},
            dataDir=str(self.folder / f'data{number}'),
            bootstrap=is_first,
        )

    def start_host(self, number):
        """Start a host that accepts the requests of callers."""
        ip = self.find_ip(number)
        listen = {
            'front': f'{ip}:{CALLER_PORT}',
            'readinessAddr': f'{ip}:{READY_PORT}',
        }
        self._start(f'host{number}', number, listen=listen, dataDir=None)

    def find_address(self, number, port):
        """Return the address of a machine for one of its listeners."""
        return f'{self.find_ip(number)}:{port}'

    def _start(self, name, number, **changes):
        role = 'replica' if name.startswith('replica') else 'entry'
        zone = list(ZONES)[number % len(ZONES)]
        settings = {
            'nodeName': name,
            'ip': self.find_ip(number),
            'zone': zone,
            'region': ZONES[zone],
            'zones': ZONES,
            'internalPorts': [LINK_PORT, LINK_PORT + 15],
            'seeds': self.seeds,
            'faultTolerance': {'machines': 1},
            'bounds': ['grace=6s', 'retryRatio=0.2', 'retrySlack=62'],
            **changes,
        }
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings))
        with self.open_log(name) as log:
            self.processes[name] = subprocess.Popen(  # noqa: S603
                [sys.executable, '-m', 'wagtailspread.platform', role],
                env={**os.environ, 'WAGTAILSPREAD_BOOT': str(path)},
                stdout=log,
                stderr=log,
            )

    def open_log(self, name):
        """Open the file that takes the output of a process."""
        return (self.folder / f'{name}.log').open('a')

    def kill(self, name):
        """Kill a process."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def stop(self):
        """Terminate all processes and return their exit statuses."""
        for process in self.processes.values():
            process.terminate()
        return {name: one.wait(10) for name, one in self.processes.items()}


@contextlib.contextmanager
def run_fleet(folder, block):
    """Yield a fleet whose processes are killed at the end of the test."""
    fleet = Fleet(folder, block)
    try:
        yield fleet
    finally:
        for process in fleet.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()


async def wait_for(check, seconds=15.0):
    """Wait until ``check`` returns true; a connection error counts as false."""
    async with asyncio.timeout(seconds):
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                if await check():
                    return
            await asyncio.sleep(0.1)


async def wait_for_listeners(platform):
    """Wait until all replicas listen.

    The start of a program takes seconds of processor time. It is no part of
    the time in which a fleet must recover.
    """

    async def is_listening():
        for number in range(3):
            await platform.read(number)
        return True

    await wait_for(is_listening, _START_SECONDS)


class Platform:
    """Calls of the platform to a fleet."""

    def __init__(self, fleet, session):
        """Store the fleet and the session."""
        self.fleet = fleet
        self.session = session

    async def put(self, number, version):
        """Send a configuration to a replica and return the status."""
        return await self._post(
            number,
            'config/put',
            create_document(version),
        )

    async def read(self, number):
        """Return the version at a replica, or the status if it has none."""
        url = self._find_url(number, 'config/get')
        async with self.session.get(url) as answer:
            if answer.status != 200:
                return answer.status
            return json.loads(await answer.read())['version']

    async def send_heartbeat(
        self, number, upstream, address, state='ready', seq=1
    ):
        """Send a heartbeat of an upstream and return the status."""
        heartbeat = {
            'service': 'sa',
            'address': address,
            'zone': 'z1',
            'version': 'v1',
            'concurrency': 6,
            'state': state,
            'warmupLeft': '0ms',
            'seq': seq,
            'born': 1000,
        }
        path = f'instances/{upstream}/heartbeat'
        return await self._post(number, path, heartbeat)

    async def is_ready(self, number):
        """Tell whether a host reports that it is ready."""
        url = f'http://{self.fleet.find_ip(number)}:{READY_PORT}'
        async with self.session.get(f'{url}/wagtailspread/ready') as answer:
            return answer.status == 200

    async def send_order(self, number):
        """Send an order to a host and return the status and the body."""
        url = f'http://{self.fleet.find_ip(number)}:{CALLER_PORT}/p/x'
        async with self.session.post(
            url,
            data=b'order',
            headers=_HEADERS,
        ) as answer:
            return answer.status, await answer.read()

    def _find_url(self, number, path):
        ip = self.fleet.find_ip(number)
        return f'http://{ip}:{CONTROL_PORT}/wagtailspread/{path}'

    async def _post(self, number, path, fields):
        url = self._find_url(number, path)
        async with self.session.post(url, json=fields) as answer:
            return answer.status


async def test_orders_are_served_by_ready_upstreams_only(tmp_path):
    """Guards against components that work alone but not together."""
    answers = [raw_upstreams.reply(body=b'one'), raw_upstreams.reply()]
    with run_fleet(tmp_path, 11) as fleet:
        for number in range(3):
            fleet.start_replica(number)
        fleet.start_host(5)
        async with contextlib.AsyncExitStack() as stack:
            session = await stack.enter_async_context(aiohttp.ClientSession())
            platform = Platform(fleet, session)
            upstreams = [
                await stack.enter_async_context(
                    raw_upstreams.RawUpstream(answer),
                )
                for answer in answers
            ]

            async def put():
                return await platform.put(1, 7) == 200

            await wait_for(put)
            for number, upstream in enumerate(upstreams):
                status = await platform.send_heartbeat(
                    number,
                    f'u{number}',
                    upstream.address,
                )
                assert status == 200
            await wait_for(lambda: platform.is_ready(5))
            assert (await platform.send_order(5))[0] == 200
            address = upstreams[0].address
            assert (
                await platform.send_heartbeat(2, 'u0', address, 'draining', 2)
                == 200
            )
            requests_before = len(upstreams[0].requests)
            for _ in range(8):
                assert await platform.send_order(5) == (200, b'whole')
            assert len(upstreams[0].requests) == requests_before
        statuses = await asyncio.to_thread(fleet.stop)
    assert set(statuses.values()) == {0}


async def test_a_configuration_survives_a_lost_disk_and_all_processes(tmp_path):
    """Guards against losing or reverting an acknowledged change."""
    with run_fleet(tmp_path, 12) as fleet:
        for number in range(3):
            fleet.start_replica(number)
        async with aiohttp.ClientSession() as session:
            platform = Platform(fleet, session)

            async def put(version=7):
                return await platform.put(2, version) == 200

            async def put_older():
                # A replica that gets no answer of its leader in 0.9 s, as on a
                # busy machine, answers 503; operators repeat the call then.
                status = await platform.put(1, 8)
                assert status in {200, 503}
                return status == 200

            await wait_for_listeners(platform)
            await wait_for(put)
            fleet.kill('replica0')
            shutil.rmtree(tmp_path / 'data0')
            fleet.start_replica(0, is_first=False)
            await wait_for(lambda: put(9))
            await wait_for(put_older)
            await wait_for_listeners(platform)

            async def is_newest():
                found = await platform.read(0)
                assert found in {9, 503}
                return found == 9

            await wait_for(is_newest)
            for number in range(3):
                fleet.kill(f'replica{number}')
            for number in range(3):
                fleet.start_replica(number, is_first=False)
            await wait_for_listeners(platform)
            await wait_for(is_newest)


@pytest.mark.parametrize(
    ('block', 'killed', 'wiped'), [(18, (0,), (0,)), (19, (0, 1, 2), ())]
)
async def test_replicas_that_end_at_once_form_a_fleet(
    tmp_path, block, killed, wiped
):
    """Guards against a fleet that never forms.

    The replica that forms the first membership loses its disk before, or all
    are killed before. When they are back, they are not told that the fleet is
    new.
    """
    with run_fleet(tmp_path, block) as fleet:
        for number in range(3):
            fleet.start_replica(number)
        await asyncio.sleep(0.3)
        for number in killed:
            fleet.kill(f'replica{number}')
        for number in wiped:
            shutil.rmtree(tmp_path / f'data{number}', ignore_errors=True)
        await asyncio.sleep(0.3)
        for number in killed:
            fleet.start_replica(number, is_first=False)
        async with aiohttp.ClientSession() as session:
            platform = Platform(fleet, session)

            async def put():
                return await platform.put(1, 7) == 200

            await wait_for(put)


async def test_a_lost_disk_after_a_planned_replacement_is_survived(tmp_path):
    """Guards against review/1: no leader was left, and no configuration."""
    with run_fleet(tmp_path, 13) as fleet:
        for number in range(3):
            fleet.start_replica(number)
        async with aiohttp.ClientSession() as session:
            platform = Platform(fleet, session)

            async def put(version=7):
                return await platform.put(0, version) == 200

            await wait_for(put)
            fleet.start_replica(3, is_first=False)
            await wait_for(lambda: is_voter(fleet, 3))
            await asyncio.sleep(1.0)
            fleet.processes['replica2'].terminate()
            await asyncio.sleep(0.5)
            fleet.kill('replica1')
            shutil.rmtree(tmp_path / 'data1')
            fleet.start_replica(1, is_first=False)

            # A read could rely on the lease of a leader without a majority.
            await wait_for(lambda: put(9))
            assert await platform.read(0) == 9


async def is_voter(fleet, number):
    """Tell whether any replica counts the one with this number as a voter."""
    address = f'{fleet.find_ip(number)}:{LINK_PORT}'
    lines = [
        json.loads(line)
        for path in fleet.folder.glob('replica*.log')
        for line in path.read_text().splitlines()
    ]
    return any(address in line.get('voters', ()) for line in lines)


async def test_a_replica_that_is_cut_off_confirms_no_departure(tmp_path):
    """Guards against review/3: a departure that only one replica knew."""
    with run_fleet(tmp_path, 14) as fleet:
        # No seed runs, so the replica is never told the membership.
        fleet.start_replica(5, is_first=False)
        async with aiohttp.ClientSession() as session:
            platform = Platform(fleet, session)

            async def is_up():
                status = await platform.send_heartbeat(5, 'u0', '10.0.0.1:80')
                return status == 200

            await wait_for(is_up)
            for state, seq in (('draining', 2), ('draining', 3)):
                status = await platform.send_heartbeat(
                    5, 'u0', '10.0.0.1:80', state, seq
                )
                assert status == 503


async def test_processes_run_while_nobody_reads_their_output(tmp_path):
    """Guards against an event loop that waits for the reader of its log."""
    read_end, write_end = os.pipe()
    stream = os.fdopen(write_end, 'w')
    test_writers.fill(stream)
    with run_fleet(tmp_path, 15) as fleet:
        fleet.open_log = lambda _name: os.fdopen(os.dup(write_end), 'w')
        for number in range(3):
            fleet.start_replica(number)
        fleet.start_host(5)
        async with aiohttp.ClientSession() as session:
            platform = Platform(fleet, session)

            async def put():
                return await platform.put(1, 7) == 200

            await wait_for(put)
            await wait_for(
                lambda: is_status(platform.send_heartbeat(0, 'u0', 'a:1'), 400)
            )
            status = await platform.send_heartbeat(0, 'u0', '10.0.0.1:80')
            assert status == 200
            await wait_for(lambda: platform.is_ready(5))
        statuses = await asyncio.to_thread(fleet.stop)
    os.close(read_end)
    stream.close()
    assert set(statuses.values()) == {0}


async def is_status(answer, expected):
    """Tell whether a call is answered with a status."""
    return await answer == expected
