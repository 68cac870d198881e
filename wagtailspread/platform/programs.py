"""The two programs that run on the platform's machines."""

import asyncio
import hashlib
import json
import signal
import sys

import logbook

from cryptography.hazmat.primitives.asymmetric import ed25519

from wagtailspread.core import clocks, identifiers
from wagtailspread.gateway import hosts
from wagtailspread.observability import logs
from wagtailspread.placement import allocators, budgets, costs, selection
from wagtailspread.placement import services as placing_services
from wagtailspread.platform import controls, documents, names, settings, values
from wagtailspread.processes import machines
from wagtailspread.registry import services
from wagtailspread.replica import supervision
from wagtailspread.wire import credentials

#: The one member of a fleet whose hosts the platform starts.
MEMBER = identifiers.MemberId('fleet')
#: Time that the platform gives a process to stop, if it does not say.
DEFAULT_GRACE_SECONDS = 6.0
DEFAULT_RETRY_RATIO = 0.1
DEFAULT_RETRY_WINDOW_SECONDS = 10.0

_log = logbook.Logger('platform')


def create_key(boot: settings.BootSettings) -> ed25519.Ed25519PrivateKey:
    """Return the key that all processes of a fleet derive from its layout.

    The platform gives its processes no secret. The key tells fleets apart; it
    does not keep out a process that can read the same settings.
    """
    layout = json.dumps([boot.regions, boot.link_port], sort_keys=True)
    seed = hashlib.sha256(layout.encode()).digest()
    return ed25519.Ed25519PrivateKey.from_private_bytes(seed)


async def run_host(boot: settings.BootSettings) -> None:
    """Run a host before callers until SIGTERM."""
    stopping = _watch_signals()
    host = hosts.create_host(
        _create_host_settings(boot),
        documents.read_valid,
    )
    await host.start()
    await stopping.wait()
    await host.stop()


async def run_replica(boot: settings.BootSettings) -> None:
    """Run a replica until SIGTERM."""
    stopping = _watch_signals()
    clock = clocks.SuspensionClock()
    registry = services.create_service(boot.link_address, boot.domain, clock)
    placing = _create_placing(boot, registry, clock)
    supervisor = supervision.create_supervisor(
        _create_replica_settings(boot),
        registry,
        clock,
        machines.create_machine,
        lambda listener, _driver, _pool: placing.register(listener),
    )
    control = controls.ControlServer(registry, supervisor.find_document)
    await control.start(identifiers.Address(boot.listen['control']))
    looking_after = asyncio.create_task(placing.run())
    try:
        await supervisor.run(stopping)
    finally:
        looking_after.cancel()
        await control.close()


def run(role: str) -> None:
    """Run the program of a role."""
    handler = logs.create_handler(role, sys.stdout, level='INFO')
    with handler.applicationbound():
        boot = settings.load()
        runner = run_host if 'front' in boot.listen else run_replica
        asyncio.run(runner(boot))


def _watch_signals() -> asyncio.Event:
    """Return the event that SIGTERM sets.

    The settings are read again whenever seeds are needed, so SIGHUP has
    nothing to do.
    """
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _note_change)
    return stopping


def _note_change() -> None:
    _log.info('the settings changed')


def _create_placing(
    boot: settings.BootSettings,
    registry: services.RegistryService,
    clock: clocks.Clock,
) -> placing_services.PlacementService:
    """Return the allocator that this replica has for its region."""
    table = registry.feed.table
    regions = max(1, len(set(boot.regions.values())))
    terms = _create_retry_terms(boot)
    budget = budgets.SharedRetryBudget(
        terms.ratio,
        terms.slack,
        terms.window,
        lambda: regions,
    )
    selector = selection.create_selector(table, boot.regions)
    allocator = allocators.create_allocator(selector, budget)
    return placing_services.create_service(
        allocator,
        clock,
        table.list_silent,
    )


def _create_retry_terms(boot: settings.BootSettings) -> hosts.RetryTerms:
    bounds = boot.bounds
    return hosts.RetryTerms(
        bounds.get('retryRatio', DEFAULT_RETRY_RATIO),
        bounds.get('retrySlack', 0.0),
        bounds.get('retryWindow', DEFAULT_RETRY_WINDOW_SECONDS),
    )


def _create_own(
    boot: settings.BootSettings,
    role: str,
) -> tuple[credentials.Credentials, credentials.FixedDirectory]:
    key = create_key(boot)
    peer = credentials.Peer(MEMBER, boot.host, role)
    public = credentials.public_bytes(key)
    directory = credentials.FixedDirectory({MEMBER: public})
    return credentials.Credentials(peer, key), directory


def _create_host_settings(
    boot: settings.BootSettings,
) -> hosts.GatewaySettings:
    own, directory = _create_own(boot, hosts.ROLE)
    bounds = boot.bounds
    return hosts.GatewaySettings(
        host=boot.host,
        place=costs.Place(boot.domain, boot.regions),
        caller_address=identifiers.Address(boot.listen['front']),
        ready_address=identifiers.Address(boot.listen['readinessAddr']),
        ready_path=names.READY_PATH,
        find_seeds=_Seeds(boot).find,
        own=own,
        directory=directory,
        names=names.HEADERS,
        retries=_create_retry_terms(boot),
        stop_seconds=bounds.get('grace', DEFAULT_GRACE_SECONDS),
    )


def _create_replica_settings(
    boot: settings.BootSettings,
) -> supervision.SupervisorSettings:
    if boot.data_folder is None:
        raise values.FormatError('dataDir')
    return supervision.SupervisorSettings(
        member=MEMBER,
        host=boot.host,
        address=boot.link_address,
        data_folder=boot.data_folder,
        find_seeds=_Seeds(boot).find,
        is_first_start=boot.is_first_start,
        domain=boot.domain,
        region=boot.regions.get(boot.domain, identifiers.RegionName('')),
        key=create_key(boot),
        tolerated=boot.tolerated,
    )


class _Seeds:
    """The seeds of the settings, which may change at any time."""

    def __init__(self, boot: settings.BootSettings) -> None:
        self._known = boot.seeds

    def find(self) -> tuple[identifiers.Address, ...]:
        try:
            self._known = settings.load().seeds
        except (OSError, values.FormatError) as error:
            _log.warning('the settings cannot be read: {}', error)
        return self._known
