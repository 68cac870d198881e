"""Budgets that bound what a fleet adds to its load."""

import collections

#: Length of the sliding window of the retry budget, in seconds.
RETRY_WINDOW_SECONDS = 10.0
_STEP_SECONDS = 1.0
_ROUNDING = 1e-9


class RetryBudget:
    """Retries as a share of first attempts in a sliding window.

    >>> budget = RetryBudget(0.1)
    >>> for _ in range(10): budget.add_attempt(now=0.0)
    >>> budget.spend(now=0.5), budget.spend(now=0.5)
    (True, False)

    :param share: retries for each first attempt, 0 to 1.
    """

    def __init__(self, share: float) -> None:
        """Start with an empty window."""
        self._share = share
        self._attempts = 0
        self._retries = 0
        self._steps: collections.deque[list[float]] = collections.deque()

    def add_attempt(self, now: float) -> None:
        """Count a first attempt."""
        self._find_step(now)[1] += 1
        self._attempts += 1

    def spend(self, now: float) -> bool:
        """Count a retry if the budget allows one more."""
        step = self._find_step(now)
        if self._retries + 1 > self._share * self._attempts + _ROUNDING:
            return False
        step[2] += 1
        self._retries += 1
        return True

    def _find_step(self, now: float) -> list[float]:
        steps = self._steps
        while steps and now - steps[0][0] > RETRY_WINDOW_SECONDS:
            old = steps.popleft()
            self._attempts -= int(old[1])
            self._retries -= int(old[2])
        if not steps or now - steps[-1][0] >= _STEP_SECONDS:
            steps.append([now, 0, 0])
        return steps[-1]
