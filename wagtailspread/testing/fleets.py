"""Fleet of separate processes on loopback addresses.

The demonstration uses it, and so do tests of failures that cannot occur
within one process. Each process that was started is stopped by its pid.
"""

import asyncio
import base64
import dataclasses
import json
import pathlib
import signal
import subprocess
import sys
import time
import typing

import aiohttp

from wagtailspread.testing import ports
from wagtailspread.wire import signing

MEMBER = 'centro-andes'
#: Default timeout for a condition or the end of a process, in seconds.
MAX_WAIT_SECONDS = 15.0
_POLL_SECONDS = 0.05
#: Regions and failure domains, assigned to processes in turn.
_LOCATIONS = (
    ('centro-andes', 'andes-bog'),
    ('centro-andes', 'andes-mde'),
    ('costa-norte', 'costa-baq'),
    ('costa-norte', 'costa-ctg'),
)

BASE_FILE = """\
[fleet]
name = demonstration

[member {member}]
public_key = {public_key}

[region centro-andes]
domains = andes-bog, andes-mde
hosts = {hosts}
link = 30Mbit/s

[region costa-norte]
domains = costa-baq, costa-ctg
hosts = {hosts}
link = 30Mbit/s

[service vitrina]
floor = 50%
share_urgent = 60%
share_standard = 30%
share_bulk = 10%
warm_up = 1s

[service contratos]
floor = 50%
deadline = 4s
warm_up = 1s

[route columns]
service = vitrina
path = /columns
priority = urgent

[route search]
service = vitrina
path = /search
priority = standard

[route archive]
service = vitrina
path = /archive
priority = bulk

[route orders]
service = contratos
path = /orders
methods = POST
priority = urgent
idempotent = no
"""


@dataclasses.dataclass(slots=True)
class Process:
    """One process of the fleet.

    :param address: address of its HTTP server or, of a replica, for the
        fleet's internal protocol.
    """

    name: str
    address: str
    popen: subprocess.Popen[bytes]

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.popen.send_signal(number)

    def wait(self, seconds: float = MAX_WAIT_SECONDS) -> int:
        """Wait for the end of the process and return its exit status.

        :param seconds: maximum time to wait.
        :raises subprocess.TimeoutExpired: if the process is still running.
        """
        return self.popen.wait(seconds)

    @property
    def is_running(self) -> bool:
        """Tell whether the process is running."""
        return self.popen.poll() is None


