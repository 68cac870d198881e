"""Imports and runs the program of a role.

Only the modules of the role are imported, since imports take processor time
and memory and hosts are started often. See ``docs/design/startup.md``.
"""

import asyncio
import gc
import importlib
import sys
import types

from wagtailspread.core import packages
from wagtailspread.observability import logs
from wagtailspread.platform import settings, values

_ENTRY = 'entry'
_HTTP_LIBRARY = 'aiohttp'
_MODULES = {
    _ENTRY: 'wagtailspread.platform.entries',
    'replica': 'wagtailspread.platform.replicas',
}


def run(role: str) -> None:
    """Run the program of a role until it is stopped.

    :param role: ``entry`` or ``replica``.
    :raises SystemExit: with one line, if the settings cannot be used.
    """
    program = import_program(role)
    # What is imported is never collected, so it is not searched again.
    gc.freeze()
    gc.enable()
    try:
        boot = settings.load()
    except (KeyError, OSError, values.FormatError) as error:
        sys.exit(f'settings: {error}')
    handler = logs.create_process_handler(boot.host, sys.stdout)
    try:
        with handler.applicationbound():
            asyncio.run(program.run(boot))
    finally:
        handler.close_windows()


def import_program(role: str) -> types.ModuleType:
    """Return the module of a role.

    The HTTP library would import all of its parts, and its client would read
    the certificates of the system for TLS, which the platform does not use.
    """
    packages.defer(_HTTP_LIBRARY)
    if role == _ENTRY:
        with packages.hide('ssl'):
            importlib.import_module(f'{_HTTP_LIBRARY}.client')
    return importlib.import_module(_MODULES[role])
