"""Malformed frames and failing handlers cost only their own call."""

import asyncio
import time

import pytest

from hypothesis import given
from hypothesis import strategies as st
from returns import result

from wagtailspread.core import failures, identifiers
from wagtailspread.wire import frames, handshakes, links, messages
from wagtailspread.wire.tests import test_links as calls

#: A list of 2**31 - 1 elements without a size, in a struct of 9 bytes.
_ENDLESS_LIST = bytes.fromhex('0f0063000000ff7fffffff00')


async def answer_call(_call, request):
    """Answer with the request, or as the request says."""
    if request.request == 'raise':
        raise RuntimeError('fault of a handler')
    if request.request == 'unsendable':
        request.request = '\ud800'
    return result.Success(request)


@pytest.mark.parametrize('request_id', ['raise', 'unsendable'])
async def test_a_failing_call_is_answered_and_costs_no_other(request_id):
    """Guards against a caller that waits for a task that has ended."""
    listener, address = await calls.start_listener(answer_call)
    link = links.create_link(
        address, calls.create_credentials(), calls.create_directory()
    )
    started = time.monotonic()
    outcomes = await asyncio.gather(
        calls.call(link, request_id), calls.call(link, 'sound')
    )
    assert isinstance(outcomes[0].failure(), failures.CallRejected)
    assert outcomes[0].failure().reason == 'HandlerFailed'
    assert outcomes[1].unwrap().request == 'sound'
    assert time.monotonic() - started < 1.0
    await link.close()
    await listener.close()


async def test_an_undecodable_request_is_answered(monkeypatch):
    """Guards against a peer that waits for an answer until its timeout."""
    listener, address = await calls.start_listener(answer_call)
    link = links.create_link(
        address, calls.create_credentials(), calls.create_directory()
    )
    assert (await calls.call(link, 'sound')).unwrap().request == 'sound'
    encode = messages.encode

    def cut_requests(struct):
        payload = encode(struct)
        is_request = isinstance(struct, messages.structs.CancelRequest)
        return payload[:-2] if is_request else payload

    monkeypatch.setattr(messages, 'encode', cut_requests)
    outcome = await calls.call(link, 'cut', timeout=1.0)
    assert outcome.failure().reason == 'MalformedCall'
    await link.close()
    await listener.close()


@pytest.mark.parametrize(
    'address', ['127.0.0.1:99999', '127.0.0.1:x', '', 'a b:1']
)
async def test_an_invalid_address_is_unreachable(address):
    """Guards against a task that ends because of a reported address."""
    link = links.create_link(
        identifiers.Address(address),
        calls.create_credentials(),
        calls.create_directory(),
    )
    outcome = await calls.call(link, timeout=0.5)
    assert isinstance(outcome.failure(), failures.Unreachable)


@pytest.mark.parametrize(
    'hello',
    [
        messages.encode(
            messages.structs.Hello(
                nonce=b'x' * 32, member='abc', host='h', role='r'
            )
        ).replace(b'abc', b'\xff\xfe\xfd'),
        _ENDLESS_LIST,
        b'',
    ],
    ids=['not-utf8', 'endless', 'empty'],
)
async def test_an_odd_hello_is_refused_at_once(hello):
    """Guards against tracebacks and a blocked loop by anyone who connects."""
    reader = asyncio.StreamReader()
    reader.feed_data(frames.pack_frame(hello) * 2)
    reader.feed_eof()
    started = time.monotonic()
    with pytest.raises(handshakes.HandshakeRefused):
        await handshakes.authenticate(
            reader,
            _Writer(),
            calls.create_credentials(),
            calls.create_directory(),
            is_dialer=False,
        )
    assert time.monotonic() - started < 1.0


async def test_no_connection_outlives_its_listener():
    """Guards against a process that stopped and still answers its peers."""
    listener, _ = await calls.start_listener(answer_call)
    accepted = asyncio.Queue()
    server = await asyncio.start_server(
        lambda *streams: accepted.put_nowait(streams), '127.0.0.1', 0
    )
    address = server.sockets[0].getsockname()
    reader, writer = await asyncio.open_connection(*address)
    streams = await accepted.get()
    await listener.close()
    # The task of a connection may start after its listener was closed.
    async with asyncio.timeout(1):
        await listener._accept(*streams)
        try:
            received = await reader.read()
        except ConnectionError:
            received = b''
        assert received == b''
    writer.close()
    server.close()


class _Writer:
    """Discards what is written."""

    def write(self, _payload):
        """Discard bytes."""

    async def drain(self):
        """Return at once."""


def test_a_forged_list_length_is_refused():
    """Guards against a decoder that is busy for minutes."""
    started = time.monotonic()
    with pytest.raises(messages.DecodeError):
        messages.decode(messages.structs.Envelope, _ENDLESS_LIST)
    assert time.monotonic() - started < 1.0


@pytest.mark.parametrize('size', range(40))
def test_a_truncated_struct_is_refused(size):
    """Guards against fields that are read past the end of a payload."""
    whole = messages.encode(
        messages.structs.CancelRequest(service_name='s' * 20, request='r' * 20)
    )
    assert len(whole) > 40
    with pytest.raises(messages.DecodeError):
        messages.decode(messages.structs.CancelRequest, whole[:size])


@given(st.binary())
def test_any_payload_is_decoded_or_refused(payload):
    """Guards against another error, or a long time, for odd bytes."""
    for struct_type in (messages.structs.Envelope, messages.structs.Gossip):
        try:
            messages.decode(struct_type, payload)
        except messages.DecodeError:
            continue
