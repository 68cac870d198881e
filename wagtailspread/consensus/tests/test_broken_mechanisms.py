"""Invariant checks detect each disabled mechanism of the protocol.

Each schedule runs twice: with the full protocol, where no check may fail, and
with one mechanism disabled, where a check has to fail.
"""

import pytest

from wagtailspread.consensus import (
    elections,
    messages,
    reconfiguration,
    replicas,
    replication,
    states,
    storage,
)
from wagtailspread.testing import invariants, networks

TIMEOUT = 1.0
POLICY = states.Policy(
    election_timeout=TIMEOUT,
    heartbeat_interval=0.1,
    max_append_entries=1,
)


def create_fleet(count=3, **overrides):
    return networks.SimulatedFleet(count, policy=POLICY, **overrides)


def list_addresses(fleet):
    return list(fleet.nodes)


def elect(fleet, address, voters):
    """Run an election of one replica in which only ``voters`` take part."""
    fleet.heal()
    for other in fleet.nodes:
        if other not in voters:
            fleet.isolate(other)
    fleet.now += 2 * TIMEOUT
    node = fleet.nodes[address]
    state = node.replica.state
    for _ in range(3):
        state.election_deadline = fleet.now
        node.buffer(node.replica.tick(fleet.now))
        exchange(fleet, messages.VoteRequest, messages.VoteReply)
        if node.replica.is_leader:
            return
        fleet.now += TIMEOUT


def exchange(fleet, *kinds, is_lost=lambda target, message: False):
    """Sync and deliver messages of the given types until none are left.

    Messages for which ``is_lost`` is true are lost, and so are all others
    that are still in flight at the end.
    """
    has_delivered = True
    while has_delivered:
        has_delivered = False
        for node in fleet.list_running():
            node.sync()
        fleet.check()
        for position in reversed(range(len(fleet.in_flight))):
            _source, target, message = fleet.in_flight[position]
            if is_lost(target, message):
                fleet.in_flight.pop(position)
            elif isinstance(message, kinds):
                fleet.deliver(position)
                has_delivered = True
    fleet.in_flight.clear()


def replicate(fleet, rounds=4, **options):
    """Replicate entries without elections, in rounds of 0.1 s."""
    for _ in range(rounds):
        fleet.advance(0.1)
        exchange(
            fleet,
            messages.AppendRequest,
            messages.AppendReply,
            **options,
        )


def crash(fleet, *addresses):
    for address in addresses:
        fleet.nodes[address].crash()


def restart(fleet, *addresses):
    for address in addresses:
        fleet.nodes[address].restart()


class UnsyncedVoteStorage(storage.MemoryStorage):
    """Store that does not write terms and votes."""

    def write(self, output):
        reduced = messages.Output(
            entries=output.entries,
            truncate_from=output.truncate_from,
        )
        return super().write(reduced)


def vote_twice_in_a_term(fleet):
    first, second, voter = list_addresses(fleet)
    fleet.run(3.0)
    elect(fleet, first, {first, voter})
    assert fleet.nodes[first].replica.is_leader
    crash(fleet, voter)
    restart(fleet, voter)
    fleet.advance(0)
    fleet.now += 2 * TIMEOUT
    elect(fleet, second, {second, voter})


class OldTermReplication(replication.Replication):
    """Replication that also commits entries of older terms by counting."""

    def _can_commit(self, index):
        return True


class OldTermReplica(replicas.Replica):
    replication_type = OldTermReplication


def overwrite_majority_entry(fleet):
    """Follow figure 8 of the Raft paper."""
    first, second, third, fourth, fifth = list_addresses(fleet)
    fleet.run(3.0)
    elect(fleet, first, {first, second, third})
    fleet.isolate(first)
    fleet.cuts -= {(first, second), (second, first)}
    fleet.propose(first, b'old')
    replicate(fleet)
    crash(fleet, first)
    elect(fleet, fifth, {third, fourth, fifth})
    assert fleet.nodes[fifth].replica.is_leader
    crash(fleet, fifth)
    restart(fleet, first)
    fleet.advance(0)
    elect(fleet, first, {first, second, third, fourth})
    assert fleet.nodes[first].replica.is_leader
    fleet.heal()
    log = fleet.nodes[third].replica.state.log

    def is_lost(target, message):
        # The third replica receives the old entry, but no later ones.
        payloads = {entry.payload for entry in log.read(1, log.last_index)}
        sends_more = bool(getattr(message, 'entries', ()))
        return target == fourth or (
            target == third and b'old' in payloads and sends_more
        )

    replicate(fleet, is_lost=is_lost)
    crash(fleet, first)
    restart(fleet, fifth)
    fleet.advance(0)
    elect(fleet, fifth, {third, fourth, fifth})
    assert fleet.nodes[fifth].replica.is_leader
    fleet.run(1.0)


