"""The allocator of a host, which is used if no replica answers.

A host needs it only after a replica has named it as a substitute. So this
module is imported after the host has started to serve requests.
"""

import typing

from wagtailspread.core import clocks, identifiers
from wagtailspread.placement import allocators, budgets, crashes, permits
from wagtailspread.placement import selection, services
from wagtailspread.registry import places, tables


def create_service(
    registry: tables.RegistryTable,
    regions: dict[identifiers.FailureDomain, identifiers.RegionName],
    retry_budget: budgets.RetryBudgetSettings,
    crash_table: crashes.CrashTable,
    clock: clocks.Clock,
    find_silent: typing.Callable[[], typing.Collection[identifiers.UpstreamId]],
    quota: permits.QuotaSettings,
) -> services.PlacementService:
    """Return the service of the allocator, which is not running.

    :param registry: the upstreams that the host knows.
    :param regions: the region of each failure domain.
    :param crash_table: the requests that crash upstreams, shared with the host.
    :param quota: its part in the caps of workspaces.
    """
    budget = budgets.create_budget(
        retry_budget,
        budgets.BudgetShare.SUBSTITUTE,
        lambda: places.MAX_SUBSTITUTES * len(set(regions.values())),
    )
    allocator = allocators.create_allocator(
        selection.create_selector(registry, regions),
        budget,
        crash_table=crash_table,
        quota=quota,
    )
    return services.create_service(allocator, clock, lambda _now: find_silent())
