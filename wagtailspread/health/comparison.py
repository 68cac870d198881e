"""Statistical comparison of one upstream with its peers.

Both comparisons return a score in standard deviations, so that a threshold
decides fast with many samples and cautiously with few, and both also require
an effect that matters, so that many samples do not turn a harmless difference
into a verdict.

References: likelihood-ratio (G) test of two proportions; Welch's t-test.
"""

import math

from wagtailspread.health import evidence

#: Score above which a difference is not chance. 6 is about 1e-9 for one
#: comparison; a fleet makes about 1e8 a day.
CERTAIN_SCORE = 6.0
#: Failures in a window below which nothing is decided.
MIN_FAILURES = 5.0
#: Share of failures above the peers' that matters.
MIN_EXCESS = 0.1
#: Failures as a multiple of the peers' ratio that matter.
MIN_RATIO_FACTOR = 2.0
#: Share of failing results at the peers above which the fault is common.
COMMON_RATIO = 0.5
#: Successes in the window below which the times are not compared.
MIN_TIMES = 8.0
#: Factor between the times of an upstream and of its peers that matters.
MIN_SLOWDOWN = 2.5
#: Smallest variance of a logarithm of seconds, against identical times.
MIN_VARIANCE = 0.02


def score_failures(own: evidence.Counts, peers: evidence.Counts) -> float:
    """Return by how many standard deviations ``own`` fails more often.

    >>> own = evidence.Counts(10, 10)
    >>> score_failures(own, evidence.Counts(100, 1)) > CERTAIN_SCORE
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
    own: evidence.Counts,
    peers: evidence.Counts,
    certain: float = CERTAIN_SCORE,
) -> bool:
    """Tell whether an upstream fails clearly more often than its peers."""
    if own.failures < MIN_FAILURES or peers.ratio > COMMON_RATIO:
        return False
    excess = max(
        peers.ratio + MIN_EXCESS,
        peers.ratio * MIN_RATIO_FACTOR,
    )
    if own.ratio < min(excess, 1.0):
        return False
    return score_failures(own, peers) >= certain


def compute_slowdown(own: evidence.Times, peers: evidence.Times) -> float:
    """Return the factor by which an upstream is slower than its peers."""
    if not own.count or not peers.count:
        return 1.0
    return math.exp(own.mean - peers.mean)


def score_slowness(own: evidence.Times, peers: evidence.Times) -> float:
    """Return by how many standard deviations ``own`` is slower."""
    if own.count < 2 or peers.count < 2:
        return 0.0
    error = (
        max(own.variance, MIN_VARIANCE) / own.count
        + max(peers.variance, MIN_VARIANCE) / peers.count
    )
    return (own.mean - peers.mean) / math.sqrt(error)


def is_slow(
    own: evidence.Times,
    peers: evidence.Times,
    certain: float = CERTAIN_SCORE,
) -> bool:
    """Tell whether successes take clearly longer than at the peers."""
    if min(own.count, peers.count) < MIN_TIMES:
        return False
    if compute_slowdown(own, peers) < MIN_SLOWDOWN:
        return False
    return score_slowness(own, peers) >= certain


def _log_likelihood(counts: evidence.Counts, ratio: float) -> float:
    successes = counts.samples - counts.failures
    likelihood = 0.0
    if counts.failures > 0 and ratio > 0:
        likelihood += counts.failures * math.log(ratio)
    if successes > 0 and ratio < 1:
        likelihood += successes * math.log(1 - ratio)
    return likelihood
