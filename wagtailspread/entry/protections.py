"""Protection of the HTTP listener against heads that never end or parse.

aiohttp refuses what it cannot parse; this module gives those refusals the
fleet's headers, refuses heads beyond the limits in force, and ends connections
whose request head takes too long.
"""

import asyncio
import dataclasses
import math
import select
import types
import typing

import logbook

from aiohttp import http, http_parser, web

from wagtailspread.core import outcomes
from wagtailspread.entry import heads, parsers

#: Bytes of a body that wait to be read before its caller is slowed down.
READ_BUFFER_BYTES = 65536
#: Time after which a caller may come back whose head was late, or whose host
#: had no memory for it, in seconds.
RETRY_AFTER_SECONDS = 1
#: Time between looks for overdue heads and idle connections, in seconds.
SWEEP_SECONDS = 0.25

#: Longest time for which the rest of a refused request is read, in seconds. A
#: link of 0.25 MB/s carries 2.5 MB in it.
LINGER_MOST_SECONDS = 10.0

_BAD_REQUEST = 400
_REQUEST_TIMEOUT = 408
_HEAD_TOO_LARGE = 431
_SERVER_ERROR = 500
_UNAVAILABLE = 503
_log = logbook.Logger('connections')

Handler = typing.Callable[
    [web.BaseRequest],
    typing.Awaitable[web.StreamResponse],
]


_STATUSES = types.MappingProxyType(
    {
        parsers.RefusalCause.MALFORMED: _BAD_REQUEST,
        parsers.RefusalCause.HEAD_TOO_LARGE: _HEAD_TOO_LARGE,
        parsers.RefusalCause.HEAD_OVERDUE: _REQUEST_TIMEOUT,
        parsers.RefusalCause.HOST_FULL: _UNAVAILABLE,
    },
)
#: Causes that may lie in the host or the link: the caller may come back.
_RETURN_CAUSES = frozenset(
    (parsers.RefusalCause.HEAD_OVERDUE, parsers.RefusalCause.HOST_FULL),
)


class GuardedProtocol(web.RequestHandler):
    """One connection of a caller, with time limits for heads and idling."""

    __slots__ = (
        '_heads',
        '_idle_since',
        '_is_busy',
        '_limits',
        '_opened',
        '_received',
        '_server',
    )

    def __init__(
        self,
        manager: 'GuardedServer',
        limits: heads.RequestLimits,
        **settings: typing.Any,
    ) -> None:
        """Wait for a first byte."""
        super().__init__(manager, **settings)
        self._server = manager
        self._limits = limits
        self._heads = parsers.GuardedParser(
            typing.cast(http_parser.HttpRequestParser, self._parser),
            manager.window,
            manager.budget,
        )
        self._parser = typing.cast(typing.Any, self._heads)
        self._opened = asyncio.get_running_loop().time()
        self._received = self._opened
        self._is_busy = False
        self._idle_since: float | None = None

    @property
    def is_active(self) -> bool:
        """Tell whether a request is being received or handled."""
        return self._is_busy or self._heads.begun is not None

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give back the bytes of an incomplete head."""
        self._heads.release()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """End the idle time of the connection."""
        self._idle_since = None
        self._received = asyncio.get_running_loop().time()
        super().data_received(data)

    def begin_request(self) -> None:
        """Note that a head is complete and its request is handled."""
        self._is_busy = True

    def end_request(self) -> None:
        """Note that the request was answered."""
        self._is_busy = False

    def enforce_timeouts(self, now: float) -> None:
        """Refuse a head that took too long; close an idle connection."""
        limits = self._server.window.find_loosest()
        begun = self._heads.begun
        if begun is not None:
            if now - begun >= limits.seconds:
                self._heads.end_overdue()
                # Lets the parser report the fault, in the order of requests.
                self.data_received(b'')
        elif self._waiter is None or self._waiter.done():
            # A request is handled or answered.
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
        """Send an answer; let a caller that still sends receive it."""
        finished = await super().finish_response(request, resp, start_time)
        is_unread = self._heads.is_failed or not request.content.is_eof()
        if is_unread and not finished[0].keep_alive:
            await self._drop_rest()
            self.force_close()
        return finished

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = _SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the answer to what could not be parsed."""
        if status >= _SERVER_ERROR:
            self._log_refusal(status, parsers.RefusalCause.SERVER_ERROR)
            answer = super().handle_error(request, status, exc, message)
            outcome = outcomes.Outcome.UNKNOWN
            answer.headers[outcomes.OUTCOME_HEADER] = outcome.value
            return answer
        # aiohttp takes a request that it cannot parse for one of HTTP/1.0, to
        # which "Connection: close" would not be sent.
        request._version = http.HttpVersion11
        return self._refuse(_find_cause(exc))

    def describe(self) -> dict[str, typing.Any]:
        """Return the connection's age, and the requests before the last one.

        Requests that wait behind it are not counted.
        """
        now = asyncio.get_running_loop().time()
        before = self._request_count - len(self._messages) - 1
        return {
            'connection_seconds': round(now - self._opened, 3),
            'connection_requests': before,
        }

    def check_head(self, request: web.BaseRequest) -> web.Response | None:
        """Return the refusal of a complete head that is too large."""
        allowed = self._server.window.find_loosest()
        if heads.count_bytes(request) <= allowed.head_bytes:
            return None
        return self._refuse(parsers.RefusalCause.HEAD_TOO_LARGE)

    def _refuse(self, cause: parsers.RefusalCause) -> web.Response:
        response = web.Response(status=_STATUSES[cause])
        self._log_refusal(response.status, cause)
        outcome = outcomes.Outcome.NOT_RUN
        reason = outcomes.RefusalReason.BAD_REQUEST
        if cause is parsers.RefusalCause.HOST_FULL:
            reason = outcomes.RefusalReason.NO_CAPACITY
        if cause is parsers.RefusalCause.HEAD_OVERDUE:
            reason = outcomes.RefusalReason.REQUEST_TIMEOUT
        if cause in _RETURN_CAUSES:
            response.headers['Retry-After'] = str(RETRY_AFTER_SECONDS)
        response.headers[outcomes.OUTCOME_HEADER] = outcome.value
        response.headers[outcomes.REASON_HEADER] = reason.value
        response.force_close()
        return response

    async def _drop_rest(self) -> None:
        """Read what the caller still sends, until it ends the connection.

        To close a connection with unread bytes resets it, and the caller may
        lose an answer that it has not read yet.
        """
        self._heads.drop_rest()
        if self.transport is None:
            return
        self.transport.write_eof()
        # The body that was received may hold back what follows.
        self._buffer_paused = False
        self.resume_reading(resume_parser=False)
        loop = asyncio.get_running_loop()
        last = loop.time() + LINGER_MOST_SECONDS
        # What was received before the answer tells nothing about the rest.
        self._received = loop.time()
        end = self._received + self._limits.linger_seconds
        while loop.time() < end:
            await asyncio.sleep(end - loop.time())
            end = min(last, self._received + self._limits.linger_seconds)

    def _close_idle(self) -> None:
        """Close the connection unless a request has just arrived."""
        if self.transport is None:
            return
        poller = select.poll()
        connected = self.transport.get_extra_info('socket')
        poller.register(connected.fileno(), select.POLLIN)
        if not poller.poll(0):
            self.force_close()

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
    """Return the fields of a log line on the connection of a request."""
    protocol = request.protocol
    return protocol.describe() if isinstance(protocol, GuardedProtocol) else {}


