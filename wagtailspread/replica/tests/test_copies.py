"""Tests of a replica's copy of the document."""

import asyncio

import pytest

from returns import result

from wagtailspread.configuration import documents
from wagtailspread.core import clocks, failures
from wagtailspread.processes import machines
from wagtailspread.replica import copies
from wagtailspread.replica import documents as documents_service


def create_document(version, body=b'body'):
    """Return a document."""
    document = documents.VersionedDocument()
    document.put(version, body)
    return document


def test_without_a_file_there_is_no_document(tmp_path):
    """Guards against a replica that does not start on an empty disk."""
    assert copies.create_copy(tmp_path).load().version == documents.NO_VERSION


@pytest.mark.parametrize('end', range(0, 44, 7))
def test_a_torn_copy_is_not_used(tmp_path, end):
    """Guards against a part of a document in force after a power loss."""
    copy = copies.create_copy(tmp_path)
    copy.write(create_document(3))
    path = tmp_path / copies.FILE_NAME
    path.write_bytes(path.read_bytes()[:end])
    assert copy.load().version == documents.NO_VERSION


async def test_the_newest_of_several_documents_is_kept(tmp_path):
    """Guards against a slow write that ends after a newer one."""
    copy = copies.create_copy(tmp_path)
    for version in range(1, 6):
        copy.save(create_document(version))
    async with asyncio.timeout(5):
        while copy.load().version < 5:
            await asyncio.sleep(0.01)


async def test_a_full_disk_does_not_stop_the_replica(tmp_path):
    """Guards against a replica that ends since its copy fails."""
    copy = copies.create_copy(tmp_path / 'missing')
    copy.save(create_document(1))
    await asyncio.sleep(0.05)
    assert copy.load().version == documents.NO_VERSION


class _Replica:
    """A replica that has applied nothing and leads."""

    def __init__(self):
        self.machine = machines.create_machine()
        self.replica = self
        self.applied = 0

    def read_index(self, _now):
        """Tell that nothing has to be applied before a read."""
        return result.Success(0)


async def test_a_copy_is_in_force_before_a_leader_is_known():
    """Guards against hosts without routes until the replicas elect a leader.

    Load pattern: all processes are killed at once and start again.
    """
    service = documents_service.DocumentService(
        _Replica(),
        None,
        clocks.ManualClock(),
        2,
        create_document(7),
    )
    assert service.read_document().version == 7


async def test_a_copy_is_no_answer_to_a_read():
    """Guards against an older version after a newer one was acknowledged."""
    service = documents_service.DocumentService(
        _Replica(),
        None,
        clocks.ManualClock(),
        2,
        create_document(7),
    )
    assert not isinstance(await service._read_locally(), result.Success)


class _Follower:
    """A replica that hears its leader."""

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
    """Guards against hosts that trust a replica with a slow disk.

    It hears its leader, and answers with versions of before.
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
    """Guards against trust in a leader that was replaced while it stood."""
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
