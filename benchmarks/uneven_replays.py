"""Replay of uneven demand with the allocators of two regions, on manual time.

Messages between hosts, allocators and upstreams take the time of their
distance. Bodies and responses between the regions share a link, one direction
after the other in the order of arrival. An upstream sheds what exceeds its
slots, since the other region may use them too.
"""

import dataclasses
import heapq
import itertools
import typing

from collections import abc

from benchmarks import overload_loads, uneven_loads, uneven_products

#: Interval between two checks of the queue, in seconds, as in the product.
TICK_SECONDS = 0.05
#: Times of a message within and between failure domains, in seconds.
NEAR_SECONDS = 0.0002
DOMAIN_SECONDS = 0.0014
REGION_SECONDS = 0.008
LINK_BYTES_PER_SECOND = 30_000_000 / 8
#: Bytes of a head and of a response.
_HEAD_BYTES = 600
_RESPONSE_BYTES = 2048
#: Time after the last arrival until which requests end, in seconds.
_DRAIN_SECONDS = 14.0
#: Number of upstreams that one request may be sent to.
_MAX_SENDS = 3
#: Length of the windows in which directions are counted, in seconds.
DIRECTION_SECONDS = 0.5
#: Shares of a region's requests that cross, from which work counts as moving
#: and below which it counts as staying.
MOVING_SHARE = 0.05
STAYING_SHARE = 0.02


class Send(typing.NamedTuple):
    """A request that was sent to an upstream.

    :param region: number of the region of its host.
    """

    at: float
    region: int
    crosses: bool
    is_shed: bool


@dataclasses.dataclass(slots=True)
class Link:
    """One direction of the link between the regions.

    :param sent: bytes by second.
    """

    free_at: float = 0.0
    sent: dict[int, int] = dataclasses.field(default_factory=dict)

    def send(self, size: int, now: float) -> float:
        """Return when the last of some bytes has left."""
        self.free_at = max(self.free_at, now) + size / LINK_BYTES_PER_SECOND
        second = int(now)
        self.sent[second] = self.sent.get(second, 0) + size
        return self.free_at


class Replay:
    """Hosts, upstreams and the link of one scenario.

    :param desks: one allocator for each region, or one for both.
    """

    def __init__(
        self,
        scenario: uneven_loads.Scenario,
        desks: abc.Sequence[uneven_products.Desk],
    ) -> None:
        """Start with idle upstreams."""
        self.now = 0.0
        self.sends: list[Send] = []
        self.links = (Link(), Link())
        self._scenario = scenario
        self._desks = desks
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._open = [0 for _ in range(scenario.upstreams)]

    def run(self, jobs: list[overload_loads.Job]) -> None:
        """Handle all requests until they have ended."""
        for job in jobs:
            self._add(job.arrival, self._bind(self._ask, job))
        end = uneven_loads.REPLAY_SECONDS + _DRAIN_SECONDS
        for step in range(int(end / TICK_SECONDS)):
            self._add(step * TICK_SECONDS, self._tick)
        lost = self._scenario.list_lost()
        self._add(
            uneven_loads.FAULT_SECONDS, lambda: self._replace_out(lost, 2)
        )
        self._add(self._scenario.end, lambda: self._replace_out(frozenset(), 3))
        while self._events:
            self.now, _, handle = heapq.heappop(self._events)
            handle()

    def _add(self, at: float, handle: abc.Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), handle))

    def _bind(
        self,
        handle: abc.Callable[[overload_loads.Job], None],
        job: overload_loads.Job,
    ) -> abc.Callable[[], None]:
        return lambda: handle(job)

    def _replace_out(self, out: frozenset[int], incarnation: int) -> None:
        for desk in self._desks:
            desk.replace_out(out, incarnation, self.now)

    def _tick(self) -> None:
        for desk in self._desks:
            self._apply(desk.tick(self.now))

    def _find_desk(self, job: overload_loads.Job) -> uneven_products.Desk:
        return self._desks[_find_region(job.domain) % len(self._desks)]

    def _ask(self, job: overload_loads.Job) -> None:
        """Let the host of a request ask its allocator."""
        job.asked_at = self.now
        self._add(
            self.now + _find_allocator_seconds(job),
            lambda: self._apply(self._find_desk(job).submit(job, self.now)),
        )

    def _apply(self, decisions: list[uneven_products.Decision]) -> None:
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
            self._add(back_at, self._bind(self._ask, job))

    def _send(self, job: overload_loads.Job, upstream: int) -> None:
        """Let the host send a request, which holds its slot until it ends."""
        size = _HEAD_BYTES + self._scenario.sizes.get(job.kind.name, 0)
        at = self.now + _find_allocator_seconds(job)
        self._add(
            self._deliver(job, upstream, size, at, is_response=False),
            lambda: self._start(job, upstream),
        )

    def _start(self, job: overload_loads.Job, upstream: int) -> None:
        is_shed = self._open[upstream] >= self._scenario.slots
        region = _find_region(job.domain)
        crosses = region != _find_region(upstream % 4)
        self.sends.append(Send(self.now, region, crosses, is_shed))
        if is_shed:
            self._finish(job, upstream, is_shed=True)
            return
        self._open[upstream] += 1
        self._add(
            self.now + job.work,
            lambda: self._finish(job, upstream, is_shed=False),
        )

    def _finish(
        self, job: overload_loads.Job, upstream: int, *, is_shed: bool
    ) -> None:
        size = _HEAD_BYTES
        if not is_shed:
            self._open[upstream] -= 1
            size = _RESPONSE_BYTES
        self._add(
            self._deliver(job, upstream, size, self.now, is_response=True),
            lambda: self._receive(job, upstream, is_shed=is_shed),
        )

    def _receive(
        self, job: overload_loads.Job, upstream: int, *, is_shed: bool
    ) -> None:
        """Let the host read a response and report it to its allocator."""
        request_id = uneven_products.name_request(job)
        desk = self._find_desk(job)
        self._add(
            self.now + _find_allocator_seconds(job),
            lambda: self._apply(
                desk.settle(
                    request_id, upstream, job.work, self.now, is_shed=is_shed
                )
            ),
        )
        job.attempts += 1
        if not is_shed:
            job.ended_at = self.now
            return
        job.excluded.add(upstream)
        if job.attempts < _MAX_SENDS and self.now < job.deadline:
            self._ask(job)

    def _deliver(
        self,
        job: overload_loads.Job,
        upstream: int,
        size: int,
        at: float,
        *,
        is_response: bool,
    ) -> float:
        """Return when some bytes arrive that are sent at a time."""
        domain = upstream % 4
        region = _find_region(job.domain)
        if region != _find_region(domain):
            source = 1 - region if is_response else region
            return self.links[source].send(size, at) + REGION_SECONDS
        return at + _find_near_seconds(job.domain, domain)


