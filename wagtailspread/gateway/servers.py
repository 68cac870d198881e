"""The HTTP side of a host: callers, and the platform's balancer."""

import asyncio
import typing

import logbook

from aiohttp import web

from wagtailspread.core import identifiers
from wagtailspread.entry import bodies, heads, requests, sites
from wagtailspread.gateway import attempts, exchanges, headers
from wagtailspread.routing import tables, terms

#: Bytes of a body that are read before it is sent. A body that fits can be
#: sent to a second upstream if the first one does not run it.
KEPT_BYTES = 1024 * 1024
#: Time that a request has if neither its caller nor its route says, seconds.
DEFAULT_SECONDS = 30.0
#: Time after which a refused caller may come back if nothing is known, seconds.
RETRY_AFTER_SECONDS = 1.0
#: Beyond the idle time of the configuration, so that a caller which keeps to
#: it never meets a closed connection, in seconds.
IDLE_SLACK_SECONDS = 2.0
#: Beyond the time of the configuration for a head, since a slow link delivers
#: later than its caller sends, in seconds.
HEAD_SLACK_SECONDS = 2.0

_MILLISECONDS = 1000
_NOT_FOUND = 404
_REQUEST_TIMEOUT = 408
_TOO_LARGE = 413
_BAD_REQUEST = 400
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
#: Statuses by which a host promises that a request has not run.
_PROMISES = frozenset((408, 421, 429, 503))

_log = logbook.Logger('gateway')


