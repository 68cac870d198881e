"""Framing of HTTP/1.1 messages, read without tolerance (RFC 9112).

aiohttp's parser of responses accepts a bare LF at the end of a chunk, so that a
chunk without its last byte passes with the CR in its place. In a head, it
accepts a single CR and space before the first field, which other recipients
ignore or refuse. So the framing is checked before the parser gets the bytes.
The results do not depend on how the bytes are divided, and only the current
line is held, without the extensions of a chunk.
"""

import enum
import re

#: Maximum number of digits of the size of a chunk, with leading zeros.
MAX_SIZE_DIGITS = 64
#: Maximum size of the trailers of a body, in bytes.
MAX_TRAILER_BYTES = 64 * 1024

_LF = b'\n'
_CR = b'\r'
_NUL = b'\0'
_LINE_END = b'\r\n'
_WHITESPACE = b'\t '
_HEXADECIMAL = 16
#: Whitespace behind the size is not part of the grammar. It has no effect on
#: the body, and some servers pad all sizes to the same width.
_SIZE_LINE = re.compile(
    rb'([0-9A-Fa-f]{1,%d})([\t ]*(?:;[\t -~\x80-\xff]*)?)' % MAX_SIZE_DIGITS,
)
#: The same with its end.
_WHOLE_SIZE_LINE = re.compile(
    rb'([0-9A-Fa-f]{1,%d})[\t ]*(?:;[\t -~\x80-\xff]*)?\r\n' % MAX_SIZE_DIGITS,
)
#: A complete head that :class:`HeadScanner` accepts.
_WHOLE_HEAD = re.compile(
    rb'(?:\r?\n)*[^\0\r\n]+\r?\n(?![\t ])(?:[^\0\r\n]+\r?\n)*\r?\n',
)
_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
_TRAILER = re.compile(rb'%s:[\t -~\x80-\xff]*' % _TOKEN)
#: A proxy does not forward trailers, so those of responses may have what a
#: proxy may repair (RFC 9110, section 5.5).
_RESPONSE_TRAILER = re.compile(rb'%s[\t ]*:[^\0\r\n]*' % _TOKEN)


class FramingFault(ValueError):
    """Bytes that the grammar does not allow at their place."""


class MessageKind(enum.Enum):
    """Kinds of messages, which differ in the accepted trailers."""

    REQUEST = 'request'
    #: Lines of its head and of its trailers may end with a bare LF.
    RESPONSE = 'response'


class _ChunkPart(enum.Enum):
    """Parts of a chunked body."""

    SIZE_LINE = 'size-line'
    CONTENT = 'content'
    CONTENT_END = 'content-end'
    TRAILERS = 'trailers'


class ChunkScanner:
    """Finds the end of a chunked body and checks its framing.

    >>> scanner = ChunkScanner(MessageKind.REQUEST)
    >>> scanner.scan(b'2;a=b\\r\\nok\\r\\n0\\r\\n\\r\\nGET / HTTP/1.1')
    16
    >>> scanner.is_complete
    True

    :param is_complete: whether the end has been found.
    """

    def __init__(self, kind: MessageKind) -> None:
        """Start before the first chunk."""
        self.is_complete = False
        self._kind = kind
        self._part = _ChunkPart.SIZE_LINE
        self._line = bytearray()
        #: Bytes that are left of the content of the chunk.
        self._left = 0
        self._trailer_bytes = 0

    def scan(self, received: bytes, start: int = 0) -> int:
        """Return where the body ends, or the size of what was received.

        :param start: of the bytes that have not been scanned.
        :raises FramingFault: if the body is malformed.
        """
        if self._part is _ChunkPart.SIZE_LINE and not self._line:
            start = self._skip_whole_chunks(received, start)
        while start < len(received) and not self.is_complete:
            if self._part is _ChunkPart.CONTENT:
                start = self._skip_content(received, start)
            else:
                start = self._take_line(received, start)
        return start

    def _skip_whole_chunks(self, received: bytes, start: int) -> int:
        """Return where the first chunk starts that is not whole.

        Most are received whole, and reading them line by line takes longer.
        """
        found = _WHOLE_SIZE_LINE.match(received, start)
        while found is not None:
            size = int(found[1], _HEXADECIMAL)
            end = found.end() + size
            next_start = end + len(_LINE_END)
            if not size or received[end:next_start] != _LINE_END:
                break
            start = next_start
            found = _WHOLE_SIZE_LINE.match(received, start)
        return start

    def _skip_content(self, received: bytes, start: int) -> int:
        size = min(self._left, len(received) - start)
        self._left -= size
        if not self._left:
            self._part = _ChunkPart.CONTENT_END
        return start + size

    def _take_line(self, received: bytes, start: int) -> int:
        """Add bytes to the current line, and process it when it is whole."""
        end = received.find(_LF, start) + 1
        has_ended = end > 0
        if not has_ended:
            end = len(received)
        self._line += received[start:end]
        if self._part is _ChunkPart.TRAILERS:
            self._trailer_bytes += end - start
            if self._trailer_bytes > MAX_TRAILER_BYTES:
                raise FramingFault('trailers too large')
        if has_ended:
            line, self._line = self._line, bytearray()
            self._process(line)
        else:
            self._check_partial()
        return end

    def _check_partial(self) -> None:
        """Refuse the start of a line that no further bytes can repair."""
        if self._part is _ChunkPart.SIZE_LINE:
            self._check_partial_size()
        elif self._part is _ChunkPart.CONTENT_END and self._line != _CR:
            raise FramingFault('chunk without a line end')

    def _check_partial_size(self) -> None:
        end = _CR if self._line.endswith(_CR) else b''
        size, extensions = _match_size(self._line.removesuffix(end))
        # The first byte tells what may follow; the others are not held.
        extensions = extensions.lstrip(_WHITESPACE)[:1] or extensions[:1]
        self._line = bytearray(size + extensions + end)

    def _process(self, line: bytearray) -> None:
        if self._part is _ChunkPart.TRAILERS:
            self._process_trailer(line)
        elif self._part is _ChunkPart.SIZE_LINE:
            self._process_size(line)
        elif line == _LINE_END:
            self._part = _ChunkPart.SIZE_LINE
        else:
            raise FramingFault('chunk without a line end')

    def _process_size(self, line: bytearray) -> None:
        size, _ = _match_size(line.removesuffix(_LINE_END))
        self._left = int(size, _HEXADECIMAL)
        self._part = _ChunkPart.CONTENT if self._left else _ChunkPart.TRAILERS

    def _process_trailer(self, line: bytearray) -> None:
        pattern = _TRAILER
        text = line.removesuffix(_LINE_END)
        if self._kind is MessageKind.RESPONSE:
            pattern = _RESPONSE_TRAILER
            text = text.removesuffix(_LF)
        if not text:
            self.is_complete = True
        elif pattern.fullmatch(text) is None:
            raise FramingFault('malformed trailer')


