"""Reading of one answer, byte by byte under the limits of the host.

Bytes are counted as they leave the socket, before the client library parses or
buffers them: what it holds is then part of what is counted.
"""

import asyncio
import contextvars
import functools
import typing

import aiohttp

from aiohttp import client_proto, streams

from wagtailspread.entry import connections, executions
from wagtailspread.gateway import buffers

#: Bytes of a head that are parsed at once. The parser makes objects of all
#: interim answers in what it gets before any of them can be counted.
_HEAD_STEP_BYTES = 4096
_FIRST_INTERIM = 100
_SWITCHING_PROTOCOLS = 101
_FIRST_FINAL = 200
#: Ends of a blank line; no head goes on behind one.
_BLANK_LINES = (b'\n\r\n', b'\n\n')
_LONGEST_BLANK_LINE = 3


class AnswerCut(aiohttp.ClientError):
    """An answer is read no further."""


class Budgets(typing.NamedTuple):
    """What all answers share.

    :param total: of all answers.
    :param unsized: of those that declare no length.
    """

    total: buffers.BufferBudget
    unsized: buffers.BufferBudget


class Intake:
    """What was received of one answer.

    :param started: start of the exchange, in seconds of the event loop.
    :param reason: why it is read no further, if so.
    :param size: bytes that were received, with their framing.
    :param is_whole: whether its end has been received.
    :param timer: the clock of the head, while it runs.
    :param is_unsized: whether its head is over and declares no length.
    """

    def __init__(
        self,
        limits: buffers.AnswerLimits,
        budgets: Budgets,
        deadline: float,
    ) -> None:
        """Start with nothing received.

        :param deadline: of the request, in seconds of the event loop.
        """
        self.started = asyncio.get_running_loop().time()
        self.reason: buffers.CutReason | None = None
        self.size = 0
        self.is_whole = False
        self.is_unsized = False
        self.is_head_over = False
        self.protocol: BoundedProtocol | None = None
        self._limits = limits
        self._budgets = budgets
        self._deadline = deadline
        self._content = bytearray()
        self._payload = streams.EMPTY_PAYLOAD
        self._has_interim = False
        self._is_closed = False
        self._last = b''
        self.timer: asyncio.TimerHandle | None = None

    def take_head(self, piece: bytes) -> bool:
        """Count a piece that may hold a part of the head.

        :return: whether it may be parsed.
        """
        if self.size + len(piece) > self._limits.head_bytes:
            self.cut(buffers.CutReason.HEAD_SIZE)
        return self._count(len(piece))

    def watch_head(self, piece: bytes) -> None:
        """Start or stop the clock of the head after a piece was parsed.

        It stands still between an interim answer and the next head.
        """
        self._last = (self._last + piece)[-_LONGEST_BLANK_LINE:]
        is_between = self._has_interim and self._last.endswith(_BLANK_LINES)
        if self.is_head_over or is_between or self._is_closed:
            self._stop_timer()
        elif self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(
                self._limits.head_seconds,
                self.cut,
                buffers.CutReason.HEAD_TIME,
            )

    def take_body(self, size: int) -> bool:
        """Count bytes behind the head.

        The parser ends a body with a length there, so its bound is looked at
        once, with the head.

        :return: whether they may be parsed.
        """
        after = self.size + size
        if self.is_unsized and after > self._limits.unsized_bytes:
            self.cut(buffers.CutReason.UNSIZED)
        content = self._payload.total_bytes
        if after > buffers.FRAMING_BYTES + content + content:
            self.cut(buffers.CutReason.FRAMING)
        return self._count(size)

    def note_interim(self) -> None:
        """Note that an interim answer is over."""
        self._has_interim = True
        self._stop_timer()

    def note_head(
        self,
        headers: typing.Any,
        payload: streams.StreamReader,
    ) -> None:
        """Note that the head of the final answer is over."""
        self.is_head_over = True
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

        It does not wait until the request is sent: an upstream may answer
        before it has read all of it.

        :raises AnswerCut: if it is read no further.
        """
        piece = await content.readany()
        while piece:
            self._content += piece
            piece = await content.readany()
        if self.reason is not None:
            raise AnswerCut(self.reason.value)
        return self._content

    def cut(self, reason: buffers.CutReason) -> None:
        """Free what was received and close the connection."""
        if self.reason is not None or self.is_whole:
            return
        self.reason = reason
        self._content.clear()
        self.close()

    def expire(self) -> None:
        """Cut an answer that was begun and is not whole at the deadline."""
        if self.size:
            self.cut(buffers.CutReason.DEADLINE)

    def is_late(self) -> bool:
        """Tell whether more time would have ended the answer.

        A body that declares its length ends by itself.
        """
        if self.reason is buffers.CutReason.DEADLINE:
            return not self.is_unsized
        return self.reason is buffers.CutReason.DECLARED_TIME

    def close(self) -> None:
        """End the exchange; a connection with an unfinished answer closes."""
        self._is_closed = True
        self._stop_timer()
        for budget in self._budgets:
            budget.release(self)
        protocol, self.protocol = self.protocol, None
        if protocol is not None and not self.is_whole:
            protocol.break_off(AnswerCut(self.reason))
        # The protocol refers to this object, so it would keep the body.
        self._content = bytearray()

    def _count(self, size: int) -> bool:
        if self._is_closed:
            return False
        self.size += size
        self._budgets.total.grow(self, size)
        if self.is_unsized and self.reason is None:
            self._budgets.unsized.grow(self, size)
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


class BoundedProtocol(client_proto.ResponseHandler):
    """Counts what it receives, and records whether it was reset.

    A body without a length ends with its connection, and the client library
    takes a reset for its end.
    """

    record: executions.ConnectionRecord | None = None
    intake: Intake | None = None

    def data_received(self, data: bytes) -> None:
        """Count and parse bytes; none beyond a limit are parsed.

        The client library calls this without bytes, or before its parser is
        ready, for bytes that come again or were here before.
        """
        intake = self.intake
        if intake is None or not data or self._parser is None:
            super().data_received(data)
            return
        start = 0
        while start < len(data) and not intake.is_head_over:
            piece = data[start : start + _HEAD_STEP_BYTES]
            start += len(piece)
            if not intake.take_head(piece):
                return
            super().data_received(piece)
            intake.watch_head(piece)
            if not self.is_connected():
                return
        rest = data[start:] if start else data
        if rest and intake.take_body(len(rest)):
            super().data_received(rest)

    def feed_data(self, data: typing.Any, size: int = 0) -> None:
        """Note the end of a head."""
        if self.intake is not None:
            message, payload = data
            code = message.code
            is_interim = _FIRST_INTERIM <= code < _FIRST_FINAL
            if is_interim and code != _SWITCHING_PROTOCOLS:
                self.intake.note_interim()
            else:
                self.intake.note_head(message.headers, payload)
        super().feed_data(data, size)

    def break_off(self, error: AnswerCut) -> None:
        """Close the connection at once and fail whoever waits for it."""
        payload = self._payload
        if payload is not None and payload is not streams.EMPTY_PAYLOAD:
            payload.set_exception(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record a reset."""
        if exc is not None and self.record is not None:
            self.record.was_reset = True
        super().connection_lost(exc)


