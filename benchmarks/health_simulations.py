"""Simulation of a service with faults, for measures of the health checks.

Requests arrive at random hosts, and each runs at an upstream with a free slot,
in the failure domain of the host if possible. Service times have a heavy tail.
One simulation has one judge and one fault; both judges of a comparison get the
same seed.
"""

import dataclasses
import enum
import heapq
import itertools
import math
import random as random_module

from benchmarks import health_judges
from wagtailspread.core import identifiers, outcomes

#: Median service time, in seconds.
MEDIAN_SECONDS = 0.04
#: Standard deviation of the logarithm of the service time.
SERVICE_SIGMA = 0.7
#: Share of requests in the tail of the service times.
TAIL_SHARE = 0.01
#: Factor on the service time of such a request.
TAIL_FACTOR = 10.0
#: Time after which a request without an answer times out, in seconds.
DEADLINE_SECONDS = 2.0
#: Share of requests that fail at healthy upstreams.
NOISE_ERROR_SHARE = 0.005
#: Share of the capacity that is offered as load.
LOAD_SHARE = 0.6
#: Time between two ticks of the judge, in seconds.
TICK_INTERVAL_SECONDS = 0.1
#: Mean time between two stalls of one upstream, in seconds. Stalls are noise
#: that occurs with and without a fault.
STALL_INTERVAL_SECONDS = 60.0
#: Length of such a stall, in seconds.
STALL_SECONDS = 0.3
#: Share of requests that fail at an upstream with some errors.
SOME_ERRORS_SHARE = 0.3
#: Period of a flapping upstream and its failing time per period, in seconds.
FLAP_PERIOD_SECONDS = 5.0
FLAP_FAILING_SECONDS = 2.0
#: Time until a connection attempt fails, in seconds.
CONNECT_FAILURE_SECONDS = 0.001
#: Number of the upstream that has the fault.
FAULTY_UPSTREAM = 3

Result = outcomes.ExchangeResult


