"""The share of one process in the caps of all workspaces.

Each host brings one part of a cap to the allocator that it asks. An allocator
counts the hosts that asked it recently, so one that a few hosts can reach
admits their part only.

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
import typing

from wagtailspread.core import identifiers
from wagtailspread.workspaces import caps, fleets

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
#: Lengths of the intervals for which the lowest share is kept, in seconds.
HORIZONS = (2.0, 10.0, 60.0, 600.0)
_INFLATION_STEPS = tuple(step / 20 for step in range(1, 400))


class SteadyShare(typing.NamedTuple):
    """The lowest share of the last seconds."""

    seconds: float
    share: float


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
        self._ages: list[float] = []
        self._sums: list[float] = []
        self._computed: dict[float, float] = {}
        self._lowest = [_LowestShare(seconds) for seconds in HORIZONS]

    def count_hosts(self) -> int:
        """Return the number of hosts of the fleet."""
        return max(self.fleet.estimate(), len(self._ages), 1)

    def hear(self, now: float) -> None:
        """Count the hosts again if none has been heard from for a while.

        A host that has just asked would otherwise bring no part of a cap to an
        allocator that was idle before.
        """
        if not self._ages or self._ages[0] + now - self._refreshed_at > (
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
        self._ages = sorted(
            max(0.0, now - contact_at)
            for contact_at in self._contacts.values()
            if now - contact_at <= KNOWN_SECONDS
        )
        self._sums = list(itertools.accumulate(self._ages))
        self._computed.clear()

    def _compute_step(self, silence: float) -> float:
        heard = bisect.bisect_right(self._ages, silence)
        total = self._sums[heard - 1] if heard else 0.0
        # The host that asks at present is left out.
        messages = max(heard - 1, 0) + ASSUMED_MESSAGES
        mean_age = total / silence + ASSUMED_MESSAGES / 2
        part = estimate_heard_part(mean_age / messages)
        counted = min(heard / part, len(self._ages))
        counted = max(counted, self._count_quiet_hosts())
        return min(1.0, counted / self.count_hosts())

    def _count_quiet_hosts(self) -> float:
        """Return how many hosts would ask this allocator in a quiet fleet."""
        if not self._declared:
            return 0.0
        active = bisect.bisect_right(self._ages, DECLARED_SECONDS)
        active_part = active / self._declared
        weight = (BUSY_PART - active_part) / (BUSY_PART - QUIET_PART)
        return self._declared * min(max(weight, 0.0), 1.0)


class LoneShare:
    """Share of a host that decides alone. Use :func:`create_lone_share`."""

    def __init__(self, count_hosts: typing.Callable[[], int]) -> None:
        """Store the source of the number of hosts."""
        self._count_hosts = count_hosts
        self._started_at = math.inf

    def start(self, now: float) -> None:
        """Record that the host decides alone from now on."""
        self._started_at = now

    def compute(self, silence: float, now: float) -> float:
        """Return one part for this host."""
        return 1.0 / max(self._count_hosts(), 1)

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


def create_lone_share(count_hosts: typing.Callable[[], int]) -> LoneShare:
    """Return the share of a host that has not decided alone yet."""
    return LoneShare(count_hosts)
