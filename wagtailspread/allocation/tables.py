"""Tables of one allocator: upstreams with their slots, and leases.

Rows are compact, since a process may hold rows of 31,000 upstreams.
"""

import dataclasses
import heapq
import math

from wagtailspread.allocation import messages
from wagtailspread.core import identifiers, priorities

#: A row is used for this long after its last announcement.
ROW_EXPIRY_SECONDS = 2.5
#: An upstream that sheds its only request gets no other for this long.
SHED_PAUSE_SECONDS = 0.25
#: Expired rows whose incarnation is remembered, to tell a restart from a
#: loss of announcements.
_REMEMBERED_ROWS = 256


@dataclasses.dataclass(slots=True, eq=False)
class UpstreamRow:
    """An upstream and its slots.

    :param heard: when the last announcement was sent, in seconds.
    :param drained: when it last announced that it drains, in seconds.
    :param warm_since: start of the warm-up, or none when it is warm.
    :param limit: slots left after shed replies.
    :param shed_at: time of the last halving, in seconds.
    :param usable: slots that leases may use now.
    :param in_use: leases on it.
    :param version: grows when its place in the order of choice changes.
    :param slowness: hold time relative to the other upstreams.
    :param is_active: whether it was announced and not draining when last
        looked at; :meth:`check_active` tells whether it still is.
    :param is_accepted: whether the judge accepts it for some caller.
    """

    upstream: identifiers.UpstreamId
    address: identifiers.Address
    domain: identifiers.FailureDomain
    slots: int
    incarnation: identifiers.Incarnation
    heard: float
    drained: float = -math.inf
    warm_since: float | None = None
    limit: float = math.inf
    shed_at: float = -math.inf
    usable: int = 0
    in_use: int = 0
    version: int = 0
    slowness: float = 1.0
    is_active: bool = False
    is_accepted: bool = True

    def check_active(self, now: float) -> bool:
        """Return whether it is announced and not draining."""
        is_drained = now - self.drained <= ROW_EXPIRY_SECONDS
        return self.is_heard(now) and not is_drained

    def is_heard(self, now: float) -> bool:
        """Return whether it was announced recently."""
        return now - self.heard <= ROW_EXPIRY_SECONDS


@dataclasses.dataclass(slots=True, eq=False)
class Lease:
    """A slot in use.

    :param row: the row of the upstream.
    :param granted: when it was granted, in seconds; none if it was adopted.
    :param expires: when it ends if nobody returns it, in seconds.
    :param is_overdue: whether its age has been taken as evidence.
    """

    lease: identifiers.LeaseId
    row: UpstreamRow
    request: identifiers.RequestId
    host: identifiers.HostId
    domain: identifiers.FailureDomain
    priority: priorities.Priority
    fingerprint: bytes
    granted: float | None
    expires: float
    is_trial: bool = False
    is_passing: bool = False
    is_overdue: bool = False


