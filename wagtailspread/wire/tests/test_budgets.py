"""Frames and handshakes of many connections at the same time."""

import asyncio
import contextlib

from returns import result

from wagtailspread.wire import budgets, links, listeners
from wagtailspread.wire.tests import test_links


async def hold(budget, size, order, name, released):
    """Hold bytes until ``released`` is set."""
    async with budget.hold(size):
        order.append(name)
        await released.wait()


async def test_readers_take_turns_in_their_order():
    """Guards against readers that exceed the budget, or wait for ever."""
    budget = budgets.ByteBudget(10)
    order = []
    events = [asyncio.Event() for _ in range(4)]
    readers = [
        asyncio.create_task(hold(budget, size, order, name, events[name]))
        for name, size in enumerate([6, 8, 2, 2])
    ]
    await asyncio.sleep(0.01)
    assert order == [0]
    readers[1].cancel()
    await asyncio.sleep(0.01)
    assert order == [0, 2, 3]
    assert budget.used_bytes == 10
    for event in events:
        event.set()
    await asyncio.gather(*readers, return_exceptions=True)
    assert budget.used_bytes == 0


async def test_turn_that_comes_with_a_cancellation_is_given_back():
    """Guards against bytes that nobody holds and nobody gets."""
    budget = budgets.ByteBudget(10)
    order = []
    events = [asyncio.Event() for _ in range(3)]
    readers = [
        asyncio.create_task(hold(budget, 10, order, name, events[name]))
        for name in range(3)
    ]
    await asyncio.sleep(0.01)
    events[0].set()
    readers[1].cancel()
    await asyncio.sleep(0.01)
    assert order == [0, 2]
    events[2].set()
    await asyncio.gather(*readers, return_exceptions=True)
    assert budget.used_bytes == 0


async def open_silent(address, stack, count):
    """Open connections that send nothing; return their readers."""
    ip, _, port = address.rpartition(':')
    readers = []
    for _ in range(count):
        reader, writer = await asyncio.open_connection(ip, int(port))
        stack.callback(writer.close)
        readers.append(reader)
    return readers


async def test_oldest_connection_without_a_proven_peer_is_closed(monkeypatch):
    """Guards against strangers that take all descriptors."""
    monkeypatch.setattr(listeners, 'MAX_UNPROVEN', 3)

    async def answer(_call, request):
        return result.Success(request)

    with contextlib.ExitStack() as stack:
        listener, address = await test_links.start_listener(answer)
        readers = await open_silent(address, stack, 3)
        await asyncio.sleep(0.1)
        own = test_links.create_credentials()
        link = links.create_link(address, own, test_links.create_directory())
        outcome = await test_links.call(link, 'r1', 10.0)
        assert isinstance(outcome, result.Success)
        # The rest ends with the time of the handshake.
        async with asyncio.timeout(10):
            for reader in readers:
                # The listener may have sent its part of the handshake.
                with contextlib.suppress(ConnectionError):
                    await reader.read()
        await link.close()
        await listener.close()
