"""The entry host process, which connects the packages of the fleet."""

import asyncio
import random
import signal
import sys
import typing

from wagtailspread.configuration import host_caps, schemas
from wagtailspread.core import clocks, identifiers
from wagtailspread.entry import capping, hosts, subscriptions
from wagtailspread.membership import agents, drivers, tables
from wagtailspread.observability import logs, metrics, traces
from wagtailspread.processes import (
    allocators,
    copies,
    observers,
    ownerships,
    settings,
    statuses,
)
from wagtailspread.replica import clients
from wagtailspread.wire import links, listeners

_LOGGER = logs.get_logger('entry')
#: Interval between checks for a peer with a newer configuration, in seconds.
RELAY_SECONDS = 0.2
#: Interval between updates of the number of hosts that can vote, in seconds.
REFRESH_SECONDS = 0.5
#: Maximum number of connections of one host to one upstream: 330 connections,
#: divided among 44 hosts.
MAX_UPSTREAM_CONNECTIONS = 7


class EntryProcess:
    """One entry host with all its components. Use :func:`create_process`."""

    def __init__(
        self,
        process: settings.ProcessSettings,
        section: settings.EntrySection,
        clock: clocks.Clock,
    ) -> None:
        """Create the components without opening any socket."""
        self.copy = copies.ConfigurationCopy(
            process.member,
            process.trusted_keys,
        )
        self.metrics = metrics.create_metrics(process.host)
        self.tracing = traces.create_tracing(
            traces.TraceSettings(
                process.host,
                section.trace_share,
                section.trace_file,
                section.trace_collector,
            ),
        )
        self.agent = agents.create_agent(
            _create_host_row(process, section, clock),
            section.seeds,
            agents.MembershipPolicy(),
            random.Random(),
        )
        self.factory = allocators.AllocatorFactory(
            self.copy,
            process.region,
            self.agent,
            self.metrics,
            clock,
        )
        self._process = process
        self._section = section
        self._clock = clock
        self._subscription: subscriptions.Subscription | None = None
        self._driver: drivers.Driver | None = None
        self.host = hosts.create_host(
            _create_entry_settings(process, section),
            self.copy,
            self._create_components,
        )
        self.copy.listeners.append(self._apply_settings)
        if self.copy.settings is not None:
            self._apply_settings(self.copy.settings)

    async def start(self) -> None:
        """Open the listeners and join the gossip of the fleet."""
        await self.host.start()
        if self._driver is not None:
            self._driver.start()
        _LOGGER.info(
            'entry host started',
            extra={
                'caller_address': self._section.caller_address,
                'control_address': self._section.control_address,
            },
        )

    async def stop(self) -> None:
        """Report unready, serve for the drain time, finish requests, close."""
        _LOGGER.info('draining', extra={'seconds': self._section.drain})
        await self.host.stop()
        if self._driver is not None:
            await self._driver.close()
        self.tracing.close()
        _LOGGER.info('entry host stopped')

    def is_current(self) -> bool:
        """Tell whether the configuration is up to date as far as known.

        See also: :meth:`subscriptions.Subscription.is_current`.
        """
        return self._subscription is not None and (
            self._subscription.is_current()
        )

    def _create_components(
        self,
        _settings: hosts.EntrySettings,
        pool: links.LinkPool,
        listener: listeners.Listener,
    ) -> hosts.EntryComponents:
        replicas = clients.create_client(self._section.replicas, pool)
        self._driver = drivers.create_driver(self.agent, pool, self._clock)
        self._driver.attach(listener)
        subscription = self._create_subscription(replicas, pool)
        subscription.register(listener)
        self._subscription = subscription
        observer = observers.RequestObserver(self.metrics)
        return hosts.EntryComponents(
            routing=self.copy,
            list_services=self._list_services,
            ownership=ownerships.GossipedOwnership(
                self.agent,
                self.copy,
                self._clock,
            ),
            create_coordinator=self.factory.create,
            key_store=replicas,
            tracer=self.tracing,
            observer=observer,
            count_link_bytes=observer.count_link_bytes,
            conditions=(self.is_current,),
            tasks=(
                self._refresh_allocators,
                self._relay_configuration,
                subscription.run,
            ),
            leave=self._driver.leave,
            read_status=self._read_status,
            read_metrics=self.metrics.render,
            host_caps=capping.create_caps(self._count_hosts, self._clock),
            key_guard=observers.KeyGuard(subscription, self.metrics),
        )

    def _apply_settings(self, applied: schemas.Settings) -> None:
        """Apply the limits of a new configuration version to this host."""
        self.factory.refresh()
        local_region = applied.regions.get(self._process.region)
        rate = (
            local_region.link_bytes / local_region.hosts if local_region else 0
        )
        other_regions = [
            name
            for name in applied.regions
            if local_region is None or name != local_region.name
        ]
        self.host.change_link(other_regions, rate)
        self.host.revoke_keys()

    def _create_subscription(
        self,
        replicas: clients.ReplicaClient,
        pool: links.LinkPool,
    ) -> subscriptions.Subscription:
        folder = self._section.folder
        if folder is not None:
            folder.mkdir(parents=True, exist_ok=True)
        return subscriptions.Subscription(
            self.copy,
            replicas,
            self._list_peers,
            pool,
            self._clock,
            subscriptions.CopyFile(folder) if folder else None,
        )

    def _list_peers(self) -> list[identifiers.Address]:
        """Return the other live hosts in random order, or the seeds if none.

        Without the seeds, a host that cannot reach any other host would be
        taken for the only host of its fleet, and would stay ready.
        """
        local_host = self.agent.identity.host
        live = [
            row.address
            for row in self.agent.list_members()
            if row.host != local_host
        ]
        local_address = self._section.control_address
        seeds = [seed for seed in self._section.seeds if seed != local_address]
        return random.sample(live, len(live)) or seeds

    async def _relay_configuration(self) -> None:
        """Fetch newer versions from the peers that announce them by gossip."""
        while True:
            self.agent.configuration_version = self.copy.version
            newest = self.agent.find_newest()
            if newest is not None and self._subscription is not None:
                await self._subscription.fetch_from(newest.address)
            await asyncio.sleep(RELAY_SECONDS)

    async def _refresh_allocators(self) -> None:
        while True:
            await asyncio.sleep(REFRESH_SECONDS)
            self.factory.refresh()

    def _count_hosts(self) -> int:
        known = self.copy.settings
        return host_caps.count_hosts(known) if known else 0

    def _list_services(self) -> list[identifiers.ServiceName]:
        known = self.copy.settings
        return list(known.services) if known else []

    def _read_status(self) -> dict[str, typing.Any]:
        return statuses.describe_host(self, self._clock.now())


