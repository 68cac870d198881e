"""Failure probability of each upstream, by the results of all hosts.

The model has two states for an upstream: sound, or gray, in which it fails
most of its requests while its health check succeeds. Each result updates the
probability of the gray state by Bayes' rule; without results the probability
drifts to a prior. So a single failure is enough to send unsafe requests
elsewhere, and a few successes outweigh an occasional error.

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

#: Probability that a sound upstream fails a request.
SOUND_FAILURE_PROBABILITY = 0.015
#: Probability that a gray upstream fails a request.
GRAY_FAILURE_PROBABILITY = 0.7
#: Prior probability of the gray state, to which the estimate drifts.
PRIOR_GRAY_PROBABILITY = 0.2
#: Probability of the gray state without any result. Such an upstream has joined
#: recently, and gets requests only if its estimate is close to that of
#: upstreams that are known to be sound.
NEW_GRAY_PROBABILITY = 0.02
#: Time constant of the drift to the prior probability, in seconds. In the
#: operators' deployments, gray upstreams stay gray for 9 s and more.
DRIFT_SECONDS = 9.0
#: Bounds of the probability, so that a change of state is detected soon.
MIN_GRAY_PROBABILITY = 0.004
MAX_GRAY_PROBABILITY = 0.99
#: Likelihood ratio of the gray state if a host can't open a connection. It is
#: lower than that of a failure, since the path of the host may be at fault.
UNREACHABLE_LIKELIHOOD_RATIO = 4.0
#: Weight of the newest successes in the mean response time of an upstream.
_TIME_WEIGHT = 0.2
#: Time for which an upstream counts as full after it refused a request, in
#: seconds.
SHED_SECONDS = 0.7


@dataclasses.dataclass(slots=True)
class UpstreamRisk:
    """State of the estimates for one upstream.

    :param gray: probability of the gray state at ``updated_at``.
    :param updated_at: monotonic time of the last result, in seconds.
    :param mean_seconds: mean response time of successes; 0 before the first.
    :param shed_at: monotonic time of the last refused request, in seconds.
    """

    gray: float = PRIOR_GRAY_PROBABILITY
    updated_at: float = -math.inf
    mean_seconds: float = 0.0
    shed_at: float = -math.inf


class RiskEstimate(typing.NamedTuple):
    """What is known of one upstream at one moment.

    :param gray: probability of the gray state.
    :param mean_seconds: mean response time of successes; 0 before the first.
    :param has_shed: whether it recently refused to run a request.
    """

    gray: float
    mean_seconds: float
    has_shed: bool

    @property
    def failure(self) -> float:
        """Return the probability that the next request fails."""
        extra = GRAY_FAILURE_PROBABILITY - SOUND_FAILURE_PROBABILITY
        return SOUND_FAILURE_PROBABILITY + self.gray * extra


_NO_RESULTS = RiskEstimate(NEW_GRAY_PROBABILITY, 0.0, False)


class RiskTable:
    """Failure probabilities and response times of the upstreams."""

    def __init__(self) -> None:
        """Create a table without results."""
        self._risks: dict[identifiers.UpstreamId, UpstreamRisk] = {}

    def add_successes(
        self,
        upstream: identifiers.UpstreamId,
        count: int,
        seconds: float,
        now: float,
    ) -> None:
        """Count successful requests.

        :param count: number of requests, at least 1.
        :param seconds: sum of their response times.
        """
        risk = self._find(upstream)
        likelihood_ratio = (1 - GRAY_FAILURE_PROBABILITY) / (
            1 - SOUND_FAILURE_PROBABILITY
        )
        _update(risk, likelihood_ratio**count, now)
        mean = seconds / count
        if risk.mean_seconds:
            mean = _TIME_WEIGHT * mean + (1 - _TIME_WEIGHT) * risk.mean_seconds
        risk.mean_seconds = mean

    def add_failures(
        self,
        upstream: identifiers.UpstreamId,
        now: float,
        count: int = 1,
    ) -> None:
        """Count failed requests."""
        likelihood_ratio = GRAY_FAILURE_PROBABILITY / SOUND_FAILURE_PROBABILITY
        _update(self._find(upstream), likelihood_ratio**count, now)

    def withdraw_failure(
        self,
        upstream: identifiers.UpstreamId,
        now: float,
    ) -> None:
        """Revert the failure of a request that was answered after all."""
        likelihood_ratio = SOUND_FAILURE_PROBABILITY / GRAY_FAILURE_PROBABILITY
        _update(self._find(upstream), likelihood_ratio, now)

    def add_unreachable(
        self,
        upstream: identifiers.UpstreamId,
        now: float,
        count: int = 1,
    ) -> None:
        """Count connections that could not be opened."""
        _update(self._find(upstream), UNREACHABLE_LIKELIHOOD_RATIO**count, now)

    def add_shed(
        self,
        upstream: identifiers.UpstreamId,
        now: float,
    ) -> None:
        """Record that an upstream refused to run a request."""
        self._find(upstream).shed_at = now

    def estimate(
        self, upstream: identifiers.UpstreamId, now: float
    ) -> RiskEstimate:
        """Return all that is known of an upstream."""
        risk = self._risks.get(upstream)
        if risk is None:
            return _NO_RESULTS
        return RiskEstimate(
            _drift(risk, now),
            risk.mean_seconds,
            now - risk.shed_at < SHED_SECONDS,
        )

    def find_risk(
        self,
        upstream: identifiers.UpstreamId,
        now: float,
    ) -> float:
        """Return the probability that the next request fails."""
        return self.estimate(upstream, now).failure

    def find_gray_probability(
        self,
        upstream: identifiers.UpstreamId,
        now: float,
    ) -> float:
        """Return the probability that an upstream is gray."""
        risk = self._risks.get(upstream)
        return NEW_GRAY_PROBABILITY if risk is None else _drift(risk, now)

    def find_mean_seconds(self, upstream: identifiers.UpstreamId) -> float:
        """Return the mean response time of successes in seconds, 0 if none."""
        risk = self._risks.get(upstream)
        return 0.0 if risk is None else risk.mean_seconds

    def has_shed(
        self,
        upstream: identifiers.UpstreamId,
        now: float,
    ) -> bool:
        """Return whether an upstream recently refused to run a request."""
        risk = self._risks.get(upstream)
        return risk is not None and now - risk.shed_at < SHED_SECONDS

    def retain(
        self,
        upstreams: typing.Container[identifiers.UpstreamId],
    ) -> None:
        """Drop the state of all other upstreams."""
        for upstream in list(self._risks):
            if upstream not in upstreams:
                self._risks.pop(upstream)

    def _find(self, upstream: identifiers.UpstreamId) -> UpstreamRisk:
        risk = self._risks.get(upstream)
        if risk is None:
            risk = UpstreamRisk()
            self._risks[upstream] = risk
        return risk


def _drift(risk: UpstreamRisk, now: float) -> float:
    """Return the probability of the gray state now."""
    elapsed = max(0.0, now - risk.updated_at)
    remaining_weight = math.exp(-elapsed / DRIFT_SECONDS)
    return (
        PRIOR_GRAY_PROBABILITY
        + (risk.gray - PRIOR_GRAY_PROBABILITY) * remaining_weight
    )


def _update(risk: UpstreamRisk, likelihood_ratio: float, now: float) -> None:
    """Apply a likelihood ratio of the gray state against the sound one."""
    gray = _drift(risk, now)
    gray = gray * likelihood_ratio / (gray * likelihood_ratio + 1 - gray)
    risk.gray = min(max(gray, MIN_GRAY_PROBABILITY), MAX_GRAY_PROBABILITY)
    risk.updated_at = now
