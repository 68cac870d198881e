"""What a host states about its contact with an allocator.

A silent host may have few requests, or may ask another allocator meanwhile. An
allocator can't tell these apart, but the host can. So it states with its
requests how often it asks and when it last asked another allocator.

>>> log = create_log()
>>> log.state('r1:1', 10.0)
Presence(elsewhere_seconds=inf, interval_seconds=10.0)
>>> log.record_answer('r1:1', 10.0)
>>> log.state('r2:1', 10.5).elsewhere_seconds
0.5
"""

import math
import typing

from wagtailspread.core import identifiers

#: Time over which the interval between the requests of a host is averaged, in
#: seconds.
AVERAGE_SECONDS = 5.0
#: Stands for the allocator while a host decides alone, which is a turn as well.
ALONE = identifiers.Address('')
#: Part of the present request that the average leaves out. With all of the
#: request, hosts with few of them seem to ask more often than they do.
OWN_WEIGHT = 0.5
#: Time with one allocator after which a host may turn to another one and count
#: there at once, in seconds. It is the window of the caps, and the allowance of
#: a window covers one turn of each host, see
#: :func:`wagtailspread.workspaces.shares.compute_silence`.
STEADY_SECONDS = 5.0


class Presence(typing.NamedTuple):
    """Contact of a host with an allocator.

    :param elsewhere_seconds: time since the host asked another allocator;
        infinite if it has not, or if it has turned only once lately.
    :param interval_seconds: mean time between its requests to any allocator; as
        if it had been silent before its start.
    """

    elsewhere_seconds: float
    interval_seconds: float


class PresenceLog:
    """Requests of one host to allocators. Use :func:`create_log`."""

    def __init__(self) -> None:
        """Start without requests."""
        self._allocator: identifiers.Address | None = None
        self._answered_at = -math.inf
        self._turned_at = -math.inf
        self._is_single_turn = True
        self._elsewhere_at = -math.inf
        self._asked_at = -math.inf
        self._weight = 0.0

    def state(self, allocator: identifiers.Address, now: float) -> Presence:
        """Return what to state in a request to an allocator."""
        passed = max(0.0, now - self._asked_at)
        self._weight = 1 + self._weight * math.exp(-passed / AVERAGE_SECONDS)
        self._asked_at = now
        interval = AVERAGE_SECONDS / (self._weight - OWN_WEIGHT)
        return Presence(self.find_elsewhere(allocator, now), interval)

    def find_elsewhere(
        self, allocator: identifiers.Address, now: float
    ) -> float:
        """Return the time since the host asked another allocator."""
        is_single_turn = self._is_single_turn
        elsewhere_at = self._elsewhere_at
        if allocator != self._allocator:
            is_single_turn = now - self._turned_at >= STEADY_SECONDS
            elsewhere_at = self._answered_at
        return math.inf if is_single_turn else now - elsewhere_at

    def record_answer(self, allocator: identifiers.Address, now: float) -> None:
        """Record that an allocator has answered.

        One that does not answer may have failed, and does not count the host
        then. So requests to it are not contact with another allocator.
        """
        if allocator != self._allocator:
            self._is_single_turn = now - self._turned_at >= STEADY_SECONDS
            self._allocator = allocator
            self._turned_at = now
            self._elsewhere_at = self._answered_at
        self._answered_at = now


def create_log() -> PresenceLog:
    """Return a log without requests."""
    return PresenceLog()
