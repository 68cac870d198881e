"""The subcommands that run the processes of the fleet."""

import asyncio
import pathlib
import sys

import click

from returns import result

from wagtailspread.observability import logs
from wagtailspread.processes import entries, machines, settings
from wagtailspread.replica import drivers, servers

#: Exit status for settings that are refused.
EXIT_REFUSED = 2
#: Exit status for a replica whose storage failed.
EXIT_STOPPED = 3
_LOGGER = logs.get_logger('replica')

_SETTINGS = click.argument(
    'settings_file',
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)


@click.command('entry')
@_SETTINGS
def run_entry(settings_file: pathlib.Path) -> None:
    """Run an entry host with the settings in SETTINGS_FILE.

    \b
    Example:
      wagtailspread entry samples/processes/entry-1.ini

    SIGTERM ends it gracefully: it turns unready, serves on for the configured
    time, finishes every request and exits with status 0. Status 2 means that
    the settings were refused.
    """
    process = _load(settings_file)
    if process.entry is None:
        _fail(f'{settings_file}:1: [entry]: missing-section')
    else:
        asyncio.run(entries.run_entry(process, process.entry))


@click.command('replica')
@_SETTINGS
def run_replica(settings_file: pathlib.Path) -> None:
    """Run a replica with the settings in SETTINGS_FILE.

    \b
    Example:
      wagtailspread replica samples/processes/replica-1.ini

    Status 2 means that the settings were refused; status 3 that the storage
    is damaged or full and the replica must not go on.
    """
    process = _load(settings_file)
    part = process.replica
    if part is None:
        _fail(f'{settings_file}:1: [replica]: missing-section')
        return
    chosen = servers.ReplicaSettings(
        member=process.member,
        host=process.host,
        address=part.address,
        data_folder=part.data_folder,
        peers=part.peers,
        region=process.region,
        domain=process.domain,
        key=process.load_key(),
        trusted_keys=process.trusted_keys,
        founders=part.founders,
        first_base=part.first_base,
    )
    handler = logs.create_handler(
        process.host,
        sys.stderr,
        level=process.log_level,
    )
    with handler.applicationbound():
        _run_replica(chosen)
    handler.close_windows()


def _run_replica(chosen: servers.ReplicaSettings) -> None:
    _LOGGER.info('replica started', extra={'address': chosen.address})
    try:
        asyncio.run(servers.run_replica(chosen, machines.create_machine))
    except drivers.ReplicaStopped as error:
        _LOGGER.critical('replica stopped', extra={'reason': str(error)})
        sys.exit(EXIT_STOPPED)
    _LOGGER.info('replica ended')


def _load(path: pathlib.Path) -> settings.ProcessSettings:
    loaded = settings.load_settings(path)
    if isinstance(loaded, result.Success):
        return loaded.unwrap()
    for finding in loaded.failure():
        click.echo(finding.describe(), err=True)
    sys.exit(EXIT_REFUSED)


def _fail(message: str) -> None:
    click.echo(message, err=True)
    sys.exit(EXIT_REFUSED)
