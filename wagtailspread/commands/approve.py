"""``wagtailspread approve``: adds an agreement to an overlay."""

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
_Pending = approvals.PendingChange


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
    click.option('--withdraw', is_flag=True, help='Withdraw the agreement.'),
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
        """Return the kind of section: ``removal`` or ``approval``."""
        return 'removal' if self.removal else 'approval'

    def find_overlay(self) -> pathlib.Path:
        """Return the path of the overlay.

        :raises click.UsageError: if the member is not given.
        """
        if not self.member:
            raise click.UsageError('--member is needed')
        member = identifiers.MemberId(self.member)
        return self.overlay or pathlib.Path(schemas.overlay_name(member))


@click.command()
@connections.add_options(*_OPTIONS, *connections.OPTIONS)
@click.pass_obj
def approve(
    connector: connections.Connector | None,
    **option_values: typing.Any,
) -> None:
    """Add an approval of the candidate SUBJECT to your overlay.

    The new section contains the digests of the candidate's section and of the
    current membership. Before you submit the overlay, compare the printed key
    with the candidate over another channel.

    \b
    Examples:
      wagtailspread approve seberang --member pulau --in-force in-force
      wagtailspread approve seberang --member pulau --in-force in-force \\
          --removal
      wagtailspread approve seberang --member pulau --withdraw
    """
    options = ApproveOptions(**option_values)
    path = options.find_overlay()
    text = file_sets.read_text(path) if path.exists() else ''
    section = ''
    key = ''
    if not options.withdraw:
        texts = _read_active_files(connector, options)
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
    """Return the membership change that the agreement refers to.

    :param texts: texts of the active configuration by file name.
    :param kind: ``approval`` or ``removal``.
    :param subject: name of the candidate, or of the member to remove.
    :raises click.ClickException: if there is no such candidate or member.
    """
    membership = proposals.read_members(texts)
    name = identifiers.MemberId(subject)
    if kind == 'removal':
        member = membership.members.get(name)
        if member is None:
            raise click.ClickException(f'{subject} is not a member in force')
        return approvals.create_removal(member, membership)
    examiner = proposals.create_examiner()
    for pending in examiner.list_pending(texts, membership):
        is_join = pending.kind is approvals.MemberChangeKind.JOIN
        if is_join and pending.subject == name:
            return pending
    raise click.ClickException(
        f'the base file in force has no candidate {subject}',
    )


def find_key(texts: dict[str, str], change: _Pending) -> str:
    """Return the public key of the subject of a change, in base64.

    :param texts: texts of the active configuration by file name.
    """
    file = schemas.BASE_FILE
    if change.kind is approvals.MemberChangeKind.REMOVAL:
        file = schemas.MEMBERS_FILE
    parsed = files.parse_file(file, texts[file]).unwrap()
    section = parsed.find(f'member {change.subject}')
    return section.entries['public_key'].text if section else ''


def replace_section(text: str, header: str, section: str) -> str:
    r"""Replace a section, add it at the end or remove it; return the text.

    >>> replace_section('[leave]\n', 'approval a', '[approval a]\n')
    '[leave]\n[approval a]\n'
    >>> replace_section('[approval a]\nx = 1\n[leave]\n', 'approval a', '')
    '[leave]\n'

    :param header: header of the section without brackets.
    :param section: text of the new section; empty to remove it.
    """
    sections = files.split_text(files.normalise_text(text))
    sections.pop(header, None)
    if section:
        sections[header] = section
    return ''.join(sections.values())


def _write_section(kind: str, pending: _Pending) -> str:
    return (
        f'[{kind} {pending.subject}]\n'
        f'digest = {pending.digest}\n'
        f'membership = {pending.membership}\n'
    )


def _read_active_files(
    connector: connections.Connector | None,
    options: ApproveOptions,
) -> dict[str, str]:
    folder = options.folder
    if folder is None:
        if options.trust is None:
            raise click.UsageError('--in-force, or --trust and --replica')
        base = {schemas.BASE_FILE: file_sets.read_text(options.trust)}
        identity = options.create_identity(base)
        return connections.fetch_active(identity, connector).texts
    texts = file_sets.read_folder(folder)
    if schemas.MEMBERS_FILE not in texts:
        raise click.ClickException(
            f'{folder} has no {schemas.MEMBERS_FILE}; use fetch',
        )
    return texts
