"""Sites, loads and requests of the replay of the allocation decision."""

import dataclasses
import math
import random as random_module

from wagtailspread.core import priorities

#: Time from the arrival of a request to its deadline, in seconds.
DEADLINE_SECONDS = 1.0
#: Spread of the service times: sigma of a log-normal distribution.
SERVICE_SIGMA = 0.5
#: One-way delay inside a failure domain, in seconds.
NEAR_SECONDS = 0.0001


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """A service in a region with two failure domains.

    :param far_seconds: one-way delay between the failure domains.
    :param service_seconds: mean service time.
    """

    name: str
    upstreams: int
    slots: int
    far_seconds: float
    service_seconds: float = 0.05
    hosts: int = 44
    shares: tuple[float, float, float] = (0.6, 0.3, 0.1)

    @property
    def capacity(self) -> int:
        """Return the slots of all upstreams."""
        return self.upstreams * self.slots

    def delay(self, one: int, other: int) -> float:
        """Return the one-way delay between two failure domains."""
        return NEAR_SECONDS if one == other else self.far_seconds


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Offered work.

    :param offered: by priority, as a share of the capacity.
    :param error_share: share of the requests that upstreams answer with an
        error.
    """

    name: str
    offered: tuple[float, float, float]
    error_share: float = 0.0


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """A request and what became of it.

    :param host: number of the host that the caller reached.
    :param domain: number of the failure domain of the host.
    :param service: service time in seconds.
    :param ended: when the answer reached the host, or none.
    """

    number: int
    priority: priorities.Priority
    host: int
    domain: int
    arrival: float
    service: float
    attempts: int = 0
    ended: float | None = None

    @property
    def deadline(self) -> float:
        """Return when the answer has to be at the host."""
        return self.arrival + DEADLINE_SECONDS

    def is_useful(self) -> bool:
        """Return whether the answer came in time."""
        return self.ended is not None and self.ended <= self.deadline


ANDINO = Site('andino-vitrina', 9, 6, 0.0015)
PENANG = Site('penang-susunan', 9, 3, 0.001)

LOADS = (
    Load('half', (0.2, 0.2, 0.1)),
    Load('overload', (0.5, 0.9, 0.8)),
    Load('bulk-flood', (0.3, 0.2, 1.7)),
    Load('urgent-flood', (1.7, 0.3, 0.2)),
)
OUTAGE = Load('outage', (0.2, 0.2, 0.1), error_share=0.5)


def create_jobs(
    site: Site,
    load: Load,
    seconds: float,
    seed: int,
) -> list[Job]:
    """Return requests that arrive as a Poisson process, by arrival."""
    random = random_module.Random(seed)
    spread = SERVICE_SIGMA * SERVICE_SIGMA / 2
    location = math.log(site.service_seconds) - spread
    jobs = []
    for priority in priorities.Priority:
        rate = load.offered[priority] * site.capacity / site.service_seconds
        arrival = random.expovariate(rate)
        while arrival < seconds:
            host = random.randrange(site.hosts)
            service = random.lognormvariate(location, SERVICE_SIGMA)
            jobs.append(Job(0, priority, host, host % 2, arrival, service))
            arrival += random.expovariate(rate)
    jobs.sort(key=lambda job: job.arrival)
    for number, job in enumerate(jobs):
        job.number = number
    return jobs
