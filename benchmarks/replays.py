"""Discrete-event simulation of one service under load.

It models only what the allocation decision depends on: arrivals, slots, service
times and message delays. Time is simulated and the random numbers come from a
seed. The mechanisms that share the slots among the hosts are in
:mod:`benchmarks.mechanisms` and :mod:`benchmarks.owners`.
"""

import heapq
import itertools
import random as random_module
import typing

from collections import abc, deque

from benchmarks import workloads

#: Start of the measured interval, in seconds.
WARM_UP_SECONDS = 2.0


class EventScheduler:
    """Runs actions in the order of simulated time."""

    def __init__(self) -> None:
        """Start at 0 s, without events."""
        self.now = 0.0
        self._events: list[
            tuple[float, int, abc.Callable[..., None], tuple[typing.Any, ...]]
        ] = []
        self._sequence = itertools.count()

    def schedule(
        self,
        delay: float,
        action: abc.Callable[..., None],
        *arguments: typing.Any,
    ) -> None:
        """Call an action after ``delay`` seconds."""
        event = (self.now + delay, next(self._sequence), action, arguments)
        heapq.heappush(self._events, event)

    def run(self, until: float) -> None:
        """Run the events up to and including a time in seconds."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)


class Upstream:
    """An upstream that runs one request in each slot.

    Requests beyond its slots wait in order of arrival.
    """

    def __init__(
        self,
        scheduler: EventScheduler,
        site: workloads.Site,
        number: int,
    ) -> None:
        """Start with all slots free."""
        self.number = number
        self.domain = number % 2
        self.busy_slots = 0
        self._scheduler = scheduler
        self._slots = site.slots
        self._waiting: deque[tuple[workloads.Job, abc.Callable[[], None]]] = (
            deque()
        )

    def receive(
        self,
        job: workloads.Job,
        send_answer: abc.Callable[[], None],
    ) -> None:
        """Run a request, and call ``send_answer`` when it has finished."""
        if self.busy_slots >= self._slots:
            self._waiting.append((job, send_answer))
            return
        self.busy_slots += 1
        self._scheduler.schedule(job.service_seconds, self._finish, send_answer)

    def _finish(self, send_answer: abc.Callable[[], None]) -> None:
        self.busy_slots -= 1
        if self._waiting:
            self.receive(*self._waiting.popleft())
        send_answer()


class Mechanism(typing.Protocol):
    """Mechanism that shares the slots among the hosts."""

    def start(self) -> None:
        """Start at 0 s."""

    def accept(self, job: workloads.Job) -> None:
        """Accept a request that has reached its host."""


class Replay:
    """Simulation of one site under one load with one mechanism."""

    def __init__(
        self,
        site: workloads.Site,
        load: workloads.Load,
        seed: int,
    ) -> None:
        """Start with idle upstreams."""
        self.site = site
        self.load = load
        self.scheduler = EventScheduler()
        self.random = random_module.Random(seed)
        self.upstreams = [
            Upstream(self.scheduler, site, number)
            for number in range(site.upstreams)
        ]

    def exchange(
        self,
        job: workloads.Job,
        upstream: Upstream,
        finish: abc.Callable[[bool], None],
    ) -> None:
        """Send a request from its host to an upstream.

        :param finish: called when the answer reaches the host, with whether
            the answer is a success.
        """
        delay = self.site.find_delay(job.domain, upstream.domain)
        job.attempts += 1

        def send_answer() -> None:
            self.scheduler.schedule(delay, self._deliver_answer, job, finish)

        self.scheduler.schedule(delay, upstream.receive, job, send_answer)

    def run(
        self,
        mechanism: Mechanism,
        jobs: abc.Sequence[workloads.Job],
        seconds: float,
    ) -> None:
        """Replay the arrivals, and continue until the last deadline.

        :param seconds: time until which requests arrive.
        """
        mechanism.start()
        for job in jobs:
            self.scheduler.schedule(job.arrival, mechanism.accept, job)
        self.scheduler.run(seconds + workloads.DEADLINE_SECONDS)

    def _deliver_answer(
        self,
        job: workloads.Job,
        finish: abc.Callable[[bool], None],
    ) -> None:
        is_success = self.random.random() >= self.load.error_share
        if is_success:
            job.completed_at = self.scheduler.now
        finish(is_success)
