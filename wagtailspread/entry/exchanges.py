"""One exchange with an upstream, and how it ended."""

import asyncio
import dataclasses
import typing

import aiohttp
import yarl

from returns import result

from wagtailspread.core import clocks, failures, outcomes
from wagtailspread.entry import bodies, connections, executions, silence

#: Answers up to this size are read whole before the caller gets any of them.
BUFFERED_BYTES = 65536

_UNAVAILABLE = 503
_ERROR_STATUS = 500
_EVENTS = 'text/event-stream'


@dataclasses.dataclass(slots=True)
class Outgoing:
    """A request on its way to an upstream.

    It is not frozen, since that triples the time to make one.

    :param deadline: seconds on the host's clock.
    :param may_repeat: whether it may be sent again on another connection
        to the same upstream.
    """

    method: str
    target: str
    headers: typing.Any
    body: bodies.RequestBody | None
    deadline: float
    may_repeat: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeFailure(failures.Failure):
    """An exchange without a usable answer."""

    result: outcomes.ExchangeResult


@dataclasses.dataclass(slots=True)
class Reply:
    """An answer of an upstream.

    :param body: the start of the body, or all of it.
    :param is_whole: whether that is all.
    :param result: how the exchange counts, from its status if ``None``.
    :param streamed: bytes passed on after the start.
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
        """Return how the exchange counts if the rest of it succeeds."""
        if self.result is not None:
            return self.result
        return classify_status(self.response.status)

    def close(self) -> None:
        """Close the connection if the answer was not read to its end."""
        if not self.is_whole:
            self.response.close()
        self.pool.leave(self.generation)


ExchangeOutcome = result.Result[Reply, ExchangeFailure]


class Exchanger:
    """Sends requests to upstreams."""

    def __init__(
        self,
        pools: connections.PoolTable,
        clock: clocks.Clock,
    ) -> None:
        """Keep the pools."""
        self._pools = pools
        self._clock = clock
        self._detector = silence.SilenceDetector()

    async def send(
        self,
        address: str,
        outgoing: Outgoing,
        progress: executions.AttemptProgress,
    ) -> ExchangeOutcome:
        """Send a request and return the answer's head and short body.

        :param progress: is kept up to date, whatever happens.
        """
        pool = self._pools.find(address)
        now = self._clock.now()
        pool.last_used = now
        task = asyncio.current_task()
        stall = silence.MonitoredExchange(
            progress,
            now,
            self._create_repeat(pool, outgoing, progress),
            task,
        )
        watch = _Watch(self._detector, pool, stall, outgoing.deadline)
        watch.start(min(now + _quiet_seconds(pool), outgoing.deadline))
        try:
            return await self._exchange(pool, outgoing, progress)
        except asyncio.CancelledError:
            if not stall.is_expired or task is None or task.uncancel():
                raise
            return self._conclude(pool, stall)
        finally:
            watch.stop()
            if stall.is_registered:
                self._forget(pool, stall)

    def _forget(
        self,
        pool: connections.UpstreamPool,
        stall: silence.MonitoredExchange,
    ) -> None:
        self._detector.forget(pool, stall, self._clock.now())
        if stall.repeat_reply is not None:
            stall.repeat_reply.close()

    def _conclude(
        self,
        pool: connections.UpstreamPool,
        stall: silence.MonitoredExchange,
    ) -> ExchangeOutcome:
        """Return how an exchange ended that was cut off by its limit."""
        if not stall.progress.is_connected:
            return _fail(outcomes.ExchangeResult.CONNECT_FAILED)
        is_silent = self._detector.detect_silence(
            pool, stall, self._clock.now()
        )
        ended = outcomes.ExchangeResult.TIMEOUT
        if is_silent:
            ended = outcomes.ExchangeResult.SILENT
        if stall.repeat_reply is None:
            return _fail(ended)
        reply = stall.repeat_reply
        stall.repeat_reply = None
        reply.result = ended
        return result.Success(reply)

    def _create_repeat(
        self,
        pool: connections.UpstreamPool,
        outgoing: Outgoing,
        progress: executions.AttemptProgress,
    ) -> silence.Repeat | None:
        if not outgoing.may_repeat:
            return None

        async def repeat() -> Reply | None:
            again = executions.AttemptProgress()
            progress.repetition = again
            outcome = await self._exchange(pool, outgoing, again)
            if isinstance(outcome, result.Success):
                return outcome.unwrap()
            return None

        return repeat

    async def _exchange(
        self,
        pool: connections.UpstreamPool,
        outgoing: Outgoing,
        progress: executions.AttemptProgress,
    ) -> ExchangeOutcome:
        generation = pool.enter()
        reply: Reply | None = None
        try:
            reply = await self._receive(pool, generation, outgoing, progress)
        except aiohttp.ClientPayloadError:
            return _fail(outcomes.ExchangeResult.TRUNCATED)
        except (aiohttp.ClientError, OSError):
            return _fail(_classify_loss(progress, outgoing))
        finally:
            if reply is None:
                pool.leave(generation)
        if _is_shed(reply.response):
            progress.is_shed = True
            reply.close()
            return _fail(outcomes.ExchangeResult.SHED)
        return result.Success(reply)

    async def _receive(
        self,
        pool: connections.UpstreamPool,
        generation: connections.Generation,
        outgoing: Outgoing,
        progress: executions.AttemptProgress,
    ) -> Reply:
        started = self._clock.now()
        headers = outgoing.headers
        remaining_ms = int((outgoing.deadline - started) * 1000)
        headers[outcomes.DEADLINE_HEADER] = str(max(1, remaining_ms))
        connections.track(progress)
        response = await generation.session.request(
            outgoing.method,
            yarl.URL(pool.base + outgoing.target, encoded=True),
            headers=headers,
            data=outgoing.body and outgoing.body.open(),
            allow_redirects=False,
            timeout=connections.TIMEOUT,
        )
        try:
            body, is_whole = await _read_start(response)
        except BaseException:
            response.close()
            raise
        now = self._clock.now()
        pool.note_success(progress, now - started, now)
        return Reply(response, body, is_whole, pool, generation)


class _Watch:
    """The timer of an exchange: first for quiet, then for its deadline.

    One timer that is cancelled is cheaper than a timeout and a timer, and few
    exchanges live until it fires.
    """

    __slots__ = ('_detector', '_pool', '_stall', '_deadline', '_timer')

    def __init__(
        self,
        detector: silence.SilenceDetector,
        pool: connections.UpstreamPool,
        stall: silence.MonitoredExchange,
        deadline: float,
    ) -> None:
        self._detector = detector
        self._pool = pool
        self._stall = stall
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
            self._stall.expire()
            return
        self._detector.add_stalled(self._pool, self._stall, when)
        self.start(self._deadline)


def classify_status(status: int) -> outcomes.ExchangeResult:
    """Return the result that a whole answer with this status stands for.

    >>> classify_status(404)
    <ExchangeResult.SUCCESS: 0>
    """
    if status >= _ERROR_STATUS:
        return outcomes.ExchangeResult.ERROR
    return outcomes.ExchangeResult.SUCCESS


async def _read_start(
    response: aiohttp.ClientResponse,
) -> tuple[bytes, bool]:
    """Return the start of the body, and whether that is all of it."""
    length = response.content_length
    if length is not None:
        if length > BUFFERED_BYTES and not response.content.at_eof():
            return b'', False
        if response.content.is_eof():
            return response.content.read_nowait(-1), True
        return await response.read(), True
    if response.content_type == _EVENTS:
        return b'', False
    pieces: list[bytes] = []
    size = 0
    while size < BUFFERED_BYTES:
        piece = await response.content.readany()
        if not piece:
            return b''.join(pieces), True
        pieces.append(piece)
        size += len(piece)
    return b''.join(pieces), False


def _is_shed(response: aiohttp.ClientResponse) -> bool:
    if response.status != _UNAVAILABLE:
        return False
    return response.headers.get(outcomes.SHED_HEADER) == '1'


def _quiet_seconds(pool: connections.UpstreamPool) -> float:
    seconds = pool.mean_seconds * silence.STALL_FACTOR
    limited = min(seconds, silence.MAX_STALL_SECONDS)
    return max(limited, silence.MIN_STALL_SECONDS)


def _classify_loss(
    progress: executions.AttemptProgress,
    outgoing: Outgoing,
) -> outcomes.ExchangeResult:
    if outgoing.body is not None and outgoing.body.fault is not None:
        return outcomes.ExchangeResult.CANCELLED
    if progress.is_connected:
        return outcomes.ExchangeResult.RESET
    return outcomes.ExchangeResult.CONNECT_FAILED


def _fail(ended: outcomes.ExchangeResult) -> ExchangeOutcome:
    return result.Failure(ExchangeFailure(ended))
