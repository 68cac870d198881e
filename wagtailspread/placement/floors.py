"""Keeps the upstreams of a service in use that may be sound.

Sending all requests to the few upstreams that look best minimizes the failures
at that moment. But an unused upstream yields no evidence: it stays suspect long
after it has recovered, and the other upstreams carry its load. So requests that
may be sent again use each upstream that may be sound within a bounded time, and
all others keep more of them in use than the floor asks: an observer who knows
which ones are sound counts a subset, of which the idle ones may be a larger
share. For large bodies this holds within each failure domain, since they do not
cross to another one. An upstream that has just failed is exempt until it may
have recovered.

If many requests fail nevertheless, the health estimates are unreliable, and a
minimum share (floor) of all upstreams is used.

>>> floors = UsageFloor(0.7)
>>> for number in range(20):
...     floors.record_completion('columns', number % 4 > 0, 0.0)
>>> floors.is_strained('columns', 0.1)
True
>>> floors.is_strained('columns', 9.0)
False
"""

import collections
import math
import typing

import logbook

from wagtailspread.core import identifiers
from wagtailspread.placement import costs, probing, selection, usages

#: Length of the sliding window of completions, in seconds.
WINDOW_SECONDS = 2.0
#: Time since its last request within which an upstream counts as in use, in
#: seconds. It is shorter than the window, since the next request has yet to
#: arrive.
IN_USE_SECONDS = 1.4
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
#: Distance cost up to which a request is sent to an idle upstream. Large bodies
#: stay in their failure domain, since local requests suffice.
MAX_DISTANCE_COST = 0.05
#: Share in addition to the floor of a strained service, so that the floor is
#: still reached when upstreams leave.
MARGIN_SHARE = 0.02

_log = logbook.Logger('placement')


class _Failure(typing.NamedTuple):
    """The last failure of an upstream.

    :param in_a_row: number of failures since the last success.
    """

    at: float
    in_a_row: int


_Completions = collections.deque[tuple[float, bool]]


class UsageFloor:
    """Tracks strained services and idle upstreams.

    :param share: minimum share of all upstreams in use while many requests
        fail.
    """

    def __init__(self, share: float) -> None:
        """Create a tracker without services."""
        self._share = share
        self._completions: dict[identifiers.ServiceName, _Completions] = {}
        self._grants: dict[
            identifiers.ServiceName, collections.deque[float]
        ] = {}
        self._trials = probing.TrialLimit()
        #: When the last request was sent, in seconds.
        self.last_request_at = -math.inf
        self._last_used: dict[identifiers.UpstreamId, float] = {}
        self._last_failed: dict[identifiers.UpstreamId, _Failure] = {}
        self._strained_until: dict[identifiers.ServiceName, float] = {}
        self._remote_strained: set[identifiers.ServiceName] = set()
        self._usage_log = usages.create_usage_log()

    def replace_remote_strained(
        self,
        services: set[identifiers.ServiceName],
    ) -> None:
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

        The caller omits requests that were sent to reach the floor: they fail
        because they go to suspect upstreams, and would keep the service
        strained by themselves.
        """
        self._list_recent(service, now).append((now, is_served))

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

    def is_strained(
        self,
        service: identifiers.ServiceName,
        now: float,
    ) -> bool:
        """Return whether many requests of a service failed recently."""
        if service in self._remote_strained:
            return True
        return self._is_failing(service, now)

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
        if len(self._list_grants(service, now)) < len(near):
            near = [one for one in near if one.is_same_region]
        sound_probabilities = {
            candidate.row.record.upstream: candidate.sound_probability
            for candidate in near
        }
        idle = self.find_idle(
            service, sound_probabilities, now, is_repeatable=is_repeatable
        )
        return [
            candidate
            for candidate in near
            if candidate.row.record.upstream in idle
            and not candidate.is_full
            and not candidate.is_unreachable
        ]

    def find_idle(
        self,
        service: identifiers.ServiceName,
        sound_probabilities: dict[identifiers.UpstreamId, float],
        now: float,
        *,
        is_repeatable: bool = False,
    ) -> set[identifiers.UpstreamId]:
        """Return the idle upstreams if too few are in use, else an empty set.

        A service with fewer requests than upstreams cannot reach the floor, so
        none are returned for it.

        :param sound_probabilities: the probability that each upstream is
            sound. Those that failed a request recently, or are most likely
            gray, are ignored, the latter unless the service is strained.
        :param is_repeatable: whether the request may be sent again. Its failure
            costs only a retry, so it may go to any upstream.
        """
        grants = self._list_grants(service, now)
        if len(grants) < len(sound_probabilities):
            return set()
        policy = probing.REPEATABLE if is_repeatable else probing.UNSAFE
        idle = self._select_idle(sound_probabilities, policy, now)
        if not is_repeatable and not self._trials.may_try(service):
            idle = {
                upstream
                for upstream in idle
                if sound_probabilities[upstream]
                >= probing.MIN_LIKELY_PROBABILITY
            }
        if idle or not self.is_strained(service, now):
            return idle
        floor = probing.Policy(
            self._share + MARGIN_SHARE, 0.0, probing.STRAINED_COOLDOWN_SECONDS
        )
        return self._select_idle(sound_probabilities, floor, now)

    def _select_idle(
        self,
        sound_probabilities: dict[identifiers.UpstreamId, float],
        policy: probing.Policy,
        now: float,
    ) -> set[identifiers.UpstreamId]:
        """Return the idle ones of the upstreams that count, if too many."""
        in_use_since = now - IN_USE_SECONDS
        counted = 0
        idle = set()
        for upstream, probability in sound_probabilities.items():
            if probability < policy.min_sound_probability:
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
            self.is_strained(service, now),
        )
        self._usage_log.write(service, rows, state, now)

    def _log_strain(self, service: identifiers.ServiceName, now: float) -> None:
        recent = self._list_recent(service, now)
        failed = sum(not is_served for _, is_served in recent)
        _log.info(
            'service strained',
            extra={
                'service': service,
                'completions': len(recent),
                'failed': failed,
            },
        )

    def _is_failing(
        self,
        service: identifiers.ServiceName,
        now: float,
    ) -> bool:
        completions = self._list_recent(service, now)
        failed = sum(not is_served for _, is_served in completions)
        min_failed = max(MIN_FAILURES, STRAINED_SHARE * len(completions))
        return len(completions) >= MIN_COMPLETIONS and failed >= min_failed

    def _list_recent(
        self,
        service: identifiers.ServiceName,
        now: float,
    ) -> _Completions:
        """Return the completions in the window; drop older ones."""
        completions = self._completions.setdefault(service, collections.deque())
        while completions and completions[0][0] < now - WINDOW_SECONDS:
            completions.popleft()
        return completions


def _is_near(candidate: selection.Candidate) -> bool:
    """Tell whether a request is sent to an upstream only to use it."""
    if candidate.is_silent:
        return False
    if candidate.is_uncovered:
        return candidate.distance < MAX_DISTANCE_COST + costs.REGION_COST
    return candidate.is_same_region and candidate.distance < MAX_DISTANCE_COST


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
