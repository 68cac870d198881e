"""Forwarding of upstream answers to callers."""

import asyncio
import socket
import struct

from aiohttp import client, web

from wagtailspread.core import outcomes
from wagtailspread.entry import exchanges, requests

#: Linger option with a timeout of zero: closing the socket resets it.
_LINGER_RESET = struct.pack('ii', 1, 0)


def create_response(reply: exchanges.Reply) -> web.Response:
    """Return the response for a completely buffered answer."""
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
    """Forward an answer as it arrives; return the result of the exchange.

    If the upstream's answer is truncated, the caller's connection is reset,
    so that the caller does not mistake it for a complete answer.

    :param deadline: seconds of the event loop's clock.
    """
    response = web.StreamResponse(
        status=reply.status,
        reason=reply.response.reason,
        headers=_create_headers(reply),
    )
    if not request.content.is_eof():
        # The answer starts before the end of the request's body.
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
        reset_connection(request)
    return response, ended


def reset_connection(request: web.BaseRequest) -> None:
    """Reset the caller's connection.

    A regular close could be mistaken for the end of the body.
    """
    transport = request.transport
    if not isinstance(transport, asyncio.WriteTransport):
        return
    caller_socket = transport.get_extra_info('socket')
    if caller_socket is not None:
        caller_socket.setsockopt(
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
