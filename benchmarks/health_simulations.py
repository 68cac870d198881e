"""A service with faults on simulated time, for measures of health.

Requests arrive at random hosts; an upstream with a free slot runs each one, in
the host's own failure domain if possible. Times of service have a heavy tail.
One simulation is given a judge and one fault; both judges of a comparison see
the same seed.
"""

import dataclasses
import enum
import heapq
import itertools
import math
import random as random_module

from benchmarks import health_choosers
from wagtailspread.core import identifiers, outcomes

#: Median time of service, in seconds.
MEDIAN_SECONDS = 0.04
#: Deviation of the logarithm of the time of service.
SPREAD = 0.7
#: Share of requests that take ten times longer.
TAIL_SHARE = 0.01
#: Factor on the time of such a request.
TAIL_FACTOR = 10.0
#: Time after which a request without an answer is a timeout, in seconds.
DEADLINE_SECONDS = 2.0
#: Share of failing requests at healthy upstreams.
NOISE_SHARE = 0.005
#: Share of the capacity that is offered as load.
LOAD_SHARE = 0.6
#: Time between two ticks of the judge, in seconds.
TICK_SECONDS = 0.1
#: Time between stalls of a healthy upstream under noise, in seconds.
STALL_EVERY = 60.0
#: Length of such a stall, in seconds.
STALL_SECONDS = 0.3
#: Share of failing requests at an upstream that fails in part.
SOME_ERRORS_SHARE = 0.3
#: Period of a flapping upstream, and how long it fails in each, in seconds.
FLAP_SECONDS = 5.0
FLAP_BAD_SECONDS = 2.0
#: Time until a connection is refused, in seconds.
CONNECT_SECONDS = 0.001
#: Number of the upstream that has the fault.
FAULTY_NUMBER = 3

Result = outcomes.ExchangeResult


class FaultKind(enum.Enum):
    """What goes wrong with an upstream."""

    NONE = 'none'
    ERRORS = 'errors'
    SOME_ERRORS = 'some-errors'
    SLOW = 'slow'
    HANG = 'hang'
    TRUNCATED = 'truncated'
    FLAPPING = 'flapping'
    PATH = 'path'
    ALL_SLOW = 'all-slow'
    ALL_ERRORS = 'all-errors'
    ALL_SOME_ERRORS = 'all-some-errors'


