"""Calls over authenticated connections, on real loopback sockets."""

import asyncio
import socket
import time

from returns import result

from wagtailspread.core import failures, identifiers
from wagtailspread.wire import (
    credentials,
    handshakes,
    links,
    listeners,
    messages,
    signing,
)

ANY_PORT = identifiers.Address('127.0.0.1:0')
KEY = signing.create_key()
MEMBER = identifiers.MemberId('andino')


def create_credentials(key=KEY, host='h1'):
    identity = credentials.Peer(MEMBER, identifiers.HostId(host), 'entry')
    return credentials.Credentials(identity, key)


def create_directory():
    return credentials.FixedDirectory({MEMBER: signing.public_bytes(KEY)})


async def start_listener(handler):
    listener = listeners.create_listener(
        create_credentials(host='server'),
        create_directory(),
    )
    listener.add(
        messages.methods.CANCEL,
        messages.structs.CancelRequest,
        handler,
    )
    return listener, await listener.start(ANY_PORT)


async def call(link, request='r1', timeout=2.0):
    return await link.call(
        messages.methods.CANCEL,
        messages.structs.CancelRequest(service_name='s', request=request),
        messages.structs.CancelRequest,
        timeout,
    )


async def test_answers_out_of_order_are_matched_to_their_calls():
    """Guards against matching answers to calls by their order."""

    async def answer(_call, request):
        await asyncio.sleep(0.05 if request.request == 'slow' else 0)
        return result.Success(request)

    listener, address = await start_listener(answer)
    link = links.create_link(address, create_credentials(), create_directory())
    outcomes = await asyncio.gather(call(link, 'slow'), call(link, 'fast'))
    assert [one.unwrap().request for one in outcomes] == ['slow', 'fast']
    await link.close()
    await listener.close()


async def test_handler_gets_the_proven_host():
    """Guards against handlers that cannot identify their caller."""
    hosts = []

    async def answer(incoming_call, request):
        hosts.append(incoming_call.peer.host)
        return result.Success(request)

    listener, address = await start_listener(answer)
    link = links.create_link(address, create_credentials(), create_directory())
    await call(link)
    assert hosts == ['h1']
    await link.close()
    await listener.close()


async def test_peer_with_an_unapproved_key_is_refused():
    """Guards against serving a process outside the fleet."""

    async def answer(_call, request):
        raise AssertionError('an unapproved peer reached a handler')

    listener, address = await start_listener(answer)
    unapproved = create_credentials(signing.create_key())
    link = links.create_link(address, unapproved, create_directory())
    outcome = await call(link)
    assert isinstance(
        outcome.failure(),
        failures.Unreachable | failures.CallTimeout,
    )
    await link.close()
    await listener.close()


async def test_late_answer_times_out_and_is_not_matched_to_a_later_call():
    """Guards against returning a late answer to another call."""

    async def answer(_call, request):
        await asyncio.sleep(0.1 if request.request == 'late' else 0)
        return result.Success(request)

    listener, address = await start_listener(answer)
    link = links.create_link(address, create_credentials(), create_directory())
    late = await call(link, 'late', 0.02)
    assert isinstance(late.failure(), failures.CallTimeout)
    assert (await call(link, 'next')).unwrap().request == 'next'
    await link.close()
    await listener.close()


async def test_cancellation_that_arrives_with_the_answer_is_not_lost(
    monkeypatch,
):
    """Guards against a task that continues after it was cancelled."""

    async def answer(_call, request):
        return result.Success(request)

    listener, address = await start_listener(answer)
    link = links.create_link(address, create_credentials(), create_directory())
    await call(link)
    deliver = link._deliver

    def deliver_and_cancel(reply):
        deliver(reply)
        calling.cancel()

    monkeypatch.setattr(link, '_deliver', deliver_and_cancel)
    calling = asyncio.create_task(call(link))
    outcomes = await asyncio.gather(calling, return_exceptions=True)
    assert isinstance(outcomes[0], asyncio.CancelledError)
    await link.close()
    await listener.close()


async def test_cancellation_of_close_reaches_its_caller():
    """Guards against a task that cannot be cancelled while it closes a link."""

    async def answer(_call, request):
        return result.Success(request)

    listener, address = await start_listener(answer)
    link = links.create_link(address, create_credentials(), create_directory())
    await call(link)
    closing = asyncio.create_task(link.close())
    await asyncio.sleep(0)
    closing.cancel()
    outcomes = await asyncio.gather(closing, return_exceptions=True)
    assert isinstance(outcomes[0], asyncio.CancelledError)
    await listener.close()


async def test_call_to_a_closed_listener_is_unreachable():
    """Guards against another failure for a call that was never sent."""

    async def answer(_call, request):
        return result.Success(request)

    listener, address = await start_listener(answer)
    await listener.close()
    link = links.create_link(address, create_credentials(), create_directory())
    outcome = await call(link)
    assert isinstance(outcome.failure(), failures.Unreachable)


async def test_close_ends_a_connection_whose_handshake_just_ended(monkeypatch):
    """Guards against a cancellation lost at the end of the handshake."""
    for turns in range(5):
        gate = asyncio.Event()

        async def authenticate(*_positional, is_dialer, gate=gate):
            await gate.wait()
            return create_credentials().peer

        monkeypatch.setattr(handshakes, 'authenticate', authenticate)
        listener, address = await start_listener(None)
        ip, _, port = address.rpartition(':')
        _, writer = await asyncio.open_connection(ip, int(port))
        await asyncio.sleep(0.02)
        gate.set()
        for _ in range(turns):
            await asyncio.sleep(0)
        async with asyncio.timeout(2.0):
            await listener.close()
        writer.close()


async def test_calls_that_wait_for_a_failed_connection_attempt_fail_with_it():
    """Guards against one connection attempt after the other for waiting calls.

    A host that had been disconnected took three seconds to find a replica
    again, since several calls waited for the same connection.
    """
    silent_server = socket.create_server(('127.0.0.1', 0))
    address = '127.0.0.1:{}'.format(silent_server.getsockname()[1])
    key = signing.create_key()
    local_credentials = credentials.Credentials(
        credentials.Peer('m', 'h', 'host'), key
    )
    directory = credentials.FixedDirectory({})
    link = links.create_link(
        address, local_credentials, directory, connect_seconds=0.2
    )
    started = time.monotonic()
    calls = [
        link.call(
            messages.methods.STATUS,
            messages.structs.Empty(),
            messages.structs.StatusReport,
            5.0,
        )
        for _ in range(10)
    ]
    outcomes = await asyncio.gather(*calls)
    assert time.monotonic() - started < 1.0
    assert {type(one.failure()) for one in outcomes} == {failures.Unreachable}
    silent_server.close()
