"""Requests and faults of the replays of overloads.

All of them are drawn from a seed. A scenario is a service with the load of a
deployment in docs/design/hard-load.md and a disturbance of some seconds.
"""

import dataclasses
import math
import random as random_module
import typing

#: Requests arrive until this time, in seconds; the disturbance begins earlier.
REPLAY_SECONDS = 17.0
#: Start of the disturbance, in seconds.
FAULT_SECONDS = 5.0
#: Value of a response after the objective, if it comes before the deadline.
LATE_VALUE = 0.3
#: Spread of the work of single requests, as sigma of a lognormal distribution.
_WORK_SIGMA = 0.3
_DOMAINS = 4
#: Sizes of workspaces follow a power law: of 75, the largest sends a third.
_WORKSPACE_EXPONENT = 1.3


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of requests of a service.

    :param rate: requests/s without waves and bursts.
    :param work: mean work in seconds.
    :param objective: seconds after the arrival, as is the deadline.
    :param weight: value of a response within the objective.
    """

    name: str
    rate: float
    work: float
    objective: float
    deadline: float
    rank: int = 0
    weight: float = 1.0
    is_repeatable: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A service, its load and its disturbance.

    :param workspaces: number of workspaces, 0 for none.
    :param burst_kind: whose rate is multiplied by ``burst``.
    :param burst_workspace: whether the rate of the largest workspace is.
    :param wave: factor of all rates at the crest of the slow wave.
    :param out_share: share of the upstreams that are out of service.
    :param shed_share: share of the arriving requests that upstreams shed.
    :param shed_above: number of open requests at an upstream from which it
        sheds all, 0 for no such limit.
    """

    name: str
    upstreams: int
    slots: int
    kinds: tuple[Kind, ...]
    seconds: float
    workspaces: int = 0
    burst: float = 1.0
    burst_kind: str = ''
    burst_workspace: bool = False
    wave: float = 1.0
    out_share: float = 0.0
    shed_share: float = 0.0
    shed_above: int = 0

    @property
    def end(self) -> float:
        """Return the time at which the disturbance ends."""
        return FAULT_SECONDS + self.seconds

    def is_disturbed(self, now: float) -> bool:
        """Tell whether the disturbance lasts at a time."""
        return FAULT_SECONDS <= now < self.end


@dataclasses.dataclass(slots=True)
class Job:
    """One request of a caller and what became of it.

    :param due: time of the objective, in seconds, as is the deadline.
    :param asked_at: time at which it came last.
    :param held: seconds for which it waited before it was refused.
    """

    number: int
    arrival: float
    kind: Kind
    work: float
    workspace: int
    domain: int
    due: float = 0.0
    deadline: float = 0.0
    asked_at: float = 0.0
    ended_at: float = math.inf
    refusals: int = 0
    attempts: int = 0
    held: list[float] = dataclasses.field(default_factory=list)
    excluded: set[int] = dataclasses.field(default_factory=set)

    @property
    def value(self) -> float:
        """Return the value of its response."""
        if self.ended_at <= self.due:
            return self.kind.weight
        if self.ended_at <= self.deadline:
            return self.kind.weight * LATE_VALUE
        return 0.0


def create_jobs(scenario: Scenario, seed: int) -> list[Job]:
    """Return the requests of a scenario in the order of their arrival."""
    random = random_module.Random(seed)
    jobs = []
    for kind in scenario.kinds:
        at = 0.0
        peak = kind.rate * scenario.wave * max(scenario.burst, 1.0)
        while True:
            at += random.expovariate(peak)
            if at >= REPLAY_SECONDS:
                break
            workspace = _draw_workspace(scenario, at, random)
            if random.random() * scenario.burst < _find_factor(
                scenario, kind, workspace, at
            ):
                jobs.append(_create_job(kind, at, workspace, random))
    jobs.sort(key=lambda job: job.arrival)
    for number, job in enumerate(jobs):
        job.number = number
    return jobs


def _draw_workspace(
    scenario: Scenario, at: float, random: random_module.Random
) -> int:
    """Return a workspace; a few are large, and the first is the largest."""
    if not scenario.workspaces:
        return -1
    weights = [
        (1 + number) ** -_WORKSPACE_EXPONENT
        for number in range(scenario.workspaces)
    ]
    (drawn,) = random.choices(range(scenario.workspaces), weights)
    return drawn


def _find_factor(
    scenario: Scenario, kind: Kind, workspace: int, at: float
) -> float:
    """Return the rate at a time as a multiple of the usual one."""
    is_burst = scenario.is_disturbed(at) and (
        kind.name == scenario.burst_kind
        or (scenario.burst_workspace and workspace == 0)
    )
    return scenario.burst if is_burst else 1.0


def _create_job(
    kind: Kind, at: float, workspace: int, random: random_module.Random
) -> Job:
    mean = -_WORK_SIGMA * _WORK_SIGMA / 2
    return Job(
        number=0,
        arrival=at,
        kind=kind,
        work=kind.work * random.lognormvariate(mean, _WORK_SIGMA),
        workspace=workspace,
        domain=random.randrange(_DOMAINS),
        due=at + kind.objective,
        deadline=at + kind.deadline,
        asked_at=at,
    )


#: 86 upstreams with 3 slots: rates of the three kinds that make up 436/s.
_FRIOLINK: typing.Final = (
    Kind('safe', 101.0, 0.171, 0.964, 3.002),
    Kind('unsafe', 294.0, 0.199, 1.8, 4.5, is_repeatable=False),
    Kind('upload', 41.0, 0.221, 2.961, 5.923, is_repeatable=False),
)
_BODEGON: typing.Final = (
    Kind('safe', 81.0, 0.183, 0.849, 5.0),
    Kind('unsafe', 167.0, 0.366, 1.4, 8.0, is_repeatable=False),
    Kind('long', 54.0, 0.549, 2.033, 12.0, is_repeatable=False),
)
_MIXED: typing.Final = (
    Kind('urgent', 200.0, 0.2, 1.0, 4.0, rank=0, weight=3.0),
    Kind('short', 150.0, 0.1, 1.0, 4.0, rank=1),
    Kind('long', 60.0, 0.6, 2.0, 6.0, rank=1),
)

SCENARIOS = (
    Scenario(
        'workspace-burst',
        upstreams=86,
        slots=3,
        kinds=_FRIOLINK,
        seconds=6.0,
        workspaces=75,
        burst=7.0,
        burst_workspace=True,
        wave=1.55,
    ),
    Scenario(
        'sheds-third',
        upstreams=48,
        slots=6,
        kinds=_BODEGON,
        seconds=8.0,
        shed_share=1 / 3,
    ),
    Scenario(
        'sheds-half',
        upstreams=86,
        slots=3,
        kinds=_FRIOLINK,
        seconds=8.0,
        shed_share=0.55,
    ),
    Scenario(
        'sheds-above-limit',
        upstreams=48,
        slots=6,
        kinds=_BODEGON,
        seconds=8.0,
        wave=1.55,
        shed_above=3,
    ),
    Scenario(
        'kind-burst-third-out',
        upstreams=48,
        slots=6,
        kinds=_BODEGON,
        seconds=8.0,
        burst=3.0,
        burst_kind='unsafe',
        out_share=1 / 3,
        wave=1.25,
    ),
    Scenario(
        'ranks-and-sizes',
        upstreams=30,
        slots=6,
        kinds=_MIXED,
        seconds=6.0,
        burst=3.0,
        burst_kind='urgent',
        out_share=1 / 3,
    ),
)
