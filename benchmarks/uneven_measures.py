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
    """Return the results of an allocator in each region, without loans."""
    desks = [
        uneven_products.create_desk(scenario, seed + number)
        for number in range(len(uneven_loads.REGION_NAMES))
    ]
    return _replay(scenario, seed, desks)


def replay_loans(
    scenario: uneven_loads.Scenario,
    seed: int = SEED,
    wire: uneven_products.Wire | None = None,
) -> uneven_replays.Summary:
    """Return the results of an allocator in each region, with loans.

    :param wire: carries the reports, by default without failures.
    """
    wire = wire or uneven_products.Wire()
    desks = []
    for number, region in enumerate(uneven_loads.REGION_NAMES):
        desk = uneven_products.create_desk(scenario, seed + number, region)
        desk.exchange = uneven_products.WireEnd(wire, region)
        desks.append(desk)
    return _replay(scenario, seed, desks)


def replay_bound(
    scenario: uneven_loads.Scenario, seed: int = SEED
) -> uneven_replays.Summary:
    """Return the results of one allocator that knows all requests."""
    desk = uneven_products.create_desk(scenario, seed)
    return _replay(scenario, seed, [desk])


def _replay(
    scenario: uneven_loads.Scenario,
    seed: int,
    desks: list[uneven_products.Desk],
) -> uneven_replays.Summary:
    jobs = uneven_loads.create_jobs(scenario, seed)
    replay = uneven_replays.Replay(scenario, desks)
    replay.run(jobs)
    return uneven_replays.summarize(scenario, jobs, replay)


def measure_scenario(
    scenario: uneven_loads.Scenario, seed: int = SEED
) -> list[str]:
    """Return one line for each policy in a scenario."""
    return [
        replay_regions(scenario, seed).format_line(scenario.name, 'regions'),
        replay_loans(scenario, seed).format_line(scenario.name, 'loans'),
        replay_bound(scenario, seed).format_line(scenario.name, 'bound'),
    ]


def _print_all() -> None:
    for scenario in uneven_loads.SCENARIOS:
        sys.stdout.write('\n'.join(measure_scenario(scenario)) + '\n')
        sys.stdout.flush()


if __name__ == '__main__':
    _print_all()
