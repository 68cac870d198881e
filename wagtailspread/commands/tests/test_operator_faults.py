"""Faults of operators end a command with one line and its exit status."""

import pathlib
import shutil
import threading

from http import server

import pytest

from click import testing

from wagtailspread.commands import program

SAMPLES = pathlib.Path(__file__).parents[3] / 'samples' / 'andino'


def run(*words):
    """Run a command; return its exit status and its lines."""
    ran = testing.CliRunner().invoke(
        program.main, [str(word) for word in words]
    )
    if ran.exception is not None and not isinstance(ran.exception, SystemExit):
        raise ran.exception
    return ran.exit_code, ran.output.splitlines()


@pytest.mark.parametrize('command', ['entry', 'replica'])
def test_settings_that_are_not_utf8_are_reported(tmp_path, command):
    """Guards against a traceback in place of a finding."""
    path = tmp_path / 'host.ini'
    path.write_bytes(b'[process]\nmember = \xff\n')
    status, lines = run(command, path)
    assert status == 2
    assert lines == [f'{path}:2: malformed: expected UTF-8 text']


@pytest.mark.parametrize('command', ['entry', 'replica'])
@pytest.mark.parametrize('content', [None, b'no key'])
def test_a_key_that_cannot_be_loaded_is_reported(tmp_path, command, content):
    """Guards against a traceback for a missing or a damaged key file."""
    path = tmp_path / f'{command}.ini'
    shutil.copy(SAMPLES / path.name, path)
    key = tmp_path / 'centro-andes.pem'
    if content is not None:
        key.write_bytes(content)
    status, lines = run(command, path)
    assert status == 2
    (line,) = lines
    assert line.startswith(f'{path}: key_file: bad-value: ')
    assert str(key) in line


def test_the_status_of_a_replica_needs_a_key():
    """Guards against a traceback for a missing key file of an operator."""
    path = SAMPLES / 'replica.ini'
    status, lines = run(
        'status', '--replica', '127.0.0.1:1', '--settings', path
    )
    assert status == 2
    assert f'{path}: key_file: bad-value: ' in lines[-1]


def test_an_unknown_site_is_refused():
    """Guards against a check of nothing that ends with good."""
    status, lines = run('check', SAMPLES, '--site', 'nowhere')
    assert status == 2
    assert lines[-1].endswith(
        'unknown site nowhere; known: centro-andes, costa-norte'
    )


@pytest.mark.parametrize('address', ['999.1:80', 'nonsense', '10.0.0.1:70000'])
@pytest.mark.parametrize('option', ['--entry', '--replica'])
def test_an_address_that_cannot_exist_is_refused(address, option):
    """Guards against a report that such a process does not answer."""
    settings = ('--settings', SAMPLES / 'replica.ini')
    status, lines = run('status', option, address, *settings)
    assert status == 2
    assert lines[-1].endswith(f'expected ip:port, got {address}')


@pytest.mark.parametrize('body', [b'{', b'[1]', b'\xff'])
def test_an_answer_that_is_no_status_is_reported(body):
    """Guards against a traceback if another program has the address."""

    class Handler(server.BaseHTTPRequestHandler):
        def do_GET(self):
            self.send_response(200)
            self.send_header('Content-Type', 'application/json')
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *_values):
            """Write nothing."""

    with server.HTTPServer(('127.0.0.1', 0), Handler) as listener:
        thread = threading.Thread(target=listener.handle_request)
        thread.start()
        address = f'127.0.0.1:{listener.server_port}'
        status, lines = run('status', '--entry', address)
        thread.join()
    assert status == 1
    assert lines == [f'{address} answers, but not with a status']