class GatewayServer:
    """Serves callers. Use :func:`create_server`.

    :param routes: the routes in force; ``None`` until they are known.
    :param site: its listener.
    """

    def __init__(
        self,
        runner: attempts.AttemptRunner,
        names: headers.HeaderNames,
        splits: tables.SplitCounter,
    ) -> None:
        """Keep the parts; nothing is opened yet."""
        self.routes: tables.RouteTable | None = None
        self._runner = runner
        self._names = names
        self._splits = splits
        self.site = sites.create_site(self.handle, heads.UNKNOWN_LIMITS)

    def put_in_force(self, settings: terms.RoutingSettings) -> None:
        """Handle requests by these routes and limits from now on."""
        self.routes = tables.RouteTable(settings)
        self.site.change_limits(_create_head_limits(settings.limits))

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer one request."""
        started = asyncio.get_running_loop().time()
        routes = self.routes
        if routes is None:
            return self._refuse()
        path = request.raw_path.partition('?')[0]
        route = routes.match(request.headers.get('Host', ''), path)
        if route is None:
            return web.Response(status=_NOT_FOUND)
        if requests.check_framing(request.headers):
            return _close(web.Response(status=_BAD_REQUEST))
        limits = routes.settings.limits
        if (request.content_length or 0) > limits.body_bytes:
            return _close(web.Response(status=_TOO_LARGE))
        deadline = started + self._find_seconds(request, route)
        body = None
        if request.body_exists:
            body = await self._read_body(request, limits, deadline)
            if body.fault is not None:
                return _close(web.Response(status=_find_status(body.fault)))
        return await self._run(request, route, body, deadline)

    async def _run(
        self,
        request: web.BaseRequest,
        route: terms.RouteTerms,
        body: bodies.RequestBody | None,
        deadline: float,
    ) -> web.Response:
        attempt = request.headers.get(self._names.attempt, '')
        outgoing = exchanges.Outgoing(
            request.method,
            request.raw_path,
            requests.copy_headers(request.headers),
            body,
            attempt,
            deadline,
        )
        size = 0 if body is None else body.size
        service = self._splits.choose(route)
        job = attempts.Job(route, service, outgoing, size)
        concluded = await self._runner.run(job)
        if concluded.answer is not None:
            return self._pass_on(concluded.answer, concluded)
        refusal = concluded.refusal
        _log.info(
            'request ended without an answer',
            extra={
                'attempt': attempt,
                'route': route.name,
                'service': service,
                'reason': '' if refusal is None else refusal.value,
                'is_not_run': concluded.proof is not None,
            },
        )
        if concluded.proof is not None:
            return self._refuse(concluded.retry_after)
        if concluded.refusal is attempts.Refusal.NO_TIME:
            return web.Response(status=_GATEWAY_TIMEOUT)
        return web.Response(status=_BAD_GATEWAY)

    def _find_seconds(
        self,
        request: web.BaseRequest,
        route: terms.RouteTerms,
    ) -> float:
        """Return the time that a request has: its caller's or its route's."""
        text = request.headers.get(self._names.deadline, '')
        limits = [DEFAULT_SECONDS]
        if text.isdecimal():
            limits = [int(text) / _MILLISECONDS]
        if route.timeout is not None:
            limits.append(route.timeout)
        return min(limits)

    async def _read_body(
        self,
        request: web.BaseRequest,
        limits: terms.CallerLimits,
        deadline: float,
    ) -> bodies.RequestBody:
        if 'Expect' in request.headers:
            await bodies.send_continue(request)
        body = bodies.RequestBody(
            request.content,
            limits.body_bytes,
            limits.idle_seconds,
            deadline,
            KEPT_BYTES,
        )
        body.fault = await body.read_prefix()
        return body

    def _pass_on(
        self,
        answer: exchanges.Answer,
        concluded: attempts.Conclusion,
    ) -> web.Response:
        """Return an upstream's answer, or a failure if it promises too much.

        A status that promises that a request has not run is only passed on
        with the upstream's word for it, which is another outcome.
        """
        if answer.status in _PROMISES and concluded.proof is None:
            return web.Response(status=_BAD_GATEWAY)
        return web.Response(
            status=answer.status,
            reason=answer.reason,
            headers=requests.copy_headers(answer.headers),
            body=answer.body,
        )

    def _refuse(self, retry_after: float = 0.0) -> web.Response:
        """Return the promise that a request has not run and never will."""
        seconds = f'{retry_after or RETRY_AFTER_SECONDS:.2f}'
        own = {self._names.retry_after: seconds}
        return web.Response(status=_UNAVAILABLE, headers=own)


class ReadinessServer:
    """Tells the platform's balancer whether to send callers.

    :param path: of the question.
    """

    def __init__(
        self,
        path: str,
        is_ready: typing.Callable[[], bool],
    ) -> None:
        """Keep the question; nothing is opened yet."""
        self._path = path
        self._is_ready = is_ready
        self._runner: web.ServerRunner | None = None

    async def start(self, address: identifiers.Address) -> None:
        """Listen on ``address``."""
        self._runner = web.ServerRunner(web.Server(self._answer))
        await self._runner.setup()
        ip, _, port = address.rpartition(':')
        await web.TCPSite(self._runner, ip, int(port)).start()

    async def close(self) -> None:
        """Close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != self._path:
            return web.Response(status=_NOT_FOUND)
        is_ready = self._is_ready()
        return web.Response(status=200 if is_ready else _UNAVAILABLE)


def create_server(
    runner: attempts.AttemptRunner,
    names: headers.HeaderNames,
    splits: tables.SplitCounter,
) -> GatewayServer:
    """Return a server that is not started."""
    return GatewayServer(runner, names, splits)


def _create_head_limits(limits: terms.CallerLimits) -> heads.HeadLimits:
    """Return the limits of connections.

    A caller may be silent before its first request as between two others.
    """
    return heads.HeadLimits(
        seconds=limits.header_seconds + HEAD_SLACK_SECONDS,
        head_bytes=limits.header_bytes,
        keepalive_seconds=limits.idle_seconds + IDLE_SLACK_SECONDS,
    )


def _find_status(fault: requests.RequestFault) -> int:
    """Return the status for a body that was not sent on.

    One that came too slowly is no fault of its caller, and has not run.
    """
    if fault.detail == bodies.SLOW_BODY:
        return _REQUEST_TIMEOUT
    return fault.status


def _close(response: web.Response) -> web.Response:
    response.force_close()
    return response
