"""Responses to callers: those of the host itself, and those of upstreams."""

import asyncio
import typing

from wagtailspread.entry import protections, requests, web
from wagtailspread.gateway import attempts, exchanges, headers, response_logs
from wagtailspread.workspaces import keys

#: Default ``Retry-After`` of a refused request, in seconds.
RETRY_AFTER_SECONDS = 1.0
#: ``Retry-After`` of a request that a stopping host refuses, in seconds. The
#: caller reaches another host over a new connection.
STOPPING_RETRY_SECONDS = 0.0
#: Bytes of a body that are passed to the connection at once. It copies what the
#: client does not take at once.
PIECE_BYTES = 65_536

_UNAUTHORIZED = 401
_NOT_FOUND = 404
_TOO_MANY = 429
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
#: Statuses by which a host guarantees that a request has not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_FIRST_REDIRECT = 300
_FIRST_SERVER_ERROR = 500

_REJECTION_STATUSES = {
    response_logs.Reason.NO_ROUTE: _NOT_FOUND,
    response_logs.Reason.UNKNOWN_KEY: _UNAUTHORIZED,
    response_logs.Reason.KEY_REVOKED: _UNAUTHORIZED,
}

Details = dict[str, typing.Any]


class ForwardedResponse(web.Response):
    """Response of an upstream that is sent in pieces.

    The connection holds a piece in addition to the body, and not a copy of the
    whole body.
    """

    async def write_eof(self, data: bytes = b'') -> None:
        """Send the body, each piece after the one before it."""
        body = self.body
        if (
            isinstance(body, bytes | bytearray)
            and len(body) > PIECE_BYTES
            and not self._must_be_empty_body
        ):
            self.body = None
            rest = memoryview(body)
            # The traceback of an aborted connection refers to this frame and
            # to the piece, and would keep the body until it is collected.
            del body
            with rest:
                for start in range(0, len(rest), PIECE_BYTES):
                    with rest[start : start + PIECE_BYTES] as piece:
                        await self.write(piece)
        await super().write_eof(data)


