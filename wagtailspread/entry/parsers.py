"""Request parser of one connection with a limit on incomplete heads.

aiohttp's parser gets its limits when a connection is opened and limits single
lines only. It is given the maximum that a host can buffer; the active limits
are checked here, against the bytes of a head that have arrived so far.
"""

import asyncio
import enum
import typing

from aiohttp import http_exceptions, http_parser, streams

from wagtailspread.entry import heads

_HEAD_END = b'\r\n\r\n'
_LINE_END = b'\r\n'

ParserOutput = tuple[typing.Sequence[typing.Any], bool, bytes]


class RefusalCause(enum.Enum):
    """Reasons for which the connection layer refuses a request."""

    MALFORMED = 'malformed'
    HEAD_TOO_LARGE = 'head-too-large'
    HEAD_OVERDUE = 'head-overdue'
    #: The incomplete heads of all callers exceed the host's budget.
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


class GuardedParser:
    """Parses requests and counts the bytes of an incomplete head.

    :param pending_bytes: bytes of the incomplete head; 0 between requests and
        within a body.
    :param head_started_at: arrival of the first byte of the incomplete head,
        in seconds of the event loop; ``None`` if there is no such head.
    :param is_failed: whether all further input is discarded.
    """

    def __init__(
        self,
        parser: http_parser.HttpRequestParser,
        window: heads.LimitWindow,
        budget: heads.HeadBudget,
    ) -> None:
        """Wrap the parser of a new connection."""
        self.pending_bytes = 0
        self.head_started_at: float | None = None
        self._parser = parser
        self._window = window
        self._budget = budget
        self._payload: streams.StreamReader | None = None
        self.is_failed = False
        self._is_expired = False
        # aiohttp calls these methods on its parser.
        self.message_consumed = parser.message_consumed
        self.pause_reading = parser.pause_reading
        self.set_upgraded = parser.set_upgraded

    @property
    def is_in_body(self) -> bool:
        """Return whether the body of the last request is incomplete."""
        return self._payload is not None and not self._payload.is_eof()

    def expire_head(self) -> None:
        """Refuse the incomplete head at the next call of ``feed_data``."""
        self._is_expired = True

    def feed_data(self, received: bytes) -> ParserOutput:
        """Return the requests that these bytes complete.

        Input after a refused head is discarded, since the start of the next
        head cannot be determined.

        :raises HeadFault: if the head is too large or too late, or the host's
            budget is exceeded.
        """
        if self.is_failed:
            return (), False, b''
        if self._is_expired:
            self._fail()
            raise HeadFault(RefusalCause.HEAD_OVERDUE)
        was_in_body = self.is_in_body
        try:
            output = self._parser.feed_data(received)
        except http_exceptions.HttpProcessingError as error:
            if not was_in_body:
                head, end, _ = received.partition(_HEAD_END)
                self._count_head_bytes(len(head) + len(end), error)
            self._fail()
            raise
        messages = output[0]
        if messages:
            self._payload = messages[-1][1]
            self.release()
        elif not was_in_body:
            # Line ends between two requests belong to neither.
            head_part = (
                received if self.pending_bytes else received.lstrip(_LINE_END)
            )
            self._count_head_bytes(len(head_part))
        return output

    def discard_input(self) -> None:
        """Discard all further input."""
        self._fail()

    def release(self) -> None:
        """Return the bytes of the incomplete head to the host's budget."""
        self._budget.used_bytes -= self.pending_bytes
        self.pending_bytes = 0
        self.head_started_at = None

    def _count_head_bytes(
        self,
        size: int,
        error: http_exceptions.HttpProcessingError | None = None,
    ) -> None:
        """Count bytes of the incomplete head and check the limits.

        :param size: number of bytes to add.
        :param error: error that the parser raised for this head.
        :raises HeadFault: if a limit is exceeded.
        """
        if size and self.head_started_at is None:
            self.head_started_at = asyncio.get_running_loop().time()
        self.pending_bytes += size
        self._budget.used_bytes += size
        cause = None
        if self.pending_bytes > self._window.compute_loosest().head_bytes:
            cause = RefusalCause.HEAD_TOO_LARGE
        elif error is None and self.pending_bytes and self._budget.is_exceeded:
            cause = RefusalCause.HOST_FULL
        if cause is not None:
            self._fail()
            raise HeadFault(cause) from error

    def _fail(self) -> None:
        self.is_failed = True
        self.release()
