"""Checks a configuration document before an operator sends it.

``python -m wagtailspread.platform check NEW [--against OLD]`` prints what
makes the document invalid, what is probably a mistake, and what differs from
another document, such as the one in force. It prints no key.
"""

import pathlib

import click

from wagtailspread.platform import documents, values
from wagtailspread.routing import reviews, terms

#: Exit status if the document would be refused.
EXIT_REFUSED = 1

_FILE = click.Path(exists=True, dir_okay=False, path_type=pathlib.Path)


@click.command()
@click.argument('document', type=_FILE)
@click.option(
    '--against',
    type=_FILE,
    help='Document to compare with, such as the one in force.',
)
def check(document: pathlib.Path, against: pathlib.Path | None) -> None:
    """Check the configuration in the file DOCUMENT.

    The exit status is 0 if a replica would accept it, with or without
    warnings, and 1 if it would be refused.

    \b
    Example, with the configuration in force:
      curl http://10.0.0.1:8544/wagtailspread/config/get > in-force.json
      python -m wagtailspread.platform check new.json --against in-force.json
    """
    settings = _load(document)
    found = reviews.list_warnings(settings)
    for warning in found:
        click.echo(f'warning: {warning.describe()}')
    differences = []
    if against is not None:
        before = _load(against)
        differences = reviews.compare(before, settings)
        for difference in differences:
            click.echo(difference.describe())
        if settings.version <= before.version:
            click.echo(
                f'warning: version {settings.version} is not higher than '
                f'{before.version} and would change nothing'
            )
    click.echo(f'good: {len(found)} warnings, {len(differences)} differences')


def _load(path: pathlib.Path) -> terms.RoutingSettings:
    """Return the settings in a file; exit if they are invalid."""
    try:
        settings = documents.decode(path.read_bytes())
    except values.FormatError as error:
        click.echo(f'{path.name}: refused: {error}')
        raise click.exceptions.Exit(EXIT_REFUSED) from error
    fault = terms.find_fault(settings)
    if fault is not None:
        click.echo(f'{path.name}: refused: {fault.name}: {fault.kind.value}')
        raise click.exceptions.Exit(EXIT_REFUSED)
    return settings
