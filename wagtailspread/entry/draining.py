"""Readiness, and the graceful shutdown of an entry host.

After a request to stop, the host is not ready but still serves for a while,
since the balancer needs time to notice. Answers then close their connections.
Only when nothing is received or handled any longer does the host end.
"""

import asyncio
import enum
import typing

from wagtailspread.entry import servers

#: Time between looks for requests that are still running, in seconds.
POLL_SECONDS = 0.05
#: Looks in a row without a running request before the host ends.
IDLE_LOOKS = 3


class DrainState(enum.Enum):
    """How far a host is in its shutdown."""

    SERVING = 'serving'
    #: Not ready, but accepting connections.
    LINGERING = 'lingering'
    #: Accepting no connections; finishing requests.
    FINISHING = 'finishing'


#: A condition of readiness.
Condition = typing.Callable[[], bool]


class Drain:
    """The readiness of one host and its way to the end.

    :param conditions: all must hold for the host to be ready.
    :param linger_seconds: time for which a host that is not ready serves.
    """

    def __init__(
        self,
        conditions: typing.Sequence[Condition],
        linger_seconds: float,
    ) -> None:
        """Start in service."""
        self.state = DrainState.SERVING
        self._conditions = conditions
        self._linger_seconds = linger_seconds

    def is_ready(self) -> bool:
        """Tell whether this host wants new callers."""
        if self.state is not DrainState.SERVING:
            return False
        return all(condition() for condition in self._conditions)

    async def finish(self, server: servers.EntryServer) -> None:
        """Leave service without cutting a request.

        Every request ends by its deadline, so this does too.
        """
        self.state = DrainState.LINGERING
        server.close_after_answers()
        await asyncio.sleep(self._linger_seconds)
        self.state = DrainState.FINISHING
        await server.stop_listening()
        looks = 0
        while looks < IDLE_LOOKS:
            await asyncio.sleep(POLL_SECONDS)
            looks = 0 if server.count_active() else looks + 1
