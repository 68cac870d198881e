"""Reads the keys of a section and collects findings."""

import dataclasses
import difflib
import typing

from returns import result

from wagtailspread.configuration import files, findings, sections, units

_Kind = findings.FindingKind


@dataclasses.dataclass(frozen=True, slots=True)
class SourceLocation:
    """Position of a key or a section in a file.

    :param file: name of the file.
    :param line: line number from 1.
    """

    file: str
    line: int


class SectionReader:
    """Reads keys according to the rules of their section.

    For a fault, a finding is added to ``sink`` and reading continues with the
    default, zero or an empty text, so that one check reports all faults of a
    file.

    :param kind: rules of the section.
    :param layers: pairs of a file name and the section in it: the base file
        first, then an overlay.
    :param sink: list to which findings are appended.
    """

    def __init__(
        self,
        kind: sections.SectionKind,
        layers: tuple[tuple[str, files.ParsedSection], ...],
        sink: list[findings.Finding],
    ) -> None:
        """Merge the layers; later layers override earlier ones."""
        self._kind = kind
        self._sink = sink
        file, section = layers[-1]
        self.header = f'[{section.header}]'
        self.name = section.name
        self._section_location = SourceLocation(file, section.line)
        self._owners: dict[str, tuple[str, files.ParsedSection]] = {}
        for layer in layers:
            for key in layer[1].entries:
                self._owners[key] = layer

    def read_text(self, key: str) -> str:
        """Return the text of a key; empty if it is missing."""
        rule = self._kind.find(key)
        owner = self._owners.get(key)
        text = owner[1].entries[key].text if owner else None
        if text:
            return text
        if rule is None or rule.default is None:
            self.report(key, self._describe(key), _Kind.MISSING_KEY)
            return ''
        return rule.default if text is None else text

    def read_words(self, key: str) -> tuple[str, ...]:
        """Return the words of a key, separated by blanks or commas."""
        return tuple(self.read_text(key).replace(',', ' ').split())

    def read_number(self, key: str) -> float:
        """Return the value of a key in the base unit of its quantity."""
        rule = self._kind.find(key)
        text = self.read_text(key)
        if rule is None or rule.quantity is None:
            return 0.0
        if not text and rule.default is None:
            return 0.0
        outcome = units.read_quantity(text, rule.quantity)
        if isinstance(outcome, result.Failure):
            self.report(key, rule.describe(), _Kind(outcome.failure().value))
            return self._read_default(rule)
        number = outcome.unwrap()
        if self._is_in_range(rule, number):
            return number
        is_share = rule.quantity is units.SHARE
        self.report(
            key,
            rule.describe(),
            _Kind.IMPOSSIBLE_LIMIT if is_share else _Kind.OUT_OF_RANGE,
        )
        return self._read_default(rule)

    def read_count(self, key: str) -> int:
        """Return a whole number; report a fraction."""
        number = self.read_number(key)
        if not number.is_integer():
            self.report(key, 'a whole number', _Kind.BAD_VALUE)
        return int(number)

    def report(
        self,
        key: str,
        expected: str,
        kind: findings.FindingKind,
    ) -> None:
        """Add a finding at the line of a key, or of the section."""
        location = self.locate(key)
        self._sink.append(
            findings.Finding(
                location.file,
                location.line,
                key or self.header,
                expected,
                kind,
            ),
        )

    def locate(self, key: str) -> SourceLocation:
        """Return the location of a key, or of the section without the key."""
        owner = self._owners.get(key)
        if owner is None:
            return self._section_location
        file, section = owner
        return SourceLocation(file, section.line_of(key))

    def _describe(self, key: str) -> str:
        rule = self._kind.find(key)
        return rule.describe() if rule else ''

    def _read_default(self, rule: sections.KeyRule) -> float:
        if rule.quantity is None or rule.default is None:
            return 0.0
        return units.read_quantity(rule.default, rule.quantity).unwrap()

    def _is_in_range(self, rule: sections.KeyRule, number: float) -> bool:
        if rule.quantity is None:
            return True
        low = units.read_quantity(rule.low, rule.quantity).unwrap()
        high = units.read_quantity(rule.high, rule.quantity).unwrap()
        return low <= number <= high


def check_kinds(
    parsed: files.ParsedFile,
    kinds: typing.Sequence[sections.SectionKind],
) -> typing.Iterator[findings.Finding]:
    """Report sections that the file may not contain."""
    by_name = {kind.kind: kind for kind in kinds}
    for section in parsed.sections:
        kind = by_name.get(section.kind)
        if kind is None or kind.is_named != bool(section.name):
            yield findings.Finding(
                parsed.name,
                section.line,
                f'[{section.header}]',
                _suggest_section(section.kind, kinds),
                _Kind.UNKNOWN_SECTION,
            )


def check_keys(
    file: str,
    section: files.ParsedSection,
    kind: sections.SectionKind,
) -> typing.Iterator[findings.Finding]:
    """Report keys that the section may not contain."""
    known = kind.keys()
    for key in section.entries:
        if key in known:
            continue
        is_base_key = (
            kind is sections.OVERRIDE and sections.SERVICE.find(key) is not None
        )
        yield findings.Finding(
            file,
            section.line_of(key),
            key,
            suggest(key, known),
            _Kind.NOT_OVERRIDABLE if is_base_key else _Kind.UNKNOWN_KEY,
        )


def suggest(word: str, known: typing.Iterable[str]) -> str:
    """Return the nearest known word as a hint, otherwise the known words.

    >>> suggest('dedline', ['deadline', 'floor'])
    'deadline (nearest name)'
    >>> suggest('zzz', ['deadline', 'floor'])
    'one of deadline, floor'
    """
    names = list(known)
    nearest = difflib.get_close_matches(word, names, n=1)
    if nearest:
        return f'{nearest[0]} (nearest name)'
    if not names:
        return 'no key'
    listed = ', '.join(names[:20])
    return f'one of {listed}'


def _suggest_section(
    kind: str,
    kinds: typing.Sequence[sections.SectionKind],
) -> str:
    for known_kind in kinds:
        if known_kind.kind == kind:
            return known_kind.header()
    hint = suggest(kind, [known.kind for known in kinds])
    return f'a section {hint}'