class HeadScanner:
    r"""Finds the end of the head of a response, the first empty line.

    It also refuses lines that recipients divide in different ways, and a NUL,
    which the parser accepts in the reason of an interim response.

    >>> scanner = HeadScanner()
    >>> scanner.scan(b'HTTP/1.1 200 OK\nA: b\r\n\r\nbody')
    24
    >>> scanner.is_complete
    True

    :param is_complete: whether the end has been found.
    """

    def __init__(self) -> None:
        """Start before the first line."""
        self.is_complete = False
        self._has_begun = False
        #: Lines that have ended, without the empty lines before the first one.
        self._line_count = 0
        #: Bytes of the current line without its end.
        self._line_bytes = 0
        #: Whether the last byte is a CR, behind which only an LF may follow.
        self._has_cr = False

    def scan(self, received: bytes, start: int = 0) -> int:
        """Return where the head ends, or the size of what was received.

        :param start: of the bytes that have not been scanned.
        :raises FramingFault: if the head is malformed.
        """
        whole = None if self._has_begun else _WHOLE_HEAD.match(received, start)
        if whole is not None:
            self.is_complete = True
            return whole.end()
        self._has_begun = True
        while start < len(received) and not self.is_complete:
            end = received.find(_LF, start) + 1
            if end:
                self._add(received[start : end - 1])
                self._end_line()
            else:
                self._add(received[start:])
            start = end or len(received)
        return start

    def _add(self, text: bytes) -> None:
        """Add bytes of the current line, without the LF at its end."""
        if not text:
            return
        content = text.removesuffix(_CR)
        if self._has_cr or _CR in content:
            raise FramingFault('CR within a line of the head')
        if _NUL in content:
            raise FramingFault('NUL in the head')
        self._has_cr = len(content) < len(text)
        is_first_field = self._line_count == 1 and not self._line_bytes
        if is_first_field and content != content.lstrip(_WHITESPACE):
            raise FramingFault('space before the first field')
        self._line_bytes += len(content)

    def _end_line(self) -> None:
        if self._line_bytes:
            self._line_count += 1
        elif self._line_count:
            self.is_complete = True
        self._line_bytes = 0
        self._has_cr = False


class ResponseFraming:
    """Divides what an upstream sends into pieces that are parsed one by one.

    A piece ends with its head at the latest, since only the parsed head tells
    what follows. The end of a body that is not chunked is left to the parser.

    :param is_final_head_complete: whether the body or the end follows.
    """

    def __init__(self) -> None:
        """Start before the first head."""
        self.is_final_head_complete = False
        self._head = HeadScanner()
        self._chunks: ChunkScanner | None = None

    def find_end(self, received: bytes, start: int) -> int:
        """Return the end of the piece that starts at ``start``.

        :raises FramingFault: if it is malformed.
        """
        if not self.is_final_head_complete:
            if self._head.is_complete:
                raise FramingFault('end of the head is ambiguous')
            return self._head.scan(received, start)
        if self._chunks is None or self._chunks.is_complete:
            return len(received)
        return self._chunks.scan(received, start)

    def finish_head(self, *, is_interim: bool, is_chunked: bool) -> None:
        """Process a parsed head.

        :param is_interim: whether another head follows.
        :param is_chunked: whether a chunked body follows.
        :raises FramingFault: if the parser has found its end elsewhere.
        """
        if self.is_final_head_complete:
            return
        if not self._head.is_complete:
            raise FramingFault('end of the head is ambiguous')
        if is_interim:
            self._head = HeadScanner()
            return
        self.is_final_head_complete = True
        if is_chunked:
            self._chunks = ChunkScanner(MessageKind.RESPONSE)


def _match_size(text: bytearray) -> tuple[bytes, bytes]:
    """Return the digits and the rest of a line with the size of a chunk.

    :raises FramingFault: if it is malformed.
    """
    found = _SIZE_LINE.fullmatch(text)
    if found is None:
        raise FramingFault('malformed size of a chunk')
    return found[1], found[2]
