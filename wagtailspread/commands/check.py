"""``wagtailspread check``: checks files without changing anything."""

import dataclasses
import pathlib
import typing

import click

from returns import result

from wagtailspread.commands import connections, file_sets, renderings
from wagtailspread.configuration import checks, findings, loaders

#: Exit status if the files would be refused.
EXIT_REFUSED = 1

_FOLDER = click.Path(exists=True, file_okay=False, path_type=pathlib.Path)


_OPTIONS = (
    click.argument('folder', type=_FOLDER),
    click.option('--site', help='Show the settings of this site only.'),
    click.option(
        '--against',
        type=_FOLDER,
        help='Show the difference from the files of another folder.',
    ),
    click.option(
        '--in-force',
        is_flag=True,
        help='Show the difference from the configuration in force.',
    ),
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CheckOptions(connections.Options):
    """Values of the options of ``check``."""

    folder: pathlib.Path
    site: str | None
    against: pathlib.Path | None
    in_force: bool


@click.command()
@connections.add_options(*_OPTIONS, *connections.OPTIONS)
@click.pass_obj
def check(
    connector: connections.Connector | None,
    **option_values: typing.Any,
) -> None:
    """Check the base file and the overlays of FOLDER.

    Prints the effective settings of each site, or the difference from other
    files. The exit status is 0 if the files are valid and 1 if they would be
    refused. Each finding contains the file, the line, the key and what was
    expected.

    \b
    Examples:
      wagtailspread check samples/andino
      wagtailspread check samples/andino --site costa-norte
      wagtailspread check new --against old
      wagtailspread check new --in-force --replica 10.0.0.1:7400 \\
          --member costa-norte --key costa-norte.pem
    """
    options = CheckOptions(**option_values)
    texts = file_sets.read_folder(options.folder)
    sites = _select(_load(texts, options.is_json), options.site)
    before = _read_before(connector, options, texts)
    if before is None:
        _write_settings(sites, options.is_json)
    else:
        _write_differences(
            _select(before, options.site),
            sites,
            options.is_json,
        )


def _read_before(
    connector: connections.Connector | None,
    options: CheckOptions,
    texts: dict[str, str],
) -> checks.SiteSettings | None:
    if options.in_force:
        fetched = connections.fetch_active(
            options.create_identity(texts), connector
        )
        return _load(fetched.texts, options.is_json)
    if options.against is not None:
        return _load(file_sets.read_folder(options.against), options.is_json)
    return None


def _load(texts: dict[str, str], is_json: bool) -> checks.SiteSettings:
    loaded = loaders.load_settings(texts)
    if isinstance(loaded, result.Failure):
        _write_refusal(loaded.failure(), is_json)
        raise click.exceptions.Exit(EXIT_REFUSED)
    return loaded.unwrap()


def _select(
    sites: checks.SiteSettings,
    site: str | None,
) -> checks.SiteSettings:
    if site is None:
        return sites
    if site not in sites:
        known = ', '.join(sorted(sites))
        raise click.UsageError(f'unknown site {site}; known: {known}')
    return {name: settings for name, settings in sites.items() if name == site}


def _write_refusal(found: findings.Findings, is_json: bool) -> None:
    if is_json:
        renderings.write_json(
            {
                'status': 'refused',
                'findings': renderings.encode_findings(found),
            }
        )
        return
    renderings.write_lines(finding.describe() for finding in found)
    renderings.write_lines([f'refused: {len(found)} findings'])


def _write_settings(sites: checks.SiteSettings, is_json: bool) -> None:
    rows = renderings.list_settings(sites)
    if is_json:
        document: dict[str, dict[str, dict[str, str]]] = {}
        for row in rows:
            subjects = document.setdefault(row.site, {})
            subjects.setdefault(row.subject, {})[row.key] = row.value
        renderings.write_json({'status': 'good', 'sites': document})
        return
    renderings.write_lines(renderings.format_settings(rows))
    renderings.write_lines(['good'])


def _write_differences(
    before: checks.SiteSettings,
    after: checks.SiteSettings,
    is_json: bool,
) -> None:
    differences = renderings.compare_settings(before, after)
    if is_json:
        rows = [
            {
                'site': difference.site,
                'subject': difference.subject,
                'key': difference.key,
                'before': difference.before,
                'after': difference.after,
            }
            for difference in differences
        ]
        renderings.write_json({'status': 'good', 'differences': rows})
        return
    renderings.write_lines(difference.describe() for difference in differences)
    renderings.write_lines([f'good: {len(differences)} differences'])
