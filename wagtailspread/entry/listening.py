"""Listens for HTTP requests at one address."""

import asyncio

from wagtailspread.core import identifiers
from wagtailspread.entry import web

#: Maximum number of new connections that wait to be accepted.
DEFAULT_BACKLOG = 128
#: Time for which open requests may go on while a listener closes, in seconds.
SHUTDOWN_SECONDS = 60.0


class HttpListener:
    """Accepts connections for a server. Use :func:`create_listener`."""

    def __init__(self, server: web.Server, backlog: int) -> None:
        """Start without opening a socket."""
        self._server = server
        self._backlog = backlog
        self._sockets: asyncio.Server | None = None

    async def start(self, address: identifiers.Address) -> identifiers.Address:
        """Listen on ``address`` and return it with the port in use."""
        ip, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        self._sockets = await loop.create_server(
            self._server, ip, int(port), backlog=self._backlog
        )
        bound = self._sockets.sockets[0].getsockname()
        return identifiers.Address(f'{bound[0]}:{bound[1]}')

    def stop(self) -> None:
        """Stop accepting connections; the open ones stay open."""
        if self._sockets is not None:
            self._sockets.close()

    async def close(self) -> None:
        """Stop accepting connections and close all of them."""
        self.stop()
        if self._sockets is None:
            return
        # Connections that were just accepted are known to the server then.
        await asyncio.sleep(0)
        self._server.pre_shutdown()
        await self._server.shutdown(SHUTDOWN_SECONDS)


def create_listener(
    server: web.Server, backlog: int = DEFAULT_BACKLOG
) -> HttpListener:
    """Return a listener that is not started.

    :param backlog: maximum number of new connections that wait to be accepted.
    """
    return HttpListener(server, backlog)
