"""Tests of the replica that a host follows, and of the rows that it gets."""

import dataclasses

from returns import result

from wagtailspread.configuration import documents
from wagtailspread.core import clocks
from wagtailspread.registry import digests, feeds, followers, positions
from wagtailspread.registry import records, services, tables
from wagtailspread.wire import listeners, messages

_DISTANCES = {'own': 0, 'near': 1, 'far': 2}


def create_sources(*domains):
    """Return a source list with one replica in each domain."""
    sources = followers.SourceList(
        lambda: ['seed:1'],
        _DISTANCES.__getitem__,
    )
    if domains:
        sources.update(
            [
                messages.structs.ReplicaPlace(address=f'{one}:1', domain=one)
                for one in domains
            ],
        )
    return sources


def test_the_nearest_replica_is_followed():
    """Guards against needless control traffic between failure domains."""
    sources = create_sources('far', 'near', 'own')
    assert sources.choose(0.0) == 'own:1'


def test_a_failed_replica_is_avoided_and_selected_again_later():
    """Guards against a host that waits for a failed replica."""
    sources = create_sources('far', 'own')
    sources.choose(0.0)
    sources.deprioritize('own:1', 0.0)
    assert sources.choose(0.1) == 'far:1'
    assert sources.choose(0.2 + followers.RESELECTION_SECONDS) == 'own:1'


def test_a_nearer_replica_is_asked_again_when_another_has_a_quorum():
    """Guards against hosts that follow the other region for 5 s after a start.

    Load pattern: all replicas start, a far one is the first with a quorum, and
    all upstreams register in the seconds after that.
    """
    sources = create_sources('far', 'near')
    sources.choose(0.0)
    sources.record_quorum('near:1', 0.0, has_quorum=False)
    assert sources.choose(0.1) == 'far:1'
    sources.record_quorum('far:1', 0.1, has_quorum=True)
    assert sources.choose(0.2) == 'far:1'
    sources.record_quorum('far:1', 0.2, has_quorum=True)
    assert sources.choose(0.1 + followers.RECHECK_SECONDS) == 'near:1'


def test_a_replica_that_stays_without_a_quorum_is_asked_again_once():
    """Guards against a host that asks the minority of a partition for long."""
    sources = create_sources('far', 'near')
    sources.record_quorum('near:1', 0.0, has_quorum=False)
    chosen = []
    for step in range(20):
        now = step / 10
        chosen.append(sources.choose(now))
        has_quorum = chosen[-1] == 'far:1'
        sources.record_quorum(chosen[-1], now, has_quorum=has_quorum)
    assert chosen.count('near:1') == 1


def test_the_seeds_are_asked_again_when_all_known_replicas_fail():
    """Guards against a host that knows only replicas that were replaced."""
    sources = create_sources('own')
    assert sources.choose(0.0) == 'own:1'
    sources.deprioritize('own:1', 0.0)
    assert sources.choose(0.1) == 'seed:1'


def test_a_host_that_knows_no_replica_asks_a_seed():
    """Guards against a host that never starts to follow a replica."""
    assert create_sources().choose(0.0) == 'seed:1'


def test_the_replica_that_answered_last_is_asked_for_a_document_first():
    """Guards against downloads that wait for a nearer but failed replica."""
    sources = create_sources('far', 'near', 'own')
    follower = followers.ChangeFollower(
        'h1',
        'h1:1',
        'own',
        sources,
        None,
        clocks.ManualClock(),
        None,
        None,
    )
    assert follower.list_sources() == ['own:1', 'near:1', 'far:1']
    follower.current_replica = 'far:1'
    assert follower.list_sources() == ['far:1', 'own:1', 'near:1']
    sources.deprioritize('own:1', 0.0)
    assert follower.list_sources() == ['far:1', 'near:1', 'own:1']


_REGIONS = {'own': 'r1', 'near': 'r1', 'far': 'r2'}
_REPLICAS = {'own:1': 'own', 'near:1': 'near', 'far:1': 'far', 'far:2': 'far'}
_READY = records.UpstreamRecord(
    upstream='u0',
    service='columns',
    address='10.0.0.1:80',
    domain='own',
    slots=6,
    state=records.UpstreamState.READY,
    born_ms=1000,
    sequence=4,
)


