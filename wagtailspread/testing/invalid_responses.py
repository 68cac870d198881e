"""Responses that no client may get as complete ones, for both request paths."""

import dataclasses
import enum


class Ending(enum.Enum):
    """How an upstream ends its connection after an invalid response."""

    CLOSED = 'closed'
    RESET = 'reset'


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidResponse:
    """An invalid response.

    :param status_line: the first line, empty for text without one.
    :param headers: header lines that delimit the body.
    :param body: what is sent of the body.
    :param endings: how the connection may end.
    """

    status_line: bytes
    headers: bytes
    body: bytes
    endings: tuple[Ending, ...] = tuple(Ending)


_OK = b'HTTP/1.1 200 OK\r\n'
_SIZED = b'Content-Length: 5\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n'

#: Invalid responses by name.
INVALID_RESPONSES = {
    # A body without a length ends with its connection, and a reset is no end.
    'without-length': InvalidResponse(_OK, b'', b'part', (Ending.RESET,)),
    # More than a host buffers before it passes a response on.
    'long-without-length': InvalidResponse(
        _OK, b'', b'part' * 50_000, (Ending.RESET,)
    ),
    'status-000': InvalidResponse(b'HTTP/1.1 000 OK\r\n', _SIZED, b'whole'),
    'status-099': InvalidResponse(b'HTTP/1.1 099 OK\r\n', _SIZED, b'whole'),
    'status-1000': InvalidResponse(b'HTTP/1.1 1000 OK\r\n', _SIZED, b'whole'),
    'no-status-line': InvalidResponse(b'', b'', b'no response at all\r\n\r\n'),
    'short-body': InvalidResponse(_OK, _SIZED, b'who'),
    'cut-chunk': InvalidResponse(_OK, _CHUNKED, b'5\r\nwho'),
    'no-last-chunk': InvalidResponse(_OK, _CHUNKED, b'5\r\nwhole\r\n'),
    # A bare LF must not end a chunk: the CR would become its last byte.
    'chunk-without-last-byte': InvalidResponse(
        _OK, _CHUNKED, b'2\r\nan\r\n5\r\nwhol\r\n1\r\nx\r\n0\r\n\r\n'
    ),
    'last-chunk-without-last-byte': InvalidResponse(
        _OK, _CHUNKED, b'2\r\nan\r\n5\r\nwhol\r\n0\r\n\r\n'
    ),
    'chunk-size-too-large': InvalidResponse(
        _OK, _CHUNKED, b'6\r\nwhole\r\n0\r\n\r\n'
    ),
    'unknown-coding': InvalidResponse(
        _OK, b'Transfer-Encoding: odd\r\n', b'5\r\nwhole\r\n0\r\n\r\n'
    ),
    # Other recipients take the vertical tab for a part of the name.
    'vertical-tab-in-coding': InvalidResponse(
        _OK,
        b'Transfer-Encoding: \x0bchunked\r\n',
        b'5\r\nwhole\r\n0\r\n\r\n',
    ),
    'chunks-in-old-version': InvalidResponse(
        b'HTTP/1.0 200 OK\r\n', _CHUNKED, b'5\r\nwhole\r\n0\r\n\r\n'
    ),
    'unknown-version': InvalidResponse(
        b'HTTP/2.0 200 OK\r\n', _SIZED, b'whole'
    ),
    # More than a host buffers before it passes a response on.
    'long-chunk-without-last-byte': InvalidResponse(
        _OK,
        _CHUNKED,
        b'f000\r\n' + b'x' * 0xF000 + b'\r\n'
        b'f000\r\n' + b'x' * 0xF000 + b'\r\n5\r\nwhol\r\n0\r\n\r\n',
    ),
}


def list_cases() -> list[tuple[str, Ending]]:
    """Return the names of all responses with each of their endings."""
    return [
        (name, ending)
        for name, response in INVALID_RESPONSES.items()
        for ending in response.endings
    ]


def write(response: InvalidResponse, own_headers: bytes) -> bytes:
    """Return the bytes of a response.

    :param own_headers: header lines that a valid response has.
    """
    if not response.status_line:
        return response.body
    lines = (response.status_line, own_headers, response.headers, b'\r\n')
    return b''.join((*lines, response.body))


def is_complete_success(received: bytes) -> bool:
    r"""Tell whether a client got a complete 2xx as its first response.

    :param received: all bytes until the end of its connection.

    >>> is_complete_success(b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n')
    False
    """
    head, _, body = received.partition(b'\r\n\r\n')
    if not head.startswith(b'HTTP/1.1 2'):
        return False
    lines = head.lower().split(b'\r\n')
    lengths = [line for line in lines if line.startswith(b'content-length:')]
    if lengths:
        return len(body) >= int(lengths[0].partition(b':')[2])
    if b'transfer-encoding: chunked' in lines:
        return b'0\r\n\r\n' in body
    return True
