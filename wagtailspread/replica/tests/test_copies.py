"""Tests of the local copy of the document at a replica."""

import asyncio
import errno
import os

import pytest

from returns import result

from wagtailspread.configuration import documents
from wagtailspread.core import clocks, failures
from wagtailspread.processes import machines
from wagtailspread.replica import copies
from wagtailspread.replica import documents as documents_service


def create_document(version, body=b'body'):
    document = documents.VersionedDocument()
    document.put(version, body)
    return document


def test_without_a_file_there_is_no_document(tmp_path):
    """Guards against a replica that fails to start on an empty disk."""
    assert copies.create_copy(tmp_path).load().version == documents.NO_VERSION


@pytest.mark.parametrize('end', range(0, 44, 7))
def test_a_torn_copy_is_not_used(tmp_path, end):
    """Guards against use of a partly written document after a power loss."""
    copy = copies.create_copy(tmp_path)
    copy.write(create_document(3))
    path = tmp_path / copies.FILE_NAME
    path.write_bytes(path.read_bytes()[:end])
    assert copy.load().version == documents.NO_VERSION


async def test_the_newest_of_several_documents_is_stored(tmp_path):
    """Guards against a slow write that overwrites a newer document."""
    copy = copies.create_copy(tmp_path)
    for version in range(1, 6):
        copy.save(create_document(version))
    async with asyncio.timeout(5):
        while copy.load().version < 5:
            await asyncio.sleep(0.01)


async def test_a_failed_write_does_not_stop_the_replica(tmp_path):
    """Guards against a replica that stops if its copy cannot be written.

    The folder is missing, so the write fails as it does on a full disk.
    """
    copy = copies.create_copy(tmp_path / 'missing')
    copy.save(create_document(1))
    await asyncio.sleep(0.05)
    assert copy.load().version == documents.NO_VERSION


async def test_a_refused_copy_is_written_once_there_is_room(
    tmp_path, monkeypatch
):
    """Guards against an old copy until the next version is applied.

    Load pattern: the disk is full while a version is applied, and no other one
    comes before all processes are killed.
    """
    monkeypatch.setattr(copies, 'RETRY_SECONDS', 0.05)
    sync = os.fsync

    def refuse(_descriptor):
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    copy = copies.create_copy(tmp_path)
    monkeypatch.setattr(os, 'fsync', refuse)
    copy.save(create_document(4))
    await asyncio.sleep(0.2)
    assert not list(tmp_path.iterdir())
    monkeypatch.setattr(os, 'fsync', sync)
    await asyncio.sleep(0.2)
    assert copy.load().version == 4


class _Replica:
    """A leader that has applied no entries."""

    def __init__(self):
        self.machine = machines.create_machine()
        self.replica = self
        self.applied = 0

    def read_index(self, _now):
        """Return that no entry has to be applied before a read."""
        return result.Success(0)


async def test_a_copy_is_used_before_a_leader_is_known():
    """Guards against hosts without routes until the replicas elect a leader.

    This happens if all processes are killed at once and restarted.
    """
    service = documents_service.DocumentService(
        _Replica(),
        None,
        clocks.ManualClock(),
        2,
        create_document(7),
    )
    assert service.read_document().version == 7


async def test_a_copy_does_not_answer_a_read():
    """Guards against reads that miss an acknowledged newer version."""
    service = documents_service.DocumentService(
        _Replica(),
        None,
        clocks.ManualClock(),
        2,
        create_document(7),
    )
    assert not isinstance(await service._read_locally(), result.Success)


class _Follower:
    """A follower with a given progress and time of leader contact."""

    def __init__(self, applied, commit, leader_contact_at):
        self.machine = machines.create_machine()
        self.replica = self
        self.state = self
        self.is_leader = False
        self.applied = applied
        self.commit = commit
        self.leader_contact_at = leader_contact_at


@pytest.mark.parametrize(
    ('applied', 'leader_contact_at', 'expected'),
    [(5, 9.9, True), (4, 9.9, False), (5, 9.0, False), (5, None, False)],
    ids=['fresh', 'behind', 'silent', 'never'],
)
def test_a_replica_that_lags_is_not_up_to_date(
    applied, leader_contact_at, expected
):
    """Guards against hosts that rely on a replica with a slow disk.

    Such a replica receives heartbeats but answers with old versions.
    """
    service = documents_service.DocumentService(
        _Follower(applied, 5, leader_contact_at),
        None,
        clocks.ManualClock(10.0),
        2,
        create_document(7),
    )
    assert service.is_up_to_date() is expected


def test_a_leader_without_its_lease_is_not_up_to_date():
    """Guards against use of a leader that was replaced while suspended."""
    leader = _Follower(5, 5, None)
    leader.is_leader = True
    leader.read_index = lambda _now: result.Failure(failures.NotLeader())
    service = documents_service.DocumentService(
        leader,
        None,
        clocks.ManualClock(10.0),
        2,
        create_document(7),
    )
    assert not service.is_up_to_date()
    leader.read_index = lambda _now: result.Success(5)
    assert service.is_up_to_date()
