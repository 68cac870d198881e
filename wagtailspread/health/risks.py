"""How likely a request fails at each upstream, from the work of all hosts.

An upstream is taken to be in one of two states: sound, or gray, in which it
fails most of its requests while its health path says that all is well. Each
result moves the probability of the gray state by Bayes' rule, and without
results it drifts back to what is usual. So one failure is enough to send
unsafe work elsewhere, and a single ordinary error is soon made up for.

>>> table = RiskTable()
>>> table.add_failures('u1', 1.0)
>>> table.find_risk('u1', 1.0) > 4 * table.find_risk('u2', 1.0)
True
>>> table.add_successes('u1', 5, 2.5, 1.1)
>>> table.find_risk('u1', 1.1) < 0.1
True

References: the forward algorithm of a hidden Markov model of two states;
P. Huang et al., Gray Failure: The Achilles' Heel of Cloud-Scale Systems, 2017.
"""

import dataclasses
import math
import typing

from wagtailspread.core import identifiers

#: Share of the requests that a sound upstream fails.
SOUND_FAILURE_SHARE = 0.015
#: Share of the requests that a gray upstream fails.
GRAY_FAILURE_SHARE = 0.7
#: Probability that an upstream is gray, to which older results drift.
USUAL_GRAY_SHARE = 0.2
#: The same for an upstream without results. It has joined of late, and gets
#: work only if it seems about as good as those that are known to be sound.
NEW_GRAY_SHARE = 0.02
#: Time constant of the drift to the usual probability, in seconds; source: the
#: users' upstreams stay gray for 9 s and more.
DRIFT_SECONDS = 9.0
#: Least and largest probability, so that a change of state is seen soon.
_LEAST = 0.004
_MOST = 0.99
#: Odds that an upstream is at fault if a host cannot open a connection; the
#: path of that host may be at fault instead.
UNREACHABLE_ODDS = 4.0
#: Weight of the newest good answers in the mean time of an upstream.
_TIME_WEIGHT = 0.2
#: Time for which a refusal to run a request counts as being full, in seconds.
SHED_SECONDS = 0.7


@dataclasses.dataclass(slots=True)
class Doubt:
    """What is known of one upstream.

    :param gray: probability of the gray state at ``updated_at``.
    :param mean_seconds: time of its good answers; 0 before the first.
    :param shed_at: when it last refused to run a request.
    """

    gray: float = USUAL_GRAY_SHARE
    updated_at: float = -math.inf
    mean_seconds: float = 0.0
    shed_at: float = -math.inf


class RiskTable:
    """The probability of failure of each upstream."""

    def __init__(self) -> None:
        """Start knowing nothing."""
        self._doubts: dict[identifiers.UpstreamId, Doubt] = {}

    def add_successes(
        self,
        upstream: identifiers.UpstreamId,
        count: int,
        seconds: float,
        now: float,
    ) -> None:
        """Count good answers.

        :param seconds: time that they took together.
        """
        doubt = self._find(upstream)
        odds = (1 - GRAY_FAILURE_SHARE) / (1 - SOUND_FAILURE_SHARE)
        _update(doubt, odds**count, now)
        mean = seconds / count
        if doubt.mean_seconds:
            mean = _TIME_WEIGHT * mean + (1 - _TIME_WEIGHT) * doubt.mean_seconds
        doubt.mean_seconds = mean

    def add_failures(
        self,
        upstream: identifiers.UpstreamId,
        now: float,
        count: int = 1,
    ) -> None:
        """Count failed requests."""
        odds = GRAY_FAILURE_SHARE / SOUND_FAILURE_SHARE
        _update(self._find(upstream), odds**count, now)

    def withdraw_failure(
        self,
        upstream: identifiers.UpstreamId,
        now: float,
    ) -> None:
        """Take back the failure of a request that has an answer after all."""
        odds = SOUND_FAILURE_SHARE / GRAY_FAILURE_SHARE
        _update(self._find(upstream), odds, now)

    def add_unreachable(
        self,
        upstream: identifiers.UpstreamId,
        now: float,
        count: int = 1,
    ) -> None:
        """Count connections that could not be opened."""
        _update(self._find(upstream), UNREACHABLE_ODDS**count, now)

    def add_shed(
        self,
        upstream: identifiers.UpstreamId,
        now: float,
    ) -> None:
        """Note that an upstream refused to run a request."""
        self._find(upstream).shed_at = now

    def find_risk(
        self,
        upstream: identifiers.UpstreamId,
        now: float,
    ) -> float:
        """Return the probability that the next request fails."""
        gray = self.find_gray(upstream, now)
        extra = GRAY_FAILURE_SHARE - SOUND_FAILURE_SHARE
        return SOUND_FAILURE_SHARE + gray * extra

    def find_gray(
        self,
        upstream: identifiers.UpstreamId,
        now: float,
    ) -> float:
        """Return the probability that an upstream is gray."""
        doubt = self._doubts.get(upstream)
        return NEW_GRAY_SHARE if doubt is None else _drift(doubt, now)

    def find_mean_seconds(self, upstream: identifiers.UpstreamId) -> float:
        """Return the mean time of good answers in seconds, 0 if unknown."""
        doubt = self._doubts.get(upstream)
        return 0.0 if doubt is None else doubt.mean_seconds

    def has_shed(
        self,
        upstream: identifiers.UpstreamId,
        now: float,
    ) -> bool:
        """Tell whether an upstream refused to run a request just now."""
        doubt = self._doubts.get(upstream)
        return doubt is not None and now - doubt.shed_at < SHED_SECONDS

    def retain(
        self,
        upstreams: typing.Container[identifiers.UpstreamId],
    ) -> None:
        """Drop what is known of all other upstreams."""
        for upstream in list(self._doubts):
            if upstream not in upstreams:
                self._doubts.pop(upstream)

    def _find(self, upstream: identifiers.UpstreamId) -> Doubt:
        doubt = self._doubts.get(upstream)
        if doubt is None:
            doubt = Doubt()
            self._doubts[upstream] = doubt
        return doubt


def _drift(doubt: Doubt, now: float) -> float:
    """Return the probability of the gray state now."""
    passed = max(0.0, now - doubt.updated_at)
    kept = math.exp(-passed / DRIFT_SECONDS)
    return USUAL_GRAY_SHARE + (doubt.gray - USUAL_GRAY_SHARE) * kept


def _update(doubt: Doubt, odds: float, now: float) -> None:
    """Apply a likelihood ratio of the gray state against the sound one."""
    gray = _drift(doubt, now)
    gray = gray * odds / (gray * odds + 1 - gray)
    doubt.gray = min(max(gray, _LEAST), _MOST)
    doubt.updated_at = now
