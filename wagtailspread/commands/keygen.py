"""``wagtailspread keygen``: creates the private key of a member."""

import base64
import os
import pathlib

import click

from wagtailspread.commands import renderings
from wagtailspread.configuration import files
from wagtailspread.wire import signing

#: Mode of the private key file: only its owner may read and write it.
KEY_MODE = 0o600


@click.command()
@click.argument('name')
@click.option(
    '--out',
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    help='File for the private key; NAME.pem by default.',
)
@click.option('--json', 'is_json', is_flag=True, help='Print JSON.')
def keygen(name: str, out: pathlib.Path | None, is_json: bool) -> None:
    """Create a private key for the member NAME.

    Writes the key to a file that only you may read, and prints the section for
    the base file. An existing file is never replaced.

    \b
    Examples:
      wagtailspread keygen costa-norte >> base.ini
      wagtailspread keygen costa-norte --out keys/costa-norte.pem
    """
    if not files.is_name(name):
        raise click.UsageError(
            'NAME may contain only lower case letters, digits, ".", "_" and '
            '"-"',
        )
    path = out or pathlib.Path(f'{name}.pem')
    key = signing.create_key()
    _write_key(path, signing.dump_key(key))
    public = base64.b64encode(signing.public_bytes(key)).decode()
    if is_json:
        renderings.write_json(
            {
                'member': name,
                'public_key': public,
                'path': str(path),
            }
        )
    else:
        renderings.write_lines([f'[member {name}]', f'public_key = {public}'])


def _write_key(path: pathlib.Path, pem: bytes) -> None:
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        descriptor = os.open(path, flags, KEY_MODE)
    except OSError as error:
        raise click.ClickException(f'{path}: {error.strerror}') from error
    with os.fdopen(descriptor, 'wb') as key_file:
        key_file.write(pem)
