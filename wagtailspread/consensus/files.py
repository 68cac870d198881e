"""File storage of a replica in one data folder.

``identity`` holds the identity of the replica. ``journal-*`` hold frames; each
frame has the records of one sync, so a valid frame proves that all earlier
frames were synced. ``snapshot-*`` holds the state after a log entry.
``synced`` records how many bytes of the last journal file were synced; it is
not synced itself, so it survives a crash of the process but not always a crash
of the machine. Every file starts with its kind and format version.
"""

import contextlib
import errno
import os
import pathlib
import shutil
import struct
import uuid

from returns import result

from wagtailspread.consensus import frames, journals, logs, messages, storage
from wagtailspread.core import identifiers

_IDENTITY_NAME = 'identity'
_SYNCED_NAME = 'synced'
_JOURNAL_PREFIX = 'journal-'
_SNAPSHOT_PREFIX = 'snapshot-'
_TEMPORARY_SUFFIX = '.new'
_SYNCED_POSITION = struct.Struct('>QQ')
_SNAPSHOT_HEADER = struct.Struct('>QQI')


class FileStorage:
    """File storage of one replica. Use :func:`create_storage`.

    It is not thread-safe: only one thread may use it at a time.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Create a storage without reading or writing files."""
        self._folder = folder
        self._pending: list[bytes] = []
        self._journal_descriptor = -1
        self._journal_number = 0
        self._journal_bytes = 0
        self._last_indexes: dict[int, int] = {}
        self._hard_state = messages.HardStateRecord()
        self._snapshot_index = identifiers.LogIndex(0)

    @property
    def folder(self) -> pathlib.Path:
        """The data folder."""
        return self._folder

    def load(self) -> storage.LoadResult:
        """Return the stored state; a new folder gets a new identity.

        :returns: the state, or StorageDamaged, DiskFull or DiskFailed.
        """
        try:
            return self._load()
        except frames.FrameDamaged as damage:
            return result.Failure(
                journals.StorageDamaged(damage.name, damage.reason),
            )
        except OSError as error:
            return _create_failure(error)

    def write(self, output: messages.Output) -> storage.StorageResult:
        """Buffer the records of an output for the next sync."""
        if output.snapshot is not None:
            saved = self.save_snapshot(
                output.snapshot,
                keeps_tail=output.keeps_tail,
            )
            if not isinstance(saved, result.Success):
                return saved
        for record in journals.list_records(output):
            self._track_record(record)
            self._pending.append(journals.pack_record(record))
        return storage.DONE

    def sync(self) -> storage.StorageResult:
        """Write the buffered records as one frame and sync it."""
        if not self._pending:
            return storage.DONE
        try:
            self._sync()
        except OSError as error:
            return _create_failure(error)
        return storage.DONE

    def save_snapshot(
        self,
        snapshot: messages.Snapshot,
        *,
        keeps_tail: bool,
    ) -> storage.StorageResult:
        """Store a snapshot atomically and remove the files it covers.

        :param keeps_tail: whether later entries are retained.
        """
        synced = self.sync()
        if not isinstance(synced, result.Success):
            return synced
        if snapshot.index <= self._snapshot_index:
            return storage.DONE
        try:
            self._save_snapshot(snapshot, keeps_tail=keeps_tail)
        except OSError as error:
            return _create_failure(error)
        return storage.DONE

    def close(self) -> None:
        """Close the journal file; closing it again has no effect."""
        if self._journal_descriptor >= 0:
            os.close(self._journal_descriptor)
            self._journal_descriptor = -1

    def _load(self) -> storage.LoadResult:
        self._folder.mkdir(parents=True, exist_ok=True)
        frames.sync_folder(self._folder.parent)
        for temporary in self._folder.glob(f'*{_TEMPORARY_SUFFIX}'):
            temporary.unlink()
        identity = self._load_identity()
        snapshot = self._load_snapshot()
        replay = journals.Replay()
        numbers = _list_numbers(self._folder, _JOURNAL_PREFIX)
        if not numbers:
            raise frames.FrameDamaged(_JOURNAL_PREFIX, 'file-missing')
        for number in numbers:
            self._load_journal(number, replay, is_last=number == numbers[-1])
        self._hard_state = replay.hard_state
        self._snapshot_index = snapshot.index
        self._open_journal(numbers[-1])
        return replay.finish(identity, snapshot)

    def _load_identity(self) -> identifiers.ReplicaId:
        path = self._folder / _IDENTITY_NAME
        if path.exists():
            payload = frames.read_frame_file(path, frames.FileKind.IDENTITY)
            return identifiers.ReplicaId(payload.decode())
        for number in _list_numbers(self._folder, _JOURNAL_PREFIX):
            journal = self._create_path(_JOURNAL_PREFIX, number)
            if journal.stat().st_size > frames.HEADER_BYTES:
                raise frames.FrameDamaged(_IDENTITY_NAME, 'file-missing')
        return self._create_identity()

    def _create_identity(self) -> identifiers.ReplicaId:
        # The journal is created first: an identity file without a journal
        # counts as damage.
        self._create_journal(1)
        identity = uuid.uuid4().hex
        self._replace(
            self._folder / _IDENTITY_NAME,
            frames.FileKind.IDENTITY,
            identity.encode(),
        )
        return identifiers.ReplicaId(identity)

    def _load_snapshot(self) -> messages.Snapshot:
        numbers = _list_numbers(self._folder, _SNAPSHOT_PREFIX)
        if not numbers:
            return logs.EMPTY_SNAPSHOT
        path = self._create_path(_SNAPSHOT_PREFIX, numbers[-1])
        payload = frames.read_frame_file(path, frames.FileKind.SNAPSHOT)
        index, term, length = _SNAPSHOT_HEADER.unpack_from(payload)
        start = _SNAPSHOT_HEADER.size + length
        return messages.Snapshot(
            identifiers.LogIndex(index),
            identifiers.Term(term),
            messages.decode_membership(payload[_SNAPSHOT_HEADER.size : start]),
            payload[start:],
        )

    def _load_journal(
        self,
        number: int,
        replay: journals.Replay,
        *,
        is_last: bool,
    ) -> None:
        path = self._create_path(_JOURNAL_PREFIX, number)
        synced_bytes = self._read_synced(number) if is_last else None
        for payload in frames.read_frames(path, synced_bytes, is_last=is_last):
            self._replay(path, payload, replay)
        if replay.entries:
            self._last_indexes[number] = replay.entries[-1].index

    def _replay(
        self,
        path: pathlib.Path,
        payload: bytes,
        replay: journals.Replay,
    ) -> None:
        try:
            records = journals.unpack_records(payload)
        except ValueError as error:
            raise frames.FrameDamaged(path.name, 'record') from error
        for record in records:
            if not replay.add(record):
                raise frames.FrameDamaged(path.name, 'entries-missing')

    def _track_record(self, record: journals.Record) -> None:
        if isinstance(record, messages.HardStateRecord):
            self._hard_state = record
        elif isinstance(record, messages.LogEntry):
            last_index = self._last_indexes.get(self._journal_number, 0)
            self._last_indexes[self._journal_number] = max(
                last_index, record.index
            )

    def _sync(self) -> None:
        frame = frames.pack_frame(b''.join(self._pending))
        self._pending = []
        frames.write_all(self._journal_descriptor, frame)
        os.fdatasync(self._journal_descriptor)
        self._journal_bytes += len(frame)
        self._write_synced()

    def _write_synced(self) -> None:
        position = _SYNCED_POSITION.pack(
            self._journal_number, self._journal_bytes
        )
        path = self._folder / _SYNCED_NAME
        frames.write_unsynced(path, frames.FileKind.SYNCED, position)

    def _read_synced(self, number: int) -> int | None:
        path = self._folder / _SYNCED_NAME
        with contextlib.suppress(frames.FrameDamaged, FileNotFoundError):
            payload = frames.read_frame_file(path, frames.FileKind.SYNCED)
            synced_number, size = _SYNCED_POSITION.unpack(payload)
            if synced_number == number:
                return size
        return None

    def _save_snapshot(
        self,
        snapshot: messages.Snapshot,
        *,
        keeps_tail: bool,
    ) -> None:
        membership = messages.encode_membership(snapshot.membership)
        header = _SNAPSHOT_HEADER.pack(
            snapshot.index, snapshot.term, len(membership)
        )
        self._replace(
            self._create_path(_SNAPSHOT_PREFIX, snapshot.index),
            frames.FileKind.SNAPSHOT,
            header + membership + snapshot.payload,
        )
        self._snapshot_index = snapshot.index
        self._start_journal(snapshot, keeps_tail=keeps_tail)
        self._remove_covered_files(snapshot, keeps_tail=keeps_tail)

    def _start_journal(
        self,
        snapshot: messages.Snapshot,
        *,
        keeps_tail: bool,
    ) -> None:
        reset = journals.Reset(snapshot.index, snapshot.term, keeps_tail)
        number = self._journal_number + 1
        self.close()
        self._create_journal(number)
        self._open_journal(number)
        self._pending.append(journals.pack_record(self._hard_state))
        self._pending.append(journals.pack_record(reset))
        self._sync()

    def _remove_covered_files(
        self,
        snapshot: messages.Snapshot,
        *,
        keeps_tail: bool,
    ) -> None:
        for number in _list_numbers(self._folder, _SNAPSHOT_PREFIX):
            if number != snapshot.index:
                self._create_path(_SNAPSHOT_PREFIX, number).unlink()
        for number in self._list_covered_journals(
            snapshot, keeps_tail=keeps_tail
        ):
            self._create_path(_JOURNAL_PREFIX, number).unlink()
            self._last_indexes.pop(number, None)
        frames.sync_folder(self._folder)

    def _list_covered_journals(
        self,
        snapshot: messages.Snapshot,
        *,
        keeps_tail: bool,
    ) -> list[int]:
        covered = []
        for number in _list_numbers(self._folder, _JOURNAL_PREFIX):
            last = self._last_indexes.get(number, 0)
            is_needed = keeps_tail and last > snapshot.index
            if number == self._journal_number or is_needed:
                break
            covered.append(number)
        return covered

    def _create_journal(self, number: int) -> None:
        path = self._create_path(_JOURNAL_PREFIX, number)
        temporary = path.with_name(path.name + _TEMPORARY_SUFFIX)
        frames.create_file(temporary, frames.FileKind.JOURNAL)
        temporary.rename(path)
        frames.sync_folder(self._folder)

    def _open_journal(self, number: int) -> None:
        path = self._create_path(_JOURNAL_PREFIX, number)
        self._journal_descriptor = os.open(path, os.O_WRONLY | os.O_APPEND)
        self._journal_number = number
        self._journal_bytes = path.stat().st_size

    def _replace(
        self,
        path: pathlib.Path,
        kind: frames.FileKind,
        payload: bytes,
    ) -> None:
        temporary = path.with_name(path.name + _TEMPORARY_SUFFIX)
        frames.write_frame_file(temporary, kind, payload)
        temporary.rename(path)
        frames.sync_folder(self._folder)

    def _create_path(self, prefix: str, number: int) -> pathlib.Path:
        return self._folder / f'{prefix}{number:016d}'