class UpstreamTable:
    """The rows of all upstreams of one service in one region."""

    def __init__(self, warm_up: float, slot_divisor: int) -> None:
        """Start without upstreams.

        :param warm_up: seconds until a cold upstream has all its slots.
        :param slot_divisor: number of hosts that share the slots.
        """
        self.rows: dict[identifiers.UpstreamId, UpstreamRow] = {}
        self._warm_up = warm_up
        self._slot_divisor = slot_divisor
        self._started: float | None = None
        self._remembered: dict[
            identifiers.UpstreamId,
            identifiers.Incarnation,
        ] = {}

    def change_warm_up(self, warm_up: float) -> None:
        """Take another warm-up time, also for upstreams that warm up."""
        self._warm_up = warm_up

    def announce(
        self,
        announcement: messages.Announcement,
        now: float,
    ) -> UpstreamRow | None:
        """Update the row, and return it if work for it may have changed.

        Messages of an earlier incarnation and older messages of the same one
        change nothing.
        """
        if self._started is None:
            self._started = now
        sent = now - max(announcement.age, 0.0)
        row = self.rows.get(announcement.upstream)
        if row is None:
            row = self._create_row(announcement, sent, now)
        elif not self._accept(row, announcement, sent, now):
            return None
        row.heard = max(row.heard, sent)
        if announcement.state is messages.UpstreamState.DRAINING:
            row.drained = max(row.drained, sent)
        return row if self.update(row, now) else None

    def hold(
        self,
        upstream: identifiers.UpstreamId,
        now: float,
    ) -> UpstreamRow:
        """Return the row of an upstream that may not be announced yet."""
        row = self.rows.get(upstream)
        if row is None:
            row = UpstreamRow(
                upstream=upstream,
                address=identifiers.Address(''),
                domain=identifiers.FailureDomain(''),
                slots=0,
                incarnation=identifiers.Incarnation(-1),
                heard=-math.inf,
            )
            self.rows[upstream] = row
        return row

    def expire(self, row: UpstreamRow, now: float) -> bool:
        """Forget the row if it is silent and has no leases."""
        if row.in_use or row.is_heard(now):
            return False
        del self.rows[row.upstream]
        self._remembered[row.upstream] = row.incarnation
        if len(self._remembered) > _REMEMBERED_ROWS:
            del self._remembered[next(iter(self._remembered))]
        return True

    def update(self, row: UpstreamRow, now: float) -> bool:
        """Compute activity and usable slots; return whether they changed.

        A cold upstream begins with one slot and gets the rest evenly over the
        warm-up time.
        """
        slots = max(1, row.slots // self._slot_divisor) if row.slots else 0
        if row.warm_since is not None:
            slots = self._warm(row, slots, now)
        if row.limit < 1 and now - row.shed_at >= SHED_PAUSE_SECONDS:
            row.limit = 1.0
        usable = slots if row.limit == math.inf else min(slots, int(row.limit))
        is_active = row.check_active(now)
        changed = usable != row.usable or is_active != row.is_active
        row.usable = usable
        row.is_active = is_active
        return changed

    def shed(self, lease: Lease, now: float) -> bool:
        """Halve the usable slots after a shed reply.

        Replies to leases granted before the last halving do not halve them
        again. An upstream that sheds with one slot pauses.
        """
        row = lease.row
        if lease.granted is None or lease.granted < row.shed_at:
            return False
        row.limit = row.usable / 2
        row.shed_at = now
        return self.update(row, now)

    def grow(self, row: UpstreamRow, now: float) -> bool:
        """Give one slot back after a success, if shed replies took some."""
        if row.limit == math.inf:
            return False
        row.limit = int(row.limit) + 1
        if row.limit >= row.slots:
            row.limit = math.inf
        return self.update(row, now)

    def _warm(self, row: UpstreamRow, slots: int, now: float) -> int:
        elapsed = now - (row.warm_since or 0.0)
        if elapsed >= self._warm_up:
            row.warm_since = None
            return slots
        return min(slots, 1 + int((slots - 1) * elapsed / self._warm_up))

    def _create_row(
        self,
        announcement: messages.Announcement,
        sent: float,
        now: float,
    ) -> UpstreamRow:
        row = UpstreamRow(
            upstream=announcement.upstream,
            address=announcement.address,
            domain=announcement.domain,
            slots=announcement.slots,
            incarnation=announcement.incarnation,
            heard=-math.inf,
        )
        known = self._remembered.pop(announcement.upstream, None)
        if self._is_cold(announcement, known, now):
            row.warm_since = now
        self.rows[announcement.upstream] = row
        return row

    def _accept(
        self,
        row: UpstreamRow,
        announcement: messages.Announcement,
        sent: float,
        now: float,
    ) -> bool:
        if announcement.incarnation < row.incarnation:
            return False
        if announcement.incarnation == row.incarnation:
            if sent < row.heard:
                return announcement.state is messages.UpstreamState.DRAINING
        else:
            self._restart(row, announcement, now)
        row.address = announcement.address
        row.domain = announcement.domain
        row.slots = announcement.slots
        return True

    def _restart(
        self,
        row: UpstreamRow,
        announcement: messages.Announcement,
        now: float,
    ) -> None:
        known = row.incarnation if row.incarnation >= 0 else None
        row.incarnation = announcement.incarnation
        row.heard = -math.inf
        row.drained = -math.inf
        row.limit = math.inf
        row.warm_since = None
        if self._is_cold(announcement, known, now):
            row.warm_since = now

    def _is_cold(
        self,
        announcement: messages.Announcement,
        known: identifiers.Incarnation | None,
        now: float,
    ) -> bool:
        """Return whether the upstream has to warm up.

        An upstream may report READY too early. So a new incarnation is cold,
        unless the allocator itself is so young that all rows are new to it.
        """
        if announcement.state is messages.UpstreamState.COLD:
            return True
        if known == announcement.incarnation:
            return False
        age = now - (self._started or 0.0)
        return age > ROW_EXPIRY_SECONDS


class LeaseTable:
    """Open leases, with the time of their end."""

    def __init__(self) -> None:
        """Start without leases."""
        self.leases: dict[identifiers.LeaseId, Lease] = {}
        self._ends: list[tuple[float, identifiers.LeaseId]] = []

    def add(self, lease: Lease) -> None:
        """Open a lease."""
        self.leases[lease.lease] = lease
        lease.row.in_use += 1
        self._push(lease)

    def rebind(
        self,
        lease: Lease,
        request: identifiers.RequestId,
        fingerprint: bytes,
        now: float,
        expires: float,
    ) -> None:
        """Let an open lease go on for another request of its host."""
        lease.request = request
        lease.fingerprint = fingerprint
        lease.granted = now
        lease.is_overdue = False
        lease.expires = expires
        self._push(lease)

    def _push(self, lease: Lease) -> None:
        heapq.heappush(self._ends, (lease.expires, lease.lease))
        if len(self._ends) > 2 * len(self.leases) + _REMEMBERED_ROWS:
            self._ends = [
                (opened.expires, opened.lease)
                for opened in self.leases.values()
            ]
            heapq.heapify(self._ends)

    def take_overdue(self, granted_before: float) -> list[Lease]:
        """Return the leases granted before a time, each of them once."""
        overdue = [
            lease
            for lease in self.leases.values()
            if lease.granted is not None
            and lease.granted <= granted_before
            and not lease.is_overdue
        ]
        for lease in overdue:
            lease.is_overdue = True
        return overdue

    def remove(self, lease_id: identifiers.LeaseId) -> Lease | None:
        """Close a lease and return it, or none if it is not open."""
        lease = self.leases.pop(lease_id, None)
        if lease is not None:
            lease.row.in_use -= 1
        return lease

    def expire(self, now: float) -> list[Lease]:
        """Close the leases that have ended and return them."""
        ended = []
        while self._ends and self._ends[0][0] <= now:
            lease = self.leases.get(heapq.heappop(self._ends)[1])
            if lease is not None and lease.expires <= now:
                self.remove(lease.lease)
                ended.append(lease)
        return ended


def create_adopted_lease(
    claim: messages.AdoptedLease,
    row: UpstreamRow,
) -> Lease:
    """Return the lease that a host claims to hold from an earlier owner."""
    return Lease(
        lease=claim.lease,
        row=row,
        request=identifiers.RequestId(''),
        host=claim.host,
        domain=claim.domain,
        priority=claim.priority,
        fingerprint=claim.fingerprint,
        granted=None,
        expires=claim.expires,
    )
