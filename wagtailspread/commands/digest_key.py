"""``wagtailspread digest-key``: prints the digest of a workspace's key."""

import sys

import click

from wagtailspread.commands import renderings
from wagtailspread.configuration import key_digests


@click.command('digest-key')
@click.option('--json', 'is_json', is_flag=True, help='Print JSON.')
def digest_key(is_json: bool) -> None:
    """Print the digest of the key that standard input has.

    The digest goes into the `keys` of a [workspace NAME] section of the base
    file. The key itself is neither printed nor stored. A line break at its end
    does not belong to it.

    \b
    Examples:
      wagtailspread digest-key < key.txt
      head -c 24 /dev/urandom | base64 | tee key.txt | wagtailspread digest-key
    """
    received = sys.stdin.buffer.read()
    # Bytes that are not ASCII are no part of a key.
    key = received.decode('ascii', errors='replace').rstrip('\r\n')
    if not key_digests.is_key(key):
        raise click.ClickException(
            'standard input: expected one key of 1 to '
            f'{key_digests.MAX_KEY_LENGTH} visible ASCII characters',
        )
    digest = key_digests.compute_digest(key).hex()
    if is_json:
        renderings.write_json({'digest': digest})
    else:
        renderings.write_lines([digest])
