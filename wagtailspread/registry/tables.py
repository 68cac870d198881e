"""Table of upstreams, without I/O or a clock of its own.

>>> from wagtailspread.registry import records
>>> table = RegistryTable()
>>> ready = records.UpstreamRecord(
...     'u1', 'vitrina', '10.0.0.1:80', 'bog', 6,
...     records.UpstreamState.READY, born_ms=1, sequence=4)
>>> left = dataclasses.replace(
...     ready, state=records.UpstreamState.GONE, sequence=0)
>>> table.merge(ready, 0.0), table.merge(left, 0.1), table.merge(ready, 0.2)
(True, True, False)
>>> table.list_ready('vitrina')
[]
"""

import dataclasses
import math
import typing

import logbook

from wagtailspread.core import identifiers
from wagtailspread.registry import addresses, digests, records

#: An upstream without a heartbeat for this long counts as silent, in seconds.
#: This is three heartbeat intervals of 1.5 s each.
SILENCE_TIMEOUT_SECONDS = 4.5
#: Retention of the row of an upstream that is gone, in seconds. Heartbeats
#: that a partition delayed arrive within this time and are recognized as old.
TOMBSTONE_RETENTION_SECONDS = 120.0
#: Number of heartbeats after which a displaced upstream is known to run. A
#: single one may have been delayed since before the upstream crashed.
PROOF_HEARTBEATS = 2
#: Time between two heartbeats that count, in seconds. Delayed ones arrive
#: together.
PROOF_INTERVAL_SECONDS = 0.5
#: Maximum number of records that wait for a configuration with their service.
MAX_DEFERRED = 1024
#: Maximum number of upstreams of services that the configuration does not name.
MAX_UNNAMED = 4096

_log = logbook.Logger('registry')


@dataclasses.dataclass(slots=True)
class RegistryRow:
    """One upstream.

    An upstream whose address another one has taken is displaced, unless its
    own heartbeats show that it still runs.

    :param position: position of its last change in this table.
    :param heartbeat_at: time of the last heartbeat at any replica, in seconds.
    :param warm_at: time at which its warm-up ends, in seconds.
    :param displaced_at: time at which another upstream took its address, in
        seconds; ``None`` if it has the address.
    :param is_upheld: whether it still runs although it is displaced.
    :param proofs: number of its heartbeats since then.
    :param proved_at: time of the last one of them, in seconds.
    """

    record: records.UpstreamRecord
    position: int
    heartbeat_at: float
    warm_at: float
    displaced_at: float | None = None
    is_upheld: bool = False
    proofs: int = 0
    proved_at: float = -math.inf

    @property
    def is_displaced(self) -> bool:
        """Whether another upstream has its address."""
        return self.displaced_at is not None and not self.is_upheld

    @property
    def is_ready(self) -> bool:
        """Whether the upstream accepts new work."""
        is_ready = self.record.state is records.UpstreamState.READY
        return is_ready and not self.is_displaced

    def find_end(self) -> float:
        """Return the time at which it left or was displaced, in seconds."""
        if self.record.state is records.UpstreamState.GONE:
            return self.heartbeat_at
        if self.displaced_at is None or self.is_upheld:
            return math.inf
        return self.displaced_at

    def restore(self) -> None:
        """Forget that another upstream had its address."""
        self.displaced_at = None
        self.withdraw_proof()

    def withdraw_proof(self) -> None:
        """Forget the heartbeats that show that it still runs."""
        self.is_upheld = False
        self.proofs = 0

    def copy_proof(self, other: 'RegistryRow') -> None:
        """Take over what another row of this incarnation knows of its place."""
        self.displaced_at = other.displaced_at
        self.is_upheld = other.is_upheld
        self.proofs = other.proofs
        self.proved_at = other.proved_at

    def add_proof(self, now: float) -> None:
        """Count a heartbeat of a displaced upstream."""
        elapsed = now - self.proved_at
        if elapsed < PROOF_INTERVAL_SECONDS:
            return
        self.proofs = 1 + (
            self.proofs if elapsed < SILENCE_TIMEOUT_SECONDS else 0
        )
        self.proved_at = now
        self.is_upheld = self.proofs >= PROOF_HEARTBEATS


