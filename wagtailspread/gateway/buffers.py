"""Limits on upstream responses, and the memory budget they share."""

import dataclasses
import enum
import typing

from wagtailspread.entry import protocols

#: Assumed memory of a host if it is unknown, in bytes.
DEFAULT_MEMORY_BYTES = 256_000_000
#: All responses being read together get the memory divided by this. A host
#: needs about 65 MB itself, and up to two more copies of a response exist
#: while it is forwarded.
_MEMORY_DIVISOR = 8
#: One response gets the total of all responses divided by this.
_RESPONSE_DIVISOR = 2
#: A response without a declared length gets the limit of others divided by
#: this.
_UNSIZED_DIVISOR = 4
#: All responses without a declared length may together hold what the link
#: carries in this time, in seconds. Callers do not wait that long for a
#: response.
UNSIZED_LINK_SECONDS = 4.0
#: A response is cut if its declared length exceeds what the link carries until
#: the deadline at its rate times this factor. The link may exceed its rate for
#: a while.
LINK_MARGIN = 2.0
#: Maximum time from the first byte of a head to its end, in seconds. A head is
#: sent at once, and a lost packet is retransmitted within one second.
HEAD_SECONDS = 2.0


class CutReason(enum.Enum):
    """Limit that ended the reading of a response."""

    HEAD_SIZE = 'head too large'
    HEAD_TIME = 'head too slow'
    DECLARED_SIZE = 'declared length too large'
    DECLARED_TIME = 'declared length cannot arrive in time'
    FRAMING = 'more framing than content'
    UNSIZED = 'too much for an answer without a length'
    MEMORY = 'largest while the memory for answers is used up'
    LINK = 'largest while answers without a length take the link'
    DEADLINE = 'unfinished at the deadline'


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseLimits:
    """Limits of the responses that a host is reading.

    :param total_bytes: of all responses together.
    :param answer_bytes: of the declared length of one response.
    :param unsized_total_bytes: of all responses that declare no length.
    :param unsized_bytes: of one response that declares no length.
    :param link_rate: of the host's link, in bytes per second, if known.
    :param head_bytes: of a head and the interim responses before it.
    :param head_seconds: from the first byte of a head to its end, in seconds.
    """

    total_bytes: int
    answer_bytes: int
    unsized_total_bytes: int
    unsized_bytes: int
    link_rate: float | None = None
    head_bytes: int = protocols.MAX_HEAD_BYTES
    head_seconds: float = HEAD_SECONDS


class PendingResponse(typing.Protocol):
    """A response that is being read.

    :param size: bytes received, including framing.
    :param is_whole: whether the end has been received.
    """

    size: int
    is_whole: bool

    def cut(self, reason: CutReason) -> None:
        """Discard the content, close the connection and release budgets."""


class BufferBudget:
    """Bytes that all responses being read may hold together.

    If the budget is exceeded, the largest incomplete response is cut. So large
    responses do not displace small ones of healthy upstreams.

    :param used_bytes: bytes that are held now.
    """

    def __init__(self, total: int, reason: CutReason) -> None:
        """Create an unused budget.

        :param total: maximum in bytes.
        :param reason: reason given to responses that are cut.
        """
        self.used_bytes = 0
        self._total = total
        self._reason = reason
        self._responses: dict[PendingResponse, int] = {}

    def add(self, response: PendingResponse, size: int) -> None:
        """Count received bytes; cut the largest responses until they fit."""
        self._responses[response] = self._responses.get(response, 0) + size
        self.used_bytes += size
        while self.used_bytes > self._total:
            unfinished = [one for one in self._responses if not one.is_whole]
            if not unfinished:
                return
            largest = max(unfinished, key=self._responses.__getitem__)
            largest.cut(self._reason)
            self.release(largest)

    def release(self, response: PendingResponse) -> None:
        """Remove a response that was cut or forwarded."""
        self.used_bytes -= self._responses.pop(response, 0)


def create_limits(
    memory_bytes: int | None = None,
    link_rate: float | None = None,
) -> ResponseLimits:
    """Return the limits of a host.

    :param memory_bytes: memory that the host may use; ``None`` if unknown.
    :param link_rate: of the host's link, in bytes per second, if known.
    """
    total = (memory_bytes or DEFAULT_MEMORY_BYTES) // _MEMORY_DIVISOR
    answer = total // _RESPONSE_DIVISOR
    unsized_total = total
    if link_rate is not None:
        unsized_total = min(total, int(link_rate * UNSIZED_LINK_SECONDS))
    return ResponseLimits(
        total,
        answer,
        unsized_total,
        min(answer // _UNSIZED_DIVISOR, unsized_total),
        link_rate,
    )
