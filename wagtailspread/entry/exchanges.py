"""One exchange with an upstream, and how it ended."""

import asyncio
import dataclasses
import typing

import aiohttp
import yarl

from returns import result

from wagtailspread.core import clocks, failures, outcomes
from wagtailspread.entry import connections

#: Answers up to this size are read whole before the caller gets any of them.
BUFFERED_BYTES = 65536


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A request on its way to an upstream.

    :param deadline: seconds on the host's clock.
    """

    method: str
    target: str
    headers: typing.Any
    body: typing.Any
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeFailure(failures.Failure):
    """An exchange without a usable answer.

    :param was_sent: whether the upstream may have run the request.
    """

    result: outcomes.ExchangeResult
    was_sent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An answer; ``body`` is ``None`` while it is still to be streamed."""

    response: aiohttp.ClientResponse
    body: bytes | None


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

    async def send(self, address: str, outgoing: Outgoing) -> ExchangeOutcome:
        """Send a request and return the answer's head and short body."""
        progress = connections.Progress()
        try:
            async with asyncio.timeout_at(outgoing.deadline):
                return await self._send(address, outgoing, progress)
        except TimeoutError:
            return _fail(outcomes.ExchangeResult.TIMEOUT, progress)
        except aiohttp.ClientPayloadError:
            return _fail(outcomes.ExchangeResult.TRUNCATED, progress)
        except (aiohttp.ClientError, OSError):
            return _fail(outcomes.ExchangeResult.RESET, progress)

    async def _send(
        self,
        address: str,
        outgoing: Outgoing,
        progress: connections.Progress,
    ) -> ExchangeOutcome:
        pool = self._pools.find(address)
        remaining = outgoing.deadline - self._clock.now()
        outgoing.headers[outcomes.DEADLINE_HEADER] = str(
            max(1, int(remaining * 1000)),
        )
        response = await pool.send(
            progress,
            outgoing.method,
            yarl.URL(pool.base + outgoing.target, encoded=True),
            outgoing.headers,
            outgoing.body,
        )
        if outcomes.SHED_HEADER in response.headers:
            response.close()
            failure = ExchangeFailure(
                outcomes.ExchangeResult.SHED,
                was_sent=False,
            )
            return result.Failure(failure)
        length = response.content_length
        if length is None or length > BUFFERED_BYTES:
            return result.Success(Reply(response, None))
        body = await response.read()
        return result.Success(Reply(response, body))


def _fail(
    ended: outcomes.ExchangeResult,
    progress: connections.Progress,
) -> ExchangeOutcome:
    if not progress.is_connected:
        ended = outcomes.ExchangeResult.CONNECT_FAILED
    return result.Failure(ExchangeFailure(ended, progress.is_connected))