class FaultKind(enum.Enum):
    """Fault of one upstream, or of all upstreams."""

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
_PARTIAL_ERROR_FAULTS = frozenset(
    (FaultKind.SOME_ERRORS, FaultKind.ALL_SOME_ERRORS)
)
_CONSTANT_ERROR_FAULTS = frozenset((FaultKind.ERRORS, FaultKind.ALL_ERRORS))
_SLOW_FAULTS = frozenset((FaultKind.SLOW, FaultKind.ALL_SLOW))


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A fault and the load during it.

    :param fault_start: start of the fault in seconds.
    :param seconds: length of the simulation in seconds.
    :param rate: requests per second; 0 for the usual share of the capacity.
    :param tick_interval: time in seconds between two ticks of the judge.
    """

    site: health_judges.Site
    fault: FaultKind
    seed: int
    fault_start: float = 20.0
    seconds: float = 40.0
    rate: float = 0.0
    tick_interval: float = TICK_INTERVAL_SECONDS


@dataclasses.dataclass(slots=True)
class SimulationResult:
    """Results of a simulation.

    :param detection_seconds: time in seconds from the start of the fault until
        at most a tenth of the hosts in the failure domain of the faulty
        upstream may send ordinary requests to it; infinity if that never
        happens.
    :param false_ejections: number of ejections that the fault does not justify.
        The naive judge counts the ejections of each host.
    :param ejections: number of all ejections.
    :param requests: number of requests that were sent.
    :param failed_requests: number of requests that failed after the start of
        the fault.
    """

    detection_seconds: float = math.inf
    false_ejections: int = 0
    ejections: int = 0
    requests: int = 0
    failed_requests: int = 0


class Simulation:
    """Simulation of one service with one judge."""

    def __init__(
        self, scenario: Scenario, judge: health_judges.SimulatedJudge
    ) -> None:
        """Start at 0 s without requests."""
        self._scenario = scenario
        self._judge = judge
        self._random = random_module.Random(scenario.seed)
        self._running: dict[int, health_judges.Exchange] = {}
        self._completions: list[tuple[float, int, outcomes.ExchangeResult]] = []
        self._request_numbers = itertools.count()
        self._upstreams = [
            health_judges.name_upstream(number)
            for number in range(scenario.site.upstreams)
        ]
        self._faulty = health_judges.name_upstream(FAULTY_UPSTREAM)
        self._in_use = dict.fromkeys(self._upstreams, 0)
        self._stall_ends: dict[identifiers.UpstreamId, float] = {}
        self._next_stall = 0.0
        self.result = SimulationResult()

    def run(self) -> SimulationResult:
        """Run the scenario and return its results."""
        scenario = self._scenario
        rate = scenario.rate or self._compute_rate()
        arrival = 0.0
        tick = 0.0
        while arrival < scenario.seconds:
            arrival += self._random.expovariate(rate)
            while tick <= arrival:
                self._finish_requests(tick)
                self._tick(tick)
                tick += scenario.tick_interval
            self._finish_requests(arrival)
            self._start_request(arrival)
        for upstream in self._upstreams:
            count = self._judge.count_ejections(upstream)
            self.result.ejections += count
            if not self._should_be_ejected(upstream):
                self.result.false_ejections += count
        return self.result

    def _compute_rate(self) -> float:
        site = self._scenario.site
        mean = MEDIAN_SECONDS * math.exp(SERVICE_SIGMA**2 / 2)
        mean *= 1 + TAIL_SHARE * (TAIL_FACTOR - 1)
        return LOAD_SHARE * site.upstreams * site.slots / mean

    def _tick(self, now: float) -> None:
        self._judge.tick(self._running.values(), now)
        if now >= self._next_stall:
            self._next_stall = now + STALL_INTERVAL_SECONDS / len(
                self._upstreams
            )
            stalled = self._random.choice(self._upstreams)
            self._stall_ends[stalled] = now + STALL_SECONDS
        fault_start = self._scenario.fault_start
        if now >= fault_start and math.isinf(self.result.detection_seconds):
            if self._is_detected(now):
                self.result.detection_seconds = now - fault_start

    def _is_detected(self, now: float) -> bool:
        site = self._scenario.site
        faulty_domain = FAULTY_UPSTREAM % site.domains
        hosts = range(faulty_domain, site.hosts, site.domains)
        still_usable = sum(
            self._judge.is_usable(self._faulty, host, now) for host in hosts
        )
        return still_usable <= len(hosts) / 10

    def _start_request(self, now: float) -> None:
        host = self._random.randrange(self._scenario.site.hosts)
        upstream, is_trial = self._choose(host, now)
        if upstream is None:
            return
        self.result.requests += 1
        outcome, seconds = self._draw_outcome(upstream, host, now)
        number = next(self._request_numbers)
        self._in_use[upstream] += 1
        self._running[number] = health_judges.Exchange(
            upstream, host, now, is_trial
        )
        heapq.heappush(self._completions, (now + seconds, number, outcome))

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
            if not self._judge.is_usable(upstream, host, now):
                if self._judge.claim_trial(upstream, now):
                    return upstream, True
                continue
            domains = self._scenario.site.domains
            is_far = int(number % domains != host % domains)
            key = (is_far, in_use, self._random.random())
            if key < best_key:
                best, best_key = upstream, key
        return best, False

    def _draw_outcome(
        self,
        upstream: identifiers.UpstreamId,
        host: int,
        now: float,
    ) -> tuple[outcomes.ExchangeResult, float]:
        seconds = self._random.lognormvariate(
            math.log(MEDIAN_SECONDS), SERVICE_SIGMA
        )
        if self._random.random() < TAIL_SHARE:
            seconds *= TAIL_FACTOR
        seconds += max(self._stall_ends.get(upstream, 0) - now, 0)
        outcome = Result.SUCCESS
        if self._random.random() < NOISE_ERROR_SHARE:
            outcome = Result.ERROR
        if self._is_faulty(upstream, now):
            outcome, seconds = self._apply_fault(outcome, seconds, host, now)
        if seconds >= DEADLINE_SECONDS:
            return Result.TIMEOUT, DEADLINE_SECONDS
        return outcome, seconds

    def _should_be_ejected(self, upstream: identifiers.UpstreamId) -> bool:
        fault = self._scenario.fault
        if fault in _COMMON_FAULTS or fault is FaultKind.NONE:
            return False
        return fault is not FaultKind.PATH and upstream == self._faulty

    def _is_faulty(self, upstream: identifiers.UpstreamId, now: float) -> bool:
        fault = self._scenario.fault
        if fault is FaultKind.NONE or now < self._scenario.fault_start:
            return False
        return fault in _COMMON_FAULTS or upstream == self._faulty

    def _apply_fault(
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
            return Result.CONNECT_FAILED, CONNECT_FAILURE_SECONDS
        if self._has_error(now):
            return Result.ERROR, seconds / 4
        return outcome, seconds

    def _has_error(self, now: float) -> bool:
        fault = self._scenario.fault
        if fault in _PARTIAL_ERROR_FAULTS:
            return self._random.random() < SOME_ERRORS_SHARE
        if fault is FaultKind.FLAPPING:
            elapsed = now - self._scenario.fault_start
            return elapsed % FLAP_PERIOD_SECONDS < FLAP_FAILING_SECONDS
        return fault in _CONSTANT_ERROR_FAULTS

    def _finish_requests(self, until: float) -> None:
        while self._completions and self._completions[0][0] <= until:
            now, number, outcome = heapq.heappop(self._completions)
            exchange = self._running.pop(number)
            self._in_use[exchange.upstream] -= 1
            is_failure = outcome is not Result.SUCCESS
            if is_failure and now >= self._scenario.fault_start:
                self.result.failed_requests += 1
            self._judge.record(exchange, outcome, now)
