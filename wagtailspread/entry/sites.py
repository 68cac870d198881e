"""A protected HTTP listener that can be stopped gracefully."""

import typing

from wagtailspread.core import identifiers
from wagtailspread.entry import heads, listening, protections, web

#: Maximum number of new connections that wait to be accepted.
BACKLOG = 1024

Handler = typing.Callable[
    [web.BaseRequest],
    typing.Awaitable[web.StreamResponse],
]


class GuardedSite:
    """Serves callers at one address. Use :func:`create_site`.

    :param address: where it listens; empty before the start.
    """

    def __init__(
        self,
        handler: Handler,
        window: heads.LimitWindow,
    ) -> None:
        """Start without opening a socket."""
        self._handler = handler
        self._window = window
        self._listener: listening.HttpListener | None = None
        self._server: protections.GuardedServer | None = None
        self._is_closing = False
        self.address = identifiers.Address('')

    async def start(self, address: identifiers.Address) -> identifiers.Address:
        """Listen on ``address`` and return it with the port in use."""
        self._server = protections.create_server(self._handle, self._window)
        self._listener = listening.create_listener(self._server, BACKLOG)
        self.address = await self._listener.start(address)
        return self.address

    @property
    def limits(self) -> heads.RequestLimits:
        """Return the limits beyond which a request is currently refused."""
        return self._window.compute_loosest()

    def change_limits(self, limits: heads.RequestLimits) -> None:
        """Apply new limits, also to connections that are open."""
        self._window.change(limits)

    def close_after_answers(self) -> None:
        """Close each connection of a caller after its next answer."""
        self._is_closing = True

    async def stop_listening(self) -> None:
        """Stop accepting connections; the open ones stay open."""
        if self._listener is not None:
            self._listener.stop()

    def close_idle(self) -> int:
        """Close the connections that wait for a request.

        A connection on which bytes arrived a moment ago stays open, since the
        first request of a new caller may be on its way.

        :returns: number of connections that are left open, with a request or
            without one.
        """
        return 0 if self._server is None else self._server.close_idle()

    def count_active(self) -> int:
        """Return the number of requests being received or handled."""
        return 0 if self._server is None else self._server.count_active()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._listener is not None:
            await self._listener.close()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        response: web.StreamResponse | None
        protocol = protections.begin_request(request)
        if protocol is None:
            return await self._handler(request)
        try:
            response = protocol.check_head(request)
            if response is None:
                response = await self._handler(request)
        finally:
            protocol.end_request()
        # The next head could not be distinguished from the rest of an unread
        # body, which the caller may or may not send.
        is_unread = not request.content.is_eof()
        if (self._is_closing or is_unread) and not response.prepared:
            response.force_close()
        return response


def create_site(
    handler: Handler,
    limits: heads.RequestLimits,
    is_newest: typing.Callable[[], bool] = heads.assume_newest,
) -> GuardedSite:
    """Return a listener that is not started.

    :param is_newest: returns whether the limits applied last are the newest
        ones; until they are, a request is refused only if
        :data:`heads.UNKNOWN_LIMITS` forbid it too.
    """
    return GuardedSite(handler, heads.LimitWindow(limits, is_newest))
