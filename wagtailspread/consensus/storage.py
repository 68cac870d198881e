"""Durable state of a replica: the protocol and the store for tests."""

import random as random_module
import typing

from returns import result

from wagtailspread.consensus import journals, logs, messages
from wagtailspread.core import failures, identifiers

StorageResult = result.Result[None, failures.Failure]
LoadResult = result.Result[journals.StoredState, failures.Failure]

DONE: StorageResult = result.Success(None)


class Storage(typing.Protocol):
    """Where a replica keeps what must survive a crash.

    A failure of ``write``, ``sync`` or ``save_snapshot`` is final: what is on
    the disk is not known afterwards, so the replica stops.
    """

    def load(self) -> LoadResult:
        """Return the stored state, or the state of a new identity."""

    def write(self, output: messages.Output) -> StorageResult:
        """Take the output's records; they are durable after :meth:`sync`."""

    def sync(self) -> StorageResult:
        """Make everything written so far durable."""

    def save_snapshot(
        self,
        snapshot: messages.Snapshot,
        *,
        keeps_tail: bool,
    ) -> StorageResult:
        """Make a snapshot durable and drop what it covers.

        :param keeps_tail: whether entries after it stay.
        """


class MemoryStorage:
    """A store that loses what was not synced.

    :param identity: of the replica that owns it.
    """

    def __init__(self, identity: identifiers.ReplicaId) -> None:
        """Start empty."""
        self.identity = identity
        self._synced: list[journals.Record] = []
        self._unsynced: list[journals.Record] = []
        self._snapshot = logs.EMPTY_SNAPSHOT

    def load(self) -> LoadResult:
        """Return the state after all records."""
        replay = journals.Replay()
        for record in self._synced + self._unsynced:
            if not replay.add(record):
                damage = journals.StorageDamaged('memory', 'gap')
                return result.Failure(damage)
        return replay.finish(self.identity, self._snapshot)

    def write(self, output: messages.Output) -> StorageResult:
        """Keep the records until they are synced or lost."""
        if output.snapshot is not None:
            self.save_snapshot(output.snapshot, keeps_tail=output.keeps_tail)
        self._unsynced.extend(journals.list_records(output))
        return DONE

    def sync(self) -> StorageResult:
        """Make the records durable."""
        self._synced.extend(self._unsynced)
        self._unsynced = []
        return DONE

    def save_snapshot(
        self,
        snapshot: messages.Snapshot,
        *,
        keeps_tail: bool,
    ) -> StorageResult:
        """Keep the snapshot and note it among the records."""
        self.sync()
        if snapshot.index <= self._snapshot.index:
            return DONE
        self._snapshot = snapshot
        reset = journals.Reset(snapshot.index, snapshot.term, keeps_tail)
        self._synced.append(reset)
        return DONE

    def lose_unsynced(self, random: random_module.Random) -> None:
        """Crash: a random number of the first unsynced records remain."""
        kept = random.randint(0, len(self._unsynced))
        self._synced.extend(self._unsynced[:kept])
        self._unsynced = []
