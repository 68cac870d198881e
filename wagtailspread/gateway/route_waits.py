"""Waits of requests for the routes of a newer configuration."""

import asyncio
import typing

#: Longest wait of a request for the routes of a newer configuration, in
#: seconds. Most of the time left remains for sending it.
MAX_SECONDS = 1.5
#: Interval between checks whether they are there, in seconds.
POLL_SECONDS = 0.05


def find_end(deadline: float) -> float:
    """Return the end of the wait of a request for newer routes.

    :param deadline: of the request, in seconds of the event loop clock.
    """
    return min(_now() + MAX_SECONDS, (_now() + deadline) / 2)


async def wait_while(
    condition: typing.Callable[[], bool],
    until: float,
) -> bool:
    """Wait until a condition is false; tell whether it is.

    :param until: end of the wait, in seconds of the event loop clock.
    """
    while condition():
        if _now() >= until:
            return False
        await asyncio.sleep(POLL_SECONDS)
    return True


def _now() -> float:
    return asyncio.get_running_loop().time()
