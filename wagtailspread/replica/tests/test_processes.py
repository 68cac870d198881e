"""Tests of replica processes that are killed, suspended, wiped or stopped."""

import asyncio
import signal

import pytest_asyncio

from wagtailspread.testing import replica_processes, replicas
from wagtailspread.wire import messages


@pytest_asyncio.fixture
async def fleet(tmp_path):
    running = replica_processes.ProcessReplicas(tmp_path)
    running.start_all()
    yield running
    await running.close()


def is_leader(status):
    return status['role'] == 'leader' and status['is_current']


class Load:
    """Submits changes one at a time and records the accepted ones."""

    def __init__(self, client):
        self.accepted = {}
        self._client = client
        self._number = 0
        self._running = asyncio.create_task(self._run())

    async def stop(self):
        self._running.cancel()
        await asyncio.gather(self._running, return_exceptions=True)

    async def wait_for(self, count):
        async with asyncio.timeout(10):
            while len(self.accepted) < count:
                await asyncio.sleep(0.01)

    async def _run(self):
        version = 1
        while True:
            self._number += 1
            answer = await submit(self._client, self._number, version)
            version = answer.version
            if answer.status == 'accepted':
                self.accepted[self._number] = version


async def submit(client, number, based_on):
    text = f'change-{number}'
    changed = messages.structs.SubmittedFile(name='base', text=text)
    submission = messages.structs.Submission(
        id=text,
        based_on=based_on,
        files=[changed],
        member=replicas.MEMBER,
        signature=b'',
    )
    return (await client.submit(submission, 10.0)).unwrap()


async def check_retained(fleet, load):
    """Check that no accepted change is lost or applied twice.

    The versions have no gaps, and each of the last changes gets its first
    answer when it is submitted again.
    """
    versions = sorted(load.accepted.values())
    assert versions == list(range(2, 2 + len(versions)))
    for number, version in list(load.accepted.items())[-5:]:
        again = await submit(fleet.client, number, 0)
        assert (again.status, again.version) == ('accepted', version)


async def test_accepted_changes_survive_a_killed_leader(fleet):
    """Guards against lost or duplicate changes when the leader is killed."""
    load = Load(fleet.client)
    await load.wait_for(20)
    leader = await fleet.wait_for_status(is_leader)
    fleet.kill(leader)
    await load.wait_for(len(load.accepted) + 20)
    fleet.start(leader)
    await load.stop()
    await check_retained(fleet, load)


async def test_suspended_leader_is_replaced_and_not_current_when_resumed(
    fleet,
):
    """Guards against a suspended process that resumes as the leader."""
    load = Load(fleet.client)
    await load.wait_for(20)
    leader = await fleet.wait_for_status(is_leader)
    fleet.signal(leader, signal.SIGSTOP)
    await load.wait_for(len(load.accepted) + 20)
    fleet.signal(leader, signal.SIGCONT)
    status = await fleet.read_status(leader)
    assert not status['is_current']
    await load.wait_for(len(load.accepted) + 5)
    await load.stop()
    await check_retained(fleet, load)


async def test_second_wipe_after_a_repaired_one_loses_nothing(fleet):
    """Guards against a repair that is reported before it is complete."""
    load = Load(fleet.client)
    await load.wait_for(20)
    wiped = await fleet.wait_for_status(lambda one: one['role'] == 'follower')
    old = (await fleet.read_status(wiped))['identity']
    fleet.kill(wiped)
    fleet.wipe(wiped)
    fleet.start(wiped)

    def is_repaired(status):
        known = {one['identity']: one['is_voter'] for one in status['members']}
        return old not in known and sum(known.values()) == 3

    await fleet.wait_for_status(lambda one: is_leader(one) and is_repaired(one))
    await load.wait_for(len(load.accepted) + 5)
    second = await fleet.wait_for_status(
        lambda one: one['address'] != wiped,
    )
    fleet.kill(second)
    fleet.wipe(second)
    await load.wait_for(len(load.accepted) + 5)
    await load.stop()
    await check_retained(fleet, load)


async def test_graceful_stop_transfers_leadership(fleet):
    """Guards against an election timeout without commits at each restart."""
    leader = await fleet.wait_for_status(is_leader)
    term = (await fleet.read_status(leader))['term']
    fleet.signal(leader, signal.SIGTERM)
    status, _errors = fleet.wait_for_end(leader)
    assert status == 0
    other = await fleet.wait_for_status(is_leader)
    assert (await fleet.read_status(other))['term'] == term + 1


async def test_damaged_journal_stops_the_process_with_an_error(fleet):
    """Guards against a replica that runs on with a damaged log."""
    load = Load(fleet.client)
    await load.wait_for(5)
    address = await fleet.wait_for_status(lambda one: one['role'] == 'follower')
    fleet.kill(address)
    journal = next(fleet.find_folder(address).glob('replica/journal-*'))
    content = bytearray(journal.read_bytes())
    content[40] ^= 0xFF
    journal.write_bytes(content)
    fleet.start(address)
    status, errors = fleet.wait_for_end(address)
    await load.stop()
    assert status != 0
    assert 'StorageDamaged' in errors
