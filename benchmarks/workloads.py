"""Sites, loads and requests for replays of the allocation decision."""

import dataclasses
import math
import random as random_module

from wagtailspread.core import priorities

#: Time from the arrival of a request to its deadline, in seconds.
DEADLINE_SECONDS = 1.0
#: Standard deviation of the logarithm of the service time.
SERVICE_SIGMA = 0.5
#: One-way delay within a failure domain, in seconds.
INTRA_DOMAIN_SECONDS = 0.0001


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """A service in a region with two failure domains.

    :param slots: number of slots of each upstream.
    :param inter_domain_seconds: one-way delay between the failure domains.
    :param service_seconds: mean service time.
    :param shares: share of the slots for each priority, 0 to 1.
    """

    name: str
    upstreams: int
    slots: int
    inter_domain_seconds: float
    service_seconds: float = 0.05
    hosts: int = 44
    shares: tuple[float, float, float] = (0.6, 0.3, 0.1)

    @property
    def capacity(self) -> int:
        """Return the number of slots of all upstreams."""
        return self.upstreams * self.slots

    def find_delay(self, source: int, target: int) -> float:
        """Return the one-way delay between two failure domains in seconds."""
        return (
            INTRA_DOMAIN_SECONDS
            if source == target
            else self.inter_domain_seconds
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Work that callers offer to a site.

    :param offered: offered work for each priority, as a share of the capacity.
    :param error_share: share of the requests that upstreams answer with an
        error, 0 to 1.
    """

    name: str
    offered: tuple[float, float, float]
    error_share: float = 0.0


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """A request and its outcome.

    :param number: position in the order of arrival.
    :param host: number of the host that the caller reached.
    :param domain: number of the failure domain of the host.
    :param arrival: time in seconds at which the request reached the host.
    :param service_seconds: time that an upstream needs for the request.
    :param attempts: how often the request was sent to an upstream.
    :param completed_at: time in seconds at which a successful answer reached
        the host; none without one.
    """

    number: int
    priority: priorities.Priority
    host: int
    domain: int
    arrival: float
    service_seconds: float
    attempts: int = 0
    completed_at: float | None = None

    @property
    def deadline(self) -> float:
        """Return the time in seconds by which the host needs the answer."""
        return self.arrival + DEADLINE_SECONDS

    def is_useful(self) -> bool:
        """Return whether a successful answer met the deadline."""
        return (
            self.completed_at is not None and self.completed_at <= self.deadline
        )


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
    """Return requests in order of arrival, which is a Poisson process.

    :param seconds: time until which requests arrive.
    """
    random = random_module.Random(seed)
    half_variance = SERVICE_SIGMA * SERVICE_SIGMA / 2
    log_mean = math.log(site.service_seconds) - half_variance
    jobs = []
    for priority in priorities.Priority:
        rate = load.offered[priority] * site.capacity / site.service_seconds
        arrival = random.expovariate(rate)
        while arrival < seconds:
            host = random.randrange(site.hosts)
            service_seconds = random.lognormvariate(log_mean, SERVICE_SIGMA)
            jobs.append(
                Job(0, priority, host, host % 2, arrival, service_seconds)
            )
            arrival += random.expovariate(rate)
    jobs.sort(key=lambda job: job.arrival)
    for number, job in enumerate(jobs):
        job.number = number
    return jobs
