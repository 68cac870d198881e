"""Tests of the replays of overloads."""

import dataclasses

import pytest

from benchmarks import overload_loads
from benchmarks import overload_measures, overload_replays

_SMALL = dataclasses.replace(
    overload_loads.SCENARIOS[-1],
    name='small',
    upstreams=6,
    slots=3,
    kinds=tuple(
        dataclasses.replace(kind, rate=kind.rate / 10)
        for kind in overload_loads.SCENARIOS[-1].kinds
    ),
)


@pytest.mark.parametrize('seed', [1, 2])
def test_no_policy_exceeds_the_bound(seed):
    """Guards against a bound that is no bound, which hides what is lost."""
    bound = overload_measures.find_bound(_SMALL, seed)
    results = [
        overload_measures.replay_order(_SMALL, order, seed)
        for order in overload_measures.ORDERS
    ]
    results.append(overload_measures.replay_product(_SMALL, seed))
    assert max(summary.value for summary in results) <= bound + 0.01
    assert bound <= 1


def test_a_replay_is_deterministic():
    """Guards against results that cannot be reproduced from their seed."""
    first = overload_measures.replay_product(_SMALL)
    assert overload_measures.replay_product(_SMALL) == first


def test_a_calm_service_serves_everything_with_every_policy():
    """Guards against a replay that loses requests on its own."""
    calm = dataclasses.replace(_SMALL, burst=1.0, burst_kind='', out_share=0.0)
    for order in overload_measures.ORDERS:
        assert overload_measures.replay_order(calm, order).served == 1
    assert overload_measures.replay_product(calm).served == 1


def test_upstreams_shed_the_given_share():
    """Guards against a disturbance that does not happen."""
    shedding = dataclasses.replace(
        _SMALL, burst=1.0, burst_kind='', out_share=0.0, shed_share=1.0
    )
    summary = overload_measures.replay_order(shedding, 'strict-rank')
    assert summary.refused > 0.9
    assert isinstance(summary, overload_replays.Summary)


#: Values of the allocator that held refused requests for seconds, see
#: docs/design/admission.md, and by how much they may fall.
_EARLIER_VALUES = {
    'workspace-burst': 0.73,
    'sheds-third': 0.94,
    'sheds-above-limit': 0.941,
    'kind-burst-third-out': 0.826,
    'ranks-and-sizes': 0.908,
}
_MAX_LOSS = 0.02


@pytest.mark.parametrize(
    'scenario',
    [one for one in overload_loads.SCENARIOS if one.name in _EARLIER_VALUES],
    ids=lambda scenario: scenario.name,
)
def test_refusals_come_at_once_and_starve_nobody(scenario):
    """Guards against requests that are held for seconds and then refused.

    Refusing more of them must not lose value, or starve a group.
    """
    summary = overload_measures.replay_product(scenario)
    assert summary.held < 0.3
    assert summary.longest <= 1
    assert summary.worst_group >= 0.25
    assert summary.value >= _EARLIER_VALUES[scenario.name] - _MAX_LOSS
