"""Connection pools for upstreams, one bounded pool per address.

A connection carries one request at a time. The connector records when an
exchange obtains its connection: no byte can have been sent before that, any
byte may have been sent afterwards. Connections belong to a generation; a new
generation starts when the open connections of a pool are suspected to be
silent (see :mod:`wagtailspread.entry.silence`).
"""

import asyncio
import contextvars
import functools
import socket
import typing
import weakref

from aiohttp import client, cookiejar

from wagtailspread.entry import executions, protocols

#: Idle connections are closed after this time, in seconds. It is shorter than
#: the idle timeout of upstreams, so that a request rarely uses a connection
#: that the upstream is closing.
KEEPALIVE_SECONDS = 15.0
#: Timeout for opening a connection, in seconds.
CONNECT_SECONDS = 1.0
#: Idle time before the first TCP keepalive probe, in seconds.
TCP_IDLE_SECONDS = 5
#: Interval between TCP keepalive probes, in seconds.
TCP_PROBE_SECONDS = 1
#: Number of unanswered keepalive probes after which a connection is closed.
TCP_PROBE_COUNT = 3
#: Maximum time that sent data may stay unacknowledged, in milliseconds.
TCP_USER_TIMEOUT_MS = 3000
#: Bytes of an answer that are buffered before reading from the upstream pauses.
READ_BUFFER_BYTES = 65536
#: Weight of the newest exchange in the moving average of a pool's duration.
_MEAN_WEIGHT = 0.1

#: No total timeout: the exchange enforces the deadline of a request.
TIMEOUT = client.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS)


class RepeatedAttempt(client.ClientError):
    """The HTTP client tried to resend a request on its own."""


_progress: contextvars.ContextVar[executions.AttemptProgress] = (
    contextvars.ContextVar(
        'exchange progress',
    )
)


class TrackingConnector(client.TCPConnector):
    """A connector that updates the progress of the current attempt."""

    def __init__(self, generation: int, **settings: typing.Any) -> None:
        """Create a connector without connections."""
        super().__init__(**settings)
        self.records: weakref.WeakKeyDictionary[
            typing.Any,
            executions.ConnectionRecord,
        ] = weakref.WeakKeyDictionary()
        self._generation = generation
        self._factory = self._create_factory()

    def _create_factory(self) -> typing.Any:
        """Return the factory of the protocols of new connections."""
        loop = asyncio.get_running_loop()
        return functools.partial(protocols.PooledProtocol, loop=loop)

    async def connect(
        self,
        req: typing.Any,
        traces: typing.Any,
        timeout: typing.Any,
    ) -> typing.Any:
        """Return a connection for the only attempt of this exchange.

        A connection that received bytes while it was idle is closed, since
        these would be parsed as the answer to this exchange.

        :raises RepeatedAttempt: if the exchange already had a connection.
        """
        progress = _progress.get()
        if progress.is_connected:
            raise RepeatedAttempt
        connection = await super().connect(req, traces, timeout)
        protocol = connection.protocol
        while protocol is None or protocol.should_close:
            connection.close()
            connection = await super().connect(req, traces, timeout)
            protocol = connection.protocol
        progress.is_connected = True
        record = self.records.get(protocol)
        if record is None:
            record = executions.ConnectionRecord(
                self._generation,
                asyncio.get_running_loop().time(),
            )
            self.records[protocol] = record
        else:
            progress.is_reused = True
        progress.connection = record
        if isinstance(protocol, protocols.PooledProtocol):
            protocol.begin_exchange()
            connection.add_callback(protocol.end_exchange)
        return connection


class Generation:
    """Connections of a pool that share one client session.

    :param number: position in the sequence of generations.
    :param limit: maximum number of connections.
    """

    def __init__(self, number: int, limit: int) -> None:
        """Create the session without opening a connection."""
        self.number = number
        self.open_exchanges = 0
        self.is_retired = False
        self.connector = TrackingConnector(
            number,
            limit=limit,
            keepalive_timeout=KEEPALIVE_SECONDS,
            socket_factory=create_socket,
        )
        self.session = client.ClientSession(
            connector=self.connector,
            cookie_jar=cookiejar.DummyCookieJar(),
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
        )


