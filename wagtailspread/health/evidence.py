"""Results of real work, in compact rows for each upstream and domain.

Every upstream has one cell for all results and one for each failure domain
that they came from. A cell holds

- the *run*: the results since the failures began, found by a cumulative sum
  that restarts at zero (Page's test), so that old successes do not dilute a
  fault that has just begun; and the same for slow answers;
- a *fast* and a *slow* window of counts that decay with age: the fast one
  tells what the peers do now, the slow one collects enough samples for a
  small share of failures or for low traffic;
- sums of the logarithms of the seconds of successes: a heavy tail or a mix of
  short and long work hardly moves their mean, and a difference of two means
  is a factor between upstreams.

References: E. S. Page, Continuous inspection schemes, Biometrika 41 (1954).
See also: :mod:`wagtailspread.health.comparison`.
"""

import array
import math
import typing

from wagtailspread.core import identifiers, outcomes
from wagtailspread.health import summaries

#: Time constant of the fast window, in seconds.
FAST_SECONDS = 1.5
#: Time constant of the slow window, in seconds.
SLOW_SECONDS = 15.0
#: Time constant of the times of successful answers, in seconds.
TIMES_SECONDS = 4.0
#: Time between two decays, in seconds.
DECAY_SECONDS = 0.25
#: A row with fewer weighted samples than this is cleared.
NEGLIGIBLE = 0.02
#: Shortest time that is told apart, in seconds.
SHORTEST_SECONDS = 0.0001
#: Weight of a failure and of a success in the cumulative sum: logarithms of
#: the ratios of 0.6 to 0.05 and of 0.4 to 0.95. A share of failures above
#: 0.26 makes the sum grow.
FAILURE_WEIGHT = math.log(0.6 / 0.05)
SUCCESS_WEIGHT = math.log(0.4 / 0.95)
#: Largest cumulative sum, so that a run ends soon after the fault.
MAX_SUM = 12.0
#: Half of the shift of the logarithm of the seconds that a run looks for.
SLOW_DRIFT = 0.6
#: Time after which the set of hosts that saw failures starts anew, seconds.
HOSTS_SECONDS = 2.0
#: Bits that mark the hosts that saw results.
HOST_BITS = 31
#: Hosts whose bit is remembered; the rest is counted anew.
MAX_REMEMBERED_HOSTS = 4096
#: Time after which moments are counted from a later start, in seconds. They
#: are kept in single precision, which is exact to half a millisecond here.
EPOCH_SECONDS = 3600.0

#: Number of the cell that holds the results from all domains.
ALL_DOMAINS = 0

_NEUTRAL = frozenset(
    (
        outcomes.ExchangeResult.SILENT,
        outcomes.ExchangeResult.SHED,
        outcomes.ExchangeResult.CANCELLED,
    )
)
# Fields of a cell.
_FAST, _FAST_BAD, _SLOW, _SLOW_BAD, _ANSWERED = range(5)
_TIMES, _TIMES_SUM, _TIMES_SQUARES = range(5, 8)
_RUN, _RUN_BAD, _RUN_ANSWERED, _RUN_SUM = range(8, 12)
_LATE, _LATE_TOTAL, _LATE_SUM, _FAST_ANSWERED = range(12, 16)
_ONSET, _LAST_GOOD, _LAST_BAD, _LATE_ONSET = range(16, 20)
_FIELDS = 20


def is_neutral(outcome: outcomes.ExchangeResult) -> bool:
    """Tell whether a result says nothing about the upstream's health.

    >>> is_neutral(outcomes.ExchangeResult.SHED)
    True
    """
    return outcome in _NEUTRAL


