"""Length-prefixed frames on a TCP stream."""

import asyncio
import dataclasses
import struct

#: Maximum size of a frame, in bytes. A larger one closes the connection.
MAX_FRAME_BYTES = 16 * 1024 * 1024
_LENGTH = struct.Struct('>I')


@dataclasses.dataclass(slots=True)
class Traffic:
    """Bytes of all frames of this process, excluding TCP and IP headers."""

    sent: int = 0
    received: int = 0


#: Control traffic of this process, for its status and metrics.
TRAFFIC = Traffic()


class FrameTooLarge(Exception):
    """A peer announced a frame that exceeds the size limit."""


def pack_frame(payload: bytes) -> bytes:
    """Return the payload preceded by its length, and count it as sent.

    >>> pack_frame(b'ab')
    b'\\x00\\x00\\x00\\x02ab'
    """
    TRAFFIC.sent += _LENGTH.size + len(payload)
    return _LENGTH.pack(len(payload)) + payload


async def read_frame(
    reader: asyncio.StreamReader,
    limit: int = MAX_FRAME_BYTES,
) -> bytes:
    """Return the payload of the next frame.

    :param limit: maximum size of the payload, in bytes.
    :raises FrameTooLarge: if the announced payload is larger.
    :raises asyncio.IncompleteReadError: if the stream ends within the frame.
    """
    return await read_payload(reader, await read_length(reader, limit))


async def read_length(
    reader: asyncio.StreamReader,
    limit: int = MAX_FRAME_BYTES,
) -> int:
    """Return the size of the payload of the next frame.

    :param limit: maximum size of the payload, in bytes.
    :raises FrameTooLarge: if the announced payload is larger.
    :raises asyncio.IncompleteReadError: if the stream ends.
    """
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    if length > limit:
        raise FrameTooLarge(
            f'payload of a frame: expected at most {limit} bytes, got {length}',
        )
    return int(length)


async def read_payload(reader: asyncio.StreamReader, length: int) -> bytes:
    """Return the payload of a frame whose size has been read.

    :raises asyncio.IncompleteReadError: if the stream ends within the frame.
    """
    TRAFFIC.received += _LENGTH.size + length
    return await reader.readexactly(length)
