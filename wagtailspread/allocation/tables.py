"""Tables of an allocator: upstreams with their slots, and leases.

Rows are compact, since one process may store 31,000 upstreams.
"""

import dataclasses
import heapq
import math

from wagtailspread.allocation import messages
from wagtailspread.core import identifiers, priorities

#: Time in seconds after its last announcement at which a row expires.
ROW_EXPIRY_SECONDS = 2.5
#: Time in seconds without new requests for an upstream that sheds its only
#: request.
SHED_PAUSE_SECONDS = 0.25
#: Maximum number of expired rows whose incarnation is retained, to distinguish
#: a restart from a loss of announcements. The same number of outdated heap
#: entries is permitted beside the open leases.
_MAX_EXPIRED_ROWS = 256


@dataclasses.dataclass(slots=True, eq=False)
class UpstreamRow:
    """An upstream and its slots.

    :param announced_at: time in seconds at which the last announcement was
        sent.
    :param draining_at: time in seconds at which the last announcement of
        draining was sent.
    :param warm_up_started_at: start of the warm-up in seconds; none if the
        upstream is warm.
    :param slot_limit: limit of the slots after shed replies; infinite without.
    :param halved_at: time in seconds of the last halving of the limit.
    :param usable: slots that leases may use at present.
    :param in_use: number of open leases.
    :param version: increases with each change of slots or leases, so that
        earlier heap entries are outdated.
    :param slowness: mean ratio of its hold times to those of all upstreams.
    :param is_active: result of :meth:`check_active` at the last update.
    :param is_accepted: whether the judge accepts it for any failure domain.
    """

    upstream: identifiers.UpstreamId
    address: identifiers.Address
    domain: identifiers.FailureDomain
    slots: int
    incarnation: identifiers.Incarnation
    announced_at: float
    draining_at: float = -math.inf
    warm_up_started_at: float | None = None
    slot_limit: float = math.inf
    halved_at: float = -math.inf
    usable: int = 0
    in_use: int = 0
    version: int = 0
    slowness: float = 1.0
    is_active: bool = False
    is_accepted: bool = True

    def check_active(self, now: float) -> bool:
        """Return whether the row has not expired and is not draining."""
        is_draining = now - self.draining_at <= ROW_EXPIRY_SECONDS
        return self.is_announced(now) and not is_draining

    def is_announced(self, now: float) -> bool:
        """Return whether the last announcement has not expired."""
        return now - self.announced_at <= ROW_EXPIRY_SECONDS


@dataclasses.dataclass(slots=True, eq=False)
class Lease:
    """A slot in use.

    :param row: row of the upstream.
    :param granted_at: time of the grant in seconds; none if the lease was
        adopted from a previous owner.
    :param expires: time in seconds at which the lease expires if it is not
        returned earlier.
    :param is_passable: whether its host may pass it on.
    :param is_overdue: whether the judge was informed that it is overdue.
    """

    lease: identifiers.LeaseId
    row: UpstreamRow
    request: identifiers.RequestId
    host: identifiers.HostId
    domain: identifiers.FailureDomain
    priority: priorities.Priority
    fingerprint: bytes
    granted_at: float | None
    expires: float
    is_trial: bool = False
    is_passable: bool = False
    is_overdue: bool = False


