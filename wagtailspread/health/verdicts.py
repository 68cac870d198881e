"""Faults that the evidence shows: of an upstream, or of one path to it."""

import dataclasses
import typing

from wagtailspread.health import comparison, evidence, reports

#: Score at which one domain's view differs from that of the others.
PATH_SCORE = 4.0
#: A success elsewhere tells of a path fault only if it came this long after
#: the first failure, since requests sent before the fault may end later.
PATH_SECONDS = 0.25
#: Score at which a fault seen in the slow window has ended in the fast one.
ENDED_SCORE = -3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault of an upstream, or of the path from one domain to it.

    :param badness: comparable between faults; higher is worse.
    :param domain: number of the domain for a path fault.
    """

    row: int
    badness: float
    reason: reports.Reason
    domain: int | None = None


class Examiner:
    """Compares each upstream with the others of its service.

    :param table: the evidence; it is only read.
    """

    def __init__(self, table: evidence.Evidence) -> None:
        """Keep the evidence."""
        self._evidence = table
        self._rows: dict[int, evidence.Summary] = {}
        self._domain_totals: dict[int, evidence.Summary] = {}

    def find_faults(self, rows: set[int]) -> list[Fault]:
        """Return the faults of the given rows, compared with each other."""
        self._domain_totals.clear()
        self._rows = {row: self._evidence.summarize(row) for row in rows}
        total = _add(self._rows.values())
        faults: list[Fault] = []
        for row, own in self._rows.items():
            faults.extend(self._examine(row, own, total.plus(own, -1)))
        return sorted(faults, key=lambda fault: -fault.badness)

    def _examine(
        self,
        row: int,
        own: evidence.Summary,
        peers: evidence.Summary,
    ) -> list[Fault]:
        if own.slow.failures >= comparison.MIN_FAILURES:
            paths = self._find_failing_paths(row)
            if paths:
                return paths
            failing = find_failing_window(own, peers)
            if failing and not self._evidence.is_single_host(row):
                return [self._report_failures(row, failing, peers)]
        if comparison.is_slow(own.times, peers.times):
            return self._report_slowness(row, own.times, peers.times)
        return []

    def _find_failing_paths(self, row: int) -> list[Fault]:
        faults = []
        for domain, _name in enumerate(self._evidence.domains):
            cell = self._evidence.summarize_cell(row, domain)
            if cell.slow.failures < comparison.MIN_FAILURES:
                continue
            failing = find_failing_window(cell, self._sum_peers(row, domain))
            if failing and self._is_path_fault(row, domain, failing):
                others = self._rows[row].plus(cell, -1)
                faults.append(
                    self._report_failures(row, failing, others, domain),
                )
        return faults

    def _is_path_fault(
        self,
        row: int,
        domain: int,
        failing: evidence.Counts,
    ) -> bool:
        since = self._evidence.find_onset(row, domain) + PATH_SECONDS
        elsewhere = [
            number
            for number in range(len(self._evidence.domains))
            if number != domain
            and self._evidence.find_last_success(row, number) > since
        ]
        others = _add(
            self._evidence.summarize_cell(row, number) for number in elsewhere
        )
        return comparison.is_failing(failing, others.fast, PATH_SCORE)

    def _sum_peers(self, row: int, domain: int) -> evidence.Summary:
        total = self._domain_totals.get(domain)
        if total is None:
            total = _add(
                self._evidence.summarize_cell(one, domain) for one in self._rows
            )
            self._domain_totals[domain] = total
        return total.plus(self._evidence.summarize_cell(row, domain), -1)

    def _report_failures(
        self,
        row: int,
        failing: evidence.Counts,
        peers: evidence.Summary,
        domain: int | None = None,
    ) -> Fault:
        names = self._evidence.domains
        seen = tuple(
            name
            for number, name in enumerate(names)
            if self._evidence.summarize_cell(row, number).slow.failures
            > evidence.FRESH_FAILURES
        )
        reason = reports.Reason(
            reports.Cause.FAILURES,
            failing.samples,
            failing.failures,
            failing.ratio,
            peers.fast.ratio,
            seen if domain is None else (names[domain],),
        )
        return Fault(row, 1 + failing.ratio, reason, domain)

    def _report_slowness(
        self,
        row: int,
        own: evidence.Times,
        peers: evidence.Times,
    ) -> list[Fault]:
        slowdown = comparison.compute_slowdown(own, peers)
        reason = reports.Reason(
            reports.Cause.SLOWNESS,
            own.count,
            0,
            slowdown,
            1,
            tuple(self._evidence.domains),
        )
        return [Fault(row, 1 - 1 / slowdown, reason)]


def find_failing_window(
    own: evidence.Summary,
    peers: evidence.Summary,
) -> evidence.Counts | None:
    """Return the window in which ``own`` clearly fails more, if one does."""
    if comparison.is_failing(own.fast, peers.fast):
        return own.fast
    if not comparison.is_failing(own.slow, peers.slow):
        return None
    if comparison.score_failures(own.fast, own.slow) < ENDED_SCORE:
        return None
    return own.slow


def _add(summaries: typing.Iterable[evidence.Summary]) -> evidence.Summary:
    total = evidence.Summary()
    for summary in summaries:
        total = total.plus(summary)
    return total
