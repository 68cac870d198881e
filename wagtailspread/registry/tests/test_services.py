"""Tests of the answers of the registry service to followers."""

import asyncio
import dataclasses

import pytest

from wagtailspread.configuration import documents
from wagtailspread.registry import blocked, feeds, followers, records
from wagtailspread.registry import services, spares
from wagtailspread.wire import listeners, messages
from wagtailspread.workspaces import loans

_REGIONS = {'north': 'r1', 'south': 'r1', 'far': 'r2'}
_CALL = listeners.Call(None, 1.0, '')


class Clock:
    """A clock with a constant time."""

    def now(self):
        """Return the constant time."""
        return 100.0

    def wall(self):
        """Return the constant time."""
        return 100.0


class FakeReplicaGroup:
    """A group of two replicas without a document."""

    def list_replicas(self):
        """Return the addresses of both replicas."""
        return ['r1:1', 'r2:1']

    def __init__(self, *, has_quorum=True):
        """Set whether this replica has a quorum."""
        self._has_quorum = has_quorum

    def has_quorum(self):
        """Tell whether this replica has a quorum."""
        return self._has_quorum

    def is_up_to_date(self):
        """Tell whether this replica has a quorum, which suffices here."""
        return self._has_quorum

    def is_majority(self, others):
        """Tell whether the other replica completes the majority."""
        return 'r2:1' in others

    def read_document(self):
        """Return a document without a version."""
        return documents.VersionedDocument()


def create_service(address, domain, *, has_quorum=True):
    """Return the registry of a replica."""
    service = services.create_service(address, domain, _REGIONS, Clock())
    group = FakeReplicaGroup(has_quorum=has_quorum)
    service.attach(listeners.create_listener(None, None), group)
    return service


async def follow(service, host, domain, *, is_replica=False, wait_ms=1):
    """Return the answer to a follower."""
    request = messages.structs.FollowChanges(
        host=host,
        domain=domain,
        is_replica=is_replica,
        epoch=0,
        position=0,
        document_version=-1,
        wait_ms=wait_ms,
        address=f'{host}:2',
    )
    return (await service._answer_follower(_CALL, request)).unwrap()


async def test_hosts_of_a_region_learn_the_same_substitutes():
    """Guards against hosts of a region that use different allocators.

    Load pattern: most hosts of a region lose all replicas at once. A single
    host knows neither the load nor the evidence of the others.
    """
    first = create_service('r1:1', 'north')
    second = create_service('r2:1', 'south')
    for host in ('h1', 'h3', 'h5'):
        await follow(first, host, 'north')
    for host in ('h2', 'h4'):
        await follow(second, host, 'south')
    await follow(second, 'h0', 'far')
    first._process_batch(
        'r2:1', await follow(second, 'r1:1', 'north', is_replica=True)
    )
    second._process_batch(
        'r1:1', await follow(first, 'r2:1', 'south', is_replica=True)
    )
    named = [
        [one.address for one in (await follow(*asking)).substitutes]
        for asking in ((first, 'h5', 'north'), (second, 'h4', 'south'))
    ]
    assert named[0] == ['h1:2', 'h2:2', 'h3:2']
    assert named[1] == named[0]


def create_draining_record():
    """Return the record of an upstream that is about to leave."""
    return records.UpstreamRecord(
        upstream='u1',
        service='columns',
        address='10.0.0.1:80',
        domain='north',
        slots=6,
        state=records.UpstreamState.DRAINING,
        born_ms=1000,
        sequence=4,
    )


class SteadyClock:
    """The clock of the event loop."""

    def now(self):
        """Return the time of the event loop."""
        return asyncio.get_running_loop().time()


async def test_a_replica_that_is_not_formed_confirms_no_departure():
    """Guards against review/3: a departure that only one replica knew."""
    service = services.create_service('r1:1', 'north', _REGIONS, SteadyClock())
    assert not await service.register_departure(create_draining_record())


@pytest.mark.parametrize('address', ['r2:1', 'learner:1'])
async def test_a_departure_needs_a_majority_of_the_voters(address):
    """Guards against a learner that counts as a part of a majority."""
    service = services.create_service('r1:1', 'north', _REGIONS, SteadyClock())
    service.attach(listeners.create_listener(None, None), FakeReplicaGroup())
    follower = feeds.FollowerState(
        address, 'north', True, service.feed.position + 9, SteadyClock().now()
    )
    service.feed.update_follower('other', follower)
    is_confirmed = await service.register_departure(create_draining_record())
    assert is_confirmed == (address == 'r2:1')


async def test_hosts_are_counted_over_all_replicas():
    """Guards against a shared budget that each host claims in full."""
    first = create_service('r1:1', 'north')
    second = create_service('r2:1', 'south')
    await follow(second, 'h2', 'south')
    first._process_batch(
        'r2:1', await follow(second, 'r1:1', 'north', is_replica=True)
    )
    assert (await follow(first, 'h1', 'north')).hosts == 2


