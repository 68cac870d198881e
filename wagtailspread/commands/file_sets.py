"""Reads and writes the configuration files of a folder."""

import pathlib

import click

from wagtailspread.configuration import schemas


def read_folder(folder: pathlib.Path) -> dict[str, str]:
    """Return the texts of a folder's configuration files by name.

    :param folder: holds ``base.ini``, overlays, and maybe ``members.ini``.
    :raises click.ClickException: if there is no base file.
    """
    paths = [path for path in sorted(folder.iterdir()) if is_known(path.name)]
    texts = {path.name: read_text(path) for path in paths}
    if schemas.BASE_FILE not in texts:
        raise click.ClickException(f'{folder} has no {schemas.BASE_FILE}')
    return texts


def read_text(path: pathlib.Path) -> str:
    """Return the text of a file.

    :raises click.ClickException: if it cannot be read as UTF-8.
    """
    try:
        return path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise click.ClickException(f'{path} cannot be read: {error}') from error


def write_folder(folder: pathlib.Path, texts: dict[str, str]) -> None:
    """Write the files; overlays that are not in force are left alone."""
    folder.mkdir(parents=True, exist_ok=True)
    for name, text in texts.items():
        (folder / name).write_text(text, encoding='utf-8')


def is_known(name: str) -> bool:
    """Tell whether a file of this name belongs to the configuration.

    >>> is_known('overlay-andino.ini'), is_known('host.ini')
    (True, False)
    """
    if name in {schemas.BASE_FILE, schemas.MEMBERS_FILE}:
        return True
    return schemas.overlay_member(name) is not None
