"""Requests that were granted an upstream and have not ended.

A request without an end after the usual time is evidence against its upstream
only if its host would have reported the end. A host that has been silent since
may have been lost, and its requests with it, whatever the upstreams did. Until
it is heard from, they neither count as failed nor hold slots. The same goes for
requests that were open while the allocator itself stood still: messages on
their ends may be lost or still on their way.
"""

import collections
import math
import typing

import logbook

from wagtailspread.core import identifiers
from wagtailspread.placement import estimates, leases, messages, open_bytes
from wagtailspread.placement import selection
from wagtailspread.registry import records

#: Time after its deadline at which an unsettled request is closed, in seconds.
#: A host that failed does not settle its requests.
SETTLE_GRACE_SECONDS = 1.0
#: Multiple of the typical duration after which an unsettled request counts as
#: failed. About 2% of good answers take longer, which matches the failure rate
#: of a sound upstream, so both are equally strong evidence.
OVERDUE_FACTOR = 2.5
#: Lower bound of that time, in seconds; it covers one packet retransmission.
MIN_OVERDUE_SECONDS = 0.6
#: Time between two checks from which the allocator stood still, in seconds.
STALL_SECONDS = 1.0
#: Time for which the last message of a host is remembered, in seconds.
KEEP_CONTACT_SECONDS = 60.0

_log = logbook.Logger('placement')


class OpenRequests:
    """The open requests of a region. Use :func:`create_open_requests`."""

    def __init__(
        self, selector: selection.Selector, sums: open_bytes.OpenBytes
    ) -> None:
        """Create a table without requests."""
        self._sums = sums
        self._selector = selector
        self._leases: dict[identifiers.RequestId, leases.Lease] = {}
        self._contacts: dict[identifiers.HostId, float] = {}
        self._checked_at: float | None = None
        self._unconfirmed: dict[identifiers.HostId, list[leases.Lease]] = (
            collections.defaultdict(list)
        )

    @property
    def contacts(self) -> typing.Mapping[identifiers.HostId, float]:
        """Time of the last message of each host."""
        return self._contacts

    def add(self, lease: leases.Lease) -> None:
        """Hold a slot of the upstream of a request."""
        self._leases[lease.request.request_id] = lease
        self._selector.start(lease.upstream)
        self._sums.add(lease.upstream, lease.request.size)

    def find_upstream(
        self, request_id: identifiers.RequestId
    ) -> records.UpstreamRecord | None:
        """Return the upstream of an open request, if it is known."""
        lease = self._leases.get(request_id)
        if lease is None:
            return None
        row = self._selector.registry.rows.get(lease.upstream)
        return None if row is None else row.record

    def close(
        self, request_id: identifiers.RequestId, now: float
    ) -> leases.Lease | None:
        """Free the slot of a request, if it is open, and return its lease."""
        lease = self._leases.pop(request_id, None)
        if lease is not None:
            lease.is_closed = True
            self._sums.remove(lease.upstream, lease.request.size, now)
            if lease.holds_slot:
                self._selector.finish(
                    lease.upstream, is_overdue=lease.is_failed
                )
        return lease

    def drop_host(
        self, host: identifiers.HostId, now: float
    ) -> list[leases.Lease]:
        """Close and return the requests of a host that has restarted.

        Those that became overdue meanwhile are no evidence: the host did not
        report what its upstreams answered.
        """
        self._unconfirmed.pop(host, None)
        dropped = [
            lease
            for lease in self._leases.values()
            if lease.request.host == host
        ]
        for lease in dropped:
            self.close(lease.request.request_id, now)
            self.withdraw_failure(lease, now)
        return dropped

    def withdraw_failure(self, lease: leases.Lease, now: float) -> None:
        """Revert the failure that was recorded for a missing answer."""
        if lease.is_failed:
            table = self._selector.risk_table
            table.withdraw_failure(lease.upstream, now)

    def record_contact(self, host: identifiers.HostId, now: float) -> None:
        """Count the overdue requests of a host that has sent a message."""
        self._contacts[host] = now
        for lease in self._unconfirmed.pop(host, ()):
            if not lease.is_closed:
                self._selector.start(lease.upstream)
                self._record_failure(lease, now)

    def prune(self, now: float) -> None:
        """Drop the state of hosts that are not heard from any more."""
        oldest = now - KEEP_CONTACT_SECONDS
        for host, contact_at in list(self._contacts.items()):
            if contact_at < oldest:
                self._contacts.pop(host)
        for host, unconfirmed in list(self._unconfirmed.items()):
            is_open = [lease for lease in unconfirmed if not lease.is_closed]
            if is_open:
                self._unconfirmed[host] = is_open
            else:
                self._unconfirmed.pop(host)

    def process_overdue(self, now: float) -> None:
        """Mark requests without an end; close those past the deadline.

        :param now: seconds on the allocator's clock, like all times here.
        """
        self._detect_stall(now)
        for request_id, lease in list(self._leases.items()):
            if now > lease.request.deadline + SETTLE_GRACE_SECONDS:
                self.close(request_id, now)
                continue
            typical = estimates.find_typical_seconds(
                self._selector, lease.request.service, now
            )
            limit = max(MIN_OVERDUE_SECONDS, OVERDUE_FACTOR * typical)
            due = lease.granted_at + limit
            if not lease.is_overdue and now > due:
                lease.is_overdue = True
                self._record_overdue(lease, due, now)

    def _detect_stall(self, now: float) -> None:
        checked_at = self._checked_at
        self._checked_at = now
        if checked_at is None or now - checked_at <= STALL_SECONDS:
            return
        for lease in self._leases.values():
            lease.is_observed = False
        _log.info(
            'allocator stood still',
            extra={
                'seconds': round(now - checked_at, 1),
                'open': len(self._leases),
            },
        )

    def _record_overdue(
        self, lease: leases.Lease, due: float, now: float
    ) -> None:
        """Record a missing end, if the host would have reported the end."""
        host = lease.request.host
        has_contact = self._contacts.get(host, -math.inf) > due
        if lease.is_observed and has_contact:
            self._record_failure(lease, now)
            return
        self._selector.finish(lease.upstream)
        if lease.is_observed:
            self._unconfirmed[host].append(lease)

    def _record_failure(self, lease: leases.Lease, now: float) -> None:
        lease.is_failed = True
        self._selector.mark_overdue(lease.upstream)
        self._selector.record_evidence(
            lease.request.host,
            lease.upstream,
            messages.Evidence.BAD,
            0.0,
            now,
        )


def create_open_requests(
    selector: selection.Selector, sums: open_bytes.OpenBytes
) -> OpenRequests:
    """Return a table without requests.

    :param sums: counts the bytes of the requests.
    """
    return OpenRequests(selector, sums)
