"""``wagtailspread status``: shows the status of an entry host or replica."""

import asyncio
import json
import pathlib
import sys
import typing

import aiohttp
import click

from returns import result

from wagtailspread.core import identifiers
from wagtailspread.processes import settings
from wagtailspread.replica import clients
from wagtailspread.wire import credentials, links

#: Exit status if the process does not answer.
EXIT_UNREACHABLE = 1
_TIMEOUT_SECONDS = 5.0
_ROLE = 'operator'

Report = dict[str, typing.Any]


@click.command('status')
@click.option('--entry', help='Caller address of an entry host, as ip:port.')
@click.option('--replica', help='Address of a replica, as ip:port.')
@click.option(
    '--settings',
    'settings_file',
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
    help='Settings with the member and its key; needed for --replica.',
)
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def show_status(
    entry: str | None,
    replica: str | None,
    settings_file: pathlib.Path | None,
    as_json: bool,
) -> None:
    """Show the status of an entry host or a replica. Changes nothing.

    \b
    Examples:
      wagtailspread status --entry 127.0.0.1:8080
      wagtailspread status --replica 127.0.0.1:7001 --settings op.ini --json

    An entry host reports its configuration version, the hosts that it knows,
    and the allocators that it owns: upstreams, slots, queues by priority and
    the evidence for each ejection. A replica reports its leader, its log and
    the progress of replacements. Exit status 1 means that there was no answer.
    """
    address = entry or replica
    if not address or not (entry or settings_file):
        raise click.UsageError('name --entry, or --replica with --settings')
    if not settings.is_address(address):
        raise click.UsageError(f'expected ip:port, got {address}')
    try:
        if settings_file is None or entry:
            report = asyncio.run(_read_entry(address))
        else:
            report = asyncio.run(_read_replica(address, settings_file))
    except ValueError:
        click.echo(f'{address} answers, but not with a status', err=True)
        sys.exit(EXIT_UNREACHABLE)
    if report is None:
        click.echo(f'{address} does not answer', err=True)
        sys.exit(EXIT_UNREACHABLE)
    if as_json:
        click.echo(json.dumps(report, indent=2))
    else:
        for line in format_report(report):
            click.echo(line)


def format_report(report: Report, indent: str = '') -> list[str]:
    """Return a report as lines of text.

    >>> format_report({'host': 'h1', 'hosts': [{'host': 'h2'}]})
    ['host: h1', 'hosts:', '  - host=h2']
    """
    lines = []
    for name, value in report.items():
        if isinstance(value, dict):
            lines.append(f'{indent}{name}:')
            lines += format_report(value, f'{indent}  ')
        elif isinstance(value, list):
            lines.append(f'{indent}{name}:')
            lines += [f'{indent}  - {_format_row(row)}' for row in value]
        else:
            lines.append(f'{indent}{name}: {value}')
    return lines


def _format_row(row: typing.Any) -> str:
    if isinstance(row, dict):
        return ' '.join(f'{name}={value}' for name, value in row.items())
    return str(row)


async def _read_entry(address: str) -> Report | None:
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_SECONDS)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.get(f'http://{address}/-/status') as answer:
                return _parse_report(await answer.read())
    except (aiohttp.ClientError, TimeoutError):
        return None


async def _read_replica(
    address: str,
    settings_file: pathlib.Path,
) -> Report | None:
    loaded = settings.load_settings(settings_file)
    if not isinstance(loaded, result.Success):
        raise click.UsageError(loaded.failure()[0].describe())
    process = loaded.unwrap()
    fault = process.find_key_fault()
    if fault:
        raise click.UsageError(f'{settings_file}: {fault}')
    peer = credentials.Peer(process.member, process.host, _ROLE)
    local_credentials = credentials.Credentials(peer, process.load_key())
    directory = credentials.FixedDirectory(process.trusted_keys)
    pool = links.LinkPool(local_credentials, directory)
    client = clients.create_client((identifiers.Address(address),), pool)
    try:
        answer = await client.read_status(identifiers.Address(address))
    finally:
        await pool.close()
    if not isinstance(answer, result.Success):
        return None
    return _parse_report(answer.unwrap().json)


def _parse_report(content: bytes | str) -> Report:
    """Return a report.

    :raises ValueError: if it is none.
    """
    report = json.loads(content)
    if not isinstance(report, dict):
        raise ValueError('not an object')
    return report
