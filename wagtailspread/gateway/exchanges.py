"""One exchange with an upstream, and what it proves.

Each exchange has a connection of its own. A late or a second answer of an
earlier exchange can then never be taken for that of this one, and a connection
that an upstream has dropped silently is never used.
"""

import asyncio
import dataclasses
import functools
import typing

import aiohttp
import multidict
import yarl

from aiohttp import client_proto

from wagtailspread.entry import bodies, connections, ledgers
from wagtailspread.gateway import headers
from wagtailspread.registry import records

#: Time to open a connection, in seconds: 25 round trips to another region. A
#: lost opening packet is sent again only after a second.
CONNECT_SECONDS = 0.4
#: Largest answer that is accepted, in bytes.
MAX_ANSWER_BYTES = 64 * 1024 * 1024
#: Least time left with which a request is sent, in seconds.
LEAST_SECONDS = 0.02

_MISDIRECTED = 421
_FIRST_SUCCESS = 200
_CLIENT_ERROR = 400
_SERVER_ERROR = 500
_MILLISECONDS = 1000
_OWN_HEADERS = ('Accept', 'Accept-Encoding', 'Content-Type', 'User-Agent')
#: The deadline of a request is kept by the exchange.
_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS)


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A request on its way to an upstream.

    :param target: path and query as received.
    :param deadline: seconds of the event loop's clock.
    """

    method: str
    target: str
    headers: 'multidict.CIMultiDict[str]'
    body: bodies.RequestBody | None
    attempt: str
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer of the upstream that was asked."""

    status: int
    reason: str | None
    headers: 'multidict.CIMultiDictProxy[str]'
    body: bytes
    seconds: float

    @property
    def is_server_error(self) -> bool:
        """Whether the upstream failed the request."""
        return self.status >= _SERVER_ERROR


@dataclasses.dataclass(frozen=True, slots=True)
class NotExecuted:
    """The upstream said that it did not run the request.

    :param is_another: whether another upstream has the address.
    """

    is_another: bool


@dataclasses.dataclass(frozen=True, slots=True)
class NoConnection:
    """No connection could be opened; nothing was sent."""


class Loss(typing.NamedTuple):
    """No usable answer; the request may have run.

    :param reason: what happened, for logs.
    """

    reason: str
    is_expired: bool = False


Outcome = Answer | NotExecuted | NoConnection | Loss


class _WatchedProtocol(client_proto.ResponseHandler):
    """Records whether a connection was reset.

    A body without a length ends with its connection, and the client library
    takes a reset for its end.
    """

    record: ledgers.ConnectionRecord | None = None

    def connection_lost(self, exc: BaseException | None) -> None:
        if exc is not None and self.record is not None:
            self.record.was_reset = True
        super().connection_lost(exc)


class _WatchedConnector(connections.TrackingConnector):
    def __init__(self) -> None:
        super().__init__(
            0,
            limit=0,
            force_close=True,
            socket_factory=connections.create_socket,
        )
        loop = asyncio.get_running_loop()
        create: typing.Any = functools.partial(_WatchedProtocol, loop=loop)
        self._factory = create

    async def connect(
        self,
        req: typing.Any,
        traces: typing.Any,
        timeout: typing.Any,
    ) -> typing.Any:
        connection = await super().connect(req, traces, timeout)
        protocol = connection.protocol
        if isinstance(protocol, _WatchedProtocol):
            protocol.record = self.records.get(protocol)
        return connection