def vote_after_losing_the_log(fleet, *, keeps_identity):
    leader, follower, lagging = list_addresses(fleet)
    fleet.run(3.0)
    elect(fleet, leader, {leader, follower})
    fleet.propose(leader, b'acknowledged')
    replicate(fleet)
    assert any(
        entry.payload == b'acknowledged'
        for entry in fleet.observer.applied.values()
    )
    crash(fleet, leader)
    fleet.wipe(follower, keeps_identity=keeps_identity)
    fleet.advance(0)
    elect(fleet, lagging, {follower, lagging})


def lose_unsynced_records(fleet):
    leader, second, third = list_addresses(fleet)
    fleet.run(3.0)
    elect(fleet, leader, {leader, second, third})
    fleet.propose(leader, b'acknowledged')
    replicate(fleet)
    for address in (leader, second, third):
        fleet.nodes[address].store.lose_unsynced(fleet.random)
        restart(fleet, address)
    fleet.check_durability()


class UnsyncedStorage(storage.MemoryStorage):
    """Store that syncs nothing and loses all records in a crash."""

    def sync(self):
        return storage.DONE

    def lose_unsynced(self, random):
        self._unsynced = []


class LeaseIgnoringElections(elections.Elections):
    """Elections that answer vote requests even while a leader may be active."""

    def _must_ignore(self, request, now):
        return False


class LeaseIgnoringReplica(replicas.Replica):
    elections_type = LeaseIgnoringElections


def vote_within_a_lease(fleet):
    leader, rival, voter = list_addresses(fleet)
    fleet.run(3.0)
    elect(fleet, leader, {leader, rival, voter})
    fleet.run(0.5)
    fleet.isolate(rival)
    fleet.run(3 * TIMEOUT, step=0.1)
    assert fleet.read(leader) is not None
    crash(fleet, voter)
    restart(fleet, voter)
    fleet.heal()
    fleet.isolate(leader)
    node = fleet.nodes[rival]
    node.replica.state.election_deadline = fleet.now
    node.buffer(node.replica.tick(fleet.now))
    exchange(fleet, messages.VoteRequest, messages.VoteReply)
    fleet.propose(rival, b'newer')
    for _ in range(4):
        replicate(fleet, rounds=1)
        fleet.read(leader)


class UncheckedReplication(replication.Replication):
    """Replication that does not compare the preceding entry."""

    def _find_conflict(self, request):
        """Report that the logs match."""


class UncheckedReplica(replicas.Replica):
    replication_type = UncheckedReplication


def append_to_diverged_log(fleet):
    first, second, third = list_addresses(fleet)
    fleet.run(3.0)
    elect(fleet, first, {first, third})
    fleet.isolate(first)
    fleet.propose(first, b'lost')
    fleet.nodes[first].sync()
    elect(fleet, second, {second, third})
    assert fleet.nodes[second].replica.is_leader
    fleet.propose(second, b'kept')
    replicate(fleet)
    fleet.heal()
    fleet.run(2.0)


class LogIgnoringElections(elections.Elections):
    """Elections that grant votes to candidates with an incomplete log."""

    def _can_grant(self, request):
        return True


class LogIgnoringReplica(replicas.Replica):
    elections_type = LogIgnoringElections


def elect_lagging_replica(fleet):
    leader, follower, lagging = list_addresses(fleet)
    fleet.run(3.0)
    elect(fleet, leader, {leader, follower})
    fleet.propose(leader, b'acknowledged')
    replicate(fleet)
    crash(fleet, leader)
    elect(fleet, lagging, {follower, lagging})


class EarlyReconfiguration(reconfiguration.Reconfiguration):
    """Allows changes before an entry of the current term is committed."""

    def _find_obstacle(self):
        is_settled = self._state.log.membership_index <= self._state.commit
        return None if is_settled else 'change-in-progress'


class EarlyReconfigurationReplica(replicas.Replica):
    reconfiguration_type = EarlyReconfiguration


def remove(fleet, leader, removed):
    state = fleet.nodes[removed].replica.state
    change = reconfiguration.MembershipChange(
        reconfiguration.ChangeKind.REMOVE,
        messages.ReplicaNode(state.identity, removed),
    )
    fleet.nodes[leader].replica.change_membership(change, fleet.now)


def change_membership_in_two_terms(fleet):
    """Let two leaders remove different replicas, so their majorities differ.

    D. Ongaro described this fault of single-server changes in 2015.
    """
    first, second, third, fourth = list_addresses(fleet)
    fleet.run(3.0)
    elect(fleet, first, {first, second, third, fourth})
    replicate(fleet)
    fleet.isolate(first)
    remove(fleet, first, fourth)
    fleet.nodes[first].sync()
    elect(fleet, second, {second, third, fourth})
    assert fleet.nodes[second].replica.is_leader
    remove(fleet, second, first)
    fleet.heal()
    for other in (first, third):
        fleet.isolate(other)
    replicate(fleet)
    elect(fleet, first, {first, third})


