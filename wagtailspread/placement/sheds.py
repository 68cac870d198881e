"""Limits the open requests of each upstream of a service that sheds work.

An upstream that sheds accepts either a part of what arrives, whatever it runs
already, or as much as it can run. In the second case a lower number of open
requests is accepted in full, and waiting with the first send is better than a
second one. The two are told apart by the results at each number of open
requests: a limit is set only where few requests at or below it were shed, and
far more above it.

>>> table = create_limits()
>>> for number in range(60):
...     table.record('vitrina', 1 + number % 6, number % 6 >= 4, number / 50)
>>> table.find('vitrina', 1.2)
4
"""

import collections
import dataclasses
import itertools
import math

from wagtailspread.core import identifiers

#: Results of this time count, in seconds.
WINDOW_SECONDS = 2.0
#: Time for which a limit holds after the last shed above it, in seconds. Then
#: it rises by one open request in each interval.
HOLD_SECONDS = 2.0
RAISE_SECONDS = 0.5
#: Interval between two evaluations of the results of a service, in seconds.
CHECK_SECONDS = 0.1
#: Number of sheds in the window from which a limit is set.
MIN_SHEDS = 6
#: Share of the results from which a service counts as one that sheds.
SHEDDING_SHARE = 0.1
#: Number of accepted requests at or below a limit from which it is known to be
#: accepted.
MIN_ACCEPTED = 10
#: Share of sheds up to which a number of open requests counts as accepted in
#: full, as a part of the share of sheds above it.
ACCEPTED_PART = 0.1
#: Share of sheds at or below a limit that does not lower it further. Requests
#: that take long count as ended after some time, so a few more are open.
TOLERATED_SHARE = 0.1

_Result = tuple[float, int, bool]


@dataclasses.dataclass(slots=True)
class _ServiceState:
    """Results and limit of one service.

    :param results: time, open requests and whether it was shed, of each.
    :param sheds: number of results that were sheds.
    :param shed_since: when they became a considerable share.
    :param limit: 0 for none.
    :param accepted: the limit up to which all was accepted. A higher one is
        being tried, and ends with the first shed.
    :param holds_until: when the limit rises by one, in seconds.
    :param most: the most open requests at one upstream so far.
    """

    results: collections.deque[_Result]
    sheds: int = 0
    shed_since: float | None = None
    limit: int = 0
    accepted: int = 0
    holds_until: float = -math.inf
    most: int = 0
    checked_at: float = -math.inf


class ShedLimits:
    """Limits by service. Use :func:`create_limits`."""

    def __init__(self) -> None:
        """Start without limits."""
        self._states: dict[identifiers.ServiceName, _ServiceState] = {}

    def record(
        self,
        service: identifiers.ServiceName,
        open_requests: int,
        is_shed: bool,
        now: float,
    ) -> None:
        """Record whether an upstream accepted a request.

        :param open_requests: at the upstream, with this one; 0 if the number
            is not known. Sheds that other regions cause would set a limit far
            below what the upstreams accept.
        """
        if not open_requests:
            return
        state = self._states.get(service)
        if state is None:
            state = _ServiceState(collections.deque())
            self._states[service] = state
        state.results.append((now, open_requests, is_shed))
        state.sheds += is_shed
        state.most = max(state.most, open_requests)
        if not is_shed:
            return
        is_trying = state.accepted > 0 and state.limit > state.accepted
        if is_trying:
            state.limit = state.accepted
            state.holds_until = now + HOLD_SECONDS
        elif now - state.checked_at >= CHECK_SECONDS:
            state.checked_at = now
            self._lower(state, now)

    def find(self, service: identifiers.ServiceName, now: float) -> int:
        """Return the limit of open requests at an upstream, 0 for none."""
        state = self._states.get(service)
        if state is None:
            return 0
        _drop_old(state, now)
        while state.limit and now >= state.holds_until:
            state.limit += 1
            state.holds_until += RAISE_SECONDS
            if state.limit > state.most:
                state.limit = 0
                state.accepted = 0
        return state.limit

    def find_shed_seconds(
        self, service: identifiers.ServiceName, now: float
    ) -> float | None:
        """Return for how long a service has shed work, ``None`` if it doesn't.

        It counts from ``MIN_SHEDS`` sheds on that are a considerable share.
        """
        state = self._states.get(service)
        if state is None:
            return None
        _drop_old(state, now)
        least = max(MIN_SHEDS, SHEDDING_SHARE * len(state.results))
        if state.sheds < least:
            state.shed_since = None
            return None
        if state.shed_since is None:
            state.shed_since = now
        return now - state.shed_since

    def describe(self, now: float) -> dict[identifiers.ServiceName, int]:
        """Return the limits in force, for logs."""
        return {
            service: limit
            for service in self._states
            if (limit := self.find(service, now))
        }

    def _lower(self, state: _ServiceState, now: float) -> None:
        _drop_old(state, now)
        if state.sheds < MIN_SHEDS:
            return
        if state.limit and _find_share(state) <= TOLERATED_SHARE:
            return
        limit = _find_accepted(_list_since_first_shed(state.results))
        if not limit:
            # A part is shed at each number, so that waiting does not help.
            state.limit = 0
            state.accepted = 0
        elif not state.limit or limit < state.limit:
            state.limit = limit
            state.accepted = limit
        if state.limit:
            state.holds_until = now + HOLD_SECONDS


def _drop_old(state: _ServiceState, now: float) -> None:
    results = state.results
    while results and results[0][0] < now - WINDOW_SECONDS:
        _, _, is_shed = results.popleft()
        state.sheds -= is_shed


def _find_share(state: _ServiceState) -> float:
    """Return the share of sheds at or below the limit."""
    below = [
        is_shed for _, level, is_shed in state.results if level <= state.limit
    ]
    return sum(below) / max(len(below), 1)


def _list_since_first_shed(
    results: collections.deque[_Result],
) -> list[_Result]:
    """Return the results without those before the upstreams began to shed.

    Those were accepted at each number, so they would hide that a part is shed
    at each number now.
    """
    return list(
        itertools.dropwhile(lambda one: not one[2], results),
    )


def _find_accepted(results: list[_Result]) -> int:
    """Return the most open requests that are accepted in full, 0 if none."""
    levels = sorted({level for _, level, _ in results})
    found = 0
    for limit in levels[:-1]:
        below = [is_shed for _, level, is_shed in results if level <= limit]
        above = [is_shed for _, level, is_shed in results if level > limit]
        if len(below) - sum(below) < MIN_ACCEPTED:
            continue
        share_above = sum(above) / len(above)
        if sum(below) / len(below) <= ACCEPTED_PART * share_above:
            found = limit
    return found


def create_limits() -> ShedLimits:
    """Return a table without limits."""
    return ShedLimits()
