"""Timeouts that adapt to the delay of a link.

>>> timeout = AdaptiveTimeout(0.3, 2.4)
>>> timeout.record_expiry()
>>> timeout.seconds
0.6
>>> timeout.record_success(0.1)
>>> timeout.seconds
0.3
"""

#: A success within the timeout divided by this number shortens the next one.
_FAST_DIVISOR = 4


class AdaptiveTimeout:
    """Timeout that doubles when it expires and halves after a fast success.

    A short timeout finds a failed peer soon. On a link whose queue delays every
    packet by more than that, no call would ever succeed.

    :param seconds: timeout of the next call.
    """

    def __init__(self, least: float, most: float) -> None:
        """Start with the shortest timeout.

        :param least: shortest timeout, in seconds.
        :param most: longest timeout, in seconds.
        """
        self.seconds = least
        self._least = least
        self._most = most

    def record_expiry(self) -> None:
        """Wait longer after a call that was not answered in time."""
        self.seconds = min(2 * self.seconds, self._most)

    def record_success(self, duration: float) -> None:
        """Wait less after a fast answer.

        :param duration: time until the answer, in seconds.
        """
        if duration * _FAST_DIVISOR < self.seconds:
            self.seconds = max(self.seconds / 2, self._least)
