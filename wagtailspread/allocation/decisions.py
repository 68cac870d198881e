"""Outgoing and recent decisions."""

import dataclasses
import sys

from wagtailspread.allocation import caches, messages, tables
from wagtailspread.core import identifiers

#: Minimum time in seconds, and number per generation, for which decisions are
#: retained to answer duplicates.
_RETENTION_SECONDS = 3.0
_MAX_GENERATION_ENTRIES = 4096


@dataclasses.dataclass(slots=True)
class _RecentDecision:
    """Decision about an attempt.

    :param attempt: number of the attempt; if the request was cancelled, a
        number above that of any attempt.
    :param decision: none if the request was cancelled.
    """

    attempt: int
    decision: messages.Decision | None


class DecisionTable:
    """Decisions to be sent, and recent ones by request."""

    def __init__(self, leases: tables.LeaseTable) -> None:
        """Start without decisions.

        :param leases: open leases, to which grants refer.
        """
        self._leases = leases
        self._outgoing: dict[identifiers.RequestId, messages.Decision] = {}
        self._recent: caches.RecentCache[
            identifiers.RequestId,
            _RecentDecision,
        ] = caches.RecentCache(_RETENTION_SECONDS, _MAX_GENERATION_ENTRIES)

    def enqueue(
        self,
        request: messages.SlotRequest,
        decision: messages.Decision,
        now: float,
    ) -> None:
        """Record a decision and send it with the next batch."""
        self.record(request, decision, now)
        self._outgoing[request.request] = decision

    def record(
        self,
        request: messages.SlotRequest,
        decision: messages.Decision,
        now: float,
    ) -> None:
        """Record a decision that need not be sent to the host."""
        recent = _RecentDecision(request.attempt, decision)
        self._recent.put(request.request, recent, now)

    def pop_outgoing(self) -> list[messages.Decision]:
        """Remove and return the decisions to be sent."""
        outgoing = list(self._outgoing.values())
        self._outgoing.clear()
        return outgoing

    def resend_duplicate(self, request: messages.SlotRequest) -> bool:
        """Send the decision about a duplicate again.

        A grant is sent again only while its lease is open.

        :returns: whether the request is a duplicate.
        """
        recent = self._recent.get(request.request)
        if recent is None or recent.attempt < request.attempt:
            return False
        decision = recent.decision
        if decision is None or recent.attempt > request.attempt:
            return True
        is_grant = isinstance(decision, messages.Grant)
        if not is_grant or self.find_lease(request.request) is not None:
            self._outgoing[request.request] = decision
        return True

    def withdraw(self, request: identifiers.RequestId) -> tables.Lease | None:
        """Remove a decision that was not sent; return its open lease."""
        if self._outgoing.pop(request, None) is None:
            return None
        return self.find_lease(request)

    def cancel(self, request: identifiers.RequestId, now: float) -> None:
        """Ignore later submissions of the request."""
        self._outgoing.pop(request, None)
        self._recent.put(request, _RecentDecision(sys.maxsize, None), now)

    def find_lease(
        self,
        request: identifiers.RequestId,
    ) -> tables.Lease | None:
        """Return the open lease of a request, unless it was passed on."""
        recent = self._recent.get(request)
        if recent is None or not isinstance(recent.decision, messages.Grant):
            return None
        lease = self._leases.leases.get(recent.decision.lease)
        if lease is None or lease.request != request:
            return None
        return lease

    def was_granted(
        self,
        request: identifiers.RequestId,
        lease: identifiers.LeaseId,
    ) -> bool:
        """Return whether the lease was granted or passed on to the request."""
        recent = self._recent.get(request)
        known = None if recent is None else recent.decision
        return isinstance(known, messages.Grant) and known.lease == lease