class RegistryTable:
    """Upstreams by id. Each change is assigned the next position.

    A record may come from another writer. So a record of a service that the
    configuration does not name takes nothing from an upstream of one that it
    names, neither its id nor its address.

    :param position: position of the last change.
    :param digest: sum over all rows, equal for equal tables.
    :param buckets: the same for each part of the table.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.position = 0
        self.digest = 0
        self.buckets = digests.BucketDigests()
        self.rows: dict[identifiers.UpstreamId, RegistryRow] = {}
        self._upstreams_by_address = addresses.AddressIndex()
        self._displaced: set[identifiers.UpstreamId] = set()
        #: ``None`` while the configuration is not known.
        self._services: frozenset[identifiers.ServiceName] | None = None
        #: Upstreams of services that it does not name, the first known first.
        self._unnamed: dict[identifiers.UpstreamId, None] = {}
        #: Newer records that took nothing, by upstream.
        self._deferred: dict[
            identifiers.UpstreamId, records.UpstreamRecord
        ] = {}

    def merge(self, record: records.UpstreamRecord, now: float) -> bool:
        """Apply a record if it takes precedence; tell if the table changed.

        If several upstreams have the same address, those that started earlier
        are displaced, since their messages may still arrive later.
        """
        known = self.rows.get(record.upstream)
        if known is not None:
            if self._rank(record) <= self._rank(known.record):
                self._defer(record, known.record)
                return False
            if record.matches_except_sequence(known.record):
                known.record = record
                known.heartbeat_at = now
                return False
            self._defer(known.record, record)
        self._store(record, now)
        self._resolve_address(record.address, now)
        self._limit_unnamed(now)
        return True

    def replace_services(
        self,
        services: typing.Iterable[identifiers.ServiceName],
        now: float,
    ) -> bool:
        """Apply the services of a configuration; tell if the table changed.

        The rows of services that it names for the first time count as changed,
        since followers may have dropped them.
        """
        self._services = frozenset(services)
        position = self.position
        waiting = self._unnamed
        self._unnamed = {
            upstream: None
            for upstream, row in self.rows.items()
            if not self._is_named(row.record.service)
        }
        for upstream in waiting:
            if upstream not in self._unnamed:
                self._touch(self.rows[upstream])
        deferred, self._deferred = self._deferred, {}
        for record in deferred.values():
            self.merge(record, now)
        for address in self._upstreams_by_address.list_shared():
            self._resolve_address(address, now)
        self._limit_unnamed(now)
        return self.position > position

    def record_heartbeat(
        self, upstream: identifiers.UpstreamId, now: float
    ) -> bool:
        """Record that a replica received a heartbeat of an upstream.

        :returns: whether it shows that a displaced upstream still runs.
        """
        row = self.rows.get(upstream)
        if row is None:
            return False
        row.heartbeat_at = now
        if not row.is_displaced:
            return False
        row.add_proof(now)
        if row.is_upheld:
            self._touch(row)
            _log.warning(
                'upstream upheld',
                extra={'upstream': upstream, 'address': row.record.address},
            )
        return row.is_upheld

    def list_upheld(self, now: float) -> list[identifiers.UpstreamId]:
        """Return the displaced upstreams whose heartbeats go on."""
        cutoff = now - SILENCE_TIMEOUT_SECONDS
        upheld = []
        for upstream in self._displaced:
            row = self.rows[upstream]
            if row.heartbeat_at < cutoff:
                row.withdraw_proof()
            elif row.is_upheld:
                upheld.append(upstream)
        return sorted(upheld)

    def replace_upheld(
        self, upheld: typing.Container[identifiers.UpstreamId]
    ) -> None:
        """Apply what a replica reports of the displaced upstreams."""
        for upstream in self._displaced:
            self.rows[upstream].is_upheld = upstream in upheld

    def list_changed(self, position: int) -> list[RegistryRow]:
        """Return the rows that changed after ``position``."""
        if position >= self.position:
            return []
        return [row for row in self.rows.values() if row.position > position]

    def list_ready(
        self,
        service: identifiers.ServiceName,
    ) -> list[RegistryRow]:
        """Return the upstreams of a service that accept new work."""
        return [
            row
            for row in self.rows.values()
            if row.record.service == service and row.is_ready
        ]

    def list_silent(self, now: float) -> list[identifiers.UpstreamId]:
        """Return the ready upstreams without a recent heartbeat."""
        cutoff = now - SILENCE_TIMEOUT_SECONDS
        return [
            upstream
            for upstream, row in self.rows.items()
            if row.is_ready and row.heartbeat_at < cutoff
        ]

    def remove_expired_tombstones(self, now: float) -> None:
        """Remove upstreams that were gone or displaced long enough."""
        cutoff = now - TOMBSTONE_RETENTION_SECONDS
        expired = [
            upstream
            for upstream, row in self.rows.items()
            if row.find_end() < cutoff
        ]
        for upstream in expired:
            self._remove(upstream, now)

    def _remove(self, upstream: identifiers.UpstreamId, now: float) -> None:
        record = self.rows.pop(upstream).record
        self._displaced.discard(upstream)
        self._unnamed.pop(upstream, None)
        self._add_to_digest(record, -1)
        self._release_address(record, now)

    def _release_address(
        self, record: records.UpstreamRecord, now: float
    ) -> None:
        self._upstreams_by_address.remove(record.address, record.upstream)
        self._resolve_address(record.address, now)

    def _add_to_digest(
        self, record: records.UpstreamRecord, factor: int
    ) -> None:
        added = factor * digests.compute_digest(record)
        self.digest = (self.digest + added) % digests.MODULUS
        self.buckets.add(record.upstream, added)

    def _rank(self, record: records.UpstreamRecord) -> tuple[typing.Any, ...]:
        """Return the sort key that orders the records of one upstream."""
        return self._is_named(record.service), *record.rank()

    def _is_named(self, service: identifiers.ServiceName) -> bool:
        """Tell whether the configuration names a service.

        An upstream that left before it was known has no service.
        """
        if self._services is None or not service:
            return True
        return service in self._services

    def _limit_unnamed(self, now: float) -> None:
        while len(self._unnamed) > MAX_UNNAMED:
            self._remove(next(iter(self._unnamed)), now)

    def _defer(
        self, record: records.UpstreamRecord, other: records.UpstreamRecord
    ) -> None:
        """Keep a newer record until a configuration names its service."""
        if record.service == other.service or record.rank() <= other.rank():
            return
        self._deferred.pop(record.upstream, None)
        self._deferred[record.upstream] = record
        if len(self._deferred) > MAX_DEFERRED:
            self._deferred.pop(next(iter(self._deferred)))

    def _store(self, record: records.UpstreamRecord, now: float) -> None:
        known = self.rows.get(record.upstream)
        if known is not None:
            self._add_to_digest(known.record, -1)
        self._add_to_digest(record, 1)
        warm_at = now + record.warm_seconds
        row = RegistryRow(record, self.position, now, warm_at)
        if known is not None and _is_same_place(known.record, record):
            row.copy_proof(known)
        else:
            self._displaced.discard(record.upstream)
        self._touch(row)
        self.rows[record.upstream] = row
        if self._is_named(record.service):
            self._unnamed.pop(record.upstream, None)
        else:
            self._unnamed[record.upstream] = None
        self._upstreams_by_address.add(record.address, record.upstream)
        if known is not None and known.record.address != record.address:
            self._release_address(known.record, now)

    def _touch(self, row: RegistryRow) -> None:
        """Assign the next position to a row that changed."""
        self.position += 1
        row.position = self.position

    def _resolve_address(
        self, address: identifiers.Address, now: float
    ) -> None:
        """Displace the upstreams that started earlier at an address."""
        known = self._upstreams_by_address.list_upstreams(address)
        if len(known) == 1 and known[0] not in self._displaced:
            return
        rows = [self.rows[upstream] for upstream in known]
        named = [row for row in rows if self._is_named(row.record.service)]
        latest = max(
            named,
            key=lambda row: (row.record.born_ms, row.position),
            default=None,
        )
        for row in rows:
            if row is latest or row not in named:
                self._displaced.discard(row.record.upstream)
                row.restore()
            elif row.displaced_at is None:
                self._displaced.add(row.record.upstream)
                row.displaced_at = now


def _is_same_place(
    first: records.UpstreamRecord, second: records.UpstreamRecord
) -> bool:
    """Tell whether two records are of one incarnation at one address."""
    is_same_start = first.born_ms == second.born_ms
    return is_same_start and first.address == second.address


def create_table(
    known: typing.Iterable[records.UpstreamRecord] = (),
    now: float = 0.0,
) -> RegistryTable:
    """Return a table with the given records."""
    table = RegistryTable()
    for record in known:
        table.merge(record, now)
    return table
