"""The ``wagtailspread`` program."""

import click

from wagtailspread.commands import processes, status
from wagtailspread.testing import callers, upstreams


@click.group()
@click.version_option(package_name='wagtailspread', version='0.1.0')
def main() -> None:
    """Run and operate a proxy fleet for upstreams with gray failures."""


main.add_command(processes.run_entry)
main.add_command(processes.run_replica)
main.add_command(status.show_status)
main.add_command(upstreams.main, 'fake-upstream')
main.add_command(callers.main, 'load')
