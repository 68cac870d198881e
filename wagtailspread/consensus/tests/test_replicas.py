"""Steps of replicas in memory: changes, snapshots, hand-over, repair."""

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


def test_follower_that_is_too_far_behind_gets_a_snapshot_in_parts():
    """Guards against a lagging replica that never catches up."""
    fleet = create_fleet()
    leader = find_leader(fleet)
    behind = find_followers(fleet)[0]
    fleet.isolate(behind)
    propose_many(fleet, 50)
    fleet.run(1.0)
    fleet.nodes[leader].compact()
    assert len(find_state(fleet, leader).log.snapshot.payload) > 640
    fleet.heal()
    fleet.run(3.0)
    assert fleet.nodes[behind].machine.applied == (
        fleet.nodes[leader].machine.applied
    )
    assert find_state(fleet, behind).log.snapshot.index > 50


def test_follower_that_is_a_little_behind_needs_no_snapshot():
    """Guards against the whole state on a narrow link after each snapshot."""
    fleet = create_fleet()
    leader = find_leader(fleet)
    behind = find_followers(fleet)[0]
    fleet.isolate(behind)
    propose_many(fleet, 2)
    fleet.run(0.3)
    fleet.nodes[leader].compact()
    fleet.heal()
    fleet.run(0.5)
    assert find_state(fleet, behind).log.snapshot.index == 0
    assert fleet.nodes[behind].applied == fleet.nodes[leader].applied


def test_restart_continues_at_the_noted_commit():
    """Guards against a restarted replica that serves an older state."""
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
    """Guards against a pause in commits at a graceful stop."""
    fleet = create_fleet()
    leader = find_leader(fleet)
    propose_many(fleet, 3)
    node = fleet.nodes[leader]
    node.take(node.replica.transfer(fleet.now))
    assert not fleet.propose(leader, b'after the transfer began')
    assert fleet.read(leader) is None
    fleet.run(0.2)
    assert find_leader(fleet) != leader


def test_learner_does_not_count_before_it_is_admitted():
    """Guards against a commit that only an empty replica acknowledged."""
    fleet = create_fleet(3, spares=1)
    fleet.run(2.0)
    assert count_voters(fleet) == 4
    fleet = networks.SimulatedFleet(3, 1, policy=POLICY)
    learner = list(fleet.nodes)[-1]
    fleet.isolate(learner)
    fleet.run(3.0)
    node = messages.ReplicaNode(find_state(fleet, learner).identity, learner)
    leader = fleet.nodes[find_leader(fleet)]
    for kind, is_made in (
        (reconfiguration.ChangeKind.ADD_LEARNER, True),
        (reconfiguration.ChangeKind.PROMOTE, False),
    ):
        change = reconfiguration.MembershipChange(kind, node)
        outcome = leader.replica.change_membership(change, fleet.now)
        assert (outcome.value_or(None) is not None) == is_made
        fleet.run(0.5)
    assert count_voters(fleet) == 3


def test_second_change_waits_for_the_first():
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
    """Guards against a leader that does not count to its own quorum."""
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
def test_replacement_is_finished_by_the_next_leader(step):
    """Guards against a membership change that stays half done."""
    fleet = create_fleet()
    leader = find_leader(fleet)
    wiped, other = find_followers(fleet)
    fleet.wipe(wiped)
    for _ in range(step):
        fleet.run(0.05)
    node = fleet.nodes[leader]
    node.take(node.replica.transfer(fleet.now))
    fleet.run(4.0)
    assert count_voters(fleet) == 3
    assert find_state(fleet, wiped).is_voter()
    assert not fleet.wiped & find_state(fleet, other).membership.voter_ids()


def test_second_loss_right_after_a_repair_loses_nothing():
    """Guards against a repair that counts a replica before it holds all."""
    fleet = create_fleet()
    propose_many(fleet, 10)
    fleet.run(0.5)
    first, second = find_followers(fleet)
    fleet.wipe(first)
    while not fleet.may_wipe():
        fleet.run(0.05)
    fleet.check_held()
    fleet.wipe(second)
    fleet.run(4.0)
    fleet.check_held()
    assert len(fleet.nodes[first].machine.applied) == 11


def test_replica_with_an_older_folder_becomes_void():
    """Guards against a restored copy of a folder that votes again."""
    fleet = create_fleet()
    node = fleet.nodes[find_followers(fleet)[0]]
    kept = list(node.store._synced)
    propose_many(fleet, 5)
    fleet.run(0.5)
    node.crash()
    node.store._synced = kept
    node.restart()
    fleet.run(0.3)
    assert find_state(fleet, node.address).is_expelled
    fleet.wipe(node.address)
    fleet.run(3.0)
    assert count_voters(fleet) == 3
    assert find_state(fleet, node.address).is_voter()


