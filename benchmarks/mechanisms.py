"""Mechanisms for comparison: independent choice, leased shares, ideal."""

import collections

from benchmarks import replays, workloads
from wagtailspread.core import priorities

#: Maximum number of attempts per request with independent choice.
_MAX_ATTEMPTS = 3
#: Time between two redistributions of the slots to the hosts, in seconds.
_REBALANCE_SECONDS = 1.0
#: Limit of the credit of a priority in the ideal, in slot-seconds per slot.
_MAX_CREDIT_SECONDS = 0.1
#: Longest wait in seconds that the ideal accepts, at the rate at which the
#: priority's share of the slots serves its queue; it refuses requests beyond.
#: The remaining time until the deadline is longer than any service time.
_MAX_WAIT_SECONDS = 0.5

_Queue = collections.deque[workloads.Job]


class _Queues:
    """Waiting requests by priority."""

    def __init__(self) -> None:
        self.queues: list[_Queue] = [
            collections.deque() for _ in priorities.Priority
        ]

    def add(self, job: workloads.Job) -> None:
        self.queues[job.priority].append(job)

    def count(self) -> int:
        return sum(len(queue) for queue in self.queues)

    def pop(self, now: float) -> workloads.Job | None:
        """Remove and return the first request of the most urgent priority.

        Requests past their deadline are dropped.
        """
        for queue in self.queues:
            while queue:
                job = queue.popleft()
                if job.deadline > now:
                    return job
        return None


