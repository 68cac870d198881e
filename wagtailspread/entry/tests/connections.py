"""A guarded listener on a loopback address, and raw connections to it."""

import asyncio
import contextlib
import json

import logbook

from aiohttp import web

from wagtailspread.entry import sites
from wagtailspread.entry.tests import sockets

ANY_PORT = '127.0.0.1:0'


async def describe(request):
    """Answer with the path and the number of header fields as JSON."""
    fields = len(request.raw_headers)
    return web.Response(
        text=json.dumps({'path': request.path, 'fields': fields}),
    )


@contextlib.asynccontextmanager
async def run_site(limits, handler=describe):
    """Start a listener; yield it and its address."""
    site = sites.create_site(handler, limits)
    address = await site.start(ANY_PORT)
    try:
        yield site, address
    finally:
        await site.close()


@contextlib.asynccontextmanager
async def connect(address):
    """Open a connection; yield its reader and writer."""
    ip, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        yield reader, writer
    finally:
        writer.close()


def create_head(*fields, target='/', method='GET'):
    """Return the bytes of a request head."""
    lines = [f'{method} {target} HTTP/1.1', 'Host: a', *fields, '', '']
    return '\r\n'.join(lines).encode()


async def read_answer(reader, seconds=2.0):
    """Read one answer with its body, within a timeout in seconds."""
    async with asyncio.timeout(seconds):
        head = await reader.readuntil(b'\r\n\r\n')
        answer = sockets.parse_answer(head)
        length = int(answer.headers.get('content-length', 0))
        body = await reader.readexactly(length)
    return sockets.RawAnswer(answer.status, answer.headers, body)


async def exchange(connection, raw, seconds=2.0):
    """Send bytes and read the next answer of the connection."""
    reader, writer = connection
    writer.write(raw)
    return await read_answer(reader, seconds)


@contextlib.contextmanager
def record_refusals():
    """Yield a list; on exit it gets the fields of the logged refusals."""
    with logbook.TestHandler() as handler:
        records = []
        yield records
    records.extend(
        record.extra
        for record in handler.records
        if record.channel == 'connections'
    )
