"""Each invariant check finds the loss of the mechanism that upholds it.

A schedule runs twice: with the protocol as it is, where no check may fail,
and with one mechanism switched off, where a check has to fail.
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


def create_fleet(count=3, **broken):
    return networks.SimulatedFleet(count, policy=POLICY, **broken)


def list_addresses(fleet):
    return list(fleet.nodes)


def elect(fleet, address, voters):
    """Let one replica stand for election among ``voters`` only."""
    fleet.heal()
    for other in fleet.nodes:
        if other not in voters:
            fleet.isolate(other)
    fleet.now += 2 * TIMEOUT
    node = fleet.nodes[address]
    state = node.replica.state
    for _ in range(3):
        state.election_at = fleet.now
        node.take(node.replica.tick(fleet.now))
        exchange(fleet, messages.VoteRequest, messages.VoteReply)
        if node.replica.is_leader:
            return
        fleet.now += TIMEOUT


def exchange(fleet, *kinds, is_lost=lambda target, message: False):
    """Sync, and deliver messages of some kinds until there are none."""
    is_moving = True
    while is_moving:
        is_moving = False
        for node in fleet.list_up():
            node.sync()
        fleet.check()
        for place in reversed(range(len(fleet.in_flight))):
            _source, target, message = fleet.in_flight[place]
            if is_lost(target, message):
                fleet.in_flight.pop(place)
            elif isinstance(message, kinds):
                fleet.deliver(place)
                is_moving = True
    fleet.in_flight.clear()


def replicate(fleet, rounds=4, **choices):
    """Let leaders send and followers answer; nobody asks for votes."""
    for _ in range(rounds):
        fleet.advance(0.1)
        exchange(
            fleet,
            messages.AppendRequest,
            messages.AppendReply,
            **choices,
        )


def crash(fleet, *addresses):
    for address in addresses:
        fleet.nodes[address].crash()


def restart(fleet, *addresses):
    for address in addresses:
        fleet.nodes[address].restart()


class ForgottenVote(storage.MemoryStorage):
    """Does not sync terms and votes."""

    def write(self, output):
        kept = messages.Output(
            entries=output.entries,
            truncate_from=output.truncate_from,
        )
        return super().write(kept)


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


class CountedOldTerm(replication.Replication):
    """Commits any entry that a majority holds."""

    def _can_commit(self, index):
        return True


class CountingReplica(replicas.Replica):
    replication_type = CountedOldTerm


def overwrite_an_entry_that_a_majority_holds(fleet):
    """The case of figure 8 of the Raft paper."""
    one, two, three, four, five = list_addresses(fleet)
    fleet.run(3.0)
    elect(fleet, one, {one, two, three})
    fleet.isolate(one)
    fleet.cuts -= {(one, two), (two, one)}
    fleet.propose(one, b'old')
    replicate(fleet)
    crash(fleet, one)
    elect(fleet, five, {three, four, five})
    assert fleet.nodes[five].replica.is_leader
    crash(fleet, five)
    restart(fleet, one)
    fleet.advance(0)
    elect(fleet, one, {one, two, three, four})
    assert fleet.nodes[one].replica.is_leader
    fleet.heal()
    log = fleet.nodes[three].replica.state.log

    def is_lost(target, message):
        # The third replica gets the old entry, but nothing after it.
        held = {entry.payload for entry in log.read(1, log.last_index)}
        sends_more = bool(getattr(message, 'entries', ()))
        return target == four or (
            target == three and b'old' in held and sends_more
        )

    replicate(fleet, is_lost=is_lost)
    crash(fleet, one)
    restart(fleet, five)
    fleet.advance(0)
    elect(fleet, five, {three, four, five})
    assert fleet.nodes[five].replica.is_leader
    fleet.run(1.0)


def vote_after_losing_the_log(fleet, *, keeps_identity):
    leader, holder, behind = list_addresses(fleet)
    fleet.run(3.0)
    elect(fleet, leader, {leader, holder})
    fleet.propose(leader, b'acknowledged')
    replicate(fleet)
    assert any(
        entry.payload == b'acknowledged'
        for entry in fleet.observer.applied.values()
    )
    crash(fleet, leader)
    fleet.wipe(holder, keeps_identity=keeps_identity)
    fleet.advance(0)
    elect(fleet, behind, {holder, behind})


def lose_what_was_not_synced(fleet):
    leader, second, third = list_addresses(fleet)
    fleet.run(3.0)
    elect(fleet, leader, {leader, second, third})
    fleet.propose(leader, b'acknowledged')
    replicate(fleet)
    for address in (leader, second, third):
        fleet.nodes[address].store.lose_unsynced(fleet.random)
        restart(fleet, address)
    fleet.check_held()


class UnsyncedStorage(storage.MemoryStorage):
    """Reports a sync without doing it, and loses everything in a crash."""

    def sync(self):
        return storage.DONE

    def lose_unsynced(self, random):
        self._unsynced = []


class EagerVoter(elections.Elections):
    """Votes at once after a start, and whatever leader it has heard."""

    def _must_ignore(self, request, now):
        return False


class EagerReplica(replicas.Replica):
    elections_type = EagerVoter


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
    node.replica.state.election_at = fleet.now
    node.take(node.replica.tick(fleet.now))
    exchange(fleet, messages.VoteRequest, messages.VoteReply)
    fleet.propose(rival, b'newer')
    for _ in range(4):
        replicate(fleet, rounds=1)
        fleet.read(leader)


class UncheckedAppend(replication.Replication):
    """Stores entries without comparing what comes before them."""

    def _find_conflict(self, request):
        """Find none."""


class UncheckedReplica(replicas.Replica):
    replication_type = UncheckedAppend


def append_to_another_history(fleet):
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


class UndemandingVoter(elections.Elections):
    """Votes for candidates whose log is behind its own."""

    def _can_grant(self, request):
        return True


class UndemandingReplica(replicas.Replica):
    elections_type = UndemandingVoter


def elect_a_replica_that_is_behind(fleet):
    leader, holder, behind = list_addresses(fleet)
    fleet.run(3.0)
    elect(fleet, leader, {leader, holder})
    fleet.propose(leader, b'acknowledged')
    replicate(fleet)
    crash(fleet, leader)
    elect(fleet, behind, {holder, behind})


class ChangeAtOnce(reconfiguration.Reconfiguration):
    """Changes the membership before an entry of the own term is committed."""

    def _find_obstacle(self):
        is_settled = self._state.log.membership_index <= self._state.commit
        return None if is_settled else 'change-in-progress'


class ChangeAtOnceReplica(replicas.Replica):
    reconfiguration_type = ChangeAtOnce


def remove(fleet, leader, removed):
    state = fleet.nodes[removed].replica.state
    change = reconfiguration.MembershipChange(
        reconfiguration.ChangeKind.REMOVE,
        messages.ReplicaNode(state.identity, removed),
    )
    fleet.nodes[leader].replica.change_membership(change, fleet.now)


def change_membership_in_two_terms(fleet):
    """Two leaders each remove another replica; their majorities differ.

    It is the fault of single-server changes that D. Ongaro described in 2015.
    """
    one, two, three, four = list_addresses(fleet)
    fleet.run(3.0)
    elect(fleet, one, {one, two, three, four})
    replicate(fleet)
    fleet.isolate(one)
    remove(fleet, one, four)
    fleet.nodes[one].sync()
    elect(fleet, two, {two, three, four})
    assert fleet.nodes[two].replica.is_leader
    remove(fleet, two, one)
    fleet.heal()
    for other in (one, three):
        fleet.isolate(other)
    replicate(fleet)
    elect(fleet, one, {one, three})


SCHEDULES = {
    'vote-for-a-log-that-is-behind': (
        elect_a_replica_that_is_behind,
        {'replica_type': UndemandingReplica},
        3,
    ),
    'change-before-a-commit-in-the-term': (
        change_membership_in_two_terms,
        {'replica_type': ChangeAtOnceReplica},
        4,
    ),
    'vote-not-synced': (
        vote_twice_in_a_term,
        {'store_type': ForgottenVote},
        3,
    ),
    'old-term-committed-by-counting': (
        overwrite_an_entry_that_a_majority_holds,
        {'replica_type': CountingReplica},
        5,
    ),
    'vote-within-a-lease': (
        vote_within_a_lease,
        {'replica_type': EagerReplica},
        3,
    ),
    'append-without-comparison': (
        append_to_another_history,
        {'replica_type': UncheckedReplica},
        3,
    ),
    'entries-not-synced': (
        lose_what_was_not_synced,
        {'store_type': UnsyncedStorage},
        3,
    ),
}


@pytest.mark.parametrize('name', SCHEDULES)
def test_schedule_breaks_nothing_while_the_mechanism_works(name):
    schedule, _broken, count = SCHEDULES[name]
    schedule(create_fleet(count))


@pytest.mark.parametrize('name', SCHEDULES)
def test_check_finds_that_the_mechanism_is_off(name):
    schedule, broken, count = SCHEDULES[name]
    with pytest.raises(invariants.InvariantBroken):
        schedule(create_fleet(count, **broken))


def test_replica_that_lost_its_log_cannot_elect_one_that_is_behind():
    """Guards against the loss of an acknowledged change after a wipe."""
    fleet = create_fleet()
    vote_after_losing_the_log(fleet, keeps_identity=False)
    assert not fleet.find_leaders()


def test_check_finds_a_wiped_replica_that_keeps_its_identity():
    with pytest.raises(invariants.InvariantBroken):
        vote_after_losing_the_log(create_fleet(), keeps_identity=True)


class NoPreVote(elections.Elections):
    """Raises the term without asking first."""

    def start(self, now, *, is_pre, is_transfer):
        super().start(now, is_pre=False, is_transfer=is_transfer)


class NoPreVoteReplica(replicas.Replica):
    elections_type = NoPreVote


class NoQuorumCheck(elections.Elections):
    """Leads on without hearing from anybody."""

    def _check_quorum(self, now):
        """Never step down."""


class NoQuorumCheckReplica(replicas.Replica):
    elections_type = NoQuorumCheck


def run_with_a_deaf_replica(fleet):
    fleet.run(3.0)
    leader = fleet.find_leaders()[0]
    deaf = next(one for one in fleet.nodes if one != leader)
    for other in fleet.nodes:
        fleet.cut(other, deaf)
    before = fleet.nodes[deaf].replica.state.term
    fleet.run(20 * TIMEOUT)
    assert fleet.find_leaders() == [leader]
    return fleet.nodes[deaf].replica.state.term - before


def test_replica_that_hears_nothing_starts_no_elections():
    """Guards against endless elections under a one-way cut."""
    assert run_with_a_deaf_replica(create_fleet()) == 0


def test_without_pre_vote_a_deaf_replica_raises_its_term_again_and_again():
    fleet = create_fleet(replica_type=NoPreVoteReplica)
    assert run_with_a_deaf_replica(fleet) > 5


def isolate_the_leader(fleet):
    fleet.run(3.0)
    leader = fleet.find_leaders()[0]
    fleet.isolate(leader)
    fleet.run(4 * TIMEOUT)
    return leader in fleet.find_leaders()


def test_isolated_leader_steps_down():
    """Guards against a cut-off leader that goes on as if it led."""
    assert not isolate_the_leader(create_fleet())


def test_without_quorum_check_an_isolated_leader_leads_on():
    assert isolate_the_leader(create_fleet(replica_type=NoQuorumCheckReplica))


def test_frozen_leader_neither_accepts_nor_serves_after_it_wakes():
    """Guards against a process that was stopped and acts on old knowledge."""
    fleet = create_fleet()
    fleet.run(3.0)
    leader = fleet.find_leaders()[0]
    fleet.now += 5 * TIMEOUT
    assert fleet.read(leader) is None
    assert not fleet.propose(leader, b'late')
