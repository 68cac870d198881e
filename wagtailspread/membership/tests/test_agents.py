"""Agents over an in-memory network on manual time."""

from wagtailspread.membership import simulations, tables

ALIVE = tables.HostState.ALIVE
DEAD = tables.HostState.DEAD
LEFT = tables.HostState.LEFT


def create_fleet(hosts=44, seconds=5.0):
    network = simulations.create_network(hosts, seed=1)
    network.run(seconds)
    return network


def test_fleet_of_44_learns_all_members():
    network = create_fleet()
    for agent in network.agents.values():
        assert len(agent.members()) == 44
        assert len(agent.find_alive('region-0')) == 22


def test_dead_host_is_known_to_all_44_in_three_seconds():
    network = create_fleet()
    network.stop(7)
    start = network.now
    network.run(10, lambda: network.count_views('host-7', DEAD) == 43)
    assert network.now - start < 3


def test_one_way_cut_between_two_hosts_kills_nobody():
    network = create_fleet(10)
    network.cut(3, 4)
    network.run(10)
    assert network.count_views('host-3', DEAD) == 0
    assert network.count_views('host-4', DEAD) == 0


def test_host_that_leaves_is_not_probed_as_dead():
    network = create_fleet(10)
    agent = network.agents[simulations.create_address(4)]
    network.send(agent.identity.address, agent.leave(network.now))
    network.run(1)
    assert network.count_views('host-4', LEFT) == 9
    network.stop(4)
    network.run(5)
    assert network.count_views('host-4', LEFT) == 9


def test_restarted_host_is_alive_under_its_new_incarnation():
    network = create_fleet(10)
    network.stop(4)
    network.run(4)
    assert network.count_views('host-4', DEAD) == 9
    network.start(4)
    network.run(2)
    assert network.count_views('host-4', ALIVE) == 9


def test_newest_configuration_version_is_found_with_its_holder():
    network = create_fleet(10)
    holder = network.agents[simulations.create_address(4)]
    holder.configuration_version = 7
    network.run(2)
    other = network.agents[simulations.create_address(5)]
    assert other.find_newest().version == 7
    assert holder.find_newest() is None
