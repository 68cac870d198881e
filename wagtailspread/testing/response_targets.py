"""Streams of upstreams against the real response reader of a host.

They arrive over a loopback connection, split at any byte, and end by a close or
a reset, or not at all. What is passed on is compared with a strict reading of
RFC 9112.
"""

import asyncio
import contextlib
import socket
import struct
import typing

import multidict

from wagtailspread.core import identifiers
from wagtailspread.entry import executions
from wagtailspread.gateway import buffers, exchanges
from wagtailspread.platform import names
from wagtailspread.registry import records
from wagtailspread.testing import request_targets, stream_inputs
from wagtailspread.testing import strict_messages

#: Limits of the responses, in bytes, which some streams exceed.
LIMITS = buffers.ResponseLimits(60_000, 40_000, 50_000, 20_000)
#: Deadline of a request whose upstream keeps its connection open, in seconds.
OPEN_SECONDS = 0.1


def run_response(stream: bytes) -> bool:
    """Answer a request with a stream; tell whether it was passed on."""
    return asyncio.run(_exchange(stream[:1], stream[1:]))


async def _exchange(end: bytes, stream: bytes) -> bool:
    failures: list[typing.Any] = []
    asyncio.get_running_loop().set_exception_handler(
        lambda _, context: failures.append(context)
    )
    async with _run_upstream(end, stream) as address:
        outcome = await _send(end, address)
    request_targets.check(not failures, f'no stray exception: {failures}')
    is_late = isinstance(outcome, exchanges.LostResponse) and outcome.is_expired
    is_ended = end != stream_inputs.OPEN
    request_targets.check(
        not (is_late and is_ended), 'an ended connection ends its exchange'
    )
    if not isinstance(outcome, exchanges.UpstreamResponse):
        return False
    is_closed = end == stream_inputs.CLOSED
    wanted = strict_messages.read_response(stream, is_closed=is_closed)
    found = strict_messages.StrictResponse(outcome.status, bytes(outcome.body))
    request_targets.check(
        found == wanted, f'passed on {found}, strictly {wanted}'
    )
    return True


@contextlib.asynccontextmanager
async def _run_upstream(end: bytes, stream: bytes) -> typing.AsyncIterator[str]:
    """Yield the address of an upstream that answers with a stream."""
    server = await asyncio.start_server(
        lambda reader, writer: _answer(end, stream, reader, writer),
        '127.0.0.1',
        0,
    )
    try:
        port = server.sockets[0].getsockname()[1]
        yield f'127.0.0.1:{port}'
    finally:
        server.close()


async def _send(end: bytes, address: str) -> exchanges.Outcome:
    """Return the outcome of a request, whose bytes must be released."""
    exchanger = exchanges.create_exchanger(names.HEADERS, LIMITS)
    is_open = end == stream_inputs.OPEN
    seconds = OPEN_SECONDS if is_open else request_targets.HANG_SECONDS
    deadline = asyncio.get_running_loop().time() + seconds
    outgoing = exchanges.OutgoingRequest(
        'GET', '/a', multidict.CIMultiDict(), None, 'a1', deadline
    )
    try:
        async with asyncio.timeout(2 * request_targets.HANG_SECONDS):
            outcome = await exchanger.send(
                _create_record(address), outgoing, executions.AttemptProgress()
            )
    finally:
        await exchanger.close()
    used = [budget.used_bytes for budget in exchanger.budgets]
    request_targets.check(not any(used), 'a finished response holds nothing')
    return outcome


async def _answer(
    end: bytes,
    stream: bytes,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        await reader.readuntil(b'\r\n\r\n')
        for piece in stream_inputs.split(stream):
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)
        if end == stream_inputs.OPEN:
            await reader.read()
    if end == stream_inputs.RESET:
        own: socket.socket = writer.get_extra_info('socket')
        linger = struct.pack('ii', 1, 0)
        # The host may have closed the connection already.
        with contextlib.suppress(OSError):
            own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.close()


def _create_record(address: str) -> records.UpstreamRecord:
    return records.UpstreamRecord(
        identifiers.UpstreamId('u1'),
        identifiers.ServiceName('sa'),
        identifiers.Address(address),
        identifiers.FailureDomain('north'),
        slots=1,
        state=records.UpstreamState.READY,
        born_ms=1,
        sequence=1,
    )