class UpstreamPool:
    """The connections of this host to one upstream.

    :param limit: maximum number of connections of one generation.
    """

    def __init__(self, address: str, limit: int) -> None:
        """Create the pool without opening a connection."""
        self.base_url = f'http://{address}'
        self.mean_seconds = 0.0
        self.last_used = 0.0
        self._limit = limit
        self._current = Generation(0, limit)
        self._retired: list[Generation] = []
        self._closing_tasks: set[asyncio.Task[None]] = set()

    @property
    def generation(self) -> int:
        """Return the number of the current generation."""
        return self._current.number

    @property
    def open_exchanges(self) -> int:
        """Return the number of unfinished exchanges in all generations."""
        retired = sum(generation.open_exchanges for generation in self._retired)
        return self._current.open_exchanges + retired

    def list_records(self) -> list[executions.ConnectionRecord]:
        """Return the records of the open connections."""
        generations = (*self._retired, self._current)
        return [
            record
            for generation in generations
            for record in generation.connector.records.values()
        ]

    def begin_exchange(self) -> Generation:
        """Return the generation for a new exchange.

        Each call must be followed by a call of :meth:`end_exchange`.
        """
        generation = self._current
        generation.open_exchanges += 1
        return generation

    def end_exchange(self, generation: Generation) -> None:
        """End an exchange; close its generation if retired and unused."""
        generation.open_exchanges -= 1
        if generation.is_retired and not generation.open_exchanges:
            self._retired.remove(generation)
            self._start_closing(generation)

    def record_success(
        self,
        progress: executions.AttemptProgress,
        seconds: float,
        now: float,
    ) -> None:
        """Record a complete answer and its duration.

        :param seconds: duration of the exchange.
        :param now: seconds on the host's clock.
        """
        if progress.connection is not None:
            progress.connection.succeeded_at = now
        if self.mean_seconds:
            difference = seconds - self.mean_seconds
            self.mean_seconds += _MEAN_WEIGHT * difference
        else:
            self.mean_seconds = seconds

    def renew(self) -> None:
        """Start a new generation for subsequent exchanges.

        The previous generation is closed when its exchanges have finished.
        At most one generation is retired at a time, so a pool never has more
        than twice its limit of connections.
        """
        if self._retired:
            return
        previous = self._current
        previous.is_retired = True
        self._current = Generation(previous.number + 1, self._limit)
        if previous.open_exchanges:
            self._retired.append(previous)
        else:
            self._start_closing(previous)

    async def close(self) -> None:
        """Close all connections."""
        for generation in (*self._retired, self._current):
            await generation.session.close()
        self._retired.clear()
        await asyncio.gather(*self._closing_tasks)

    def _start_closing(self, generation: Generation) -> None:
        closing = asyncio.create_task(generation.session.close())
        self._closing_tasks.add(closing)
        closing.add_done_callback(self._closing_tasks.discard)


class PoolTable:
    """The pools of this host, one for each upstream address.

    :param limit: maximum number of connections per upstream and generation.
    :param idle_seconds: time without exchanges after which a pool is closed.
    """

    def __init__(self, limit: int, idle_seconds: float = 60.0) -> None:
        """Create a table without pools."""
        self._limit = limit
        self._idle_seconds = idle_seconds
        self._pools: dict[str, UpstreamPool] = {}

    def find(self, address: str) -> UpstreamPool:
        """Return the pool of an address; create it if there is none."""
        pool = self._pools.get(address)
        if pool is None:
            pool = UpstreamPool(address, self._limit)
            self._pools[address] = pool
        return pool

    async def close_idle(self, now: float) -> None:
        """Close the pools that were not used during the idle time.

        :param now: seconds on the host's clock.
        """
        cutoff = now - self._idle_seconds
        for address, pool in list(self._pools.items()):
            if not pool.open_exchanges and pool.last_used < cutoff:
                self._pools.pop(address)
                await pool.close()

    async def close(self) -> None:
        """Close all connections."""
        pools = list(self._pools.values())
        self._pools.clear()
        await asyncio.gather(*(pool.close() for pool in pools))


def track(progress: executions.AttemptProgress) -> None:
    """Let the connector update ``progress`` for this task's next request."""
    _progress.set(progress)


def create_socket(address: typing.Any) -> socket.socket:
    """Return a TCP socket that detects an unresponsive peer."""
    family, kind, protocol = address[:3]
    tcp_socket = socket.socket(family, kind, protocol)
    tcp_socket.setblocking(False)
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, setting in (
        (socket.TCP_NODELAY, 1),
        (socket.TCP_KEEPIDLE, TCP_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, TCP_PROBE_SECONDS),
        (socket.TCP_KEEPCNT, TCP_PROBE_COUNT),
        (socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    ):
        tcp_socket.setsockopt(socket.IPPROTO_TCP, option, setting)
    return tcp_socket
