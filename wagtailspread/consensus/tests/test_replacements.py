"""Replacement of lost replicas by replicas at new addresses, in memory."""

import dataclasses

from wagtailspread.consensus import messages
from wagtailspread.consensus.tests import test_replicas
from wagtailspread.testing import networks

_POLICY = dataclasses.replace(
    test_replicas.POLICY,
    silent_voter_seconds=2.0,
    min_voters=3,
)


def create_fleet(spares=0):
    """Return a fleet of three members and ``spares`` other replicas."""
    fleet = networks.SimulatedFleet(3, spares, policy=_POLICY)
    fleet.run(3.0)
    return fleet


def list_voters(fleet):
    """Return the addresses of the voters in the leader's membership."""
    leader = test_replicas.find_leader(fleet)
    membership = test_replicas.find_state(fleet, leader).membership
    return {node.address for node in membership.voters}


def introduce(fleet, address):
    """Introduce a replica at a new address to the leader."""
    identity = test_replicas.find_state(fleet, address).identity
    node = messages.ReplicaNode(identity, address)
    leader = test_replicas.find_leader(fleet)
    fleet.nodes[leader].replica.introduce(node, fleet.now)


def run_with_introductions(fleet, address, seconds):
    """Run while a replica introduces itself every 0.5 s."""
    for _ in range(int(seconds / 0.5)):
        introduce(fleet, address)
        fleet.run(0.5)


def test_replica_at_a_new_address_replaces_a_lost_one():
    """Guards against a fleet that tolerates fewer losses after each loss."""
    fleet = create_fleet(spares=1)
    spare = list(fleet.nodes)[-1]
    lost = test_replicas.find_followers(fleet)[0]
    assert lost != spare
    fleet.isolate(lost)
    run_with_introductions(fleet, spare, 5.0)
    voters = list_voters(fleet)
    assert spare in voters
    assert lost not in voters
    assert len(voters) == 3


def test_silent_voter_stays_without_a_replacement():
    """Guards against a fleet with too few voters for its fault tolerance."""
    fleet = create_fleet()
    lost = test_replicas.find_followers(fleet)[0]
    fleet.isolate(lost)
    fleet.run(6.0)
    assert lost in list_voters(fleet)


def test_surplus_voter_is_removed_when_it_is_silent():
    """Guards against a quorum that counts lost replicas."""
    fleet = create_fleet(spares=1)
    spare = list(fleet.nodes)[-1]
    run_with_introductions(fleet, spare, 3.0)
    assert len(list_voters(fleet)) == 4
    lost = test_replicas.find_followers(fleet)[0]
    fleet.isolate(lost)
    fleet.run(5.0)
    assert lost not in list_voters(fleet)
    assert len(list_voters(fleet)) == 3


def announce(fleet, address):
    """Tell the leader that a replica is about to stop; return its answer."""
    leader = fleet.nodes[test_replicas.find_leader(fleet)].replica
    identity = test_replicas.find_state(fleet, address).identity
    return leader.reconfiguration.announce_departure(identity, fleet.now)


def stop(fleet, address):
    """Stop a replica for good."""
    fleet.nodes[address].crash()
    fleet.isolate(address)


def test_a_loss_just_after_a_planned_replacement_is_survived():
    """Guards against review/1: a stopped voter counted for two more seconds.

    With four voters, of which one has stopped and one has lost its disk, no
    majority was left.
    """
    fleet = create_fleet(spares=1)
    spare = list(fleet.nodes)[-1]
    run_with_introductions(fleet, spare, 3.0)
    assert len(list_voters(fleet)) == 4
    replaced, lost = test_replicas.find_followers(fleet)[:2]
    assert announce(fleet, replaced)
    fleet.run(0.5)
    assert replaced not in list_voters(fleet)
    assert fleet.propose(test_replicas.find_leader(fleet), b'change')
    fleet.run(0.1)
    stop(fleet, replaced)
    fleet.wipe(lost)
    fleet.run(5.0)
    leader = test_replicas.find_leader(fleet)
    assert (fleet.nodes[leader].machine.applied[-1][1]) == b'change'
    assert len(list_voters(fleet)) == 3


def test_a_voter_without_a_successor_stays_when_it_stops():
    """Guards against a group that shrinks with each restart."""
    fleet = create_fleet()
    stopped = test_replicas.find_followers(fleet)[0]
    assert not announce(fleet, stopped)
    fleet.run(1.0)
    assert stopped in list_voters(fleet)


def test_one_of_an_odd_number_of_spare_voters_stays_when_it_stops():
    """Guards against a removal that does not make the majority smaller."""
    fleet = networks.SimulatedFleet(5, policy=_POLICY)
    fleet.run(3.0)
    stopped, second = test_replicas.find_followers(fleet)[:2]
    assert not announce(fleet, stopped)
    fleet.run(0.5)
    assert stopped in list_voters(fleet)
    # A second one, shortly after, makes the majority smaller.
    assert announce(fleet, second)
    fleet.run(0.5)
    assert len(list_voters(fleet)) == 3


def test_an_announcement_is_forgotten_when_the_voter_stays():
    """Guards against the removal of a voter that is back from a restart."""
    fleet = networks.SimulatedFleet(5, policy=_POLICY)
    fleet.run(3.0)
    restarted, second = test_replicas.find_followers(fleet)[:2]
    assert not announce(fleet, restarted)
    fleet.run(_POLICY.silent_voter_seconds + 0.5)
    assert not announce(fleet, second)
    assert len(list_voters(fleet)) == 5
