"""Tests of entry host processes that are stopped, suspended and killed."""

import asyncio
import contextlib
import signal
import sys

import pytest

from aiohttp import client

from wagtailspread.entry.tests import fleets, stand_in_host, test_exchanges
from wagtailspread.testing import load_generators, ports, upstreams
from wagtailspread.wire import signing

SETTINGS = """
[entry]
member = andino
key_file = {key}
host = {host}
region = costa-norte
failure_domain = costa-baq
caller_address = {caller}
control_address = {control}
linger = 0.6
"""


class HostProcess:
    """A running entry host process and its address for callers."""

    def __init__(self, host, address, process):
        self.host = host
        self.address = address
        self.process = process


async def start_process(folder, host, caller, control, endpoints):
    path = folder / f'{host}.ini'
    key = folder / 'key.pem'
    text = SETTINGS.format(key=key, host=host, caller=caller, control=control)
    path.write_text(text)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'wagtailspread.entry.tests.stand_in_host',
        str(path),
        *endpoints,
        stdout=asyncio.subprocess.PIPE,
    )
    await process.stdout.readline()
    return HostProcess(host, caller, process)


@contextlib.asynccontextmanager
async def start_processes(folder, count, service_seconds=0.005):
    """Yield host processes, of which the first owns the service."""
    (folder / 'key.pem').write_bytes(signing.dump_key(fleets.KEY))
    addresses = ports.reserve_addresses(2 * count)
    controls = addresses[count:]
    endpoints = [
        f'h{number}={control}' for number, control in enumerate(controls)
    ]
    started = await asyncio.gather(
        *(
            start_process(folder, f'h{number}', *pair, endpoints)
            for number, pair in enumerate(
                zip(addresses[:count], controls, strict=True),
            )
        ),
    )
    identity = upstreams.UpstreamIdentity(
        fleets.SERVICE,
        'u0',
        fleets.REGION,
        fleets.DOMAIN,
    )
    upstream = upstreams.create_upstream(identity, addresses[:1])
    upstream.mode.service_seconds = service_seconds
    await upstream.start()
    await wait_until_served(started)
    try:
        yield started, upstream
    finally:
        await upstream.close()
        for host in started:
            if host.process.returncode is None:
                host.process.kill()
            await host.process.wait()


async def wait_until_served(hosts):
    """Wait until all hosts serve requests and have sent a heartbeat."""
    for host in hosts:
        for _ in range(200):
            with contextlib.suppress(client.ClientError):
                answer, _ = await test_exchanges.fetch(host)
                if answer.status == 200:
                    break
            await asyncio.sleep(0.02)
    await asyncio.sleep(0.9)


async def fetch_ready_status(host):
    answer, _ = await test_exchanges.fetch(host, '/-/ready')
    return answer.status


async def test_stopping_host_interrupts_no_request(tmp_path):
    """Guards against requests interrupted by a restart."""
    async with start_processes(tmp_path, 1, 0.05) as (hosts, _):
        generator = load_generators.create_generator(
            [hosts[0].address],
            [load_generators.Stream('reads', '/vitrina/a', 80.0)],
        )
        load = asyncio.create_task(generator.run(0.8))
        await asyncio.sleep(0.4)
        hosts[0].process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        assert await fetch_ready_status(hosts[0]) == 503
        await load
        assert await asyncio.wait_for(hosts[0].process.wait(), 5) == 0
        report = generator.reports['reads']
        assert report.counts == {'upstream': report.started}


async def test_stopping_host_finishes_a_long_request(tmp_path):
    """Guards against a process that exits before its last answer."""
    async with start_processes(tmp_path, 1, 0.05) as (hosts, upstream):
        upstream.mode.service_seconds = 1.5
        running = asyncio.create_task(test_exchanges.fetch(hosts[0]))
        await asyncio.sleep(0.2)
        hosts[0].process.send_signal(signal.SIGTERM)
        answer, _ = await running
        assert answer.status == 200
        assert await asyncio.wait_for(hosts[0].process.wait(), 5) == 0


@pytest.mark.parametrize('number', [signal.SIGSTOP, signal.SIGKILL])
async def test_failed_owner_process_loses_no_request(tmp_path, number):
    """Guards against requests lost when the owner of their service fails."""
    async with start_processes(tmp_path, 2) as (hosts, upstream):
        generator = load_generators.create_generator(
            [hosts[1].address],
            [load_generators.Stream('reads', '/vitrina/a', 60.0)],
        )
        load = asyncio.create_task(generator.run(1.0))
        await asyncio.sleep(0.4)
        hosts[0].process.send_signal(number)
        await load
        report = generator.reports['reads']
        assert report.counts == {'upstream': report.started}
        assert upstream.peak_running <= 6


async def test_stopping_host_serves_a_request_that_is_still_arriving(
    tmp_path,
):
    """Guards against connections closed in the middle of a request head."""
    async with start_processes(tmp_path, 1) as (hosts, _):
        ip, _, port = hosts[0].address.rpartition(':')
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(b'GET /vitrina/a HTTP/1.1\r\n')
        await asyncio.sleep(0.1)
        hosts[0].process.send_signal(signal.SIGTERM)
        await asyncio.sleep(1.0)
        writer.write(b'Host: a\r\n\r\n')
        answer = await asyncio.wait_for(reader.read(), 3)
        assert answer.startswith(b'HTTP/1.1 200')
        assert await asyncio.wait_for(hosts[0].process.wait(), 5) == 0
        writer.close()


def test_settings_are_read_from_an_ini_text():
    """Guards against settings that are ignored or interchanged."""
    text = SETTINGS.format(key='k', host='h1', caller='a:1', control='a:2')
    settings = stand_in_host.read_settings(f'{text}seeds = b:1, b:2\n')
    assert settings.host == 'h1'
    assert settings.seeds == ('b:1', 'b:2')
    assert settings.linger_seconds == pytest.approx(0.6)
    with pytest.raises(KeyError):
        stand_in_host.read_settings('[entry]\nmember = a\n')