def test_repeated_part_of_a_snapshot_is_stored_once():
    """Guards against a snapshot that is corrupted by a repeated message."""
    fleet = create_fleet()
    leader = find_leader(fleet)
    behind = fleet.nodes[find_followers(fleet)[0]]
    state = find_state(fleet, leader)
    for offset, payload, is_held in (
        (0, b'ab', 2),
        (0, b'ab', 2),
        (2, b'c', 3),
    ):
        chunk = messages.SnapshotChunk(
            state.identity,
            behind.replica.state.identity,
            state.term,
            900,
            state.term,
            state.membership,
            offset,
            3,
            payload,
            0,
        )
        output = behind.replica.receive(chunk, fleet.now)
        assert output.messages[-1].offset == is_held
    assert output.snapshot.payload == b'abc'


def test_follower_commits_no_further_than_the_leader_compared():
    """Guards against a commit of entries that the leader does not have."""
    fleet = create_fleet()
    state = find_state(fleet, find_leader(fleet))
    follower = fleet.nodes[find_followers(fleet)[0]]
    prev = state.log.last_index
    first, second = (
        messages.LogEntry(
            prev + place,
            state.term,
            messages.EntryKind.COMMAND,
            b'x',
        )
        for place in (1, 2)
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


def test_voter_that_still_answers_is_not_replaced():
    """Guards against the removal of a live replica by a second process."""
    fleet = create_fleet()
    address = find_followers(fleet)[0]
    before = find_state(fleet, address).identity
    twin = messages.ReplicaNode('twin', address)
    for _ in range(40):
        for node in fleet.list_up():
            node.replica.introduce(twin, fleet.now)
        fleet.run(0.05)
        progress = find_state(fleet, find_leader(fleet)).progress.get('twin')
        if progress is not None:
            progress.match_index = find_state(fleet, find_leader(fleet)).commit
            progress.active_at = fleet.now
    membership = find_state(fleet, find_leader(fleet)).membership
    assert before in membership.voter_ids()
    assert 'twin' not in membership.voter_ids()


def test_lost_probe_is_sent_again():
    """Guards against a follower that waits for ever after one lost message."""
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
    """Guards against a replica that takes itself for a member for ever.

    Its log holds the entry that added it, but the leader that wrote the entry
    was lost with it.
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


class LateFleet(networks.SimulatedFleet):
    """Holds what is sent to one replica until it is released."""

    slow = None

    def __init__(self, *arguments, **options):
        self.held = []
        super().__init__(*arguments, **options)

    def post(self, source, outgoing):
        super().post(source, outgoing)
        late = [one for one in self.in_flight if one[1] == self.slow]
        self.held.extend(late)
        self.in_flight = [one for one in self.in_flight if one[1] != self.slow]

    def release(self):
        held, self.held = self.held, []
        node = self.nodes[self.slow]
        for _source, _target, message in held:
            node.take(node.replica.receive(message, self.now))


def test_learner_is_admitted_while_changes_go_on():
    """Guards against a replica that stays a learner for as long as there is
    load, since the last entries are always on their way to it.
    """
    fleet = LateFleet(3, policy=POLICY)
    fleet.run(3.0)
    fleet.slow = find_followers(fleet)[0]
    fleet.wipe(fleet.slow)
    for _ in range(80):
        fleet.advance(0.05)
        propose_many(fleet, 1)
        fleet.release()
        fleet.settle()
    assert find_state(fleet, fleet.slow).is_voter()


def test_learner_that_holds_nothing_is_not_caught_up():
    """Guards against a mark that an empty log reaches."""
    fleet = create_fleet(3, spares=1)
    replica = fleet.nodes[find_leader(fleet)].replica
    replica.state.progress['empty'] = states.Progress(
        0,
        1,
        active_at=fleet.now,
    )
    assert not replica.reconfiguration.is_caught_up('empty', fleet.now)


def test_kept_entries_are_bounded_in_bytes():
    """Guards against memory that grows with the size of stored answers."""
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
    kept = state.log.read(state.log.base_index + 1, state.log.snapshot.index)
    assert 1 <= len(kept) <= 3


def test_message_for_another_identity_is_dropped():
    """Guards against a new identity that votes for the old one."""
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
    """Guards against terms that grow for as long as a cut lasts."""
    fleet = create_fleet()
    addresses = list(fleet.nodes)
    fleet.cut(addresses[pair[0]], addresses[pair[1]])
    fleet.run(5.0)
    before = max(find_state(fleet, one).term for one in addresses)
    fleet.run(10.0)
    assert max(find_state(fleet, one).term for one in addresses) == before
    assert fleet.propose(find_leader(fleet), b'goes on')
    fleet.run(0.5)
    (leader,) = fleet.find_leaders()
    assert fleet.nodes[leader].machine.applied[-1][1] == b'goes on'


@pytest.mark.parametrize('seed', range(12))
def test_cuts_within_a_minority_of_links_leave_a_leader(seed):
    """Guards against five replicas that agree on nobody for all the time."""
    fleet = create_fleet(5)
    addresses = list(fleet.nodes)
    cuts = random.Random(seed).sample(
        list(itertools.permutations(addresses, 2)), 4
    )
    for source, target in cuts:
        fleet.cut(source, target)
    fleet.run(6.0)
    before = max(find_state(fleet, one).term for one in addresses)
    fleet.run(10.0)
    after = max(find_state(fleet, one).term for one in addresses)
    assert after - before <= 1
    assert fleet.find_leaders()
