"""Limits of request heads, and the size of a head by which they hold."""

import dataclasses

from aiohttp import web

#: Fewest bytes of a field on the wire: a name, the colon and the line's end.
MIN_FIELD_BYTES = 4

#: Bytes of a request line beside method and target: two blanks, the version
#: and the line's end.
_REQUEST_LINE_BYTES = 12
#: Bytes of a field beside name and value, without optional blanks.
_FIELD_BYTES = 3
#: Bytes of the empty line that ends a head.
_END_BYTES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class HeadLimits:
    """Limits of request heads.

    :param seconds: from the first byte of a head to its end.
    :param head_bytes: largest head: request line, fields and line ends. It
        alone bounds the number of fields.
    :param keepalive_seconds: idle time of a connection.
    :param linger_seconds: for which the rest of a refused body is read, so
        that the caller gets the refusal.
    """

    seconds: float = 5.0
    head_bytes: int = 8190
    keepalive_seconds: float = 75.0
    linger_seconds: float = 1.0

    @property
    def fields(self) -> int:
        """Most fields that a head of this size can have."""
        return self.head_bytes // MIN_FIELD_BYTES


DEFAULT_LIMITS = HeadLimits()


def count_bytes(request: web.BaseRequest) -> int:
    """Return the bytes of a head, without optional blanks around values.

    It is never more than what the caller sent.
    """
    target = request.raw_path.encode('utf-8', 'surrogateescape')
    size = len(request.method) + len(target) + _REQUEST_LINE_BYTES
    for name, text in request.raw_headers:
        size += len(name) + len(text) + _FIELD_BYTES
    return size + _END_BYTES