def create_process(
    process: settings.ProcessSettings,
    section: settings.EntrySection,
    clock: clocks.Clock | None = None,
) -> EntryProcess:
    """Return an entry host that is not started."""
    return EntryProcess(process, section, clock or clocks.SystemClock())


async def run_entry(
    process: settings.ProcessSettings,
    section: settings.EntrySection,
) -> None:
    """Run an entry host until SIGTERM or SIGINT, then stop gracefully."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    handler = logs.create_process_handler(
        process.host,
        sys.stderr,
        level=process.log_level,
    )
    logs.redirect_library_logs()
    with handler.applicationbound():
        host = create_process(process, section)
        await host.start()
        hosts.tune_garbage_collection()
        await stopping.wait()
        await host.stop()
    handler.close_windows()


def _create_host_row(
    process: settings.ProcessSettings,
    section: settings.EntrySection,
    clock: clocks.Clock,
) -> tables.HostRow:
    return tables.HostRow(
        process.host,
        section.control_address,
        process.region,
        process.domain,
        identifiers.Incarnation(int(clock.wall() * 1000)),
        process.member,
    )


def _create_entry_settings(
    process: settings.ProcessSettings,
    section: settings.EntrySection,
) -> hosts.EntrySettings:
    return hosts.EntrySettings(
        member=process.member,
        key_file=process.key_file,
        host=process.host,
        region=process.region,
        domain=process.domain,
        caller_address=section.caller_address,
        control_address=section.control_address,
        replicas=section.replicas,
        seeds=section.seeds,
        folder=section.folder,
        linger_seconds=section.drain,
        connections=MAX_UPSTREAM_CONNECTIONS,
    )
