"""Summaries of one cell of evidence, or of a sum of cells."""

import dataclasses
import typing

from wagtailspread.health import cells


@dataclasses.dataclass(frozen=True, slots=True)
class Counts:
    """Numbers of results, weighted by age if they come from a window.

    :param samples: all results.
    :param failures: failures among them.
    :param answered: failures with an error answer of the upstream, which a
        fault of the path can't cause.
    """

    samples: float = 0.0
    failures: float = 0.0
    answered: float = 0.0

    @property
    def ratio(self) -> float:
        """Return the ratio of failures to samples; 0 without samples."""
        return self.failures / self.samples if self.samples else 0.0

    @property
    def unanswered(self) -> 'Counts':
        """Return the counts with error answers taken as successes."""
        return Counts(self.samples, self.failures - self.answered)

    def plus(self, other: 'Counts', sign: int = 1) -> 'Counts':
        """Return the sum of both, or the difference for ``sign`` -1."""
        return Counts(
            max(self.samples + sign * other.samples, 0),
            max(self.failures + sign * other.failures, 0),
            max(self.answered + sign * other.answered, 0),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Times:
    """Response times as count, sum and sum of squares of their logarithms.

    The response times are in seconds.
    """

    count: float = 0.0
    total: float = 0.0
    squares: float = 0.0

    @property
    def mean(self) -> float:
        """Return the mean logarithm; 0 without samples."""
        return self.total / self.count if self.count else 0.0

    @property
    def variance(self) -> float:
        """Return the variance of the logarithm."""
        if not self.count:
            return 0.0
        return max(self.squares / self.count - self.mean**2, 0.0)

    def plus(self, other: 'Times', sign: int = 1) -> 'Times':
        """Return the sum of both, or the difference for ``sign`` -1."""
        return Times(
            max(self.count + sign * other.count, 0),
            self.total + sign * other.total,
            self.squares + sign * other.squares,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Results since the onset of failures. Times are monotonic, in seconds.

    :param counts: results since the onset.
    :param onset: time of the first failure.
    """

    counts: Counts
    onset: float
    last_success: float
    last_failure: float

    def measure_duration(self, now: float) -> float:
        """Return how long the failures have lasted, in seconds.

        They last until the last failure, or until ``now`` if no request has
        succeeded since the onset.
        """
        if self.last_success < self.onset:
            return now - self.onset
        return self.last_failure - self.onset


@dataclasses.dataclass(frozen=True, slots=True)
class LateRun:
    """Run of slow answers: the answers since they became slow.

    :param count: number of answers.
    :param total: sum of the logarithms of their response times in seconds.
    :param onset: monotonic time of the first slow answer, in seconds.
    """

    count: float
    total: float
    onset: float

    @property
    def mean(self) -> float:
        """Return the mean logarithm; 0 without samples."""
        return self.total / self.count if self.count else 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Windows of one cell or of a sum of cells.

    :param fast: counts of the fast window.
    :param slow: counts of the slow window.
    :param times: response times of the successes.
    """

    fast: Counts = Counts()
    slow: Counts = Counts()
    times: Times = Times()

    def plus(self, other: 'Summary', sign: int = 1) -> 'Summary':
        """Return the sum of both, or the difference for ``sign`` -1."""
        return Summary(
            self.fast.plus(other.fast, sign),
            self.slow.plus(other.slow, sign),
            self.times.plus(other.times, sign),
        )


def create_summary(window: typing.Sequence[float]) -> Summary:
    """Return the summary of the window fields of a cell."""
    return Summary(
        Counts(
            window[cells.FAST],
            window[cells.FAST_FAILURES],
            window[cells.FAST_ANSWERED],
        ),
        Counts(
            window[cells.SLOW],
            window[cells.SLOW_FAILURES],
            window[cells.SLOW_ANSWERED],
        ),
        Times(
            window[cells.TIMES],
            window[cells.TIMES_SUM],
            window[cells.TIMES_SQUARES],
        ),
    )


def sum_summaries(summaries: typing.Iterable[Summary]) -> Summary:
    """Return the sum of several summaries."""
    total = Summary()
    for summary in summaries:
        total = total.plus(summary)
    return total
