"""Replay of one overload with one policy, on manual time."""

import dataclasses
import heapq
import itertools
import random as random_module
import statistics
import typing

from collections import abc

from benchmarks import overload_loads

#: Interval between two checks of the queue, in seconds, as in the product.
TICK_SECONDS = 0.05
#: Time after the last arrival until which requests end, in seconds.
_DRAIN_SECONDS = 14.0
#: Number of upstreams that one request may be sent to.
_MAX_SENDS = 3
#: Message from a host to its allocator and back, and a host to an upstream.
_SHED_SECONDS = 0.004


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What a policy decides on a request.

    :param upstream: to send it to, ``None`` if it is refused.
    :param retry_after: seconds after which the caller may come again.
    """

    job: overload_loads.Job
    upstream: int | None
    retry_after: float = 0.0


class Policy(typing.Protocol):
    """Decides on the requests of one service."""

    def submit(self, job: overload_loads.Job, now: float) -> list[Decision]:
        """Return the decisions that an arrival causes, none if it waits."""

    def settle(
        self, job: overload_loads.Job, upstream: int, is_shed: bool, now: float
    ) -> list[Decision]:
        """Return the decisions that the end of an exchange causes."""

    def tick(self, now: float) -> list[Decision]:
        """Return the decisions that are due."""

    def replace_out(self, out: frozenset[int], now: float) -> None:
        """Replace the set of upstreams that are out of service."""


class Replay:
    """Callers and upstreams of one scenario."""

    def __init__(
        self, scenario: overload_loads.Scenario, policy: Policy, seed: int
    ) -> None:
        """Start with idle upstreams."""
        self.now = 0.0
        self._scenario = scenario
        self._policy = policy
        self._random = random_module.Random(seed)
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._open = [0 for _ in range(scenario.upstreams)]

    def run(self, jobs: list[overload_loads.Job]) -> None:
        """Handle all requests until they have ended."""
        for job in jobs:
            self._add(job.arrival, self._bind_arrival(job))
        end = overload_loads.REPLAY_SECONDS + _DRAIN_SECONDS
        for step in range(int(end / TICK_SECONDS)):
            self._add(step * TICK_SECONDS, self._tick)
        self._plan_outage()
        while self._events:
            self.now, _, handle = heapq.heappop(self._events)
            handle()

    def _add(self, at: float, handle: abc.Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), handle))

    def _plan_outage(self) -> None:
        count = int(self._scenario.upstreams * self._scenario.out_share)
        numbers = range(self._scenario.upstreams)
        out = frozenset(self._random.sample(numbers, count))
        for at, members in (
            (overload_loads.FAULT_SECONDS, out),
            (self._scenario.end, frozenset[int]()),
        ):
            self._add(at, self._bind_out(members))

    def _bind_out(self, out: frozenset[int]) -> abc.Callable[[], None]:
        return lambda: self._policy.replace_out(out, self.now)

    def _bind_arrival(self, job: overload_loads.Job) -> abc.Callable[[], None]:
        return lambda: self._arrive(job)

    def _arrive(self, job: overload_loads.Job) -> None:
        job.asked_at = self.now
        self._apply(self._policy.submit(job, self.now))

    def _tick(self) -> None:
        self._apply(self._policy.tick(self.now))

    def _apply(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            if decision.upstream is None:
                self._refuse(decision.job, decision.retry_after)
            else:
                self._send(decision.job, decision.upstream)

    def _refuse(self, job: overload_loads.Job, retry_after: float) -> None:
        """Let the caller come again once, when it was told to."""
        job.held.append(self.now - job.asked_at)
        job.refusals += 1
        back_at = self.now + retry_after
        if job.refusals == 1 and back_at + job.work < job.deadline:
            job.excluded.clear()
            job.attempts = 0
            self._add(back_at, self._bind_arrival(job))

    def _send(self, job: overload_loads.Job, upstream: int) -> None:
        job.attempts += 1
        is_shed = self._draw_shed(upstream)
        self._open[upstream] += 1
        seconds = _SHED_SECONDS if is_shed else job.work
        self._add(
            self.now + seconds,
            lambda: self._finish(job, upstream, is_shed),
        )

    def _draw_shed(self, upstream: int) -> bool:
        scenario = self._scenario
        if not scenario.is_disturbed(self.now):
            return False
        if scenario.shed_above:
            return self._open[upstream] >= scenario.shed_above
        return self._random.random() < scenario.shed_share

    def _finish(
        self, job: overload_loads.Job, upstream: int, is_shed: bool
    ) -> None:
        self._open[upstream] -= 1
        decisions = self._policy.settle(job, upstream, is_shed, self.now)
        if is_shed:
            job.excluded.add(upstream)
            if job.attempts < _MAX_SENDS and self.now < job.deadline:
                decisions.extend(self._policy.submit(job, self.now))
        else:
            job.ended_at = self.now
        self._apply(decisions)


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Results of the requests that came during the disturbance.

    :param value: share of the value of all requests.
    :param ranks: share served in time or late by rank, as are the others.
    :param worst_workspace: of those with some requests.
    :param refused: refusals for each request.
    :param held: mean seconds that refused requests had waited.
    :param longest: the most seconds that one had waited.
    :param worst_group: least share served of a rank, kind, failure domain or
        workspace, as a part of the share of all.
    """

    value: float
    served: float
    ranks: dict[int, float]
    kinds: dict[str, float]
    worst_workspace: float
    mean_workspace: float
    refused: float
    held: float
    longest: float
    worst_group: float

    def format_line(self, scenario: str, policy: str) -> str:
        """Return the line to print."""
        parts = [
            f'overload {scenario} policy={policy}',
            f'value={self.value:.3f} served={self.served:.3f}',
            *(
                f'rank-{rank}={share:.3f}'
                for rank, share in sorted(self.ranks.items())
            ),
            f'worst-workspace={self.worst_workspace:.3f}',
            f'mean-workspace={self.mean_workspace:.3f}',
            *(f'{kind}={share:.3f}' for kind, share in self.kinds.items()),
            f'refusals={self.refused:.3f} held={self.held * 1000:.0f} ms',
            f'longest={self.longest * 1000:.0f} ms',
            f'worst-group={self.worst_group:.2f}',
        ]
        return ' '.join(parts)


