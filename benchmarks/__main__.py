"""Run the measurements: ``python -m benchmarks [--full]``."""

import itertools

import click

from benchmarks import allocation, costs


@click.command()
@click.option('--full', 'is_full', is_flag=True, help='Longer replays.')
def main(is_full: bool) -> None:
    """Print one line for each measure."""
    parts = (costs.measure(), allocation.measure(is_full))
    for measure in itertools.chain.from_iterable(parts):
        click.echo(measure.format_line())


if __name__ == '__main__':
    main()
