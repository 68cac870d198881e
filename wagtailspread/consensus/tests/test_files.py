"""Storage faults of the data folder, on real files."""

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


def write(store, **parts):
    assert store.write(messages.Output(**parts)) == result.Success(None)
    assert store.sync() == result.Success(None)


def save_snapshot(store, index, *, keeps_tail=True):
    snapshot = messages.Snapshot(index, 1, MEMBERSHIP, b'state-%d' % index)
    saved = store.save_snapshot(snapshot, keeps_tail=keeps_tail)
    assert saved == result.Success(None)


def reload(folder):
    return files.create_storage(folder).load()


def list_indexes(folder):
    log = reload(folder).unwrap().log
    return [one.index for one in log.read(log.base_index + 1, log.last_index)]


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


def test_what_was_synced_is_loaded_again(store):
    """Guards against lost terms, votes, entries and truncations."""
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


def test_identity_is_kept_and_a_new_folder_gets_another(store, tmp_path):
    """Guards against a wiped replica that votes as before."""
    first = reload(store.folder).unwrap().identity
    assert reload(store.folder).unwrap().identity == first
    assert reload(tmp_path / 'other').unwrap().identity != first


def test_used_folder_without_identity_is_damage(store):
    """Guards against a new identity for a folder that holds a log."""
    write(store, entries=create_entries(1, 2))
    (store.folder / 'identity').unlink()
    assert isinstance(reload(store.folder).failure(), journals.StorageDamaged)


def test_identity_without_journal_is_damage(store):
    """Guards against an old identity that votes with an empty log."""
    find_journal(store).unlink()
    assert isinstance(reload(store.folder).failure(), journals.StorageDamaged)


def test_torn_write_at_the_end_is_cut_off(store):
    """Guards against a replica that cannot start after a power loss."""
    write(store, entries=create_entries(1, 2))
    with find_journal(store).open('ab') as journal:
        journal.write(frames.pack_frame(b'x' * 100)[:40])
    assert list_indexes(store.folder) == [1, 2]
    assert list_indexes(store.folder) == [1, 2]


def test_write_that_is_torn_anywhere_is_cut_off(store):
    """Guards against a length or checksum that is torn itself."""
    write(store, entries=create_entries(1, 2))
    path = find_journal(store)
    whole = path.read_bytes()
    frame = frames.pack_frame(journals.pack_record(*create_entries(3, 3)))
    for size, _byte in enumerate(frame):
        path.write_bytes(whole + frame[:size])
        assert list_indexes(store.folder) == [1, 2]
    path.write_bytes(whole + frame)
    assert list_indexes(store.folder) == [1, 2, 3]


def test_damage_of_a_frame_that_was_synced_last_is_found(store):
    """Guards against an acknowledged entry that is cut off as torn."""
    write(store, entries=create_entries(1, 2))
    size = find_journal(store).stat().st_size
    write(store, entries=create_entries(3, 3))
    overwrite(find_journal(store), size + 20, b'\xff\xff')
    assert reload(store.folder).failure().reason == 'synced-frame'


def test_damage_in_the_middle_is_found_without_the_sync_position(store):
    """Guards against a log that is cut off before synced frames."""
    write(store, entries=create_entries(1, 2))
    write(store, entries=create_entries(3, 3))
    (store.folder / 'synced').unlink()
    overwrite(find_journal(store), frames.HEADER_BYTES + 20, b'\xff\xff')
    assert reload(store.folder).failure().reason == 'frame-in-the-middle'


def test_damaged_snapshot_is_found(store):
    """Guards against state that was restored from a broken file."""
    write(store, entries=create_entries(1, 9))
    save_snapshot(store, 8)
    path = next(store.folder.glob('snapshot-*'))
    overwrite(path, path.stat().st_size - 3, b'\xff')
    assert isinstance(reload(store.folder).failure(), journals.StorageDamaged)


def test_other_format_version_is_refused(store):
    """Guards against files of another version that are misread."""
    overwrite(find_journal(store), 4, b'\x00\x09')
    assert reload(store.folder).failure().reason == 'format-version-9'


@pytest.mark.parametrize(
    ('number', 'failure'),
    [(errno.ENOSPC, frames.DiskFull), (errno.EIO, frames.DiskFailed)],
)
def test_failed_write_is_a_typed_failure(store, monkeypatch, number, failure):
    """Guards against a replica that goes on after a failed sync."""

    def fail(*_):
        raise OSError(number, os.strerror(number))

    monkeypatch.setattr(frames.os, 'fdatasync', fail)
    store.write(messages.Output(entries=create_entries(1, 1)))
    assert isinstance(store.sync().failure(), failure)


def test_snapshot_keeps_later_entries_and_bounds_the_disk(store):
    """Guards against a disk that fills with covered entries."""
    for cycle in range(20):
        first = cycle * 50 + 1
        write(store, entries=create_entries(first, first + 49))
        save_snapshot(store, first + 39)
    log = reload(store.folder).unwrap().log
    assert (log.snapshot.index, log.last_index) == (990, 1000)
    assert len(list(store.folder.glob('snapshot-*'))) == 1
    assert len(list(store.folder.glob('journal-*'))) <= 3


def test_snapshot_of_another_history_drops_later_entries(store):
    """Guards against entries of a lost history after an installed snapshot."""
    write(store, entries=create_entries(1, 9))
    save_snapshot(store, 5, keeps_tail=False)
    write(store, entries=create_entries(6, 6, term=3))
    log = reload(store.folder).unwrap().log
    assert (log.last_index, log.last_term) == (6, 3)


def test_crash_between_snapshot_and_journal_keeps_what_continues_it(
    store,
    monkeypatch,
):
    """Guards against lost entries when a snapshot is only half installed."""
    write(store, entries=create_entries(1, 9))
    monkeypatch.setattr(
        files.FileStorage,
        '_start_journal',
        lambda *_, **_options: None,
    )
    save_snapshot(store, 5)
    assert list_indexes(store.folder) == [6, 7, 8, 9]


def test_crash_while_a_snapshot_is_written_leaves_the_old_one(store):
    """Guards against a snapshot that is visible before it is whole."""
    write(store, entries=create_entries(1, 9))
    save_snapshot(store, 5)
    (store.folder / 'snapshot-0000000000000009.new').write_bytes(b'half')
    assert reload(store.folder).unwrap().log.snapshot.index == 5
    assert not list(store.folder.glob('*.new'))
