"""The load generator detects mismatched and truncated answers."""

import asyncio
import json
import threading

import pytest

from aiohttp import web
from click import testing

from wagtailspread.testing import load_generators, upstreams

PATH = '/vitrina/a'


async def serve(handler):
    runner = web.ServerRunner(web.Server(handler, access_log=None))
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    ip, port = runner.addresses[0][:2]
    return runner, f'{ip}:{port}'


def answer_with(change):
    async def answer(request):
        fields = {
            'request': request.headers[upstreams.ECHO_HEADER],
            'received': 0,
        }
        headers = {'Wagtailspread-Outcome': 'upstream'}
        return web.Response(body=change(json.dumps(fields)), headers=headers)

    return answer


@pytest.mark.parametrize(
    ('name', 'change'),
    [
        ('mismatched', lambda text: text.replace('load-', 'other-')),
        ('truncated', lambda text: text[:-2]),
    ],
)
async def test_wrong_answers_are_counted_as_faults(name, change):
    """Guards against a load run that counts wrong answers as correct."""
    runner, address = await serve(answer_with(change))
    generator = load_generators.create_generator(
        [address],
        [load_generators.Stream('reads', PATH, 50.0)],
    )
    await generator.run(0.2)
    await runner.cleanup()
    report = generator.reports['reads']
    assert report.counts == {name: report.started}
    assert generator.faults == report.started


def run_command(change):
    """Run the command while a server runs in another thread."""
    ready = threading.Event()
    server = {}

    async def run():
        runner, server['address'] = await serve(answer_with(change))
        server['loop'] = asyncio.get_running_loop()
        server['stopping'] = asyncio.Event()
        ready.set()
        await server['stopping'].wait()
        await runner.cleanup()

    thread = threading.Thread(target=asyncio.run, args=(run(),))
    thread.start()
    ready.wait()
    outcome = testing.CliRunner().invoke(
        load_generators.main,
        [
            '--entry',
            server['address'],
            '--stream',
            f'urgent,{PATH},40',
            '--seconds',
            '0.2',
        ],
    )
    server['loop'].call_soon_threadsafe(server['stopping'].set)
    thread.join()
    return outcome


def test_command_reports_and_fails_on_a_wrong_answer():
    """Guards against a command that exits with 0 after wrong answers."""
    good = run_command(lambda text: text)
    assert good.exit_code == 0
    assert 'stream=urgent' in good.output and 'p99=' in good.output
    assert run_command(lambda text: text[:-2]).exit_code == 1