class Responder:
    """Creates responses; logs and counts those that are not successful.

    Use :func:`create_responder`.

    :param is_current: tells whether the routes are of the newest version.
    :param log: log lines and counts of unsuccessful responses.
    """

    def __init__(
        self,
        names: headers.HeaderNames,
        is_current: typing.Callable[[], bool],
        find_version: typing.Callable[[], int | None],
    ) -> None:
        """Create a responder that has created no response."""
        self.is_current = is_current
        self.log = response_logs.create_log()
        self._names = names
        self._find_version = find_version
        #: In seconds of the event loop clock.
        self._active_since = 0.0

    def record_change(self) -> None:
        """Record that another version is active from now on."""
        self._active_since = asyncio.get_running_loop().time()

    def forward(
        self,
        response: exchanges.UpstreamResponse,
        result: attempts.RequestResult,
        request: web.BaseRequest,
        details: Details,
    ) -> web.Response:
        """Return an upstream's response, or 502 if its status is misleading.

        To a caller, some statuses guarantee that a request has not run. They
        are replaced unless that is proven. A refusal of an upstream that did
        not run the request is not forwarded here: it is a
        :class:`~wagtailspread.gateway.exchanges.NotExecuted` outcome.
        """
        claims_not_run = (
            response.status in _NOT_RUN_STATUSES and result.proof is None
        )
        if claims_not_run or response.status >= _FIRST_REDIRECT:
            self._record_upstream_response(
                response, request, details, is_replaced=claims_not_run
            )
        if claims_not_run:
            return web.Response(status=_BAD_GATEWAY)
        return ForwardedResponse(
            status=response.status,
            reason=response.reason,
            headers=requests.copy_headers(response.headers),
            body=response.body,
        )

    def fail(
        self,
        result: attempts.RequestResult,
        request: web.BaseRequest,
        details: Details,
    ) -> web.Response:
        """Return the response to a request that no upstream answered."""
        refusal = result.refusal or attempts.Refusal.ANSWER_LOST
        reason = response_logs.Reason(refusal.value)
        if result.proof is not None:
            return self.refuse(reason, request, details, result.retry_after)
        is_late = refusal is attempts.Refusal.NO_TIME
        status = _GATEWAY_TIMEOUT if is_late else _BAD_GATEWAY
        return self.answer(status, reason, request, details)

    def reject(
        self,
        reason: response_logs.Reason,
        request: web.BaseRequest,
        details: Details | None = None,
    ) -> web.Response:
        """Return the response to a request without a route or a known key.

        After a 401 the connection closes if the request has a body, since the
        body is not read. Otherwise the caller may use it with another key.
        """
        status = _REJECTION_STATUSES[reason]
        response = self.forbid(status, reason, request, details)
        if response.status == _UNAUTHORIZED:
            response.headers['WWW-Authenticate'] = keys.SCHEME
            if request.body_exists:
                response.force_close()
        return response

    def forbid(
        self,
        status: int,
        reason: response_logs.Reason,
        request: web.BaseRequest,
        details: Details | None = None,
    ) -> web.Response:
        """Return the response to a request that the configuration forbids.

        A newer version may allow the request. While this host may lag behind,
        the response is a 503, since callers do not retry after a 4xx.
        """
        if self.is_current():
            return self.answer(status, reason, request, details)
        found = {**(details or {}), 'forbidden_by': reason.value}
        return self.refuse(response_logs.Reason.NOT_CURRENT, request, found)

    def refuse(
        self,
        reason: response_logs.Reason,
        request: web.BaseRequest,
        details: Details,
        retry_after: float = 0.0,
    ) -> web.Response:
        """Return a 429 or 503: the request has not run and never will."""
        is_over_cap = reason is response_logs.Reason.OVER_CAP
        status = _TOO_MANY if is_over_cap else _UNAVAILABLE
        response = self.answer(status, reason, request, details)
        if reason is response_logs.Reason.STOPPING:
            seconds = f'{STOPPING_RETRY_SECONDS:.2f}'
        else:
            seconds = f'{retry_after or RETRY_AFTER_SECONDS:.2f}'
        response.headers[self._names.retry_after] = seconds
        return response

    def answer(
        self,
        status: int,
        reason: response_logs.Reason,
        request: web.BaseRequest,
        details: Details | None = None,
    ) -> web.Response:
        """Return and log a response that the host generates itself."""
        self._record(status, reason, request, details or {})
        return web.Response(status=status)

    def _record_upstream_response(
        self,
        response: exchanges.UpstreamResponse,
        request: web.BaseRequest,
        details: Details,
        *,
        is_replaced: bool,
    ) -> None:
        """Record an upstream's response that is no success.

        A forwarded server error is only counted, since the failed attempt has
        been logged already.

        :param is_replaced: whether another status replaces the upstream's.
        """
        reason = response_logs.Reason.UPSTREAM
        if not is_replaced and response.status >= _FIRST_SERVER_ERROR:
            self.log.count(response.status, reason)
            return
        found = {**details, 'upstream_status': response.status}
        if is_replaced:
            reason = response_logs.Reason.UPSTREAM_PROMISE
        status = _BAD_GATEWAY if is_replaced else response.status
        self._record(status, reason, request, found)

    def _record(
        self,
        status: int,
        reason: response_logs.Reason,
        request: web.BaseRequest,
        details: Details,
    ) -> None:
        now = asyncio.get_running_loop().time()
        version = self._find_version()
        seconds = None if version is None else now - self._active_since
        self.log.record(
            status,
            reason,
            {
                **response_logs.describe_request(request, self._names),
                'configuration_version': version,
                'configuration_seconds': seconds and round(seconds, 3),
                'is_sent': False,
                **protections.describe_connection(request),
                **details,
            },
        )


def create_responder(
    names: headers.HeaderNames,
    is_current: typing.Callable[[], bool],
    find_version: typing.Callable[[], int | None],
) -> Responder:
    """Return a responder that has created no response.

    :param is_current: tells whether the active configuration is the newest
        version.
    :param find_version: returns the version of the active configuration.
    """
    return Responder(names, is_current, find_version)
