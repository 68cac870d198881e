"""Supervisor that keeps a replica running without an operator.

After a storage failure the storage is opened again, because a full or slow disk
can recover. Damaged storage is discarded as if the disk were lost, and the
replica restarts with a new identity.
"""

import asyncio
import dataclasses
import pathlib
import typing

import logbook


from wagtailspread.configuration import documents as configurations
from wagtailspread.consensus import frames, journals, states
from wagtailspread.core import clocks, identifiers, tasks
from wagtailspread.registry import services
from wagtailspread.replica import copies, departures, documents, drivers
from wagtailspread.replica import servers
from wagtailspread.wire import credentials, links, listeners

#: Delay before failed storage is opened again, in seconds.
REOPEN_DELAY_SECONDS = 0.5
#: Time without a reply after which a voter may be replaced, in seconds.
SILENT_VOTER_SECONDS = 2.0
#: Interval of the heartbeats of a leader, in seconds.
HEARTBEAT_SECONDS = 0.25

_log = logbook.Logger('supervisor')


@dataclasses.dataclass(frozen=True, slots=True)
class SupervisorSettings:
    """Settings of a supervised replica.

    :param find_seeds: returns the current addresses of some replicas.
    :param is_first_start: whether the seeds form a new fleet.
    :param tolerated_losses: number of lost disks that a confirmed change must
        survive.
    """

    member: identifiers.MemberId
    host: identifiers.HostId
    address: identifiers.Address
    data_folder: pathlib.Path
    find_seeds: typing.Callable[[], typing.Iterable[identifiers.Address]]
    is_first_start: bool
    domain: identifiers.FailureDomain
    region: identifiers.RegionName
    key: credentials.SigningKey
    trusted_key: credentials.VerificationKey
    tolerated_losses: int


class Supervisor:
    """Runs a replica and restarts it after failures."""

    def __init__(
        self,
        settings: SupervisorSettings,
        registry: services.RegistryService,
        clock: clocks.Clock,
        create_machine: servers.MachineFactory,
        extension: servers.Extension | None = None,
    ) -> None:
        """Create the supervisor without opening files or sockets."""
        self._extension = extension
        self._create_machine = create_machine
        self._settings = settings
        self._registry = registry
        self._clock = clock
        self._document_service: documents.DocumentService | None = None
        self._departure_service: departures.DepartureService | None = None
        self._pool: links.LinkPool | None = None
        self._copy = copies.create_copy(settings.data_folder)
        self._saved_version = configurations.NO_VERSION

    def find_document_service(self) -> documents.DocumentService | None:
        """Return the document service of the current run, if there is one."""
        return self._document_service

    async def run(self, stopping: asyncio.Event) -> None:
        """Run until ``stopping`` is set."""
        while not stopping.is_set():
            server = servers.create_server(
                self._create_replica_settings(),
                self._create_machine(),
                self._clock,
                self._add_services,
            )
            await self._run_server(server, stopping)
            self._document_service = None
            self._departure_service = None
            if server.is_expelled:
                _log.warning('identity void')
                server.discard()

    async def _run_server(
        self,
        server: servers.ReplicaServer,
        stopping: asyncio.Event,
    ) -> None:
        following: asyncio.Task[None] | None = None
        try:
            async with asyncio.TaskGroup() as group:
                running = group.create_task(server.run())
                stop = group.create_task(stopping.wait())
                following = group.create_task(self._follow_peers(server))
                await asyncio.wait(
                    (running, stop),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if stopping.is_set():
                    await self._leave_group(server)
                for task in (running, stop, following):
                    task.cancel()
        except* drivers.ReplicaStopped as stopped:
            await recover_storage(server, stopped)

    async def _leave_group(self, server: servers.ReplicaServer) -> None:
        await server.transfer_leadership()
        if self._departure_service is not None:
            await self._departure_service.leave()

    async def _follow_peers(self, server: servers.ReplicaServer) -> None:
        await server.is_listening.wait()
        pool = self._pool
        if pool is not None:
            await tasks.keep_running(
                'registry', lambda: self._registry.run(pool)
            )

    def _add_services(
        self,
        listener: listeners.Listener,
        driver: drivers.Driver,
        pool: links.LinkPool,
    ) -> None:
        """Add the handlers of the document service and the registry."""
        service = documents.DocumentService(
            driver,
            pool,
            self._clock,
            self._settings.tolerated_losses,
            self._copy.load(),
        )
        service.register(listener)
        departure_service = departures.create_service(driver, pool, self._clock)
        departure_service.register(listener)
        if self._extension is not None:
            self._extension(listener, driver, pool)
        self._registry.attach(listener, service)
        wake_subscribers = driver.on_apply

        def handle_apply() -> None:
            wake_subscribers()
            self._save(service.read_applied())
            self._registry.feed.wake()

        driver.on_apply = handle_apply
        self._document_service = service
        self._departure_service = departure_service
        self._pool = pool

    def _save(self, applied: configurations.VersionedDocument) -> None:
        """Save a copy of the applied document if its version is new."""
        if applied.version > self._saved_version:
            self._saved_version = applied.version
            self._copy.save(applied)

    def _create_replica_settings(self) -> servers.ReplicaSettings:
        settings = self._settings
        seeds = tuple(settings.find_seeds())
        is_founder = settings.is_first_start and settings.address in seeds
        return servers.ReplicaSettings(
            member=settings.member,
            host=settings.host,
            address=settings.address,
            data_folder=settings.data_folder,
            peers=seeds,
            region=settings.region,
            domain=settings.domain,
            key=settings.key,
            trusted_keys={settings.member: settings.trusted_key},
            founders=seeds if is_founder else (),
            policy=states.Policy(
                heartbeat_interval=HEARTBEAT_SECONDS,
                silent_voter_seconds=SILENT_VOTER_SECONDS,
                min_voters=2 * settings.tolerated_losses + 1,
            ),
            admits_unknown=True,
        )


def create_supervisor(
    settings: SupervisorSettings,
    registry: services.RegistryService,
    clock: clocks.Clock,
    create_machine: servers.MachineFactory,
    extension: servers.Extension | None = None,
) -> Supervisor:
    """Return a supervisor that is not running.

    :param extension: registers further handlers of the process.
    """
    return Supervisor(settings, registry, clock, create_machine, extension)


async def recover_storage(
    server: servers.ReplicaServer,
    stopped: 'ExceptionGroup[drivers.ReplicaStopped]',
) -> None:
    """Prepare the next run after the storage has failed.

    Damaged data is set aside, so that the replica gets a new identity. If the
    disk is full, earlier data that was set aside is deleted.
    """
    stop = stopped.exceptions[0]
    _log.error('storage failed', extra={'reason': str(stop)})
    cause = getattr(stop, 'failure', None)
    if isinstance(cause, journals.StorageDamaged):
        server.discard()
    elif isinstance(cause, frames.DiskFull):
        server.free_space()
    await asyncio.sleep(REOPEN_DELAY_SECONDS)
