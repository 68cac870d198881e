"""Tests of the commands that operators use for the configuration."""

import json
import os
import pathlib
import shlex
import sys
import types

import pytest

from click import testing
from returns import result

from wagtailspread.commands import connections, program
from wagtailspread.configuration import signatures, versions
from wagtailspread.core import failures
from wagtailspread.wire import links, signing

SAMPLES = pathlib.Path(__file__).parents[3] / 'samples'


class FakeReplicas:
    """Replicas that apply submissions and can lose their answers."""

    def __init__(self):
        """Create replicas without a configuration that answer all calls."""
        self.state = versions.create_configuration()
        self.loses_answers = False
        self.identity = None

    def connect(self, identity):
        """Record the identity and return this object as the client."""
        self.identity = identity
        return self

    async def fetch_configuration(self, known_version, wait):
        """Return the ``ConfigurationDelta`` since a version."""
        return self.answer(self.state.delta_since(known_version))

    async def submit(self, submission):
        """Apply a submission and return the answer to it."""
        return self.answer(self.state.submit(submission))

    def answer(self, struct):
        """Return the answer as a success, or a timeout if answers are lost."""
        if self.loses_answers:
            return result.Failure(failures.CallTimeout('10.0.0.1:7400', 2.0))
        return result.Success(struct)


class Operator:
    """Runs commands in a folder as one member."""

    def __init__(self, replicas, member):
        """Create an operator of ``member``."""
        self.replicas = replicas
        self.member = member

    def run(self, *words, status=0):
        """Run a command, check its exit status and return its output."""
        ran = testing.CliRunner().invoke(
            program.main,
            words,
            obj=self.replicas.connect,
        )
        assert ran.exit_code == status, ran.output
        return ran.output

    def call(self, *words, status=0):
        """Run a command with the options of a connection to the replicas."""
        address = ('--replica', '10.0.0.1:7400')
        key = ('--member', self.member, '--key', f'{self.member}.pem')
        return self.run(*words, *address, *key, status=status)


@pytest.fixture(name='fleet')
def create_fleet(tmp_path, monkeypatch):
    """Create a fleet of members a and b; return operators of a, b and c.

    The working folder contains the keys of a and b and the base file.
    """
    monkeypatch.chdir(tmp_path)
    replicas = FakeReplicas()
    operators = {name: Operator(replicas, name) for name in ('a', 'b', 'c')}
    sections = [operators['a'].run('keygen', name) for name in ('a', 'b')]
    common = '[region r]\ndomains = d\nhosts = 3\nlink = 30Mbit/s\n'
    base = f'[fleet]\nname = x\n{"".join(sections)}{common}'
    pathlib.Path('base.ini').write_text(base)
    texts = {'base.ini': base}
    first = signatures.create_submission('first', 0, 'a', texts)
    assert replicas.state.submit(first).status == 'accepted'
    return operators


def add_candidate(operator):
    """Submit a base file with the candidate c."""
    section = operator.run('keygen', 'c')
    base = pathlib.Path('base.ini')
    base.write_text(f'{base.read_text()}{section}')
    version = str(operator.replicas.state.version)
    operator.call('submit', 'base.ini', '--based-on', version)


@pytest.mark.parametrize('site', ['andino', 'penang'])
def test_check_prints_the_effective_settings(site):
    """Guards against sample files that the command refuses."""
    folder = str(SAMPLES / site)
    shown = testing.CliRunner().invoke(program.main, ['check', folder])
    assert shown.exit_code == 0
    assert shown.output.endswith('good\n')
    ran = testing.CliRunner().invoke(program.main, ['check', folder, '--json'])
    assert len(json.loads(ran.output)['sites']) == 2


def test_check_reports_file_and_line_of_each_error(fleet):
    """Guards against a refusal without the location of the error."""
    base = pathlib.Path('base.ini')
    base.write_text(base.read_text().replace('hosts', 'host'))
    output = fleet['a'].run('check', '.', status=1)
    assert 'base.ini:9: host: unknown-key: expected hosts (nearest' in output
    document = json.loads(fleet['a'].run('check', '.', '--json', status=1))
    assert document['findings'][1]['line'] == 9


def test_check_against_other_files(fleet):
    """Guards against a changed setting that the difference omits."""
    pathlib.Path('old').mkdir()
    base = pathlib.Path('base.ini')
    pathlib.Path('old/base.ini').write_text(base.read_text())
    base.write_text(base.read_text().replace('hosts = 3', 'hosts = 5'))
    difference = '[a] region r hosts: 3 -> 5'
    assert difference in fleet['a'].run('check', '.', '--against', 'old')
    assert difference in fleet['a'].call('check', '.', '--in-force')
    rows = json.loads(fleet['a'].call('check', '.', '--in-force', '--json'))
    assert [row['site'] for row in rows['differences']] == ['a', 'b']


def test_submit_reports_each_outcome(fleet):
    """Guards against outcomes with the same exit status."""
    overlay = pathlib.Path('overlay-a.ini')
    overlay.write_text('# one\n')
    words = ('submit', 'overlay-a.ini', '--based-on', '1')
    assert 'accepted: version 2' in fleet['a'].call(*words)
    assert 'conflict: version 2' in fleet['a'].call(*words, status=3)
    overlay.write_text('[flet]\n')
    refused = ('submit', 'overlay-a.ini', '--based-on', '2')
    output = fleet['a'].call(*refused, status=1)
    assert 'overlay-a.ini:1: [flet]: unknown-section' in output
    document = json.loads(fleet['a'].call(*refused, '--json', status=1))
    assert document['status'] == 'refused'


