"""Detection of faults of an upstream, or of one path to it."""

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

#: Score at which the results of one failure domain differ from the others'.
PATH_SCORE = 4.0
#: A success from another domain is evidence of a path fault only if it came at
#: least this many seconds after the first failure, since requests that were
#: sent before the fault may end after it began.
PATH_DELAY_SECONDS = 0.25
#: Number of failures that a fault in the slow window would have caused since
#: the last failure if it were ongoing. From this number on, it counts as over.
MAX_MISSED_FAILURES = 7.0
#: Share of failures that are error answers. Above it the path is not at fault,
#: since only the upstream can send them.
MAX_ANSWERED_SHARE = 0.5
#: Shortest run of failures that is a fault, in seconds. A single burst is
#: shorter.
MIN_RUN_SECONDS = 0.25
#: Duration from which a run is also compared with the slow window of the
#: peers, in seconds.
LONG_RUN_SECONDS = 2.0
#: Score that the fast window must reach as well in that comparison.
CORROBORATION_SCORE = 2.0
#: Time for which snapshots of the service's counts are retained, in seconds.
HISTORY_SECONDS = 4.0
#: Fewest results of the peers since the onset of a run for a comparison.
MIN_PEER_SAMPLES = 20.0
#: Precision of the onset of a run, in seconds.
ONSET_PRECISION_SECONDS = 0.001
#: Score that a run must reach against the peers' results since its onset.
ONSET_SCORE = 4.0
#: Shortest run of slow answers that is a fault, in seconds. A single stall of
#: a healthy upstream is shorter.
MIN_SLOW_RUN_SECONDS = 1.0
#: Share of peers that have a run of failures too. Above it the fault is one
#: of the whole service.
COMMON_FAULT_SHARE = 0.5

