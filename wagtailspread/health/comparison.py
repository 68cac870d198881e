"""Statistical comparison of one upstream with its peers.

Scores are in standard deviations, so that one threshold gives fast decisions
with many samples and cautious ones with few. A minimum effect and a minimum
duration are required too, so that neither many samples nor a single burst turn
a harmless difference into a fault.

References: likelihood-ratio (G) test of two proportions.
"""

import math

from wagtailspread.health import summaries

#: Score from which a difference is significant, at a probability of about 1e-9
#: for one comparison. It is that strict since a run is selected as the worst
#: stretch of results, which raises its score.
CERTAIN_SCORE = 6.25
#: The same for failures without an answer. Healthy peers have hardly any, and
#: three in a row at an upstream with three slots reach this score.
CERTAIN_UNANSWERED_SCORE = 5.5
#: Fewest weighted failures for a decision: three, less their decay.
MIN_FAILURES = 2.5
#: Smallest relevant excess of the failure ratio over that of the peers.
MIN_EXCESS = 0.1
#: Smallest relevant factor between the failure ratio and that of the peers.
MIN_RATIO_FACTOR = 2.0
#: Failure ratio of the peers above which the whole service is at fault.
COMMON_RATIO = 0.5
#: Fewest samples of response times for a decision.
MIN_TIME_SAMPLES = 6.0
#: Smallest relevant factor between the response times of an upstream and its
#: peers.
MIN_SLOWDOWN = 2.5
#: Smallest relevant extra response time, in seconds. New connections (1 ms), a
#: path to another failure domain (3 ms) and a busy host cause less than this.
MIN_EXTRA_SECONDS = 0.02
#: Smallest variance of a logarithm of seconds; prevents a division by zero for
#: identical times.
MIN_VARIANCE = 0.1
#: Standard deviations of the logarithm of the response time above which an open
#: request is overdue.
OVERDUE_DEVIATIONS = 4.0
#: Shortest age at which an open request is overdue, in seconds.
MIN_OVERDUE_SECONDS = 0.5


def score_failures(own: summaries.Counts, peers: summaries.Counts) -> float:
    """Return by how many standard deviations ``own`` fails more often.

    >>> own = summaries.Counts(10, 10)
    >>> score_failures(own, summaries.Counts(100, 1)) > CERTAIN_SCORE
    True

    :returns: signed root of the likelihood ratio; 0 without samples.
    """
    samples = own.samples + peers.samples
    if not own.samples or not peers.samples:
        return 0.0
    pooled = (own.failures + peers.failures) / samples
    own_part = _log_likelihood(own, own.ratio)
    peers_part = _log_likelihood(peers, peers.ratio)
    common_part = _log_likelihood(own, pooled) + _log_likelihood(peers, pooled)
    score = math.sqrt(max(2 * (own_part + peers_part - common_part), 0))
    return score if own.ratio > peers.ratio else -score


def is_failing(
    own: summaries.Counts,
    peers: summaries.Counts,
    min_score: float = CERTAIN_SCORE,
) -> bool:
    """Return whether an upstream fails significantly more than its peers.

    :param min_score: smallest significant score in standard deviations.
    """
    if own.failures < MIN_FAILURES or peers.ratio > COMMON_RATIO:
        return False
    excess = max(
        peers.ratio + MIN_EXCESS,
        peers.ratio * MIN_RATIO_FACTOR,
    )
    if own.ratio < min(excess, 1.0):
        return False
    return score_failures(own, peers) >= min_score


def score_slowness(
    own: summaries.LateRun,
    baseline: float,
    variance: float,
) -> float:
    """Return by how many standard deviations a run is slower than the peers.

    :param baseline: mean logarithm of the response times of the peers, in
        seconds.
    :param variance: variance of that logarithm.
    """
    if not own.count:
        return 0.0
    error = max(variance, MIN_VARIANCE) / own.count
    return (own.mean - baseline) / math.sqrt(error)


def is_slow(
    own: summaries.LateRun,
    baseline: float,
    variance: float,
    min_score: float = CERTAIN_SCORE,
) -> bool:
    """Return whether answers are significantly slower than the peers'.

    The parameters are those of :func:`score_slowness`.

    :param min_score: smallest significant score in standard deviations.
    """
    if own.count < MIN_TIME_SAMPLES or own.mean - baseline < math.log(
        MIN_SLOWDOWN
    ):
        return False
    if math.exp(own.mean) - math.exp(baseline) < MIN_EXTRA_SECONDS:
        return False
    return score_slowness(own, baseline, variance) >= min_score


def compute_overdue_seconds(times: summaries.Times) -> float:
    """Return the age at which an open request is overdue.

    :returns: seconds, longer than nearly all successful answers take;
        infinity without enough samples.
    """
    if times.count < MIN_TIME_SAMPLES:
        return math.inf
    spread = math.sqrt(times.variance)
    return max(
        math.exp(times.mean + OVERDUE_DEVIATIONS * spread), MIN_OVERDUE_SECONDS
    )


def _log_likelihood(counts: summaries.Counts, ratio: float) -> float:
    successes = counts.samples - counts.failures
    likelihood = 0.0
    if counts.failures > 0 and ratio > 0:
        likelihood += counts.failures * math.log(ratio)
    if successes > 0 and ratio < 1:
        likelihood += successes * math.log(1 - ratio)
    return likelihood