class Fleet:
    """Replicas, entry hosts and fake upstreams with files in one folder.

    Use it as a context manager, so that all processes are stopped.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        program: typing.Sequence[str] = ('-m', 'wagtailspread'),
    ) -> None:
        """Write the member's key and the base file; nothing is started yet.

        :param program: arguments of the Python interpreter.
        """
        self._program = program
        self.folder = folder
        self.replicas: list[Process] = []
        self.entries: list[Process] = []
        self.upstreams: list[Process] = []
        key = signing.create_key()
        self.key_file = folder / 'member.pem'
        self.key_file.write_bytes(signing.dump_key(key))
        self.key_file.chmod(0o600)
        public = base64.b64encode(signing.public_bytes(key)).decode()
        self._public_key = public
        self.base_text = ''
        self.write_base(hosts=2)
        self._replica_addresses: list[str] = []
        self._control_addresses: list[str] = []

    def __enter__(self) -> 'Fleet':
        """Return the fleet."""
        return self

    def __exit__(self, *_: object) -> None:
        """Kill all processes that are still running."""
        for process in (*self.upstreams, *self.entries, *self.replicas):
            if process.is_running:
                process.send_signal(signal.SIGCONT)
                process.popen.kill()
                process.wait()

    def write_base(self, hosts: int) -> None:
        """Write a base file that sets ``hosts`` hosts for each region."""
        self.base_text = BASE_FILE.format(
            member=MEMBER,
            public_key=self._public_key,
            hosts=hosts,
        )
        (self.folder / 'base.ini').write_text(self.base_text)

    def start_replicas(self, count: int = 3) -> None:
        """Start the replicas of the first membership."""
        self._replica_addresses = [
            ports.reserve_address() for _ in range(count)
        ]
        for number in range(count):
            self.replicas.append(self.start_replica(number))

    def start_replica(self, number: int) -> Process:
        """Start or restart one replica."""
        peers = ' '.join(self._replica_addresses)
        region, domain = _LOCATIONS[number % len(_LOCATIONS)]
        address = self._replica_addresses[number]
        text = self._describe_process(f'r{number}', region, domain)
        section = (
            f'\n[replica]\naddress = {address}\npeers = {peers}\n'
            f'data_folder = data-{number}\nfounders = {peers}\n'
            'first_base = base.ini\n'
        )
        return self._start_with_settings(
            'replica', f'r{number}', text, section, address
        )

    def start_entries(self, count: int = 4, drain: str = '500ms') -> None:
        """Start entry hosts, distributed over the failure domains.

        :param drain: time to drain on shutdown, as in the settings.
        """
        self._control_addresses = [
            ports.reserve_address() for _ in range(count)
        ]
        for number in range(count):
            self.entries.append(self.start_entry(number, drain))

    def start_entry(self, number: int, drain: str = '500ms') -> Process:
        """Start or restart one entry host with a new caller address."""
        region, domain = _LOCATIONS[number % len(_LOCATIONS)]
        address = ports.reserve_address()
        text = self._describe_process(f'h{number}', region, domain)
        section = (
            f'\n[entry]\ncaller_address = {address}\n'
            f'control_address = {self._control_addresses[number]}\n'
            f'replicas = {" ".join(self._replica_addresses)}\n'
            f'seeds = {" ".join(self._control_addresses)}\n'
            f'folder = entry-{number}\ndrain = {drain}\n'
        )
        return self._start_with_settings(
            'entry', f'h{number}', text, section, address
        )

    def start_upstream(self, service: str, name: str, number: int) -> Process:
        """Start a fake upstream that announces itself to hosts of its region.

        :param number: determines the region and the failure domain.
        """
        region, domain = _LOCATIONS[number % len(_LOCATIONS)]
        address = ports.reserve_address()
        arguments = [
            'fake-upstream',
            f'--identity={service}/{name}/{region}/{domain}',
            f'--address={address}',
        ]
        for entry in self.list_entries(region):
            arguments.append(f'--entry={entry.address}')
        process = self._start(name, arguments, address)
        self.upstreams.append(process)
        return process

    def list_entries(self, region: str) -> list[Process]:
        """Return the entry hosts of a region."""
        return [
            entry
            for number, entry in enumerate(self.entries)
            if _LOCATIONS[number % len(_LOCATIONS)][0] == region
        ]

    @property
    def replica_addresses(self) -> tuple[str, ...]:
        """Addresses of all replicas."""
        return tuple(self._replica_addresses)

    def _describe_process(self, host: str, region: str, domain: str) -> str:
        return (
            f'[process]\nmember = {MEMBER}\nhost = {host}\n'
            f'region = {region}\ndomain = {domain}\n'
            'key_file = member.pem\n\n'
            f'[trust {MEMBER}]\npublic_key = {self._public_key}\n'
        )

    def _start_with_settings(
        self,
        role: str,
        name: str,
        process_section: str,
        role_section: str,
        address: str,
    ) -> Process:
        path = self.folder / f'{name}.ini'
        path.write_text(f'{process_section}{role_section}')
        return self._start(name, [role, str(path)], address)

    def _start(
        self,
        name: str,
        arguments: typing.Sequence[str],
        address: str,
    ) -> Process:
        log = (self.folder / f'{name}.log').open('ab')
        with log:
            popen = subprocess.Popen(
                [sys.executable, *self._program, *arguments],
                stdout=log,
                stderr=log,
            )
        return Process(name, address, popen)


async def wait_until(
    is_reached: typing.Callable[[], typing.Awaitable[bool]],
    seconds: float = MAX_WAIT_SECONDS,
) -> float | None:
    """Poll a condition until it is true.

    :param seconds: timeout.
    :returns: seconds until the condition was true; ``None`` after a timeout.
    """
    started = time.monotonic()
    while time.monotonic() - started < seconds:
        if await is_reached():
            return time.monotonic() - started
        await asyncio.sleep(_POLL_SECONDS)
    return None


async def read_status(
    session: aiohttp.ClientSession,
    entry: Process,
) -> dict[str, typing.Any]:
    """Return the status of an entry host; empty without a valid answer."""
    try:
        async with session.get(
            f'http://{entry.address}/-/status',
            timeout=aiohttp.ClientTimeout(total=1),
        ) as answer:
            return json.loads(await answer.text())
    except (aiohttp.ClientError, TimeoutError, ValueError):
        return {}


async def is_ready(session: aiohttp.ClientSession, entry: Process) -> bool:
    """Tell whether the host reports itself ready to a load balancer."""
    try:
        async with session.get(
            f'http://{entry.address}/-/ready',
            timeout=aiohttp.ClientTimeout(total=1),
        ) as answer:
            return answer.status == 200
    except (aiohttp.ClientError, TimeoutError):
        return False
