"""Small test fleets on loopback sockets."""

import asyncio
import contextlib

from wagtailspread.core import clocks, identifiers
from wagtailspread.entry import (
    allocations,
    announcements,
    attempts,
    capping,
    connections,
    exchanges,
    forwarding,
    handlers,
    heads,
    heartbeats,
    interfaces,
    keys,
    owners,
    servers,
)
from wagtailspread.testing import stand_ins, upstreams
from wagtailspread.wire import credentials, links, listeners, signing

ANY_PORT = identifiers.Address('127.0.0.1:0')
SERVICE = identifiers.ServiceName('vitrina')
MEMBER = identifiers.MemberId('andino')
REGION = identifiers.RegionName('costa-norte')
DOMAIN = identifiers.FailureDomain('costa-baq')
KEY = signing.create_key()
DIRECTORY = credentials.FixedDirectory({MEMBER: signing.public_bytes(KEY)})
ROUTES = (
    stand_ins.FixedRoute('reads', SERVICE, '/vitrina'),
    stand_ins.FixedRoute(
        'orders',
        SERVICE,
        '/contratos',
        is_idempotent=False,
    ),
)


class Host:
    """One entry host of a test fleet."""

    def __init__(self, name, ownership, limits, max_body):
        clock = clocks.SystemClock()
        peer = credentials.Peer(MEMBER, identifiers.HostId(name), 'entry')
        local_credentials = credentials.Credentials(peer, KEY)
        identity = allocations.HostIdentity(peer.host, REGION, DOMAIN)
        self.host = peer.host
        self.records = []
        self.coordinator = stand_ins.SimpleCoordinator()
        self.owners = owners.OwnerTable(
            lambda _service: (self.coordinator, None),
            clock,
        )
        self.listener = listeners.create_listener(local_credentials, DIRECTORY)
        handlers.OwnerHandlers(self.owners, clock).register(self.listener)
        self.links = links.LinkPool(local_credentials, DIRECTORY)
        self.client = allocations.create_client(
            identity,
            ownership,
            self.owners,
            self.links,
            clock,
        )
        self.pools = connections.PoolTable(9)
        self.ownership = ownership
        self.heartbeat_sender = heartbeats.HeartbeatSender(
            identity,
            self.client,
            self.owners,
            lambda: [SERVICE],
            self.pools,
            clock,
        )
        self.keys = stand_ins.MemoryKeyStore()
        runner = attempts.AttemptRunner(
            peer.host,
            DOMAIN,
            self.client,
            exchanges.Exchanger(self.pools, clock),
            clock,
        )
        self.forwarder = forwarding.Forwarder(
            identity,
            runner,
            keys.KeyClient(self.keys, peer.host, clock),
            stand_ins.NoOpTracer(),
            clock,
            self,
            capping.create_caps(lambda: 1, clock),
        )
        self.routing = stand_ins.FixedRouting(
            ROUTES,
            stand_ins.FixedLimits(max_body=max_body),
        )
        self.server = servers.create_server(
            self.routing,
            self.forwarder,
            announcements.AnnouncementReceiver(
                self.routing, self.client, clock
            ),
            stand_ins.AlwaysReady(),
            dict,
            limits,
        )
        self.control = ANY_PORT
        self.address = ANY_PORT

    def record_request(self, record):
        self.records.append(record)

    async def start(self):
        self.control = await self.listener.start(ANY_PORT)
        self.address = await self.server.start(ANY_PORT)

    async def close(self):
        await self.server.close()
        await self.forwarder.close()
        await self.client.close()
        await self.pools.close()
        await self.links.close()
        await self.listener.close()
        self.owners.close()


@contextlib.asynccontextmanager
async def start_fleet(
    host_count=1,
    upstream_count=1,
    slots=6,
    limits=heads.DEFAULT_LIMITS,
    max_body=1 << 20,
):
    """Yield hosts, of which the first owns the service, and upstreams."""
    ownership = stand_ins.FixedOwnership([])
    hosts = [
        Host(f'h{number}', ownership, limits, max_body)
        for number in range(host_count)
    ]
    started = []
    for host in hosts:
        await host.start()
        ownership.endpoints.append(
            interfaces.OwnerEndpoint(host.host, host.control),
        )
    for number in range(upstream_count):
        identity = upstreams.UpstreamIdentity(
            SERVICE,
            f'u{number}',
            REGION,
            DOMAIN,
            slots,
        )
        upstream = upstreams.create_upstream(
            identity,
            [host.address for host in hosts],
            seed=number,
        )
        await upstream.start()
        started.append(upstream)
    while len(hosts[0].coordinator.rows) < upstream_count:
        await wait_briefly()
    try:
        yield hosts, started
    finally:
        for upstream in started:
            await upstream.close()
        for host in hosts:
            await host.close()


async def wait_briefly():
    """Let the event loop run for 5 ms."""
    await asyncio.sleep(0.005)