def test_printed_command_finds_out_an_unknown_outcome(fleet):
    """Guards against a change that is applied twice or taken for lost."""
    replicas = fleet['a'].replicas
    pathlib.Path('overlay-a.ini').write_text('# one\n')
    replicas.loses_answers = True
    words = ('submit', 'overlay-a.ini', '--based-on', '1')
    output = fleet['a'].call(*words, status=4)
    assert replicas.state.version == 2
    replicas.loses_answers = False
    command = shlex.split(output.splitlines()[-1])
    assert 'accepted: version 2' in fleet['a'].run(*command[1:])
    assert replicas.state.version == 2
    document = json.loads(submit_without_answer(fleet['a'], words))
    assert document['status'] == 'unknown'


def submit_without_answer(operator, words):
    """Return the JSON output of a submission whose answer is lost."""
    operator.replicas.loses_answers = True
    return operator.call(*words, '--json', status=4)


def test_submit_with_the_key_of_another_member(fleet):
    """Guards against a submission signed by another member."""
    pathlib.Path('overlay-a.ini').write_text('# one\n')
    os.replace('b.pem', 'a.pem')
    words = ('submit', 'overlay-a.ini', '--based-on', '1')
    assert 'bad-signature' in fleet['a'].call(*words, status=1)


def test_approval_with_the_commands(fleet):
    """Guards against approvals whose digests the replicas refuse."""
    add_candidate(fleet['a'])
    for number, name in enumerate(('a', 'b'), start=2):
        fleet[name].call('fetch', 'in-force', '--trust', 'base.ini')
        words = ('approve', 'c', '--member', name, '--in-force', 'in-force')
        assert '[approval c]' in fleet[name].run(*words)
        words = ('submit', f'overlay-{name}.ini', '--based-on', str(number))
        output = fleet[name].call(*words)
        assert 'void' not in output
    assert list(fleet['a'].replicas.state.members) == ['a', 'b', 'c']


def test_approve_fetches_files_and_preserves_other_sections(fleet):
    """Guards against an overlay that loses its other settings."""
    add_candidate(fleet['a'])
    overlay = pathlib.Path('overlay-a.ini')
    overlay.write_text('# mine\n[service x]\ndeadline = 1s\n')
    words = ('approve', 'c', '--trust', 'base.ini')
    written = json.loads(fleet['a'].call(*words, '--json'))
    assert written['public_key'] in pathlib.Path('base.ini').read_text()
    assert overlay.read_text().endswith(written['section'])
    fleet['a'].call(*words, '--withdraw')
    assert overlay.read_text() == '# mine\n[service x]\ndeadline = 1s\n'


def test_removal_with_the_commands(fleet):
    """Guards against a removal that the replicas refuse."""
    words = ('approve', 'b', '--trust', 'base.ini', '--removal')
    fleet['a'].call(*words)
    fleet['a'].call('submit', 'overlay-a.ini', '--based-on', '1')
    assert list(fleet['a'].replicas.state.members) == ['a']


@pytest.mark.parametrize(
    ('words', 'status', 'expected'),
    [
        (('approve', 'z', '--trust', 'base.ini'), 1, 'no candidate z'),
        (('approve', 'z', '--trust', 'base.ini', '--removal'), 1, 'not a memb'),
        (('approve', 'z'), 2, '--in-force, or --trust'),
        (('approve', 'z', '--in-force', '.'), 1, 'use fetch'),
        (('check', 'keys'), 2, 'does not exist'),
    ],
)
def test_wrong_arguments_are_reported(fleet, words, status, expected):
    """Guards against a traceback or a wrong status for a usage error."""
    assert expected in fleet['a'].call(*words, status=status)


def test_missing_connection_options_are_reported(fleet):
    """Guards against a connection without a replica, member or key."""
    output = fleet['a'].run('check', '.', '--in-force', status=2)
    assert '--replica, --member and --key are needed' in output


def test_keygen_never_replaces_a_key(fleet):
    """Guards against a private key that is replaced or that others can read."""
    before = pathlib.Path('a.pem').read_bytes()
    assert 'exists' in fleet['a'].run('keygen', 'a', status=1)
    assert pathlib.Path('a.pem').read_bytes() == before
    assert pathlib.Path('a.pem').stat().st_mode & 0o777 == 0o600
    assert fleet['a'].run('keygen', 'A!', status=2)
    document = json.loads(fleet['a'].run('keygen', 'd', '--json'))
    signing.load_key(pathlib.Path(document['path']).read_bytes())


def test_connection_opens_a_client_of_the_replicas(fleet, monkeypatch):
    """Guards against commands that work only with the fake client."""
    replicas = fleet['a'].replicas
    clients = types.ModuleType('clients')
    opened = []
    clients.create_client = lambda *arguments: (
        opened.append(arguments) or replicas
    )
    name = 'wagtailspread.replica.clients'
    monkeypatch.setitem(sys.modules, name, clients)
    monkeypatch.setattr(replicas, 'connect', connections.connect)
    fleet['a'].call('fetch', 'in-force', '--trust', 'base.ini')
    ((addresses, pool),) = opened
    assert addresses == ('10.0.0.1:7400',)
    assert isinstance(pool, links.LinkPool)


def test_connection_uses_the_keys_of_the_base_file(fleet):
    """Guards against a connection to replicas of unknown members."""
    fleet['a'].call('fetch', 'in-force', '--trust', 'base.ini')
    identity = fleet['a'].replicas.identity
    assert (identity.member, sorted(identity.trusted_keys)) == ('a', ['a', 'b'])
