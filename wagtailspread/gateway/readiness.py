"""HTTP server of a host for readiness checks of the balancer."""

import typing

from wagtailspread.core import identifiers
from wagtailspread.entry import heads, sites, web

#: Balancers keep a few connections each.
MAX_CONNECTIONS = 128
#: Memory that all connections may hold, in bytes. A check takes about 5 KB.
MAX_HELD_BYTES = 1_000_000

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
        self._site = sites.create_site(
            self._answer,
            heads.DEFAULT_LIMITS,
            max_connections=MAX_CONNECTIONS,
        )
        self._site.budget.total_bytes = MAX_HELD_BYTES

    async def start(self, address: identifiers.Address) -> None:
        """Listen on ``address``."""
        await self._site.start(address)

    async def close(self) -> None:
        """Close all connections."""
        await self._site.close()

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != self._path:
            return web.Response(status=_NOT_FOUND)
        is_ready = self._is_ready()
        return web.Response(status=_READY if is_ready else _UNAVAILABLE)
