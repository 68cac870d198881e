"""Tests of the command that prints the digest of a key."""

import hashlib
import json

import pytest

from click import testing

from wagtailspread.commands import program


def run(text, *options):
    """Run the command with a standard input."""
    return testing.CliRunner().invoke(
        program.main, ['digest-key', *options], input=text
    )


@pytest.mark.parametrize('ending', ['', '\n', '\r\n'])
def test_the_digest_is_printed_without_the_key(ending):
    """Guards against a digest that includes the line break of the input."""
    ran = run(f'se+cret/1={ending}')
    expected = hashlib.sha256(b'se+cret/1=').hexdigest()
    assert (ran.exit_code, ran.output) == (0, f'{expected}\n')
    shown = run(f'se+cret/1={ending}', '--json')
    assert json.loads(shown.output) == {'digest': expected}


@pytest.mark.parametrize(
    'text', ['', '\n', 'two words', 'two\nlines', 'clé', '\x00', 'k' * 256]
)
def test_what_no_request_can_carry_is_refused(text):
    """Guards against a workspace whose key never matches."""
    ran = run(text)
    assert ran.exit_code == 1
    assert 'expected one key' in ran.output
    assert not text.strip() or text.strip() not in ran.output
