"""Test helper: clients outside the limits before one process of the system.

The crowd is small, and so is the memory that the settings of the process
state. The bounds follow from the settings, so they do not depend on the speed
of the machine. Tests that use a crowd hold a lock, so that two runs do not load
the machine at the same time.
"""

import asyncio
import contextlib
import fcntl
import json
import os
import pathlib
import tempfile

import aiohttp

from wagtailspread.gateway.tests import raw_upstreams
from wagtailspread.platform.tests import test_processes

#: Connections of a crowd.
CLIENTS = 200
#: Memory that the settings of each process state, in megabytes. A process
#: without clients takes 45 to 50 MB.
MEMORY_MB = 80
#: Bound on the peak of the resident memory of a process, in kB.
MAX_MEMORY_KB = MEMORY_MB * 1_000_000 // 1024
#: Bound on the open descriptors of a process: one for each client, and those
#: that it needs itself.
MAX_DESCRIPTORS = CLIENTS + 64
#: Limits in the configuration document, lower than those of a deployment.
HEAD_BYTES = 16_384
BODY_BYTES = 2 * 1024 * 1024
#: A client that has sent nothing for this time is blocked, in seconds.
QUIET_SECONDS = 2.0
#: Longest time to wait for an ordinary request to be served, in seconds.
SERVICE_TIMEOUT_SECONDS = 60.0

_HOST_NUMBER = 5
_LOCK_PATH = pathlib.Path(tempfile.gettempdir()) / f'crowds-{os.getuid()}'
#: Statuses by which the fleet promises that a request has not run.
_NOT_RUN = frozenset((b'408', b'421', b'429', b'503'))


class LimitedFleet(test_processes.Fleet):
    """One replica and one host whose settings state a small memory."""

    def __init__(self, folder, block):
        """Create a fleet without processes."""
        super().__init__(folder, block)
        self.seeds = self.seeds[:1]

    def _start(self, name, number, **changes):
        limits = {'memoryMb': MEMORY_MB}
        tolerance = {'machines': 0}
        super()._start(
            name, number, limits=limits, faultTolerance=tolerance, **changes
        )


class LimitedPlatform(test_processes.Platform):
    """Calls of the platform, with lower limits in the document."""

    async def put(self, number, version):
        """Send a configuration to a replica and return the status."""
        document = test_processes.create_document(version)
        document['limits']['maxHeaderBytes'] = HEAD_BYTES
        document['limits']['maxBodyBytes'] = BODY_BYTES
        return await self._post(number, 'config/put', document)


@contextlib.contextmanager
def hold_lock():
    """Wait until no other crowd runs on this machine, and keep others off."""
    with _LOCK_PATH.open('a') as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


class Stage:
    """A running fleet with one upstream, and its crowd.

    :param host: pid of the host.
    :param replica: pid of the replica.
    :param upstream: the only upstream.
    :param crowd: the connected clients.
    """

    def __init__(self, fleet, platform, upstream):
        """Store the parts; nothing is started."""
        self._fleet = fleet
        self._platform = platform
        self._sequence = 0
        self.upstream = upstream
        self.crowd = []

    @property
    def host(self):
        """Return the process of the host."""
        return self._fleet.processes[f'host{_HOST_NUMBER}']

    @property
    def replica(self):
        """Return the process of the replica."""
        return self._fleet.processes['replica0']

    def find_caller_address(self):
        """Return the address for callers."""
        return self._find_address(_HOST_NUMBER, test_processes.CALLER_PORT)

    def find_ready_address(self):
        """Return the address for readiness checks."""
        return self._find_address(_HOST_NUMBER, test_processes.READY_PORT)

    def find_control_address(self):
        """Return the address of the replica for upstreams and operators."""
        return self._find_address(0, test_processes.CONTROL_PORT)

    def find_link_address(self):
        """Return the address of the replica for other processes."""
        return self._find_address(0, test_processes.LINK_PORT)

    async def start(self):
        """Start the processes and wait until a request is served."""
        self._fleet.start_replica(0)
        self._fleet.start_host(_HOST_NUMBER)

        async def put():
            return await self._platform.put(0, 7) == 200

        await test_processes.wait_for(put, SERVICE_TIMEOUT_SECONDS)
        await self.wait_for_service()

    async def wait_for_service(self):
        """Wait until an ordinary request is served."""

        async def is_served():
            await self._send_heartbeat()
            return await self._platform.send_order(_HOST_NUMBER) == (
                200,
                b'whole',
            )

        await test_processes.wait_for(is_served, SERVICE_TIMEOUT_SECONDS)

    async def wait_for_control(self):
        """Wait until the replica answers a heartbeat and a read."""

        async def is_served():
            status = await self._send_heartbeat()
            return status == 200 and await self._platform.read(0) == 7

        await test_processes.wait_for(is_served, SERVICE_TIMEOUT_SECONDS)

    async def wait_for_readiness(self):
        """Wait until the host reports that it is ready."""
        await test_processes.wait_for(
            lambda: self._platform.is_ready(_HOST_NUMBER),
            SERVICE_TIMEOUT_SECONDS,
        )

    async def gather_crowd(self, address, create_pieces, clients=CLIENTS):
        """Connect a crowd, and return when it has sent what it could.

        :param create_pieces: returns the pieces that a client sends, by its
            number.
        """
        self.crowd = [Client(number) for number in range(clients)]
        await asyncio.gather(
            *(
                client.start(address, create_pieces(client.number))
                for client in self.crowd
            )
        )
        seen = -1
        while seen != sum(client.sent for client in self.crowd):
            seen = sum(client.sent for client in self.crowd)
            await asyncio.sleep(QUIET_SECONDS)

    async def dismiss_crowd(self):
        """Close all connections of the crowd."""
        await asyncio.gather(*(client.close() for client in self.crowd))

    def check_process(self, process, max_descriptors=MAX_DESCRIPTORS):
        """Check that a process lives within its memory and descriptors."""
        assert process.poll() is None, 'the process has ended'
        memory = read_peak_memory(process.pid)
        descriptors = count_descriptors(process.pid)
        print(f'peak {memory} kB, {descriptors} descriptors')  # noqa: T201
        assert memory <= MAX_MEMORY_KB, f'{memory} kB'
        assert descriptors <= max_descriptors, f'{descriptors} descriptors'

    def check_promises(self):
        """Check that no request of a client that was refused has run."""
        ran = {head.split(' ', 2)[1] for head in self.upstream.requests}
        refused = [
            client for client in self.crowd if client.find_status() in _NOT_RUN
        ]
        broken = {client.path for client in refused} & ran
        assert broken == set()

    def _find_address(self, number, port):
        return self._fleet.find_address(number, port)

    async def _send_heartbeat(self):
        self._sequence += 1
        return await self._platform.send_heartbeat(
            0, 'u0', self.upstream.address, seq=self._sequence
        )


