"""The program of the replicas, which run on machines with a disk."""

import asyncio

from wagtailspread.core import clocks, identifiers, tasks
from wagtailspread.placement import allocators, budgets, coverage
from wagtailspread.placement import permits, selection
from wagtailspread.placement import services as placement_services
from wagtailspread.platform import controls, documents, processes
from wagtailspread.platform import settings, values
from wagtailspread.processes import machines
from wagtailspread.registry import services
from wagtailspread.replica import supervision


async def run(boot: settings.BootSettings) -> None:
    """Run a replica until SIGTERM or SIGINT."""
    stopping = processes.watch_signals()
    clock = clocks.SuspensionClock()
    registry = services.create_service(
        boot.link_address,
        boot.domain,
        boot.regions,
        clock,
        documents.list_services,
    )
    placement = _create_placement(boot, registry, clock)
    supervisor = supervision.create_supervisor(
        _create_replica_settings(boot),
        registry,
        clock,
        machines.create_machine,
        lambda listener, _driver, _pool: placement.register(listener),
    )
    control_server = controls.ControlServer(
        registry,
        supervisor.find_document_service,
        boot.memory_bytes,
    )
    await control_server.start(boot.find_listen_address('control'))
    placement_task = asyncio.create_task(
        tasks.keep_running('allocator', placement.run),
    )
    try:
        await supervisor.run(stopping)
    finally:
        placement_task.cancel()
        await control_server.close()


def _create_placement(
    boot: settings.BootSettings,
    registry: services.RegistryService,
    clock: clocks.Clock,
) -> placement_services.PlacementService:
    """Return the service of the allocator for the replica's region."""
    table = registry.feed.table
    regions = max(1, len(set(boot.regions.values())))
    retry_settings = processes.create_retry_settings(boot)
    budget = budgets.create_budget(
        retry_settings,
        budgets.BudgetShare.REPLICA,
        lambda: max(regions, registry.count_replicas()),
    )
    selector = selection.create_selector(table, boot.regions)
    allocator = allocators.create_allocator(
        selector,
        budget,
        boot.bounds.get('floorShare', allocators.DEFAULT_FLOOR_SHARE),
        quota=permits.QuotaSettings(
            processes.create_cap_limits(boot),
            count_hosts=lambda: registry.quotas.count_hosts(clock.now()),
            count_declared=lambda: registry.quotas.count_declared(clock.now()),
        ),
    )
    return placement_services.create_service(
        allocator,
        clock,
        table.list_silent,
        registry,
        coverage.create_monitor(selector, allocator.floor, _list_domains(boot)),
        registry.quotas,
    )


def _list_domains(
    boot: settings.BootSettings,
) -> frozenset[identifiers.FailureDomain]:
    """Return the failure domains of the replica's region."""
    own = boot.regions.get(boot.domain)
    return frozenset(
        domain for domain, region in boot.regions.items() if region == own
    )


def _create_replica_settings(
    boot: settings.BootSettings,
) -> supervision.SupervisorSettings:
    if boot.data_folder is None:
        raise values.FormatError('dataDir: expected a folder, got none')
    return supervision.SupervisorSettings(
        member=processes.MEMBER,
        host=boot.host,
        address=boot.link_address,
        data_folder=boot.data_folder,
        find_seeds=processes.Seeds(boot).find,
        is_first_start=boot.is_first_start,
        domain=boot.domain,
        region=boot.regions.get(boot.domain, identifiers.RegionName('')),
        key=processes.derive_key(boot),
        trusted_key=processes.derive_key(boot),
        tolerated_losses=boot.tolerated_losses,
    )