class Evidence:
    """The cells of all upstreams of one service. Rows are small numbers."""

    def __init__(self) -> None:
        """Start without rows."""
        self.domains: list[identifiers.FailureDomain] = []
        self.active: set[int] = set()
        self.usual_logarithm = math.inf
        self._width = 1
        self._cells = array.array('f')
        self._failing_hosts = array.array('I')
        self._seen_hosts = array.array('I')
        self._host_bits: dict[identifiers.HostId, int] = {}
        self._decayed_at = 0.0
        self._hosts_since = 0.0
        self._epoch: float | None = None

    def ensure_row(self, row: int) -> None:
        """Make room for ``row``."""
        missing = row + 1 - len(self._seen_hosts)
        if missing > 0:
            _grow(self._cells, missing * self._width * _FIELDS)
            _grow(self._failing_hosts, missing)
            _grow(self._seen_hosts, missing)

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
        base = row * self._width * _FIELDS
        cell = base + number * _FIELDS
        moment = now - self._epoch
        bit = self._find_host_bit(host)
        self._seen_hosts[row] |= bit
        self.active.add(row)
        if outcome is outcomes.ExchangeResult.SUCCESS:
            logarithm = math.log(max(seconds, SHORTEST_SECONDS))
            self._add_success(base, logarithm, moment)
            self._add_success(cell, logarithm, moment)
            return
        self._failing_hosts[row] |= bit
        is_answer = outcome is outcomes.ExchangeResult.ERROR
        self._add_failure(base, is_answer, moment)
        self._add_failure(cell, is_answer, moment)

    def summarize(
        self,
        row: int,
        number: int = ALL_DOMAINS,
    ) -> summaries.Summary:
        """Return the figures of a cell.

        :param number: number of the domain, or all of them.
        """
        base = (row * self._width + number) * _FIELDS
        sums = self._cells[base : base + _FIELDS]
        return summaries.Summary(
            summaries.Counts(
                sums[_FAST],
                sums[_FAST_BAD],
                sums[_FAST_ANSWERED],
            ),
            summaries.Counts(sums[_SLOW], sums[_SLOW_BAD], sums[_ANSWERED]),
            summaries.Times(
                sums[_TIMES],
                sums[_TIMES_SUM],
                sums[_TIMES_SQUARES],
            ),
        )

    def find_run(self, row: int, number: int = ALL_DOMAINS) -> summaries.Run:
        """Return the run of failures of a cell."""
        base = (row * self._width + number) * _FIELDS
        sums = self._cells[base : base + _FIELDS]
        epoch = self._epoch or 0.0
        return summaries.Run(
            summaries.Counts(
                sums[_RUN],
                sums[_RUN_BAD],
                sums[_RUN_ANSWERED],
            ),
            sums[_ONSET] + epoch,
            sums[_LAST_GOOD] + epoch,
            sums[_LAST_BAD] + epoch,
        )

    def find_late_run(
        self,
        row: int,
        number: int = ALL_DOMAINS,
    ) -> summaries.LateRun:
        """Return the run of slow answers of a cell."""
        base = (row * self._width + number) * _FIELDS
        sums = self._cells[base : base + _FIELDS]
        return summaries.LateRun(
            sums[_LATE],
            sums[_LATE_TOTAL],
            sums[_LATE_ONSET] + (self._epoch or 0.0),
        )

    def find_last_success(self, row: int, number: int) -> float:
        """Return the time of the last success in a cell."""
        base = (row * self._width + number) * _FIELDS
        return self._cells[base + _LAST_GOOD] + (self._epoch or 0.0)

    def is_single_host(self, row: int) -> bool:
        """Tell whether one host alone saw failures, while others worked."""
        failing = self._failing_hosts[row].bit_count()
        return failing == 1 and self._seen_hosts[row].bit_count() > 1

    def clear(self, row: int) -> None:
        """Forget all results of ``row``."""
        for number in range(self._width):
            self._clear_cell(row, number)
        self._failing_hosts[row] = 0
        self._seen_hosts[row] = 0
        self.active.discard(row)

    def forget_domain(
        self,
        row: int,
        domain: identifiers.FailureDomain,
    ) -> None:
        """Forget the results of ``row`` that came from one domain."""
        number = self._find_domain(domain)
        start = row * self._width * _FIELDS
        cell = start + number * _FIELDS
        for field in range(_ONSET):
            left = self._cells[start + field] - self._cells[cell + field]
            is_count = field != _TIMES_SUM and field != _LATE_TOTAL
            self._cells[start + field] = max(left, 0) if is_count else left
        self._clear_cell(row, number)

    def _clear_cell(self, row: int, number: int) -> None:
        base = (row * self._width + number) * _FIELDS
        for field in range(base, base + _FIELDS):
            self._cells[field] = 0

    def decay(self, now: float) -> None:
        """Let the weight of past results shrink to their age at ``now``."""
        elapsed = now - self._decayed_at
        if elapsed < DECAY_SECONDS:
            return
        self._decayed_at = now
        fast = math.exp(-elapsed / FAST_SECONDS)
        slow = math.exp(-elapsed / SLOW_SECONDS)
        times = math.exp(-elapsed / TIMES_SECONDS)
        factors = (fast, fast, slow, slow, slow, times, times, times)
        for row in list(self.active):
            self._decay_row(row, factors)
        if now - self._hosts_since > HOSTS_SECONDS:
            self._hosts_since = now
            self._forget_hosts()
        if self._epoch is not None and now - self._epoch > EPOCH_SECONDS:
            self._move_epoch(now)

    def _add_success(self, base: int, logarithm: float, moment: float) -> None:
        cells = self._cells
        cells[base + _FAST] += 1
        cells[base + _SLOW] += 1
        cells[base + _TIMES] += 1
        cells[base + _TIMES_SUM] += logarithm
        cells[base + _TIMES_SQUARES] += logarithm * logarithm
        cells[base + _LAST_GOOD] = moment
        if cells[base + _RUN]:
            remaining = cells[base + _RUN_SUM] + SUCCESS_WEIGHT
            is_over = remaining <= 0
            cells[base + _RUN_SUM] = 0 if is_over else remaining
            cells[base + _RUN] = 0 if is_over else cells[base + _RUN] + 1
            if is_over:
                cells[base + _RUN_BAD] = 0
                cells[base + _RUN_ANSWERED] = 0
        excess = logarithm - self.usual_logarithm - SLOW_DRIFT
        if excess > 0 or cells[base + _LATE]:
            self._add_time(base, logarithm, excess, moment)

    def _add_time(
        self,
        base: int,
        logarithm: float,
        excess: float,
        moment: float,
    ) -> None:
        cells = self._cells
        if not cells[base + _LATE]:
            cells[base + _LATE_ONSET] = moment
            cells[base + _LATE_TOTAL] = 0
            cells[base + _LATE_SUM] = 0
        remaining = min(cells[base + _LATE_SUM] + excess, MAX_SUM)
        if remaining <= 0:
            cells[base + _LATE] = 0
            return
        cells[base + _LATE_SUM] = remaining
        cells[base + _LATE] += 1
        cells[base + _LATE_TOTAL] += logarithm

    def _add_failure(self, base: int, is_answer: bool, moment: float) -> None:
        cells = self._cells
        cells[base + _FAST] += 1
        cells[base + _FAST_BAD] += 1
        cells[base + _SLOW] += 1
        cells[base + _SLOW_BAD] += 1
        if is_answer:
            cells[base + _ANSWERED] += 1
            cells[base + _FAST_ANSWERED] += 1
            cells[base + _RUN_ANSWERED] += 1
        cells[base + _LAST_BAD] = moment
        if not cells[base + _RUN]:
            cells[base + _ONSET] = moment
        cells[base + _RUN] += 1
        cells[base + _RUN_BAD] += 1
        grown = cells[base + _RUN_SUM] + FAILURE_WEIGHT
        cells[base + _RUN_SUM] = min(grown, MAX_SUM)

    def _decay_row(self, row: int, factors: tuple[float, ...]) -> None:
        cells = self._cells
        start = row * self._width * _FIELDS
        for number in range(self._width):
            base = start + number * _FIELDS
            if not cells[base + _SLOW]:
                continue
            for field, factor in enumerate(factors, base):
                cells[field] *= factor
            cells[base + _FAST_ANSWERED] *= factors[_FAST]
        if cells[start + _SLOW] < NEGLIGIBLE:
            self.clear(row)

    def _forget_hosts(self) -> None:
        for row in self.active:
            self._failing_hosts[row] = 0
            self._seen_hosts[row] = 0

    def _move_epoch(self, now: float) -> None:
        passed = now - (self._epoch or 0.0)
        self._epoch = now
        for field in (_ONSET, _LAST_GOOD, _LAST_BAD, _LATE_ONSET):
            for position in range(field, len(self._cells), _FIELDS):
                self._cells[position] -= passed

    def _find_host_bit(self, host: identifiers.HostId) -> int:
        bit = self._host_bits.get(host)
        if bit is None:
            if len(self._host_bits) >= MAX_REMEMBERED_HOSTS:
                self._host_bits.clear()
            bit = 1 << (len(self._host_bits) % HOST_BITS)
            self._host_bits[host] = bit
        return bit

    def _find_domain(self, domain: identifiers.FailureDomain) -> int:
        try:
            return self.domains.index(domain) + 1
        except ValueError:
            self.domains.append(domain)
        width = self._width * _FIELDS
        wider = array.array('f')
        for start in range(0, len(self._cells), width):
            wider.extend(self._cells[start : start + width])
            _grow(wider, _FIELDS)
        self._cells = wider
        self._width += 1
        return len(self.domains)


def _grow(column: typing.Any, length: int) -> None:
    column.frombytes(bytes(length * column.itemsize))
