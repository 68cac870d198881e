"""Connections over a link whose queue delays every packet."""

import asyncio

from returns import result

from wagtailspread.wire import links
from wagtailspread.wire.tests import test_links as calls

#: Delay in each direction, in seconds.
_DELAY = 0.25


async def start_relay(target):
    """Return a server that relays connections with a delay."""

    async def pump(reader, writer):
        loop = asyncio.get_running_loop()
        while piece := await reader.read(4096):
            loop.call_later(_DELAY, writer.write, piece)

    async def relay(reader, writer):
        ip, _, port = target.rpartition(':')
        far_reader, far_writer = await asyncio.open_connection(ip, int(port))
        await asyncio.gather(
            pump(reader, far_writer),
            pump(far_reader, writer),
            return_exceptions=True,
        )

    return await asyncio.start_server(relay, '127.0.0.1', 0)


async def answer_call(_call, request):
    """Answer with the request."""
    return result.Success(request)


async def test_a_link_that_delays_every_packet_is_opened():
    """Guards against a host on a busy link that never learns a change."""
    listener, target = await calls.start_listener(answer_call)
    relay = await start_relay(target)
    address = f'127.0.0.1:{relay.sockets[0].getsockname()[1]}'
    pool = links.LinkPool(
        calls.create_credentials(), calls.create_directory(), 0.3
    )
    outcomes = []
    loop = asyncio.get_running_loop()
    started = loop.time()
    for _ in range(8):
        outcomes.append(await calls.call(pool.find(address)))
        if isinstance(outcomes[-1], result.Success):
            break
        # No call waits for longer than it would for a failed peer.
        assert loop.time() - started < 0.4 * len(outcomes)
    assert isinstance(outcomes[-1], result.Success)
    await pool.close()
    relay.close()
    await listener.close()
