"""Trial requests by which an ejected upstream is readmitted.

A trial is one ordinary request. The first is due one second after the
ejection. A failed trial doubles the interval, and so does each further
ejection of an upstream that was ejected recently.
"""

import dataclasses
import math
import random as random_module

from wagtailspread.health import (
    comparison,
    evidence,
    reports,
    summaries,
)

#: Time from an ejection to the first trial, in seconds.
FIRST_TRIAL_SECONDS = 1.0
#: Longest time between failing trials of an upstream, in seconds.
MAX_TRIAL_INTERVAL_SECONDS = 16.0
#: Longest time from an ejection to the first trial of a flapping upstream, in
#: seconds.
MAX_FLAP_INTERVAL_SECONDS = 64.0
#: Time between trials while they succeed, in seconds.
CONFIRMATION_INTERVAL_SECONDS = 0.1
#: Fewest successful trials in a row for a readmission.
MIN_CONFIRMATIONS = 3
#: Most successful trials in a row that any readmission requires.
MAX_CONFIRMATIONS = 10
#: Probability that an upstream with an unchanged failure ratio passes all of
#: its trials.
MAX_FALSE_PASS_PROBABILITY = 0.1
#: Healthy time that cancels one doubling, in seconds.
FLAP_DECAY_SECONDS = 60.0
#: Largest random extension of an interval, as a share of it, so that trials of
#: many upstreams are spread over time.
JITTER_SHARE = 0.1


@dataclasses.dataclass(slots=True)
class Ejection:
    """Ejection of an upstream, which gets only trials. Times are in seconds.

    :param severity: severity of the fault; the least severe ejection is ended
        first if the floor requires it.
    :param since: time of the ejection, or of its suspension.
    :param interval: interval of the trials.
    :param next_trial: time of the next trial.
    :param claimed_at: time at which the running trial was claimed.
    :param successes: successful trials in a row.
    :param log_seconds_sum: sum of the logarithms of their response times.
    :param has_early_trial: whether a sign of health advanced the next trial.
    """

    reason: reports.Reason
    severity: float
    since: float
    interval: float
    next_trial: float
    claimed_at: float | None = None
    successes: int = 0
    log_seconds_sum: float = 0.0
    has_early_trial: bool = False


@dataclasses.dataclass(slots=True)
class FlapRecord:
    """Number of recent ejections, reduced by the healthy time since then.

    :param level: number of doublings of the interval of trials.
    :param updated_at: time in seconds at which the level was computed.
    """

    level: float
    updated_at: float


