"""Memory budget for responses that wait for their clients.

A response is held until its client has read it. The sum over all connections
of a listener is limited. If it is exceeded, the clients that have read nothing
for the longest time lose their connections. This module decides which; it uses
no network and no clock.
"""

import collections
import enum
import typing

#: Memory of a process if it is unknown, in bytes.
DEFAULT_MEMORY_BYTES = 256_000_000
#: All clients together may leave the memory of the process divided by this
#: unread. Responses that are being received get an eighth and callers a tenth;
#: with a tenth here, a host that states 80 MB took 78,504 kB with 200 clients
#: that pipeline and do not read.
_MEMORY_DIVISOR = 12
#: Part of this that one client may take: the largest response, which takes a
#: sixteenth of the memory, and a fifth of its size for pipelined ones.
_CLIENT_SHARE = 0.9
#: Time without a byte read after which a client with a waiting response loses
#: its connection, in seconds.
STALL_SECONDS = 10.0


class EndCause(enum.Enum):
    """Reasons for which a client loses its connection."""

    STALLED = 'nothing read'
    CLIENT_FULL = 'too much for one client'
    HOST_FULL = 'longest unread while the memory for clients is used up'


class Client(typing.Protocol):
    """The connection of a client."""

    def abort(self, cause: EndCause) -> None:
        """Close the connection and discard what it has not read."""


class DeliveryBudget:
    """Bytes of responses that all clients of a listener may leave unread.

    :param total_bytes: maximum in bytes.
    :param stall_seconds: longest time without a byte read.
    :param used_bytes: bytes that are held now.
    :param most_bytes: most bytes that were held at a time.
    :param ended: number of connections that were closed so far, by cause.
    """

    def __init__(
        self, total_bytes: int, stall_seconds: float = STALL_SECONDS
    ) -> None:
        """Create a budget that is not in use."""
        self.total_bytes = total_bytes
        self.stall_seconds = stall_seconds
        self.used_bytes = 0
        self.most_bytes = 0
        self.ended: collections.Counter[str] = collections.Counter()
        self._sizes: dict[Client, int] = {}
        #: Time of the last byte read by each client with a response that has
        #: begun and is not read; the longest ago first.
        self._read_at: dict[Client, float] = {}

    @property
    def client_bytes(self) -> int:
        """Return how many bytes one client may leave unread."""
        return int(self.total_bytes * _CLIENT_SHARE)

    def begin(self, client: Client, now: float) -> None:
        """Record that a response begins.

        A client that has left an earlier one unread gets no more time for it.
        """
        self._read_at.setdefault(client, now)

    def record_read(self, client: Client, now: float) -> None:
        """Record that a client reads."""
        self._read_at.pop(client, None)
        self._read_at[client] = now

    def finish(self, client: Client) -> None:
        """Record that a client has read all that was sent to it."""
        self._read_at.pop(client, None)

    def resize(self, client: Client, size: int) -> None:
        """Set what is held for a client; end connections until all fits."""
        self.used_bytes += size - self._sizes.pop(client, 0)
        if size:
            self._sizes[client] = size
        if size > self.client_bytes:
            self._end(client, EndCause.CLIENT_FULL)
        while self.used_bytes > self.total_bytes:
            self._end(self._find_least_active(), EndCause.HOST_FULL)
        self.most_bytes = max(self.most_bytes, self.used_bytes)

    def release(self, client: Client) -> None:
        """Remove a client whose connection is closed."""
        self.finish(client)
        self.used_bytes -= self._sizes.pop(client, 0)

    def end_stalled(self, now: float) -> None:
        """End the connections of clients that have read nothing for too long.

        :param now: on the clock of the times of :meth:`record_read`.
        """
        oldest = now - self.stall_seconds
        while self._read_at:
            client, read_at = next(iter(self._read_at.items()))
            if read_at > oldest:
                return
            self._end(client, EndCause.STALLED)

    def _find_least_active(self) -> Client:
        """Return the client whose connection ends next.

        If all that is held are responses whose turn has not come, it is the
        client that holds the most.
        """
        for client in self._read_at:
            if client in self._sizes:
                return client
        return max(self._sizes, key=self._sizes.__getitem__)

    def _end(self, client: Client, cause: EndCause) -> None:
        self.release(client)
        self.ended[cause.value] += 1
        client.abort(cause)


def compute_total(memory_bytes: int | None = None) -> int:
    """Return what all clients together may leave unread, in bytes.

    :param memory_bytes: memory of the process; ``None`` if unknown.
    """
    return (memory_bytes or DEFAULT_MEMORY_BYTES) // _MEMORY_DIVISOR