_COMMON_FAULTS = frozenset(
    (
        FaultKind.ALL_SLOW,
        FaultKind.ALL_ERRORS,
        FaultKind.ALL_SOME_ERRORS,
    )
)
_SOME_ERRORS = frozenset((FaultKind.SOME_ERRORS, FaultKind.ALL_SOME_ERRORS))
_ALWAYS_ERRORS = frozenset((FaultKind.ERRORS, FaultKind.ALL_ERRORS))
_SLOW_FAULTS = frozenset((FaultKind.SLOW, FaultKind.ALL_SLOW))


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A fault from a time on.

    :param rate: requests per second; 0 for the usual share of the capacity.
    """

    site: health_choosers.Site
    fault: FaultKind
    seed: int
    begins: float = 20.0
    seconds: float = 40.0
    rate: float = 0.0
    tick_seconds: float = TICK_SECONDS


@dataclasses.dataclass(slots=True)
class Measured:
    """What a run showed.

    :param detected: seconds from the fault until ordinary work no longer
        reaches the faulty upstream, or infinity.
    :param false_ejections: ejections of upstreams without a fault; of the
        naive version, by any host.
    :param bad: failed requests after the fault began.
    """

    detected: float = math.inf
    false_ejections: int = 0
    ejections: int = 0
    requests: int = 0
    bad: int = 0


class Simulation:
    """One service over simulated time."""

    def __init__(
        self, scenario: Scenario, chooser: health_choosers.Chooser
    ) -> None:
        """Start idle at time 0."""
        self._scenario = scenario
        self._chooser = chooser
        self._random = random_module.Random(scenario.seed)
        self._running: dict[int, health_choosers.Exchange] = {}
        self._ends: list[tuple[float, int, outcomes.ExchangeResult]] = []
        self._numbers = itertools.count()
        self._upstreams = [
            health_choosers.name_upstream(number)
            for number in range(scenario.site.upstreams)
        ]
        self._faulty = health_choosers.name_upstream(FAULTY_NUMBER)
        self._in_use = dict.fromkeys(self._upstreams, 0)
        self._stalls: dict[identifiers.UpstreamId, float] = {}
        self._next_stall = 0.0
        self.measured = Measured()

    def run(self) -> Measured:
        """Run the scenario and return what it showed."""
        scenario = self._scenario
        rate = scenario.rate or self._find_rate()
        arrival = 0.0
        tick = 0.0
        while arrival < scenario.seconds:
            arrival += self._random.expovariate(rate)
            while tick <= arrival:
                self._finish(tick)
                self._tick(tick)
                tick += scenario.tick_seconds
            self._finish(arrival)
            self._arrive(arrival)
        for upstream in self._upstreams:
            count = self._chooser.count_ejections(upstream)
            self.measured.ejections += count
            if not self._is_culprit(upstream):
                self.measured.false_ejections += count
        return self.measured

    def _find_rate(self) -> float:
        site = self._scenario.site
        mean = MEDIAN_SECONDS * math.exp(SPREAD**2 / 2)
        mean *= 1 + TAIL_SHARE * (TAIL_FACTOR - 1)
        return LOAD_SHARE * site.upstreams * site.slots / mean

    def _tick(self, now: float) -> None:
        self._chooser.tick(self._running.values(), now)
        if now >= self._next_stall:
            self._next_stall = now + STALL_EVERY / len(self._upstreams)
            victim = self._random.choice(self._upstreams)
            self._stalls[victim] = now + STALL_SECONDS
        begins = self._scenario.begins
        if now >= begins and math.isinf(self.measured.detected):
            if self._is_avoided(now):
                self.measured.detected = now - begins

    def _is_avoided(self, now: float) -> bool:
        site = self._scenario.site
        own_domain = FAULTY_NUMBER % site.domains
        hosts = range(own_domain, site.hosts, site.domains)
        using = sum(
            self._chooser.is_usable(self._faulty, host, now) for host in hosts
        )
        return using <= len(hosts) / 10

    def _arrive(self, now: float) -> None:
        host = self._random.randrange(self._scenario.site.hosts)
        upstream, is_trial = self._choose(host, now)
        if upstream is None:
            return
        self.measured.requests += 1
        outcome, seconds = self._draw(upstream, host, now)
        number = next(self._numbers)
        self._in_use[upstream] += 1
        self._running[number] = health_choosers.Exchange(
            upstream, host, now, is_trial
        )
        heapq.heappush(self._ends, (now + seconds, number, outcome))

    def _choose(
        self, host: int, now: float
    ) -> tuple[identifiers.UpstreamId | None, bool]:
        slots = self._scenario.site.slots
        best = None
        best_key = (2, 0, 0.0)
        for number, upstream in enumerate(self._upstreams):
            in_use = self._in_use[upstream]
            if in_use >= slots:
                continue
            if not self._chooser.is_usable(upstream, host, now):
                if self._chooser.claim_trial(upstream, now):
                    return upstream, True
                continue
            domains = self._scenario.site.domains
            is_far = int(number % domains != host % domains)
            key = (is_far, in_use, self._random.random())
            if key < best_key:
                best, best_key = upstream, key
        return best, False

    def _draw(
        self,
        upstream: identifiers.UpstreamId,
        host: int,
        now: float,
    ) -> tuple[outcomes.ExchangeResult, float]:
        seconds = self._random.lognormvariate(math.log(MEDIAN_SECONDS), SPREAD)
        if self._random.random() < TAIL_SHARE:
            seconds *= TAIL_FACTOR
        seconds += max(self._stalls.get(upstream, 0) - now, 0)
        outcome = Result.SUCCESS
        if self._random.random() < NOISE_SHARE:
            outcome = Result.ERROR
        if self._is_faulty(upstream, now):
            outcome, seconds = self._spoil(outcome, seconds, host, now)
        if seconds >= DEADLINE_SECONDS:
            return Result.TIMEOUT, DEADLINE_SECONDS
        return outcome, seconds

    def _is_culprit(self, upstream: identifiers.UpstreamId) -> bool:
        fault = self._scenario.fault
        if fault in _COMMON_FAULTS or fault is FaultKind.NONE:
            return False
        return fault is not FaultKind.PATH and upstream == self._faulty

    def _is_faulty(self, upstream: identifiers.UpstreamId, now: float) -> bool:
        fault = self._scenario.fault
        if fault is FaultKind.NONE or now < self._scenario.begins:
            return False
        return fault in _COMMON_FAULTS or upstream == self._faulty

    def _spoil(
        self,
        outcome: outcomes.ExchangeResult,
        seconds: float,
        host: int,
        now: float,
    ) -> tuple[outcomes.ExchangeResult, float]:
        fault = self._scenario.fault
        if fault in _SLOW_FAULTS:
            return outcome, 5 * seconds
        if fault is FaultKind.HANG:
            return Result.TIMEOUT, DEADLINE_SECONDS
        if fault is FaultKind.TRUNCATED:
            return Result.TRUNCATED, seconds
        if fault is FaultKind.PATH and host % self._scenario.site.domains:
            return Result.CONNECT_FAILED, CONNECT_SECONDS
        if self._has_error(now):
            return Result.ERROR, seconds / 4
        return outcome, seconds

    def _has_error(self, now: float) -> bool:
        fault = self._scenario.fault
        if fault in _SOME_ERRORS:
            return self._random.random() < SOME_ERRORS_SHARE
        if fault is FaultKind.FLAPPING:
            passed = now - self._scenario.begins
            return passed % FLAP_SECONDS < FLAP_BAD_SECONDS
        return fault in _ALWAYS_ERRORS

    def _finish(self, until: float) -> None:
        while self._ends and self._ends[0][0] <= until:
            now, number, outcome = heapq.heappop(self._ends)
            exchange = self._running.pop(number)
            self._in_use[exchange.upstream] -= 1
            is_bad = outcome is not Result.SUCCESS
            if is_bad and now >= self._scenario.begins:
                self.measured.bad += 1
            self._chooser.record(exchange, outcome, now)
