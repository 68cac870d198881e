"""The share of one decider in a service's budget of repeated sends.

The budget holds for the whole fleet: a share of the requests plus a fixed
number in each window. Every decider may use that share of the requests that it
sees and its part of the number, so the sum keeps the budget without messages.

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

#: Part of the budget that the hosts use; the rest covers requests that callers
#: gave up on and windows that do not fall together.
USED_SHARE = 0.9
#: Part of the budget within which requests may take a risk and be repeated.
AMPLE_SHARE = 0.5


class BudgetShare(enum.Enum):
    """Who grants repeated sends. All kinds may do so at the same time.

    The value is the part of the fixed number that all of a kind share.
    """

    #: The allocators on replicas.
    REPLICA = 0.8
    #: The allocators on hosts, for hosts that no replica answers.
    SUBSTITUTE = 0.1
    #: Hosts that no allocator answers.
    HOST = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """The fleet's budget of repeated sends to one service.

    :param ratio: repeated sends for each request.
    :param slack: repeated sends in a window beside these.
    :param window: length of the window in seconds.
    """

    ratio: float
    slack: float
    window: float


class SharedRetryBudget:
    """Repeated sends by service in a sliding window.

    :param ratio: repeated sends for each request.
    :param slack: repeated sends of the whole fleet in a window beside these.
    :param window: length of the window in seconds.
    :param count_hosts: returns the number of deciders that share the slack.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window: float,
        count_hosts: typing.Callable[[], int],
    ) -> None:
        """Start with an empty window."""
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._count_hosts = count_hosts
        self._started_at: float | None = None
        self._requests: dict[str, collections.deque[float]] = {}
        self._repeats: dict[str, collections.deque[float]] = {}

    def add_request(
        self,
        service: identifiers.ServiceName,
        now: float,
    ) -> None:
        """Count a request of a caller."""
        if self._started_at is None:
            self._started_at = now
        self._list_recent(self._requests, service, now).append(now)

    def spend(self, service: identifiers.ServiceName, now: float) -> bool:
        """Count a repeated send if the budget allows one more."""
        repeats = self._list_recent(self._repeats, service, now)
        if len(repeats) + 1 > self._find_allowed(service, now):
            return False
        repeats.append(now)
        return True

    def is_ample(self, service: identifiers.ServiceName, now: float) -> bool:
        """Tell whether less than half of the budget is used."""
        repeats = self._list_recent(self._repeats, service, now)
        allowed = self._find_allowed(service, now)
        return len(repeats) + 1 <= AMPLE_SHARE * allowed

    def _find_allowed(
        self,
        service: identifiers.ServiceName,
        now: float,
    ) -> float:
        """Return the repeated sends that are allowed in the window."""
        requests = self._list_recent(self._requests, service, now)
        allowed = self._ratio * len(requests) + self._find_slack(now)
        return USED_SHARE * allowed

    def _find_slack(self, now: float) -> float:
        """Return the part of the fixed number that may be used now.

        A decider that has just started takes over from one that may have used
        all of it, so its part grows to the whole over one window.
        """
        if self._started_at is None:
            self._started_at = now
        hosts = max(self._count_hosts(), 1)
        grown = min(1.0, (now - self._started_at) / self._window)
        return self._slack / hosts * grown

    def _list_recent(
        self,
        table: dict[str, collections.deque[float]],
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
    terms: RetryBudgetSettings,
    decider: BudgetShare,
    count_deciders: typing.Callable[[], int],
) -> SharedRetryBudget:
    """Return a budget with an empty window.

    :param count_deciders: returns the number of deciders of this kind.
    """
    return SharedRetryBudget(
        terms.ratio,
        terms.slack * decider.value,
        terms.window,
        count_deciders,
    )
