"""Tests of the cap of a workspace over simulated fleets."""

import pytest

from wagtailspread.workspaces import caps, scenarios, simulations

_RATES = (1, 10, 100, 1000)
_SCENARIOS = {one.name: one for one in scenarios.list_scenarios()}
#: Scenarios without a failure whose demand stays within the cap.
_SOUND = ('near', 'low-wave', 'many-hosts', 'one-region', 'late-loans')


def create_cap(rate):
    """Return a cap whose burst is half a second of its rate, at least 2."""
    return caps.Cap(float(rate), max(2.0, rate / 2), 1)


def compute_bound(cap):
    """Return the bound of the requirements for a window of 5 s."""
    return (cap.rate * 5 + cap.burst) * 1.1 + 20


@pytest.mark.parametrize('rate', _RATES)
@pytest.mark.parametrize('name', _SCENARIOS)
def test_no_window_has_more_requests_than_the_cap_allows(name, rate):
    """Guards against a cap that several processes use at the same time."""
    cap = create_cap(rate)
    outcome = simulations.simulate(_SCENARIOS[name], cap)
    assert outcome.find_highest(5.0) <= compute_bound(cap)


@pytest.mark.parametrize('rate', _RATES)
@pytest.mark.parametrize('name', _SOUND)
def test_demand_below_the_cap_is_hardly_refused(name, rate):
    """Guards against shares that are lost to regions or to quiet hosts."""
    outcome = simulations.simulate(_SCENARIOS[name], create_cap(rate))
    assert outcome.missed <= 0.05 * outcome.ideal + 2


def test_a_workspace_alone_in_a_quiet_fleet_keeps_its_cap():
    """Guards against a count that takes few requests for lost hosts."""
    outcome = simulations.simulate(_SCENARIOS['quiet'], create_cap(100))
    assert outcome.missed <= 0.05 * outcome.ideal


@pytest.mark.parametrize('rate', _RATES)
def test_a_changed_allocator_has_the_rate_without_a_burst(rate):
    """Guards against refusing everything after the loss of an allocator."""
    scenario = _SCENARIOS['changed']
    outcome = simulations.simulate(scenario, create_cap(rate))
    assert outcome.missed <= 0.05 * outcome.ideal + 3


@pytest.mark.parametrize('rate', _RATES)
def test_demand_in_one_region_uses_the_share_of_the_other(rate):
    """Guards against a workspace that gets half of its cap."""
    scenario = _SCENARIOS['one-region-twice']
    outcome = simulations.simulate(scenario, create_cap(rate))
    assert outcome.missed <= 0.1 * outcome.ideal + 2


def test_loans_that_arrive_after_their_end_are_not_used():
    """Guards against a part of a cap that two allocators use."""
    scenario = _SCENARIOS['too-late-twice']
    cap = create_cap(1000)
    outcome = simulations.simulate(scenario, cap)
    assert outcome.find_highest(5.0) <= cap.rate * 5 + cap.burst
