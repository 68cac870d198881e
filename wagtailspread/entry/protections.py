"""Protection of the HTTP listener against heads that never end or parse.

aiohttp refuses what it cannot parse; this module gives those refusals the
fleet's headers, refuses heads beyond the limits in force, and ends connections
whose request head takes too long.
"""

import asyncio
import dataclasses
import math
import types
import typing

import logbook

from aiohttp import http_parser, web

from wagtailspread.core import outcomes
from wagtailspread.entry import heads, parsers

#: Bytes of a body that wait to be read before its caller is slowed down.
READ_BUFFER_BYTES = 65536
#: Time after which a caller may come back to a host without memory, seconds.
RETRY_AFTER_SECONDS = 1
#: Time between looks for connections with an overdue head, in seconds.
SWEEP_SECONDS = 0.25

_BAD_REQUEST = 400
_HEAD_TOO_LARGE = 431
_SERVER_ERROR = 500
_UNAVAILABLE = 503
_OVERDUE = (
    'HTTP/1.1 400 Bad Request\r\n'
    f'{outcomes.OUTCOME_HEADER}: {outcomes.Outcome.NOT_RUN.value}\r\n'
    f'{outcomes.REASON_HEADER}: {outcomes.RefusalReason.BAD_REQUEST.value}\r\n'
    'Content-Length: 0\r\n'
    'Connection: close\r\n\r\n'
).encode()

_log = logbook.Logger('connections')

Handler = typing.Callable[
    [web.BaseRequest],
    typing.Awaitable[web.StreamResponse],
]


_STATUSES = types.MappingProxyType(
    {
        parsers.RefusalCause.MALFORMED: _BAD_REQUEST,
        parsers.RefusalCause.HEAD_TOO_LARGE: _HEAD_TOO_LARGE,
        parsers.RefusalCause.HOST_FULL: _UNAVAILABLE,
    },
)


class GuardedProtocol(web.RequestHandler):
    """One connection of a caller, with a time limit for heads.

    :param head_deadline: when the head must be complete; infinite while a
        request is handled or nothing was received.
    """

    __slots__ = (
        'head_deadline',
        '_heads',
        '_is_busy',
        '_is_receiving',
        '_limits',
        '_opened',
        '_server',
    )

    def __init__(
        self,
        manager: 'GuardedServer',
        limits: heads.HeadLimits,
        **settings: typing.Any,
    ) -> None:
        """Wait for a first byte."""
        super().__init__(manager, **settings)
        self.head_deadline = math.inf
        self._server = manager
        self._limits = limits
        self._heads = parsers.GuardedParser(
            typing.cast(http_parser.HttpRequestParser, self._parser),
            manager.window,
            manager.budget,
        )
        self._parser = typing.cast(typing.Any, self._heads)
        self._opened = asyncio.get_running_loop().time()
        self._is_busy = False
        self._is_receiving = False

    @property
    def is_active(self) -> bool:
        """Tell whether a request is being received or handled."""
        return self._is_busy or self._is_receiving

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the time limit of the first head."""
        super().connection_made(transport)
        self._start_limit()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give back the bytes of an incomplete head."""
        self._heads.release()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Start the time limit of a head with its first byte."""
        if not self._is_busy:
            self._is_receiving = True
            if self.head_deadline == math.inf:
                self._start_limit()
        super().data_received(data)

    def enter(self) -> None:
        """Note that a head is complete and its request is handled."""
        self._is_busy = True
        self._is_receiving = False
        self.head_deadline = math.inf

    def leave(self) -> None:
        """Note that the request was answered."""
        self._is_busy = False

    def end_overdue(self, now: float) -> None:
        """Refuse the head if it took too long."""
        if now < self.head_deadline:
            return
        self._log_refusal(
            _BAD_REQUEST,
            parsers.RefusalCause.HEAD_OVERDUE,
            self._request_count,
        )
        if isinstance(self.transport, asyncio.WriteTransport):
            self.transport.write(_OVERDUE)
        self.force_close()

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
        return self._refuse(_find_cause(exc))

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
            response.headers['Retry-After'] = str(RETRY_AFTER_SECONDS)
        response.headers[outcomes.OUTCOME_HEADER] = outcome.value
        response.headers[outcomes.REASON_HEADER] = reason.value
        response.force_close()
        return response

    def _start_limit(self) -> None:
        now = asyncio.get_running_loop().time()
        self.head_deadline = now + self._limits.seconds

    def _log_refusal(
        self,
        status: int,
        cause: parsers.RefusalCause,
        requests_before: int | None = None,
    ) -> None:
        if requests_before is None:
            # The refused one was received, as those that wait behind it.
            requests_before = self._request_count - len(self._messages) - 1
        age = asyncio.get_running_loop().time() - self._opened
        _log.info(
            'request refused by the connection layer',
            extra={
                'status': status,
                'reason': cause.value,
                'age_seconds': round(age, 3),
                'requests_before': requests_before,
                'connection_limits': dataclasses.asdict(self._limits),
                'limits_in_force': dataclasses.asdict(
                    self._server.window.current
                ),
            },
        )


def enter(request: web.BaseRequest) -> GuardedProtocol | None:
    """Note that a request is handled; return the protocol to ``leave``."""
    protocol = request.protocol
    if not isinstance(protocol, GuardedProtocol):
        return None
    protocol.enter()
    return protocol


class GuardedServer(web.Server):
    """Makes guarded protocols and ends those with an overdue head.

    :param window: the limits in force and those of a moment ago.
    :param budget: bytes of incomplete heads of all connections.
    """

    def __init__(self, handler: Handler, limits: heads.HeadLimits) -> None:
        """Start the sweep; needs a running event loop."""
        super().__init__(handler)
        self.window = heads.LimitWindow(limits)
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
            keepalive_timeout=limits.keepalive_seconds,
            max_line_size=heads.PENDING_BYTES,
            max_field_size=heads.PENDING_BYTES,
            max_headers=heads.PENDING_BYTES // heads.MIN_FIELD_BYTES,
            read_bufsize=READ_BUFFER_BYTES,
        )

    def change_limits(self, limits: heads.HeadLimits) -> None:
        """Take other limits for all requests from now on."""
        self.window.change(limits)

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
                    protocol.end_overdue(now)


def create_server(handler: Handler, limits: heads.HeadLimits) -> GuardedServer:
    """Return a server whose handler is cancelled when its caller leaves."""
    server = GuardedServer(handler, limits)
    server.handler_cancellation = True
    return server


def _find_cause(exc: BaseException | None) -> parsers.RefusalCause:
    if isinstance(exc, parsers.HeadFault):
        return exc.cause
    return parsers.RefusalCause.MALFORMED
