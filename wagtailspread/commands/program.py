"""The ``wagtailspread`` program."""

import click

from wagtailspread.commands import approve, check, fetch, keygen, submit


@click.group()
def main() -> None:
    """Run and operate a proxy fleet for upstreams with gray failures."""


main.add_command(approve.approve)
main.add_command(check.check)
main.add_command(fetch.fetch)
main.add_command(keygen.keygen)
main.add_command(submit.submit)
