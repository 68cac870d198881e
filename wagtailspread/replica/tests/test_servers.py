"""Tests of replica servers on loopback with file storage."""

import dataclasses

import pytest_asyncio

from wagtailspread.replica import drivers
from wagtailspread.testing import replicas
from wagtailspread.wire import messages


@pytest_asyncio.fixture
async def fleet(tmp_path):
    running = replicas.create_replicas(tmp_path)
    await running.start_all()
    yield running
    await running.close()


def create_submission(number, based_on):
    changed = messages.structs.SubmittedFile(name='base', text=f't{number}')
    return messages.structs.Submission(
        id=f's{number}',
        based_on=based_on,
        files=[changed],
        member=replicas.MEMBER,
        signature=b'',
    )


async def test_submission_is_applied_at_every_replica(fleet):
    """Guards against accepted changes that only one replica applies."""
    client = fleet.create_client()
    answer = (await client.submit(create_submission(1, 1))).unwrap()
    assert (answer.status, answer.version) == ('accepted', 2)
    await fleet.wait_for(
        lambda: all(
            server.machine.configuration.version == 2
            for server in fleet.servers.values()
        ),
    )


async def test_resent_submission_gets_its_first_answer_from_a_new_leader(fleet):
    """Guards against a change that is applied twice if its answer is lost."""
    client = fleet.create_client()
    first = (await client.submit(create_submission(1, 1))).unwrap()
    await fleet.stop(fleet.find_leader())
    again = (await client.submit(create_submission(1, 1))).unwrap()
    assert (again.status, again.version) == (first.status, first.version)


async def test_replica_that_missed_compacted_entries_receives_a_snapshot(
    fleet,
    monkeypatch,
):
    """Guards against a replica that cannot catch up after a compaction."""
    monkeypatch.setattr(drivers, 'COMPACT_ENTRIES', 20)
    client = fleet.create_client()
    await client.submit(create_submission(0, 1))
    for server in fleet.servers.values():
        policy = dataclasses.replace(replicas.POLICY, retained_entries=5)
        server.driver.replica.state.policy = policy
    stopped = fleet.addresses[-1]
    await fleet.stop(stopped)
    for number in range(1, 60):
        answer = await client.submit(create_submission(number, number + 1))
        assert answer.unwrap().status == 'accepted'
    await fleet.start(stopped)
    machine = fleet.servers[stopped].machine
    await fleet.wait_for(lambda: machine.configuration.version == 61)
    state = fleet.servers[stopped].driver.replica.state
    assert state.log.snapshot.index > 30


async def test_wiped_replica_returns_as_a_voter_with_a_new_identity(
    fleet,
    tmp_path,
):
    """Guards against a lost disk that still counts as a copy of the log."""
    client = fleet.create_client()
    await client.submit(create_submission(1, 1))
    address = fleet.addresses[-1]
    state = fleet.servers[address].driver.replica.state
    await fleet.stop(address)
    folder = fleet.create_settings(address).data_folder
    folder.rename(tmp_path / 'lost')
    await fleet.start(address)
    replaced = fleet.servers[address].driver.replica.state
    assert replaced.identity != state.identity
    await fleet.wait_for(replaced.is_voter)
    leader = fleet.servers[fleet.find_leader()].driver.replica.state
    assert state.identity not in leader.membership.voter_ids()
    assert len(leader.membership.voters) == 3