class Group:
    """A group of replicas without a leader."""

    def list_replicas(self):
        """Return the addresses of all replicas."""
        return list(_REPLICAS)

    def has_quorum(self):
        """Tell that there is none."""
        return False

    def is_up_to_date(self):
        """Tell that it is not."""
        return False

    def is_majority(self, others):
        """Tell that it is none."""
        return False

    def read_document(self):
        """Return a document without a version."""
        return documents.VersionedDocument()


class Fleet:
    """Replicas with the same upstreams, and a host that follows them.

    It stands for the pool and the links of the host as well.
    """

    def __init__(self, upstreams):
        """Create replicas that know so many upstreams."""
        self.clock = clocks.ManualClock()
        self.services = {
            address: services.create_service(
                address, domain, _REGIONS, self.clock
            )
            for address, domain in _REPLICAS.items()
        }
        places = [
            messages.structs.ReplicaPlace(address=address, domain=domain)
            for address, domain in _REPLICAS.items()
        ]
        for service in self.services.values():
            listener = listeners.create_listener(None, None)
            service.attach(listener, Group())
            for place in places:
                batch = messages.structs.ChangeBatch(replicas=[place])
                service._directory.record(place.address, batch)
        for number in range(upstreams):
            self.register(create_record(number), *self.services)
        self.table = tables.create_table()
        self.rows = []
        self.waits = []
        self.is_failing = False
        self.sources = followers.SourceList(
            lambda: list(_REPLICAS), _DISTANCES.__getitem__
        )
        self.follower = followers.ChangeFollower(
            'h1',
            'h1:1',
            'own',
            self.sources,
            self,
            self.clock,
            self._apply,
            self.table,
        )

    def register(self, record, *addresses):
        """Register an upstream at some replicas."""
        for address in addresses:
            self.services[address].feed.register(record, 0.0)

    def find(self, address):
        """Return the link to a replica, which is this object."""
        self._asked = address
        return self

    async def remove(self, address):
        """Close the link to a replica."""

    async def call(self, method, request, struct_type, seconds):
        """Return the answer of a replica as it arrives."""
        self.waits.append(request.wait_ms)
        received = messages.decode(type(request), messages.encode(request))
        received.wait_ms = 0
        call = listeners.Call(None, seconds, '')
        answer = await self.services[self._asked]._answer_follower(
            call, received
        )
        encoded = messages.encode(answer.unwrap())
        return result.Success(messages.decode(struct_type, encoded))

    async def poll(self, times):
        """Follow as the host does, with 0.1 s between the polls."""
        for _ in range(times):
            self.clock.advance(0.1)
            address = self.sources.choose(self.clock.now())
            await self.follower._try_following(address)

    def _apply(self, batch):
        self.rows.append(len(batch.rows))
        if self.is_failing:
            raise ValueError
        for record in records.from_rows(batch.rows):
            self.table.merge(record, self.clock.now())


def create_record(number):
    """Return the record of an upstream."""
    address = f'10.0.0.1:{80 + number}'
    return dataclasses.replace(_READY, upstream=f'u{number}', address=address)


async def test_a_host_without_a_quorum_gets_each_row_once():
    """Guards against all rows in each answer while the leader is lost.

    Load pattern: the hosts of a large site ask one replica after the other
    until one has a quorum. The answers took 28 KB/s for each host on the links
    between the regions, and 8 ms of processor time in a second.
    """
    fleet = Fleet(positions.MAX_ROWS)
    await fleet.poll(40)
    assert sum(fleet.rows) == positions.MAX_ROWS
    assert len(fleet.table.rows) == positions.MAX_ROWS
    assert len(fleet.follower._progress) == len(_REPLICAS)


