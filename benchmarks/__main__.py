"""Run the measurements: ``python -m benchmarks [--full]``.

Replays and costs of single functions run in processes of their own beside the
measurements of sockets and processes, which run one after the other.
"""

import itertools
import typing

from concurrent import futures

import click

from benchmarks import (
    allocation,
    configuration_measures,
    consensus_measures,
    costs,
    entry_measures,
    fleet_measures,
    health_costs,
    health_measures,
    membership_measures,
)

Lines = list[str]


def measure_allocation(is_full: bool) -> Lines:
    """Return lines of the allocation replay and of decision costs."""
    parts = (costs.measure(), allocation.measure(is_full))
    return [
        measure.format_line()
        for measure in itertools.chain.from_iterable(parts)
    ]


def list_jobs(is_full: bool) -> list[typing.Callable[[], Lines]]:
    """Return the measurements that need no sockets."""
    jobs: list[typing.Callable[[], Lines]] = [
        health_measures.measure_health,
        configuration_measures.measure_configuration,
    ]
    if is_full:
        jobs.append(membership_measures.measure_membership)
        jobs.append(health_costs.measure_costs)
    return jobs


@click.command()
@click.option('--full', 'is_full', is_flag=True, help='Longer replays.')
def main(is_full: bool) -> None:
    """Print one line for each measure."""
    with futures.ProcessPoolExecutor(max_workers=3) as pool:
        running = [pool.submit(job) for job in list_jobs(is_full)]
        running.append(pool.submit(measure_allocation, is_full))
        for measure in (
            entry_measures.measure_entry,
            consensus_measures.measure_consensus,
            fleet_measures.measure_fleet,
        ):
            _print(measure())
        for job in running:
            _print(job.result())


def _print(lines: Lines) -> None:
    for line in lines:
        click.echo(line if line.startswith('measure ') else f'measure {line}')


if __name__ == '__main__':
    main()
