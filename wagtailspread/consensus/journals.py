"""Journal records: encoding, decoding and replay."""

import dataclasses
import struct

from returns import result

from wagtailspread.consensus import logs, messages
from wagtailspread.core import failures, identifiers

_HARD_STATE_KIND = 1
_ENTRY_KIND = 2
_TRUNCATE_KIND = 3
_RESET_KIND = 4
_COMMIT_KIND = 5
_RECORD_HEADER = struct.Struct('>BI')
_BODY_FIELDS = struct.Struct('>QQB')


@dataclasses.dataclass(frozen=True, slots=True)
class Truncation:
    """All entries from ``first`` on were removed from the log."""

    first: identifiers.LogIndex


@dataclasses.dataclass(frozen=True, slots=True)
class Reset:
    """A snapshot that covers the entries up to ``index`` is durable.

    :param keeps_tail: whether later entries are retained.
    """

    index: identifiers.LogIndex
    term: identifiers.Term
    keeps_tail: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """Entries up to ``index`` are committed.

    It is written together with other records. Without it a restarted replica
    would only serve its snapshot until a leader contacts it.
    """

    index: identifiers.LogIndex


Record = (
    messages.HardStateRecord | messages.LogEntry | Truncation | Reset | Commit
)


@dataclasses.dataclass(frozen=True, slots=True)
class StorageDamaged(failures.Failure):
    """Synced data cannot be read back; the replica must not continue.

    :param path: name of the damaged file.
    :param reason: code of the damage.
    """

    path: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoredState:
    """State that a replica resumes from."""

    identity: identifiers.ReplicaId
    hard_state: messages.HardStateRecord
    log: logs.Log
    commit: identifiers.LogIndex


def list_records(output: messages.Output) -> list[Record]:
    """Return the records that make an output durable, in write order."""
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
    """Return the encoded record, prefixed with its kind and length."""
    kind, body = _pack_body(record)
    return _RECORD_HEADER.pack(kind, len(body)) + body


def unpack_records(payload: bytes) -> list[Record]:
    """Return the records of a frame.

    :raises ValueError: if the payload is not a sequence of valid records.
    """
    records = []
    offset = 0
    while offset < len(payload):
        kind, length = _unpack(_RECORD_HEADER, payload, offset)
        offset += _RECORD_HEADER.size
        records.append(_unpack_body(kind, payload[offset : offset + length]))
        offset += length
    return records


class Replay:
    """State that results from the records added so far."""

    def __init__(self) -> None:
        """Start with the state of an empty journal."""
        self.hard_state = messages.HardStateRecord()
        self.entries: list[messages.LogEntry] = []
        self.commit = identifiers.LogIndex(0)

    def add(self, record: Record) -> bool:
        """Apply the next record.

        :returns: whether it follows the previous ones; an entry after a gap
            does not.
        """
        if isinstance(record, messages.LogEntry):
            return self._add_entry(record)
        if isinstance(record, messages.HardStateRecord):
            self.hard_state = record
        elif isinstance(record, Commit):
            self.commit = record.index
        else:
            self._remove_entries(record)
        return True

    def finish(
        self,
        identity: identifiers.ReplicaId,
        snapshot: messages.Snapshot,
    ) -> result.Result[StoredState, failures.Failure]:
        """Return the state after ``snapshot`` and all records.

        A crash may occur after the snapshot is stored and before its reset
        record is. Later entries are then discarded if the entry at the
        index of the snapshot has another term.

        :returns: the state, or StorageDamaged if entries are missing.
        """
        covered = [
            entry for entry in self.entries if entry.index == snapshot.index
        ]
        if covered and covered[0].term != snapshot.term:
            self.entries = []
        self._filter_entries(lambda entry: entry.index > snapshot.index)
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
                self._filter_entries(lambda known: known.index < entry.index)
        self.entries.append(entry)
        return True

    def _remove_entries(self, record: Truncation | Reset) -> None:
        if isinstance(record, Truncation):
            self._filter_entries(lambda entry: entry.index < record.first)
        elif record.keeps_tail:
            self._filter_entries(lambda entry: entry.index > record.index)
        else:
            self.entries = []

    def _filter_entries(self, predicate: object) -> None:
        self.entries = list(filter(predicate, self.entries))  # type: ignore


def _pack_body(record: Record) -> tuple[int, bytes]:
    if isinstance(record, messages.LogEntry):
        numbers = _BODY_FIELDS.pack(record.index, record.term, record.kind)
        return _ENTRY_KIND, numbers + record.payload
    if isinstance(record, messages.HardStateRecord):
        numbers = _BODY_FIELDS.pack(record.term, 0, 0)
        return _HARD_STATE_KIND, numbers + record.vote.encode()
    if isinstance(record, Truncation):
        return _TRUNCATE_KIND, _BODY_FIELDS.pack(record.first, 0, 0)
    if isinstance(record, Commit):
        return _COMMIT_KIND, _BODY_FIELDS.pack(record.index, 0, 0)
    return _RESET_KIND, _BODY_FIELDS.pack(
        record.index, record.term, record.keeps_tail
    )


def _unpack_body(kind: int, body: bytes) -> Record:
    first, second, third = _unpack(_BODY_FIELDS, body, 0)
    variable = body[_BODY_FIELDS.size :]
    index = identifiers.LogIndex(first)
    term = identifiers.Term(second)
    if kind == _ENTRY_KIND:
        return messages.LogEntry(
            index,
            term,
            messages.EntryKind(third),
            variable,
        )
    if kind == _HARD_STATE_KIND:
        vote = identifiers.ReplicaId(variable.decode())
        return messages.HardStateRecord(identifiers.Term(first), vote)
    if kind == _TRUNCATE_KIND:
        return Truncation(index)
    if kind == _COMMIT_KIND:
        return Commit(index)
    if kind == _RESET_KIND:
        return Reset(index, term, bool(third))
    raise ValueError(f'unknown record kind: expected 1 to 5, got {kind}')


def _unpack(layout: struct.Struct, body: bytes, offset: int) -> tuple:
    try:
        return layout.unpack_from(body, offset)
    except struct.error as error:
        raise ValueError(
            f'short record: expected {layout.size} bytes at offset {offset} '
            f'of {len(body)}',
        ) from error
