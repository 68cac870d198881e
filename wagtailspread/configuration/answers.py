"""Answers to submissions, and the bounded memory of those already given."""

import dataclasses
import typing

from wagtailspread.configuration import findings
from wagtailspread.core import identifiers
from wagtailspread.wire import messages

#: Answers that are remembered for resent submissions.
MAX_ANSWERS = 1024
#: Findings and differences in one answer.
MAX_LINES = 200
#: Findings and differences in all remembered answers.
MAX_TOTAL_LINES = 20_000

ACCEPTED = 'accepted'
REFUSED = 'refused'
CONFLICT = 'conflict'


_Findings = findings.Findings


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a submission.

    :param status: ``accepted``, ``refused`` or ``conflict``.
    :param version: the version accepted, or else the version in force.
    :param findings: reasons of a refusal, or notes on an accepted submission.
    :param differences: what changed since the base version of a submission
        that lost a race.
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
    """Names a submission; ids of two members never clash."""

    member: identifiers.MemberId
    submission: identifiers.SubmissionId


@dataclasses.dataclass(frozen=True, slots=True)
class Remembered:
    """An answer with the digest of the submission that it was given to."""

    digest: str
    answer: Answer


class AnswerMemory:
    """The latest answers; the oldest are forgotten first.

    A submission that is resent after its answer was forgotten is told that it
    lost a race, with what differs, since its base version is long past.
    """

    def __init__(self, max_answers: int = MAX_ANSWERS) -> None:
        """Start empty."""
        self._max_answers = max_answers
        self._answers: dict[AnswerKey, Remembered] = {}
        self._lines = 0

    def __len__(self) -> int:
        """Return the number of answers."""
        return len(self._answers)

    def find(self, key: AnswerKey) -> Remembered | None:
        """Return what is remembered of a submission."""
        return self._answers.get(key)

    def add(self, key: AnswerKey, remembered: Remembered) -> None:
        """Remember an answer and forget the oldest beyond the limits."""
        self._answers[key] = remembered
        self._lines += remembered.answer.count_lines()
        while self._is_full():
            oldest = next(iter(self._answers))
            forgotten = self._answers.pop(oldest)
            self._lines -= forgotten.answer.count_lines()

    def rows(self) -> typing.Iterator[tuple[AnswerKey, Remembered]]:
        """Return all answers, the oldest first."""
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
    """Return a refusal; at most ``MAX_LINES`` reasons are kept."""
    return Answer(REFUSED, version, tuple(reasons)[:MAX_LINES])


def refuse_submission(
    version: int,
    expected: str,
    kind: findings.FindingKind,
    file: str = '',
) -> Answer:
    """Return a refusal for a reason outside the text of the files."""
    return refuse(version, (findings.Finding(file, 0, '', expected, kind),))
