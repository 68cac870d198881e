"""Results of requests in compact rows for each upstream and failure domain.

Every upstream has one cell for each failure domain that sent results, and one
for all domains together. A cell holds

- the *run*: the results since the onset of failures, found by a cumulative
  sum that is reset at zero (Page's test), so that old successes do not dilute
  a fault that has just begun; and the *late* run, the answers since they
  became slow, found in the same manner;
- a *fast* and a *slow* window, which are counts that decay exponentially: the
  fast one shows the present state of the peers, the slow one collects enough
  samples to detect a small share of failures or a fault under low traffic;
- sums of the logarithms of the response times of successes: a heavy tail or a
  mix of short and long requests hardly changes their mean, and a difference
  of two means is a factor between upstreams.

All windows decay at the same time, so that their sum over all upstreams is
maintained incrementally.

References: E. S. Page, Continuous inspection schemes, Biometrika 41 (1954).
See also: :mod:`wagtailspread.health.comparison`.
"""

import array
import math

from wagtailspread.core import identifiers, outcomes
from wagtailspread.health import authority, cells, summaries

#: Time constant of the fast window, in seconds.
FAST_SECONDS = 1.5
#: Time constant of the slow window, in seconds.
SLOW_SECONDS = 15.0
#: Time constant of the response times of successes, in seconds.
TIMES_SECONDS = 4.0
#: Shortest time between two decays of the windows, in seconds.
DECAY_SECONDS = 0.5
#: Weighted samples of a row below which it is cleared.
NEGLIGIBLE_SAMPLES = 0.02
#: Shorter response times count as this one, in seconds.
MIN_RESPONSE_SECONDS = 0.0001
#: Drift of the cumulative sum of slow answers: half of the shift of the
#: logarithm of the response time that it detects.
SLOW_DRIFT = 0.6
#: Period after which a new set of hosts with results is started, in seconds.
HOST_PERIOD_SECONDS = 2.0
#: Number of bits that mark the hosts with results; hosts share bits.
HOST_BITS = 31
#: Time after which the epoch of the timestamps is advanced, in seconds. In
#: single precision they are accurate to half a millisecond until then.
EPOCH_SECONDS = 3600.0
#: Failures in a run at which a row is examined.
SUSPICIOUS_FAILURES = 2.5
#: Share of failures in the slow window above which a row is examined.
SUSPICIOUS_RATIO = 0.1
#: Excess of that share over the share of the whole service. The upstream is
#: part of the service, so this is less than the excess that a fault requires.
SUSPICIOUS_EXCESS = 0.02

#: Number of the cell with the results from all domains.
ALL_DOMAINS = 0

_NEUTRAL = frozenset(
    (
        outcomes.ExchangeResult.SILENT,
        outcomes.ExchangeResult.SHED,
        outcomes.ExchangeResult.CANCELLED,
    )
)


def is_neutral(result: outcomes.ExchangeResult) -> bool:
    """Return whether a result is no evidence about the upstream's health.

    >>> is_neutral(outcomes.ExchangeResult.SHED)
    True
    """
    return result in _NEUTRAL


