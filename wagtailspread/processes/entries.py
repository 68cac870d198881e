"""The entry host process: its parts, its start and its graceful shutdown."""

import asyncio
import random
import signal
import sys
import typing

from wagtailspread.core import clocks, identifiers
from wagtailspread.entry import (
    allocations,
    attempts,
    beats,
    connections,
    exchanges,
    forwarding,
    handlers,
    keys,
    owners,
    servers,
)
from wagtailspread.membership import agents, drivers, tables
from wagtailspread.observability import logs, metrics, traces
from wagtailspread.processes import (
    allocators,
    copies,
    ownerships,
    settings,
    statuses,
    subscriptions,
)
from wagtailspread.replica import clients
from wagtailspread.wire import credentials, links, listeners

_LOGGER = logs.get_logger('entry')
ROLE = 'entry'
#: A host that heard of nobody for this long turns unready, in seconds.
ISOLATION_SECONDS = 5.0


class EntryHost:
    """One entry host. Use :func:`create_entry_host`."""

    def __init__(
        self,
        process: settings.ProcessSettings,
        part: settings.EntryPart,
        clock: clocks.Clock,
    ) -> None:
        """Create the parts; nothing is opened yet."""
        self.is_draining = False
        self.copy = copies.ConfigurationCopy(
            process.member,
            process.trusted_keys,
            part.folder,
        )
        self.metrics = metrics.create_metrics(process.host)
        self.tracing = traces.create_tracing(
            traces.TraceSettings(
                process.host,
                part.trace_share,
                part.trace_file,
                part.trace_collector,
            ),
        )
        self._process = process
        self._part = part
        self._clock = clock
        self._join_fleet()
        self._build_request_path()

    async def start(self) -> None:
        """Open the listeners and join the fleet."""
        self.copy.load()
        await self.listener.start(self._part.control_address)
        self.driver.start()
        self.subscription.start()
        await self.server.start(self._part.caller_address)
        self._beating = asyncio.create_task(self.beater.run())
        _LOGGER.info(
            'entry host started',
            extra={
                'caller_address': self._part.caller_address,
                'control_address': self._part.control_address,
            },
        )

    async def stop(self) -> None:
        """Turn unready, serve on, finish all requests, then leave."""
        self.is_draining = True
        _LOGGER.info('draining', extra={'seconds': self._part.drain})
        await asyncio.sleep(self._part.drain)
        await self.server.close()
        await self.forwarder.close()
        await self.client.close()
        await self.driver.leave()
        await self._close()
        _LOGGER.info('entry host stopped')

    def is_ready(self) -> bool:
        """Tell whether the balancer should send callers here."""
        if self.is_draining or self.copy.settings is None:
            return False
        return not self._is_isolated()

    def _is_isolated(self) -> bool:
        """Tell whether the host may have missed a configuration.

        A fleet of one host has nobody to hear of.
        """
        if not self._part.seeds:
            return False
        if len(self.agent.members()) > 1:
            return False
        silence = self._clock.now() - self.subscription.replica_heard
        return silence > ISOLATION_SECONDS + subscriptions.POLL_SECONDS

    def _join_fleet(self) -> None:
        process, part = self._process, self._part
        peer = credentials.Peer(process.member, process.host, ROLE)
        own = credentials.Credentials(peer, process.load_key())
        self.pool = links.LinkPool(own, self.copy)
        self.listener = listeners.create_listener(own, self.copy)
        self.agent = agents.create_agent(
            self._create_row(),
            part.seeds,
            agents.MembershipPolicy(),
            random.Random(),
        )
        self.driver = drivers.create_driver(self.agent, self.pool, self._clock)
        self.driver.attach(self.listener)
        self.replicas = clients.create_client(part.replicas, self.pool)
        self.subscription = subscriptions.Subscription(
            self.copy,
            self.replicas,
            self.agent,
            self.pool,
            self._clock,
        )
        self.subscription.attach(self.listener)

    def _create_row(self) -> tables.HostRow:
        process = self._process
        return tables.HostRow(
            process.host,
            self._part.control_address,
            process.region,
            process.domain,
            identifiers.Incarnation(int(self._clock.wall() * 1000)),
            process.member,
        )

    def _build_request_path(self) -> None:
        process = self._process
        identity = allocations.HostIdentity(
            process.host,
            process.region,
            process.domain,
        )
        self.factory = allocators.AllocatorFactory(
            self.copy,
            process.region,
            self.metrics,
        )
        self.owners = owners.OwnerTable(self.factory.create, self._clock)
        handlers.OwnerHandlers(self.owners, self._clock).register(self.listener)
        self.client = allocations.create_client(
            identity,
            ownerships.GossipedOwnership(self.agent, self.copy, self._clock),
            self.owners,
            self.pool,
            self._clock,
        )
        self.pools = connections.PoolTable(_CONNECTIONS)
        self.beater = beats.Beater(
            identity,
            self.client,
            self.owners,
            self._list_services,
            self.pools,
            self._clock,
        )
        self.forwarder = forwarding.Forwarder(
            identity,
            attempts.AttemptRunner(
                process.host,
                process.domain,
                self.client,
                exchanges.Exchanger(self.pools, self._clock),
                self._clock,
            ),
            keys.KeyKeeper(self.replicas, process.host, self._clock),
            self.tracing,
            self._clock,
        )
        self.server = servers.create_server(
            self.copy,
            self.forwarder,
            self.client,
            self,
            self._read_status,
        )

    def _read_status(self) -> dict[str, typing.Any]:
        return statuses.describe_host(self, self._clock.now())

    def _list_services(self) -> list[identifiers.ServiceName]:
        known = self.copy.settings
        return list(known.services) if known else []

    async def _close(self) -> None:
        self._beating.cancel()
        await self.subscription.close()
        await self.driver.close()
        await self.pools.close()
        await self.pool.close()
        await self.listener.close()
        self.owners.close()
        self.tracing.close()


def create_entry_host(
    process: settings.ProcessSettings,
    part: settings.EntryPart,
    clock: clocks.Clock | None = None,
) -> EntryHost:
    """Return an entry host that is not started."""
    return EntryHost(process, part, clock or clocks.SystemClock())


async def run_entry(
    process: settings.ProcessSettings,
    part: settings.EntryPart,
) -> None:
    """Run an entry host until SIGTERM or SIGINT, then shut down."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    handler = logs.create_handler(
        process.host,
        sys.stderr,
        level=process.log_level,
    )
    logs.redirect_library_logs()
    with handler.applicationbound():
        host = create_entry_host(process, part)
        await host.start()
        await stopping.wait()
        await host.stop()
    handler.close_windows()


#: Connections of one host to one upstream: 330 connections over 44 hosts.
_CONNECTIONS = 7
