"""Tasks that run until they are cancelled."""

import asyncio
import typing

import logbook

#: Delay before a task that failed starts again, in seconds.
RESTART_SECONDS = 0.2

_log = logbook.Logger('tasks')


async def keep_running(
    name: str,
    run: typing.Callable[[], typing.Awaitable[None]],
) -> None:
    """Run an endless function, and run it again after an unexpected error.

    An error in a task that nothing awaits would stop its work silently until
    the process ends.

    :param name: of the task, for logs.
    """
    while True:
        try:
            return await run()
        except Exception:
            _log.exception('task failed', extra={'task': name})
        await asyncio.sleep(RESTART_SECONDS)