def _find_region(domain: int) -> int:
    return domain // 2


def _find_near_seconds(domain: int, other: int) -> float:
    return NEAR_SECONDS if domain == other else DOMAIN_SECONDS


def _find_allocator_seconds(job: overload_loads.Job) -> float:
    """Return the time of a message to the allocator of the region."""
    allocator_domain = 2 * _find_region(job.domain)
    return _find_near_seconds(job.domain, allocator_domain)


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Results of the requests that came during the disturbance.

    :param in_time: share served within the objective.
    :param served: share served before the deadline.
    :param crossed: share of the sends that went to the other region.
    :param shed: share of the sends that upstreams shed.
    :param link: bytes in the busier direction as a share of the link.
    :param peak: the same in the busiest second.
    :param changes: how often a region began or ceased to move work.
    """

    in_time: float
    served: float
    crossed: float
    shed: float
    link: float
    peak: float
    changes: int

    def format_line(self, scenario: str, policy: str) -> str:
        """Return the line to print."""
        return (
            f'uneven {scenario} policy={policy}'
            f' in-time={self.in_time:.3f} served={self.served:.3f}'
            f' crossed={self.crossed:.3f} shed={self.shed:.3f}'
            f' link={self.link:.3f} peak={self.peak:.3f}'
            f' changes={self.changes}'
        )


def summarize(
    scenario: uneven_loads.Scenario,
    jobs: list[overload_loads.Job],
    replay: Replay,
) -> Summary:
    """Return the results of a replay that has run."""
    counted = [job for job in jobs if scenario.is_disturbed(job.arrival)]
    sends = [one for one in replay.sends if scenario.is_disturbed(one.at)]
    seconds = range(int(uneven_loads.FAULT_SECONDS), int(scenario.end))
    loads = [
        [link.sent.get(second, 0) / LINK_BYTES_PER_SECOND for second in seconds]
        for link in replay.links
    ]
    return Summary(
        in_time=sum(job.ended_at <= job.due for job in counted) / len(counted),
        served=sum(job.value > 0 for job in counted) / len(counted),
        crossed=sum(one.crosses for one in sends) / len(sends),
        shed=sum(one.is_shed for one in sends) / len(sends),
        link=max(sum(one) / len(one) for one in loads),
        peak=max(map(max, loads)),
        changes=sum(count_changes(replay.sends, region) for region in (0, 1)),
    )


def count_changes(sends: list[Send], region: int) -> int:
    """Return how often a region began or ceased to move work."""
    totals: dict[int, int] = {}
    crossing: dict[int, int] = {}
    for one in sends:
        if one.region == region and one.at < uneven_loads.REPLAY_SECONDS:
            window = int(one.at / DIRECTION_SECONDS)
            totals[window] = totals.get(window, 0) + 1
            crossing[window] = crossing.get(window, 0) + one.crosses
    changes = 0
    is_moving = False
    for window in sorted(totals):
        share = crossing[window] / totals[window]
        limit = STAYING_SHARE if is_moving else MOVING_SHARE
        if (share >= limit) is not is_moving:
            is_moving = not is_moving
            changes += 1
    return changes
