"""Requests and faults of the replays of uneven demand.

Four failure domains in two regions. All requests are drawn from a seed. The
loads are higher than those of the deployments in docs/design/hard-load.md, so
that one region is short of capacity and both together are not.
"""

import dataclasses
import enum
import math
import random as random_module
import typing

from benchmarks import overload_loads
from wagtailspread.core import identifiers

DOMAINS: typing.Final = tuple(
    identifiers.FailureDomain(f'd{number}') for number in range(4)
)
REGION_NAMES: typing.Final = (
    identifiers.RegionName('r1'),
    identifiers.RegionName('r2'),
)
REGIONS: typing.Final = {
    domain: REGION_NAMES[number // 2] for number, domain in enumerate(DOMAINS)
}
#: Requests arrive until this time, in seconds; the disturbance begins earlier.
REPLAY_SECONDS = 20.0
FAULT_SECONDS = 5.0
#: Spread of the work of single requests, as sigma of a lognormal distribution.
_WORK_SIGMA = 0.3


class Loss(enum.Enum):
    """Upstreams that are out of service during the disturbance."""

    NONE = 'none'
    #: Every second upstream of each failure domain of the first region.
    HALF_OF_REGION = 'half of a region'
    #: All upstreams of the first failure domain.
    DOMAIN = 'domain'


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A service, its load and its disturbance.

    :param load: offered work over all slots before the disturbance.
    :param demand: shares of the failure domains in the requests.
    :param wave: by which the rate of the first region rises at the crest.
    :param sizes: bytes of the bodies by kind.
    """

    name: str
    upstreams: int
    slots: int
    kinds: tuple[overload_loads.Kind, ...]
    load: float
    demand: tuple[float, ...] = (0.25, 0.25, 0.25, 0.25)
    seconds: float = 10.0
    wave: float = 0.0
    loss: Loss = Loss.NONE
    sizes: typing.Mapping[str, int] = dataclasses.field(default_factory=dict)

    @property
    def end(self) -> float:
        """Return the time at which the disturbance ends."""
        return FAULT_SECONDS + self.seconds

    def is_disturbed(self, now: float) -> bool:
        """Tell whether the disturbance lasts at a time."""
        return FAULT_SECONDS <= now < self.end

    def list_lost(self) -> frozenset[int]:
        """Return the upstreams that are out during the disturbance."""
        numbers = range(self.upstreams)
        if self.loss is Loss.DOMAIN:
            return frozenset(one for one in numbers if one % 4 == 0)
        if self.loss is Loss.HALF_OF_REGION:
            return frozenset(one for one in numbers if one % 8 in {0, 1})
        return frozenset()


def create_jobs(scenario: Scenario, seed: int) -> list[overload_loads.Job]:
    """Return the requests of a scenario in the order of their arrival."""
    random = random_module.Random(seed)
    slots = scenario.upstreams * scenario.slots
    usual = sum(kind.rate * kind.work for kind in scenario.kinds)
    factor = scenario.load * slots / usual
    jobs = []
    for kind in scenario.kinds:
        at = 0.0
        while True:
            at += random.expovariate(kind.rate * factor * (1 + scenario.wave))
            if at >= REPLAY_SECONDS:
                break
            (domain,) = random.choices(range(4), scenario.demand)
            if random.random() * (1 + scenario.wave) < _find_factor(
                scenario, domain, at
            ):
                jobs.append(_create_job(kind, at, domain, random))
    jobs.sort(key=lambda job: job.arrival)
    for number, job in enumerate(jobs):
        job.number = number
    return jobs


def _find_factor(scenario: Scenario, domain: int, at: float) -> float:
    """Return the rate at a time as a multiple of the usual one."""
    if domain >= 2 or not scenario.is_disturbed(at):
        return 1.0
    phase = (at - FAULT_SECONDS) / scenario.seconds
    return 1 + scenario.wave * math.sin(math.pi * phase)


def _create_job(
    kind: overload_loads.Kind,
    at: float,
    domain: int,
    random: random_module.Random,
) -> overload_loads.Job:
    mean = -_WORK_SIGMA * _WORK_SIGMA / 2
    return overload_loads.Job(
        number=0,
        arrival=at,
        kind=kind,
        work=kind.work * random.lognormvariate(mean, _WORK_SIGMA),
        workspace=-1,
        domain=domain,
        due=at + kind.objective,
        deadline=at + kind.deadline,
        asked_at=at,
    )


_KIB = 1024
_SIZES: typing.Final = {'safe': 0, 'unsafe': 2 * _KIB, 'upload': 60 * _KIB}
#: Kinds of friolink and bodegon in docs/design/hard-load.md.
_FRIOLINK: typing.Final = (
    overload_loads.Kind('safe', 101.0, 0.171, 0.964, 3.002),
    overload_loads.Kind('unsafe', 294.0, 0.199, 1.8, 4.5, is_repeatable=False),
    overload_loads.Kind(
        'upload', 41.0, 0.221, 2.961, 5.923, is_repeatable=False
    ),
)
_BODEGON: typing.Final = (
    overload_loads.Kind('safe', 81.0, 0.183, 0.849, 5.0),
    overload_loads.Kind('unsafe', 167.0, 0.366, 1.4, 8.0, is_repeatable=False),
    overload_loads.Kind('long', 54.0, 0.549, 2.033, 12.0, is_repeatable=False),
)

SCENARIOS: typing.Final = (
    Scenario(
        'wave',
        upstreams=48,
        slots=6,
        kinds=_BODEGON,
        load=0.7,
        wave=0.55,
        sizes=_SIZES,
    ),
    Scenario(
        'half-of-region',
        upstreams=86,
        slots=3,
        kinds=_FRIOLINK,
        load=0.6,
        loss=Loss.HALF_OF_REGION,
        sizes=_SIZES,
    ),
    Scenario(
        'domain-gone',
        upstreams=13,
        slots=6,
        kinds=_FRIOLINK,
        load=0.6,
        demand=(1.5, 1.0, 1.0, 1.0),
        loss=Loss.DOMAIN,
        sizes=_SIZES,
    ),
)