#: Requests of a workspace from which its share is a meaningful figure.
_MIN_WORKSPACE_JOBS = 10
_LEAST_SHARE = 1e-9


def summarize(
    scenario: overload_loads.Scenario, jobs: list[overload_loads.Job]
) -> Summary:
    """Return the results of the requests that came while it lasted."""
    counted = [job for job in jobs if scenario.is_disturbed(job.arrival)]
    workspaces = [
        _find_served(group)
        for group in _group(counted, lambda job: job.workspace).values()
        if len(group) >= _MIN_WORKSPACE_JOBS
    ]
    held = list(itertools.chain.from_iterable(job.held for job in counted))
    total = sum(job.kind.weight for job in counted)
    served = _find_served(counted)
    ranks = _share(counted, lambda job: job.kind.rank)
    kinds = _share(counted, lambda job: job.kind.name)
    domains = _share(counted, lambda job: job.domain)
    groups = [*ranks.values(), *kinds.values(), *domains.values(), *workspaces]
    return Summary(
        value=sum(job.value for job in counted) / total,
        served=served,
        ranks=ranks,
        kinds=kinds,
        worst_workspace=min(workspaces),
        mean_workspace=statistics.fmean(workspaces),
        refused=sum(job.refusals for job in counted) / len(counted),
        held=statistics.fmean(held) if held else 0.0,
        longest=max(held, default=0.0),
        worst_group=min(groups) / max(served, _LEAST_SHARE),
    )


_Key = typing.TypeVar('_Key')


def _group(
    jobs: list[overload_loads.Job],
    find_key: abc.Callable[[overload_loads.Job], _Key],
) -> dict[_Key, list[overload_loads.Job]]:
    groups: dict[_Key, list[overload_loads.Job]] = {}
    for job in jobs:
        groups.setdefault(find_key(job), []).append(job)
    return groups


def _share(
    jobs: list[overload_loads.Job],
    find_key: abc.Callable[[overload_loads.Job], _Key],
) -> dict[_Key, float]:
    return {
        key: _find_served(group)
        for key, group in _group(jobs, find_key).items()
    }


def _find_served(jobs: list[overload_loads.Job]) -> float:
    return sum(job.value > 0 for job in jobs) / len(jobs)
