"""HTTP server of a host for callers."""

import asyncio
import dataclasses
import functools
import typing

from wagtailspread.entry import bodies, deliveries, heads, requests, sites
from wagtailspread.entry import web
from wagtailspread.gateway import admissions, attempts, exchanges, fingerprints
from wagtailspread.gateway import headers, limits, response_logs, responses
from wagtailspread.gateway import route_waits, stops
from wagtailspread.routing import tables, terms
from wagtailspread.workspaces import revocations

#: Bytes of a request body that are buffered before it is sent. A body that
#: fits can be sent to a second upstream if the first one does not run it.
REPLAY_BUFFER_BYTES = 1024 * 1024
#: Time limit of a request whose caller sets none, in seconds. A shorter timeout
#: of the route takes precedence.
DEFAULT_SECONDS = 30.0
#: Longest time limit of a request, in seconds.
MAX_SECONDS = 86_400.0

_MILLISECONDS = 1000
_REQUEST_TIMEOUT = 408
_TOO_LARGE = 413
_BAD_REQUEST = 400

_BODY_REASONS = {
    _BAD_REQUEST: response_logs.Reason.BODY_BROKEN,
    _REQUEST_TIMEOUT: response_logs.Reason.BODY_SLOW,
    _TOO_LARGE: response_logs.Reason.BODY_TOO_LARGE,
}


