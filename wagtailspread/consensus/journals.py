"""Records of the journal, and the state that replaying them gives."""

import dataclasses
import struct

from returns import result

from wagtailspread.consensus import logs, messages
from wagtailspread.core import failures, identifiers

_HARD_STATE = 1
_ENTRY = 2
_TRUNCATE = 3
_RESET = 4
_COMMIT = 5
_HEAD = struct.Struct('>BI')
_NUMBERS = struct.Struct('>QQB')


@dataclasses.dataclass(frozen=True, slots=True)
class Truncation:
    """All entries from ``first`` on are void."""

    first: identifiers.LogIndex


@dataclasses.dataclass(frozen=True, slots=True)
class Reset:
    """A snapshot up to ``index`` is durable.

    :param keeps_tail: whether the entries after it stay.
    """

    index: identifiers.LogIndex
    term: identifiers.Term
    keeps_tail: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """Entries up to ``index`` are committed.

    It is written along with other records. Without it a restarted replica
    serves only its snapshot until it hears a leader.
    """

    index: identifiers.LogIndex


Record = (
    messages.HardStateRecord | messages.LogEntry | Truncation | Reset | Commit
)


@dataclasses.dataclass(frozen=True, slots=True)
class StorageDamaged(failures.Failure):
    """What was synced cannot be read back; the replica must not go on.

    :param path: name of the file.
    :param reason: what is wrong with it.
    """

    path: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoredState:
    """What a replica starts with."""

    identity: identifiers.ReplicaId
    hard_state: messages.HardStateRecord
    log: logs.Log
    commit: identifiers.LogIndex


def list_records(output: messages.Output) -> list[Record]:
    """Return the records that make an output durable, in their order."""
    records: list[Record] = []
    if output.truncate_from is not None:
        records.append(Truncation(output.truncate_from))
    records.extend(output.entries)
    if output.hard_state is not None:
        records.append(output.hard_state)
    if output.committed:
        records.append(Commit(output.committed[-1].index))
    return records


def pack_record(record: Record) -> bytes:
    """Return the record with its kind and length in front."""
    kind, body = _pack_body(record)
    return _HEAD.pack(kind, len(body)) + body


def unpack_records(payload: bytes) -> list[Record]:
    """Return the records of a frame.

    :raises ValueError: if the frame holds anything else.
    """
    records = []
    offset = 0
    while offset < len(payload):
        kind, length = _unpack(_HEAD, payload, offset)
        offset += _HEAD.size
        records.append(_unpack_body(kind, payload[offset : offset + length]))
        offset += length
    return records


class Replay:
    """State after the records read so far."""

    def __init__(self) -> None:
        """Start with nothing."""
        self.hard_state = messages.HardStateRecord()
        self.entries: list[messages.LogEntry] = []
        self.commit = identifiers.LogIndex(0)

    def add(self, record: Record) -> bool:
        """Take the next record; tell whether it fits the ones before."""
        if isinstance(record, messages.LogEntry):
            return self._add_entry(record)
        if isinstance(record, messages.HardStateRecord):
            self.hard_state = record
        elif isinstance(record, Commit):
            self.commit = record.index
        else:
            self._drop(record)
        return True

    def finish(
        self,
        identity: identifiers.ReplicaId,
        snapshot: messages.Snapshot,
    ) -> result.Result[StoredState, failures.Failure]:
        """Return the state after ``snapshot`` and all records.

        A crash can come between the snapshot and its reset record. The
        entries after the snapshot then stay only if they continue it.
        """
        covered = [one for one in self.entries if one.index == snapshot.index]
        if covered and covered[0].term != snapshot.term:
            self.entries = []
        self._keep(lambda entry: entry.index > snapshot.index)
        if self.entries and self.entries[0].index != snapshot.index + 1:
            damage = StorageDamaged('journal', 'entries-missing')
            return result.Failure(damage)
        log = logs.create_log(snapshot, tuple(self.entries))
        commit = min(max(self.commit, snapshot.index), log.last_index)
        return result.Success(
            StoredState(identity, self.hard_state, log, commit),
        )

    def _add_entry(self, entry: messages.LogEntry) -> bool:
        if self.entries:
            last = self.entries[-1].index
            if entry.index > last + 1:
                return False
            if entry.index <= last:
                self._keep(lambda known: known.index < entry.index)
        self.entries.append(entry)
        return True

    def _drop(self, record: Truncation | Reset) -> None:
        if isinstance(record, Truncation):
            self._keep(lambda entry: entry.index < record.first)
        elif record.keeps_tail:
            self._keep(lambda entry: entry.index > record.index)
        else:
            self.entries = []

    def _keep(self, is_kept: object) -> None:
        self.entries = list(filter(is_kept, self.entries))  # type: ignore


def _pack_body(record: Record) -> tuple[int, bytes]:
    if isinstance(record, messages.LogEntry):
        numbers = _NUMBERS.pack(record.index, record.term, record.kind)
        return _ENTRY, numbers + record.payload
    if isinstance(record, messages.HardStateRecord):
        numbers = _NUMBERS.pack(record.term, 0, 0)
        return _HARD_STATE, numbers + record.vote.encode()
    if isinstance(record, Truncation):
        return _TRUNCATE, _NUMBERS.pack(record.first, 0, 0)
    if isinstance(record, Commit):
        return _COMMIT, _NUMBERS.pack(record.index, 0, 0)
    return _RESET, _NUMBERS.pack(record.index, record.term, record.keeps_tail)


def _unpack_body(kind: int, body: bytes) -> Record:
    first, second, third = _unpack(_NUMBERS, body, 0)
    rest = body[_NUMBERS.size :]
    index = identifiers.LogIndex(first)
    term = identifiers.Term(second)
    if kind == _ENTRY:
        return messages.LogEntry(
            index,
            term,
            messages.EntryKind(third),
            rest,
        )
    if kind == _HARD_STATE:
        vote = identifiers.ReplicaId(rest.decode())
        return messages.HardStateRecord(identifiers.Term(first), vote)
    if kind == _TRUNCATE:
        return Truncation(index)
    if kind == _COMMIT:
        return Commit(index)
    if kind == _RESET:
        return Reset(index, term, bool(third))
    raise ValueError('unknown record kind', kind)


def _unpack(layout: struct.Struct, body: bytes, offset: int) -> tuple:
    try:
        return layout.unpack_from(body, offset)
    except struct.error as error:
        raise ValueError('short record') from error
