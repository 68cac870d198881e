"""A fake upstream that responds with scripted bytes."""

import asyncio
import contextlib
import socket
import struct


class RawUpstream:
    """Reads one request per connection and responds as scripted.

    :param answers: coroutine functions of (reader, writer, head) that write a
        response.
    """

    def __init__(self, *answers):
        """Use the scripts in turn, one per connection; repeat the last."""
        self.answers = list(answers)
        self.requests = []
        self.address = ''
        self._server = None

    async def __aenter__(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        return self

    async def __aexit__(self, *_error):
        """Stop listening."""
        self._server.close()

    async def _serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            head = (await reader.readuntil(b'\r\n\r\n')).decode()
            self.requests.append(head)
            index = min(len(self.requests), len(self.answers)) - 1
            await self.answers[index](reader, writer, head)
        writer.close()


def read_header(head, name):
    """Return a header of a request, or an empty string."""
    for line in head.split('\r\n')[1:]:
        key, _, value = line.partition(':')
        if key.lower() == name.lower():
            return value.strip()
    return ''


def reply(
    status=200,
    body=b'whole',
    *,
    headers=(),
    signature='s1',
    attempt=None,
    length=None,
    reset=False,
):
    """Return a script that sends a response.

    :param attempt: attempt id to send instead of that of the request; an
        empty string omits the header.
    :param length: declared length instead of that of the body; 0 omits the
        header.
    """

    async def answer(reader, writer, head):
        await read_body(reader, head)
        lines = [f'HTTP/1.1 {status} Text']
        own = read_header(head, 'Attempt-Id')
        echoed = own if attempt is None else attempt
        if echoed:
            lines.append(f'Attempt-Id: {echoed}')
        if signature:
            lines.append(f'Response-Signature: {signature}')
        if length != 0:
            lines.append(f'Content-Length: {length or len(body)}')
        lines.extend(headers)
        writer.write('\r\n'.join([*lines, '', '']).encode() + body)
        await writer.drain()
        if reset:
            await asyncio.sleep(0.05)
            abort(writer)

    return answer


async def reset(reader, writer, head):
    """Reset the connection after the request was read."""
    await read_body(reader, head)
    abort(writer)


def abort(writer):
    """Reset a connection; a plain close would end it with a FIN."""
    connected = writer.get_extra_info('socket')
    linger = struct.pack('ii', 1, 0)
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def hang(_reader, _writer, _head):
    """Never answer."""
    await asyncio.sleep(30)


async def read_body(reader, head):
    """Read the body that a request announces."""
    await reader.readexactly(int(read_header(head, 'Content-Length') or 0))
