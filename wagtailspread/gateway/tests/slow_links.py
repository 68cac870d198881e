"""A TCP relay with limited bandwidth."""

import asyncio
import contextlib

#: Bytes that are relayed at a time.
PIECE_BYTES = 4096


class SlowLink:
    """Relays connections to one address at a shared rate.

    :param rate: in bytes per second, for each direction.
    :param passed: bytes relayed from the target to its clients.
    :param accepted: number of accepted connections.
    """

    def __init__(self, rate):
        """Create a relay that does not listen yet."""
        self.rate = rate
        self.passed = 0
        self.accepted = 0
        self.address = ''
        self._target = ''
        self._server = None
        self._free_at = {True: 0.0, False: 0.0}
        self._tasks = set()

    async def start(self):
        """Listen on a free port; the target is set later."""
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def connect_to(self, target):
        """Relay further connections to this address."""
        self._target = target

    async def close(self):
        """Break all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader, writer):
        self.accepted += 1
        ip, _, port = self._target.rpartition(':')
        task = asyncio.current_task()
        self._tasks.add(task)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            target_reader, target_writer = await asyncio.open_connection(
                ip, int(port)
            )
            await asyncio.gather(
                self._pump(reader, target_writer, is_answer=False),
                self._pump(target_reader, writer, is_answer=True),
            )
        self._tasks.discard(task)

    async def _pump(self, reader, writer, *, is_answer):
        try:
            while piece := await reader.read(PIECE_BYTES):
                await self._throttle(len(piece), is_answer=is_answer)
                writer.write(piece)
                await writer.drain()
                if is_answer:
                    self.passed += len(piece)
        finally:
            writer.close()

    async def _throttle(self, size, *, is_answer):
        now = asyncio.get_running_loop().time()
        free_at = max(now, self._free_at[is_answer]) + size / self.rate
        self._free_at[is_answer] = free_at
        await asyncio.sleep(free_at - now)
