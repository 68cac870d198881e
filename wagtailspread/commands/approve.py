"""``wagtailspread approve``: writes an agreement into an overlay."""

import dataclasses
import pathlib
import typing

import click

from wagtailspread.commands import connections, file_sets, renderings
from wagtailspread.configuration import (
    approvals,
    files,
    proposals,
    schemas,
)
from wagtailspread.core import identifiers

_FOLDER = click.Path(exists=True, file_okay=False, path_type=pathlib.Path)
_Pending = approvals.Pending


_FILE = click.Path(dir_okay=False, path_type=pathlib.Path)
_OPTIONS = (
    click.argument('subject'),
    click.option(
        '--in-force',
        'folder',
        type=_FOLDER,
        help='Folder written by fetch; without it, the replicas are asked.',
    ),
    click.option(
        '--overlay',
        type=_FILE,
        help='Your overlay; overlay-MEMBER.ini by default.',
    ),
    click.option('--removal', is_flag=True, help='Agree to remove a member.'),
    click.option('--withdraw', is_flag=True, help='Take the agreement back.'),
    click.option(
        '--trust',
        type=_FILE,
        help="Base file with the keys of the replicas' members.",
    ),
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ApproveOptions(connections.Options):
    """Values of the options of ``approve``."""

    subject: str
    folder: pathlib.Path | None
    overlay: pathlib.Path | None
    removal: bool
    withdraw: bool
    trust: pathlib.Path | None

    @property
    def kind(self) -> str:
        """Return the kind of the section."""
        return 'removal' if self.removal else 'approval'

    def find_overlay(self) -> pathlib.Path:
        """Return the path of the overlay."""
        if not self.member:
            raise click.UsageError('--member is needed')
        owner = identifiers.MemberId(self.member)
        return self.overlay or pathlib.Path(schemas.overlay_name(owner))


@click.command()
@connections.add_options(*_OPTIONS, *connections.OPTIONS)
@click.pass_obj
def approve(
    connector: connections.Connector | None,
    **given: typing.Any,
) -> None:
    """Write an approval of the candidate SUBJECT into your overlay.

    The section names the digests of the candidate's section and of the
    members in force. Compare the printed key with the candidate by another
    channel first; then submit the overlay.

    \b
    Examples:
      wagtailspread approve seberang --member pulau --in-force in-force
      wagtailspread approve seberang --member pulau --in-force in-force \\
          --removal
      wagtailspread approve seberang --member pulau --withdraw
    """
    options = ApproveOptions(**given)
    path = options.find_overlay()
    text = file_sets.read_text(path) if path.exists() else ''
    section = ''
    key = ''
    if not options.withdraw:
        texts = _read_in_force(connector, options)
        change = find_change(texts, options.kind, options.subject)
        section = _write_section(options.kind, change)
        key = find_key(texts, change)
    header = f'{options.kind} {options.subject}'
    path.write_text(replace_section(text, header, section))
    if options.is_json:
        renderings.write_json(
            {
                'overlay': str(path),
                'section': section,
                'public_key': key,
            }
        )
        return
    if section:
        renderings.write_lines(
            [
                f'Compare the key of {options.subject}: {key}',
                section.rstrip(),
            ]
        )
    renderings.write_lines([f'{path} written'])


def find_change(texts: dict[str, str], kind: str, subject: str) -> _Pending:
    """Return the change of the membership that the agreement is about.

    :param texts: the files in force.
    :param kind: ``approval`` or ``removal``.
    :raises click.ClickException: if there is nothing to agree to.
    """
    in_force = proposals.read_members(texts)
    name = identifiers.MemberId(subject)
    if kind == 'removal':
        member = in_force.members.get(name)
        if member is None:
            raise click.ClickException(f'{subject} is not a member in force')
        return approvals.create_removal(member, in_force)
    examiner = proposals.create_examiner()
    for pending in examiner.list_pending(texts, in_force):
        is_join = pending.kind is approvals.ChangeKind.JOIN
        if is_join and pending.subject == name:
            return pending
    raise click.ClickException(
        f'the base file in force has no candidate {subject}',
    )


def find_key(texts: dict[str, str], change: _Pending) -> str:
    """Return the public key that the agreement is about, in base64.

    :param texts: the files in force.
    """
    file = schemas.BASE_FILE
    if change.kind is approvals.ChangeKind.REMOVAL:
        file = schemas.MEMBERS_FILE
    parsed = files.parse_file(file, texts[file]).unwrap()
    section = parsed.find(f'member {change.subject}')
    return section.entries['public_key'].text if section else ''


def replace_section(text: str, header: str, section: str) -> str:
    r"""Return a text with a section replaced, added at the end, or removed.

    >>> replace_section('[leave]\n', 'approval a', '[approval a]\n')
    '[leave]\n[approval a]\n'
    >>> replace_section('[approval a]\nx = 1\n[leave]\n', 'approval a', '')
    '[leave]\n'

    :param section: the new section; empty to remove it.
    """
    parts = files.split_text(files.normalise_text(text))
    parts.pop(header, None)
    if section:
        parts[header] = section
    return ''.join(parts.values())


def _write_section(kind: str, pending: _Pending) -> str:
    return (
        f'[{kind} {pending.subject}]\n'
        f'digest = {pending.digest}\n'
        f'membership = {pending.membership}\n'
    )


def _read_in_force(
    connector: connections.Connector | None,
    options: ApproveOptions,
) -> dict[str, str]:
    folder = options.folder
    if folder is None:
        if options.trust is None:
            raise click.UsageError('--in-force, or --trust and --replica')
        base = {schemas.BASE_FILE: file_sets.read_text(options.trust)}
        identity = options.identify(base)
        return connections.fetch_in_force(identity, connector).texts
    texts = file_sets.read_folder(folder)
    if schemas.MEMBERS_FILE not in texts:
        raise click.ClickException(
            f'{folder} has no {schemas.MEMBERS_FILE}; use fetch',
        )
    return texts
