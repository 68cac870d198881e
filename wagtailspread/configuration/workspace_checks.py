"""Reads workspace sections and reports keys that two workspaces share."""

import typing

from wagtailspread.configuration import (
    files,
    findings,
    key_digests,
    readers,
    sections,
)
from wagtailspread.core import identifiers, priorities
from wagtailspread.routing import terms
from wagtailspread.workspaces import caps

_Kind = findings.FindingKind


def read_workspace(reader: readers.SectionReader) -> terms.Workspace:
    """Return the workspace of one section; findings are added to the reader.

    A value that is no digest is not repeated in its finding, since it may be a
    key.
    """
    digests = [
        key_digests.parse_digest(text) for text in reader.read_words('keys')
    ]
    if None in digests:
        reader.report(
            'keys',
            'SHA-256 digests of keys in hex, as digest-key prints them',
            _Kind.BAD_VALUE,
        )
    return terms.Workspace(
        name=identifiers.WorkspaceName(reader.name),
        digests=tuple(digest for digest in digests if digest is not None),
        priority=_read_priority(reader),
        cap=caps.Cap(reader.read_number('rate'), reader.read_number('burst')),
    )


def check_workspaces(
    base: files.ParsedFile,
    workspaces: typing.Iterable[terms.Workspace],
) -> typing.Iterator[findings.Finding]:
    """Report digests that are there twice, in one or in two workspaces."""
    owners: dict[bytes, identifiers.WorkspaceName] = {}
    for workspace in workspaces:
        others = [
            owners[digest] for digest in workspace.digests if digest in owners
        ]
        if len(set(workspace.digests)) < len(workspace.digests):
            others.append(workspace.name)
        if others:
            section = base.find(f'{sections.WORKSPACE.kind} {workspace.name}')
            yield findings.Finding(
                base.name,
                section.line_of('keys') if section else 0,
                'keys',
                f'each digest once, and none of [workspace {others[0]}]',
                _Kind.DUPLICATE,
            )
        owners.update(dict.fromkeys(workspace.digests, workspace.name))


def _read_priority(
    reader: readers.SectionReader,
) -> priorities.Priority | None:
    text = reader.read_text('priority')
    if not text:
        return None
    if text in sections.PRIORITY_NAMES:
        return priorities.parse_priority(text)
    expected = ', '.join(sections.PRIORITY_NAMES)
    reader.report('priority', f'one of {expected}', _Kind.BAD_VALUE)
    return None
