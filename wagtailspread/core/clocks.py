"""Clocks: the system's own and one that tests set by hand."""

import time
import typing


class Clock(typing.Protocol):
    """Source of time in seconds."""

    def now(self) -> float:
        """Return monotonic time in seconds."""

    def wall(self) -> float:
        """Return seconds since the epoch."""


class SystemClock:
    """The clock of the operating system."""

    #: Monotonic time in seconds; called many times for each request, so
    #: there is no function of our own around it.
    now = staticmethod(time.monotonic)

    #: Seconds since the epoch.
    wall = staticmethod(time.time)


class SuspensionClock:
    """A clock that also counts the time for which the machine is suspended.

    Leases must end while their holder is suspended, and the monotonic clock
    stands still then.
    """

    def now(self) -> float:
        """Return seconds since the machine started, suspensions included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    #: Seconds since the epoch.
    wall = staticmethod(time.time)


class ManualClock:
    """A clock that stands still until it is advanced.

    >>> clock = ManualClock()
    >>> clock.advance(1.5)
    >>> clock.now()
    1.5
    """

    def __init__(self, start: float = 0.0) -> None:
        """Start at ``start`` seconds."""
        self._seconds = start

    def now(self) -> float:
        """Return the seconds set so far."""
        return self._seconds

    def wall(self) -> float:
        """Return the seconds set so far."""
        return self._seconds

    def advance(self, seconds: float) -> None:
        """Move forward by ``seconds``."""
        self._seconds += seconds
