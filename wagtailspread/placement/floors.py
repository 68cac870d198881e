"""Keeps the upstreams of a service in use that may be sound.

Sending all requests to the few upstreams that look best minimizes the failures
at that moment. But an unused upstream yields no evidence: it stays suspect long
after it has recovered, and the other upstreams carry its load. So requests that
may be sent again use each upstream that may be sound within a bounded time, and
all others keep more of them in use than the floor asks: an observer who knows
which ones are sound counts a subset, of which the idle ones may be a larger
share. For large bodies this holds within each failure domain, since they do not
cross to another one. An upstream that has just failed is exempt until it may
have recovered. Those that are idle longest come first: with few requests the
others would take all of them.

If many requests fail nevertheless, the health estimates are unreliable. Then
each upstream that may be sound is used, also for requests that can't be sent
again, large bodies cross to other domains of the region, and a minimum share
(floor) of all upstreams is used.

>>> floor = UsageFloor(0.7)
>>> for second in range(3):
...     floor.record_use('columns', 'u1', float(second))
>>> floor.count_requests('columns', 1.0)
2
"""

import collections
import math
import typing

from wagtailspread.core import identifiers
from wagtailspread.placement import costs, probing, selection, strains
from wagtailspread.placement import usages

#: Length of the sliding window of requests, in seconds.
WINDOW_SECONDS = 2.0
#: Time since its last request within which an upstream counts as in use, in
#: seconds. It is shorter than the window, since the next request has yet to
#: arrive.
IN_USE_SECONDS = 1.4
#: Distance cost up to which a request is sent to an idle upstream. Large bodies
#: stay in their failure domain, since local requests suffice.
MAX_DISTANCE_COST = 0.05
#: Share in addition to the floor of a strained service, so that the floor is
#: still reached when upstreams leave.
MARGIN_SHARE = 0.02


class _Failure(typing.NamedTuple):
    """The last failure of an upstream.

    :param in_a_row: number of failures since the last success.
    """

    at: float
    in_a_row: int


