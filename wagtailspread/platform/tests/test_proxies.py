"""Tests of the proxy that disturbs connections in a soak."""

import asyncio
import socket

from unittest import mock

import pytest

from wagtailspread.platform.tests.soak import proxies

IP = '127.0.0.1'


async def answer_lines(reader, writer):
    """Send each line back."""
    while line := await reader.readline():
        writer.write(line)
    writer.close()


async def open_through_proxy():
    """Return a server, a proxy before it and a connection through both."""
    server = await asyncio.start_server(answer_lines, IP, 0)
    port = server.sockets[0].getsockname()[1]
    proxy = await proxies.start_proxy(IP, f'{IP}:{port}')
    ip, _, proxy_port = proxy.address.rpartition(':')
    reader, writer = await asyncio.open_connection(ip, int(proxy_port))
    return server, proxy, reader, writer


async def test_a_proxy_passes_bytes_and_ends_on():
    """Guards against faults that only the proxy has."""
    server, proxy, reader, writer = await open_through_proxy()
    writer.write(b'one\n')
    assert await reader.readline() == b'one\n'
    writer.close()
    async with asyncio.timeout(1):
        while proxy._writers:
            await asyncio.sleep(0.01)
    proxy.close()
    server.close()


@pytest.mark.parametrize('fault', ['hold_all', 'hold_answers'])
async def test_a_proxy_holds_bytes_for_a_time(fault):
    """Guards against a fault that has no effect."""
    server, proxy, reader, writer = await open_through_proxy()
    with getattr(proxy, fault)():
        writer.write(b'one\n')
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await reader.readline()
    assert await reader.readline() == b'one\n'
    writer.close()
    proxy.close()
    server.close()


async def test_a_proxy_resets_connections():
    """Guards against connections that outlive a reset."""
    server, proxy, reader, writer = await open_through_proxy()
    writer.write(b'one\n')
    await reader.readline()
    proxy.reset()
    with pytest.raises(ConnectionResetError):
        await reader.readline()
    writer.close()
    proxy.close()
    server.close()


async def test_a_proxy_resets_while_a_connection_ends():
    """Guards against a soak that ends with an error of its proxy."""
    proxy = proxies.Proxy(f'{IP}:1')
    connection = socket.socket()
    connection.close()
    writer = mock.Mock()
    writer.get_extra_info.return_value = connection
    proxy._writers.add(writer)
    proxy.reset()
    writer.transport.abort.assert_called_once_with()
