"""Strict readings of HTTP/1 byte streams, to compare a parser with.

They accept only what the grammar of RFC 9112 allows, without any of the
tolerance that it permits to recipients. Only the heads and trailers of
responses may have lines that end with a bare line feed, folded fields, space
before colons and texts with control characters (RFC 9110, section 5.5), and
empty lines may precede a response: a proxy may repair all of these.
"""

import enum
import re
import typing

_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
_REQUEST_LINE = re.compile(rb'(%s) ([!-~]+) HTTP/1\.([01])' % _TOKEN)
_STATUS_LINE = re.compile(rb'HTTP/1\.([01]) ([0-9]{3})(?: [^\0\r\n]*)?')
_FIELD = re.compile(rb'(%s):([\t -~\x80-\xff]*)' % _TOKEN)
_RESPONSE_FIELD = re.compile(rb'(%s)[\t ]*:([^\0\r\n]*)' % _TOKEN)
_CHUNK_LINE = re.compile(rb'([0-9A-Fa-f]+)[\t ]*(?:;[\t -~\x80-\xff]*)?')
_DIGITS = re.compile(rb'[0-9]+')
_MAX_DIGITS = 18
_LINE_END = b'\r\n'
_FIRST_INTERIM = 100
_FIRST_FINAL = 200
_SWITCHING_PROTOCOLS = 101
_BODYLESS = frozenset((204, 304))

Fields = tuple[tuple[bytes, bytes], ...]


class StreamState(enum.Enum):
    """What follows the last complete request of a stream."""

    #: Nothing, or the start of a request.
    WAITING = 'waiting'
    #: Bytes that no request starts with; a server must close the connection.
    MALFORMED = 'malformed'
    #: Bytes that belong to no request, since the last one closes.
    CLOSED = 'closed'
    #: Bytes of another protocol.
    OTHER = 'other'


class StrictRequest(typing.NamedTuple):
    """A request.

    :param body: ``None`` if it is incomplete or malformed.
    """

    method: bytes
    target: bytes
    fields: Fields
    body: bytes | None


class StreamReading(typing.NamedTuple):
    """The reading of a stream.

    :param partial: the request behind the complete ones whose head is complete.
    """

    requests: list[StrictRequest]
    state: StreamState
    partial: StrictRequest | None = None


class StrictResponse(typing.NamedTuple):
    """A complete final response."""

    status: int
    body: bytes


class Malformed(Exception):
    """Bytes that the grammar does not allow."""


class Incomplete(Exception):
    """Bytes that end before the message does."""


def read_requests(stream: bytes) -> StreamReading:
    """Return all requests of a connection."""
    found: list[StrictRequest] = []
    state: StreamState | None = None
    partial: StrictRequest | None = None
    while state is None:
        state, partial, stream = _read_request(found, stream)
    return StreamReading(found, state, partial)


def read_response(stream: bytes, *, is_closed: bool) -> StrictResponse | None:
    """Return the final response to a GET request if it is proved complete.

    :param is_closed: whether the connection ended after the stream, and not by
        a reset.
    """
    try:
        return _read_response(stream, is_closed=is_closed)
    except (Malformed, Incomplete):
        return None


def _read_request(
    found: list[StrictRequest], stream: bytes
) -> tuple[StreamState | None, StrictRequest | None, bytes]:
    """Read the next request of a stream.

    :returns: the state if it is the last one, the request if its body is not
        read, and the rest of the stream.
    """
    while stream.startswith(_LINE_END):
        stream = stream.removeprefix(_LINE_END)
    head, blank, rest = stream.partition(_LINE_END + _LINE_END)
    if not blank:
        return StreamState.WAITING, None, b''
    partial: StrictRequest | None = None
    try:
        partial, is_last = _read_head(head)
        body, rest = _read_request_body(partial.fields, rest)
    except Incomplete:
        return StreamState.WAITING, partial, b''
    except Malformed:
        return StreamState.MALFORMED, partial, b''
    found.append(partial._replace(body=body))
    if partial.method == b'CONNECT' or _find(partial.fields, b'upgrade'):
        return StreamState.OTHER, None, b''
    return StreamState.CLOSED if is_last else None, None, rest


def _read_response(stream: bytes, *, is_closed: bool) -> StrictResponse:
    status, fields, rest = _read_response_head(stream)
    while status < _FIRST_FINAL:
        if status < _FIRST_INTERIM or status == _SWITCHING_PROTOCOLS:
            raise Malformed
        status, fields, rest = _read_response_head(rest)
    if status in _BODYLESS:
        return StrictResponse(status, b'')
    lengths, codings = _find_framing(fields)
    if lengths or codings:
        rest = _read_body(lengths, codings, rest, is_response=True)[0]
    elif not is_closed:
        raise Incomplete
    return StrictResponse(status, rest)


