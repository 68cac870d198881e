"""HTTP server of a host for callers."""

import asyncio
import typing

from wagtailspread.entry import bodies, heads, protections, requests, sites
from wagtailspread.entry import web
from wagtailspread.gateway import attempts, exchanges, headers, response_logs
from wagtailspread.gateway import fingerprints, limits, stops
from wagtailspread.routing import tables, terms

#: Bytes of a request body that are buffered before it is sent. A body that
#: fits can be sent to a second upstream if the first one does not run it.
REPLAY_BUFFER_BYTES = 1024 * 1024
#: Time limit of a request whose caller sets none, in seconds. A shorter timeout
#: of the route takes precedence.
DEFAULT_SECONDS = 30.0
#: Longest time limit of a request, in seconds.
MAX_SECONDS = 86_400.0
#: Default ``Retry-After`` of a refused request, in seconds.
RETRY_AFTER_SECONDS = 1.0
#: ``Retry-After`` of a request that a stopping host refuses, in seconds. The
#: caller reaches another host over a new connection.
STOPPING_RETRY_SECONDS = 0.0

_MILLISECONDS = 1000
_NOT_FOUND = 404
_REQUEST_TIMEOUT = 408
_TOO_LARGE = 413
_BAD_REQUEST = 400
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
#: Statuses by which a host guarantees that a request has not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_FIRST_REDIRECT = 300
_FIRST_SERVER_ERROR = 500

_BODY_REASONS = {
    _BAD_REQUEST: response_logs.Reason.BODY_BROKEN,
    _REQUEST_TIMEOUT: response_logs.Reason.BODY_SLOW,
    _TOO_LARGE: response_logs.Reason.BODY_TOO_LARGE,
}

_Details = dict[str, typing.Any]


