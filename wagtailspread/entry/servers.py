"""HTTP server of an entry host.

It serves callers, upstreams, the load balancer and operators.
"""

import asyncio
import json
import typing

from aiohttp import http, web

from returns import result

from wagtailspread.core import identifiers, outcomes
from wagtailspread.entry import announcements, answers, bodies, forwarding
from wagtailspread.entry import executions, heads, intakes, lookups
from wagtailspread.entry import requests, sites

#: Prefix of the paths that the host answers itself.
INTERNAL_PREFIX = '/-/'

_NO_CONTENT = 204
_BAD_REQUEST = 400
_REQUEST_TIMEOUT = 408
_TOO_LARGE = 413
#: Timeout for receiving an announcement, in seconds.
_ANNOUNCE_SECONDS = 2.0
#: Statuses of an announcement that was not received as a whole.
_BODY_STATUSES: dict[type[Exception], int] = {
    TimeoutError: _REQUEST_TIMEOUT,
    intakes.BodyDropped: bodies.UNAVAILABLE,
    web.RequestPayloadError: _BAD_REQUEST,
}
_BODY_ERRORS = tuple(_BODY_STATUSES)
_OLDEST_VERSION = http.HttpVersion10
_LAGGING = requests.RequestFault(
    bodies.UNAVAILABLE,
    outcomes.RefusalReason.NOT_CURRENT,
    'the key is not known, and the host may lag',
)


class Readiness(typing.Protocol):
    """Readiness of a host for the load balancer."""

    def is_ready(self) -> bool:
        """Return whether this host accepts new callers."""


class KeyGuard(typing.Protocol):
    """Decides whether the host may refuse an unknown key, and records it."""

    async def confirm(self) -> bool:
        """Make sure, within a short time, that the host has all keys.

        :returns: whether it has; the active keys may have changed.
        """

    def record_refused_key(self, status: int) -> None:
        """Log and count a request that was refused for its key.

        :param status: of the response.
        """


class TrustedKeys:
    """Guard of a host whose configuration is always the newest one."""

    async def confirm(self) -> bool:
        """Return that the host has all keys."""
        return True

    def record_refused_key(self, status: int) -> None:
        """Record nothing."""


class EntryServer:
    """Serves HTTP. Use :func:`create_server`."""

    def __init__(
        self,
        routing: lookups.Routing,
        forwarder: forwarding.Forwarder,
        receiver: announcements.AnnouncementReceiver,
        readiness: Readiness,
        read_status: typing.Callable[[], dict[str, typing.Any]],
        limits: heads.RequestLimits,
        read_metrics: typing.Callable[[], bytes] = bytes,
        key_guard: KeyGuard | None = None,
    ) -> None:
        """Store the collaborators; nothing is opened yet."""
        self._key_guard = key_guard or TrustedKeys()
        self._routing = routing
        self._forwarder = forwarder
        self._receiver = receiver
        self._readiness = readiness
        self._read_status = read_status
        self._read_metrics = read_metrics
        self.site = sites.create_site(self.handle, limits)

    async def start(self, address: identifiers.Address) -> identifiers.Address:
        """Listen on ``address`` and return it with the port in use."""
        return await self.site.start(address)

    def close_after_answers(self) -> None:
        """Close each connection of a caller after its next answer."""
        self.site.close_after_answers()

    async def stop_listening(self) -> None:
        """Stop accepting connections; the open ones stay open."""
        await self.site.stop_listening()

    def close_idle(self) -> int:
        """Close connections without a request; return how many stay open."""
        return self.site.close_idle()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        await self.site.close()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        target = request.raw_path
        if target.startswith(INTERNAL_PREFIX):
            return await self._handle_internal(request, target)
        if request.version < _OLDEST_VERSION:
            return _refuse_version(request.version)
        checked = await self._check_head(request)
        execution = executions.ExecutionRecord()
        if isinstance(checked, result.Success):
            head = checked.unwrap()
            return await self._forwarder.forward(request, head, execution)
        proof = execution.prove_not_run()
        return answers.create_fault(checked.failure(), proof).to_response()

    async def _check_head(
        self, request: web.BaseRequest
    ) -> requests.HeadResult:
        """Return the validated head of a request, or its fault.

        A key that is not known may be that of a newer version.
        """
        checked = self._check_once(request)
        if not _has_unknown_key(checked):
            return checked
        if await self._key_guard.confirm():
            checked = self._check_once(request)
            if not _has_unknown_key(checked):
                return checked
        else:
            checked = result.Failure(_LAGGING)
        self._key_guard.record_refused_key(checked.failure().status)
        return checked

    def _check_once(self, request: web.BaseRequest) -> requests.HeadResult:
        return requests.check_head(
            request.method, request.raw_path, request.headers, self._routing
        )

    async def _handle_internal(
        self,
        request: web.BaseRequest,
        path: str,
    ) -> web.StreamResponse:
        if path == '/-/announce':
            return await self._announce(request)
        if path == '/-/metrics':
            return web.Response(
                body=self._read_metrics(),
                content_type='text/plain',
            )
        if path == '/-/ready':
            ready = self._readiness.is_ready()
            return web.Response(status=200 if ready else 503)
        if path == '/-/live':
            return web.Response(status=200)
        if path == '/-/status':
            return web.Response(
                text=json.dumps(self._read_status()),
                content_type='application/json',
            )
        return web.Response(status=404)

    async def _announce(self, request: web.BaseRequest) -> web.StreamResponse:
        length = request.content_length
        is_sized = length is not None
        if request.method != 'POST' or not is_sized:
            return web.Response(status=_BAD_REQUEST)
        if (length or 0) > announcements.MAX_ANNOUNCEMENT_BYTES:
            return web.Response(status=_TOO_LARGE)
        try:
            async with asyncio.timeout(_ANNOUNCE_SECONDS):
                body = await request.read()
        except _BODY_ERRORS as error:
            return web.Response(status=_BODY_STATUSES[type(error)])
        fault = self._receiver.receive(body)
        if fault is None:
            return web.Response(status=_NO_CONTENT)
        return web.Response(status=fault.status, text=fault.detail)


def _has_unknown_key(checked: requests.HeadResult) -> bool:
    if isinstance(checked, result.Success):
        return False
    return checked.failure().reason is outcomes.RefusalReason.UNKNOWN_KEY


def _refuse_version(version: http.HttpVersion) -> web.StreamResponse:
    fault = requests.RequestFault(
        _BAD_REQUEST,
        outcomes.RefusalReason.BAD_REQUEST,
        'HTTP version: expected 1.0 or later,'
        f' got {version.major}.{version.minor}',
        closes=True,
    )
    proof = executions.ExecutionRecord().prove_not_run()
    return answers.create_fault(fault, proof).to_response()


def create_server(
    routing: lookups.Routing,
    forwarder: forwarding.Forwarder,
    receiver: announcements.AnnouncementReceiver,
    readiness: Readiness,
    read_status: typing.Callable[[], dict[str, typing.Any]],
    limits: heads.RequestLimits = heads.DEFAULT_LIMITS,
    read_metrics: typing.Callable[[], bytes] = bytes,
    key_guard: KeyGuard | None = None,
) -> EntryServer:
    """Return a server that is not started.

    :param key_guard: is asked before an unknown key is refused; ``None`` for a
        configuration that never changes.
    """
    return EntryServer(
        routing,
        forwarder,
        receiver,
        readiness,
        read_status,
        limits,
        read_metrics,
        key_guard,
    )
