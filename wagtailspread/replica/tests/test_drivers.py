"""Tests of the driver: group commit, storage failures, lost leadership."""

import asyncio
import time

import pytest

from returns import result

from wagtailspread.consensus import (
    frames,
    messages,
    replicas,
    states,
    storage,
)
from wagtailspread.core import clocks, failures
from wagtailspread.replica import drivers
from wagtailspread.testing import networks

POLICY = states.Policy(election_timeout=0.05, heartbeat_interval=0.01)


class SlowStorage(storage.MemoryStorage):
    """Counts syncs, delays each by 20 ms and fails if a failure is set."""

    syncs = 0
    failure = None

    def sync(self):
        self.syncs += 1
        time.sleep(0.02)
        if self.failure is not None:
            return result.Failure(self.failure)
        return super().sync()


def create_driver(voters=('a',), sent=None):
    store = SlowStorage('a')
    nodes = tuple(messages.ReplicaNode(one, f'{one}:1') for one in voters)
    first = replicas.create_first_log(messages.MembershipRecord(nodes), ())
    log = first.read(1, first.last_index)
    store.write(messages.Output(entries=log))
    stored = store.load().unwrap()
    replica = replicas.create_replica(
        'a',
        messages.HardStateRecord(1),
        stored.log,
        POLICY,
    )
    outgoing = [] if sent is None else sent
    driver = drivers.create_driver(
        replica,
        store,
        networks.ListMachine(),
        clocks.SystemClock(),
        outgoing.extend,
    )
    return driver, store


async def wait_for_leadership(driver):
    async with asyncio.timeout(5):
        while not driver.replica.is_leader:
            await asyncio.sleep(0.01)


async def test_proposals_during_a_sync_share_the_next_one():
    """Guards against a separate sync for each proposal."""
    driver, store = create_driver()
    running = asyncio.create_task(driver.run())
    await wait_for_leadership(driver)
    before = store.syncs
    commands = [driver.run_command(b'%d' % number) for number in range(200)]
    answers = await asyncio.gather(*commands)
    assert [one.unwrap() for one in answers] == [
        b'%d' % number for number in range(200)
    ]
    assert store.syncs - before <= 4
    running.cancel()


async def test_full_disk_stops_the_replica_and_answers_unknown():
    """Guards against acknowledgement of changes that are not stored."""
    driver, store = create_driver()
    running = asyncio.create_task(driver.run())
    await wait_for_leadership(driver)
    store.failure = frames.DiskFull('No space left on device')
    answer = await driver.run_command(b'change')
    assert isinstance(answer.failure(), drivers.OutcomeUnknown)
    with pytest.raises(drivers.ReplicaStopped, match='DiskFull'):
        await running


async def test_lost_leadership_answers_unknown():
    """Guards against callers that wait for a commit that never comes."""
    driver, _store = create_driver(('a', 'b', 'c'))
    running = asyncio.create_task(driver.run())
    state = driver.replica.state
    state.role = states.Role.LEADER
    state.leader = 'a'
    now = time.monotonic()
    state.leader_contact_at = now
    for other in ('b', 'c'):
        state.progress[other] = states.Progress(0, 2, active_at=now)
    answer = await asyncio.wait_for(driver.run_command(b'change'), 2)
    assert isinstance(answer.failure(), drivers.OutcomeUnknown)
    refused = await driver.run_command(b'change')
    assert isinstance(refused.failure(), failures.NotLeader)
    running.cancel()


class SlowSnapshots(networks.ListMachine):
    """Takes 0.3 s for a snapshot."""

    is_taking_snapshot = False

    def take_snapshot(self):
        self.is_taking_snapshot = True
        time.sleep(0.3)
        self.is_taking_snapshot = False
        return super().take_snapshot()


async def test_entries_are_acknowledged_while_a_snapshot_is_taken(monkeypatch):
    """Guards against followers that stall while they take a large snapshot."""
    monkeypatch.setattr(drivers, 'COMPACT_ENTRIES', 3)
    sent = []
    driver, store = create_driver(('b', 'a'), sent)
    driver.machine = SlowSnapshots()
    running = asyncio.create_task(driver.run())
    entries = [
        messages.LogEntry(index, 1, messages.EntryKind.COMMAND, b'x')
        for index in range(2, 7)
    ]
    for offset, entry in enumerate(entries):
        driver.receive(
            messages.AppendRequest(
                'b',
                'a',
                1,
                offset + 1,
                1,
                offset + 2,
                0,
                (entry,),
            ),
        )
        await asyncio.sleep(0.05)
    assert driver.machine.is_taking_snapshot
    assert sent[-1].index == 6
    assert len(driver.machine.applied) == 2
    async with asyncio.timeout(5):
        while store.load().unwrap().log.snapshot.index < 6:
            await asyncio.sleep(0.02)
    assert len(driver.machine.applied) == 5
    running.cancel()


async def test_no_reply_is_sent_before_its_entry_is_synced():
    """Guards against an acknowledgement of an entry that is not on disk."""
    sent = []
    driver, store = create_driver(('b', 'a'), sent)
    running = asyncio.create_task(driver.run())
    await asyncio.sleep(0)
    entry = messages.LogEntry(2, 1, messages.EntryKind.COMMAND, b'x')
    request = messages.AppendRequest('b', 'a', 1, 1, 1, 0, 0, (entry,))
    before = store.syncs
    driver.receive(request)
    async with asyncio.timeout(2):
        while not any(isinstance(one, messages.AppendReply) for one in sent):
            assert store.syncs <= before + 1
            await asyncio.sleep(0)
    assert store.load().unwrap().log.last_index == 2
    assert not store._unsynced
    running.cancel()
