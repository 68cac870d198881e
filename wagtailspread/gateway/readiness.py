"""HTTP server of a host for readiness checks of the balancer."""

import typing

from aiohttp import web

from wagtailspread.core import identifiers

_NOT_FOUND = 404
_READY = 200
_UNAVAILABLE = 503


class ReadinessServer:
    """Tells the platform's balancer whether to send callers to this host.

    :param path: of the readiness check.
    """

    def __init__(
        self,
        path: str,
        is_ready: typing.Callable[[], bool],
    ) -> None:
        """Create a server that does not listen yet."""
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
        return web.Response(status=_READY if is_ready else _UNAVAILABLE)
