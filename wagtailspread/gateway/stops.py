"""Schedule of a host's stop, and time limit of its open requests."""

import asyncio
import contextlib
import dataclasses
import math
import typing

#: Time after the request to stop for which new connections are accepted, in
#: seconds. The balancer removes a host after two failed readiness checks, which
#: it sends once per second.
ACCEPT_SECONDS = 2.6
#: Time that is reserved for closing at the end of a stop, in seconds.
CLOSING_SECONDS = 0.4
#: Time before that in which the host answers the requests that are still open,
#: in seconds; answers take about half a second over a full link.
ANSWER_SECONDS = 0.5
#: Largest part of a stop that both of these may take.
MAX_RESERVED_SHARE = 1 / 6


@dataclasses.dataclass(frozen=True, slots=True)
class StopSchedule:
    """Times of a stop, in seconds of the event loop clock.

    :param accept_until: connections are accepted, and requests are sent to
        upstreams, up to this time; later only those that end by themselves
        before ``answer_at``.
    :param answer_at: the host answers the requests that are still open.
    :param close_at: all connections are closed.
    """

    accept_until: float
    answer_at: float
    close_at: float


#: Schedule of a host that does not stop.
NEVER = StopSchedule(math.inf, math.inf, math.inf)


def create_schedule(now: float, seconds: float) -> StopSchedule:
    """Return the schedule of a stop.

    A short stop keeps the proportions: at most half of it for accepting, and
    :data:`MAX_RESERVED_SHARE` for answering and closing.

    >>> create_schedule(10.0, 6.0)
    StopSchedule(accept_until=12.6, answer_at=15.1, close_at=15.6)

    :param now: time of the request to stop, in seconds.
    :param seconds: maximum duration of the stop.
    """
    wanted = CLOSING_SECONDS + ANSWER_SECONDS
    scale = min(1.0, seconds * MAX_RESERVED_SHARE / wanted)
    return StopSchedule(
        accept_until=now + min(ACCEPT_SECONDS, seconds / 2),
        answer_at=now + seconds - wanted * scale,
        close_at=now + seconds - CLOSING_SECONDS * scale,
    )


class StopLimit:
    """Ends the open requests of a host that stops, in time for their answers.

    Without it, a request that is still open at the end of the stop would end
    with a closed connection, which tells its caller nothing.
    """

    def __init__(self) -> None:
        """Create a limit of a host that does not stop."""
        self._schedule = NEVER
        self._open: set[asyncio.Timeout] = set()

    def apply(self, schedule: StopSchedule) -> None:
        """End all requests according to the schedule of a stop."""
        self._schedule = schedule
        for timeout in self._open:
            timeout.reschedule(schedule.answer_at)

    def may_send(self, deadline: float) -> bool:
        """Tell whether a request may be sent to an upstream now.

        A host that has stopped accepting sends a request only if its deadline
        precedes the end of the stop. Any other request might still run at the
        end, and its caller would not learn whether it ran.

        :param deadline: of the request, in seconds of the event loop clock.
        """
        now = asyncio.get_running_loop().time()
        schedule = self._schedule
        return now < schedule.accept_until or deadline <= schedule.answer_at

    @contextlib.asynccontextmanager
    async def limit(self) -> typing.AsyncIterator[None]:
        """Run a part of a request up to the limit.

        :raises TimeoutError: if the limit was reached.
        """
        at = self._schedule.answer_at
        async with asyncio.timeout_at(
            None if at == math.inf else at
        ) as timeout:
            self._open.add(timeout)
            try:
                yield
            finally:
                self._open.discard(timeout)
