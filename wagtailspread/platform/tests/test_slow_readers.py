"""Clients that ask for large responses and do not read them.

The number of clients and the bounds are in :mod:`crowds`. Nothing here depends
on times or on how many requests of the crowd are served.
"""

import asyncio
import contextlib
import socket

import pytest

from wagtailspread.gateway.tests import raw_upstreams
from wagtailspread.platform.tests import crowds

#: Starting the processes and waiting for one request may take long while
#: other programs use the machine, in seconds.
pytestmark = pytest.mark.timeout(240)

#: Size of a large response. Those that the slots of the upstream allow at a
#: time fit into the host's budget for responses that are being received.
RESPONSE_BYTES = 1_500_000
#: Receive buffer of a client that does not read, in bytes. The kernel would
#: otherwise take a whole response for it.
_RECEIVE_BYTES = 4096


class SilentCrowd:
    """Clients that send requests and read nothing."""

    def __init__(self):
        """Create a crowd without connections."""
        self._sockets = []

    async def gather(self, stage, count):
        """Connect, send, and return when the upstream gets no more requests.

        :param count: number of requests that each client sends.
        """
        ip, _, port = stage.find_caller_address().rpartition(':')
        loop = asyncio.get_running_loop()
        for number in range(crowds.CLIENTS):
            client = socket.socket()
            self._sockets.append(client)
            client.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES
            )
            client.setblocking(False)
            head = crowds.create_head(number, method='GET')
            with contextlib.suppress(OSError):
                await loop.sock_connect(client, (ip, int(port)))
                await loop.sock_sendall(client, head * count)
        seen = -1
        while seen != len(stage.upstream.requests):
            seen = len(stage.upstream.requests)
            await asyncio.sleep(crowds.QUIET_SECONDS)

    def close(self):
        """Close all connections."""
        for client in self._sockets:
            client.close()


async def answer(reader, writer, head):
    """Send a large response to the crowd, a short one to others."""
    is_crowd = '/p/client-' in head.split('\r\n', 1)[0]
    body = b'x' * RESPONSE_BYTES if is_crowd else b'whole'
    await raw_upstreams.reply(body=body)(reader, writer, head)


@contextlib.asynccontextmanager
async def run_stage(folder, block):
    """Yield a stage whose upstream sends large responses to the crowd."""
    async with crowds.run_stage(folder, block) as stage:
        stage.upstream.answers = [answer]
        yield stage


@pytest.mark.parametrize(('block', 'count'), [(44, 1), (45, 9)])
async def test_unread_responses_stay_within_memory(tmp_path, block, count):
    """Guards against responses that are held until their clients read them.

    Each client sends one request, or pipelines several.
    """
    crowd = SilentCrowd()
    async with run_stage(tmp_path, block) as stage:
        with contextlib.closing(crowd):
            await crowd.gather(stage, count)
            stage.check_process(stage.host)
            await stage.wait_for_service()
            stage.check_process(stage.host)


async def test_read_responses_of_idle_connections_are_released(tmp_path):
    """Guards against the last response that a kept connection holds."""
    async with run_stage(tmp_path, 46) as stage:
        await stage.gather_crowd(
            stage.find_caller_address(),
            lambda number: [crowds.create_head(number, method='GET')],
        )
        stage.check_process(stage.host)
        await stage.wait_for_service()
        stage.check_process(stage.host)