class BoundedConnector(connections.TrackingConnector):
    """Opens a connection for each exchange and binds it to its intake."""

    def __init__(self) -> None:
        """Open nothing yet; needs a running event loop."""
        super().__init__(
            0,
            limit=0,
            force_close=True,
            socket_factory=connections.create_socket,
        )
        loop = asyncio.get_running_loop()
        create: typing.Any = functools.partial(BoundedProtocol, loop=loop)
        self._factory = create

    async def connect(
        self,
        req: typing.Any,
        traces: typing.Any,
        timeout: typing.Any,
    ) -> typing.Any:
        """Return a connection whose bytes the exchange's intake counts."""
        connection = await super().connect(req, traces, timeout)
        protocol = connection.protocol
        if isinstance(protocol, BoundedProtocol):
            protocol.record = self.records.get(protocol)
            protocol.intake = _intake.get()
            protocol.intake.protocol = protocol
        return connection


_intake: contextvars.ContextVar[Intake] = contextvars.ContextVar('intake')


def track(intake: Intake) -> None:
    """Count the answer to the next request of this task in ``intake``."""
    _intake.set(intake)


def create_budgets(limits: buffers.AnswerLimits) -> Budgets:
    """Return budgets of which nothing is used."""
    return Budgets(
        buffers.BufferBudget(limits.total_bytes, buffers.CutReason.MEMORY),
        buffers.BufferBudget(
            limits.unsized_total_bytes,
            buffers.CutReason.LINK,
        ),
    )
