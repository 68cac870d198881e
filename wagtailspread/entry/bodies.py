"""Request bodies: a short start that is kept, the rest streamed.

The start is read before a slot is asked for, so that a slow caller holds no
slot while it sends a short body.
"""

import asyncio
import typing

from aiohttp import streams, web

from returns import result

from wagtailspread.core import outcomes
from wagtailspread.entry import requests

#: Bytes of a body that are kept, and that the fingerprint covers.
PREFIX_BYTES = 65536
#: Longest time without a byte of a body, in seconds.
IDLE_SECONDS = 5.0

#: Detail of the fault of a body that came too slowly.
SLOW_BODY = 'slow body'

_BAD_REQUEST = 400
_REQUEST_TIMEOUT = 408
_TOO_LARGE = 413
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class BodyFault(Exception):
    """The caller's body broke off while it was being forwarded.

    :param fault: what was wrong with it.
    """

    def __init__(self, fault: requests.RequestFault) -> None:
        """Keep the fault."""
        super().__init__(fault.detail)
        self.fault = fault


class RequestBody:
    """A body of which the start was read.

    :param prefix: the start, up to :data:`PREFIX_BYTES`.
    :param size: bytes read so far.
    :param is_whole: whether the start is all of it.
    """

    def __init__(
        self,
        content: streams.StreamReader,
        limit: int,
        idle_seconds: float,
        deadline: float,
        kept_bytes: int = PREFIX_BYTES,
    ) -> None:
        """Keep the stream; nothing is read yet.

        :param kept_bytes: longest start that is read before sending.
        """
        self._kept_bytes = kept_bytes
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
        """Tell whether the body can be sent to another upstream."""
        return self.is_whole or not self._is_consumed

    def open(self) -> bytes | typing.AsyncIterator[bytes] | None:
        """Return the body as the client library takes it."""
        if self.is_whole:
            return self.prefix or None
        return self._stream()

    async def read_prefix(self) -> requests.RequestFault | None:
        """Read the start of the body; return what is wrong with it."""
        pieces: list[bytes] = []
        size = 0
        try:
            while size < self._kept_bytes:
                piece = await self._read(self._kept_bytes - size)
                if not piece:
                    self.is_whole = True
                    break
                pieces.append(piece)
                size += len(piece)
        except BodyFault as error:
            return error.fault
        self.prefix = b''.join(pieces)
        self.size = size
        if size > self._limit:
            return _too_large()
        return None

    async def _stream(self) -> typing.AsyncIterator[bytes]:
        self._is_consumed = True
        yield self.prefix
        while True:
            piece = await self._read(PREFIX_BYTES)
            if not piece:
                return
            self.size += len(piece)
            if self.size > self._limit:
                self.fault = _too_large()
                raise BodyFault(self.fault)
            yield piece

    async def _read(self, size: int) -> bytes:
        idle_end = asyncio.get_running_loop().time() + self._idle_seconds
        try:
            async with asyncio.timeout_at(min(idle_end, self._deadline)):
                return await self._content.read(size)
        except TimeoutError as error:
            self.fault = _slow()
            raise BodyFault(self.fault) from error
        except (web.RequestPayloadError, ValueError) as error:
            self.fault = _malformed()
            raise BodyFault(self.fault) from error


async def read_body(
    request: web.BaseRequest,
    checked: requests.CheckedRequest,
    deadline: float,
    idle_seconds: float = IDLE_SECONDS,
) -> result.Result[RequestBody, requests.RequestFault]:
    """Return the body with its start read.

    :param deadline: end of the request in seconds of the event loop.
    :param idle_seconds: longest time without a byte.
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
    """Let a caller that asked first send its body."""
    transport = request.transport
    if isinstance(transport, asyncio.WriteTransport):
        transport.write(_CONTINUE)


def _too_large() -> requests.RequestFault:
    return requests.RequestFault(
        _TOO_LARGE,
        outcomes.RefusalReason.TOO_LARGE,
        'body',
        closes=True,
    )


def _slow() -> requests.RequestFault:
    return requests.RequestFault(
        _REQUEST_TIMEOUT,
        outcomes.RefusalReason.REQUEST_TIMEOUT,
        SLOW_BODY,
        closes=True,
    )


def _malformed() -> requests.RequestFault:
    return requests.RequestFault(
        _BAD_REQUEST,
        outcomes.RefusalReason.BAD_REQUEST,
        'malformed body',
        closes=True,
    )
