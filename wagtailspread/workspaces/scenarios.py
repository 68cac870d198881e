"""Scenarios of the cap of a workspace, for tests and measurements.

Failures begin :data:`FAILURE_START` seconds after the first request. Hosts with
an even number are in the first region.
"""

import functools

from wagtailspread.workspaces import simulations

FAILURE_START = 10.0
FAILURE_END = 20.0
#: Usual demand of the workspace with a surge, as a multiple of its cap.
USUAL_DEMAND = 0.4
SURGE_FACTOR = 7.0
SURGE_SECONDS = 6.0
#: Demand near and beyond the cap, as multiples of it.
NEAR = 0.9
TWICE = 2.0
LOST_HOSTS = 20
MANY_HOSTS = 400
#: Requests per second and host at the lowest point of the slow waves.
LOW_RATE = 2.2
#: Delays of messages between allocators, in seconds. With the larger one, a
#: loan may arrive after its end.
LATE_SECONDS = 0.2
TOO_LATE_SECONDS = 0.8


def _demand_near(_now: float) -> float:
    return NEAR


def _demand_twice(_now: float) -> float:
    return TWICE


def _demand_surge(now: float) -> float:
    passed = now - FAILURE_START
    is_surge = 0 <= passed < SURGE_SECONDS
    return USUAL_DEMAND * (SURGE_FACTOR if is_surge else 1.0)


def _is_failure(now: float) -> bool:
    return FAILURE_START <= now < FAILURE_END


def _lose_hosts(host: int, now: float) -> bool:
    return now < FAILURE_START or host >= LOST_HOSTS


def _lose_region(host: int, now: float) -> bool:
    return now < FAILURE_START or host % 2 > 0


def _cut_off_hosts(host: int, _allocator: str, now: float) -> bool:
    return not _is_failure(now) or host % 4 > 0


def _cut_off_all(_host: int, _allocator: str, now: float) -> bool:
    return not _is_failure(now)


def _split_hosts(host: int, allocator: str, now: float) -> bool:
    """Half of the hosts of both regions lose the first allocator."""
    is_lost = allocator.endswith('1') and host % 4 < 2
    return not (is_lost and _is_failure(now))


def _split_region(host: int, allocator: str, now: float) -> bool:
    is_lost = allocator == 'a1' and host % 4 == 0
    return not (is_lost and _is_failure(now))


def _change_allocator(_host: int, allocator: str, now: float) -> bool:
    return now < FAILURE_START or allocator != 'a1'


def _alternate(host: int, allocator: str, now: float) -> bool:
    """All hosts of a region change their allocator every 3 s."""
    return allocator != 'a1' or int(now) % 6 < 3


def _reach_none(_host: int, _allocator: str, _now: float) -> bool:
    return False


def list_alternatives() -> list[simulations.Scenario]:
    """Return scenarios that show other mechanisms, for comparison.

    Hosts that always decide alone have fixed shares. Without loans, each
    region has a fixed share.
    """
    near = functools.partial(simulations.Scenario, demand=_demand_near)
    return [
        near(name='fixed-host-shares', reach=_reach_none),
        near(
            name='fixed-region-shares',
            region_part=1.0,
            loan_delay=simulations.NEVER_SECONDS,
        ),
    ]


def list_scenarios() -> list[simulations.Scenario]:
    """Return all scenarios."""
    near = functools.partial(simulations.Scenario, demand=_demand_near)
    twice = functools.partial(simulations.Scenario, demand=_demand_twice)
    return [
        near(name='near'),
        twice(name='twice'),
        simulations.Scenario(name='surge', demand=_demand_surge),
        near(name='one-region', region_part=1.0),
        twice(name='one-region-twice', region_part=1.0),
        near(name='low-wave', other_rate=LOW_RATE),
        near(name='quiet', other_rate=0.0),
        near(name='many-hosts', hosts=MANY_HOSTS, other_rate=LOW_RATE),
        near(name='lost-hosts', is_alive=_lose_hosts),
        near(name='lost-region', is_alive=_lose_region),
        twice(name='cut-off-hosts', reach=_cut_off_hosts),
        twice(name='cut-off-all', reach=_cut_off_all),
        twice(name='split-region', reach=_split_region),
        twice(name='split-both', reach=_split_hosts),
        twice(name='split-quiet', reach=_split_hosts, other_rate=0.0),
        near(name='changed', reach=_change_allocator),
        twice(name='changed-twice', reach=_change_allocator),
        twice(name='alternating', reach=_alternate),
        near(name='late-loans', region_part=NEAR, loan_delay=LATE_SECONDS),
        near(
            name='too-late-loans',
            region_part=NEAR,
            loan_delay=TOO_LATE_SECONDS,
        ),
        twice(
            name='too-late-twice',
            region_part=NEAR,
            loan_delay=TOO_LATE_SECONDS,
        ),
    ]
