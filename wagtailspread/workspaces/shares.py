"""The share of one process in the caps of all workspaces.

Each host brings one part of a cap to the allocator that it asks. An allocator
counts the hosts that asked it recently, so one that a few hosts can reach
admits their part only. Hosts that state their :mod:`presence
<wagtailspread.workspaces.presences>` are counted by it, and others by the ages
of their messages.

>>> contacts = {f'h{number}': 10.0 for number in range(60)}
>>> shares = create_shares(contacts, lambda: 120)
>>> shares.compute(1.0, 10.0)
0.5
>>> shares.compute(1.0, 12.0)
0.0
"""

import bisect
import itertools
import math
import operator
import typing

from wagtailspread.core import identifiers
from wagtailspread.workspaces import caps, fleets, presences

#: Bounds of the time after which a silent host is not counted, in seconds, and
#: the steps in between; each step is computed once for all workspaces.
SILENCE_STEPS = (0.4, 0.6, 0.85, 1.2, 1.7, 2.4, 3.4, 5.0, 10.0, 20.0)
#: Largest share that moves from one allocator to another while both admit
#: requests: half of the hosts of one of two regions. Where it is larger, the
#: demand at the allocator that they left falls by the same part.
MAX_MOVED_SHARE = 0.25
#: Interval between two counts of the hosts, in seconds.
REFRESH_SECONDS = 0.1
#: Time after which a host without a message is gone, in seconds.
KNOWN_SECONDS = 30.0
#: Interval after which hosts that turn elsewhere have declared it, in seconds.
DECLARED_SECONDS = 5.0
#: Part of the hosts with a message in that interval below which the fleet is
#: quiet: silence then does not show that a host has turned elsewhere. Up to the
#: second value, hosts that have declared this allocator count in part.
QUIET_PART = 0.6
BUSY_PART = 0.75
#: Messages that are assumed in addition, spread evenly over the limit, so that
#: few messages don't look like those of a busy fleet.
ASSUMED_MESSAGES = 8
#: Lowest part of the hosts that is taken to be heard from within the limit.
#: With fewer, the ages of the messages do not show the part.
MIN_HEARD_PART = 0.33
#: Lowest probability to hear within the limit from a host that states its
#: presence. With a lower one, the count would depend on a few hosts.
MIN_HEARD_PROBABILITY = 0.2
#: The count of heard hosts is limited to the known hosts and a part of the
#: square root of their number, which is the size of its variation by chance.
#: The factor for hosts that have not turned makes up for what the limit cuts
#: off, 2 to 5% in simulations of quiet fleets.
CHANCE_FACTOR = 0.25
STEADY_FACTOR = 1.05
#: Part of a host that has asked another allocator lately.
DIVIDED_PART = 0.5
#: Intervals between the requests of a host that turns often after which it has
#: probably turned: it does not count when it has been silent for so long, and
#: counts as a whole when it has asked no other allocator for so long. Of hosts
#: that choose between two allocators at random, 1 in 16 asks one for so long.
TURNED_INTERVALS = 4.0
#: Lengths of the intervals for which the lowest share is kept, in seconds.
HORIZONS = (2.0, 10.0, 60.0, 600.0)
_INFLATION_STEPS = tuple(step / 20 for step in range(1, 400))


class SteadyShare(typing.NamedTuple):
    """The lowest share of the last seconds."""

    seconds: float
    share: float


class _Stated(typing.NamedTuple):
    """A host that states its presence, by the age of its last request."""

    age: float
    presence: presences.Presence


class ShareSource(typing.Protocol):
    """Share of a process in the caps."""

    def compute(self, silence: float, now: float) -> float:
        """Return the share at present.

        :param silence: time after which a silent host is not counted.
        """

    def list_steady(self, now: float) -> list[SteadyShare]:
        """Return the lowest shares of the last seconds."""


class _LowestShare:
    """The lowest value of at least the last seconds of a horizon."""

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self._started_at = -math.inf
        self._current = 0.0
        self._previous = 0.0

    def record(self, share: float, now: float) -> None:
        if now - self._started_at > 2 * self.seconds:
            self._previous = 0.0
            self._current = share
            self._started_at = now
        elif now - self._started_at >= self.seconds:
            self._previous = self._current
            self._current = share
            self._started_at = now
        self._current = min(self._current, share)

    def get(self) -> float:
        return min(self._previous, self._current)


