"""Estimates of how long a slot is held, from completions.

The time from grant to completion is used, not the time at the upstream, since
the slot is in use while the messages travel, too.

References: RFC 6298, whose smoothed mean and deviation these follow.
"""

from wagtailspread.core import priorities

_MEAN_WEIGHT = 1 / 16
_SLOWNESS_WEIGHT = 1 / 8
#: Deviations above the mean that a queued request is planned with, so that
#: few of those that start miss their deadline: with 3 deviations 0.5% of them
#: did, which were the longest and cost 1% of the capacity.
_PLANNED_DEVIATIONS = 5.0
_SLOWNESS_BOUND = 16.0


class HoldTimes:
    """How long slots are held, by priority and relative by upstream.

    >>> hold_times = HoldTimes()
    >>> hold_times.add(priorities.Priority.BULK, 0.5, slowness=1.0)
    1.0
    >>> hold_times.expect(priorities.Priority.URGENT)
    0.5
    """

    def __init__(self) -> None:
        """Start without samples."""
        self._means = [0.0 for _ in priorities.Priority]
        self._deviations = [0.0 for _ in priorities.Priority]
        self._latest = priorities.Priority.STANDARD

    def add(
        self,
        priority: priorities.Priority,
        seconds: float,
        slowness: float,
    ) -> float:
        """Take the hold time of one lease.

        :param slowness: hold times of its upstream relative to the others; 1
            is the mean.
        :returns: the new slowness.
        """
        self._latest = priority
        mean = self._means[priority]
        if mean == 0:
            self._means[priority] = seconds
            self._deviations[priority] = seconds / 2
            return slowness
        error = seconds - mean
        self._means[priority] = mean + _MEAN_WEIGHT * error
        deviation = self._deviations[priority]
        deviation += _MEAN_WEIGHT * (abs(error) - deviation)
        self._deviations[priority] = deviation
        ratio = min(seconds / mean, _SLOWNESS_BOUND)
        return slowness + _SLOWNESS_WEIGHT * (ratio - slowness)

    def expect(self, priority: priorities.Priority) -> float:
        """Return the mean hold time in seconds; 0 while unknown.

        A priority without samples is assumed to be like the latest one.
        """
        return self._means[priority] or self._means[self._latest]

    def plan(self, priority: priorities.Priority) -> float:
        """Return a hold time in seconds that few leases exceed."""
        if self._means[priority] == 0:
            priority = self._latest
        margin = _PLANNED_DEVIATIONS * self._deviations[priority]
        return self._means[priority] + margin
