"""Tests of the replays of uneven demand."""

import dataclasses

import pytest

from benchmarks import uneven_loads, uneven_measures
from benchmarks import uneven_products, uneven_replays

_SMALL = dataclasses.replace(
    uneven_loads.SCENARIOS[-1], name='small', upstreams=8, slots=3
)


def _find_name(scenario):
    return scenario.name


def test_a_replay_is_deterministic():
    """Guards against results that cannot be reproduced from their seed."""
    first = uneven_measures.replay_regions(_SMALL)
    assert uneven_measures.replay_regions(_SMALL) == first


@pytest.mark.parametrize('loss', list(uneven_loads.Loss))
def test_low_load_is_served_within_the_objective(loss):
    """Guards against a replay that loses requests on its own."""
    calm = dataclasses.replace(_SMALL, load=0.15, loss=loss)
    assert uneven_measures.replay_regions(calm).in_time > 0.99
    assert uneven_measures.replay_bound(calm).in_time > 0.99


def test_changes_of_direction_need_both_margins():
    """Guards against counting noise around one margin as oscillation."""
    sends = []
    for window, crossing in enumerate((0, 6, 3, 4, 1, 3, 0)):
        at = window * uneven_replays.DIRECTION_SECONDS
        sends.extend(
            uneven_replays.Send(at, 0, number < crossing, False)
            for number in range(100)
        )
    assert uneven_replays.count_changes(sends, 0) == 2


@pytest.mark.parametrize('scenario', uneven_loads.SCENARIOS, ids=_find_name)
def test_loans_come_close_to_one_allocator_that_knows_all(scenario):
    """Guards against slots of one region that the other one lacks.

    The bounds are those of docs/design/hard-load-continued.md, D: a gap of 0.03
    and no oscillation. Work moves away and back once in each region.
    """
    short = dataclasses.replace(scenario, seconds=5.0)
    bound = uneven_measures.replay_bound(short)
    loans = uneven_measures.replay_loans(short)
    assert loans.in_time >= bound.in_time - 0.03
    assert loans.peak < 0.5
    assert loans.changes <= max(4, bound.changes)


def test_allocators_without_messages_decide_as_without_loans():
    """Guards against a decision that needs the exchange."""
    wire = uneven_products.Wire()
    wire.is_cut = True
    alone = uneven_measures.replay_regions(_SMALL)
    assert uneven_measures.replay_loans(_SMALL, wire=wire) == alone