class GatewayServer:
    """Serves callers. Use :func:`create_server`.

    :param routes: active routes; ``None`` until a configuration is known.
    :param is_current: tells whether the routes are of the newest version.
    :param site: listener for callers.
    :param response_log: log lines and counts of unsuccessful responses.
    """

    def __init__(
        self,
        runner: attempts.AttemptRunner,
        names: headers.HeaderNames,
        splits: tables.SplitCounter,
        is_current: typing.Callable[[], bool],
        stop_limit: stops.StopLimit | None = None,
    ) -> None:
        """Create a server that does not listen yet."""
        self._stop_limit = stop_limit or stops.StopLimit()
        self.is_current = is_current
        self.routes: tables.RouteTable | None = None
        self.response_log = response_logs.create_log()
        self._runner = runner
        self._names = names
        self._splits = splits
        #: In seconds of the event loop clock.
        self._active_since = 0.0
        self.site = sites.create_site(
            self.handle,
            heads.UNKNOWN_LIMITS,
            is_current,
        )

    def apply_settings(self, settings: terms.RoutingSettings) -> None:
        """Apply routes and limits to all further requests."""
        self.routes = tables.RouteTable(settings)
        self._active_since = asyncio.get_running_loop().time()
        self.site.change_limits(limits.create_limits(settings.limits))

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Return the response to one request."""
        started = asyncio.get_running_loop().time()
        routes = self.routes
        if routes is None:
            return self._refuse(response_logs.Reason.NO_ROUTES, request, {})
        route = self._match(request)
        if route is None:
            return self._reject(
                _NOT_FOUND, response_logs.Reason.NO_ROUTE, request
            )
        details: _Details = {
            'route': route.name,
            'limits_version': routes.settings.version,
        }
        deadline = started + self._get_time_limit(request, route)
        refusal = self._refuse_unread(request, deadline, details)
        if refusal is not None:
            return _close(refusal)
        body = None
        if request.body_exists:
            idle_seconds = routes.settings.limits.idle_seconds
            try:
                async with self._stop_limit.limit():
                    body = await self._read_body(
                        request, idle_seconds, deadline
                    )
            except TimeoutError:
                details['fault'] = 'the host stops'
        if request.body_exists and (body is None or body.fault is not None):
            return _close(self._answer_body_fault(body, request, details))
        return await self._run(request, route, body, deadline)

    def _refuse_unread(
        self,
        request: web.BaseRequest,
        deadline: float,
        details: _Details,
    ) -> web.Response | None:
        """Return a refusal that does not depend on the body, or ``None``."""
        fault = requests.check_framing(request.headers)
        if fault:
            reason = response_logs.Reason.BAD_FRAMING
            found = {**details, 'fault': fault}
            return self._answer(_BAD_REQUEST, reason, request, found)
        if (request.content_length or 0) > self.site.limits.body_bytes:
            reason = response_logs.Reason.BODY_TOO_LARGE
            return self._reject(_TOO_LARGE, reason, request, details)
        if not self._stop_limit.may_send(deadline):
            reason = response_logs.Reason.STOPPING
            return self._refuse(reason, request, details)
        return None

    async def _run(
        self,
        request: web.BaseRequest,
        route: terms.Route,
        body: bodies.RequestBody | None,
        deadline: float,
    ) -> web.Response:
        attempt = request.headers.get(self._names.attempt, '')
        outgoing = exchanges.OutgoingRequest(
            request.method,
            request.raw_path,
            requests.copy_headers(request.headers),
            body,
            attempt,
            deadline,
            fingerprints.compute(request, body),
        )
        size = 0 if body is None else body.size
        routed = self._choose_service(route, outgoing, size)
        result = await self._runner.run(routed)
        if result.refusal is attempts.Refusal.NOT_CURRENT and not result.sends:
            if await self._runner.wait_for_routes(deadline):
                newer = self._match(request)
                if newer is not None:
                    routed = self._choose_service(newer, outgoing, size)
                    result = await self._runner.run(routed, result)
        details = {
            'route': routed.route.name,
            'service': routed.service,
            'is_sent': result.sends > 0,
            'is_not_run': result.proof is not None,
            'upstream': result.upstream,
        }
        if result.response is not None:
            return self._forward_response(
                result.response, result, request, details
            )
        if body is not None and body.fault is not None:
            details['fault'] = body.fault.detail
        return self._create_failure_response(result, request, details)

    def _match(self, request: web.BaseRequest) -> terms.Route | None:
        """Return the route of a request in the active configuration."""
        if self.routes is None:
            return None
        path = request.raw_path.partition('?')[0]
        return self.routes.match(request.headers.get('Host', ''), path)

    def _choose_service(
        self,
        route: terms.Route,
        outgoing: exchanges.OutgoingRequest,
        size: int,
    ) -> attempts.RoutedRequest:
        service = self._splits.choose(route)
        return attempts.RoutedRequest(route, service, outgoing, size)

    def _create_failure_response(
        self,
        result: attempts.RequestResult,
        request: web.BaseRequest,
        details: _Details,
    ) -> web.Response:
        """Return the response to a request that no upstream answered."""
        refusal = result.refusal or attempts.Refusal.ANSWER_LOST
        reason = response_logs.Reason(refusal.value)
        if result.proof is not None:
            seconds = result.retry_after
            return self._refuse(reason, request, details, seconds)
        is_late = refusal is attempts.Refusal.NO_TIME
        status = _GATEWAY_TIMEOUT if is_late else _BAD_GATEWAY
        return self._answer(status, reason, request, details)

    def _get_time_limit(
        self,
        request: web.BaseRequest,
        route: terms.Route,
    ) -> float:
        """Return the time limit of a request in seconds.

        It is the limit of the caller or of the route, whichever is shorter;
        :data:`DEFAULT_SECONDS` stands in for a missing limit of the caller.
        """
        text = request.headers.get(self._names.deadline, '')
        limits = [DEFAULT_SECONDS]
        if text.isascii() and text.isdecimal():
            # ``float`` accepts any number of digits, ``int`` does not.
            limits = [min(float(text) / _MILLISECONDS, MAX_SECONDS)]
        if route.timeout is not None:
            limits.append(route.timeout)
        return min(limits)

    async def _read_body(
        self,
        request: web.BaseRequest,
        idle_seconds: float,
        deadline: float,
    ) -> bodies.RequestBody:
        if 'Expect' in request.headers:
            await bodies.send_continue(request)
        body = bodies.RequestBody(
            request.content,
            self.site.limits.body_bytes,
            idle_seconds,
            deadline,
            REPLAY_BUFFER_BYTES,
        )
        body.fault = await body.read_prefix()
        return body

    def _forward_response(
        self,
        response: exchanges.UpstreamResponse,
        result: attempts.RequestResult,
        request: web.BaseRequest,
        details: _Details,
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
        return web.Response(
            status=response.status,
            reason=response.reason,
            headers=requests.copy_headers(response.headers),
            body=response.body,
        )

    def _record_upstream_response(
        self,
        response: exchanges.UpstreamResponse,
        request: web.BaseRequest,
        details: _Details,
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
            self.response_log.count(response.status, reason)
            return
        found = {**details, 'upstream_status': response.status}
        if is_replaced:
            reason = response_logs.Reason.UPSTREAM_PROMISE
        status = _BAD_GATEWAY if is_replaced else response.status
        self._record_response(status, reason, request, found)

    def _reject(
        self,
        status: int,
        reason: response_logs.Reason,
        request: web.BaseRequest,
        details: _Details | None = None,
    ) -> web.Response:
        """Return the response to a request that the configuration forbids.

        A newer version may allow the request. While this host may lag behind,
        the response is a 503, since callers do not retry after a 4xx.
        """
        if self.is_current():
            return self._answer(status, reason, request, details)
        found = {**(details or {}), 'forbidden_by': reason.value}
        return self._refuse(response_logs.Reason.NOT_CURRENT, request, found)

    def _answer_body_fault(
        self,
        body: bodies.RequestBody | None,
        request: web.BaseRequest,
        details: _Details,
    ) -> web.Response:
        """Return the response to a request body that was not forwarded.

        :param body: ``None`` if the host stops before it was received.
        """
        fault = None if body is None else body.fault
        if fault is None:
            reason = response_logs.Reason.STOPPING
            return self._refuse(reason, request, details)
        status = _find_status(fault)
        found = {**details, 'fault': fault.detail}
        answer = self._reject if status == _TOO_LARGE else self._answer
        return answer(status, _BODY_REASONS[status], request, found)

    def _refuse(
        self,
        reason: response_logs.Reason,
        request: web.BaseRequest,
        details: _Details,
        retry_after: float = 0.0,
    ) -> web.Response:
        """Return a 503: the request has not run and never will."""
        response = self._answer(_UNAVAILABLE, reason, request, details)
        if reason is response_logs.Reason.STOPPING:
            seconds = f'{STOPPING_RETRY_SECONDS:.2f}'
        else:
            seconds = f'{retry_after or RETRY_AFTER_SECONDS:.2f}'
        response.headers[self._names.retry_after] = seconds
        return response

    def _answer(
        self,
        status: int,
        reason: response_logs.Reason,
        request: web.BaseRequest,
        details: _Details | None = None,
    ) -> web.Response:
        """Return and log a response that the host generates itself."""
        self._record_response(status, reason, request, details or {})
        return web.Response(status=status)

    def _record_response(
        self,
        status: int,
        reason: response_logs.Reason,
        request: web.BaseRequest,
        details: _Details,
    ) -> None:
        now = asyncio.get_running_loop().time()
        version = self._find_version()
        seconds = None if version is None else now - self._active_since
        self.response_log.record(
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

    def _find_version(self) -> int | None:
        return None if self.routes is None else self.routes.settings.version


def create_server(
    runner: attempts.AttemptRunner,
    names: headers.HeaderNames,
    splits: tables.SplitCounter,
    is_current: typing.Callable[[], bool],
    stop_limit: stops.StopLimit | None = None,
) -> GatewayServer:
    """Return a server that is not started.

    :param is_current: tells whether the active configuration is the newest
        version.
    :param stop_limit: ends open requests when the host stops.
    """
    return GatewayServer(runner, names, splits, is_current, stop_limit)


def _find_status(fault: requests.RequestFault) -> int:
    """Return the status for a request body that was not forwarded.

    A slow body is not the caller's fault, and the request has not run.
    """
    if fault.detail == bodies.SLOW_BODY:
        return _REQUEST_TIMEOUT
    return fault.status


def _close(response: web.Response) -> web.Response:
    """Mark the connection to be closed after the response."""
    response.force_close()
    return response