async def test_no_replica_sends_a_row_twice():
    """Guards against the same where the rows need several answers.

    A host that starts asks the next replica before it has the rest of the rows.
    """
    fleet = Fleet(positions.MAX_ROWS + 44)
    await fleet.poll(40)
    assert sum(fleet.rows) <= len(_REPLICAS) * len(fleet.table.rows)
    assert len(fleet.table.rows) == positions.MAX_ROWS + 44


async def test_a_host_that_returns_to_a_replica_gets_what_it_missed():
    """Guards against a host that lacks the changes of its absence."""
    fleet = Fleet(3)
    for address in ('own:1', 'near:1', 'far:1'):
        await fleet.follower.follow_once(address)
    draining = records.UpstreamState.DRAINING
    changed = dataclasses.replace(create_record(1), state=draining)
    fleet.register(changed, 'own:1', 'far:1')
    for address in ('near:1', 'own:1', 'far:1', 'far:2'):
        await fleet.follower.follow_once(address)
    # The tables differ at the last replica, which has not heard of the change.
    assert fleet.rows == [3, 0, 0, 0, 1, 0, 1]
    assert fleet.table.rows['u1'].record.state is draining


async def test_a_replica_that_knows_more_sends_its_rows():
    """Guards against a host that takes another table for its own."""
    fleet = Fleet(3)
    await fleet.follower.follow_once('own:1')
    fleet.register(create_record(7), 'far:1')
    await fleet.follower.follow_once('far:1')
    assert fleet.rows == [3, 1]
    assert 'u7' in fleet.table.rows


async def test_another_replica_sends_the_parts_that_differ():
    """Guards against all rows from each replica while upstreams change.

    Load pattern: during a release of 20 of 480 upstreams no replica has a
    quorum, and the hosts of a region turn to replicas of the other one. Each
    answer took 36 KB.
    """
    fleet = Fleet(480)
    for _ in range(2):
        await fleet.follower.follow_once('own:1')
    assert sum(fleet.rows) == 480
    draining = records.UpstreamState.DRAINING
    for number in range(20):
        changed = dataclasses.replace(create_record(number), state=draining)
        fleet.register(changed, 'far:1', 'far:2')
    for _ in range(2):
        await fleet.follower.follow_once('far:1')
    received = sum(fleet.rows) - 480
    assert 20 <= received <= 20 * 3 * 480 / digests.BUCKETS
    await fleet.follower.follow_once('far:2')
    assert sum(fleet.rows) == 480 + received
    states = [row.record.state for row in fleet.table.rows.values()]
    assert states.count(draining) == 20


async def test_a_restarted_replica_is_not_asked_for_its_old_position():
    """Guards against a host that misses the changes after a restart."""
    fleet = Fleet(3)
    await fleet.follower.follow_once('own:1')
    service = fleet.services['own:1']
    service.feed = feeds.ChangeFeed(service.feed.epoch + 1)
    fleet.register(create_record(7), 'own:1')
    await fleet.follower.follow_once('own:1')
    assert fleet.rows == [3, 1]


async def test_rows_that_were_not_stored_are_sent_again():
    """Guards against a host that skips the rows of a batch that failed."""
    fleet = Fleet(3)
    fleet.is_failing = True
    await fleet.poll(1)
    fleet.is_failing = False
    await fleet.follower.follow_once('own:1')
    assert fleet.rows == [3, 3]


async def test_only_the_replica_that_answered_last_may_wait():
    """Guards against a host that waits at each replica without a quorum."""
    fleet = Fleet(3)
    for address in ('own:1', 'own:1', 'far:1', 'own:1', 'own:1'):
        await fleet.follower.follow_once(address)
    wait = int(followers.POLL_SECONDS * 1000)
    assert fleet.waits == [0, wait, 0, 0, wait]


async def test_the_number_of_retained_positions_is_bounded():
    """Guards against memory that grows with each replica that ever was."""
    fleet = Fleet(0)
    batch = messages.structs.ChangeBatch(epoch=1, position=1)
    for number in range(100):
        fleet.follower._record_progress(f'r{number}:1', batch)
    assert len(fleet.follower._progress) == followers.MAX_PROGRESS
    assert 'r99:1' in fleet.follower._progress
