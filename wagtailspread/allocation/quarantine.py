"""Quarantine of requests that crash the upstreams that run them.

A reset alone does not tell whether the upstream or the request is at fault.
Its evidence is held back until one of these is known:

- a second upstream is reset while it runs a request with the same fingerprint:
  the request is poison, and no evidence of these crashes counts;
- the upstream is reset again while it runs other requests only: the upstream
  is at fault, and all the evidence counts;
- a request with the fingerprint succeeds, or the time is over: it counts.
"""

import collections
import dataclasses

from wagtailspread.core import identifiers

#: Resets of one upstream within this time are one crash.
_BURST_SECONDS = 0.2
_CRASH_LIMIT = 256
_FINGERPRINT_LIMIT = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class ResetEvidence:
    """A reset that may count against an upstream.

    :param seconds: time from the start of the exchange to the reset.
    """

    upstream: identifiers.UpstreamId
    host: identifiers.HostId
    domain: identifiers.FailureDomain
    seconds: float


@dataclasses.dataclass(slots=True, eq=False)
class _Crash:
    """Resets of one upstream at about the same time."""

    upstream: identifiers.UpstreamId
    started: float
    suspects: set[bytes]
    evidence: list[ResetEvidence]
    is_explained: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Suspicion:
    """The first crash with a fingerprint."""

    upstream: identifiers.UpstreamId
    ends: float


class CrashTable:
    """Fingerprints under suspicion or in quarantine, and evidence held back.

    :param quarantine: seconds that a fingerprint is suspected, and then held
        back.
    """

    def __init__(self, quarantine: float) -> None:
        """Start without crashes."""
        self._quarantine = quarantine
        self._suspicions: collections.OrderedDict[bytes, _Suspicion] = (
            collections.OrderedDict()
        )
        self._ends: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        self._crashes: collections.deque[_Crash] = collections.deque()
        self._released: list[ResetEvidence] = []
        self._isolated: list[bytes] = []

    def change_quarantine(self, quarantine: float) -> None:
        """Take another length, for the next crashes."""
        self._quarantine = quarantine

    def time_left(self, fingerprint: bytes, now: float) -> float:
        """Return the seconds that requests like this are still held back."""
        if not self._ends:
            return 0.0
        return max(0.0, self._ends.get(fingerprint, now) - now)

    def record_reset(
        self,
        fingerprint: bytes,
        evidence: ResetEvidence,
        now: float,
    ) -> None:
        """Hold the evidence of a reset back, and quarantine if it repeats."""
        crash = self._find_crash(evidence.upstream, now)
        crash.suspects.add(fingerprint)
        if not crash.is_explained:
            crash.evidence.append(evidence)
        if self.time_left(fingerprint, now) > 0:
            self._explain(fingerprint)
            return
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None or suspicion.ends <= now:
            self._suspect(fingerprint, evidence.upstream, now)
        elif suspicion.upstream != evidence.upstream:
            self._isolate(fingerprint, now)

    def record_success(self, fingerprint: bytes) -> None:
        """Drop the suspicion, since a request like this was run."""
        if self._suspicions.pop(fingerprint, None) is None:
            return
        for crash in self._crashes:
            crash.suspects.discard(fingerprint)
            if not crash.suspects:
                self._release(crash)

    def take_isolated(self) -> list[bytes]:
        """Return the fingerprints quarantined since the last call."""
        isolated = self._isolated
        if isolated:
            self._isolated = []
        return isolated

    def tick(self, now: float) -> list[ResetEvidence]:
        """Return the evidence that counts from now on."""
        while self._crashes and self._is_over(self._crashes[0], now):
            self._release(self._crashes.popleft())
        if self._crashes:
            self._compare_crashes(now)
        released = self._released
        self._released = []
        return released

    def _is_over(self, crash: _Crash, now: float) -> bool:
        return (
            now - crash.started >= self._quarantine
            or len(self._crashes) > _CRASH_LIMIT
        )

    def _find_crash(
        self,
        upstream: identifiers.UpstreamId,
        now: float,
    ) -> _Crash:
        for known in reversed(self._crashes):
            if now - known.started > _BURST_SECONDS:
                break
            if known.upstream == upstream:
                return known
        crash = _Crash(upstream, now, set(), [])
        self._crashes.append(crash)
        return crash

    def _suspect(
        self,
        fingerprint: bytes,
        upstream: identifiers.UpstreamId,
        now: float,
    ) -> None:
        self._suspicions.pop(fingerprint, None)
        ends = now + self._quarantine
        self._suspicions[fingerprint] = _Suspicion(upstream, ends)
        if len(self._suspicions) > _FINGERPRINT_LIMIT:
            self._suspicions.popitem(last=False)

    def _isolate(self, fingerprint: bytes, now: float) -> None:
        del self._suspicions[fingerprint]
        self._ends.pop(fingerprint, None)
        self._ends[fingerprint] = now + self._quarantine
        self._isolated.append(fingerprint)
        if len(self._ends) > _FINGERPRINT_LIMIT:
            self._ends.popitem(last=False)
        self._explain(fingerprint)

    def _explain(self, fingerprint: bytes) -> None:
        for crash in self._crashes:
            if fingerprint in crash.suspects:
                crash.is_explained = True
                crash.evidence.clear()

    def _release(self, crash: _Crash) -> None:
        self._released.extend(crash.evidence)
        crash.evidence.clear()

    def _compare_crashes(self, now: float) -> None:
        """Release the crashes of upstreams that no single request explains."""
        common: dict[identifiers.UpstreamId, set[bytes]] = {}
        for crash in self._crashes:
            if now - crash.started <= _BURST_SECONDS or crash.is_explained:
                continue
            known = common.get(crash.upstream, crash.suspects)
            common[crash.upstream] = known & crash.suspects
        for held in self._crashes:
            if not common.get(held.upstream, True):
                self._release(held)
