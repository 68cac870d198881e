"""Changes of the membership that a submission makes."""

from wagtailspread.configuration import (
    approvals,
    files,
    findings,
    memberships,
    schemas,
    sections,
)
from wagtailspread.core import identifiers

#: Parsed files by name, without the members file.
Parsed = dict[str, files.ParsedFile]

_Kind = findings.FindingKind
_Sink = list[findings.Finding]


class MembershipDecider:
    """Decides which members the fleet has after a submission.

    It reads the agreements of all overlays, including the submitted ones. Use
    :func:`create_decider`.
    """

    def __init__(
        self,
        in_force: memberships.Membership,
        listed: memberships.Membership,
        parsed: Parsed,
        submitter: str | None,
        sink: _Sink,
    ) -> None:
        self._in_force = in_force
        self._listed = listed
        self._sink = sink
        self._agreements = read_all_agreements(parsed, sink)
        self._member = identifiers.MemberId(submitter or '')
        self._overlays = {
            name: overlay
            for name, overlay in parsed.items()
            if name != schemas.BASE_FILE
        }
        self._submitter_overlay = parsed.get(schemas.overlay_name(self._member))

    def decide(self) -> memberships.Membership:
        """Return the membership after the submission."""
        if not self._in_force.members:
            self._check_first_version()
            return self._listed
        if self._submitter_overlay is not None and approvals.is_leaving(
            self._submitter_overlay
        ):
            return self._leave(self._submitter_overlay)
        membership = approvals.decide_membership(
            self._in_force,
            self._listed,
            self._agreements,
        )
        self._check_listed(membership)
        return membership

    def remove_former_overlays(
        self,
        parsed: Parsed,
        membership: memberships.Membership,
    ) -> None:
        """Remove the overlays of members that are no longer in force.

        :param parsed: all files by name; changed in place.
        """
        for member in self._in_force.members:
            if member not in membership.members:
                parsed.pop(schemas.overlay_name(member), None)

    def report_void_agreements(
        self, membership: memberships.Membership
    ) -> findings.Findings:
        """Return a finding for each agreement of the submitter that is void."""
        agreements = self._agreements.get(self._member)
        if (
            self._submitter_overlay is None
            or not agreements
            or membership != self._in_force
        ):
            return ()
        pending = approvals.list_pending(
            membership,
            self._listed,
            self._agreements,
        )
        return tuple(
            findings.Finding(
                self._submitter_overlay.name,
                agreement.line,
                f'[{_format_header(agreement)}]',
                expected,
                _Kind.VOID_AGREEMENT,
            )
            for agreement, expected in approvals.find_void_agreements(
                pending,
                membership,
                agreements,
            )
        )

    def _leave(self, overlay: files.ParsedFile) -> memberships.Membership:
        remaining = [
            member
            for name, member in self._in_force.members.items()
            if name != self._member
        ]
        if not remaining:
            self._sink.append(
                findings.Finding(
                    overlay.name,
                    _find_leave_line(overlay),
                    '[leave]',
                    'another member that stays',
                    _Kind.NOT_PERMITTED,
                ),
            )
        membership = memberships.create_membership(remaining)
        self._check_listed(membership)
        return membership

    def _check_first_version(self) -> None:
        """Refuse agreements in the first version, which is unsigned."""
        for name in self._overlays:
            overlay = self._overlays[name]
            if approvals.is_leaving(overlay):
                self._refuse_agreement(
                    name, _find_leave_line(overlay), '[leave]'
                )
        for name, agreements in self._agreements.items():
            for agreement in agreements:
                self._refuse_agreement(
                    schemas.overlay_name(name),
                    agreement.line,
                    f'[{_format_header(agreement)}]',
                )

    def _refuse_agreement(self, file: str, line: int, header: str) -> None:
        self._sink.append(
            findings.Finding(
                file,
                line,
                header,
                'no agreements in the first version',
                _Kind.NOT_PERMITTED,
            ),
        )

    def _check_listed(self, membership: memberships.Membership) -> None:
        """Refuse a base file that lacks the section of a member in force."""
        for name in membership.members:
            if name not in self._listed.members:
                self._sink.append(
                    findings.Finding(
                        schemas.BASE_FILE,
                        0,
                        f'[member {name}]',
                        'the section of every member in force; a member goes '
                        'by [leave] or by the [removal] of all others',
                        _Kind.MISSING_SECTION,
                    ),
                )


def create_decider(
    in_force: memberships.Membership,
    listed: memberships.Membership,
    parsed: Parsed,
    submitter: str | None,
    sink: _Sink,
) -> MembershipDecider:
    """Return the object that decides the membership after a submission.

    :param in_force: the members in force; empty before the first version.
    :param listed: the member sections of the base file.
    :param parsed: all files by name, including the submitted ones.
    :param sink: list to which findings are appended.
    """
    return MembershipDecider(in_force, listed, parsed, submitter, sink)


def read_all_agreements(
    parsed: Parsed,
    sink: _Sink,
) -> dict[identifiers.MemberId, tuple[approvals.Agreement, ...]]:
    """Return the agreements of each member.

    :param parsed: all files by name.
    :param sink: list to which findings are appended.
    """
    agreements = {}
    for name, overlay in parsed.items():
        member = schemas.overlay_member(name)
        if member is not None:
            agreements[member] = approvals.read_agreements(overlay, sink)
    return agreements


def _format_header(agreement: approvals.Agreement) -> str:
    is_join = agreement.kind is approvals.MemberChangeKind.JOIN
    kind = 'approval' if is_join else 'removal'
    return f'{kind} {agreement.subject}'


def _find_leave_line(overlay: files.ParsedFile) -> int:
    section = overlay.find(sections.LEAVE.kind)
    return section.line if section else 0
