"""One exchange with an upstream, and what it proves.

Each exchange has a connection of its own. A late or a second answer of an
earlier exchange can then never be taken for that of this one, and a connection
that an upstream has dropped silently is never used.
"""

import asyncio
import dataclasses
import typing

import aiohttp
import logbook
import multidict
import yarl

from wagtailspread.entry import bodies, connections, executions
from wagtailspread.gateway import buffers, headers, intakes
from wagtailspread.registry import records

#: Time to open a connection, in seconds: 25 round trips to another region. A
#: lost opening packet is sent again only after a second.
CONNECT_SECONDS = 0.4
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

_log = logbook.Logger('exchanges')


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
    body: bytes | bytearray
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


class Exchanger:
    """Sends requests to upstreams. Use :func:`create_exchanger`.

    :param budgets: what the answers that are being read hold.
    """

    def __init__(
        self,
        names: headers.HeaderNames,
        limits: buffers.AnswerLimits,
    ) -> None:
        """Open a session; needs a running event loop."""
        self.budgets = intakes.create_budgets(limits)
        self._names = names
        self._limits = limits
        self._session = aiohttp.ClientSession(
            connector=intakes.BoundedConnector(),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=_OWN_HEADERS,
            read_bufsize=connections.READ_BUFFER_BYTES,
        )

    async def send(
        self,
        record: records.UpstreamRecord,
        outgoing: Outgoing,
        progress: executions.AttemptProgress,
    ) -> Outcome:
        """Send a request to the upstream of ``record``.

        :param progress: is kept up to date, whatever happens.
        """
        intake = intakes.Intake(
            self._limits,
            self.budgets,
            outgoing.deadline,
        )
        connections.track(progress)
        intakes.track(intake)
        try:
            async with asyncio.timeout_at(outgoing.deadline):
                return await self._exchange(record, outgoing, progress, intake)
        except TimeoutError:
            intake.expire()
            loss = Loss('no answer in time', is_expired=True)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            loss = Loss(type(error).__name__)
        finally:
            intake.close()
        if intake.reason is not None:
            _log_cut(record, outgoing, intake)
            is_late = intake.is_late()
            return Loss(intake.reason.value, is_expired=is_late)
        return loss if progress.is_connected else NoConnection()

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def _exchange(
        self,
        record: records.UpstreamRecord,
        outgoing: Outgoing,
        progress: executions.AttemptProgress,
        intake: intakes.Intake,
    ) -> Outcome:
        response = await self._session.request(
            outgoing.method,
            yarl.URL(f'http://{record.address}{outgoing.target}', encoded=True),
            headers=self._create_headers(record, outgoing, intake.started),
            data=outgoing.body and outgoing.body.open(),
            allow_redirects=False,
            timeout=_TIMEOUT,
        )
        try:
            return await self._read(response, outgoing, progress, intake)
        finally:
            response.close()

    async def _read(
        self,
        response: aiohttp.ClientResponse,
        outgoing: Outgoing,
        progress: executions.AttemptProgress,
        intake: intakes.Intake,
    ) -> Outcome:
        """Return what an answer proves; read its body only if it is of use."""
        if not self._is_own(response, outgoing):
            return Loss('answer without the id of its request')
        if self._is_not_run(response):
            progress.is_shed = True
            return NotExecuted(response.status == _MISDIRECTED)
        fault = self._find_fault(response)
        if fault:
            return Loss(fault)
        body = await intake.read(response.content)
        found = response.headers
        is_framed = 'Content-Length' in found or 'Transfer-Encoding' in found
        was_reset = progress.connection and progress.connection.was_reset
        if was_reset and not is_framed:
            return Loss('reset before the end of the body')
        return Answer(
            response.status,
            response.reason,
            found,
            body,
            asyncio.get_running_loop().time() - intake.started,
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

    def _find_fault(self, response: aiohttp.ClientResponse) -> str:
        """Return why a head is not that of an upstream's own answer."""
        found = response.headers
        if 'Content-Encoding' in found:
            return 'encoded body'
        if response.status < _FIRST_SUCCESS:
            return 'no final answer'
        # A refusal ends a request for good, so it needs the same proof as a
        # success; 5xx are treated alike, for they may be another's as well.
        if self._names.not_run in found:
            return f'status {response.status} with the not-run word'
        if self._names.signature not in found:
            return f'status {response.status} without a signature'
        return ''


def create_exchanger(
    names: headers.HeaderNames,
    limits: buffers.AnswerLimits | None = None,
) -> Exchanger:
    """Return an exchanger; needs a running event loop.

    :param limits: bounds on answers; those of a host of which nothing is
        known if it is ``None``.
    """
    return Exchanger(names, limits or buffers.create_limits())


def _log_cut(
    record: records.UpstreamRecord,
    outgoing: Outgoing,
    intake: intakes.Intake,
) -> None:
    seconds = asyncio.get_running_loop().time() - intake.started
    _log.warning(
        'answer cut',
        extra={
            'attempt': outgoing.attempt,
            'upstream': record.upstream,
            'reason': intake.reason and intake.reason.value,
            'bytes': intake.size,
            'seconds': round(seconds, 3),
        },
    )
