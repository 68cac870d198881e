"""One exchange with an upstream and its result."""

import asyncio
import dataclasses
import itertools
import random
import typing

import aiohttp
import logbook
import yarl

from returns import result

from wagtailspread.core import clocks, failures, outcomes
from wagtailspread.entry import bodies, connections, executions, protocols
from wagtailspread.entry import silence

#: Answers up to this size, in bytes, are buffered before they are sent on.
MAX_BUFFERED_BYTES = 65536

_log = logbook.Logger('exchanges')

#: Bits of the random number that distinguishes the ids of hosts.
_PREFIX_BITS = 48
_UNAVAILABLE = 503
_ERROR_STATUS = 500
_EVENTS = 'text/event-stream'


def _admit_always() -> bool:
    return True


@dataclasses.dataclass(slots=True)
class OutgoingRequest:
    """A request to be sent to an upstream.

    Not frozen: a frozen data class takes three times as long to create.

    :param target: path and query, encoded as received.
    :param deadline: seconds on the host's clock.
    :param may_repeat: whether it may be repeated on another connection to
        the same upstream.
    :param is_admitted: returns whether its key is still known; asked before it
        is repeated.
    """

    method: str
    target: str
    headers: typing.Any
    body: bodies.RequestBody | None
    deadline: float
    may_repeat: bool = False
    is_admitted: typing.Callable[[], bool] = _admit_always


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeFailure(failures.Failure):
    """An exchange without a usable answer."""

    result: outcomes.ExchangeResult


@dataclasses.dataclass(slots=True)
class Reply:
    """An answer of an upstream.

    :param body: the prefix of the body that was read.
    :param is_whole: whether the prefix is the complete body.
    :param result: result of the exchange; derived from the status if
        ``None``.
    :param streamed: number of bytes forwarded after the prefix.
    """

    response: aiohttp.ClientResponse
    body: bytes
    is_whole: bool
    pool: connections.UpstreamPool
    generation: connections.Generation
    result: outcomes.ExchangeResult | None = None
    streamed: int = 0

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return self.response.status

    def classify(self) -> outcomes.ExchangeResult:
        """Return the result of the exchange if the rest of the body arrives."""
        if self.result is not None:
            return self.result
        return classify_status(self.response.status)

    def close(self) -> None:
        """End the exchange; close the connection if the body was not read."""
        if not self.is_whole:
            self.response.close()
        self.pool.end_exchange(self.generation)


class ForeignAnswer(aiohttp.ClientError):
    """An answer that does not belong to the exchange that received it."""


ExchangeOutcome = result.Result[Reply, ExchangeFailure]


class Exchanger:
    """Sends requests to upstreams."""

    def __init__(
        self,
        pools: connections.PoolTable,
        clock: clocks.Clock,
    ) -> None:
        """Store the collaborators."""
        self._pools = pools
        self._clock = clock
        self._detector = silence.SilenceDetector()
        self._prefix = f'{random.getrandbits(_PREFIX_BITS):x}'
        self._numbers = itertools.count()

    async def send(
        self,
        address: str,
        outgoing: OutgoingRequest,
        progress: executions.AttemptProgress,
    ) -> ExchangeOutcome:
        """Send a request; return the head and the prefix of the answer.

        :param progress: updated even if the exchange fails or is cancelled.
        """
        pool = self._pools.find(address)
        now = self._clock.now()
        pool.last_used = now
        task = asyncio.current_task()
        monitored = silence.MonitoredExchange(
            progress,
            now,
            self._create_repeat(pool, outgoing, progress),
            task,
        )
        timer = _ExchangeTimer(
            self._detector, pool, monitored, outgoing.deadline
        )
        timer.start(min(now + _compute_stall_seconds(pool), outgoing.deadline))
        try:
            return await self._exchange(pool, outgoing, progress)
        except asyncio.CancelledError:
            if not monitored.is_expired or task is None or task.uncancel():
                raise
            return self._conclude(pool, monitored)
        finally:
            timer.stop()
            if monitored.is_registered:
                self._stop_monitoring(pool, monitored)

    def _stop_monitoring(
        self,
        pool: connections.UpstreamPool,
        monitored: silence.MonitoredExchange,
    ) -> None:
        self._detector.remove(pool, monitored, self._clock.now())
        if monitored.repeat_reply is not None:
            monitored.repeat_reply.close()

    def _conclude(
        self,
        pool: connections.UpstreamPool,
        monitored: silence.MonitoredExchange,
    ) -> ExchangeOutcome:
        """Return the outcome of an exchange that was cancelled.

        Either its deadline expired or its repetition was answered.
        """
        if not monitored.progress.is_connected:
            return _fail(outcomes.ExchangeResult.CONNECT_FAILED)
        is_silent = self._detector.detect_silence(
            pool, monitored, self._clock.now()
        )
        ended = outcomes.ExchangeResult.TIMEOUT
        if is_silent:
            ended = outcomes.ExchangeResult.SILENT
        if monitored.repeat_reply is None:
            return _fail(ended)
        reply = monitored.repeat_reply
        monitored.repeat_reply = None
        reply.result = ended
        return result.Success(reply)

    def _create_repeat(
        self,
        pool: connections.UpstreamPool,
        outgoing: OutgoingRequest,
        progress: executions.AttemptProgress,
    ) -> silence.Repeat | None:
        if not outgoing.may_repeat:
            return None

        async def repeat() -> Reply | None:
            if not outgoing.is_admitted():
                return None
            repeated = executions.AttemptProgress()
            progress.repetition = repeated
            outcome = await self._exchange(pool, outgoing, repeated)
            if isinstance(outcome, result.Success):
                return outcome.unwrap()
            return None

        return repeat

    async def _exchange(
        self,
        pool: connections.UpstreamPool,
        outgoing: OutgoingRequest,
        progress: executions.AttemptProgress,
    ) -> ExchangeOutcome:
        generation = pool.begin_exchange()
        reply: Reply | None = None
        try:
            reply = await self._receive(pool, generation, outgoing, progress)
        except (aiohttp.ClientPayloadError, protocols.MalformedAnswer) as error:
            _log.debug('answer not whole', extra={'reason': repr(error)})
            return _fail(outcomes.ExchangeResult.TRUNCATED)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            _log.debug('exchange failed', extra={'reason': repr(error)})
            return _fail(_classify_error(progress, outgoing))
        finally:
            if reply is None:
                pool.end_exchange(generation)
        if _is_shed(reply.response):
            # Only the answer to this exchange gets here.
            progress.is_shed = True
            reply.close()
            return _fail(outcomes.ExchangeResult.SHED)
        return result.Success(reply)

    async def _receive(
        self,
        pool: connections.UpstreamPool,
        generation: connections.Generation,
        outgoing: OutgoingRequest,
        progress: executions.AttemptProgress,
    ) -> Reply:
        started = self._clock.now()
        # A repetition of the request runs beside it and has its own id.
        headers = outgoing.headers.copy()
        exchange = f'{self._prefix}.{next(self._numbers):x}'
        headers[outcomes.EXCHANGE_HEADER] = exchange
        remaining_ms = int((outgoing.deadline - started) * 1000)
        headers[outcomes.DEADLINE_HEADER] = str(max(1, remaining_ms))
        connections.track(progress)
        response = await generation.session.request(
            outgoing.method,
            yarl.URL(pool.base_url + outgoing.target, encoded=True),
            headers=headers,
            data=outgoing.body and outgoing.body.open(),
            allow_redirects=False,
            timeout=connections.TIMEOUT,
        )
        try:
            _check_exchange(response, exchange)
            body, is_whole = await _read_prefix(response)
        except BaseException:
            response.close()
            raise
        now = self._clock.now()
        pool.record_success(progress, now - started, now)
        return Reply(response, body, is_whole, pool, generation)


