"""The program on machines with a disk."""

import asyncio

from wagtailspread.core import clocks, identifiers
from wagtailspread.placement import allocators, budgets, selection
from wagtailspread.placement import services as placing_services
from wagtailspread.platform import controls, processes, settings, values
from wagtailspread.processes import machines
from wagtailspread.registry import services
from wagtailspread.replica import supervision


async def run(boot: settings.BootSettings) -> None:
    """Run a replica until SIGTERM."""
    stopping = processes.watch_signals()
    clock = clocks.SuspensionClock()
    registry = services.create_service(
        boot.link_address,
        boot.domain,
        boot.regions,
        clock,
    )
    placing = _create_placing(boot, registry, clock)
    supervisor = supervision.create_supervisor(
        _create_replica_settings(boot),
        registry,
        clock,
        machines.create_machine,
        lambda listener, _driver, _pool: placing.register(listener),
    )
    control = controls.ControlServer(registry, supervisor.find_document_service)
    await control.start(identifiers.Address(boot.listen['control']))
    looking_after = asyncio.create_task(placing.run())
    try:
        await supervisor.run(stopping)
    finally:
        looking_after.cancel()
        await control.close()


def _create_placing(
    boot: settings.BootSettings,
    registry: services.RegistryService,
    clock: clocks.Clock,
) -> placing_services.PlacementService:
    """Return the allocator that this replica has for its region."""
    table = registry.feed.table
    regions = max(1, len(set(boot.regions.values())))
    terms = processes.create_retry_terms(boot)
    budget = budgets.create_budget(
        terms,
        budgets.BudgetShare.REPLICA,
        lambda: max(regions, registry.count_replicas()),
    )
    selector = selection.create_selector(table, boot.regions)
    allocator = allocators.create_allocator(
        selector,
        budget,
        boot.bounds.get('floorShare', allocators.DEFAULT_FLOOR_SHARE),
    )
    return placing_services.create_service(
        allocator,
        clock,
        table.list_silent,
        registry,
    )


def _create_replica_settings(
    boot: settings.BootSettings,
) -> supervision.SupervisorSettings:
    if boot.data_folder is None:
        raise values.FormatError('dataDir')
    return supervision.SupervisorSettings(
        member=processes.MEMBER,
        host=boot.host,
        address=boot.link_address,
        data_folder=boot.data_folder,
        find_seeds=processes.Seeds(boot).find,
        is_first_start=boot.is_first_start,
        domain=boot.domain,
        region=boot.regions.get(boot.domain, identifiers.RegionName('')),
        key=processes.create_key(boot),
        tolerated_losses=boot.tolerated_losses,
    )
