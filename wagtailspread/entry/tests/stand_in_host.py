"""An entry host process with stand-ins for the parts of other packages.

Run as a module with a settings file and the control addresses of all hosts in
the order of ownership, as ``host=address``.
"""

import asyncio
import pathlib
import sys

from wagtailspread.core import identifiers
from wagtailspread.entry import interfaces, processes
from wagtailspread.entry.tests import fleets
from wagtailspread.testing import stand_ins
from wagtailspread.wire import credentials


def create_parts(places):
    def create(_settings, _pool, _listener):
        return processes.EntryParts(
            routing=stand_ins.FixedRouting(fleets.ROUTES),
            list_services=lambda: [fleets.SERVICE],
            ownership=stand_ins.FixedOwnership(places),
            create_coordinator=lambda _service: (
                stand_ins.SimpleCoordinator(),
                None,
            ),
            key_store=stand_ins.MemoryKeyStore(),
            tracer=stand_ins.SilentTracer(),
        )

    return create


def main():
    path, *named = sys.argv[1:]
    settings = processes.read_settings(pathlib.Path(path).read_text())
    places = [
        interfaces.OwnerPlace(
            identifiers.HostId(name.partition('=')[0]),
            identifiers.Address(name.partition('=')[2]),
        )
        for name in named
    ]
    key = credentials.load_key(settings.key_file.read_bytes())
    directory = credentials.FixedDirectory(
        {settings.member: credentials.public_bytes(key)},
    )
    asyncio.run(
        processes.run_entry(settings, directory, create_parts(places)),
    )


if __name__ == '__main__':
    main()
