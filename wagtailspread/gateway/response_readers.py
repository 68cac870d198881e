"""Reading of upstream responses within the limits of the host.

Bytes are counted when they are received from the socket, before the client
library parses or buffers them. So the count includes what the library holds.
"""

import asyncio
import contextvars
import functools
import typing

from aiohttp import client, streams

from wagtailspread.entry import connections, executions, protocols
from wagtailspread.gateway import buffers

#: Ends of a blank line, which terminates a head.
_BLANK_LINES = (b'\n\r\n', b'\n\n')
_LONGEST_BLANK_LINE = 3


class AnswerCut(client.ClientError):
    """Reading of a response was aborted because of a limit."""


class BufferBudgets(typing.NamedTuple):
    """Budgets that all responses share.

    :param total: for all responses.
    :param unsized: for responses that declare no length.
    """

    total: buffers.BufferBudget
    unsized: buffers.BufferBudget


class ResponseReader:
    """Receives one response and enforces its limits.

    :param started: start of the exchange, in seconds of the event loop clock.
    :param reason: limit that ended the reading, if any.
    :param size: bytes received, including framing.
    :param is_whole: whether the end of the response has been received.
    :param timer: timer of the head, while it runs.
    :param is_unsized: whether the head is complete and declares no length.
    :param is_head_complete: whether the head of the final response has ended.
    :param protocol: connection that is bound to this reader.
    """

    def __init__(
        self,
        limits: buffers.ResponseLimits,
        budgets: BufferBudgets,
        deadline: float,
    ) -> None:
        """Start with nothing received.

        :param deadline: of the request, in seconds of the event loop clock.
        """
        self.started = asyncio.get_running_loop().time()
        self.reason: buffers.CutReason | None = None
        self.size = 0
        self.is_whole = False
        self.is_unsized = False
        self.is_head_complete = False
        self.protocol: BoundedProtocol | None = None
        self._limits = limits
        self._budgets = budgets
        self._deadline = deadline
        self._content = bytearray()
        self._payload = streams.EMPTY_PAYLOAD
        self._has_interim = False
        self._is_closed = False
        self._tail = b''
        self.timer: asyncio.TimerHandle | None = None

    def count_head(self, piece: bytes) -> bool:
        """Count bytes that may belong to the head.

        :return: whether they may be parsed.
        """
        if self.size + len(piece) > self._limits.head_bytes:
            self.cut(buffers.CutReason.HEAD_SIZE)
        return self._count(len(piece))

    def update_head_timer(self, piece: bytes) -> None:
        """Start or stop the timer of the head after bytes were parsed.

        The timer does not run between an interim response and the next head.
        """
        self._tail = (self._tail + piece)[-_LONGEST_BLANK_LINE:]
        is_between = self._has_interim and self._tail.endswith(_BLANK_LINES)
        if self.is_head_complete or is_between or self._is_closed:
            self._stop_timer()
        elif self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(
                self._limits.head_seconds,
                self.cut,
                buffers.CutReason.HEAD_TIME,
            )

    def count_body(self, size: int) -> bool:
        """Count bytes after the head.

        The parser stops at the end of a body with a declared length, so the
        limit on that length is checked only once, when the head is complete.

        :return: whether they may be parsed.
        """
        received = self.size + size
        if self.is_unsized and received > self._limits.unsized_bytes:
            self.cut(buffers.CutReason.UNSIZED)
        content = self._payload.total_bytes
        if received > protocols.FRAMING_BYTES + content + content:
            self.cut(buffers.CutReason.FRAMING)
        return self._count(size)

    def finish_interim(self) -> None:
        """Process the end of an interim response."""
        self._has_interim = True
        self._stop_timer()

    def finish_head(
        self,
        headers: typing.Any,
        payload: streams.StreamReader,
    ) -> None:
        """Process the end of the head of the final response."""
        self.is_head_complete = True
        self._stop_timer()
        if payload is streams.EMPTY_PAYLOAD:
            self._finish()
            return
        self._payload = payload
        payload.on_eof(self._finish)
        declared = headers.get('Content-Length')
        if declared is None or 'Transfer-Encoding' in headers:
            self.is_unsized = True
        else:
            self._check_length(int(declared))

    async def read(self, content: streams.StreamReader) -> bytearray:
        """Return the whole body.

        This does not wait until the request is sent: an upstream may respond
        before it has read the whole request.

        :raises AnswerCut: if a limit ended the reading.
        """
        piece = await content.readany()
        while piece:
            self._content += piece
            piece = await content.readany()
        if self.reason is not None:
            raise AnswerCut(self.reason.value)
        return self._content

    def cut(self, reason: buffers.CutReason) -> None:
        """Discard what was received and close the connection."""
        if self.reason is not None or self.is_whole:
            return
        self.reason = reason
        self._content.clear()
        self.close()

    def expire(self) -> None:
        """Abort a response that has begun but is incomplete at the deadline."""
        if self.size:
            self.cut(buffers.CutReason.DEADLINE)

    def is_late(self) -> bool:
        """Tell whether the response might be complete with more time.

        A body without a declared length may never end, so it does not count.
        """
        if self.reason is buffers.CutReason.DEADLINE:
            return not self.is_unsized
        return self.reason is buffers.CutReason.DECLARED_TIME

    def close(self) -> None:
        """End the exchange; close the connection of an incomplete response."""
        self._is_closed = True
        self._stop_timer()
        for budget in self._budgets:
            budget.release(self)
        protocol, self.protocol = self.protocol, None
        if protocol is not None and not self.is_whole:
            protocol.close_with_error(AnswerCut(self.reason))
        # The protocol refers to this object and would keep the body alive.
        self._content = bytearray()

    def _count(self, size: int) -> bool:
        if self._is_closed:
            return False
        self.size += size
        self._budgets.total.add(self, size)
        if self.is_unsized and self.reason is None:
            self._budgets.unsized.add(self, size)
        return self.reason is None

    def _check_length(self, declared: int) -> None:
        if declared > self._limits.answer_bytes:
            self.cut(buffers.CutReason.DECLARED_SIZE)
        rate = self._limits.link_rate
        if rate is not None:
            left = self._deadline - asyncio.get_running_loop().time()
            if declared > max(left, 0) * rate * buffers.LINK_MARGIN:
                self.cut(buffers.CutReason.DECLARED_TIME)

    def _finish(self) -> None:
        self.is_whole = self.reason is None

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class BoundedProtocol(protocols.UpstreamProtocol):
    """Counts received bytes and records connection resets.

    A body without a length ends with its connection, and the client library
    treats a reset as the end of such a body.
    """

    record: executions.ConnectionRecord | None = None
    reader: ResponseReader | None = None

    def count(self, piece: bytes) -> bool:
        """Count bytes; bytes beyond a limit are not parsed."""
        if self.reader is None:
            return True
        if self.reader.is_head_complete:
            return self.reader.count_body(len(piece))
        return self.reader.count_head(piece)

    def finish_piece(self, piece: bytes) -> None:
        """Start or stop the timer of the head."""
        if self.reader is not None and not self.reader.is_head_complete:
            self.reader.update_head_timer(piece)

    def feed_data(self, data: typing.Any, size: int = 0) -> None:
        """Process the end of a head."""
        if self.reader is not None and not self.reader.is_head_complete:
            message, payload = data
            if protocols.is_interim(message.code):
                self.reader.finish_interim()
            else:
                self.reader.finish_head(message.headers, payload)
        super().feed_data(data, size)

    def close(self) -> None:
        """Close the connection; discard what the upstream has not taken.

        The transport would otherwise stay open until a slow upstream has read
        the rest of an upload that was given up.
        """
        transport = self.transport
        if transport is not None and transport.get_write_buffer_size():
            self.abort()
        else:
            super().close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record that the connection ended with an error, such as a reset."""
        if exc is not None and self.record is not None:
            self.record.was_reset = True
        super().connection_lost(exc)


class BoundedConnector(connections.TrackingConnector):
    """Opens one connection per exchange and binds it to its reader."""

    def __init__(self) -> None:
        """Create a connector; needs a running event loop."""
        super().__init__(
            0,
            limit=0,
            force_close=True,
            socket_factory=connections.create_socket,
        )

    def _create_factory(self) -> typing.Any:
        """Return the factory of protocols that count for a reader."""
        loop = asyncio.get_running_loop()
        return functools.partial(BoundedProtocol, loop=loop)

    async def connect(
        self,
        req: typing.Any,
        traces: typing.Any,
        timeout: typing.Any,
    ) -> typing.Any:
        """Return a connection whose bytes the current reader counts."""
        connection = await super().connect(req, traces, timeout)
        protocol = connection.protocol
        if isinstance(protocol, BoundedProtocol):
            protocol.record = self.records.get(protocol)
            protocol.reader = _current_reader.get()
            protocol.reader.protocol = protocol
        return connection


_current_reader: contextvars.ContextVar[ResponseReader] = (
    contextvars.ContextVar('intake')
)


def bind_reader(reader: ResponseReader) -> None:
    """Use this reader for the next request of the current task."""
    _current_reader.set(reader)


def create_budgets(limits: buffers.ResponseLimits) -> BufferBudgets:
    """Return unused budgets."""
    return BufferBudgets(
        buffers.BufferBudget(limits.total_bytes, buffers.CutReason.MEMORY),
        buffers.BufferBudget(
            limits.unsized_total_bytes,
            buffers.CutReason.LINK,
        ),
    )
