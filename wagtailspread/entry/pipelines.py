"""Pipelined requests of one connection, handled concurrently.

A caller may send further requests before the first one is answered. The
responses have to be sent in the order of the requests, but the requests need
not wait for each other: those with a safe method are handled ahead of their
turn, and their responses are held until it comes. A request is started ahead
only if no response before it closes the connection, since callers take what
follows such a response as not read and send it again.

References: RFC 9112, section 9.3.2.
"""

import asyncio
import dataclasses
import functools
import itertools
import typing

from aiohttp import hdrs, http

from wagtailspread.entry import web

#: Maximum number of requests of one connection that are handled ahead.
WINDOW = 8
#: Bytes of held responses of one connection from which no further request is
#: handled ahead. The callers that pipeline ask for small documents.
MAX_CONNECTION_BYTES = 256 * 1024
#: The same for all connections of a host; it is far below the memory of a host
#: (152 MB or more) also if each request under way adds a large response.
MAX_HOST_BYTES = 8 * 1024 * 1024

#: Methods by which a request changes nothing (RFC 9110, section 9.2.1).
_SAFE_METHODS = frozenset((hdrs.METH_GET, hdrs.METH_HEAD))
#: Maximum number of requests that a host handles ahead. Each takes a connection
#: to an upstream, and hosts have 1,500 descriptors and more.
MAX_HOST_REQUESTS = 32
#: A request with one of these may have a body or close the connection.
_EXCLUDING_HEADERS = (
    hdrs.CONTENT_LENGTH,
    hdrs.TRANSFER_ENCODING,
    hdrs.EXPECT,
    hdrs.UPGRADE,
)

Handler = typing.Callable[
    [web.BaseRequest],
    typing.Awaitable[web.StreamResponse],
]


@dataclasses.dataclass(slots=True)
class PipelineUsage:
    """What the pipelines of all connections of a host use.

    :param held_bytes: of responses that wait for their turn.
    :param running: requests that are handled ahead now.
    :param started: requests that were handled ahead since the start.
    :param is_closed: whether no further request is handled ahead.
    """

    held_bytes: int = 0
    running: int = 0
    started: int = 0
    is_closed: bool = False

    @property
    def has_room(self) -> bool:
        """Whether a further request may be handled ahead."""
        if self.is_closed or self.running >= MAX_HOST_REQUESTS:
            return False
        return self.held_bytes < MAX_HOST_BYTES


class Pipeline:
    """Requests of one connection that are handled ahead of their turn."""

    def __init__(
        self,
        handler: Handler,
        create_request: typing.Callable[
            [http.RawRequestMessage], web.BaseRequest | None
        ],
        usage: PipelineUsage,
        report: typing.Callable[[int], None],
    ) -> None:
        """Create a pipeline without requests.

        :param handler: returns responses that have not been sent.
        :param create_request: returns the request of a parsed message, or
            ``None`` if its refusal closes the connection.
        :param report: is called with the bytes of the responses that wait for
            their turn when they change.
        """
        self._report = report
        self._handler = handler
        self._create_request = create_request
        self._usage = usage
        self._tasks: dict[int, asyncio.Task[web.StreamResponse]] = {}
        self._sizes: dict[int, int] = {}

    def __len__(self) -> int:
        """Return the number of started requests whose turn has not come."""
        return len(self._tasks)

    def start(
        self,
        current: typing.Any,
        waiting: typing.Iterable[tuple[typing.Any, typing.Any]],
    ) -> None:
        """Handle the requests that follow the current one, up to the window.

        :param current: message of the request that is being handled.
        :param waiting: messages behind it in their order, with their payloads.
        """
        if not may_precede(current):
            return
        for message, _payload in itertools.islice(waiting, WINDOW):
            if id(message) in self._tasks:
                continue
            if not may_precede(message) or not self._has_room():
                return
            if not self._start(message):
                return

    def take(
        self, message: typing.Any
    ) -> asyncio.Task[web.StreamResponse] | None:
        """Return the handling of a request whose turn has come, if any."""
        size = self._sizes.pop(id(message), 0)
        if size:
            self._usage.held_bytes -= size
            self._report(sum(self._sizes.values()))
        return self._tasks.pop(id(message), None)

    def close(self) -> None:
        """Cancel all requests whose turn has not come."""
        for task in self._tasks.values():
            task.cancel()
        self._tasks.clear()
        self._usage.held_bytes -= sum(self._sizes.values())
        self._sizes.clear()

    def _has_room(self) -> bool:
        is_small = sum(self._sizes.values()) < MAX_CONNECTION_BYTES
        return is_small and self._usage.has_room

    def _start(self, message: http.RawRequestMessage) -> bool:
        """Start a request; return ``False`` if it must wait for its turn."""
        request = self._create_request(message)
        if request is None:
            return False
        task = asyncio.create_task(_handle(self._handler, request))
        self._tasks[id(message)] = task
        self._usage.started += 1
        self._usage.running += 1
        task.add_done_callback(functools.partial(self._hold, id(message)))
        return True

    def _hold(self, key: int, task: asyncio.Task[web.StreamResponse]) -> None:
        """Count a response that waits for its turn."""
        self._usage.running -= 1
        if self._tasks.get(key) is task:
            size = _measure(task)
            self._sizes[key] = size
            self._usage.held_bytes += size
            self._report(sum(self._sizes.values()))
        elif not task.cancelled():
            # Marks an exception as retrieved: nobody awaits the task any more.
            task.exception()


async def _handle(
    handler: Handler, request: web.BaseRequest
) -> web.StreamResponse:
    return await handler(request)


def may_precede(message: typing.Any) -> bool:
    """Tell whether the response to a request leaves the connection open.

    This is certain only for a safe request without a body.
    """
    if not isinstance(message, http.RawRequestMessage):
        return False
    if message.method not in _SAFE_METHODS or message.should_close:
        return False
    if message.version < http.HttpVersion11 or message.upgrade:
        return False
    return not any(name in message.headers for name in _EXCLUDING_HEADERS)


def _measure(task: asyncio.Task[web.StreamResponse]) -> int:
    """Return the bytes that a finished handling holds."""
    if task.cancelled() or task.exception() is not None:
        return 0
    body = getattr(task.result(), 'body', None)
    return len(body) if isinstance(body, bytes | bytearray) else 0
