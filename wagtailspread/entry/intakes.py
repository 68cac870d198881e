"""Body of a request between its connection and its handler.

Unlike the stream of aiohttp it never buffers more for a reader that asks for
more at once, it keeps no boundaries of chunks, and it counts what its reader
keeps.
"""

import asyncio
import typing

from aiohttp import base_protocol, streams

#: Bytes that are buffered before reading from the caller pauses; it goes on
#: below half of it.
BUFFER_BYTES = 65_536
#: Memory for a buffered piece in addition to its bytes: the object, its place
#: in the buffer and the rounding of its size.
PIECE_BYTES = 64


#: Size from which a block of a buffer gets no more bytes. A single buffer that
#: grows is copied from place to place and leaves holes in the memory.
_BLOCK_BYTES = 16_384


class BlockBuffer:
    """Collects pieces of any size in blocks.

    A list of short pieces would take many times their size.

    :param size: number of bytes.

    >>> blocks = BlockBuffer()
    >>> blocks.append(b'a')
    >>> blocks.append(b'bc')
    >>> blocks.size, blocks.join()
    (3, b'abc')
    """

    def __init__(self) -> None:
        """Create an empty buffer."""
        self.size = 0
        self._blocks: list[bytes] = []
        self._last = bytearray()

    def append(self, piece: bytes) -> None:
        """Add a piece at the end."""
        self.size += len(piece)
        self._last += piece
        if len(self._last) >= _BLOCK_BYTES:
            self._blocks.append(bytes(self._last))
            self._last.clear()

    def join(self) -> bytes:
        """Return all bytes, and empty the buffer."""
        joined = b''.join((*self._blocks, self._last))
        self._blocks.clear()
        self._last.clear()
        return joined


class BodyDropped(Exception):
    """The host gave up a body to stay within its memory."""


class BodyIntake(streams.StreamReader):
    """Stream of a body that counts what it holds.

    :param kept_bytes: bytes that the reader has taken and keeps.
    :param is_settled: whether the request may be sent from now on, so that the
        body can't be dropped.
    """

    __slots__ = ('_report', 'is_settled', 'kept_bytes')

    def __init__(
        self,
        protocol: base_protocol.BaseProtocol,
        report: typing.Callable[[], None],
    ) -> None:
        """Create an empty stream.

        :param report: is called when the reader changes what is held.
        """
        super().__init__(
            protocol, BUFFER_BYTES // 2, loop=asyncio.get_running_loop()
        )
        self.kept_bytes = 0
        self.is_settled = False
        self._report = report

    @property
    def held_bytes(self) -> int:
        """Return the memory of the buffer and of what the reader keeps."""
        pieces = len(self._buffer) * PIECE_BYTES
        return self._size + pieces + self.kept_bytes

    @property
    def is_full(self) -> bool:
        """Return whether the buffer takes no more bytes for now."""
        return self._size > self._high_water

    async def _wait(self, func_name: str) -> None:
        """Wait for the next bytes.

        A reader that was woken up finds the buffer empty if the body has been
        dropped since.
        """
        if self._exception is not None:
            raise self._exception
        await super()._wait(func_name)

    def set_read_chunk_size(self, n: int) -> None:
        """Keep the limit of the buffer."""

    def keep(self, size: int) -> None:
        """Count bytes that the reader keeps."""
        self.kept_bytes += size
        self._report()

    def settle(self) -> None:
        """Protect the body from drops: the request may be sent from now on."""
        self.is_settled = True
        self._report()

    def release(self) -> None:
        """Count that the reader keeps nothing any more."""
        self.kept_bytes = 0
        self._report()

    def discard(self) -> None:
        """Discard what is buffered."""
        self._buffer.clear()
        self._buffer_offset = 0
        self._size = 0

    def drop(self) -> None:
        """Let the reader fail with :class:`BodyDropped`."""
        self.discard()
        self.kept_bytes = 0
        self.set_exception(BodyDropped())


def keep(content: streams.StreamReader, size: int) -> None:
    """Count bytes that the reader of a body keeps."""
    if isinstance(content, BodyIntake):
        content.keep(size)


def settle(content: streams.StreamReader) -> None:
    """Record that a request may be sent before its body is complete."""
    if isinstance(content, BodyIntake):
        content.settle()


def release(content: streams.StreamReader) -> None:
    """Record that the reader of a body keeps nothing any more."""
    if isinstance(content, BodyIntake):
        content.release()
