"""Results of real work, in compact rows for each upstream and domain.

Every pair of an upstream and a failure domain has a cell of decayed counts in
two windows: the fast one shows a fault under high traffic within a second,
the slow one collects enough samples where traffic is low. All active cells
decay together in :meth:`Evidence.decay`, so recording only adds.

The time of successful answers is kept as sums of logarithms: a heavy tail or
a mix of short and long work hardly moves the mean of the logarithm, and a
difference of two means is a factor between upstreams.

See also: :mod:`wagtailspread.health.comparison`.
"""

import array
import dataclasses
import math
import typing

from wagtailspread.core import identifiers, outcomes

#: Time constant of the fast window, in seconds.
FAST_SECONDS = 1.5
#: Time constant of the slow window, in seconds.
SLOW_SECONDS = 15.0
#: Time constant of the times of successful answers, in seconds.
TIMES_SECONDS = 4.0
#: Time between two decays, in seconds.
DECAY_SECONDS = 0.25
#: A cell with fewer weighted samples than this is cleared.
NEGLIGIBLE = 0.02
#: Weighted failures below which a new one begins another run of failures.
FRESH_FAILURES = 0.5
#: Shortest time that is told apart, in seconds.
SHORTEST_SECONDS = 0.0001
#: Time after which the sets of seen hosts start anew, in seconds.
HOSTS_SECONDS = 2.0
#: Bits that mark the hosts that saw results.
HOST_BITS = 31
#: Hosts whose bit is remembered; the rest is counted anew.
MAX_REMEMBERED_HOSTS = 4096