_Domains = tuple[identifiers.FailureDomain, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault of an upstream, or of the path from one domain to it.

    :param row: row of the upstream.
    :param severity: comparable between faults; higher is worse.
    :param domain: failure domain of a path fault; ``None`` for a fault of the
        upstream.
    """

    row: int
    severity: float
    reason: reports.Reason
    domain: identifiers.FailureDomain | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _Snapshot:
    """Cumulative results and failures of all upstreams at a time."""

    time: float
    samples: int
    failures: int


class FaultDetector:
    """Compares each upstream with the other upstreams of its service.

    :param table: evidence; only its ``baseline_logarithm`` is written.
    :param path_table: blocked paths; read only.
    """

    def __init__(
        self,
        table: evidence.EvidenceTable,
        path_table: paths.PathTable,
    ) -> None:
        """Create a detector without a history of counts."""
        self.times = summaries.Times()
        self._paths = path_table
        self._evidence = table
        self._now = 0.0
        self._total = summaries.Summary()
        self._domain_totals: dict[int, summaries.Summary] = {}
        self._history: collections.deque[_Snapshot] = collections.deque()

    def find_faults(self, now: float) -> list[Fault]:
        """Return the faults of all active upstreams, most severe first.

        :param now: monotonic time in seconds.
        """
        self._now = now
        self._append_snapshot()
        self._domain_totals.clear()
        self._total = self._evidence.summarize_all()
        self._update_times(self._total.times)
        active = sorted(self._evidence.active)
        baseline = self._total.slow.ratio
        suspicious = [
            row for row in active if self._evidence.is_suspicious(row, baseline)
        ]
        late = [row for row in active if self._is_late(row)]
        faults: list[Fault] = []
        failing = [row for row in suspicious if self._has_failures(row)]
        if not self._is_common(failing):
            for row in suspicious:
                faults.extend(self._find_failures(row))
        faulty_rows = {fault.row for fault in faults}
        for slow_row in sorted(set(late) - faulty_rows):
            faults.extend(self._find_slowness(slow_row))
        return sorted(faults, key=lambda fault: (-fault.severity, fault.row))

    def _update_times(self, times: summaries.Times) -> None:
        self.times = times
        if times.count >= comparison.MIN_TIME_SAMPLES:
            self._evidence.baseline_logarithm = times.mean
        else:
            self._evidence.baseline_logarithm = math.inf

    def _is_common(self, rows: list[int]) -> bool:
        peers = len(self._evidence.active) - 1
        return len(rows) > 1 and len(rows) - 1 > COMMON_FAULT_SHARE * peers

    def _is_late(self, row: int) -> bool:
        if self._evidence.count_late_answers(row) < comparison.MIN_TIME_SAMPLES:
            return False
        shift = self._evidence.find_late_run(row).mean - self.times.mean
        return shift >= math.log(comparison.MIN_SLOWDOWN)

    def _find_failures(self, row: int) -> list[Fault]:
        own = self._evidence.summarize(row)
        if own.slow.failures < comparison.MIN_FAILURES:
            return []
        if self._evidence.has_single_failing_host(row):
            return []
        if own.slow.answered <= MAX_ANSWERED_SHARE * own.slow.failures:
            path_faults = self._find_failing_paths(row)
            if path_faults:
                return path_faults
        peers = self._total.plus(own, -1)
        failing = self._find_window(row, evidence.ALL_DOMAINS, own, peers)
        if failing is None:
            return []
        reason = _explain_failures(
            failing, peers, self._list_failing_domains(row)
        )
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
        if duration >= MIN_RUN_SECONDS:
            found = _find_failing_run(run, duration, peers)
            if found and self._is_worse_since_onset(run):
                return found
        if not comparison.is_failing(own.slow, peers.slow):
            return None
        rate = own.fast.samples / evidence.FAST_SECONDS
        missed = own.slow.ratio * rate * (self._now - run.last_failure)
        return own.slow if missed < MAX_MISSED_FAILURES else None

    def _append_snapshot(self) -> None:
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
        # The windows of the peers lag behind when all upstreams begin to fail
        # a share of their requests, so the counts since the onset decide.
        onset = run.onset - ONSET_PRECISION_SECONDS
        earlier_snapshots = [
            snapshot for snapshot in self._history if snapshot.time < onset
        ]
        if not earlier_snapshots:
            return True
        start_snapshot = earlier_snapshots[-1]
        peers = summaries.Counts(
            self._evidence.samples
            - start_snapshot.samples
            - run.counts.samples,
            self._evidence.failures
            - start_snapshot.failures
            - run.counts.failures,
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
            if number != domain and not self._paths.is_suspect(row, name)
        ]
        if not others:
            return False
        if not any(self._has_failures(row, number) for number in others):
            return True
        since = self._evidence.find_run(row, domain).onset + PATH_DELAY_SECONDS
        succeeding = summaries.sum_summaries(
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
        failures = self._evidence.count_run_failures(row, number)
        return failures >= comparison.MIN_FAILURES

    def _find_slowness(self, row: int) -> list[Fault]:
        late = self._evidence.find_late_run(row)
        if self._now - late.onset < MIN_SLOW_RUN_SECONDS:
            return []
        baseline = self._compute_peer_median(row)
        if not comparison.is_slow(late, baseline, self.times.variance):
            return []
        faults = self._find_slow_paths(row)
        if faults:
            return faults
        names = tuple(self._evidence.domains)
        reason = _explain_slowness(late, baseline, names)
        return [Fault(row, 1 - 1 / reason.ratio, reason)]

    def _compute_peer_median(self, row: int) -> float:
        # The median of the current times of the peers: a mean over a window
        # lags behind when the whole service becomes slower.
        means = []
        for peer in self._evidence.active:
            late = self._evidence.find_late_run(peer)
            times = self._evidence.summarize(peer).times
            if peer == row or not times.count:
                continue
            is_late = late.count >= comparison.MIN_TIME_SAMPLES / 2
            means.append(late.mean if is_late else times.mean)
        return statistics.median(means) if means else math.inf

    def _find_slow_paths(self, row: int) -> list[Fault]:
        faults = []
        for number, name in enumerate(self._evidence.domains, start=1):
            late = self._evidence.find_late_run(row, number)
            cell = self._evidence.summarize(row, number)
            others = self._evidence.summarize(row).times.plus(cell.times, -1)
            if others.count < comparison.MIN_TIME_SAMPLES:
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
            total = summaries.sum_summaries(
                self._evidence.summarize(peer, number)
                for peer in self._evidence.active
            )
            self._domain_totals[number] = total
        return total.plus(self._evidence.summarize(row, number), -1)

    def _list_failing_domains(self, row: int) -> _Domains:
        affected = []
        for number, name in enumerate(self._evidence.domains, start=1):
            if self._evidence.count_run_failures(row, number):
                affected.append(name)
        return tuple(affected)


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
    # Under low traffic the fast window has too few results of the peers for a
    # decision. The slow window decides if the fast one does not contradict it.
    return (
        is_long
        and comparison.is_failing(run, peers.slow)
        and comparison.is_failing(run, peers.fast, CORROBORATION_SCORE)
    )


def _is_run_unanswered(
    run: summaries.Counts,
    peers: summaries.Summary,
    is_long: bool,
) -> bool:
    min_score = comparison.CERTAIN_UNANSWERED_SCORE
    if comparison.is_failing(run, peers.fast.unanswered, min_score):
        return True
    return (
        is_long
        and comparison.is_failing(run, peers.slow.unanswered, min_score)
        and comparison.is_failing(run, peers.fast, CORROBORATION_SCORE)
    )


def _explain_failures(
    failing: summaries.Counts,
    peers: summaries.Summary,
    names: _Domains,
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
    baseline: float,
    names: _Domains,
) -> reports.Reason:
    return reports.Reason(
        reports.Cause.SLOWNESS,
        samples=own.count,
        ratio=math.exp(own.mean - baseline),
        peers_ratio=1,
        domains=names,
    )
