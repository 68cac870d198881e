"""Replay of arrivals, slots, service times and message delays.

Only what the allocation decision depends on is replayed, on simulated time and
from a seed. Mechanisms that share the slots are in :mod:`benchmarks.mechanisms`
and :mod:`benchmarks.owners`.
"""

import heapq
import itertools
import random as random_module
import typing

from collections import abc, deque

from benchmarks import workloads

#: Results before this time are left out of the figures, in seconds.
WARM_UP_SECONDS = 2.0


class Agenda:
    """Events in the order of simulated time."""

    def __init__(self) -> None:
        """Start at 0 s."""
        self.now = 0.0
        self._events: list[
            tuple[float, int, abc.Callable[..., None], tuple[typing.Any, ...]]
        ] = []
        self._sequence = itertools.count()

    def call_later(
        self,
        delay: float,
        action: abc.Callable[..., None],
        *arguments: typing.Any,
    ) -> None:
        """Call an action after ``delay`` seconds."""
        event = (self.now + delay, next(self._sequence), action, arguments)
        heapq.heappush(self._events, event)

    def run(self, until: float) -> None:
        """Run the events up to this time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)


class Upstream:
    """An upstream that runs one request in each slot.

    Requests beyond its slots wait in order of arrival.
    """

    def __init__(
        self,
        agenda: Agenda,
        site: workloads.Site,
        number: int,
    ) -> None:
        """Start idle."""
        self.number = number
        self.domain = number % 2
        self.busy = 0
        self._agenda = agenda
        self._slots = site.slots
        self._waiting: deque[tuple[workloads.Job, abc.Callable[[], None]]] = (
            deque()
        )

    def receive(
        self,
        job: workloads.Job,
        answer: abc.Callable[[], None],
    ) -> None:
        """Run a request, and call ``answer`` when it is finished."""
        if self.busy >= self._slots:
            self._waiting.append((job, answer))
            return
        self.busy += 1
        self._agenda.call_later(job.service, self._finish, answer)

    def _finish(self, answer: abc.Callable[[], None]) -> None:
        self.busy -= 1
        if self._waiting:
            self.receive(*self._waiting.popleft())
        answer()


class Mechanism(typing.Protocol):
    """A way to share the slots among the hosts."""

    def start(self) -> None:
        """Begin at 0 s."""

    def accept(self, job: workloads.Job) -> None:
        """Take a request that has reached its host."""


class Replay:
    """One site under one load with one mechanism."""

    def __init__(
        self,
        site: workloads.Site,
        load: workloads.Load,
        seed: int,
    ) -> None:
        """Start with idle upstreams."""
        self.site = site
        self.load = load
        self.agenda = Agenda()
        self.random = random_module.Random(seed)
        self.upstreams = [
            Upstream(self.agenda, site, number)
            for number in range(site.upstreams)
        ]

    def exchange(
        self,
        job: workloads.Job,
        upstream: Upstream,
        finish: abc.Callable[[bool], None],
    ) -> None:
        """Send a request from its host; call ``finish`` with the answer.

        The argument of ``finish`` tells whether the answer is a success.
        """
        delay = self.site.delay(job.domain, upstream.domain)
        job.attempts += 1

        def answer() -> None:
            self.agenda.call_later(delay, self._conclude, job, finish)

        self.agenda.call_later(delay, upstream.receive, job, answer)

    def run(
        self,
        mechanism: Mechanism,
        jobs: abc.Sequence[workloads.Job],
        seconds: float,
    ) -> None:
        """Replay the arrivals, and one more second for late answers."""
        mechanism.start()
        for job in jobs:
            self.agenda.call_later(job.arrival, mechanism.accept, job)
        self.agenda.run(seconds + workloads.DEADLINE_SECONDS)

    def _conclude(
        self,
        job: workloads.Job,
        finish: abc.Callable[[bool], None],
    ) -> None:
        is_success = self.random.random() >= self.load.error_share
        if is_success:
            job.ended = self.agenda.now
        finish(is_success)
