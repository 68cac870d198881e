"""Change feed that a replica serves to its followers.

A follower sends the last position that it has seen. Rows stay in the table, so
a follower can continue at any position. Only a limited number of heartbeats is
retained, since older ones carry no information.
"""

import asyncio
import collections
import dataclasses
import typing

from wagtailspread.core import identifiers
from wagtailspread.registry import digests, positions, records, tables
from wagtailspread.wire import messages

#: Maximum number of heartbeats retained for replicas that are behind.
MAX_HEARTBEATS = 4096
#: A follower without a request for this long is not counted, in seconds.
FOLLOWER_TIMEOUT_SECONDS = 2.0
#: Delay before changes received from one replica are relayed to others, in
#: seconds. The others mostly have them already, and each answer uses the link
#: between regions. Replicas that are cut off from the origin still get the
#: changes early enough to stop work within 2 s of a departure.
RELAY_DELAY_SECONDS = 0.4


@dataclasses.dataclass(slots=True)
class FollowerState:
    """Progress of a host or replica that follows this replica.

    :param address: its address for the fleet protocol.
    :param position: last position that it has seen.
    :param polled_at: time of its last request, in seconds.
    :param allocator: that the host would ask; ``None`` if it has no caps.
    """

    address: identifiers.Address
    domain: identifiers.FailureDomain
    is_replica: bool
    position: int
    polled_at: float
    allocator: identifiers.Address | None = None


