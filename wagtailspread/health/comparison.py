"""Statistical comparison of one upstream with its peers.

Scores are in standard deviations, so that a threshold decides fast with many
samples and cautiously with few. An effect that matters and a shortest
duration are required too, so that neither many samples nor one burst turn a
harmless difference into a verdict.

References: likelihood-ratio (G) test of two proportions.
"""

import math

from wagtailspread.health import summaries

#: Score above which a difference is not chance: about 1e-9 for one
#: comparison. A run is chosen as the worst one, which raises its score.
CERTAIN_SCORE = 6.25
#: The same for failures without an answer. Healthy peers have hardly any, so
#: that three in a row at an upstream with three slots are enough.
CERTAIN_UNANSWERED_SCORE = 5.5
#: Failures below which nothing is decided: three, less their decay.
MIN_FAILURES = 2.5
#: Share of failures above the peers' that matters.
MIN_EXCESS = 0.1
#: Failures as a multiple of the peers' ratio that matter.
MIN_RATIO_FACTOR = 2.0
#: Share of failing results at the peers above which the fault is common.
COMMON_RATIO = 0.5
#: Slow answers below which nothing is decided.
MIN_TIMES = 6.0
#: Factor between the times of an upstream and of its peers that matters.
MIN_SLOWDOWN = 2.5
#: Extra time that matters, in seconds. New connections (1 ms), the way to
#: another failure domain (3 ms) and a busy host explain less than this.
MIN_EXTRA_SECONDS = 0.02
#: Smallest variance of a logarithm of seconds, against identical times.
MIN_VARIANCE = 0.1
#: Deviations of the logarithm beyond which an open request is overdue.
HANG_DEVIATIONS = 4.0
#: Shortest age at which an open request is overdue, in seconds.
HANG_SECONDS = 0.5


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


def score_slowness(
    own: summaries.LateRun,
    usual: float,
    variance: float,
) -> float:
    """Return by how many standard deviations a run is slower than usual.

    :param usual: mean logarithm of the seconds of the peers.
    :param variance: variance of the logarithm at the peers.
    """
    if not own.count:
        return 0.0
    error = max(variance, MIN_VARIANCE) / own.count
    return (own.mean - usual) / math.sqrt(error)


def is_slow(
    own: summaries.LateRun,
    usual: float,
    variance: float,
    certain: float = CERTAIN_SCORE,
) -> bool:
    """Tell whether answers take clearly longer than at the peers."""
    if own.count < MIN_TIMES or own.mean - usual < math.log(MIN_SLOWDOWN):
        return False
    if math.exp(own.mean) - math.exp(usual) < MIN_EXTRA_SECONDS:
        return False
    return score_slowness(own, usual, variance) >= certain


def compute_longest(times: summaries.Times) -> float:
    """Return seconds that hardly any successful answer takes.

    :returns: infinity without enough samples.
    """
    if times.count < MIN_TIMES:
        return math.inf
    spread = math.sqrt(times.variance)
    return max(math.exp(times.mean + HANG_DEVIATIONS * spread), HANG_SECONDS)


def _log_likelihood(counts: summaries.Counts, ratio: float) -> float:
    successes = counts.samples - counts.failures
    likelihood = 0.0
    if counts.failures > 0 and ratio > 0:
        likelihood += counts.failures * math.log(ratio)
    if successes > 0 and ratio < 1:
        likelihood += successes * math.log(1 - ratio)
    return likelihood
