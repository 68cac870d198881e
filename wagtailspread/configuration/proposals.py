"""Examines a submission against the files and the members in force."""

import dataclasses
import typing

from returns import result

from wagtailspread.configuration import (
    approvals,
    checks,
    files,
    findings,
    memberships,
    readings,
    schemas,
)
from wagtailspread.core import identifiers
from wagtailspread.wire import messages

#: Bytes of all files: the full text has to fit into one frame of 16 MiB.
MAX_TOTAL_BYTES = 12 * 1024 * 1024

_Kind = findings.FindingKind
_Sink = list[findings.Finding]
_Parsed = dict[str, files.ParsedFile]


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """What a submission would put in force.

    :param texts: texts by file name, with the members file.
    :param notes: agreements that do not count.
    :param sites: effective settings by member.
    """

    texts: typing.Mapping[str, str]
    membership: memberships.Membership
    notes: findings.Findings
    sites: checks.SiteSettings


ProposalResult = result.Result[Proposal, findings.Findings]


class Examiner:
    """Checks submissions; remembers the files in force as they were parsed.

    Use :func:`create_examiner`. What it remembers saves work and never changes
    a result.
    """

    def __init__(self) -> None:
        """Start without files."""
        self._parsed: _Parsed = {}
        self._known = readings.create_readings()

    def examine(
        self,
        texts: typing.Mapping[str, str],
        in_force: memberships.Membership,
        submission: messages.Struct,
    ) -> ProposalResult:
        """Check a submission as a whole.

        :param texts: the files in force; empty before the first version.
        :param in_force: the members in force; empty before the first version.
        :param submission: a thrift ``Submission`` with a valid signature.
        :returns: what to put in force, or all findings.
        """
        proposed = self._examine(texts, in_force, submission)
        if isinstance(proposed, result.Failure):
            self._known = self._known.revert()
        return proposed

    def _examine(
        self,
        texts: typing.Mapping[str, str],
        in_force: memberships.Membership,
        submission: messages.Struct,
    ) -> ProposalResult:
        sink: _Sink = []
        submitted = _read_submitted(submission, bool(texts), sink)
        merged = {**texts, **submitted}
        sink.extend(_check_size(merged))
        parsed = self._parse_all(merged, sink)
        base = parsed.get(schemas.BASE_FILE)
        if base is None:
            sink.append(_expect_base())
        if sink or base is None:
            return result.Failure(findings.sort_findings(sink))
        change = _MembershipChange(
            in_force,
            checks.read_listed(base, self._known),
            parsed,
            submission.member,
            sink,
        )
        membership = change.decide()
        change.drop_former_members(parsed, membership)
        checked = self._check(parsed, membership, sink)
        if sink:
            return result.Failure(findings.sort_findings(sink))
        self._remember(parsed)
        kept = {name: merged[name] for name in sorted(parsed)}
        kept[schemas.MEMBERS_FILE] = memberships.write_membership(membership)
        notes = change.notes(membership)
        return result.Success(
            Proposal(kept, membership, notes, checked.unwrap()),
        )

    def list_pending(
        self,
        texts: typing.Mapping[str, str],
        in_force: memberships.Membership,
    ) -> tuple[approvals.Pending, ...]:
        """Return the changes of the membership that wait for agreements.

        :param texts: the files in force.
        """
        sink: _Sink = []
        parsed = self._parse_all(texts, sink)
        return approvals.list_pending(
            in_force,
            checks.read_listed(parsed[schemas.BASE_FILE], self._known),
            _read_all_agreements(parsed, sink),
        )

    def prepare(
        self,
        texts: typing.Mapping[str, str],
        in_force: memberships.Membership,
    ) -> checks.CheckResult:
        """Read the files in force, so that the first check is fast.

        :param texts: the files in force.
        :returns: their settings by member.
        """
        sink: _Sink = []
        parsed = self._parse_all(texts, sink)
        if schemas.BASE_FILE not in parsed or sink:
            return result.Failure((*sink, _expect_base()))
        checked = self._check(parsed, in_force, sink)
        self._remember(parsed)
        return checked

    def _check(
        self,
        parsed: _Parsed,
        membership: memberships.Membership,
        sink: _Sink,
    ) -> checks.CheckResult:
        checked = checks.check_files(
            parsed[schemas.BASE_FILE],
            [
                parsed[name]
                for name in sorted(parsed)
                if name != schemas.BASE_FILE
            ],
            membership,
            self._known,
        )
        if isinstance(checked, result.Failure):
            sink.extend(checked.failure())
        return checked

    def _remember(self, parsed: _Parsed) -> None:
        self._parsed = parsed
        self._known = self._known.succeed()

    def _parse_all(
        self,
        texts: typing.Mapping[str, str],
        sink: _Sink,
    ) -> _Parsed:
        parsed = {}
        for name in sorted(texts):
            if not texts[name] or name == schemas.MEMBERS_FILE:
                continue
            one = files.parse_file(name, texts[name], self._parsed.get(name))
            if isinstance(one, result.Failure):
                sink.extend(one.failure())
            else:
                parsed[name] = one.unwrap()
        return parsed


def create_examiner() -> Examiner:
    """Return an examiner without files."""
    return Examiner()


