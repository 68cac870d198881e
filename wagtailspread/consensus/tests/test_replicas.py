"""In-memory replicas: membership, snapshots, transfers and network cuts."""

import dataclasses
import itertools
import random

import pytest

from wagtailspread.consensus import messages, reconfiguration, states
from wagtailspread.testing import networks

POLICY = states.Policy(
    election_timeout=0.5,
    heartbeat_interval=0.1,
    chunk_bytes=64,
    retained_entries=2,
)


def create_fleet(count=3, spares=0):
    fleet = networks.SimulatedFleet(count, spares, policy=POLICY)
    fleet.run(3.0)
    return fleet


def find_leader(fleet):
    (leader,) = fleet.find_leaders()
    return leader


def find_followers(fleet):
    leader = find_leader(fleet)
    return [address for address in fleet.nodes if address != leader]


def find_state(fleet, address):
    return fleet.nodes[address].replica.state


def propose_many(fleet, count):
    for number in range(count):
        assert fleet.propose(find_leader(fleet), b'change-%d' % number)


def count_voters(fleet):
    return len(find_state(fleet, find_leader(fleet)).membership.voters)


def test_lagging_follower_gets_a_chunked_snapshot():
    """Guards against a lagging replica that never catches up."""
    fleet = create_fleet()
    leader = find_leader(fleet)
    lagging = find_followers(fleet)[0]
    fleet.isolate(lagging)
    propose_many(fleet, 50)
    fleet.run(1.0)
    fleet.nodes[leader].compact()
    assert len(find_state(fleet, leader).log.snapshot.payload) > 640
    fleet.heal()
    fleet.run(3.0)
    assert fleet.nodes[lagging].machine.applied == (
        fleet.nodes[leader].machine.applied
    )
    assert find_state(fleet, lagging).log.snapshot.index > 50


def test_slightly_lagging_follower_needs_no_snapshot():
    """Guards against full state transfers on a slow link after a snapshot."""
    fleet = create_fleet()
    leader = find_leader(fleet)
    lagging = find_followers(fleet)[0]
    fleet.isolate(lagging)
    propose_many(fleet, 2)
    fleet.run(0.3)
    fleet.nodes[leader].compact()
    fleet.heal()
    fleet.run(0.5)
    assert find_state(fleet, lagging).log.snapshot.index == 0
    assert fleet.nodes[lagging].applied == fleet.nodes[leader].applied


def test_restart_resumes_at_the_stored_commit_index():
    """Guards against a restarted replica that serves stale state."""
    fleet = create_fleet()
    propose_many(fleet, 3)
    fleet.run(0.5)
    node = fleet.nodes[find_followers(fleet)[0]]
    fleet.isolate(node.address)
    node.crash()
    node.restart()
    fleet.advance(0.05)
    node.sync()
    assert node.machine.applied[-1][1] == b'change-2'


def test_transfer_moves_leadership_without_an_election_timeout():
    """Guards against a pause in commits at a graceful shutdown."""
    fleet = create_fleet()
    leader = find_leader(fleet)
    propose_many(fleet, 3)
    node = fleet.nodes[leader]
    node.buffer(node.replica.transfer(fleet.now))
    assert not fleet.propose(leader, b'after the transfer began')
    assert fleet.read(leader) is None
    fleet.run(0.2)
    assert find_leader(fleet) != leader


def test_learner_is_not_counted_before_promotion():
    """Guards against a commit that relies on a replica with an empty log."""
    fleet = create_fleet(3, spares=1)
    fleet.run(2.0)
    assert count_voters(fleet) == 4
    fleet = networks.SimulatedFleet(3, 1, policy=POLICY)
    learner = list(fleet.nodes)[-1]
    fleet.isolate(learner)
    fleet.run(3.0)
    node = messages.ReplicaNode(find_state(fleet, learner).identity, learner)
    leader = fleet.nodes[find_leader(fleet)]
    for kind, is_accepted in (
        (reconfiguration.ChangeKind.ADD_LEARNER, True),
        (reconfiguration.ChangeKind.PROMOTE, False),
    ):
        change = reconfiguration.MembershipChange(kind, node)
        outcome = leader.replica.change_membership(change, fleet.now)
        assert (outcome.value_or(None) is not None) == is_accepted
        fleet.run(0.5)
    assert count_voters(fleet) == 3


def test_second_change_is_refused_until_the_first_commits():
    """Guards against two majorities that do not overlap."""
    fleet = create_fleet(5)
    leader = fleet.nodes[find_leader(fleet)]
    outcomes = []
    for address in find_followers(fleet)[:2]:
        node = messages.ReplicaNode(
            find_state(fleet, address).identity,
            address,
        )
        change = reconfiguration.MembershipChange(
            reconfiguration.ChangeKind.REMOVE,
            node,
        )
        outcomes.append(leader.replica.change_membership(change, fleet.now))
    assert outcomes[1].failure().reason == 'change-in-progress'


