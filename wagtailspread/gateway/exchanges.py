"""Single HTTP exchanges with upstreams and their outcomes.

Each exchange opens its own connection. So a late or a second response of an
earlier exchange can't be mistaken for the response of this one, and a
connection that an upstream has dropped silently is never used.
"""

import asyncio
import dataclasses
import re
import typing

import logbook
import multidict
import yarl

from aiohttp import client, cookiejar

from wagtailspread.entry import bodies, connections, executions
from wagtailspread.gateway import buffers, headers, notices, response_readers
from wagtailspread.placement import crashes
from wagtailspread.placement import messages as placement_messages
from wagtailspread.registry import records

#: Timeout for opening a connection, in seconds: 25 round trips to another
#: region. A lost SYN packet is retransmitted only after one second.
CONNECT_SECONDS = 0.4
#: A request with less time left than this is not sent, in seconds.
MIN_SEND_SECONDS = 0.02

_MISDIRECTED = 421
_FIRST_SUCCESS = 200
_CLIENT_ERROR = 400
_SERVER_ERROR = 500
_MILLISECONDS = 1000
_OMITTED_HEADERS = ('Accept', 'Accept-Encoding', 'Content-Type', 'User-Agent')
#: Errors of a connection that ends without a whole answer. The client library
#: resends some requests then, which is prevented.
_RESET_ERRORS = (
    connections.RepeatedAttempt,
    client.ClientPayloadError,
    client.ServerDisconnectedError,
    OSError,
)
#: The exchange enforces the deadline of the request itself.
_TIMEOUT = client.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS)