class _ExchangeTimer:
    """Timer of an exchange: fires after a stall and at the deadline.

    A single timer costs less than a timer and a timeout, and most exchanges
    end before it fires.
    """

    __slots__ = ('_detector', '_pool', '_monitored', '_deadline', '_timer')

    def __init__(
        self,
        detector: silence.SilenceDetector,
        pool: connections.UpstreamPool,
        monitored: silence.MonitoredExchange,
        deadline: float,
    ) -> None:
        self._detector = detector
        self._pool = pool
        self._monitored = monitored
        self._deadline = deadline
        self._timer: asyncio.TimerHandle | None = None

    def start(self, when: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(when, self._fire, when)

    def stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _fire(self, when: float) -> None:
        if when >= self._deadline:
            self._monitored.expire()
            return
        self._detector.add_stalled(self._pool, self._monitored, when)
        self.start(self._deadline)


def classify_status(status: int) -> outcomes.ExchangeResult:
    """Return the result of an exchange with a complete answer of this status.

    >>> classify_status(404)
    <ExchangeResult.SUCCESS: 0>
    """
    if status >= _ERROR_STATUS:
        return outcomes.ExchangeResult.ERROR
    return outcomes.ExchangeResult.SUCCESS


async def _read_prefix(
    response: aiohttp.ClientResponse,
) -> tuple[bytes, bool]:
    """Return a prefix of the body and whether it is the complete body."""
    length = response.content_length
    if length is not None:
        if length > MAX_BUFFERED_BYTES and not response.content.at_eof():
            return b'', False
        if response.content.is_eof():
            return response.content.read_nowait(-1), True
        return await response.read(), True
    if response.content_type == _EVENTS:
        return b'', False
    pieces: list[bytes] = []
    size = 0
    while size < MAX_BUFFERED_BYTES:
        piece = await response.content.readany()
        if not piece:
            return b''.join(pieces), True
        pieces.append(piece)
        size += len(piece)
    return b''.join(pieces), False


def _check_exchange(
    response: aiohttp.ClientResponse,
    exchange: str,
) -> None:
    """Check that an answer belongs to an exchange.

    An upstream may send an earlier answer once more on a kept connection. An
    upstream that returns no ids is served, but its refusals prove nothing.

    :raises ForeignAnswer: if the answer has the id of another exchange, or if
        it is a refusal without an id.
    """
    found = response.headers.getall(outcomes.EXCHANGE_HEADER, [])
    if any(one != exchange for one in found):
        raise ForeignAnswer(f'answer to exchange {found[0]!r}')
    if not found and _is_shed(response):
        raise ForeignAnswer('refusal without the id of its exchange')


def _is_shed(response: aiohttp.ClientResponse) -> bool:
    if response.status != _UNAVAILABLE:
        return False
    return response.headers.get(outcomes.SHED_HEADER) == '1'


def _compute_stall_seconds(pool: connections.UpstreamPool) -> float:
    seconds = pool.mean_seconds * silence.STALL_FACTOR
    limited = min(seconds, silence.MAX_STALL_SECONDS)
    return max(limited, silence.MIN_STALL_SECONDS)


def _classify_error(
    progress: executions.AttemptProgress,
    outgoing: OutgoingRequest,
) -> outcomes.ExchangeResult:
    if outgoing.body is not None and outgoing.body.fault is not None:
        return outcomes.ExchangeResult.CANCELLED
    if progress.is_connected:
        return outcomes.ExchangeResult.RESET
    return outcomes.ExchangeResult.CONNECT_FAILED


def _fail(ended: outcomes.ExchangeResult) -> ExchangeOutcome:
    return result.Failure(ExchangeFailure(ended))