SCHEDULES = {
    'vote-for-a-log-that-is-behind': (
        elect_lagging_replica,
        {'replica_type': LogIgnoringReplica},
        3,
    ),
    'change-before-a-commit-in-the-term': (
        change_membership_in_two_terms,
        {'replica_type': EarlyReconfigurationReplica},
        4,
    ),
    'vote-not-synced': (
        vote_twice_in_a_term,
        {'store_type': UnsyncedVoteStorage},
        3,
    ),
    'old-term-committed-by-counting': (
        overwrite_majority_entry,
        {'replica_type': OldTermReplica},
        5,
    ),
    'vote-within-a-lease': (
        vote_within_a_lease,
        {'replica_type': LeaseIgnoringReplica},
        3,
    ),
    'append-without-comparison': (
        append_to_diverged_log,
        {'replica_type': UncheckedReplica},
        3,
    ),
    'entries-not-synced': (
        lose_unsynced_records,
        {'store_type': UnsyncedStorage},
        3,
    ),
}


@pytest.mark.parametrize('name', SCHEDULES)
def test_schedule_passes_with_all_mechanisms(name):
    """Guards against checks or a protocol that fail without a fault."""
    schedule, _overrides, count = SCHEDULES[name]
    schedule(create_fleet(count))


@pytest.mark.parametrize('name', SCHEDULES)
def test_invariant_check_detects_the_disabled_mechanism(name):
    """Guards against invariant checks that miss a disabled mechanism."""
    schedule, overrides, count = SCHEDULES[name]
    with pytest.raises(invariants.InvariantBroken):
        schedule(create_fleet(count, **overrides))


def test_wiped_replica_cannot_elect_a_lagging_one():
    """Guards against the loss of an acknowledged entry after a wipe."""
    fleet = create_fleet()
    vote_after_losing_the_log(fleet, keeps_identity=False)
    assert not fleet.find_leaders()


def test_invariant_check_detects_a_wiped_replica_with_its_old_identity():
    """Guards against invariant checks that miss a vote with an empty log."""
    with pytest.raises(invariants.InvariantBroken):
        vote_after_losing_the_log(create_fleet(), keeps_identity=True)


class NoPreVoteElections(elections.Elections):
    """Elections that raise the term without a pre-vote."""

    def start(self, now, *, is_pre, is_transfer):
        super().start(now, is_pre=False, is_transfer=is_transfer)


class NoPreVoteReplica(replicas.Replica):
    elections_type = NoPreVoteElections


class NoQuorumCheckElections(elections.Elections):
    """Elections in which a leader needs no replies of a quorum."""

    def _check_quorum(self, now):
        """Never step down."""


class NoQuorumCheckReplica(replicas.Replica):
    elections_type = NoQuorumCheckElections


def run_without_incoming_messages(fleet):
    fleet.run(3.0)
    leader = fleet.find_leaders()[0]
    receiver = next(address for address in fleet.nodes if address != leader)
    for other in fleet.nodes:
        fleet.cut(other, receiver)
    before = fleet.nodes[receiver].replica.state.term
    fleet.run(20 * TIMEOUT)
    assert fleet.find_leaders() == [leader]
    return fleet.nodes[receiver].replica.state.term - before


def test_replica_without_incoming_messages_starts_no_elections():
    """Guards against endless elections while a link is cut in one direction."""
    assert run_without_incoming_messages(create_fleet()) == 0


def test_without_pre_vote_such_a_replica_keeps_raising_its_term():
    """Guards against a cut that does not exercise the pre-vote."""
    fleet = create_fleet(replica_type=NoPreVoteReplica)
    assert run_without_incoming_messages(fleet) > 5


def isolate_leader(fleet):
    fleet.run(3.0)
    leader = fleet.find_leaders()[0]
    fleet.isolate(leader)
    fleet.run(4 * TIMEOUT)
    return leader in fleet.find_leaders()


def test_isolated_leader_steps_down():
    """Guards against a leader that keeps its role without a quorum."""
    assert not isolate_leader(create_fleet())


def test_without_quorum_check_an_isolated_leader_stays_leader():
    """Guards against an isolation that does not exercise the quorum check."""
    assert isolate_leader(create_fleet(replica_type=NoQuorumCheckReplica))


def test_paused_leader_refuses_writes_and_reads_after_it_resumes():
    """Guards against stale reads and lost writes after a paused process."""
    fleet = create_fleet()
    fleet.run(3.0)
    leader = fleet.find_leaders()[0]
    fleet.now += 5 * TIMEOUT
    assert fleet.read(leader) is None
    assert not fleet.propose(leader, b'late')