_CONTROL_CHARACTER = re.compile(r'[\x00-\x08\x0a-\x1f\x7f]')
_log = logbook.Logger('exchanges')


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request to send to an upstream.

    :param target: path and query as received.
    :param deadline: in seconds of the event loop clock.
    :param fingerprint: the same for requests with the same credentials,
        target and body.
    """

    method: str
    target: str
    headers: 'multidict.CIMultiDict[str]'
    body: bodies.RequestBody | None
    attempt: str
    deadline: float
    fingerprint: crashes.Fingerprint = crashes.NO_FINGERPRINT


@dataclasses.dataclass(slots=True)
class ReceivedNotice:
    """What the upstream of an exchange asked of the host, if it answered."""

    notice: placement_messages.UpstreamNotice = placement_messages.NO_NOTICE


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamResponse:
    """A complete response of the requested upstream."""

    status: int
    reason: str | None
    headers: 'multidict.CIMultiDictProxy[str]'
    body: bytes | bytearray
    seconds: float

    @property
    def is_server_error(self) -> bool:
        """Whether the response has a 5xx status."""
        return self.status >= _SERVER_ERROR


@dataclasses.dataclass(frozen=True, slots=True)
class NotExecuted:
    """The upstream stated that it did not run the request.

    :param is_other_upstream: whether another upstream uses the address.
    """

    is_other_upstream: bool


@dataclasses.dataclass(frozen=True, slots=True)
class NoConnection:
    """No connection could be opened; nothing was sent."""


class LostResponse(typing.NamedTuple):
    """No usable response was received; the request may have run.

    :param reason: cause, for logs.
    :param is_expired: whether the time limit of the request was the cause.
    :param is_reset: whether the upstream ended the connection without an
        answer, as it does when it crashes.
    """

    reason: str
    is_expired: bool = False
    is_reset: bool = False


Outcome = UpstreamResponse | NotExecuted | NoConnection | LostResponse


class Exchanger:
    """Sends requests to upstreams. Use :func:`create_exchanger`.

    :param budgets: bytes held by the responses that are being read.
    """

    def __init__(
        self,
        names: headers.HeaderNames,
        limits: buffers.ResponseLimits,
    ) -> None:
        """Open a session; needs a running event loop."""
        self.budgets = response_readers.create_budgets(limits)
        self._names = names
        self._limits = limits
        self._session = client.ClientSession(
            connector=response_readers.BoundedConnector(),
            cookie_jar=cookiejar.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=_OMITTED_HEADERS,
            read_bufsize=connections.READ_BUFFER_BYTES,
        )

    async def send(
        self,
        record: records.UpstreamRecord,
        outgoing: OutgoingRequest,
        progress: executions.AttemptProgress,
        received: ReceivedNotice | None = None,
    ) -> Outcome:
        """Send a request to the upstream of ``record``.

        :param progress: is updated while sending, also on failure.
        :param received: gets what the upstream asks, also on failure.
        """
        received = received or ReceivedNotice()
        reader = response_readers.ResponseReader(
            self._limits,
            self.budgets,
            outgoing.deadline,
        )
        connections.track(progress)
        response_readers.bind_reader(reader)
        try:
            async with asyncio.timeout_at(outgoing.deadline):
                return await self._exchange(
                    record, outgoing, progress, reader, received
                )
        except TimeoutError:
            reader.expire()
            loss = LostResponse('no answer in time', is_expired=True)
        except (client.ClientError, OSError, ValueError) as error:
            is_reset = isinstance(error, _RESET_ERRORS)
            loss = LostResponse(type(error).__name__, is_reset=is_reset)
        finally:
            reader.close()
        if reader.reason is not None:
            _log_cut(record, outgoing, reader)
            is_late = reader.is_late()
            return LostResponse(reader.reason.value, is_expired=is_late)
        return loss if progress.is_connected else NoConnection()

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def _exchange(
        self,
        record: records.UpstreamRecord,
        outgoing: OutgoingRequest,
        progress: executions.AttemptProgress,
        reader: response_readers.ResponseReader,
        received: ReceivedNotice,
    ) -> Outcome:
        response = await self._session.request(
            outgoing.method,
            yarl.URL(f'http://{record.address}{outgoing.target}', encoded=True),
            headers=self._create_headers(record, outgoing, reader.started),
            data=outgoing.body and outgoing.body.open(),
            allow_redirects=False,
            timeout=_TIMEOUT,
        )
        try:
            if not self._echoes_attempt(response, outgoing):
                return LostResponse('answer without the id of its request')
            received.notice = notices.read_notice(
                response.status, response.headers, self._names
            )
            return await self._read(response, progress, reader)
        finally:
            response.close()

    async def _read(
        self,
        response: client.ClientResponse,
        progress: executions.AttemptProgress,
        reader: response_readers.ResponseReader,
    ) -> Outcome:
        """Return the outcome; read the body only of a valid response."""
        if self._is_not_run(response):
            progress.is_shed = True
            return NotExecuted(response.status == _MISDIRECTED)
        fault = self._find_fault(response)
        if fault:
            return LostResponse(fault)
        body = await reader.read(response.content)
        found = response.headers
        is_framed = 'Content-Length' in found or 'Transfer-Encoding' in found
        was_reset = progress.connection and progress.connection.was_reset
        if was_reset and not is_framed:
            return LostResponse(
                'reset before the end of the body', is_reset=True
            )
        return UpstreamResponse(
            response.status,
            response.reason,
            found,
            body,
            asyncio.get_running_loop().time() - reader.started,
        )

    def _create_headers(
        self,
        record: records.UpstreamRecord,
        outgoing: OutgoingRequest,
        now: float,
    ) -> 'multidict.CIMultiDict[str]':
        names = self._names
        extended = outgoing.headers.copy()
        left = int((outgoing.deadline - now) * _MILLISECONDS)
        extended[names.deadline] = str(max(1, left))
        extended[names.expected_upstream] = record.upstream
        return extended

    def _echoes_attempt(
        self,
        response: client.ClientResponse,
        outgoing: OutgoingRequest,
    ) -> bool:
        """Tell whether a response echoes the attempt id of the request.

        Every response of an upstream does. A response without the echo is no
        evidence about this request; in particular, its not-run header does not
        apply.
        """
        found = response.headers.getall(self._names.attempt, [''])
        return all(attempt == outgoing.attempt for attempt in found)

    def _is_not_run(self, response: client.ClientResponse) -> bool:
        """Tell whether the upstream did not run the request.

        A successful response never means that.
        """
        if response.status == _MISDIRECTED:
            return True
        has_header = self._names.not_run in response.headers
        return has_header and response.status >= _CLIENT_ERROR

    def _find_fault(self, response: client.ClientResponse) -> str:
        """Return why a response head is invalid, or an empty string."""
        found = response.headers
        fault = _find_syntax_fault(response)
        if fault:
            return fault
        if response.status < _FIRST_SUCCESS:
            return 'no final answer'
        # A caller does not repeat a refused request, so a refusal needs a
        # signature as a success does. A 5xx needs one as well, since another
        # process may have sent it.
        if self._names.not_run in found:
            return f'status {response.status} with the not-run header'
        if self._names.signature not in found:
            return f'status {response.status} without a signature'
        return ''


def create_exchanger(
    names: headers.HeaderNames,
    limits: buffers.ResponseLimits | None = None,
) -> Exchanger:
    """Return an exchanger; needs a running event loop.

    :param limits: limits of responses; ``None`` stands for the limits of a
        host of unknown memory and link rate.
    """
    return Exchanger(names, limits or buffers.create_limits())


def _find_syntax_fault(response: client.ClientResponse) -> str:
    """Return what a client may read in another way, or an empty string."""
    if 'Content-Encoding' in response.headers:
        return 'encoded body'
    if _CONTROL_CHARACTER.search(response.reason or ''):
        return 'control character in the reason'
    return ''


def _log_cut(
    record: records.UpstreamRecord,
    outgoing: OutgoingRequest,
    reader: response_readers.ResponseReader,
) -> None:
    seconds = asyncio.get_running_loop().time() - reader.started
    _log.warning(
        'answer cut',
        extra={
            'attempt': outgoing.attempt,
            'upstream': record.upstream,
            'reason': reader.reason and reader.reason.value,
            'bytes': reader.size,
            'seconds': round(seconds, 3),
        },
    )
