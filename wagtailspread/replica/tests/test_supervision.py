"""Tests of a replica whose disk refuses to make room."""

import errno
import os
import pathlib

import pytest

from returns import result

from wagtailspread.consensus import frames, journals
from wagtailspread.processes import machines
from wagtailspread.replica import drivers, servers, supervision
from wagtailspread.testing import replicas


def create_server(folder):
    """Return a server that is not running."""
    fleet = replicas.create_replicas(folder)
    settings = fleet.create_settings(fleet.addresses[0])
    return servers.create_server(settings, machines.create_machine())


def test_a_folder_that_cannot_be_discarded_is_left(tmp_path, monkeypatch):
    """Guards against a process that ends since its disk is full."""
    server = create_server(tmp_path)
    assert isinstance(server._store.load(), result.Success)
    server._store.close()

    def refuse(*_names):
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    monkeypatch.setattr(pathlib.Path, 'rename', refuse)
    server.discard()
    assert server._folder.exists()


@pytest.mark.parametrize(
    ('cause', 'names'),
    [
        (frames.DiskFull('full'), {'replica'}),
        (journals.StorageDamaged('journal', 'x'), {'replica-discarded'}),
    ],
)
async def test_a_full_disk_costs_the_discarded_folder(
    tmp_path, monkeypatch, cause, names
):
    """Guards against a replica that waits for room which it takes itself."""
    monkeypatch.setattr(supervision, 'REOPEN_DELAY_SECONDS', 0.0)
    server = create_server(tmp_path)
    for _ in range(2):
        assert isinstance(server._store.load(), result.Success)
        server._store.close()
        if not server._folder.with_name('replica-discarded').exists():
            server.discard()
    stopped = ExceptionGroup('stopped', [drivers.ReplicaStopped(cause)])
    await supervision.recover_storage(server, stopped)
    found = {path.name for path in server._folder.parent.iterdir()}
    assert found == names
