"""Quarantine of requests that crash the upstreams that run them.

A single connection reset does not show whether the upstream or the request is
at fault. The evidence against the upstream is therefore deferred until one of
these events:

- A second upstream resets a request with the same fingerprint. The request is
  classified as poison, and the evidence of these crashes is discarded.
- The same upstream crashes again while it runs only other requests. The
  upstream is at fault, and all its evidence is released.
- A request with the fingerprint succeeds, or the quarantine time has passed.
  The evidence is released.
"""

import collections
import dataclasses

from wagtailspread.core import identifiers

#: Resets of one upstream within this time, in seconds, count as one crash.
_BURST_SECONDS = 0.2
#: Maximum number of crashes whose evidence is deferred at the same time.
_MAX_CRASHES = 256
#: Maximum number of suspected fingerprints, and of quarantined ones.
_MAX_FINGERPRINTS = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class ResetEvidence:
    """A connection reset that may be evidence against an upstream.

    :param seconds: duration of the exchange until the reset.
    """

    upstream: identifiers.UpstreamId
    host: identifiers.HostId
    domain: identifiers.FailureDomain
    seconds: float


@dataclasses.dataclass(slots=True, eq=False)
class _Crash:
    """Resets of one upstream within the burst time.

    :param suspects: fingerprints of requests that may have caused the crash.
    :param is_attributed: whether a poison request has caused the crash.
    """

    upstream: identifiers.UpstreamId
    started_at: float
    suspects: set[bytes]
    evidence: list[ResetEvidence]
    is_attributed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Suspicion:
    """First crash for which a fingerprint is suspected, until it expires."""

    upstream: identifiers.UpstreamId
    expires_at: float


class CrashTable:
    """Suspected and quarantined fingerprints, and deferred evidence.

    :param quarantine: duration in seconds of a suspicion, and of a quarantine.
    """

    def __init__(self, quarantine: float) -> None:
        """Start without crashes."""
        self._quarantine_seconds = quarantine
        self._suspicions: collections.OrderedDict[bytes, _Suspicion] = (
            collections.OrderedDict()
        )
        self._quarantine_ends: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        self._crashes: collections.deque[_Crash] = collections.deque()
        self._released: list[ResetEvidence] = []
        self._new_quarantined: list[bytes] = []

    def change_quarantine(self, quarantine: float) -> None:
        """Change the duration in seconds for later crashes."""
        self._quarantine_seconds = quarantine

    def get_remaining_time(self, fingerprint: bytes, now: float) -> float:
        """Return the seconds until the quarantine of a fingerprint ends."""
        if not self._quarantine_ends:
            return 0.0
        return max(0.0, self._quarantine_ends.get(fingerprint, now) - now)

    def record_reset(
        self,
        fingerprint: bytes,
        evidence: ResetEvidence,
        now: float,
    ) -> None:
        """Defer the evidence of a reset; quarantine a repeated fingerprint."""
        crash = self._find_crash(evidence.upstream, now)
        crash.suspects.add(fingerprint)
        if not crash.is_attributed:
            crash.evidence.append(evidence)
        if self.get_remaining_time(fingerprint, now) > 0:
            self._attribute_crashes(fingerprint)
            return
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None or suspicion.expires_at <= now:
            self._suspect(fingerprint, evidence.upstream, now)
        elif suspicion.upstream != evidence.upstream:
            self._start_quarantine(fingerprint, now)

    def record_success(self, fingerprint: bytes) -> None:
        """End the suspicion of a fingerprint after a successful request."""
        if self._suspicions.pop(fingerprint, None) is None:
            return
        for crash in self._crashes:
            crash.suspects.discard(fingerprint)
            if not crash.suspects:
                self._release(crash)

    def pop_quarantined(self) -> list[bytes]:
        """Remove and return the fingerprints quarantined since the last call.

        They stay in quarantine.
        """
        quarantined = self._new_quarantined
        if quarantined:
            self._new_quarantined = []
        return quarantined

    def tick(self, now: float) -> list[ResetEvidence]:
        """Return the evidence released since the last call."""
        while self._crashes and self._is_due(self._crashes[0], now):
            self._release(self._crashes.popleft())
        if self._crashes:
            self._compare_crashes(now)
        released = self._released
        self._released = []
        return released

    def _is_due(self, crash: _Crash, now: float) -> bool:
        return (
            now - crash.started_at >= self._quarantine_seconds
            or len(self._crashes) > _MAX_CRASHES
        )

    def _find_crash(
        self,
        upstream: identifiers.UpstreamId,
        now: float,
    ) -> _Crash:
        for known in reversed(self._crashes):
            if now - known.started_at > _BURST_SECONDS:
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
        expires_at = now + self._quarantine_seconds
        self._suspicions[fingerprint] = _Suspicion(upstream, expires_at)
        if len(self._suspicions) > _MAX_FINGERPRINTS:
            self._suspicions.popitem(last=False)

    def _start_quarantine(self, fingerprint: bytes, now: float) -> None:
        del self._suspicions[fingerprint]
        self._quarantine_ends.pop(fingerprint, None)
        self._quarantine_ends[fingerprint] = now + self._quarantine_seconds
        self._new_quarantined.append(fingerprint)
        if len(self._quarantine_ends) > _MAX_FINGERPRINTS:
            self._quarantine_ends.popitem(last=False)
        self._attribute_crashes(fingerprint)

    def _attribute_crashes(self, fingerprint: bytes) -> None:
        for crash in self._crashes:
            if fingerprint in crash.suspects:
                crash.is_attributed = True
                crash.evidence.clear()

    def _release(self, crash: _Crash) -> None:
        self._released.extend(crash.evidence)
        crash.evidence.clear()

    def _compare_crashes(self, now: float) -> None:
        """Release the crashes of an upstream that have no common suspect."""
        common: dict[identifiers.UpstreamId, set[bytes]] = {}
        for crash in self._crashes:
            if now - crash.started_at <= _BURST_SECONDS or crash.is_attributed:
                continue
            known = common.get(crash.upstream, crash.suspects)
            common[crash.upstream] = known & crash.suspects
        for crash in self._crashes:
            if not common.get(crash.upstream, True):
                self._release(crash)
