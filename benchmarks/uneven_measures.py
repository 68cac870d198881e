"""Replays of uneven demand: ``python -m benchmarks.uneven_measures``.

Each line is one policy in one scenario: the allocators of two regions, and one
allocator that knows everything as the bound. The figures are those of the
requests that come during the disturbance, and the changes of direction those
of the whole replay.
"""

import sys

from benchmarks import uneven_loads, uneven_products, uneven_replays

SEED = 20261207


def replay_regions(
    scenario: uneven_loads.Scenario, seed: int = SEED
) -> uneven_replays.Summary:
    """Return the results of an allocator in each region."""
    return _replay(scenario, seed, len(uneven_loads.REGION_NAMES))


def replay_bound(
    scenario: uneven_loads.Scenario, seed: int = SEED
) -> uneven_replays.Summary:
    """Return the results of one allocator that knows all requests."""
    return _replay(scenario, seed, 1)


def _replay(
    scenario: uneven_loads.Scenario, seed: int, allocators: int
) -> uneven_replays.Summary:
    jobs = uneven_loads.create_jobs(scenario, seed)
    desks = [
        uneven_products.create_desk(scenario, seed + number)
        for number in range(allocators)
    ]
    replay = uneven_replays.Replay(scenario, desks)
    replay.run(jobs)
    return uneven_replays.summarize(scenario, jobs, replay)


def measure_scenario(
    scenario: uneven_loads.Scenario, seed: int = SEED
) -> list[str]:
    """Return one line for each policy in a scenario."""
    return [
        replay_regions(scenario, seed).format_line(scenario.name, 'regions'),
        replay_bound(scenario, seed).format_line(scenario.name, 'bound'),
    ]


def _print_all() -> None:
    for scenario in uneven_loads.SCENARIOS:
        sys.stdout.write('\n'.join(measure_scenario(scenario)) + '\n')
        sys.stdout.flush()


if __name__ == '__main__':
    _print_all()
