"""Tracks of which services many requests fail.

>>> tracker = create_tracker()
>>> for number in range(20):
...     tracker.record_completion('columns', number % 4 > 0, 0.0)
>>> tracker.is_strained('columns', 0.1)
True
>>> tracker.is_strained('columns', 9.0)
False
"""

import collections
import math

import logbook

from wagtailspread.core import identifiers

#: Length of the sliding window of completions, in seconds.
WINDOW_SECONDS = 2.0
#: Share of failed requests from which a service counts as strained. The
#: operators' platform enforces its floor while more than a tenth is not served.
STRAINED_SHARE = 0.08
#: Minimum number of completions for a meaningful failure share.
MIN_COMPLETIONS = 10
#: Minimum number of failures; isolated errors occur at any time.
MIN_FAILURES = 3
#: Time for which a service is still published as strained after it recovered,
#: in seconds; each change costs a message to every replica.
STRAINED_HOLD_SECONDS = 3.0

_log = logbook.Logger('placement')


class _Completions:
    """Completions of a service in the sliding window."""

    def __init__(self) -> None:
        """Create an empty window."""
        self.failed = 0
        self._recent: collections.deque[tuple[float, bool]] = (
            collections.deque()
        )

    def __len__(self) -> int:
        """Return the number of completions."""
        return len(self._recent)

    def add(self, is_served: bool, now: float) -> None:
        """Add a completion."""
        self._recent.append((now, is_served))
        self.failed += not is_served

    def drop_old(self, now: float) -> None:
        """Drop the completions that have left the window."""
        while self._recent and self._recent[0][0] < now - WINDOW_SECONDS:
            _, is_served = self._recent.popleft()
            self.failed -= not is_served


class StrainTracker:
    """Counts the failures of each service. Use :func:`create_tracker`."""

    def __init__(self) -> None:
        """Create a tracker without services."""
        self._completions: dict[identifiers.ServiceName, _Completions] = {}
        self._strained_until: dict[identifiers.ServiceName, float] = {}
        self._remote_strained: set[identifiers.ServiceName] = set()

    def replace_remote(self, services: set[identifiers.ServiceName]) -> None:
        """Replace the set of services that are strained at other allocators.

        The floor counts all upstreams of a service in all regions, so a region
        without failures has to meet its share as well.
        """
        self._remote_strained = services

    def list_strained(
        self,
        now: float,
    ) -> frozenset[identifiers.ServiceName]:
        """Return the services that were strained here recently."""
        failing = [
            service
            for service in self._completions
            if self._is_failing(service, now)
        ]
        for failing_service in failing:
            if self._strained_until.get(failing_service, -math.inf) <= now:
                self._log_strain(failing_service, now)
        until = now + STRAINED_HOLD_SECONDS
        self._strained_until.update(dict.fromkeys(failing, until))
        return frozenset(
            service
            for service, end in self._strained_until.items()
            if now < end
        )

    def record_completion(
        self,
        service: identifiers.ServiceName,
        is_served: bool,
        now: float,
    ) -> None:
        """Record the completion of a request.

        The caller omits trials: they fail because they go to suspect upstreams,
        and would keep the service strained by themselves.
        """
        self._find_recent(service, now).add(is_served, now)

    def is_strained(
        self,
        service: identifiers.ServiceName,
        now: float,
    ) -> bool:
        """Return whether many requests of a service failed recently."""
        if service in self._remote_strained:
            return True
        return self._is_failing(service, now)

    def _log_strain(self, service: identifiers.ServiceName, now: float) -> None:
        recent = self._find_recent(service, now)
        _log.info(
            'service strained',
            extra={
                'service': service,
                'completions': len(recent),
                'failed': recent.failed,
            },
        )

    def _is_failing(
        self,
        service: identifiers.ServiceName,
        now: float,
    ) -> bool:
        completions = self._find_recent(service, now)
        count = len(completions)
        min_failed = max(MIN_FAILURES, STRAINED_SHARE * count)
        return count >= MIN_COMPLETIONS and completions.failed >= min_failed

    def _find_recent(
        self,
        service: identifiers.ServiceName,
        now: float,
    ) -> _Completions:
        """Return the completions in the window."""
        completions = self._completions.get(service)
        if completions is None:
            completions = _Completions()
            self._completions[service] = completions
        completions.drop_old(now)
        return completions


def create_tracker() -> StrainTracker:
    """Return a tracker without services."""
    return StrainTracker()
