"""Simulation of the cap of one workspace over a fleet, without a network.

Hosts ask the first allocator of their region that they can reach, as a host of
the gateway does, and decide alone if there is none. Time is simulated and the
random numbers come from a seed.
"""

import bisect
import dataclasses
import heapq
import itertools
import math
import random as random_module
import typing

from wagtailspread.core import identifiers
from wagtailspread.workspaces import (
    caps,
    fleets,
    loans,
    presences,
    quotas,
    shares,
)

#: Time that a host waits for an allocator that it can't reach, in seconds.
TIMEOUT_SECONDS = 0.27
#: Interval between two probes of such an allocator, in seconds.
PROBE_SECONDS = 1.0
#: Interval between two ticks of an allocator, in seconds.
TICK_SECONDS = 0.25
#: Age of what hosts have told the replicas, in seconds.
DECLARE_SECONDS = 3.0
#: Delay of messages that don't arrive, in seconds.
NEVER_SECONDS = 1e6
#: Time before the first request of the workspace, in seconds.
WARM_UP_SECONDS = 12.0
#: Time for which a host that decides alone keeps its state, in seconds.
LONE_IDLE_SECONDS = 10.0
#: Time after which a request asks again that a host has refused alone, in
#: seconds, and how often it does.
HOLD_SECONDS = 0.25
MAX_HOLDS = 4
#: Time for which allocators that restart don't answer, in seconds.
RESTART_SECONDS = 1.5
ALLOCATORS = ('a1', 'a2', 'b1', 'b2')
_REGIONS = ('a', 'b')
_WORKSPACE = identifiers.WorkspaceName('friolink')

_Host = identifiers.HostId
_Reach = typing.Callable[[int, str, float], bool]


def _reach_all(host: int, allocator: str, now: float) -> bool:
    return True


def _is_alive(host: int, now: float) -> bool:
    return True


