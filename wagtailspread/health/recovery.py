"""Trials by which an ejected upstream comes back.

A trial is one request of real work. The first follows a second after the
ejection; a failed one doubles the interval, and so does each ejection of an
upstream that was ejected shortly before.
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
#: Longest time between the trials of an upstream that stays bad, in seconds.
LONGEST_TRIAL_SECONDS = 16.0
#: Longest time from an ejection to the first trial of a flapper, in seconds.
LONGEST_FLAP_SECONDS = 64.0
#: Time between trials while they succeed, in seconds.
CONFIRMATION_SECONDS = 0.1
#: Successful trials in a row that bring an upstream back.
CONFIRMATIONS = 3
#: Most confirmations that a flapper needs.
MAX_CONFIRMATIONS = 10
#: Chance that an upstream as bad as before passes all trials.
CHANCE = 0.1
#: Healthy time that takes back one doubling, in seconds.
FORGIVE_SECONDS = 60.0
#: Share by which intervals vary, so that trials of many upstreams spread.
JITTER = 0.1


@dataclasses.dataclass(slots=True)
class Ejection:
    """An upstream that gets nothing but trials.

    :param badness: score that decides which one is readmitted first.
    :param next_trial: time of the next trial, in seconds.
    :param claimed_at: time at which a running trial was claimed.
    :param successes: good trials in a row.
    :param logarithms: sum of the logarithms of their seconds.
    """

    reason: reports.Reason
    badness: float
    since: float
    interval: float
    next_trial: float
    claimed_at: float | None = None
    successes: int = 0
    logarithms: float = 0.0
    has_early_trial: bool = False


@dataclasses.dataclass(slots=True)
class FlapRecord:
    """How often an upstream was ejected, less what time has forgiven."""

    level: float
    updated_at: float


class FlapTable:
    """Records of the upstreams that were ejected lately."""

    def __init__(self, random: random_module.Random) -> None:
        """Start without records."""
        self._random = random
        self._records: dict[int, FlapRecord] = {}

    def begin(
        self,
        row: int,
        reason: reports.Reason,
        badness: float,
        now: float,
    ) -> Ejection:
        """Return a new ejection with the interval that ``row`` deserves."""
        level = self.find_level(row, now)
        self._records[row] = FlapRecord(level + 1, now)
        wanted = FIRST_TRIAL_SECONDS * 2**level
        interval = min(wanted, LONGEST_FLAP_SECONDS)
        return Ejection(
            reason,
            badness,
            since=now,
            interval=interval,
            next_trial=now + self._vary(interval),
        )

    def find_level(self, row: int, now: float) -> float:
        """Return the number of doublings of ``row`` at ``now``."""
        found = self._records.get(row)
        if found is None:
            return 0.0
        forgiven = (now - found.updated_at) / FORGIVE_SECONDS
        return max(found.level - forgiven, 0.0)

    def finish(self, row: int, now: float) -> None:
        """Start the healthy time of ``row``, which is readmitted."""
        level = self.find_level(row, now)
        self._records[row] = FlapRecord(level, now)

    def forget(self, row: int) -> None:
        """Drop the record of ``row``."""
        self._records.pop(row, None)

    def expire(self, now: float) -> None:
        """Drop the records that are forgiven."""
        for row in list(self._records):
            if not self.find_level(row, now):
                self._records.pop(row)

    def note_success(
        self,
        row: int,
        ejected: Ejection,
        seconds: float,
        now: float,
    ) -> bool:
        """Count a good trial and tell whether there are enough in a row."""
        ejected.claimed_at = None
        ejected.successes += 1
        ejected.logarithms += math.log(
            max(seconds, evidence.SHORTEST_SECONDS),
        )
        ejected.next_trial = now + CONFIRMATION_SECONDS
        flaps = max(int(self.find_level(row, now)) - 1, 0)
        needed = count_confirmations(ejected.reason) + 2 * flaps
        return ejected.successes >= min(needed, MAX_CONFIRMATIONS)

    def note_failure(self, ejected: Ejection, now: float) -> None:
        """Put the next trial off after a bad one."""
        _restart(ejected)
        longest = max(LONGEST_TRIAL_SECONDS, ejected.interval)
        ejected.interval = min(ejected.interval * 2, longest)
        ejected.next_trial = now + self._vary(ejected.interval)

    def _vary(self, interval: float) -> float:
        return interval * (1 + JITTER * self._random.random())


def claim(ejected: Ejection, now: float) -> bool:
    """Take the trial that is due, if one is.

    A trial that did not report back within the interval counts as failed,
    since an upstream that hangs would otherwise collect trials.
    """
    if now < ejected.next_trial:
        return False
    if ejected.claimed_at is not None:
        _restart(ejected)
        longest = max(LONGEST_TRIAL_SECONDS, ejected.interval)
        ejected.interval = min(ejected.interval * 2, longest)
    ejected.claimed_at = now
    ejected.next_trial = now + ejected.interval
    return True


def count_confirmations(reason: reports.Reason) -> int:
    """Return how many trials in a row must succeed.

    An upstream that fails a part of its requests passes single trials by
    chance, so that it needs more of them.

    >>> count_confirmations(reports.Reason(reports.Cause.FAILURES, ratio=0.3))
    7
    """
    if reason.cause is not reports.Cause.FAILURES or reason.ratio >= 1:
        return CONFIRMATIONS
    if not reason.ratio:
        return MAX_CONFIRMATIONS
    by_chance = math.log(CHANCE) / math.log(1 - reason.ratio)
    return min(max(math.ceil(by_chance), CONFIRMATIONS), MAX_CONFIRMATIONS)


def is_still_slow(
    ejected: Ejection,
    peers: summaries.Times,
) -> bool:
    """Tell whether the good trials took far longer than the peers do."""
    if ejected.reason.cause is not reports.Cause.SLOWNESS or not peers.count:
        return False
    mean = ejected.logarithms / max(ejected.successes, 1)
    return mean - peers.mean > math.log(comparison.MIN_SLOWDOWN)


def release(ejected: Ejection, now: float) -> None:
    """Allow another trial soon, since the last one had a neutral result."""
    ejected.claimed_at = None
    ejected.next_trial = now + CONFIRMATION_SECONDS


def hasten(ejected: Ejection, now: float) -> None:
    """Start a trial early, once for each interval, on a weak signal."""
    if ejected.has_early_trial or ejected.claimed_at is not None:
        return
    ejected.has_early_trial = True
    ejected.next_trial = min(ejected.next_trial, now)


def _restart(ejected: Ejection) -> None:
    ejected.claimed_at = None
    ejected.successes = 0
    ejected.logarithms = 0
    ejected.has_early_trial = False
