"""Log lines on the upstreams of a service that get no requests.

Requests that fail later can't be explained without them: an upstream may be
idle since it failed, since it is probably gray, or since the allocator takes it
for full.
"""

import dataclasses
import math
import typing

import logbook

from wagtailspread.core import identifiers
from wagtailspread.placement import probing

#: Interval between log lines on a service, in seconds.
LOG_SECONDS = 2.0
#: Time without a request from which an upstream counts as idle, in seconds.
IDLE_SECONDS = 2.0

_log = logbook.Logger('placement')


class Usage(typing.NamedTuple):
    """Use of one upstream at one moment.

    :param idle_seconds: time since its last request, infinite before the first.
    :param sound_probability: the probability that it is not gray.
    :param is_cooling_down: whether it failed a moment ago.
    :param is_full: whether all its slots are in use.
    :param overdue: number of its open requests that should have ended.
    """

    idle_seconds: float
    sound_probability: float
    is_cooling_down: bool = False
    is_full: bool = False
    overdue: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceState:
    """State of a service besides its upstreams.

    :param requests: number of requests sent in the last window.
    :param is_strained: whether many of its requests fail.
    """

    requests: int
    is_strained: bool


class UsageLog:
    """Logs the use of the upstreams of each service once in a while."""

    def __init__(self) -> None:
        """Create a log without lines."""
        self._logged_at: dict[identifiers.ServiceName, float] = {}

    def is_due(self, service: identifiers.ServiceName, now: float) -> bool:
        """Tell whether it is time for the next line on a service."""
        return now - self._logged_at.get(service, -math.inf) >= LOG_SECONDS

    def write(
        self,
        service: identifiers.ServiceName,
        usages: list[Usage],
        state: ServiceState,
        now: float,
    ) -> None:
        """Log how many upstreams are idle, and why."""
        self._logged_at[service] = now
        idle = [usage for usage in usages if usage.idle_seconds > IDLE_SECONDS]
        longest = max(
            (
                usage.idle_seconds
                for usage in usages
                if usage.idle_seconds < math.inf
            ),
            default=0.0,
        )
        _log.info(
            'upstreams in use',
            extra={
                'service': service,
                'upstreams': len(usages),
                'idle': len(idle),
                'cooling_down': sum(usage.is_cooling_down for usage in idle),
                'suspect': sum(
                    usage.sound_probability < probing.MIN_SOUND_PROBABILITY
                    for usage in idle
                ),
                'full': sum(usage.is_full for usage in idle),
                'overdue': sum(usage.overdue > 0 for usage in idle),
                'longest': round(longest, 1),
                'requests': state.requests,
                'is_strained': state.is_strained,
            },
        )


def create_usage_log() -> UsageLog:
    """Return a log that writes its first lines at once."""
    return UsageLog()
