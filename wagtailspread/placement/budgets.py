"""The share of one process in the fleet-wide retry budget of a service.

The fleet may send a ratio of its requests plus a fixed allowance as retries in
each window. Each process that grants retries may use that ratio of the
requests that it sees and its share of the allowance. So the total stays within
the budget without any coordination.

>>> budget = SharedRetryBudget(0.2, 44.0, 10.0, lambda: 44)
>>> budget.add_request('vitrina', 0.0)
>>> for _ in range(10): budget.add_request('vitrina', 10.0)
>>> [budget.spend('vitrina', 10.0) for _ in range(4)]
[True, True, False, False]
"""

import collections
import dataclasses
import enum
import typing

from wagtailspread.core import identifiers

#: Share of the budget that is used; the remainder covers requests that callers
#: abandoned and windows that are not aligned.
USED_SHARE = 0.9
#: Share of the budget up to which repeatable requests may take a risk.
AMPLE_SHARE = 0.5
#: Share of the budget up to which they may try upstreams that are idle.
TRIAL_SHARE = 0.75


class BudgetShare(enum.Enum):
    """Share of the fixed allowance by kind of process that grants retries.

    All kinds may grant retries at the same time. The processes of one kind
    divide its share equally.
    """

    #: The allocators on replicas.
    REPLICA = 0.8
    #: The substitute allocators on hosts, used when no replica answers.
    SUBSTITUTE = 0.1
    #: Hosts that decide alone, when no allocator answers.
    HOST = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """Settings of the fleet-wide retry budget of one service.

    :param ratio: retries per request.
    :param slack: fixed allowance of retries per window in addition.
    :param window: length of the window in seconds.
    """

    ratio: float
    slack: float
    window: float


class SharedRetryBudget:
    """Limits the retries that one process grants, by service.

    Retries and requests are counted in a sliding window. See also:
    :class:`wagtailspread.allocation.budgets.RetryBudget`, which limits the
    retries at a single allocator without a fixed allowance.

    :param ratio: retries per request.
    :param slack: fixed allowance per window that all sharers divide.
    :param window: length of the window in seconds.
    :param count_sharers: returns the number of processes that share the slack.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window: float,
        count_sharers: typing.Callable[[], int],
    ) -> None:
        """Create a budget with an empty window."""
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._count_sharers = count_sharers
        self._started_at: float | None = None
        self._requests: dict[
            identifiers.ServiceName, collections.deque[float]
        ] = {}
        self._repeats: dict[
            identifiers.ServiceName, collections.deque[float]
        ] = {}

    def add_request(
        self,
        service: identifiers.ServiceName,
        now: float,
    ) -> None:
        """Record a request of a caller."""
        if self._started_at is None:
            self._started_at = now
        self._list_recent(self._requests, service, now).append(now)

    def allows(
        self,
        service: identifiers.ServiceName,
        queued: int,
        now: float,
        used_share: float = 1.0,
    ) -> bool:
        """Return whether the budget allows a further retry.

        :param queued: retries that wait, which count when they are sent.
        :param used_share: share of the budget that may be used.
        """
        repeats = self._list_recent(self._repeats, service, now)
        needed = len(repeats) + queued + 1
        return needed <= used_share * self._compute_allowed(service, now)

    def spend(self, service: identifiers.ServiceName, now: float) -> bool:
        """Record a retry and return ``True`` if the budget allows it."""
        repeats = self._list_recent(self._repeats, service, now)
        if len(repeats) + 1 > self._compute_allowed(service, now):
            return False
        repeats.append(now)
        return True

    def is_ample(self, service: identifiers.ServiceName, now: float) -> bool:
        """Return whether at most half of the budget is used after a retry."""
        return self._has_left(service, AMPLE_SHARE, now)

    def allows_trial(
        self, service: identifiers.ServiceName, now: float
    ) -> bool:
        """Return whether a quarter of the budget is left after a retry."""
        return self._has_left(service, TRIAL_SHARE, now)

    def _has_left(
        self, service: identifiers.ServiceName, used_share: float, now: float
    ) -> bool:
        repeats = self._list_recent(self._repeats, service, now)
        allowed = self._compute_allowed(service, now)
        return len(repeats) + 1 <= used_share * allowed

    def describe(
        self, now: float
    ) -> dict[identifiers.ServiceName, dict[str, float]]:
        """Return the counts of each service that has retries, for logs."""
        return {
            service: {
                'requests': len(
                    self._list_recent(self._requests, service, now)
                ),
                'retries': len(repeats),
                'allowed': round(self._compute_allowed(service, now), 1),
            }
            for service in self._repeats
            if (repeats := self._list_recent(self._repeats, service, now))
        }

    def _compute_allowed(
        self,
        service: identifiers.ServiceName,
        now: float,
    ) -> float:
        """Return the number of retries allowed in the window."""
        requests = self._list_recent(self._requests, service, now)
        allowed = self._ratio * len(requests) + self._compute_slack(now)
        return USED_SHARE * allowed

    def _compute_slack(self, now: float) -> float:
        """Return the share of the fixed allowance that may be used now.

        A process that has just started may replace one that has used its whole
        share, so its own share grows linearly over one window.
        """
        if self._started_at is None:
            self._started_at = now
        sharers = max(self._count_sharers(), 1)
        ramp = min(1.0, (now - self._started_at) / self._window)
        return self._slack / sharers * ramp

    def _list_recent(
        self,
        table: dict[identifiers.ServiceName, collections.deque[float]],
        service: identifiers.ServiceName,
        now: float,
    ) -> collections.deque[float]:
        recent = table.get(service)
        if recent is None:
            recent = collections.deque()
            table[service] = recent
        while recent and recent[0] < now - self._window:
            recent.popleft()
        return recent


def create_budget(
    settings: RetryBudgetSettings,
    share: BudgetShare,
    count_sharers: typing.Callable[[], int],
) -> SharedRetryBudget:
    """Return a budget with an empty window.

    :param share: share of the allowance for this kind of process.
    :param count_sharers: returns the number of processes of this kind.
    """
    return SharedRetryBudget(
        settings.ratio,
        settings.slack * share.value,
        settings.window,
        count_sharers,
    )
