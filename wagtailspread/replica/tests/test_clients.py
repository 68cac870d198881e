"""Tests of the client: leader lookup, retries and long polls."""

import asyncio

import pytest_asyncio

from returns import result

from wagtailspread.core import failures
from wagtailspread.replica import clients, drivers
from wagtailspread.testing import replicas
from wagtailspread.wire import messages


class ScriptedLink:
    """Answers each call with the next outcome of a script."""

    def __init__(self, script, calls, address):
        self._script = script
        self._calls = calls
        self._address = address

    async def call(self, _method, request, _answer_type, _timeout):
        self._calls.append((self._address, request))
        return self._script.pop(0)


class ScriptedPool:
    def __init__(self, script):
        self.script = script
        self.calls = []
        self.forgotten = []

    def find(self, address):
        return ScriptedLink(self.script, self.calls, address)

    async def remove(self, address):
        self.forgotten.append(address)


def reject(reason, detail=''):
    return result.Failure(failures.CallRejected('x', reason, detail))


async def claim(script, timeout=5.0):
    pool = ScriptedPool(script)
    client = clients.create_client(('a', 'b', 'c'), pool)
    outcome = await client.claim_key('request', timeout)
    return outcome, [address for address, _request in pool.calls], pool


async def test_client_follows_the_named_leader():
    """Guards against a client that ignores the leader named in a refusal."""
    script = [reject('NotLeader', 'c'), result.Success('granted')]
    outcome, addresses, _pool = await claim(script)
    assert outcome == result.Success('granted')
    assert addresses == ['a', 'c']


async def test_same_request_is_sent_again_after_an_unknown_outcome():
    """Guards against a repeated change with a new id after a lost answer."""
    script = [
        reject(drivers.OutcomeUnknown.__name__),
        result.Failure(failures.CallTimeout('b', 1.0)),
        result.Success('granted'),
    ]
    outcome, addresses, pool = await claim(script)
    assert outcome == result.Success('granted')
    assert addresses == ['a', 'b', 'c']
    assert {request for _address, request in pool.calls} == {'request'}
    assert pool.forgotten == ['b']


async def test_two_replicas_that_name_each_other_cause_no_busy_loop():
    """Guards against a loop without a delay on outdated leader hints."""
    script = [reject('NotLeader', 'ab'[turn % 2]) for turn in range(400)]
    _outcome, addresses, _pool = await claim(script, timeout=0.3)
    assert len(addresses) < 20


async def test_failure_is_returned_after_the_timeout():
    """Guards against a call that outlasts its timeout when all are down."""
    script = [result.Failure(failures.Unreachable('a')) for _ in range(100)]
    outcome, _addresses, _pool = await claim(script, timeout=0.2)
    assert isinstance(outcome.failure(), failures.Unreachable)


@pytest_asyncio.fixture
async def fleet(tmp_path):
    running = replicas.create_replicas(tmp_path)
    await running.start_all()
    yield running
    await running.close()


async def test_long_poll_returns_as_soon_as_a_change_is_applied(fleet):
    """Guards against hosts that receive a change only at the next poll."""
    client = fleet.create_client()
    first = (await client.fetch_configuration(0, 5.0)).unwrap()
    assert first.to_version == 1
    poll = asyncio.create_task(client.fetch_configuration(1, 10.0))
    changed = messages.structs.SubmittedFile(name='base', text='new')
    submission = messages.structs.Submission(
        id='s1',
        based_on=1,
        files=[changed],
        member=replicas.MEMBER,
        signature=b'',
    )
    await fleet.create_client().submit(submission)
    delta = (await asyncio.wait_for(poll, 2.0)).unwrap()
    assert (delta.from_version, delta.to_version) == (1, 2)


async def test_long_poll_without_a_change_ends_after_its_wait(fleet):
    """Guards against polls that never end."""
    client = fleet.create_client()
    await client.fetch_configuration(0, 5.0)
    delta = (await client.fetch_configuration(1, 0.1)).unwrap()
    assert (delta.to_version, delta.sections) == (1, [])
