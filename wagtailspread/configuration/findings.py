"""Findings: faults that the checks of configuration files report.

A finding names the location, the key and the expected value, so that an
operator can correct a file without reading the code.
"""

import dataclasses
import enum
import typing

from wagtailspread.core import failures
from wagtailspread.wire import messages


class FindingKind(enum.Enum):
    """Kind of the fault that a finding reports."""

    #: The text does not follow the file format.
    MALFORMED = 'malformed'
    #: A file, section, key, failure domain or public key occurs twice.
    DUPLICATE = 'duplicate'
    UNKNOWN_FILE = 'unknown-file'
    UNKNOWN_SECTION = 'unknown-section'
    UNKNOWN_KEY = 'unknown-key'
    MISSING_SECTION = 'missing-section'
    MISSING_KEY = 'missing-key'
    #: A value cannot be parsed.
    BAD_VALUE = 'bad-value'
    #: A value has a unit of another quantity, or none.
    WRONG_UNIT = 'wrong-unit'
    OUT_OF_RANGE = 'out-of-range'
    #: Limits that no fleet can meet, such as shares above 100%.
    IMPOSSIBLE_LIMIT = 'impossible-limit'
    #: A name refers to a section that does not exist.
    UNKNOWN_NAME = 'unknown-name'
    OVERLAPPING_ROUTES = 'overlapping-routes'
    SERVICE_WITHOUT_ROUTE = 'service-without-route'
    #: An overlay sets a key that only the base file may set.
    NOT_OVERRIDABLE = 'not-overridable'
    BAD_SIGNATURE = 'bad-signature'
    #: The submission contains a file, section or change that its submitter may
    #: not submit.
    NOT_PERMITTED = 'not-permitted'
    #: The submission id was used before with different content.
    ID_REUSED = 'id-reused'
    #: The base version of the submission does not exist.
    UNKNOWN_VERSION = 'unknown-version'
    #: An approval or a removal has no effect. This is reported with an
    #: accepted submission and is no reason to refuse it.
    VOID_AGREEMENT = 'void-agreement'
    #: Two sections of an overlay contradict each other.
    CONTRADICTION = 'contradiction'


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One fault in one file.

    :param file: name of the file; empty if the fault is in the submission
        itself.
    :param line: line number from 1; 0 if no line applies.
    :param key: key, or the section header if no key applies.
    :param expected: description of valid content.
    """

    file: str
    line: int
    key: str
    expected: str
    kind: FindingKind

    def describe(self) -> str:
        """Return one human-readable line.

        >>> Finding('base.ini', 3, 'floor', 'a share', FindingKind.WRONG_UNIT)\
            .describe()
        'base.ini:3: floor: wrong-unit: expected a share'
        """
        location = f'{self.file}:{self.line}' if self.line else self.file
        parts = (
            location,
            self.key,
            self.kind.value,
            f'expected {self.expected}',
        )
        return ': '.join(part for part in parts if part)


Findings = tuple[Finding, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationRefused(failures.Failure):
    """Configuration files that were refused.

    :param findings: reasons, in the order of the files and lines.
    """

    findings: Findings


def encode_finding(finding: Finding) -> messages.Struct:
    """Return the thrift struct of a finding."""
    return messages.structs.Finding(
        file=finding.file,
        line=finding.line,
        key=finding.key,
        expected=finding.expected,
        kind=finding.kind.value,
    )


def decode_finding(struct: typing.Any) -> Finding:
    """Return the finding in a thrift struct.

    :raises ValueError: if its kind is unknown.
    """
    return Finding(
        file=struct.file or '',
        line=struct.line or 0,
        key=struct.key or '',
        expected=struct.expected or '',
        kind=FindingKind(struct.kind),
    )


def sort_findings(findings: typing.Iterable[Finding]) -> Findings:
    """Return the findings sorted by file, line and key, without duplicates."""
    return tuple(
        sorted(
            set(findings),
            key=lambda finding: (
                finding.file,
                finding.line,
                finding.key,
                finding.kind.value,
            ),
        ),
    )