class UpstreamTable:
    """Rows of all upstreams of one service in one region."""

    def __init__(self, warm_up: float, slot_divisor: int) -> None:
        """Start without upstreams.

        :param warm_up: seconds until all slots of a cold upstream are usable.
        :param slot_divisor: number of hosts that divide the slots.
        """
        self.rows: dict[identifiers.UpstreamId, UpstreamRow] = {}
        self._warm_up = warm_up
        self._slot_divisor = slot_divisor
        self._started_at: float | None = None
        self._expired_incarnations: dict[
            identifiers.UpstreamId,
            identifiers.Incarnation,
        ] = {}

    def change_warm_up(self, warm_up: float) -> None:
        """Change the warm-up time; a warm-up in progress also uses it."""
        self._warm_up = warm_up

    def change_slot_divisor(self, slot_divisor: int) -> None:
        """Change the number of hosts; rows use it from their next update."""
        self._slot_divisor = slot_divisor

    def announce(
        self,
        announcement: messages.Announcement,
        now: float,
    ) -> UpstreamRow | None:
        """Update the row; return it if its activity or usable slots changed.

        Announcements of an earlier incarnation are ignored, and so are
        announcements of the same incarnation that were sent before the latest
        one, unless they announce draining.
        """
        if self._started_at is None:
            self._started_at = now
        sent_at = now - max(announcement.age, 0.0)
        row = self.rows.get(announcement.upstream)
        if row is None:
            row = self._create_row(announcement, sent_at, now)
        elif not self._accept(row, announcement, sent_at, now):
            return None
        row.announced_at = max(row.announced_at, sent_at)
        if announcement.state is messages.UpstreamState.DRAINING:
            row.draining_at = max(row.draining_at, sent_at)
        return row if self.update(row, now) else None

    def find_or_create_row(
        self,
        upstream: identifiers.UpstreamId,
        now: float,
    ) -> UpstreamRow:
        """Return the row of an upstream; create one before it is announced."""
        row = self.rows.get(upstream)
        if row is None:
            row = UpstreamRow(
                upstream=upstream,
                address=identifiers.Address(''),
                domain=identifiers.FailureDomain(''),
                slots=0,
                incarnation=identifiers.Incarnation(-1),
                announced_at=-math.inf,
            )
            self.rows[upstream] = row
        return row

    def expire(self, row: UpstreamRow, now: float) -> bool:
        """Remove the row if it has expired without leases; return whether."""
        if row.in_use or row.is_announced(now):
            return False
        del self.rows[row.upstream]
        self._expired_incarnations[row.upstream] = row.incarnation
        if len(self._expired_incarnations) > _MAX_EXPIRED_ROWS:
            del self._expired_incarnations[
                next(iter(self._expired_incarnations))
            ]
        return True

    def update(self, row: UpstreamRow, now: float) -> bool:
        """Compute activity and usable slots; return whether they changed.

        A cold upstream starts with one usable slot; the number increases
        linearly during the warm-up time.
        """
        slots = max(1, row.slots // self._slot_divisor) if row.slots else 0
        if row.warm_up_started_at is not None:
            slots = self._limit_warming_slots(row, slots, now)
        if row.slot_limit < 1 and now - row.halved_at >= SHED_PAUSE_SECONDS:
            row.slot_limit = 1.0
        usable = (
            slots
            if row.slot_limit == math.inf
            else min(slots, int(row.slot_limit))
        )
        is_active = row.check_active(now)
        changed = usable != row.usable or is_active != row.is_active
        row.usable = usable
        row.is_active = is_active
        return changed

    def halve_slots(self, lease: Lease, now: float) -> bool:
        """Halve the usable slots after a shed reply.

        Shed replies to leases granted before the last halving are ignored. An
        upstream with one usable slot is paused; see
        :data:`SHED_PAUSE_SECONDS`.
        """
        row = lease.row
        if lease.granted_at is None or lease.granted_at < row.halved_at:
            return False
        row.slot_limit = row.usable / 2
        row.halved_at = now
        return self.update(row, now)

    def restore_slot(self, row: UpstreamRow, now: float) -> bool:
        """Raise the limit set by shed replies by one slot after a success."""
        if row.slot_limit == math.inf:
            return False
        row.slot_limit = int(row.slot_limit) + 1
        if row.slot_limit >= row.slots:
            row.slot_limit = math.inf
        return self.update(row, now)

    def _limit_warming_slots(
        self, row: UpstreamRow, slots: int, now: float
    ) -> int:
        elapsed = now - (row.warm_up_started_at or 0.0)
        if elapsed >= self._warm_up:
            row.warm_up_started_at = None
            return slots
        return min(slots, 1 + int((slots - 1) * elapsed / self._warm_up))

    def _create_row(
        self,
        announcement: messages.Announcement,
        sent_at: float,
        now: float,
    ) -> UpstreamRow:
        row = UpstreamRow(
            upstream=announcement.upstream,
            address=announcement.address,
            domain=announcement.domain,
            slots=announcement.slots,
            incarnation=announcement.incarnation,
            announced_at=-math.inf,
        )
        previous_incarnation = self._expired_incarnations.pop(
            announcement.upstream, None
        )
        if self._is_cold(announcement, previous_incarnation, now):
            row.warm_up_started_at = now
        self.rows[announcement.upstream] = row
        return row

    def _accept(
        self,
        row: UpstreamRow,
        announcement: messages.Announcement,
        sent_at: float,
        now: float,
    ) -> bool:
        if announcement.incarnation < row.incarnation:
            return False
        if announcement.incarnation == row.incarnation:
            if sent_at < row.announced_at:
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
        previous_incarnation = row.incarnation if row.incarnation >= 0 else None
        row.incarnation = announcement.incarnation
        row.announced_at = -math.inf
        row.draining_at = -math.inf
        row.slot_limit = math.inf
        row.warm_up_started_at = None
        if self._is_cold(announcement, previous_incarnation, now):
            row.warm_up_started_at = now

    def _is_cold(
        self,
        announcement: messages.Announcement,
        previous_incarnation: identifiers.Incarnation | None,
        now: float,
    ) -> bool:
        """Return whether the upstream has to warm up.

        An upstream may report READY too early, so a new incarnation is assumed
        to be cold. Just after the start of the allocator all incarnations are
        new, so this does not apply.
        """
        if announcement.state is messages.UpstreamState.COLD:
            return True
        if previous_incarnation == announcement.incarnation:
            return False
        age = now - (self._started_at or 0.0)
        return age > ROW_EXPIRY_SECONDS


class LeaseTable:
    """Open leases and a heap of their expiry times."""

    def __init__(self) -> None:
        """Start without leases."""
        self.leases: dict[identifiers.LeaseId, Lease] = {}
        self._expiries: list[tuple[float, identifiers.LeaseId]] = []

    def add(self, lease: Lease) -> None:
        """Add an open lease and count its slot as in use."""
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
        """Bind an open lease to another request of its host."""
        lease.request = request
        lease.fingerprint = fingerprint
        lease.granted_at = now
        lease.is_overdue = False
        lease.expires = expires
        self._push(lease)

    def _push(self, lease: Lease) -> None:
        heapq.heappush(self._expiries, (lease.expires, lease.lease))
        if len(self._expiries) > 2 * len(self.leases) + _MAX_EXPIRED_ROWS:
            self._expiries = [
                (open_lease.expires, open_lease.lease)
                for open_lease in self.leases.values()
            ]
            heapq.heapify(self._expiries)

    def mark_overdue(self, cutoff: float) -> list[Lease]:
        """Mark leases as overdue and return those that were not marked before.

        :param cutoff: time in seconds; leases granted until then are overdue.
        """
        overdue = [
            lease
            for lease in self.leases.values()
            if lease.granted_at is not None
            and lease.granted_at <= cutoff
            and not lease.is_overdue
        ]
        for lease in overdue:
            lease.is_overdue = True
        return overdue

    def remove(self, lease_id: identifiers.LeaseId) -> Lease | None:
        """Remove and return a lease, or return ``None`` if it is not open."""
        lease = self.leases.pop(lease_id, None)
        if lease is not None:
            lease.row.in_use -= 1
        return lease

    def expire(self, now: float) -> list[Lease]:
        """Remove the leases that have expired and return them."""
        expired = []
        while self._expiries and self._expiries[0][0] <= now:
            lease = self.leases.get(heapq.heappop(self._expiries)[1])
            if lease is not None and lease.expires <= now:
                self.remove(lease.lease)
                expired.append(lease)
        return expired


def create_adopted_lease(
    adopted: messages.AdoptedLease,
    row: UpstreamRow,
) -> Lease:
    """Create a lease from the report of its host to the new owner."""
    return Lease(
        lease=adopted.lease,
        row=row,
        request=identifiers.RequestId(''),
        host=adopted.host,
        domain=adopted.domain,
        priority=adopted.priority,
        fingerprint=adopted.fingerprint,
        granted_at=None,
        expires=adopted.expires,
    )
