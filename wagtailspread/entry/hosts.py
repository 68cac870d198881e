"""An entry host: its settings, components, start and stop.

See also: :mod:`wagtailspread.processes.entries`, which supplies the components
that this package knows only as protocols, and runs a host as a process.
"""

import asyncio
import dataclasses
import gc
import pathlib
import typing

from wagtailspread.core import clocks, identifiers, tasks
from wagtailspread.entry import allocations, announcements, attempts
from wagtailspread.entry import (
    capping,
    connections,
    draining,
    exchanges,
    forwarding,
)
from wagtailspread.entry import handlers, heartbeats, interfaces, keys
from wagtailspread.entry import lookups
from wagtailspread.entry import owners, servers, spills
from wagtailspread.wire import credentials, links, listeners, signing

#: Thresholds of :func:`gc.set_threshold`, one for each generation.
_COLLECTOR_THRESHOLDS = (20_000, 20, 20)
_DEFAULT_LINGER_SECONDS = 5.0
_DEFAULT_CONNECTIONS = 9


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of one entry host.

    :param replicas: control addresses of the replicas.
    :param seeds: control addresses of the first gossip peers.
    :param folder: folder of the saved configuration, ``None`` to save none.
    :param linger_seconds: time for which a stopping host accepts connections.
    :param connections: maximum number of connections to one upstream.
    """

    member: identifiers.MemberId
    key_file: pathlib.Path
    host: identifiers.HostId
    region: identifiers.RegionName
    domain: identifiers.FailureDomain
    caller_address: identifiers.Address
    control_address: identifiers.Address
    replicas: tuple[identifiers.Address, ...] = ()
    seeds: tuple[identifiers.Address, ...] = ()
    folder: pathlib.Path | None = None
    linger_seconds: float = _DEFAULT_LINGER_SECONDS
    connections: int = _DEFAULT_CONNECTIONS


@dataclasses.dataclass(frozen=True, slots=True)
class EntryComponents:
    """Components of an entry host that other packages implement.

    :param list_services: returns the services of the current configuration.
    :param observer: logs and counts finished requests.
    :param count_link_bytes: counts the bytes between regions.
    :param conditions: conditions that must all hold for the host to be ready.
    :param tasks: background tasks, run from the opening of the control
        listener until the host stops.
    :param leave: notifies the other hosts that this host is stopping.
    :param read_status: returns additional fields of the status page.
    :param read_metrics: returns the metrics in the text exposition format.
    :param host_caps: caps of the workspaces at this host.
    :param key_guard: is asked before an unknown key is refused.
    """

    routing: lookups.Routing
    list_services: typing.Callable[
        [],
        typing.Sequence[identifiers.ServiceName],
    ]
    ownership: interfaces.Ownership
    create_coordinator: owners.AllocatorFactory
    key_store: interfaces.KeyStore
    tracer: interfaces.Tracer
    observer: interfaces.RequestObserver | None = None
    count_link_bytes: spills.ByteCounter | None = None
    conditions: typing.Sequence[draining.Condition] = ()
    tasks: typing.Sequence[
        typing.Callable[[], typing.Coroutine[typing.Any, typing.Any, None]]
    ] = ()
    leave: typing.Callable[[], typing.Awaitable[None]] | None = None
    read_status: typing.Callable[[], dict[str, typing.Any]] = dict
    read_metrics: typing.Callable[[], bytes] = bytes
    host_caps: capping.HostCaps | None = None
    key_guard: servers.KeyGuard | None = None


#: Creates the components once the links and the listener of the host exist.
ComponentsFactory = typing.Callable[
    [EntrySettings, links.LinkPool, listeners.Listener],
    EntryComponents,
]


class EntryHost:
    """One entry host with all its components. Use :func:`create_host`."""

    def __init__(
        self,
        settings: EntrySettings,
        local_credentials: credentials.Credentials,
        components: EntryComponents,
        pool: links.LinkPool,
        listener: listeners.Listener,
    ) -> None:
        """Connect the components without opening any socket."""
        clock = clocks.SystemClock()
        identity = allocations.HostIdentity(
            local_credentials.peer.host,
            settings.region,
            settings.domain,
        )
        self._settings = settings
        self._components = components
        self._links = pool
        self._listener = listener
        self._pools = connections.PoolTable(settings.connections)
        self.owners = owners.OwnerTable(components.create_coordinator, clock)
        handlers.OwnerHandlers(self.owners, clock).register(listener)
        self._identity = identity
        self._clock = clock
        self._budget = spills.LinkBudget(0.0)
        self._remote_clients: list[allocations.AllocationClient] = []
        self.client = self._create_client(settings.region)
        self._heartbeat_sender = heartbeats.HeartbeatSender(
            identity,
            self.client,
            self.owners,
            components.list_services,
            self._pools,
            clock,
        )
        self._forwarder = forwarding.Forwarder(
            identity,
            attempts.AttemptRunner(
                identity.host,
                identity.domain,
                spills.SpillSource(
                    self.client,
                    self._remote_clients,
                    self._budget,
                    clock,
                    components.count_link_bytes,
                ),
                exchanges.Exchanger(self._pools, clock),
                clock,
                components.tracer,
            ),
            keys.KeyClient(components.key_store, identity.host, clock),
            components.tracer,
            clock,
            components.observer,
            components.host_caps,
        )
        self.drain = draining.Drain(
            components.conditions,
            settings.linger_seconds,
        )
        self.server = servers.create_server(
            components.routing,
            self._forwarder,
            announcements.AnnouncementReceiver(
                components.routing, self.client, clock
            ),
            self.drain,
            self._read_status,
            read_metrics=components.read_metrics,
            key_guard=components.key_guard,
        )
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> tuple[identifiers.Address, identifiers.Address]:
        """Open both listeners; return the caller and control addresses."""
        control = await self._listener.start(self._settings.control_address)
        functions = (self._heartbeat_sender.run, *self._components.tasks)
        self._tasks = [
            asyncio.create_task(tasks.keep_running(run.__qualname__, run))
            for run in functions
        ]
        caller = await self.server.start(self._settings.caller_address)
        return caller, control

    async def stop(self) -> None:
        """Stop without interrupting requests, then close all components."""
        if self._components.leave is not None:
            await self._components.leave()
        await self.drain.finish(self.server)
        await self.server.close()
        await self._forwarder.close()
        for client in (self.client, *self._remote_clients):
            await client.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._pools.close()
        await self._listener.close()
        self.owners.close()
        await self._links.close()

    def revoke_keys(self) -> None:
        """Interrupt the requests that wait with a key no longer known."""
        self._forwarder.revoke_keys()

    def change_link(
        self,
        regions: typing.Iterable[identifiers.RegionName],
        rate: float,
    ) -> None:
        """Add regions to spill to and set this host's share of the link.

        :param regions: regions that requests may spill to, in addition to those
            of earlier calls.
        :param rate: bytes per second in both directions together; 0 disables
            spilling.
        """
        known = {client.region for client in self._remote_clients}
        for region in regions:
            if region not in known:
                self._remote_clients.append(self._create_client(region))
        self._budget.change_rate(rate)

    def _create_client(
        self,
        region: identifiers.RegionName,
    ) -> allocations.AllocationClient:
        return allocations.create_client(
            self._identity,
            self._components.ownership,
            self.owners,
            self._links,
            self._clock,
            region,
        )

    def _read_status(self) -> dict[str, typing.Any]:
        return {
            'host': self._settings.host,
            'state': self.drain.state.value,
            'ready': self.drain.is_ready(),
            'leases': len(self.client.lease_table),
            **self._components.read_status(),
        }


def create_host(
    settings: EntrySettings,
    directory: credentials.MemberDirectory,
    create_components: ComponentsFactory,
) -> EntryHost:
    """Return an entry host that is not started.

    :param directory: approved members, checked for every control connection.
    """
    key = signing.load_key(settings.key_file.read_bytes())
    peer = credentials.Peer(settings.member, settings.host, 'entry')
    local_credentials = credentials.Credentials(peer, key)
    pool = links.LinkPool(local_credentials, directory)
    listener = listeners.create_listener(local_credentials, directory)
    components = create_components(settings, pool, listener)
    return EntryHost(settings, local_credentials, components, pool, listener)


def tune_garbage_collection() -> None:
    """Raise the collection thresholds and exempt all existing objects.

    Requests leave few reference cycles, and the search for them takes several
    percent of the processor time with the default thresholds.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_COLLECTOR_THRESHOLDS)