async def test_replicas_exchange_strained_services():
    """Guards against a floor that each region applies only to itself."""
    first = create_service('r1:1', 'north')
    second = create_service('r2:1', 'far')
    first.publish_strained(frozenset(['columns']))
    second._process_batch(
        'r1:1', await follow(first, 'r2:1', 'far', is_replica=True)
    )
    assert second.list_remote_strained() == {'columns'}


async def test_replicas_learn_which_regions_get_too_few_requests():
    """Guards against upstreams that nobody uses since their region is idle."""
    services_by_replica = {
        address: create_service(address, domain)
        for address, domain in (('r1:1', 'north'), ('r2:1', 'far'))
    }
    first, second = services_by_replica.values()
    assert not len(second.find_uncovered())
    expected = ((None, True), (frozenset(['columns']), True), (frozenset(), 0))
    for underused, is_uncovered in expected:
        first.publish_underused(underused)
        batch = await follow(first, 'r2:1', 'far', is_replica=True)
        second._process_batch('r1:1', batch)
        found = second.find_uncovered()
        assert found.is_uncovered('r1', 'columns') == is_uncovered
        assert found.is_uncovered('r1', 'mail') == (underused is None)
        assert not found.is_uncovered('r2', 'columns')
        assert (await follow(first, 'h1', 'north')).underused is None


async def test_replicas_of_a_region_cover_it_together():
    """Guards against a region that one idle replica reports as uncovered."""
    first = create_service('r1:1', 'north')
    second = create_service('r2:1', 'south')
    third = create_service('r3:1', 'far')
    second.publish_underused(frozenset(['mail']))
    for address, service in (('r1:1', first), ('r2:1', second)):
        batch = await follow(service, 'r3:1', 'far', is_replica=True)
        third._process_batch(address, batch)
    found = third.find_uncovered()
    assert found.is_uncovered('r1', 'mail')
    assert not found.is_uncovered('r1', 'columns')


async def test_a_host_without_a_configuration_is_answered_at_once():
    """Guards against hosts that refuse all callers during a long poll.

    Load pattern: all processes restart and two replicas have lost their disks.
    A host that asked one of these first had no routes for 1.5 s.
    """
    service = create_service('r1:1', 'north', has_quorum=False)
    async with asyncio.timeout(0.4):
        batch = await follow(service, 'h1', 'north', wait_ms=700)
    assert not batch.has_quorum


def test_an_incomplete_report_removes_no_known_replica():
    """Guards against hosts that only ask a replica that lost its disk."""
    sources = followers.SourceList(lambda: ['r1:1'], lambda _domain: 1)
    place = messages.structs.ReplicaPlace
    known = [place(address=f'r{n}:1', domain='north') for n in (1, 2, 3)]
    sources.update(known, is_complete=True)
    sources.update(known[:1], is_complete=False)
    sources.deprioritize('r1:1', 0.0)
    assert sources.choose(0.1) in {'r2:1', 'r3:1'}


async def test_replicas_exchange_blocked_requests():
    """Guards against a request that crashes the upstreams of each region."""
    first = create_service('r1:1', 'north')
    second = create_service('r2:1', 'far')
    first.publish_blocked({7: 30.0}, [])
    batch = await follow(first, 'r2:1', 'far', is_replica=True)
    second._process_batch('r1:1', batch)
    assert second.list_remote_blocked() == {7: 30.0}
    # Each one is reported once, so that it ends.
    assert second.list_remote_blocked() == {}
    # It is not passed on to replicas, which would renew it.
    third = await follow(second, 'r3:1', 'north', is_replica=True)
    assert third.blocked is None


async def test_hosts_learn_all_blocked_requests():
    """Guards against a host that sends one while it decides alone."""
    first = create_service('r1:1', 'north')
    second = create_service('r2:1', 'far')
    first.publish_blocked({7: 30.0}, [])
    batch = await follow(first, 'r2:1', 'far', is_replica=True)
    second._process_batch('r1:1', batch)
    for service in (first, second):
        (row,) = (await follow(service, 'h1', 'north')).blocked
        assert (row.fingerprint, row.left_ms) == (7, 30_000)


async def test_replicas_exchange_suspected_requests():
    """Guards against upstreams that are lost anew in each region."""
    first = create_service('r1:1', 'north')
    second = create_service('r2:1', 'far')
    suspicion = blocked.Suspicion(7, 'u1', 1, 2.0)
    first.publish_blocked({}, [suspicion])
    batch = await follow(first, 'r2:1', 'far', is_replica=True)
    second._process_batch('r1:1', batch)
    assert second.list_remote_suspicions() == [suspicion]
    assert second.list_remote_suspicions() == []
    assert (await follow(first, 'h1', 'north')).suspected is None


