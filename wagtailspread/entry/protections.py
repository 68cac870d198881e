"""Protection of the HTTP listener against incomplete and malformed requests.

aiohttp refuses what it cannot parse. This module adds the fleet's headers to
these refusals, refuses heads that exceed the active limits, closes connections
whose request head takes too long, and limits what all connections hold.
"""

import asyncio
import contextlib
import dataclasses
import select
import types
import typing

import logbook

from aiohttp import http, streams

from wagtailspread.core import outcomes
from wagtailspread.entry import deliveries, heads, parsers, pipelines
from wagtailspread.entry import unread_responses, web

#: Bytes that are read from a connection at once. All connections may be read
#: before the first handler runs, and 200 times 64 KB are more than the budget
#: of a host of 80 MB. The buffer belongs to all connections, since what is read
#: is parsed or copied at once.
READ_BYTES = 16_384
#: A connection whose request had a larger head, in estimated bytes of memory,
#: is closed after its response: aiohttp keeps the last request of a connection
#: until the next one. Heads of up to 200 lines are below it.
MAX_KEPT_HEAD_BYTES = 131_072
#: ``Retry-After`` for a head that was late, or that exceeded the host's budget,
#: in seconds.
RETRY_AFTER_SECONDS = 1
#: Time without a byte after which a connection without a request is closed when
#: the host stops, in seconds.
STOP_IDLE_SECONDS = 0.3

#: Maximum time for reading the rest of a refused request, in seconds. A link
#: of 0.25 MB/s carries 2.5 MB in that time.
MAX_LINGER_SECONDS = 10.0

_BAD_REQUEST = 400
_REQUEST_TIMEOUT = 408
_HEAD_TOO_LARGE = 431
_SERVER_ERROR = 500
_UNAVAILABLE = 503
if typing.TYPE_CHECKING:
    from wagtailspread.entry import guarded_servers

_log = logbook.Logger('connections')

Handler = typing.Callable[
    [web.BaseRequest],
    typing.Awaitable[web.StreamResponse],
]


_STATUS_BY_CAUSE = types.MappingProxyType(
    {
        parsers.RefusalCause.MALFORMED: _BAD_REQUEST,
        parsers.RefusalCause.HEAD_TOO_LARGE: _HEAD_TOO_LARGE,
        parsers.RefusalCause.HEAD_OVERDUE: _REQUEST_TIMEOUT,
        parsers.RefusalCause.HOST_FULL: _UNAVAILABLE,
    },
)
#: Causes that may be due to the host or the link, so a retry may succeed.
_RETRYABLE_CAUSES = frozenset(
    (parsers.RefusalCause.HEAD_OVERDUE, parsers.RefusalCause.HOST_FULL),
)


