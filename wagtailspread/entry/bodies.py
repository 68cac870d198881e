"""Request bodies: a buffered prefix, followed by a stream.

The prefix is read before a slot is requested, so that a slow caller does not
occupy a slot while it sends a short body.
"""

import asyncio
import typing

from aiohttp import streams

from returns import result

from wagtailspread.core import outcomes
from wagtailspread.entry import intakes, requests, web

#: Size of the buffered prefix, which the fingerprint covers, in bytes.
MAX_PREFIX_BYTES = 65536
#: Timeout for the next bytes of a body, in seconds.
IDLE_SECONDS = 5.0

#: Detail of the fault for a body that timed out.
SLOW_BODY = 'timeout while waiting for the request body'

#: Status of the fault of a body that the host dropped.
UNAVAILABLE = 503

_BAD_REQUEST = 400
_REQUEST_TIMEOUT = 408
_TOO_LARGE = 413
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class BodyFault(Exception):
    """Reading the caller's body failed.

    :param fault: the fault to report to the caller.
    """

    def __init__(self, fault: requests.RequestFault) -> None:
        """Store the fault; its detail is the message."""
        super().__init__(fault.detail)
        self.fault = fault


class RequestBody:
    """A request body with a buffered prefix.

    :param prefix: the first bytes, up to :data:`MAX_PREFIX_BYTES`.
    :param size: number of bytes read so far.
    :param is_whole: whether the prefix is the complete body.
    :param fault: why reading failed, ``None`` if it did not.
    """

    def __init__(
        self,
        content: streams.StreamReader,
        limit: int,
        idle_seconds: float,
        deadline: float,
        prefix_bytes: int = MAX_PREFIX_BYTES,
    ) -> None:
        """Store the stream without reading from it.

        :param limit: maximum size of the body, in bytes.
        :param idle_seconds: timeout for the next bytes.
        :param deadline: end of the request, in seconds of the event loop.
        :param prefix_bytes: maximum size of the prefix.
        """
        self._max_prefix_bytes = prefix_bytes
        self.prefix = b''
        self.size = 0
        self.is_whole = False
        self.fault: requests.RequestFault | None = None
        self._content = content
        self._limit = limit
        self._idle_seconds = idle_seconds
        self._deadline = deadline
        self._is_consumed = False

    @property
    def is_replayable(self) -> bool:
        """Return whether the body can be sent to another upstream."""
        return self.is_whole or not self._is_consumed

    def open(self) -> bytes | typing.AsyncIterator[bytes] | None:
        """Return the body in a form that the HTTP client accepts."""
        if self.is_whole:
            return self.prefix or None
        return self._stream()

    def refuse(self) -> None:
        """Set the fault of a body that announces more than the limit."""
        self.fault = _create_too_large_fault(self._limit, self._limit + 1)

    async def read_prefix(self) -> requests.RequestFault | None:
        """Read the prefix; return the fault if that fails."""
        blocks = intakes.BlockBuffer()
        # A body over the limit is refused as soon as that is known.
        wanted = min(self._max_prefix_bytes, self._limit + 1)
        try:
            while blocks.size < wanted:
                piece = await self._read(wanted - blocks.size)
                if not piece:
                    self.is_whole = True
                    break
                blocks.append(piece)
                intakes.keep(self._content, len(piece))
        except BodyFault as error:
            return error.fault
        self.size = blocks.size
        if self.size > self._limit:
            return _create_too_large_fault(self._limit, self.size)
        self.prefix = blocks.join()
        intakes.settle(self._content)
        return None

    async def _stream(self) -> typing.AsyncIterator[bytes]:
        self._is_consumed = True
        # The body can't be sent again, so the prefix is not needed any more.
        prefix, self.prefix = self.prefix, b''
        # In parts, since the connection copies what it can't send at once.
        for start in range(0, len(prefix), MAX_PREFIX_BYTES):
            yield prefix[start : start + MAX_PREFIX_BYTES]
        del prefix
        intakes.release(self._content)
        while True:
            piece = await self._read(MAX_PREFIX_BYTES)
            if not piece:
                return
            self.size += len(piece)
            if self.size > self._limit:
                self.fault = _create_too_large_fault(self._limit, self.size)
                raise BodyFault(self.fault)
            yield piece

    async def _read(self, size: int) -> bytes:
        idle_end = asyncio.get_running_loop().time() + self._idle_seconds
        try:
            async with asyncio.timeout_at(min(idle_end, self._deadline)):
                return await self._content.read(size)
        except TimeoutError as error:
            self.fault = _create_slow_fault()
            raise BodyFault(self.fault) from error
        except intakes.BodyDropped as error:
            self.fault = _create_dropped_fault()
            raise BodyFault(self.fault) from error
        except (web.RequestPayloadError, ConnectionError, ValueError) as error:
            self.fault = _create_malformed_fault()
            raise BodyFault(self.fault) from error


async def read_body(
    request: web.BaseRequest,
    checked: requests.CheckedRequest,
    deadline: float,
    idle_seconds: float = IDLE_SECONDS,
) -> result.Result[RequestBody, requests.RequestFault]:
    """Return the body of a request after reading its prefix.

    :param deadline: end of the request, in seconds of the event loop.
    :param idle_seconds: timeout for the next bytes.
    """
    if 'Expect' in request.headers:
        await send_continue(request)
    body = RequestBody(
        request.content,
        checked.limits.max_body,
        idle_seconds,
        deadline,
    )
    fault = await body.read_prefix()
    if fault is not None:
        return result.Failure(fault)
    return result.Success(body)


async def send_continue(request: web.BaseRequest) -> None:
    """Send ``100 Continue`` to a caller that waits for it."""
    transport = request.transport
    if isinstance(transport, asyncio.WriteTransport):
        transport.write(_CONTINUE)


def _create_too_large_fault(limit: int, size: int) -> requests.RequestFault:
    """Return the fault for a body that exceeds its limit.

    :param limit: maximum size of the body, in bytes.
    :param size: number of bytes read so far.
    """
    return requests.RequestFault(
        _TOO_LARGE,
        outcomes.RefusalReason.TOO_LARGE,
        f'body: expected at most {limit} bytes, got at least {size} bytes',
        closes=True,
    )


def _create_slow_fault() -> requests.RequestFault:
    return requests.RequestFault(
        _REQUEST_TIMEOUT,
        outcomes.RefusalReason.REQUEST_TIMEOUT,
        SLOW_BODY,
        closes=True,
    )


def _create_dropped_fault() -> requests.RequestFault:
    return requests.RequestFault(
        UNAVAILABLE,
        outcomes.RefusalReason.NO_CAPACITY,
        'the host needs the memory that the request body takes',
        closes=True,
    )


def _create_malformed_fault() -> requests.RequestFault:
    return requests.RequestFault(
        _BAD_REQUEST,
        outcomes.RefusalReason.BAD_REQUEST,
        'malformed body',
        closes=True,
    )