def test_removed_leader_steps_down():
    """Guards against a leader that is not part of its own quorum."""
    fleet = create_fleet(5)
    leader = find_leader(fleet)
    node = messages.ReplicaNode(find_state(fleet, leader).identity, leader)
    change = reconfiguration.MembershipChange(
        reconfiguration.ChangeKind.REMOVE,
        node,
    )
    fleet.nodes[leader].replica.change_membership(change, fleet.now)
    fleet.run(3.0)
    assert find_leader(fleet) != leader
    assert fleet.propose(find_leader(fleet), b'goes on')


@pytest.mark.parametrize('step', range(1, 8))
def test_next_leader_completes_a_replacement(step):
    """Guards against a replacement that a leader change leaves incomplete."""
    fleet = create_fleet()
    leader = find_leader(fleet)
    wiped, other = find_followers(fleet)
    fleet.wipe(wiped)
    for _ in range(step):
        fleet.run(0.05)
    node = fleet.nodes[leader]
    node.buffer(node.replica.transfer(fleet.now))
    fleet.run(4.0)
    assert count_voters(fleet) == 3
    assert find_state(fleet, wiped).is_voter()
    assert not fleet.wiped & find_state(fleet, other).membership.voter_ids()


def test_second_wipe_after_a_replacement_loses_no_entries():
    """Guards against a quorum that relies on an incomplete new replica."""
    fleet = create_fleet()
    propose_many(fleet, 10)
    fleet.run(0.5)
    first, second = find_followers(fleet)
    fleet.wipe(first)
    while not fleet.may_wipe():
        fleet.run(0.05)
    fleet.check_durability()
    fleet.wipe(second)
    fleet.run(4.0)
    fleet.check_durability()
    assert len(fleet.nodes[first].machine.applied) == 11


def test_replica_with_an_outdated_store_is_expelled():
    """Guards against a replica that votes with a restored backup."""
    fleet = create_fleet()
    node = fleet.nodes[find_followers(fleet)[0]]
    stored_records = list(node.store._synced)
    propose_many(fleet, 5)
    fleet.run(0.5)
    node.crash()
    node.store._synced = stored_records
    node.restart()
    fleet.run(0.3)
    assert find_state(fleet, node.address).is_expelled
    fleet.wipe(node.address)
    fleet.run(3.0)
    assert count_voters(fleet) == 3
    assert find_state(fleet, node.address).is_voter()


def test_duplicate_snapshot_chunk_is_stored_once():
    """Guards against a snapshot that a duplicate message corrupts."""
    fleet = create_fleet()
    leader = find_leader(fleet)
    lagging = fleet.nodes[find_followers(fleet)[0]]
    state = find_state(fleet, leader)
    for offset, payload, expected_offset in (
        (0, b'ab', 2),
        (0, b'ab', 2),
        (2, b'c', 3),
    ):
        chunk = messages.SnapshotChunk(
            state.identity,
            lagging.replica.state.identity,
            state.term,
            900,
            state.term,
            state.membership,
            offset,
            3,
            payload,
            0,
        )
        output = lagging.replica.receive(chunk, fleet.now)
        assert output.messages[-1].offset == expected_offset
    assert output.snapshot.payload == b'abc'


def test_follower_commits_only_entries_that_match_the_leader():
    """Guards against a commit of entries that the leader does not have."""
    fleet = create_fleet()
    state = find_state(fleet, find_leader(fleet))
    follower = fleet.nodes[find_followers(fleet)[0]]
    prev = state.log.last_index
    first, second = (
        messages.LogEntry(
            prev + position,
            state.term,
            messages.EntryKind.COMMAND,
            b'x',
        )
        for position in (1, 2)
    )
    for entries, commit in (((first, second), prev), ((first,), prev + 9)):
        request = messages.AppendRequest(
            state.identity,
            follower.replica.state.identity,
            state.term,
            prev,
            state.log.last_term,
            commit,
            0,
            entries,
        )
        follower.replica.receive(request, fleet.now)
    assert follower.replica.state.commit == prev + 1


def test_live_voter_is_not_replaced():
    """Guards against a second process that takes over a live address."""
    fleet = create_fleet()
    address = find_followers(fleet)[0]
    before = find_state(fleet, address).identity
    twin = messages.ReplicaNode('twin', address)
    for _ in range(40):
        for node in fleet.list_running():
            node.replica.introduce(twin, fleet.now)
        fleet.run(0.05)
        progress = find_state(fleet, find_leader(fleet)).progress.get('twin')
        if progress is not None:
            progress.match_index = find_state(fleet, find_leader(fleet)).commit
            progress.active_at = fleet.now
    membership = find_state(fleet, find_leader(fleet)).membership
    assert before in membership.voter_ids()
    assert 'twin' not in membership.voter_ids()


def test_lost_probe_is_retried():
    """Guards against a follower that stalls after a single lost message."""
    fleet = create_fleet()
    leader = find_leader(fleet)
    follower = find_followers(fleet)[0]
    progress = find_state(fleet, leader).progress[
        find_state(fleet, follower).identity
    ]
    progress.is_probing = True
    progress.is_paused = True
    propose_many(fleet, 1)
    fleet.run(0.4)
    assert fleet.nodes[follower].applied == fleet.nodes[leader].applied


