"""Mechanisms to compare with: independent choice, leased shares, ideal."""

import collections

from benchmarks import replays, workloads
from wagtailspread.core import priorities

#: Attempts of a host that retries on its own.
_NAIVE_ATTEMPTS = 3
#: Time between two divisions of the slots among the hosts, in seconds.
_REBALANCE_SECONDS = 1.0
#: Bound of what the ideal lets a priority save, in slot-seconds per slot.
_SAVED_SECONDS = 0.1
#: Wait of a request with its priority's share of the slots at which the ideal
#: refuses others; the rest of the deadline is longer than any service time.
_IDEAL_WAIT_SECONDS = 0.5

_Queue = collections.deque[workloads.Job]


class _Queues:
    """Waiting requests by priority, without those past their deadline."""

    def __init__(self) -> None:
        self.queues: list[_Queue] = [
            collections.deque() for _ in priorities.Priority
        ]

    def add(self, job: workloads.Job) -> None:
        self.queues[job.priority].append(job)

    def count(self) -> int:
        return sum(len(queue) for queue in self.queues)

    def take(self, now: float) -> workloads.Job | None:
        """Take out the first request of the most urgent priority."""
        for queue in self.queues:
            while queue:
                job = queue.popleft()
                if job.deadline > now:
                    return job
        return None


