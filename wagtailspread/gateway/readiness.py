"""HTTP server of a host for readiness checks of the balancer."""

import typing

from wagtailspread.core import identifiers
from wagtailspread.entry import listening, web

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
        self._listener: listening.HttpListener | None = None

    async def start(self, address: identifiers.Address) -> None:
        """Listen on ``address``."""
        self._listener = listening.create_listener(web.Server(self._answer))
        await self._listener.start(address)

    async def close(self) -> None:
        """Close all connections."""
        if self._listener is not None:
            await self._listener.close()

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != self._path:
            return web.Response(status=_NOT_FOUND)
        is_ready = self._is_ready()
        return web.Response(status=_READY if is_ready else _UNAVAILABLE)
