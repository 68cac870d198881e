"""Memory budget for what the connections of callers hold.

Each connection counts what it has received and still holds, in bytes of
memory. The sum over all connections of a listener is limited. If it is
exceeded, the requests that have been incomplete for the longest time are
dropped first. They have not been sent to an upstream, so a refusal that
promises this is true.
"""

import typing

#: Memory of a process if it is unknown, in bytes.
DEFAULT_MEMORY_BYTES = 256_000_000
#: All callers together may hold the memory of the process divided by this. A
#: host needs about 50 MB itself, and an eighth is for responses, of which two
#: more copies may exist. Resident memory grew by 2.5 times the budget (bodies
#: in pieces of 1 MB): dropped bodies are released a moment later, and the
#: allocator keeps holes.
_MEMORY_DIVISOR = 10
#: Memory for a header line in addition to its bytes: the names and values in
#: the parsed head, in the copy that is sent, and their containers. A parsed
#: line of four bytes took 166 bytes, each copy of it 26 (tracemalloc, aiohttp
#: 3.13 and 3.14); lines with distinct names took up to 365 in all.
LINE_BYTES = 320
#: Copies of the bytes of a head: raw, as text, and as sent.
_HEAD_COPIES = 4
#: Memory for the objects of one request.
REQUEST_BYTES = 4096


class Holder(typing.Protocol):
    """A connection that holds received bytes."""

    def drop(self) -> None:
        """Refuse the incomplete request and release what it holds."""


class HoldingBudget:
    """Memory that all connections of a listener may hold together.

    :param total_bytes: maximum in bytes.
    :param used_bytes: bytes that are held now.
    :param dropped: number of requests that were dropped so far.
    """

    def __init__(self, total_bytes: int) -> None:
        """Create a budget that is not in use."""
        self.total_bytes = total_bytes
        self.used_bytes = 0
        self.dropped = 0
        self._sizes: dict[Holder, int] = {}
        #: Holders of an incomplete request, the oldest first.
        self._incomplete: dict[Holder, None] = {}

    def resize(self, holder: Holder, size: int) -> None:
        """Set what a connection holds; drop requests until all of it fits."""
        self.used_bytes += size - self._sizes.get(holder, 0)
        self._sizes[holder] = size
        while self.used_bytes > self.total_bytes and self._incomplete:
            self._drop_oldest()

    def fits(self) -> bool:
        """Tell whether the connections stay within the budget."""
        return self.used_bytes <= self.total_bytes

    def is_half_free(self) -> bool:
        """Tell whether the connections use less than half of the budget."""
        return 2 * self.used_bytes < self.total_bytes

    def begin(self, holder: Holder) -> None:
        """Add an incomplete request, unless its connection has one already."""
        self._incomplete.setdefault(holder)

    def complete(self, holder: Holder) -> None:
        """Protect a request that is complete, or partly sent, from drops."""
        self._incomplete.pop(holder, None)

    def release(self, holder: Holder) -> None:
        """Remove a connection that is closed."""
        self.complete(holder)
        self.used_bytes -= self._sizes.pop(holder, 0)

    def _drop_oldest(self) -> None:
        oldest = next(iter(self._incomplete))
        # The connection counts what is left of it when it has dropped.
        self.release(oldest)
        self.dropped += 1
        oldest.drop()


def compute_total(memory_bytes: int | None = None) -> int:
    """Return what all callers may hold together, in bytes.

    :param memory_bytes: memory of the process; ``None`` if unknown.
    """
    return (memory_bytes or DEFAULT_MEMORY_BYTES) // _MEMORY_DIVISOR


def estimate_head(size: int, lines: int) -> int:
    """Return the memory that a complete head takes until its response.

    :param size: bytes of the head.
    :param lines: number of its lines.
    """
    return REQUEST_BYTES + _HEAD_COPIES * size + LINE_BYTES * lines
