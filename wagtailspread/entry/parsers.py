"""The parser of one connection, with a bound for incomplete heads.

aiohttp's parser takes its limits when a connection is opened and bounds each
line only. It is given the most that a host can hold; the limits in force are
checked here, for the bytes of a head that have arrived so far.
"""

import asyncio
import enum
import typing

from aiohttp import http_exceptions, http_parser, streams

from wagtailspread.entry import heads

_HEAD_END = b'\r\n\r\n'
_LINE_END = b'\r\n'

Fed = tuple[typing.Sequence[typing.Any], bool, bytes]


class RefusalCause(enum.Enum):
    """Why the connection layer refused a request."""

    MALFORMED = 'malformed'
    HEAD_TOO_LARGE = 'head-too-large'
    HEAD_OVERDUE = 'head-overdue'
    #: The incomplete heads of all callers fill the host's memory.
    HOST_FULL = 'host-full'
    #: The handler failed; the request may have run.
    SERVER_ERROR = 'server-error'


class HeadFault(http_exceptions.HttpProcessingError):
    """A head that is refused for another reason than its syntax.

    :param cause: why.
    """

    def __init__(self, cause: RefusalCause) -> None:
        """Keep the cause."""
        super().__init__(message=cause.value)
        self.cause = cause


class GuardedParser:
    """Parses requests and counts the bytes of an incomplete head.

    :param pending: bytes of the head that is being received; 0 between
        requests and within a body.
    :param begun: when the first byte of that head arrived, in seconds of the
        event loop; ``None`` without one.
    :param is_failed: whether all that comes is dropped.
    """

    def __init__(
        self,
        parser: http_parser.HttpRequestParser,
        window: heads.LimitWindow,
        budget: heads.HeadBudget,
    ) -> None:
        """Start before the first request of a connection."""
        self.pending = 0
        self.begun: float | None = None
        self._parser = parser
        self._window = window
        self._budget = budget
        self._payload: streams.StreamReader | None = None
        self.is_failed = False
        self._is_overdue = False
        # aiohttp calls these on its parser.
        self.message_consumed = parser.message_consumed
        self.pause_reading = parser.pause_reading
        self.set_upgraded = parser.set_upgraded

    @property
    def is_in_body(self) -> bool:
        """Tell whether the body of the last request has not ended."""
        return self._payload is not None and not self._payload.is_eof()

    def end_overdue(self) -> None:
        """Refuse the incomplete head at the next call of ``feed_data``."""
        self._is_overdue = True

    def feed_data(self, received: bytes) -> Fed:
        """Return the requests that are complete with these bytes.

        What follows a refused head is dropped, since it cannot be told where
        the next one begins.
        """
        if self.is_failed:
            return (), False, b''
        if self._is_overdue:
            self._fail()
            raise HeadFault(RefusalCause.HEAD_OVERDUE)
        was_in_body = self.is_in_body
        try:
            fed = self._parser.feed_data(received)
        except http_exceptions.HttpProcessingError as error:
            if not was_in_body:
                head, end, _ = received.partition(_HEAD_END)
                self._check_excess(len(head) + len(end), error)
            self._fail()
            raise
        messages = fed[0]
        if messages:
            self._payload = messages[-1][1]
            self.release()
        elif not was_in_body:
            # Line ends between two requests belong to neither of them.
            begun = received if self.pending else received.lstrip(_LINE_END)
            self._check_excess(len(begun))
        return fed

    def drop_rest(self) -> None:
        """Drop all that comes from now on."""
        self._fail()

    def release(self) -> None:
        """Give back what the incomplete head took of the host's bytes."""
        self._budget.held -= self.pending
        self.pending = 0
        self.begun = None

    def _check_excess(
        self,
        size: int,
        error: http_exceptions.HttpProcessingError | None = None,
    ) -> None:
        """Add to the incomplete head; raise if it is too large now.

        :param error: what the parser found wrong with it.
        """
        if size and self.begun is None:
            self.begun = asyncio.get_running_loop().time()
        self.pending += size
        self._budget.held += size
        cause = None
        if self.pending > self._window.find_loosest().head_bytes:
            cause = RefusalCause.HEAD_TOO_LARGE
        elif error is None and self.pending and self._budget.is_exceeded:
            cause = RefusalCause.HOST_FULL
        if cause is not None:
            self._fail()
            raise HeadFault(cause) from error

    def _fail(self) -> None:
        self.is_failed = True
        self.release()