class FlapTable:
    """Records of the upstreams that were ejected recently."""

    def __init__(self, random: random_module.Random) -> None:
        """Create a table without records."""
        self._random = random
        self._records: dict[int, FlapRecord] = {}

    def create_ejection(
        self,
        row: int,
        reason: reports.Reason,
        severity: float,
        now: float,
    ) -> Ejection:
        """Return a new ejection and count it in the flap record of ``row``.

        The interval of its trials depends on the previous flap level.
        """
        level = self.compute_level(row, now)
        self._records[row] = FlapRecord(level + 1, now)
        scheduled = FIRST_TRIAL_SECONDS * 2**level
        interval = min(scheduled, MAX_FLAP_INTERVAL_SECONDS)
        return Ejection(
            reason,
            severity,
            since=now,
            interval=interval,
            next_trial=now + self._add_jitter(interval),
        )

    def compute_level(self, row: int, now: float) -> float:
        """Return the number of doublings of ``row`` at ``now``."""
        record = self._records.get(row)
        if record is None:
            return 0.0
        decayed = (now - record.updated_at) / FLAP_DECAY_SECONDS
        return max(record.level - decayed, 0.0)

    def start_healthy_period(self, row: int, now: float) -> None:
        """Start the healthy time of ``row`` at its readmission."""
        level = self.compute_level(row, now)
        self._records[row] = FlapRecord(level, now)

    def drop_row(self, row: int) -> None:
        """Drop the record of ``row``."""
        self._records.pop(row, None)

    def expire(self, now: float) -> None:
        """Drop the records whose level has decayed to zero."""
        for row in list(self._records):
            if not self.compute_level(row, now):
                self._records.pop(row)

    def record_success(
        self,
        row: int,
        ejection: Ejection,
        seconds: float,
        now: float,
    ) -> bool:
        """Count a successful trial.

        :param seconds: response time of the trial.
        :returns: whether enough trials in a row have succeeded.
        """
        ejection.claimed_at = None
        ejection.successes += 1
        ejection.log_seconds_sum += math.log(
            max(seconds, evidence.MIN_RESPONSE_SECONDS),
        )
        ejection.next_trial = now + CONFIRMATION_INTERVAL_SECONDS
        flaps = max(int(self.compute_level(row, now)) - 1, 0)
        needed = count_confirmations(ejection.reason) + 2 * flaps
        return ejection.successes >= min(needed, MAX_CONFIRMATIONS)

    def record_failure(self, ejection: Ejection, now: float) -> None:
        """Double the interval of the trials after a failed one."""
        _restart(ejection)
        longest = max(MAX_TRIAL_INTERVAL_SECONDS, ejection.interval)
        ejection.interval = min(ejection.interval * 2, longest)
        ejection.next_trial = now + self._add_jitter(ejection.interval)

    def _add_jitter(self, interval: float) -> float:
        return interval * (1 + JITTER_SHARE * self._random.random())


def claim_trial(ejection: Ejection, now: float) -> bool:
    """Claim the trial that is due, if any.

    A trial without a result within the interval counts as failed, since trials
    would otherwise accumulate at an upstream that hangs.

    :returns: whether a trial was due.
    """
    if now < ejection.next_trial:
        return False
    if ejection.claimed_at is not None:
        _restart(ejection)
        longest = max(MAX_TRIAL_INTERVAL_SECONDS, ejection.interval)
        ejection.interval = min(ejection.interval * 2, longest)
    ejection.claimed_at = now
    ejection.next_trial = now + ejection.interval
    return True


def count_confirmations(reason: reports.Reason) -> int:
    """Return the number of trials in a row that must succeed.

    An upstream that fails a share of its requests passes single trials by
    chance, so it requires more of them.

    >>> count_confirmations(reports.Reason(reports.Cause.FAILURES, ratio=0.3))
    7
    """
    if reason.cause is not reports.Cause.FAILURES or reason.ratio >= 1:
        return MIN_CONFIRMATIONS
    if not reason.ratio:
        return MAX_CONFIRMATIONS
    needed = math.log(MAX_FALSE_PASS_PROBABILITY) / math.log(1 - reason.ratio)
    return min(max(math.ceil(needed), MIN_CONFIRMATIONS), MAX_CONFIRMATIONS)


def is_still_slow(
    ejection: Ejection,
    peers: summaries.Times,
) -> bool:
    """Return whether the successful trials are much slower than the peers."""
    if ejection.reason.cause is not reports.Cause.SLOWNESS or not peers.count:
        return False
    mean = ejection.log_seconds_sum / max(ejection.successes, 1)
    return mean - peers.mean > math.log(comparison.MIN_SLOWDOWN)


def reschedule(ejection: Ejection, now: float) -> None:
    """Make the next trial due soon, after one with a neutral result."""
    ejection.claimed_at = None
    ejection.next_trial = now + CONFIRMATION_INTERVAL_SECONDS


def advance_trial(ejection: Ejection, now: float) -> None:
    """Make the next trial due at once, at most once per interval."""
    if ejection.has_early_trial or ejection.claimed_at is not None:
        return
    ejection.has_early_trial = True
    ejection.next_trial = min(ejection.next_trial, now)


def _restart(ejection: Ejection) -> None:
    ejection.claimed_at = None
    ejection.successes = 0
    ejection.log_seconds_sum = 0
    ejection.has_early_trial = False
