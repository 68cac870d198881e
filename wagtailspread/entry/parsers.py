"""Request parser of one connection that holds little of what arrives.

aiohttp's parser takes 40 bytes and more of memory for each byte of a head of
short lines, and it parses up to 32 requests ahead. So a head is kept as it was
received until it is complete, and is parsed when the request can be handled
soon. Bytes of a body are parsed only while the body's buffer has room.

Both ends are found without parsing: a head ends with an empty line, and the end
of a chunked body is found by its framing, which is checked as that of responses
is. aiohttp's parser of requests accepts no other line end than CR and LF.
"""

import asyncio
import collections
import enum
import re
import typing

from aiohttp import base_protocol, http, http_exceptions, http_parser
from aiohttp import streams

from wagtailspread.entry import framing, heads, holdings, intakes, pipelines
from wagtailspread.entry import web

#: Requests of a connection that are parsed and not handled yet. Further
#: requests are kept as received.
MAX_PARSED_REQUESTS = 2
#: The same while the callers hold less than half of the budget, so that
#: pipelined requests can be handled concurrently.
MAX_PARSED_WITH_ROOM = pipelines.WINDOW
#: Bytes of a body that are parsed at once. Chunks of one byte take up to 16
#: times their bytes until they are joined.
PIECE_BYTES = 16_384
#: A complete head may exceed the limit by this factor, in optional whitespace
#: that does not count towards its size.
_WHITESPACE_FACTOR = 2

_BLANK_LINE = b'\r\n\r\n'
_LINE_ENDS = b'\r\n'
_BUFFER_BYTES = 65_536
#: aiohttp's parser also accepts a request line without a version, so that one
#: without the last space has the version in its target, and several spaces.
_REQUEST_LINE = re.compile(rb'[!-~]+ [!-~\x80-\xff]+ HTTP/1\.[01]\r\n')

_BODY_FAULTS = (http_exceptions.HttpProcessingError, framing.FramingFault)

_Message = tuple[typing.Any, streams.StreamReader]
ParserOutput = tuple[typing.Sequence[typing.Any], bool, bytes]


class RefusalCause(enum.Enum):
    """Reasons for which the connection layer refuses a request."""

    MALFORMED = 'malformed'
    HEAD_TOO_LARGE = 'head-too-large'
    HEAD_OVERDUE = 'head-overdue'
    #: What all callers hold exceeds the host's budget.
    HOST_FULL = 'host-full'
    #: The handler failed; the request may have been executed.
    SERVER_ERROR = 'server-error'


class HeadFault(http_exceptions.HttpProcessingError):
    """A head that is refused for a reason other than its syntax.

    :param cause: reason of the refusal.
    """

    def __init__(self, cause: RefusalCause) -> None:
        """Store the cause; its value is the message."""
        super().__init__(message=cause.value)
        self.cause = cause


class Connection(typing.Protocol):
    """The connection whose input is parsed."""

    def resume(self) -> None:
        """Parse what has been received; called from the event loop."""

    def recount(self) -> None:
        """Count what the connection holds."""

    def drop(self) -> None:
        """Refuse the incomplete request and release what it holds."""


