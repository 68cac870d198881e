"""The HTTP side of an entry host: callers, upstreams, balancer, operators."""

import json
import typing

from aiohttp import web

from returns import result

from wagtailspread.core import identifiers, outcomes
from wagtailspread.entry import announcements, answers, forwarding, interfaces
from wagtailspread.entry import requests

#: Paths below this are the host's own.
OWN_PREFIX = '/-/'
#: Longest request line and header field, in bytes.
MAX_HEADER_BYTES = 8190


class Readiness(typing.Protocol):
    """Tells whether the balancer should send callers here."""

    def is_ready(self) -> bool:
        """Tell whether this host wants new callers."""


class EntryServer:
    """Serves HTTP. Use :func:`create_server`."""

    def __init__(
        self,
        routing: interfaces.Routing,
        forwarder: forwarding.Forwarder,
        sink: interfaces.AnnouncementSink,
        readiness: Readiness,
        read_status: typing.Callable[[], dict[str, typing.Any]],
    ) -> None:
        """Keep the parts; nothing is opened yet."""
        self._routing = routing
        self._forwarder = forwarder
        self._sink = sink
        self._readiness = readiness
        self._read_status = read_status
        self._runner: web.ServerRunner | None = None

    async def start(self, address: identifiers.Address) -> identifiers.Address:
        """Listen on ``address`` and return it with the port in use."""
        ip, _, port = address.rpartition(':')
        server = web.Server(
            self.handle,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        site = web.TCPSite(self._runner, ip, int(port))
        await site.start()
        bound = self._runner.addresses[0]
        return identifiers.Address(f'{bound[0]}:{bound[1]}')

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        if request.path.startswith(OWN_PREFIX):
            return await self._handle_own(request)
        checked = requests.check_head(
            request.method,
            request.path_qs,
            request.path,
            request.headers,
            self._routing,
        )
        if isinstance(checked, result.Success):
            return await self._forwarder.forward(request, checked.unwrap())
        fault = checked.failure()
        return answers.FleetAnswer(
            fault.status,
            outcomes.Outcome.NOT_RUN,
            fault.reason.value,
        ).to_response()

    async def _handle_own(
        self,
        request: web.BaseRequest,
    ) -> web.StreamResponse:
        if request.path == '/-/announce':
            return await self._announce(request)
        if request.path == '/-/ready':
            ready = self._readiness.is_ready()
            return web.Response(status=200 if ready else 503)
        if request.path == '/-/live':
            return web.Response(status=200)
        if request.path == '/-/status':
            return web.Response(
                text=json.dumps(self._read_status()),
                content_type='application/json',
            )
        return web.Response(status=404)

    async def _announce(self, request: web.BaseRequest) -> web.StreamResponse:
        parsed = announcements.parse_announcement(await request.read())
        if isinstance(parsed, result.Success):
            self._sink.announce(parsed.unwrap())
            return web.Response(status=204)
        fault = parsed.failure()
        return web.Response(status=fault.status, text=fault.detail)


def create_server(
    routing: interfaces.Routing,
    forwarder: forwarding.Forwarder,
    sink: interfaces.AnnouncementSink,
    readiness: Readiness,
    read_status: typing.Callable[[], dict[str, typing.Any]],
) -> EntryServer:
    """Return a server that is not started."""
    return EntryServer(routing, forwarder, sink, readiness, read_status)
