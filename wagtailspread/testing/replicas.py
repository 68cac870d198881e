"""Replicas in the current process on loopback, for tests and benchmarks."""

import asyncio
import pathlib
import typing

from wagtailspread.consensus import states
from wagtailspread.core import identifiers
from wagtailspread.replica import clients, servers
from wagtailspread.testing import machines, ports
from wagtailspread.wire import credentials, links, signing

MEMBER = identifiers.MemberId('andino')
#: Short timeouts, so that tests of a lost leader take little time.
POLICY = states.Policy(election_timeout=0.4, heartbeat_interval=0.06)


class LoopbackReplicas:
    """Replicas in this process. Use :func:`create_replicas`."""

    def __init__(
        self,
        folder: pathlib.Path,
        count: int,
        policy: states.Policy = POLICY,
    ) -> None:
        """Choose addresses and write the first base file."""
        self.addresses = ports.reserve_addresses(count)
        self.servers: dict[identifiers.Address, servers.ReplicaServer] = {}
        self._key = signing.create_key()
        self._folder = folder
        self._policy = policy
        self._running: dict[identifiers.Address, asyncio.Task[None]] = {}
        self._pools: list[links.LinkPool] = []
        base = folder / 'base.ini'
        base.write_text('[fleet]\n')

    def create_settings(
        self,
        address: identifiers.Address,
    ) -> servers.ReplicaSettings:
        """Return the settings of one replica."""
        host = identifiers.HostId(f'host-{self.addresses.index(address)}')
        return servers.ReplicaSettings(
            member=MEMBER,
            host=host,
            address=address,
            data_folder=self._folder / host,
            peers=self.addresses,
            region=identifiers.RegionName('centro-andes'),
            domain=identifiers.FailureDomain('andes-bog'),
            key=self._key,
            trusted_keys={MEMBER: signing.public_bytes(self._key)},
            founders=self.addresses,
            first_base=self._folder / 'base.ini',
            policy=self._policy,
        )

    async def start(self, address: identifiers.Address) -> None:
        """Start one replica and wait until it listens."""
        settings = self.create_settings(address)
        server = servers.create_server(
            settings,
            machines.create_fake_machine(),
        )
        self.servers[address] = server
        self._running[address] = asyncio.create_task(server.run())
        await server.is_listening.wait()

    async def start_all(self) -> None:
        """Start all replicas."""
        for address in self.addresses:
            await self.start(address)

    async def stop(self, address: identifiers.Address) -> None:
        """Stop one replica without a transfer of leadership."""
        running = self._running.pop(address)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    async def close(self) -> None:
        """Stop all replicas and close the links of all clients."""
        for address in list(self._running):
            await self.stop(address)
        for pool in self._pools:
            await pool.close()

    def create_client(self) -> clients.ReplicaClient:
        """Return a client with a separate pool of links."""
        peer = credentials.Peer(MEMBER, identifiers.HostId('client'), 'entry')
        local_credentials = credentials.Credentials(peer, self._key)
        directory = credentials.FixedDirectory(
            {MEMBER: signing.public_bytes(self._key)},
        )
        pool = links.LinkPool(local_credentials, directory)
        self._pools.append(pool)
        return clients.create_client(self.addresses, pool)

    def find_leader(self) -> identifiers.Address | None:
        """Return the address of a running leader; ``None`` if there is none."""
        for address in self._running:
            driver = self.servers[address].driver
            if driver is not None and driver.replica.is_leader:
                return address
        return None

    async def wait_for(
        self,
        is_reached: typing.Callable[[], bool],
        seconds: float = 10.0,
    ) -> None:
        """Wait until a condition is true.

        :raises TimeoutError: if it is not true within ``seconds``.
        """
        async with asyncio.timeout(seconds):
            while not is_reached():
                await asyncio.sleep(0.02)


def create_replicas(
    folder: pathlib.Path,
    count: int = 3,
    policy: states.Policy = POLICY,
) -> LoopbackReplicas:
    """Create replicas without starting them."""
    return LoopbackReplicas(folder, count, policy)
