"""Storage of a replica: the interface and an in-memory store for tests."""

import random as random_module
import typing

from returns import result

from wagtailspread.consensus import journals, logs, messages
from wagtailspread.core import failures, identifiers

StorageResult = result.Result[None, failures.Failure]
LoadResult = result.Result[journals.StoredState, failures.Failure]

DONE: StorageResult = result.Success(None)


class Storage(typing.Protocol):
    """Storage for the state of a replica that must survive a crash.

    A failure of ``write``, ``sync`` or ``save_snapshot`` is permanent: the
    content of the disk is unknown afterwards, so the replica must stop.
    """

    def load(self) -> LoadResult:
        """Return the stored state; an empty store gets a new identity."""

    def write(self, output: messages.Output) -> StorageResult:
        """Add the records of an output; :meth:`sync` makes them durable."""

    def sync(self) -> StorageResult:
        """Make all records written so far durable."""

    def save_snapshot(
        self,
        snapshot: messages.Snapshot,
        *,
        keeps_tail: bool,
    ) -> StorageResult:
        """Make a snapshot durable and delete the entries that it covers.

        :param keeps_tail: whether later entries are retained.
        """


class MemoryStorage:
    """In-memory store that can lose unsynced records.

    :param identity: identity of the replica.
    """

    def __init__(self, identity: identifiers.ReplicaId) -> None:
        """Create an empty store."""
        self.identity = identity
        self._synced: list[journals.Record] = []
        self._unsynced: list[journals.Record] = []
        self._snapshot = logs.EMPTY_SNAPSHOT

    def load(self) -> LoadResult:
        """Return the state that all records give, synced or not."""
        replay = journals.Replay()
        for record in self._synced + self._unsynced:
            if not replay.add(record):
                damage = journals.StorageDamaged('memory', 'gap')
                return result.Failure(damage)
        return replay.finish(self.identity, self._snapshot)

    def write(self, output: messages.Output) -> StorageResult:
        """Add records that :meth:`lose_unsynced` may discard."""
        if output.snapshot is not None:
            self.save_snapshot(output.snapshot, keeps_tail=output.keeps_tail)
        self._unsynced.extend(journals.list_records(output))
        return DONE

    def sync(self) -> StorageResult:
        """Mark all records as synced."""
        self._synced.extend(self._unsynced)
        self._unsynced = []
        return DONE

    def save_snapshot(
        self,
        snapshot: messages.Snapshot,
        *,
        keeps_tail: bool,
    ) -> StorageResult:
        """Sync, then store the snapshot and a reset record for it."""
        self.sync()
        if snapshot.index <= self._snapshot.index:
            return DONE
        self._snapshot = snapshot
        reset = journals.Reset(snapshot.index, snapshot.term, keeps_tail)
        self._synced.append(reset)
        return DONE

    def lose_unsynced(self, random: random_module.Random) -> None:
        """Simulate a crash: a random prefix of the unsynced records survives.

        :param random: source of the length of that prefix.
        """
        survivor_count = random.randint(0, len(self._unsynced))
        self._synced.extend(self._unsynced[:survivor_count])
        self._unsynced = []