class EvidenceTable:
    """Cells of all upstreams of one service; a row is a small number.

    :param index: positions of hosts, shared with other tables.
    """

    def __init__(self, index: authority.HostIndex) -> None:
        """Create a table without rows."""
        self.domains: list[identifiers.FailureDomain] = []
        self.active: set[int] = set()
        self.baseline_logarithm = math.inf
        #: Results and failures of all upstreams since the start.
        self.samples = 0
        self.failures = 0
        self._index = index
        self._cells_per_row = 1
        self._cells = array.array('f')
        self._totals = cells.create_totals()
        # Hosts as bits: of the current period, then of the current and the
        # previous period together.
        self._period_failing_hosts = array.array('I')
        self._period_hosts = array.array('I')
        self._recent_failing_hosts = array.array('I')
        self._recent_hosts = array.array('I')
        self._decayed_at = 0.0
        self._period_started_at = 0.0
        self._epoch: float | None = None

    def ensure_row(self, row: int) -> None:
        """Allocate the cells up to ``row``."""
        while len(self._period_hosts) <= row:
            cells.grow(self._cells, self._cells_per_row * cells.FIELDS)
            for column in self._host_columns():
                column.append(0)

    def record(
        self,
        row: int,
        host: identifiers.HostId,
        domain: identifiers.FailureDomain,
        result: outcomes.ExchangeResult,
        seconds: float,
        now: float,
    ) -> None:
        """Add one result that is not neutral.

        :param seconds: response time of the upstream; used for successes only.
        :param now: monotonic time in seconds.
        """
        if self._epoch is None:
            self._epoch = now
        number = self._find_domain(domain)
        base = row * self._cells_per_row * cells.FIELDS
        bit = 1 << self._index.find(host, now) % HOST_BITS
        self._period_hosts[row] |= bit
        self._recent_hosts[row] |= bit
        self.active.add(row)
        timestamp = now - self._epoch
        cell = base + number * cells.FIELDS
        self.samples += 1
        if result is outcomes.ExchangeResult.SUCCESS:
            self._add_success(base, cell, seconds, timestamp)
            return
        self.failures += 1
        self._period_failing_hosts[row] |= bit
        self._recent_failing_hosts[row] |= bit
        is_answer = result is outcomes.ExchangeResult.ERROR
        cells.add_window_failure(self._cells, cell, is_answer)
        cells.add_window_failure(self._totals, 0, is_answer)
        cells.add_run_failure(self._cells, base, is_answer, timestamp)
        cells.add_run_failure(self._cells, cell, is_answer, timestamp)

    def summarize(
        self,
        row: int,
        number: int = ALL_DOMAINS,
    ) -> summaries.Summary:
        """Return the windows of a cell.

        :param number: number of the domain, or ``ALL_DOMAINS``.
        """
        numbers = [number] if number else range(1, self._cells_per_row)
        windows = []
        for domain_number in numbers:
            base = (row * self._cells_per_row + domain_number) * cells.FIELDS
            windows.append(self._cells[base : base + cells.WINDOW_FIELDS])
        if len(windows) == 1:
            return summaries.create_summary(windows[0])
        return summaries.create_summary(
            [sum(fields) for fields in zip(*windows, strict=True)],
        )

    def summarize_all(self) -> summaries.Summary:
        """Return the sum of the windows of all upstreams."""
        return summaries.create_summary(self._totals)

    def find_run(self, row: int, number: int = ALL_DOMAINS) -> summaries.Run:
        """Return the run of failures of a cell."""
        base = (row * self._cells_per_row + number) * cells.FIELDS
        sums = self._cells[base : base + cells.FIELDS]
        epoch = self._epoch or 0.0
        return summaries.Run(
            summaries.Counts(
                sums[cells.RUN],
                sums[cells.RUN_FAILURES],
                sums[cells.RUN_ANSWERED],
            ),
            sums[cells.ONSET] + epoch,
            sums[cells.LAST_SUCCESS] + epoch,
            sums[cells.LAST_FAILURE] + epoch,
        )

    def find_late_run(
        self,
        row: int,
        number: int = ALL_DOMAINS,
    ) -> summaries.LateRun:
        """Return the run of slow answers of a cell."""
        base = (row * self._cells_per_row + number) * cells.FIELDS
        return summaries.LateRun(
            self._cells[base + cells.LATE],
            self._cells[base + cells.LATE_TOTAL],
            self._cells[base + cells.LATE_ONSET] + (self._epoch or 0.0),
        )

    def is_suspicious(self, row: int, baseline: float) -> bool:
        """Return whether a row has enough failures for the statistical tests.

        :param baseline: share of failures in the slow window of the service.
        """
        limit = max(SUSPICIOUS_RATIO, baseline + SUSPICIOUS_EXCESS)
        table = self._cells
        start = row * self._cells_per_row * cells.FIELDS
        if table[start + cells.RUN_FAILURES] >= SUSPICIOUS_FAILURES:
            return True
        end = start + self._cells_per_row * cells.FIELDS
        for base in range(start + cells.FIELDS, end, cells.FIELDS):
            if table[base + cells.RUN_FAILURES] >= SUSPICIOUS_FAILURES:
                return True
            failures = table[base + cells.SLOW_FAILURES]
            if failures > limit * table[base + cells.SLOW]:
                return True
        return False

    def count_run_failures(self, row: int, number: int = ALL_DOMAINS) -> float:
        """Return the failures of the current run of a cell."""
        base = (row * self._cells_per_row + number) * cells.FIELDS
        return self._cells[base + cells.RUN_FAILURES]

    def count_late_answers(self, row: int) -> float:
        """Return the number of answers in the run of slow answers of a row."""
        return self._cells[
            row * self._cells_per_row * cells.FIELDS + cells.LATE
        ]

    def has_single_failing_host(self, row: int) -> bool:
        """Return whether only one of several hosts had failures."""
        failing = self._recent_failing_hosts[row].bit_count()
        return failing == 1 and self._recent_hosts[row].bit_count() > 1

    def clear(self, row: int) -> None:
        """Discard all results of ``row``."""
        for number in range(self._cells_per_row):
            self._clear_cell(row, number)
        for column in self._host_columns():
            column[row] = 0
        self.active.discard(row)
        if not self.active:
            self._totals = cells.create_totals()

    def clear_domain(
        self,
        row: int,
        domain: identifiers.FailureDomain,
    ) -> None:
        """Discard the run and windows of one domain, and the run of ``row``."""
        number = self._find_domain(domain)
        self._clear_cell(row, number)
        self._clear_cell(row, ALL_DOMAINS)

    def decay(self, now: float) -> None:
        """Decay all windows to ``now``, in seconds, if the interval is over."""
        elapsed = now - self._decayed_at
        if elapsed < DECAY_SECONDS:
            return
        self._decayed_at = now
        fast = math.exp(-elapsed / FAST_SECONDS)
        slow = math.exp(-elapsed / SLOW_SECONDS)
        times = math.exp(-elapsed / TIMES_SECONDS)
        factors = (fast, fast, fast, slow, slow, slow, times, times, times)
        for field, factor in enumerate(factors):
            self._totals[field] *= factor
        for row in list(self.active):
            self._decay_row(row, factors)
        if now - self._period_started_at > HOST_PERIOD_SECONDS:
            self._period_started_at = now
            self._rotate_host_periods()
        if self._epoch is not None and now - self._epoch > EPOCH_SECONDS:
            self._advance_epoch(now)

    def _add_success(
        self,
        base: int,
        cell: int,
        seconds: float,
        timestamp: float,
    ) -> None:
        logarithm = math.log(max(seconds, MIN_RESPONSE_SECONDS))
        cells.add_window_success(self._cells, cell, logarithm)
        cells.add_window_success(self._totals, 0, logarithm)
        cells.add_run_success(self._cells, base, timestamp)
        cells.add_run_success(self._cells, cell, timestamp)
        excess = logarithm - self.baseline_logarithm - SLOW_DRIFT
        if excess > 0 or self._cells[base + cells.LATE]:
            cells.update_late_run(
                self._cells, base, logarithm, excess, timestamp
            )
        if excess > 0 or self._cells[cell + cells.LATE]:
            cells.update_late_run(
                self._cells, cell, logarithm, excess, timestamp
            )

    def _clear_cell(self, row: int, number: int) -> None:
        base = (row * self._cells_per_row + number) * cells.FIELDS
        for field in range(cells.FIELDS):
            if field < cells.WINDOW_FIELDS:
                self._totals[field] -= self._cells[base + field]
            self._cells[base + field] = 0

    def _decay_row(self, row: int, factors: tuple[float, ...]) -> None:
        table = self._cells
        start = row * self._cells_per_row * cells.FIELDS
        end = start + self._cells_per_row * cells.FIELDS
        remaining = 0.0
        for base in range(start + cells.FIELDS, end, cells.FIELDS):
            if not table[base + cells.SLOW]:
                continue
            for field, factor in enumerate(factors, base):
                table[field] *= factor
            remaining += table[base + cells.SLOW]
        if remaining < NEGLIGIBLE_SAMPLES:
            self.clear(row)

    def _rotate_host_periods(self) -> None:
        for row in self.active:
            self._recent_failing_hosts[row] = self._period_failing_hosts[row]
            self._recent_hosts[row] = self._period_hosts[row]
            self._period_failing_hosts[row] = 0
            self._period_hosts[row] = 0

    def _host_columns(self) -> 'tuple[array.array[int], ...]':
        return (
            self._period_failing_hosts,
            self._period_hosts,
            self._recent_failing_hosts,
            self._recent_hosts,
        )

    def _advance_epoch(self, now: float) -> None:
        elapsed = now - (self._epoch or 0.0)
        self._epoch = now
        for timestamp in cells.TIMESTAMP_FIELDS:
            for position in range(timestamp, len(self._cells), cells.FIELDS):
                self._cells[position] -= elapsed

    def _find_domain(self, domain: identifiers.FailureDomain) -> int:
        try:
            return self.domains.index(domain) + 1
        except ValueError:
            self.domains.append(domain)
        self._cells = cells.widen(self._cells, self._cells_per_row)
        self._cells_per_row += 1
        return len(self.domains)
