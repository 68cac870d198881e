"""Readiness and graceful shutdown of an entry host.

After a stop request, the host reports that it is not ready but keeps serving,
because the load balancer needs time to notice. Meanwhile each answer closes
its connection. Then it closes the connections that wait for a request, and
exits when no request is being received or handled.
"""

import asyncio
import enum
import typing

from wagtailspread.entry import servers

#: Interval between checks for active requests, in seconds.
POLL_SECONDS = 0.05
#: Consecutive checks without an active request before the host exits.
IDLE_POLL_COUNT = 3


class DrainState(enum.Enum):
    """Phase of the shutdown of a host."""

    SERVING = 'serving'
    #: Not ready, but still accepting connections.
    LINGERING = 'lingering'
    #: Accepting no connections; finishing active requests.
    FINISHING = 'finishing'


#: A condition of readiness.
Condition = typing.Callable[[], bool]


class Drain:
    """Readiness and shutdown sequence of one host.

    :param conditions: all must hold for the host to be ready.
    :param linger_seconds: time to keep accepting connections after a stop
        request.
    """

    def __init__(
        self,
        conditions: typing.Sequence[Condition],
        linger_seconds: float,
    ) -> None:
        """Start in the serving state."""
        self.state = DrainState.SERVING
        self._conditions = conditions
        self._linger_seconds = linger_seconds

    def is_ready(self) -> bool:
        """Return whether this host accepts new callers."""
        if self.state is not DrainState.SERVING:
            return False
        return all(condition() for condition in self._conditions)

    async def finish(self, server: servers.EntryServer) -> None:
        """Stop serving without aborting a request.

        The wait is bounded, since every request has a deadline.
        """
        self.state = DrainState.LINGERING
        server.close_after_answers()
        await asyncio.sleep(self._linger_seconds)
        self.state = DrainState.FINISHING
        await server.stop_listening()
        idle_polls = 0
        while idle_polls < IDLE_POLL_COUNT:
            await asyncio.sleep(POLL_SECONDS)
            idle_polls = 0 if server.close_idle() else idle_polls + 1
