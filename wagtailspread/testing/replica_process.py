"""Program that runs one replica with a fake state machine, for tests."""

import asyncio
import pathlib

import click

from wagtailspread.core import identifiers
from wagtailspread.replica import servers
from wagtailspread.testing import machines, replicas
from wagtailspread.wire import signing


@click.command()
@click.argument('address')
@click.argument('peers')
@click.argument('folder', type=pathlib.Path)
@click.argument('shared', type=pathlib.Path)
def main(
    address: str,
    peers: str,
    folder: pathlib.Path,
    shared: pathlib.Path,
) -> None:
    """Run one replica until it is stopped.

    PEERS are addresses with commas between them. SHARED is a folder with
    ``key.pem`` and ``base.ini``.
    """
    addresses = tuple(
        identifiers.Address(one) for one in sorted(peers.split(','))
    )
    private_key = signing.load_key((shared / 'key.pem').read_bytes())
    settings = servers.ReplicaSettings(
        member=replicas.MEMBER,
        host=identifiers.HostId(folder.name),
        address=identifiers.Address(address),
        data_folder=folder,
        peers=addresses,
        region=identifiers.RegionName('centro-andes'),
        domain=identifiers.FailureDomain('andes-bog'),
        key=private_key,
        trusted_keys={replicas.MEMBER: signing.public_bytes(private_key)},
        founders=addresses,
        first_base=shared / 'base.ini',
        policy=replicas.POLICY,
    )
    asyncio.run(servers.run_replica(settings, machines.create_fake_machine))


if __name__ == '__main__':
    main()
