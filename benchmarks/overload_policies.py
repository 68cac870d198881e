"""Policies that the replays of overloads compare.

Those that are defined here differ only in the order of their queue. Each of
them refuses a request that can't end before its deadline when it comes, and
again while it waits, by the mean work of its kind. None of them learns.
"""

import bisect

from collections import abc

from benchmarks import overload_loads
from benchmarks import overload_replays as replays
from wagtailspread.core import identifiers
from wagtailspread.placement import budgets

_SERVICE = identifiers.ServiceName('service')
_BUDGET_WINDOW_SECONDS = 10.0
_BUDGET_RATIO = 0.2
_BUDGET_SLACK = 10.0
_MIN_RETRY_SECONDS = 0.2
_MAX_RETRY_SECONDS = 3.0
#: Slots over which the virtual time of fair queueing is spread.
_FAIR_SLOTS = 258

Key = tuple[float, ...]


class OrderPolicy:
    """Serves the queue in the order of a key, which is fixed on arrival."""

    def __init__(
        self,
        scenario: overload_loads.Scenario,
        find_key: abc.Callable[[overload_loads.Job], Key],
    ) -> None:
        """Start with idle upstreams and an empty queue."""
        self._find_key = find_key
        self._slots = scenario.slots
        self._used = [0 for _ in range(scenario.upstreams)]
        self._out: frozenset[int] = frozenset()
        self._queue: list[tuple[Key, int, overload_loads.Job]] = []
        self._budget = create_budget()

    def submit(
        self, job: overload_loads.Job, now: float
    ) -> list[replays.Decision]:
        """Queue a request, or refuse it."""
        if job.attempts:
            if not self._budget.spend(_SERVICE, now):
                return [self._refuse(job, now)]
        else:
            self._budget.add_request(_SERVICE, now)
        entry = (self._find_key(job), job.number, job)
        ahead = bisect.bisect_left(self._queue, entry[:2])
        wait = self._estimate(ahead) if self._queue else 0.0
        if now + wait + job.kind.work > job.deadline:
            return [self._refuse(job, now)]
        self._queue.insert(ahead, entry)
        return self._serve(now)

    def settle(
        self, job: overload_loads.Job, upstream: int, is_shed: bool, now: float
    ) -> list[replays.Decision]:
        """Free a slot."""
        self._used[upstream] -= 1
        return self._serve(now)

    def tick(self, now: float) -> list[replays.Decision]:
        """Refuse what can't end in time any more."""
        late = [
            job
            for _, _, job in self._queue
            if now + job.kind.work > job.deadline
        ]
        self._queue = [
            entry
            for entry in self._queue
            if now + entry[2].kind.work <= entry[2].deadline
        ]
        return [self._refuse(job, now) for job in late]

    def replace_out(self, out: frozenset[int], now: float) -> None:
        """Replace the set of upstreams that are out of service."""
        self._out = out

    def _serve(self, now: float) -> list[replays.Decision]:
        decisions = []
        while self._queue:
            _, _, job = self._queue[0]
            free = [
                upstream
                for upstream, used in enumerate(self._used)
                if used < self._slots
                and upstream not in self._out
                and upstream not in job.excluded
            ]
            if not free:
                break
            upstream = min(free, key=self._used.__getitem__)
            self._queue.pop(0)
            self._used[upstream] += 1
            decisions.append(replays.Decision(job, upstream))
        return decisions

    def _estimate(self, ahead: int) -> float:
        works = [entry[2].kind.work for entry in self._queue[: ahead + 1]]
        upstreams = len(self._used) - len(self._out)
        return sum(works) / (upstreams * self._slots)

    def _refuse(self, job: overload_loads.Job, now: float) -> replays.Decision:
        wait = self._estimate(len(self._queue))
        bounded = min(max(wait, _MIN_RETRY_SECONDS), _MAX_RETRY_SECONDS)
        return replays.Decision(job, None, bounded)


def rank_strictly(job: overload_loads.Job) -> Key:
    """Return the key of strict rank, in the order of arrival within a rank."""
    return (job.kind.rank, job.asked_at)


def rank_with_head_start(job: overload_loads.Job) -> Key:
    """Return the key of a head start of one second for each rank.

    Requests with little time left go first. It is the order of the allocator
    before it had a queue for each service.
    """
    can_wait = job.deadline - job.asked_at > 3 * job.kind.work
    return (can_wait, job.asked_at + job.kind.rank)


def rank_by_deadline(job: overload_loads.Job) -> Key:
    """Return the key of the earliest deadline."""
    return (job.deadline,)


def rank_by_density(job: overload_loads.Job) -> Key:
    """Return the key of value over expected work (the c-mu rule)."""
    return (-job.kind.weight / job.kind.work, job.asked_at)


def create_fair_key() -> abc.Callable[[overload_loads.Job], Key]:
    """Return the key of start-time fair queueing among workspaces.

    Its virtual time is the time: a workspace that is idle gets no credit.
    """
    ends: dict[int, float] = {}
    workspaces: set[int] = set()

    def find_key(job: overload_loads.Job) -> Key:
        workspaces.add(job.workspace)
        start = max(job.asked_at, ends.get(job.workspace, 0.0))
        share = job.kind.work * len(workspaces) / _FAIR_SLOTS
        ends[job.workspace] = start + share
        return (start,)

    return find_key


def create_budget() -> budgets.SharedRetryBudget:
    """Return the retry budget of one service, with an empty window."""
    return budgets.SharedRetryBudget(
        _BUDGET_RATIO, _BUDGET_SLACK, _BUDGET_WINDOW_SECONDS, lambda: 1
    )
