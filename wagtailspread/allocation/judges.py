"""What an allocator needs to know about the health of upstreams."""

import dataclasses
import math
import typing

from collections import abc

from wagtailspread.core import identifiers, outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """Capacity of one announced upstream.

    :param slots: slots that the upstream offers when it is warmed up.
    :param is_ready: whether it is announced, not draining and warmed up.
    """

    upstream: identifiers.UpstreamId
    slots: int
    is_ready: bool


class HealthJudge(typing.Protocol):
    """Decides which upstreams get work, by evidence from real work."""

    def record(
        self,
        upstream: identifiers.UpstreamId,
        host: identifiers.HostId,
        domain: identifiers.FailureDomain,
        result: outcomes.ExchangeResult,
        seconds: float,
        now: float,
    ) -> None:
        """Take the result of one exchange as evidence."""

    def is_usable(
        self,
        upstream: identifiers.UpstreamId,
        domain: identifiers.FailureDomain,
        now: float,
    ) -> bool:
        """Return whether it is neither ejected nor blocked from there."""

    def claim_trial(
        self,
        upstream: identifiers.UpstreamId,
        now: float,
    ) -> bool:
        """Return whether an ejected upstream gets one trial request now."""

    def hang_seconds(self) -> float:
        """Return the age at which an open request counts as hanging."""

    def record_overdue(
        self,
        upstream: identifiers.UpstreamId,
        host: identifiers.HostId,
        domain: identifiers.FailureDomain,
        now: float,
    ) -> None:
        """Take an open request that has reached this age as evidence."""

    def record_vote(self, host: identifiers.HostId, now: float) -> None:
        """Renew the vote of a host for this allocator."""

    def tick(
        self,
        capacities: abc.Sequence[Capacity],
        now: float,
    ) -> abc.Sequence[typing.Any]:
        """Eject and readmit upstreams; return the changes."""


class AcceptingJudge:
    """A judge without evidence: every upstream is usable.

    A host that allocates on its own uses it, since it ejects nothing.
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
        """Return true."""
        return True

    def claim_trial(
        self,
        upstream: identifiers.UpstreamId,
        now: float,
    ) -> bool:
        """Return false, since nothing is ejected."""
        return False

    def hang_seconds(self) -> float:
        """Return infinity, since nothing is evidence."""
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
