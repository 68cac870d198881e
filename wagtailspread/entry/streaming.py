"""Answers of upstreams on their way to callers."""

import asyncio
import socket
import struct

from aiohttp import client, web

from wagtailspread.core import outcomes
from wagtailspread.entry import exchanges, requests

#: Makes the kernel reset a connection instead of ending it in order.
_LINGER_RESET = struct.pack('ii', 1, 0)


def create_response(reply: exchanges.Reply) -> web.Response:
    """Return the response for an answer that was read whole."""
    return web.Response(
        status=reply.status,
        reason=reply.response.reason,
        headers=_create_headers(reply),
        body=reply.body,
    )


async def stream_reply(
    request: web.BaseRequest,
    reply: exchanges.Reply,
    deadline: float,
) -> tuple[web.StreamResponse, outcomes.ExchangeResult]:
    """Pass an answer on piece by piece; return how the exchange ended.

    If the upstream's answer breaks off, so does the caller's connection: a
    part is never passed on as a whole.

    :param deadline: seconds of the event loop's clock.
    """
    response = web.StreamResponse(
        status=reply.status,
        reason=reply.response.reason,
        headers=_create_headers(reply),
    )
    if not request.content.is_eof():
        # The answer begins before the end of the request's body.
        response.force_close()
    ended = outcomes.ExchangeResult.CANCELLED
    try:
        async with asyncio.timeout_at(deadline):
            await response.prepare(request)
            ended = await _copy_body(response, reply)
    except TimeoutError:
        ended = outcomes.ExchangeResult.TIMEOUT
    except OSError:
        ended = outcomes.ExchangeResult.CANCELLED
    if ended is not reply.classify():
        break_transfer(request)
    return response, ended


def break_transfer(request: web.BaseRequest) -> None:
    """Reset the caller's connection, so that it cannot take it for an end."""
    transport = request.transport
    if not isinstance(transport, asyncio.WriteTransport):
        return
    connected = transport.get_extra_info('socket')
    if connected is not None:
        connected.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_LINGER,
            _LINGER_RESET,
        )
    transport.abort()


async def _copy_body(
    response: web.StreamResponse,
    reply: exchanges.Reply,
) -> outcomes.ExchangeResult:
    piece = reply.body
    while True:
        if piece:
            await response.write(piece)
        try:
            piece = await reply.response.content.readany()
        except (client.ClientError, OSError):
            return outcomes.ExchangeResult.TRUNCATED
        if not piece:
            break
        reply.streamed += len(piece)
    await response.write_eof()
    return reply.classify()


def _create_headers(reply: exchanges.Reply) -> requests.Headers:
    headers = requests.copy_headers(reply.response.headers)
    headers[outcomes.OUTCOME_HEADER] = outcomes.Outcome.UPSTREAM.value
    headers.popall(outcomes.REASON_HEADER, None)
    return headers
