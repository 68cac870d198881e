"""Tests of what the programs have imported when they listen.

Each start takes processor time, and after a loss of power all processes of a
site start at once. See ``docs/design/startup.md``.
"""

import json
import os
import subprocess  # noqa: S404 - the program is our own
import sys

import pytest

from wagtailspread.platform.tests import test_processes
from wagtailspread.testing import ports

#: Modules that no request needs, or only after the program listens. A package
#: stands for all of its modules.
_UNUSED = (
    'aiohttp.client_middleware_digest_auth',
    'aiohttp.web',
    'aiohttp.web_app',
    'aiohttp.web_fileresponse',
    'aiohttp.web_routedef',
    'aiohttp.web_runner',
    'aiohttp.web_urldispatcher',
    'aiohttp.web_ws',
    'certifi',
    'click',
    'google',
    'hdrh',
    'ijson',
    'opentelemetry',
    'ply',
    'prometheus_client',
    'statistics',
    'thriftpy2.parser',
    'thriftpy2.protocol.json',
    'thriftpy2.transport.sslsocket',
)
_UNUSED_BY_ROLE = {
    'entry': (
        'cryptography',
        'wagtailspread.allocation',
        'wagtailspread.commands',
        'wagtailspread.consensus',
        'wagtailspread.entry.interfaces',
        'wagtailspread.placement.allocators',
        'wagtailspread.placement.floors',
        'wagtailspread.placement.services',
        'wagtailspread.registry.feeds',
        'wagtailspread.replica',
    ),
    'replica': (
        'aiohttp.client',
        'aiohttp.connector',
        'wagtailspread.entry.servers',
        'wagtailspread.gateway.servers',
    ),
}
_LISTENERS = {
    'entry': {'front': 18548, 'readinessAddr': 18542},
    'replica': {'control': 18544},
}
_MAIN_LISTENERS = {'entry': 'front', 'replica': 'control'}

#: Runs a program and prints the imported modules, and whether TLS is prepared,
#: when a socket listens at the port.
_CODE = """
import asyncio, gc, json, sys
gc.disable()
from wagtailspread.platform import programs
role, port = sys.argv[1], int(sys.argv[2])
create_server = asyncio.BaseEventLoop.create_server
async def listen(self, factory, host=None, number=None, **options):
    server = await create_server(self, factory, host, number, **options)
    if number == port:
        connector = sys.modules.get('aiohttp.connector')
        tls = getattr(connector, '_SSL_CONTEXT_VERIFIED', None)
        print('found', json.dumps([sorted(sys.modules), tls is not None]))
        sys.stdout.flush()
        import os
        os._exit(0)
    return server
asyncio.BaseEventLoop.create_server = listen
programs.run(role)
"""


def run_until_listening(role, folder):
    """Return the modules of a listening program, and whether it has TLS."""
    ip = f'127.{ports.reserve_network()}.21.1'
    listen = {name: f'{ip}:{port}' for name, port in _LISTENERS[role].items()}
    settings = {
        'nodeName': 'n1',
        'ip': ip,
        'zone': 'z1',
        'region': 'r1',
        'zones': test_processes.ZONES,
        'internalPorts': [17540, 17555],
        'seeds': [f'{ip}:{test_processes.CONTROL_PORT}'],
        'faultTolerance': {'machines': 1},
        'bounds': [],
        'listen': listen,
        'dataDir': str(folder / 'data') if role == 'replica' else None,
        'bootstrap': False,
    }
    path = folder / 'settings.json'
    path.write_text(json.dumps(settings))
    port = _LISTENERS[role][_MAIN_LISTENERS[role]]
    output = subprocess.run(  # noqa: S603
        [sys.executable, '-c', _CODE, role, str(port)],
        env={**os.environ, 'WAGTAILSPREAD_BOOT': str(path)},
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    ).stdout
    (found,) = (
        line.removeprefix('found ')
        for line in output.splitlines()
        if line.startswith('found ')
    )
    modules, has_tls = json.loads(found)
    return modules, has_tls


@pytest.mark.parametrize('role', sorted(_LISTENERS))
def test_nothing_that_no_request_needs_is_imported(role, tmp_path):
    """Guards against a start that takes twice its processor time."""
    modules, has_tls = run_until_listening(role, tmp_path)
    unused = (*_UNUSED, *_UNUSED_BY_ROLE[role])
    found = [
        name
        for name in modules
        if any(name == one or name.startswith(f'{one}.') for one in unused)
    ]
    assert not found
    # Its creation reads all certificates of the system.
    assert not has_tls
    assert 'wagtailspread.platform.programs' in modules
