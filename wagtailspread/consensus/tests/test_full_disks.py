"""A disk that is full for a while, from any write on, loses nothing."""

import errno
import os
import pathlib

import pytest

from returns import result

from wagtailspread.consensus import files, messages
from wagtailspread.consensus.tests import test_files

_STEPS = 9
#: More than the number of writes of the steps.
_MAX_WRITES = 60


class LimitedDisk:
    """Refuses everything that needs room after a number of writes.

    The first refused write stores half of its bytes.
    """

    def __init__(self, monkeypatch):
        """Replace the calls of the operating system that need room."""
        self.is_full = False
        self.writes = 0
        self.last_write = None
        self._write = os.write
        self._open = os.open
        self._rename = pathlib.Path.rename
        self._truncate = os.ftruncate
        monkeypatch.setattr(os, 'write', self.write)
        monkeypatch.setattr(os, 'open', self.open)
        monkeypatch.setattr(os, 'ftruncate', self.truncate)
        monkeypatch.setattr(
            pathlib.Path, 'rename', lambda *names: self.rename(*names)
        )

    def write(self, descriptor, content):
        """Write bytes, or half of them if the disk gets full now."""
        was_full = self.is_full
        if self._is_refused():
            if not was_full:
                self._write(descriptor, content[: len(content) // 2])
            self._refuse()
        return self._write(descriptor, content)

    def open(self, path, flags, *mode, **options):
        """Open a file; a new one needs room."""
        is_new = flags & os.O_CREAT and not os.path.exists(path)
        if is_new and self._is_refused():
            self._refuse()
        return self._open(path, flags, *mode, **options)

    def rename(self, *names):
        """Rename a file, which needs room in its folder."""
        if self._is_refused():
            self._refuse()
        return self._rename(*names)

    def truncate(self, *arguments):
        """Change the size of a file; a full disk refuses that as well."""
        if self._is_refused():
            self._refuse()
        return self._truncate(*arguments)

    def _is_refused(self):
        self.writes += 1
        if self.last_write is not None and self.writes > self.last_write:
            self.is_full = True
        return self.is_full

    def _refuse(self):
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


def perform(store, step):
    """Perform a step of the schedule; return whether it succeeded."""
    index = 10 * step + 1
    entries = test_files.create_entries(index, index + 9)
    output = messages.Output(entries=entries)
    if step == 4:
        membership = test_files.MEMBERSHIP
        snapshot = messages.Snapshot(index - 1, 1, membership, b'installed')
        output = messages.Output(
            entries=entries, snapshot=snapshot, keeps_tail=False
        )
    outcome = store.write(output)
    if isinstance(outcome, result.Success):
        outcome = store.sync()
    if isinstance(outcome, result.Success) and step in {2, 6}:
        snapshot = messages.Snapshot(
            index + 4, 1, test_files.MEMBERSHIP, b'state'
        )
        outcome = store.save_snapshot(snapshot, keeps_tail=True)
    return isinstance(outcome, result.Success)


def open_store(folder):
    """Return a loaded store and its last index, or ``None`` twice."""
    store = files.create_storage(folder)
    loaded = store.load()
    if isinstance(loaded, result.Success):
        return store, loaded.unwrap().log.last_index
    store.close()
    return None, None


@pytest.mark.parametrize('attempts', [0, 1, 4])
@pytest.mark.parametrize('last_write', range(_MAX_WRITES))
def test_a_full_disk_loses_nothing(tmp_path, monkeypatch, last_write, attempts):
    """Guards against a replica that does not recover from a shortage.

    The store is opened again ``attempts`` times while the disk is full.
    """
    disk = LimitedDisk(monkeypatch)
    disk.last_write = last_write
    folder = tmp_path / 'replica'
    synced = 0
    step = 0
    store = open_store(folder)[0]
    while store is not None and step < _STEPS and perform(store, step):
        step += 1
        synced = 10 * step
    for _ in range(attempts if disk.is_full else 0):
        if store is not None:
            store.close()
        store, last = open_store(folder)
        if store is not None:
            assert last >= synced
            assert not perform(store, last // 10)
    if store is not None:
        store.close()
    disk.last_write = None
    disk.is_full = False
    store, last = open_store(folder)
    assert store is not None
    assert last >= synced
    for later in range(last // 10, _STEPS):
        assert perform(store, later)
    store.close()
    store, last = open_store(folder)
    store.close()
    assert last == 10 * _STEPS


def test_a_discarded_folder_gives_way_to_the_log(tmp_path):
    """Guards against a disk that an invalid identity fills for good."""
    folder = tmp_path / 'replica'
    store = open_store(folder)[0]
    store.close()
    files.discard(folder)
    store = open_store(folder)[0]
    store.close()
    assert (tmp_path / 'replica-discarded').exists()
    files.remove_discarded(folder)
    assert [path.name for path in tmp_path.iterdir()] == ['replica']
