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
import typing

from wagtailspread.core import identifiers
from wagtailspread.registry import digests, records

#: An upstream without a heartbeat for this long counts as silent, in seconds.
#: This is three heartbeat intervals of 1.5 s each.
SILENCE_TIMEOUT_SECONDS = 4.5
#: Retention of the row of an upstream that is gone, in seconds. Heartbeats
#: that a partition delayed arrive within this time and are recognized as old.
TOMBSTONE_RETENTION_SECONDS = 120.0


@dataclasses.dataclass(slots=True)
class RegistryRow:
    """One upstream.

    :param position: position of its last change in this table.
    :param heartbeat_at: time of the last heartbeat at any replica, in seconds.
    :param warm_at: time at which its warm-up ends, in seconds.
    """

    record: records.UpstreamRecord
    position: int
    heartbeat_at: float
    warm_at: float

    @property
    def is_ready(self) -> bool:
        """Whether the upstream accepts new work."""
        return self.record.state is records.UpstreamState.READY


class RegistryTable:
    """Upstreams by id. Each change is assigned the next position.

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
        self._upstreams_by_address: dict[
            identifiers.Address, identifiers.UpstreamId
        ] = {}

    def merge(self, record: records.UpstreamRecord, now: float) -> bool:
        """Apply a record if it is newer; tell whether the table changed.

        If two upstreams have the same address, the one that started earlier is
        marked as gone, since its messages may still arrive later.
        """
        known = self.rows.get(record.upstream)
        if known is not None:
            if record.rank() <= known.record.rank():
                return False
            if record.matches_except_sequence(known.record):
                known.record = record
                known.heartbeat_at = now
                return False
        self._store(record, now)
        self._resolve_address_conflict(record, now)
        return True

    def record_heartbeat(
        self, upstream: identifiers.UpstreamId, now: float
    ) -> None:
        """Record that a replica received a heartbeat of an upstream."""
        row = self.rows.get(upstream)
        if row is not None:
            row.heartbeat_at = now

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
        """Remove upstreams whose departure is past the retention time."""
        cutoff = now - TOMBSTONE_RETENTION_SECONDS
        for upstream, row in list(self.rows.items()):
            is_gone = row.record.state is records.UpstreamState.GONE
            if is_gone and row.heartbeat_at < cutoff:
                self.rows.pop(upstream)
                self._add_to_digest(row.record, -1)
                self._release_address(row.record)

    def _release_address(self, record: records.UpstreamRecord) -> None:
        """Forget the address of an upstream, unless another one has it."""
        if self._upstreams_by_address.get(record.address) == record.upstream:
            self._upstreams_by_address.pop(record.address)

    def _add_to_digest(
        self, record: records.UpstreamRecord, factor: int
    ) -> None:
        added = factor * digests.compute_digest(record)
        self.digest = (self.digest + added) % digests.MODULUS
        self.buckets.add(record.upstream, added)

    def _store(self, record: records.UpstreamRecord, now: float) -> None:
        known = self.rows.get(record.upstream)
        if known is not None:
            self._add_to_digest(known.record, -1)
            if known.record.address != record.address:
                self._release_address(known.record)
        self._add_to_digest(record, 1)
        self.position += 1
        warm_at = now + record.warm_seconds
        row = RegistryRow(record, self.position, now, warm_at)
        self.rows[record.upstream] = row

    def _resolve_address_conflict(
        self,
        record: records.UpstreamRecord,
        now: float,
    ) -> None:
        """Mark the upstream that started earlier at an address as gone."""
        if record.state is records.UpstreamState.GONE:
            return
        owner = self._upstreams_by_address.get(record.address)
        other = None if owner is None else self.rows.get(owner)
        if other is None or owner == record.upstream:
            self._upstreams_by_address[record.address] = record.upstream
            return
        older = other.record
        if older.born_ms > record.born_ms:
            older = record
        else:
            self._upstreams_by_address[record.address] = record.upstream
        if older.state is not records.UpstreamState.GONE:
            if older.address == record.address:
                gone = records.UpstreamState.GONE
                self._store(dataclasses.replace(older, state=gone), now)


def create_table(
    known: typing.Iterable[records.UpstreamRecord] = (),
    now: float = 0.0,
) -> RegistryTable:
    """Return a table with the given records."""
    table = RegistryTable()
    for record in known:
        table.merge(record, now)
    return table