def _is_never_turned(host: int, now: float) -> bool:
    return False


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Load and failures; times are in seconds since the first request.

    :param demand: requests per second as a multiple of the cap's rate, by time.
    :param region_part: part of the requests that come to the first region.
    :param other_rate: requests per second and host of other workspaces.
    :param reach: tells whether a host reaches an allocator at a time.
    :param is_alive: tells whether a host runs at a time.
    :param loan_delay: of messages between allocators, in seconds.
    :param is_turned: tells whether a host asks the allocators of its region in
        reverse order at a time.
    :param restart_at: when all allocators lose their state and don't answer
        for :data:`RESTART_SECONDS`.
    :param work_seconds: mean time after which a host reports the end of a
        request to the allocator that placed it; 0 for no reports.
    """

    name: str
    demand: typing.Callable[[float], float]
    seconds: float = 30.0
    hosts: int = 99
    region_part: float = 0.5
    other_rate: float = 4.8
    reach: _Reach = _reach_all
    is_alive: typing.Callable[[int, float], bool] = _is_alive
    loan_delay: float = 0.04
    is_turned: typing.Callable[[int, float], bool] = _is_never_turned
    restart_at: float = math.inf
    work_seconds: float = 0.0


@dataclasses.dataclass(slots=True)
class Outcome:
    """Result of a simulation.

    :param admitted: times of the admitted requests.
    :param ideal: number of requests that one counter for all hosts admits.
    :param missed: requests refused below the cap: how far the number of
        admitted requests was at most behind that of the ideal counter.
    :param rows: rows of asks and loans between allocators.
    """

    arrivals: int
    admitted: list[float]
    ideal: int
    missed: int
    rows: int

    def find_highest(self, window: float) -> int:
        """Return the most requests admitted in any window."""
        highest = 0
        for index, end in enumerate(self.admitted):
            first = bisect.bisect_right(self.admitted, end - window)
            highest = max(highest, index - first + 1)
        return highest


class _Ask(typing.NamedTuple):
    """Message of a host to an allocator; ``None`` if it decides alone."""

    at: float
    number: int
    host: int
    allocator: str | None
    kind: str
    presence: presences.Presence | None
    held: int = 0


class _Allocator:
    def __init__(
        self,
        limits: caps.Limits,
        count_hosts: typing.Callable[[], int],
        draw: typing.Callable[[], float],
    ) -> None:
        self.contacts: dict[_Host, float] = {}
        self.declared = 0
        self.shares = shares.create_shares(
            self.contacts, count_hosts, lambda: self.declared
        )
        self.quotas = quotas.create_quotas(
            limits, caps.AllowancePart.REPLICA, self.shares, draw
        )


class _LoneHost:
    def __init__(
        self,
        limits: caps.Limits,
        fleet: fleets.FleetSize,
        draw: typing.Callable[[], float],
    ) -> None:
        self.presences = presences.create_log()
        self.share = shares.create_lone_share(fleet.estimate, self.presences)
        self.quotas = quotas.create_quotas(
            limits, caps.AllowancePart.HOST, self.share, draw
        )
        self.used_at = -LONE_IDLE_SECONDS

    def admit(self, cap: caps.Cap, now: float) -> float:
        if now - self.used_at >= LONE_IDLE_SECONDS:
            self.quotas.clear()
            self.share.start(now)
        self.used_at = now
        self.presences.record_answer(presences.ALONE, now)
        return self.quotas.admit(_WORKSPACE, cap, now)


class Fleet:
    """Hosts and allocators. Use :func:`simulate`."""

    def __init__(
        self,
        scenario: Scenario,
        cap: caps.Cap,
        limits: caps.Limits,
        random: random_module.Random,
    ) -> None:
        """Create a fleet whose size is known."""
        self._scenario = scenario
        self._cap = cap
        self._random = random
        self._fleet = fleets.create_size()
        self._fleet.raise_to(scenario.hosts, 0.0)
        self._limits = limits
        self._allocators = self._create_allocators()
        self._restart_at = scenario.restart_at
        self._lone = [
            _LoneHost(limits, self._fleet, random.random)
            for _ in range(scenario.hosts)
        ]
        self._failed: dict[tuple[int, str], float] = {}
        self._messages: list[tuple[float, int, str, str, typing.Any]] = []
        self._delayed: list[_Ask] = []
        self._numbers = itertools.count()
        self.admitted: list[float] = []
        #: The same without the time for which hosts have held the requests.
        self.due: list[float] = []
        self.arrived: list[float] = []
        self.rows = 0

    def run(self) -> None:
        """Run the scenario."""
        start = -WARM_UP_SECONDS
        others = _draw_times(
            self._random,
            lambda _now: self._scenario.other_rate * self._scenario.hosts,
            start,
            self._scenario.seconds,
        )
        own = _draw_times(
            self._random,
            lambda now: self._cap.rate * self._scenario.demand(now),
            0.0,
            self._scenario.seconds,
        )
        count = int((self._scenario.seconds - start) / TICK_SECONDS)
        ticks = ((start + TICK_SECONDS * step, 'tick') for step in range(count))
        events = heapq.merge(
            ticks,
            ((now, 'other') for now in others),
            ((now, 'own') for now in own),
        )
        for now, kind in events:
            self._deliver(now)
            if now >= self._restart_at:
                self._restart_at = math.inf
                self._allocators = self._create_allocators()
            if kind == 'tick':
                self._tick(now)
            else:
                self._send(kind, now)
            self._ask(now)

    def _create_allocators(self) -> dict[str, _Allocator]:
        return {
            name: _Allocator(
                self._limits, self._fleet.estimate, self._random.random
            )
            for name in ALLOCATORS
        }

    def _send(self, kind: str, now: float) -> None:
        host = self._choose_host(kind, now)
        if host is None:
            return
        if kind == 'own':
            self.arrived.append(now)
        name, asked_at = self._find_allocator(host, now)
        self._post_ask(asked_at, host, name, kind)
        if self._scenario.work_seconds and name is not None:
            work = self._random.expovariate(1 / self._scenario.work_seconds)
            self._post_ask(asked_at + work, host, name, 'end')

    def _post_ask(
        self,
        asked_at: float,
        host: int,
        name: str | None,
        kind: str,
        held: int = 0,
    ) -> None:
        """Send a request or the report of its end, with what a host states."""
        presence = None
        if name is not None and kind != 'end':
            address = identifiers.Address(name)
            log = self._lone[host].presences
            presence = log.state(address, asked_at)
            log.record_answer(address, asked_at)
        number = next(self._numbers)
        ask = _Ask(asked_at, number, host, name, kind, presence, held)
        heapq.heappush(self._delayed, ask)

    def _ask(self, now: float) -> None:
        """Deliver the requests that have reached their allocators."""
        while self._delayed and self._delayed[0].at <= now:
            ask = heapq.heappop(self._delayed)
            if ask.allocator is not None:
                self._record_contact(self._allocators[ask.allocator], ask)
            if ask.kind == 'own':
                self._decide(ask)

    def _decide(self, ask: _Ask) -> None:
        if not self._admit(ask):
            self.admitted.append(ask.at)
            self.due.append(ask.at - ask.held * HOLD_SECONDS)
        elif ask.allocator is None and ask.held < MAX_HOLDS:
            self._hold(ask)

    def _hold(self, ask: _Ask) -> None:
        """Let a request ask again that a host has refused alone."""
        name, asked_at = self._find_allocator(ask.host, ask.at + HOLD_SECONDS)
        self._post_ask(asked_at, ask.host, name, 'own', ask.held + 1)

    def _record_contact(self, allocator: _Allocator, ask: _Ask) -> None:
        host = _Host(str(ask.host))
        allocator.contacts[host] = ask.at
        if ask.presence is not None:
            allocator.shares.record(host, ask.presence, ask.at)

    def _admit(self, ask: _Ask) -> float:
        """Return 0, or the time until the caller may return."""
        if ask.allocator is None:
            return self._lone[ask.host].admit(self._cap, ask.at)
        allocator = self._allocators[ask.allocator]
        allocator.shares.hear(ask.at)
        return allocator.quotas.admit(_WORKSPACE, self._cap, ask.at)

    def _choose_host(self, kind: str, now: float) -> int | None:
        """Return a live host; even numbers are in the first region.

        Callers of a host that is lost turn to another one.
        """
        part = self._scenario.region_part if kind == 'own' else 0.5
        region = int(self._random.random() >= part)
        in_region = range(region, self._scenario.hosts, 2)
        live = [one for one in in_region if self._scenario.is_alive(one, now)]
        return self._random.choice(live) if live else None

    def _find_allocator(
        self, host: int, now: float
    ) -> tuple[str | None, float]:
        """Return the allocator that answers, and when it is asked."""
        names = _list_allocators(host)
        if self._scenario.is_turned(host, now):
            names.reverse()
        for name in names:
            if self._failed.get((host, name), now) > now:
                continue
            if self._is_reached(host, name, now):
                return name, now
            self._failed[host, name] = now + PROBE_SECONDS
            now += TIMEOUT_SECONDS
        return None, now

    def _is_reached(self, host: int, name: str, now: float) -> bool:
        passed = now - self._scenario.restart_at
        is_down = 0 <= passed < RESTART_SECONDS
        return not is_down and self._scenario.reach(host, name, now)

    def _declare(self, now: float) -> None:
        """Count the hosts that would ask each allocator, with a delay."""
        for allocator in self._allocators.values():
            allocator.declared = 0
        for host in range(self._scenario.hosts):
            seen_at = now - DECLARE_SECONDS
            if not self._scenario.is_alive(host, seen_at):
                continue
            reached = [
                name
                for name in _list_allocators(host)
                if self._scenario.reach(host, name, seen_at)
            ]
            for name in reached[:1]:
                self._allocators[name].declared += 1

    def _tick(self, now: float) -> None:
        self._declare(now)
        for name, allocator in self._allocators.items():
            allocator.shares.observe(now)
            allocator.quotas.prune(now)
            for ask in allocator.quotas.list_asks(now):
                for other in ALLOCATORS:
                    if other != name:
                        self._post(other, name, ask, now)

    def _post(
        self, receiver: str, sender: str, row: typing.Any, now: float
    ) -> None:
        self.rows += 1
        delay = self._scenario.loan_delay * (0.5 + self._random.random())
        message = (now + delay, next(self._numbers), receiver, sender, row)
        heapq.heappush(self._messages, message)

    def _deliver(self, now: float) -> None:
        while self._messages and self._messages[0][0] <= now:
            at, _, receiver, sender, row = heapq.heappop(self._messages)
            known = self._allocators[receiver].quotas
            if isinstance(row, loans.Loan):
                known.book.accept(row, identifiers.Address(sender), at)
                continue
            loan = known.lend(row, identifiers.Address(sender), at)
            if loan is not None:
                self._post(sender, receiver, loan, at)


def _list_allocators(host: int) -> list[str]:
    """Return the allocators of the region of a host, in order."""
    region = _REGIONS[host % 2]
    return [name for name in ALLOCATORS if name.startswith(region)]


def _draw_times(
    random: random_module.Random,
    get_rate: typing.Callable[[float], float],
    start: float,
    end: float,
) -> typing.Iterator[float]:
    """Yield the times of a Poisson process; the rate holds for 0.1 s."""
    steps = int(round((end - start) * 10))
    for step in range(steps):
        slot = start + step / 10
        rate = get_rate(slot)
        now = slot
        while rate > 0:
            now += random.expovariate(rate)
            if now >= slot + 0.1:
                break
            yield now


def simulate(
    scenario: Scenario,
    cap: caps.Cap,
    limits: caps.Limits | None = None,
    seed: int = 1,
) -> Outcome:
    """Return the outcome of a scenario."""
    limits = limits or caps.Limits()
    fleet = Fleet(scenario, cap, limits, random_module.Random(seed))
    fleet.run()
    ideal = admit_ideally(fleet.arrived, cap)
    return Outcome(
        len(fleet.arrived),
        fleet.admitted,
        len(ideal),
        _count_missed(ideal, sorted(fleet.due)),
        fleet.rows,
    )


def admit_ideally(
    arrivals: typing.Iterable[float], cap: caps.Cap
) -> list[float]:
    """Return the requests that one token bucket for all hosts admits."""
    level = max(cap.burst, 1.0)
    updated_at = 0.0
    admitted = []
    for now in arrivals:
        gained = cap.rate * (now - updated_at)
        level = min(max(cap.burst, 1.0), level + gained)
        updated_at = now
        if level >= 1:
            level -= 1
            admitted.append(now)
    return admitted


def _count_missed(ideal: list[float], admitted: list[float]) -> int:
    """Return by how many requests ``admitted`` was behind at most.

    A request may be admitted a timeout later than it arrived.
    """
    behind = max(
        (
            index + 1 - bisect.bisect_right(admitted, now + 2 * TIMEOUT_SECONDS)
            for index, now in enumerate(ideal)
        ),
        default=0,
    )
    return max(behind, 0)
