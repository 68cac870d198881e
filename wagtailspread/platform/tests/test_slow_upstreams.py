"""Uploads to upstreams that read slowly.

The number of clients and the bounds are in :mod:`crowds`. Nothing here depends
on times or on how many requests of the crowd are served.
"""

import asyncio
import pathlib
import socket

import pytest

from wagtailspread.gateway.tests import raw_upstreams
from wagtailspread.platform import names
from wagtailspread.platform.tests import crowds, test_processes

#: Starting the processes and waiting for one request may take long while
#: other programs use the machine, in seconds.
pytestmark = pytest.mark.timeout(240)

#: What the upstream reads in a second, in bytes.
_RATE = 1000
#: Receive buffer of the upstream, in bytes. The kernel would otherwise take a
#: large part of an upload for it.
_RECEIVE_BYTES = 4096
#: Time limit of each upload, in milliseconds.
_DEADLINE_MS = 5000


class SlowUpstream:
    """Script of an upstream that reads the uploads of the crowd slowly.

    :param seen: number of uploads that have begun.
    """

    def __init__(self):
        """Create a script that has not run."""
        self.seen = 0

    async def answer(self, reader, writer, head):
        """Answer others at once; read an upload until its connection ends."""
        if '/p/client-' not in head.split('\r\n', 1)[0]:
            await raw_upstreams.reply()(reader, writer, head)
            return
        self.seen += 1
        connected = writer.get_extra_info('socket')
        connected.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES
        )
        while await reader.read(_RATE):
            await asyncio.sleep(1)


async def test_uploads_to_slow_upstreams_stay_within_memory(tmp_path):
    """Guards against uploads that are held for as long as upstreams read.

    All of them must end at their deadline.
    """
    size = crowds.BODY_BYTES
    slow = SlowUpstream()

    def create_pieces(number):
        lines = [
            f'Content-Length: {size}',
            f'{names.HEADERS.deadline}: {_DEADLINE_MS}',
        ]
        yield crowds.create_head(number, lines)
        yield b'x' * size

    async with crowds.run_stage(tmp_path, 47) as stage:
        stage.upstream.answers = [slow.answer]
        await stage.gather_crowd(stage.find_caller_address(), create_pieces)
        stage.check_process(stage.host)
        assert slow.seen > 0

        async def has_ended():
            return count_connections(stage.upstream.address) == 0

        await test_processes.wait_for(has_ended, crowds.SERVICE_TIMEOUT_SECONDS)
        await stage.wait_for_service()
        stage.check_process(stage.host)
        stage.check_promises()


def count_connections(address):
    """Return how many connections to an address a process holds open.

    Those that only the kernel still handles have no inode.
    """
    port = int(address.rpartition(':')[2])
    rows = pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]
    fields = [row.split() for row in rows]
    return sum(
        row[2].endswith(f':{port:04X}') and row[9] != '0' for row in fields
    )