def test_learner_whose_admission_was_lost_introduces_itself_again():
    """Guards against a replica that wrongly believes that it is a member.

    Its log holds the entry that added it, but that entry was lost with the
    leader that wrote it.
    """
    fleet = create_fleet(5)
    leader = find_leader(fleet)
    wiped, *others = find_followers(fleet)
    fleet.wipe(wiped)
    for other in others:
        fleet.isolate(other)
    identity = find_state(fleet, wiped).identity
    while find_state(fleet, wiped).membership.find(identity) is None:
        fleet.run(0.05)
    fleet.nodes[leader].crash()
    fleet.heal()
    fleet.isolate(wiped)
    fleet.run(3.0)
    fleet.nodes[leader].restart()
    fleet.run(1.0)
    assert find_state(fleet, leader).membership.find(identity) is None
    fleet.heal()
    fleet.run(5.0)
    assert find_state(fleet, wiped).is_voter()


class DelayedFleet(networks.SimulatedFleet):
    """Delays messages to one replica until they are released."""

    delayed_address = None

    def __init__(self, *arguments, **options):
        self.delayed = []
        super().__init__(*arguments, **options)

    def post(self, source, outgoing):
        super().post(source, outgoing)
        delayed_now = [
            posted
            for posted in self.in_flight
            if posted[1] == self.delayed_address
        ]
        self.delayed.extend(delayed_now)
        self.in_flight = [
            posted
            for posted in self.in_flight
            if posted[1] != self.delayed_address
        ]

    def release_delayed(self):
        delayed, self.delayed = self.delayed, []
        node = self.nodes[self.delayed_address]
        for _source, _target, message in delayed:
            node.buffer(node.replica.receive(message, self.now))


def test_learner_is_promoted_under_continuous_load():
    """Guards against a replica that stays a learner while there is load.

    The last entries are then always in flight to it.
    """
    fleet = DelayedFleet(3, policy=POLICY)
    fleet.run(3.0)
    fleet.delayed_address = find_followers(fleet)[0]
    fleet.wipe(fleet.delayed_address)
    for _ in range(80):
        fleet.advance(0.05)
        propose_many(fleet, 1)
        fleet.release_delayed()
        fleet.settle()
    assert find_state(fleet, fleet.delayed_address).is_voter()


def test_learner_with_an_empty_log_is_not_caught_up():
    """Guards against a catch-up target that an empty log reaches."""
    fleet = create_fleet(3, spares=1)
    replica = fleet.nodes[find_leader(fleet)].replica
    replica.state.progress['empty'] = states.Progress(
        0,
        1,
        active_at=fleet.now,
    )
    assert not replica.reconfiguration.is_caught_up('empty', fleet.now)


def test_retained_entries_are_bounded_in_bytes():
    """Guards against memory that grows with the size of log entries."""
    fleet = create_fleet()
    leader = find_leader(fleet)
    state = find_state(fleet, leader)
    policy = dataclasses.replace(
        POLICY, retained_entries=100, retained_bytes=30
    )
    state.policy = policy
    propose_many(fleet, 20)
    fleet.run(0.5)
    fleet.nodes[leader].compact()
    retained = state.log.read(
        state.log.base_index + 1, state.log.snapshot.index
    )
    assert 1 <= len(retained) <= 3


def test_message_for_another_identity_is_dropped():
    """Guards against a replica that votes in the name of its old identity."""
    fleet = create_fleet()
    target = fleet.nodes[find_followers(fleet)[0]]
    request = messages.VoteRequest(
        'candidate',
        'lost-identity',
        99,
        99,
        99,
        False,
        True,
    )
    output = target.replica.receive(request, fleet.now)
    assert not output.messages
    assert target.replica.state.term != 99


PAIRS = list(itertools.permutations(range(3), 2))


@pytest.mark.parametrize('pair', PAIRS)
def test_one_way_cut_causes_no_endless_elections(pair):
    """Guards against terms that grow while a link is cut in one direction."""
    fleet = create_fleet()
    addresses = list(fleet.nodes)
    fleet.cut(addresses[pair[0]], addresses[pair[1]])
    fleet.run(5.0)
    before = max(find_state(fleet, address).term for address in addresses)
    fleet.run(10.0)
    assert (
        max(find_state(fleet, address).term for address in addresses) == before
    )
    assert fleet.propose(find_leader(fleet), b'goes on')
    fleet.run(0.5)
    (leader,) = fleet.find_leaders()
    assert fleet.nodes[leader].machine.applied[-1][1] == b'goes on'


@pytest.mark.parametrize('seed', range(12))
def test_cuts_of_a_few_links_leave_a_leader(seed):
    """Guards against five replicas that keep electing, or have no leader."""
    fleet = create_fleet(5)
    addresses = list(fleet.nodes)
    cuts = random.Random(seed).sample(
        list(itertools.permutations(addresses, 2)), 4
    )
    for source, target in cuts:
        fleet.cut(source, target)
    fleet.run(6.0)
    before = max(find_state(fleet, address).term for address in addresses)
    fleet.run(10.0)
    after = max(find_state(fleet, address).term for address in addresses)
    assert after - before <= 1
    assert fleet.find_leaders()
