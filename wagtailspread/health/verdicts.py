"""Faults that the evidence shows: of an upstream, or of one path to it."""

import collections
import dataclasses
import math
import statistics

from wagtailspread.core import identifiers
from wagtailspread.health import (
    comparison,
    evidence,
    paths,
    reports,
    summaries,
)

#: Score at which one domain's view differs from that of the others.
PATH_SCORE = 4.0
#: A success elsewhere tells of a path fault only if it came this long after
#: the first failure, since requests sent before the fault may end later.
PATH_SECONDS = 0.25
#: Failures that a fault of the slow window would have caused since the last
#: one; beyond this number it has ended.
ENDED_FAILURES = 7.0
#: Share of failures that are answers above which the path is not at fault.
ANSWERED_SHARE = 0.5
#: Shortest duration of a run of failures, in seconds, so that one burst is no
#: fault of the upstream.
FAILING_SECONDS = 0.25
#: Duration from which a run is compared with the peers' slow window too.
LONG_RUN_SECONDS = 2.0
#: Score that the fast window must then reach.
AGREEING_SCORE = 2.0
#: Time for which counts of all upstreams are remembered, in seconds.
HISTORY_SECONDS = 4.0
#: Results of the peers since a run began below which they prove nothing.
MIN_PEER_SAMPLES = 20.0
#: Precision of the moment at which a run began, in seconds.
MOMENT_SECONDS = 0.001
#: Score that a run must reach against the peers' results since it began.
ONSET_SCORE = 4.0
#: Shortest duration of a run of slow answers, in seconds, so that one stall
#: of a healthy upstream is none.
SLOW_RUN_SECONDS = 1.0
#: Share of peers with a run of their own above which the fault is common.
COMMON_SHARE = 0.5

