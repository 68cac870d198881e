"""Tests of the cost of decisions and of memory."""

from benchmarks import costs


def test_decision_cost_does_not_grow_with_the_upstreams():
    """Guards against a tick that looks at every upstream or request."""
    small = costs.time_decisions(26)
    large = costs.time_decisions(260)
    assert large < 2 * small


def test_memory_of_the_largest_fleet_is_bounded():
    """Guards against rows that no longer fit the memory of a host."""
    assert costs.measure_memory() < 32
