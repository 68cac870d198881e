"""Agreements of the members on changes of the membership.

Members agree with sections in their own signed overlays: ``[approval NAME]``
for a candidate, ``[removal NAME]`` for a member that all others must agree to
remove, and ``[leave]`` for themselves. An approval or a removal contains the
digest of its subject's member section and the digest of the membership at that
time. It is valid while both digests are current, and void otherwise.

One submission changes the membership at most once.
"""

import dataclasses
import enum
import re
import typing

from wagtailspread.configuration import (
    files,
    findings,
    memberships,
    readers,
    schemas,
    sections,
)
from wagtailspread.core import identifiers

_Kind = findings.FindingKind
_DIGEST = re.compile('[0-9a-f]{64}', re.ASCII)


class MemberChangeKind(enum.Enum):
    """Kind of a change of the fleet's members."""

    JOIN = 'join'
    REMOVAL = 'removal'
    LEAVE = 'leave'


@dataclasses.dataclass(frozen=True, slots=True)
class Agreement:
    """One approval or removal section.

    :param digest: digest of the subject's member section, as hex.
    :param membership: digest of the membership when it was given, as hex.
    :param line: line number of the section in the overlay.
    """

    kind: MemberChangeKind
    subject: identifiers.MemberId
    digest: str
    membership: str
    line: int


@dataclasses.dataclass(frozen=True, slots=True)
class PendingChange:
    """A change of the membership that waits for agreements.

    :param digest: digest of the subject that agreements must contain.
    :param membership: digest of the membership that agreements must contain.
    :param agreed: members with a valid agreement, sorted.
    :param missing: members without a valid agreement, sorted.
    :param void: members whose agreement contains another digest, sorted.
    """

    kind: MemberChangeKind
    subject: identifiers.MemberId
    digest: str
    membership: str
    agreed: tuple[identifiers.MemberId, ...]
    missing: tuple[identifiers.MemberId, ...]
    void: tuple[identifiers.MemberId, ...]


#: Agreements of each member, from the member's overlay.
AgreementsByMember = typing.Mapping[identifiers.MemberId, tuple[Agreement, ...]]


def read_agreements(
    overlay: files.ParsedFile,
    sink: list[findings.Finding],
) -> tuple[Agreement, ...]:
    """Return the approvals and removals of an overlay.

    :param sink: list to which findings are appended.
    """
    owner = schemas.overlay_member(overlay.name)
    agreements = []
    subjects: set[str] = set()
    for section in overlay.sections:
        kind = _find_kind(section)
        if kind is None:
            continue
        sink.extend(readers.check_keys(overlay.name, section, kind))
        reader = readers.SectionReader(kind, ((overlay.name, section),), sink)
        if section.name == owner and kind is sections.REMOVAL:
            reader.report(
                '',
                'another member; a member leaves by a [leave] section',
                _Kind.NOT_PERMITTED,
            )
        if section.name in subjects:
            reader.report(
                '',
                f'either an approval or a removal of {section.name}',
                _Kind.CONTRADICTION,
            )
        subjects.add(section.name)
        agreements.append(_read_agreement(reader, section))
    return tuple(agreements)


def is_leaving(overlay: files.ParsedFile) -> bool:
    """Return whether the overlay has a ``[leave]`` section."""
    return overlay.find(sections.LEAVE.kind) is not None


def list_pending(
    in_force: memberships.Membership,
    listed: memberships.Membership,
    agreements: AgreementsByMember,
) -> tuple[PendingChange, ...]:
    """Return all changes of the membership that wait for agreements.

    A candidate is pending as soon as the base file lists it. A removal is
    pending as soon as one member agrees to it.

    :param listed: the member sections of the base file.
    """
    pending = []
    for name, candidate in listed.members.items():
        if in_force.members.get(name) != candidate:
            voters = tuple(in_force.members)
            pending.append(
                _tally_agreements(
                    MemberChangeKind.JOIN,
                    candidate,
                    voters,
                    in_force,
                    agreements,
                ),
            )
    for name, member in in_force.members.items():
        voters = tuple(other for other in in_force.members if other != name)
        removal = _tally_agreements(
            MemberChangeKind.REMOVAL,
            member,
            voters,
            in_force,
            agreements,
        )
        if removal.agreed or removal.void:
            pending.append(removal)
    return tuple(pending)


