"""Budgets for retries and for traffic between regions."""

import collections

from wagtailspread.core import priorities

#: Length of the sliding window of the retry budget, in seconds.
RETRY_WINDOW_SECONDS = 10.0
#: Time that one bucket of the window covers, in seconds.
_BUCKET_SECONDS = 1.0
#: Tolerance for binary rounding of the share, in retries.
_ROUNDING_TOLERANCE = 1e-9


class RetryBudget:
    """Limits retries to a share of the first attempts in a sliding window.

    It counts the attempts at one allocator. The budget that all processes of
    the fleet share is
    :class:`wagtailspread.placement.budgets.SharedRetryBudget`.

    >>> budget = RetryBudget(0.1)
    >>> for _ in range(10): budget.add_attempt(now=0.0)
    >>> budget.spend(now=0.5), budget.spend(now=0.5)
    (True, False)

    :param share: permitted retries per first attempt, 0 to 1.
    """

    def __init__(self, share: float) -> None:
        """Start with an empty window."""
        self._share = share
        self._attempts = 0
        self._retries = 0
        self._buckets: collections.deque[list[float]] = collections.deque()

    def change_share(self, share: float) -> None:
        """Change the share; it also applies to the current window."""
        self._share = share

    def add_attempt(self, now: float) -> None:
        """Count a first attempt."""
        self._find_bucket(now)[1] += 1
        self._attempts += 1

    def spend(self, now: float) -> bool:
        """Count a retry if the budget allows one more."""
        bucket = self._find_bucket(now)
        if (
            self._retries + 1
            > self._share * self._attempts + _ROUNDING_TOLERANCE
        ):
            return False
        bucket[2] += 1
        self._retries += 1
        return True

    def _find_bucket(self, now: float) -> list[float]:
        """Return the current bucket: start in seconds, attempts and retries."""
        buckets = self._buckets
        while buckets and now - buckets[0][0] > RETRY_WINDOW_SECONDS:
            expired = buckets.popleft()
            self._attempts -= int(expired[1])
            self._retries -= int(expired[2])
        if not buckets or now - buckets[-1][0] >= _BUCKET_SECONDS:
            buckets.append([now, 0, 0])
        return buckets[-1]


class LinkBudget:
    """Limits the bytes sent over the link between regions, by priority.

    Each priority has a share of the link. The unused part of a share is
    reassigned to the most urgent priority whose balance is below its limit.
    Bytes in both directions are counted once their number is known, so an
    answer can make a balance negative. The priority may use the link again
    only when its balance is positive.

    >>> budget = LinkBudget(1000.0, (0.6, 0.3, 0.1))
    >>> budget.may_use(priorities.Priority.BULK, now=0.0)
    True
    >>> budget.count(priorities.Priority.BULK, 700, now=0.0)
    >>> budget.may_use(priorities.Priority.BULK, now=0.5)
    False

    :param rate: bytes per second that all priorities together may use.
    :param shares: share of the link for each priority, 0 to 1.
    """

    def __init__(self, rate: float, shares: tuple[float, ...]) -> None:
        """Start with a balance of one second of traffic."""
        self._rates = [rate * share for share in shares]
        self._balances = list(self._rates)
        self._updated_at: float | None = None

    def may_use(self, priority: priorities.Priority, now: float) -> bool:
        """Return whether a request of this priority may use the link."""
        self._refill(now)
        return self._balances[priority] > 0

    def count(
        self,
        priority: priorities.Priority,
        size: int,
        now: float,
    ) -> None:
        """Subtract bytes sent or received from the balance of a priority."""
        self._refill(now)
        self._balances[priority] -= size

    def _refill(self, now: float) -> None:
        """Add the bytes earned since the last update.

        A balance is limited to one second of its share; the excess goes to
        the other priorities, the most urgent first.
        """
        elapsed = 0.0 if self._updated_at is None else now - self._updated_at
        self._updated_at = now
        excess = 0.0
        for priority, rate in enumerate(self._rates):
            balance = self._balances[priority] + rate * elapsed
            excess += max(0.0, balance - rate)
            self._balances[priority] = min(balance, rate)
        for receiver, bound in enumerate(self._rates):
            transferred = min(excess, bound - self._balances[receiver])
            self._balances[receiver] += transferred
            excess -= transferred
