"""Bound of an overload: an ideal scheduler that knows all work and arrivals.

It divides the slots of all upstreams without loss, sends each request once and
has nothing else to do. The value of any schedule is 0.7 of what it serves
within the objectives and 0.3 of all that it serves, so it is at most 0.7 of the
best of the first and 0.3 of the best of the second. Each is a maximum flow from
requests to the intervals in which they may run. Requests with the most value
for their work are added first, which is optimal for parts of requests, since
flows never shrink when more requests are added.

>>> kind = overload_loads.Kind('a', 1.0, 1.0, 1.0, 1.0)
>>> jobs = [
...     overload_loads.Job(
...         number, 5.0, kind, work, -1, 0, due=6.0, deadline=6.0)
...     for number, work in enumerate((0.8, 0.5, 0.4))
... ]
>>> scenario = overload_loads.Scenario('one', 1, 1, (kind,), seconds=1.0)
>>> round(find_value(scenario, jobs), 3)
0.708
"""

import collections
import math

from benchmarks import overload_loads

#: Length of the intervals in which requests come and run, in seconds.
STEP_SECONDS = 0.25
#: Requests of a kind are divided into so many groups by their work.
_WORK_GROUPS = 4
_SMALL = 1e-9

#: Requests of one kind that come in one interval and have similar work.
_Batch = list[overload_loads.Job]


def find_value(
    scenario: overload_loads.Scenario, jobs: list[overload_loads.Job]
) -> float:
    """Return the share of the value that no scheduler exceeds.

    Only the requests that come during the disturbance count, and no other
    request takes a slot.
    """
    counted = [job for job in jobs if scenario.is_disturbed(job.arrival)]
    total = sum(job.kind.weight for job in counted)
    in_time = _find_best(scenario, counted, is_late=False)
    in_all = _find_best(scenario, counted, is_late=True)
    best = (
        1 - overload_loads.LATE_VALUE
    ) * in_time + overload_loads.LATE_VALUE * in_all
    return best / total


def _find_best(
    scenario: overload_loads.Scenario,
    jobs: list[overload_loads.Job],
    *,
    is_late: bool,
) -> float:
    """Return the largest value of requests that can be served.

    :param is_late: whether they may end after their objective.
    """
    graph = _Graph()
    value = 0.0
    for batch in _divide(jobs):
        work = sum(job.work for job in batch)
        weight = sum(job.kind.weight for job in batch)
        first = batch[0]
        end = max(job.deadline if is_late else job.due for job in batch)
        steps = range(_find_step(first.arrival), math.ceil(end / STEP_SECONDS))
        for step in steps:
            graph.set_capacity(step, _count_slots(scenario, step))
        value += weight * graph.add(work, steps) / work
    return value


def _divide(jobs: list[overload_loads.Job]) -> list[_Batch]:
    """Return the requests in batches, the most value for their work first."""
    by_kind: dict[str, list[overload_loads.Job]] = {}
    for job in jobs:
        by_kind.setdefault(job.kind.name, []).append(job)
    batches: dict[tuple[str, int, int], _Batch] = {}
    for name, members in by_kind.items():
        members.sort(key=lambda one: one.work)
        for number, member in enumerate(members):
            group = number * _WORK_GROUPS // len(members)
            key = (name, group, _find_step(member.arrival))
            batches.setdefault(key, []).append(member)
    return sorted(batches.values(), key=_find_work_per_value)


def _find_work_per_value(batch: _Batch) -> float:
    return sum(job.work for job in batch) / sum(
        job.kind.weight for job in batch
    )


def _find_step(at: float) -> int:
    return int(at / STEP_SECONDS)


def _count_slots(scenario: overload_loads.Scenario, step: int) -> float:
    """Return the slot time of an interval in seconds."""
    upstreams = scenario.upstreams
    slots = scenario.slots
    if scenario.is_disturbed(step * STEP_SECONDS):
        upstreams -= int(upstreams * scenario.out_share)
        slots = min(slots, scenario.shed_above or slots)
    return upstreams * slots * STEP_SECONDS


class _Graph:
    """Flow from batches to intervals, which grows by augmenting paths."""

    def __init__(self) -> None:
        self._left: dict[int, float] = {}
        self._flows: list[dict[int, float]] = []
        self._steps: list[range] = []
        self._users: dict[int, set[int]] = collections.defaultdict(set)

    def set_capacity(self, step: int, seconds: float) -> None:
        """Set the slot time of an interval, unless it is known."""
        self._left.setdefault(step, seconds)

    def add(self, work: float, steps: range) -> float:
        """Add a batch and return how much of its work can be done."""
        batch = len(self._flows)
        self._flows.append(collections.defaultdict(float))
        self._steps.append(steps)
        done = 0.0
        while work - done > _SMALL:
            path = self._find_path(batch)
            if not path:
                break
            done += self._augment(batch, path, work - done)
        return done

    def _find_path(self, batch: int) -> list[tuple[int, int]]:
        """Return moves to an interval with room, each of a batch to it."""
        before: dict[int, tuple[int, int]] = {}
        queue = collections.deque([(batch, -1)])
        while queue:
            mover, source = queue.popleft()
            for step in self._steps[mover]:
                if step in before:
                    continue
                before[step] = (mover, source)
                if self._left[step] > _SMALL:
                    return _trace(before, step)
                queue.extend((user, step) for user in self._users[step])
        return []

    def _augment(
        self, batch: int, path: list[tuple[int, int]], work: float
    ) -> float:
        """Move work along a path; return the amount."""
        amount = min(work, self._left[path[-1][1]])
        source = -1
        for mover, step in path:
            if source >= 0:
                amount = min(amount, self._flows[mover][source])
            source = step
        self._left[path[-1][1]] -= amount
        source = -1
        for moved, target in path:
            self._flows[moved][target] += amount
            self._users[target].add(moved)
            if source >= 0:
                self._reduce(moved, source, amount)
            source = target
        return amount

    def _reduce(self, batch: int, step: int, amount: float) -> None:
        self._flows[batch][step] -= amount
        if self._flows[batch][step] <= _SMALL:
            self._flows[batch].pop(step)
            self._users[step].discard(batch)


def _trace(
    before: dict[int, tuple[int, int]], step: int
) -> list[tuple[int, int]]:
    """Return the moves that lead to an interval, the first one first."""
    path = []
    while step >= 0:
        mover, source = before[step]
        path.append((mover, step))
        step = source
    path.reverse()
    return path