class ChangeFeed:
    """Registrations at one replica, and the progress of its followers.

    :param table: the upstreams that this replica knows.
    """

    def __init__(self, epoch: int) -> None:
        """Start empty.

        :param epoch: distinguishes this start of the replica from earlier
            ones, whose positions are not valid any more.
        """
        self.epoch = epoch
        self.table = tables.create_table()
        self._heartbeats: collections.deque[tuple[int, identifiers.UpstreamId]]
        self._heartbeats = collections.deque(maxlen=MAX_HEARTBEATS)
        self._followers: dict[identifiers.HostId, FollowerState] = {}
        self._changed = asyncio.Event()
        self._changed_for_replicas = asyncio.Event()
        #: Position of the last change registered at this replica itself.
        self._local_position = 0

    @property
    def position(self) -> int:
        """Position of the last change."""
        return self.table.position

    def register(self, record: records.UpstreamRecord, now: float) -> bool:
        """Apply a record that an upstream sent to this replica.

        :returns: whether it is of the known incarnation and service.
        """
        known = self.table.rows.get(record.upstream)
        sequence = -1 if known is None else known.record.sequence
        if self.table.merge(record, now):
            self._local_position = self.table.position
            self.wake()
        row = self.table.rows.get(record.upstream)
        if row is None or not _is_same_start(row.record, record):
            # A late message of an earlier incarnation, or another writer.
            return False
        if row.is_displaced and record.sequence <= sequence:
            # A copy of an earlier message proves nothing.
            return True
        if self.table.record_heartbeat(record.upstream, now):
            self.publish_local_change()
        self.table.position += 1
        self._heartbeats.append((self.table.position, record.upstream))
        return True

    def merge_batch(self, batch: messages.Struct, now: float) -> None:
        """Apply the rows and heartbeats in a batch of another replica."""
        is_changed = False
        for record in records.from_rows(batch.rows):
            if self.table.merge(record, now):
                is_changed = True
        for upstream in batch.heard or ():
            if self.table.record_heartbeat(upstream, now):
                is_changed = True
        if is_changed:
            self.wake()

    def replace_services(
        self, services: typing.Iterable[identifiers.ServiceName], now: float
    ) -> None:
        """Apply the services of a configuration."""
        if self.table.replace_services(services, now):
            self.publish_local_change()

    def publish_local_change(self) -> None:
        """Send a change that this process made in the table to all followers.

        Replicas get it at once, since no other one has it.
        """
        self._local_position = self.table.position
        self.wake()

    def wake(self) -> None:
        """Wake the waiting followers so that they check for changes."""
        waiting = self._changed
        self._changed = asyncio.Event()
        waiting.set()
        self.wake_replicas()

    def wake_replicas(self) -> None:
        """Wake the waiting replicas only, for what hosts do not get."""
        waiting = self._changed_for_replicas
        self._changed_for_replicas = asyncio.Event()
        waiting.set()

    def update_follower(
        self,
        host: identifiers.HostId,
        follower: FollowerState,
    ) -> None:
        """Record the progress of a follower."""
        self._followers[host] = follower

    def list_hosts(self, now: float) -> list[FollowerState]:
        """Return the hosts that follow this replica, sorted by address."""
        cutoff = now - FOLLOWER_TIMEOUT_SECONDS
        live = [
            one
            for one in self._followers.values()
            if one.polled_at > cutoff and not one.is_replica
        ]
        return sorted(live, key=lambda one: one.address)

    def is_propagated(self, position: int, now: float) -> bool:
        """Tell whether all live followers have seen ``position``."""
        cutoff = now - FOLLOWER_TIMEOUT_SECONDS
        live = [
            one for one in self._followers.values() if one.polled_at > cutoff
        ]
        return all(one.position >= position for one in live)

    def list_replicas_at(
        self, position: int, now: float
    ) -> list[identifiers.Address]:
        """Return the other live replicas that have seen ``position``."""
        cutoff = now - FOLLOWER_TIMEOUT_SECONDS
        return [
            one.address
            for one in self._followers.values()
            if one.is_replica
            and one.polled_at > cutoff
            and one.position >= position
        ]

    async def wait(
        self,
        position: int,
        seconds: float,
        *,
        is_replica: bool = False,
    ) -> None:
        """Wait for a change after ``position``, up to a timeout.

        :param seconds: the timeout.
        :param is_replica: whether a replica waits. Changes that came from
            another replica are delayed for it and sent in larger batches.
        """
        if not self.table.list_changed(position):
            waiting = self._changed
            if is_replica:
                waiting = self._changed_for_replicas
            try:
                async with asyncio.timeout(seconds):
                    await waiting.wait()
            except TimeoutError:
                return
        if not self.table.list_changed(position):
            return
        if is_replica and self._local_position <= position:
            await self._wait_for_local_change(position)

    async def _wait_for_local_change(self, position: int) -> None:
        """Wait for a change registered at this replica, up to the delay."""
        try:
            async with asyncio.timeout(RELAY_DELAY_SECONDS):
                while self._local_position <= position:
                    await self._changed.wait()
        except TimeoutError:
            return

    def find_position(self, request: messages.Struct) -> int:
        """Return the position up to which a follower has seen all changes.

        A follower that comes from another replica mostly has all rows already.
        """
        if request.epoch == self.epoch:
            return int(request.position)
        has_all = request.digest == self.table.digest
        return self.table.position if has_all else 0

    def collect(
        self,
        request: messages.Struct,
        now: float,
    ) -> messages.Struct:
        """Return the changes that the follower has not seen.

        The caller fills in the remaining fields. The oldest changes come
        first, up to a limit. A follower that is far behind continues at the
        position in the answer.
        """
        seen_position = self.find_position(request)
        position = self.table.position
        changed = self._list_changed(seen_position, request)
        if len(changed) > positions.MAX_ROWS:
            changed.sort(key=lambda row: row.position)
            changed = changed[: positions.MAX_ROWS]
            position = changed[-1].position
        return messages.structs.ChangeBatch(
            epoch=self.epoch,
            position=position,
            rows=records.to_rows(_update_warm_up(row, now) for row in changed),
            heard=self._list_heartbeats(seen_position)
            if request.is_replica
            else [],
            silent=self.table.list_silent(now),
            upheld=self.table.list_upheld(now),
        )

    def _list_changed(
        self, seen_position: int, request: messages.Struct
    ) -> list[tables.RegistryRow]:
        """Return the changed rows, without those that the follower has."""
        changed = self.table.list_changed(seen_position)
        if not changed or request.bucket_digests is None:
            return changed
        different = set(
            self.table.buckets.list_different(request.bucket_digests)
        )
        return [
            row
            for row in changed
            if digests.find_bucket(row.record.upstream) in different
        ]

    def _list_heartbeats(
        self, seen_position: int
    ) -> list[identifiers.UpstreamId]:
        upstreams = set()
        for position, upstream in reversed(self._heartbeats):
            if position <= seen_position:
                break
            upstreams.add(upstream)
        return sorted(upstreams)


def _is_same_start(
    known: records.UpstreamRecord, record: records.UpstreamRecord
) -> bool:
    """Tell whether two records are of one incarnation in one service."""
    is_same_service = known.service == record.service
    return is_same_service and known.born_ms == record.born_ms


def _update_warm_up(
    row: tables.RegistryRow,
    now: float,
) -> records.UpstreamRecord:
    """Return the record with the warm-up time that remains at ``now``."""
    remaining_seconds = max(0.0, row.warm_at - now)
    return dataclasses.replace(row.record, warm_seconds=remaining_seconds)
