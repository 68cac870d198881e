"""``wagtailspread fetch``: writes the active configuration to a folder."""

import dataclasses
import pathlib
import typing

import click

from wagtailspread.commands import connections, file_sets, renderings
from wagtailspread.configuration import schemas

_PATH = click.Path(exists=True, dir_okay=False, path_type=pathlib.Path)


_OPTIONS = (
    click.argument(
        'folder',
        type=click.Path(file_okay=False, path_type=pathlib.Path),
    ),
    click.option(
        '--trust',
        type=_PATH,
        required=True,
        help="Base file with the keys of the replicas' members.",
    ),
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FetchOptions(connections.Options):
    """Values of the options of ``fetch``."""

    folder: pathlib.Path
    trust: pathlib.Path


@click.command()
@connections.add_options(*_OPTIONS, *connections.OPTIONS)
@click.pass_obj
def fetch(
    connector: connections.Connector | None,
    **option_values: typing.Any,
) -> None:
    """Write the base file, overlays and members file in force to FOLDER.

    Prints the version, which submit requires as --based-on.

    \b
    Examples:
      wagtailspread fetch in-force --trust base.ini \\
          --replica 10.0.0.1:7400 --member costa-norte --key costa-norte.pem
    """
    options = FetchOptions(**option_values)
    base = {schemas.BASE_FILE: file_sets.read_text(options.trust)}
    active = connections.fetch_active(options.create_identity(base), connector)
    file_sets.write_folder(options.folder, active.texts)
    names = sorted(active.texts)
    if options.is_json:
        renderings.write_json({'version': active.version, 'files': names})
    else:
        joined = ', '.join(names)
        renderings.write_lines([f'version {active.version}: {joined}'])