class UsageFloor:
    """Tracks idle upstreams.

    :param share: minimum share of all upstreams in use while many requests
        fail.
    :param strains: tells of which services many requests fail.
    """

    def __init__(self, share: float) -> None:
        """Create a tracker without services."""
        self.strains = strains.create_tracker()
        self._share = share
        self._grants: dict[
            identifiers.ServiceName, collections.deque[float]
        ] = {}
        self._trials = probing.TrialLimit()
        #: When the last request was sent, in seconds.
        self.last_request_at = -math.inf
        self._last_used: dict[identifiers.UpstreamId, float] = {}
        self._last_failed: dict[identifiers.UpstreamId, _Failure] = {}
        self._usage_log = usages.create_usage_log()

    def record_use(
        self,
        service: identifiers.ServiceName,
        upstream: identifiers.UpstreamId,
        now: float,
        *,
        is_trial: bool = False,
    ) -> None:
        """Record that a request is sent to an upstream.

        :param is_trial: whether it most likely fails and can't be sent again.
        """
        self._list_grants(service, now).append(now)
        self._trials.record_request(service, is_trial=is_trial)
        self._last_used[upstream] = now
        self.last_request_at = now

    def count_requests(
        self, service: identifiers.ServiceName, since: float
    ) -> int:
        """Return the requests sent since a time in the last window."""
        grants = self._grants.get(service, ())
        return sum(sent_at >= since for sent_at in grants)

    def record_failure(
        self,
        upstream: identifiers.UpstreamId,
        now: float,
    ) -> None:
        """Record a failure of an upstream."""
        known = self._last_failed.get(upstream)
        in_a_row = 1 if known is None else known.in_a_row + 1
        self._last_failed[upstream] = _Failure(now, in_a_row)

    def record_success(self, upstream: identifiers.UpstreamId) -> None:
        """Record a success of an upstream."""
        known = self._last_failed.get(upstream)
        if known is not None:
            self._last_failed[upstream] = _Failure(known.at, 0)

    def retain(
        self,
        upstreams: typing.Container[identifiers.UpstreamId],
    ) -> None:
        """Drop the state of all other upstreams."""
        self._last_used = _retain(self._last_used, upstreams)
        self._last_failed = _retain(self._last_failed, upstreams)

    def select_candidates(
        self,
        service: identifiers.ServiceName,
        candidates: list[selection.Candidate],
        now: float,
        *,
        is_repeatable: bool = False,
    ) -> list[selection.Candidate]:
        """Return the candidates of which one must be used to reach the floor.

        They take precedence while too few upstreams of the region are in use,
        or of another region that gets too few requests. Those without
        heartbeats, and those to which the host has just failed to connect, are
        left out.

        :param is_repeatable: whether the request may be sent again.
        """
        self._log_usage(service, candidates, now)
        near = [one for one in candidates if _is_near(one)]
        if not self._can_reach_floor(service, len(near), now):
            near = [one for one in near if one.is_same_region]
        if not is_repeatable and self.strains.is_strained(service, now):
            region = [
                one
                for one in candidates
                if one.is_same_region and not one.is_silent
            ]
            return self._select_strained(service, near, region, now)
        policy = probing.REPEATABLE if is_repeatable else probing.UNSAFE
        may_try = is_repeatable or self._trials.may_try(service)
        return self._select_longest_idle(
            service, near, policy, now, may_try=may_try
        )

    def _select_strained(
        self,
        service: identifiers.ServiceName,
        near: list[selection.Candidate],
        region: list[selection.Candidate],
        now: float,
    ) -> list[selection.Candidate]:
        """Return the idle candidates of a service with many failures.

        Where a failure domain has few requests and many upstreams, large bodies
        from other domains are needed to use enough of them.
        """
        may_try = self._trials.may_try(service)
        return (
            self._select_longest_idle(
                service, near, probing.STRAINED, now, may_try=True
            )
            or self._select_longest_idle(
                service, region, probing.UNSAFE, now, may_try=may_try
            )
            or self._select_for_floor(near, now)
        )

    def _select_for_floor(
        self,
        candidates: list[selection.Candidate],
        now: float,
    ) -> list[selection.Candidate]:
        """Return all idle candidates if fewer than the floor are in use."""
        policy = probing.Policy(
            self._share + MARGIN_SHARE, 0.0, probing.STRAINED_COOLDOWN_SECONDS
        )
        return _select_usable(
            candidates, self._find_idle(candidates, policy, now)
        )

    def _select_longest_idle(
        self,
        service: identifiers.ServiceName,
        candidates: list[selection.Candidate],
        policy: probing.Policy,
        now: float,
        *,
        may_try: bool,
    ) -> list[selection.Candidate]:
        """Return those that are idle longest, if too few are in use.

        In another order, some would wait for several turns of the others, since
        without results they do not look better. Those that are probably gray
        come last.

        :param may_try: whether the request may go to one of these.
        """
        if not self._is_enforced(service, len(candidates), now):
            return []
        idle = self._find_idle(candidates, policy, now)
        usable = [
            one
            for one in _select_usable(candidates, idle)
            if may_try or not is_trial(one)
        ]
        ranks = [
            (
                is_trial(one),
                self._last_used.get(one.row.record.upstream, -math.inf),
            )
            for one in usable
        ]
        first = min(ranks, default=None)
        return [
            one
            for one, rank in zip(usable, ranks, strict=True)
            if rank == first
        ]

    def _is_enforced(
        self, service: identifiers.ServiceName, upstreams: int, now: float
    ) -> bool:
        """Tell whether requests are used for the floor.

        If there are too few to reach it, they are only while many fail.
        """
        return self._can_reach_floor(
            service, upstreams, now
        ) or self.strains.is_strained(service, now)

    def _can_reach_floor(
        self, service: identifiers.ServiceName, upstreams: int, now: float
    ) -> bool:
        """Tell whether there are enough requests for so many upstreams."""
        requests = len(self._list_grants(service, now))
        return requests >= self._share * upstreams

    def _find_idle(
        self,
        candidates: list[selection.Candidate],
        policy: probing.Policy,
        now: float,
    ) -> set[identifiers.UpstreamId]:
        """Return the idle ones of the upstreams that count, if too many."""
        in_use_since = now - IN_USE_SECONDS
        counted = 0
        idle = set()
        for candidate in candidates:
            upstream = candidate.row.record.upstream
            if candidate.sound_probability < policy.min_sound_probability:
                continue
            if self._is_cooling_down(upstream, policy, now):
                continue
            counted += 1
            if self._last_used.get(upstream, -math.inf) < in_use_since:
                idle.add(upstream)
        is_met = counted - len(idle) >= policy.used_share * counted
        return set() if is_met else idle

    def _list_grants(
        self, service: identifiers.ServiceName, now: float
    ) -> collections.deque[float]:
        """Return the times of the requests sent in the window."""
        grants = self._grants.setdefault(service, collections.deque())
        while grants and grants[0] < now - WINDOW_SECONDS:
            grants.popleft()
        return grants

    def _is_cooling_down(
        self,
        upstream: identifiers.UpstreamId,
        policy: probing.Policy,
        now: float,
    ) -> bool:
        """Tell whether an upstream failed too recently to count as sound."""
        failure = self._last_failed.get(upstream)
        if failure is None:
            return False
        return failure.at >= now - policy.find_cooldown(failure.in_a_row)

    def _log_usage(
        self,
        service: identifiers.ServiceName,
        candidates: list[selection.Candidate],
        now: float,
    ) -> None:
        """Log the use of the upstreams of the region, once in a while."""
        if not self._usage_log.is_due(service, now):
            return
        rows = [
            usages.Usage(
                now - self._last_used.get(upstream, -math.inf),
                candidate.sound_probability,
                self._is_cooling_down(upstream, probing.UNSAFE, now),
                candidate.is_full,
                candidate.overdue,
            )
            for candidate in candidates
            if candidate.is_same_region
            and not candidate.is_silent
            and (upstream := candidate.row.record.upstream)
        ]
        state = usages.ServiceState(
            len(self._list_grants(service, now)),
            self.strains.is_strained(service, now),
        )
        self._usage_log.write(service, rows, state, now)


def _is_near(candidate: selection.Candidate) -> bool:
    """Tell whether a request is sent to an upstream only to use it."""
    if candidate.is_silent:
        return False
    if candidate.is_uncovered:
        return candidate.distance < MAX_DISTANCE_COST + costs.REGION_COST
    return candidate.is_same_region and candidate.distance < MAX_DISTANCE_COST


def is_trial(candidate: selection.Candidate) -> bool:
    """Tell whether a request to an upstream is likely to fail."""
    return candidate.sound_probability < probing.MIN_LIKELY_PROBABILITY


def _select_usable(
    candidates: list[selection.Candidate],
    idle: set[identifiers.UpstreamId],
) -> list[selection.Candidate]:
    """Return the idle candidates that can take a request of the host."""
    return [
        one
        for one in candidates
        if one.row.record.upstream in idle
        and not one.is_full
        and not one.is_unreachable
    ]


_State = typing.TypeVar('_State')


def _retain(
    known: dict[identifiers.UpstreamId, _State],
    upstreams: typing.Container[identifiers.UpstreamId],
) -> dict[identifiers.UpstreamId, _State]:
    return {
        upstream: state
        for upstream, state in known.items()
        if upstream in upstreams
    }
