"""Estimates of slot hold times.

A hold time lasts from the grant to the completion. It is longer than the
exchange with the upstream, since the slot is also in use while the messages
are in transit.

References: RFC 6298 for the smoothed mean and deviation.
"""

from wagtailspread.core import priorities

#: Weights of the newest sample in the moving averages.
_MEAN_WEIGHT = 1 / 16
_SLOWNESS_WEIGHT = 1 / 8
#: Deviations above the mean that are planned for a queued request, so that few
#: started requests miss their deadline. With 3 deviations 0.5% of them did;
#: these were the longest and cost 1% of the capacity.
_UPPER_BOUND_DEVIATIONS = 5.0
#: Maximum ratio of one hold time to the mean.
_MAX_HOLD_TIME_RATIO = 16.0


class HoldTimes:
    """Mean and deviation of the hold times of each priority.

    >>> hold_times = HoldTimes()
    >>> hold_times.add(priorities.Priority.BULK, 0.5, slowness=1.0)
    1.0
    >>> hold_times.estimate_mean(priorities.Priority.URGENT)
    0.5
    """

    def __init__(self) -> None:
        """Start without samples."""
        self._means = [0.0 for _ in priorities.Priority]
        self._deviations = [0.0 for _ in priorities.Priority]
        self._latest_priority = priorities.Priority.STANDARD

    def add(
        self,
        priority: priorities.Priority,
        seconds: float,
        slowness: float,
    ) -> float:
        """Add the hold time of one lease.

        :param seconds: hold time in seconds.
        :param slowness: previous mean ratio of the hold times of its upstream
            to those of all upstreams.
        :returns: the updated ratio.
        """
        self._latest_priority = priority
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
        ratio = min(seconds / mean, _MAX_HOLD_TIME_RATIO)
        return slowness + _SLOWNESS_WEIGHT * (ratio - slowness)

    def estimate_mean(self, priority: priorities.Priority) -> float:
        """Return the mean hold time in seconds, or 0 without samples.

        A priority without samples uses the mean of the priority with the
        latest sample.
        """
        return self._means[priority] or self._means[self._latest_priority]

    def estimate_upper_bound(self, priority: priorities.Priority) -> float:
        """Return a hold time in seconds that few leases exceed."""
        if self._means[priority] == 0:
            priority = self._latest_priority
        margin = _UPPER_BOUND_DEVIATIONS * self._deviations[priority]
        return self._means[priority] + margin
