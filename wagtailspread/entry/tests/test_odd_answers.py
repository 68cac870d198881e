"""Answers that are cut in their head, repeated or sent too soon."""

import asyncio

import pytest

from wagtailspread.entry.tests import sockets, test_exchanges

_CUT_HEADS = {
    'nothing': b'',
    'status-line': b'HTTP/1.1 20',
    'after-status': b'HTTP/1.1 200 OK\r\n',
    'header': b'HTTP/1.1 200 OK\r\nContent-Le',
    'header-value': b'HTTP/1.1 200 OK\r\nContent-Length: 5',
    'before-blank-line': b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n',
    'within-blank-line': b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r',
    'without-length': b'HTTP/1.1 200 OK\r\nX-A: b\r\n',
    'body': b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwh',
    'chunk-head': (b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5'),
    'chunk': (b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwho'),
    'last-chunk': (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'5\r\nwhole\r\n0\r\n'
    ),
}


def find_exchange(head):
    """Return the id of the exchange in a request head."""
    for line in head.split(b'\r\n'):
        name, _, text = line.partition(b': ')
        if name.lower() == b'wagtailspread-exchange':
            return text
    return b''


def refuse(exchange):
    """Return the bytes of a refusal."""
    return (
        b'HTTP/1.1 503 No\r\nWagtailspread-Shed: 1\r\n'
        b'Wagtailspread-Exchange: %b\r\nContent-Length: 0\r\n\r\n'
    ) % exchange


def answer(exchange, body=b'whole'):
    """Return the bytes of a complete answer."""
    return (
        b'HTTP/1.1 200 OK\r\nWagtailspread-Exchange: %b\r\n'
        b'Content-Length: %d\r\n\r\n%b'
    ) % (exchange, len(body), body)


@pytest.mark.parametrize('cut', _CUT_HEADS.values(), ids=_CUT_HEADS)
@pytest.mark.parametrize('is_reset', [False, True], ids=['closed', 'reset'])
async def test_a_cut_answer_is_no_success(cut, is_reset):
    """Guards against a 200 with an empty or short body, framed as whole."""

    async def script(upstream, reader, writer):
        await upstream.read_head(reader)
        writer.write(cut)
        await writer.drain()
        await asyncio.sleep(0.05)
        if is_reset:
            writer.transport.abort()

    async with test_exchanges.fleets.start_fleet() as (hosts, upstreams):
        await test_exchanges.start_script(hosts[0], upstreams, script)
        raw = b'POST /vitrina/a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n'
        ended = await sockets.send_raw(
            hosts[0].address,
            raw + b'Wagtailspread-Deadline-Ms: 900\r\n'
            b'Connection: close\r\n\r\n',
        )
    head, _, body = ended.partition(b'\r\n\r\n')
    if not head.startswith(b'HTTP/1.1 200'):
        return
    # The head was whole, so it was passed on; the body must not look whole.
    assert b'\r\n\r\n' in cut
    if b'content-length: 5' in head.lower():
        assert len(body) < 5
    else:
        assert not body.endswith(b'0\r\n\r\n')


@pytest.mark.parametrize('echoes', ['earlier', 'nothing', 'two'])
async def test_a_repeated_refusal_is_no_proof(echoes):
    """Guards against "not run" for a request that an upstream runs."""
    ran = []

    async def script(upstream, reader, writer):
        first = find_exchange(await upstream.read_head(reader))
        writer.write(refuse(first))
        second = find_exchange(await upstream.read_head(reader))
        if echoes == 'earlier':
            writer.write(refuse(first))
        elif echoes == 'nothing':
            writer.write(
                refuse(b'').replace(b'Wagtailspread-Exchange: \r\n', b'')
            )
        else:
            writer.write(
                refuse(first).replace(
                    b'Content',
                    b'Wagtailspread-Exchange: %b\r\nContent' % second,
                )
            )
        ran.append(second)
        await asyncio.sleep(1)

    async with test_exchanges.fleets.start_fleet() as (hosts, upstreams):
        await test_exchanges.start_script(hosts[0], upstreams, script)
        refused, _ = await test_exchanges.fetch(
            hosts[0],
            method='POST',
            path='/contratos/a',
            Idempotency_Key='k1',
            Wagtailspread_Deadline_Ms='900',
        )
        lost, _ = await test_exchanges.fetch(
            hosts[0],
            method='POST',
            path='/contratos/a',
            Idempotency_Key='k2',
            Wagtailspread_Deadline_Ms='900',
        )
    assert refused.status == 503 and len(ran) == 1
    assert test_exchanges.get_outcome(lost) == 'unknown'


async def test_two_answers_in_one_segment_serve_one_request_each():
    """Guards against an answer that reaches the next request."""

    async def script(upstream, reader, writer):
        exchange = find_exchange(await upstream.read_head(reader))
        writer.write(answer(exchange, b'first') + answer(exchange, b'extra'))
        while True:
            exchange = find_exchange(await upstream.read_head(reader))
            writer.write(answer(exchange, b'other'))

    async with test_exchanges.fleets.start_fleet() as (hosts, upstreams):
        await test_exchanges.start_script(hosts[0], upstreams, script)
        bodies = [(await test_exchanges.fetch(hosts[0]))[1] for _ in range(3)]
    assert b'extra' not in bodies
    assert bodies[0] == b'first'


async def test_an_answer_before_the_request_is_no_answer_to_it():
    """Guards against an answer that was not caused by its request."""

    async def script(upstream, reader, writer):
        writer.write(refuse(b'1.1'))
        await upstream.read_head(reader)
        await asyncio.sleep(1)

    async with test_exchanges.fleets.start_fleet() as (hosts, upstreams):
        await test_exchanges.start_script(hosts[0], upstreams, script)
        lost, _ = await test_exchanges.fetch(
            hosts[0], method='POST', Wagtailspread_Deadline_Ms='900'
        )
    assert lost.status != 200
    assert test_exchanges.get_outcome(lost) == 'unknown'