def read_members(texts: typing.Mapping[str, str]) -> memberships.Membership:
    """Return the members in force, from the members file."""
    text = texts.get(schemas.MEMBERS_FILE, '')
    parsed = files.parse_file(schemas.MEMBERS_FILE, text)
    return memberships.read_membership(parsed.unwrap())


class _MembershipChange:
    """The agreements of all overlays, with the submitted ones in place."""

    def __init__(
        self,
        in_force: memberships.Membership,
        listed: memberships.Membership,
        parsed: _Parsed,
        submitter: str | None,
        sink: _Sink,
    ) -> None:
        self._in_force = in_force
        self._listed = listed
        self._sink = sink
        self._agreements = _read_all_agreements(parsed, sink)
        self._member = identifiers.MemberId(submitter or '')
        self._overlays = {
            name: overlay
            for name, overlay in parsed.items()
            if name != schemas.BASE_FILE
        }
        self._own = parsed.get(schemas.overlay_name(self._member))

    def decide(self) -> memberships.Membership:
        """Return the membership after the submission."""
        if not self._in_force.members:
            self._check_first()
            return self._listed
        if self._own is not None and approvals.is_leaving(self._own):
            return self._leave(self._own)
        membership = approvals.decide_membership(
            self._in_force,
            self._listed,
            self._agreements,
        )
        self._check_listed(membership)
        return membership

    def drop_former_members(
        self,
        parsed: _Parsed,
        membership: memberships.Membership,
    ) -> None:
        """Remove the overlays of members that are no longer in force."""
        for member in self._in_force.members:
            if member not in membership.members:
                parsed.pop(schemas.overlay_name(member), None)

    def notes(self, membership: memberships.Membership) -> findings.Findings:
        """Return a note for each agreement of the submitter that is void."""
        own = self._agreements.get(self._member)
        if self._own is None or not own or membership != self._in_force:
            return ()
        pending = approvals.list_pending(
            membership,
            self._listed,
            self._agreements,
        )
        return tuple(
            findings.Finding(
                self._own.name,
                agreement.line,
                f'[{_header(agreement)}]',
                expected,
                _Kind.VOID_AGREEMENT,
            )
            for agreement, expected in approvals.find_void(
                pending,
                membership,
                own,
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
                    _line_of(overlay, 'leave'),
                    '[leave]',
                    'another member that stays',
                    _Kind.NOT_PERMITTED,
                ),
            )
        membership = memberships.create_membership(remaining)
        self._check_listed(membership)
        return membership

    def _check_first(self) -> None:
        """Refuse agreements in the first version, which nobody signed."""
        for name in self._overlays:
            overlay = self._overlays[name]
            if approvals.is_leaving(overlay):
                self._refuse_first(name, _line_of(overlay, 'leave'), '[leave]')
        for name, agreements in self._agreements.items():
            for agreement in agreements:
                self._refuse_first(
                    schemas.overlay_name(name),
                    agreement.line,
                    f'[{_header(agreement)}]',
                )

    def _refuse_first(self, file: str, line: int, header: str) -> None:
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
        """Refuse a base file without the section of a member in force."""
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


def _read_submitted(
    submission: messages.Struct,
    has_version: bool,
    sink: _Sink,
) -> dict[str, str]:
    submitter = identifiers.MemberId(submission.member or '')
    own = schemas.overlay_name(submitter)
    texts: dict[str, str] = {}
    for file in submission.files or ():
        name = file.name or ''
        if name in texts:
            sink.append(_refuse_file(name, 'each file once', _Kind.DUPLICATE))
        if has_version and name not in {schemas.BASE_FILE, own}:
            sink.append(
                _refuse_file(
                    name,
                    f'{schemas.BASE_FILE} or {own}, the overlay of the '
                    'submitter',
                    _Kind.NOT_PERMITTED,
                ),
            )
        texts[name] = files.normalise_text(file.text or '')
    if not texts:
        sink.append(_refuse_file('', 'at least one file', _Kind.UNKNOWN_FILE))
    return texts


def _check_size(
    texts: typing.Mapping[str, str],
) -> typing.Iterator[findings.Finding]:
    total = sum(len(text.encode()) for text in texts.values())
    if total > MAX_TOTAL_BYTES:
        yield _refuse_file(
            '',
            f'at most {MAX_TOTAL_BYTES} bytes in all files',
            _Kind.OUT_OF_RANGE,
        )


def _read_all_agreements(
    parsed: _Parsed,
    sink: _Sink,
) -> dict[identifiers.MemberId, tuple[approvals.Agreement, ...]]:
    agreements = {}
    for name, overlay in parsed.items():
        member = schemas.overlay_member(name)
        if member is not None:
            agreements[member] = approvals.read_agreements(overlay, sink)
    return agreements


def _expect_base() -> findings.Finding:
    return _refuse_file(
        schemas.BASE_FILE,
        f'a file {schemas.BASE_FILE} with sections',
        _Kind.MISSING_SECTION,
    )


def _refuse_file(
    name: str,
    expected: str,
    kind: findings.FindingKind,
) -> findings.Finding:
    return findings.Finding(name, 0, '', expected, kind)


def _header(agreement: approvals.Agreement) -> str:
    is_join = agreement.kind is approvals.ChangeKind.JOIN
    kind = 'approval' if is_join else 'removal'
    return f'{kind} {agreement.subject}'


def _line_of(parsed: files.ParsedFile, header: str) -> int:
    section = parsed.find(header)
    return section.line if section else 0
