"""Tests of agents over an in-memory network on simulated time."""

import random

from wagtailspread.membership import agents, simulations, tables

ALIVE = tables.HostState.ALIVE
DEAD = tables.HostState.DEAD
LEFT = tables.HostState.LEFT


def create_fleet(hosts=44, seconds=5.0):
    network = simulations.create_network(hosts, seed=1)
    network.run(seconds)
    return network


def test_fleet_of_44_learns_all_members():
    """Guards against hosts that some members of a fleet never learn of."""
    network = create_fleet()
    for agent in network.agents.values():
        assert len(agent.list_members()) == 44
        assert len(agent.find_alive('region-0')) == 22


def test_dead_host_is_known_to_all_44_in_three_seconds():
    """Guards against slow detection of a crash."""
    network = create_fleet()
    network.stop(7)
    start = network.now
    network.run(10, lambda: network.count_views('host-7', DEAD) == 43)
    assert network.now - start < 3


def list_incarnations(network):
    rows = [agent.identity for agent in network.agents.values()]
    return {row.host: row.incarnation for row in rows}


def test_indirect_probes_avoid_suspicion_over_a_one_way_cut():
    """Guards against declaring a host dead because one link is cut."""
    network = create_fleet(10)
    before = list_incarnations(network)
    network.cut(3, 4)
    network.run(10)
    assert network.count_views('host-4', ALIVE) == 9
    assert list_incarnations(network) == before


def test_host_that_leaves_is_not_declared_dead():
    """Guards against reporting an announced shutdown as a crash."""
    network = create_fleet(10)
    agent = network.agents[simulations.create_address(4)]
    network.send(agent.identity.address, agent.leave(network.now))
    network.run(1)
    assert network.count_views('host-4', LEFT) == 9
    network.stop(4)
    network.run(5)
    assert network.count_views('host-4', LEFT) == 9


def test_restarted_host_is_alive_under_its_new_incarnation():
    """Guards against a dead row that outlasts the restart of its host."""
    network = create_fleet(10)
    network.stop(4)
    network.run(4)
    assert network.count_views('host-4', DEAD) == 9
    network.start(4)
    network.run(2)
    assert network.count_views('host-4', ALIVE) == 9


def test_newest_configuration_version_is_found_with_its_holder():
    """Guards against a host that does not learn of a newer configuration."""
    network = create_fleet(10)
    holder = network.agents[simulations.create_address(4)]
    holder.configuration_version = 7
    network.run(2)
    other = network.agents[simulations.create_address(5)]
    assert other.find_newest().version == 7
    assert holder.find_newest() is None


def test_partitioned_halves_rejoin_after_the_partition():
    """Guards against halves of a fleet that stay dead to each other."""
    network = create_fleet(10)
    for even in range(0, 10, 2):
        for odd in range(1, 10, 2):
            network.cut(even, odd)
            network.cut(odd, even)
    network.run(10)
    assert network.count_views('host-3', ALIVE) == 4
    network.cuts.clear()
    network.run(20)
    for agent in network.agents.values():
        assert {row.state for row in agent.list_members()} == {ALIVE}
        assert len(agent.list_members()) == 10


def test_isolated_host_does_not_make_others_refute():
    """Guards against false suspicions from a host that receives no messages."""
    network = create_fleet(10)
    before = list_incarnations(network)
    for source in range(10):
        network.cut(source, 3)
    network.run(20)
    after = list_incarnations(network)
    raised = [host for host in before if after[host] != before[host]]
    # Suspicions from its first second, before it is isolated, may spread.
    assert len(raised) <= 2


def test_host_resumed_after_a_pause_suspects_no_other():
    """Guards against suspicions caused by answers unread during a pause."""
    network = create_fleet(10)
    for _ in range(8):
        network.run(0.05)
        paused = network.stop(4)
        network.run(1.0)
        network.agents[paused.identity.address] = paused
        network.run(0.05)
        assert {row.state for row in paused.list_members()} == {ALIVE}
        network.run(2)


def test_dead_host_is_probed_rarely():
    """Guards against probes of dead hosts at the rate of live ones."""
    network = create_fleet(10)
    network.stop(4)
    network.run(4)
    pings = []
    address = simulations.create_address(4)

    def record_ping(_source, outgoing):
        if outgoing.address == address:
            pings.append(outgoing)

    network.observer = record_ping
    network.run(12)
    # Nine hosts each probe it about every 3 s, not every 0.3 s.
    assert len(pings) < 60


def test_rows_of_a_removed_member_are_removed():
    """Guards against members that stay listed after they lose approval."""
    network = create_fleet(3)
    agent = network.agents[simulations.create_address(0)]
    agent.remove_member('andino')
    assert [row.host for row in agent.list_members()] == ['host-0']


def test_loaded_rows_of_ended_hosts_are_kept_on_any_clock():
    """Guards against a dead host that comes back after a restart."""
    dead = simulations.create_row(2, 1).with_state(DEAD)
    agent = agents.create_agent(
        simulations.create_row(1, 1),
        [],
        agents.MembershipPolicy(),
        random.Random(1),
        [dead],
    )
    started = 10 * tables.TOMBSTONE_RETENTION_SECONDS
    for now in (started, started + 1.0):
        agent.tick(now)
        assert agent.find('host-2') == dead
    agent.tick(started + tables.TOMBSTONE_RETENTION_SECONDS + 1.0)
    assert agent.find('host-2') is None
