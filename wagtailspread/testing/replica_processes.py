"""Replica processes on loopback, for tests that kill or freeze replicas."""

import asyncio
import json
import pathlib
import shutil
import signal
import subprocess
import sys
import typing

from returns import result

from wagtailspread.core import identifiers
from wagtailspread.replica import clients
from wagtailspread.testing import ports, replicas
from wagtailspread.wire import credentials, links, signing

_MODULE = 'wagtailspread.testing.replica_process'
_POLL_SECONDS = 0.05


class ProcessReplicas:
    """Replica processes, which are stopped by their process ids."""

    def __init__(self, folder: pathlib.Path, count: int = 3) -> None:
        """Choose addresses and write the key and the first base file."""
        self.addresses = ports.reserve_addresses(count)
        self._folder = folder
        self._processes: dict[
            identifiers.Address,
            subprocess.Popen[bytes],
        ] = {}
        key = signing.create_key()
        (folder / 'key.pem').write_bytes(signing.dump_key(key))
        (folder / 'base.ini').write_text('[fleet]\n')
        peer = credentials.Peer(
            replicas.MEMBER,
            identifiers.HostId('client'),
            'entry',
        )
        directory = credentials.FixedDirectory(
            {replicas.MEMBER: signing.public_bytes(key)},
        )
        local_credentials = credentials.Credentials(peer, key)
        self._pool = links.LinkPool(local_credentials, directory)
        self.client = clients.create_client(self.addresses, self._pool)

    def find_folder(self, address: identifiers.Address) -> pathlib.Path:
        """Return the data folder of one replica."""
        return self._folder / f'host-{self.addresses.index(address)}'

    def start(self, address: identifiers.Address) -> None:
        """Start one replica."""
        arguments = (
            address,
            ','.join(self.addresses),
            str(self.find_folder(address)),
            str(self._folder),
        )
        self._processes[address] = subprocess.Popen(
            [sys.executable, '-m', _MODULE, *arguments],
            stderr=subprocess.PIPE,
        )

    def start_all(self) -> None:
        """Start all replicas."""
        for address in self.addresses:
            self.start(address)

    def signal(
        self,
        address: identifiers.Address,
        number: signal.Signals,
    ) -> None:
        """Send a signal to one replica."""
        self._processes[address].send_signal(number)

    def kill(self, address: identifiers.Address) -> None:
        """Kill one replica and wait until its process has ended."""
        process = self._processes.pop(address)
        process.kill()
        process.communicate()

    def wait_for_end(self, address: identifiers.Address) -> tuple[int, str]:
        """Wait until one replica has ended.

        :returns: its exit status and error output.
        :raises subprocess.TimeoutExpired: if it still runs after 10 s.
        """
        process = self._processes.pop(address)
        _, errors = process.communicate(timeout=10)
        return process.returncode, errors.decode()

    def wipe(self, address: identifiers.Address) -> None:
        """Delete the data folder of a stopped replica."""
        shutil.rmtree(self.find_folder(address))

    async def read_status(
        self,
        address: identifiers.Address,
    ) -> dict[str, typing.Any]:
        """Return the status of one replica; empty if it does not answer."""
        answer = await self.client.read_status(address)
        if not isinstance(answer, result.Success):
            return {}
        return json.loads(answer.unwrap().json)

    async def wait_for_status(
        self,
        is_reached: typing.Callable[[dict[str, typing.Any]], bool],
        seconds: float = 10.0,
    ) -> identifiers.Address:
        """Wait until the status of any started replica meets a condition.

        :returns: the address of that replica.
        :raises TimeoutError: if none meets it within ``seconds``.
        """
        async with asyncio.timeout(seconds):
            while True:
                for address in self._processes:
                    status = await self.read_status(address)
                    if status and is_reached(status):
                        return address
                await asyncio.sleep(_POLL_SECONDS)

    async def close(self) -> None:
        """Close the client's links and kill all replicas."""
        await self._pool.close()
        for address in list(self._processes):
            self.kill(address)
