"""A guarded listener on loopback that answers every request."""

import asyncio
import contextlib
import json

import logbook

from aiohttp import web

from wagtailspread.entry import sites
from wagtailspread.entry.tests import sockets

ANY_PORT = '127.0.0.1:0'


async def describe(request):
    """Return the path and the number of fields."""
    fields = len(request.raw_headers)
    return web.Response(
        text=json.dumps({'path': request.path, 'fields': fields}),
    )


@contextlib.asynccontextmanager
async def run_site(limits, handler=describe):
    """Yield a started listener and its address."""
    site = sites.create_site(handler, limits)
    address = await site.start(ANY_PORT)
    try:
        yield site, address
    finally:
        await site.close()


@contextlib.asynccontextmanager
async def connect(address):
    """Yield the reader and writer of a new connection."""
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
    """Return one answer with its body."""
    async with asyncio.timeout(seconds):
        head = await reader.readuntil(b'\r\n\r\n')
        answer = sockets.parse_answer(head)
        length = int(answer.headers.get('content-length', 0))
        body = await reader.readexactly(length)
    return sockets.RawAnswer(answer.status, answer.headers, body)


async def exchange(connection, raw, seconds=2.0):
    """Send bytes and return the next answer of the connection."""
    reader, writer = connection
    writer.write(raw)
    return await read_answer(reader, seconds)


@contextlib.contextmanager
def record_refusals():
    """Yield the list of fields of refusals that are logged meanwhile."""
    with logbook.TestHandler() as handler:
        records = []
        yield records
    records.extend(
        record.extra
        for record in handler.records
        if record.channel == 'connections'
    )
