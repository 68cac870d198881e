"""Run the measurements: ``python -m benchmarks [--full]``.

Measurements that use sockets and processes run one after the other. Replays and
costs of single functions run in a process pool at the same time.
"""

import functools
import itertools
import typing

from concurrent import futures

import click

from benchmarks import (
    allocation,
    cap_measures,
    configuration_measures,
    consensus_measures,
    costs,
    entry_measures,
    fleet_measures,
    health_costs,
    health_measures,
    membership_measures,
    overload_loads,
    overload_measures,
    queue_costs,
    uneven_loads,
    uneven_measures,
    workspace_measures,
)

Lines = list[str]


def measure_allocation(is_full: bool) -> Lines:
    """Return the lines of the decision costs and of the allocation replay."""
    measurements = (costs.measure(), allocation.measure(is_full))
    return [
        measure.format_line()
        for measure in itertools.chain.from_iterable(measurements)
    ]


def list_background_measurements(
    is_full: bool,
) -> list[typing.Callable[[], Lines]]:
    """Return measurements without sockets, which run in the process pool."""
    measurements: list[typing.Callable[[], Lines]] = [
        health_measures.measure_health,
        configuration_measures.measure_configuration,
        workspace_measures.measure_workspaces,
        cap_measures.measure_caps,
        queue_costs.measure_queue,
    ]
    measurements.extend(
        functools.partial(overload_measures.measure_scenario, scenario)
        for scenario in overload_loads.SCENARIOS
    )
    measurements.extend(
        functools.partial(uneven_measures.measure_scenario, uneven)
        for uneven in uneven_loads.SCENARIOS
    )
    if is_full:
        measurements.append(membership_measures.measure_membership)
        measurements.append(health_costs.measure_costs)
    return measurements


@click.command()
@click.option(
    '--full',
    'is_full',
    is_flag=True,
    help='Run longer replays and more measurements.',
)
def main(is_full: bool) -> None:
    """Run the measurements and print one line for each measure."""
    with futures.ProcessPoolExecutor(max_workers=3) as pool:
        pending = [
            pool.submit(measurement)
            for measurement in list_background_measurements(is_full)
        ]
        pending.append(pool.submit(measure_allocation, is_full))
        for measurement in (
            entry_measures.measure_entry,
            consensus_measures.measure_consensus,
            fleet_measures.measure_fleet,
        ):
            _print(measurement())
        for future in pending:
            _print(future.result())


def _print(lines: Lines) -> None:
    for line in lines:
        click.echo(line if line.startswith('measure ') else f'measure {line}')


if __name__ == '__main__':
    main()