class Client:
    """One connection that sends pieces and keeps what is answered.

    :param sent: number of bytes sent.
    :param path: path of its first request.
    """

    def __init__(self, number):
        """Create a client that is not connected."""
        self.number = number
        self.path = create_path(number)
        self.sent = 0
        self.received = b''
        self._tasks = []
        self._writer = None

    async def start(self, address, pieces):
        """Connect, then send and receive in the background."""
        ip, _, port = address.rpartition(':')
        with contextlib.suppress(OSError):
            reader, self._writer = await asyncio.open_connection(ip, int(port))
            self._tasks = [
                asyncio.create_task(self._send(pieces)),
                asyncio.create_task(self._receive(reader)),
            ]

    def find_status(self):
        """Return the status of the first response, empty if there is none."""
        return self.received[9:12]

    def is_closed(self):
        """Tell whether the process has closed the connection."""
        return not self._tasks or self._tasks[1].done()

    async def close(self):
        """Reset the connection."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._writer is not None:
            self._writer.transport.abort()

    async def _send(self, pieces):
        with contextlib.suppress(OSError):
            for piece in pieces:
                self._writer.write(piece)
                await self._writer.drain()
                self.sent += len(piece)

    async def _receive(self, reader):
        with contextlib.suppress(OSError):
            while not reader.at_eof():
                piece = await reader.read(65_536)
                self.received = (self.received + piece)[:4096]


@contextlib.asynccontextmanager
async def run_stage(folder, block):
    """Yield a fleet that serves requests; its processes are killed after."""
    with hold_lock(), run_fleet(folder, block) as fleet:
        async with (
            aiohttp.ClientSession() as session,
            raw_upstreams.RawUpstream(raw_upstreams.reply()) as upstream,
        ):
            stage = Stage(fleet, LimitedPlatform(fleet, session), upstream)
            await stage.start()
            try:
                yield stage
            finally:
                await stage.dismiss_crowd()


@contextlib.contextmanager
def run_fleet(folder, block):
    """Yield a fleet whose processes are killed at the end of the test."""
    fleet = LimitedFleet(folder, block)
    try:
        yield fleet
    finally:
        for name in list(fleet.processes):
            fleet.kill(name)


def create_path(number):
    """Return the path of the requests of a client."""
    return f'/p/client-{number}'


def create_head(number, lines=(), method='POST'):
    """Return the head of a request of a client.

    :param lines: further header lines.
    """
    first = (f'{method} {create_path(number)} HTTP/1.1', 'Host: a.example')
    return '\r\n'.join((*first, *lines, '', '')).encode('latin-1')


def create_chunk(content):
    """Return one chunk of a body."""
    return b'%x\r\n%s\r\n' % (len(content), content)


def read_peak_memory(pid):
    """Return the largest resident memory of a process so far, in kB."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    line = next(one for one in status.splitlines() if 'VmHWM' in one)
    return int(line.split()[1])


def count_descriptors(pid):
    """Return the number of open descriptors of a process."""
    return len(os.listdir(f'/proc/{pid}/fd'))


def encode(fields):
    """Return the JSON text of a body."""
    return json.dumps(fields).encode()
