"""Checks a submission against the active files and the members in force."""

import dataclasses
import typing

from returns import result

from wagtailspread.configuration import (
    approvals,
    changes,
    checks,
    files,
    findings,
    memberships,
    schemas,
    section_caches,
)
from wagtailspread.core import identifiers
from wagtailspread.wire import messages

#: Limit for all files together: the full text must fit into a 16 MiB frame.
MAX_TOTAL_BYTES = 12 * 1024 * 1024

_Kind = findings.FindingKind
_Sink = list[findings.Finding]
_Parsed = changes.Parsed


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """The next version of the configuration, from a valid submission.

    :param texts: texts by file name, including the members file.
    :param void_agreements: agreements of the submitter that have no effect.
    :param sites: effective settings by member.
    :param parts: texts of sections by file.
    """

    texts: typing.Mapping[str, str]
    membership: memberships.Membership
    void_agreements: findings.Findings
    sites: checks.SiteSettings
    parts: typing.Mapping[str, typing.Mapping[str, str]]


ProposalResult = result.Result[Proposal, findings.Findings]


class Examiner:
    """Checks submissions; caches the active files in parsed form.

    Use :func:`create_examiner`. The cache saves work and never changes a
    result.
    """

    def __init__(self) -> None:
        """Start without files."""
        self._parsed: _Parsed = {}
        self._cache = section_caches.create_section_cache()

    def examine(
        self,
        texts: typing.Mapping[str, str],
        in_force: memberships.Membership,
        submission: messages.Struct,
    ) -> ProposalResult:
        """Check a submission as a whole.

        :param texts: the active files; empty before the first version.
        :param in_force: the members in force; empty before the first version.
        :param submission: a thrift ``Submission`` with a valid signature.
        :returns: the next version, or all findings.
        """
        proposed = self._examine(texts, in_force, submission)
        if isinstance(proposed, result.Failure):
            self._cache = self._cache.roll_back()
        return proposed

    def _examine(
        self,
        texts: typing.Mapping[str, str],
        in_force: memberships.Membership,
        submission: messages.Struct,
    ) -> ProposalResult:
        sink: _Sink = []
        merged = {**texts, **_read_submitted(submission, bool(texts), sink)}
        sink.extend(_check_size(merged))
        parsed = self._parse_all(merged, sink)
        base = parsed.get(schemas.BASE_FILE)
        if base is None:
            sink.append(_report_missing_base())
        if sink or base is None:
            return result.Failure(findings.sort_findings(sink))
        decider = changes.create_decider(
            in_force,
            checks.read_listed_members(base, self._cache),
            parsed,
            submission.member,
            sink,
        )
        membership = decider.decide()
        decider.remove_former_overlays(parsed, membership)
        checked = self._check(parsed, membership, sink)
        if sink:
            return result.Failure(findings.sort_findings(sink))
        self._cache_parsed(parsed)
        proposal = Proposal(
            texts=_select_texts(merged, parsed, membership),
            membership=membership,
            void_agreements=decider.report_void_agreements(membership),
            sites=checked.unwrap(),
            parts={name: file.parts for name, file in parsed.items()},
        )
        return result.Success(proposal)

    def list_pending(
        self,
        texts: typing.Mapping[str, str],
        in_force: memberships.Membership,
    ) -> tuple[approvals.PendingChange, ...]:
        """Return the changes of the membership that wait for agreements.

        :param texts: the active files.
        """
        sink: _Sink = []
        parsed = self._parse_all(texts, sink)
        return approvals.list_pending(
            in_force,
            checks.read_listed_members(parsed[schemas.BASE_FILE], self._cache),
            changes.read_all_agreements(parsed, sink),
        )

    def prepare(
        self,
        texts: typing.Mapping[str, str],
        in_force: memberships.Membership,
    ) -> checks.CheckResult:
        """Parse and cache the active files, so that the first check is fast.

        :param texts: the active files.
        :returns: their settings by member.
        """
        sink: _Sink = []
        parsed = self._parse_all(texts, sink)
        if schemas.BASE_FILE not in parsed or sink:
            return result.Failure((*sink, _report_missing_base()))
        checked = self._check(parsed, in_force, sink)
        self._cache_parsed(parsed)
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
            self._cache,
        )
        if isinstance(checked, result.Failure):
            sink.extend(checked.failure())
        return checked

    def _cache_parsed(self, parsed: _Parsed) -> None:
        self._parsed = parsed
        self._cache = self._cache.commit()

    def _parse_all(
        self,
        texts: typing.Mapping[str, str],
        sink: _Sink,
    ) -> _Parsed:
        parsed = {}
        for name in sorted(texts):
            if not texts[name] or name == schemas.MEMBERS_FILE:
                continue
            outcome = files.parse_file(
                name,
                texts[name],
                self._parsed.get(name),
            )
            if isinstance(outcome, result.Failure):
                sink.extend(outcome.failure())
            else:
                parsed[name] = outcome.unwrap()
        return parsed


def create_examiner() -> Examiner:
    """Return an examiner without files."""
    return Examiner()


def read_members(texts: typing.Mapping[str, str]) -> memberships.Membership:
    """Return the members listed in the members file."""
    text = texts.get(schemas.MEMBERS_FILE, '')
    parsed = files.parse_file(schemas.MEMBERS_FILE, text)
    return memberships.read_membership(parsed.unwrap())


def _read_submitted(
    submission: messages.Struct,
    has_version: bool,
    sink: _Sink,
) -> dict[str, str]:
    submitter = identifiers.MemberId(submission.member or '')
    overlay_name = schemas.overlay_name(submitter)
    texts: dict[str, str] = {}
    for file in submission.files or ():
        name = file.name or ''
        if name in texts:
            sink.append(_refuse_file(name, 'each file once', _Kind.DUPLICATE))
        if has_version and name not in {schemas.BASE_FILE, overlay_name}:
            sink.append(
                _refuse_file(
                    name,
                    f'{schemas.BASE_FILE} or {overlay_name}, the overlay of '
                    'the submitter',
                    _Kind.NOT_PERMITTED,
                ),
            )
        texts[name] = files.normalise_text(file.text or '')
    if not texts:
        sink.append(_refuse_file('', 'at least one file', _Kind.UNKNOWN_FILE))
    return texts


def _select_texts(
    merged: typing.Mapping[str, str],
    parsed: _Parsed,
    membership: memberships.Membership,
) -> dict[str, str]:
    """Return the texts of the next version, including the members file."""
    selected = {name: merged[name] for name in sorted(parsed)}
    selected[schemas.MEMBERS_FILE] = memberships.write_membership(membership)
    return selected


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


def _report_missing_base() -> findings.Finding:
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
