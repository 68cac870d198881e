"""Time limit of the requests that are open when a host stops."""

import asyncio
import contextlib
import typing


class StopLimit:
    """Ends the open requests of a host that stops, in time for their answers.

    Without it, a request that is still open at the end of the stop would end
    with a closed connection, which tells its caller nothing.
    """

    def __init__(self) -> None:
        """Create a limit that is not set."""
        self._at: float | None = None
        self._open: set[asyncio.Timeout] = set()

    def set(self, at: float) -> None:
        """End all requests at a time.

        :param at: in seconds of the event loop clock.
        """
        self._at = at
        for timeout in self._open:
            timeout.reschedule(at)

    @contextlib.asynccontextmanager
    async def limit(self) -> typing.AsyncIterator[None]:
        """Run a part of a request up to the limit.

        :raises TimeoutError: if the limit was reached.
        """
        async with asyncio.timeout_at(self._at) as timeout:
            self._open.add(timeout)
            try:
                yield
            finally:
                self._open.discard(timeout)
