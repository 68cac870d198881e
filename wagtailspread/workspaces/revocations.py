"""Interrupts open requests whose keys a newer configuration does not have.

A request may wait long for its body or in a queue. Without an interruption a
revocation would reach it only at the end of that wait.
"""

import asyncio
import contextlib
import typing


class KeyRevoked(Exception):
    """The key of a request is not known any more."""


class RevocationWatch:
    """Parts of open requests that end if their key is revoked."""

    def __init__(self) -> None:
        """Create a watch without open requests."""
        self._open: dict[asyncio.Timeout, typing.Callable[[], bool]] = {}

    def apply(self) -> None:
        """Interrupt the requests whose keys are revoked."""
        revoked = [
            timeout
            for timeout, is_revoked in self._open.items()
            if is_revoked()
        ]
        if not revoked:
            return
        now = asyncio.get_running_loop().time()
        for timeout in revoked:
            # A timeout that has expired cannot be changed again, which the
            # next version would attempt.
            self._open.pop(timeout)
            timeout.reschedule(now)

    @contextlib.asynccontextmanager
    async def interrupt(
        self,
        is_revoked: typing.Callable[[], bool],
    ) -> typing.AsyncIterator[None]:
        """Run a part of a request while its key is known.

        :raises KeyRevoked: if it is not known any more.
        """
        timeout = asyncio.timeout(None)
        try:
            async with timeout:
                self._open[timeout] = is_revoked
                yield
        except TimeoutError:
            if timeout.expired():
                raise KeyRevoked from None
            raise
        finally:
            self._open.pop(timeout, None)