_NEUTRAL = frozenset(
    (
        outcomes.ExchangeResult.SILENT,
        outcomes.ExchangeResult.SHED,
        outcomes.ExchangeResult.CANCELLED,
    )
)
# Fields of a cell: fast and slow samples and failures, then the count, sum
# and sum of squares of the logarithm of the seconds of successes.
_FIELDS = 7
_MOMENTS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Counts:
    """Results in one window, weighted by age."""

    samples: float = 0.0
    failures: float = 0.0

    @property
    def ratio(self) -> float:
        """Return failures by samples; 0 without samples."""
        return self.failures / self.samples if self.samples else 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Times:
    """Count, sum and sum of squares of logarithms of seconds."""

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


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """The windows of one cell or of a sum of cells."""

    fast: Counts = Counts()
    slow: Counts = Counts()
    times: Times = Times()

    def plus(self, other: 'Summary', sign: int = 1) -> 'Summary':
        """Return the sum of both, or the difference for ``sign`` -1."""
        return Summary(
            Counts(
                max(self.fast.samples + sign * other.fast.samples, 0),
                max(self.fast.failures + sign * other.fast.failures, 0),
            ),
            Counts(
                max(self.slow.samples + sign * other.slow.samples, 0),
                max(self.slow.failures + sign * other.slow.failures, 0),
            ),
            Times(
                max(self.times.count + sign * other.times.count, 0),
                self.times.total + sign * other.times.total,
                self.times.squares + sign * other.times.squares,
            ),
        )


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
        self._width = 1
        self._cells = array.array('f')
        self._moments = array.array('d')
        self._failing_hosts = array.array('I')
        self._seen_hosts = array.array('I')
        self._host_bits: dict[identifiers.HostId, int] = {}
        self._decayed_at = 0.0
        self._hosts_since = 0.0

    def ensure_row(self, row: int) -> None:
        """Make room for ``row``; rows are numbered without gaps."""
        missing = row + 1 - len(self._seen_hosts)
        if missing > 0:
            cells = missing * self._width
            _grow(self._cells, cells * _FIELDS)
            _grow(self._moments, cells * _MOMENTS)
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
        cell = row * self._width + self._find_domain(domain)
        base = cell * _FIELDS
        cells = self._cells
        bit = self._find_host_bit(host)
        self._seen_hosts[row] |= bit
        self.active.add(row)
        if outcome is outcomes.ExchangeResult.SUCCESS:
            self._moments[cell * _MOMENTS + 1] = now
            logarithm = math.log(max(seconds, SHORTEST_SECONDS))
            cells[base + 4] += 1
            cells[base + 5] += logarithm
            cells[base + 6] += logarithm * logarithm
        else:
            if cells[base + 1] < FRESH_FAILURES:
                self._moments[cell * _MOMENTS] = now
            self._failing_hosts[row] |= bit
            cells[base + 1] += 1
            cells[base + 3] += 1
        cells[base] += 1
        cells[base + 2] += 1

    def summarize(self, row: int) -> Summary:
        """Return the sum of the cells of ``row`` over all domains."""
        width = self._width * _FIELDS
        cells = self._cells[row * width : (row + 1) * width]
        sums = [sum(cells[field::_FIELDS]) for field in range(_FIELDS)]
        return _create_summary(sums)

    def summarize_cell(self, row: int, domain: int) -> Summary:
        """Return the cell of ``row`` and the domain with this number."""
        base = (row * self._width + domain) * _FIELDS
        return _create_summary(self._cells[base : base + _FIELDS])

    def find_onset(self, row: int, domain: int) -> float:
        """Return when the current run of failures of a cell began."""
        return self._moments[(row * self._width + domain) * _MOMENTS]

    def find_last_success(self, row: int, domain: int) -> float:
        """Return the time of the last success in a cell; 0 for none."""
        return self._moments[(row * self._width + domain) * _MOMENTS + 1]

    def is_single_host(self, row: int) -> bool:
        """Tell whether one host alone saw failures, while others worked."""
        failing = self._failing_hosts[row].bit_count()
        return failing == 1 and self._seen_hosts[row].bit_count() > 1

    def clear(self, row: int) -> None:
        """Forget all results of ``row``."""
        for domain in range(self._width):
            self.clear_cell(row, domain)
        self._failing_hosts[row] = 0
        self._seen_hosts[row] = 0
        self.active.discard(row)

    def clear_cell(self, row: int, domain: int) -> None:
        """Forget the results of one cell."""
        cell = row * self._width + domain
        for field in range(cell * _FIELDS, (cell + 1) * _FIELDS):
            self._cells[field] = 0
        for moment in range(cell * _MOMENTS, (cell + 1) * _MOMENTS):
            self._moments[moment] = 0

    def decay(self, now: float) -> None:
        """Let the weight of past results shrink to their age at ``now``."""
        elapsed = now - self._decayed_at
        if elapsed < DECAY_SECONDS:
            return
        self._decayed_at = now
        fast = math.exp(-elapsed / FAST_SECONDS)
        slow = math.exp(-elapsed / SLOW_SECONDS)
        times = math.exp(-elapsed / TIMES_SECONDS)
        factors = (fast, fast, slow, slow, times, times, times)
        for row in list(self.active):
            self._decay_row(row, factors)
        if now - self._hosts_since > HOSTS_SECONDS:
            self._hosts_since = now
            self._forget_hosts()

    def _decay_row(self, row: int, factors: tuple[float, ...]) -> None:
        cells = self._cells
        width = self._width * _FIELDS
        remaining = 0.0
        for base in range(row * width, (row + 1) * width, _FIELDS):
            if not cells[base + 2]:
                continue
            for field, factor in enumerate(factors, base):
                cells[field] *= factor
            remaining += cells[base + 2]
        if remaining < NEGLIGIBLE:
            self.clear(row)

    def _forget_hosts(self) -> None:
        for row in self.active:
            self._failing_hosts[row] = 0
            self._seen_hosts[row] = 0

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
            return self.domains.index(domain)
        except ValueError:
            self.domains.append(domain)
        if len(self.domains) > self._width:
            self._widen()
        return len(self.domains) - 1

    def _widen(self) -> None:
        self._cells = _spread(self._cells, self._width * _FIELDS)
        self._moments = _spread(self._moments, self._width * _MOMENTS)
        self._width *= 2


def _grow(column: typing.Any, length: int) -> None:
    column.frombytes(bytes(length * column.itemsize))


def _spread(column: 'array.array[float]', width: int) -> 'array.array[float]':
    wider: array.array[float] = array.array(column.typecode)
    for start in range(0, len(column), width):
        wider.extend(column[start : start + width])
        _grow(wider, width)
    return wider


def _create_summary(sums: 'list[float] | array.array[float]') -> Summary:
    return Summary(
        Counts(sums[0], sums[1]),
        Counts(sums[2], sums[3]),
        Times(sums[4], sums[5], sums[6]),
    )