class HostShares:
    """Share of an allocator. Use :func:`create_shares`.

    :param fleet: the number of hosts of the fleet.
    """

    def __init__(
        self,
        contacts: typing.Mapping[identifiers.HostId, float],
        count_hosts: typing.Callable[[], int],
        count_declared: typing.Callable[[], int],
    ) -> None:
        """Store the sources.

        :param contacts: time of the last message of each host.
        :param count_hosts: returns the number of hosts of the fleet.
        :param count_declared: returns the number of hosts that would ask this
            allocator, as they have told the replicas.
        """
        self._count_declared = count_declared
        self._contacts = contacts
        self._count_hosts = count_hosts
        self.fleet = fleets.create_size()
        self._refreshed_at = -math.inf
        self._declared = 0
        self._presences: dict[
            identifiers.HostId, tuple[float, presences.Presence]
        ] = {}
        self._stated: list[_Stated] = []
        self._stated_since = math.inf
        self._ages: list[float] = []
        self._sums: list[float] = []
        self._computed: dict[float, float] = {}
        self._lowest = [_LowestShare(seconds) for seconds in HORIZONS]

    def count_hosts(self) -> int:
        """Return the number of hosts of the fleet."""
        known = len(self._ages) + len(self._stated)
        return max(self.fleet.estimate(), known, 1)

    def record(
        self,
        host: identifiers.HostId,
        presence: presences.Presence,
        now: float,
    ) -> None:
        """Record what a host states with a request.

        From then on only its requests count. Its reports of ended requests go
        to the allocators that it asked before, also after it has left them.
        """
        self._presences[host] = (now, presence)
        self._stated_since = min(self._stated_since, now)

    def hear(self, now: float) -> None:
        """Count the hosts again if none has been heard from for a while.

        A host that has just asked would otherwise bring no part of a cap to an
        allocator that was idle before.
        """
        newest = self._ages[0] if self._ages else math.inf
        if self._stated:
            newest = min(newest, self._stated[0].age)
        if newest + now - self._refreshed_at > (
            SILENCE_STEPS[0] - REFRESH_SECONDS
        ):
            self._refresh(now)

    def observe(self, now: float) -> None:
        """Record the share, for workspaces that become active later."""
        share = self.compute(SILENCE_STEPS[0], now)
        for lowest in self._lowest:
            lowest.record(share, now)

    def compute(self, silence: float, now: float) -> float:
        """Return the share at present.

        Hosts without a message for a longer time are not counted. So that
        hosts with few requests don't lose their part, the count is raised by
        the part of the hosts that is expected to be silent for so long. In a
        quiet fleet, the hosts count that have told the replicas that they
        would ask this allocator. That is some seconds old.
        """
        if now - self._refreshed_at >= REFRESH_SECONDS:
            self._refresh(now)
        step = SILENCE_STEPS[
            max(0, bisect.bisect_right(SILENCE_STEPS, silence) - 1)
        ]
        share = self._computed.get(step)
        if share is None:
            share = self._compute_step(step)
            self._computed[step] = share
        return share

    def list_steady(self, now: float) -> list[SteadyShare]:
        """Return the lowest shares of the last seconds."""
        return [
            SteadyShare(lowest.seconds, lowest.get()) for lowest in self._lowest
        ]

    def _refresh(self, now: float) -> None:
        self._refreshed_at = now
        self.fleet.record(self._count_hosts(), now)
        self._declared = self._count_declared()
        self._refresh_stated(now)
        self._ages = sorted(
            max(0.0, now - contact_at)
            for host, contact_at in self._contacts.items()
            if now - contact_at <= KNOWN_SECONDS and host not in self._presences
        )
        self._sums = list(itertools.accumulate(self._ages))
        self._computed.clear()

    def _refresh_stated(self, now: float) -> None:
        self._presences = {
            host: known
            for host, known in self._presences.items()
            if now - known[0] <= KNOWN_SECONDS
        }
        if not self._presences:
            self._stated_since = math.inf
        self._stated = sorted(
            _Stated(max(0.0, now - stated_at), presence)
            for stated_at, presence in self._presences.values()
        )

    def _count_stated(self, silence: float) -> float:
        """Return how many of the hosts ask that state their presence.

        Each that is heard from stands for as many as its rate tells to be
        silent for so long (Horvitz-Thompson estimator).
        """
        known_for = self._refreshed_at - self._stated_since
        counted = 0.0
        for stated in self._stated:
            if stated.age > silence:
                break
            counted += _weigh(stated, silence, known_for)
        known = len(self._stated)
        return min(counted, known + CHANCE_FACTOR * math.sqrt(known))

    def _compute_step(self, silence: float) -> float:
        heard = bisect.bisect_right(self._ages, silence)
        total = self._sums[heard - 1] if heard else 0.0
        # The host that asks at present is left out.
        messages = max(heard - 1, 0) + ASSUMED_MESSAGES
        mean_age = total / silence + ASSUMED_MESSAGES / 2
        part = estimate_heard_part(mean_age / messages)
        counted = min(heard / part, len(self._ages))
        counted += self._count_stated(silence)
        counted = max(counted, self._count_quiet_hosts())
        return min(1.0, counted / self.count_hosts())

    def _count_quiet_hosts(self) -> float:
        """Return how many hosts would ask this allocator in a quiet fleet."""
        if not self._declared:
            return 0.0
        active = bisect.bisect_right(self._ages, DECLARED_SECONDS)
        active += bisect.bisect_right(
            self._stated, DECLARED_SECONDS, key=operator.attrgetter('age')
        )
        active_part = active / self._declared
        weight = (BUSY_PART - active_part) / (BUSY_PART - QUIET_PART)
        return self._declared * min(max(weight, 0.0), 1.0)