class Exchanger:
    """Sends requests to upstreams. Use :func:`create_exchanger`."""

    def __init__(self, names: headers.HeaderNames) -> None:
        """Open a session; needs a running event loop."""
        self._names = names
        self._session = aiohttp.ClientSession(
            connector=_WatchedConnector(),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=_OWN_HEADERS,
            read_bufsize=connections.READ_BUFFER_BYTES,
        )

    async def send(
        self,
        record: records.UpstreamRecord,
        outgoing: Outgoing,
        progress: ledgers.Progress,
    ) -> Outcome:
        """Send a request to the upstream of ``record``.

        :param progress: is kept up to date, whatever happens.
        """
        connections.track(progress)
        try:
            async with asyncio.timeout_at(outgoing.deadline):
                return await self._exchange(record, outgoing, progress)
        except TimeoutError:
            reason = 'no answer in time'
        except (aiohttp.ClientError, OSError, ValueError) as error:
            if progress.is_connected:
                return Loss(type(error).__name__)
            return NoConnection()
        if progress.is_connected:
            return Loss(reason, is_expired=True)
        return NoConnection()

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def _exchange(
        self,
        record: records.UpstreamRecord,
        outgoing: Outgoing,
        progress: ledgers.Progress,
    ) -> Outcome:
        started = asyncio.get_running_loop().time()
        response = await self._session.request(
            outgoing.method,
            yarl.URL(f'http://{record.address}{outgoing.target}', encoded=True),
            headers=self._create_headers(record, outgoing, started),
            data=outgoing.body and outgoing.body.open(),
            allow_redirects=False,
            timeout=_TIMEOUT,
        )
        try:
            body = await _read_body(response)
        finally:
            response.close()
        if not self._is_own(response, outgoing):
            return Loss('answer without the id of its request')
        if self._is_not_run(response):
            progress.is_shed = True
            return NotExecuted(response.status == _MISDIRECTED)
        fault = self._find_fault(response, progress)
        if fault:
            return Loss(fault)
        return Answer(
            response.status,
            response.reason,
            response.headers,
            body,
            asyncio.get_running_loop().time() - started,
        )

    def _create_headers(
        self,
        record: records.UpstreamRecord,
        outgoing: Outgoing,
        now: float,
    ) -> 'multidict.CIMultiDict[str]':
        names = self._names
        own = outgoing.headers.copy()
        left = int((outgoing.deadline - now) * _MILLISECONDS)
        own[names.deadline] = str(max(1, left))
        own[names.expected_upstream] = record.upstream
        return own

    def _is_own(
        self,
        response: aiohttp.ClientResponse,
        outgoing: Outgoing,
    ) -> bool:
        """Tell whether an answer echoes the attempt, which all answers do.

        Without the echo nothing that an answer says is of this request, and
        least of all that it did not run.
        """
        found = response.headers.getall(self._names.attempt, [''])
        return all(attempt == outgoing.attempt for attempt in found)

    def _is_not_run(self, response: aiohttp.ClientResponse) -> bool:
        """Tell whether the upstream rejected the request; a success did not."""
        if response.status == _MISDIRECTED:
            return True
        is_word = self._names.not_run in response.headers
        return is_word and response.status >= _CLIENT_ERROR

    def _find_fault(
        self,
        response: aiohttp.ClientResponse,
        progress: ledgers.Progress,
    ) -> str:
        """Return why an answer is not the upstream's whole own answer."""
        found = response.headers
        if 'Content-Encoding' in found:
            return 'encoded body'
        is_framed = 'Content-Length' in found or 'Transfer-Encoding' in found
        was_reset = progress.connection and progress.connection.was_reset
        if was_reset and not is_framed:
            return 'reset before the end of the body'
        if response.status < _FIRST_SUCCESS:
            return 'no final answer'
        # A refusal ends a request for good, so it needs the same proof as a
        # success; 5xx are treated alike, for they may be another's as well.
        if self._names.not_run in found:
            return f'status {response.status} with the not-run word'
        if self._names.signature not in found:
            return f'status {response.status} without a signature'
        return ''


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    """Return the whole body.

    It does not wait until the request is sent: an upstream may answer before
    it has read all of it.

    :raises ValueError: if the body is too large.
    """
    pieces: list[bytes] = []
    size = 0
    while True:
        piece = await response.content.readany()
        if not piece:
            return b''.join(pieces)
        pieces.append(piece)
        size += len(piece)
        if size > MAX_ANSWER_BYTES:
            raise ValueError('answer too large')


def create_exchanger(names: headers.HeaderNames) -> Exchanger:
    """Return an exchanger; needs a running event loop."""
    return Exchanger(names)
