"""Reads and writes the configuration files of a folder."""

import pathlib

import click

from wagtailspread.configuration import schemas


def read_folder(folder: pathlib.Path) -> dict[str, str]:
    """Return the texts of the configuration files in a folder by name.

    :param folder: contains ``base.ini``, and optionally overlays and
        ``members.ini``.
    :raises click.ClickException: if there is no base file.
    """
    paths = [
        path
        for path in sorted(folder.iterdir())
        if is_configuration_file(path.name)
    ]
    texts = {path.name: read_text(path) for path in paths}
    if schemas.BASE_FILE not in texts:
        raise click.ClickException(f'{folder} has no {schemas.BASE_FILE}')
    return texts


def read_text(path: pathlib.Path) -> str:
    """Return the text of a file.

    :raises click.ClickException: if the file cannot be read as UTF-8.
    """
    try:
        return path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise click.ClickException(f'{path} cannot be read: {error}') from error


def write_folder(folder: pathlib.Path, texts: dict[str, str]) -> None:
    """Write files to a folder.

    Other files in the folder, such as overlays that are not in force, are not
    changed.

    :param texts: texts by file name.
    """
    folder.mkdir(parents=True, exist_ok=True)
    for name, text in texts.items():
        (folder / name).write_text(text, encoding='utf-8')


def is_configuration_file(name: str) -> bool:
    """Tell whether a name is that of a configuration file.

    >>> is_configuration_file('overlay-andino.ini')
    True
    >>> is_configuration_file('host.ini')
    False
    """
    if name in {schemas.BASE_FILE, schemas.MEMBERS_FILE}:
        return True
    return schemas.overlay_member(name) is not None
