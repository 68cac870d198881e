"""Clients on fresh, kept and pipelined connections, for both request paths."""

import asyncio
import contextlib
import dataclasses

from wagtailspread.entry.tests import connections, sockets

#: Size of a long body, more than the hosts and sockets buffer.
UPLOAD_BYTES = 3_000_000
#: Connections of clients.
KINDS = ('fresh', 'kept', 'pipelined')
#: Statuses that promise that a request has not run.
PROMISES = (b' 408 ', b' 421 ', b' 429 ', b' 503 ')
_PIECE = b'x' * 100_000


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Where and how a client sends its requests.

    :param prefix: of the paths; paths that end in ``good`` are answered.
    :param fields: header lines of each request.
    """

    address: str
    prefix: str
    fields: tuple[str, ...]

    def create_head(self, path, size):
        """Return the head of a request with a body of this size."""
        lines = (
            f'POST {self.prefix}{path} HTTP/1.1',
            *self.fields,
            f'Content-Length: {size}',
        )
        return '\r\n'.join((*lines, '', '')).encode()


async def receive(target, kind, *, is_upload):
    """Return the bytes of the response to the last request of a connection."""
    good = target.create_head('good', 0)
    request = target.create_head('bad', UPLOAD_BYTES if is_upload else 0)
    async with connections.connect(target.address) as connection:
        reader, writer = connection
        if kind == 'kept':
            answer = await connections.exchange(connection, good, 10.0)
            assert answer.status == 200
        writer.write(good + request if kind == 'pipelined' else request)
        upload = send_upload(writer) if is_upload else asyncio.sleep(0)
        sending = asyncio.create_task(upload)
        if kind == 'pipelined':
            answer = await connections.read_answer(reader, 10.0)
            assert answer.status == 200
        received = await read_response(reader)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        return received


async def send_upload(writer):
    """Send a long body in pieces; the connection may end meanwhile."""
    with contextlib.suppress(OSError):
        for _ in range(UPLOAD_BYTES // len(_PIECE)):
            writer.write(_PIECE)
            await writer.drain()
            await asyncio.sleep(0.01)


async def read_response(reader):
    """Return the bytes of the next response, or what there is of it."""
    received = b''
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(10):
            while not reader.at_eof() and not is_sized(received):
                received += await reader.read(65_536)
    return received


def is_sized(received):
    """Tell whether a response with a length has been received."""
    head, end, body = received.partition(b'\r\n\r\n')
    if not end:
        return False
    length = sockets.parse_answer(head + end).headers.get('content-length')
    return length is not None and len(body) >= int(length)
