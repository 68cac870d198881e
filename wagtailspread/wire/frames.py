"""Length-prefixed frames on a TCP stream."""

import asyncio
import dataclasses
import struct

#: Largest frame accepted, in bytes. Larger ones close the connection.
MAX_FRAME_BYTES = 16 * 1024 * 1024
_LENGTH = struct.Struct('>I')


@dataclasses.dataclass(slots=True)
class Traffic:
    """Bytes of all frames of this process, without TCP and IP headers."""

    sent: int = 0
    received: int = 0


#: Counts the control traffic of the process for its status and metrics.
TRAFFIC = Traffic()


class FrameTooLarge(Exception):
    """A peer announced a frame beyond the limit."""


def pack_frame(payload: bytes) -> bytes:
    """Return the payload with its length in front.

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

    :param limit: largest accepted payload, in bytes.
    :raises FrameTooLarge: if the frame is larger.
    :raises asyncio.IncompleteReadError: if the stream ends.
    """
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    if length > limit:
        raise FrameTooLarge(length)
    TRAFFIC.received += _LENGTH.size + length
    return await reader.readexactly(length)
