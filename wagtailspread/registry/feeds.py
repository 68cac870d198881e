"""The changes that a replica passes on to those that follow it.

A follower names the last position that it has seen. Rows are kept in the
table, so any position can be continued; signs of life are kept for a short
while, since older ones are worth nothing.
"""

import asyncio
import collections
import dataclasses

from wagtailspread.core import identifiers
from wagtailspread.registry import records, tables
from wagtailspread.wire import messages

#: Signs of life that are kept for replicas that are behind.
MAX_HEARTBEATS = 4096
#: A follower that asked for nothing for this long is not counted, in seconds.
FOLLOWER_TIMEOUT_SECONDS = 2.0
#: Time for which changes that came from another replica are held back from
#: replicas, in seconds. They mostly have them already, and each answer crosses
#: the link between regions; those that are cut off from the origin get them
#: early enough to stop work within the 2 s of a departure.
RELAY_DELAY_SECONDS = 0.4
#: Rows in one answer: some 25 KB, which a link of 2 Mbit/s carries in 0.1 s.
MAX_ROWS = 256
#: Epoch that a follower names before its first answer.
NO_EPOCH = 0


@dataclasses.dataclass(slots=True)
class FollowerState:
    """A host or replica that follows this one.

    :param address: where it speaks the fleet's own protocol.
    :param position: what it has seen.
    :param polled_at: when it asked last, in seconds.
    """

    address: identifiers.Address
    domain: identifiers.FailureDomain
    is_replica: bool
    position: int
    polled_at: float


class ChangeFeed:
    """Registrations at one replica.

    :param table: the upstreams that this replica knows.
    """

    def __init__(self, epoch: int) -> None:
        """Start empty.

        :param epoch: tells this start of the replica from its earlier ones.
        """
        self.epoch = epoch
        self.table = tables.create_table()
        self._heartbeats: collections.deque[tuple[int, identifiers.UpstreamId]]
        self._heartbeats = collections.deque(maxlen=MAX_HEARTBEATS)
        self._followers: dict[identifiers.HostId, FollowerState] = {}
        self._changed = asyncio.Event()
        #: Position of the last change that was told to this replica itself.
        self._local_position = 0

    @property
    def position(self) -> int:
        """Position of the last change."""
        return self.table.position

    def register(self, record: records.UpstreamRecord, now: float) -> None:
        """Take what an upstream says of itself to this replica."""
        if self.table.merge(record, now):
            self._local_position = self.table.position
            self.wake()
        self.table.record_heartbeat(record.upstream, now)
        self.table.position += 1
        self._heartbeats.append((self.table.position, record.upstream))

    def merge_batch(self, batch: messages.Struct, now: float) -> None:
        """Take what another replica passes on."""
        is_changed = False
        for row in batch.rows:
            if self.table.merge(records.from_row(row), now):
                is_changed = True
        for upstream in batch.heard:
            self.table.record_heartbeat(upstream, now)
        if is_changed:
            self.wake()

    def wake(self) -> None:
        """Let the followers that wait look again."""
        waiting = self._changed
        self._changed = asyncio.Event()
        waiting.set()

    def update_follower(
        self,
        host: identifiers.HostId,
        follower: FollowerState,
    ) -> None:
        """Note what a follower has seen."""
        self._followers[host] = follower

    def list_hosts(self, now: float) -> list[FollowerState]:
        """Return the hosts that follow this replica, in order of address."""
        cutoff = now - FOLLOWER_TIMEOUT_SECONDS
        live = [
            one
            for one in self._followers.values()
            if one.polled_at > cutoff and not one.is_replica
        ]
        return sorted(live, key=lambda one: one.address)

    def is_propagated(self, position: int, replicas: int, now: float) -> bool:
        """Tell whether the live followers have seen ``position``.

        :param replicas: other replicas that must have seen it.
        """
        cutoff = now - FOLLOWER_TIMEOUT_SECONDS
        live = [
            one for one in self._followers.values() if one.polled_at > cutoff
        ]
        if any(one.position < position for one in live):
            return False
        return self.count_replicas_at(position, now) >= replicas

    def count_replicas_at(self, position: int, now: float) -> int:
        """Return the other replicas that have seen ``position``."""
        cutoff = now - FOLLOWER_TIMEOUT_SECONDS
        informed = [
            one
            for one in self._followers.values()
            if one.is_replica
            and one.polled_at > cutoff
            and one.position >= position
        ]
        return len(informed)

    async def wait(
        self,
        position: int,
        seconds: float,
        *,
        is_replica: bool = False,
    ) -> None:
        """Wait until there is something after ``position``, or a while.

        :param is_replica: whether a replica waits. It gets changes that came
            from another one a little later, many at a time.
        """
        if not self.table.list_changed(position):
            waiting = self._changed
            try:
                async with asyncio.timeout(seconds):
                    await waiting.wait()
            except TimeoutError:
                return
        if is_replica and self._local_position <= position:
            await self._wait_for_local_change(position)

    async def _wait_for_local_change(self, position: int) -> None:
        """Wait for a change that was told to this replica, or a while."""
        try:
            async with asyncio.timeout(RELAY_DELAY_SECONDS):
                while self._local_position <= position:
                    await self._changed.wait()
        except TimeoutError:
            return

    def collect(
        self,
        request: messages.Struct,
        now: float,
    ) -> messages.Struct:
        """Return what the follower has not seen; the caller adds the rest.

        The oldest changes come first. A follower that has missed many asks
        again at the position that it has come to.
        """
        known = request.position if request.epoch == self.epoch else 0
        position = self.table.position
        changed = self.table.list_changed(known)
        if len(changed) > MAX_ROWS:
            changed.sort(key=lambda row: row.position)
            changed = changed[:MAX_ROWS]
            position = changed[-1].position
        return messages.structs.ChangeBatch(
            epoch=self.epoch,
            position=position,
            rows=[records.to_row(_update_warm_up(row, now)) for row in changed],
            heard=self._list_heartbeats(known) if request.is_replica else [],
            silent=self.table.list_silent(now),
        )

    def _list_heartbeats(self, known: int) -> list[identifiers.UpstreamId]:
        heard = set()
        for position, upstream in reversed(self._heartbeats):
            if position <= known:
                break
            heard.add(upstream)
        return sorted(heard)


def _update_warm_up(
    row: tables.RegistryRow,
    now: float,
) -> records.UpstreamRecord:
    """Return the record with the warm-up time that is left now."""
    remaining_seconds = max(0.0, row.warm_at - now)
    return dataclasses.replace(row.record, warm_seconds=remaining_seconds)