def _read_response_head(stream: bytes) -> tuple[int, Fields, bytes]:
    """Return the status and fields of a response, and the bytes behind them."""
    stream = stream.lstrip(_LINE_END)
    end = re.search(rb'\r?\n\r?\n', stream)
    if end is None:
        raise Incomplete
    line, *lines = re.split(rb'\r?\n', stream[: end.start()])
    fields = _read_fields(_unfold(lines), _RESPONSE_FIELD)
    minor, status = _match(_STATUS_LINE, line).groups()
    if minor == b'0' and _find(fields, b'transfer-encoding'):
        raise Malformed
    return int(status), fields, stream[end.end() :]


def _read_head(head: bytes) -> tuple[StrictRequest, bool]:
    """Return a request without its body, and whether it is the last one."""
    line, *lines = head.split(_LINE_END)
    method, target, minor = _match(_REQUEST_LINE, line).groups()
    fields = _read_fields(lines)
    options = {
        option.strip(b'\t ').lower()
        for value in _find(fields, b'connection')
        for option in value.split(b',')
    }
    is_old = minor == b'0'
    if is_old and _find(fields, b'transfer-encoding'):
        raise Malformed
    is_last = b'close' in options or (is_old and b'keep-alive' not in options)
    return StrictRequest(method, target, fields, None), is_last


def _read_request_body(fields: Fields, rest: bytes) -> tuple[bytes, bytes]:
    """Return the body of a request and the bytes behind it."""
    lengths, codings = _find_framing(fields)
    if not lengths and not codings:
        return b'', rest
    return _read_body(lengths, codings, rest)


def _read_body(
    lengths: list[bytes],
    codings: list[bytes],
    rest: bytes,
    *,
    is_response: bool = False,
) -> tuple[bytes, bytes]:
    """Return a body with a declared end, and the bytes behind it.

    :param is_response: whether trailers are read with the tolerance above.
    """
    if codings:
        if lengths or [one.lower() for one in codings] != [b'chunked']:
            raise Malformed
        return _read_chunks(rest, is_response=is_response)
    if len(lengths) != 1 or not _DIGITS.fullmatch(lengths[0]):
        raise Malformed
    digits = lengths[0].lstrip(b'0') or b'0'
    # Longer texts may exceed the limit of ``int``, and exceed any body.
    size = int(digits) if len(digits) <= _MAX_DIGITS else len(rest) + 1
    if len(rest) < size:
        raise Incomplete
    return rest[:size], rest[size:]


def _read_chunks(rest: bytes, *, is_response: bool) -> tuple[bytes, bytes]:
    """Return the content of a chunked body, and the bytes behind it."""
    body = b''
    chunk, rest = _read_chunk(rest)
    while chunk:
        body += chunk
        chunk, rest = _read_chunk(rest)
    line, rest = _read_trailer(rest, is_response=is_response)
    while line:
        _match(_RESPONSE_FIELD if is_response else _FIELD, line)
        line, rest = _read_trailer(rest, is_response=is_response)
    return body, rest


def _read_chunk(rest: bytes) -> tuple[bytes, bytes]:
    line, rest = _split_line(rest)
    size = int(_match(_CHUNK_LINE, line)[1], 16)
    if not size:
        return b'', rest
    chunk, rest = rest[:size], rest[size:]
    if len(chunk) < size or rest in {b'', b'\r'}:
        raise Incomplete
    if not rest.startswith(_LINE_END):
        raise Malformed
    return chunk, rest.removeprefix(_LINE_END)


def _read_trailer(rest: bytes, *, is_response: bool) -> tuple[bytes, bytes]:
    line, rest = _split_line(rest, b'\n' if is_response else _LINE_END)
    return line.removesuffix(b'\r'), rest


def _split_line(
    rest: bytes, line_end: bytes = _LINE_END
) -> tuple[bytes, bytes]:
    line, end, rest = rest.partition(line_end)
    if not end:
        raise Incomplete
    return line, rest


def _read_fields(
    lines: list[bytes], pattern: re.Pattern[bytes] = _FIELD
) -> Fields:
    found = []
    for line in lines:
        name, text = _match(pattern, line).groups()
        found.append((name.lower(), text.strip(b'\t ')))
    return tuple(found)


def _unfold(lines: list[bytes]) -> list[bytes]:
    """Join the lines of each field, as a proxy may (section 5.2)."""
    joined: list[bytes] = []
    for line in lines:
        if joined and line[:1] in {b' ', b'\t'}:
            joined[-1] += b' ' + line.strip(b'\t ')
        else:
            joined.append(line)
    return joined


def _find_framing(fields: Fields) -> tuple[list[bytes], list[bytes]]:
    """Return the lengths and the codings that a head states."""
    return _find(fields, b'content-length'), _find(fields, b'transfer-encoding')


def _find(fields: Fields, name: bytes) -> list[bytes]:
    return [text for found, text in fields if found == name]


def _match(pattern: re.Pattern[bytes], text: bytes) -> re.Match[bytes]:
    found = pattern.fullmatch(text)
    if found is None:
        raise Malformed
    return found