class _PassiveProtocol(base_protocol.BaseProtocol):
    """Stands in for the connection at the buffers of aiohttp's parser.

    They are emptied after each piece, so they never have to pause it.
    """

    def pause_reading(self) -> None:
        """Ignore a full buffer."""

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Ignore an empty buffer."""


class GuardedParser:
    """Parses requests, and counts and limits what has not been handled.

    :param head_started_at: arrival of the first byte of the incomplete head,
        in seconds of the event loop; ``None`` if there is no such head.
    :param is_failed: whether all further input is discarded.
    """

    def __init__(
        self,
        connection: Connection,
        protocol: base_protocol.BaseProtocol,
        window: heads.LimitWindow,
        budget: holdings.HoldingBudget,
    ) -> None:
        """Create the parser of a new connection."""
        self.head_started_at: float | None = None
        self.is_failed = False
        self._connection = connection
        self._protocol = protocol
        self._window = window
        self._budget = budget
        self._inner = _create_inner()
        self._pending = bytearray()
        #: Bytes of the incomplete head that hold no blank line.
        self._searched = 0
        self._body: _IncompleteBody | None = None
        #: Whether the body may end with trailers, and a request may follow.
        self._has_trailers = False
        self._unhandled = 0
        #: Memory of the heads of the requests without a response.
        self._costs: collections.deque[int] = collections.deque()
        self._fault: http_exceptions.HttpProcessingError | None = None
        self._is_upgraded = False

    @property
    def held_bytes(self) -> int:
        """Return the memory of what was received and is still held."""
        body = 0 if self._body is None else self._body.intake.held_bytes
        return len(self._pending) + sum(self._costs) + body

    @property
    def first_cost(self) -> int:
        """Return the memory of the head of the oldest request."""
        return self._costs[0] if self._costs else 0

    @property
    def is_incomplete(self) -> bool:
        """Return whether a head or body is incomplete and may be dropped."""
        if self.is_failed or self._fault is not None:
            return False
        if self._body is None:
            return bool(self._pending)
        return not self._body.intake.is_settled

    @property
    def max_parsed(self) -> int:
        """Return how many requests may be parsed and not handled yet."""
        has_room = self._budget.is_half_free()
        return MAX_PARSED_WITH_ROOM if has_room else MAX_PARSED_REQUESTS

    def expire_head(self) -> None:
        """Refuse the incomplete head at the next call of ``feed_data``."""
        self._fault = HeadFault(RefusalCause.HEAD_OVERDUE)

    def drop(self) -> None:
        """Give up the incomplete request.

        A head is refused at the next call of ``feed_data``, a body by its
        handler.
        """
        if self._body is None:
            self._pending.clear()
            self._fault = HeadFault(RefusalCause.HOST_FULL)
        else:
            self._body.intake.drop()
            self._fail()

    def feed_data(self, received: bytes) -> ParserOutput:
        """Return the requests that these bytes complete.

        Input after a refused head is discarded, since the start of the next
        head cannot be determined.

        :raises HeadFault: if the head is too large or too late, or the host's
            budget is exceeded.
        """
        if self.is_failed:
            return (), False, b''
        self._pending += received
        messages: list[_Message] = []
        try:
            has_more = True
            while has_more:
                has_more = self._parse_next(messages)
        except http_exceptions.HttpProcessingError as error:
            if not messages:
                self._fail()
                raise
            # The requests before it are handled first.
            self._fault = error
            asyncio.get_running_loop().call_soon(self._connection.resume)
        tail = b''
        if self._is_upgraded:
            tail = bytes(self._pending)
            self._pending.clear()
        return messages, self._is_upgraded, tail

    def message_consumed(self) -> None:
        """Count a request whose handling begins."""
        self._unhandled -= 1

    def finish_request(self) -> None:
        """Release the head of the oldest request; it has its response."""
        if self._costs:
            self._costs.popleft()

    def pause_reading(self) -> None:
        """Do nothing: the buffer of the body tells when to go on."""

    def set_upgraded(self, is_upgraded: bool) -> None:
        """Take note that an upgrade was declined."""
        self._is_upgraded = is_upgraded
        self._inner.set_upgraded(is_upgraded)

    def discard_input(self) -> None:
        """Discard what is held of the input, and all further input."""
        if self._body is not None:
            self._body.intake.discard()
        self._fail()

    def release(self) -> None:
        """Release the incomplete head of a closed connection."""
        self._pending.clear()
        self.head_started_at = None

    def _parse_next(self, messages: list[_Message]) -> bool:
        """Parse the next piece; return whether there may be another one."""
        if self.is_failed or self._is_upgraded:
            return False
        if self._body is not None:
            return self._parse_body(self._body)
        if self._fault is not None:
            raise self._fault
        if self._unhandled >= self.max_parsed:
            return False
        return self._parse_head(messages)

    def _parse_head(self, messages: list[_Message]) -> bool:
        # Empty lines between two requests belong to neither. Single CRs do not
        # end lines, so others may take what follows for one line.
        while self._pending.startswith(_LINE_ENDS):
            del self._pending[: len(_LINE_ENDS)]
        if not self._pending or self._pending == _LINE_ENDS[:1]:
            return False
        if self.head_started_at is None:
            self.head_started_at = asyncio.get_running_loop().time()
        size = self._find_end()
        self._check_size(size)
        if not size:
            return False
        self._take_head(size, messages)
        return True

    def _find_end(self) -> int:
        """Return the size of the head, 0 if it is incomplete."""
        start = max(0, self._searched - len(_BLANK_LINE))
        found = self._pending.find(_BLANK_LINE, start)
        self._searched = len(self._pending)
        if found < 0:
            return 0
        self._searched = 0
        return found + len(_BLANK_LINE)

    def _check_size(self, size: int) -> None:
        """Check the limit of the head.

        :param size: of the head, 0 if it is incomplete.
        :raises HttpProcessingError: if it is exceeded, or if the first byte
            starts no head.
        """
        limit = self._window.compute_loosest().head_bytes
        if size:
            limit *= _WHITESPACE_FACTOR
        elif not self._pending[:1].isalpha():
            raise http_exceptions.BadHttpMethod('')
        if (size or len(self._pending)) > limit:
            raise HeadFault(RefusalCause.HEAD_TOO_LARGE)

    def _take_head(self, size: int, messages: list[_Message]) -> None:
        """Parse a complete head.

        :raises HttpProcessingError: if it is malformed, or if the host cannot
            hold it.
        """
        head = bytes(self._pending[:size])
        del self._pending[:size]
        self.head_started_at = None
        self._reserve(head)
        try:
            if _REQUEST_LINE.match(head) is None:
                raise http_exceptions.BadStatusLine('malformed request line')
            parsed, is_upgraded, _ = self._inner.feed_data(head)
        except http_exceptions.HttpProcessingError as error:
            if size > self._window.compute_loosest().head_bytes:
                raise HeadFault(RefusalCause.HEAD_TOO_LARGE) from error
            raise
        if not parsed:
            raise http_exceptions.BadHttpMessage('head without an end')
        message, content = parsed[0]
        if message.version < http.HttpVersion11:
            message = _restrict_old(message)
        self._unhandled += 1
        self._is_upgraded = is_upgraded
        if content is not streams.EMPTY_PAYLOAD:
            content = self._start_body(message, content)
        messages.append((message, content))

    def _reserve(self, head: bytes) -> None:
        """Count the memory that the head takes when it is parsed.

        :raises HeadFault: if the host cannot hold it.
        """
        self._budget.complete(self._connection)
        cost = holdings.estimate_head(len(head), head.count(_LINE_ENDS))
        self._costs.append(cost)
        self._connection.recount()
        if not self._budget.fits():
            self._costs.pop()
            raise HeadFault(RefusalCause.HOST_FULL)

    def _start_body(
        self,
        message: typing.Any,
        content: streams.StreamReader,
    ) -> streams.StreamReader:
        intake = intakes.BodyIntake(self._protocol, self._connection.recount)
        if content.is_eof():
            intake.feed_eof()
        else:
            declared = message.headers.get('Content-Length')
            left = None if declared is None else int(declared)
            self._body = _IncompleteBody(content, intake, left)
            self._has_trailers = left is None and not message.should_close
        return intake

    def _parse_body(self, body: '_IncompleteBody') -> bool:
        if not self._pending or body.intake.is_full:
            return False
        try:
            piece = body.take_piece(self._pending)
            self._is_upgraded = self._inner.feed_data(piece)[1]
            is_complete = body.forward()
        except _BODY_FAULTS as error:
            fault = web.RequestPayloadError(str(error))
            body.intake.set_exception(fault, error)
            self._fail()
            return False
        if is_complete:
            self._body = None
            if self._has_trailers:
                # aiohttp's parser adds the trailers of a chunked body to the
                # fields of the next request.
                self._inner = _create_inner()
        return True

    def _fail(self) -> None:
        self.is_failed = True
        self.release()


class _IncompleteBody:
    """The body that is being received.

    :param intake: the stream that the handler reads.
    """

    def __init__(
        self,
        content: streams.StreamReader,
        intake: intakes.BodyIntake,
        left: int | None,
    ) -> None:
        """Store the streams.

        :param content: the stream that aiohttp's parser feeds.
        :param left: number of bytes that follow, ``None`` if it is chunked.
        """
        self.intake = intake
        self._content = content
        self._left = left
        self._chunks = framing.ChunkScanner(framing.MessageKind.REQUEST)

    def take_piece(self, pending: bytearray) -> bytes:
        """Remove the next piece, which ends with the body at the latest.

        :raises FramingFault: if the framing of its chunks is malformed.
        """
        if self._left is None:
            size = self._chunks.scan(bytes(pending[:PIECE_BYTES]))
        else:
            size = min(PIECE_BYTES, self._left)
            self._left -= min(size, len(pending))
        piece = bytes(pending[:size])
        del pending[:size]
        return piece

    def forward(self) -> bool:
        """Forward parsed content as one piece; return whether it was all.

        :raises FramingFault: if the parser and the framing differ in the end.
        """
        self.intake.feed_data(self._content.read_nowait())
        has_ended = self._content.is_eof()
        if self._left is None and has_ended != self._chunks.is_complete:
            raise framing.FramingFault('end of the body is ambiguous')
        if has_ended:
            self.intake.feed_eof()
        return has_ended


def _restrict_old(message: typing.Any) -> typing.Any:
    """Return an HTTP/1.0 request as RFC 9112 reads it (sections 6.1 and 9.3).

    aiohttp's parser accepts chunked bodies, and keeps a connection that has
    both ``close`` and ``keep-alive``.

    :raises HttpProcessingError: if it has a transfer coding.
    """
    if 'Transfer-Encoding' in message.headers:
        raise http_exceptions.BadHttpMessage('transfer coding in HTTP/1.0')
    options = ','.join(message.headers.getall('Connection', ())).lower()
    if 'close' in {option.strip() for option in options.split(',')}:
        return message._replace(should_close=True)
    return message


def _create_inner() -> http_parser.HttpRequestParser:
    loop = asyncio.get_running_loop()
    return http_parser.HttpRequestParser(
        _PassiveProtocol(loop),
        loop,
        _BUFFER_BYTES,
        max_line_size=heads.MAX_LINE_BYTES,
        max_field_size=heads.MAX_LINE_BYTES,
        max_headers=heads.MAX_LINE_BYTES // heads.MIN_FIELD_BYTES,
        payload_exception=web.RequestPayloadError,
        auto_decompress=False,
    )
