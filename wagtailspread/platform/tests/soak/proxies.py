"""A proxy in front of an upstream that disturbs its connections."""

import asyncio
import contextlib
import socket
import struct

CHUNK_BYTES = 65_536


class Proxy:
    """Passes bytes on, unless a fault is set. Use :func:`start_proxy`.

    :param delay: time for which each piece is held, in seconds.
    """

    def __init__(self, target):
        """Create a proxy that does not listen."""
        self.address = ''
        self.delay = 0.0
        self._target = target
        self._server = None
        self._writers = set()
        self._passes_requests = _create_open_gate()
        self._passes_answers = _create_open_gate()

    async def start(self, ip):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{ip}:{port}'

    def close(self):
        """Stop listening and abort all connections."""
        self._server.close()
        self.reset()

    def reset(self):
        """Abort all connections; new ones work."""
        for writer in list(self._writers):
            connection = writer.get_extra_info('socket')
            # The other side may have closed it a moment ago.
            if connection.fileno() >= 0:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
                )
            writer.transport.abort()

    @contextlib.contextmanager
    def hold_answers(self):
        """Pass on requests only; the answers follow afterwards."""
        self._passes_answers.clear()
        try:
            yield
        finally:
            self._passes_answers.set()

    @contextlib.contextmanager
    def hold_all(self):
        """Pass on nothing; all bytes follow afterwards."""
        self._passes_requests.clear()
        try:
            with self.hold_answers():
                yield
        finally:
            self._passes_requests.set()

    async def _accept(self, reader, writer):
        ip, _, port = self._target.rpartition(':')
        try:
            target = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        target_reader, target_writer = target
        self._writers.update((writer, target_writer))
        await asyncio.gather(
            self._pass_on(reader, target_writer, self._passes_requests),
            self._pass_on(target_reader, writer, self._passes_answers),
        )
        for one in (writer, target_writer):
            self._writers.discard(one)
            one.close()

    async def _pass_on(self, reader, writer, gate):
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                await gate.wait()
                await asyncio.sleep(self.delay)
                writer.write(chunk)
                await writer.drain()
            writer.close()
        except OSError:
            writer.transport.abort()


def _create_open_gate():
    gate = asyncio.Event()
    gate.set()
    return gate


async def start_proxy(ip, target):
    """Return a proxy that listens, and passes connections on to ``target``."""
    proxy = Proxy(target)
    await proxy.start(ip)
    return proxy
