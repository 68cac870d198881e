"""A protected HTTP listener that can be stopped gracefully."""

import resource
import typing

from wagtailspread.core import identifiers
from wagtailspread.entry import deliveries, guarded_servers, heads, holdings
from wagtailspread.entry import listening, protections, web

#: Maximum number of new connections that wait to be accepted.
BACKLOG = 1024

#: Descriptors that a process keeps for its links, files and upstreams: the open
#: limit divided by this.
_RESERVED_DIVISOR = 4

Handler = typing.Callable[
    [web.BaseRequest],
    typing.Awaitable[web.StreamResponse],
]


class GuardedSite:
    """Serves callers at one address. Use :func:`create_site`.

    :param budget: memory budget for what all connections hold.
    :param deliveries: memory budget for responses that clients do not read, if
        responses are held in full.
    :param address: where it listens; empty before the start.
    """

    def __init__(
        self,
        handler: Handler,
        window: heads.LimitWindow,
        max_connections: int | None = None,
        *,
        is_cancelling: bool = True,
        is_pipelining: bool = False,
        unread_budget: deliveries.DeliveryBudget | None = None,
    ) -> None:
        """Start without opening a socket."""
        self._max_connections = max_connections or find_max_connections()
        self._is_cancelling = is_cancelling
        self._is_pipelining = is_pipelining
        self.budget = holdings.HoldingBudget(holdings.compute_total())
        self.deliveries = unread_budget
        self._handler = handler
        self._window = window
        self._listener: listening.HttpListener | None = None
        self._server: guarded_servers.GuardedServer | None = None
        self._is_closing = False
        self.address = identifiers.Address('')

    async def start(self, address: identifiers.Address) -> identifiers.Address:
        """Listen on ``address`` and return it with the port in use."""
        self._server = guarded_servers.create_server(
            self._handle,
            self._window,
            self.budget,
            self._max_connections,
            self._handle_checked if self._is_pipelining else None,
            self.deliveries,
            is_cancelling=self._is_cancelling,
        )
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
        """Close each connection of a caller after its next answer.

        If pipelined requests behind it are handled already, the connection is
        closed after the last of them, so that none of these is lost.
        """
        self._is_closing = True
        if self._server is not None:
            self._server.usage.is_closed = True

    def count_pipelined(self) -> int:
        """Return the number of requests handled ahead of their turn."""
        return 0 if self._server is None else self._server.usage.started

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

    def abort_unread(self) -> None:
        """Close the connections whose clients have not read a response."""
        if self._server is not None:
            self._server.abort_unread()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._listener is not None:
            await self._listener.close()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        protocol = request.protocol
        if not isinstance(protocol, protections.GuardedProtocol):
            return await self._handler(request)
        ahead = protocol.begin_request(request._message)
        try:
            if ahead is None:
                response = await self._handle_checked(request)
            else:
                response = await ahead
        finally:
            protocol.end_request()
        # The next head could not be distinguished from the rest of an unread
        # body, which the caller may or may not send.
        is_unread = not request.content.is_eof()
        is_last = self._is_closing and not protocol.has_pipelined
        if (is_last or is_unread) and not response.prepared:
            response.force_close()
        return response

    async def _handle_checked(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Return the response to a request, or refuse a head too large."""
        protocol = request.protocol
        if isinstance(protocol, protections.GuardedProtocol):
            refusal = protocol.check_head(request)
            if refusal is not None:
                return refusal
        return await self._handler(request)


def create_site(
    handler: Handler,
    limits: heads.RequestLimits,
    is_newest: typing.Callable[[], bool] = heads.assume_newest,
    max_connections: int | None = None,
    *,
    is_cancelling: bool = True,
    is_pipelining: bool = False,
    unread_budget: deliveries.DeliveryBudget | None = None,
) -> GuardedSite:
    """Return a listener that is not started.

    :param is_newest: returns whether the limits applied last are the newest
        ones; until they are, a request is refused only if
        :data:`heads.UNKNOWN_LIMITS` forbid it too.
    :param max_connections: of callers; ``None`` for the most that leaves
        descriptors for the rest of the process.
    :param is_cancelling: whether a handler is cancelled when its caller leaves.
    :param is_pipelining: whether pipelined requests are handled concurrently;
        the handler must return responses that have not been sent.
    :param unread_budget: memory for responses that clients do not read;
        ``None`` for handlers that send them piece by piece.
    """
    return GuardedSite(
        handler,
        heads.LimitWindow(limits, is_newest),
        max_connections,
        is_cancelling=is_cancelling,
        is_pipelining=is_pipelining,
        unread_budget=unread_budget,
    )


def find_max_connections() -> int:
    """Return how many connections leave descriptors for other purposes."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return soft - soft // _RESERVED_DIVISOR
