"""Scenarios of the cap of a workspace, for tests and measurements.

Failures begin :data:`FAILURE_START` seconds after the first request. Hosts with
an even number are in the first region.
"""

import functools
import hashlib

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
#: Part of the messages that a lossy link loses.
LOST_PART = 0.3
#: Mean time between the placement of a request and the report of its end.
WORK_SECONDS = 0.4


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


def _draw_fraction(*seeds: object) -> float:
    """Return a number from 0 to 1 that depends on the arguments only."""
    digest = hashlib.blake2b(repr(seeds).encode(), digest_size=4).digest()
    return int.from_bytes(digest, 'big') / (1 << 32)


def _turn_each_time(host: int, now: float) -> bool:
    """Half of the requests of each host go to the second allocator."""
    return now >= FAILURE_START and _draw_fraction(host, now) < 0.5


def _lose_messages(host: int, allocator: str, now: float) -> bool:
    is_lost = _draw_fraction(host, allocator, now) < LOST_PART
    return not (is_lost and _is_failure(now))


def _lose_some_messages(host: int, allocator: str, now: float) -> bool:
    return host % 4 > 1 or _lose_messages(host, allocator, now)


def _ask_few(host: int, now: float) -> bool:
    """Two hosts of each region ask the second allocator."""
    return host < 4


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
        *_list_turns(),
    ]


def _list_turns() -> list[simulations.Scenario]:
    """Return scenarios in which hosts turn to other allocators.

    Hosts report the ends of requests to the allocators that placed them, also
    after they have turned elsewhere.
    """
    near = functools.partial(
        simulations.Scenario, demand=_demand_near, work_seconds=WORK_SECONDS
    )
    twice = functools.partial(
        simulations.Scenario, demand=_demand_twice, work_seconds=WORK_SECONDS
    )
    return [
        twice(name='each-request', is_turned=_turn_each_time),
        near(name='each-request-near', is_turned=_turn_each_time),
        twice(
            name='each-request-low',
            is_turned=_turn_each_time,
            other_rate=LOW_RATE,
        ),
        twice(name='lossy', reach=_lose_messages),
        near(name='lossy-near', reach=_lose_messages),
        twice(name='lossy-low', reach=_lose_messages, other_rate=LOW_RATE),
        twice(name='lossy-half', reach=_lose_some_messages),
        near(name='turned-at-once', reach=_change_allocator),
        twice(name='turned-at-once-twice', reach=_change_allocator),
        near(name='restart', restart_at=FAILURE_START),
        twice(name='restart-twice', restart_at=FAILURE_START),
        near(name='few-hosts', is_turned=_ask_few),
        near(name='few-hosts-low', is_turned=_ask_few, other_rate=LOW_RATE),
    ]
