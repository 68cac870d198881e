"""File storage: recovery from torn writes, damage and crashes."""

import errno
import os

import pytest

from returns import result

from wagtailspread.consensus import files, frames, journals, messages

MEMBERSHIP = messages.MembershipRecord((messages.ReplicaNode('a', 'x:1'),))


def create_entries(first, last, term=1):
    return tuple(
        messages.LogEntry(
            index,
            term,
            messages.EntryKind.COMMAND,
            b'payload-%d' % index,
        )
        for index in range(first, last + 1)
    )


def write(store, **fields):
    assert store.write(messages.Output(**fields)) == result.Success(None)
    assert store.sync() == result.Success(None)


def save_snapshot(store, index, *, keeps_tail=True):
    snapshot = messages.Snapshot(index, 1, MEMBERSHIP, b'state-%d' % index)
    saved = store.save_snapshot(snapshot, keeps_tail=keeps_tail)
    assert saved == result.Success(None)


def reload(folder):
    return files.create_storage(folder).load()


def list_indexes(folder):
    log = reload(folder).unwrap().log
    return [
        entry.index for entry in log.read(log.base_index + 1, log.last_index)
    ]


@pytest.fixture
def store(tmp_path):
    opened = files.create_storage(tmp_path / 'replica')
    opened.load().unwrap()
    yield opened
    opened.close()


def find_journal(store):
    return sorted(store.folder.glob('journal-*'))[-1]


def overwrite(path, offset, content):
    with path.open('r+b') as opened:
        opened.seek(offset)
        opened.write(content)


def test_synced_state_is_loaded_again(store):
    """Guards against terms, votes, entries or truncations that are lost."""
    write(store, entries=create_entries(1, 5))
    write(
        store,
        truncate_from=4,
        entries=create_entries(4, 4, term=2),
        hard_state=messages.HardStateRecord(2, 'b'),
    )
    stored = reload(store.folder).unwrap()
    assert stored.hard_state == messages.HardStateRecord(2, 'b')
    assert stored.log.last_index == 4
    assert stored.log.last_term == 2


def test_identity_is_stable_and_a_new_folder_gets_another(store, tmp_path):
    """Guards against a wiped replica that votes under its old identity."""
    first = reload(store.folder).unwrap().identity
    assert reload(store.folder).unwrap().identity == first
    assert reload(tmp_path / 'other').unwrap().identity != first


def test_used_folder_without_identity_is_reported_as_damaged(store):
    """Guards against a new identity for a folder that holds a log."""
    write(store, entries=create_entries(1, 2))
    (store.folder / 'identity').unlink()
    assert isinstance(reload(store.folder).failure(), journals.StorageDamaged)


def test_identity_without_journal_is_reported_as_damaged(store):
    """Guards against a vote under the old identity with an empty log."""
    find_journal(store).unlink()
    assert isinstance(reload(store.folder).failure(), journals.StorageDamaged)


def test_torn_write_at_the_end_is_truncated(store):
    """Guards against a replica that cannot start after a power loss."""
    write(store, entries=create_entries(1, 2))
    with find_journal(store).open('ab') as journal:
        journal.write(frames.pack_frame(b'x' * 100)[:40])
    assert list_indexes(store.folder) == [1, 2]
    assert list_indexes(store.folder) == [1, 2]


def test_write_torn_at_any_byte_is_truncated(store):
    """Guards against a failed start after a torn header or payload."""
    write(store, entries=create_entries(1, 2))
    path = find_journal(store)
    intact = path.read_bytes()
    frame = frames.pack_frame(journals.pack_record(*create_entries(3, 3)))
    for size, _byte in enumerate(frame):
        path.write_bytes(intact + frame[:size])
        assert list_indexes(store.folder) == [1, 2]
    path.write_bytes(intact + frame)
    assert list_indexes(store.folder) == [1, 2, 3]


def test_damage_in_the_last_synced_frame_is_detected(store):
    """Guards against an acknowledged entry that is truncated as torn."""
    write(store, entries=create_entries(1, 2))
    size = find_journal(store).stat().st_size
    write(store, entries=create_entries(3, 3))
    overwrite(find_journal(store), size + 20, b'\xff\xff')
    assert reload(store.folder).failure().reason == 'synced-frame'


def test_damage_in_the_middle_is_detected_without_the_sync_position(store):
    """Guards against a log that is truncated before synced frames."""
    write(store, entries=create_entries(1, 2))
    write(store, entries=create_entries(3, 3))
    (store.folder / 'synced').unlink()
    overwrite(find_journal(store), frames.HEADER_BYTES + 20, b'\xff\xff')
    assert reload(store.folder).failure().reason == 'frame-in-the-middle'


def test_damaged_snapshot_is_detected(store):
    """Guards against state that is restored from a damaged file."""
    write(store, entries=create_entries(1, 9))
    save_snapshot(store, 8)
    path = next(store.folder.glob('snapshot-*'))
    overwrite(path, path.stat().st_size - 3, b'\xff')
    assert isinstance(reload(store.folder).failure(), journals.StorageDamaged)


def test_other_format_version_is_refused(store):
    """Guards against misreading files of another format version."""
    overwrite(find_journal(store), 4, b'\x00\x09')
    assert reload(store.folder).failure().reason == 'format-version-9'


@pytest.mark.parametrize(
    ('number', 'failure'),
    [(errno.ENOSPC, frames.DiskFull), (errno.EIO, frames.DiskFailed)],
)
def test_failed_write_is_a_typed_failure(store, monkeypatch, number, failure):
    """Guards against a replica that continues after a failed sync."""

    def fail(*_):
        raise OSError(number, os.strerror(number))

    monkeypatch.setattr(frames.os, 'fdatasync', fail)
    store.write(messages.Output(entries=create_entries(1, 1)))
    assert isinstance(store.sync().failure(), failure)


def test_snapshot_retains_later_entries_and_bounds_disk_use(store):
    """Guards against a disk that fills with entries covered by snapshots."""
    for cycle in range(20):
        first = cycle * 50 + 1
        write(store, entries=create_entries(first, first + 49))
        save_snapshot(store, first + 39)
    log = reload(store.folder).unwrap().log
    assert (log.snapshot.index, log.last_index) == (990, 1000)
    assert len(list(store.folder.glob('snapshot-*'))) == 1
    assert len(list(store.folder.glob('journal-*'))) <= 3


def test_snapshot_of_a_diverged_log_removes_later_entries(store):
    """Guards against diverged entries after an installed snapshot."""
    write(store, entries=create_entries(1, 9))
    save_snapshot(store, 5, keeps_tail=False)
    write(store, entries=create_entries(6, 6, term=3))
    log = reload(store.folder).unwrap().log
    assert (log.last_index, log.last_term) == (6, 3)


def test_crash_between_snapshot_and_reset_retains_later_entries(
    store,
    monkeypatch,
):
    """Guards against lost entries when a crash interrupts the snapshot."""
    write(store, entries=create_entries(1, 9))
    monkeypatch.setattr(
        files.FileStorage,
        '_start_journal',
        lambda *_, **_options: None,
    )
    save_snapshot(store, 5)
    assert list_indexes(store.folder) == [6, 7, 8, 9]


def test_crash_while_a_snapshot_is_written_preserves_the_old_one(store):
    """Guards against a snapshot that is visible before it is complete."""
    write(store, entries=create_entries(1, 9))
    save_snapshot(store, 5)
    (store.folder / 'snapshot-0000000000000009.new').write_bytes(b'half')
    assert reload(store.folder).unwrap().log.snapshot.index == 5
    assert not list(store.folder.glob('*.new'))
