"""Budgets that bound what a fleet adds to its load."""

import collections

from wagtailspread.core import priorities

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

    def change_share(self, share: float) -> None:
        """Take another share for the window that runs."""
        self._share = share

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


class LinkBudget:
    """Bytes over the link between regions, by priority.

    Each priority has a share of the link. What a priority does not use goes
    to the most urgent one that has used up its own. Bytes are counted when
    they are known, in both ways, so an answer may overdraw the budget; the
    debt is paid off before the priority may use the link again.

    >>> budget = LinkBudget(1000.0, (0.6, 0.3, 0.1))
    >>> budget.may_use(priorities.Priority.BULK, now=0.0)
    True
    >>> budget.count(priorities.Priority.BULK, 700, now=0.0)
    >>> budget.may_use(priorities.Priority.BULK, now=0.5)
    False

    :param rate: bytes per second of the link that this budget may use.
    :param shares: of the link, by priority.
    """

    def __init__(self, rate: float, shares: tuple[float, ...]) -> None:
        """Start with one second of unused link."""
        self._incomes = [rate * share for share in shares]
        self._saved = list(self._incomes)
        self._updated: float | None = None

    def may_use(self, priority: priorities.Priority, now: float) -> bool:
        """Return whether a request of this priority may use the link."""
        self._refill(now)
        return self._saved[priority] > 0

    def count(
        self,
        priority: priorities.Priority,
        size: int,
        now: float,
    ) -> None:
        """Count bytes that were sent or received."""
        self._refill(now)
        self._saved[priority] -= size

    def _refill(self, now: float) -> None:
        """Save up to one second of each share, and pass on the excess."""
        elapsed = 0.0 if self._updated is None else now - self._updated
        self._updated = now
        excess = 0.0
        for priority, income in enumerate(self._incomes):
            saved = self._saved[priority] + income * elapsed
            excess += max(0.0, saved - income)
            self._saved[priority] = min(saved, income)
        for needy, bound in enumerate(self._incomes):
            passed = min(excess, bound - self._saved[needy])
            self._saved[needy] += passed
            excess -= passed
