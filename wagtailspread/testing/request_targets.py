"""Streams of clients against the real parser, intake and pipeline of a host.

They arrive over a loopback connection, split at any byte. What the host makes
of a stream is compared with a strict reading of RFC 9112.
"""

import asyncio
import contextlib
import dataclasses
import logging
import re
import typing
import zlib

from wagtailspread.core import identifiers
from wagtailspread.entry import bodies, heads, requests, sites, web
from wagtailspread.testing import stream_inputs, strict_messages

#: Limit on the bodies of the requests, in bytes, which some streams exceed.
BODY_BYTES = 20_000
#: Memory budget of the callers of the host, in bytes.
BUDGET_BYTES = 400_000
#: Longest time without an expected event, in seconds. Only a hang reaches it.
HANG_SECONDS = 5.0

_STATUS_LINE = re.compile(rb'HTTP/1\.[01] ([2-9][0-9][0-9]) ')
_ECHO_LINE = re.compile(rb'Echo: ([0-9]+)\r\n')
_SERVER_ERROR = 500
#: States in which a host may keep the connection open.
_OPEN_STATES = frozenset(
    (strict_messages.StreamState.WAITING, strict_messages.StreamState.OTHER)
)


class StreamFault(AssertionError):
    """A stream that the host read in a way that it must not."""


@dataclasses.dataclass(slots=True)
class SeenRequest:
    """A request that the handler got; its body is ``None`` until complete."""

    method: bytes
    target: bytes
    fields: strict_messages.Fields
    body: bytes | None = None


class _Client:
    """Connection of a client that collects what it is sent."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.answer = bytearray()
        self._is_ended = False
        self._writer = writer
        self._receiving = asyncio.create_task(self._receive(reader))

    async def write(self, piece: bytes) -> None:
        """Send a piece, and let the host read it."""
        self._writer.write(piece)
        await self._writer.drain()
        await asyncio.sleep(0)

    def list_statuses(self) -> list[int]:
        """Return the statuses of the responses."""
        return [int(one) for one in _STATUS_LINE.findall(bytes(self.answer))]

    def is_done(self, wanted: int | None) -> bool:
        """Tell whether the connection ended, or enough responses arrived."""
        is_answered = wanted is not None and len(self.list_statuses()) >= wanted
        return self._is_ended or is_answered

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()
        self._receiving.cancel()

    async def _receive(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError):
            while piece := await reader.read(65_536):
                self.answer += piece
        self._is_ended = True


async def _connect(address: str) -> _Client:
    ip, _, port = address.rpartition(':')
    return _Client(*await asyncio.open_connection(ip, int(port)))


class _ErrorLog(logging.Handler):
    """Collects what the server reports as its own failure."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.lines.append(logging.Formatter().format(record))


def run_requests(stream: bytes) -> bool:
    """Send a client's stream to a host; tell whether a request was run."""
    return asyncio.run(_serve(stream))


def check(condition: object, fault: str) -> None:
    """Check what must hold.

    :raises StreamFault: if it does not.
    """
    if not condition:
        raise StreamFault(fault)


class _Host:
    """A host whose handler reads requests and echoes a hash of each."""

    def __init__(self) -> None:
        limits = heads.RequestLimits(
            head_bytes=stream_inputs.HEAD_BYTES,
            linger_seconds=0.01,
            body_bytes=BODY_BYTES,
        )
        self.site = sites.create_site(self._handle, limits, is_pipelining=True)
        self.site.budget.total_bytes = BUDGET_BYTES
        self.seen: list[SeenRequest] = []
        self.errors = _ErrorLog()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if requests.check_framing(request.headers):
            return _refuse()
        target = request.raw_path.encode('utf-8', 'surrogateescape')
        fields = tuple(
            (name.lower(), text.strip(b'\t '))
            for name, text in request.raw_headers
        )
        seen = SeenRequest(request.method.encode(), target, fields)
        self.seen.append(seen)
        body = bodies.RequestBody(
            request.content,
            BODY_BYTES,
            HANG_SECONDS,
            asyncio.get_running_loop().time() + HANG_SECONDS,
            BODY_BYTES + 1,
        )
        if request.body_exists and await body.read_prefix() is not None:
            return _refuse()
        # Later requests of a pipeline may be ready before earlier ones.
        for _ in range(zlib.crc32(target) % 5):
            await asyncio.sleep(0)
        seen.body = body.prefix
        return web.Response(headers={'Echo': str(_hash(seen))})


@contextlib.asynccontextmanager
async def _run(host: _Host) -> typing.AsyncIterator[str]:
    """Yield the address of a host, and collect the errors of its server."""
    logger = logging.getLogger('aiohttp.server')
    logger.addHandler(host.errors)
    try:
        yield await host.site.start(identifiers.Address('127.0.0.1:0'))
    finally:
        logger.removeHandler(host.errors)
        await host.site.close()


async def _serve(stream: bytes) -> bool:
    reading = strict_messages.read_requests(stream)
    host = _Host()
    async with _run(host) as address:
        answer = await _send(host, address, stream, reading)
    check(not host.errors.lines, '\n'.join(host.errors.lines))
    _compare(host.seen, reading)
    done = [_hash(one) for one in host.seen if one.body is not None]
    echoed = [int(found) for found in _ECHO_LINE.findall(answer)]
    check(echoed == done[: len(echoed)], 'responses in the order of requests')
    return bool(done)


async def _send(
    host: _Host,
    address: str,
    stream: bytes,
    reading: strict_messages.StreamReading,
) -> bytes:
    """Send a stream; return what came back when the host was done with it."""
    budget = host.site.budget
    client = await _connect(address)
    with contextlib.suppress(OSError):
        for piece in stream_inputs.split(stream):
            await client.write(piece)
            check(budget.used_bytes <= BUDGET_BYTES, 'callers within budget')
    # A host may wait for the rest of a stream, and must else close.
    wanted = None
    if reading.state in _OPEN_STATES:
        wanted = len(reading.requests)
    await _wait_until(
        lambda: client.is_done(wanted), 'the host answers or closes'
    )
    client.close()
    await _wait_until(
        lambda: not budget.used_bytes and not host.site.count_active(),
        'a closed connection holds nothing',
    )
    check(_SERVER_ERROR not in client.list_statuses(), 'no failure of the host')
    return bytes(client.answer)


def _compare(
    seen: list[SeenRequest], reading: strict_messages.StreamReading
) -> None:
    """Check that the host read no request that a strict reading does not."""
    if reading.state is strict_messages.StreamState.OTHER:
        seen = seen[: len(reading.requests)]
    expected = list(reading.requests)
    if reading.partial is not None:
        expected.append(reading.partial)
    check(len(seen) <= len(expected), f'no further request: {seen}')
    for found, wanted in zip(seen, expected, strict=False):
        head = (found.method, found.target, found.fields)
        check(head == wanted[:3], f'head {head}, strictly {wanted[:3]}')
        if found.body is not None:
            check(
                found.body == wanted.body,
                f'body {found.body!r}, strictly {wanted.body!r}',
            )


async def _wait_until(condition: typing.Callable[[], bool], fault: str) -> None:
    """Wait until a condition holds.

    :raises StreamFault: if it does not in :data:`HANG_SECONDS`.
    """
    end = asyncio.get_running_loop().time() + HANG_SECONDS
    while not condition():
        check(asyncio.get_running_loop().time() < end, fault)
        await asyncio.sleep(0.001)


def _refuse() -> web.StreamResponse:
    response = web.Response(status=400)
    response.force_close()
    return response


def _hash(seen: SeenRequest) -> int:
    return zlib.crc32(seen.method + seen.target)
