"""An entry host process with test doubles for components of other packages.

Run it as a module with a settings file and the control addresses of all hosts
in the order of ownership, as ``host=address``.
"""

import asyncio
import configparser
import pathlib
import signal
import sys

from wagtailspread.core import identifiers
from wagtailspread.entry import hosts, interfaces
from wagtailspread.entry.tests import fleets
from wagtailspread.testing import stand_ins
from wagtailspread.wire import credentials, signing

SECTION = 'entry'


def read_settings(text: str) -> hosts.EntrySettings:
    """Return the settings in the ``[entry]`` section of an INI text.

    :raises KeyError: if a required key is missing.
    :raises ValueError: if a number is malformed.
    """
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(text)
    section = parser[SECTION]
    folder = section.get('configuration_folder')
    return hosts.EntrySettings(
        member=identifiers.MemberId(section['member']),
        key_file=pathlib.Path(section['key_file']),
        host=identifiers.HostId(section['host']),
        region=identifiers.RegionName(section['region']),
        domain=identifiers.FailureDomain(section['failure_domain']),
        caller_address=identifiers.Address(section['caller_address']),
        control_address=identifiers.Address(section['control_address']),
        replicas=split_addresses(section.get('replicas', '')),
        seeds=split_addresses(section.get('seeds', '')),
        folder=pathlib.Path(folder) if folder else None,
        linger_seconds=section.getfloat('linger', 5.0),
        connections=section.getint('connections', 9),
    )


async def run_entry(
    settings: hosts.EntrySettings,
    directory: credentials.MemberDirectory,
    create_components: hosts.ComponentsFactory,
) -> None:
    """Run an entry host until SIGTERM or SIGINT, then stop gracefully."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    host = hosts.create_host(settings, directory, create_components)
    caller, control = await host.start()
    hosts.tune_garbage_collection()
    print(f'caller={caller} control={control}', flush=True)
    await stopping.wait()
    await host.stop()


def split_addresses(text: str) -> tuple[identifiers.Address, ...]:
    addresses = (address.strip() for address in text.split(','))
    return tuple(
        identifiers.Address(address) for address in addresses if address
    )


def create_components(endpoints):
    def create(_settings, _pool, _listener):
        return hosts.EntryComponents(
            routing=stand_ins.FixedRouting(fleets.ROUTES),
            list_services=lambda: [fleets.SERVICE],
            ownership=stand_ins.FixedOwnership(endpoints),
            create_coordinator=lambda _service: (
                stand_ins.SimpleCoordinator(),
                None,
            ),
            key_store=stand_ins.MemoryKeyStore(),
            tracer=stand_ins.NoOpTracer(),
        )

    return create


def main():
    path, *arguments = sys.argv[1:]
    settings = read_settings(pathlib.Path(path).read_text())
    endpoints = [
        interfaces.OwnerEndpoint(
            identifiers.HostId(argument.partition('=')[0]),
            identifiers.Address(argument.partition('=')[2]),
        )
        for argument in arguments
    ]
    key = signing.load_key(settings.key_file.read_bytes())
    directory = credentials.FixedDirectory(
        {settings.member: signing.public_bytes(key)},
    )
    asyncio.run(
        run_entry(settings, directory, create_components(endpoints)),
    )


if __name__ == '__main__':
    main()