class LoneShare:
    """Share of a host that decides alone. Use :func:`create_lone_share`."""

    def __init__(
        self,
        count_hosts: typing.Callable[[], int],
        log: presences.PresenceLog,
    ) -> None:
        """Store the source of the number of hosts.

        :param log: requests of the host to allocators, which may still count
            the host.
        """
        self._count_hosts = count_hosts
        self._log = log
        self._started_at = math.inf

    def start(self, now: float) -> None:
        """Record that the host decides alone from now on."""
        self._started_at = now

    def compute(self, silence: float, now: float) -> float:
        """Return one part for this host, or less if it turns often."""
        elsewhere = self._log.find_elsewhere(presences.ALONE, now)
        part = DIVIDED_PART if elsewhere < silence else 1.0
        return part / max(self._count_hosts(), 1)

    def list_steady(self, now: float) -> list[SteadyShare]:
        """Return the share since the host decides alone."""
        seconds = max(0.0, now - self._started_at)
        return [
            SteadyShare(0.0, 0.0),
            SteadyShare(seconds, self.compute(0.0, now)),
        ]


def compute_silence(limits: caps.Limits, cap: caps.Cap) -> float:
    """Return the time after which a silent host is not counted, in seconds.

    A host may have turned to another allocator, which counts it as well. This
    is short enough for what both admit to fit the allowance.
    """
    allowance = limits.compute_part(cap, caps.AllowancePart.OVERLAP)
    return allowance / (MAX_MOVED_SHARE * cap.rate)


def _weigh(stated: _Stated, silence: float, known_for: float) -> float:
    """Return how many hosts one that was heard from stands for.

    :param known_for: time in which hosts have been heard from.
    """
    elsewhere, interval = stated.presence
    counted, asked = STEADY_FACTOR, 1.0
    if math.isfinite(elsewhere):
        usual = TURNED_INTERVALS * interval
        silence = min(silence, max(usual, SILENCE_STEPS[0]))
        if stated.age > silence:
            return 0.0
        is_divided = elsewhere < max(silence, usual)
        asked = DIVIDED_PART if is_divided else 1.0
        counted = asked
    limit = min(silence, known_for)
    probability = -math.expm1(-asked * limit / interval)
    return counted / max(probability, MIN_HEARD_PROBABILITY)


def estimate_heard_part(mean_age: float) -> float:
    """Return which part of the hosts sent a message within a limit.

    Hosts that send at random times have exponentially distributed ages of the
    last message. The mean age of those within the limit shows the rate, and
    hosts that are gone don't change it.

    :param mean_age: mean age of the last messages within the limit, as a part
        of the limit.

    >>> round(estimate_heard_part(0.1), 3), round(estimate_heard_part(0.4), 3)
    (1.0, 0.713)
    """
    index = bisect.bisect_left(_MEAN_AGES, -mean_age)
    rate = _INFLATION_STEPS[min(index, len(_INFLATION_STEPS) - 1)]
    return max(MIN_HEARD_PART, -math.expm1(-rate))


def _compute_mean_age(rate: float) -> float:
    """Return the mean of an exponential distribution cut off at 1."""
    return 1 / rate - 1 / math.expm1(rate)


_MEAN_AGES = tuple(-_compute_mean_age(rate) for rate in _INFLATION_STEPS)


def create_shares(
    contacts: typing.Mapping[identifiers.HostId, float],
    count_hosts: typing.Callable[[], int],
    count_declared: typing.Callable[[], int] = int,
) -> HostShares:
    """Return the share of an allocator in the caps.

    :param contacts: time of the last message of each host.
    :param count_hosts: returns the number of hosts of the fleet.
    :param count_declared: returns the number of hosts that would ask this
        allocator; none by default.
    """
    return HostShares(contacts, count_hosts, count_declared)


def create_lone_share(
    count_hosts: typing.Callable[[], int], log: presences.PresenceLog
) -> LoneShare:
    """Return the share of a host that has not decided alone yet."""
    return LoneShare(count_hosts, log)