class GatewayServer:
    """Serves callers. Use :func:`create_server`.

    :param routes: active routes; ``None`` until a configuration is known.
    :param is_current: tells whether the routes are of the newest version.
    :param site: listener for callers.
    :param deliveries: memory budget for responses that clients do not read.
    :param response_log: log lines and counts of unsuccessful responses.
    """

    def __init__(
        self,
        runner: attempts.AttemptRunner,
        names: headers.HeaderNames,
        splits: tables.SplitCounter,
        is_current: typing.Callable[[], bool],
        stop_limit: stops.StopLimit | None = None,
        is_behind: typing.Callable[[], bool] | None = None,
    ) -> None:
        """Create a server that does not listen yet."""
        self._stop_limit = stop_limit or stops.StopLimit()
        self._is_behind = is_behind or bool
        self.is_current = is_current
        self.routes: tables.RouteTable | None = None
        self._responder = responses.create_responder(
            names, is_current, self._find_version
        )
        self.response_log = self._responder.log
        self._runner = runner
        self._names = names
        self._splits = splits
        self.deliveries = deliveries.DeliveryBudget(deliveries.compute_total())
        self.site = sites.create_site(
            self.handle,
            heads.UNKNOWN_LIMITS,
            is_current,
            is_pipelining=True,
            unread_budget=self.deliveries,
        )

    def apply_settings(self, settings: terms.RoutingSettings) -> None:
        """Apply routes, limits and workspaces to all further requests."""
        self.routes = tables.RouteTable(settings)
        self._responder.record_change()
        self._runner.watch.apply()
        self.site.change_limits(limits.create_limits(settings.limits))

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Return the response to one request."""
        started = asyncio.get_running_loop().time()
        if self.routes is None:
            reason = response_logs.Reason.NO_ROUTES
            return self._responder.refuse(reason, request, {})
        fault = requests.check_framing(request.headers)
        if fault:
            reason = response_logs.Reason.BAD_FRAMING
            return _close(
                self._responder.answer(
                    _BAD_REQUEST, reason, request, {'fault': fault}
                )
            )
        seconds = self._get_time_limit(request)
        admission = await self._admit(request, self.routes, started + seconds)
        if isinstance(admission, admissions.Rejection):
            return self._responder.reject(
                admission.reason, request, admission.describe()
            )
        if admission.route.timeout is not None:
            seconds = min(seconds, admission.route.timeout)
        return await self._serve(request, admission, started + seconds)

    async def _admit(
        self,
        request: web.BaseRequest,
        routes: tables.RouteTable,
        deadline: float,
    ) -> admissions.Admission | admissions.Rejection:
        """Return whether and how a request is served.

        A newer version may allow what this one forbids. A host that knows of
        one waits for it before it rejects the request.
        """
        until = route_waits.find_end(deadline)
        while True:
            admission = admissions.admit(routes, request)
            if isinstance(admission, admissions.Admission):
                return admission
            newer = await self._wait_for_newer(routes, until)
            if newer is None:
                return admission
            routes = newer

    async def _wait_for_newer(
        self,
        routes: tables.RouteTable,
        until: float,
    ) -> tables.RouteTable | None:
        """Return newer routes, or ``None`` if no newer version is known.

        :param until: end of the wait, in seconds of the event loop clock.
        """
        await route_waits.wait_while(
            lambda: self._is_behind() and self.routes is routes, until
        )
        return None if self.routes is routes else self.routes

    async def _serve(
        self,
        request: web.BaseRequest,
        admission: admissions.Admission,
        deadline: float,
    ) -> web.Response:
        """Return the response to a request with a route and a known key."""
        settings = admission.routes.settings
        details: responses.Details = {
            'route': admission.route.name,
            'limits_version': settings.version,
        }
        refusal = self._refuse_unread(request, deadline, details)
        if refusal is not None:
            return _close(refusal)
        body = None
        if request.body_exists:
            try:
                async with self._stop_limit.limit():
                    body = await self._read_body(request, admission, deadline)
            except TimeoutError:
                details['fault'] = 'the host stops'
            except revocations.KeyRevoked:
                return self._reject_revoked(request, admission)
        if request.body_exists and (body is None or body.fault is not None):
            return _close(self._answer_body_fault(body, request, details))
        newer = admissions.renew(admission, self.routes, request)
        if isinstance(newer, admissions.Rejection):
            return self._reject_revoked(request, admission)
        return await self._run(request, newer, body, deadline)

    def _refuse_unread(
        self,
        request: web.BaseRequest,
        deadline: float,
        details: responses.Details,
    ) -> web.Response | None:
        """Return a refusal that does not depend on the body, or ``None``."""
        if (request.content_length or 0) > self.site.limits.body_bytes:
            reason = response_logs.Reason.BODY_TOO_LARGE
            return self._responder.forbid(_TOO_LARGE, reason, request, details)
        if not self._stop_limit.may_send(deadline):
            reason = response_logs.Reason.STOPPING
            return self._responder.refuse(reason, request, details)
        return None

    async def _run(
        self,
        request: web.BaseRequest,
        admission: admissions.Admission,
        body: bodies.RequestBody | None,
        deadline: float,
    ) -> web.Response:
        outgoing = exchanges.OutgoingRequest(
            request.method,
            request.raw_path,
            admission.copy_headers(request, self._names),
            body,
            request.headers.get(self._names.attempt, ''),
            deadline,
            fingerprints.compute(request, body),
        )
        routed = self._route(request, admission, outgoing)
        result = await self._runner.run(routed)
        newer = await self._find_newer(request, admission, result, deadline)
        if isinstance(newer, admissions.Rejection):
            is_sent = result.sends > 0
            return self._reject_revoked(request, admission, is_sent=is_sent)
        if newer is not None:
            copied = newer.copy_headers(request, self._names)
            outgoing = dataclasses.replace(outgoing, headers=copied)
            routed = self._route(request, newer, outgoing)
            result = await self._runner.run(routed, result)
        details = {
            'route': routed.route.name,
            'service': routed.service,
            'is_sent': result.sends > 0,
            'is_not_run': result.proof is not None,
            'upstream': result.upstream,
        }
        if result.response is not None:
            return self._responder.forward(
                result.response, result, request, details
            )
        if body is not None and body.fault is not None:
            details['fault'] = body.fault.detail
        return self._responder.fail(result, request, details)

    async def _find_newer(
        self,
        request: web.BaseRequest,
        admission: admissions.Admission,
        result: attempts.RequestResult,
        deadline: float,
    ) -> admissions.Admission | admissions.Rejection | None:
        """Return how newer routes serve a request that older ones did not.

        :returns: ``None`` if its result is final.
        """
        if result.refusal is attempts.Refusal.KEY_REVOKED:
            newer = admissions.renew(admission, self.routes, request)
            is_rejected = isinstance(newer, admissions.Rejection)
            return newer if is_rejected or not result.sends else None
        if result.refusal is not attempts.Refusal.NOT_CURRENT or result.sends:
            return None
        if not await self._runner.wait_for_routes(deadline):
            return None
        newer = admissions.admit(self.routes or admission.routes, request)
        return None if newer.route is None else newer

    def _reject_revoked(
        self,
        request: web.BaseRequest,
        admission: admissions.Admission,
        *,
        is_sent: bool = False,
    ) -> web.Response:
        """Return the response to a request whose key is not known any more.

        :param is_sent: whether an upstream got the request and did not run it.
        """
        reason = response_logs.Reason.KEY_REVOKED
        details = {'route': admission.route.name, 'is_sent': is_sent}
        return self._responder.reject(reason, request, details)

    def _is_revoked(
        self,
        request: web.BaseRequest,
        admission: admissions.Admission,
    ) -> bool:
        """Tell whether the active version serves another key or workspace."""
        newer = admissions.renew(admission, self.routes, request)
        return not admission.is_like(newer)

    def _route(
        self,
        request: web.BaseRequest,
        admission: admissions.Admission,
        outgoing: exchanges.OutgoingRequest,
    ) -> attempts.RoutedRequest:
        return attempts.RoutedRequest(
            admission.route,
            self._splits.choose(admission.route),
            outgoing,
            0 if outgoing.body is None else outgoing.body.size,
            admission.workspace,
            admission.routes.settings.version,
            functools.partial(self._is_revoked, request, admission),
        )

    def _get_time_limit(self, request: web.BaseRequest) -> float:
        """Return the time limit that the caller sets, in seconds.

        :data:`DEFAULT_SECONDS` stands in for a missing limit.
        """
        text = request.headers.get(self._names.deadline, '')
        if text.isascii() and text.isdecimal():
            # ``float`` accepts any number of digits, ``int`` does not.
            return min(float(text) / _MILLISECONDS, MAX_SECONDS)
        return DEFAULT_SECONDS

    async def _read_body(
        self,
        request: web.BaseRequest,
        admission: admissions.Admission,
        deadline: float,
    ) -> bodies.RequestBody:
        """Return the body after reading its prefix.

        :raises revocations.KeyRevoked: if the key is revoked meanwhile.
        """
        if 'Expect' in request.headers:
            await bodies.send_continue(request)
        body = bodies.RequestBody(
            request.content,
            self.site.limits.body_bytes,
            admission.routes.settings.limits.idle_seconds,
            deadline,
            REPLAY_BUFFER_BYTES,
        )
        if admission.workspace is None:
            body.fault = await body.read_prefix()
            return body
        async with self._runner.watch.interrupt(
            lambda: isinstance(
                admissions.renew(admission, self.routes, request),
                admissions.Rejection,
            )
        ):
            body.fault = await body.read_prefix()
        return body

    def _answer_body_fault(
        self,
        body: bodies.RequestBody | None,
        request: web.BaseRequest,
        details: responses.Details,
    ) -> web.Response:
        """Return the response to a request body that was not forwarded.

        :param body: ``None`` if the host stops before it was received.
        """
        fault = None if body is None else body.fault
        if fault is None:
            reason = response_logs.Reason.STOPPING
            return self._responder.refuse(reason, request, details)
        status = _find_status(fault)
        found = {**details, 'fault': fault.detail}
        if status == bodies.UNAVAILABLE:
            reason = response_logs.Reason.HOST_FULL
            return self._responder.refuse(reason, request, found)
        is_limit = status == _TOO_LARGE
        responder = self._responder
        answer = responder.forbid if is_limit else responder.answer
        return answer(status, _BODY_REASONS[status], request, found)

    def _find_version(self) -> int | None:
        return None if self.routes is None else self.routes.settings.version


def create_server(
    runner: attempts.AttemptRunner,
    names: headers.HeaderNames,
    splits: tables.SplitCounter,
    is_current: typing.Callable[[], bool],
    stop_limit: stops.StopLimit | None = None,
    is_behind: typing.Callable[[], bool] | None = None,
) -> GatewayServer:
    """Return a server that is not started.

    :param is_current: tells whether the active configuration is the newest
        version.
    :param stop_limit: ends open requests when the host stops.
    :param is_behind: tells whether a newer version than the active one is
        known to exist.
    """
    return GatewayServer(
        runner, names, splits, is_current, stop_limit, is_behind
    )


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
