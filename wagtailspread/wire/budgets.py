"""Bytes that several readers may hold at the same time."""

import asyncio
import collections
import contextlib
import typing


class ByteBudget:
    """Lets readers wait for their turn, in the order in which they ask.

    :param used_bytes: bytes that are held now.
    """

    def __init__(self, total: int) -> None:
        """Create a budget that is not in use.

        :param total: maximum in bytes; no reader may ask for more.
        """
        self.used_bytes = 0
        self._total = total
        self._waiters: collections.deque[tuple[int, asyncio.Future[None]]] = (
            collections.deque()
        )

    @contextlib.asynccontextmanager
    async def hold(self, size: int) -> typing.AsyncIterator[None]:
        """Wait until ``size`` bytes are left, and hold them."""
        await self._take(size)
        try:
            yield
        finally:
            self._give_back(size)

    async def _take(self, size: int) -> None:
        if not self._waiters and self.used_bytes + size <= self._total:
            self.used_bytes += size
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiter = (size, turn)
        self._waiters.append(waiter)
        try:
            await turn
        except asyncio.CancelledError:
            if not turn.cancelled():
                # The turn came in the same moment.
                self._give_back(size)
            elif waiter in self._waiters:
                self._waiters.remove(waiter)
                self._wake_up()
            raise

    def _give_back(self, size: int) -> None:
        self.used_bytes -= size
        self._wake_up()

    def _wake_up(self) -> None:
        while self._waiters:
            size, turn = self._waiters[0]
            if turn.cancelled():
                self._waiters.popleft()
                continue
            if self.used_bytes + size > self._total:
                return
            self._waiters.popleft()
            self.used_bytes += size
            turn.set_result(None)
