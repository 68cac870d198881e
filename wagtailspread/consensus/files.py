"""Storage of a replica in files under one data folder.

``identity`` names the replica. ``journal-*`` hold frames; a frame is what was
synced at once, so a valid frame proves that all frames before it were synced.
``snapshot-*`` holds the state after an entry. ``synced`` tells how much of the
last journal file was synced; it is written without a sync of its own, and so
survives the crash of the process but not always that of the machine. Every
file starts with its kind and format version.
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

_IDENTITY = 'identity'
_SYNCED = 'synced'
_JOURNAL = 'journal-'
_SNAPSHOT = 'snapshot-'
_TEMPORARY = '.new'
_POSITION = struct.Struct('>QQ')
_META = struct.Struct('>QQI')


class FileStorage:
    """Files of one replica. Use :func:`create_storage`.

    Only one thread may use it at a time.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Keep the folder; nothing is read or written yet."""
        self._folder = folder
        self._pending: list[bytes] = []
        self._journal = -1
        self._number = 0
        self._size = 0
        self._last_indexes: dict[int, int] = {}
        self._hard_state = messages.HardStateRecord()
        self._snapshot_index = identifiers.LogIndex(0)

    @property
    def folder(self) -> pathlib.Path:
        """The data folder."""
        return self._folder

    def load(self) -> storage.LoadResult:
        """Return the stored state; a new folder gets a new identity."""
        try:
            return self._load()
        except frames.FrameDamaged as damage:
            return result.Failure(
                journals.StorageDamaged(damage.name, damage.reason),
            )
        except OSError as error:
            return _fail(error)

    def write(self, output: messages.Output) -> storage.StorageResult:
        """Collect the records of an output for the next sync."""
        if output.snapshot is not None:
            saved = self.save_snapshot(
                output.snapshot,
                keeps_tail=output.keeps_tail,
            )
            if not isinstance(saved, result.Success):
                return saved
        for record in journals.list_records(output):
            self._note(record)
            self._pending.append(journals.pack_record(record))
        return storage.DONE

    def sync(self) -> storage.StorageResult:
        """Write the collected records as one frame and sync it."""
        if not self._pending:
            return storage.DONE
        try:
            self._sync()
        except OSError as error:
            return _fail(error)
        return storage.DONE

    def save_snapshot(
        self,
        snapshot: messages.Snapshot,
        *,
        keeps_tail: bool,
    ) -> storage.StorageResult:
        """Write, sync and rename a snapshot; drop what it covers."""
        synced = self.sync()
        if not isinstance(synced, result.Success):
            return synced
        if snapshot.index <= self._snapshot_index:
            return storage.DONE
        try:
            self._save_snapshot(snapshot, keeps_tail=keeps_tail)
        except OSError as error:
            return _fail(error)
        return storage.DONE

    def close(self) -> None:
        """Close the journal."""
        if self._journal >= 0:
            os.close(self._journal)
            self._journal = -1

    def _load(self) -> storage.LoadResult:
        self._folder.mkdir(parents=True, exist_ok=True)
        frames.sync_folder(self._folder.parent)
        for left_over in self._folder.glob(f'*{_TEMPORARY}'):
            left_over.unlink()
        identity = self._load_identity()
        snapshot = self._load_snapshot()
        replay = journals.Replay()
        numbers = _list_numbers(self._folder, _JOURNAL)
        if not numbers:
            raise frames.FrameDamaged(_JOURNAL, 'file-missing')
        for number in numbers:
            self._load_journal(number, replay, is_last=number == numbers[-1])
        self._hard_state = replay.hard_state
        self._snapshot_index = snapshot.index
        self._open_journal(numbers[-1])
        return replay.finish(identity, snapshot)

    def _load_identity(self) -> identifiers.ReplicaId:
        path = self._folder / _IDENTITY
        if path.exists():
            payload = frames.read_whole(path, frames.FileKind.IDENTITY)
            return identifiers.ReplicaId(payload.decode())
        for number in _list_numbers(self._folder, _JOURNAL):
            used = self._path(_JOURNAL, number)
            if used.stat().st_size > frames.HEADER_BYTES:
                raise frames.FrameDamaged(_IDENTITY, 'file-missing')
        return self._create_identity()

    def _create_identity(self) -> identifiers.ReplicaId:
        # The journal comes first: an identity without one is damage.
        self._create_journal(1)
        identity = uuid.uuid4().hex
        self._replace(
            self._folder / _IDENTITY,
            frames.FileKind.IDENTITY,
            identity.encode(),
        )
        return identifiers.ReplicaId(identity)

    def _load_snapshot(self) -> messages.Snapshot:
        numbers = _list_numbers(self._folder, _SNAPSHOT)
        if not numbers:
            return logs.EMPTY_SNAPSHOT
        path = self._path(_SNAPSHOT, numbers[-1])
        payload = frames.read_whole(path, frames.FileKind.SNAPSHOT)
        index, term, length = _META.unpack_from(payload)
        start = _META.size + length
        return messages.Snapshot(
            identifiers.LogIndex(index),
            identifiers.Term(term),
            messages.decode_membership(payload[_META.size : start]),
            payload[start:],
        )

    def _load_journal(
        self,
        number: int,
        replay: journals.Replay,
        *,
        is_last: bool,
    ) -> None:
        path = self._path(_JOURNAL, number)
        synced = self._read_synced(number) if is_last else None
        for payload in frames.read_frames(path, synced, is_last=is_last):
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

    def _note(self, record: journals.Record) -> None:
        if isinstance(record, messages.HardStateRecord):
            self._hard_state = record
        elif isinstance(record, messages.LogEntry):
            known = self._last_indexes.get(self._number, 0)
            self._last_indexes[self._number] = max(known, record.index)

    def _sync(self) -> None:
        frame = frames.pack_frame(b''.join(self._pending))
        self._pending = []
        frames.write_all(self._journal, frame)
        os.fdatasync(self._journal)
        self._size += len(frame)
        self._write_synced()

    def _write_synced(self) -> None:
        position = _POSITION.pack(self._number, self._size)
        path = self._folder / _SYNCED
        frames.write_unsynced(path, frames.FileKind.SYNCED, position)

    def _read_synced(self, number: int) -> int | None:
        path = self._folder / _SYNCED
        with contextlib.suppress(frames.FrameDamaged, FileNotFoundError):
            payload = frames.read_whole(path, frames.FileKind.SYNCED)
            known, size = _POSITION.unpack(payload)
            if known == number:
                return size
        return None

    def _save_snapshot(
        self,
        snapshot: messages.Snapshot,
        *,
        keeps_tail: bool,
    ) -> None:
        membership = messages.encode_membership(snapshot.membership)
        meta = _META.pack(snapshot.index, snapshot.term, len(membership))
        self._replace(
            self._path(_SNAPSHOT, snapshot.index),
            frames.FileKind.SNAPSHOT,
            meta + membership + snapshot.payload,
        )
        self._snapshot_index = snapshot.index
        self._start_journal(snapshot, keeps_tail=keeps_tail)
        self._drop_covered(snapshot, keeps_tail=keeps_tail)

    def _start_journal(
        self,
        snapshot: messages.Snapshot,
        *,
        keeps_tail: bool,
    ) -> None:
        reset = journals.Reset(snapshot.index, snapshot.term, keeps_tail)
        number = self._number + 1
        self.close()
        self._create_journal(number)
        self._open_journal(number)
        self._pending.append(journals.pack_record(self._hard_state))
        self._pending.append(journals.pack_record(reset))
        self._sync()

    def _drop_covered(
        self,
        snapshot: messages.Snapshot,
        *,
        keeps_tail: bool,
    ) -> None:
        for number in _list_numbers(self._folder, _SNAPSHOT):
            if number != snapshot.index:
                self._path(_SNAPSHOT, number).unlink()
        for number in self._list_covered(snapshot, keeps_tail=keeps_tail):
            self._path(_JOURNAL, number).unlink()
            self._last_indexes.pop(number, None)
        frames.sync_folder(self._folder)

    def _list_covered(
        self,
        snapshot: messages.Snapshot,
        *,
        keeps_tail: bool,
    ) -> list[int]:
        covered = []
        for number in _list_numbers(self._folder, _JOURNAL):
            last = self._last_indexes.get(number, 0)
            is_needed = keeps_tail and last > snapshot.index
            if number == self._number or is_needed:
                break
            covered.append(number)
        return covered

    def _create_journal(self, number: int) -> None:
        path = self._path(_JOURNAL, number)
        temporary = path.with_name(path.name + _TEMPORARY)
        frames.create_file(temporary, frames.FileKind.JOURNAL)
        temporary.rename(path)
        frames.sync_folder(self._folder)

    def _open_journal(self, number: int) -> None:
        path = self._path(_JOURNAL, number)
        self._journal = os.open(path, os.O_WRONLY | os.O_APPEND)
        self._number = number
        self._size = path.stat().st_size

    def _replace(
        self,
        path: pathlib.Path,
        kind: frames.FileKind,
        payload: bytes,
    ) -> None:
        temporary = path.with_name(path.name + _TEMPORARY)
        frames.write_whole(temporary, kind, payload)
        temporary.rename(path)
        frames.sync_folder(self._folder)

    def _path(self, prefix: str, number: int) -> pathlib.Path:
        return self._folder / f'{prefix}{number:016d}'


def create_storage(folder: pathlib.Path) -> FileStorage:
    """Return the storage in ``folder``; it is created when loaded."""
    return FileStorage(folder)


def _list_numbers(folder: pathlib.Path, prefix: str) -> list[int]:
    names = [path.name for path in folder.glob(f'{prefix}*')]
    return sorted(int(name.removeprefix(prefix)) for name in names)


def _fail(error: OSError) -> result.Failure:
    if error.errno in {errno.ENOSPC, errno.EDQUOT}:
        return result.Failure(frames.DiskFull(str(error.strerror)))
    return result.Failure(frames.DiskFailed(str(error)))


def discard(folder: pathlib.Path) -> None:
    """Set a folder aside whose identity must not be used again.

    One rename does it, so a crash leaves either the old folder or none. The
    last folder set aside is kept for inspection.
    """
    aside = folder.with_name(f'{folder.name}-discarded')
    shutil.rmtree(aside, ignore_errors=True)
    folder.rename(aside)
    frames.sync_folder(folder.parent)
