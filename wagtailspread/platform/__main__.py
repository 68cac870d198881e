"""Runs the program of a role: ``python -m wagtailspread.platform ROLE``.

Only the modules of the role are imported, since imports take processor time
and memory and hosts are started often.
"""

import asyncio
import importlib
import sys

from wagtailspread.observability import logs
from wagtailspread.platform import settings, values

_MODULES = {
    'entry': 'wagtailspread.platform.entries',
    'replica': 'wagtailspread.platform.replicas',
}


def run(role: str) -> None:
    """Run the program of a role until it is stopped.

    :param role: ``entry`` or ``replica``.
    :raises SystemExit: with one line, if the settings cannot be used.
    """
    program = importlib.import_module(_MODULES[role])
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


if __name__ == '__main__':
    run(sys.argv[-1])
