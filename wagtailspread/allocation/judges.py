"""Interface between an allocator and the health checks of its upstreams."""

import dataclasses
import math
import typing

from collections import abc

from wagtailspread.core import identifiers, outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """Capacity of one announced upstream.

    :param slots: number of slots after the warm-up.
    :param is_ready: whether the upstream is warmed up and not draining.
    """

    upstream: identifiers.UpstreamId
    slots: int
    is_ready: bool


class HealthJudge(typing.Protocol):
    """Decides by evidence from real requests which upstreams are usable."""

    def record(
        self,
        upstream: identifiers.UpstreamId,
        host: identifiers.HostId,
        domain: identifiers.FailureDomain,
        result: outcomes.ExchangeResult,
        seconds: float,
        now: float,
    ) -> None:
        """Record the result of one exchange as evidence."""

    def is_usable(
        self,
        upstream: identifiers.UpstreamId,
        domain: identifiers.FailureDomain,
        now: float,
    ) -> bool:
        """Return whether an upstream may serve callers of a failure domain.

        It must not be ejected, and its path from the failure domain must not
        be blocked.
        """

    def claim_trial(
        self,
        upstream: identifiers.UpstreamId,
        now: float,
    ) -> bool:
        """Return whether to send one trial request to an ejected upstream."""

    def get_overdue_seconds(self) -> float:
        """Return the age in seconds from which an open request is overdue."""

    def record_overdue(
        self,
        upstream: identifiers.UpstreamId,
        host: identifiers.HostId,
        domain: identifiers.FailureDomain,
        now: float,
    ) -> None:
        """Record an open request that is overdue as evidence."""

    def record_vote(self, host: identifiers.HostId, now: float) -> None:
        """Renew the vote of a host for this allocator at a time in seconds."""

    def tick(
        self,
        capacities: abc.Sequence[Capacity],
        now: float,
    ) -> abc.Sequence[typing.Any]:
        """Eject and readmit upstreams; return the changes of state."""


class AcceptingJudge:
    """Judge that ignores all evidence, so that every upstream is usable.

    The fallback allocator of a host uses it, since it must not eject upstreams.
    """

    def record(
        self,
        upstream: identifiers.UpstreamId,
        host: identifiers.HostId,
        domain: identifiers.FailureDomain,
        result: outcomes.ExchangeResult,
        seconds: float,
        now: float,
    ) -> None:
        """Ignore the evidence."""

    def is_usable(
        self,
        upstream: identifiers.UpstreamId,
        domain: identifiers.FailureDomain,
        now: float,
    ) -> bool:
        """Return ``True`` for every upstream."""
        return True

    def claim_trial(
        self,
        upstream: identifiers.UpstreamId,
        now: float,
    ) -> bool:
        """Return ``False``, since no upstream is ejected."""
        return False

    def get_overdue_seconds(self) -> float:
        """Return infinity, so that no request is overdue."""
        return math.inf

    def record_overdue(
        self,
        upstream: identifiers.UpstreamId,
        host: identifiers.HostId,
        domain: identifiers.FailureDomain,
        now: float,
    ) -> None:
        """Ignore the evidence."""

    def record_vote(self, host: identifiers.HostId, now: float) -> None:
        """Ignore the vote."""

    def tick(
        self,
        capacities: abc.Sequence[Capacity],
        now: float,
    ) -> abc.Sequence[typing.Any]:
        """Return no changes."""
        return ()