def begin_request(request: web.BaseRequest) -> GuardedProtocol | None:
    """Mark a request as handled; return its protocol, or ``None``.

    The caller must call ``end_request`` on it.
    """
    protocol = request.protocol
    if not isinstance(protocol, GuardedProtocol):
        return None
    protocol.begin_request()
    return protocol


class GuardedServer(web.Server):
    """Makes guarded protocols; ends overdue heads and idle connections.

    :param window: the limits in force and those of a moment ago.
    :param budget: bytes of incomplete heads of all connections.
    """

    def __init__(self, handler: Handler, window: heads.LimitWindow) -> None:
        """Start the sweep; needs a running event loop."""
        super().__init__(handler)
        self.window = window
        self.budget = heads.HeadBudget()
        self._sweeping = asyncio.create_task(self._sweep())

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        limits = self.window.current
        return GuardedProtocol(
            self,
            limits,
            loop=asyncio.get_running_loop(),
            access_log=None,
            lingering_time=limits.linger_seconds,
            auto_decompress=False,
            # The sweep closes idle connections by the limits in force.
            keepalive_timeout=math.inf,
            max_line_size=heads.PENDING_BYTES,
            max_field_size=heads.PENDING_BYTES,
            max_headers=heads.PENDING_BYTES // heads.MIN_FIELD_BYTES,
            read_bufsize=READ_BUFFER_BYTES,
        )

    def count_active(self) -> int:
        """Return the number of requests being received or handled."""
        active = [
            protocol
            for protocol in self.connections
            if isinstance(protocol, GuardedProtocol) and protocol.is_active
        ]
        return len(active)

    async def shutdown(self, timeout: float | None = None) -> None:
        """Close all connections."""
        self._sweeping.cancel()
        await super().shutdown(timeout)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            now = asyncio.get_running_loop().time()
            for protocol in self.connections:
                if isinstance(protocol, GuardedProtocol):
                    protocol.enforce_timeouts(now)


def create_server(handler: Handler, window: heads.LimitWindow) -> GuardedServer:
    """Return a server whose handler is cancelled when its caller leaves."""
    server = GuardedServer(handler, window)
    server.handler_cancellation = True
    return server


def _find_cause(exc: BaseException | None) -> parsers.RefusalCause:
    if isinstance(exc, parsers.HeadFault):
        return exc.cause
    return parsers.RefusalCause.MALFORMED
