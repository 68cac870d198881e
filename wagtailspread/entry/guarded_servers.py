"""HTTP server whose connections are protected from their callers."""

import asyncio
import itertools
import math

import logbook

from wagtailspread.entry import deliveries, heads, holdings, pipelines
from wagtailspread.entry import protections, web

#: Interval between checks for late heads and idle connections, in seconds.
SWEEP_SECONDS = 0.25

_log = logbook.Logger('connections')


class GuardedServer(web.Server):
    """Creates guarded protocols and enforces their timeouts.

    :param window: active and recently replaced limits.
    :param budget: memory budget for what all connections hold.
    :param read_buffer: takes the bytes of all connections as they are read.
    :param handle_ahead: handles a pipelined request; its response is sent when
        the turn of the request has come.
    :param deliveries: memory budget for responses that are not read, if any.
    :param is_pipelining: whether pipelined requests are handled concurrently.
    :param usage: of the pipelined requests of all connections.
    """

    def __init__(
        self,
        handler: protections.Handler,
        window: heads.LimitWindow,
        budget: holdings.HoldingBudget,
        max_connections: int,
        handle_ahead: protections.Handler | None = None,
        unread_budget: deliveries.DeliveryBudget | None = None,
    ) -> None:
        """Start the periodic timeout checks in the running event loop."""
        super().__init__(handler)
        self._max_connections = max_connections
        self.window = window
        self.budget = budget
        self.deliveries = unread_budget
        self.read_buffer = memoryview(bytearray(protections.READ_BYTES))
        self.handle_ahead = handle_ahead or handler
        self.is_pipelining = handle_ahead is not None
        self.usage = pipelines.PipelineUsage()
        self._sweep_task = asyncio.create_task(self._sweep())

    def __call__(self) -> web.RequestHandler:
        """Create the protocol of a new connection."""
        limits = self.window.current
        return protections.GuardedProtocol(
            self,
            limits,
            loop=asyncio.get_running_loop(),
            access_log=None,
            lingering_time=limits.linger_seconds,
            auto_decompress=False,
            # The sweep closes idle connections according to the active limits.
            keepalive_timeout=math.inf,
            read_bufsize=protections.READ_BYTES,
        )

    def limit_connections(self, newest: protections.GuardedProtocol) -> None:
        """Close a connection if there are more than allowed.

        It is the one that has been open for the longest time among those that
        wait for a request, else among those with an incomplete request, else
        the newest. None of them has a request that may be running.
        """
        if len(self._connections) <= self._max_connections:
            return
        others = [
            protocol
            for protocol in self._connections
            if isinstance(protocol, protections.GuardedProtocol)
            and protocol is not newest
        ]
        waiting = (one for one in others if one.is_waiting)
        incomplete = (one for one in others if one.is_incomplete)
        closed = next(itertools.chain(waiting, incomplete), newest)
        _log.info(
            'too many connections',
            extra={'connections': len(others) + 1, **closed.describe()},
        )
        closed.force_close()

    def count_active(self) -> int:
        """Return the number of requests being received or handled."""
        active = [
            protocol
            for protocol in self.connections
            if isinstance(protocol, protections.GuardedProtocol)
            and protocol.is_active
        ]
        return len(active)

    def close_idle(self) -> int:
        """Close connections without a request; return how many stay open."""
        now = asyncio.get_running_loop().time()
        left = [
            protocol
            for protocol in list(self.connections)
            if isinstance(protocol, protections.GuardedProtocol)
            and protocol.close_idle(now)
        ]
        return len(left)

    def abort_unread(self) -> None:
        """Close the connections whose clients have not read a response."""
        for protocol in list(self.connections):
            if isinstance(protocol, protections.GuardedProtocol):
                if protocol.is_unread:
                    protocol.abort()

    async def shutdown(self, timeout: float | None = None) -> None:
        """Close all connections."""
        self._sweep_task.cancel()
        await super().shutdown(timeout)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            now = asyncio.get_running_loop().time()
            for protocol in self.connections:
                if isinstance(protocol, protections.GuardedProtocol):
                    protocol.check_reading(now)
                    protocol.enforce_timeouts(now)
            if self.deliveries is not None:
                self.deliveries.end_stalled(now)


def create_server(
    handler: protections.Handler,
    window: heads.LimitWindow,
    budget: holdings.HoldingBudget,
    max_connections: int,
    handle_ahead: protections.Handler | None = None,
    unread_budget: deliveries.DeliveryBudget | None = None,
    *,
    is_cancelling: bool,
) -> GuardedServer:
    """Return a server.

    :param handle_ahead: handles pipelined requests concurrently; ``None`` to
        handle them one after another.
    :param unread_budget: memory for responses that clients do not read;
        ``None`` for handlers that send them piece by piece.
    :param is_cancelling: whether a handler is cancelled when its caller leaves.
    """
    server = GuardedServer(
        handler, window, budget, max_connections, handle_ahead, unread_budget
    )
    server.handler_cancellation = is_cancelling
    return server