class IndependentChoice:
    """Each host decides alone, within its own share of each upstream.

    The share is at least one slot. Requests beyond the slots of an upstream
    wait there. A host retries a failed request up to three times.
    """

    def __init__(self, replay: replays.Replay) -> None:
        """Start with idle hosts."""
        site = replay.site
        self._replay = replay
        self._limit = max(1, site.slots // site.hosts)
        self._queues = [_Queues() for _ in range(site.hosts)]
        self._used = [
            [0 for _ in range(site.upstreams)] for _ in range(site.hosts)
        ]

    def start(self) -> None:
        """Begin; there is nothing to do."""

    def accept(self, job: workloads.Job) -> None:
        """Queue the request at its host."""
        self._queues[job.host].add(job)
        self._serve(job.host)

    def _serve(self, host: int) -> None:
        used = self._used[host]
        while min(used) < self._limit:
            job = self._queues[host].take(self._replay.agenda.now)
            if job is None:
                return
            self._send(job)

    def _send(self, job: workloads.Job) -> None:
        used = self._used[job.host]
        upstream = min(
            self._replay.upstreams,
            key=lambda one: (
                used[one.number],
                one.domain != job.domain,
                self._replay.random.random(),
            ),
        )
        used[upstream.number] += 1

        def finish(is_success: bool) -> None:
            used[upstream.number] -= 1
            if not is_success and job.attempts < _NAIVE_ATTEMPTS:
                self._queues[job.host].add(job)
            self._serve(job.host)

        self._replay.exchange(job, upstream, finish)


class LeasedShares:
    """Each host holds some of the slots, divided anew every second."""

    def __init__(self, replay: replays.Replay) -> None:
        """Start with the slots divided evenly."""
        site = replay.site
        self._replay = replay
        self._queues = [_Queues() for _ in range(site.hosts)]
        self._arrived = [0 for _ in range(site.hosts)]
        self._free = [
            upstream for upstream in replay.upstreams for _ in range(site.slots)
        ]
        self._held: list[list[replays.Upstream]] = [
            [] for _ in range(site.hosts)
        ]
        self._quota = [0 for _ in range(site.hosts)]
        self._used = [0 for _ in range(site.hosts)]

    def start(self) -> None:
        """Divide the slots, and again every second."""
        self._rebalance()

    def accept(self, job: workloads.Job) -> None:
        """Queue the request at its host."""
        self._arrived[job.host] += 1
        self._queues[job.host].add(job)
        self._serve(job.host)

    def _rebalance(self) -> None:
        """Divide the slots by the demand of the last second.

        A busy slot moves when its request is finished.
        """
        demand = [
            arrived + self._queues[host].count() + 0.1
            for host, arrived in enumerate(self._arrived)
        ]
        self._divide(demand)
        self._arrived = [0 for _ in range(self._replay.site.hosts)]
        for host, held in enumerate(self._held):
            while held and len(held) + self._used[host] > self._quota[host]:
                self._free.append(held.pop())
        self._hand_out()
        self._replay.agenda.call_later(_REBALANCE_SECONDS, self._rebalance)

    def _divide(self, demand: list[float]) -> None:
        capacity = self._replay.site.capacity
        total = sum(demand)
        exact = [capacity * one / total for one in demand]
        self._quota = [int(one) for one in exact]
        order = sorted(
            range(len(exact)),
            key=lambda host: self._quota[host] - exact[host],
        )
        for host in order[: capacity - sum(self._quota)]:
            self._quota[host] += 1

    def _hand_out(self) -> None:
        for host, held in enumerate(self._held):
            while self._free and (
                len(held) + self._used[host] < self._quota[host]
            ):
                held.append(self._free.pop())
            self._serve(host)

    def _serve(self, host: int) -> None:
        while self._held[host]:
            job = self._queues[host].take(self._replay.agenda.now)
            if job is None:
                return
            self._send(job, self._held[host].pop())

    def _send(self, job: workloads.Job, upstream: replays.Upstream) -> None:
        self._used[job.host] += 1

        def finish(is_success: bool) -> None:
            self._used[job.host] -= 1
            held = self._held[job.host]
            if len(held) + self._used[job.host] < self._quota[job.host]:
                held.append(upstream)
                self._serve(job.host)
            else:
                self._free.append(upstream)
                self._hand_out()

        self._replay.exchange(job, upstream, finish)


class Ideal:
    """Knows all slots at once and answers without delay.

    A request starts at the moment that a slot is free. A priority saves its
    share of the slots while it waits and spends what it uses. Requests are
    refused by the time they would wait, never by their own service time: a
    choice of the short ones would serve more requests with the same slots, and
    no scheduler could know them in advance.
    """

    def __init__(self, replay: replays.Replay) -> None:
        """Start with all slots free."""
        self._replay = replay
        self._free = replay.site.capacity
        self._queues = _Queues().queues
        self._saved = [0.0 for _ in priorities.Priority]
        self._updated = 0.0

    def start(self) -> None:
        """Begin; there is nothing to do."""

    def accept(self, job: workloads.Job) -> None:
        """Queue the request."""
        self._save()
        site = self._replay.site
        queue = self._queues[job.priority]
        own_slots = site.shares[job.priority] * site.capacity
        limit = own_slots * _IDEAL_WAIT_SECONDS / site.service_seconds
        if len(queue) < limit:
            queue.append(job)
        self._serve()

    def _save(self) -> None:
        now = self._replay.agenda.now
        site = self._replay.site
        for priority, share in enumerate(site.shares):
            income = share * site.capacity * (now - self._updated)
            bound = _SAVED_SECONDS * share * site.capacity
            saved = self._saved[priority] + income
            if not self._queues[priority]:
                saved = min(saved, 0.0)
            self._saved[priority] = min(saved, bound)
        self._updated = now

    def _serve(self) -> None:
        while self._free:
            waiting = [
                number for number, queue in enumerate(self._queues) if queue
            ]
            if not waiting:
                return
            chosen = min(
                waiting,
                key=lambda number: (self._saved[number] < 0, number),
            )
            self._begin(self._queues[chosen].popleft())

    def _begin(self, job: workloads.Job) -> None:
        self._free -= 1
        job.attempts += 1
        bound = _SAVED_SECONDS * self._replay.site.capacity
        saved = self._saved[job.priority] - job.service
        self._saved[job.priority] = max(saved, -bound)
        self._replay.agenda.call_later(job.service, self._end, job)

    def _end(self, job: workloads.Job) -> None:
        self._save()
        self._free += 1
        job.ended = self._replay.agenda.now
        self._serve()
