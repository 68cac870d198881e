"""Bounds on what a host reads of answers, and the memory that they share."""

import dataclasses
import enum
import typing

#: Memory of a host if nothing is known, in bytes.
DEFAULT_MEMORY_BYTES = 256_000_000
#: The answers that are being read get one part in this many of the memory.
#: A host needs some 65 MB for itself, and an answer is held up to twice more
#: while it is passed on.
_MEMORY_DIVISOR = 8
#: One answer gets one part in this many of what all of them get.
_RESPONSE_DIVISOR = 2
#: An answer without a length gets one part in this many of what others get.
_UNSIZED_DIVISOR = 4
#: Time of the whole link that all answers without a length may have taken at
#: once, in seconds: longer than callers value an answer.
UNSIZED_LINK_SECONDS = 4.0
#: A declared length that takes longer than the time left at this many times the
#: rate of the link cannot arrive. The rate may be exceeded for a while.
LINK_MARGIN = 2.0
#: Bytes of a body's framing that are accepted beyond as many as its content
#: has: more than one read from a socket, which may not be parsed yet.
FRAMING_BYTES = 1024 * 1024
#: Largest head, with the interim answers before it, in bytes. Sound ones have
#: a few hundred.
MAX_HEAD_BYTES = 64 * 1024
#: Longest time from the first byte of a head to its end, in seconds. It is sent
#: at once, and a lost packet is sent again within a second.
HEAD_SECONDS = 2.0


class CutReason(enum.Enum):
    """Why an answer is read no further."""

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
    """Bounds on the answers that a host is reading, in bytes and seconds.

    :param total_bytes: of all answers together.
    :param answer_bytes: of the body that one answer declares.
    :param unsized_total_bytes: of all answers that declare no length.
    :param unsized_bytes: of one answer that declares no length.
    :param link_rate: of the host's link, in bytes a second, if known.
    :param head_bytes: of a head and the interim answers before it.
    :param head_seconds: from the first byte of a head to its end.
    """

    total_bytes: int
    answer_bytes: int
    unsized_total_bytes: int
    unsized_bytes: int
    link_rate: float | None = None
    head_bytes: int = MAX_HEAD_BYTES
    head_seconds: float = HEAD_SECONDS


class PendingResponse(typing.Protocol):
    """An answer that is being read.

    :param size: bytes that were received, with their framing.
    :param is_whole: whether its end has been received.
    """

    size: int
    is_whole: bool

    def cut(self, reason: CutReason) -> None:
        """Free what was received, close the connection and leave budgets."""


class BufferBudget:
    """The bytes that all answers being read may hold together.

    The largest unfinished answer gives way, so small answers of sound
    upstreams are not the victims of large ones.

    :param used_bytes: bytes that are held now.
    """

    def __init__(self, total: int, reason: CutReason) -> None:
        """Start with nothing held."""
        self.used_bytes = 0
        self._total = total
        self._reason = reason
        self._responses: dict[PendingResponse, int] = {}

    def add(self, response: PendingResponse, size: int) -> None:
        """Count bytes that were received; cut answers until all fit."""
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
        """Forget an answer that is cut or was passed on."""
        self.used_bytes -= self._responses.pop(response, 0)


def create_limits(
    memory_bytes: int | None = None,
    link_rate: float | None = None,
) -> ResponseLimits:
    """Return the limits of a host.

    :param memory_bytes: that the host may use; ``None`` if it is not known.
    :param link_rate: of the host's link, in bytes a second, if known.
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
