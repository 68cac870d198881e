"""Replays of overloads: ``python -m benchmarks.overload_measures``.

Each line is one policy in one scenario. The figures are those of the requests
that come during the disturbance: the value of what is served (1 within the
objective, 0.3 later, times the weight of its rank) as a share of that of all,
the shares that are served by rank, workspace and kind, the refusals for each
request, and the time for which requests waited that were then refused.
"""

import sys

from collections import abc

from benchmarks import overload_bounds as bounds
from benchmarks import overload_loads, overload_products
from benchmarks import overload_policies as policies
from benchmarks import overload_replays as replays

SEED = 20261207

ORDERS: dict[
    str, abc.Callable[[], abc.Callable[[overload_loads.Job], policies.Key]]
]
ORDERS = {
    'head-start': lambda: policies.rank_with_head_start,
    'strict-rank': lambda: policies.rank_strictly,
    'earliest-deadline': lambda: policies.rank_by_deadline,
    'value-over-work': lambda: policies.rank_by_density,
    'fair-workspaces': policies.create_fair_key,
}


def replay_order(
    scenario: overload_loads.Scenario, order: str, seed: int = SEED
) -> replays.Summary:
    """Return the results of a queue in one of the simple orders."""
    policy = policies.OrderPolicy(scenario, ORDERS[order]())
    return _replay(scenario, policy, seed)


def replay_product(
    scenario: overload_loads.Scenario, seed: int = SEED
) -> replays.Summary:
    """Return the results of the allocator of the product."""
    return _replay(
        scenario, overload_products.ProductPolicy(scenario, seed), seed
    )


def find_bound(scenario: overload_loads.Scenario, seed: int = SEED) -> float:
    """Return the share of the value that no scheduler exceeds."""
    return bounds.find_value(
        scenario, overload_loads.create_jobs(scenario, seed)
    )


def _replay(
    scenario: overload_loads.Scenario, policy: replays.Policy, seed: int
) -> replays.Summary:
    jobs = overload_loads.create_jobs(scenario, seed)
    replays.Replay(scenario, policy, seed).run(jobs)
    return replays.summarize(scenario, jobs)


def measure_scenario(
    scenario: overload_loads.Scenario, seed: int = SEED
) -> list[str]:
    """Return one line for each policy in a scenario."""
    summaries = {order: replay_order(scenario, order, seed) for order in ORDERS}
    summaries['product'] = replay_product(scenario, seed)
    lines = [
        summary.format_line(scenario.name, policy)
        for policy, summary in summaries.items()
    ]
    bound = find_bound(scenario, seed)
    lines.append(f'overload {scenario.name} policy=bound value={bound:.3f}')
    return lines


def _print_all() -> None:
    for scenario in overload_loads.SCENARIOS:
        sys.stdout.write('\n'.join(measure_scenario(scenario)) + '\n')


if __name__ == '__main__':
    _print_all()