@pytest.mark.parametrize(
    ('born_ms', 'is_ready'), [(1000, True), (2000, False), (3000, False)]
)
async def test_a_departure_ends_only_its_own_incarnation(born_ms, is_ready):
    """Guards against review/4: a late departure ended the next incarnation."""
    service = create_service('r1:1', 'north')
    ready = dataclasses.replace(
        create_draining_record(),
        state=records.UpstreamState.READY,
        born_ms=2000,
    )
    service.register(ready)
    departure = service.create_departure('u1', born_ms)
    service.feed.register(departure, 100.0)
    service.register(dataclasses.replace(ready, sequence=9))
    assert bool(service.feed.table.list_ready('columns')) is is_ready
    # A check-in of the incarnation that left changes nothing either.
    late = dataclasses.replace(ready, born_ms=born_ms, sequence=10)
    service.register(late)
    assert bool(service.feed.table.list_ready('columns')) is is_ready


async def test_a_late_message_is_no_heartbeat_of_the_next_incarnation():
    """Guards against a crashed upstream that counts as alive."""
    service = create_service('r1:1', 'north')
    later = dataclasses.replace(
        create_draining_record(),
        state=records.UpstreamState.READY,
        born_ms=2000,
    )
    service.feed.register(later, 10.0)
    early = dataclasses.replace(later, born_ms=1000)
    service.feed.register(early, 100.0)
    assert service.feed.table.list_silent(100.0) == ['u1']


async def test_loans_reach_other_replicas_only():
    """Guards against rows for hosts, and loans for another borrower."""
    first = create_service('r1:1', 'north')
    second = create_service('r2:1', 'far')
    granted = [
        loans.Loan(7, 'r2:1', 1000, 0.25),
        loans.Loan(8, 'r9:1', 1000, 0.25),
    ]
    first.quotas.publish_loans([loans.Ask(7, 2000, 0.5)], granted)
    batch = messages.structs.ChangeBatch(rows=[], replicas=[])
    first.quotas.add_rows(batch, [], is_replica=False)
    assert batch.cap_asks is None
    first.quotas.add_rows(batch, [], is_replica=True)
    second._process_batch('r1:1', batch)
    assert second.quotas.pop_remote_asks() == [
        ('r1:1', loans.Ask(7, 2000, 0.5))
    ]
    assert second.quotas.pop_remote_loans() == [('r1:1', granted[0])]
    assert not second.quotas.pop_remote_loans()


async def test_reports_of_spare_capacity_pass_between_replicas():
    """Guards against a region that never learns of the slots of another."""
    first = create_service('r1:1', 'far')
    second = create_service('r2:1', 'north')
    report = spares.Report('columns', spares.State(60, 30.0, 0.0), 'r1', 5)
    first.spares.publish_spares([report])
    batch = await follow(first, 'r2:1', 'north', is_replica=True)
    second._process_batch('r1:1', batch)
    (told,) = second.spares.list_remote_spares(101.0)
    assert told == spares.RemoteReport('r1:1', 'r2', report, 1.0)


async def test_malformed_loans_are_skipped():
    """Guards against a replica that stops following for one odd row."""
    service = create_service('r1:1', 'north')
    batch = messages.structs.ChangeBatch(
        rows=[],
        cap_asks=[messages.structs.CapAsk(workspace=7)],
        cap_loans=[messages.structs.CapLoan(borrower='r1:1')],
        allocator_hosts=[messages.structs.AllocatorHosts(allocator='r1:1')],
    )
    service._process_batch('r2:1', batch)
    assert not service.quotas.pop_remote_asks()
    assert not service.quotas.pop_remote_loans()
    assert service.quotas.count_declared(100.0) == 0


async def test_hosts_that_would_ask_an_allocator_are_counted_over_replicas():
    """Guards against an allocator that knows its own followers only."""
    first = create_service('r1:1', 'north')
    second = create_service('r2:1', 'far')
    for number, allocator in enumerate(('r1:1', 'r1:1', 'r2:1', None)):
        follower = feeds.FollowerState(
            f'h{number}:1', 'north', False, 0, 100.0, allocator
        )
        second.feed.update_follower(f'h{number}', follower)
    batch = messages.structs.ChangeBatch(rows=[])
    second.quotas.add_rows(
        batch, second.feed.list_hosts(100.0), is_replica=True
    )
    batch.hosts = 4
    first._process_batch('r2:1', batch)
    assert first.quotas.count_declared(100.0) == 2
    assert second.quotas.count_declared(100.0) == 1
    assert first.quotas.count_hosts(100.0) == 4
