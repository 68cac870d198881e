"""The ``wagtailspread`` program and its subcommands."""

import click

from wagtailspread.commands import (
    approve,
    check,
    digest_key,
    fetch,
    keygen,
    processes,
    status,
    submit,
)
from wagtailspread.testing import load_generators, upstreams


@click.group()
@click.version_option(package_name='wagtailspread', version='0.1.0')
def main() -> None:
    """Run and operate a proxy fleet for upstreams with gray failures."""


main.add_command(approve.approve)
main.add_command(check.check)
main.add_command(digest_key.digest_key)
main.add_command(fetch.fetch)
main.add_command(keygen.keygen)
main.add_command(submit.submit)
main.add_command(processes.run_entry)
main.add_command(processes.run_replica)
main.add_command(status.show_status)
main.add_command(upstreams.main, 'fake-upstream')
main.add_command(load_generators.main, 'load')