def create_removal(
    member: schemas.MemberSettings,
    in_force: memberships.Membership,
) -> PendingChange:
    """Return a pending removal of a member without any agreements."""
    voters = tuple(name for name in in_force.members if name != member.name)
    return _tally_agreements(
        MemberChangeKind.REMOVAL, member, voters, in_force, {}
    )


def decide_membership(
    in_force: memberships.Membership,
    listed: memberships.Membership,
    agreements: AgreementsByMember,
) -> memberships.Membership:
    """Return the membership after the first change that has all agreements.

    Without such a change, the membership in force is returned.
    """
    for pending in list_pending(in_force, listed, agreements):
        if pending.missing or not pending.agreed:
            continue
        remaining = dict(in_force.members)
        remaining.pop(pending.subject, None)
        if pending.kind is MemberChangeKind.JOIN:
            remaining[pending.subject] = listed.members[pending.subject]
        return memberships.create_membership(remaining.values())
    return in_force


def find_void_agreements(
    pending: tuple[PendingChange, ...],
    in_force: memberships.Membership,
    agreements: tuple[Agreement, ...],
) -> typing.Iterator[tuple[Agreement, str]]:
    """Yield the void agreements, each with the expected value.

    An approval of a member in force has already taken effect and is not
    returned.
    """
    expected = {(change.kind, change.subject): change for change in pending}
    for agreement in agreements:
        change = expected.get((agreement.kind, agreement.subject))
        if change is None:
            if agreement.subject not in in_force.members:
                yield agreement, 'a member or a candidate in the base file'
        elif agreement.digest != change.digest:
            yield agreement, f'digest = {change.digest}'
        elif agreement.membership != change.membership:
            yield agreement, f'membership = {change.membership}'


def _find_kind(section: files.ParsedSection) -> sections.SectionKind | None:
    for kind in (sections.APPROVAL, sections.REMOVAL):
        if section.kind == kind.kind:
            return kind
    return None


def _read_agreement(
    reader: readers.SectionReader,
    section: files.ParsedSection,
) -> Agreement:
    is_approval = section.kind == sections.APPROVAL.kind
    return Agreement(
        kind=MemberChangeKind.JOIN if is_approval else MemberChangeKind.REMOVAL,
        subject=identifiers.MemberId(section.name),
        digest=_read_digest(reader, 'digest'),
        membership=_read_digest(reader, 'membership'),
        line=section.line,
    )


def _read_digest(reader: readers.SectionReader, key: str) -> str:
    text = reader.read_text(key)
    if text and _DIGEST.fullmatch(text) is None:
        reader.report(
            key,
            'a digest of 64 hexadecimal digits, as approve writes it',
            _Kind.BAD_VALUE,
        )
    return text


def _tally_agreements(
    kind: MemberChangeKind,
    subject: schemas.MemberSettings,
    voters: tuple[identifiers.MemberId, ...],
    in_force: memberships.Membership,
    agreements: AgreementsByMember,
) -> PendingChange:
    digest = memberships.member_digest(subject)
    membership = in_force.digest()
    by_voter = {
        voter: agreement
        for voter in voters
        for agreement in agreements.get(voter, ())
        if agreement.kind is kind and agreement.subject == subject.name
    }
    agreed = tuple(
        voter
        for voter, agreement in by_voter.items()
        if (agreement.digest, agreement.membership) == (digest, membership)
    )
    return PendingChange(
        kind=kind,
        subject=subject.name,
        digest=digest,
        membership=membership,
        agreed=agreed,
        missing=tuple(voter for voter in voters if voter not in agreed),
        void=tuple(voter for voter in by_voter if voter not in agreed),
    )
