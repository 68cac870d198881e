"""Results of real work, in compact rows for each upstream and domain.

Every upstream has one cell for each failure domain that results came from,
and one for all of them. A cell holds

- the *run*: the results since the failures began, found by a cumulative sum
  that restarts at zero (Page's test), so that old successes do not dilute a
  fault that has just begun; and the same for slow answers;
- a *fast* and a *slow* window of counts that decay with age: the fast one
  tells what the peers do now, the slow one collects enough samples for a
  small share of failures or for low traffic;
- sums of the logarithms of the seconds of successes: a heavy tail or a mix of
  short and long work hardly moves their mean, and a difference of two means
  is a factor between upstreams.

Windows decay all at once, so that their sum over all upstreams is kept
alongside instead of being added up.

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
#: Time constant of the times of successful answers, in seconds.
TIMES_SECONDS = 4.0
#: Time between two decays, in seconds.
DECAY_SECONDS = 0.5
#: A row with fewer weighted samples than this is cleared.
NEGLIGIBLE = 0.02
#: Shortest time that is told apart, in seconds.
SHORTEST_SECONDS = 0.0001
#: Half of the shift of the logarithm of the seconds that a run looks for.
SLOW_DRIFT = 0.6
#: Time after which the set of hosts that saw failures starts anew, seconds.
HOSTS_SECONDS = 2.0
#: Bits that mark the hosts that saw results.
HOST_BITS = 31
#: Time after which moments are counted from a later start, in seconds. In
#: single precision they are exact to half a millisecond until then.
EPOCH_SECONDS = 3600.0
#: Weighted failures of a domain below which it is not looked at.
SUSPICIOUS_FAILURES = 2.5
#: Share of failures below which it is not looked at, unless a run is on.
SUSPICIOUS_RATIO = 0.1
#: How far above the service's share it must be. An upstream counts in that
#: share itself, so that this is less than what a verdict requires.
SUSPICIOUS_EXCESS = 0.02

#: Number of the cell that holds the results from all domains.
ALL_DOMAINS = 0

_NEUTRAL = frozenset(
    (
        outcomes.ExchangeResult.SILENT,
        outcomes.ExchangeResult.SHED,
        outcomes.ExchangeResult.CANCELLED,
    )
)


def is_neutral(outcome: outcomes.ExchangeResult) -> bool:
    """Tell whether a result says nothing about the upstream's health.

    >>> is_neutral(outcomes.ExchangeResult.SHED)
    True
    """
    return outcome in _NEUTRAL


class Evidence:
    """The cells of all upstreams of one service. Rows are small numbers.

    :param index: numbers of hosts, shared with other tables.
    """

    def __init__(self, index: authority.HostIndex) -> None:
        """Start without rows."""
        self.domains: list[identifiers.FailureDomain] = []
        self.active: set[int] = set()
        self.usual_logarithm = math.inf
        #: Results and failures of all upstreams since the start.
        self.samples = 0
        self.failures = 0
        self._index = index
        self._width = 1
        self._cells = array.array('f')
        self._totals = cells.create_totals()
        # Hosts as bits: of this period, and of this and the one before.
        self._failing_hosts = array.array('I')
        self._seen_hosts = array.array('I')
        self._failing_lately = array.array('I')
        self._seen_lately = array.array('I')
        self._decayed_at = 0.0
        self._hosts_since = 0.0
        self._epoch: float | None = None

    def ensure_row(self, row: int) -> None:
        """Make room for ``row``."""
        while len(self._seen_hosts) <= row:
            cells.grow(self._cells, self._width * cells.FIELDS)
            for column in self._host_columns():
                column.append(0)

    def record(
        self,
        row: int,
        host: identifiers.HostId,
        domain: identifiers.FailureDomain,
        outcome: outcomes.ExchangeResult,
        seconds: float,
        now: float,
    ) -> None:
        """Add one result that is not neutral.

        :param seconds: time at the upstream; used for successes only.
        """
        if self._epoch is None:
            self._epoch = now
        number = self._find_domain(domain)
        base = row * self._width * cells.FIELDS
        bit = 1 << self._index.find(host, now) % HOST_BITS
        self._seen_hosts[row] |= bit
        self._seen_lately[row] |= bit
        self.active.add(row)
        moment = now - self._epoch
        cell = base + number * cells.FIELDS
        self.samples += 1
        if outcome is outcomes.ExchangeResult.SUCCESS:
            self._add_success(base, cell, seconds, moment)
            return
        self.failures += 1
        self._failing_hosts[row] |= bit
        self._failing_lately[row] |= bit
        is_answer = outcome is outcomes.ExchangeResult.ERROR
        cells.add_window_failure(self._cells, cell, is_answer)
        cells.add_window_failure(self._totals, 0, is_answer)
        cells.add_run_failure(self._cells, base, is_answer, moment)
        cells.add_run_failure(self._cells, cell, is_answer, moment)

    def summarize(
        self,
        row: int,
        number: int = ALL_DOMAINS,
    ) -> summaries.Summary:
        """Return the windows of a cell.

        :param number: number of the domain, or all of them.
        """
        numbers = [number] if number else range(1, self._width)
        windows = []
        for one in numbers:
            base = (row * self._width + one) * cells.FIELDS
            windows.append(self._cells[base : base + cells.WINDOW_FIELDS])
        if len(windows) == 1:
            return summaries.create_summary(windows[0])
        return summaries.create_summary(
            [sum(fields) for fields in zip(*windows, strict=True)],
        )

    def summarize_all(self) -> summaries.Summary:
        """Return the windows of all upstreams together."""
        return summaries.create_summary(self._totals)

    def find_run(self, row: int, number: int = ALL_DOMAINS) -> summaries.Run:
        """Return the run of failures of a cell."""
        base = (row * self._width + number) * cells.FIELDS
        sums = self._cells[base : base + cells.FIELDS]
        epoch = self._epoch or 0.0
        return summaries.Run(
            summaries.Counts(
                sums[cells.RUN],
                sums[cells.RUN_BAD],
                sums[cells.RUN_ANSWERED],
            ),
            sums[cells.ONSET] + epoch,
            sums[cells.LAST_GOOD] + epoch,
            sums[cells.LAST_BAD] + epoch,
        )

    def find_late_run(
        self,
        row: int,
        number: int = ALL_DOMAINS,
    ) -> summaries.LateRun:
        """Return the run of slow answers of a cell."""
        base = (row * self._width + number) * cells.FIELDS
        return summaries.LateRun(
            self._cells[base + cells.LATE],
            self._cells[base + cells.LATE_TOTAL],
            self._cells[base + cells.LATE_ONSET] + (self._epoch or 0.0),
        )

    def is_suspicious(self, row: int, usual: float) -> bool:
        """Tell at little cost whether the failures of a row may matter.

        :param usual: share of failures in the slow window of the service.
        """
        limit = max(SUSPICIOUS_RATIO, usual + SUSPICIOUS_EXCESS)
        table = self._cells
        start = row * self._width * cells.FIELDS
        if table[start + cells.RUN_BAD] >= SUSPICIOUS_FAILURES:
            return True
        end = start + self._width * cells.FIELDS
        for base in range(start + cells.FIELDS, end, cells.FIELDS):
            if table[base + cells.RUN_BAD] >= SUSPICIOUS_FAILURES:
                return True
            failures = table[base + cells.SLOW_BAD]
            if failures > limit * table[base + cells.SLOW]:
                return True
        return False

    def count_run(self, row: int, number: int = ALL_DOMAINS) -> float:
        """Return the failures of the current run of a cell."""
        base = (row * self._width + number) * cells.FIELDS
        return self._cells[base + cells.RUN_BAD]

    def count_late(self, row: int) -> float:
        """Return the length of the run of slow answers of a row."""
        return self._cells[row * self._width * cells.FIELDS + cells.LATE]

    def is_single_host(self, row: int) -> bool:
        """Tell whether one host alone saw failures, while others worked."""
        failing = self._failing_lately[row].bit_count()
        return failing == 1 and self._seen_lately[row].bit_count() > 1

    def clear(self, row: int) -> None:
        """Forget all results of ``row``."""
        for number in range(self._width):
            self._clear_cell(row, number)
        for column in self._host_columns():
            column[row] = 0
        self.active.discard(row)
        if not self.active:
            self._totals = cells.create_totals()

    def forget_domain(
        self,
        row: int,
        domain: identifiers.FailureDomain,
    ) -> None:
        """Forget the results of ``row`` that came from one domain."""
        number = self._find_domain(domain)
        self._clear_cell(row, number)
        self._clear_cell(row, ALL_DOMAINS)

    def decay(self, now: float) -> None:
        """Let the weight of past results shrink to their age at ``now``."""
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
        if now - self._hosts_since > HOSTS_SECONDS:
            self._hosts_since = now
            self._forget_hosts()
        if self._epoch is not None and now - self._epoch > EPOCH_SECONDS:
            self._move_epoch(now)

    def _add_success(
        self,
        base: int,
        cell: int,
        seconds: float,
        moment: float,
    ) -> None:
        logarithm = math.log(max(seconds, SHORTEST_SECONDS))
        cells.add_window_success(self._cells, cell, logarithm)
        cells.add_window_success(self._totals, 0, logarithm)
        cells.add_run_success(self._cells, base, moment)
        cells.add_run_success(self._cells, cell, moment)
        excess = logarithm - self.usual_logarithm - SLOW_DRIFT
        if excess > 0 or self._cells[base + cells.LATE]:
            cells.add_late(self._cells, base, logarithm, excess, moment)
        if excess > 0 or self._cells[cell + cells.LATE]:
            cells.add_late(self._cells, cell, logarithm, excess, moment)

    def _clear_cell(self, row: int, number: int) -> None:
        base = (row * self._width + number) * cells.FIELDS
        for field in range(cells.FIELDS):
            if field < cells.WINDOW_FIELDS:
                self._totals[field] -= self._cells[base + field]
            self._cells[base + field] = 0

    def _decay_row(self, row: int, factors: tuple[float, ...]) -> None:
        table = self._cells
        start = row * self._width * cells.FIELDS
        end = start + self._width * cells.FIELDS
        remaining = 0.0
        for base in range(start + cells.FIELDS, end, cells.FIELDS):
            if not table[base + cells.SLOW]:
                continue
            for field, factor in enumerate(factors, base):
                table[field] *= factor
            remaining += table[base + cells.SLOW]
        if remaining < NEGLIGIBLE:
            self.clear(row)

    def _forget_hosts(self) -> None:
        for row in self.active:
            self._failing_lately[row] = self._failing_hosts[row]
            self._seen_lately[row] = self._seen_hosts[row]
            self._failing_hosts[row] = 0
            self._seen_hosts[row] = 0

    def _host_columns(self) -> 'tuple[array.array[int], ...]':
        return (
            self._failing_hosts,
            self._seen_hosts,
            self._failing_lately,
            self._seen_lately,
        )

    def _move_epoch(self, now: float) -> None:
        passed = now - (self._epoch or 0.0)
        self._epoch = now
        for moment in cells.MOMENTS:
            for position in range(moment, len(self._cells), cells.FIELDS):
                self._cells[position] -= passed

    def _find_domain(self, domain: identifiers.FailureDomain) -> int:
        try:
            return self.domains.index(domain) + 1
        except ValueError:
            self.domains.append(domain)
        self._cells = cells.widen(self._cells, self._width)
        self._width += 1
        return len(self.domains)