class GuardedProtocol(web.RequestHandler, asyncio.BufferedProtocol):
    """Connection of a caller, with limits on heads and on its idle time."""

    __slots__ = (
        '_guarded_parser',
        '_idle_since',
        '_is_busy',
        '_limits',
        '_opened_at',
        '_pipeline',
        '_received_at',
        '_server',
        '_unread',
    )

    def __init__(
        self,
        manager: 'guarded_servers.GuardedServer',
        limits: heads.RequestLimits,
        **settings: typing.Any,
    ) -> None:
        """Create the protocol of a connection that has received no byte."""
        super().__init__(manager, **settings)
        self._server = manager
        self._limits = limits
        self._guarded_parser = parsers.GuardedParser(
            self,
            self,
            manager.window,
            manager.budget,
        )
        self._parser = typing.cast(typing.Any, self._guarded_parser)
        self._bound_queue()
        self._opened_at = asyncio.get_running_loop().time()
        self._received_at = self._opened_at
        self._is_busy = False
        self._idle_since: float | None = None
        self._pipeline = pipelines.Pipeline(
            manager.handle_ahead,
            self._create_request,
            manager.usage,
            self._hold_responses,
        )
        self._unread: unread_responses.UnreadResponses | None = None

    @property
    def is_active(self) -> bool:
        """Return whether a request is being received or handled."""
        is_receiving = self._guarded_parser.head_started_at is not None
        return self._is_busy or is_receiving or bool(self._messages)

    @property
    def is_incomplete(self) -> bool:
        """Return whether a request is incomplete and has not been sent on."""
        return self._guarded_parser.is_incomplete

    @property
    def is_waiting(self) -> bool:
        """Return whether the next request of the connection is awaited."""
        is_handling = self._waiter is None or self._waiter.done()
        return not self.is_active and not is_handling

    @property
    def is_unread(self) -> bool:
        """Return whether a response waits for the client."""
        return self._unread is not None and self._unread.is_waiting

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release what the connection holds."""
        self._guarded_parser.discard_input()
        self._pipeline.close()
        if self._unread is not None:
            self._unread.close()
        super().connection_lost(exc)
        self._server.budget.release(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next bytes."""
        return self._server.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle the bytes in the buffer, unless all input is discarded."""
        if self._guarded_parser.is_failed:
            self._received_at = asyncio.get_running_loop().time()
        else:
            self.data_received(bytes(self._server.read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Reset the idle time, then parse the bytes."""
        self._idle_since = None
        self._received_at = asyncio.get_running_loop().time()
        self._bound_queue()
        super().data_received(data)
        self.recount()
        self._start_ahead()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept a connection; close another one if there are too many."""
        super().connection_made(transport)
        if self._server.deliveries is not None:
            self._unread = unread_responses.UnreadResponses(
                self,
                self._server.deliveries,
                typing.cast(asyncio.Transport, transport),
            )
        self._server.limit_connections(self)

    def resume(self) -> None:
        """Parse what has been received."""
        if self.transport is not None:
            self.data_received(b'')

    def recount(self) -> None:
        """Count what the connection holds in the budget of the listener."""
        budget = self._server.budget
        if self.transport is None:
            budget.release(self)
            return
        parser = self._guarded_parser
        if parser.is_incomplete:
            budget.begin(self)
        else:
            budget.complete(self)
        budget.resize(self, parser.held_bytes + len(self._message_tail))

    def drop(self) -> None:
        """Refuse the incomplete request and release what it holds."""
        self._log_drop()
        self._guarded_parser.drop()
        self.recount()
        # The parser may be at work for this connection.
        asyncio.get_running_loop().call_soon(self.resume)

    def abort(self, cause: deliveries.EndCause | None = None) -> None:
        """Close the connection and discard what its client has not read.

        :param cause: for the log; ``None`` if the host stops.
        """
        if self._unread is None:
            return
        if cause is not None:
            _log.info(
                'response not read',
                extra={
                    'reason': cause.value,
                    **self._unread.describe(),
                    **self.describe(),
                },
            )
        self._unread.abort()

    @property
    def has_pipelined(self) -> bool:
        """Return whether a request that follows is being handled already."""
        return bool(self._pipeline)

    def begin_request(
        self, message: typing.Any
    ) -> asyncio.Task[web.StreamResponse] | None:
        """Mark the connection as busy with a request.

        :returns: its handling if that was started ahead of its turn.
        """
        self._is_busy = True
        task = self._pipeline.take(message)
        self._start_ahead()
        return task

    def end_request(self) -> None:
        """Mark the request as answered."""
        self._is_busy = False

    def check_reading(self, now: float) -> None:
        """Record whether the client reads its responses.

        :param now: seconds of the event loop.
        """
        if self._unread is not None:
            self._unread.check(now)

    def enforce_timeouts(self, now: float) -> None:
        """Refuse a head that is late; close an idle connection.

        :param now: seconds of the event loop.
        """
        limits = self._server.window.compute_loosest()
        head_started_at = self._guarded_parser.head_started_at
        if head_started_at is not None:
            if now - head_started_at >= limits.seconds:
                self._guarded_parser.expire_head()
                # The parser reports the fault in the order of requests.
                self.data_received(b'')
        elif self._waiter is None or self._waiter.done():
            # A request is being handled or answered.
            self._idle_since = None
        elif self._idle_since is None:
            self._idle_since = now
        elif now - self._idle_since >= limits.keepalive_seconds:
            self._close_idle()

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Send an answer, then discard the unread rest of its request."""
        parser = self._guarded_parser
        is_large = parser.first_cost > MAX_KEPT_HEAD_BYTES
        if is_large and not self._pipeline:
            # Also without the header, if the response has begun.
            self.close()
            if not resp.prepared:
                resp.force_close()
        unread = self._unread
        if unread is not None:
            unread.begin(request, resp)
        try:
            finished = await super().finish_response(request, resp, start_time)
        finally:
            if unread is not None:
                unread.finish()
        unread_responses.release(resp)
        parser.finish_request()
        self.recount()
        is_unread = parser.is_failed or not request.content.is_eof()
        if is_unread and not finished[0].keep_alive:
            await self._discard_input()
            self.force_close()
        return finished

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = _SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the answer to input that failed to parse or be handled."""
        if status >= _SERVER_ERROR:
            self._log_refusal(status, parsers.RefusalCause.SERVER_ERROR)
            answer = super().handle_error(request, status, exc, message)
            outcome = outcomes.Outcome.UNKNOWN
            answer.headers[outcomes.OUTCOME_HEADER] = outcome.value
            return answer
        # aiohttp treats a request that it cannot parse as HTTP/1.0 and would
        # omit "Connection: close".
        request._version = http.HttpVersion11
        return self._refuse(_find_cause(exc))

    def describe(self) -> dict[str, typing.Any]:
        """Return the connection's age and the number of earlier requests.

        Pipelined requests that have not been handled are not counted.
        """
        now = asyncio.get_running_loop().time()
        earlier = self._request_count - len(self._messages) - 1
        return {
            'connection_seconds': round(now - self._opened_at, 3),
            'connection_requests': earlier,
        }

    def check_head(self, request: web.BaseRequest) -> web.Response | None:
        """Return a refusal if a complete head is too large, else ``None``."""
        if self._is_allowed(request):
            return None
        return self._refuse(parsers.RefusalCause.HEAD_TOO_LARGE)

    def _refuse(self, cause: parsers.RefusalCause) -> web.Response:
        response = web.Response(status=_STATUS_BY_CAUSE[cause])
        self._log_refusal(response.status, cause)
        outcome = outcomes.Outcome.NOT_RUN
        reason = outcomes.RefusalReason.BAD_REQUEST
        if cause is parsers.RefusalCause.HOST_FULL:
            reason = outcomes.RefusalReason.NO_CAPACITY
        if cause is parsers.RefusalCause.HEAD_OVERDUE:
            reason = outcomes.RefusalReason.REQUEST_TIMEOUT
        if cause in _RETRYABLE_CAUSES:
            response.headers['Retry-After'] = str(RETRY_AFTER_SECONDS)
        response.headers[outcomes.OUTCOME_HEADER] = outcome.value
        response.headers[outcomes.REASON_HEADER] = reason.value
        response.force_close()
        return response

    def _hold_responses(self, size: int) -> None:
        """Count the responses whose turn has not come."""
        if self._unread is not None:
            self._unread.hold(size)

    def _bound_queue(self) -> None:
        """Pause reading while as many requests as allowed are parsed.

        aiohttp reads on, and parses what it has received, once the queue is
        shorter.
        """
        self._max_msg_queue_size = self._guarded_parser.max_parsed
        self._msg_queue_resume_size = self._max_msg_queue_size - 1

    def _start_ahead(self) -> None:
        """Handle the pipelined requests behind the current one."""
        request = self._current_request
        if not self._server.is_pipelining or not self._messages:
            return
        if request is not None and self._is_allowed(request):
            self._pipeline.start(request._message, self._messages)

    def _create_request(
        self, message: http.RawRequestMessage
    ) -> web.BaseRequest | None:
        """Return the request of a message without a body.

        :returns: ``None`` if the head is too large.
        """
        factory = typing.cast(typing.Any, self._request_factory)
        writer = http.StreamWriter(self, asyncio.get_running_loop())
        request: web.BaseRequest = factory(
            message, streams.EMPTY_PAYLOAD, self, writer, self._task_handler
        )
        return request if self._is_allowed(request) else None

    def _is_allowed(self, request: web.BaseRequest) -> bool:
        """Tell whether the size of a complete head is within the limits."""
        allowed = self._server.window.compute_loosest()
        return heads.count_bytes(request) <= allowed.head_bytes

    async def _discard_input(self) -> None:
        """Discard input until the caller pauses or the time limit expires.

        Closing a connection with unread bytes resets it, and the caller may
        lose an answer that it has not read yet.
        """
        self._guarded_parser.discard_input()
        self.recount()
        if self.transport is None:
            return
        # The client may have reset the connection, which is reported later.
        with contextlib.suppress(OSError):
            self.transport.write_eof()
        # The buffered body may have paused reading.
        self._buffer_paused = False
        self.resume_reading(resume_parser=False)
        loop = asyncio.get_running_loop()
        latest_end = loop.time() + MAX_LINGER_SECONDS
        # Bytes received before the answer do not count towards the linger time.
        self._received_at = loop.time()
        end = self._received_at + self._limits.linger_seconds
        while loop.time() < end:
            await asyncio.sleep(end - loop.time())
            end = min(
                latest_end, self._received_at + self._limits.linger_seconds
            )

    def close_idle(self, now: float) -> bool:
        """Close the connection if it has waited for a request for a moment.

        :param now: seconds of the event loop.
        :returns: whether it is left open.
        """
        is_idle = now - self._received_at >= STOP_IDLE_SECONDS
        if self.is_waiting and is_idle:
            self._close_idle()
        is_used = self.transport is not None and (
            self.is_active or self.is_waiting
        )
        return is_used or self.is_unread

    def _close_idle(self) -> None:
        """Close the connection unless its socket has unread bytes."""
        if self.transport is None:
            return
        poller = select.poll()
        caller_socket = self.transport.get_extra_info('socket')
        poller.register(caller_socket.fileno(), select.POLLIN)
        if not poller.poll(0):
            self.force_close()

    def _log_drop(self) -> None:
        _log.info(
            'request dropped',
            extra={
                'held_bytes': self._server.budget.used_bytes,
                'dropped': self._server.budget.dropped,
                **self.describe(),
            },
        )

    def _log_refusal(
        self,
        status: int,
        cause: parsers.RefusalCause,
    ) -> None:
        _log.info(
            'request refused by the connection layer',
            extra={
                'status': status,
                'reason': cause.value,
                **self.describe(),
                'connection_limits': dataclasses.asdict(self._limits),
                'limits_in_force': dataclasses.asdict(
                    self._server.window.current
                ),
            },
        )


def describe_connection(request: web.BaseRequest) -> dict[str, typing.Any]:
    """Return log fields that describe the connection of a request."""
    protocol = request.protocol
    return protocol.describe() if isinstance(protocol, GuardedProtocol) else {}


def _find_cause(exc: BaseException | None) -> parsers.RefusalCause:
    if isinstance(exc, parsers.HeadFault):
        return exc.cause
    return parsers.RefusalCause.MALFORMED
