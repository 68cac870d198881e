"""Responses of one connection that its client has not read.

The kernel takes bytes of a response before the client reads them, so what the
transport has passed on is no proof that the client reads. The client's kernel
acknowledges bytes as long as the client reads, and those that are not
acknowledged are asked of the socket.
"""

import asyncio
import fcntl
import struct
import sys
import termios
import typing

from wagtailspread.entry import deliveries, web

_COUNT = struct.Struct('i')
#: A body that was collected piece by piece takes up to its size divided by this
#: in addition.
_GROWTH_DIVISOR = 8


class UnreadResponses:
    """Counts what one connection holds for its client."""

    def __init__(
        self,
        client: deliveries.Client,
        budget: deliveries.DeliveryBudget,
        transport: asyncio.Transport,
    ) -> None:
        """Create the counts of a new connection."""
        self._client = client
        self._budget = budget
        self._transport = transport
        self._writer: typing.Any = None
        #: Bytes of the body that is being sent.
        self._body_bytes = 0
        #: Bytes of responses whose turn has not come.
        self._held_bytes = 0
        #: Bytes of the responses that have been sent to the transport.
        self._written = 0
        #: Of these, what the client's kernel had acknowledged at the last
        #: check; ``None`` if there was none since a response began.
        self._acknowledged: int | None = None
        self._size = 0
        self._is_closed = False

    @property
    def is_waiting(self) -> bool:
        """Return whether a response is not sent in full."""
        if self._is_closed:
            return False
        return (
            self._writer is not None
            or self._transport.get_write_buffer_size() > 0
        )

    def begin(
        self, request: web.BaseRequest, response: web.StreamResponse
    ) -> None:
        """Count a response that is sent from now on."""
        if self._is_closed:
            return
        self._writer = request.writer
        self._body_bytes = measure(response)
        self._budget.begin(self._client, _now())
        self.recount()

    def finish(self) -> None:
        """Count the end of a response; the transport may hold the rest."""
        if self._writer is not None:
            self._written += self._writer.output_size
        self._writer = None
        self._body_bytes = 0
        self.recount()

    def hold(self, size: int) -> None:
        """Set the bytes of responses whose turn has not come."""
        self._held_bytes = size + size // _GROWTH_DIVISOR
        self.recount()

    def check(self, now: float) -> None:
        """Record whether the client has read since the last check.

        :param now: seconds of the event loop.
        """
        if self.is_waiting:
            acknowledged = self._count_acknowledged()
            last, self._acknowledged = self._acknowledged, acknowledged
            if last is not None and acknowledged > last:
                self._budget.record_read(self._client, now)
        elif not self._size:
            return
        self.recount()

    def recount(self) -> None:
        """Count what is held in the budget of the listener."""
        if self._is_closed:
            return
        if not self.is_waiting:
            self._acknowledged = None
            self._budget.finish(self._client)
        buffered = self._transport.get_write_buffer_size()
        size = buffered + self._body_bytes + self._held_bytes
        if size != self._size:
            self._size = size
            self._budget.resize(self._client, size)

    def abort(self) -> None:
        """Close the connection without sending the rest."""
        self.close()
        self._transport.abort()

    def close(self) -> None:
        """Release what was counted."""
        self._is_closed = True
        self._writer = None
        self._budget.release(self._client)

    def describe(self) -> dict[str, int]:
        """Return log fields about what is held."""
        return {
            'client_bytes': self._size,
            'unread_bytes': self._budget.used_bytes,
        }

    def _count_acknowledged(self) -> int:
        """Return how many bytes the client's kernel has acknowledged."""
        current = 0 if self._writer is None else self._writer.output_size
        left = self._transport.get_write_buffer_size() + self._count_queued()
        return self._written + current - left

    def _count_queued(self) -> int:
        """Return how many bytes the own kernel holds for the client."""
        connected = self._transport.get_extra_info('socket')
        if connected is None or connected.fileno() < 0:
            return 0
        found = fcntl.ioctl(
            connected.fileno(), termios.TIOCOUTQ, bytes(_COUNT.size)
        )
        return int(_COUNT.unpack(found)[0])


def measure(response: web.StreamResponse) -> int:
    """Return the memory of the body of a response, in bytes."""
    body = getattr(response, 'body', None)
    if body and isinstance(body, bytes | bytearray):
        return sys.getsizeof(body)
    return 0


def release(response: web.StreamResponse) -> None:
    """Release the body of a response that has been sent.

    The HTTP library keeps the last response of a connection until the next
    one: 200 idle connections held 300 MB.
    """
    if measure(response):
        typing.cast(web.Response, response).body = None


def _now() -> float:
    return asyncio.get_running_loop().time()