_Names = tuple[identifiers.FailureDomain, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault of an upstream, or of the path from one domain to it.

    :param badness: comparable between faults; higher is worse.
    :param domain: the failure domain for a path fault.
    """

    row: int
    badness: float
    reason: reports.Reason
    domain: identifiers.FailureDomain | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _Snapshot:
    """Results and failures of all upstreams up to a time."""

    time: float
    samples: int
    failures: int


class Examiner:
    """Compares each upstream with the others of its service.

    :param table: the evidence; only its usual time is set.
    :param path_table: the paths that are blocked; it is only read.
    """

    def __init__(
        self,
        table: evidence.Evidence,
        path_table: paths.PathTable,
    ) -> None:
        """Keep the evidence and the paths."""
        self.times = summaries.Times()
        self._paths = path_table
        self._evidence = table
        self._now = 0.0
        self._total = summaries.Summary()
        self._domain_totals: dict[int, summaries.Summary] = {}
        self._history: collections.deque[_Snapshot] = collections.deque()

    def find_faults(self, now: float) -> list[Fault]:
        """Return the faults of the upstreams with results, worst first."""
        self._now = now
        self._remember()
        self._domain_totals.clear()
        self._total = self._evidence.summarize_all()
        self._note_times(self._total.times)
        active = sorted(self._evidence.active)
        usual = self._total.slow.ratio
        suspicious = [
            row for row in active if self._evidence.is_suspicious(row, usual)
        ]
        late = [row for row in active if self._is_late(row)]
        faults: list[Fault] = []
        failing = [row for row in suspicious if self._has_failures(row)]
        if not self._is_common(failing):
            for row in suspicious:
                faults.extend(self._find_failures(row))
        known = {fault.row for fault in faults}
        for slow_row in sorted(set(late) - known):
            faults.extend(self._find_slowness(slow_row))
        return sorted(faults, key=lambda fault: (-fault.badness, fault.row))

    def _note_times(self, times: summaries.Times) -> None:
        self.times = times
        if times.count >= comparison.MIN_TIMES:
            self._evidence.usual_logarithm = times.mean
        else:
            self._evidence.usual_logarithm = math.inf

    def _is_common(self, rows: list[int]) -> bool:
        peers = len(self._evidence.active) - 1
        return len(rows) > 1 and len(rows) - 1 > COMMON_SHARE * peers

    def _is_late(self, row: int) -> bool:
        if self._evidence.count_late(row) < comparison.MIN_TIMES:
            return False
        shift = self._evidence.find_late_run(row).mean - self.times.mean
        return shift >= math.log(comparison.MIN_SLOWDOWN)

    def _find_failures(self, row: int) -> list[Fault]:
        own = self._evidence.summarize(row)
        if own.slow.failures < comparison.MIN_FAILURES:
            return []
        if self._evidence.is_single_host(row):
            return []
        if own.slow.answered <= ANSWERED_SHARE * own.slow.failures:
            path_faults = self._find_failing_paths(row)
            if path_faults:
                return path_faults
        peers = self._total.plus(own, -1)
        failing = self._find_window(row, evidence.ALL_DOMAINS, own, peers)
        if failing is None:
            return []
        reason = _explain_failures(failing, peers, self._list_seen(row))
        return [Fault(row, 1 + failing.ratio, reason)]

    def _find_window(
        self,
        row: int,
        number: int,
        own: summaries.Summary,
        peers: summaries.Summary,
    ) -> summaries.Counts | None:
        run = self._evidence.find_run(row, number)
        duration = run.measure_duration(self._now)
        if duration >= FAILING_SECONDS:
            found = _find_failing_run(run, duration, peers)
            if found and self._is_worse_since_onset(run):
                return found
        if not comparison.is_failing(own.slow, peers.slow):
            return None
        rate = own.fast.samples / evidence.FAST_SECONDS
        missed = own.slow.ratio * rate * (self._now - run.last_failure)
        return own.slow if missed < ENDED_FAILURES else None

    def _remember(self) -> None:
        self._history.append(
            _Snapshot(
                self._now,
                self._evidence.samples,
                self._evidence.failures,
            ),
        )
        while self._now - self._history[0].time > HISTORY_SECONDS:
            self._history.popleft()

    def _is_worse_since_onset(self, run: summaries.Run) -> bool:
        # The windows lag when all upstreams begin to fail in part.
        onset = run.onset - MOMENT_SECONDS
        before = [one for one in self._history if one.time < onset]
        if not before:
            return True
        then = before[-1]
        peers = summaries.Counts(
            self._evidence.samples - then.samples - run.counts.samples,
            self._evidence.failures - then.failures - run.counts.failures,
        )
        if peers.samples < MIN_PEER_SAMPLES:
            return True
        return comparison.is_failing(run.counts, peers, ONSET_SCORE)

    def _find_failing_paths(self, row: int) -> list[Fault]:
        faults = []
        for number, name in enumerate(self._evidence.domains, start=1):
            cell = self._evidence.summarize(row, number)
            if cell.slow.failures < comparison.MIN_FAILURES:
                continue
            peers = self._sum_peers(row, number)
            failing = self._find_window(row, number, cell, peers)
            if failing and self._is_path_fault(row, number, failing):
                others = self._evidence.summarize(row).plus(cell, -1)
                reason = _explain_failures(failing, others, (name,))
                faults.append(Fault(row, 1 + failing.ratio, reason, name))
        return faults

    def _is_path_fault(
        self,
        row: int,
        domain: int,
        failing: summaries.Counts,
    ) -> bool:
        others = [
            number
            for number, name in enumerate(self._evidence.domains, start=1)
            if number != domain and not self._paths.is_doubtful(row, name)
        ]
        if not others:
            return False
        if not any(self._has_failures(row, number) for number in others):
            return True
        since = self._evidence.find_run(row, domain).onset + PATH_SECONDS
        succeeding = summaries.add_all(
            self._evidence.summarize(row, number)
            for number in others
            if self._evidence.find_run(row, number).last_success > since
        )
        return comparison.is_failing(failing, succeeding.fast, PATH_SCORE)

    def _has_failures(
        self,
        row: int,
        number: int = evidence.ALL_DOMAINS,
    ) -> bool:
        failures = self._evidence.count_run(row, number)
        return failures >= comparison.MIN_FAILURES

    def _find_slowness(self, row: int) -> list[Fault]:
        late = self._evidence.find_late_run(row)
        if self._now - late.onset < SLOW_RUN_SECONDS:
            return []
        usual = self._find_usual(row)
        if not comparison.is_slow(late, usual, self.times.variance):
            return []
        faults = self._find_slow_paths(row)
        if faults:
            return faults
        names = tuple(self._evidence.domains)
        reason = _explain_slowness(late, usual, names)
        return [Fault(row, 1 - 1 / reason.ratio, reason)]

    def _find_usual(self, row: int) -> float:
        # The median over the peers of what each does now, since the mean
        # over a window lags when the whole service becomes slower.
        means = []
        for peer in self._evidence.active:
            late = self._evidence.find_late_run(peer)
            times = self._evidence.summarize(peer).times
            if peer == row or not times.count:
                continue
            is_late = late.count >= comparison.MIN_TIMES / 2
            means.append(late.mean if is_late else times.mean)
        return statistics.median(means) if means else math.inf

    def _find_slow_paths(self, row: int) -> list[Fault]:
        faults = []
        for number, name in enumerate(self._evidence.domains, start=1):
            late = self._evidence.find_late_run(row, number)
            cell = self._evidence.summarize(row, number)
            others = self._evidence.summarize(row).times.plus(cell.times, -1)
            if others.count < comparison.MIN_TIMES:
                continue
            if comparison.is_slow(
                late,
                others.mean,
                others.variance,
                PATH_SCORE,
            ):
                reason = _explain_slowness(late, others.mean, (name,))
                faults.append(Fault(row, 1 - 1 / reason.ratio, reason, name))
        return faults

    def _sum_peers(self, row: int, number: int) -> summaries.Summary:
        total = self._domain_totals.get(number)
        if total is None:
            total = summaries.add_all(
                self._evidence.summarize(one, number)
                for one in self._evidence.active
            )
            self._domain_totals[number] = total
        return total.plus(self._evidence.summarize(row, number), -1)

    def _list_seen(self, row: int) -> _Names:
        seen = []
        for number, name in enumerate(self._evidence.domains, start=1):
            if self._evidence.count_run(row, number):
                seen.append(name)
        return tuple(seen)


def _find_failing_run(
    run: summaries.Run,
    duration: float,
    peers: summaries.Summary,
) -> summaries.Counts | None:
    is_long = duration >= LONG_RUN_SECONDS
    if _is_run_failing(run.counts, peers, is_long):
        return run.counts
    unanswered = run.counts.unanswered
    return (
        unanswered if _is_run_unanswered(unanswered, peers, is_long) else None
    )


def _is_run_failing(
    run: summaries.Counts,
    peers: summaries.Summary,
    is_long: bool,
) -> bool:
    if comparison.is_failing(run, peers.fast):
        return True
    # Under low traffic the fast window has too few results of the peers to
    # prove anything; the slow one has, if the fast one does not disagree.
    return (
        is_long
        and comparison.is_failing(run, peers.slow)
        and comparison.is_failing(run, peers.fast, AGREEING_SCORE)
    )


def _is_run_unanswered(
    run: summaries.Counts,
    peers: summaries.Summary,
    is_long: bool,
) -> bool:
    certain = comparison.CERTAIN_UNANSWERED_SCORE
    if comparison.is_failing(run, peers.fast.unanswered, certain):
        return True
    return (
        is_long
        and comparison.is_failing(run, peers.slow.unanswered, certain)
        and comparison.is_failing(run, peers.fast, AGREEING_SCORE)
    )


def _explain_failures(
    failing: summaries.Counts,
    peers: summaries.Summary,
    names: _Names,
) -> reports.Reason:
    return reports.Reason(
        reports.Cause.FAILURES,
        failing.samples,
        failing.failures,
        failing.ratio,
        peers.fast.ratio,
        names,
    )


def _explain_slowness(
    own: summaries.LateRun,
    usual: float,
    names: _Names,
) -> reports.Reason:
    return reports.Reason(
        reports.Cause.SLOWNESS,
        samples=own.count,
        ratio=math.exp(own.mean - usual),
        peers_ratio=1,
        domains=names,
    )
