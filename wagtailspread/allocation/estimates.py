"""Estimates of how long a slot is held, from completions.

References: RFC 6298, whose smoothed mean and deviation these follow.
"""

import dataclasses

from wagtailspread.core import priorities

_MEAN_WEIGHT = 1 / 16
_SLOWNESS_WEIGHT = 1 / 8
#: Deviations above the mean that a queued request is planned with, so that
#: few of those that start miss their deadline.
_PLANNED_DEVIATIONS = 3.0
_SLOWNESS_BOUND = 16.0


@dataclasses.dataclass(slots=True)
class _Estimate:
    """Smoothed mean and mean deviation, in seconds."""

    mean: float = 0.0
    deviation: float = 0.0

    def add(self, seconds: float) -> None:
        """Take one sample."""
        if self.mean == 0:
            self.mean = seconds
            self.deviation = seconds / 2
            return
        error = seconds - self.mean
        self.mean += _MEAN_WEIGHT * error
        self.deviation += _MEAN_WEIGHT * (abs(error) - self.deviation)


class HoldTimes:
    """How long slots are held, by priority.

    The time from grant to completion is used, not the time at the upstream,
    since the slot is in use while the messages travel, too.
    """

    def __init__(self) -> None:
        """Start without samples."""
        self._estimates = tuple(_Estimate() for _ in priorities.Priority)
        self._overall = _Estimate()

    def add(self, priority: priorities.Priority, seconds: float) -> None:
        """Take the hold time of one lease."""
        self._estimates[priority].add(seconds)
        self._overall.add(seconds)

    def expect(self, priority: priorities.Priority) -> float:
        """Return the mean hold time in seconds; 0 while unknown."""
        return self._estimates[priority].mean or self._overall.mean

    def plan(self, priority: priorities.Priority) -> float:
        """Return a hold time in seconds that few leases exceed."""
        estimate = self._estimates[priority]
        if estimate.mean == 0:
            estimate = self._overall
        return estimate.mean + _PLANNED_DEVIATIONS * estimate.deviation

    def compare(
        self,
        priority: priorities.Priority,
        seconds: float,
        slowness: float,
    ) -> float:
        """Return the new slowness of an upstream after one hold time.

        :param slowness: the old one; 1 is the mean of all upstreams.
        """
        expected = self.expect(priority)
        if expected == 0:
            return slowness
        ratio = min(seconds / expected, _SLOWNESS_BOUND)
        return slowness + _SLOWNESS_WEIGHT * (ratio - slowness)
