"""The ``wagtailspread`` program."""

import click


@click.group()
def main() -> None:
    """Run and operate a proxy fleet for upstreams with gray failures."""
