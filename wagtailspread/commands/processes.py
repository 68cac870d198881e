"""The ``entry`` and ``replica`` subcommands, which run the processes."""

import asyncio
import pathlib
import sys

import click

from returns import result

from wagtailspread.observability import logs
from wagtailspread.processes import entries, machines, settings
from wagtailspread.replica import drivers, servers

#: Exit status if the settings file is refused.
EXIT_INVALID_SETTINGS = 2
#: Exit status if a replica cannot continue because its storage failed.
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
      wagtailspread entry samples/andino/entry.ini

    SIGTERM stops the host gracefully: it reports unready, accepts requests for
    the configured time, finishes all requests and exits with status 0. Exit
    status 2 means that the settings were refused.
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
      wagtailspread replica samples/andino/replica.ini

    Exit status 2 means that the settings were refused. Exit status 3 means that
    the storage is damaged or full, so that the replica cannot continue.
    """
    process = _load(settings_file)
    section = process.replica
    if section is None:
        _fail(f'{settings_file}:1: [replica]: missing-section')
        return
    replica_settings = servers.ReplicaSettings(
        member=process.member,
        host=process.host,
        address=section.address,
        data_folder=section.data_folder,
        peers=section.peers,
        region=process.region,
        domain=process.domain,
        key=process.load_key(),
        trusted_keys=process.trusted_keys,
        founders=section.founders,
        first_base=section.first_base,
    )
    handler = logs.create_process_handler(
        process.host,
        sys.stderr,
        level=process.log_level,
    )
    try:
        with handler.applicationbound():
            _run_replica(replica_settings)
    finally:
        handler.close_windows()


def _run_replica(replica_settings: servers.ReplicaSettings) -> None:
    _LOGGER.info('replica started', extra={'address': replica_settings.address})
    try:
        asyncio.run(
            servers.run_replica(replica_settings, machines.create_machine)
        )
    except drivers.ReplicaStopped as error:
        _LOGGER.critical('replica stopped', extra={'reason': str(error)})
        sys.exit(EXIT_STOPPED)
    _LOGGER.info('replica shut down')


def _load(path: pathlib.Path) -> settings.ProcessSettings:
    loaded = settings.load_settings(path)
    if isinstance(loaded, result.Success):
        process = loaded.unwrap()
        fault = process.find_key_fault()
        if fault:
            _fail(f'{path}: {fault}')
        return process
    for finding in loaded.failure():
        click.echo(finding.describe(), err=True)
    sys.exit(EXIT_INVALID_SETTINGS)


def _fail(message: str) -> None:
    click.echo(message, err=True)
    sys.exit(EXIT_INVALID_SETTINGS)
