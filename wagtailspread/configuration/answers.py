"""Answers to submissions, and a bounded cache of recent answers."""

import dataclasses
import typing

from wagtailspread.configuration import findings
from wagtailspread.core import identifiers
from wagtailspread.wire import messages

#: Answers cached for resent submissions.
MAX_ANSWERS = 1024
#: Limit for findings, and for differences, in one answer.
MAX_LINES = 200
#: Limit for findings and differences in all cached answers together.
MAX_TOTAL_LINES = 20_000

ACCEPTED = 'accepted'
REFUSED = 'refused'
CONFLICT = 'conflict'


_Findings = findings.Findings


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a submission.

    :param status: ``accepted``, ``refused`` or ``conflict``.
    :param version: the accepted version, otherwise the active version.
    :param findings: reasons for a refusal, or void agreements in an accepted
        submission.
    :param differences: for a conflict, what changed since the base version of
        the submission.
    """

    status: str
    version: int
    findings: _Findings = ()
    differences: tuple[str, ...] = ()

    def encode(self) -> messages.Struct:
        """Return the thrift ``SubmissionAnswer``."""
        return messages.structs.SubmissionAnswer(
            status=self.status,
            version=self.version,
            findings=[
                findings.encode_finding(finding) for finding in self.findings
            ],
            differences=list(self.differences),
        )

    def count_lines(self) -> int:
        """Return the number of findings and differences."""
        return len(self.findings) + len(self.differences)


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerKey:
    """Identifies a submission; different members may use equal ids."""

    member: identifiers.MemberId
    submission: identifiers.SubmissionId


@dataclasses.dataclass(frozen=True, slots=True)
class CachedAnswer:
    """An answer with the digest of its submission."""

    digest: str
    answer: Answer


class AnswerCache:
    """The latest answers; the oldest are evicted first.

    A submission that is resent after the eviction of its answer gets a
    conflict with the differences, since its base version is outdated.
    """

    def __init__(self, max_answers: int = MAX_ANSWERS) -> None:
        """Start empty.

        :param max_answers: number of answers before the oldest is evicted.
        """
        self._max_answers = max_answers
        self._answers: dict[AnswerKey, CachedAnswer] = {}
        self._lines = 0

    def __len__(self) -> int:
        """Return the number of answers."""
        return len(self._answers)

    def find(self, key: AnswerKey) -> CachedAnswer | None:
        """Return the cached answer to a submission, or ``None``."""
        return self._answers.get(key)

    def add(self, key: AnswerKey, cached: CachedAnswer) -> None:
        """Add an answer and evict the oldest answers beyond the limits."""
        self._answers[key] = cached
        self._lines += cached.answer.count_lines()
        while self._is_full():
            oldest = next(iter(self._answers))
            evicted = self._answers.pop(oldest)
            self._lines -= evicted.answer.count_lines()

    def items(self) -> typing.Iterator[tuple[AnswerKey, CachedAnswer]]:
        """Yield all answers with their keys, oldest first."""
        yield from self._answers.items()

    def _is_full(self) -> bool:
        if len(self._answers) > self._max_answers:
            return True
        return self._lines > MAX_TOTAL_LINES and len(self._answers) > 1


def decode_answer(struct: messages.Struct) -> Answer:
    """Return the answer in a thrift ``SubmissionAnswer``."""
    return Answer(
        status=struct.status or '',
        version=struct.version or 0,
        findings=tuple(
            findings.decode_finding(finding)
            for finding in struct.findings or ()
        ),
        differences=tuple(struct.differences or ()),
    )


def refuse(version: int, reasons: typing.Iterable[findings.Finding]) -> Answer:
    """Return a refusal with the first ``MAX_LINES`` reasons."""
    return Answer(REFUSED, version, tuple(reasons)[:MAX_LINES])


def refuse_submission(
    version: int,
    expected: str,
    kind: findings.FindingKind,
    file: str = '',
) -> Answer:
    """Return a refusal for a reason that has no line in a file."""
    return refuse(version, (findings.Finding(file, 0, '', expected, kind),))
