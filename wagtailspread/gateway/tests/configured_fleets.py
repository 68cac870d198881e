"""Fixtures: a host and replicas behind slow links, in one process."""

import asyncio
import contextlib
import json
import random

from wagtailspread.configuration import documents
from wagtailspread.core import clocks, identifiers
from wagtailspread.gateway import buffers, hosts, stops
from wagtailspread.gateway.tests import slow_links
from wagtailspread.placement import budgets, costs
from wagtailspread.platform import documents as decoding
from wagtailspread.platform import names
from wagtailspread.registry import records, services
from wagtailspread.wire import credentials, listeners, signing

REGIONS = {'north': 'r1'}
#: Bandwidth of the slowest host links, in bytes per second: 2 Mbit/s.
SLOW_RATE = 250_000
_MEMBER = identifiers.MemberId('m')
_KEY = signing.create_key()
_DIRECTORY = credentials.FixedDirectory(
    {_MEMBER: signing.public_bytes(_KEY)},
)


def create_routes(count, seed=1):
    """Return routes with random names and paths."""
    draw = random.Random(seed)
    return [
        {
            'name': f'r-{draw.getrandbits(36):09x}',
            'pathPrefix': f'/{draw.getrandbits(32):08x}/',
            'kind': 'safe',
            'timeout': '2000ms',
            'sloLatency': '800ms',
            'priority': 0,
            'service': 'columns',
            'maxAttempts': 2,
        }
        for _ in range(count)
    ]


def create_body(version, routes):
    """Return a document with these routes."""
    fields = {
        'version': version,
        'services': [{'name': 'columns', 'maxConnections': 390}],
        'virtualHosts': [{'host': 'a.example', 'pathRoutes': routes}],
    }
    return json.dumps(fields, separators=(',', ':')).encode()


def create_own(role):
    """Return the credentials of a process."""
    return credentials.Credentials(
        credentials.Peer(_MEMBER, role, role),
        _KEY,
    )


def _create_record(number, state):
    return records.UpstreamRecord(
        upstream=f'u{number}',
        service='columns',
        address=f'127.0.0.1:{number + 1}',
        domain='north',
        slots=6,
        state=state,
        born_ms=1,
        sequence=1,
    )


class Replica:
    """Registry and document of one replica behind a slow link."""

    def __init__(self, rate=SLOW_RATE):
        """Start without a document."""
        self.document = documents.VersionedDocument()
        self.link = slow_links.SlowLink(rate)
        self.is_connected = True
        self.is_lagging = False
        self.service = None
        self._listener = None

    async def __aenter__(self):
        """Listen behind the link."""
        await self.link.start()
        self.service = services.create_service(
            self.link.address,
            'north',
            REGIONS,
            clocks.SystemClock(),
        )
        self._listener = listeners.create_listener(
            create_own('replica'),
            _DIRECTORY,
        )
        self.service.attach(self._listener, self)
        self.link.connect_to(await self._listener.start('127.0.0.1:0'))
        return self

    async def __aexit__(self, *_error):
        """Break all connections and stop listening."""
        await self.close()

    async def close(self):
        """Break all connections and stop listening."""
        await self.link.close()
        await self._listener.close()

    def put(self, version, body):
        """Make a document the active version."""
        self.document.put(version, body)
        self.service.feed.wake()

    def register(self, number):
        """Register a heartbeat of an upstream."""
        ready = records.UpstreamState.READY
        self.service.register(_create_record(number, ready))

    async def drain(self, number):
        """Report that an upstream drains; tell whether that is confirmed."""
        draining = records.UpstreamState.DRAINING
        record = _create_record(number, draining)
        return await self.service.register_departure(record)

    def list_replicas(self):
        """Return this replica alone."""
        return [self.link.address]

    def has_quorum(self):
        """Tell whether this replica can reach a quorum."""
        return self.is_connected

    def is_up_to_date(self):
        """Tell whether this replica has applied the latest commits."""
        return self.is_connected and not self.is_lagging

    def is_majority(self, _others):
        """Tell that no other replica has to know of a departure."""
        return True

    def read_document(self):
        """Return the active document."""
        return self.document


@contextlib.asynccontextmanager
async def run_host(*replicas):
    """Yield a host that knows these replicas as its seeds."""
    host = hosts.create_host(
        hosts.GatewaySettings(
            host='h1',
            location=costs.Location('north', REGIONS),
            caller_address='127.0.0.1:0',
            ready_address='127.0.0.1:0',
            ready_path='/ready',
            link_address='127.0.0.1:0',
            find_seeds=lambda: [one.link.address for one in replicas],
            local_credentials=create_own('host'),
            directory=_DIRECTORY,
            header_names=names.HEADERS,
            retry_budget=budgets.RetryBudgetSettings(0.2, 10.0, 10.0),
            stop_seconds=stops.ACCEPT_SECONDS + 1.0,
            response_limits=buffers.create_limits(),
        ),
        decoding.read_valid,
    )
    await host.start()
    try:
        yield host
    finally:
        await host.stop()


async def wait_for_version(host, version, seconds):
    """Wait until a version is active at a host.

    :param seconds: maximum time to wait.
    :raises TimeoutError: if it takes longer.
    """
    async with asyncio.timeout(seconds):
        while host.server.routes is None:
            await asyncio.sleep(0.01)
        while host.server.routes.settings.version < version:
            await asyncio.sleep(0.01)


async def wait_for_version_or_bytes(host, version, link, size):
    """Wait until a version is active or a link has passed some more bytes.

    :param size: bytes, counted from now.
    """
    end = link.passed + size
    while link.passed < end:
        routes = host.server.routes
        if routes is not None and routes.settings.version >= version:
            return
        await asyncio.sleep(0.01)
