"""Connections to upstreams, a bounded pool for each.

A connection carries one request at a time. The connector tells when an
exchange got its connection: before that no byte can have been sent, after it
any byte may have been.
"""

import asyncio
import contextvars
import dataclasses
import socket
import typing
import weakref

import aiohttp

#: Idle connections are closed after this time, in seconds. Upstreams keep
#: idle connections longer, so a request seldom meets a closing connection.
KEEPALIVE_SECONDS = 15.0
#: Time to open a connection, in seconds.
CONNECT_SECONDS = 1.0
#: Idle time before the kernel probes a connection, in seconds.
TCP_IDLE_SECONDS = 5
#: Time between the kernel's probes, in seconds.
TCP_PROBE_SECONDS = 1
#: Probes without an answer that close a connection.
TCP_PROBE_COUNT = 3
#: Sent data without an acknowledgement closes a connection, in milliseconds.
TCP_USER_TIMEOUT_MS = 3000

_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS)


@dataclasses.dataclass(slots=True)
class Progress:
    """How far one exchange got.

    :param is_connected: whether it has a connection, so that bytes may be
        sent.
    :param is_reused: whether the connection carried an earlier exchange.
    """

    is_connected: bool = False
    is_reused: bool = False


class RepeatedAttempt(aiohttp.ClientError):
    """The client library tried to send a request a second time by itself."""


_progress: contextvars.ContextVar[Progress] = contextvars.ContextVar(
    'exchange progress',
)


class TrackingConnector(aiohttp.TCPConnector):
    """A connector that records the progress of the current exchange."""

    def __init__(self, **settings: typing.Any) -> None:
        """Start with no known connections."""
        super().__init__(**settings)
        self._used: weakref.WeakSet[typing.Any] = weakref.WeakSet()

    async def connect(
        self,
        req: typing.Any,
        traces: typing.Any,
        timeout: typing.Any,
    ) -> typing.Any:
        """Return a connection for the one attempt of this exchange."""
        progress = _progress.get()
        if progress.is_connected:
            raise RepeatedAttempt
        connection = await super().connect(req, traces, timeout)
        progress.is_connected = True
        transport = connection.transport
        progress.is_reused = transport in self._used
        self._used.add(transport)
        return connection


class UpstreamPool:
    """The connections of this host to one upstream.

    :param limit: most connections open at a time.
    """

    def __init__(self, address: str, limit: int) -> None:
        """Open nothing yet."""
        self.base = f'http://{address}'
        self.open_exchanges = 0
        self.last_used = 0.0
        self._limit = limit
        self._session = self._create_session()
        self._retired: list[aiohttp.ClientSession] = []

    async def send(
        self,
        progress: Progress,
        method: str,
        url: typing.Any,
        headers: typing.Any,
        body: typing.Any,
    ) -> aiohttp.ClientResponse:
        """Send a request and return the head of the answer."""
        _progress.set(progress)
        return await self._session.request(
            method,
            url,
            headers=headers,
            data=body,
            allow_redirects=False,
            timeout=_TIMEOUT,
        )

    async def renew(self) -> None:
        """Use new connections from now on.

        Exchanges on the old ones may finish; idle old ones are closed when
        the pool is.
        """
        self._retired.append(self._session)
        self._session = self._create_session()

    async def close(self) -> None:
        """Close all connections."""
        for session in (*self._retired, self._session):
            await session.close()
        self._retired.clear()

    def _create_session(self) -> aiohttp.ClientSession:
        connector = TrackingConnector(
            limit=self._limit,
            keepalive_timeout=KEEPALIVE_SECONDS,
            socket_factory=create_socket,
        )
        return aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=('User-Agent', 'Accept', 'Accept-Encoding'),
        )


class PoolTable:
    """The pools of this host, one for each upstream address.

    :param limit: most connections to one upstream.
    """

    def __init__(self, limit: int) -> None:
        """Start with no pools."""
        self._limit = limit
        self._pools: dict[str, UpstreamPool] = {}

    def find(self, address: str) -> UpstreamPool:
        """Return the pool of this address."""
        pool = self._pools.get(address)
        if pool is None:
            pool = UpstreamPool(address, self._limit)
            self._pools[address] = pool
        return pool

    async def close(self) -> None:
        """Close all connections."""
        pools = list(self._pools.values())
        self._pools.clear()
        await asyncio.gather(*(pool.close() for pool in pools))


def create_socket(address: typing.Any) -> socket.socket:
    """Return a TCP socket that detects a peer that went silent."""
    family, kind, protocol = address[:3]
    created = socket.socket(family, kind, protocol)
    created.setblocking(False)
    created.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for option, setting in (
        (socket.TCP_KEEPIDLE, TCP_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, TCP_PROBE_SECONDS),
        (socket.TCP_KEEPCNT, TCP_PROBE_COUNT),
        (socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    ):
        created.setsockopt(socket.IPPROTO_TCP, option, setting)
    return created
