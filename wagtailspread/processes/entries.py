"""The entry host process, joined with the other packages of the fleet."""

import asyncio
import random
import signal
import sys
import typing

from wagtailspread.configuration import schemas
from wagtailspread.core import clocks, identifiers
from wagtailspread.entry import hosts, subscriptions
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
#: Time between looks for a peer with a newer configuration, in seconds.
RELAY_SECONDS = 0.2
#: Time between looks at the number of hosts that can vote, in seconds.
REFRESH_SECONDS = 0.5
#: Connections of one host to one upstream: 330 connections over 44 hosts.
CONNECTIONS = 7


class EntryProcess:
    """One entry host with all its parts. Use :func:`create_process`."""

    def __init__(
        self,
        process: settings.ProcessSettings,
        part: settings.EntryPart,
        clock: clocks.Clock,
    ) -> None:
        """Create the parts; nothing is opened yet."""
        self.copy = copies.ConfigurationCopy(
            process.member,
            process.trusted_keys,
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
        self.agent = agents.create_agent(
            _create_row(process, part, clock),
            part.seeds,
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
        self._part = part
        self._clock = clock
        self._subscription: subscriptions.Subscription | None = None
        self._driver: drivers.Driver | None = None
        self.host = hosts.create_host(
            _create_entry_settings(process, part),
            self.copy,
            self._create_parts,
        )
        self.copy.listeners.append(self._apply_settings)
        if self.copy.settings is not None:
            self._apply_settings(self.copy.settings)

    async def start(self) -> None:
        """Open the listeners and join the fleet."""
        await self.host.start()
        if self._driver is not None:
            self._driver.start()
        _LOGGER.info(
            'entry host started',
            extra={
                'caller_address': self._part.caller_address,
                'control_address': self._part.control_address,
            },
        )

    async def stop(self) -> None:
        """Turn unready, serve on, finish all requests, then close."""
        _LOGGER.info('draining', extra={'seconds': self._part.drain})
        await self.host.stop()
        if self._driver is not None:
            await self._driver.close()
        self.tracing.close()
        _LOGGER.info('entry host stopped')

    def is_current(self) -> bool:
        """Tell whether the host can know the configuration in force."""
        return self._subscription is not None and (
            self._subscription.is_current()
        )

    def _create_parts(
        self,
        _settings: hosts.EntrySettings,
        pool: links.LinkPool,
        listener: listeners.Listener,
    ) -> hosts.EntryComponents:
        replicas = clients.create_client(self._part.replicas, pool)
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
        )

    def _apply_settings(self, applied: schemas.Settings) -> None:
        """Bring the limits of this host to a version in force."""
        self.factory.refresh()
        own = applied.regions.get(self._process.region)
        rate = own.link_bytes / own.hosts if own else 0
        others = [
            name for name in applied.regions if own is None or name != own.name
        ]
        self.host.change_link(others, rate)

    def _create_subscription(
        self,
        replicas: clients.ReplicaClient,
        pool: links.LinkPool,
    ) -> subscriptions.Subscription:
        folder = self._part.folder
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
        """Return live hosts in random order, or the seeds if none is known.

        With the seeds, a host that is cut off from all others still counts
        as one that has somebody to ask.
        """
        own = self.agent.identity.host
        live = [
            row.address for row in self.agent.list_members() if row.host != own
        ]
        own_address = self._part.control_address
        seeds = [seed for seed in self._part.seeds if seed != own_address]
        return random.sample(live, len(live)) or seeds

    async def _relay_configuration(self) -> None:
        """Fetch from a peer that gossip shows to have a newer version."""
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

    def _list_services(self) -> list[identifiers.ServiceName]:
        known = self.copy.settings
        return list(known.services) if known else []

    def _read_status(self) -> dict[str, typing.Any]:
        return statuses.describe_host(self, self._clock.now())


def create_process(
    process: settings.ProcessSettings,
    part: settings.EntryPart,
    clock: clocks.Clock | None = None,
) -> EntryProcess:
    """Return an entry host that is not started."""
    return EntryProcess(process, part, clock or clocks.SystemClock())


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
        host = create_process(process, part)
        await host.start()
        hosts.tune_garbage_collection()
        await stopping.wait()
        await host.stop()
    handler.close_windows()


def _create_row(
    process: settings.ProcessSettings,
    part: settings.EntryPart,
    clock: clocks.Clock,
) -> tables.HostRow:
    return tables.HostRow(
        process.host,
        part.control_address,
        process.region,
        process.domain,
        identifiers.Incarnation(int(clock.wall() * 1000)),
        process.member,
    )


def _create_entry_settings(
    process: settings.ProcessSettings,
    part: settings.EntryPart,
) -> hosts.EntrySettings:
    return hosts.EntrySettings(
        member=process.member,
        key_file=process.key_file,
        host=process.host,
        region=process.region,
        domain=process.domain,
        caller_address=part.caller_address,
        control_address=part.control_address,
        replicas=part.replicas,
        seeds=part.seeds,
        folder=part.folder,
        linger_seconds=part.drain,
        connections=CONNECTIONS,
    )