class IndependentChoice:
    """Each host decides alone, within an equal share of each upstream.

    The share is at least one slot. Requests beyond the slots of an upstream
    wait at the upstream. A host makes up to three attempts for a request.
    """

    def __init__(self, replay: replays.Replay) -> None:
        """Start with idle hosts."""
        site = replay.site
        self._replay = replay
        self._limit = max(1, site.slots // site.hosts)
        self._queues = [_Queues() for _ in range(site.hosts)]
        self._used_slots = [
            [0 for _ in range(site.upstreams)] for _ in range(site.hosts)
        ]

    def start(self) -> None:
        """Do nothing: only arrivals and answers cause decisions."""

    def accept(self, job: workloads.Job) -> None:
        """Queue the request at its host."""
        self._queues[job.host].add(job)
        self._serve(job.host)

    def _serve(self, host: int) -> None:
        used_slots = self._used_slots[host]
        while min(used_slots) < self._limit:
            job = self._queues[host].pop(self._replay.scheduler.now)
            if job is None:
                return
            self._send(job)

    def _send(self, job: workloads.Job) -> None:
        used_slots = self._used_slots[job.host]
        upstream = min(
            self._replay.upstreams,
            key=lambda candidate: (
                used_slots[candidate.number],
                candidate.domain != job.domain,
                self._replay.random.random(),
            ),
        )
        used_slots[upstream.number] += 1

        def finish(is_success: bool) -> None:
            used_slots[upstream.number] -= 1
            if not is_success and job.attempts < _MAX_ATTEMPTS:
                self._queues[job.host].add(job)
            self._serve(job.host)

        self._replay.exchange(job, upstream, finish)


class LeasedShares:
    """Each host leases some of the slots, redistributed every second."""

    def __init__(self, replay: replays.Replay) -> None:
        """Start with all slots free."""
        site = replay.site
        self._replay = replay
        self._queues = [_Queues() for _ in range(site.hosts)]
        self._arrived = [0 for _ in range(site.hosts)]
        self._free_slots = [
            upstream for upstream in replay.upstreams for _ in range(site.slots)
        ]
        self._idle_slots: list[list[replays.Upstream]] = [
            [] for _ in range(site.hosts)
        ]
        self._quotas = [0 for _ in range(site.hosts)]
        self._used_slots = [0 for _ in range(site.hosts)]

    def start(self) -> None:
        """Distribute the slots now and then every second."""
        self._rebalance()

    def accept(self, job: workloads.Job) -> None:
        """Queue the request at its host."""
        self._arrived[job.host] += 1
        self._queues[job.host].add(job)
        self._serve(job.host)

    def _rebalance(self) -> None:
        """Distribute the slots by the demand of the last second.

        A slot in use moves to another host when its request has finished.
        """
        demand = [
            arrived + self._queues[host].count() + 0.1
            for host, arrived in enumerate(self._arrived)
        ]
        self._set_quotas(demand)
        self._arrived = [0 for _ in range(self._replay.site.hosts)]
        for host, idle_slots in enumerate(self._idle_slots):
            while (
                idle_slots
                and len(idle_slots) + self._used_slots[host]
                > self._quotas[host]
            ):
                self._free_slots.append(idle_slots.pop())
        self._assign_free_slots()
        self._replay.scheduler.schedule(_REBALANCE_SECONDS, self._rebalance)

    def _set_quotas(self, demand: list[float]) -> None:
        capacity = self._replay.site.capacity
        total = sum(demand)
        exact = [capacity * host_demand / total for host_demand in demand]
        self._quotas = [int(share) for share in exact]
        order = sorted(
            range(len(exact)),
            key=lambda host: self._quotas[host] - exact[host],
        )
        for host in order[: capacity - sum(self._quotas)]:
            self._quotas[host] += 1

    def _assign_free_slots(self) -> None:
        for host, idle_slots in enumerate(self._idle_slots):
            while self._free_slots and (
                len(idle_slots) + self._used_slots[host] < self._quotas[host]
            ):
                idle_slots.append(self._free_slots.pop())
            self._serve(host)

    def _serve(self, host: int) -> None:
        while self._idle_slots[host]:
            job = self._queues[host].pop(self._replay.scheduler.now)
            if job is None:
                return
            self._send(job, self._idle_slots[host].pop())

    def _send(self, job: workloads.Job, upstream: replays.Upstream) -> None:
        self._used_slots[job.host] += 1

        def finish(is_success: bool) -> None:
            self._used_slots[job.host] -= 1
            idle_slots = self._idle_slots[job.host]
            if (
                len(idle_slots) + self._used_slots[job.host]
                < self._quotas[job.host]
            ):
                idle_slots.append(upstream)
                self._serve(job.host)
            else:
                self._free_slots.append(upstream)
                self._assign_free_slots()

        self._replay.exchange(job, upstream, finish)


class Ideal:
    """Schedules all slots centrally, without message delays.

    A request starts as soon as a slot is free. A priority with waiting requests
    earns credit for its share of the slots, and each request that starts spends
    its service time. Requests are refused by their expected wait, never by
    their service time: preferring short requests would serve more requests with
    the same slots, but no scheduler can know service times in advance.
    """

    def __init__(self, replay: replays.Replay) -> None:
        """Start with all slots free."""
        self._replay = replay
        self._free_slots = replay.site.capacity
        self._queues = _Queues().queues
        self._credits = [0.0 for _ in priorities.Priority]
        self._updated = 0.0

    def start(self) -> None:
        """Do nothing: only arrivals and answers cause decisions."""

    def accept(self, job: workloads.Job) -> None:
        """Queue the request."""
        self._accrue_credits()
        site = self._replay.site
        queue = self._queues[job.priority]
        guaranteed_slots = site.shares[job.priority] * site.capacity
        limit = guaranteed_slots * _MAX_WAIT_SECONDS / site.service_seconds
        if len(queue) < limit:
            queue.append(job)
        self._serve()

    def _accrue_credits(self) -> None:
        now = self._replay.scheduler.now
        site = self._replay.site
        for priority, share in enumerate(site.shares):
            earned = share * site.capacity * (now - self._updated)
            bound = _MAX_CREDIT_SECONDS * share * site.capacity
            credit = self._credits[priority] + earned
            if not self._queues[priority]:
                credit = min(credit, 0.0)
            self._credits[priority] = min(credit, bound)
        self._updated = now

    def _serve(self) -> None:
        while self._free_slots:
            waiting = [
                number for number, queue in enumerate(self._queues) if queue
            ]
            if not waiting:
                return
            chosen = min(
                waiting,
                key=lambda number: (self._credits[number] < 0, number),
            )
            self._start_job(self._queues[chosen].popleft())

    def _start_job(self, job: workloads.Job) -> None:
        self._free_slots -= 1
        job.attempts += 1
        bound = _MAX_CREDIT_SECONDS * self._replay.site.capacity
        credit = self._credits[job.priority] - job.service_seconds
        self._credits[job.priority] = max(credit, -bound)
        self._replay.scheduler.schedule(
            job.service_seconds, self._finish_job, job
        )

    def _finish_job(self, job: workloads.Job) -> None:
        self._accrue_credits()
        self._free_slots += 1
        job.completed_at = self._replay.scheduler.now
        self._serve()
