"""Run the measurements: ``python -m benchmarks [--full]``."""

import click

from benchmarks import allocation


@click.command()
@click.option('--full', 'is_full', is_flag=True, help='Longer replays.')
def main(is_full: bool) -> None:
    """Print one line for each measure."""
    for measure in allocation.measure(is_full):
        click.echo(measure.format_line())


if __name__ == '__main__':
    main()
