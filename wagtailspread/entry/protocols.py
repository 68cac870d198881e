"""Client connections to upstreams with bounds on what is no content.

The client library bounds single lines and the body of an answer that is being
read. It does not bound interim responses, the framing of chunks, or whole
answers that arrive on a connection without an exchange. It also accepts
malformed framing, which is checked before it gets the bytes.
"""

import asyncio
import typing

from aiohttp import client, client_proto, http, streams

from wagtailspread.entry import framing, requests

#: Maximum size of a head with the interim responses before it, in bytes.
#: Regular heads have a few hundred bytes.
MAX_HEAD_BYTES = 64 * 1024
#: Bytes of framing of a body that are accepted beyond the size of its content.
#: This is more than one read from a socket, which may not be parsed yet.
FRAMING_BYTES = 1024 * 1024

_VERSIONS = (http.HttpVersion10, http.HttpVersion11)
_FIRST_INTERIM = 100
_SWITCHING_PROTOCOLS = 101
_FIRST_FINAL = 200


class UnboundedAnswer(client.ClientError):
    """An upstream sent too many bytes that are no content of an answer."""


class MalformedAnswer(client.ClientError):
    """An upstream sent an answer whose framing is malformed."""


def is_interim(status: int) -> bool:
    """Tell whether another head follows the one with this status."""
    is_informational = _FIRST_INTERIM <= status < _FIRST_FINAL
    return is_informational and status != _SWITCHING_PROTOCOLS


def _check_head(message: typing.Any) -> None:
    """Check the version of a response and the fields that delimit its body.

    The client library accepts every version. It reads a body with an unknown
    coding up to the end of the connection, and would pass it on encoded.

    :raises FramingFault: if recipients may differ in the body.
    """
    if message.version not in _VERSIONS:
        raise framing.FramingFault('unknown version')
    if message.version != http.HttpVersion11:
        # RFC 9112, section 6.1.
        if 'Transfer-Encoding' in message.headers:
            raise framing.FramingFault('transfer coding in HTTP/1.0')
    fault = requests.check_framing(message.headers)
    if fault:
        raise framing.FramingFault(fault)


class UpstreamProtocol(client_proto.ResponseHandler):
    """A connection to an upstream that can be closed with an error.

    Its bytes are counted and checked before they are parsed.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create the protocol of a new connection."""
        super().__init__(loop)
        self._framing = framing.ResponseFraming()

    def data_received(self, data: bytes) -> None:
        """Parse bytes up to a bound or a fault.

        The client library also calls this without bytes, and before its
        parser is set up; it passes such early bytes in again later.
        """
        if not data or self._parser is None:
            super().data_received(data)
            return
        try:
            for piece in self._divide(data):
                super().data_received(piece)
                self.finish_piece(piece)
        except framing.FramingFault as fault:
            self.close_with_error(MalformedAnswer(str(fault)))

    def feed_data(self, data: typing.Any, size: int = 0) -> None:
        """Process the end of a head."""
        message, payload = data
        is_followed = is_interim(message.code)
        if not is_followed:
            _check_head(message)
        self._framing.finish_head(
            is_interim=is_followed,
            is_chunked=message.chunked and payload is not streams.EMPTY_PAYLOAD,
        )
        super().feed_data(data, size)

    def count(self, piece: bytes) -> bool:
        """Count bytes; close the connection if they exceed a bound.

        :returns: whether they may be parsed.
        """
        return True

    def finish_piece(self, piece: bytes) -> None:
        """Process the end of a piece that was parsed."""

    def close_with_error(self, error: client.ClientError) -> None:
        """Close the connection at once; raise the error in waiting readers."""
        payload = self._payload
        if payload is not None and payload is not streams.EMPTY_PAYLOAD:
            payload.set_exception(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a body that a reset cuts off.

        The client library takes any end of the connection for the end of a
        body without a length.
        """
        payload = self._payload
        is_open = payload is not None and not payload.is_eof()
        if exc is not None and payload is not None and is_open:
            fault = client.ClientPayloadError('reset within the body')
            payload.set_exception(fault, exc)
        super().connection_lost(exc)

    def _divide(self, received: bytes) -> typing.Iterator[bytes]:
        """Yield the pieces to be parsed while the connection is open.

        :raises FramingFault: if they are malformed.
        """
        start = 0
        is_open = True
        while start < len(received) and is_open:
            end = self._framing.find_end(received, start)
            piece = received[start:end]
            if not self.count(piece):
                return
            yield piece
            start = end
            is_open = self.is_connected()


class PooledProtocol(UpstreamProtocol):
    """A connection that is kept between exchanges.

    Without an exchange it may receive nothing, not even a whole answer.
    """

    _is_kept = False
    _received = 0
    _content: streams.StreamReader = streams.EMPTY_PAYLOAD

    def begin_exchange(self) -> None:
        """Count the bytes of a new answer."""
        self._is_kept = False
        self._framing = framing.ResponseFraming()
        self._received = 0
        self._content = streams.EMPTY_PAYLOAD

    def end_exchange(self) -> None:
        """Accept no bytes until the next exchange."""
        self._is_kept = True

    def count(self, piece: bytes) -> bool:
        """Count bytes; close the connection if they exceed a bound."""
        self._received += len(piece)
        fault = self._find_fault()
        if fault:
            self.close_with_error(UnboundedAnswer(fault))
        return not fault

    def feed_data(self, data: typing.Any, size: int = 0) -> None:
        """Process the end of a head."""
        message, payload = data
        if not is_interim(message.code):
            self._content = payload
        super().feed_data(data, size)

    def _find_fault(self) -> str:
        """Return which bound the received bytes exceed, or an empty string."""
        if self._is_kept:
            return 'bytes without an exchange'
        if not self._framing.is_final_head_complete:
            return 'head too large' if self._received > MAX_HEAD_BYTES else ''
        # Content counts twice, since every byte of it may have framing.
        limit = FRAMING_BYTES + 2 * self._content.total_bytes
        return 'more framing than content' if self._received > limit else ''