def create_storage(folder: pathlib.Path) -> FileStorage:
    """Return the storage in ``folder``; loading it creates the folder."""
    return FileStorage(folder)


def _list_numbers(folder: pathlib.Path, prefix: str) -> list[int]:
    names = [path.name for path in folder.glob(f'{prefix}*')]
    return sorted(int(name.removeprefix(prefix)) for name in names)


def _create_failure(error: OSError) -> result.Failure:
    if error.errno in {errno.ENOSPC, errno.EDQUOT}:
        return result.Failure(frames.DiskFull(str(error.strerror)))
    return result.Failure(frames.DiskFailed(str(error)))


def discard(folder: pathlib.Path) -> None:
    """Rename a data folder whose identity must not be used again.

    The new name has the suffix ``-discarded``. A single rename is atomic, so a
    crash leaves either the old folder or none. The last discarded folder stays
    for inspection; an earlier one is deleted.

    :raises OSError: if the disk refuses it; the folder is still there.
    """
    remove_discarded(folder)
    folder.rename(_create_discarded_path(folder))
    frames.sync_folder(folder.parent)


def remove_discarded(folder: pathlib.Path) -> None:
    """Delete the folder that :func:`discard` left, to make room."""
    shutil.rmtree(_create_discarded_path(folder), ignore_errors=True)


def _create_discarded_path(folder: pathlib.Path) -> pathlib.Path:
    return folder.with_name(f'{folder.name}-discarded')
