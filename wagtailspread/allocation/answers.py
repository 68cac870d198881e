"""Decisions on their way to the hosts, and those made recently."""

import dataclasses
import sys

from wagtailspread.allocation import memories, messages, tables
from wagtailspread.core import identifiers

#: Decisions are remembered for this long, or as many, to answer duplicates.
_MEMORY_SECONDS = 3.0
_MEMORY_LIMIT = 4096


@dataclasses.dataclass(slots=True)
class _Decided:
    """A decision, none if cancelled, and the attempt that it belongs to."""

    attempt: int
    decision: messages.Decision | None


class Answers:
    """What was decided about each request."""

    def __init__(self, leases: tables.LeaseTable) -> None:
        """Start without decisions.

        :param leases: the open leases that grants refer to.
        """
        self._leases = leases
        self._outgoing: dict[identifiers.RequestId, messages.Decision] = {}
        self._recent: memories.RecentTable[
            identifiers.RequestId,
            _Decided,
        ] = memories.RecentTable(_MEMORY_SECONDS, _MEMORY_LIMIT)

    def put(
        self,
        request: messages.SlotRequest,
        decision: messages.Decision,
        now: float,
    ) -> None:
        """Send a decision with the next batch."""
        self.note(request, decision, now)
        self._outgoing[request.request] = decision

    def note(
        self,
        request: messages.SlotRequest,
        decision: messages.Decision,
        now: float,
    ) -> None:
        """Remember a decision that its host knows already."""
        decided = _Decided(request.attempt, decision)
        self._recent.put(request.request, decided, now)

    def take(self) -> list[messages.Decision]:
        """Return the decisions since the last call."""
        outgoing = list(self._outgoing.values())
        self._outgoing.clear()
        return outgoing

    def repeat(self, request: messages.SlotRequest) -> bool:
        """Answer a duplicate again; return whether the request is one.

        A grant is repeated only while its lease is open.
        """
        decided = self._recent.get(request.request)
        if decided is None or decided.attempt < request.attempt:
            return False
        decision = decided.decision
        if decision is None or decided.attempt > request.attempt:
            return True
        is_grant = isinstance(decision, messages.Grant)
        if not is_grant or self.find_lease(request.request) is not None:
            self._outgoing[request.request] = decision
        return True

    def recall(self, request: identifiers.RequestId) -> tables.Lease | None:
        """Take back a decision that was not sent; return its open lease."""
        if self._outgoing.pop(request, None) is None:
            return None
        return self.find_lease(request)

    def cancel(self, request: identifiers.RequestId, now: float) -> None:
        """Ignore the request from now on, even if it arrives later."""
        self._outgoing.pop(request, None)
        self._recent.put(request, _Decided(sys.maxsize, None), now)

    def find_lease(
        self,
        request: identifiers.RequestId,
    ) -> tables.Lease | None:
        """Return the open lease of a request, unless it was passed on."""
        decided = self._recent.get(request)
        if decided is None or not isinstance(decided.decision, messages.Grant):
            return None
        lease = self._leases.leases.get(decided.decision.lease)
        if lease is None or lease.request != request:
            return None
        return lease

    def has_had(
        self,
        request: identifiers.RequestId,
        lease: identifiers.LeaseId,
    ) -> bool:
        """Return whether this lease was granted or passed to the request."""
        decided = self._recent.get(request)
        known = None if decided is None else decided.decision
        return isinstance(known, messages.Grant) and known.lease == lease
