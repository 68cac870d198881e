"""System clocks, and a clock that tests advance."""

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

    #: Monotonic time in seconds. It is called many times for each request, so
    #: it is the library function itself without a wrapper.
    now = staticmethod(time.monotonic)

    #: Seconds since the epoch.
    wall = staticmethod(time.time)


class SuspensionClock:
    """A monotonic clock that includes the time of system suspension.

    Leases must expire while the machine of their holder is suspended, and
    ``time.monotonic`` does not advance then.
    """

    def now(self) -> float:
        """Return seconds since the boot of the machine."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    #: Seconds since the epoch.
    wall = staticmethod(time.time)


class ManualClock:
    """A clock that changes only when it is advanced.

    >>> clock = ManualClock()
    >>> clock.advance(1.5)
    >>> clock.now()
    1.5
    """

    def __init__(self, start: float = 0.0) -> None:
        """Set the clock to ``start`` seconds."""
        self._seconds = start

    def now(self) -> float:
        """Return the seconds set so far."""
        return self._seconds

    def wall(self) -> float:
        """Return the seconds set so far."""
        return self._seconds

    def advance(self, seconds: float) -> None:
        """Advance the clock by ``seconds``."""
        self._seconds += seconds
